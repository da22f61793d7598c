#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "damaskyard/pick.h"

#define TARGETS 7
#define SLOTS 7
#define CAP 2000
#define WARM_MS 3600000

typedef struct view {
	dy_pick_config_t config;
	dy_pick_target_t targets[TARGETS];
	GRand *rand;
	uint64_t now_ms;
	unsigned picked[TARGETS];
} view_t;

static void set_up(view_t *view, dy_pick_priority_t priority, uint32_t seed)
{
	int i;

	memset(view, 0, sizeof(*view));
	dy_pick_config_init(&view->config, priority);
	for (i = 0; i < TARGETS; i++)
		dy_pick_target_init(&view->targets[i], i % 3, SLOTS, CAP, 0);
	view->rand = g_rand_new_with_seed(seed);
	view->now_ms = WARM_MS;
}

static void report(view_t *view, int i, uint16_t in_flight, uint16_t queued,
		   uint32_t sessions)
{
	dy_pick_report_t load = { SLOTS, in_flight, queued, sessions, 0 };

	dy_pick_note_answer(&view->targets[i], &load, 0, view->now_ms);
}

/* Pick n times; each pick is answered at once if answered is set. */
static void pick(view_t *view, int n, int answered)
{
	int i;

	memset(view->picked, 0, sizeof(view->picked));
	while (n--) {
		i = dy_pick(&view->config, view->targets, TARGETS, view->rand,
			    view->now_ms);
		if (i < 0)
			continue;
		view->picked[i]++;
		dy_pick_note_opening(&view->targets[i], view->now_ms);
		if (answered)
			dy_pick_note_answer(&view->targets[i], NULL, 1,
					    view->now_ms);
	}
}

/*
 * Eight balancers open 4,000 flows from the same reports, in which one target
 * is slightly emptier. If each sent all its flows there, that target would get
 * 4,000 at once.
 */
START_TEST(many_balancers_share_load_evenly)
{
	unsigned sum[TARGETS] = { 0 };
	view_t view;
	int b, i;

	for (b = 0; b < 8; b++) {
		set_up(&view, _i, 1 + b);
		view.config.balancers = 8;
		for (i = 0; i < TARGETS; i++)
			report(&view, i, 2, 0, i ? 1000 : 990);
		pick(&view, 500, 0);
		for (i = 0; i < TARGETS; i++)
			sum[i] += view.picked[i];
		g_rand_free(view.rand);
	}
	for (i = 0; i < TARGETS; i++) {
		ck_assert_uint_ge(sum[i], 4000 / TARGETS * 8 / 10);
		ck_assert_uint_le(sum[i], 4000 / TARGETS * 12 / 10);
	}
}
END_TEST

/*
 * One target has all slots used and 20 queued calls; the others are half busy.
 * New flows would make its callers wait longer still.
 */
START_TEST(busy_target_gets_few_flows)
{
	view_t view;
	int i;

	set_up(&view, _i, 1);
	for (i = 0; i < TARGETS; i++)
		report(&view, i, i ? 3 : SLOTS, i ? 0 : 20, 1000);
	pick(&view, 700, 1);
	ck_assert_uint_le(view.picked[0], 10);
	for (i = 1; i < TARGETS; i++)
		ck_assert_uint_ge(view.picked[i], 60);
	g_rand_free(view.rand);
}
END_TEST

/*
 * A target is stalled with all slots used, and its agent refuses calls at
 * once, so its queue is empty. By slots and queue it looks like any busy
 * target, but its agent reports an expected wait of two seconds.
 */
START_TEST(stalled_target_gets_no_flow)
{
	dy_pick_report_t stalled = { SLOTS, SLOTS, 0, 900, 2000 };
	view_t view;
	int i;

	set_up(&view, _i, 1);
	for (i = 0; i < TARGETS; i++)
		report(&view, i, SLOTS, 0, 1000);
	dy_pick_note_answer(&view.targets[0], &stalled, 0, view.now_ms);
	pick(&view, 700, 1);
	ck_assert_uint_eq(view.picked[0], 0);
	g_rand_free(view.rand);
}
END_TEST

/*
 * A stalled and a full target recover, but have no flow of this balancer left,
 * so no answer reports the recovery. They must not be avoided forever: when
 * the reports are old, flows are opened there again.
 */
START_TEST(penalty_decays_with_report_age)
{
	dy_pick_report_t stalled = { SLOTS, SLOTS, 9, 0, 30000 };
	view_t view;
	int i;

	set_up(&view, _i, 1);
	dy_pick_note_answer(&view.targets[0], &stalled, 0, view.now_ms);
	report(&view, 1, 0, 0, CAP);
	pick(&view, 500, 1);
	ck_assert_uint_eq(view.picked[0] + view.picked[1], 0);
	view.now_ms += 20000;
	for (i = 2; i < TARGETS; i++)
		report(&view, i, 3, 0, 500);
	pick(&view, 500, 0);
	ck_assert_uint_ge(view.picked[0], 50);
	ck_assert_uint_eq(view.picked[1], 1);
	g_rand_free(view.rand);
}
END_TEST

