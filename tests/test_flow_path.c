#include "damaskyard/flow_path.h"

#include "fake_suite.h"

static dy_flow_path_t path;

static void setup(void)
{
	dy_flow_path_t fresh = { 0 };

	path = fresh;
	ck_assert(!dy_flow_path_receive_report(&path, 10, 1000));
}

/* Send count messages from from_ms on, one every 20 ms. */
static void send_from(uint64_t from_ms, unsigned count)
{
	unsigned i;

	for (i = 0; i < count; i++)
		dy_flow_path_note_sent(&path, from_ms + 20 * i);
}

/* Requests must not be sent over a path that loses everything. */
START_TEST(path_without_deliveries_is_broken)
{
	setup();
	send_from(1010, 20);
	ck_assert(dy_flow_path_receive_report(&path, 10, 1400));
	ck_assert(path.broken);
	/* The change is reported once. */
	ck_assert(!dy_flow_path_receive_report(&path, 10, 1600));
}
END_TEST

/* The relay must not be used after the direct path has recovered. */
START_TEST(path_recovers_after_one_delivery)
{
	setup();
	send_from(1010, 20);
	dy_flow_path_receive_report(&path, 10, 1400);
	ck_assert(dy_flow_path_receive_report(&path, 11, 1600));
	ck_assert(!path.broken);
	send_from(1610, 20);
	ck_assert(!dy_flow_path_receive_report(&path, 12, 2000));
	ck_assert(!path.broken);
}
END_TEST

/* Some random packet loss must not disable a working path. */
START_TEST(few_losses_do_not_break_path)
{
	setup();
	send_from(1010, DY_FLOW_PATH_LOST_MIN - 1);
	ck_assert(!dy_flow_path_receive_report(&path, 10, 9000));
	ck_assert(!path.broken);
}
END_TEST

/* A report sent before a burst of messages does not count any of them. */
START_TEST(report_sent_before_burst_does_not_break_path)
{
	unsigned i;

	setup();
	for (i = 0; i < 50; i++)
		dy_flow_path_note_sent(&path, 1195);
	ck_assert(!dy_flow_path_receive_report(&path, 10, 1200));
	ck_assert(!path.broken);
}
END_TEST

/* An agent that does not count, or restarted, must not look unreachable. */
START_TEST(agent_without_count_does_not_break_path)
{
	setup();
	send_from(1010, 20);
	ck_assert(!dy_flow_path_receive_report(&path, 0, 1400));
	send_from(1410, 20);
	ck_assert(!dy_flow_path_receive_report(&path, 0, 1800));
	send_from(1810, 20);
	ck_assert(!dy_flow_path_receive_report(&path, 2, 2200));
	ck_assert(!path.broken);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		path_without_deliveries_is_broken,
		path_recovers_after_one_delivery,
		few_losses_do_not_break_path,
		report_sent_before_burst_does_not_break_path,
		agent_without_count_does_not_break_path,
		NULL,
	};

	return fake_suite_run("flow_path", tests);
}
