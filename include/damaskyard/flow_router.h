#ifndef DAMASKYARD_FLOW_ROUTER_H
#define DAMASKYARD_FLOW_ROUTER_H

/*
 * The balancer's routing of flow packets. This module does no I/O: it consumes
 * callers' packets and agents' messages, and emits forwards and resets through
 * callbacks.
 *
 * The holder of a flow is the agent whose target has the flow. The router
 * caches the holder once the agent has reported it. It sends a packet of an
 * unknown flow, as after a restart of this balancer or a change of the fabric's
 * packet spraying, along the agents that may hold the flow; the agent that does
 * reports back. Balancers share no state. A search that gets no answer goes on
 * past the agents that are silent (search_retry.h).
 *
 * Where the settings ask for it, openings for which no target has a place wait
 * here until an agent grants one (waiting_openings.h).
 *
 * If the holder is lost, the router resets the flow at its next packet, so that
 * the caller does not wait for a timeout and can open a new flow. If the flow's
 * requests may be repeated, an unresponsive holder is enough for the reset.
 */

#include <stdint.h>

#include "damaskyard/flow_rules.h"
#include "damaskyard/flow_targets.h"
#include "damaskyard/metrics.h"
#include "damaskyard/packet.h"

/*
 * Idle timeout of a cached holder. The longest pause that a configuration
 * allows is 15 s. A flow that outlives its entry is found again by a search.
 */
#define DY_FLOW_IDLE_MS 30000

/*
 * Capacity of the cache in flows; the flow that was idle longest is evicted. At
 * some 250 bytes per flow this is 50 MB of a balancer's 80 MB. An evicted flow
 * is found again by a search.
 */
#define DY_FLOWS_MAX 200000

typedef struct dy_flow_router dy_flow_router_t;

typedef struct dy_flow_router_callbacks {
	/*
	 * Sends forward to the agent at forward->tries[0], now or later, and
	 * then calls dy_flow_router_note_sent(). packet is the decoded
	 * forward->packet.
	 */
	void (*forward)(void *context, dy_flow_forward_t *forward,
			const dy_packet_t *packet);
	/* Returns whether a forward of the flow has not been sent yet. */
	int (*is_waiting)(void *context, const dy_flow_id_t *flow);
	/* Sends a reset with this sequence number to the flow's caller. */
	void (*reset)(void *context, const dy_flow_id_t *flow, uint32_t seq);
	/*
	 * Requests an early confirmation of the members; see
	 * dy_flow_router_set_members_confirmed().
	 */
	void (*confirm_members)(void *context);
	/* Requests a load report from the agent. */
	void (*request_report)(void *context, const dy_address_t *agent);
	/* Reserves a place at the agent; see slot_grants.h. */
	void (*reserve)(void *context, const dy_address_t *agent,
			uint32_t standing);
	/* Tells the agent that no opening waits for the place it granted. */
	void (*decline)(void *context, const dy_address_t *agent);
	/* Returns the time of day in ms since 1970. */
	uint64_t (*wall_ms)(void *context);
	/* Requests a witness to probe the agent; see flow_silence.h. */
	void (*inquire)(void *context, const dy_address_t *witness,
			const dy_address_t *agent);
} dy_flow_router_callbacks_t;

typedef struct dy_flow_router_config {
	dy_address_t self; /* this balancer, where agents reply to */
	const char *domain;
	uint64_t link_bytes_per_s; /* see bulk_limit.h; 0: unlimited */
	int wait_at_balancer;	   /* see waiting_openings.h */
	dy_metrics_t *metrics;
	const dy_flow_router_callbacks_t *callbacks;
	void *context;
} dy_flow_router_config_t;

/*
 * Creates a router. config is copied; what it points to must outlive the
 * router.
 */
dy_flow_router_t *dy_flow_router_create(const dy_flow_router_config_t *config);
/* Frees router; NULL is allowed. */
void dy_flow_router_destroy(dy_flow_router_t *router);

/*
 * Replaces the rules and takes ownership of them. Rules of an older version
 * than the current ones are freed and ignored.
 */
void dy_flow_router_set_rules(dy_flow_router_t *router, dy_flow_rules_t *rules);

/* Adds or updates a member of the registry; only agents matter. */
void dy_flow_router_set_member(dy_flow_router_t *router,
			       const dy_member_t *member);

/* Sets whether a failure domain is evacuated. */
void dy_flow_router_set_domain(dy_flow_router_t *router,
			       const dy_domain_info_t *domain);

/*
 * Records that a majority of controls confirmed the members in reply to a poll
 * that was sent at polled_ms.
 *
 * A flow that no agent holds is reset only after such a poll, sent after the
 * search, showed no change of the members. Otherwise an agent may have joined
 * before the poll, received the flow through another balancer, and been left
 * out of the search. If the members did change, the next packet of the flow
 * starts a new search.
 */
void dy_flow_router_set_members_confirmed(dy_flow_router_t *router,
					  uint64_t polled_ms);

/* Routes a packet of a caller; bytes is the encoded packet. */
void dy_flow_router_receive_packet(dy_flow_router_t *router,
				   const dy_packet_t *packet, uint8_t *bytes,
				   size_t len, uint64_t now_ms);

/* Process agents' messages. packet is the decoded nowhere->packet. */
void dy_flow_router_receive_held(dy_flow_router_t *router,
				 const dy_flow_held_t *held, uint64_t now_ms);
void dy_flow_router_receive_nowhere(dy_flow_router_t *router,
				    const dy_flow_nowhere_t *nowhere,
				    const dy_packet_t *packet, uint64_t now_ms);
void dy_flow_router_receive_report(dy_flow_router_t *router,
				   const dy_flow_report_t *report,
				   uint64_t now_ms);

void dy_flow_router_receive_grant(dy_flow_router_t *router,
				  const dy_flow_grant_t *grant,
				  uint64_t now_ms);
void dy_flow_router_receive_finding(dy_flow_router_t *router,
				    const dy_flow_finding_t *finding,
				    uint64_t now_ms);

/* Expires idle flows and openings. Call it several times per second. */
void dy_flow_router_expire(dy_flow_router_t *router, uint64_t now_ms);

/* Interval of dy_flow_router_serve_searches() while searches run, in ms. */
#define DY_FLOW_SEARCH_INTERVAL_MS 5

/*
 * Continue the searches that got no answer in time; see search_retry.h. Returns
 * the number of searches that run; call it again after
 * DY_FLOW_SEARCH_INTERVAL_MS then.
 */
unsigned dy_flow_router_serve_searches(dy_flow_router_t *router,
				       uint64_t now_ms);

/* Returns the number of searches that run. */
unsigned dy_flow_router_searches(const dy_flow_router_t *router);

/* Record that a forward left; its agent owes a report from then on. */
void dy_flow_router_note_sent(dy_flow_router_t *router,
			      const dy_flow_forward_t *forward,
			      uint64_t now_ms);

/*
 * Returns whether the forward can be sent in its short form: it goes to the
 * known holder of an open flow, and that agent accepts deliveries.
 */
int dy_flow_router_is_delivery(const dy_flow_router_t *router,
			       const dy_flow_forward_t *forward);

/* Returns the number of openings that wait here. */
unsigned dy_flow_router_waiting(const dy_flow_router_t *router);

/* Returns the number of cached flows. */
unsigned dy_flow_router_count(const dy_flow_router_t *router);

#endif
