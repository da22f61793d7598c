#include <string.h>

#include "common_parts.h"

/* Time from the issue of a call to its deadline. */
#define SUBMISSION_BUDGET_US (2 * US_PER_S)
#define PULL_BUDGET_US (1 * US_PER_S)
#define LONG_BUDGET_US (10 * US_PER_S)

/* Number of keys that pulls request, besides the hot key. */
#define KEYS 10000
#define HOT_KEY 1

/* Delay before a caller retries a call whose flow is not open. */
#define NOT_OPEN_RETRY_US (100 * US_PER_MS)

/* Delay before a caller retries if retry times are withheld. */
#define DEFAULT_RETRY_US (200 * US_PER_MS)

static void send_call(void *context, void *argument);

static class_result_t *class_of(const call_t *call)
{
	return &call->world->result->classes[call->klass];
}

static uint64_t budget_us(call_class_t klass)
{
	if (klass == CLASS_SUBMISSION)
		return SUBMISSION_BUDGET_US;
	return klass == CLASS_LONG ? LONG_BUDGET_US : PULL_BUDGET_US;
}

void call_destroy(call_t *call)
{
	dy_list_remove(&call->link);
	g_free(call);
}

void call_lost(call_t *call)
{
	if (call->is_counted)
		class_of(call)->late++;
	call_destroy(call);
}

static void arrive_at_agent(void *context, void *argument)
{
	call_t *call = argument;

	(void)context;
	if (call->agent->is_up)
		agent_submit(call->agent, call);
	else
		call_lost(call);
}

static void arrive_at_balancer(void *context, void *argument)
{
	call_t *call = argument;
	world_t *world = call->world;
	dy_pick_target_t *target;

	(void)context;
	if (call->flow->target < 0) {
		send_call(world, call);
		return;
	}
	call->agent = &world->agents[call->flow->target];
	target = &call->balancer->targets[call->flow->target];
	dy_pick_note_call(target, world_now_ms(world));
	heap_add(world->heap,
		 heap_now(world->heap) +
			 world_hop_us(world, call->balancer, call->agent),
		 arrive_at_agent, NULL, call);
}

static void send_call(void *context, void *argument)
{
	world_t *world = context;
	call_t *call = argument;
	uint64_t now_us = heap_now(world->heap);

	if (now_us >= call->deadline_us) {
		call_lost(call);
		return;
	}
	if (call->flow->target < 0) {
		heap_add(world->heap, now_us + NOT_OPEN_RETRY_US, send_call,
			 world, call);
		return;
	}
	call->tried_us = now_us;
	if (call->is_counted)
		class_of(call)->tries++;
	call->balancer = balancer_pick_random(world);
	heap_add(world->heap, now_us + world->setting->caller_us,
		 arrive_at_balancer, NULL, call);
}

void call_issue(world_t *world, flow_t *flow, call_class_t klass)
{
	call_t *call = g_new0(call_t, 1);
	double mean = (double)world->setting->service_us;

	call->world = world;
	dy_list_append(&world->calls, &call->link);
	call->flow = flow;
	call->klass = klass;
	call->issued_us = heap_now(world->heap);
	call->deadline_us = call->issued_us + budget_us(klass);
	call->is_counted = call->issued_us >= WARM_UP_US;
	if (klass == CLASS_LONG)
		mean *= LONG_FACTOR;
	call->service_us = world_draw_us(world, mean);
	if (klass == CLASS_HOT && world->pattern->hot_key > 0)
		call->key = HOT_KEY;
	else if (klass != CLASS_SUBMISSION)
		call->key = 2 + g_rand_int_range(world->rand, 0, KEYS);
	if (call->is_counted)
		class_of(call)->issued++;
	send_call(world, call);
}

static void end_answered(call_t *call)
{
	class_result_t *result = class_of(call);
	uint64_t now_us = heap_now(call->world->heap);
	double wait_us =
		(double)(now_us - call->issued_us) - (double)call->service_us;

	if (call->is_counted) {
		samples_add(&result->wait_ms, wait_us / US_PER_MS);
		if (now_us <= call->deadline_us)
			result->good++;
		else
			result->late++;
	}
	call_destroy(call);
}

static void end_refused(call_t *call)
{
	class_result_t *result = class_of(call);

	if (call->is_counted && call->refusal.reason == DY_ADMISSION_FULL)
		result->refused_full++;
	else if (call->is_counted)
		result->refused_late++;
	call_destroy(call);
}

/* Retries at the refusal's retry time, if that is before the deadline. */
static void retry_refused(call_t *call)
{
	world_t *world = call->world;
	uint64_t now_us = heap_now(world->heap);
	uint64_t after_us = call->refusal.retry_after_ms * US_PER_MS;

	if (call->is_counted)
		samples_add(&class_of(call)->refusal_ms,
			    (double)(now_us - call->tried_us) / US_PER_MS);
	if (world_withholds(world, WITHHOLD_RETRY_TIME))
		after_us = DEFAULT_RETRY_US;
	if (now_us + after_us < call->deadline_us)
		heap_add(world->heap, now_us + after_us, send_call, world,
			 call);
	else
		end_refused(call);
}

static void arrive_at_caller(void *context, void *argument)
{
	call_t *call = argument;

	(void)context;
	switch (call->end) {
	case CALL_ANSWERED:
		end_answered(call);
		break;
	case CALL_REFUSED:
		retry_refused(call);
		break;
	case CALL_MAY_HAVE_RUN:
		if (call->is_counted)
			class_of(call)->may_have_run++;
		call_destroy(call);
		break;
	}
}

static void answer_at_balancer(void *context, void *argument)
{
	call_t *call = argument;
	world_t *world = call->world;
	dy_pick_target_t *target;

	(void)context;
	target = &call->balancer->targets[call->agent->index];
	dy_pick_note_answer(target, &call->report, 0, world_now_ms(world));
	if (call->end == CALL_REFUSED &&
	    !world_withholds(world, WITHHOLD_REFUSALS))
		dy_pick_note_refusal(target);
	heap_add(world->heap, heap_now(world->heap) + world->setting->caller_us,
		 arrive_at_caller, NULL, call);
}

void call_send_answer(call_t *call)
{
	world_t *world = call->world;

	agent_report(call->agent, &call->report);
	heap_add(world->heap,
		 heap_now(world->heap) +
			 world_hop_us(world, call->balancer, call->agent),
		 answer_at_balancer, NULL, call);
}
