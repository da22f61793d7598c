#include "fake_calls.h"

#include <string.h>

fake_target_t *fake_target_create(const dy_admission_config_t *config)
{
	fake_target_t *target = g_new0(fake_target_t, 1);

	target->rand = g_rand_new_with_seed(1);
	target->admission = dy_admission_create(config, target->rand);
	target->calls = g_ptr_array_new_with_free_func(g_free);
	target->now_us = FAKE_S;
	return target;
}

void fake_target_destroy(fake_target_t *target)
{
	dy_admission_destroy(target->admission);
	g_rand_free(target->rand);
	g_ptr_array_free(target->calls, TRUE);
	g_free(target);
}

static void start(fake_target_t *target, fake_call_t *call)
{
	g_assert_cmpint(call->state, ==, FAKE_QUEUED);
	call->state = FAKE_RUNNING;
	call->started_us = target->now_us;
	target->running++;
	target->max_running = MAX(target->max_running, target->running);
}

static void start_and_expire(fake_target_t *target)
{
	dy_admission_refusal_t refusal;
	dy_admission_item_t *item;
	fake_call_t *call;

	while ((item = dy_admission_next(target->admission, target->now_us)))
		start(target, DY_LIST_ITEM(item, fake_call_t, item));
	while ((item = dy_admission_expire(target->admission, target->now_us,
					   &refusal))) {
		call = DY_LIST_ITEM(item, fake_call_t, item);
		g_assert_cmpint(call->state, ==, FAKE_QUEUED);
		call->state = FAKE_REFUSED;
		call->ended_us = target->now_us;
		call->refusal = refusal;
	}
}

fake_call_t *fake_submit(fake_target_t *target,
			 const dy_admission_item_t *template,
			 uint64_t service_us, uint64_t budget_us)
{
	fake_call_t *call = g_new0(fake_call_t, 1);

	if (template)
		call->item = *template;
	call->service_us = service_us;
	call->submitted_us = target->now_us;
	call->deadline_us = target->now_us + budget_us;
	call->item.deadline_us = call->deadline_us;
	g_ptr_array_add(target->calls, call);
	switch (dy_admission_submit(target->admission, &call->item,
				    target->now_us, &call->refusal)) {
	case DY_ADMISSION_RUN:
		start(target, call);
		break;
	case DY_ADMISSION_QUEUED:
		start_and_expire(target);
		break;
	case DY_ADMISSION_REFUSED:
		call->state = FAKE_REFUSED;
		call->ended_us = target->now_us;
		break;
	}
	return call;
}

static void end_due_call(fake_target_t *target, fake_call_t *call)
{
	int is_answered = target->now_us >= call->started_us + call->service_us;

	if (call->state != FAKE_RUNNING ||
	    (!is_answered && target->now_us < call->deadline_us))
		return;
	call->state = is_answered ? FAKE_ANSWERED : FAKE_ABANDONED;
	call->ended_us = target->now_us;
	target->running--;
	dy_admission_finish(target->admission, &call->item,
			    is_answered ? DY_ADMISSION_ANSWERED
					: DY_ADMISSION_ABANDONED,
			    target->now_us);
}

void fake_advance(fake_target_t *target, uint64_t us)
{
	uint64_t until_us = target->now_us + us;
	guint i;

	while (target->now_us < until_us) {
		target->now_us += FAKE_MS;
		for (i = 0; i < target->calls->len; i++)
			end_due_call(target,
				     g_ptr_array_index(target->calls, i));
		start_and_expire(target);
	}
}

void fake_train(fake_target_t *target, uint32_t procedure, uint64_t service_us)
{
	dy_admission_item_t template = { .procedure = procedure,
					 .idempotent = 1 };
	int i;

	for (i = 0; i < 20; i++) {
		fake_submit(target, &template, service_us, 100 * service_us);
		fake_advance(target, service_us);
	}
}

unsigned fake_count_in_time(const fake_target_t *target, unsigned from)
{
	const fake_call_t *call;
	unsigned n = 0;
	guint i;

	for (i = from; i < target->calls->len; i++) {
		call = g_ptr_array_index(target->calls, i);
		n += call->state == FAKE_ANSWERED &&
		     call->ended_us <= call->deadline_us;
	}
	return n;
}

unsigned fake_count(const fake_target_t *target, unsigned from,
		    fake_call_state_t state)
{
	const fake_call_t *call;
	unsigned n = 0;
	guint i;

	for (i = from; i < target->calls->len; i++) {
		call = g_ptr_array_index(target->calls, i);
		n += call->state == state;
	}
	return n;
}

uint64_t fake_longest_refusal_us(const fake_target_t *target, unsigned from)
{
	const fake_call_t *call;
	uint64_t longest = 0;
	guint i;

	for (i = from; i < target->calls->len; i++) {
		call = g_ptr_array_index(target->calls, i);
		if (call->state == FAKE_REFUSED)
			longest = MAX(longest,
				      call->ended_us - call->submitted_us);
	}
	return longest;
}
