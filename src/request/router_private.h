#ifndef DAMASKYARD_ROUTER_PRIVATE_H
#define DAMASKYARD_ROUTER_PRIVATE_H

#include "damaskyard/router.h"

#include "../version/route_table.h"
#include "damaskyard/rate_limit.h"
#include "damaskyard/burn.h"
#include "damaskyard/log.h"
#include "damaskyard/pick.h"
#include "openings.h"

/*
 * When a refused caller should come back, in ms: half to one and a half
 * times this, so that a refused crowd does not come back as one.
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
	uint64_t *chained;
	uint64_t *too_early;
} counters_t;

/* What this balancer itself refused of a service. */
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
	dy_retry_budget_t retries;
	uint16_t domain;
	int confirmed;
	int complete; /* it was confirmed once, so all of the state is here */
	int ready;
	counters_t counters;
	dy_log_limit_t drop_limit;
	dy_log_limit_t refuse_limit;
	GHashTable *burns; /* service id: service_burn_t, once one burned */
	uint64_t burn_published_ms;
};

/* One datagram on its way through. */
typedef struct packet {
	const dy_router_datagram_t *datagram;
	route_service_t *service;
	dy_rpc_call_t call;
	dy_token_t token;
	int idempotent;
	uint32_t hops;
	uint64_t now_ms;
} packet_t;

/* router_refuse.c: what goes back to a caller from here. */
void router_send(dy_router_t *router, const dy_router_datagram_t *datagram,
		 const uint8_t *bytes, size_t len);
void router_refuse(dy_router_t *router, const packet_t *packet,
		   dy_verdict_t verdict, dy_reason_t reason,
		   uint32_t around_ms);
void router_refuse_too_weak(dy_router_t *router, const packet_t *packet);
void router_refuse_unoffered(dy_router_t *router, const packet_t *packet);

/* Count a datagram that gets no answer, and log it under a limit. */
void router_drop(dy_router_t *router, uint64_t *counter, const char *event,
		 const packet_t *packet);
void router_publish_burns(dy_router_t *router, uint64_t now_ms);

/* router_flow.c: to which agent a call goes. */
void router_open_flow(dy_router_t *router, const packet_t *packet);
void router_route_call(dy_router_t *router, packet_t *packet);

#endif
