#include "damaskyard/caller_rank.h"
#include "fake_suite.h"

#define CALLERS 1000
#define CALLER_IP 0x64400001u

/* Counts the callers whose ranks differ between two times of day. */
static unsigned count_changed(uint64_t before_ms, uint64_t after_ms)
{
	unsigned changed = 0;
	uint32_t i;

	for (i = 0; i < CALLERS; i++)
		changed += dy_caller_rank(CALLER_IP + i, before_ms) !=
			   dy_caller_rank(CALLER_IP + i, after_ms);
	return changed;
}

/* Guards against a retry that stands better than the first try. */
START_TEST(rank_stays_for_the_life_of_a_request)
{
	ck_assert_uint_le(count_changed(0, 1000), CALLERS / 4);
	ck_assert_uint_eq(count_changed(0, 0), 0);
}
END_TEST

/* Guards against callers who are never served while room is short. */
START_TEST(every_rank_changes_within_an_epoch)
{
	ck_assert_uint_ge(count_changed(0, DY_RANK_EPOCH_MS), CALLERS - 1);
}
END_TEST

/* Guards against all callers changing places at the same moment. */
START_TEST(ranks_change_at_different_times)
{
	unsigned changed = count_changed(0, DY_RANK_EPOCH_MS / 2);

	ck_assert_uint_ge(changed, CALLERS / 3);
	ck_assert_uint_le(changed, CALLERS * 2 / 3);
}
END_TEST

/* Guards against a retry or a crowd that passes what is more urgent. */
START_TEST(priority_goes_before_rank)
{
	uint32_t urgent = dy_opening_standing(1, 9, UINT32_MAX);

	ck_assert_uint_lt(urgent, dy_opening_standing(2, 0, 0));
	ck_assert_uint_eq(dy_standing_priority(urgent), 1);
	ck_assert_uint_eq(dy_standing_priority(dy_opening_standing(200, 0, 0)),
			  DY_PRIORITY_LOWEST);
}
END_TEST

/* Guards against a hot caller with a good rank who takes all of the room. */
START_TEST(second_opening_of_a_caller_stands_behind_others)
{
	ck_assert_uint_lt(dy_opening_standing(2, 0, UINT32_MAX),
			  dy_opening_standing(2, 1, 0));
	ck_assert_uint_lt(dy_opening_standing(2, 1000, 0),
			  dy_opening_standing(3, 0, 0));
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		rank_stays_for_the_life_of_a_request,
		every_rank_changes_within_an_epoch,
		ranks_change_at_different_times,
		priority_goes_before_rank,
		second_opening_of_a_caller_stands_behind_others,
		NULL,
	};

	return fake_suite_run("caller_rank", tests);
}
