/* Which agents are lost: suspect to control, and silent to this balancer. */

#include "flow_targets_private.h"

void flow_targets_end_lost_check(target_t *target)
{
	target->lost_check_ms = 0;
	target->excused_ms = 0;
	target->ended_since_ms = 0;
	dy_list_remove(&target->suspect_link);
}

static void begin_lost_check(dy_flow_targets_t *targets, target_t *target,
			     uint64_t now_ms)
{
	target->lost_check_ms = now_ms;
	dy_list_append(&targets->suspects, &target->suspect_link);
}

static int is_silent(const target_t *target, uint64_t now_ms)
{
	uint64_t since_ms = MAX(target->last_report_ms, target->lost_check_ms);

	return now_ms - MAX(since_ms, target->excused_ms) >
	       DY_FLOW_LOST_TIMEOUT_MS;
}

int dy_flow_targets_is_lost(dy_flow_targets_t *targets,
			    const dy_address_t *agent, uint64_t now_ms)
{
	target_t *target = flow_targets_find(targets, agent);

	if (!target || !target->suspect)
		return 0;
	/*
	 * A balancer that has sent nothing to a live agent, as after its own
	 * start, gets no reports. Its first search must not skip the agent, or
	 * it would not find the agent's flows.
	 */
	if (!target->lost_check_ms)
		begin_lost_check(targets, target, now_ms);
	return is_silent(target, now_ms);
}

/*
 * A process that echoes runs, and only its messages to or from this balancer
 * are lost. One that has ended on a VM that runs is being restarted, and its
 * target serves on, unless that takes too long.
 */
void flow_targets_excuse_suspect(target_t *target, dy_flow_answer_t answer,
				 uint64_t now_ms)
{
	if (!target->lost_check_ms)
		return;
	if (answer == DY_FLOW_ECHOED)
		target->excused_ms = now_ms;
	if (answer != DY_FLOW_REFUSED_PORT)
		return;
	if (!target->ended_since_ms)
		target->ended_since_ms = now_ms;
	if (now_ms - target->ended_since_ms < DY_FLOW_RESTART_TIMEOUT_MS)
		target->excused_ms = now_ms;
}

/*
 * Guards against a balancer that stood still itself: the reports of that time
 * wait in its socket, or were never requested.
 */
static void restart_checks_after_stall(dy_flow_targets_t *targets,
				       uint64_t now_ms)
{
	dy_list_t *pos;

	if (now_ms - targets->suspects_asked_ms <= DY_FLOW_LOST_ASK_INTERVAL_MS)
		return;
	DY_LIST_EACH(pos, &targets->suspects)
	{
		DY_LIST_ITEM(pos, target_t, suspect_link)->lost_check_ms =
			now_ms;
	}
}

static int owes_report(const target_t *target, uint64_t now_ms)
{
	return now_ms - target->last_report_ms >=
		       DY_FLOW_LOST_ASK_INTERVAL_MS &&
	       now_ms - target->silence.last_sent_ms >=
		       DY_FLOW_LOST_ASK_INTERVAL_MS;
}

static void ask_witnesses(const dy_flow_targets_t *targets, target_t *target,
			  uint64_t now_ms,
			  const dy_flow_targets_ask_callbacks_t *callbacks,
			  void *context)
{
	dy_address_t witnesses[DY_FLOW_WITNESSES];
	unsigned count;
	unsigned i;

	count = flow_targets_begin_inquiry(targets, target, target->hash,
					   now_ms, witnesses);
	for (i = 0; i < count; i++)
		callbacks->inquire(context, &witnesses[i], &target->address);
}

void dy_flow_targets_ask_suspects(
	dy_flow_targets_t *targets, uint64_t now_ms,
	const dy_flow_targets_ask_callbacks_t *callbacks, void *context)
{
	dy_list_t *pos;
	target_t *target;

	restart_checks_after_stall(targets, now_ms);
	targets->suspects_asked_ms = now_ms;
	DY_LIST_EACH(pos, &targets->suspects)
	{
		target = DY_LIST_ITEM(pos, target_t, suspect_link);
		if (is_silent(target, now_ms) || !owes_report(target, now_ms))
			continue;
		dy_flow_targets_note_sent(targets, &target->address, now_ms);
		callbacks->request_report(context, &target->address);
		ask_witnesses(targets, target, now_ms, callbacks, context);
	}
}

void dy_flow_targets_set_quiet(dy_flow_targets_t *targets,
			       const dy_address_t *agent, uint64_t now_ms)
{
	target_t *target = flow_targets_find(targets, agent);

	if (target)
		target->quiet_until_ms = now_ms + DY_FLOW_QUIET_MS;
}

void dy_flow_targets_end_quiet(dy_flow_targets_t *targets,
			       const dy_address_t *agent)
{
	target_t *target = flow_targets_find(targets, agent);

	if (target)
		target->quiet_until_ms = 0;
}

int dy_flow_targets_is_quiet(const dy_flow_targets_t *targets,
			     const dy_address_t *agent, uint64_t now_ms)
{
	const target_t *target = flow_targets_find(targets, agent);

	return target && now_ms < target->quiet_until_ms;
}
