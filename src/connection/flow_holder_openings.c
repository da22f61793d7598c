/*
 * Openings: which ones the target receives, which are queued, which are passed
 * on.
 */

#include "flow_holder_private.h"

#include <string.h>

/*
 * Returns whether the target has capacity for one more opening. is_new: the
 * opening is neither a retransmission nor from the queue.
 *
 * Load pattern: many callers open flows at the same time, through several
 * balancers that each see only what they opened themselves. Some openings have
 * waited before, as after a power loss that ended all flows.
 * Without it: the first candidate of several balancers queues requests while
 * another target is idle. The latest openings, the only ones that could still
 * be answered in time, wait behind all those that cannot.
 * Mechanism: the agent counts exactly the requests that run or are expected
 * soon. It admits a new opening while they are below DY_OVERLOAD_PERCENT of the
 * slots. It admits one that has waited, here or at its caller, only for a slot
 * that would be idle soon, so that the next new opening finds capacity.
 */
static int has_capacity(const dy_flow_holder_t *holder, int is_new,
			uint64_t now_ms)
{
	unsigned slots = holder->notice.slots;
	unsigned max_requests = (DY_OVERLOAD_PERCENT * slots + 99) / 100;
	unsigned limit =
		is_new ? max_requests
		       : MIN(max_requests, slots + DY_QUEUED_EXTRA_REQUESTS);
	const dy_list_t *half_open = &holder->stages[STAGE_HALF_OPEN];
	unsigned openings = 0;
	const dy_list_t *pos;

	for (pos = half_open->prev; pos != half_open; pos = pos->prev) {
		if (now_ms - DY_LIST_ITEM(pos, held_flow_t, link)->used_ms >
		    DY_FIRST_REQUEST_TIMEOUT_MS)
			break;
		openings++;
	}
	return dy_request_load_slots(&holder->load, openings) < limit;
}

/*
 * Each opening carries the rate, because only balancers have the configuration.
 * The rate is per 1,000 s, so that it can be below one per second.
 */
static void set_cold_limit(dy_flow_holder_t *holder,
			   const dy_flow_forward_t *forward)
{
	double max_openings = forward->cold_openings / 1000.0 *
				      holder->config.cold_overshoot +
			      holder->config.cold_slack;

	if (!forward->cold_openings)
		dy_cold_limit_set(&holder->cold, 0);
	else
		dy_cold_limit_set(&holder->cold,
				  MAX(1, (unsigned)MIN(max_openings,
						       DY_COLD_OPENINGS_MAX)));
}

/*
 * Includes the window after the end of the cold phase, part of which was cold.
 */
static int is_cold(const dy_flow_holder_t *holder, uint64_t now_ms)
{
	return now_ms < holder->cold_until_ms + DY_COLD_WINDOW_MS;
}

/*
 * Returns whether the target is not cold or its limit allows one more opening.
 * An agent that started after its target allows none for one window, because it
 * lacks the openings that an earlier agent admitted.
 */
static int is_within_cold_limit(const dy_flow_holder_t *holder, uint64_t now_ms)
{
	if (!holder->cold.max_per_window || !is_cold(holder, now_ms))
		return 1;
	return now_ms >= holder->cold_unknown_until_ms &&
	       dy_cold_limit_allows(&holder->cold, now_ms);
}

/*
 * Queues an opening and tells its balancer, so that retransmissions come here
 * too.
 */
static int enqueue(dy_flow_holder_t *holder, const dy_flow_forward_t *forward,
		   const dy_packet_t *packet, uint64_t now_ms)
{
	if (!dy_opening_queue_add(holder->queued_openings, forward, packet,
				  now_ms))
		return 0;
	++*holder->deferred;
	holder_log_flow(holder, "opening_deferred", &packet->flow, "overload",
			now_ms);
	holder_send_held(holder, &forward->balancer, &packet->flow, 0, now_ms);
	return 1;
}

