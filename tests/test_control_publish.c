/* Documents that are raised and read through a control's own process. */

#include <string.h>

#include "fake_control.h"
#include "fake_suite.h"

#define WAIT_TICKS 2000 /* of 5 ms: far longer than founding takes */

typedef struct outcome {
	int known;
	dy_status_t status;
	char bytes[64];
} outcome_t;

static fake_control_t world;

static void wait_for(const int *known)
{
	fake_control_run(&world, WAIT_TICKS, known);
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

static void begin(void)
{
	fake_control_init(&world);
	world.options.validate = check;
	fake_control_start(&world);
}

static void end(void)
{
	fake_control_stop(&world);
	fake_control_clear(&world);
}

static void raise_one(outcome_t *outcome, uint64_t number, const char *text)
{
	outcome->known = 0;
	dy_control_publish(world.control, (const uint8_t *)text, strlen(text),
			   number, on_raised, outcome);
}

static outcome_t load(void)
{
	outcome_t outcome = { 0 };

	do {
		outcome.known = 0;
		dy_control_read_document(world.control, on_loaded, &outcome);
		wait_for(&outcome.known);
		if (outcome.status == DY_STATUS_NOT_LEADER ||
		    outcome.status == DY_STATUS_UNAVAILABLE)
			fake_control_run(&world, 10, NULL);
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
	dy_control_read_document(world.control, on_loaded, &loaded);
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
	fake_control_stop(&world);
	fake_control_start(&world);
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
	fake_control_stop(&world);
	for (i = 0; i < 3; i++) {
		ck_assert(raised[i].known);
		ck_assert_int_eq(raised[i].status, DY_STATUS_UNAVAILABLE);
	}
	fake_control_start(&world);
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
