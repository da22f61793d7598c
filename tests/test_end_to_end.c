#include "fake_operator.h"
#include "fake_stations.h"

#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Readings that each station completes between two steps of a run. */
#define READINGS_PER_STEP 3

/* A fault or planned change, and how to undo it. */
typedef struct event {
	const char *name;
	const char *group; /* concurrent events are of different groups */
	void (*inject)(fake_cluster_t *cluster, const char *process);
	void (*recover)(fake_cluster_t *cluster, const char *process);
	unsigned process_count;
	int planned;
} event_t;

static void kill_process(fake_cluster_t *cluster, const char *process)
{
	fake_cluster_kill(cluster, process);
}

static void start_process(fake_cluster_t *cluster, const char *process)
{
	fake_cluster_start(cluster, process);
}

static void start_balancer(fake_cluster_t *cluster, const char *process)
{
	fake_cluster_start(cluster, process);
	fake_cluster_update_fabrics(cluster);
}

/* Waits until it votes again: no other control may lose its disk before. */
static void start_control(fake_cluster_t *cluster, const char *process)
{
	fake_cluster_start(cluster, process);
	fake_operator_await_voter(cluster, process);
}

static void stop_process(fake_cluster_t *cluster, const char *process)
{
	fake_cluster_stop(cluster, process);
}

static void erase_control(fake_cluster_t *cluster, const char *process)
{
	fake_cluster_kill(cluster, process);
	fake_cluster_erase_data(cluster, process);
}

/* An announcer announces one incarnation of a target. */
static char *announcer_of(const char *target)
{
	return g_strconcat("announce", strpbrk(target, "0123456789"), NULL);
}

static void kill_target(fake_cluster_t *cluster, const char *process)
{
	char *announcer = announcer_of(process);

	fake_cluster_kill(cluster, process);
	fake_cluster_kill(cluster, announcer);
	g_free(announcer);
}

static void start_target(fake_cluster_t *cluster, const char *process)
{
	char *announcer = announcer_of(process);

	fake_cluster_start(cluster, process);
	fake_cluster_start(cluster, announcer);
	g_free(announcer);
}

static void suspend(fake_cluster_t *cluster, const char *process)
{
	fake_cluster_signal(cluster, process, SIGSTOP);
}

static void resume(fake_cluster_t *cluster, const char *process)
{
	fake_cluster_signal(cluster, process, SIGCONT);
}

static char *target_of(const char *agent)
{
	return g_strconcat("readings", strpbrk(agent, "0123456789"), NULL);
}

/* Loss of a VM: its target, the announcer and the agent. */
static void kill_vm(fake_cluster_t *cluster, const char *process)
{
	char *target = target_of(process);

	fake_cluster_kill(cluster, process);
	kill_target(cluster, target);
	g_free(target);
}

static void start_vm(fake_cluster_t *cluster, const char *process)
{
	char *target = target_of(process);

	fake_cluster_start(cluster, process);
	start_target(cluster, target);
	g_free(target);
}

static char *next_control(const char *control)
{
	int number = atoi(strpbrk(control, "0123456789"));

	return g_strdup_printf("control%d", number % FAKE_CONTROLS + 1);
}

/* A control loses its disk and recovers; the next one dies right after. */
static void repair_and_kill_next(fake_cluster_t *cluster, const char *process)
{
	char *second = next_control(process);

	erase_control(cluster, process);
	start_control(cluster, process);
	fake_cluster_kill(cluster, second);
	g_free(second);
}

static void start_next_control(fake_cluster_t *cluster, const char *process)
{
	char *second = next_control(process);

	start_control(cluster, second);
	g_free(second);
}

static void drain(fake_cluster_t *cluster, const char *process)
{
	fake_operator_drain(cluster, process);
}

static void restart(fake_cluster_t *cluster, const char *process)
{
	fake_cluster_stop(cluster, process);
	fake_cluster_start(cluster, process);
}

static void change_document(fake_cluster_t *cluster, const char *process)
{
	fake_operator_change_document(cluster);
}

static void rotate_keys(fake_cluster_t *cluster, const char *process)
{
	int code = fake_operator_run(cluster, NULL, "rotate", NULL);
	char *log = fake_cluster_log(cluster, "operator");

	/* The group may have started a rotation by itself. */
	ck_assert_msg(!code || strstr(log, "a rotation is under way"),
		      "rotate: exit code %d: %s", code, log);
	g_free(log);
}

