#include "damaskyard/isolation.h"

#include <glib.h>

#include "fake_suite.h"

static dy_contact_t contact;

/* Ticks in which so many messages come, and packets are sent. */
static void speak(unsigned ticks, unsigned messages)
{
	unsigned i;

	while (ticks--) {
		dy_contact_note_asked(&contact);
		for (i = 0; i < messages; i++)
			dy_contact_note_heard(&contact);
		dy_contact_tick(&contact);
	}
}

/* Ticks without a message until the process is cut off, at most max. */
static unsigned fall_silent(unsigned max)
{
	unsigned ticks = 0;

	while (ticks < max && !dy_contact_is_cut_off(&contact)) {
		dy_contact_note_asked(&contact);
		dy_contact_tick(&contact);
		ticks++;
	}
	return ticks;
}

/*
 * The VM of a balancer is cut off from all others, and the fabric goes on
 * handing it packets: callers wait until they give up. Ten agents that report
 * five times a second fall silent at once, which nothing else explains.
 */
START_TEST(silence_of_all_is_told_within_half_a_second)
{
	dy_contact_init(&contact);
	speak(20, 5);
	ck_assert_uint_le(fall_silent(100) * DY_CONTACT_TICK_MS, 500);
	ck_assert(dy_contact_is_cut_off(&contact));
}
END_TEST

/* The cut heals: one message is enough. */
START_TEST(one_message_ends_it)
{
	dy_contact_init(&contact);
	speak(20, 5);
	fall_silent(100);
	dy_contact_note_heard(&contact);
	ck_assert(!dy_contact_is_cut_off(&contact));
}
END_TEST

/*
 * A link loses half of all packets for a minute. Taking that for a cut would
 * send the fabric back and forth between the balancers.
 */
START_TEST(loss_is_no_cut)
{
	GRand *random = g_rand_new_with_seed(5);
	unsigned agents = 10;
	unsigned cut = 0;
	unsigned tick;
	unsigned i;

	dy_contact_init(&contact);
	for (tick = 0; tick < 600; tick++) {
		dy_contact_note_asked(&contact);
		for (i = tick % 2; i < agents; i += 2)
			if (g_rand_boolean(random))
				dy_contact_note_heard(&contact);
		dy_contact_tick(&contact);
		cut += dy_contact_is_cut_off(&contact);
	}
	ck_assert_uint_eq(cut, 0);
	g_rand_free(random);
}
END_TEST

/* One agent and its five reports a second: few are missing in half a second. */
START_TEST(few_messages_take_longer)
{
	unsigned ticks;
	unsigned i;

	dy_contact_init(&contact);
	for (i = 0; i < 10; i++) {
		speak(1, 1);
		dy_contact_note_asked(&contact);
		dy_contact_tick(&contact);
	}
	ticks = fall_silent(100);
	ck_assert_uint_ge(ticks * DY_CONTACT_TICK_MS, 2000);
	ck_assert(dy_contact_is_cut_off(&contact));
}
END_TEST

/*
 * Callers pause while control is away: nobody has a reason to speak. With the
 * first packet after the pause an agent needs its time to report.
 */
START_TEST(pause_of_callers_is_no_cut)
{
	unsigned i;

	dy_contact_init(&contact);
	speak(20, 5);
	for (i = 0; i < 50; i++)
		dy_contact_tick(&contact);
	ck_assert(!dy_contact_is_cut_off(&contact));
	ck_assert_uint_eq(fall_silent(50), 50);
	ck_assert(!dy_contact_is_cut_off(&contact));
}
END_TEST

/*
 * The VM stands still for seconds. When it goes on, its timer is due before
 * the messages that wait are read: that is one quiet tick.
 */
START_TEST(process_that_stood_still_is_not_cut_off)
{
	dy_contact_init(&contact);
	speak(20, 5);
	dy_contact_tick(&contact);
	ck_assert(!dy_contact_is_cut_off(&contact));
	speak(1, 50);
	ck_assert(!dy_contact_is_cut_off(&contact));
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		silence_of_all_is_told_within_half_a_second,
		one_message_ends_it,
		loss_is_no_cut,
		few_messages_take_longer,
		pause_of_callers_is_no_cut,
		process_that_stood_still_is_not_cut_off,
		NULL,
	};

	return fake_suite_run("isolation", tests);
}
