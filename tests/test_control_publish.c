/* Publishing and reading documents in the control's own process. */

#include <string.h>

#include "fake_control.h"
#include "fake_suite.h"

#define WAIT_TICKS 2000 /* of 5 ms: far longer than a bootstrap takes */

typedef struct outcome {
	int known;
	dy_status_t status;
	char bytes[64];
} outcome_t;

static fake_control_t fixture;

static void wait_for(const int *known)
{
	fake_control_run(&fixture, WAIT_TICKS, known);
	ck_assert(*known);
}

static void on_published(void *context, dy_status_t status, const char *message)
{
	outcome_t *outcome = context;

	outcome->known = 1;
	outcome->status = status;
	g_strlcpy(outcome->bytes, message, sizeof(outcome->bytes));
}

static void on_document_read(void *context, dy_status_t status,
			     const uint8_t *bytes, size_t size)
{
	outcome_t *outcome = context;

	outcome->known = 1;
	outcome->status = status;
	memset(outcome->bytes, 0, sizeof(outcome->bytes));
	if (bytes)
		memcpy(outcome->bytes, bytes, size);
}

/* Rejects "bad". */
static int check(void *context, const uint8_t *bytes, size_t size,
		 char *message, size_t message_size)
{
	(void)context;
	g_strlcpy(message, "it is bad", message_size);
	return size != 3 || memcmp(bytes, "bad", 3) != 0;
}

static void begin(void)
{
	fake_control_init(&fixture);
	fixture.options.validate = check;
	fake_control_start(&fixture);
}

static void end(void)
{
	fake_control_stop(&fixture);
	fake_control_clear(&fixture);
}

static void publish(outcome_t *outcome, uint64_t number, const char *text)
{
	outcome->known = 0;
	dy_control_publish(fixture.control, (const uint8_t *)text, strlen(text),
			   number, on_published, outcome);
}

static outcome_t read_document(void)
{
	outcome_t outcome = { 0 };

	do {
		outcome.known = 0;
		dy_control_read_document(fixture.control, on_document_read,
					 &outcome);
		wait_for(&outcome.known);
		if (outcome.status == DY_STATUS_NOT_LEADER ||
		    outcome.status == DY_STATUS_UNAVAILABLE)
			fake_control_run(&fixture, 10, NULL);
	} while (outcome.status == DY_STATUS_NOT_LEADER ||
		 outcome.status == DY_STATUS_UNAVAILABLE);
	return outcome;
}

/*
 * Guards against a stale answer: a control that does not lead, or whose
 * leadership is not confirmed, as after a partition, must not answer from its
 * own state.
 */
START_TEST(rejects_calls_before_majority_confirms_leader)
{
	outcome_t published = { 0 };
	outcome_t read_result = { 0 };

	begin();
	publish(&published, 1, "one");
	ck_assert(published.known);
	ck_assert_int_ne(published.status, DY_STATUS_OK);
	dy_control_read_document(fixture.control, on_document_read,
				 &read_result);
	ck_assert(read_result.known);
	ck_assert_int_ne(read_result.status, DY_STATUS_OK);
	ck_assert_int_eq(read_document().status, DY_STATUS_NOT_FOUND);
	end();
}
END_TEST

/*
 * Guards against a flood of large log entries: versions arrive in quick
 * succession. Those that wait while one is proposed are superseded by the
 * highest of them and acknowledged with it; the log gets two documents, not
 * eight.
 */
START_TEST(highest_version_supersedes_burst)
{
	outcome_t published[8] = { { 0 } };
	outcome_t held;
	char text[16];
	int i;

	begin();
	read_document();
	for (i = 0; i < 8; i++) {
		g_snprintf(text, sizeof(text), "v%d", i == 3 ? 90 : 10 + i);
		publish(&published[i], i == 3 ? 90 : 10 + i, text);
	}
	for (i = 0; i < 8; i++) {
		wait_for(&published[i].known);
		ck_assert_int_eq(published[i].status, DY_STATUS_OK);
	}
	held = read_document();
	ck_assert_str_eq(held.bytes, "v90");
	ck_assert_uint_eq(
		dy_metrics_value(fixture.metrics, "document_accepted"), 2);
	end();
}
END_TEST

/*
 * An older version arrives again, and different content under the version in
 * force: both are acknowledged, change nothing and are never read back, also
 * after a restart.
 */
START_TEST(ignores_versions_that_are_not_higher)
{
	outcome_t published = { 0 };

	begin();
	read_document();
	publish(&published, 50, "fifty");
	wait_for(&published.known);
	ck_assert_int_eq(published.status, DY_STATUS_OK);
	publish(&published, 50, "other");
	wait_for(&published.known);
	ck_assert_int_eq(published.status, DY_STATUS_OK);
	publish(&published, 7, "seven");
	wait_for(&published.known);
	ck_assert_int_eq(published.status, DY_STATUS_OK);
	ck_assert_str_eq(read_document().bytes, "fifty");
	fake_control_stop(&fixture);
	fake_control_start(&fixture);
	ck_assert_str_eq(read_document().bytes, "fifty");
	publish(&published, 7, "seven");
	wait_for(&published.known);
	ck_assert_str_eq(read_document().bytes, "fifty");
	end();
}
END_TEST

/* The control is destroyed while publications wait: each is answered once. */
START_TEST(answers_publications_when_control_is_destroyed)
{
	outcome_t published[3] = { { 0 } };
	int i;

	begin();
	read_document();
	for (i = 0; i < 3; i++)
		publish(&published[i], 5 + i, "x");
	fake_control_stop(&fixture);
	for (i = 0; i < 3; i++) {
		ck_assert(published[i].known);
		ck_assert_int_eq(published[i].status, DY_STATUS_UNAVAILABLE);
	}
	fake_control_start(&fixture);
	end();
}
END_TEST

/* Publications beyond the limit are refused instead of queued. */
START_TEST(refuses_publications_over_limit)
{
	static outcome_t published[100];
	unsigned refused = 0;
	int i;

	begin();
	read_document();
	for (i = 0; i < 100; i++)
		publish(&published[i], 5 + i, "x");
	for (i = 0; i < 100; i++) {
		wait_for(&published[i].known);
		refused += published[i].status == DY_STATUS_UNAVAILABLE;
	}
	ck_assert_uint_eq(refused, 68);
	end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		rejects_calls_before_majority_confirms_leader,
		highest_version_supersedes_burst,
		ignores_versions_that_are_not_higher,
		answers_publications_when_control_is_destroyed,
		refuses_publications_over_limit,
		NULL,
	};

	return fake_suite_run("control_publish", tests);
}
