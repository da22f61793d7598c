#include <string.h>

#include "common_parts.h"

/* Interval at which the agent expires queued calls. */
#define EXPIRE_INTERVAL_US (50 * US_PER_MS)

/* Service time factor of a cold target; it falls to 1 over COLD_PERIOD_US. */
#define COLD_SERVICE_FACTOR 4.0
#define COLD_PERIOD_US (3 * US_PER_S)

/* Queue limit that holds the calls which the deadline test would refuse. */
#define NO_DEADLINE_QUEUE_LIMIT 1000

static void tick(void *context, void *argument);

static void agent_config(const world_t *world, dy_admission_config_t *config)
{
	dy_admission_config_init(config, world->setting->slots);
	if (world_withholds(world, WITHHOLD_SHORT_SLOT))
		config->reserved_short_slots = 0;
	if (world_withholds(world, WITHHOLD_DEADLINE)) {
		config->queue_limit = NO_DEADLINE_QUEUE_LIMIT;
		config->queue_wait_percent = 100;
		config->standing_queue_wait_percent = 100;
		config->default_budget_us = 1000 * US_PER_S;
	}
}

void agent_init(agent_t *agent, world_t *world, uint32_t index)
{
	dy_admission_config_t config;

	memset(agent, 0, sizeof(*agent));
	agent->world = world;
	agent->index = index;
	agent->domain = index % WORLD_DOMAINS;
	agent->is_up = !(world->pattern->target_joins &&
			 index == world->setting->targets - 1);
	agent_config(world, &config);
	agent->admission = dy_admission_create(&config, world->rand);
	dy_session_rate_limit_init(&agent->session_limit, world->setting->slots,
				   world_now_ms(world));
	g_queue_init(&agent->fifo);
}

void agent_clear(agent_t *agent)
{
	dy_admission_destroy(agent->admission);
	g_queue_clear(&agent->fifo);
}

void agent_restart(agent_t *agent)
{
	uint32_t incarnation = agent->incarnation + 1;

	agent_clear(agent);
	agent_init(agent, agent->world, agent->index);
	agent->incarnation = incarnation;
	agent->is_up = 1;
}

static int is_lost(const agent_t *agent, const call_t *call)
{
	return !agent->is_up || agent->incarnation != call->incarnation;
}

static double service_time_factor(const agent_t *agent)
{
	const pattern_t *pattern = agent->world->pattern;
	uint64_t now_us = heap_now(agent->world->heap);
	double age;

	if (!agent->index && pattern->slow_factor > 0 && now_us >= EVENT_US)
		return pattern->slow_factor;
	if (!agent->joined_us)
		return 1;
	age = (double)(now_us - agent->joined_us) / COLD_PERIOD_US;
	return age >= 1 ? 1
			: COLD_SERVICE_FACTOR - (COLD_SERVICE_FACTOR - 1) * age;
}

static int is_stalled(const agent_t *agent)
{
	return !agent->index && agent->world->pattern->target_stalls &&
	       heap_now(agent->world->heap) >= EVENT_US;
}

uint32_t agent_work(const agent_t *agent)
{
	dy_admission_load_t load;

	if (world_withholds(agent->world, PLAIN_FIFO))
		return agent->fifo_in_flight + agent->fifo.length;
	dy_admission_load(agent->admission, heap_now(agent->world->heap),
			  &load);
	return load.in_flight + load.queued;
}

void agent_report(const agent_t *agent, dy_pick_report_t *report)
{
	dy_admission_load_t load;

	memset(report, 0, sizeof(*report));
	report->slots = (uint16_t)agent->world->setting->slots;
	if (!agent->index && agent->world->pattern->reports_no_load &&
	    heap_now(agent->world->heap) >= EVENT_US)
		return;
	report->sessions = agent->sessions;
	if (world_withholds(agent->world, PLAIN_FIFO)) {
		report->in_flight = (uint16_t)agent->fifo_in_flight;
		report->queued = (uint16_t)agent->fifo.length;
		return;
	}
	dy_admission_load(agent->admission, heap_now(agent->world->heap),
			  &load);
	report->in_flight = (uint16_t)load.in_flight;
	report->queued = (uint16_t)load.queued;
	report->expected_wait_ms =
		(uint32_t)MIN(load.expected_wait_us / US_PER_MS, 100000);
}

static void finish_fifo_call(void *context, void *argument)
{
	agent_t *agent = context;
	call_t *call = argument;

	if (is_lost(agent, call)) {
		call_lost(call);
		return;
	}
	agent->fifo_in_flight--;
	call->end = CALL_ANSWERED;
	call_send_answer(call);
	call = g_queue_pop_head(&agent->fifo);
	if (call)
		agent_submit(agent, call);
}

