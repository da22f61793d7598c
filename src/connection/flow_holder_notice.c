/* The target's notices: whether it is ready, and which instance it is. */

#include "flow_holder_private.h"

#include <string.h>

#include "damaskyard/address.h"

/*
 * Maximum delay in ms between sending and reading a notice, as when the agent's
 * VM was paused. It also covers a SYN that is retransmitted 600 ms after the
 * first one.
 */
#define NOTICE_DELAY_MAX_MS 1000

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
 * Doubts the flows of earlier instances. Returns their number.
 *
 * Guards against a target that is replaced at its address within moments. Flows
 * that open before the new instance's first notice already belong to it. The
 * earlier instance still ran when it sent its last notice, so flows from before
 * that are over, unless this notice is a late one: then they are the live
 * target's. The target itself gives back what it does not hold.
 */
static unsigned doubt_old_flows(dy_flow_holder_t *holder, uint64_t now_ms)
{
	uint64_t sent_ms = holder->last_notice_ms;

	if (!holder->has_target)
		return 0;
	sent_ms -= MIN(sent_ms, (uint64_t)NOTICE_DELAY_MAX_MS);
	return holder_doubt_older(holder, sent_ms, "target_started_anew",
				  now_ms);
}

static int is_same_instance(const dy_target_notice_t *a,
			    const dy_target_notice_t *b)
{
	return a->started_ms == b->started_ms && !strcmp(a->id, b->id);
}

static int is_current(const dy_flow_holder_t *holder,
		      const dy_target_notice_t *notice)
{
	return is_same_instance(notice, &holder->notice);
}

/* Returns whether notice is from the instance that this one replaced. */
static int is_former(const dy_flow_holder_t *holder,
		     const dy_target_notice_t *notice)
{
	return notice->started_ms == holder->former_started_ms &&
	       !strcmp(notice->id, holder->former_id);
}

/*
 * Returns whether an instance with an earlier start time replaces the current
 * one: it has sent two notices, and the current one is silent.
 *
 * Guards against a late notice beside a target whose notices are held up, as
 * that of a frozen VM: a single one would replace the live target.
 */
static int is_other_confirmed(const dy_flow_holder_t *holder,
			      const dy_target_notice_t *notice, uint64_t now_ms)
{
	return now_ms - holder->last_notice_ms > DY_INSTANCE_TIMEOUT_MS &&
	       holder->other_notice_ms >= holder->last_notice_ms &&
	       now_ms - holder->other_notice_ms >= DY_INSTANCE_CONFIRM_MS &&
	       is_same_instance(notice, &holder->other_notice) &&
	       notice->sequence > holder->other_notice.sequence;
}

/* Starts tracking a new instance of the target. */
static void begin_instance(dy_flow_holder_t *holder,
			   const dy_target_notice_t *notice, uint64_t now_ms)
{
	unsigned doubted = doubt_old_flows(holder, now_ms);

	dy_log_event(DY_LOG_INFO, "target_started",
		     "id=%s born_ms=%lu slots=%u flows_doubted=%u flows=%u",
		     dy_log_quote(notice->id),
		     (unsigned long)notice->started_ms, notice->slots, doubted,
		     dy_flow_holder_count(holder));
	/*
	 * Guards against a target that started before this agent: an earlier
	 * agent may have opened flows at it, also if a late notice of another
	 * instance came first. Only a refused port shows that it started later.
	 * The openings since its own first notice are this agent's.
	 */
	if (!holder->saw_start && !holder->has_target)
		holder->cold_unknown_until_ms = now_ms + DY_COLD_WINDOW_MS;
	if (holder->has_target) {
		g_strlcpy(holder->former_id, holder->notice.id,
			  sizeof(holder->former_id));
		holder->former_started_ms = holder->notice.started_ms;
	}
	holder->has_target = 1;
	holder->heard_since_ms = now_ms;
	holder->ready = 0;
	holder->was_listening = 0;
	holder_note_opening_answered(holder);
	dy_request_pace_init(&holder->pace);
	holder->config.callbacks->check_port(holder->config.context);
}

typedef enum notice_order {
	NOTICE_NEWER,
	NOTICE_NEW_INSTANCE,
	NOTICE_OTHER_INSTANCE, /* an earlier one, or it seems to be */
	NOTICE_STALE
} notice_order_t;

/*
 * Guards against a notice that was delayed and arrives after a later one, or
 * after its sender ended and another instance replaced it: it would make a
 * draining target ready again. Instances are ordered by their start times. A
 * refused port ends an instance, so that any other one may follow.
 */
