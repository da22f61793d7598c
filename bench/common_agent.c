#include <string.h>

#include "common_parts.h"

/* The tick at which the agent lets its queue expire. */
#define TICK_US (50 * US_PER_MS)

/* A cold target takes so many times as long, falling over this time. */
#define COLD_FACTOR 4.0
#define COLD_US (3 * US_PER_S)

/* The queue that holds what the deadline test would have refused. */
#define UNSHED_QUEUE 1000

static void tick(void *context, void *argument);

static void agent_config(const world_t *world, dy_admission_config_t *config)
{
	dy_admission_config_init(config, world->setting->slots);
	if (world_hides(world, HIDE_SHORT_SLOT))
		config->reserved_short_slots = 0;
	if (world_hides(world, HIDE_DEADLINE)) {
		config->queue_limit = UNSHED_QUEUE;
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
	agent->is_up = !(world->pattern->joins &&
			 index == world->setting->targets - 1);
	agent_config(world, &config);
	agent->admission = dy_admission_create(&config, world->rand);
	dy_session_rate_limit_init(&agent->crowd, world->setting->slots,
				   world_now_ms(world));
	g_queue_init(&agent->fifo);
}

void agent_clear(agent_t *agent)
{
	dy_admission_destroy(agent->admission);
	g_queue_clear(&agent->fifo);
}

/* Back after a failure, with no memory of what it had. */
void agent_restart(agent_t *agent)
{
	uint32_t life = agent->life + 1;

	agent_clear(agent);
	agent_init(agent, agent->world, agent->index);
	agent->life = life;
	agent->is_up = 1;
}

static int is_gone(const agent_t *agent, const call_t *call)
{
	return !agent->is_up || agent->life != call->life;
}

static double slowness(const agent_t *agent)
{
	const pattern_t *pattern = agent->world->pattern;
	uint64_t now_us = heap_now(agent->world->heap);
	double age;

	if (!agent->index && pattern->slow > 0 && now_us >= EVENT_US)
		return pattern->slow;
	if (!agent->joined_us)
		return 1;
	age = (double)(now_us - agent->joined_us) / COLD_US;
	return age >= 1 ? 1 : COLD_FACTOR - (COLD_FACTOR - 1) * age;
}

static int is_stalled(const agent_t *agent)
{
	return !agent->index && agent->world->pattern->stalls &&
	       heap_now(agent->world->heap) >= EVENT_US;
}

uint32_t agent_work(const agent_t *agent)
{
	dy_admission_load_t load;

	if (world_hides(agent->world, PLAIN_FIFO))
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
	if (!agent->index && agent->world->pattern->lies &&
	    heap_now(agent->world->heap) >= EVENT_US)
		return;
	report->sessions = agent->sessions;
	if (world_hides(agent->world, PLAIN_FIFO)) {
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

static void finish_fifo(void *context, void *argument)
{
	agent_t *agent = context;
	call_t *call = argument;

	if (is_gone(agent, call)) {
		call_lost(call);
		return;
	}
	agent->fifo_in_flight--;
	call->end = CALL_ANSWERED;
	call_ended(call);
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
	call->service_us =
		(uint64_t)((double)call->service_us * slowness(agent));
	heap_add(world->heap, heap_now(world->heap) + call->service_us,
		 finish_fifo, agent, call);
}

static void finish(void *context, void *argument);

/* The agent gives a call up at its deadline and cancels it at the target. */
static void run(agent_t *agent, call_t *call)
{
	world_t *world = agent->world;
	uint64_t now_us = heap_now(world->heap);
	uint64_t end_us;

	call->service_us =
		(uint64_t)((double)call->service_us * slowness(agent));
	end_us = now_us + call->service_us;
	call->end = CALL_ANSWERED;
	if (is_stalled(agent) || (end_us > call->deadline_us &&
				  !world_hides(world, HIDE_DEADLINE))) {
		end_us = MAX(call->deadline_us, now_us);
		call->end = CALL_MAY_HAVE_RUN;
	}
	heap_add(world->heap, end_us, finish, agent, call);
}

static void run_queued(agent_t *agent)
{
	uint64_t now_us = heap_now(agent->world->heap);
	dy_admission_item_t *item;

	while ((item = dy_admission_next(agent->admission, now_us)))
		run(agent, DY_LIST_ITEM(item, call_t, item));
}

static void expire(agent_t *agent)
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
		call_ended(call);
	}
}

static void finish(void *context, void *argument)
{
	agent_t *agent = context;
	call_t *call = argument;
	dy_admission_end_t end = call->end == CALL_ANSWERED
					 ? DY_ADMISSION_ANSWERED
					 : DY_ADMISSION_ABANDONED;

	if (is_gone(agent, call)) {
		call_lost(call);
		return;
	}
	dy_admission_finish(agent->admission, &call->item, end,
			    heap_now(agent->world->heap));
	call_ended(call);
	run_queued(agent);
	expire(agent);
}

static void tick(void *context, void *argument)
{
	agent_t *agent = context;
	dy_admission_load_t load;

	(void)argument;
	agent->ticks = 0;
	if (!agent->is_up)
		return;
	expire(agent);
	run_queued(agent);
	dy_admission_load(agent->admission, heap_now(agent->world->heap),
			  &load);
	if (!load.in_flight && !load.queued)
		return;
	agent->ticks = 1;
	heap_add(agent->world->heap, heap_now(agent->world->heap) + TICK_US,
		 tick, agent, NULL);
}

static void prepare_item(const world_t *world, call_t *call)
{
	dy_admission_item_t *item = &call->item;

	memset(item, 0, sizeof(*item));
	item->caller =
		world_hides(world, HIDE_CALLER) ? 0 : call->flow->number + 1;
	item->key = world_hides(world, HIDE_KEY) ? 0 : call->key;
	item->deadline_us =
		world_hides(world, HIDE_DEADLINE) ? 0 : call->deadline_us;
	item->procedure = call->klass == CLASS_SUBMISSION ? 1
			  : call->klass == CLASS_LONG	  ? 3
							  : 2;
	item->idempotent = world_hides(world, HIDE_KIND)
				   ? 1
				   : call->klass != CLASS_SUBMISSION;
}

void agent_submit(agent_t *agent, call_t *call)
{
	world_t *world = agent->world;

	call->life = agent->life;
	if (world_hides(world, PLAIN_FIFO)) {
		submit_fifo(agent, call);
		return;
	}
	prepare_item(world, call);
	switch (dy_admission_submit(agent->admission, &call->item,
				    heap_now(world->heap), &call->refusal)) {
	case DY_ADMISSION_RUN:
		run(agent, call);
		break;
	case DY_ADMISSION_QUEUED:
		expire(agent);
		break;
	case DY_ADMISSION_REFUSED:
		call->end = CALL_REFUSED;
		call_ended(call);
		break;
	}
	if (!agent->ticks) {
		agent->ticks = 1;
		heap_add(world->heap, heap_now(world->heap) + TICK_US, tick,
			 agent, NULL);
	}
}