START_TEST(draining_target_gets_no_flow)
{
	view_t view;
	int i;

	set_up(&view, _i, 1);
	view.targets[3].draining = 1;
	pick(&view, 500, 1);
	ck_assert_uint_eq(view.picked[3], 0);
	for (i = 0; i < TARGETS; i++)
		view.targets[i].draining = 1;
	ck_assert_int_eq(dy_pick(&view.config, view.targets, TARGETS, view.rand,
				 view.now_ms),
			 -1);
	g_rand_free(view.rand);
}
END_TEST

/*
 * Four balancers have the same report: each target has eight free connections.
 * None sees the flows of the others. Together they must not open more than
 * eight, or the target refuses flows.
 */
START_TEST(balancers_share_free_connections)
{
	unsigned sum[TARGETS] = { 0 };
	view_t view;
	int b, i;

	for (b = 0; b < 4; b++) {
		set_up(&view, _i, 1 + b);
		view.config.balancers = 4;
		for (i = 0; i < TARGETS; i++)
			report(&view, i, 0, 0, CAP - 8);
		pick(&view, 500, 0);
		for (i = 0; i < TARGETS; i++)
			sum[i] += view.picked[i];
		ck_assert_int_eq(dy_pick(&view.config, view.targets, TARGETS,
					 view.rand, view.now_ms),
				 -1);
		g_rand_free(view.rand);
	}
	for (i = 0; i < TARGETS; i++)
		ck_assert_uint_le(sum[i], 8);
}
END_TEST

START_TEST(full_target_gets_no_flow)
{
	view_t view;

	set_up(&view, _i, 1);
	report(&view, 2, 0, 0, CAP);
	report(&view, 4, 0, 0, CAP + 5);
	pick(&view, 500, 1);
	ck_assert_uint_eq(view.picked[2] + view.picked[4], 0);
	g_rand_free(view.rand);
}
END_TEST

/*
 * A target joins while the others have 1,000 flows each. As the emptiest it
 * would get two of seven flows at once, with cold caches and while young VMs
 * fail most often. Its share must grow slowly.
 */
START_TEST(cold_target_ramps_up)
{
	unsigned early, late;
	view_t view;
	int i;

	set_up(&view, _i, 1);
	for (i = 1; i < TARGETS; i++)
		report(&view, i, 3, 0, 1000);
	view.targets[0].cold_since_ms = view.now_ms;
	pick(&view, 700, 1);
	early = view.picked[0];
	view.now_ms += view.config.slow_start_ms;
	pick(&view, 700, 1);
	late = view.picked[0];
	ck_assert_uint_le(early, 40);
	ck_assert_uint_ge(early, 5);
	ck_assert_uint_ge(late, 150);
	g_rand_free(view.rand);
}
END_TEST

/*
 * All targets start together with the balancer. They are equally cold, so slow
 * start must not move flows from an emptier target to a fuller one.
 */
START_TEST(equally_cold_targets_are_balanced)
{
	view_t view;
	int i, n;

	set_up(&view, _i, 1);
	view.now_ms = 500;
	for (n = 0; n < 100; n++) {
		pick(&view, 7, 1);
		for (i = 0; i < TARGETS; i++)
			report(&view, i, 0, 0,
			       view.targets[i].sessions + view.picked[i]);
	}
	for (i = 0; i < TARGETS; i++)
		ck_assert_uint_le(view.targets[i].sessions, 115);
	g_rand_free(view.rand);
}
END_TEST

/*
 * A failure domain fails: three of seven targets stop answering. After the
 * stall is detected, they must get no flow but a single probe each; an answer
 * makes a target eligible again.
 */
START_TEST(failed_domain_is_ejected_and_probed)
{
	view_t view;
	int i;

	set_up(&view, _i, 1);
	for (i = 0; i < TARGETS; i += 3)
		dy_pick_note_call(&view.targets[i], view.now_ms);
	view.now_ms += view.config.stall_ms + 1;
	pick(&view, 700, 1);
	ck_assert_uint_eq(view.picked[0] + view.picked[3] + view.picked[6], 0);
	view.now_ms += view.config.eject_ms;
	pick(&view, 700, 0);
	for (i = 0; i < TARGETS; i += 3)
		ck_assert_uint_eq(view.picked[i], 1);
	dy_pick_note_answer(&view.targets[3], NULL, 1, view.now_ms);
	pick(&view, 700, 1);
	ck_assert_uint_ge(view.picked[3], 50);
	g_rand_free(view.rand);
}
END_TEST

/*
 * The balancer's own link fails and five of seven targets look dead. If it
 * ejected them all, the other two would get every flow of the service.
 */
START_TEST(never_ejects_most_of_service)
{
	view_t view;
	int i, n;

	set_up(&view, _i, 1);
	for (i = 0; i < 5; i++)
		for (n = 0; n < 10; n++)
			dy_pick_note_failure(&view.targets[i], 0, view.now_ms);
	pick(&view, 700, 0);
	for (i = 0; i < TARGETS; i++)
		ck_assert_uint_ge(view.picked[i], 50);
	g_rand_free(view.rand);
}
END_TEST

