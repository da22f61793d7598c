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

static fake_call_t *submit_pull(fake_target_t *target, uint64_t caller,
				uint64_t key)
{
	dy_admission_item_t item = pull;

	item.caller = caller;
	item.key = key;
	return fake_submit(target, &item, 10 * FAKE_MS, FAKE_S);
}

/*
 * 40 callers pull at the same moment from a target with 4 slots. The 36 calls
 * that find no free slot must be queued and answered, not refused.
 */
START_TEST(queues_and_answers_burst)
{
	fake_target_t *target = create_target(4, 0);
	int i;

	for (i = 0; i < 40; i++)
		submit_pull(target, 1 + i, 0);
	fake_advance(target, FAKE_S);
	ck_assert_uint_eq(fake_count_in_time(target, 0), 40);
	ck_assert_uint_eq(target->max_running, 4);
	fake_target_destroy(target);
}
END_TEST

/*
 * One caller sends 150 stored pulls at once, then another caller sends one. In
 * FIFO order the second one would wait 375 ms behind the backlog; with fair
 * queueing it is next.
 */
START_TEST(hot_caller_delays_only_itself)
{
	fake_target_t *target = create_target(4, 0);
	fake_call_t *other;
	int i;

	for (i = 0; i < 150; i++)
		submit_pull(target, 1, 0);
	other = submit_pull(target, 2, 0);
	fake_advance(target, 2 * FAKE_S);
	ck_assert_int_eq(other->state, FAKE_ANSWERED);
	ck_assert_uint_le(other->ended_us - other->submitted_us, 30 * FAKE_MS);
	fake_target_destroy(target);
}
END_TEST

/*
 * 150 callers request the same key, once each, as when a newspaper links to one
 * map. A caller of another key must not wait behind them, and neither must a
 * caller of the hot key that requests another key afterwards.
 */
START_TEST(hot_key_delays_only_itself)
{
	fake_target_t *target = create_target(4, 0);
	fake_call_t *other, *again;
	int i;

	for (i = 0; i < 150; i++)
		submit_pull(target, 1 + i, 7);
	other = submit_pull(target, 1000, 8);
	again = submit_pull(target, 100, 9);
	fake_advance(target, 2 * FAKE_S);
	ck_assert_int_eq(other->state, FAKE_ANSWERED);
	ck_assert_uint_le(other->ended_us - other->submitted_us, 30 * FAKE_MS);
	ck_assert_int_eq(again->state, FAKE_ANSWERED);
	ck_assert_uint_le(again->ended_us - again->submitted_us, 40 * FAKE_MS);
	fake_target_destroy(target);
}
END_TEST

/*
 * One caller has filled the queue. The call of another caller must not be
 * refused for that: the last call of the first caller is evicted and refused at
 * once.
 */
START_TEST(full_queue_evicts_call_of_hot_caller)
{
	fake_target_t *target = create_target(1, 8);
	fake_call_t *other;
	int i;

	for (i = 0; i < 9; i++)
		submit_pull(target, 1, 0);
	other = submit_pull(target, 2, 0);
	ck_assert_int_eq(other->state, FAKE_QUEUED);
	ck_assert_uint_eq(fake_count(target, 0, FAKE_REFUSED), 1);
	ck_assert_int_eq(submit_pull(target, 1, 0)->refusal.reason,
			 DY_ADMISSION_FULL);
	fake_advance(target, FAKE_S);
	ck_assert_int_eq(other->state, FAKE_ANSWERED);
	fake_target_destroy(target);
}
END_TEST

/*
 * The service time of a target rises from 10 ms to 300 ms, and callers time out
 * after 500 ms. Calls must not be answered late one after another: the agent
 * adapts its estimate and refuses calls that would end late, without running
 * them.
 */
