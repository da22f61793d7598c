#ifndef DAMASKYARD_ROUTER_PRIVATE_H
#define DAMASKYARD_ROUTER_PRIVATE_H

#include "damaskyard/router.h"

#include "../version/route_table.h"
#include "damaskyard/burn.h"
#include "damaskyard/log.h"
#include "damaskyard/pick.h"
#include "damaskyard/rate_limit.h"
#include "openings.h"

/*
 * Retry delay of a refused caller, in ms, before jitter: the delay sent is
 * between half and one and a half times this, so that refused callers do not
 * all return at once.
 */
#define RETRY_NOT_READY_MS 1000
#define RETRY_NO_TARGET_MS 2000

typedef struct counters {
	uint64_t *received;
	uint64_t *malformed;
	uint64_t *oversized;
	uint64_t *forged;
	uint64_t *expired;
	uint64_t *other_service;
	uint64_t *forwarded;
	uint64_t *opened;
	uint64_t *answered;
	uint64_t *bounced;
	uint64_t *not_ready;
	uint64_t *no_target;
	uint64_t *target_lost;
	uint64_t *too_weak;
	uint64_t *unknown_program;
	uint64_t *to_successor;
	uint64_t *before_state;
} counters_t;

/*
 * Error budget of the calls of one service that this balancer itself refused.
 */
typedef struct service_burn {
	uint64_t id;
	char *name;
	dy_burn_t *burn;
} service_burn_t;

struct dy_router {
	dy_router_config_t config;
	route_table_t *table;
	openings_t *openings;
	dy_pick_config_t pick;
	dy_retry_budget_t retry_budget;
	uint16_t domain;
	int confirmed;
	int state_complete; /* confirmed once: the state is complete */
	int ready;
	counters_t counters;
	dy_log_limit_t drop_limit;
	dy_log_limit_t refuse_limit;
	GHashTable *burns; /* service id: service_burn_t, created lazily */
	uint64_t burn_published_ms;
};

/* A datagram while it is routed. */
typedef struct packet {
	const dy_router_datagram_t *datagram;
	route_service_t *service;
	dy_rpc_call_t call;
	dy_token_t token;
	int idempotent;
	uint32_t hops;
	uint64_t now_ms;
} packet_t;

/*
 * router_refuse.c: replies to callers. retry_ms is the retry delay before
 * jitter, 0: none.
 */
void router_send(dy_router_t *router, const dy_router_datagram_t *datagram,
		 const uint8_t *bytes, size_t len);
void router_refuse(dy_router_t *router, const packet_t *packet,
		   dy_verdict_t verdict, dy_reason_t reason, uint32_t retry_ms);
void router_refuse_too_weak(dy_router_t *router, const packet_t *packet);
void router_refuse_unknown_service(dy_router_t *router, const packet_t *packet);

/*
 * Drops a datagram without an answer: counts it and logs it at a limited rate.
 */
void router_drop(dy_router_t *router, uint64_t *counter, const char *event,
		 const packet_t *packet);

/* Publishes the error budgets, at most once per BURN_PUBLISH_MS. */
void router_publish_burns(dy_router_t *router, uint64_t now_ms);

/* Returns the load state of a target, or NULL if it is not known. */
dy_pick_target_t *router_find_pick(dy_router_t *router, uint64_t service_id,
				   uint64_t incarnation);

/* router_flow.c: selection of the agent. */
void router_open_flow(dy_router_t *router, const packet_t *packet);
void router_route_call(dy_router_t *router, packet_t *packet);

#endif
