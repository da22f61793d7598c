#include "damaskyard/bulk_limit.h"

#include "fake_suite.h"

#define LINK_BYTES_PER_S 537500
#define UPLOAD_BYTES 40000
#define AIM_MS 800

static void run_one(dy_bulk_limit_t *limit, uint64_t bytes)
{
	dy_bulk_limit_begin(limit);
	dy_bulk_limit_end(limit, bytes);
}

static unsigned begin_all(dy_bulk_limit_t *limit, uint64_t aim_ms)
{
	while (limit->running < 1000 && dy_bulk_limit_allows(limit, aim_ms))
		dy_bulk_limit_begin(limit);
	return limit->running;
}

/* Uploads that run at once are sent within the aim's part for it. */
START_TEST(allows_what_the_link_sends_in_time)
{
	dy_bulk_limit_t limit = { LINK_BYTES_PER_S, 0, 0 };
	unsigned count;

	run_one(&limit, UPLOAD_BYTES);
	count = begin_all(&limit, AIM_MS);
	ck_assert_uint_ge(count, DY_BULK_RUNNING_MIN);
	ck_assert_uint_le(count * UPLOAD_BYTES * 1000ull / LINK_BYTES_PER_S,
			  AIM_MS * DY_BULK_AIM_PERCENT / 100);
}
END_TEST

/* A larger link carries more; a link without a limit, or an aim, all. */
START_TEST(allows_more_on_a_larger_link)
{
	dy_bulk_limit_t small = { LINK_BYTES_PER_S, 0, 0 };
	dy_bulk_limit_t large = { 3 * LINK_BYTES_PER_S, 0, 0 };
	dy_bulk_limit_t unlimited = { 0, 0, 0 };

	run_one(&small, UPLOAD_BYTES);
	run_one(&large, UPLOAD_BYTES);
	run_one(&unlimited, UPLOAD_BYTES);
	ck_assert_uint_ge(begin_all(&large, AIM_MS),
			  3 * begin_all(&small, AIM_MS));
	ck_assert_uint_eq(begin_all(&unlimited, AIM_MS), 1000);
	ck_assert(dy_bulk_limit_allows(&small, 0));
}
END_TEST

/* Guards against a limit that stops all uploads when single ones are large. */
START_TEST(allows_the_minimum_whatever_the_size)
{
	dy_bulk_limit_t limit = { LINK_BYTES_PER_S, 0, 0 };

	run_one(&limit, 100 * UPLOAD_BYTES);
	ck_assert_uint_eq(begin_all(&limit, AIM_MS), DY_BULK_RUNNING_MIN);
}
END_TEST

/* Guards against one large upload among many that decides for all. */
START_TEST(follows_the_mean_of_the_latest_uploads)
{
	dy_bulk_limit_t limit = { LINK_BYTES_PER_S, 0, 0 };
	unsigned i;

	run_one(&limit, 100 * UPLOAD_BYTES);
	for (i = 0; i < 100; i++)
		run_one(&limit, UPLOAD_BYTES);
	ck_assert_double_lt(limit.mean_bytes, 1.2 * UPLOAD_BYTES);
	run_one(&limit, 0);
	ck_assert_double_lt(limit.mean_bytes, 1.2 * UPLOAD_BYTES);
}
END_TEST

/*
 * Guards against tries of a caller that wait for longer than its aim at
 * balancers without room, as a fixed wait does for a short aim.
 */
START_TEST(waits_for_a_part_of_the_aim)
{
	ck_assert_uint_le(3 * dy_bulk_limit_wait_ms(AIM_MS), AIM_MS / 4);
	ck_assert_uint_le(3 * dy_bulk_limit_wait_ms(100), 100 / 4);
	ck_assert_uint_gt(dy_bulk_limit_wait_ms(AIM_MS), 0);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		allows_what_the_link_sends_in_time,
		allows_more_on_a_larger_link,
		allows_the_minimum_whatever_the_size,
		follows_the_mean_of_the_latest_uploads,
		waits_for_a_part_of_the_aim,
		NULL,
	};

	return fake_suite_run("bulk_limit", tests);
}
