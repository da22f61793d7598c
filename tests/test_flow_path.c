#include "damaskyard/flow_path.h"

#include "fake_suite.h"

static dy_flow_path_t path;

static void begin(void)
{
	dy_flow_path_t fresh = { 0 };

	path = fresh;
	ck_assert(!dy_flow_path_receive_report(&path, 10, 1000));
}

/* Send so many from from_ms on, one each 20 ms. */
static void send_from(uint64_t from_ms, unsigned count)
{
	unsigned i;

	for (i = 0; i < count; i++)
		dy_flow_path_note_sent(&path, from_ms + 20 * i);
}

/* Requests go on into a path that lets nothing through. */
START_TEST(path_that_lets_nothing_through_is_broken)
{
	begin();
	send_from(1010, 20);
	ck_assert(dy_flow_path_receive_report(&path, 10, 1400));
	ck_assert(path.broken);
	/* Told once. */
	ck_assert(!dy_flow_path_receive_report(&path, 10, 1600));
}
END_TEST

/* A detour goes on though the straight path is whole. */
START_TEST(path_is_whole_once_anything_arrives)
{
	begin();
	send_from(1010, 20);
	dy_flow_path_receive_report(&path, 10, 1400);
	ck_assert(dy_flow_path_receive_report(&path, 11, 1600));
	ck_assert(!path.broken);
	send_from(1610, 20);
	ck_assert(!dy_flow_path_receive_report(&path, 12, 2000));
	ck_assert(!path.broken);
}
END_TEST

/* A few packets that were lost by chance take a good path out of use. */
START_TEST(few_losses_break_no_path)
{
	begin();
	send_from(1010, DY_FLOW_PATH_LOST_MIN - 1);
	ck_assert(!dy_flow_path_receive_report(&path, 10, 9000));
	ck_assert(!path.broken);
}
END_TEST

/* A report that crosses a burst of packets says that none of them arrived. */
START_TEST(report_that_crosses_a_burst_breaks_no_path)
{
	unsigned i;

	begin();
	for (i = 0; i < 50; i++)
		dy_flow_path_note_sent(&path, 1195);
	ck_assert(!dy_flow_path_receive_report(&path, 10, 1200));
	ck_assert(!path.broken);
}
END_TEST

/* An agent that does not count, or begins anew, is taken for deaf. */
START_TEST(agent_that_does_not_count_breaks_no_path)
{
	begin();
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
		path_that_lets_nothing_through_is_broken,
		path_is_whole_once_anything_arrives,
		few_losses_break_no_path,
		report_that_crosses_a_burst_breaks_no_path,
		agent_that_does_not_count_breaks_no_path,
		NULL,
	};

	return fake_suite_run("flow_path", tests);
}
