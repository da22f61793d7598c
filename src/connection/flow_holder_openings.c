/*
 * Openings: which ones the target receives, which are queued, which are passed
 * on.
 */

#include "flow_holder_private.h"

#include <string.h>

static unsigned max_requests(const dy_flow_holder_t *holder)
{
	return (DY_OVERLOAD_PERCENT * holder->notice.slots + 99) / 100;
}

/* Returns the requests that run or are expected soon. */
static unsigned expected_requests(const dy_flow_holder_t *holder,
				  uint64_t now_ms)
{
	const dy_list_t *half_open = &holder->stages[STAGE_HALF_OPEN];
	unsigned openings = dy_slot_grants_pending(holder->grants);
	const dy_list_t *pos;

	for (pos = half_open->prev; pos != half_open; pos = pos->prev) {
		if (now_ms - DY_LIST_ITEM(pos, held_flow_t, link)->used_ms >
		    DY_FIRST_REQUEST_TIMEOUT_MS)
			break;
		openings++;
	}
	return dy_request_load_slots(&holder->load, openings);
}

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
 * soon, granted places included. It admits a new opening while they are below
 * DY_OVERLOAD_PERCENT of the slots. It admits one that has waited, here or at
 * its caller, only for a slot that would be idle soon, so that the next new
 * opening finds capacity.
 */
static int has_capacity(const dy_flow_holder_t *holder, int is_new,
			uint64_t now_ms)
{
	unsigned limit = max_requests(holder);

	if (!is_new)
		limit = MIN(limit,
			    holder->notice.slots + DY_QUEUED_EXTRA_REQUESTS);
	return expected_requests(holder, now_ms) < limit;
}

static int owes_opening_response(const dy_flow_holder_t *holder,
				 uint64_t now_ms)
{
	return holder->opening_due_since_ms &&
	       now_ms - holder->opening_due_since_ms >
		       DY_OPENING_RESPONSE_TIMEOUT_MS;
}

/*
 * Guards against a target that is silent or returns all that it is sent: it
 * would seem to have a place at all times, and draw most openings to it.
 */
int holder_is_held_back(const dy_flow_holder_t *holder, uint64_t now_ms)
{
	if (!holder->grants_asked_ms ||
	    now_ms - holder->grants_asked_ms > DY_REPORT_TTL_MS)
		return 0;
	return now_ms < holder->held_back_until_ms ||
	       owes_opening_response(holder, now_ms);
}

void holder_note_opening_returned(dy_flow_holder_t *holder, uint64_t now_ms)
{
	uint64_t hold_ms;

	if (expected_requests(holder, now_ms) >= max_requests(holder))
		return;
	hold_ms = (uint64_t)DY_HELD_BACK_MIN_MS
		  << MIN(holder->openings_returned, 8u);
	holder->openings_returned++;
	holder->held_back_until_ms =
		now_ms + MIN(hold_ms, (uint64_t)DY_HELD_BACK_MAX_MS);
}

void holder_note_opening_answered(dy_flow_holder_t *holder)
{
	holder->openings_returned = 0;
	holder->held_back_until_ms = 0;
}

static int may_grant(const dy_flow_holder_t *holder, uint64_t now_ms)
{
	return expected_requests(holder, now_ms) <
	       holder->notice.slots + DY_GRANTED_EXTRA_REQUESTS;
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
	if (!holder->opening_due_since_ms)
		holder->opening_due_since_ms = now_ms;
	holder_log_flow(holder, "flow_taken", &packet->flow, "opening", now_ms);
	holder_send_to_target(holder, forward, packet, now_ms);
}

static int may_admit_waiting(const dy_flow_holder_t *holder, uint64_t now_ms)
{
	return has_capacity(holder, 0, now_ms) &&
	       is_within_cold_limit(holder, now_ms);
}

static void serve_queued(dy_flow_holder_t *holder, int accepts, uint64_t now_ms)
{
	dy_opening_t opening;

	while (dy_opening_queue_pop_expired(holder->queued_openings, now_ms,
					    &opening))
		holder_pass_on(holder, &opening.stored.forward, &opening.packet,
			       1);
	while ((!accepts || may_admit_waiting(holder, now_ms)) &&
	       dy_opening_queue_pop(holder->queued_openings, &opening)) {
		if (accepts)
			admit(holder, &opening.stored.forward, &opening.packet,
			      now_ms);
		else
			holder_pass_on(holder, &opening.stored.forward,
				       &opening.packet, 1);
	}
}

