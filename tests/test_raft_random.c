#include "damaskyard/raft.h"

#include <stdlib.h>

#include <check.h>

#include "damaskyard/log.h"
#include "fake_group.h"

static void on_transferred(void *context, dy_raft_result_t result,
			   uint64_t index)
{
	fake_group_t *group = context;

	group->transfers++;
}

static void inject_disk_fault(fake_group_t *group, fake_member_t *member)
{
	uint32_t after = g_rand_int_range(group->rand, 0, 40);

	switch (g_rand_int_range(group->rand, 0, 3)) {
	case 0:
		member->disk->writes_left = after;
		member->disk->short_write = g_rand_boolean(group->rand);
		break;
	case 1:
		member->disk->syncs_left = after;
		break;
	default:
		member->disk->operations_left = after;
		break;
	}
}

/* Whether a majority with all entries remains if a disk is lost now. */
static int may_wipe(fake_group_t *group)
{
	uint32_t i;

	for (i = 0; i < group->size; i++)
		if (!group->members[i].raft ||
		    dy_raft_failed(group->members[i].raft))
			return 0;
	return fake_group_reconcile(group);
}

static void inject_random_fault(fake_group_t *group)
{
	fake_member_t *member = &group->members[g_rand_int_range(
		group->rand, 0, (gint32)group->size)];

	switch (g_rand_int_range(group->rand, 0, 9)) {
	case 0:
		fake_group_crash(member, g_rand_boolean(group->rand));
		break;
	case 1:
		member->paused = !member->paused;
		break;
	case 2:
		member->partition = !member->partition;
		break;
	case 3:
		inject_disk_fault(group, member);
		break;
	case 4:
		if (may_wipe(group)) {
			fake_group_wipe(member);
			fake_group_start(member);
		}
		break;
	case 5:
		group->loss_percent = g_rand_int_range(group->rand, 0, 40);
		group->duplication_percent =
			g_rand_int_range(group->rand, 0, 30);
		group->max_delay_ms = g_rand_int_range(group->rand, 1, 80);
		break;
	case 6:
		if (member->raft && !member->paused)
			(void)dy_raft_transfer(member->raft, on_transferred,
					       group);
		break;
	default:
		group->loss_percent = 0;
		member->paused = 0;
		member->partition = 0;
		break;
	}
}

static void restart_failed_members(fake_group_t *group)
{
	fake_member_t *member;
	uint32_t i;

	for (i = 0; i < group->size; i++) {
		member = &group->members[i];
		if (member->raft && dy_raft_failed(member->raft))
			fake_group_crash(member, 1);
		if (!member->raft && !g_rand_int_range(group->rand, 0, 60))
			fake_group_start(member);
	}
}

/*
 * All faults in random order, by seed. The simulated group checks its
 * invariants at every message and callback.
 */
START_TEST(keeps_raft_invariants_under_random_faults)
{
	fake_group_t *group =
		fake_group_create_formed((uint32_t)_i, _i % 4 ? 3 : 5);
	fake_member_t *member;
	int turn;

	for (turn = 0; turn < 3000; turn++) {
		fake_group_step(group, g_rand_int_range(group->rand, 1, 15));
		restart_failed_members(group);
		member = &group->members[turn % group->size];
		if (member->raft && !member->paused) {
			(void)fake_group_propose(group, member);
			(void)fake_group_read(group, member);
		}
		if (!g_rand_int_range(group->rand, 0, 40))
			inject_random_fault(group);
		if (!(turn % 7))
			(void)fake_group_reconcile(group);
	}
	fake_group_converge(group);
	ck_assert_uint_gt(group->acknowledged, 20);
	ck_assert_uint_gt(group->reads, 10);
	fake_group_destroy(group);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("raft_random");
	TCase *tcase = tcase_create("raft_random");
	SRunner *runner;
	int failures;

	dy_log_configure(DY_LOG_ERROR, NULL);
	tcase_add_loop_test(tcase, keeps_raft_invariants_under_random_faults, 0,
			    200);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
