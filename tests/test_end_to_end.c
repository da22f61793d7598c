#include "fake_operator.h"
#include "fake_stations.h"

#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Readings of each station between two events of a run. */
#define CALM 3

/* One event of a run: what happens, and how it is made good again. */
typedef struct event {
	const char *name;
	const char *group; /* two events at once are of two groups */
	void (*begin)(fake_cluster_t *cluster, const char *victim);
	void (*end)(fake_cluster_t *cluster, const char *victim);
	unsigned victims;
	int planned;
} event_t;

static void kill_process(fake_cluster_t *cluster, const char *victim)
{
	fake_cluster_kill(cluster, victim);
}

static void start_process(fake_cluster_t *cluster, const char *victim)
{
	fake_cluster_start(cluster, victim);
}

static void start_balancer(fake_cluster_t *cluster, const char *victim)
{
	fake_cluster_start(cluster, victim);
	fake_cluster_point_fabrics(cluster);
}

/* Until it votes again, no other control's disk may be lost. */
static void start_control(fake_cluster_t *cluster, const char *victim)
{
	fake_cluster_start(cluster, victim);
	fake_operator_await_voter(cluster, victim);
}

static void stop_process(fake_cluster_t *cluster, const char *victim)
{
	fake_cluster_stop(cluster, victim);
}

static void erase_control(fake_cluster_t *cluster, const char *victim)
{
	fake_cluster_kill(cluster, victim);
	fake_cluster_erase(cluster, victim);
}

/* What announces a target belongs to one run of it. */
static char *announcer_of(const char *target)
{
	return g_strconcat("announce", strpbrk(target, "0123456789"), NULL);
}

static void kill_target(fake_cluster_t *cluster, const char *victim)
{
	char *announcer = announcer_of(victim);

	fake_cluster_kill(cluster, victim);
	fake_cluster_kill(cluster, announcer);
	g_free(announcer);
}

static void start_target(fake_cluster_t *cluster, const char *victim)
{
	char *announcer = announcer_of(victim);

	fake_cluster_start(cluster, victim);
	fake_cluster_start(cluster, announcer);
	g_free(announcer);
}

static void freeze(fake_cluster_t *cluster, const char *victim)
{
	fake_cluster_signal(cluster, victim, SIGSTOP);
}

static void thaw(fake_cluster_t *cluster, const char *victim)
{
	fake_cluster_signal(cluster, victim, SIGCONT);
}

static char *target_of(const char *agent)
{
	return g_strconcat("readings", strpbrk(agent, "0123456789"), NULL);
}

/* A whole VM is lost: the target, its announcer and its agent. */
static void kill_vm(fake_cluster_t *cluster, const char *victim)
{
	char *target = target_of(victim);

	fake_cluster_kill(cluster, victim);
	kill_target(cluster, target);
	g_free(target);
}

static void start_vm(fake_cluster_t *cluster, const char *victim)
{
	char *target = target_of(victim);

	fake_cluster_start(cluster, victim);
	start_target(cluster, target);
	g_free(target);
}

static char *next_control(const char *control)
{
	int number = atoi(strpbrk(control, "0123456789"));

	return g_strdup_printf("control%d", number % FAKE_CONTROLS + 1);
}

/* A control's disk is lost, it is repaired, and a second one dies at once. */
static void repair_and_lose(fake_cluster_t *cluster, const char *victim)
{
	char *second = next_control(victim);

	erase_control(cluster, victim);
	start_control(cluster, victim);
	fake_cluster_kill(cluster, second);
	g_free(second);
}

static void start_second(fake_cluster_t *cluster, const char *victim)
{
	char *second = next_control(victim);

	start_control(cluster, second);
	g_free(second);
}

static void drain(fake_cluster_t *cluster, const char *victim)
{
	fake_operator_drain(cluster, victim);
}

static void restart(fake_cluster_t *cluster, const char *victim)
{
	fake_cluster_stop(cluster, victim);
	fake_cluster_start(cluster, victim);
}

static void change_document(fake_cluster_t *cluster, const char *victim)
{
	fake_operator_change_document(cluster);
}

static void rotate_keys(fake_cluster_t *cluster, const char *victim)
{
	int code = fake_operator_run(cluster, NULL, "rotate", NULL);
	char *log = fake_cluster_log(cluster, "operator");

	/* The group may just have begun one by itself. */
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
	{ "freeze_balancer", "balancer", freeze, thaw, FAKE_BALANCERS, 0 },
	{ "freeze_control", "control", freeze, thaw, FAKE_CONTROLS, 0 },
	{ "freeze_agent", "agent", freeze, thaw, FAKE_TARGETS, 0 },
	{ "freeze_target", "readings", freeze, thaw, FAKE_TARGETS, 0 },
	{ "kill_vm", "agent", kill_vm, start_vm, FAKE_TARGETS, 0 },
	{ "repair_and_lose", "control", repair_and_lose, start_second,
	  FAKE_CONTROLS, 0 },
	{ "erase_control", "control", erase_control, start_control,
	  FAKE_CONTROLS, 0 },
};

