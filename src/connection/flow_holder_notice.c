/*
 * What a target says of itself: whether it is ready, and which start of it.
 */

#include "flow_holder_private.h"

#include <string.h>

#include "damaskyard/address.h"

/* A target's first notice carries this or less. */
#define FIRST_SEQUENCE 1

/*
 * A start of the target whose notices stopped for so long, in ms, yields to one
 * whose time of start is earlier: the clock may have been set back. Two and a
 * half times the time between notices.
 */
#define REPLACED_MS 3000

/*
 * A notice may be read so long after it was sent, in ms, as where the agent's
 * VM stood still; and a copy of an opening may follow it by 600.
 */
#define NOTICE_LATE_MS 1000

void holder_set_ready(dy_flow_holder_t *holder, int ready, const char *reason)
{
	if (holder->ready == ready)
		return;
	holder->ready = ready;
	dy_log_event(DY_LOG_INFO, ready ? "target_ready" : "target_not_ready",
		     "id=%s reason=%s flows=%u",
		     dy_log_quote(holder->notice.id), reason,
		     dy_flow_holder_count(holder));
	holder->config.callbacks->changed(holder->config.context);
}

/*
 * Drop the flows of earlier starts.
 *
 * Guards against a target that is replaced at its address within moments: flows
 * that are opened before its first notice comes are its own already, and with
 * their records gone this agent would swear that it does not hold them. Its
 * predecessor was there when it sent its last notice, so what was opened before
 * that is over; what was opened later stays, and the target gives back what is
 * not its own.
 */
static unsigned drop_flows_of_before(dy_flow_holder_t *holder, uint64_t now_ms)
{
	uint64_t sent_ms = holder->noticed_ms;

	if (!holder->has_target)
		return 0;
	sent_ms -= MIN(sent_ms, (uint64_t)NOTICE_LATE_MS);
	return holder_drop_older(holder, sent_ms, "target_started_anew",
				 now_ms);
}

/* A start of the target that was not heard of before. */
static void begin_target(dy_flow_holder_t *holder,
			 const dy_target_notice_t *notice, uint64_t now_ms)
{
	unsigned dropped = drop_flows_of_before(holder, now_ms);

	dy_log_event(DY_LOG_INFO, "target_started",
		     "id=%s born_ms=%lu slots=%u flows_dropped=%u flows=%u",
		     dy_log_quote(notice->id), (unsigned long)notice->born_ms,
		     notice->slots, dropped, dy_flow_holder_count(holder));
	if (holder->has_target || notice->sequence <= FIRST_SEQUENCE)
		holder->saw_start = 1;
	if (!holder->saw_start)
		holder->unseen_until_ms = now_ms + DY_COLD_WINDOW_MS;
	holder->has_target = 1;
	holder->left = 0;
	holder->ready = 0;
	holder->listened = 0;
	holder->config.callbacks->check_port(holder->config.context);
}

typedef enum notice_age {
	NOTICE_NEWER,
	NOTICE_OTHER_START,
	NOTICE_OLD
} notice_age_t;

/*
 * Guards against a notice that was held up and arrives after a later one, or
 * after its sender has ended and another start has taken its place: it would
 * make a draining target ready again. Starts are ordered by their time.
 */
static notice_age_t tell_age(const dy_flow_holder_t *holder,
			     const dy_target_notice_t *notice, uint64_t now_ms)
{
	const dy_target_notice_t *held = &holder->notice;

	if (!holder->has_target)
		return NOTICE_OTHER_START;
	if (notice->born_ms > held->born_ms)
		return NOTICE_OTHER_START;
	if (notice->born_ms < held->born_ms ||
	    strcmp(notice->id, held->id) != 0)
		return now_ms - holder->noticed_ms > REPLACED_MS
			       ? NOTICE_OTHER_START
			       : NOTICE_OLD;
	return notice->sequence > held->sequence ? NOTICE_NEWER : NOTICE_OLD;
}

int dy_flow_holder_receive_notice(dy_flow_holder_t *holder,
				  const dy_target_notice_t *notice,
				  uint64_t now_ms)
{
	notice_age_t age;

	++*holder->notices;
	if (strcmp(notice->service, holder->config.service) != 0 ||
	    !dy_address_equal(&notice->address, &holder->config.target)) {
		++*holder->notices_refused;
		if (dy_log_allow(&holder->refused_limit, "notice_refused",
				 now_ms))
			dy_log_event(DY_LOG_WARN, "notice_refused",
				     "id=%s service=%s",
				     dy_log_quote(notice->id),
				     dy_log_quote(notice->service));
		return 0;
	}
	age = tell_age(holder, notice, now_ms);
	if (age == NOTICE_OLD)
		return 1;
	holder_note_alive(holder);
	if (age == NOTICE_OTHER_START)
		begin_target(holder, notice, now_ms);
	holder->notice = *notice;
	holder->noticed_ms = now_ms;
	holder->cold_until_ms = now_ms + notice->cold_ms;
	holder_set_ready(holder, notice->state == DY_TARGET_READY,
			 notice->state == DY_TARGET_READY ? "notice"
							  : "draining");
	return 1;
}

void dy_flow_holder_target_left(dy_flow_holder_t *holder, const char *id)
{
	if (!holder->has_target || strcmp(id, holder->notice.id) != 0)
		return;
	holder->left = 1;
	holder_set_ready(holder, 0, "left");
}

void dy_flow_holder_stop(dy_flow_holder_t *holder)
{
	holder->stopping = 1;
}

void dy_flow_holder_set_evacuated(dy_flow_holder_t *holder, int evacuated,
				  uint64_t now_ms)
{
	holder->evacuated = evacuated;
	holder_serve_waiting(holder, now_ms);
}

int dy_flow_holder_is_serving(const dy_flow_holder_t *holder)
{
	return holder->ready && !holder->stopping;
}

int dy_flow_holder_accepts(const dy_flow_holder_t *holder)
{
	return dy_flow_holder_is_serving(holder) && !holder->evacuated;
}

uint32_t dy_flow_holder_slots(const dy_flow_holder_t *holder)
{
	return holder->notice.slots;
}

int dy_flow_holder_is_target_inactive(const dy_flow_holder_t *holder,
				      uint64_t now_ms)
{
	return !holder->has_target || holder->left ||
	       now_ms - holder->noticed_ms > DY_NOTICE_TIMEOUT_MS;
}

unsigned dy_flow_holder_count(const dy_flow_holder_t *holder)
{
	return holder->counts[STAGE_HALF] + holder->counts[STAGE_OPEN];
}
