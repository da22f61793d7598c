/* Real controls that are killed or told new settings while they start. */

#include <signal.h>
#include <sys/wait.h>

#include "damaskyard/store.h"
#include "fake_controls.h"
#include "fake_suite.h"
#include "flow_member.h"

/* Far below the time after which a join is given up and claimed anew. */
#define ACKNOWLEDGE_MS 6000
#define START_MS 10000
#define RESTART_MS 300
/* Below the interval at which the settings are read again. */
#define RELOAD_MS 3000
#define STOP_MS 1500

#define TEST_TIMEOUT_S 40

static void start(fake_controls_t *controls, int number, gboolean first_start)
{
	fake_controls_configure(controls, number, "1,2,3", first_start);
	fake_controls_start(controls, number);
}

static fake_controls_t *begin_three(void)
{
	fake_controls_t *controls = fake_controls_create();
	int i;

	for (i = 1; i <= 3; i++)
		start(controls, i, TRUE);
	return controls;
}

static void await_acknowledgement(fake_controls_t *controls)
{
	ck_assert(fake_controls_put(controls, 1, ACKNOWLEDGE_MS));
}

/* The founder of the group restarts later than the first start, and founds. */
START_TEST(founder_killed_before_it_founds_still_founds)
{
	fake_controls_t *controls = fake_controls_create();

	start(controls, 1, TRUE);
	start(controls, 2, TRUE);
	fake_controls_await(controls, 1, "control_started", START_MS);
	fake_controls_kill(controls, 1);
	start(controls, 1, FALSE);
	start(controls, 3, TRUE);
	await_acknowledgement(controls);
	fake_controls_destroy(controls);
}
END_TEST

/* A control dies after it has a slot and before the leader knows it. */
START_TEST(control_killed_before_it_joins_is_not_lost)
{
	fake_controls_t *controls = begin_three();

	await_acknowledgement(controls);
	start(controls, 4, FALSE);
	fake_controls_await(controls, 4, "store_new_identity", START_MS);
	fake_controls_kill(controls, 4);
	start(controls, 4, FALSE);
	fake_controls_await(controls, 4, "role_changed", ACKNOWLEDGE_MS);
	fake_controls_destroy(controls);
}
END_TEST

/* A control lost its disk, and all controls of its list are gone. */
START_TEST(control_whose_seeds_are_gone_asks_who_sends_to_it)
{
	fake_controls_t *controls = begin_three();

	await_acknowledgement(controls);
	fake_controls_kill(controls, 3);
	fake_controls_wipe(controls, 3);
	fake_controls_configure(controls, 3, "4", FALSE);
	fake_controls_start(controls, 3);
	fake_controls_await(controls, 3, "slot_assigned", START_MS);
	fake_controls_destroy(controls);
}
END_TEST

/* A control dies before it has written down that the group is founded. */
START_TEST(control_with_empty_disk_takes_part_in_first_start)
{
	fake_controls_t *controls;
	int number;

	for (number = 1; number <= 3; number += 2) {
		controls = fake_controls_create();
		start(controls, 2, TRUE);
		start(controls, 4 - number, TRUE);
		start(controls, number, FALSE);
		await_acknowledgement(controls);
		fake_controls_destroy(controls);
	}
}
END_TEST

static void kill_at(int number, unsigned ms, gboolean wipe)
{
	fake_controls_t *controls = begin_three();

	g_usleep(ms * 1000);
	fake_controls_kill(controls, number);
	if (wipe)
		fake_controls_wipe(controls, number);
	g_usleep(RESTART_MS * 1000);
	start(controls, number, FALSE);
	ck_assert_msg(fake_controls_put(controls, 1, ACKNOWLEDGE_MS),
		      "c%d killed after %u ms", number, ms);
	fake_controls_destroy(controls);
}

/* One control is killed in the first half second of the first start. */
START_TEST(any_control_may_be_killed_in_first_start)
{
	static const unsigned moments_ms[] = { 100, 200, 300, 400 };
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(moments_ms); i++) {
		kill_at(1, moments_ms[i], FALSE);
		kill_at(2, moments_ms[i], FALSE);
		kill_at(3, moments_ms[i], FALSE);
	}
	kill_at(3, 300, TRUE);
}
END_TEST

/* The signal for changed settings ends a control that waits for its slot. */
START_TEST(waiting_control_uses_changed_seeds_at_sighup)
{
	fake_controls_t *controls = fake_controls_create();

	fake_controls_configure(controls, 1, "1", TRUE);
	fake_controls_start(controls, 1);
	fake_controls_configure(controls, 2, "3", FALSE);
	fake_controls_start(controls, 2);
	fake_controls_await(controls, 1, "group_founded", START_MS);
	fake_controls_await(controls, 2, "slot_requested", START_MS);
	fake_controls_configure(controls, 2, "1", FALSE);
	fake_controls_signal(controls, 2, SIGHUP);
	fake_controls_await(controls, 2, "slot_assigned", RELOAD_MS);
	fake_controls_destroy(controls);
}
END_TEST