START_TEST(slow_target_refuses_calls_that_would_be_late)
{
	fake_target_t *target = create_target(4, 0);
	unsigned from, late;
	int i;

	fake_train(target, PULL, 10 * FAKE_MS);
	from = target->calls->len;
	for (i = 0; i < 300; i++) {
		fake_submit(target, &pull, 300 * FAKE_MS, 500 * FAKE_MS);
		fake_advance(target, 10 * FAKE_MS);
	}
	fake_advance(target, FAKE_S);
	late = fake_count(target, from, FAKE_ABANDONED);
	ck_assert_uint_ge(fake_count_in_time(target, from), 30);
	ck_assert_uint_le(late, 8);
	ck_assert_uint_eq(fake_count(target, from, FAKE_REFUSED),
			  300 - late - fake_count_in_time(target, from));
	ck_assert_uint_le(fake_longest_refusal_us(target, from), 260 * FAKE_MS);
	fake_target_destroy(target);
}
END_TEST

/*
 * A target stalls with all slots in use. Queued calls must be refused long
 * before their deadline, with a retry delay. Once the target has recovered
 * calls must run again, although no sample was added in between.
 */
START_TEST(stalled_target_refuses_queued_calls_early)
{
	fake_target_t *target = create_target(4, 0);
	fake_call_t *call;
	unsigned from;
	int i;

	fake_train(target, PULL, 10 * FAKE_MS);
	from = target->calls->len;
	for (i = 0; i < 40; i++) {
		fake_submit(target, &pull, FAKE_NEVER, 2 * FAKE_S);
		fake_advance(target, 50 * FAKE_MS);
	}
	fake_advance(target, 2 * FAKE_S);
	ck_assert_uint_ge(fake_count(target, from, FAKE_REFUSED), 30);
	ck_assert_uint_le(fake_longest_refusal_us(target, from),
			  1050 * FAKE_MS);
	call = g_ptr_array_index(target->calls, from + 20);
	ck_assert_uint_ge(call->refusal.retry_after_ms, 50);
	fake_advance(target, 4 * FAKE_S);
	call = fake_submit(target, &pull, 10 * FAKE_MS, FAKE_S);
	fake_advance(target, 50 * FAKE_MS);
	ck_assert_int_eq(call->state, FAKE_ANSWERED);
	fake_target_destroy(target);
}
END_TEST

/*
 * The agent's VM is suspended for a minute while calls run and wait. The queued
 * calls are refused as late. The minute must not count as service time of the
 * target: every new call would be refused for seconds.
 */
START_TEST(vm_suspension_adds_no_service_time_sample)
{
	fake_target_t *target = create_target(2, 0);
	fake_call_t *call;
	unsigned from;
	int i;

	fake_train(target, PULL, 10 * FAKE_MS);
	from = target->calls->len;
	for (i = 0; i < 6; i++)
		fake_submit(target, &pull, 10 * FAKE_MS, FAKE_S);
	target->now_us += 60 * FAKE_S;
	fake_advance(target, FAKE_MS);
	ck_assert_uint_eq(fake_count(target, from, FAKE_REFUSED), 4);
	call = fake_submit(target, &pull, 10 * FAKE_MS, FAKE_S);
	ck_assert_int_eq(call->state, FAKE_RUNNING);
	fake_advance(target, 20 * FAKE_MS);
	ck_assert_int_eq(call->state, FAKE_ANSWERED);
	fake_target_destroy(target);
}
END_TEST

/*
 * The clock goes back by half a second while a call runs. A negative service
 * time would wrap to centuries, and each later call would be refused because it
 * cannot end in time.
 */
START_TEST(ignores_clock_that_goes_back)
{
	fake_target_t *target = create_target(1, 0);
	fake_call_t *first = submit_pull(target, 1, 0);
	fake_call_t *second = submit_pull(target, 2, 0);

	target->now_us -= 500 * FAKE_MS;
	dy_admission_finish(target->admission, &first->item,
			    DY_ADMISSION_ANSWERED, target->now_us);
	ck_assert_ptr_eq(dy_admission_next(target->admission, target->now_us),
			 &second->item);
	dy_admission_finish(target->admission, &second->item,
			    DY_ADMISSION_ANSWERED, target->now_us);
	ck_assert_int_eq(submit_pull(target, 3, 0)->state, FAKE_RUNNING);
	fake_target_destroy(target);
}
END_TEST

