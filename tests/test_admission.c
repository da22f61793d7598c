#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "fake_calls.h"

#define PULL 2
#define SUBMISSION 1
#define LONG_PULL 3

static const dy_admission_item_t pull = { .procedure = PULL, .idempotent = 1 };
static const dy_admission_item_t submission = { .procedure = SUBMISSION };
static const dy_admission_item_t long_pull = { .procedure = LONG_PULL,
					       .idempotent = 1 };

static fake_target_t *create_target(uint32_t slots, uint32_t queue)
{
	dy_admission_config_t config;

	dy_admission_config_init(&config, slots);
	if (queue)
		config.queue_limit = queue;
	return fake_target_create(&config);
}

static fake_call_t *issue_of(fake_target_t *target, uint64_t caller,
			     uint64_t key)
{
	dy_admission_item_t item = pull;

	item.caller = caller;
	item.key = key;
	return fake_issue(target, &item, 10 * FAKE_MS, FAKE_S);
}

/*
 * Forty callers pull at the same moment, at a target of four slots. Each gets
 * its answer, though 36 of them find no free slot: none is refused.
 */
START_TEST(burst_is_answered_whole)
{
	fake_target_t *target = create_target(4, 0);
	int i;

	for (i = 0; i < 40; i++)
		issue_of(target, 1 + i, 0);
	fake_calls_pass(target, FAKE_S);
	ck_assert_uint_eq(fake_count_good(target, 0), 40);
	ck_assert_uint_eq(target->most_running, 4);
	fake_target_destroy(target);
}
END_TEST

/*
 * One station has stored 150 pulls and sends them at once; then another asks
 * for one thing. First come first served would let it wait for 375 ms behind
 * the first one's backlog. It is next in turn.
 */
START_TEST(hot_caller_holds_up_itself_only)
{
	fake_target_t *target = create_target(4, 0);
	fake_call_t *other;
	int i;

	for (i = 0; i < 150; i++)
		issue_of(target, 1, 0);
	other = issue_of(target, 2, 0);
	fake_calls_pass(target, 2 * FAKE_S);
	ck_assert_int_eq(other->end, FAKE_ANSWERED);
	ck_assert_uint_le(other->ended_us - other->issued_us, 30 * FAKE_MS);
	fake_target_destroy(target);
}
END_TEST

/*
 * A newspaper links to one map: 150 callers ask for the same key, each once.
 * A caller of another map would wait behind all of them. So would later a
 * caller of the hot map itself, when it asks for another one.
 */
START_TEST(hot_key_holds_up_itself_only)
{
	fake_target_t *target = create_target(4, 0);
	fake_call_t *other, *again;
	int i;

	for (i = 0; i < 150; i++)
		issue_of(target, 1 + i, 7);
	other = issue_of(target, 1000, 8);
	again = issue_of(target, 100, 9);
	fake_calls_pass(target, 2 * FAKE_S);
	ck_assert_int_eq(other->end, FAKE_ANSWERED);
	ck_assert_uint_le(other->ended_us - other->issued_us, 30 * FAKE_MS);
	ck_assert_int_eq(again->end, FAKE_ANSWERED);
	ck_assert_uint_le(again->ended_us - again->issued_us, 40 * FAKE_MS);
	fake_target_destroy(target);
}
END_TEST

/*
 * One caller has filled the queue. A call of another one must not be refused
 * for that: the last of the first one's loses its place, and is told so at
 * once.
 */
START_TEST(full_queue_takes_from_the_hot_caller)
{
	fake_target_t *target = create_target(1, 8);
	fake_call_t *other;
	int i;

	for (i = 0; i < 9; i++)
		issue_of(target, 1, 0);
	other = issue_of(target, 2, 0);
	ck_assert_int_eq(other->end, FAKE_WAITS);
	ck_assert_uint_eq(fake_count(target, 0, FAKE_REFUSED), 1);
	ck_assert_int_eq(issue_of(target, 1, 0)->refusal.reason,
			 DY_ADMISSION_FULL);
	fake_calls_pass(target, FAKE_S);
	ck_assert_int_eq(other->end, FAKE_ANSWERED);
	fake_target_destroy(target);
}
END_TEST

/*
 * A target that answered in 10 ms suddenly takes 300 ms. Callers that wait
 * for 500 ms must not find their answers late, one after the other: the
 * agent learns, and refuses what would be late without running it.
 */
