/*
 * What callers receive under load, from the real decisions of balancers and
 * agents in simulated time.
 */

#include "damaskyard/log.h"
#include "fake_service.h"
#include "fake_suite.h"

/* Part of the requests that is in aim unless too much is asked. */
#define NEARLY_ALL 0.97

/* Part of the capacity whose work is in aim while too much is asked. */
#define GOODPUT 0.9
/* The same in each window at 1.1 times the capacity. */
#define GOODPUT_AT_CREST 0.85

/* Load of kind 1, which has the higher priority, in parts of the capacity. */
#define FIRM_LOAD 0.3

/* Results are taken from START_MS to END_MS. */
#define START_MS 2000
#define END_MS 8000

static fake_service_t *service;
static int wait_at_balancer;

static void begin(void)
{
	fake_service_settings_t settings = fake_service_defaults();

	settings.wait_at_balancer = wait_at_balancer;
	dy_log_configure(DY_LOG_ERROR, NULL);
	service = fake_service_create(&settings);
}

static void set_load(double load)
{
	fake_service_set_load(service, 0, load - FIRM_LOAD);
	fake_service_set_load(service, 1, FIRM_LOAD);
}

static void set_targets(unsigned count, double slow, double mute, int dead)
{
	fake_service_condition_t condition = { slow, mute, 0, dead };
	unsigned i;

	for (i = 0; i < count; i++)
		fake_service_set_target(service, i, &condition);
}

static void run(double load)
{
	set_load(load);
	fake_service_run(service, END_MS + FAKE_SERVICE_DEADLINE_MS);
}

/* Checks what must hold under any load, and frees the service. */
static void end(void)
{
	unsigned kind;

	for (kind = 0; kind < FAKE_SERVICE_KINDS; kind++)
		ck_assert_uint_eq(
			fake_service_result(service, kind, 0, END_MS).doubled,
			0);
	fake_service_destroy(service);
}

static void check_nearly_all_in_aim(uint64_t from_ms)
{
	unsigned kind;

	for (kind = 0; kind < FAKE_SERVICE_KINDS; kind++)
		ck_assert_double_ge(
			fake_service_in_aim(service, kind, from_ms, END_MS),
			NEARLY_ALL);
}

/* Requests wait or are refused although there is room for all of them. */
START_TEST(answers_steady_load_in_aim)
{
	begin();
	run(0.8);
	check_nearly_all_in_aim(START_MS);
	end();
}
END_TEST

/* The same service with the same seed shows other figures when run again. */
START_TEST(repeats_results)
{
	fake_service_result_t first;
	fake_service_result_t second;

	begin();
	run(0.8);
	first = fake_service_result(service, 0, 0, END_MS);
	end();
	begin();
	run(0.8);
	second = fake_service_result(service, 0, 0, END_MS);
	end();
	ck_assert_uint_gt(first.late, 0);
	ck_assert_mem_eq(&first, &second, sizeof(first));
}
END_TEST

/* Many flows at once go to the same few targets, and wait there. */
START_TEST(answers_bursts_in_aim)
{
	uint64_t ms;

	begin();
	for (ms = START_MS; ms < END_MS; ms += 1000) {
		set_load(0.6);
		fake_service_run(service, ms);
		set_load(1.8);
		fake_service_run(service, ms + 50);
	}
	run(0.6);
	check_nearly_all_in_aim(START_MS);
	end();
}
END_TEST

/* One caller's flows go to the same few targets, and others wait behind it. */
START_TEST(answers_beside_hot_caller_in_aim)
{
	begin();
	fake_service_set_hot_caller(service, 0.3);
	run(0.8);
	check_nearly_all_in_aim(START_MS);
	end();
}
END_TEST

/* Slow targets get as many flows as others, and their callers wait. */
START_TEST(answers_beside_slow_targets_in_aim)
{
	begin();
	set_targets(4, 8, 0, 0);
	run(0.6);
	check_nearly_all_in_aim(START_MS);
	end();
}
END_TEST