/* Whether two events may touch the same process. */
static int clash(const event_t *one, const event_t *other)
{
	return !strcmp(one->group, other->group) ||
	       (one->begin == kill_vm && !strcmp(other->group, "readings")) ||
	       (other->begin == kill_vm && !strcmp(one->group, "readings"));
}

static const event_t *draw(GRand *rand, int planned, const event_t *other)
{
	const event_t *event;

	do
		event = &events[g_rand_int_range(rand, 0,
						 G_N_ELEMENTS(events))];
	while ((planned && !event->planned) || (other && clash(event, other)));
	return event;
}

static void draw_victim(GRand *rand, const event_t *event, char name[32])
{
	g_snprintf(name, 32, "%s%d", event->group,
		   g_rand_int_range(rand, 1, (int)event->victims + 1));
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

/* Two events at once, work in between, then both made good. */
static void run_pair(fake_cluster_t *cluster, GRand *rand, int planned)
{
	const event_t *first = draw(rand, planned, NULL);
	const event_t *second = draw(rand, planned, first);
	char one[32];
	char other[32];

	draw_victim(rand, first, one);
	draw_victim(rand, second, other);
	printf("event=%s process=%s with=%s process=%s\n", first->name, one,
	       second->name, other);
	fflush(stdout);
	first->begin(cluster, one);
	second->begin(cluster, other);
	fake_stations_await(cluster, CALM);
	if (first->end)
		first->end(cluster, one);
	if (second->end)
		second->end(cluster, other);
	fake_stations_await(cluster, CALM);
	await_agents(cluster);
	fake_operator_await_document(cluster);
}

static void print_account(unsigned seed, const fake_account_t *account)
{
	printf("seed=%u sent=%u answered=%u doubled=%u lost=%u wrong=%u "
	       "may_have_run=%u broken=%u broken_refused=%u broken_token=%u "
	       "broken_error=%u broken_timeout=%u\n",
	       seed, account->sent, account->answered, account->doubled,
	       account->lost, account->wrong, account->may_have_run,
	       account->broken, account->broken_refused, account->broken_token,
	       account->broken_error, account->broken_timeout);
	fflush(stdout);
}

static fake_account_t finish(fake_cluster_t *cluster, unsigned seed)
{
	fake_account_t account = fake_stations_finish(cluster);

	print_account(seed, &account);
	ck_assert_uint_eq(account.doubled, 0);
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
	fake_stations_await(cluster, CALM);
	while (pairs--)
		run_pair(cluster, rand, planned);
	fake_stations_pull_maps(cluster);
	account = finish(cluster, seed);
	g_rand_free(rand);
	fake_cluster_destroy(cluster);
	return account;
}

/*
 * A night of work on the machines: balancers, controls and agents are
 * stopped and started, two at once, while stations stream. A station would
 * see its session end. Each stop must hand on or finish what it holds.
 */
START_TEST(planned_changes_break_no_flow)
{
	fake_account_t account = run_seed(11 + _i, 1, 4);

	ck_assert_uint_eq(account.broken, 0);
	ck_assert_uint_eq(account.may_have_run, 0);
}
END_TEST

/*
 * Processes die, lose their disks or fall silent and come back, two at once.
 * A reading would be stored twice, or be answered and not stored: a call
 * sent again reaches a second target, or an old owner answers.
 */
START_TEST(failures_double_and_lose_nothing)
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
 * Two operators submit different documents of one number at once, and the
 * winner's answer is lost, so that it sends again. Both would believe that
 * theirs is in force, or the resent one would count as a third change.
 */
START_TEST(racing_operators_have_one_winner)
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
	fake_stations_await(cluster, CALM);
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
	fake_stations_await(cluster, CALM);
	account = finish(cluster, 51);
	ck_assert_uint_eq(account.broken, 0);
	for (i = 0; i < 2; i++) {
		g_free(outputs[i]);
		g_free(paths[i]);
	}
	g_free(again);
	g_free(log);
	fake_cluster_destroy(cluster);
}
END_TEST

/* DY_SEED=N runs that seed alone, with DY_PAIRS pairs of events. */
START_TEST(given_seed_doubles_and_loses_nothing)
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
		tcase_add_test(tcase, given_seed_doubles_and_loses_nothing);
		return;
	}
	tcase_set_timeout(tcase, 150);
	tcase_add_loop_test(tcase, planned_changes_break_no_flow, 0, 2);
	tcase_add_loop_test(tcase, failures_double_and_lose_nothing, 0, 3);
	tcase_add_test(tcase, racing_operators_have_one_winner);
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
