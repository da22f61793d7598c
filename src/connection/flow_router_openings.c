/* New flows: which service and agents an opening is sent to. */

#include "flow_router_private.h"

#include <string.h>

#include "damaskyard/address.h"
#include "damaskyard/caller_rank.h"

/*
 * The service is the one that the flow's hash selects, or the entry's next one
 * with a target.
 */
int flow_router_choose_agents(const dy_flow_router_t *router,
			      const dy_flow_id_t *flow, uint64_t now_ms,
			      assignment_t *assignment)
{
	const dy_flow_entry_t *entry = flow_router_find_entry(router, flow);
	uint8_t order[DY_FLOW_SHARES_MAX];
	const dy_flow_share_t *share;
	unsigned i;

	if (!entry)
		return 0;
	assignment->entry = entry;
	dy_flow_entry_order_shares(entry, flow, order);
	for (i = 0; i < entry->share_count && !assignment->count; i++) {
		share = &entry->shares[order[i]];
		if (!share->weight)
			continue;
		assignment->service = share->service;
		assignment->count = dy_flow_targets_choose(
			router->targets, share->service, flow,
			entry->bulk || flow_router_count_waiting(
					       router, share->service),
			now_ms, assignment->agents);
	}
	return assignment->count > 0;
}

static void log_assigned(dy_flow_router_t *router, const flow_t *flow,
			 const char *service, unsigned candidates,
			 unsigned retransmits, uint64_t now_ms)
{
	char text[DY_FLOW_TEXT_BYTES];
	char agent[DY_ADDRESS_TEXT_BYTES];

	if (!dy_log_allow(&router->assigned_limit, "flow_assigned", now_ms))
		return;
	dy_log_event(DY_LOG_INFO, "flow_assigned",
		     "flow=%s service=%s agent=%s choices=%u copy=%u "
		     "version=%lu",
		     dy_flow_id_format(&flow->id, text), service,
		     dy_address_format(&flow->agent, agent), candidates,
		     retransmits,
		     (unsigned long)dy_flow_rules_version(router->rules));
}

/*
 * A retransmitted SYN whose first agent did not report back gets a second
 * chance with another agent, because the first one may be gone. If both targets
 * respond, the caller acknowledges one of them, which tells the agents who has
 * the flow.
 */
static void handle_unanswered_opening(dy_flow_router_t *router,
				      const flow_t *flow, uint64_t now_ms)
{
	if (!flow || !flow->agent.port)
		return;
	++*router->second_chances;
	dy_flow_targets_note_unanswered(router->targets, &flow->agent, now_ms);
}

/*
 * Candidates that an opening is sent with, the best again at the end. Each
 * takes 20 bytes of the balancer's link, and after a loss of power openings are
 * up to half of what a thin link carries. Four leave an opening that finds the
 * best one at capacity three more to try.
 */
#define OPENING_CANDIDATES_MAX 4u

/* Time in ms for an agent's answer to an opening: some round trips. */
#define OPENING_ANSWER_MS 50

/*
 * Appends the best candidate once more at the end of the list, where openings
 * wait.
 *
 * Load pattern: all targets are at capacity, and hundreds of openings arrive at
 * the same time.
 * Without it: openings wait at their last candidate. That is the fullest
 * target, the same one for all flows, and they wait there until they are
 * refused while slots become free at other targets.
 * Mechanism: the best candidate is also the last one. Balancers count the flows
 * that they opened, so this candidate varies between openings.
 */
static unsigned append_best_candidate(dy_address_t list[DY_FLOW_TRIES],
				      unsigned count)
{
	if (count > 1 && count < DY_FLOW_TRIES)
		list[count++] = list[0];
	return count;
}