static void submit_fifo(agent_t *agent, call_t *call)
{
	world_t *world = agent->world;

	if (agent->fifo_in_flight >= world->setting->slots) {
		g_queue_push_tail(&agent->fifo, call);
		return;
	}
	agent->fifo_in_flight++;
	if (is_stalled(agent))
		return;
	call->service_us = (uint64_t)((double)call->service_us *
				      service_time_factor(agent));
	heap_add(world->heap, heap_now(world->heap) + call->service_us,
		 finish_fifo_call, agent, call);
}

static void finish_call(void *context, void *argument);

/* The agent abandons a call at its deadline and cancels it at the target. */
static void run_call(agent_t *agent, call_t *call)
{
	world_t *world = agent->world;
	uint64_t now_us = heap_now(world->heap);
	uint64_t end_us;

	call->service_us = (uint64_t)((double)call->service_us *
				      service_time_factor(agent));
	end_us = now_us + call->service_us;
	call->end = CALL_ANSWERED;
	if (is_stalled(agent) || (end_us > call->deadline_us &&
				  !world_withholds(world, WITHHOLD_DEADLINE))) {
		end_us = MAX(call->deadline_us, now_us);
		call->end = CALL_MAY_HAVE_RUN;
	}
	heap_add(world->heap, end_us, finish_call, agent, call);
}

static void run_queued_calls(agent_t *agent)
{
	uint64_t now_us = heap_now(agent->world->heap);
	dy_admission_item_t *item;

	while ((item = dy_admission_next(agent->admission, now_us)))
		run_call(agent, DY_LIST_ITEM(item, call_t, item));
}

static void refuse_expired_calls(agent_t *agent)
{
	uint64_t now_us = heap_now(agent->world->heap);
	dy_admission_refusal_t refusal;
	dy_admission_item_t *item;
	call_t *call;

	while ((item = dy_admission_expire(agent->admission, now_us,
					   &refusal))) {
		call = DY_LIST_ITEM(item, call_t, item);
		call->end = CALL_REFUSED;
		call->refusal = refusal;
		call_send_answer(call);
	}
}

static void finish_call(void *context, void *argument)
{
	agent_t *agent = context;
	call_t *call = argument;
	dy_admission_end_t end = call->end == CALL_ANSWERED
					 ? DY_ADMISSION_ANSWERED
					 : DY_ADMISSION_ABANDONED;

	if (is_lost(agent, call)) {
		call_lost(call);
		return;
	}
	dy_admission_finish(agent->admission, &call->item, end,
			    heap_now(agent->world->heap));
	call_send_answer(call);
	run_queued_calls(agent);
	refuse_expired_calls(agent);
}

static void tick(void *context, void *argument)
{
	agent_t *agent = context;
	dy_admission_load_t load;

	(void)argument;
	agent->tick_pending = 0;
	if (!agent->is_up)
		return;
	refuse_expired_calls(agent);
	run_queued_calls(agent);
	dy_admission_load(agent->admission, heap_now(agent->world->heap),
			  &load);
	if (!load.in_flight && !load.queued)
		return;
	agent->tick_pending = 1;
	heap_add(agent->world->heap,
		 heap_now(agent->world->heap) + EXPIRE_INTERVAL_US, tick, agent,
		 NULL);
}

static void prepare_item(const world_t *world, call_t *call)
{
	dy_admission_item_t *item = &call->item;

	memset(item, 0, sizeof(*item));
	item->caller = world_withholds(world, WITHHOLD_CALLER)
			       ? 0
			       : call->flow->number + 1;
	item->key = world_withholds(world, WITHHOLD_KEY) ? 0 : call->key;
	item->deadline_us = world_withholds(world, WITHHOLD_DEADLINE)
				    ? 0
				    : call->deadline_us;
	item->procedure = call->klass == CLASS_SUBMISSION ? 1
			  : call->klass == CLASS_LONG	  ? 3
							  : 2;
	item->idempotent = world_withholds(world, WITHHOLD_IDEMPOTENCE)
				   ? 1
				   : call->klass != CLASS_SUBMISSION;
}

void agent_submit(agent_t *agent, call_t *call)
{
	world_t *world = agent->world;

	call->incarnation = agent->incarnation;
	if (world_withholds(world, PLAIN_FIFO)) {
		submit_fifo(agent, call);
		return;
	}
	prepare_item(world, call);
	switch (dy_admission_submit(agent->admission, &call->item,
				    heap_now(world->heap), &call->refusal)) {
	case DY_ADMISSION_RUN:
		run_call(agent, call);
		break;
	case DY_ADMISSION_QUEUED:
		refuse_expired_calls(agent);
		break;
	case DY_ADMISSION_REFUSED:
		call->end = CALL_REFUSED;
		call_send_answer(call);
		break;
	}
	if (!agent->tick_pending) {
		agent->tick_pending = 1;
		heap_add(world->heap,
			 heap_now(world->heap) + EXPIRE_INTERVAL_US, tick,
			 agent, NULL);
	}
}
