#include "damaskyard/target_pace.h"

#include <string.h>

#include <glib.h>

#include "damaskyard/address.h"
#include "damaskyard/flow_targets.h"
#include "damaskyard/request_pace.h"
#include "fake_suite.h"

#define TARGETS 12

static dy_target_pace_t paces[TARGETS];
static unsigned changes[DY_TARGET_GIVEN_BACK + 1];

static void count_change(void *context, const dy_target_pace_t *pace,
			 dy_target_pace_change_t change, uint32_t median_us)
{
	(void)context;
	(void)pace;
	(void)median_us;
	changes[change]++;
}

static void begin(void)
{
	memset(paces, 0, sizeof(paces));
	memset(changes, 0, sizeof(changes));
}

static void report(unsigned number, uint32_t service_us, uint32_t permille,
		   uint64_t now_ms)
{
	const dy_flow_pace_t reported = { service_us, permille };

	dy_target_pace_report(&paces[number], &reported, now_ms);
}

static void report_all(uint32_t service_us, uint64_t now_ms)
{
	unsigned i;

	for (i = 0; i < TARGETS; i++)
		report(i, service_us, 0, now_ms);
}

static void compare(uint64_t now_ms)
{
	dy_target_pace_t *list[TARGETS];
	unsigned i;

	for (i = 0; i < TARGETS; i++)
		list[i] = &paces[i];
	dy_target_pace_compare(list, TARGETS, now_ms, count_change, NULL);
}

static double weight(unsigned number, uint64_t now_ms)
{
	return dy_target_pace_weight(&paces[number], 1, now_ms);
}

static unsigned count_held(void)
{
	unsigned held = 0;
	unsigned i;

	for (i = 0; i < TARGETS; i++)
		held += paces[i].steps > 0;
	return held;
}

/*
 * One slow target, one fast one. Guards against a weight that others get too,
 * and against one without bounds.
 */
START_TEST(slow_and_fast_targets_are_weighted)
{
	begin();
	report_all(20000, 1000);
	report(1, 50000, 0, 1000);
	report(2, 8000, 0, 1000);
	report(3, 10000000, 0, 1000);
	compare(1000);
	ck_assert_double_eq(weight(0, 1000), 1);
	ck_assert_double_lt(weight(1, 1000), 0.4);
	ck_assert_double_gt(weight(2, 1000), 2.4);
	ck_assert_double_le(weight(2, 1000), DY_TARGET_WEIGHT_MAX);
	ck_assert_double_ge(weight(3, 1000), DY_TARGET_WEIGHT_MIN);
	ck_assert_uint_eq(changes[DY_TARGET_UNEVEN], 3);
}
END_TEST

/* Guards against a target that enters and leaves the band with each report. */
START_TEST(band_has_hysteresis)
{
	begin();
	report_all(40000, 1000);
	report(1, 58000, 0, 1000);
	compare(1000);
	ck_assert_double_eq(weight(1, 1000), 1);
	report(1, 62000, 0, 1200);
	compare(1200);
	ck_assert_double_lt(weight(1, 1200), 1);
	report(1, 58000, 0, 1400);
	compare(1400);
	ck_assert_double_lt(weight(1, 1400), 1);
	report(1, 48000, 0, 1600);
	compare(1600);
	ck_assert_double_eq(weight(1, 1600), 1);
	ck_assert_uint_eq(changes[DY_TARGET_EVEN], 1);
}
END_TEST

/*
 * Work of 4 ms whose time is mostly that of packets. Guards against weights
 * that send uploads to other failure domains for a few ms.
 */
START_TEST(differences_of_few_ms_are_even)
{
	begin();
	report_all(8000, 1000);
	report(1, 17000, 0, 1000);
	report(2, 2000, 0, 1000);
	compare(1000);
	ck_assert_double_eq(weight(1, 1000), 1);
	ck_assert_double_eq(weight(2, 1000), 1);
}
END_TEST

/* Agents of older builds report zero. Guards against weights from few others.
 */
