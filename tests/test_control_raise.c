/* Documents that are raised and read through a control's own process. */

#include "damaskyard/control.h"

#include <string.h>

#include <glib/gstdio.h>

#include "damaskyard/log.h"
#include "fake_suite.h"

#define WAIT_TICKS 2000 /* of 5 ms: far longer than founding takes */

typedef struct outcome {
	int known;
	dy_status_t status;
	char bytes[64];
} outcome_t;

static struct {
	char *folder;
	dy_metrics_t *metrics;
	dy_loop_t *loop;
	dy_control_t *control;
	dy_control_options_t options;
	const int *until;
	unsigned ticks;
} world;

static void on_tick(void *context)
{
	(void)context;
	if (++world.ticks >= WAIT_TICKS || !world.until || *world.until)
		dy_loop_end(world.loop);
}

static void wait_for(const int *known)
{
	world.until = known;
	world.ticks = 0;
	dy_loop_run(world.loop);
	if (known)
		ck_assert(*known);
}

static void on_raised(void *context, dy_status_t status, const char *message)
{
	outcome_t *outcome = context;

	outcome->known = 1;
	outcome->status = status;
	g_strlcpy(outcome->bytes, message, sizeof(outcome->bytes));
}

static void on_loaded(void *context, dy_status_t status, const uint8_t *bytes,
		      size_t size)
{
	outcome_t *outcome = context;

	outcome->known = 1;
	outcome->status = status;
	memset(outcome->bytes, 0, sizeof(outcome->bytes));
	if (bytes)
		memcpy(outcome->bytes, bytes, size);
}

/* "bad" is no document. */
static int check(void *context, const uint8_t *bytes, size_t size,
		 char *message, size_t message_size)
{
	(void)context;
	g_strlcpy(message, "it is bad", message_size);
	return size != 3 || memcmp(bytes, "bad", 3) != 0;
}

static void start(void)
{
	GError *error = NULL;

	dy_log_configure(DY_LOG_ERROR, NULL);
	world.metrics = dy_metrics_create();
	world.loop = dy_loop_create(world.metrics);
	dy_loop_every(world.loop, 5, on_tick, NULL);
	world.control = dy_control_create(world.loop, world.metrics,
					  &world.options, &error);
	ck_assert_ptr_nonnull(world.control);
}

static void stop(void)
{
	dy_control_destroy(world.control);
	dy_loop_destroy(world.loop);
	dy_metrics_destroy(world.metrics);
}

static void begin(void)
{
	dy_endpoint_t *probe;

	memset(&world, 0, sizeof(world));
	world.folder = g_dir_make_tmp("dy-raise-XXXXXX", NULL);
	world.metrics = dy_metrics_create();
	world.loop = dy_loop_create(world.metrics);
	dy_address_parse("127.0.0.1:0", &world.options.listen);
	probe = dy_endpoint_create(world.loop, &world.options.listen, NULL,
				   NULL, NULL);
	world.options.listen = *dy_endpoint_address(probe);
	dy_endpoint_destroy(probe);
	dy_loop_destroy(world.loop);
	dy_metrics_destroy(world.metrics);
	world.options.group = 1;
	world.options.slot = 1;
	world.options.folder = world.folder;
	world.options.peers.count = 1;
	world.options.peers.slots[1] = world.options.listen;
	world.options.open = 1;
	world.options.check = check;
	world.options.secrets.count = 1;
	world.options.leases.lease_ms = 60000;
	world.options.leases.keep_ms = 60000;
	world.options.keys.rotate_ms = 60000;
	world.options.keys.distribute_ms = 60000;
	world.options.keys.renew_ms = 60000;
	start();
}

static void end(void)
{
	const char *name;
	char *path;
	GDir *dir;

	stop();
	dir = g_dir_open(world.folder, 0, NULL);
	while ((name = g_dir_read_name(dir))) {
		path = g_build_filename(world.folder, name, NULL);
		g_unlink(path);
		g_free(path);
	}
	g_dir_close(dir);
	g_rmdir(world.folder);
	g_free(world.folder);
}

static void raise_one(outcome_t *outcome, uint64_t number, const char *text)
{
	outcome->known = 0;
	dy_control_raise(world.control, (const uint8_t *)text, strlen(text),
			 number, on_raised, outcome);
}

