#include "damaskyard/request_load.h"

#include "fake_suite.h"

static void answer(dy_request_load_t *load, uint64_t receive_ms,
		   uint64_t run_ms)
{
	dy_request_load_begin(load);
	dy_request_load_complete(load);
	dy_request_load_add_times(load, receive_ms, run_ms);
	dy_request_load_end(load, 1);
}

/* Without any answer yet, a request counts as soon as it begins. */
START_TEST(counts_whole_requests_at_first)
{
	dy_request_load_t load = { 0 };

	dy_request_load_begin(&load);
	dy_request_load_begin(&load);
	ck_assert_uint_eq(dy_request_load_slots(&load), 2);
	dy_request_load_complete(&load);
	ck_assert_uint_eq(dy_request_load_slots(&load), 2);
	dy_request_load_end(&load, 1);
	dy_request_load_end(&load, 0);
	ck_assert_uint_eq(dy_request_load_slots(&load), 0);
}
END_TEST

/* Uploads of 4 ms that take 400 ms to arrive: forty occupy no slot. */
START_TEST(short_work_counts_little_while_it_arrives)
{
	dy_request_load_t load = { 0 };
	unsigned i;

	for (i = 0; i < 32; i++)
		answer(&load, 400, 4);
	for (i = 0; i < 40; i++)
		dy_request_load_begin(&load);
	ck_assert_uint_eq(dy_request_load_slots(&load), 0);
	dy_request_load_complete(&load);
	ck_assert_uint_eq(dy_request_load_slots(&load), 1);
}
END_TEST

/* Long work among uploads: each that arrives will occupy a slot for long. */
START_TEST(long_work_counts_while_it_arrives)
{
	dy_request_load_t load = { 0 };
	unsigned i;

	for (i = 0; i < 32; i++)
		answer(&load, 400, 4);
	for (i = 0; i < 64; i++)
		answer(&load, 20, 380);
	for (i = 0; i < 10; i++)
		dy_request_load_begin(&load);
	ck_assert_uint_ge(dy_request_load_slots(&load), 9);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		counts_whole_requests_at_first,
		short_work_counts_little_while_it_arrives,
		long_work_counts_while_it_arrives,
		NULL,
	};

	return fake_suite_run("request_load", tests);
}
