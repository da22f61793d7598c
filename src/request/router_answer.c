#include "router_private.h"

#include <string.h>

#include <rpc/rpc.h>

/*
 * Maximum number of targets that one datagram is forwarded to. Each has
 * reported that it did not run the call; after three the caller should wait.
 */
#define HOPS_MAX 3

dy_pick_target_t *router_find_pick(dy_router_t *router, uint64_t service_id,
				   uint64_t incarnation)
{
	route_service_t *service =
		route_table_find_service(router->table, service_id);
	route_member_t *member =
		route_table_find_incarnation(router->table, incarnation);

	return service && member ? route_service_find(service, member) : NULL;
}

static void record_answer(dy_pick_target_t *pick, const dy_load_t *load,
			  int opened, uint64_t now_ms)
{
	dy_pick_report_t report = { 0 };

	report.slots = (uint16_t)load->slots;
	report.in_flight = (uint16_t)load->in_flight;
	report.queued = (uint16_t)load->queued;
	report.sessions = load->sessions;
	report.expected_wait_ms = load->wait_ms;
	dy_pick_note_answer(pick, load->slots ? &report : NULL, opened, now_ms);
	if (load->draining)
		pick->draining = 1;
	if (load->cold)
		pick->cold_since_ms = now_ms;
}

/*
 * An agent without its target reports no slots. If this were stored as a load
 * report, the target would get no flow again, because only an answer brings a
 * newer report. It is counted as a failure instead, after which the target is
 * tried again.
 */
static void record_bounce(dy_pick_target_t *pick, const dy_bounce_t *bounce,
			  uint64_t now_ms)
{
	record_answer(pick, &bounce->load, 1, now_ms);
	if (!bounce->load.slots)
		dy_pick_note_failure(pick, 0, now_ms);
	/* Otherwise an agent that has just joined would get no flow. */
	else if (bounce->reason != DY_REASON_NOT_READY)
		dy_pick_note_refusal(pick);
}

static int remove_opening(dy_router_t *router, const dy_address_t *caller,
			  const uint8_t *bytes, size_t len)
{
	opening_t opening;
	uint32_t xid;

	if (len < sizeof(xid))
		return 0;
	memcpy(&xid, bytes, sizeof(xid));
	return openings_remove(router->openings,
			       openings_key(caller, ntohl(xid)), &opening);
}

/*
 * Returns 1 if a call was refused because the target has no capacity, in
 * contradiction to a report of free slots. Refused openings (limit on new
 * sessions) and refusals for lack of a token or a target do not indicate this.
 */
static int is_overload_refusal(const uint8_t *bytes, size_t len)
{
	dy_refusal_t refusal;
	dy_rpc_reply_t reply;

	if (dy_rpc_parse_reply(bytes, len, &reply) ||
	    dy_rpc_load_refusal(&reply, &refusal))
		return 0;
	return refusal.verdict == DY_NOT_RUN &&
	       (refusal.reason == DY_REASON_OVERLOAD ||
		refusal.reason == DY_REASON_DEADLINE);
}

void dy_router_receive_answer(dy_router_t *router, const dy_answer_t *answer,
			      uint64_t now_ms)
{
	const uint8_t *bytes = (const uint8_t *)answer->datagram.datagram_val;
	size_t len = answer->datagram.datagram_len;
	dy_pick_target_t *pick;
	int opened;

	opened = remove_opening(router, &answer->caller, bytes, len);
	pick = router_find_pick(router, answer->service, answer->incarnation);
	if (pick) {
		record_answer(pick, &answer->load, opened, now_ms);
		if (!opened && is_overload_refusal(bytes, len))
			dy_pick_note_refusal(pick);
	}
	++*router->counters.answered;
	router->config.callbacks->answer(router->config.context, answer->socket,
					 &answer->caller, bytes, len);
}

void dy_router_receive_bounce(dy_router_t *router, const dy_bounce_t *bounce,
			      uint64_t now_ms)
{
	const dy_forward_t *forward = &bounce->forward;
	dy_router_datagram_t datagram = { 0 };
	packet_t packet = { 0 };
	dy_pick_target_t *pick;

	++*router->counters.bounced;
	datagram.service = forward->service;
	datagram.socket = forward->socket;
	datagram.caller = forward->caller;
	datagram.bytes = (const uint8_t *)forward->datagram.datagram_val;
	datagram.len = forward->datagram.datagram_len;
	packet.datagram = &datagram;
	packet.now_ms = now_ms;
	packet.hops = forward->hops + 1;
	if (dy_rpc_parse_call(datagram.bytes, datagram.len, &packet.call))
		return;
	remove_opening(router, &datagram.caller, datagram.bytes, datagram.len);
	pick = router_find_pick(router, forward->service, forward->incarnation);
	if (pick)
		record_bounce(pick, bounce, now_ms);
	packet.service =
		route_table_find_service(router->table, datagram.service);
	if (packet.service && packet.hops < HOPS_MAX &&
	    dy_retry_budget_withdraw(&router->retry_budget, DY_RETRY_NOT_RUN)) {
		router_open_flow(router, &packet);
		return;
	}
	++*router->counters.no_target;
	router_refuse(router, &packet, DY_NOT_RUN, DY_REASON_NO_TARGET,
		      RETRY_NO_TARGET_MS);
}

void dy_router_expire(dy_router_t *router, uint64_t now_ms)
{
	dy_pick_target_t *pick;
	opening_t opening;

	while (openings_expire(router->openings, now_ms, &opening)) {
		pick = router_find_pick(router, opening.service,
					opening.incarnation);
		if (pick)
			dy_pick_note_failure(pick, 1, now_ms);
	}
	router_publish_burns(router, now_ms);
	route_table_expire(router->table, now_ms);
}