/* Nobody signals the change, and the waiting control never reads it. */
START_TEST(waiting_control_rereads_its_settings)
{
	fake_controls_t *controls = fake_controls_create();

	fake_controls_configure(controls, 1, "1", TRUE);
	fake_controls_start(controls, 1);
	fake_controls_configure(controls, 2, "3", FALSE);
	fake_controls_start(controls, 2);
	fake_controls_await(controls, 2, "slot_requested", START_MS);
	fake_controls_configure(controls, 2, "1", FALSE);
	fake_controls_await(controls, 2, "slot_assigned",
			    FLOW_SETTINGS_RELOAD_INTERVAL_MS + RELOAD_MS);
	fake_controls_destroy(controls);
}
END_TEST

/* SIGHUP ends a control that waits before it tries its disk again. */
START_TEST(sighup_does_not_end_restarting_control)
{
	fake_controls_t *controls = fake_controls_create();
	char *data = fake_controls_data(controls, 1);
	dy_disk_t *disk = dy_disk_create(data, NULL);
	int status;
	int i;

	ck_assert_ptr_nonnull(disk);
	fake_controls_configure(controls, 1, "1", TRUE);
	fake_controls_start(controls, 1);
	fake_controls_await(controls, 1, "control_restarting", START_MS);
	for (i = 0; i < 100; i++) {
		fake_controls_signal(controls, 1, SIGHUP);
		g_usleep(5000);
	}
	fake_controls_configure(controls, 1, "1,2", TRUE);
	dy_disk_destroy(disk);
	fake_controls_await(controls, 1, "seeds_changed", RELOAD_MS);
	fake_controls_signal(controls, 1, SIGTERM);
	status = fake_controls_join(controls, 1, STOP_MS);
	ck_assert(WIFEXITED(status) && !WEXITSTATUS(status));
	g_free(data);
	fake_controls_destroy(controls);
}
END_TEST

/* SIGTERM is missed by a control that waits before it tries its disk again. */
START_TEST(sigterm_ends_restarting_control)
{
	fake_controls_t *controls = fake_controls_create();
	char *data = fake_controls_data(controls, 1);
	dy_disk_t *disk = dy_disk_create(data, NULL);
	int i;

	fake_controls_configure(controls, 1, "1", TRUE);
	for (i = 0; i < 10; i++) {
		fake_controls_start(controls, 1);
		fake_controls_await(controls, 1, "control_restarting",
				    START_MS);
		g_usleep(i * 40000);
		fake_controls_signal(controls, 1, SIGTERM);
		fake_controls_join(controls, 1, STOP_MS);
	}
	dy_disk_destroy(disk);
	g_free(data);
	fake_controls_destroy(controls);
}
END_TEST

/* The first start outlasts a join, and nobody remembers that it was one. */
START_TEST(late_control_completes_first_start)
{
	fake_controls_t *controls = fake_controls_create();
	int i;

	for (i = 1; i <= 2; i++) {
		start(controls, i, TRUE);
		fake_controls_await(controls, i, "control_started", START_MS);
		fake_controls_kill(controls, i);
		start(controls, i, FALSE);
	}
	for (i = 1; i <= 2; i++)
		fake_controls_await(controls, i, "control_join_timeout",
				    2 * START_MS);
	start(controls, 3, FALSE);
	ck_assert(fake_controls_put(controls, 1, 2 * ACKNOWLEDGE_MS));
	fake_controls_destroy(controls);
}
END_TEST

/* A removed control takes a slot by the list, as at its start: another's. */
START_TEST(removed_control_asks_for_its_next_slot)
{
	fake_controls_t *controls = begin_three();

	await_acknowledgement(controls);
	fake_controls_signal(controls, 3, SIGSTOP);
	start(controls, 4, FALSE);
	fake_controls_await_any(controls, "control_removed slot=3",
				2 * START_MS);
	fake_controls_configure(controls, 3, "2,3,4", TRUE);
	fake_controls_signal(controls, 3, SIGHUP);
	fake_controls_signal(controls, 3, SIGCONT);
	fake_controls_await(controls, 3, "slot_assigned", START_MS);
	fake_controls_destroy(controls);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		founder_killed_before_it_founds_still_founds,
		control_killed_before_it_joins_is_not_lost,
		control_whose_seeds_are_gone_asks_who_sends_to_it,
		control_with_empty_disk_takes_part_in_first_start,
		any_control_may_be_killed_in_first_start,
		waiting_control_uses_changed_seeds_at_sighup,
		waiting_control_rereads_its_settings,
		sighup_does_not_end_restarting_control,
		sigterm_ends_restarting_control,
		late_control_completes_first_start,
		removed_control_asks_for_its_next_slot,
		NULL,
	};

	return fake_suite_run_for("control_start", tests, TEST_TIMEOUT_S);
}
