#include "router_private.h"

#include <rpc/rpc.h>

/*
 * Interval at which error budgets are published, in ms. Their readers use
 * windows of minutes and more.
 */
#define BURN_PUBLISH_MS 1000

void router_send(dy_router_t *router, const dy_router_datagram_t *datagram,
		 const uint8_t *bytes, size_t len)
{
	if (len)
		router->config.callbacks->answer(router->config.context,
						 datagram->socket,
						 &datagram->caller, bytes, len);
}

static uint32_t add_retry_jitter(dy_router_t *router, uint32_t retry_ms)
{
	if (!retry_ms)
		return 0;
	return (uint32_t)g_rand_int_range(router->config.rand,
					  (gint32)retry_ms / 2,
					  (gint32)retry_ms * 3 / 2);
}

static void count_burn(dy_router_t *router, const packet_t *packet,
		       dy_outcome_t outcome)
{
	service_burn_t *burn;

	if (!packet->service)
		return;
	burn = g_hash_table_lookup(router->burns,
				   &packet->service->service->id);
	if (!burn) {
		burn = g_new0(service_burn_t, 1);
		burn->id = packet->service->service->id;
		burn->name = g_strdup(packet->service->service->name);
		burn->burn = dy_burn_create();
		g_hash_table_insert(router->burns, &burn->id, burn);
	}
	dy_burn_add(burn->burn, outcome, packet->now_ms);
}

void router_refuse(dy_router_t *router, const packet_t *packet,
		   dy_verdict_t verdict, dy_reason_t reason, uint32_t retry_ms)
{
	dy_refusal_t refusal = { verdict, reason, 0 };
	uint8_t out[DY_RPC_MAX_HEADER_BYTES];

	if (dy_log_allow(&router->refuse_limit, "call_refused", packet->now_ms))
		dy_log_event(DY_LOG_WARN, "call_refused",
			     "verdict=%s reason=%s service=%s xid=%08x",
			     dy_verdict_name(verdict), dy_reason_name(reason),
			     packet->service ? packet->service->service->name
					     : "-",
			     packet->call.xid);
	count_burn(router, packet,
		   verdict == DY_NOT_RUN ? DY_OUTCOME_REFUSED
					 : DY_OUTCOME_BROKEN_FLOW);
	refusal.retry_after_ms = add_retry_jitter(router, retry_ms);
	router_send(router, packet->datagram, out,
		    dy_rpc_write_refusal(packet->call.xid, &refusal, out,
					 sizeof(out)));
}

void router_refuse_too_weak(dy_router_t *router, const packet_t *packet)
{
	uint8_t out[DY_RPC_MAX_HEADER_BYTES];

	++*router->counters.too_weak;
	router_send(router, packet->datagram, out,
		    dy_rpc_write_too_weak(packet->call.xid, out, sizeof(out)));
}

/*
 * Refuses a call of a service that the document in force no longer contains. A
 * call with a token may have run already.
 */
void router_refuse_unknown_service(dy_router_t *router, const packet_t *packet)
{
	dy_verdict_t verdict = DY_NOT_RUN;

	if (packet->call.credential.flavor == AUTH_SHORT)
		verdict = DY_MAY_HAVE_RUN;
	++*router->counters.no_target;
	router_refuse(router, packet, verdict, DY_REASON_NO_TARGET,
		      RETRY_NO_TARGET_MS);
}

void router_drop(dy_router_t *router, uint64_t *counter, const char *event,
		 const packet_t *packet)
{
	char caller[DY_ADDRESS_TEXT_BYTES];

	++*counter;
	if (dy_log_allow(&router->drop_limit, event, packet->now_ms))
		dy_log_event(
			DY_LOG_WARN, event, "caller=%s",
			dy_address_format(&packet->datagram->caller, caller));
}

void router_publish_burns(dy_router_t *router, uint64_t now_ms)
{
	GHashTableIter iter;
	service_burn_t *burn;
	gpointer value;

	if (now_ms - router->burn_published_ms < BURN_PUBLISH_MS)
		return;
	router->burn_published_ms = now_ms;
	g_hash_table_iter_init(&iter, router->burns);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		burn = value;
		dy_burn_publish(burn->burn, router->config.metrics, burn->name,
				now_ms);
	}
}
