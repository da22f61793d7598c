#include "damaskyard/cold_limit.h"

#include "fake_suite.h"

#define OPENINGS 20000

/* Openings that come at random, let in as far as the limit allows. */
static unsigned let_in(unsigned most, unsigned mean_gap_ms, uint64_t *times)
{
	GRand *rand = g_rand_new_with_seed(most);
	dy_cold_limit_t limit;
	uint64_t now_ms = 100000;
	unsigned count = 0;
	unsigned i;

	dy_cold_limit_init(&limit);
	dy_cold_limit_set(&limit, most);
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

/* A second that begins in the middle of two counted ones has twice as many. */
START_TEST(no_second_has_more_than_allowed)
{
	static const unsigned limits[] = { 1, 2, 20, 500, 4096 };
	static uint64_t times[OPENINGS];
	unsigned most = limits[_i];
	unsigned count = let_in(most, 1, times);
	unsigned i;

	ck_assert_uint_gt(count, most);
	for (i = most; i < count; i++)
		ck_assert_uint_ge(times[i] - times[i - most], 1000);
}
END_TEST

/* Targets stay cold and idle while their callers are sent away. */
START_TEST(rate_is_filled_while_there_is_demand)
{
	static const unsigned limits[] = { 1, 2, 20, 500 };
	static uint64_t times[OPENINGS];
	unsigned most = limits[_i];
	unsigned count = let_in(most, 1, times);
	double seconds = (double)(times[count - 1] - times[0]) / 1000;

	ck_assert_double_ge(count, 0.9 * most * seconds);
}
END_TEST

/* A service of which nothing is said is held back. */
START_TEST(no_limit_lets_all_in)
{
	static uint64_t times[OPENINGS];

	ck_assert_uint_eq(let_in(0, 0, times), OPENINGS);
}
END_TEST

/* A limit that is lowered forgets what was let in before. */
START_TEST(openings_of_before_count_under_a_new_limit)
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

	tcase_add_loop_test(tcase, no_second_has_more_than_allowed, 0, 5);
	tcase_add_loop_test(tcase, rate_is_filled_while_there_is_demand, 0, 4);
	tcase_add_test(tcase, no_limit_lets_all_in);
	tcase_add_test(tcase, openings_of_before_count_under_a_new_limit);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
