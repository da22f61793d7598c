#include "common_parts.h"

/* Time after which a balancer considers an opening lost. */
#define OPEN_TIMEOUT_US (500 * US_PER_MS)

/* Delay before a caller retries an opening without a given retry time. */
#define DEFAULT_OPEN_RETRY_US (1 * US_PER_S)

/* Attempts of one opening by a balancer, and the backoff between them. */
#define OPEN_ATTEMPTS_MAX 3
#define OPEN_BACKOFF_MS 50
#define OPEN_BACKOFF_MAX_MS 500

/* Calls that a caller has queued by the time its flow reopens. */
#define BACKLOG_CALLS 2

typedef enum open_end { OPEN_ADMITTED, OPEN_AT_CAP, OPEN_DEFERRED } open_end_t;

typedef struct opening {
	dy_list_t link; /* in world::openings */
	world_t *world;
	flow_t *flow;
	balancer_t *balancer;
	agent_t *agent;
	uint32_t attempts;
	open_end_t end;
	uint32_t retry_after_ms;
	dy_pick_report_t report;
} opening_t;

static void send_opening(void *context, void *argument);

balancer_t *balancer_pick_random(world_t *world)
{
	balancer_t *balancer;

	do
		balancer = &world->balancers[g_rand_int_range(
			world->rand, 0, (gint32)world->setting->balancers)];
	while (!balancer->is_up);
	return balancer;
}

static void destroy_opening(opening_t *opening)
{
	dy_list_remove(&opening->link);
	g_free(opening);
}

void flow_destroy_openings(world_t *world)
{
	dy_list_t *pos, *tmp;

	DY_LIST_EACH_SAFE(pos, tmp, &world->openings)
	destroy_opening(DY_LIST_ITEM(pos, opening_t, link));
}

static void start_opening(void *context, void *argument)
{
	world_t *world = context;
	opening_t *opening = g_new0(opening_t, 1);

	dy_list_append(&world->openings, &opening->link);
	opening->world = world;
	opening->flow = argument;
	opening->balancer = balancer_pick_random(world);
	dy_retry_budget_deposit(&opening->balancer->retries);
	heap_add(world->heap, heap_now(world->heap) + world->setting->caller_us,
		 send_opening, NULL, opening);
}

void flow_open(world_t *world, flow_t *flow)
{
	if (flow->is_opening)
		return;
	flow->is_opening = 1;
	start_opening(world, flow);
}

void flow_close(world_t *world, flow_t *flow)
{
	if (flow->target < 0)
		return;
	world->agents[flow->target].sessions--;
	flow->target = -1;
	flow->closed_us = heap_now(world->heap);
}

/* Ends this opening; the caller starts another one after after_us. */
static void retry_from_caller(opening_t *opening, uint64_t after_us)
{
	world_t *world = opening->world;

	heap_add(world->heap, heap_now(world->heap) + after_us, start_opening,
		 world, opening->flow);
	destroy_opening(opening);
}

/* Picks a target again if the retry budget allows; else the caller retries. */
static void retry_from_balancer(opening_t *opening)
{
	world_t *world = opening->world;
	uint32_t wait_ms;

	world->result->opens_failed++;
	if (world_withholds(world, WITHHOLD_RETRY_BUDGET)) {
		send_opening(NULL, opening);
		return;
	}
	if (world_withholds(world, PLAIN_FIFO) ||
	    ++opening->attempts >= OPEN_ATTEMPTS_MAX ||
	    !dy_retry_budget_withdraw(&opening->balancer->retries,
				      DY_RETRY_IDEMPOTENT)) {
		retry_from_caller(opening, DEFAULT_OPEN_RETRY_US);
		return;
	}
	wait_ms = dy_retry_backoff_ms(opening->attempts, OPEN_BACKOFF_MS,
				      OPEN_BACKOFF_MAX_MS, world->rand);
	heap_add(world->heap, heap_now(world->heap) + wait_ms * US_PER_MS,
		 send_opening, NULL, opening);
}

static void open_timed_out(void *context, void *argument)
{
	opening_t *opening = argument;

	(void)context;
	dy_pick_note_failure(&opening->balancer->targets[opening->agent->index],
			     1, world_now_ms(opening->world));
	retry_from_balancer(opening);
}

static void flow_opened(opening_t *opening)
{
	world_t *world = opening->world;
	flow_t *flow = opening->flow;
	uint64_t now_us = heap_now(world->heap);
	int i;

	flow->target = (int)opening->agent->index;
	flow->is_opening = 0;
	if (flow->closed_us >= WARM_UP_US)
		samples_add(&world->result->open_ms,
			    (double)(now_us - flow->closed_us) / US_PER_MS);
	for (i = 0; flow->is_reconnecting && i < BACKLOG_CALLS; i++)
		call_issue(world, flow, CLASS_SUBMISSION);
	flow->is_reconnecting = 0;
	if (!opening->agent->is_up) {
		flow->target = -1;
		flow->closed_us = now_us;
		flow_open(world, flow);
	}
	destroy_opening(opening);
}