START_TEST(slow_target_refuses_rather_than_answers_late)
{
	fake_target_t *target = create_target(4, 0);
	unsigned from, late;
	int i;

	fake_teach(target, PULL, 10 * FAKE_MS);
	from = target->calls->len;
	for (i = 0; i < 300; i++) {
		fake_issue(target, &pull, 300 * FAKE_MS, 500 * FAKE_MS);
		fake_calls_pass(target, 10 * FAKE_MS);
	}
	fake_calls_pass(target, FAKE_S);
	late = fake_count(target, from, FAKE_ABANDONED);
	ck_assert_uint_ge(fake_count_good(target, from), 30);
	ck_assert_uint_le(late, 8);
	ck_assert_uint_eq(fake_count(target, from, FAKE_REFUSED),
			  300 - late - fake_count_good(target, from));
	ck_assert_uint_le(fake_longest_refusal_us(target, from), 260 * FAKE_MS);
	fake_target_destroy(target);
}
END_TEST

/*
 * A target stops to answer with all slots taken. Those that wait are refused
 * long before their deadline, with a time to come back; when the target is
 * well again, calls run again though none was learned from meanwhile.
 */
START_TEST(stalled_target_holds_no_one_in_the_queue)
{
	fake_target_t *target = create_target(4, 0);
	fake_call_t *call;
	unsigned from;
	int i;

	fake_teach(target, PULL, 10 * FAKE_MS);
	from = target->calls->len;
	for (i = 0; i < 40; i++) {
		fake_issue(target, &pull, FAKE_NEVER, 2 * FAKE_S);
		fake_calls_pass(target, 50 * FAKE_MS);
	}
	fake_calls_pass(target, 2 * FAKE_S);
	ck_assert_uint_ge(fake_count(target, from, FAKE_REFUSED), 30);
	ck_assert_uint_le(fake_longest_refusal_us(target, from),
			  1050 * FAKE_MS);
	call = g_ptr_array_index(target->calls, from + 20);
	ck_assert_uint_ge(call->refusal.retry_after_ms, 50);
	fake_calls_pass(target, 4 * FAKE_S);
	call = fake_issue(target, &pull, 10 * FAKE_MS, FAKE_S);
	fake_calls_pass(target, 50 * FAKE_MS);
	ck_assert_int_eq(call->end, FAKE_ANSWERED);
	fake_target_destroy(target);
}
END_TEST

/*
 * The agent's VM stands still for a minute while calls run and wait. What
 * waited is refused as late. The minute must not be taken for the target's
 * service time: else each new call would be refused for seconds.
 */
START_TEST(frozen_vm_is_not_learned_from)
{
	fake_target_t *target = create_target(2, 0);
	fake_call_t *call;
	unsigned from;
	int i;

	fake_teach(target, PULL, 10 * FAKE_MS);
	from = target->calls->len;
	for (i = 0; i < 6; i++)
		fake_issue(target, &pull, 10 * FAKE_MS, FAKE_S);
	target->now_us += 60 * FAKE_S;
	fake_calls_pass(target, FAKE_MS);
	ck_assert_uint_eq(fake_count(target, from, FAKE_REFUSED), 4);
	call = fake_issue(target, &pull, 10 * FAKE_MS, FAKE_S);
	ck_assert_int_eq(call->end, FAKE_RUNS);
	fake_calls_pass(target, 20 * FAKE_MS);
	ck_assert_int_eq(call->end, FAKE_ANSWERED);
	fake_target_destroy(target);
}
END_TEST

/*
 * The clock goes back half a second while a call runs. Its service time would
 * come out as less than nothing, that is, as centuries, and each later call
 * would be refused as one that cannot end in time.
 */
START_TEST(clock_that_goes_back_stands_still)
{
	fake_target_t *target = create_target(1, 0);
	fake_call_t *first = issue_of(target, 1, 0);
	fake_call_t *second = issue_of(target, 2, 0);

	target->now_us -= 500 * FAKE_MS;
	dy_admission_finish(target->admission, &first->item,
			    DY_ADMISSION_ANSWERED, target->now_us);
	ck_assert_ptr_eq(dy_admission_next(target->admission, target->now_us),
			 &second->item);
	dy_admission_finish(target->admission, &second->item,
			    DY_ADMISSION_ANSWERED, target->now_us);
	ck_assert_int_eq(issue_of(target, 3, 0)->end, FAKE_RUNS);
	fake_target_destroy(target);
}
END_TEST

