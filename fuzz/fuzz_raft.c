/*
 * A run of operations on a group of three members over disks and datagrams
 * in memory. The oracle is the fake group's; at the end all heals, and what
 * was acknowledged must be on every member.
 */

#include <stdint.h>

#include "damaskyard/log.h"
#include "fake_group.h"

#define OPERATIONS_MAX 120
#define MEMBERS 3

typedef struct run {
	fake_group_t *group;
	const uint8_t *data;
	size_t left;
} run_t;

static uint32_t take(run_t *run, uint32_t limit)
{
	uint32_t value;

	if (!run->left)
		return 0;
	value = *run->data++;
	run->left--;
	return value % limit;
}

static void on_transferred(void *context, dy_raft_result_t result,
			   uint64_t index)
{
	fake_group_t *group = context;

	group->transfers++;
}

/* A disk may be lost when every slot is a voter again, and all run. */
static void lose_disk(run_t *run, fake_member_t *member)
{
	uint32_t i;

	for (i = 0; i < MEMBERS; i++)
		if (!run->group->members[i].raft ||
		    dy_raft_failed(run->group->members[i].raft))
			return;
	if (!fake_group_reconcile(run->group))
		return;
	fake_group_wipe(member);
	fake_group_start(member);
}

static void fault_disk(run_t *run, fake_member_t *member)
{
	uint32_t after = take(run, 40);

	if (after % 3 == 0)
		member->disk->writes_left = after;
	else if (after % 3 == 1)
		member->disk->syncs_left = after;
	else
		member->disk->operations_left = after;
	member->disk->short_write = (int)take(run, 2);
}

static void crash_or_start(run_t *run, fake_member_t *member)
{
	if (member->raft && !dy_raft_failed(member->raft)) {
		fake_group_crash(member, (int)take(run, 2));
		return;
	}
	fake_group_crash(member, (int)take(run, 2));
	fake_group_start(member);
}

static void call_member(run_t *run, fake_member_t *member, uint32_t count)
{
	if (!member->raft || member->paused)
		return;
	(void)fake_group_read(run->group, member);
	while (count--)
		(void)fake_group_propose(run->group, member);
}

static void operate(run_t *run)
{
	fake_group_t *group = run->group;
	fake_member_t *member = &group->members[take(run, MEMBERS)];

	switch (take(run, 11)) {
	case 0:
	case 1:
	case 2:
		call_member(run, member, take(run, 8));
		break;
	case 3:
		fake_group_run(group, take(run, 200) * 5);
		break;
	case 4:
		crash_or_start(run, member);
		break;
	case 5:
		member->paused = member->raft && !member->paused;
		break;
	case 6:
		member->partition = !member->partition;
		break;
	case 7:
		fault_disk(run, member);
		break;
	case 8:
		lose_disk(run, member);
		break;
	case 9:
		group->loss_percent = (int)take(run, 50);
		group->duplication_percent = (int)take(run, 50);
		group->max_delay_ms = take(run, 100) + 1;
		break;
	default:
		if (member->raft && !member->paused)
			(void)dy_raft_transfer(member->raft, on_transferred,
					       group);
		break;
	}
}

/* The name is libFuzzer's. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	run_t run = { .data = data, .left = size };
	int operations;

	dy_log_configure(DY_LOG_ERROR + 1, NULL);
	run.group = fake_group_create(size ? data[size - 1] : 0, MEMBERS);
	FAKE_CHECK(fake_group_form(run.group, 20000));
	for (operations = 0; run.left && operations < OPERATIONS_MAX;
	     operations++) {
		operate(&run);
		fake_group_step(run.group, take(&run, 40) + 1);
		if (operations % 3 == 0)
			(void)fake_group_reconcile(run.group);
	}
	fake_group_converge(run.group);
	fake_group_destroy(run.group);
	return 0;
}
