/* Detects that the target is gone, by missing responses and its port. */

#include "flow_holder_private.h"

#include <string.h>

/*
 * Refused checks in a row after which a known target is gone. One is not
 * enough: the target's last packet may still have been in flight during it.
 */
#define REFUSALS_TO_CONFIRM 2

void holder_expect_response(dy_flow_holder_t *holder, uint64_t now_ms)
{
	if (!holder->response_due_since_ms)
		holder->response_due_since_ms = now_ms;
}

void holder_confirm_alive(dy_flow_holder_t *holder)
{
	holder->response_due_since_ms = 0;
	holder->opening_due_since_ms = 0;
	holder->refusals = 0;
	holder->gone = 0;
}

void holder_check_presence(dy_flow_holder_t *holder, uint64_t now_ms)
{
	if (holder->gone || !holder->has_target)
		return;
	if (holder->refusals || holder->leaving ||
	    (holder->response_due_since_ms &&
	     now_ms - holder->response_due_since_ms >=
		     DY_TARGET_RESPONSE_TIMEOUT_MS))
		holder->config.callbacks->check_port(holder->config.context);
}

static void mark_target_gone(dy_flow_holder_t *holder, uint64_t now_ms)
{
	holder->gone = 1;
	holder->leaving = 0;
	holder->response_due_since_ms = 0;
	/* Any target that starts from now on starts after this agent. */
	holder->saw_start = 1;
	if (!holder->has_target)
		return;
	dy_log_event(DY_LOG_WARN, "target_gone", "id=%s flows_dropped=%u",
		     dy_log_quote(holder->notice.id),
		     g_hash_table_size(holder->flows));
	holder_drop_all(holder, "target_gone", now_ms);
	holder_set_ready(holder, 0, "gone");
}

void dy_flow_holder_port_checked(dy_flow_holder_t *holder,
				 dy_port_state_t state, uint64_t now_ms)
{
	if (state == DY_PORT_LISTENING) {
		holder->was_listening = 1;
		holder->left = 0;
	}
	if (state != DY_PORT_REFUSED) {
		holder->refusals = 0;
		/* The target runs: restart the response timeout. */
		holder->response_due_since_ms =
			holder->response_due_since_ms ? now_ms : 0;
		return;
	}
	/* The port was never seen open, so the target may just be slow. */
	if (holder->has_target && !holder->was_listening) {
		holder->leaving = 0;
		holder->response_due_since_ms =
			holder->response_due_since_ms ? now_ms : 0;
		return;
	}
	holder->refusals++;
	if (!holder->has_target || holder->refusals >= REFUSALS_TO_CONFIRM)
		mark_target_gone(holder, now_ms);
}

/* Returns whether the instance's notices span this time, in ms, alone. */
static int is_heard_for(const dy_flow_holder_t *holder, uint64_t span_ms)
{
	return holder->last_notice_ms >= holder->heard_since_ms + span_ms;
}

/* Returns whether notices rule out that the other instance is the live one. */
static int is_confirmed(const dy_flow_holder_t *holder,
			uint64_t other_started_ms)
{
	return is_heard_for(holder, holder->notice.started_ms > other_started_ms
					    ? DY_INSTANCE_CONFIRM_MS
					    : DY_INSTANCE_TIMEOUT_MS);
}

dy_target_instance_state_t dy_flow_holder_instance_state(
	const dy_flow_holder_t *holder, const char *id, uint64_t started_ms)
{
	const dy_target_notice_t *notice = &holder->notice;

	if (holder->gone)
		return DY_TARGET_INSTANCE_ENDED;
	if (!holder->has_target)
		return DY_TARGET_INSTANCE_UNKNOWN;
	if (started_ms == notice->started_ms && !strcmp(id, notice->id))
		return DY_TARGET_INSTANCE_CURRENT;
	if (holder->saw_start || is_confirmed(holder, started_ms))
		return DY_TARGET_INSTANCE_ENDED;
	return started_ms < notice->started_ms ? DY_TARGET_INSTANCE_EARLIER
					       : DY_TARGET_INSTANCE_DOUBTED;
}

const dy_target_notice_t *dy_flow_holder_target(const dy_flow_holder_t *holder)
{
	return holder->has_target && !holder->gone &&
			       is_heard_for(holder, DY_INSTANCE_CONFIRM_MS)
		       ? &holder->notice
		       : NULL;
}

int dy_flow_holder_is_target_gone(const dy_flow_holder_t *holder)
{
	return holder->gone;
}