/*
 * Long calls take 500 ms, short ones 10 ms. 20 long calls arrive, then short
 * calls. Without reserved slots each short call would wait for a long one to
 * end.
 */
START_TEST(short_calls_overtake_long_calls)
{
	fake_target_t *target = create_target(4, 0);
	unsigned from;
	int i;

	fake_train(target, PULL, 10 * FAKE_MS);
	fake_train(target, LONG_PULL, 500 * FAKE_MS);
	submit_pull(target, 1, 0);
	for (i = 0; i < 20; i++)
		fake_submit(target, &long_pull, 500 * FAKE_MS, 20 * FAKE_S);
	from = target->calls->len;
	for (i = 0; i < 50; i++) {
		fake_submit(target, &pull, 10 * FAKE_MS, 100 * FAKE_MS);
		fake_advance(target, 20 * FAKE_MS);
	}
	ck_assert_uint_eq(fake_count_in_time(target, from), 50);
	fake_advance(target, 20 * FAKE_S);
	ck_assert_uint_eq(fake_count_in_time(target, from - 20), 70);
	fake_target_destroy(target);
}
END_TEST

/* Submits `load` times the capacity of four slots for three seconds. */
static void offer(fake_target_t *target, const dy_admission_item_t *template,
		  unsigned load)
{
	unsigned ms, i;

	for (ms = 0; ms < 3000; ms += 5) {
		for (i = 0; i < 2 * load; i++)
			fake_submit(target, template, 10 * FAKE_MS, FAKE_S);
		fake_advance(target, 5 * FAKE_MS);
	}
	fake_advance(target, FAKE_S);
}

/*
 * Pulls arrive at two or five times the capacity of the target, for seconds. In
 * FIFO order every call would soon be answered late. As many calls as fit must
 * be answered in time and the others refused well before their deadline. During
 * a lasting overload the answered calls must not wait in a long queue.
 */
START_TEST(overload_answers_calls_up_to_capacity)
{
	fake_target_t *target = create_target(4, 0);
	fake_call_t *call;
	guint i;

	offer(target, &pull, _i);
	ck_assert_uint_ge(fake_count_in_time(target, 0), 1100);
	ck_assert_uint_eq(fake_count(target, 0, FAKE_ABANDONED), 0);
	ck_assert_uint_eq(fake_count_in_time(target, 0) +
				  fake_count(target, 0, FAKE_REFUSED),
			  target->calls->len);
	ck_assert_uint_le(fake_longest_refusal_us(target, 0), 520 * FAKE_MS);
	for (i = target->calls->len * 2 / 3; i < target->calls->len; i++) {
		call = g_ptr_array_index(target->calls, i);
		if (call->state == FAKE_ANSWERED)
			ck_assert_uint_le(call->ended_us - call->submitted_us,
					  200 * FAKE_MS);
	}
	fake_target_destroy(target);
}
END_TEST

/*
 * Pulls arrive at three times the capacity while submissions arrive at a sixth
 * of it; or submissions at three times the capacity, as when stations catch up
 * on a night, while pulls arrive at a twelfth, within the tenth that is
 * reserved for pulls. Neither may starve the other.
 */
START_TEST(pulls_and_submissions_do_not_starve_each_other)
{
	fake_target_t *target = create_target(4, 0);
	const dy_admission_item_t *frequent = _i ? &submission : &pull;
	const dy_admission_item_t *rare = _i ? &pull : &submission;
	unsigned every_ms = _i ? 30 : 15;
	unsigned good = 0, n = 0, ms, i;
	fake_call_t *calls[300];

	for (ms = 0; ms < 3000; ms += 5) {
		for (i = 0; i < 6; i++)
			fake_submit(target, frequent, 10 * FAKE_MS, FAKE_S);
		if (ms % every_ms == 0)
			calls[n++] =
				fake_submit(target, rare, 10 * FAKE_MS, FAKE_S);
		fake_advance(target, 5 * FAKE_MS);
	}
	fake_advance(target, FAKE_S);
	for (i = 0; i < n; i++)
		good += calls[i]->state == FAKE_ANSWERED;
	ck_assert_uint_eq(n, 3000 / every_ms);
	ck_assert_uint_ge(good, n * 97 / 100);
	ck_assert_uint_ge(fake_count_in_time(target, 0), 1100);
	fake_target_destroy(target);
}
END_TEST

