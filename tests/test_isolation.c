#include "damaskyard/isolation.h"

#include <glib.h>

#include "fake_suite.h"

static dy_isolation_t isolation;

/* Run ticks with that many messages each, while packets are sent. */
static void run_with_messages(unsigned ticks, unsigned messages)
{
	unsigned i;

	while (ticks--) {
		dy_isolation_record_sent(&isolation);
		for (i = 0; i < messages; i++)
			dy_isolation_record_received(&isolation);
		dy_isolation_tick(&isolation);
	}
}

/*
 * Run ticks without a message, while packets are sent, until the process is cut
 * off. Returns their number, max at most.
 */
static unsigned run_silent(unsigned max)
{
	unsigned ticks = 0;

	while (ticks < max && !dy_isolation_is_cut_off(&isolation)) {
		dy_isolation_record_sent(&isolation);
		dy_isolation_tick(&isolation);
		ticks++;
	}
	return ticks;
}

/*
 * The VM of a balancer is cut off from all others while the fabric keeps
 * sending it packets, so callers wait until they time out. Ten agents that
 * report five times a second fall silent at once, which nothing else explains.
 */
START_TEST(detects_silence_of_all_agents_within_500_ms)
{
	dy_isolation_init(&isolation);
	run_with_messages(20, 5);
	ck_assert_uint_le(run_silent(100) * DY_ISOLATION_TICK_MS, 500);
	ck_assert(dy_isolation_is_cut_off(&isolation));
}
END_TEST

/* The network recovers. */
START_TEST(ends_with_first_message)
{
	dy_isolation_init(&isolation);
	run_with_messages(20, 5);
	run_silent(100);
	dy_isolation_record_received(&isolation);
	ck_assert(!dy_isolation_is_cut_off(&isolation));
}
END_TEST

/*
 * A link loses half of all packets for a minute. If that counted as isolation,
 * the fabric would switch back and forth between the balancers.
 */
START_TEST(is_not_detected_under_half_packet_loss)
{
	GRand *random = g_rand_new_with_seed(5);
	unsigned agents = 10;
	unsigned cut_off_ticks = 0;
	unsigned tick;
	unsigned i;

	dy_isolation_init(&isolation);
	for (tick = 0; tick < 600; tick++) {
		dy_isolation_record_sent(&isolation);
		for (i = tick % 2; i < agents; i += 2)
			if (g_rand_boolean(random))
				dy_isolation_record_received(&isolation);
		dy_isolation_tick(&isolation);
		cut_off_ticks += dy_isolation_is_cut_off(&isolation);
	}
	ck_assert_uint_eq(cut_off_ticks, 0);
	g_rand_free(random);
}
END_TEST

/*
 * With a single agent, which reports five times a second, few messages are
 * missing in half a second.
 */
START_TEST(takes_longer_with_few_messages)
{
	unsigned ticks;
	unsigned i;

	dy_isolation_init(&isolation);
	for (i = 0; i < 10; i++) {
		run_with_messages(1, 1);
		dy_isolation_record_sent(&isolation);
		dy_isolation_tick(&isolation);
	}
	ticks = run_silent(100);
	ck_assert_uint_ge(ticks * DY_ISOLATION_TICK_MS, 2000);
	ck_assert(dy_isolation_is_cut_off(&isolation));
}
END_TEST

/*
 * Callers pause while the controls are away, so no process sends messages.
 * After the first packet of the next caller, the agent takes a while to report.
 */
START_TEST(is_not_detected_after_pause_of_callers)
{
	unsigned i;

	dy_isolation_init(&isolation);
	run_with_messages(20, 5);
	for (i = 0; i < 50; i++)
		dy_isolation_tick(&isolation);
	ck_assert(!dy_isolation_is_cut_off(&isolation));
	ck_assert_uint_eq(run_silent(50), 50);
	ck_assert(!dy_isolation_is_cut_off(&isolation));
}
END_TEST

/*
 * The VM is suspended for seconds. When it resumes, the timer fires before the
 * queued messages are read: one silent tick.
 */
START_TEST(is_not_detected_after_process_was_suspended)
{
	dy_isolation_init(&isolation);
	run_with_messages(20, 5);
	dy_isolation_tick(&isolation);
	ck_assert(!dy_isolation_is_cut_off(&isolation));
	run_with_messages(1, 50);
	ck_assert(!dy_isolation_is_cut_off(&isolation));
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		detects_silence_of_all_agents_within_500_ms,
		ends_with_first_message,
		is_not_detected_under_half_packet_loss,
		takes_longer_with_few_messages,
		is_not_detected_after_pause_of_callers,
		is_not_detected_after_process_was_suspended,
		NULL,
	};

	return fake_suite_run("isolation", tests);
}