START_TEST(unknown_times_are_even)
{
	begin();
	report_all(0, 1000);
	report(1, 50000, 0, 1000);
	report(2, 10000, 0, 1000);
	compare(1000);
	ck_assert_double_eq(weight(0, 1000), 1);
	ck_assert_double_eq(weight(1, 1000), 1);
	ck_assert_double_eq(weight(2, 1000), 1);
}
END_TEST

/*
 * Reports of a slow target stop. Guards against a judgement that nothing
 * renews: it counts as even, as does one that is not compared again.
 */
START_TEST(old_reports_are_not_used)
{
	uint64_t late_ms = 1001 + DY_TARGET_PACE_AGE_MAX_MS;

	begin();
	report_all(20000, 1000);
	report(1, 50000, 0, 1000);
	compare(1000);
	ck_assert_double_lt(weight(1, late_ms - 1), 1);
	ck_assert_double_eq(weight(1, late_ms), 1);
	report(0, 20000, 0, late_ms);
	compare(late_ms);
	ck_assert(!paces[1].uneven);
}
END_TEST

/*
 * Returns the flows of 1,024 that a target gets of those for which it is
 * compared.
 */
static unsigned share(unsigned number)
{
	unsigned given = 0;
	unsigned draw;

	for (draw = 0; draw < 1024; draw++)
		given += !dy_target_pace_is_withheld(&paces[number], draw);
	return given;
}

/*
 * A mute target. Guards against a single step to nothing on the first evidence,
 * and against a target that gets all its work back at once.
 */
START_TEST(mute_target_is_held_back_and_given_back_by_steps)
{
	static const unsigned shares[] = { 1024, 64, 32, 16, 0 };
	uint64_t now_ms = 1000;
	unsigned step;

	begin();
	report_all(20000, now_ms);
	report(1, 20000, DY_TARGET_MUTE_PERMILLE - 1, now_ms);
	compare(now_ms);
	ck_assert_uint_eq(share(1), 1024);
	for (step = 1; step <= DY_TARGET_STEPS_MAX; step++) {
		report(1, 20000, 400, now_ms += 200);
		compare(now_ms);
		ck_assert_uint_eq(share(1), shares[step]);
	}
	report(1, 20000, DY_TARGET_MUTE_ENDED_PERMILLE, now_ms += 2000);
	compare(now_ms);
	ck_assert_uint_eq(share(1), 0);
	ck_assert_uint_eq(paces[1].steps, DY_TARGET_STEPS_MAX);
	for (step = DY_TARGET_STEPS_MAX; step--;) {
		report(1, 20000, 0, now_ms += DY_TARGET_STEP_UP_MS);
		compare(now_ms);
		compare(now_ms + DY_TARGET_STEP_UP_MS - 1);
		ck_assert_uint_eq(share(1), shares[step]);
	}
	ck_assert_uint_eq(share(0), 1024);
	ck_assert_uint_eq(changes[DY_TARGET_HELD_BACK], 1);
	ck_assert_uint_eq(changes[DY_TARGET_GIVEN_BACK], 1);
}
END_TEST

/*
 * A slow target. Guards against one that gets no work at all, so that nothing
 * shows when it has recovered.
 */
START_TEST(slow_target_gets_some_flows_for_trial)
{
	unsigned even = 0;
	uint64_t draw;

	begin();
	report_all(20000, 1000);
	report(1, 70000, 0, 1000);
	compare(1000);
	for (draw = 0; draw < 100 * DY_TARGET_CANDIDATES * DY_TARGET_TRIAL_PART;
	     draw++)
		even += dy_target_pace_weight(&paces[1], draw, 1000) == 1;
	ck_assert_uint_eq(even, 100);
}
END_TEST

/*
 * All targets are mute, as when callers give up everywhere. Guards against a
 * service that is held back as a whole.
 */
START_TEST(at_most_a_third_is_held_back)
{
	uint64_t now_ms = 1000;
	unsigned i;

	begin();
	for (; now_ms < 10000; now_ms += 200) {
		for (i = 0; i < TARGETS; i++)
			report(i, i ? 20000 : 200000, 900, now_ms);
		compare(now_ms);
		ck_assert_uint_le(count_held(), TARGETS / 3);
	}
	ck_assert_uint_eq(count_held(), TARGETS / 3);
}
END_TEST

