/* The voters of the group as its leader sees them: which of them answer. */

#include <string.h>

#include "control_private.h"

/*
 * A member without an answer for this time is logged as behind: three election
 * timeouts.
 */
#define BEHIND_SILENT_MS 1000

/*
 * A voter without an answer for this time is replaced by a learner that has
 * caught up, and then removed. Each leader counts from its own election, so
 * that elections in a row must not add up to the time in which a group repairs
 * itself.
 */
#define VOTER_TIMEOUT_MS BEHIND_SILENT_MS

/* Number of voters, and those of them that do not answer. */
typedef struct voters {
	unsigned count;
	unsigned silent;
	dy_voter_id_t silent_id;
} voters_t;

static void count_members(const dy_control_t *control, voters_t *voters)
{
	const dy_raft_config_t *config = dy_raft_config(control->raft);
	const dy_raft_member_t *member;
	uint64_t silent_ms;
	unsigned i;

	memset(voters, 0, sizeof(*voters));
	for (i = 0; i < config->members.members_len; i++) {
		member = &config->members.members_val[i];
		if (member->role != DY_MEMBER_VOTER)
			continue;
		silent_ms = 0;
		if (member->id.slot != control->options.slot)
			dy_raft_member_lag(control->raft, member->id,
					   &silent_ms);
		voters->count++;
		if (silent_ms < VOTER_TIMEOUT_MS)
			continue;
		voters->silent++;
		voters->silent_id = member->id;
	}
}

static unsigned required_voters(const dy_control_t *control)
{
	unsigned losses = control->options.losses ? control->options.losses
						  : DY_LOSSES_DEFAULT;

	if (!control->options.dynamic_membership)
		return control->options.peers.count;
	return 2 * losses + 1;
}

/* A leader that hears no quorum was late itself: it judges nobody. */
static int hears_quorum(const voters_t *voters)
{
	return voters->count - voters->silent > voters->count / 2;
}

int control_needs_voter(dy_control_t *control)
{
	voters_t voters;

	if (!control->options.dynamic_membership)
		return 1;
	count_members(control, &voters);
	return hears_quorum(&voters) &&
	       voters.count - voters.silent < required_voters(control);
}

/*
 * Guards against a permanently lost voter that still counts towards the quorum:
 * with four voters, one of them lost, the next loss stops the group. The voter
 * is removed once another has replaced it, and never if fewer voters would
 * remain than options.losses requires.
 */
int control_find_surplus_voter(dy_control_t *control, dy_voter_id_t *id)
{
	voters_t voters;

	if (!control->options.dynamic_membership)
		return 0;
	count_members(control, &voters);
	*id = voters.silent_id;
	return voters.silent && hears_quorum(&voters) &&
	       voters.count > required_voters(control);
}

static void log_member_behind(dy_control_t *control,
			      const dy_raft_member_t *member)
{
	uint64_t silent_ms =
		dy_raft_member_silent_ms(control->raft, member->id);
	uint64_t age_ms = 0;
	uint64_t lag;

	if (silent_ms < BEHIND_SILENT_MS)
		return;
	if (!dy_log_allow(&control->behind_limit, "member_behind",
			  control_now_ms(control)))
		return;
	lag = dy_raft_member_lag(control->raft, member->id, &age_ms);
	dy_log_event(DY_LOG_WARN, "member_behind",
		     "slot=%u identity=%lx voter=%d address=%s lag=%lu "
		     "silent_ms=%lu",
		     member->id.slot, (unsigned long)member->id.identity,
		     member->role == DY_MEMBER_VOTER,
		     dy_log_quote(member->address), (unsigned long)lag,
		     (unsigned long)silent_ms);
}

static unsigned count_missing(const dy_control_t *control)
{
	unsigned required = required_voters(control);
	unsigned answering;
	voters_t voters;

	if (dy_raft_role(control->raft) != DY_RAFT_LEADER)
		return dy_raft_leader(control->raft).identity ? 0 : required;
	count_members(control, &voters);
	answering = voters.count - voters.silent;
	return required - MIN(required, answering);
}

void control_report_voters(dy_control_t *control)
{
	const dy_raft_config_t *config = dy_raft_config(control->raft);
	unsigned i;

	*control->counters.voters_missing = count_missing(control);
	if (dy_raft_role(control->raft) != DY_RAFT_LEADER)
		return;
	for (i = 0; i < config->members.members_len; i++)
		log_member_behind(control, &config->members.members_val[i]);
}
