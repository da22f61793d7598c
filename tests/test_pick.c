#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "damaskyard/pick.h"

#define TARGETS 7
#define SLOTS 7
#define CAP 2000
#define OLD_MS 3600000

typedef struct view {
	dy_pick_config_t config;
	dy_pick_target_t targets[TARGETS];
	GRand *rand;
	uint64_t now_ms;
	unsigned picked[TARGETS];
} view_t;

static void set_up(view_t *view, dy_pick_priority_t weigh, uint32_t seed)
{
	int i;

	memset(view, 0, sizeof(*view));
	dy_pick_config_init(&view->config, weigh);
	for (i = 0; i < TARGETS; i++)
		dy_pick_target_init(&view->targets[i], i % 3, SLOTS, CAP, 0);
	view->rand = g_rand_new_with_seed(seed);
	view->now_ms = OLD_MS;
}

static void report(view_t *view, int i, uint16_t in_flight, uint16_t queued,
		   uint32_t sessions)
{
	dy_pick_report_t load = { SLOTS, in_flight, queued, sessions, 0 };

	dy_pick_note_answer(&view->targets[i], &load, 0, view->now_ms);
}

/* Pick n times; what is picked is answered if `answered`, else stays open. */
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
 * At dusk eight balancers open 4,000 flows from the same reports, by which
 * one target is a little emptier. Each alone would send all its flows there
 * and the target would get 4,000 at once.
 */
START_TEST(many_balancers_make_no_herd)
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
 * One target has all slots taken and twenty calls waiting, the others are
 * half busy. New flows would make its callers wait still longer.
 */
START_TEST(busy_target_gets_few)
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
 * A target stalls with all slots taken, and its agent refuses at once, so
 * nobody waits there. By slots and queue it looks like any busy target; its
 * agent expects a wait of two seconds.
 */
START_TEST(stalled_target_gets_none)
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
 * The same target, and one that was full, are well again, but have no flow of
 * this balancer any more: no answer tells it so. They must not be shunned for
 * good: as the reports grow old, flows are opened there again.
 */
START_TEST(old_trouble_is_forgotten)
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

START_TEST(draining_target_gets_none)
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
 * Four balancers hold the same report: each target has eight connections
 * left. None sees what the others send; together they must not open more
 * than is left, or flows are refused at the target.
 */
START_TEST(stale_report_is_not_spent_twice)
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

START_TEST(full_target_gets_none)
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
 * A target joins while the others have 1,000 flows each. It is the emptiest
 * by far and would get two flows of seven from the first moment, with cold
 * caches and not yet proved. Its part grows from little to that.
 */
START_TEST(cold_target_starts_slowly)
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
 * All targets start with the balancer. None is warmer than another, so no
 * flow may be turned away from the emptier to the fuller one.
 */
START_TEST(all_cold_are_balanced)
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
 * A failure domain goes: three of seven targets answer no more. Once that
 * shows, no flow is opened into the void, but one each to see whether they
 * are back; an answer brings them back.
 */
START_TEST(failure_domain_is_ejected_and_comes_back)
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
 * A balancer's own link breaks and five of seven targets look dead. If it
 * ejected them all, the two others would get each flow of the service.
 */
START_TEST(most_of_a_service_is_never_ejected)
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
 * A target always reports free slots and no flow, while it refuses two calls
 * of three. By its reports it is the best of all; by what callers receive it
 * is the worst. When it refuses no more, it is trusted again.
 */
START_TEST(false_report_is_discounted)
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

/* A refusal by a target that says it is full is no lie, in either way. */
START_TEST(honest_refusal_costs_no_trust)
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
 * One address has 5,000 targets, a tenth of them full and a tenth leaving. A
 * pick looks at a few only, and still never takes one of these.
 */
START_TEST(large_service_is_sampled)
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
		targets[i].report_ms = OLD_MS;
	}
	for (n = 0; n < 40000; n++) {
		i = dy_pick(&config, targets, 5000, rand, OLD_MS);
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

/* The own failure domain decides between equals, and only there. */
START_TEST(own_domain_costs_no_balance)
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

	tcase_add_loop_test(tcase, many_balancers_make_no_herd, 0, 2);
	tcase_add_loop_test(tcase, busy_target_gets_few, 0, 2);
	tcase_add_loop_test(tcase, stalled_target_gets_none, 0, 2);
	tcase_add_loop_test(tcase, old_trouble_is_forgotten, 0, 2);
	tcase_add_loop_test(tcase, draining_target_gets_none, 0, 2);
	tcase_add_loop_test(tcase, stale_report_is_not_spent_twice, 0, 2);
	tcase_add_loop_test(tcase, full_target_gets_none, 0, 2);
	tcase_add_loop_test(tcase, cold_target_starts_slowly, 0, 2);
	tcase_add_loop_test(tcase, all_cold_are_balanced, 0, 2);
	tcase_add_loop_test(tcase, failure_domain_is_ejected_and_comes_back, 0,
			    2);
	tcase_add_loop_test(tcase, most_of_a_service_is_never_ejected, 0, 2);
	tcase_add_loop_test(tcase, false_report_is_discounted, 0, 2);
	tcase_add_loop_test(tcase, honest_refusal_costs_no_trust, 0, 2);
	tcase_add_loop_test(tcase, large_service_is_sampled, 0, 2);
	tcase_add_loop_test(tcase, own_domain_costs_no_balance, 0, 2);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
