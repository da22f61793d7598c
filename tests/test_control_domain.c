/* Orders on failure domains through a control's own process. */

#include <string.h>

#include "fake_control.h"
#include "fake_suite.h"

#define WAIT_TICKS 2000 /* of 5 ms: far longer than founding takes */

typedef struct outcome {
	int known;
	int abandoned;
	dy_status_t status;
} outcome_t;

static fake_control_t world;
static char *domains[] = { "d1", "d2", NULL };

static void on_done(void *context, dy_status_t status, const char *message)
{
	outcome_t *outcome = context;

	(void)message;
	outcome->known = 1;
	outcome->status = status;
}

static int is_wanted(void *context)
{
	const outcome_t *outcome = context;

	return !outcome->abandoned;
}

static void begin(void)
{
	fake_control_init(&world);
	world.options.domains = domains;
	fake_control_start(&world);
}

static void end(void)
{
	fake_control_stop(&world);
	fake_control_clear(&world);
}

static void send_order(outcome_t *outcome, const char *domain, int evacuated)
{
	dy_domain_change_t order = { 0 };

	outcome->known = 0;
	order.domain = domain;
	order.evacuated = evacuated;
	order.is_caller_waiting = is_wanted;
	order.done = on_done;
	order.context = outcome;
	dy_control_change_domain(world.control, &order);
}

/* As an operator does: again, until there is a clear answer. */
static dy_status_t make_order(const char *domain, int evacuated, int abandoned)
{
	outcome_t outcome = { 0 };
	int tries;

	for (tries = 0; tries < 50; tries++) {
		outcome.abandoned = abandoned;
		send_order(&outcome, domain, evacuated);
		fake_control_run(&world, WAIT_TICKS, &outcome.known);
		ck_assert(outcome.known);
		if (abandoned && tries > 20)
			return outcome.status;
		if (outcome.status != DY_STATUS_NOT_LEADER &&
		    outcome.status != DY_STATUS_UNAVAILABLE)
			return outcome.status;
		fake_control_run(&world, 10, NULL);
	}
	return outcome.status;
}

static uint64_t evacuations(void)
{
	return dy_metrics_value(world.metrics, "domain_evacuated");
}

/* An evacuation that was acknowledged is gone after a restart. */
START_TEST(evacuation_outlives_a_restart)
{
	begin();
	ck_assert_int_eq(make_order("d1", 1, 0), DY_STATUS_OK);
	ck_assert_uint_eq(evacuations(), 1);
	fake_control_stop(&world);
	fake_control_start(&world);
	/* It stands: the log brings it back, and the order adds nothing. */
	ck_assert_int_eq(make_order("d1", 1, 0), DY_STATUS_OK);
	ck_assert_uint_eq(evacuations(), 1);
	ck_assert_int_eq(make_order("d1", 0, 0), DY_STATUS_OK);
	ck_assert_uint_eq(dy_metrics_value(world.metrics, "domain_readmitted"),
			  1);
	end();
}
END_TEST

/* A mistyped domain is acknowledged, and nothing is evacuated. */
START_TEST(unknown_domain_is_refused)
{
	begin();
	ck_assert_int_eq(make_order("d9", 1, 0), DY_STATUS_NOT_FOUND);
	ck_assert_int_eq(make_order("", 1, 0), DY_STATUS_NOT_FOUND);
	ck_assert_int_eq(make_order("d9", 0, 0), DY_STATUS_NOT_FOUND);
	ck_assert_uint_eq(evacuations(), 0);
	end();
}
END_TEST

/* A late copy of an order undoes the one that followed it. */
START_TEST(order_that_nobody_waits_for_is_dropped)
{
	begin();
	ck_assert_int_eq(make_order("d1", 1, 0), DY_STATUS_OK);
	ck_assert_int_eq(make_order("d1", 0, 0), DY_STATUS_OK);
	ck_assert_int_eq(make_order("d1", 1, 1), DY_STATUS_UNAVAILABLE);
	ck_assert_uint_eq(evacuations(), 1);
	end();
}
END_TEST

/* An order is left without an answer when its control ends. */
START_TEST(orders_are_answered_when_the_control_ends)
{
	outcome_t outcome = { 0 };

	begin();
	ck_assert_int_eq(make_order("d1", 1, 0), DY_STATUS_OK);
	send_order(&outcome, "d2", 1);
	fake_control_stop(&world);
	ck_assert(outcome.known);
	fake_control_start(&world);
	end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		evacuation_outlives_a_restart,
		unknown_domain_is_refused,
		order_that_nobody_waits_for_is_dropped,
		orders_are_answered_when_the_control_ends,
		NULL,
	};

	return fake_suite_run("control_domain", tests);
}
