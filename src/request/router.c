#include "router_private.h"

#include <rpc/rpc.h>

/*
 * Retries at another target add at most a fifth to the openings, so that
 * targets that all return their openings do not get three times the load. The
 * burst covers the openings that reach a draining target within one poll
 * interval, some hundred, which may all move at once.
 */
#define RETRY_RATIO_PERMILLE 200
#define RETRY_BURST 200

static void register_counters(counters_t *counters, dy_metrics_t *metrics)
{
	const dy_metrics_entry_t entries[] = {
		{ "calls_received", &counters->received },
		{ "calls_malformed", &counters->malformed },
		{ "calls_oversized", &counters->oversized },
		{ "tokens_forged", &counters->forged },
		{ "tokens_expired", &counters->expired },
		{ "tokens_other_service", &counters->other_service },
		{ "calls_forwarded", &counters->forwarded },
		{ "flows_opened", &counters->opened },
		{ "answers_sent", &counters->answered },
		{ "calls_bounced", &counters->bounced },
		{ "refused_not_ready", &counters->not_ready },
		{ "refused_no_target", &counters->no_target },
		{ "refused_target_lost", &counters->target_lost },
		{ "refused_too_weak", &counters->too_weak },
		{ "refused_unknown_program", &counters->unknown_program },
		{ "calls_to_successor", &counters->to_successor },
		{ "calls_before_state", &counters->before_state },
	};

	dy_metrics_counters(metrics, entries, G_N_ELEMENTS(entries));
}

static void destroy_burn(gpointer data)
{
	service_burn_t *burn = data;

	dy_burn_destroy(burn->burn);
	g_free(burn->name);
	g_free(burn);
}

dy_router_t *dy_router_create(const dy_router_config_t *config)
{
	static const dy_log_limit_t limit = DY_LOG_LIMIT_INIT(5, 10000);
	dy_router_t *router = g_new0(dy_router_t, 1);

	router->config = *config;
	router->table = route_table_create();
	router->openings = openings_create();
	router->burns = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      destroy_burn);
	router->domain =
		route_table_domain_index(router->table, config->domain);
	router->drop_limit = limit;
	router->refuse_limit = limit;
	dy_pick_config_init(&router->pick, DY_PICK_AVOID_BROKEN_FLOWS);
	register_counters(&router->counters, config->metrics);
	dy_retry_budget_init(&router->retry_budget, RETRY_RATIO_PERMILLE,
			     RETRY_BURST);
	return router;
}

void dy_router_destroy(dy_router_t *router)
{
	if (!router)
		return;
	route_table_destroy(router->table);
	openings_destroy(router->openings);
	g_hash_table_destroy(router->burns);
	g_free(router);
}

static void configure_pick(dy_router_t *router)
{
	const dy_document_t *document = route_table_document(router->table);
	dy_pick_priority_t weigh = DY_PICK_AVOID_BROKEN_FLOWS;

	if (document && dy_document_priority(document) == DY_PRIORITY_IMBALANCE)
		weigh = DY_PICK_AVOID_IMBALANCE;
	dy_pick_config_init(&router->pick, weigh);
	router->pick.balancers = route_table_balancer_count(router->table);
	router->pick.domain = router->domain;
}

void dy_router_set_document(dy_router_t *router, dy_document_t *document,
			    uint64_t now_ms)
{
	route_table_set_document(router->table, document, now_ms);
	configure_pick(router);
}

const dy_document_t *dy_router_document(const dy_router_t *router)
{
	return route_table_document(router->table);
}

void dy_router_set_member(dy_router_t *router, const dy_member_t *member,
			  uint64_t now_ms)
{
	route_table_set_member(router->table, member, now_ms);
	if (member->info.kind == DY_MEMBER_BALANCER)
		configure_pick(router);
}

void dy_router_set_domain(dy_router_t *router, const char *domain,
			  int evacuated, uint64_t now_ms)
{
	route_table_set_domain(router->table, domain, evacuated, now_ms);
}

void dy_router_set_confirmed(dy_router_t *router, int confirmed)
{
	router->confirmed = confirmed;
	if (confirmed)
		router->state_complete = 1;
}

void dy_router_set_ready(dy_router_t *router, int ready)
{
	router->ready = ready;
}

unsigned dy_router_target_count(const dy_router_t *router, uint64_t service)
{
	const route_service_t *found =
		route_table_find_service(router->table, service);

	return found ? found->count : 0;
}

static void answer_probe(dy_router_t *router, const packet_t *packet)
{
	uint8_t out[DY_RPC_MAX_HEADER_BYTES];
	dy_rpc_reply_t reply = { 0 };

	if (!router->ready) {
		router_refuse(router, packet, DY_NOT_RUN, DY_REASON_NOT_READY,
			      RETRY_NOT_READY_MS);
		return;
	}
	reply.xid = packet->call.xid;
	reply.status = SUCCESS;
	router_send(router, packet->datagram, out,
		    dy_rpc_write_reply(&reply, out, sizeof(out)));
}

static int is_probe(const dy_rpc_call_t *call)
{
	return call->program == DY_CALLER_PROGRAM &&
	       call->procedure == DY_CALLER_NULL;
}

static int is_cancel(const dy_rpc_call_t *call)
{
	return call->program == DY_CALLER_PROGRAM &&
	       call->procedure == DY_CALLER_CANCEL;
}

static int serves_program(const route_service_t *service,
			  const dy_rpc_call_t *call)
{
	return call->program == service->service->program &&
	       call->program_version == service->service->program_version;
}

/*
 * Returns 1 if the datagram is a well-formed call that can be routed. Otherwise
 * drops it, or refuses it if it is truncated or too large.
 */
static int load_packet(dy_router_t *router, packet_t *packet)
{
	const dy_router_datagram_t *datagram = packet->datagram;

	++*router->counters.received;
	if (dy_rpc_parse_call(datagram->bytes, datagram->len, &packet->call)) {
		router_drop(router, router->counters.malformed,
			    "call_malformed", packet);
		return 0;
	}
	if (!datagram->truncated && datagram->len <= DY_DATAGRAM_BYTES)
		return 1;
	++*router->counters.oversized;
	router_refuse(router, packet, DY_NOT_RUN, DY_REASON_TOO_LARGE, 0);
	return 0;
}

void dy_router_receive(dy_router_t *router,
		       const dy_router_datagram_t *datagram, uint64_t now_ms)
{
	packet_t packet = { 0 };

	packet.datagram = datagram;
	packet.now_ms = now_ms;
	if (!load_packet(router, &packet))
		return;
	if (is_probe(&packet.call)) {
		answer_probe(router, &packet);
		return;
	}
	packet.service =
		route_table_find_service(router->table, datagram->service);
	if (!packet.service) {
		router_refuse_unknown_service(router, &packet);
		return;
	}
	packet.idempotent = dy_service_is_idempotent(packet.service->service,
						     packet.call.procedure);
	if (is_cancel(&packet.call)) {
		packet.idempotent = 0;
	} else if (!serves_program(packet.service, &packet.call)) {
		++*router->counters.unknown_program;
		router_refuse(router, &packet, DY_NOT_RUN,
			      DY_REASON_UNKNOWN_PROGRAM, 0);
		return;
	}
	router_route_call(router, &packet);
}
