#include "damaskyard/burn.h"

#include <math.h>

#include "fake_suite.h"

#define MINUTE_MS 60000
#define DAY_MS (24 * 60 * MINUTE_MS)

static uint64_t count_of(dy_burn_t *burn, dy_window_t window, uint64_t now,
			 dy_outcome_t outcome)
{
	dy_tally_t tally;

	dy_burn_sum_window(burn, window, now, &tally);
	return tally.counts[outcome];
}

START_TEST(windows_forget_in_their_own_time)
{
	dy_burn_t *burn = dy_burn_create();
	uint64_t at = 10 * (uint64_t)DAY_MS;

	dy_burn_add(burn, DY_OUTCOME_LATE, at);
	ck_assert_uint_eq(count_of(burn, DY_WINDOW_5M, at, DY_OUTCOME_LATE), 1);
	at += 5 * MINUTE_MS;
	ck_assert_uint_eq(count_of(burn, DY_WINDOW_5M, at, DY_OUTCOME_LATE), 0);
	ck_assert_uint_eq(count_of(burn, DY_WINDOW_1H, at, DY_OUTCOME_LATE), 1);
	at += 60 * MINUTE_MS;
	ck_assert_uint_eq(count_of(burn, DY_WINDOW_1H, at, DY_OUTCOME_LATE), 0);
	ck_assert_uint_eq(count_of(burn, DY_WINDOW_6H, at, DY_OUTCOME_LATE), 1);
	at += DAY_MS;
	ck_assert_uint_eq(count_of(burn, DY_WINDOW_6H, at, DY_OUTCOME_LATE), 0);
	ck_assert_uint_eq(count_of(burn, DY_WINDOW_3D, at, DY_OUTCOME_LATE), 1);
	at += 2 * (uint64_t)DAY_MS;
	ck_assert_uint_eq(count_of(burn, DY_WINDOW_3D, at, DY_OUTCOME_LATE), 0);
	dy_burn_destroy(burn);
}
END_TEST

START_TEST(burn_is_failures_over_budget)
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
 * A process runs for months; a bucket of three days ago stands where today's
 * belongs. Its old counts must not be added to the new ones.
 */
START_TEST(reused_bucket_starts_empty)
{
	dy_burn_t *burn = dy_burn_create();
	uint64_t at = 145 * 30 * (uint64_t)MINUTE_MS;

	dy_burn_add(burn, DY_OUTCOME_GOOD, 0);
	dy_burn_add(burn, DY_OUTCOME_GOOD, at);
	ck_assert_uint_eq(count_of(burn, DY_WINDOW_3D, at, DY_OUTCOME_GOOD), 1);
	dy_burn_destroy(burn);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		windows_forget_in_their_own_time,
		burn_is_failures_over_budget,
		reused_bucket_starts_empty,
		NULL,
	};

	return fake_suite_run("burn", tests);
}
