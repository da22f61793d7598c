/* Changes to failure domains in the control's own process. */

#include <string.h>

#include "fake_control.h"
#include "fake_suite.h"

#define WAIT_TICKS 2000 /* of 5 ms: far longer than a bootstrap takes */

typedef struct outcome {
	int known;
	int abandoned;
	dy_status_t status;
} outcome_t;

static fake_control_t fixture;
static char *domains[] = { "d1", "d2", NULL };

static void on_done(void *context, dy_status_t status, const char *message)
{
	outcome_t *outcome = context;

	(void)message;
	outcome->known = 1;
	outcome->status = status;
}

static int is_caller_waiting(void *context)
{
	const outcome_t *outcome = context;

	return !outcome->abandoned;
}

static void begin(void)
{
	fake_control_init(&fixture);
	fixture.options.domains = domains;
	fake_control_start(&fixture);
}

static void end(void)
{
	fake_control_stop(&fixture);
	fake_control_clear(&fixture);
}

static void send_change(outcome_t *outcome, const char *domain, int evacuated)
{
	dy_domain_change_t change = { 0 };

	outcome->known = 0;
	change.domain = domain;
	change.evacuated = evacuated;
	change.is_caller_waiting = is_caller_waiting;
	change.done = on_done;
	change.context = outcome;
	dy_control_change_domain(fixture.control, &change);
}

/* Retries until there is a definite answer, as an operator does. */
static dy_status_t change_domain(const char *domain, int evacuated,
				 int abandoned)
{
	outcome_t outcome = { 0 };
	int tries;

	for (tries = 0; tries < 50; tries++) {
		outcome.abandoned = abandoned;
		send_change(&outcome, domain, evacuated);
		fake_control_run(&fixture, WAIT_TICKS, &outcome.known);
		ck_assert(outcome.known);
		if (abandoned && tries > 20)
			return outcome.status;
		if (outcome.status != DY_STATUS_NOT_LEADER &&
		    outcome.status != DY_STATUS_UNAVAILABLE)
			return outcome.status;
		fake_control_run(&fixture, 10, NULL);
	}
	return outcome.status;
}

static uint64_t evacuations(void)
{
	return dy_metrics_value(fixture.metrics, "domain_evacuated");
}

/* Guards against an acknowledged evacuation that is lost in a restart. */
START_TEST(keeps_evacuation_across_restart)
{
	begin();
	ck_assert_int_eq(change_domain("d1", 1, 0), DY_STATUS_OK);
	ck_assert_uint_eq(evacuations(), 1);
	fake_control_stop(&fixture);
	fake_control_start(&fixture);
	/*
	 * The replayed log restores the evacuation; the same change again is a
	 * no-op.
	 */
	ck_assert_int_eq(change_domain("d1", 1, 0), DY_STATUS_OK);
	ck_assert_uint_eq(evacuations(), 1);
	ck_assert_int_eq(change_domain("d1", 0, 0), DY_STATUS_OK);
	ck_assert_uint_eq(
		dy_metrics_value(fixture.metrics, "domain_readmitted"), 1);
	end();
}
END_TEST

/*
 * Guards against a mistyped domain that is acknowledged although nothing is
 * evacuated.
 */
START_TEST(refuses_unknown_domain)
{
	begin();
	ck_assert_int_eq(change_domain("d9", 1, 0), DY_STATUS_NOT_FOUND);
	ck_assert_int_eq(change_domain("", 1, 0), DY_STATUS_NOT_FOUND);
	ck_assert_int_eq(change_domain("d9", 0, 0), DY_STATUS_NOT_FOUND);
	ck_assert_uint_eq(evacuations(), 0);
	end();
}
END_TEST

/* Guards against a delayed copy of a change that reverts the one after it. */
START_TEST(drops_change_without_waiting_caller)
{
	begin();
	ck_assert_int_eq(change_domain("d1", 1, 0), DY_STATUS_OK);
	ck_assert_int_eq(change_domain("d1", 0, 0), DY_STATUS_OK);
	ck_assert_int_eq(change_domain("d1", 1, 1), DY_STATUS_UNAVAILABLE);
	ck_assert_uint_eq(evacuations(), 1);
	end();
}
END_TEST

/* Guards against a change that gets no answer when its control is destroyed. */
START_TEST(answers_changes_when_control_is_destroyed)
{
	outcome_t outcome = { 0 };

	begin();
	ck_assert_int_eq(change_domain("d1", 1, 0), DY_STATUS_OK);
	send_change(&outcome, "d2", 1);
	fake_control_stop(&fixture);
	ck_assert(outcome.known);
	fake_control_start(&fixture);
	end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		keeps_evacuation_across_restart,
		refuses_unknown_domain,
		drops_change_without_waiting_caller,
		answers_changes_when_control_is_destroyed,
		NULL,
	};

	return fake_suite_run("control_domain", tests);
}