/*
 * Print files take half a second, lists 10 ms. Twenty print files are asked
 * for, then lists: each list would wait for a print file to end. Slots stay
 * open for them.
 */
START_TEST(short_calls_pass_long_ones)
{
	fake_target_t *target = create_target(4, 0);
	unsigned from;
	int i;

	fake_teach(target, PULL, 10 * FAKE_MS);
	fake_teach(target, LONG_PULL, 500 * FAKE_MS);
	issue_of(target, 1, 0);
	for (i = 0; i < 20; i++)
		fake_issue(target, &long_pull, 500 * FAKE_MS, 20 * FAKE_S);
	from = target->calls->len;
	for (i = 0; i < 50; i++) {
		fake_issue(target, &pull, 10 * FAKE_MS, 100 * FAKE_MS);
		fake_calls_pass(target, 20 * FAKE_MS);
	}
	ck_assert_uint_eq(fake_count_good(target, from), 50);
	fake_calls_pass(target, 20 * FAKE_S);
	ck_assert_uint_eq(fake_count_good(target, from - 20), 70);
	fake_target_destroy(target);
}
END_TEST

/* Offer `load` times what four slots can do for three seconds. */
static void offer(fake_target_t *target, const dy_admission_item_t *template,
		  unsigned load)
{
	unsigned ms, i;

	for (ms = 0; ms < 3000; ms += 5) {
		for (i = 0; i < 2 * load; i++)
			fake_issue(target, template, 10 * FAKE_MS, FAKE_S);
		fake_calls_pass(target, 5 * FAKE_MS);
	}
	fake_calls_pass(target, FAKE_S);
}

/*
 * Twice or five times as many pulls come as the target can serve, for
 * seconds. First come first served would soon answer each one late. As many
 * as fit are answered in time, and the others are told well before. When it
 * lasts, those that are answered don't wait in a long queue any more.
 */
START_TEST(overload_answers_what_fits)
{
	fake_target_t *target = create_target(4, 0);
	fake_call_t *call;
	guint i;

	offer(target, &pull, _i);
	ck_assert_uint_ge(fake_count_good(target, 0), 1100);
	ck_assert_uint_eq(fake_count(target, 0, FAKE_ABANDONED), 0);
	ck_assert_uint_eq(fake_count_good(target, 0) +
				  fake_count(target, 0, FAKE_REFUSED),
			  target->calls->len);
	ck_assert_uint_le(fake_longest_refusal_us(target, 0), 520 * FAKE_MS);
	for (i = target->calls->len * 2 / 3; i < target->calls->len; i++) {
		call = g_ptr_array_index(target->calls, i);
		if (call->end == FAKE_ANSWERED)
			ck_assert_uint_le(call->ended_us - call->issued_us,
					  200 * FAKE_MS);
	}
	fake_target_destroy(target);
}
END_TEST

/*
 * Tourists pull maps at three times what the target can do, while stations
 * send readings at a sixth. Or the stations catch up with a night at three
 * times, and the town halls pull at a twelfth, within the tenth that pulls are
 * sure of. Neither may starve the other.
 */
START_TEST(neither_kind_starves_the_other)
{
	fake_target_t *target = create_target(4, 0);
	const dy_admission_item_t *crowd = _i ? &submission : &pull;
	const dy_admission_item_t *few = _i ? &pull : &submission;
	unsigned every_ms = _i ? 30 : 15;
	unsigned good = 0, n = 0, ms, i;
	fake_call_t *calls[300];

	for (ms = 0; ms < 3000; ms += 5) {
		for (i = 0; i < 6; i++)
			fake_issue(target, crowd, 10 * FAKE_MS, FAKE_S);
		if (ms % every_ms == 0)
			calls[n++] =
				fake_issue(target, few, 10 * FAKE_MS, FAKE_S);
		fake_calls_pass(target, 5 * FAKE_MS);
	}
	fake_calls_pass(target, FAKE_S);
	for (i = 0; i < n; i++)
		good += calls[i]->end == FAKE_ANSWERED;
	ck_assert_uint_eq(n, 3000 / every_ms);
	ck_assert_uint_ge(good, n * 97 / 100);
	ck_assert_uint_ge(fake_count_good(target, 0), 1100);
	fake_target_destroy(target);
}
END_TEST