/* A service of two targets: neither can be told to be the wrong one. */
START_TEST(two_targets_are_not_compared)
{
	dy_target_pace_t *const list[] = { &paces[0], &paces[1] };

	begin();
	report(0, 20000, 0, 1000);
	report(1, 90000, 900, 1000);
	dy_target_pace_compare(list, 2, 1000, NULL, NULL);
	ck_assert_double_eq(weight(0, 1000), 1);
	ck_assert_double_eq(weight(1, 1000), 1);
}
END_TEST

/*
 * A service of 12 targets with two slots, as callers see it: the real choice,
 * the real estimates, reports each 200 ms. Steps are of one ms.
 */

#define SERVICE "feed"
#define SLOTS 2
#define QUEUE_MAX 4096
#define AIM_MS 250
#define WORK_MS 22.0
#define UNANSWERED_MS 500
#define SECONDS 24

typedef struct request {
	uint64_t sent_ms;
	uint64_t start_ms;
	uint64_t end_ms;
} request_t;

typedef struct site_target {
	double slowness; /* of work */
	double mute;	 /* part of its requests */
	dy_request_pace_t pace;
	dy_address_t address;
	request_t running[SLOTS];
	unsigned running_count;
	uint64_t waiting[QUEUE_MAX]; /* ring of send times */
	unsigned head;
	unsigned waiting_count;
	uint64_t overdue[QUEUE_MAX]; /* ring of mute requests' send times */
	unsigned overdue_head;
	unsigned overdue_count;
	unsigned placed[SECONDS]; /* requests in each second */
} site_target_t;

static struct site {
	site_target_t targets[TARGETS];
	dy_flow_targets_t *set;
	GRand *random;
	int with_pace;
	double per_ms;
	unsigned sent;
	unsigned late;
	unsigned mute;
	uint64_t trace; /* of all choices */
} site;

static void site_begin(int with_pace, double per_ms, unsigned seed)
{
	dy_member_t member = { 0 };
	unsigned i;

	memset(&site, 0, sizeof(site));
	site.with_pace = with_pace;
	site.per_ms = per_ms;
	site.random = g_rand_new_with_seed(seed);
	site.set = dy_flow_targets_create("d1");
	for (i = 0; i < TARGETS; i++) {
		dy_address_set_ipv4(&site.targets[i].address, 0x0a000001u + i,
				    7000);
		site.targets[i].slowness = 1;
		dy_request_pace_init(&site.targets[i].pace);
		member.id = i + 1;
		member.incarnation = 1;
		member.state = DY_MEMBER_SERVING;
		member.info.kind = DY_MEMBER_AGENT;
		member.info.name = "a";
		member.info.environment = "trial";
		member.info.domain = "d1";
		member.info.service = SERVICE;
		member.info.labels = "";
		member.info.address = site.targets[i].address;
		member.info.slots = SLOTS;
		dy_flow_targets_set_member(site.set, &member);
	}
}

static void site_end(void)
{
	dy_flow_targets_destroy(site.set);
	g_rand_free(site.random);
}

/* Half to one and a half times the work; three in a hundred take seven times.
 */
static uint64_t draw_work_ms(const site_target_t *target)
{
	double work_ms = WORK_MS * g_rand_double_range(site.random, 0.5, 1.5);

	if (g_rand_double(site.random) < 0.03)
		work_ms *= 7;
	return (uint64_t)(work_ms * target->slowness + 0.5);
}

static void start_waiting(site_target_t *target, uint64_t now_ms)
{
	request_t *request;

	while (target->running_count < SLOTS && target->waiting_count) {
		request = &target->running[target->running_count++];
		request->sent_ms = target->waiting[target->head++ % QUEUE_MAX];
		request->start_ms = now_ms;
		request->end_ms = now_ms + draw_work_ms(target);
		target->waiting_count--;
	}
}