static outcome_t load(void)
{
	outcome_t outcome = { 0 };

	do {
		outcome.known = 0;
		dy_control_load(world.control, on_loaded, &outcome);
		wait_for(&outcome.known);
		if (outcome.status == DY_STATUS_NOT_LEADER ||
		    outcome.status == DY_STATUS_UNAVAILABLE)
			wait_for(NULL);
	} while (outcome.status == DY_STATUS_NOT_LEADER ||
		 outcome.status == DY_STATUS_UNAVAILABLE);
	return outcome;
}

/*
 * A control that does not lead, or leads and is not sure, must not answer
 * from what it holds: it was behind a partition, and comes back.
 */
START_TEST(nothing_is_said_before_a_majority_confirms)
{
	outcome_t raised = { 0 };
	outcome_t loaded = { 0 };

	begin();
	raise_one(&raised, 1, "one");
	ck_assert(raised.known);
	ck_assert_int_ne(raised.status, DY_STATUS_OK);
	dy_control_load(world.control, on_loaded, &loaded);
	ck_assert(loaded.known);
	ck_assert_int_ne(loaded.status, DY_STATUS_OK);
	ck_assert_int_eq(load().status, DY_STATUS_NOT_FOUND);
	end();
}
END_TEST

/*
 * Versions come in quick succession, each larger than the log likes. Those
 * that wait while one is under way are overtaken by the highest of them, and
 * acknowledged with it; the log takes two, not eight.
 */
START_TEST(burst_of_versions_is_overtaken_by_the_highest)
{
	outcome_t raised[8] = { { 0 } };
	outcome_t held;
	char text[16];
	int i;

	begin();
	load();
	for (i = 0; i < 8; i++) {
		g_snprintf(text, sizeof(text), "v%d", i == 3 ? 90 : 10 + i);
		raise_one(&raised[i], i == 3 ? 90 : 10 + i, text);
	}
	for (i = 0; i < 8; i++) {
		wait_for(&raised[i].known);
		ck_assert_int_eq(raised[i].status, DY_STATUS_OK);
	}
	held = load();
	ck_assert_str_eq(held.bytes, "v90");
	ck_assert_uint_eq(dy_metrics_value(world.metrics, "document_accepted"),
			  2);
	end();
}
END_TEST

/*
 * An older version arrives again, and other content under the version held:
 * both are acknowledged, change nothing, and are never read back, also after
 * a restart.
 */
START_TEST(versions_not_higher_change_nothing)
{
	outcome_t raised = { 0 };

	begin();
	load();
	raise_one(&raised, 50, "fifty");
	wait_for(&raised.known);
	ck_assert_int_eq(raised.status, DY_STATUS_OK);
	raise_one(&raised, 50, "other");
	wait_for(&raised.known);
	ck_assert_int_eq(raised.status, DY_STATUS_OK);
	raise_one(&raised, 7, "seven");
	wait_for(&raised.known);
	ck_assert_int_eq(raised.status, DY_STATUS_OK);
	ck_assert_str_eq(load().bytes, "fifty");
	stop();
	start();
	ck_assert_str_eq(load().bytes, "fifty");
	raise_one(&raised, 7, "seven");
	wait_for(&raised.known);
	ck_assert_str_eq(load().bytes, "fifty");
	end();
}
END_TEST

/* The control is destroyed while orders wait: each is answered, once. */
START_TEST(orders_are_answered_when_the_control_ends)
{
	outcome_t raised[3] = { { 0 } };
	int i;

	begin();
	load();
	for (i = 0; i < 3; i++)
		raise_one(&raised[i], 5 + i, "x");
	stop();
	for (i = 0; i < 3; i++) {
		ck_assert(raised[i].known);
		ck_assert_int_eq(raised[i].status, DY_STATUS_UNAVAILABLE);
	}
	start();
	end();
}
END_TEST

/* More orders than any operator has under way are refused, not kept. */
START_TEST(orders_that_wait_are_bounded)
{
	static outcome_t raised[100];
	unsigned refused = 0;
	int i;

	begin();
	load();
	for (i = 0; i < 100; i++)
		raise_one(&raised[i], 5 + i, "x");
	for (i = 0; i < 100; i++) {
		wait_for(&raised[i].known);
		refused += raised[i].status == DY_STATUS_UNAVAILABLE;
	}
	ck_assert_uint_eq(refused, 68);
	end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		nothing_is_said_before_a_majority_confirms,
		burst_of_versions_is_overtaken_by_the_highest,
		versions_not_higher_change_nothing,
		orders_are_answered_when_the_control_ends,
		orders_that_wait_are_bounded,
		NULL,
	};

	return fake_suite_run("control_raise", tests);
}
