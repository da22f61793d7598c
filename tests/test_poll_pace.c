#include "damaskyard/poll_pace.h"

#include "fake_suite.h"

#define MEMBERS 1000

/*
 * Guards against a retry storm after a power failure: control is down for ten
 * seconds. A thousand members that each poll every 100 ms send ten thousand
 * polls per second, more than control can answer once it is up, so that it
 * never recovers. After the first two seconds the rate must stay below that
 * of regular polls.
 */
START_TEST(reduces_poll_rate_without_control)
{
	static dy_poll_pace_t paces[MEMBERS];
	unsigned sent[10] = { 0 };
	dy_poll_step_t step;
	uint64_t now;
	unsigned i;

	for (i = 0; i < MEMBERS; i++)
		dy_poll_pace_init(&paces[i], i);
	for (now = 0; now < 10000; now += 10)
		for (i = 0; i < MEMBERS; i++) {
			step = dy_poll_pace_next(&paces[i], now);
			if (step == DY_POLL_WAIT)
				continue;
			dy_poll_pace_note_sent(&paces[i], step, now);
			sent[now / 1000]++;
		}
	/* A start is not delayed: three polls each in the first second. */
	ck_assert_uint_ge(sent[0], 3 * MEMBERS);
	for (i = 2; i < 10; i++)
		ck_assert_uint_le(sent[i],
				  MEMBERS * 1000 / DY_POLL_INTERVAL_MS);
	for (i = 0; i < MEMBERS; i++)
		dy_poll_pace_clear(&paces[i]);
}
END_TEST

/* Returns how often a member polls in for_ms without an answer. */
static unsigned count_unanswered_polls(uint32_t seed, uint64_t interval_ms,
				       uint64_t for_ms)
{
	dy_poll_pace_t pace;
	dy_poll_step_t step;
	unsigned sent = 0;
	uint64_t now;

	dy_poll_pace_init(&pace, seed);
	dy_poll_pace_note_sent(&pace, dy_poll_pace_next(&pace, 0), 0);
	dy_poll_pace_note_answer(&pace, interval_ms);
	for (now = interval_ms; now < interval_ms + for_ms; now += 10) {
		step = dy_poll_pace_next(&pace, now);
		if (step == DY_POLL_WAIT)
			continue;
		dy_poll_pace_note_sent(&pace, step, now);
		sent++;
	}
	dy_poll_pace_clear(&pace);
	return sent;
}

/*
 * Guards against a live member that becomes suspect because the one or two
 * polls that it sends within a lease are lost.
 */
START_TEST(polls_four_times_in_lease_without_answer)
{
	uint32_t seed;
	unsigned sent;

	for (seed = 0; seed < 100; seed++) {
		sent = count_unanswered_polls(seed, DY_POLL_INTERVAL_MS, 3000);
		ck_assert_uint_ge(sent, 4);
		ck_assert_uint_le(sent, 3000 / DY_POLL_INTERVAL_MS + 1);
		/* With a long interval the bound of the backoff applies. */
		sent = count_unanswered_polls(seed, DY_POLL_INTERVAL_MAX_MS,
					      20000);
		ck_assert_uint_ge(sent, 4);
		ck_assert_uint_le(sent, 20000 / DY_POLL_BACKOFF_MAX_MS + 3);
	}
}
END_TEST

/* A poll is retransmitted within its time to live, then a new one is sent. */
START_TEST(sends_new_poll_after_time_to_live)
{
	dy_poll_pace_t pace;
	dy_poll_step_t step;
	uint64_t begun = 0;
	uint64_t now;

	dy_poll_pace_init(&pace, 1);
	for (now = 0; now < 8000; now += 10) {
		step = dy_poll_pace_next(&pace, now);
		if (step == DY_POLL_WAIT)
			continue;
		if (step == DY_POLL_SEND_NEW)
			begun = now;
		ck_assert_uint_lt(now - begun, DY_POLL_TTL_MS);
		dy_poll_pace_note_sent(&pace, step, now);
		ck_assert_uint_eq(pace.first_sent_ms, begun);
	}
	dy_poll_pace_clear(&pace);
}
END_TEST