static const event_t events[] = {
	{ "drain_agent", "agent", drain, restart, FAKE_TARGETS, 1 },
	{ "new_document", "document", change_document, NULL, 1, 1 },
	{ "rotate_keys", "key", rotate_keys, NULL, 1, 1 },
	{ "stop_balancer", "balancer", stop_process, start_balancer,
	  FAKE_BALANCERS, 1 },
	{ "stop_control", "control", stop_process, start_control, FAKE_CONTROLS,
	  1 },
	{ "stop_agent", "agent", stop_process, start_process, FAKE_TARGETS, 1 },
	{ "kill_balancer", "balancer", kill_process, start_balancer,
	  FAKE_BALANCERS, 0 },
	{ "kill_control", "control", kill_process, start_control, FAKE_CONTROLS,
	  0 },
	{ "kill_agent", "agent", kill_process, start_process, FAKE_TARGETS, 0 },
	{ "kill_target", "readings", kill_target, start_target, FAKE_TARGETS,
	  0 },
	{ "freeze_balancer", "balancer", suspend, resume, FAKE_BALANCERS, 0 },
	{ "freeze_control", "control", suspend, resume, FAKE_CONTROLS, 0 },
	{ "freeze_agent", "agent", suspend, resume, FAKE_TARGETS, 0 },
	{ "freeze_target", "readings", suspend, resume, FAKE_TARGETS, 0 },
	{ "kill_vm", "agent", kill_vm, start_vm, FAKE_TARGETS, 0 },
	{ "repair_and_lose", "control", repair_and_kill_next,
	  start_next_control, FAKE_CONTROLS, 0 },
	{ "erase_control", "control", erase_control, start_control,
	  FAKE_CONTROLS, 0 },
};

/* Whether two events may touch the same process. */
static int have_conflict(const event_t *one, const event_t *other)
{
	return !strcmp(one->group, other->group) ||
	       (one->inject == kill_vm && !strcmp(other->group, "readings")) ||
	       (other->inject == kill_vm && !strcmp(one->group, "readings"));
}

static const event_t *pick_event(GRand *rand, int planned, const event_t *other)
{
	const event_t *event;

	do
		event = &events[g_rand_int_range(rand, 0,
						 G_N_ELEMENTS(events))];
	while ((planned && !event->planned) ||
	       (other && have_conflict(event, other)));
	return event;
}

static void pick_process(GRand *rand, const event_t *event, char name[32])
{
	g_snprintf(name, 32, "%s%d", event->group,
		   g_rand_int_range(rand, 1, (int)event->process_count + 1));
}

static void await_agents(fake_cluster_t *cluster)
{
	unsigned i;

	for (i = 1; i <= FAKE_TARGETS; i++) {
		char name[32];

		g_snprintf(name, sizeof(name), "agent%u", i);
		fake_operator_await_state(cluster, name, "serving");
	}
}

/* Inject two concurrent events, continue the load, then undo both. */
static void run_event_pair(fake_cluster_t *cluster, GRand *rand, int planned)
{
	const event_t *first = pick_event(rand, planned, NULL);
	const event_t *second = pick_event(rand, planned, first);
	char one[32];
	char other[32];

	pick_process(rand, first, one);
	pick_process(rand, second, other);
	printf("event=%s process=%s with=%s process=%s\n", first->name, one,
	       second->name, other);
	fflush(stdout);
	first->inject(cluster, one);
	second->inject(cluster, other);
	fake_stations_await(cluster, READINGS_PER_STEP);
	if (first->recover)
		first->recover(cluster, one);
	if (second->recover)
		second->recover(cluster, other);
	fake_stations_await(cluster, READINGS_PER_STEP);
	await_agents(cluster);
	fake_operator_await_document(cluster);
}

static void print_account(unsigned seed, const fake_account_t *account)
{
	printf("seed=%u sent=%u answered=%u doubled=%u lost=%u wrong=%u "
	       "may_have_run=%u broken=%u broken_refused=%u broken_token=%u "
	       "broken_error=%u broken_timeout=%u\n",
	       seed, account->sent, account->answered, account->stored_twice,
	       account->lost, account->wrong, account->may_have_run,
	       account->broken_flows, account->broken_refused,
	       account->broken_token, account->broken_error,
	       account->broken_timeout);
	fflush(stdout);
}

static fake_account_t finish(fake_cluster_t *cluster, unsigned seed)
{
	fake_account_t account = fake_stations_finish(cluster);

	print_account(seed, &account);
	ck_assert_uint_eq(account.stored_twice, 0);
	ck_assert_uint_eq(account.lost, 0);
	ck_assert_uint_eq(account.wrong, 0);
	ck_assert_uint_gt(account.answered, 0);
	return account;
}

