/*
 * Opening packets: which the target gets, which wait, which go elsewhere.
 */

#include "flow_holder_private.h"

#include <string.h>

/*
 * Load pattern: many callers open flows within one moment, by several
 * balancers that each know only what they opened themselves; some of them have
 * waited already, as all do whose flows were lost with the power.
 * What happens without it: the first choice of several balancers queues while
 * another target is idle; and those who come last, and alone could still be
 * answered in time, stand behind all that cannot.
 * What is done: what is known here is exact: requests that were begun, or are
 * about to be. An opening that has just come is taken while these are fewer
 * than DY_OVERLOAD_PERCENT of the slots. One that has waited, here or at its
 * caller, is taken only by a slot that would be idle soon, so that the next
 * fresh one finds room.
 */
static int has_room(const dy_flow_holder_t *holder, int fresh, uint64_t now_ms)
{
	unsigned slots = holder->notice.slots;
	unsigned most = (DY_OVERLOAD_PERCENT * slots + 99) / 100;
	unsigned limit =
		fresh ? most : MIN(most, slots + DY_QUEUED_EXTRA_REQUESTS);
	const dy_list_t *halves = &holder->stages[STAGE_HALF];
	unsigned expected = holder->busy;
	const dy_list_t *pos;

	for (pos = halves->prev; pos != halves && expected < limit;
	     pos = pos->prev) {
		if (now_ms - DY_LIST_ITEM(pos, held_flow_t, link)->used_ms >
		    DY_FIRST_REQUEST_TIMEOUT_MS)
			break;
		expected++;
	}
	return expected < limit;
}

/*
 * The rate comes with each opening: balancers have the configuration. It is
 * given in 1,000 s, so that less than one a second can be said.
 */
static void set_cold_limit(dy_flow_holder_t *holder,
			   const dy_flow_forward_t *forward)
{
	double most = forward->cold_openings / 1000.0 *
			      holder->config.cold_overshoot +
		      holder->config.cold_slack;

	if (!forward->cold_openings)
		dy_cold_limit_set(&holder->cold, 0);
	else
		dy_cold_limit_set(
			&holder->cold,
			MAX(1, (unsigned)MIN(most, DY_COLD_OPENINGS_MAX)));
}

/* A target that turned warm in this very window is cold in a part of it. */
static int is_cold(const dy_flow_holder_t *holder, uint64_t now_ms)
{
	return now_ms < holder->cold_until_ms + DY_COLD_WINDOW_MS;
}

/* Whether a target that is cold bears one more opening in this second. */
static int bears_opening(const dy_flow_holder_t *holder, uint64_t now_ms)
{
	if (!holder->cold.max_per_window || !is_cold(holder, now_ms))
		return 1;
	return now_ms >= holder->unseen_until_ms &&
	       dy_cold_limit_allows(&holder->cold, now_ms);
}

/* Let an opening wait; its balancer is told, so that copies come here too. */
static int defer(dy_flow_holder_t *holder, const dy_flow_forward_t *forward,
		 const dy_packet_t *packet, uint64_t now_ms)
{
	if (!dy_opening_queue_add(holder->waiting, forward, packet, now_ms))
		return 0;
	++*holder->deferred;
	holder_log_flow(holder, "opening_deferred", &packet->flow, "overload",
			now_ms);
	holder_tell_held(holder, &forward->balancer, &packet->flow, 0, now_ms);
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
	flow = holder_add_flow(holder, &packet->flow, STAGE_HALF, now_ms);
	flow->opener = forward->balancer;
	holder_log_flow(holder, "flow_taken", &packet->flow, "opening", now_ms);
	holder_give(holder, forward, packet, now_ms);
}

void holder_serve_waiting(dy_flow_holder_t *holder, uint64_t now_ms)
{
	int accepts = dy_flow_holder_accepts(holder);
	dy_opening_t opening;

	if (!dy_opening_queue_count(holder->waiting))
		return;
	while (dy_opening_queue_pop_expired(holder->waiting, now_ms, &opening))
		holder_pass_on(holder, &opening.forward, &opening.packet, 1);
	while ((!accepts || (has_room(holder, 0, now_ms) &&
			     bears_opening(holder, now_ms))) &&
	       dy_opening_queue_pop(holder->waiting, &opening)) {
		if (accepts)
			admit(holder, &opening.forward, &opening.packet,
			      now_ms);
		else
			holder_pass_on(holder, &opening.forward,
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

/* Why an opening has to go elsewhere or to wait, or NULL. */
static const char *why_not_now(const dy_flow_holder_t *holder,
			       const dy_packet_t *packet, uint64_t now_ms)
{
	if (!bears_opening(holder, now_ms))
		return "cold";
	return has_room(holder, !packet->retransmits, now_ms) ? NULL
							      : "overload";
}

static const char *why_not_taken(const dy_flow_holder_t *holder)
{
	if (!dy_flow_holder_is_serving(holder))
		return "not_ready";
	return holder->evacuated ? "evacuated" : "service";
}

void holder_take_opening(dy_flow_holder_t *holder, dy_flow_forward_t *forward,
			 const dy_packet_t *packet, held_flow_t *flow,
			 uint64_t now_ms)
{
	const char *reason;

	if (flow && flow->stage != STAGE_ENDED) {
		holder_touch(holder, flow, now_ms);
		if (flow->stage == STAGE_HALF)
			flow->noted_ms = now_ms;
		flow->opener = forward->balancer;
		holder_give(holder, forward, packet, now_ms);
		return;
	}
	if (dy_opening_queue_has(holder->waiting, &packet->flow)) {
		dy_opening_queue_add(holder->waiting, forward, packet, now_ms);
		return;
	}
	if (!dy_flow_holder_accepts(holder) ||
	    strcmp(forward->service, holder->config.service) != 0) {
		++*holder->refused;
		pass_on_opening(holder, forward, packet, why_not_taken(holder),
				now_ms);
		return;
	}
	set_cold_limit(holder, forward);
	reason = why_not_now(holder, packet, now_ms);
	if (reason && forward->step + 1 < forward->tries.tries_len) {
		pass_on_opening(holder, forward, packet, reason, now_ms);
		return;
	}
	if (reason && defer(holder, forward, packet, now_ms))
		return;
	if (!bears_opening(holder, now_ms)) {
		pass_on_opening(holder, forward, packet, "cold", now_ms);
		return;
	}
	admit(holder, forward, packet, now_ms);
}