/* The member uses the interval that control sets, within bounds. */
START_TEST(uses_interval_of_control_within_bounds)
{
	dy_poll_pace_t pace;

	dy_poll_pace_init(&pace, 1);
	dy_poll_pace_note_sent(&pace, DY_POLL_SEND_NEW, 1000);
	dy_poll_pace_note_answer(&pace, 1400);
	ck_assert_int_eq(dy_poll_pace_next(&pace, 2399), DY_POLL_WAIT);
	ck_assert_int_eq(dy_poll_pace_next(&pace, 2400), DY_POLL_SEND_NEW);
	dy_poll_pace_note_sent(&pace, DY_POLL_SEND_NEW, 2400);
	/* A confirmed member waits longer before it retransmits. */
	ck_assert_int_eq(
		dy_poll_pace_next(&pace, 2400 + DY_POLL_TIMEOUT_MS - 1),
		DY_POLL_WAIT);
	dy_poll_pace_note_answer(&pace, 60000);
	ck_assert_int_eq(
		dy_poll_pace_next(&pace, 2400 + DY_POLL_INTERVAL_MAX_MS),
		DY_POLL_SEND_NEW);
	dy_poll_pace_clear(&pace);
}
END_TEST

/* A known leader is polled at once, however long the timeout has become. */
START_TEST(polls_known_leader_at_once)
{
	dy_poll_pace_t pace;
	int i;

	dy_poll_pace_init(&pace, 1);
	for (i = 0; i < 6; i++)
		dy_poll_pace_note_sent(&pace, DY_POLL_SEND_NEW, 100);
	ck_assert_int_eq(dy_poll_pace_next(&pace, 1000), DY_POLL_WAIT);
	dy_poll_pace_poll_now(&pace, 1000);
	ck_assert_int_eq(dy_poll_pace_next(&pace, 1000), DY_POLL_RETRANSMIT);
	dy_poll_pace_clear(&pace);
}
END_TEST

/*
 * Controls that are up but have no leader cannot serve polls. The first
 * backoff is short, because a leader is elected within a tenth of a second;
 * later ones double.
 */
START_TEST(doubles_backoff_without_leader)
{
	dy_poll_pace_t pace;
	uint64_t now = 0;
	unsigned sent = 0;

	dy_poll_pace_init(&pace, 1);
	for (; now < 10000; now += 10) {
		if (dy_poll_pace_next(&pace, now) == DY_POLL_WAIT)
			continue;
		dy_poll_pace_note_sent(&pace, dy_poll_pace_next(&pace, now),
				       now);
		dy_poll_pace_back_off(&pace, now);
		sent++;
		if (sent == 1)
			ck_assert_uint_le(pace.due_ms,
					  now + DY_POLL_BACKOFF_MS * 3 / 2);
	}
	ck_assert_uint_le(sent, 15);
	dy_poll_pace_clear(&pace);
}
END_TEST

/*
 * A change is polled at once; an early poll keeps its minimum interval. A poll
 * in flight, which control may be processing, is not abandoned for a change:
 * its answer would be lost, and control would start over.
 */
START_TEST(polls_after_change_or_early_request)
{
	dy_poll_pace_t pace;

	dy_poll_pace_init(&pace, 1);
	dy_poll_pace_note_sent(&pace, DY_POLL_SEND_NEW, 1000);
	dy_poll_pace_note_answer(&pace, DY_POLL_INTERVAL_MS);
	dy_poll_pace_poll_early(&pace);
	ck_assert_int_eq(dy_poll_pace_next(&pace, 1000), DY_POLL_WAIT);
	ck_assert_int_eq(
		dy_poll_pace_next(&pace, 1000 + DY_POLL_EARLY_INTERVAL_MS),
		DY_POLL_SEND_NEW);
	dy_poll_pace_note_change(&pace);
	ck_assert_int_eq(dy_poll_pace_next(&pace, 1001), DY_POLL_SEND_NEW);
	dy_poll_pace_note_sent(&pace, DY_POLL_SEND_NEW, 1060);
	dy_poll_pace_note_change(&pace);
	ck_assert_int_eq(dy_poll_pace_next(&pace, 1061), DY_POLL_WAIT);
	dy_poll_pace_note_answer(&pace, DY_POLL_INTERVAL_MS);
	ck_assert_int_eq(dy_poll_pace_next(&pace, 1070), DY_POLL_SEND_NEW);
	/* Without an answer, the next transmission has the new content. */
	dy_poll_pace_note_sent(&pace, DY_POLL_SEND_NEW, 1070);
	dy_poll_pace_note_change(&pace);
	ck_assert_int_eq(
		dy_poll_pace_next(&pace, 1070 + DY_POLL_BACKOFF_MAX_MS),
		DY_POLL_SEND_NEW);
	dy_poll_pace_reset(&pace);
	ck_assert_int_eq(dy_poll_pace_next(&pace, 1071), DY_POLL_SEND_NEW);
	dy_poll_pace_clear(&pace);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		reduces_poll_rate_without_control,
		polls_four_times_in_lease_without_answer,
		sends_new_poll_after_time_to_live,
		uses_interval_of_control_within_bounds,
		polls_known_leader_at_once,
		doubles_backoff_without_leader,
		polls_after_change_or_early_request,
		NULL,
	};

	return fake_suite_run("poll_pace", tests);
}