static void opening_answered(void *context, void *argument)
{
	opening_t *opening = argument;
	world_t *world = opening->world;

	(void)context;
	dy_pick_note_answer(&opening->balancer->targets[opening->agent->index],
			    &opening->report, 1, world_now_ms(world));
	switch (opening->end) {
	case OPEN_ADMITTED:
		flow_opened(opening);
		break;
	case OPEN_AT_CAP:
		if (!world_withholds(world, WITHHOLD_REFUSALS))
			dy_pick_note_refusal(
				&opening->balancer
					 ->targets[opening->agent->index]);
		retry_from_balancer(opening);
		break;
	case OPEN_DEFERRED:
		world->result->opens_deferred++;
		retry_from_caller(opening, opening->retry_after_ms * US_PER_MS);
		break;
	}
}

static void admit_opening(opening_t *opening)
{
	world_t *world = opening->world;
	agent_t *agent = opening->agent;
	dy_admission_load_t load;
	uint32_t retry_after_ms = 0;

	dy_admission_load(agent->admission, heap_now(world->heap), &load);
	dy_session_rate_limit_adapt(&agent->session_limit,
				    load.expected_wait_us / US_PER_MS,
				    world_now_ms(world));
	opening->end = OPEN_ADMITTED;
	if (agent->sessions >= world->setting->session_cap) {
		opening->end = OPEN_AT_CAP;
	} else if (!world_withholds(world,
				    WITHHOLD_SESSION_RATE_LIMIT | PLAIN_FIFO) &&
		   heap_now(world->heap) > WARM_UP_US) {
		retry_after_ms = dy_session_rate_limit_admit(
			&agent->session_limit, world->rand,
			world_now_ms(world));
	}
	if (retry_after_ms) {
		opening->end = OPEN_DEFERRED;
		opening->retry_after_ms = retry_after_ms;
	}
	if (opening->end == OPEN_ADMITTED)
		agent->sessions++;
}

static void opening_at_agent(void *context, void *argument)
{
	opening_t *opening = argument;
	world_t *world = opening->world;
	agent_t *agent = opening->agent;
	uint64_t now_us = heap_now(world->heap);

	(void)context;
	if (!agent->is_up) {
		heap_add(world->heap, now_us + OPEN_TIMEOUT_US, open_timed_out,
			 NULL, opening);
		return;
	}
	admit_opening(opening);
	agent_report(agent, &opening->report);
	heap_add(world->heap,
		 now_us + world_hop_us(world, opening->balancer, agent),
		 opening_answered, NULL, opening);
}

static uint64_t free_capacity(const dy_pick_target_t *target)
{
	uint64_t sessions = target->sessions + target->pending;
	uint64_t work = (uint64_t)target->in_flight + target->queued;

	if (target->draining || !target->slots ||
	    sessions >= target->session_cap)
		return 0;
	return (target->session_cap - sessions) * 100 * target->slots /
	       (target->slots + work);
}

/* Picks by one of the algorithms that the module is compared with. */
static int pick_alternative(world_t *world, balancer_t *balancer)
{
	uint32_t n = world->setting->targets;
	uint64_t total = 0, weight, best = 0;
	int least = -1;
	uint32_t i;

	if (!n)
		return -1;
	for (i = 0; i < n; i++) {
		weight = free_capacity(&balancer->targets[i]);
		total += weight;
		if (weight > best) {
			best = weight;
			least = (int)i;
		}
	}
	if (world->policy->pick == PICK_ROUND_ROBIN) {
		do
			i = balancer->next_target++ % n;
		while (balancer->targets[i].draining);
		return (int)i;
	}
	if (world->policy->pick == PICK_LEAST || !total)
		return least;
	best = (uint64_t)(g_rand_double(world->rand) * (double)total);
	for (i = 0; i < n - 1; i++) {
		weight = free_capacity(&balancer->targets[i]);
		if (best < weight)
			break;
		best -= weight;
	}
	return (int)i;
}

static int pick(world_t *world, balancer_t *balancer)
{
	if (world->policy->pick != PICK_MODULE)
		return pick_alternative(world, balancer);
	return dy_pick(&balancer->config, balancer->targets,
		       world->setting->targets, world->rand,
		       world_now_ms(world));
}

static void send_opening(void *context, void *argument)
{
	opening_t *opening = argument;
	world_t *world = opening->world;
	balancer_t *balancer = opening->balancer;
	int chosen = pick(world, balancer);

	(void)context;
	if (chosen < 0) {
		world->result->opens_failed++;
		retry_from_caller(opening, DEFAULT_OPEN_RETRY_US);
		return;
	}
	world->result->opens++;
	opening->agent = &world->agents[chosen];
	dy_pick_note_opening(&balancer->targets[chosen], world_now_ms(world));
	if (world_withholds(world, WITHHOLD_PENDING))
		balancer->targets[chosen].pending = 0;
	heap_add(world->heap,
		 heap_now(world->heap) +
			 world_hop_us(world, balancer, opening->agent),
		 opening_at_agent, NULL, opening);
}
