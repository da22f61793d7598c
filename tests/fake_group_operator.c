#include "fake_group.h"

/* Operator's actions on a simulated group, and helpers of tests. */

static void on_changed(void *context, dy_raft_result_t result, uint64_t index)
{
	fake_group_t *group = context;

	group->last_change = result;
}

/* A member whose identity was lost with its disk, or NULL. */
static const dy_raft_member_t *find_stale(fake_group_t *group,
					  const dy_raft_config_t *config)
{
	const dy_raft_member_t *member;
	u_int i;

	for (i = 0; i < config->members.members_len; i++) {
		member = &config->members.members_val[i];
		if (group->members[member->id.slot].identity !=
		    member->id.identity)
			return member;
	}
	return NULL;
}

static const dy_raft_member_t *find_member(const dy_raft_config_t *config,
					   dy_voter_id_t id)
{
	u_int i;

	for (i = 0; i < config->members.members_len; i++)
		if (dy_voter_id_equal(config->members.members_val[i].id, id))
			return &config->members.members_val[i];
	return NULL;
}

int fake_group_reconcile(fake_group_t *group)
{
	fake_member_t *leader = fake_group_leader(group);
	const dy_raft_config_t *config;
	const dy_raft_member_t *found;
	dy_voter_id_t id = { 0, 0 };
	uint32_t i;

	if (!leader)
		return 0;
	config = dy_raft_config(leader->raft);
	for (i = 0; i < group->size; i++) {
		id.slot = i;
		id.identity = group->members[i].identity;
		if (find_member(config, id))
			continue;
		(void)dy_raft_add_learner(leader->raft, id, "slot", on_changed,
					  group);
		return 0;
	}
	found = find_stale(group, config);
	if (found) {
		(void)dy_raft_remove(leader->raft, found->id, on_changed,
				     group);
		return 0;
	}
	for (i = 0; i < group->size; i++) {
		id.slot = i;
		id.identity = group->members[i].identity;
		if (find_member(config, id)->role == DY_MEMBER_VOTER)
			continue;
		(void)dy_raft_promote(leader->raft, id, on_changed, group);
		return 0;
	}
	/* REFUSED shows that no change is in progress; BUSY that one is. */
	id.identity = 0;
	return dy_raft_add_learner(leader->raft, id, "", NULL, NULL) ==
	       DY_RAFT_REFUSED;
}

int fake_group_form(fake_group_t *group, uint32_t limit_ms)
{
	uint64_t end = group->now_ms + limit_ms;

	while (group->now_ms < end) {
		fake_group_step(group, 5);
		if (fake_group_reconcile(group))
			return 1;
	}
	return 0;
}

void fake_group_converge(fake_group_t *group)
{
	fake_member_t *member;
	uint32_t i;
	int tries;

	group->loss_percent = 0;
	group->duplication_percent = 0;
	for (i = 0; i < group->size; i++) {
		member = &group->members[i];
		member->partition = 0;
		member->paused = 0;
		if (member->raft && dy_raft_failed(member->raft))
			fake_group_crash(member, 0);
		fake_disk_clear_faults(member->disk);
		if (!member->raft)
			fake_group_start(member);
	}
	FAKE_CHECK(fake_group_form(group, 60000));
	for (tries = 0; tries < 20; tries++) {
		member = fake_group_await_leader(group);
		if (fake_group_propose(group, member) == DY_RAFT_DONE)
			break;
	}
	fake_group_run(group, 2000);
	for (i = 0; i < group->size; i++)
		FAKE_CHECK(group->members[i].applied_index >=
			   group->acknowledged_index);
}

fake_group_t *fake_group_create_formed(uint32_t seed, uint32_t size)
{
	fake_group_t *group = fake_group_create(seed, size);

	FAKE_CHECK(fake_group_form(group, 20000));
	fake_group_run(group, 200);
	return group;
}

void fake_group_commit(fake_group_t *group, int count)
{
	uint64_t wanted = group->acknowledged + (uint64_t)count;
	fake_member_t *leader;
	int i;

	for (i = 0; i < count; i++) {
		leader = fake_group_await_leader(group);
		FAKE_CHECK(fake_group_propose(group, leader) == DY_RAFT_DONE);
	}
	fake_group_run(group, 500);
	FAKE_CHECK(group->acknowledged >= wanted);
}

uint64_t fake_group_counter(const fake_group_t *group, const char *name)
{
	return dy_metrics_value(group->metrics, name);
}

fake_member_t *fake_group_other_member(fake_group_t *group,
				       const fake_member_t *member)
{
	return &group->members[(member->slot + 1) % group->size];
}
