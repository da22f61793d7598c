/*
 * Periodic tasks of the leader: leases, keys, the record of tried documents,
 * and the planned stop.
 */

#include <string.h>

#include "control_private.h"
#include "damaskyard/document.h"

static void ignore_result(void *context, dy_raft_result_t result,
			  uint64_t index)
{
	(void)context;
	(void)result;
	(void)index;
}

static uint64_t longest_idle_ms(const dy_control_t *control,
				dy_environment_t environment)
{
	const dy_registry_document_t *info =
		dy_registry_document(control->registry, environment);
	dy_document_t *document;
	const uint8_t *bytes;
	uint64_t longest_s = 0;
	uint32_t size;
	unsigned i;

	bytes = dy_registry_find_content(control->registry, info->digest,
					 &size);
	document = bytes ? dy_document_parse(bytes, size, NULL) : NULL;
	if (!document)
		return 0;
	for (i = 0; i < dy_document_service_count(document); i++)
		longest_s =
			MAX(longest_s,
			    dy_document_service(document, i)->session_idle_s);
	dy_document_destroy(document);
	return longest_s * 1000;
}

/*
 * Guards against a session that is idle for as long as its document allows and
 * then refers to a member whose record was deleted or to a retired key: both
 * are kept for the longest idle time, whatever the settings are.
 */
static void update_retention(dy_control_t *control)
{
	uint64_t longest_ms = 0;
	uint64_t numbers = 0;
	int i;

	for (i = 0; i < DY_ENVIRONMENTS; i++)
		numbers += dy_registry_document(control->registry, i)->number;
	if (numbers == control->reviewed_document_numbers)
		return;
	control->reviewed_document_numbers = numbers;
	for (i = 0; i < DY_ENVIRONMENTS; i++)
		longest_ms = MAX(longest_ms, longest_idle_ms(control, i));
	longest_ms += DY_RETRANSMIT_WINDOW_MS;
	control->leases = control->options.leases;
	control->leases.keep_ms = MAX(control->leases.keep_ms, longest_ms);
	control->keys = control->options.keys;
	control->keys.renew_ms = MAX(control->keys.renew_ms, longest_ms);
}

/*
 * A member that never polled this leader may be gone, or has not found it; one
 * that did has been silent since.
 */
static void log_expired(dy_control_t *control, const dy_member_mark_t *mark)
{
	const dy_registry_member_t *member =
		dy_registry_find_member(control->registry, mark->id);
	uint64_t now_ms = control_now_ms(control);

	if (mark->mark != DY_MARK_SUSPECT || !member ||
	    !dy_log_allow(&control->lease_limit, "lease_expired", now_ms))
		return;
	dy_log_event(DY_LOG_INFO, "lease_expired",
		     "name=%s number=%lu state=%s polled=%d unheard_ms=%lu",
		     dy_log_quote(member->name),
		     (unsigned long)member->incarnation,
		     dy_member_state_name(member->state), member->polled,
		     (unsigned long)(now_ms - member->heard_ms));
}

static void review_leases(dy_control_t *control)
{
	dy_command_t command = { .kind = DY_COMMAND_MARK };
	dy_member_mark_t *mark = &command.dy_command_t_u.mark;
	int i;

	control->leases.lease_ms = control_lease_ms(control);
	for (i = 0; i < MARKS_PER_REVIEW_MAX; i++) {
		if (!dy_registry_next_mark(control->registry, &control->leases,
					   mark))
			return;
		log_expired(control, mark);
		if (control_propose(control, &command, ignore_result, NULL) ==
		    DY_RAFT_DONE)
			continue;
		dy_registry_retry_mark(control->registry, mark);
		return;
	}
}

static void on_key_step_committed(void *context, dy_raft_result_t result,
				  uint64_t index)
{
	dy_control_t *control = context;

	(void)result;
	(void)index;
	control->key_step_pending = 0;
}

