#include "damaskyard/request_pace.h"

#include "fake_suite.h"

#define EACH_MS 30

static dy_request_pace_t pace;
static uint64_t now_ms;

static void begin(void)
{
	dy_request_pace_init(&pace);
	now_ms = 1000;
}

static void serve(unsigned count, uint64_t service_ms, uint64_t each_ms)
{
	while (count--) {
		now_ms += each_ms;
		dy_request_pace_add_service(&pace, service_ms, now_ms);
	}
}

static uint32_t service_us(void)
{
	return dy_request_pace_service_us(&pace, now_ms);
}

/* Guards against a judgement from a few requests, which may be long ones. */
START_TEST(few_samples_are_unknown)
{
	begin();
	ck_assert_uint_eq(service_us(), 0);
	serve(DY_PACE_SAMPLES_MIN - 1, 20, EACH_MS);
	ck_assert_uint_eq(service_us(), 0);
	serve(1, 20, EACH_MS);
	ck_assert_uint_eq(service_us(), 20000);
}
END_TEST

/* No request for long. Guards against a judgement that nothing renews. */
START_TEST(old_samples_are_unknown)
{
	begin();
	serve(64, 20, EACH_MS);
	now_ms += DY_PACE_AGE_MAX_MS;
	ck_assert_uint_eq(service_us(), 20000);
	now_ms++;
	ck_assert_uint_eq(service_us(), 0);
	serve(1, 20, 1);
	ck_assert_uint_eq(service_us(), 20000);
}
END_TEST

/*
 * Three requests in a hundred take seven times as long, the first ones too.
 * Guards against a mean that jumps with each of them.
 */
START_TEST(tail_does_not_move_the_mean)
{
	unsigned i;

	begin();
	for (i = 0; i < 1000; i++) {
		serve(1, i % 33 == 1 ? 140 : 20, EACH_MS);
		if (!service_us())
			continue;
		ck_assert_uint_ge(service_us(), 19000);
		ck_assert_uint_le(service_us(), 26000);
	}
}
END_TEST

/* Guards against one request of a minute that makes a target slow for long. */
START_TEST(one_long_request_counts_little)
{
	begin();
	serve(64, 20, EACH_MS);
	serve(1, 60000, EACH_MS);
	ck_assert_uint_le(service_us(), 22000);
}
END_TEST

/*
 * A target turns five times as slow and back. Guards against a mean that
 * follows only after callers have gone.
 */
START_TEST(slow_spell_is_seen_within_a_second)
{
	begin();
	serve(64, 20, EACH_MS);
	serve(16, 100, 60);
	ck_assert_uint_ge(service_us(), 30000);
	serve(64, 100, 60);
	ck_assert_uint_ge(service_us(), 75000);
	serve(100, 20, EACH_MS);
	ck_assert_uint_le(service_us(), 25000);
}
END_TEST

/*
 * A slow target gets little work, and is not slow any more. Guards against one
 * that needs a hundred requests to show that.
 */
START_TEST(few_requests_show_recovery)
{
	begin();
	serve(200, 100, 60);
	serve(8, 20, 1000);
	ck_assert_uint_le(service_us(), 30000);
}
END_TEST

/* Guards against a target that is convicted by two requests. */
START_TEST(unanswered_part_follows_the_latest_requests)
{
	unsigned i;

	begin();
	dy_request_pace_add_outcome(&pace, 0);
	dy_request_pace_add_outcome(&pace, 0);
	ck_assert_uint_lt(dy_request_pace_unanswered(&pace), 150);
	dy_request_pace_add_outcome(&pace, 0);
	ck_assert_uint_ge(dy_request_pace_unanswered(&pace), 150);
	for (i = 0; i < 32; i++)
		dy_request_pace_add_outcome(&pace, 1);
	ck_assert_uint_le(dy_request_pace_unanswered(&pace), 25);
}
END_TEST

/* No work comes any more. Guards against a conviction that lasts for ever. */
START_TEST(unanswered_part_fades)
{
	unsigned i;

	begin();
	for (i = 0; i < 100; i++)
		dy_request_pace_add_outcome(&pace, 0);
	for (i = 0; i < 5 * 5; i++)
		dy_request_pace_fade(&pace);
	ck_assert_uint_gt(dy_request_pace_unanswered(&pace), 150);
	for (i = 0; i < 5 * 5; i++)
		dy_request_pace_fade(&pace);
	ck_assert_uint_lt(dy_request_pace_unanswered(&pace), 75);
}
END_TEST

/* Guards against long requests of a slow service that count as unanswered. */
START_TEST(time_without_answer_follows_the_mean)
{
	begin();
	ck_assert_uint_eq(dy_request_pace_unanswered_ms(&pace, now_ms),
			  DY_PACE_UNANSWERED_UNKNOWN_MS);
	serve(64, 20, EACH_MS);
	ck_assert_uint_eq(dy_request_pace_unanswered_ms(&pace, now_ms),
			  DY_PACE_UNANSWERED_MIN_MS);
	begin();
	serve(64, 300, 300);
	ck_assert_uint_eq(dy_request_pace_unanswered_ms(&pace, now_ms), 4800);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		few_samples_are_unknown,
		old_samples_are_unknown,
		tail_does_not_move_the_mean,
		one_long_request_counts_little,
		slow_spell_is_seen_within_a_second,
		few_requests_show_recovery,
		unanswered_part_follows_the_latest_requests,
		unanswered_part_fades,
		time_without_answer_follows_the_mean,
		NULL,
	};

	return fake_suite_run("request_pace", tests);
}
