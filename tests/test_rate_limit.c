#include <stdlib.h>

#include "fake_suite.h"

#include "damaskyard/rate_limit.h"

#define START_MS 5000

/*
 * All targets are down. Each of 10,000 calls fails and would be retried twice:
 * three times the load for the first targets to recover. Retries must stay at a
 * tenth of the first attempts, and a call that may have run is never retried.
 */
START_TEST(limits_retries_during_outage)
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

/* One target fails with 14 calls in progress: all are retried at once. */
START_TEST(retries_all_calls_of_one_failed_target)
{
	dy_retry_budget_t budget;
	int i;

	dy_retry_budget_init(&budget, 100, 14);
	for (i = 0; i < 14; i++)
		ck_assert(dy_retry_budget_withdraw(&budget, DY_RETRY_DEDUPED));
	ck_assert(!dy_retry_budget_withdraw(&budget, DY_RETRY_DEDUPED));
}
END_TEST

START_TEST(backoff_grows_with_jitter)
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

/*
 * Callers that reconnect: the time of the next attempt of each, 0 once
 * accepted.
 */
typedef struct reconnect {
	dy_session_rate_limit_t limit;
	GRand *rand;
	uint64_t next_ms[1000];
	unsigned accepted;
	unsigned attempts;
	unsigned max_in_100_ms; /* arrivals, without the first ones */
} reconnect_t;

static void run_reconnect(reconnect_t *reconnect, uint64_t until_ms)
{
	unsigned arrived = 0;
	uint64_t now_ms;
	uint32_t retry_ms;
	int i;

	for (now_ms = START_MS; now_ms < until_ms; now_ms++) {
		if (now_ms % 100 == 0)
			arrived = 0;
		for (i = 0; i < 1000; i++) {
			if (reconnect->next_ms[i] != now_ms)
				continue;
			reconnect->attempts++;
			arrived += now_ms != START_MS;
			retry_ms = dy_session_rate_limit_admit(
				&reconnect->limit, reconnect->rand, now_ms);
			reconnect->accepted += !retry_ms;
			reconnect->next_ms[i] =
				retry_ms ? now_ms + retry_ms : 0;
		}
		reconnect->max_in_100_ms =
			MAX(reconnect->max_in_100_ms, arrived);
	}
}

/*
 * A failure domain is lost and 1,000 callers open their flows at one target at
 * the same moment. Some are accepted; with the same retry delay the others
 * would be the next wave. They must return evenly, at about the rate at which
 * they are accepted, and then nearly all be accepted.
 */
START_TEST(refused_sessions_return_evenly)
{
	reconnect_t reconnect = { 0 };
	int i;

	reconnect.rand = g_rand_new_with_seed(1);
	dy_session_rate_limit_init(&reconnect.limit, 7, START_MS);
	for (i = 0; i < 1000; i++)
		reconnect.next_ms[i] = START_MS;
	run_reconnect(&reconnect, START_MS + 1);
	ck_assert_uint_eq(reconnect.accepted, 70);
	run_reconnect(&reconnect, START_MS + 3000);
	ck_assert_uint_eq(reconnect.accepted, 1000);
	ck_assert_uint_le(reconnect.attempts, 2300);
	ck_assert_uint_le(reconnect.max_in_100_ms, 140);
	g_rand_free(reconnect.rand);
}
END_TEST

/*
 * The calls of the first accepted sessions already make others wait. The rate
 * must fall with each update down to a tenth, and rise again once waits are
 * short.
 */
START_TEST(session_rate_follows_queue_wait)
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

START_TEST(session_rate_ignores_clock_that_goes_back)
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
		limits_retries_during_outage,
		retries_all_calls_of_one_failed_target,
		backoff_grows_with_jitter,
		refused_sessions_return_evenly,
		session_rate_follows_queue_wait,
		session_rate_ignores_clock_that_goes_back,
		NULL,
	};

	return fake_suite_run("rate_limit", tests);
}