static notice_order_t order_notice(const dy_flow_holder_t *holder,
				   const dy_target_notice_t *notice,
				   uint64_t now_ms)
{
	const dy_target_notice_t *current = &holder->notice;

	if (!holder->has_target)
		return NOTICE_NEW_INSTANCE;
	if (!is_current(holder, notice) &&
	    (holder->gone ||
	     (notice->started_ms > current->started_ms &&
	      !is_former(holder, notice)) ||
	     is_other_confirmed(holder, notice, now_ms)))
		return NOTICE_NEW_INSTANCE;
	if (!is_current(holder, notice))
		return NOTICE_OTHER_INSTANCE;
	return notice->sequence > current->sequence ? NOTICE_NEWER
						    : NOTICE_STALE;
}

/* One of two instances' notices was late; the next ones tell which. */
static void note_other_instance(dy_flow_holder_t *holder,
				const dy_target_notice_t *notice,
				uint64_t now_ms)
{
	holder->heard_since_ms = now_ms;
	if (dy_log_allow(&holder->refused_limit, "notice_doubted", now_ms))
		dy_log_event(DY_LOG_INFO, "notice_doubted",
			     "id=%s born_ms=%lu target=%s target_born_ms=%lu",
			     dy_log_quote(notice->id),
			     (unsigned long)notice->started_ms,
			     dy_log_quote(holder->notice.id),
			     (unsigned long)holder->notice.started_ms);
	if (holder->other_notice_ms >= holder->last_notice_ms &&
	    is_same_instance(notice, &holder->other_notice))
		return;
	holder->other_notice = *notice;
	holder->other_notice_ms = now_ms;
}

static int refuse(dy_flow_holder_t *holder, const dy_target_notice_t *notice,
		  const char *reason, uint64_t now_ms)
{
	char text[DY_ADDRESS_TEXT_BYTES];

	++*holder->notices_refused;
	if (dy_log_allow(&holder->refused_limit, "notice_refused", now_ms))
		dy_log_event(
			DY_LOG_WARN, "notice_refused",
			"id=%s reason=%s service=%s address=%s born_ms=%lu",
			dy_log_quote(notice->id), reason,
			dy_log_quote(notice->service),
			dy_address_format(&notice->address, text),
			(unsigned long)notice->started_ms);
	return 0;
}

int dy_flow_holder_receive_notice(dy_flow_holder_t *holder,
				  const dy_target_notice_t *notice,
				  uint64_t now_ms)
{
	notice_order_t order;
	int ask;

	++*holder->notices;
	if (strcmp(notice->service, holder->config.service) != 0)
		return refuse(holder, notice, "service", now_ms);
	if (!dy_address_equal(&notice->address, &holder->config.target))
		return refuse(holder, notice, "address", now_ms);
	order = order_notice(holder, notice, now_ms);
	/* Not acknowledged: a target that drains must not rely on it. */
	if (order == NOTICE_OTHER_INSTANCE) {
		note_other_instance(holder, notice, now_ms);
		return 0;
	}
	if (order == NOTICE_STALE)
		return 1;
	/* Either this notice is late, or what said that the target ended. */
	ask = holder->gone || holder->leaving;
	holder->left = 0;
	holder->leaving = 0;
	holder_confirm_alive(holder);
	if (order == NOTICE_NEW_INSTANCE)
		begin_instance(holder, notice, now_ms);
	else if (ask)
		holder->config.callbacks->check_port(holder->config.context);
	holder->notice = *notice;
	holder->last_notice_ms = now_ms;
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
	holder->leaving = 1;
	holder_set_ready(holder, 0, "left");
	/* The message may be late, of an instance with the same id. */
	holder->config.callbacks->check_port(holder->config.context);
}

void dy_flow_holder_stop(dy_flow_holder_t *holder)
{
	holder->stopping = 1;
}

void dy_flow_holder_set_evacuated(dy_flow_holder_t *holder, int evacuated,
				  uint64_t now_ms)
{
	holder->evacuated = evacuated;
	holder_serve_queue(holder, now_ms);
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

int dy_flow_holder_has_target_ended(const dy_flow_holder_t *holder)
{
	return holder->left || holder->gone;
}

unsigned dy_flow_holder_count(const dy_flow_holder_t *holder)
{
	return holder->counts[STAGE_HALF_OPEN] + holder->counts[STAGE_OPEN];
}
