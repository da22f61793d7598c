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
	dy_request_load_t load;

	dy_request_load_init(&load);
	dy_request_load_begin(&load);
	dy_request_load_begin(&load);
	ck_assert_uint_eq(dy_request_load_slots(&load, 0), 2);
	dy_request_load_complete(&load);
	ck_assert_uint_eq(dy_request_load_slots(&load, 0), 2);
	dy_request_load_end(&load, 1);
	dy_request_load_end(&load, 0);
	ck_assert_uint_eq(dy_request_load_slots(&load, 0), 0);
}
END_TEST

/* Uploads of 4 ms that take 400 ms to arrive: forty occupy no slot. */
START_TEST(short_work_counts_little_while_it_arrives)
{
	dy_request_load_t load;
	unsigned i;

	dy_request_load_init(&load);
	for (i = 0; i < 32; i++)
		answer(&load, 400, 4);
	for (i = 0; i < 40; i++)
		dy_request_load_begin(&load);
	ck_assert_uint_eq(dy_request_load_slots(&load, 0), 0);
	dy_request_load_complete(&load);
	ck_assert_uint_eq(dy_request_load_slots(&load, 0), 1);
}
END_TEST

/* Long work among uploads: each that arrives will occupy a slot for long. */
START_TEST(long_work_counts_while_it_arrives)
{
	dy_request_load_t load;
	unsigned i;

	dy_request_load_init(&load);
	for (i = 0; i < 32; i++)
		answer(&load, 400, 4);
	for (i = 0; i < 64; i++)
		answer(&load, 20, 380);
	for (i = 0; i < 10; i++)
		dy_request_load_begin(&load);
	ck_assert_uint_ge(dy_request_load_slots(&load, 0), 9);
}
END_TEST

/*
 * A crowd whose handshakes wait for 160 ms at full links, with work of 40 ms.
 * Guards against a slot that is reserved for each of them meanwhile.
 */
START_TEST(openings_count_little_while_handshakes_wait)
{
	dy_request_load_t load;
	unsigned i;

	dy_request_load_init(&load);
	ck_assert_uint_eq(dy_request_load_slots(&load, 5), 5);
	for (i = 0; i < 64; i++) {
		dy_request_load_add_opening(&load, 160);
		answer(&load, 0, 40);
	}
	ck_assert_uint_eq(dy_request_load_slots(&load, 10), 2);
	for (i = 0; i < 64; i++)
		dy_request_load_add_opening(&load, 4);
	ck_assert_uint_ge(dy_request_load_slots(&load, 10), 9);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		counts_whole_requests_at_first,
		short_work_counts_little_while_it_arrives,
		long_work_counts_while_it_arrives,
		openings_count_little_while_handshakes_wait,
		NULL,
	};

	return fake_suite_run("request_load", tests);
}
