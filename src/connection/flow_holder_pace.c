/*
 * How fast the target works and whether it answers: which requests occupy its
 * slots, and for how long.
 *
 * The target takes requests in the order in which they are complete. A request
 * that is answered before its turn shows that an earlier one occupies no slot:
 * the target will not answer that one.
 */

#include "flow_holder_private.h"

/* Means in a slot after which a request may have left it without an answer. */
#define STUCK_MEANS 8

/*
 * Time between two ticks in ms from which on this agent was stalled itself, and
 * answers may wait to be read.
 */
#define STALLED_MS 600

/* certain: the free slots became free now. */
static void enter_slots(dy_flow_holder_t *holder, int certain, uint64_t now_ms)
{
	unsigned slots = MAX(holder->notice.slots, 1);
	held_flow_t *flow;

	while (holder->slots_used < slots &&
	       !dy_list_empty(&holder->slot_waiters)) {
		flow = DY_LIST_ITEM(holder->slot_waiters.next, held_flow_t,
				    slot_link);
		dy_list_remove(&flow->slot_link);
		dy_list_append(&holder->in_slots, &flow->slot_link);
		flow->slot = SLOT_USED;
		flow->slot_since_ms = now_ms;
		flow->slot_certain = certain;
		holder->slots_used++;
	}
}

static void leave_slot(dy_flow_holder_t *holder, held_flow_t *flow)
{
	if (flow->slot == SLOT_NONE)
		return;
	if (flow->slot == SLOT_USED)
		holder->slots_used--;
	dy_list_remove(&flow->slot_link);
	flow->slot = SLOT_NONE;
}

void holder_pace_begin(dy_flow_holder_t *holder, held_flow_t *flow,
		       uint64_t now_ms)
{
	flow->slot = SLOT_AWAITED;
	flow->slot_since_ms = 0;
	flow->counted_unanswered = 0;
	dy_list_append(&holder->slot_waiters, &flow->slot_link);
	enter_slots(holder, 1, now_ms);
}

/*
 * Frees the slots that requests left without an answer. The target has used
 * them since, so when the next requests entered them is unknown.
 */
static void free_stuck_slots(dy_flow_holder_t *holder, uint64_t now_ms)
{
	double stuck_ms = holder->pace.service_ms * STUCK_MEANS;
	held_flow_t *flow;

	while (!dy_list_empty(&holder->in_slots)) {
		flow = DY_LIST_ITEM(holder->in_slots.next, held_flow_t,
				    slot_link);
		if ((double)(now_ms - flow->slot_since_ms) < stuck_ms)
			break;
		leave_slot(holder, flow);
	}
	enter_slots(holder, 0, now_ms);
}

void holder_pace_answer(dy_flow_holder_t *holder, held_flow_t *flow,
			uint64_t now_ms)
{
	int awaited = flow->slot == SLOT_AWAITED;

	if (flow->slot == SLOT_USED && flow->slot_certain)
		dy_request_pace_add_service(
			&holder->pace, now_ms - flow->slot_since_ms, now_ms);
	leave_slot(holder, flow);
	if (awaited)
		free_stuck_slots(holder, now_ms);
	if (!flow->counted_unanswered)
		dy_request_pace_add_outcome(&holder->pace, 1);
}

void holder_pace_unanswered(dy_flow_holder_t *holder, held_flow_t *flow)
{
	if (!flow->busy || flow->receiving || flow->counted_unanswered)
		return;
	flow->counted_unanswered = 1;
	++*holder->unanswered;
	dy_request_pace_add_outcome(&holder->pace, 0);
}

void holder_pace_end(dy_flow_holder_t *holder, held_flow_t *flow,
		     uint64_t now_ms)
{
	leave_slot(holder, flow);
	enter_slots(holder, 1, now_ms);
}

void holder_pace_tick(dy_flow_holder_t *holder, uint64_t now_ms)
{
	uint64_t limit_ms =
		dy_request_pace_unanswered_ms(&holder->pace, now_ms);
	int stalled = now_ms - holder->pace_tick_ms > STALLED_MS;
	const dy_list_t *pos;
	held_flow_t *flow;

	holder->pace_tick_ms = now_ms;
	dy_request_pace_fade(&holder->pace);
	if (stalled)
		return;
	DY_LIST_EACH(pos, &holder->requests)
	{
		flow = DY_LIST_ITEM(pos, held_flow_t, request_link);
		if (flow->slot_since_ms &&
		    now_ms - flow->slot_since_ms >= limit_ms)
			holder_pace_unanswered(holder, flow);
	}
}

void holder_pace_fill(const dy_flow_holder_t *holder, dy_flow_pace_t *pace,
		      uint64_t now_ms)
{
	pace->service_us = dy_request_pace_service_us(&holder->pace, now_ms);
	pace->unanswered_permille = dy_request_pace_unanswered(&holder->pace);
}