/*
 * The target reduces its slots from four to one. The three calls that run
 * beyond that are not aborted, and no call starts before they end.
 */
START_TEST(slot_reduction_aborts_no_running_call)
{
	fake_target_t *target = create_target(4, 0);
	dy_admission_load_t load;
	int i;

	for (i = 0; i < 10; i++)
		submit_pull(target, 1 + i, 0);
	dy_admission_set_slots(target->admission, 1);
	fake_advance(target, 10 * FAKE_MS);
	ck_assert_uint_eq(target->running, 1);
	target->max_running = 0;
	fake_advance(target, FAKE_S);
	ck_assert_uint_eq(fake_count_in_time(target, 0), 10);
	ck_assert_uint_le(target->max_running, 1);
	dy_admission_set_slots(target->admission, 0);
	ck_assert_int_eq(submit_pull(target, 1, 0)->state, FAKE_REFUSED);
	dy_admission_load(target->admission, target->now_us, &load);
	ck_assert_uint_eq(load.expected_wait_us, 3600 * FAKE_S);
	fake_target_destroy(target);
}
END_TEST

START_TEST(cancelled_call_never_runs)
{
	fake_target_t *target = create_target(1, 0);
	fake_call_t *first = submit_pull(target, 1, 0);
	fake_call_t *second = submit_pull(target, 2, 0);
	dy_admission_load_t load;

	ck_assert(!dy_admission_cancel(target->admission, &first->item));
	ck_assert(dy_admission_cancel(target->admission, &second->item));
	ck_assert(!dy_admission_cancel(target->admission, &second->item));
	fake_advance(target, 100 * FAKE_MS);
	ck_assert_int_eq(second->state, FAKE_QUEUED);
	dy_admission_load(target->admission, target->now_us, &load);
	ck_assert_uint_eq(load.in_flight + load.queued, 0);
	fake_target_destroy(target);
}
END_TEST

/*
 * Some 500 callers are refused within a moment. With the same retry delay all
 * would return together and be refused again; the delays must be spread over
 * the time that their calls take.
 */
START_TEST(spreads_retries_of_refused_callers)
{
	fake_target_t *target = create_target(4, 0);
	unsigned in_100_ms[320] = { 0 };
	unsigned most = 0, refused = 0;
	fake_call_t *call;
	guint i;

	fake_train(target, PULL, 10 * FAKE_MS);
	for (i = 0; i < 700; i++)
		submit_pull(target, 1 + i, 0);
	for (i = 20; i < target->calls->len; i++) {
		call = g_ptr_array_index(target->calls, i);
		if (call->state != FAKE_REFUSED)
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

	tcase_add_test(tcase, queues_and_answers_burst);
	tcase_add_test(tcase, hot_caller_delays_only_itself);
	tcase_add_test(tcase, hot_key_delays_only_itself);
	tcase_add_test(tcase, full_queue_evicts_call_of_hot_caller);
	tcase_add_test(tcase, slow_target_refuses_calls_that_would_be_late);
	tcase_add_test(tcase, stalled_target_refuses_queued_calls_early);
	tcase_add_test(tcase, vm_suspension_adds_no_service_time_sample);
	tcase_add_test(tcase, ignores_clock_that_goes_back);
	tcase_add_test(tcase, short_calls_overtake_long_calls);
	tcase_add_loop_test(tcase, overload_answers_calls_up_to_capacity, 2, 3);
	tcase_add_loop_test(tcase, overload_answers_calls_up_to_capacity, 5, 6);
	tcase_add_loop_test(
		tcase, pulls_and_submissions_do_not_starve_each_other, 0, 2);
	tcase_add_test(tcase, slot_reduction_aborts_no_running_call);
	tcase_add_test(tcase, cancelled_call_never_runs);
	tcase_add_test(tcase, spreads_retries_of_refused_callers);
	tcase_set_timeout(tcase, 60);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