/* Grants a balancer a place, or returns reservations to it. */
static void send_grant(dy_flow_holder_t *holder, const dy_address_t *balancer,
		       unsigned returned, uint64_t now_ms)
{
	dy_flow_grant_t grant = { 0 };

	grant.agent = holder->config.self;
	grant.returned = returned;
	holder_fill_load(holder, &grant.load, now_ms);
	holder->config.callbacks->grant(holder->config.context, balancer,
					&grant);
}

static int admits_openings(const dy_flow_holder_t *holder, uint64_t now_ms)
{
	return dy_flow_holder_accepts(holder) &&
	       !holder_is_held_back(holder, now_ms);
}

static void serve_reservations(dy_flow_holder_t *holder, uint64_t now_ms)
{
	dy_address_t balancer;
	unsigned returned;

	if (!admits_openings(holder, now_ms)) {
		while ((returned = dy_slot_grants_return(holder->grants,
							 &balancer)))
			send_grant(holder, &balancer, returned, now_ms);
		return;
	}
	while (may_grant(holder, now_ms) &&
	       is_within_cold_limit(holder, now_ms) &&
	       dy_slot_grants_next(holder->grants, now_ms, &balancer)) {
		++*holder->granted;
		send_grant(holder, &balancer, 0, now_ms);
	}
}

void holder_serve_queue(dy_flow_holder_t *holder, uint64_t now_ms)
{
	if (dy_opening_queue_count(holder->queued_openings))
		serve_queued(holder, dy_flow_holder_accepts(holder), now_ms);
	*holder->grants_lapsed += dy_slot_grants_expire(holder->grants, now_ms);
	if (dy_slot_grants_wanted(holder->grants))
		serve_reservations(holder, now_ms);
}

void dy_flow_holder_reserve(dy_flow_holder_t *holder,
			    const dy_flow_reserve_t *reserve, uint64_t now_ms)
{
	dy_flow_holder_subscribe(holder, &reserve->balancer, now_ms);
	++*holder->reserved;
	holder->grants_asked_ms = now_ms;
	dy_slot_grants_reserve(holder->grants, &reserve->balancer,
			       reserve->standing, now_ms);
	holder_serve_queue(holder, now_ms);
}

void dy_flow_holder_receive_decline(dy_flow_holder_t *holder,
				    const dy_address_t *balancer,
				    uint64_t now_ms)
{
	dy_flow_holder_subscribe(holder, balancer, now_ms);
	dy_slot_grants_decline(holder->grants, balancer);
	holder_serve_queue(holder, now_ms);
}

/* Returns an opening to its balancer, where it waits for a place. */
static void return_opening(dy_flow_holder_t *holder,
			   const dy_flow_forward_t *forward,
			   const dy_packet_t *packet, uint64_t now_ms)
{
	++*holder->reserved;
	dy_slot_grants_reserve(holder->grants, &forward->balancer,
			       forward->standing, now_ms);
	holder_send_nowhere(holder, forward, packet, DY_FLOW_FULL);
	holder_serve_queue(holder, now_ms);
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

/*
 * Returns whether the opening comes for a place that this agent granted, which
 * is used then. One that comes too late is as good as a new one.
 */
static int use_grant(dy_flow_holder_t *holder, const dy_flow_forward_t *forward)
{
	return forward->wait == DY_FLOW_GRANTED && !forward->step &&
	       dy_slot_grants_use(holder->grants, &forward->balancer);
}

/*
 * Returns why an opening has to be passed on or queued, or NULL. It must not
 * overtake those that wait for a place here.
 */
static const char *defer_reason(const dy_flow_holder_t *holder,
				const dy_flow_forward_t *forward,
				const dy_packet_t *packet, int granted,
				uint64_t now_ms)
{
	if (!is_within_cold_limit(holder, now_ms))
		return "cold";
	if (granted)
		return NULL;
	if (forward->wait != DY_FLOW_WAIT_AT_AGENT &&
	    holder_is_held_back(holder, now_ms))
		return "held_back";
	return has_capacity(holder, !packet->retransmits, now_ms) &&
			       !dy_slot_grants_wanted(holder->grants)
		       ? NULL
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
	int granted = use_grant(holder, forward);
	const char *reason;

	if (forward->wait != DY_FLOW_WAIT_AT_AGENT)
		holder->grants_asked_ms = now_ms;
	if (flow && flow->stage != STAGE_ENDED &&
	    flow->stage != STAGE_DOUBTED) {
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
	reason = defer_reason(holder, forward, packet, granted, now_ms);
	if (reason && forward->step + 1 < forward->tries.tries_len) {
		pass_on_opening(holder, forward, packet, reason, now_ms);
		return;
	}
	if (reason && forward->wait != DY_FLOW_WAIT_AT_AGENT) {
		return_opening(holder, forward, packet, now_ms);
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