static void send_request(uint64_t now_ms)
{
	const dy_flow_id_t id = { g_rand_int(site.random), 1, 1024, 443 };
	dy_address_t list[DY_FLOW_TRIES];
	site_target_t *target = site.targets;

	dy_flow_targets_choose(site.set, SERVICE, &id, 0, now_ms, list);
	dy_flow_targets_note_opened(site.set, &list[0]);
	while (!dy_address_equal(&target->address, &list[0]))
		target++;
	site.sent++;
	site.trace = site.trace * 31 + (uint64_t)(target - site.targets);
	target->placed[now_ms / 1000]++;
	if (g_rand_double(site.random) < target->mute) {
		target->overdue[(target->overdue_head +
				 target->overdue_count++) %
				QUEUE_MAX] = now_ms;
		site.mute++;
		return;
	}
	target->waiting[(target->head + target->waiting_count++) % QUEUE_MAX] =
		now_ms;
	start_waiting(target, now_ms);
}

static void end_requests(site_target_t *target, uint64_t now_ms)
{
	request_t *request;
	unsigned i = 0;

	while (i < target->running_count) {
		request = &target->running[i];
		if (request->end_ms > now_ms) {
			i++;
			continue;
		}
		site.late += now_ms - request->sent_ms > AIM_MS;
		dy_request_pace_add_service(&target->pace,
					    now_ms - request->start_ms, now_ms);
		dy_request_pace_add_outcome(&target->pace, 1);
		*request = target->running[--target->running_count];
	}
	start_waiting(target, now_ms);
}

static void report_target(site_target_t *target, uint64_t now_ms)
{
	unsigned requests = target->running_count + target->waiting_count;
	dy_flow_load_t load = { SLOTS, requests + target->overdue_count,
				requests + target->overdue_count, 1, 0 };
	dy_flow_pace_t pace = { 0 };

	while (target->overdue_count &&
	       now_ms - target->overdue[target->overdue_head % QUEUE_MAX] >=
		       UNANSWERED_MS) {
		target->overdue_head++;
		target->overdue_count--;
		dy_request_pace_add_outcome(&target->pace, 0);
	}
	dy_request_pace_fade(&target->pace);
	if (site.with_pace) {
		pace.service_us =
			dy_request_pace_service_us(&target->pace, now_ms);
		pace.unanswered_permille =
			dy_request_pace_unanswered(&target->pace);
	}
	dy_flow_targets_set_load(site.set, &target->address, &load, now_ms);
	dy_flow_targets_set_pace(site.set, &target->address, &pace, now_ms);
}

static void site_run(uint64_t from_ms, uint64_t until_ms)
{
	uint64_t now_ms;
	unsigned i;

	for (now_ms = from_ms; now_ms < until_ms; now_ms++) {
		for (i = 0; i < TARGETS; i++) {
			end_requests(&site.targets[i], now_ms);
			if (now_ms % 200 == i * 16)
				report_target(&site.targets[i], now_ms);
		}
		while (g_rand_double(site.random) * (1 + site.per_ms) <
		       site.per_ms)
			send_request(now_ms);
	}
}

/* Requests placed on a target in [from, until) seconds. */
static unsigned count_placed(unsigned number, unsigned from, unsigned until)
{
	unsigned sum = 0;

	while (from < until)
		sum += site.targets[number].placed[from++];
	return sum;
}

static unsigned run_speeds(int with_pace)
{
	unsigned late;
	unsigned i;

	site_begin(with_pace, 0.6, 7);
	for (i = 0; i < TARGETS; i++)
		site.targets[i].slowness = i % 3 == 2 ? 1.7 : 0.7;
	site_run(0, 20000);
	late = site.late;
	site_end();
	return late;
}

/*
 * Targets of speeds 0.7, 0.7 and 1.7. Guards against slow targets that are kept
 * busy while fast ones are idle: with the pace, callers wait past their aim at
 * most half as often.
 */
