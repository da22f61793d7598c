#include <check.h>

#include <string.h>

#include "damaskyard/control.h"
#include "fake_control.h"
#include "fake_suite.h"

/* Ticks of 5 ms: 2 s, and the time that a group has for its bootstrap. */
#define REPLACE_TICKS 400
#define BOOTSTRAP_TICKS 2000

/* Control 1, which founds the group, and control 3, which leaves it. */
static fake_control_t world;
static fake_control_t leaving;
static char *folders[5];

/* Starts a control in slot beside world's own; returns it. */
static dy_control_t *start_control(uint32_t slot)
{
	dy_control_options_t options = world.options;

	folders[slot] = g_dir_make_tmp("dy-voters-XXXXXX", NULL);
	options.slot = slot;
	options.listen = options.peers.slots[slot];
	options.folder = folders[slot];
	options.joins_running_group = slot > 3;
	return dy_control_create(world.loop, world.metrics, &options, NULL);
}

static void start_leaving_control(void)
{
	fake_control_init(&leaving);
	leaving.options.slot = 3;
	leaving.options.peers = world.options.peers;
	leaving.options.listen = world.options.peers.slots[3];
	fake_control_start(&leaving);
}

static void run_until(const char *counter, uint64_t value, unsigned ticks)
{
	while (ticks-- && dy_metrics_value(world.metrics, counter) < value) {
		fake_control_run(&world, 1, NULL);
		if (leaving.control)
			fake_control_run(&leaving, 1, NULL);
	}
	ck_assert_uint_ge(dy_metrics_value(world.metrics, counter), value);
}

/*
 * A control is replaced as planned, the new one starts first, and 4 s after
 * that start it does not vote: the next loss stops the group.
 */
START_TEST(replaces_voter_that_left_while_learner_waits)
{
	dy_control_t *second, *fourth;
	uint32_t slot;

	fake_control_init(&world);
	world.options.peers.count = 3;
	for (slot = 2; slot <= 3; slot++)
		world.options.peers.slots[slot] =
			fake_control_unused_address(&world);
	fake_control_start(&world);
	second = start_control(2);
	start_leaving_control();
	run_until("control_promoted", 2, BOOTSTRAP_TICKS);
	world.options.peers.slots[4] = fake_control_unused_address(&world);
	fourth = start_control(4);
	run_until("learner_added", 3, BOOTSTRAP_TICKS);
	ck_assert_uint_eq(dy_metrics_value(world.metrics, "control_promoted"),
			  2);
	fake_control_stop(&leaving);
	run_until("control_promoted", 3, REPLACE_TICKS);
	run_until("control_removed", 1, REPLACE_TICKS);
	dy_control_destroy(fourth);
	dy_control_destroy(second);
	fake_control_stop(&world);
	fake_control_remove_folder(folders[2]);
	fake_control_remove_folder(folders[4]);
	fake_control_clear(&leaving);
	fake_control_clear(&world);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		replaces_voter_that_left_while_learner_waits,
		NULL,
	};

	return fake_suite_run_for("control_voters", tests, 60);
}
