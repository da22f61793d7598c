/*
 * Runs operations on a group of three members with disks and datagrams in
 * memory. tests/fake_group.h has the oracle. At the end all faults are
 * repaired, and every member must have all acknowledged entries.
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

static uint32_t read_below(run_t *run, uint32_t limit)
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

/* A disk may be lost only while all members run and all slots are voters. */
static void wipe_disk(run_t *run, fake_member_t *member)
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

static void inject_disk_fault(run_t *run, fake_member_t *member)
{
	uint32_t countdown = read_below(run, 40);

	if (countdown % 3 == 0)
		member->disk->writes_left = countdown;
	else if (countdown % 3 == 1)
		member->disk->syncs_left = countdown;
	else
		member->disk->operations_left = countdown;
	member->disk->short_write = (int)read_below(run, 2);
}

static void crash_or_start(run_t *run, fake_member_t *member)
{
	if (member->raft && !dy_raft_failed(member->raft)) {
		fake_group_crash(member, (int)read_below(run, 2));
		return;
	}
	fake_group_crash(member, (int)read_below(run, 2));
	fake_group_start(member);
}

static void read_and_propose(run_t *run, fake_member_t *member, uint32_t count)
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
	fake_member_t *member = &group->members[read_below(run, MEMBERS)];

	switch (read_below(run, 11)) {
	case 0:
	case 1:
	case 2:
		read_and_propose(run, member, read_below(run, 8));
		break;
	case 3:
		fake_group_run(group, read_below(run, 200) * 5);
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
		inject_disk_fault(run, member);
		break;
	case 8:
		wipe_disk(run, member);
		break;
	case 9:
		group->loss_percent = (int)read_below(run, 50);
		group->duplication_percent = (int)read_below(run, 50);
		group->max_delay_ms = read_below(run, 100) + 1;
		break;
	default:
		if (member->raft && !member->paused)
			(void)dy_raft_transfer(member->raft, on_transferred,
					       group);
		break;
	}
}

/* libFuzzer requires the name. NOLINTNEXTLINE(readability-identifier-naming) */
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
		fake_group_step(run.group, read_below(&run, 40) + 1);
		if (operations % 3 == 0)
			(void)fake_group_reconcile(run.group);
	}
	fake_group_converge(run.group);
	fake_group_destroy(run.group);
	return 0;
}
