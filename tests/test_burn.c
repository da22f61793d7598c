#include "damaskyard/burn.h"

#include <math.h>

#include "fake_suite.h"

#define MINUTE_MS 60000
#define DAY_MS (24 * 60 * MINUTE_MS)

static uint64_t load_count(dy_burn_t *burn, dy_window_t window, uint64_t now,
			   dy_outcome_t outcome)
{
	dy_tally_t tally;

	dy_burn_sum_window(burn, window, now, &tally);
	return tally.counts[outcome];
}

START_TEST(drops_outcomes_after_window_ends)
{
	dy_burn_t *burn = dy_burn_create();
	uint64_t now_ms = 10 * (uint64_t)DAY_MS;

	dy_burn_add(burn, DY_OUTCOME_LATE, now_ms);
	ck_assert_uint_eq(
		load_count(burn, DY_WINDOW_5M, now_ms, DY_OUTCOME_LATE), 1);
	now_ms += 5 * MINUTE_MS;
	ck_assert_uint_eq(
		load_count(burn, DY_WINDOW_5M, now_ms, DY_OUTCOME_LATE), 0);
	ck_assert_uint_eq(
		load_count(burn, DY_WINDOW_1H, now_ms, DY_OUTCOME_LATE), 1);
	now_ms += 60 * MINUTE_MS;
	ck_assert_uint_eq(
		load_count(burn, DY_WINDOW_1H, now_ms, DY_OUTCOME_LATE), 0);
	ck_assert_uint_eq(
		load_count(burn, DY_WINDOW_6H, now_ms, DY_OUTCOME_LATE), 1);
	now_ms += DAY_MS;
	ck_assert_uint_eq(
		load_count(burn, DY_WINDOW_6H, now_ms, DY_OUTCOME_LATE), 0);
	ck_assert_uint_eq(
		load_count(burn, DY_WINDOW_3D, now_ms, DY_OUTCOME_LATE), 1);
	now_ms += 2 * (uint64_t)DAY_MS;
	ck_assert_uint_eq(
		load_count(burn, DY_WINDOW_3D, now_ms, DY_OUTCOME_LATE), 0);
	dy_burn_destroy(burn);
}
END_TEST

START_TEST(burn_rate_is_failures_over_budget)
{
	dy_tally_t tally = { { 0 } };

	ck_assert(dy_tally_burn_rate(&tally, 99.9) == 0);
	tally.counts[DY_OUTCOME_GOOD] = 998;
	tally.counts[DY_OUTCOME_REFUSED] = 1;
	tally.counts[DY_OUTCOME_MAY_HAVE_RUN] = 1;
	ck_assert(fabs(dy_tally_burn_rate(&tally, 99.9) - 2) < 1e-6);
	ck_assert_uint_eq(dy_tally_total(&tally), 1000);
}
END_TEST

/*
 * Guards against counts of a former period in the current one: after three
 * days the ring buffer reuses a bucket, which must start from zero.
 */
START_TEST(starts_reused_bucket_from_zero)
{
	dy_burn_t *burn = dy_burn_create();
	uint64_t now_ms = 145 * 30 * (uint64_t)MINUTE_MS;

	dy_burn_add(burn, DY_OUTCOME_GOOD, 0);
	dy_burn_add(burn, DY_OUTCOME_GOOD, now_ms);
	ck_assert_uint_eq(
		load_count(burn, DY_WINDOW_3D, now_ms, DY_OUTCOME_GOOD), 1);
	dy_burn_destroy(burn);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		drops_outcomes_after_window_ends,
		burn_rate_is_failures_over_budget,
		starts_reused_bucket_from_zero,
		NULL,
	};

	return fake_suite_run("burn", tests);
}