static void review_keys(dy_control_t *control)
{
	dy_command_t command = { .kind = DY_COMMAND_KEY };
	dy_key_step_t *step = &command.dy_command_t_u.key;

	if (control->key_step_pending ||
	    !dy_registry_next_key_step(control->registry, &control->keys, step))
		return;
	if (step->step == DY_KEY_ADD)
		dy_random_fill(step->salt, sizeof(step->salt));
	if (control_propose(control, &command, on_key_step_committed,
			    control) == DY_RAFT_DONE)
		control->key_step_pending = 1;
}

static void on_tried_committed(void *context, dy_raft_result_t result,
			       uint64_t index)
{
	dy_control_t *control = context;

	(void)result;
	(void)index;
	control->tried_pending = 0;
}

/*
 * Without a live member, `trial` proves nothing. An operator who promotes a
 * document then, as on the first day, is not blocked; the promotion is logged.
 */
void control_propose_tried(dy_control_t *control, int promoting)
{
	const dy_registry_document_t *trial =
		dy_registry_document(control->registry, DY_TRIAL);
	dy_command_t command = { .kind = DY_COMMAND_TRIED };
	unsigned in_force;
	unsigned live;

	if (!trial->number || control->tried_pending ||
	    dy_registry_is_tried(control->registry, trial->digest))
		return;
	dy_registry_count_in_force(control->registry, DY_TRIAL, &live,
				   &in_force);
	if (in_force < live || (!live && !promoting))
		return;
	if (!live) {
		++*control->counters.promoted_untried;
		dy_log_event(DY_LOG_WARN, "promoted_untried", "number=%lu",
			     (unsigned long)trial->number);
	}
	memcpy(command.dy_command_t_u.tried.digest, trial->digest,
	       DY_DIGEST_BYTES);
	if (control_propose(control, &command, on_tried_committed, control) ==
	    DY_RAFT_DONE)
		control->tried_pending = 1;
}

static void on_transferred(void *context, dy_raft_result_t result,
			   uint64_t index)
{
	dy_control_t *control = context;

	(void)index;
	control->transferring = 0;
	dy_log_event(DY_LOG_INFO, "leadership_transferred", "done=%d",
		     result == DY_RAFT_DONE);
}

/*
 * A planned stop transfers the leadership first, so that the group needs no
 * election, and ends when no request is pending.
 */
static void review_stop(dy_control_t *control)
{
	int leads = dy_raft_role(control->raft) == DY_RAFT_LEADER;

	if (leads && !control->transferring &&
	    control_count_voters(control) > 1 &&
	    dy_raft_transfer(control->raft, on_transferred, control) ==
		    DY_RAFT_DONE)
		control->transferring = 1;
	if (control_now_ms(control) < control->stop_deadline_ms &&
	    (control->request_count ||
	     (leads && control_count_voters(control) > 1)))
		return;
	dy_log_event(DY_LOG_INFO, "control_stopped", "requests=%u",
		     control->request_count);
	dy_loop_end(control->loop);
}

/*
 * Guards against leases that expire because the leader could not answer: a
 * leader that was suspended, or that had no majority, received no polls and
 * would mark every member at once. All leases restart when it can answer again.
 */
static int cannot_answer(const dy_control_t *control)
{
	return !dy_raft_has_quorum(control->raft) ||
	       control_now_ms(control) - control->last_review_ms >
		       control->leases.lease_ms / 3;
}

static void review_serving(dy_control_t *control)
{
	if (!control->has_served) {
		control->has_served = 1;
		dy_log_event(DY_LOG_INFO, "control_serves", "voters=%u",
			     control_count_voters(control));
	}
	if (cannot_answer(control)) {
		dy_registry_restart_leases(control->registry);
		return;
	}
	update_retention(control);
	review_leases(control);
	review_keys(control);
	control_propose_tried(control, 0);
}

void control_review(dy_control_t *control)
{
	unsigned dropped =
		uploads_expire(control->uploads, control_now_ms(control));

	*control->counters.uploads_dropped += dropped;
	if (control->stop_deadline_ms) {
		review_stop(control);
		return;
	}
	control_review_group(control);
	if (control_serves(control))
		review_serving(control);
}