static void admit(dy_flow_holder_t *holder, dy_flow_forward_t *forward,
		  const dy_packet_t *packet, uint64_t now_ms)
{
	held_flow_t *flow = g_hash_table_lookup(holder->flows, &packet->flow);

	if (flow)
		holder_drop_flow(holder, flow, "opened_anew", now_ms);
	++*holder->opened;
	dy_cold_limit_record(&holder->cold, now_ms);
	flow = holder_add_flow(holder, &packet->flow, STAGE_HALF_OPEN, now_ms);
	flow->opener = forward->balancer;
	holder_log_flow(holder, "flow_taken", &packet->flow, "opening", now_ms);
	holder_send_to_target(holder, forward, packet, now_ms);
}

void holder_serve_queue(dy_flow_holder_t *holder, uint64_t now_ms)
{
	int accepts = dy_flow_holder_accepts(holder);
	dy_opening_t opening;

	if (!dy_opening_queue_count(holder->queued_openings))
		return;
	while (dy_opening_queue_pop_expired(holder->queued_openings, now_ms,
					    &opening))
		holder_pass_on(holder, &opening.stored.forward, &opening.packet,
			       1);
	while ((!accepts || (has_capacity(holder, 0, now_ms) &&
			     is_within_cold_limit(holder, now_ms))) &&
	       dy_opening_queue_pop(holder->queued_openings, &opening)) {
		if (accepts)
			admit(holder, &opening.stored.forward, &opening.packet,
			      now_ms);
		else
			holder_pass_on(holder, &opening.stored.forward,
				       &opening.packet, 1);
	}
}

static void pass_on_opening(dy_flow_holder_t *holder,
			    dy_flow_forward_t *forward,
			    const dy_packet_t *packet, const char *reason,
			    uint64_t now_ms)
{
	holder_log_flow(holder, "opening_passed_on", &packet->flow, reason,
			now_ms);
	holder_pass_on(holder, forward, packet, 1);
}

/* Returns why an opening has to be passed on or queued, or NULL. */
static const char *defer_reason(const dy_flow_holder_t *holder,
				const dy_packet_t *packet, uint64_t now_ms)
{
	if (!is_within_cold_limit(holder, now_ms))
		return "cold";
	return has_capacity(holder, !packet->retransmits, now_ms) ? NULL
								  : "overload";
}

static const char *refusal_reason(const dy_flow_holder_t *holder)
{
	if (!dy_flow_holder_is_serving(holder))
		return "not_ready";
	return holder->evacuated ? "evacuated" : "service";
}

void holder_handle_opening(dy_flow_holder_t *holder, dy_flow_forward_t *forward,
			   const dy_packet_t *packet, held_flow_t *flow,
			   uint64_t now_ms)
{
	const char *reason;

	if (flow && flow->stage != STAGE_ENDED) {
		holder_touch(holder, flow, now_ms);
		if (flow->stage == STAGE_HALF_OPEN)
			flow->recorded_ms = now_ms;
		flow->opener = forward->balancer;
		holder_send_to_target(holder, forward, packet, now_ms);
		return;
	}
	if (dy_opening_queue_has(holder->queued_openings, &packet->flow)) {
		dy_opening_queue_add(holder->queued_openings, forward, packet,
				     now_ms);
		return;
	}
	if (!dy_flow_holder_accepts(holder) ||
	    strcmp(forward->service, holder->config.service) != 0) {
		++*holder->refused;
		pass_on_opening(holder, forward, packet, refusal_reason(holder),
				now_ms);
		return;
	}
	set_cold_limit(holder, forward);
	reason = defer_reason(holder, packet, now_ms);
	if (reason && forward->step + 1 < forward->tries.tries_len) {
		pass_on_opening(holder, forward, packet, reason, now_ms);
		return;
	}
	if (reason && enqueue(holder, forward, packet, now_ms))
		return;
	if (!is_within_cold_limit(holder, now_ms)) {
		pass_on_opening(holder, forward, packet, "cold", now_ms);
		return;
	}
	admit(holder, forward, packet, now_ms);
}
