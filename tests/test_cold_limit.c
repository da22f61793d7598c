#include "damaskyard/cold_limit.h"

#include "fake_suite.h"

#define OPENINGS 20000

/*
 * Records openings at random times as far as the limit allows them. Returns
 * their number.
 */
static unsigned record_random_openings(unsigned limit_per_window,
				       unsigned mean_gap_ms, uint64_t *times)
{
	GRand *rand = g_rand_new_with_seed(limit_per_window);
	dy_cold_limit_t limit;
	uint64_t now_ms = 100000;
	unsigned count = 0;
	unsigned i;

	dy_cold_limit_init(&limit);
	dy_cold_limit_set(&limit, limit_per_window);
	for (i = 0; i < OPENINGS; i++) {
		now_ms += (uint64_t)g_rand_int_range(
			rand, 0, 2 * (gint32)mean_gap_ms + 1);
		if (!dy_cold_limit_allows(&limit, now_ms))
			continue;
		dy_cold_limit_record(&limit, now_ms);
		times[count++] = now_ms;
	}
	dy_cold_limit_clear(&limit);
	g_rand_free(rand);
	return count;
}

/*
 * Guards against fixed windows: a second that spans two of them gets twice the
 * limit.
 */
START_TEST(limits_openings_in_any_second)
{
	static const unsigned limits[] = { 1, 2, 20, 500, 4096 };
	static uint64_t times[OPENINGS];
	unsigned max_openings = limits[_i];
	unsigned count = record_random_openings(max_openings, 1, times);
	unsigned i;

	ck_assert_uint_gt(count, max_openings);
	for (i = max_openings; i < count; i++)
		ck_assert_uint_ge(times[i] - times[i - max_openings], 1000);
}
END_TEST

/*
 * Guards against a limit that keeps targets cold and idle while callers are
 * sent away.
 */
START_TEST(reaches_limit_under_constant_demand)
{
	static const unsigned limits[] = { 1, 2, 20, 500 };
	static uint64_t times[OPENINGS];
	unsigned max_openings = limits[_i];
	unsigned count = record_random_openings(max_openings, 1, times);
	double seconds = (double)(times[count - 1] - times[0]) / 1000;

	ck_assert_double_ge(count, 0.9 * max_openings * seconds);
}
END_TEST

/* Guards against limiting a service for which no rate is configured. */
START_TEST(allows_all_openings_without_limit)
{
	static uint64_t times[OPENINGS];

	ck_assert_uint_eq(record_random_openings(0, 0, times), OPENINGS);
}
END_TEST

/* Guards against a lowered limit that ignores the openings before it. */
START_TEST(counts_earlier_openings_after_limit_change)
{
	dy_cold_limit_t limit;
	unsigned i;

	dy_cold_limit_init(&limit);
	for (i = 0; i < 10; i++)
		dy_cold_limit_record(&limit, 5000);
	dy_cold_limit_set(&limit, 10);
	ck_assert(!dy_cold_limit_allows(&limit, 5999));
	dy_cold_limit_set(&limit, 11);
	ck_assert(dy_cold_limit_allows(&limit, 5999));
	dy_cold_limit_set(&limit, 5);
	ck_assert(!dy_cold_limit_allows(&limit, 5999));
	ck_assert(dy_cold_limit_allows(&limit, 5000 + DY_COLD_WINDOW_MS));
	dy_cold_limit_clear(&limit);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cold_limit");
	TCase *tcase = tcase_create("cold_limit");
	SRunner *runner;
	int failures;

	tcase_add_loop_test(tcase, limits_openings_in_any_second, 0, 5);
	tcase_add_loop_test(tcase, reaches_limit_under_constant_demand, 0, 4);
	tcase_add_test(tcase, allows_all_openings_without_limit);
	tcase_add_test(tcase, counts_earlier_openings_after_limit_change);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
