#ifndef DAMASKYARD_ROUTER_H
#define DAMASKYARD_ROUTER_H

/*
 * Routes the datagrams of a balancer: to the agent named by the token, to a
 * target selected for a new flow, or back to the caller with a refusal.
 *
 * The router holds the state that it gets from control (document, members,
 * token keys) and the load of each target as seen by this balancer. It holds no
 * state of a flow that another balancer would need: any balancer can route any
 * packet of a flow. It does no I/O: datagrams come in by calls and go out by
 * callbacks.
 *
 * Load pattern: thousands of new flows per second among hundreds of thousands
 * of open ones, each packet at any balancer. Without the token each balancer
 * would need a table of all flows, replicated to all balancers.
 *
 * Refusals by kind of call:
 *	no token, not idempotent	AUTH_TOOWEAK: not run
 *	no token, no target or state	not run
 *	token of a dead incarnation	not idempotent: may have run, since a
 *					duplicate may have run there before;
 *					idempotent: another target
 *	token made with a retired key	as for a dead incarnation
 *	token forged, or of another
 *	service; malformed message	dropped and counted
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "damaskyard/document.h"
#include "damaskyard/metrics.h"
#include "damaskyard/token.h"
#include "dy_agent.h"
#include "dy_control.h"

typedef struct dy_router dy_router_t;

typedef struct dy_router_callbacks {
	/* Sends to an agent. forward is valid during the call only. */
	void (*forward)(void *context, const dy_address_t *to,
			dy_forward_t *forward);
	/* Sends to a caller, from the socket that received its datagram. */
	void (*answer)(void *context, uint64_t socket,
		       const dy_address_t *caller, const uint8_t *bytes,
		       size_t len);
} dy_router_callbacks_t;

typedef struct dy_router_config {
	dy_keyring_t *keyring;
	dy_metrics_t *metrics;
	GRand *rand;
	const char *domain; /* failure domain of this balancer */
	const dy_router_callbacks_t *callbacks;
	void *context;
} dy_router_config_t;

/*
 * Creates a router. config is copied; the objects that it points to must
 * outlive the router. Never fails.
 */
dy_router_t *dy_router_create(const dy_router_config_t *config);

/* Frees a router and its document. NULL is allowed. */
void dy_router_destroy(dy_router_t *router);

/*
 * Sets a newer document; the router takes ownership of it. Targets of a service
 * that both documents contain keep their load state.
 */
void dy_router_set_document(dy_router_t *router, dy_document_t *document,
			    uint64_t now_ms);

/* Returns the document in force, owned by the router, or NULL before one. */
const dy_document_t *dy_router_document(const dy_router_t *router);

/* Adds or updates a member, as reported by control. member is copied. */
void dy_router_set_member(dy_router_t *router, const dy_member_t *member,
			  uint64_t now_ms);

/* Marks a failure domain as evacuated (1) or readmitted (0). */
void dy_router_set_domain(dy_router_t *router, const char *domain,
			  int evacuated, uint64_t now_ms);

/*
 * Sets whether a majority of controls has confirmed this balancer's state
 * recently. Without confirmation new flows are refused as not run; open flows
 * continue, since the agent that owns them decides whether they may.
 */
void dy_router_set_confirmed(dy_router_t *router, int confirmed);

/*
 * Sets whether the fabric may send traffic here: the reply to its health probe.
 */
void dy_router_set_ready(dy_router_t *router, int ready);

/* One datagram from a caller. */
typedef struct dy_router_datagram {
	uint64_t service; /* id of the service whose address received it */
	uint64_t socket;  /* passed to the answer() callback */
	dy_address_t caller;
	const uint8_t *bytes;
	size_t len;
	int truncated;
} dy_router_datagram_t;

/*
 * Handles a datagram from a caller: forwards it to an agent, replies to the
 * caller, or drops it.
 */
void dy_router_receive(dy_router_t *router,
		       const dy_router_datagram_t *datagram, uint64_t now_ms);

/*
 * Handles messages from agents: an answer for a caller, and a forward that an
 * agent returned because it does not serve the call.
 */
void dy_router_receive_answer(dy_router_t *router, const dy_answer_t *answer,
			      uint64_t now_ms);
void dy_router_receive_bounce(dy_router_t *router, const dy_bounce_t *bounce,
			      uint64_t now_ms);

/*
 * Counts openings without an answer in time as failures of their targets, and
 * drops members that ended a day ago. Call it a few times per second.
 */
void dy_router_expire(dy_router_t *router, uint64_t now_ms);

/*
 * Returns the number of targets that may serve a service, ejected ones
 * included; 0 if the service is unknown.
 */
unsigned dy_router_target_count(const dy_router_t *router, uint64_t service);

#endif
