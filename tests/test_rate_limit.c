#include <stdlib.h>

#include "fake_suite.h"

#include "damaskyard/rate_limit.h"

#define START_MS 5000

/*
 * All targets are out. Each of 10,000 calls fails, and each would be sent
 * again twice: three times the load for those that come back first. What is
 * sent again stays a tenth, and what may have run is never sent again.
 */
START_TEST(outage_is_not_amplified)
{
	dy_retry_budget_t budget;
	unsigned again = 0, unsafe = 0;
	int i;

	dy_retry_budget_init(&budget, 100, 14);
	for (i = 0; i < 10000; i++) {
		dy_retry_budget_deposit(&budget);
		again += dy_retry_budget_withdraw(&budget, DY_RETRY_NOT_RUN);
		again += dy_retry_budget_withdraw(&budget, DY_RETRY_IDEMPOTENT);
		unsafe += dy_retry_budget_withdraw(&budget, DY_RETRY_UNSAFE);
	}
	ck_assert_uint_le(again, 1000 + 14);
	ck_assert_uint_ge(again, 990);
	ck_assert_uint_eq(unsafe, 0);
	ck_assert_uint_eq(budget.refused, 20000 - again);
}
END_TEST

/* One target goes with 14 calls on it: all are sent again at once. */
START_TEST(single_failure_is_retried_whole)
{
	dy_retry_budget_t budget;
	int i;

	dy_retry_budget_init(&budget, 100, 14);
	for (i = 0; i < 14; i++)
		ck_assert(dy_retry_budget_withdraw(&budget, DY_RETRY_DEDUPED));
	ck_assert(!dy_retry_budget_withdraw(&budget, DY_RETRY_DEDUPED));
}
END_TEST

START_TEST(backoff_grows_and_is_spread)
{
	GRand *rand = g_rand_new_with_seed(1);
	uint32_t least = UINT32_MAX, most = 0, ms;
	int i;

	for (i = 0; i < 200; i++) {
		ms = dy_retry_backoff_ms(3, 50, 1000, rand);
		least = MIN(least, ms);
		most = MAX(most, ms);
	}
	ck_assert_uint_ge(least, 100);
	ck_assert_uint_le(least, 110);
	ck_assert_uint_le(most, 200);
	ck_assert_uint_ge(most, 190);
	ms = dy_retry_backoff_ms(60, 50, 1000, rand);
	ck_assert(ms >= 500 && ms <= 1000);
	g_rand_free(rand);
}
END_TEST

/* When each of n callers comes next; all at START_MS at first. */
typedef struct crowd {
	dy_session_rate_limit_t limit;
	GRand *rand;
	uint64_t next_ms[1000];
	unsigned taken;
	unsigned tries;
	unsigned most_in_100_ms; /* arrivals, but the first */
} crowd_t;

static void run_crowd(crowd_t *crowd, uint64_t until_ms)
{
	unsigned arrived = 0;
	uint64_t now_ms;
	uint32_t later_ms;
	int i;

	for (now_ms = START_MS; now_ms < until_ms; now_ms++) {
		if (now_ms % 100 == 0)
			arrived = 0;
		for (i = 0; i < 1000; i++) {
			if (crowd->next_ms[i] != now_ms)
				continue;
			crowd->tries++;
			arrived += now_ms != START_MS;
			later_ms = dy_session_rate_limit_admit(
				&crowd->limit, crowd->rand, now_ms);
			crowd->taken += !later_ms;
			crowd->next_ms[i] = later_ms ? now_ms + later_ms : 0;
		}
		crowd->most_in_100_ms = MAX(crowd->most_in_100_ms, arrived);
	}
}

/*
 * A failure domain goes and 1,000 callers open their flows anew at one
 * target, at the same moment. A few get in; told the same time, the others
 * would be the next wave. They come back evenly, about as fast as they can
 * be taken, and nearly all get in then.
 */
START_TEST(crowd_comes_back_evenly)
{
	crowd_t crowd = { 0 };
	int i;

	crowd.rand = g_rand_new_with_seed(1);
	dy_session_rate_limit_init(&crowd.limit, 7, START_MS);
	for (i = 0; i < 1000; i++)
		crowd.next_ms[i] = START_MS;
	run_crowd(&crowd, START_MS + 1);
	ck_assert_uint_eq(crowd.taken, 70);
	run_crowd(&crowd, START_MS + 3000);
	ck_assert_uint_eq(crowd.taken, 1000);
	ck_assert_uint_le(crowd.tries, 2300);
	ck_assert_uint_le(crowd.most_in_100_ms, 140);
	g_rand_free(crowd.rand);
}
END_TEST

/*
 * The crowd's first calls already make others wait. The rate falls with each
 * look until it is a tenth, and rises again when the waits are short.
 */
START_TEST(crowd_waits_for_the_calls_of_those_before)
{
	dy_session_rate_limit_t limit;
	uint64_t now_ms = START_MS;
	int i;

	dy_session_rate_limit_init(&limit, 7, now_ms);
	ck_assert_uint_eq(limit.rate, 700);
	for (i = 0; i < 10; i++)
		dy_session_rate_limit_adapt(&limit, 500, now_ms + 100);
	ck_assert_uint_eq(limit.rate, 525);
	for (i = 0; i < 30; i++)
		dy_session_rate_limit_adapt(&limit, 500, now_ms += 100);
	ck_assert_uint_eq(limit.rate, 70);
	for (i = 0; i < 30; i++)
		dy_session_rate_limit_adapt(&limit, 0, now_ms += 100);
	ck_assert_uint_eq(limit.rate, 700);
}
END_TEST

START_TEST(crowd_survives_a_clock_that_goes_back)
{
	GRand *rand = g_rand_new_with_seed(1);
	dy_session_rate_limit_t limit;
	int i;

	dy_session_rate_limit_init(&limit, 1, START_MS);
	for (i = 0; i < 10; i++)
		ck_assert_uint_eq(
			dy_session_rate_limit_admit(&limit, rand, START_MS), 0);
	ck_assert_uint_ge(dy_session_rate_limit_admit(&limit, rand, 10), 1);
	ck_assert_uint_le(dy_session_rate_limit_admit(&limit, rand, 10), 66000);
	g_rand_free(rand);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		outage_is_not_amplified,
		single_failure_is_retried_whole,
		backoff_grows_and_is_spread,
		crowd_comes_back_evenly,
		crowd_waits_for_the_calls_of_those_before,
		crowd_survives_a_clock_that_goes_back,
		NULL,
	};

	return fake_suite_run("budget", tests);
}
