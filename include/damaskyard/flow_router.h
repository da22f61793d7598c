#ifndef DAMASKYARD_FLOW_ROUTER_H
#define DAMASKYARD_FLOW_ROUTER_H

/*
 * A balancer's decisions about packets of flows: where each goes. No network:
 * packets and agents' messages go in, forwards and resets come out.
 *
 * A flow's holder is remembered once its agent has told it. A packet of a
 * flow that is not known here, as after a restart of this balancer or a
 * change of the fabric's spraying, is sent along the agents that may hold it;
 * the one that does tells. Nothing is shared between balancers.
 *
 * A flow whose agent is lost is reset at its next packet: the caller waits in
 * vain, and can open another now. If its requests may be repeated, that an
 * agent falls silent is enough.
 */

#include <stdint.h>

#include "damaskyard/flow_rules.h"
#include "damaskyard/flow_targets.h"
#include "damaskyard/metrics.h"
#include "damaskyard/packet.h"

/*
 * How long the holder of a flow without packets is remembered, in ms. The
 * longest pause that a configuration allows is 15 s; a flow that outlives the
 * record is found again by asking.
 */
#define DY_FLOW_IDLE_MS 30000

/*
 * Flows remembered at most; the one idle longest makes room. At some 250 bytes
 * each these are 50 MB, where a balancer has 80; a flow that is not remembered
 * is found again by asking.
 */
#define DY_FLOWS_MAX 200000

typedef struct dy_flow_router dy_flow_router_t;

typedef struct dy_flow_router_callbacks {
	/* Send forward to the agent at forward->tries[0]. */
	void (*forward)(void *context, dy_flow_forward_t *forward);
	/* Reset a flow towards its caller. */
	void (*reset)(void *context, const dy_flow_id_t *flow, uint32_t seq);
	/* Have the members confirmed soon; see set_confirmed(). */
	void (*confirm_members)(void *context);
	/* Ask the agent for a report. */
	void (*request_report)(void *context, const dy_address_t *agent);
} dy_flow_router_callbacks_t;

typedef struct dy_flow_router_config {
	dy_address_t self; /* where agents answer */
	const char *domain;
	dy_metrics_t *metrics;
	const dy_flow_router_callbacks_t *callbacks;
	void *context;
} dy_flow_router_config_t;

/* config is copied; what it points to must outlive the router. */
dy_flow_router_t *dy_flow_router_create(const dy_flow_router_config_t *config);
void dy_flow_router_destroy(dy_flow_router_t *router);

/* Take over rules; an older version than the one held is dropped. */
void dy_flow_router_set_rules(dy_flow_router_t *router, dy_flow_rules_t *rules);

void dy_flow_router_set_member(dy_flow_router_t *router,
			       const dy_member_t *member);

/* Take that a failure domain was evacuated, or readmitted. */
void dy_flow_router_set_domain(dy_flow_router_t *router,
			       const dy_domain_info_t *domain);

/*
 * Say that the members were confirmed by a majority, in answer to a poll that
 * was sent at polled_ms.
 *
 * A flow that no agent holds is reset only once a poll that was sent after the
 * search told of no change of members: an agent that had joined by then, and
 * got the flow by another balancer, would not have been asked. If there was a
 * change, the flow is searched for again with its next packet.
 */
void dy_flow_router_set_members_confirmed(dy_flow_router_t *router,
					  uint64_t polled_ms);

/* Take a packet of a caller; bytes is what was decoded into packet. */
void dy_flow_router_receive_packet(dy_flow_router_t *router,
				   const dy_packet_t *packet, uint8_t *bytes,
				   size_t len, uint64_t now_ms);

/* Take what agents say. packet is nowhere->packet, decoded. */
void dy_flow_router_receive_held(dy_flow_router_t *router,
				 const dy_flow_held_t *held, uint64_t now_ms);
void dy_flow_router_receive_nowhere(dy_flow_router_t *router,
				    const dy_flow_nowhere_t *nowhere,
				    const dy_packet_t *packet, uint64_t now_ms);
void dy_flow_router_receive_report(dy_flow_router_t *router,
				   const dy_flow_report_t *report,
				   uint64_t now_ms);

/* Forget flows that were idle for too long. Call it some times a second. */
void dy_flow_router_expire(dy_flow_router_t *router, uint64_t now_ms);

unsigned dy_flow_router_count(const dy_flow_router_t *router);

#endif