START_TEST(uneven_speeds_make_fewer_answers_late)
{
	unsigned without = run_speeds(0);
	unsigned with = run_speeds(1);

	ck_assert_uint_gt(without, 100);
	ck_assert_uint_le(with * 2, without);
}
END_TEST

static uint64_t trace_even(int with_pace, unsigned seed)
{
	uint64_t trace;

	site_begin(with_pace, 0.6, seed);
	site_run(0, 20000);
	trace = site.trace;
	site_end();
	return trace;
}

/*
 * Even targets, three requests in a hundred seven times as long, and one target
 * that had long requests by chance. Guards against any choice that differs from
 * that without the pace.
 */
START_TEST(tail_among_even_targets_changes_no_choice)
{
	unsigned seed;

	for (seed = 1; seed <= 20; seed++)
		ck_assert(trace_even(0, seed) == trace_even(1, seed));
}
END_TEST

static unsigned run_slow_spell(int with_pace)
{
	site_begin(with_pace, 0.5, 7);
	site_run(0, 4000);
	site.targets[5].slowness = 5;
	site.targets[7].slowness = 5;
	site_run(4000, 10000);
	site.targets[5].slowness = 1;
	site.targets[7].slowness = 1;
	site_run(10000, 20000);
	return site.late;
}

/*
 * Two targets are five times as slow for six seconds. Guards against new flows
 * that still go there, and, after it, against a target that gets none for long,
 * or so many that it is full again.
 */
START_TEST(slow_spell_ends_without_swinging)
{
	unsigned without = run_slow_spell(0);
	unsigned with;
	unsigned mean;
	unsigned second;

	site_end();
	with = run_slow_spell(1);
	ck_assert_uint_lt(with, without);
	mean = (count_placed(0, 6, 10) + count_placed(1, 6, 10)) / 2;
	ck_assert_uint_le(count_placed(5, 6, 10) * 4, mean);
	ck_assert_uint_le(count_placed(7, 6, 10) * 4, mean);
	for (second = 10; second < 20; second++) {
		mean = (count_placed(0, second, second + 1) +
			count_placed(1, second, second + 1) +
			count_placed(2, second, second + 1)) /
		       3;
		ck_assert_uint_le(count_placed(5, second, second + 1),
				  mean * 3 / 2);
	}
	mean = (count_placed(0, 17, 20) + count_placed(1, 17, 20)) / 2;
	ck_assert_uint_ge(count_placed(5, 17, 20) * 4, mean * 3);
	site_end();
}
END_TEST

static unsigned run_mute_spell(int with_pace)
{
	site_begin(with_pace, 0.5, 7);
	site_run(0, 4000);
	site.targets[2].mute = 0.5;
	site.targets[9].mute = 0.5;
	site_run(4000, 10000);
	site.targets[2].mute = 0;
	site.targets[9].mute = 0;
	site_run(10000, 20000);
	return site.mute;
}

/*
 * Two targets do not answer half of their requests for six seconds, and look
 * idle. Guards against callers whose requests go there, and against targets
 * that get no work after it.
 */
START_TEST(mute_spell_costs_fewer_requests)
{
	unsigned without = run_mute_spell(0);
	unsigned with;

	site_end();
	with = run_mute_spell(1);
	ck_assert_uint_gt(without, 50);
	ck_assert_uint_le(with * 3, without * 2);
	ck_assert_uint_ge(count_placed(2, 17, 20) * 4,
			  count_placed(0, 17, 20) * 3);
	site_end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		slow_and_fast_targets_are_weighted,
		band_has_hysteresis,
		differences_of_few_ms_are_even,
		unknown_times_are_even,
		old_reports_are_not_used,
		mute_target_is_held_back_and_given_back_by_steps,
		slow_target_gets_some_flows_for_trial,
		at_most_a_third_is_held_back,
		two_targets_are_not_compared,
		uneven_speeds_make_fewer_answers_late,
		tail_among_even_targets_changes_no_choice,
		slow_spell_ends_without_swinging,
		mute_spell_costs_fewer_requests,
		NULL,
	};

	return fake_suite_run("target_pace", tests);
}