static fake_account_t run_seed(unsigned seed, int planned, unsigned pairs)
{
	fake_cluster_t *cluster = fake_cluster_create(seed, 1, 1);
	GRand *rand = g_rand_new_with_seed(seed);
	fake_account_t account;

	fake_stations_start(cluster);
	fake_stations_await(cluster, READINGS_PER_STEP);
	while (pairs--)
		run_event_pair(cluster, rand, planned);
	fake_stations_pull_maps(cluster);
	account = finish(cluster, seed);
	g_rand_free(rand);
	fake_cluster_destroy(cluster);
	return account;
}

/*
 * Guards against planned changes that end a session. Balancers, controls and
 * agents are stopped and started, two at a time, while stations submit
 * readings. Each stop must hand over or finish its work.
 */
START_TEST(keeps_flows_during_planned_changes)
{
	fake_account_t account = run_seed(11 + _i, 1, 4);

	ck_assert_uint_eq(account.broken_flows, 0);
	ck_assert_uint_eq(account.may_have_run, 0);
}
END_TEST

/*
 * Guards against a reading that is stored twice, or answered and not stored.
 * Processes die, lose their disks or hang and come back, two at a time. A
 * retransmitted call then reaches a second target, or an old owner answers.
 */
START_TEST(stores_each_reading_once_despite_failures)
{
	run_seed(31 + _i, 0, 4);
}
END_TEST

static void submit_second(fake_cluster_t *cluster, const char *process,
			  const char *operator_name, const char *path,
			  const char *request)
{
	fake_operator_spawn(cluster, process, "submit", path, "--environment",
			    "trial", "--number", "2", "--operator",
			    operator_name, "--request-id", request, NULL);
}

/*
 * Two operators submit different documents with the same number at the same
 * time, and the winner repeats its request because the answer was lost. Guards
 * against both being told that their document is in force, and against the
 * repeated request counting as a third change.
 */
START_TEST(accepts_one_of_two_racing_operators)
{
	static const char *const requests[] = {
		"00000000000000000000000000000001",
		"00000000000000000000000000000002"
	};
	fake_cluster_t *cluster = fake_cluster_create(51, 0, 0);
	char *paths[2] = { fake_operator_write_document(cluster, 65),
			   fake_operator_write_document(cluster, 66) };
	const char *const names[2] = { "ann", "ben" };
	char *outputs[2] = { NULL, NULL };
	char *again = NULL;
	fake_account_t account;
	char *log;
	int codes[2];
	int winner;
	int i;

	fake_stations_start(cluster);
	fake_stations_await(cluster, READINGS_PER_STEP);
	for (i = 0; i < 2; i++)
		submit_second(cluster, names[i], names[i], paths[i],
			      requests[i]);
	for (i = 0; i < 2; i++)
		codes[i] = fake_cluster_wait(cluster, names[i], &outputs[i]);
	ck_assert_int_eq(codes[0] + codes[1], 1);
	winner = codes[0] != 0;
	log = fake_cluster_log(cluster, names[!winner]);
	ck_assert_msg(strstr(log, names[winner]) != NULL,
		      "the loser was not told the winner: %s", log);
	submit_second(cluster, "again", names[winner], paths[winner],
		      requests[winner]);
	ck_assert_int_eq(fake_cluster_wait(cluster, "again", &again), 0);
	ck_assert_str_eq(again, outputs[winner]);
	ck_assert_int_eq(fake_operator_run(cluster, NULL, "promote", NULL), 0);
	fake_stations_await(cluster, READINGS_PER_STEP);
	account = finish(cluster, 51);
	ck_assert_uint_eq(account.broken_flows, 0);
	for (i = 0; i < 2; i++) {
		g_free(outputs[i]);
		g_free(paths[i]);
	}
	g_free(again);
	g_free(log);
	fake_cluster_destroy(cluster);
}
END_TEST

/* DY_SEED=N runs only that seed, with DY_PAIRS pairs of events. */
START_TEST(stores_each_reading_once_for_given_seed)
{
	const char *pairs = g_getenv("DY_PAIRS");

	run_seed(strtoul(g_getenv("DY_SEED"), NULL, 10), 0,
		 pairs ? strtoul(pairs, NULL, 10) : 10);
}
END_TEST

static void add_tests(TCase *tcase)
{
	if (g_getenv("DY_SEED")) {
		tcase_set_timeout(tcase, 3600);
		tcase_add_test(tcase, stores_each_reading_once_for_given_seed);
		return;
	}
	tcase_set_timeout(tcase, 150);
	tcase_add_loop_test(tcase, keeps_flows_during_planned_changes, 0, 2);
	tcase_add_loop_test(tcase, stores_each_reading_once_despite_failures, 0,
			    3);
	tcase_add_test(tcase, accepts_one_of_two_racing_operators);
}

int main(void)
{
	Suite *suite = suite_create("end_to_end");
	TCase *tcase = tcase_create("end_to_end");
	SRunner *runner;
	int failures;

	add_tests(tcase);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