void flow_router_send_opening(dy_flow_router_t *router,
			      const assignment_t *assignment,
			      const dy_packet_t *packet, uint8_t *bytes,
			      size_t len, uint64_t now_ms)
{
	const dy_flow_entry_t *entry = assignment->entry;
	dy_address_t list[DY_FLOW_TRIES];
	dy_flow_forward_t forward = { 0 };
	flow_t *flow;

	memcpy(list, assignment->agents, assignment->count * sizeof(list[0]));
	++*router->opened;
	flow = flow_router_get_flow(router, &packet->flow, now_ms);
	flow->agent = list[0];
	flow->granted_ms = assignment->wait == DY_FLOW_GRANTED ? now_ms : 0;
	flow->waiting_since_ms = assignment->waiting_since_ms;
	if (entry->upload)
		flow_router_begin_upload(router, flow, now_ms);
	dy_flow_targets_note_opened(router->targets, &list[0]);
	log_assigned(router, flow, assignment->service, assignment->count,
		     packet->retransmits, now_ms);
	forward.service = (char *)assignment->service;
	forward.cold_openings =
		dy_flow_rules_cold_openings(router->rules, assignment->service);
	forward.tell = 1;
	forward.certain = 1;
	forward.complete = 1;
	forward.wait = assignment->wait;
	if (forward.wait != DY_FLOW_WAIT_AT_AGENT)
		forward.standing = dy_opening_standing(
			entry->priority, 0,
			flow_router_caller_rank(router, &packet->flow));
	forward.tries.tries_val = list;
	forward.tries.tries_len =
		MIN(assignment->count, OPENING_CANDIDATES_MAX);
	if (forward.wait != DY_FLOW_GRANTED)
		forward.tries.tries_len =
			append_best_candidate(list, forward.tries.tries_len);
	flow_router_send_forward(router, &forward, packet, bytes, len);
}

void flow_router_open_flow(dy_flow_router_t *router, const dy_packet_t *packet,
			   uint8_t *bytes, size_t len, uint64_t now_ms)
{
	assignment_t assignment = { 0 };
	waiting_place_t place = { 0 };

	if (router->config.wait_at_balancer)
		assignment.wait = DY_FLOW_WAIT_AT_BALANCER;
	if (!flow_router_choose_agents(router, &packet->flow, now_ms,
				       &assignment)) {
		flow_router_refuse(router, packet, "no_target", now_ms);
		return;
	}
	if (flow_router_count_waiting(router, assignment.service) <
	    DY_WAITING_FEW) {
		flow_router_send_opening(router, &assignment, packet, bytes,
					 len, now_ms);
		return;
	}
	place.entry = assignment.entry;
	place.service = assignment.service;
	place.agent = &assignment.agents[0];
	place.since_ms = now_ms;
	flow_router_queue_opening(router, &place, packet, bytes, len, now_ms);
}

/*
 * Guards against a healthy agent that is taken for gone because its opening
 * still waits for this balancer's link, or has left only now, as it waited here
 * for a place.
 */
static int is_answer_early(const dy_flow_router_t *router, const flow_t *flow,
			   uint64_t now_ms)
{
	return flow && flow->agent.port &&
	       ((flow->granted_ms &&
		 now_ms - flow->granted_ms < OPENING_ANSWER_MS) ||
		router->config.callbacks->is_waiting(router->config.context,
						     &flow->id));
}

void flow_router_route_opening(dy_flow_router_t *router,
			       const dy_packet_t *packet, uint8_t *bytes,
			       size_t len, uint64_t now_ms)
{
	const dy_flow_entry_t *entry =
		flow_router_find_entry(router, &packet->flow);
	flow_t *flow = g_hash_table_lookup(router->flows, &packet->flow);

	if (!entry) {
		++*router->no_entry;
		flow_router_reset_opening(router, packet, "no_entry", now_ms);
		return;
	}
	if (flow && flow->holder_reported) {
		flow_router_touch(router, flow, now_ms);
		flow_router_send_to_holder(router, flow, packet, bytes, len,
					   now_ms);
		return;
	}
	if (dy_waiting_openings_has(router->waiting, &packet->flow) ||
	    is_answer_early(router, flow, now_ms))
		return;
	if (!flow && entry->upload &&
	    flow_router_defer_upload(router, entry, packet, bytes, len, now_ms))
		return;
	handle_unanswered_opening(router, flow, now_ms);
	flow_router_open_flow(router, packet, bytes, len, now_ms);
}