/*
 * The target sheds load: it had four slots and now takes one call at a time.
 * The three that run beyond it are not cut, and none starts before they end.
 */
START_TEST(fewer_slots_cut_nothing)
{
	fake_target_t *target = create_target(4, 0);
	dy_admission_load_t load;
	int i;

	for (i = 0; i < 10; i++)
		issue_of(target, 1 + i, 0);
	dy_admission_set_slots(target->admission, 1);
	fake_calls_pass(target, 10 * FAKE_MS);
	ck_assert_uint_eq(target->running, 1);
	target->most_running = 0;
	fake_calls_pass(target, FAKE_S);
	ck_assert_uint_eq(fake_count_good(target, 0), 10);
	ck_assert_uint_le(target->most_running, 1);
	dy_admission_set_slots(target->admission, 0);
	ck_assert_int_eq(issue_of(target, 1, 0)->end, FAKE_REFUSED);
	dy_admission_load(target->admission, target->now_us, &load);
	ck_assert_uint_eq(load.expected_wait_us, 3600 * FAKE_S);
	fake_target_destroy(target);
}
END_TEST

START_TEST(cancelled_call_never_runs)
{
	fake_target_t *target = create_target(1, 0);
	fake_call_t *first = issue_of(target, 1, 0);
	fake_call_t *second = issue_of(target, 2, 0);
	dy_admission_load_t load;

	ck_assert(!dy_admission_cancel(target->admission, &first->item));
	ck_assert(dy_admission_cancel(target->admission, &second->item));
	ck_assert(!dy_admission_cancel(target->admission, &second->item));
	fake_calls_pass(target, 100 * FAKE_MS);
	ck_assert_int_eq(second->end, FAKE_WAITS);
	dy_admission_load(target->admission, target->now_us, &load);
	ck_assert_uint_eq(load.in_flight + load.queued, 0);
	fake_target_destroy(target);
}
END_TEST

/*
 * Five hundred callers are refused within a moment. Told the same time, they
 * would all be back together and be refused again; they are spread over as
 * long as their calls take.
 */
START_TEST(refused_crowd_comes_back_spread)
{
	fake_target_t *target = create_target(4, 0);
	unsigned in_100_ms[320] = { 0 };
	unsigned most = 0, refused = 0;
	fake_call_t *call;
	guint i;

	fake_teach(target, PULL, 10 * FAKE_MS);
	for (i = 0; i < 700; i++)
		issue_of(target, 1 + i, 0);
	for (i = 20; i < target->calls->len; i++) {
		call = g_ptr_array_index(target->calls, i);
		if (call->end != FAKE_REFUSED)
			continue;
		refused++;
		in_100_ms[call->refusal.retry_after_ms / 100]++;
	}
	for (i = 0; i < 320; i++)
		most = MAX(most, in_100_ms[i]);
	ck_assert_uint_ge(refused, 400);
	ck_assert_uint_le(most, 100);
	fake_target_destroy(target);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("admission");
	TCase *tcase = tcase_create("admission");
	SRunner *runner;
	int failures;

	tcase_add_test(tcase, burst_is_answered_whole);
	tcase_add_test(tcase, hot_caller_holds_up_itself_only);
	tcase_add_test(tcase, hot_key_holds_up_itself_only);
	tcase_add_test(tcase, full_queue_takes_from_the_hot_caller);
	tcase_add_test(tcase, slow_target_refuses_rather_than_answers_late);
	tcase_add_test(tcase, stalled_target_holds_no_one_in_the_queue);
	tcase_add_test(tcase, frozen_vm_is_not_learned_from);
	tcase_add_test(tcase, clock_that_goes_back_stands_still);
	tcase_add_test(tcase, short_calls_pass_long_ones);
	tcase_add_loop_test(tcase, overload_answers_what_fits, 2, 3);
	tcase_add_loop_test(tcase, overload_answers_what_fits, 5, 6);
	tcase_add_loop_test(tcase, neither_kind_starves_the_other, 0, 2);
	tcase_add_test(tcase, fewer_slots_cut_nothing);
	tcase_add_test(tcase, cancelled_call_never_runs);
	tcase_add_test(tcase, refused_crowd_comes_back_spread);
	tcase_set_timeout(tcase, 60);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
