#ifndef DAMASKYARD_ROUTER_H
#define DAMASKYARD_ROUTER_H

/*
 * Where a balancer sends each datagram: to the agent that its token names,
 * to a target picked for a new flow, or back to the caller with a refusal.
 *
 * The router holds what control says (document, members, token keys) and a
 * view of each target's load. It holds nothing of a flow that another
 * balancer would need: any balancer can take any packet of it. It does no
 * I/O: datagrams come in by calls and go out by callbacks.
 *
 * Load pattern: thousands of new flows a second among hundreds of thousands
 * of open ones, each packet at any balancer. Without the token each balancer
 * would need a table of all flows, kept the same on all of them.
 *
 * What it refuses and how, for a call that reaches it:
 *	no token, not idempotent	AUTH_TOOWEAK: not run
 *	no token, no target or state	not run
 *	token of a dead incarnation	not idempotent: may have run, since a
 *					copy may have run there before;
 *					idempotent: another target
 *	token made with a retired key	as of a dead incarnation
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
	/* Send to an agent; forward is valid during the call only. */
	void (*forward)(void *context, const dy_address_t *to,
			dy_forward_t *forward);
	/* Send to a caller from the socket its datagram came to. */
	void (*answer)(void *context, uint64_t socket,
		       const dy_address_t *caller, const uint8_t *bytes,
		       size_t len);
} dy_router_callbacks_t;

typedef struct dy_router_config {
	dy_keyring_t *keyring;
	dy_metrics_t *metrics;
	GRand *rand;
	const char *domain; /* this balancer's own failure domain */
	const dy_router_callbacks_t *callbacks;
	void *context;
} dy_router_config_t;

/* config is copied; what it points to must outlive the router. */
dy_router_t *dy_router_create(const dy_router_config_t *config);
void dy_router_destroy(dy_router_t *router);

/* Take a newer document, which the router then owns. */
void dy_router_set_document(dy_router_t *router, dy_document_t *document,
			    uint64_t now_ms);
const dy_document_t *dy_router_document(const dy_router_t *router);

/* Take what control says of a member. */
void dy_router_set_member(dy_router_t *router, const dy_member_t *member,
			  uint64_t now_ms);

/* Take that a failure domain was evacuated, or readmitted. */
void dy_router_set_domain(dy_router_t *router, const char *domain,
			  int evacuated, uint64_t now_ms);

/*
 * Whether a majority confirmed this balancer's state lately. While it did
 * not, new flows are refused as not run; open ones go on, since the agent
 * that owns them decides whether they may.
 */
void dy_router_set_confirmed(dy_router_t *router, int confirmed);

/* Whether the fabric should send here: the answer to its probe. */
void dy_router_set_ready(dy_router_t *router, int ready);

/* One datagram from a caller. */
typedef struct dy_router_datagram {
	uint64_t service; /* id of the service whose address it came to */
	uint64_t socket;  /* given back to answer() */
	dy_address_t caller;
	const uint8_t *bytes;
	size_t len;
	int truncated;
} dy_router_datagram_t;

void dy_router_receive(dy_router_t *router,
		       const dy_router_datagram_t *datagram, uint64_t now_ms);

/* Messages from agents. */
void dy_router_receive_answer(dy_router_t *router, const dy_answer_t *answer,
			      uint64_t now_ms);
void dy_router_receive_bounce(dy_router_t *router, const dy_bounce_t *bounce,
			      uint64_t now_ms);

/*
 * Note openings that had no answer in time, and forget members that are over.
 * Call it a few times a second.
 */
void dy_router_expire(dy_router_t *router, uint64_t now_ms);

/* Targets that may serve a service, and those of them that are ejected. */
unsigned dy_router_target_count(const dy_router_t *router, uint64_t service);

#endif
