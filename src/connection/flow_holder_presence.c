/*
 * Whether the target is there, told by its signs of life and its port.
 */

#include "flow_holder_private.h"

#include <string.h>

/*
 * Checks in a row that must find nobody, for a target that was heard of: an
 * answer of its last moment may have been under way during the first.
 */
#define REFUSALS 2

void holder_note_owing(dy_flow_holder_t *holder, uint64_t now_ms)
{
	if (!holder->owing_ms)
		holder->owing_ms = now_ms;
}

void holder_note_alive(dy_flow_holder_t *holder)
{
	holder->owing_ms = 0;
	holder->refusals = 0;
	holder->absent = 0;
}

void holder_check_presence(dy_flow_holder_t *holder, uint64_t now_ms)
{
	if (holder->absent || !holder->has_target)
		return;
	if (holder->refusals ||
	    (holder->owing_ms &&
	     now_ms - holder->owing_ms >= DY_TARGET_RESPONSE_TIMEOUT_MS))
		holder->config.callbacks->check_port(holder->config.context);
}

static void note_gone(dy_flow_holder_t *holder, uint64_t now_ms)
{
	holder->absent = 1;
	holder->owing_ms = 0;
	/* Whatever starts there from now on is seen from its start. */
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
	if (state == DY_PORT_LISTENING)
		holder->listened = 1;
	if (state != DY_PORT_REFUSED) {
		holder->refusals = 0;
		/* It is there: what it owes is due anew. */
		holder->owing_ms = holder->owing_ms ? now_ms : 0;
		return;
	}
	/* Nobody was ever seen to listen there: its silence may be slowness. */
	if (holder->has_target && !holder->listened) {
		holder->owing_ms = holder->owing_ms ? now_ms : 0;
		return;
	}
	holder->refusals++;
	if (!holder->has_target || holder->refusals >= REFUSALS)
		note_gone(holder, now_ms);
}

dy_target_instance_state_t dy_flow_holder_instance_state(
	const dy_flow_holder_t *holder, const char *id, uint64_t born_ms)
{
	const dy_target_notice_t *notice = &holder->notice;

	if (holder->absent)
		return DY_TARGET_INSTANCE_ENDED;
	if (!holder->has_target)
		return DY_TARGET_INSTANCE_UNKNOWN;
	return born_ms == notice->born_ms && !strcmp(id, notice->id)
		       ? DY_TARGET_INSTANCE_CURRENT
		       : DY_TARGET_INSTANCE_ENDED;
}

const dy_target_notice_t *dy_flow_holder_target(const dy_flow_holder_t *holder)
{
	return holder->has_target && !holder->absent ? &holder->notice : NULL;
}

int dy_flow_holder_is_target_gone(const dy_flow_holder_t *holder)
{
	return holder->absent;
}