/* Targets that leave requests without an answer look idle and get more. */
START_TEST(answers_beside_mute_targets_in_aim)
{
	begin();
	set_targets(4, 0, 0.5, 0);
	run(0.6);
	check_nearly_all_in_aim(START_MS);
	end();
}
END_TEST

/* Targets that end keep getting flows for seconds. */
START_TEST(answers_without_dead_targets_in_aim)
{
	begin();
	set_load(0.5);
	fake_service_run(service, 3000);
	set_targets(10, 0, 0, 1);
	fake_service_run(service, 7000);
	set_targets(10, 0, 0, 0);
	run(0.5);
	check_nearly_all_in_aim(4000);
	end();
}
END_TEST

static void check_overload(double goodput)
{
	fake_service_result_t result;
	unsigned kind;

	ck_assert_double_ge(fake_service_goodput(service, START_MS, END_MS),
			    goodput);
	ck_assert_double_ge(fake_service_in_aim(service, 1, START_MS, END_MS),
			    NEARLY_ALL);
	for (kind = 0; kind < FAKE_SERVICE_KINDS; kind++) {
		result = fake_service_result(service, kind, 0, END_MS);
		ck_assert_uint_eq(result.silent_tries, 0);
	}
}

/*
 * A tenth too much is asked. Retries take the places of first tries, and half
 * of all requests are late.
 */
START_TEST(keeps_goodput_at_slight_overload)
{
	uint64_t ms;

	begin();
	run(1.1);
	for (ms = START_MS; ms < END_MS; ms += FAKE_SERVICE_WINDOW_MS)
		ck_assert_double_ge(
			fake_service_goodput(service, ms,
					     ms + FAKE_SERVICE_WINDOW_MS),
			GOODPUT_AT_CREST);
	check_overload(GOODPUT);
	end();
}
END_TEST

/* The more is asked, the less is answered in aim. */
START_TEST(keeps_goodput_at_overload)
{
	begin();
	run(1.5);
	check_overload(GOODPUT);
	end();
}
END_TEST

/* Refused callers come back at once, and refusing them takes all the time. */
START_TEST(keeps_goodput_at_double_load)
{
	begin();
	run(2);
	check_overload(GOODPUT);
	end();
}
END_TEST

/* A kind of low priority crowds out one of high priority. */
START_TEST(serves_higher_priority_first)
{
	begin();
	fake_service_set_load(service, 0, 0.9);
	fake_service_set_load(service, 1, 0.6);
	fake_service_run(service, END_MS + FAKE_SERVICE_DEADLINE_MS);
	check_overload(GOODPUT);
	ck_assert_double_gt(fake_service_in_aim(service, 0, START_MS, END_MS),
			    0);
	end();
}
END_TEST

/* Retries of refused callers keep the service overloaded after the cause. */
START_TEST(recovers_within_a_second)
{
	begin();
	set_load(0.6);
	fake_service_run(service, START_MS);
	set_load(1.5);
	fake_service_run(service, 5000);
	run(0.6);
	check_nearly_all_in_aim(6000);
	end();
}
END_TEST

/* Number of the first tests, which hold wherever openings wait. */
#define ALWAYS 7

int main(void)
{
	const TTest *tests[] = {
		answers_steady_load_in_aim,
		repeats_results,
		answers_bursts_in_aim,
		answers_beside_hot_caller_in_aim,
		answers_beside_slow_targets_in_aim,
		answers_beside_mute_targets_in_aim,
		answers_without_dead_targets_in_aim,
		recovers_within_a_second,
		keeps_goodput_at_slight_overload,
		keeps_goodput_at_overload,
		keeps_goodput_at_double_load,
		serves_higher_priority_first,
		NULL,
	};
	const TTest *next = tests[ALWAYS];
	int code;

	tests[ALWAYS] = NULL;
	code = fake_suite_run("overload_wait_at_agent", tests);
	tests[ALWAYS] = next;
	wait_at_balancer = 1;
	return code | fake_suite_run("overload_wait_at_balancer", tests);
}
