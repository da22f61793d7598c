#include "damaskyard/poll_pace.h"

#include "fake_suite.h"

#define MEMBERS 1000

/*
 * All power is back; control stays away for ten seconds. A thousand members
 * that each asked every 100 ms would be ten thousand questions a second, more
 * than control can answer once it is up, so that it never would. After the
 * first second they ask less often than they would poll.
 */
START_TEST(members_without_control_ask_ever_less_often)
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
	/* A start is not slowed: three polls in the first half second. */
	ck_assert_uint_ge(sent[0], 3 * MEMBERS);
	for (i = 2; i < 10; i++)
		ck_assert_uint_le(sent[i],
				  MEMBERS * 1000 / DY_POLL_INTERVAL_MS);
	for (i = 0; i < MEMBERS; i++)
		dy_poll_pace_clear(&paces[i]);
}
END_TEST

/* What is sent again within a second is a copy; after it, a new poll. */
START_TEST(copies_become_a_new_poll_in_time)
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

/* The pace that control tells is kept, within bounds. */
START_TEST(answered_member_polls_as_control_says)
{
	dy_poll_pace_t pace;

	dy_poll_pace_init(&pace, 1);
	dy_poll_pace_note_sent(&pace, DY_POLL_SEND_NEW, 1000);
	dy_poll_pace_note_answer(&pace, 1400);
	ck_assert_int_eq(dy_poll_pace_next(&pace, 2399), DY_POLL_WAIT);
	ck_assert_int_eq(dy_poll_pace_next(&pace, 2400), DY_POLL_SEND_NEW);
	dy_poll_pace_note_sent(&pace, DY_POLL_SEND_NEW, 2400);
	/* A confirmed member is served: it waits longer before a copy. */
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

/* A leader that is known ends the wait, however long it had become. */
START_TEST(known_leader_ends_the_wait)
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
 * Controls that are up and have no leader turn members away. The first time the
 * member asks again soon, since a leader is elected in a tenth of a second;
 * later ever more seldom.
 */
START_TEST(turned_away_member_asks_ever_less_often)
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
 * A change is told at once; one that is pressed for keeps its distance. A poll
 * that control is at work on is not given up for it: its answer would be lost,
 * and control would begin anew.
 */
START_TEST(changes_and_presses_poll_soon)
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
	/* Unanswered, what is sent again says what is so now. */
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
		members_without_control_ask_ever_less_often,
		copies_become_a_new_poll_in_time,
		answered_member_polls_as_control_says,
		known_leader_ends_the_wait,
		turned_away_member_asks_ever_less_often,
		changes_and_presses_poll_soon,
		NULL,
	};

	return fake_suite_run("poll_pace", tests);
}