/*
 * A target always reports free slots and no flows, but refuses two of three
 * calls. By its reports it is the best target; for callers it is the worst.
 * When it stops refusing, it must be trusted again.
 */
START_TEST(refusals_reduce_trust_in_reports)
{
	view_t view;
	int i, n;

	set_up(&view, _i, 1);
	for (n = 0; n < 60; n++) {
		for (i = 1; i < TARGETS; i++)
			report(&view, i, 4, 0, 700);
		report(&view, 0, 0, 0, 0);
		if (n % 3)
			dy_pick_note_refusal(&view.targets[0]);
	}
	pick(&view, 700, 1);
	ck_assert_uint_le(view.picked[0], 20);
	for (n = 0; n < 300; n++)
		report(&view, 0, 4, 0, 700);
	pick(&view, 700, 1);
	ck_assert_uint_ge(view.picked[0], 60);
	g_rand_free(view.rand);
}
END_TEST

/* A refusal agrees with a report of full slots or full connections. */
START_TEST(refusal_by_full_target_keeps_trust)
{
	view_t view;

	set_up(&view, _i, 1);
	report(&view, 0, SLOTS, 3, 100);
	dy_pick_note_refusal(&view.targets[0]);
	ck_assert_uint_eq(view.targets[0].trust, DY_PICK_TRUST_FULL);
	report(&view, 0, 1, 0, CAP);
	dy_pick_note_refusal(&view.targets[0]);
	ck_assert_uint_eq(view.targets[0].trust, DY_PICK_TRUST_FULL);
	g_rand_free(view.rand);
}
END_TEST

/*
 * One address has 5,000 targets; a tenth are full and a tenth draining. A pick
 * samples only a few targets and must still never choose one of these.
 */
START_TEST(samples_large_service)
{
	dy_pick_target_t *targets = g_new0(dy_pick_target_t, 5000);
	unsigned *picked = g_new0(unsigned, 5000);
	GRand *rand = g_rand_new_with_seed(1);
	dy_pick_config_t config;
	int i, n, reached = 0;

	dy_pick_config_init(&config, _i);
	for (i = 0; i < 5000; i++) {
		dy_pick_target_init(&targets[i], 0, SLOTS, CAP, 0);
		targets[i].draining = i % 10 == 1;
		targets[i].sessions = i % 10 == 2 ? CAP : 500;
		targets[i].report_ms = WARM_MS;
	}
	for (n = 0; n < 40000; n++) {
		i = dy_pick(&config, targets, 5000, rand, WARM_MS);
		ck_assert_int_ge(i, 0);
		ck_assert(i % 10 != 1 && i % 10 != 2);
		reached += !picked[i]++;
	}
	ck_assert_int_ge(reached, 3950);
	g_free(targets);
	g_free(picked);
	g_rand_free(rand);
}
END_TEST

/* The own failure domain must only decide between equally loaded targets. */
START_TEST(own_domain_only_breaks_ties)
{
	view_t view;
	int i;

	set_up(&view, _i, 1);
	view.config.domain = 1;
	pick(&view, 700, 1);
	ck_assert_uint_ge(view.picked[1] + view.picked[4], 300);
	for (i = 0; i < TARGETS; i++)
		report(&view, i, 0, 0, i % 3 == 1 ? 1020 : 1000);
	pick(&view, 700, 1);
	ck_assert_uint_le(view.picked[1] + view.picked[4], 60);
	g_rand_free(view.rand);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("pick");
	TCase *tcase = tcase_create("pick");
	SRunner *runner;
	int failures;

	tcase_add_loop_test(tcase, many_balancers_share_load_evenly, 0, 2);
	tcase_add_loop_test(tcase, busy_target_gets_few_flows, 0, 2);
	tcase_add_loop_test(tcase, stalled_target_gets_no_flow, 0, 2);
	tcase_add_loop_test(tcase, penalty_decays_with_report_age, 0, 2);
	tcase_add_loop_test(tcase, draining_target_gets_no_flow, 0, 2);
	tcase_add_loop_test(tcase, balancers_share_free_connections, 0, 2);
	tcase_add_loop_test(tcase, full_target_gets_no_flow, 0, 2);
	tcase_add_loop_test(tcase, cold_target_ramps_up, 0, 2);
	tcase_add_loop_test(tcase, equally_cold_targets_are_balanced, 0, 2);
	tcase_add_loop_test(tcase, failed_domain_is_ejected_and_probed, 0, 2);
	tcase_add_loop_test(tcase, never_ejects_most_of_service, 0, 2);
	tcase_add_loop_test(tcase, refusals_reduce_trust_in_reports, 0, 2);
	tcase_add_loop_test(tcase, refusal_by_full_target_keeps_trust, 0, 2);
	tcase_add_loop_test(tcase, samples_large_service, 0, 2);
	tcase_add_loop_test(tcase, own_domain_only_breaks_ties, 0, 2);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
