#include "common_world.h"

#include <math.h>
#include <string.h>

#include "common_parts.h"

#define SAMPLE_INTERVAL_US (20 * US_PER_MS)
#define END_US (WORLD_SECONDS * US_PER_S)

/* End of the run; all calls issued until END_US have their deadline before. */
#define DRAINED_US (END_US + 11 * US_PER_S)

/* Delay until membership tells the balancers of a failed target. */
#define MEMBERSHIP_DELAY_US (3 * US_PER_S)

#define OUTAGE_US (3 * US_PER_S)

/* Time within which all flows that an event closed reopen. */
#define REOPEN_WINDOW_MS 200

#define BURST_WINDOW_MS 50

/* Retry budget of a balancer: 10% of the openings, up to 14 at once. */
#define RETRY_PERMILLE 100
#define RETRY_BURST 14

/* A Poisson process of calls of one class. */
typedef struct source {
	world_t *world;
	double rate; /* per second */
	call_class_t klass;
	int flow; /* -1: a random one for each call */
} source_t;

const char *class_name(call_class_t klass)
{
	static const char *const names[] = { "submission", "pull", "long",
					     "hot" };

	return names[klass];
}

static void for_each_samples(result_t *result, void (*apply)(samples_t *))
{
	int i;

	for (i = 0; i < CLASSES; i++) {
		apply(&result->classes[i].wait_ms);
		apply(&result->classes[i].refusal_ms);
	}
	apply(&result->open_ms);
	apply(&result->work_max);
	apply(&result->work_variation);
	apply(&result->flow_max);
	apply(&result->flow_variation);
}

void result_init(result_t *result)
{
	memset(result, 0, sizeof(*result));
	for_each_samples(result, samples_init);
}

void result_clear(result_t *result)
{
	for_each_samples(result, samples_clear);
}

uint64_t world_hop_us(const world_t *world, const balancer_t *balancer,
		      const agent_t *agent)
{
	return balancer->domain == agent->domain ? LOCAL_HOP_US
						 : world->setting->hop_us;
}

static double draw_exponential(world_t *world)
{
	return -log(1 - g_rand_double(world->rand));
}

uint64_t world_draw_us(world_t *world, double mean)
{
	return 1 + (uint64_t)(mean * (0.5 + 0.5 * draw_exponential(world)));
}

uint64_t world_draw_gap_us(world_t *world, double rate)
{
	return 1 + (uint64_t)(draw_exponential(world) * US_PER_S / rate);
}

static flow_t *random_flow(world_t *world)
{
	return &world->flows[g_rand_int_range(world->rand, 0,
					      (gint32)world->setting->flows)];
}

static void issue_next_call(void *context, void *argument)
{
	source_t *source = context;
	world_t *world = source->world;
	uint64_t now_us = heap_now(world->heap);
	flow_t *flow = source->flow < 0 ? random_flow(world)
					: &world->flows[source->flow];

	(void)argument;
	if (now_us >= END_US)
		return;
	call_issue(world, flow, source->klass);
	heap_add(world->heap, now_us + world_draw_gap_us(world, source->rate),
		 issue_next_call, source, NULL);
}

static void add_source(world_t *world, source_t *source, call_class_t klass,
		       double load, double capacity, int flow)
{
	source->world = world;
	source->klass = klass;
	source->rate = load * capacity;
	source->flow = flow;
	if (load > 0)
		heap_add(world->heap, US_PER_S / 2, issue_next_call, source,
			 NULL);
}

static void churn_flow(void *context, void *argument)
{
	world_t *world = context;
	flow_t *flow = random_flow(world);
	double rate = world->pattern->churn_per_s * world->setting->flows;

	(void)argument;
	if (heap_now(world->heap) >= END_US)
		return;
	flow_close(world, flow);
	flow_open(world, flow);
	heap_add(world->heap,
		 heap_now(world->heap) + world_draw_gap_us(world, rate),
		 churn_flow, world, NULL);
}

static void sample_spread(world_t *world)
{
	double work[WORLD_TARGETS_MAX], flows[WORLD_TARGETS_MAX];
	result_t *result = world->result;
	spread_t spread;
	size_t n = 0;
	uint32_t i;

	for (i = 0; i < world->setting->targets; i++) {
		if (!world->agents[i].is_up)
			continue;
		work[n] = agent_work(&world->agents[i]);
		flows[n++] = world->agents[i].sessions;
	}
	spread = spread_of(work, n);
	samples_add(&result->work_max, spread.max_over_mean);
	samples_add(&result->work_variation, spread.variation);
	spread = spread_of(flows, n);
	samples_add(&result->flow_max, spread.max_over_mean);
	samples_add(&result->flow_variation, spread.variation);
}

static void sample(void *context, void *argument)
{
	world_t *world = context;
	uint64_t now_us = heap_now(world->heap);

	(void)argument;
	if (now_us >= END_US)
		return;
	if (now_us >= EVENT_US)
		sample_spread(world);
	heap_add(world->heap, now_us + SAMPLE_INTERVAL_US, sample, world, NULL);
}

static void reopen_flow(void *context, void *argument)
{
	flow_t *flow = argument;

	flow->is_reconnecting =
		heap_now(((world_t *)context)->heap) >= WARM_UP_US;
	flow_open(context, flow);
}

static void schedule_reopen(world_t *world, flow_t *flow)
{
	uint64_t after_ms = g_rand_int_range(world->rand, 0, REOPEN_WINDOW_MS);

	flow_close(world, flow);
	heap_add(world->heap, heap_now(world->heap) + after_ms * US_PER_MS,
		 reopen_flow, world, flow);
}

static void burst_call(void *context, void *argument)
{
	call_issue(context, argument, CLASS_PULL);
}

static void make_burst(world_t *world, double capacity)
{
	uint32_t calls = (uint32_t)(world->pattern->burst_s * capacity);
	uint64_t after_ms;

	for (; calls; calls--) {
		after_ms = g_rand_int_range(world->rand, 0, BURST_WINDOW_MS);
		heap_add(world->heap,
			 heap_now(world->heap) + after_ms * US_PER_MS,
			 burst_call, world, random_flow(world));
	}
}

/* Closes and reopens the flows of failed targets. */
static void break_flows(world_t *world)
{
	flow_t *flow;
	uint32_t i;

	for (i = 0; i < world->setting->flows; i++) {
		flow = &world->flows[i];
		if (flow->target < 0 || world->agents[flow->target].is_up)
			continue;
		world->result->broken_flows++;
		schedule_reopen(world, flow);
	}
}

static void fail_domain(world_t *world)
{
	uint32_t i;

	for (i = 0; i < world->setting->targets; i++)
		if (!world->agents[i].domain)
			world->agents[i].is_up = 0;
	for (i = 0; i < world->setting->balancers; i++)
		if (!world->balancers[i].domain)
			world->balancers[i].is_up = 0;
	break_flows(world);
}

static void fail_joined_target(void *context, void *argument)
{
	world_t *world = context;

	(void)argument;
	world->agents[world->setting->targets - 1].is_up = 0;
	break_flows(world);
}

static void end_outage(void *context, void *argument)
{
	world_t *world = context;
	uint32_t i;

	(void)argument;
	for (i = 0; i < world->setting->targets; i++)
		agent_restart(&world->agents[i]);
}

static void start_outage(world_t *world)
{
	uint32_t i;

	for (i = 0; i < world->setting->targets; i++)
		world->agents[i].is_up = 0;
	break_flows(world);
	heap_add(world->heap, heap_now(world->heap) + OUTAGE_US, end_outage,
		 world, NULL);
}

/* Updates the balancers' members: failed targets drain, others serve. */
static void update_members(void *context, void *argument)
{
	world_t *world = context;
	dy_pick_target_t *target;
	uint32_t b, i;

	(void)argument;
	for (b = 0; b < world->setting->balancers; b++)
		for (i = 0; i < world->setting->targets; i++) {
			target = &world->balancers[b].targets[i];
			target->draining = !world->agents[i].is_up;
		}
}

static void join_target(world_t *world)
{
	uint32_t last = world->setting->targets - 1;
	dy_pick_target_t *target;
	uint32_t b;

	world->agents[last].is_up = 1;
	world->agents[last].joined_us = heap_now(world->heap);
	for (b = 0; b < world->setting->balancers; b++) {
		target = &world->balancers[b].targets[last];
		target->cold_since_ms = world_now_ms(world);
		target->draining = 0;
	}
}

static double capacity_of(const world_t *world)
{
	return (double)world->setting->targets * world->setting->slots *
	       US_PER_S / (double)world->setting->service_us;
}

static void start_event(void *context, void *argument)
{
	world_t *world = context;
	uint32_t i;

	(void)argument;
	if (world->pattern->burst_s > 0)
		make_burst(world, capacity_of(world));
	if (world->pattern->domain_fails) {
		fail_domain(world);
		heap_add(world->heap,
			 heap_now(world->heap) + MEMBERSHIP_DELAY_US,
			 update_members, world, NULL);
	}
	if (world->pattern->target_joins)
		join_target(world);
	if (world->pattern->joined_target_fails)
		heap_add(world->heap, heap_now(world->heap) + OUTAGE_US,
			 fail_joined_target, world, NULL);
	if (world->pattern->outage)
		start_outage(world);
	for (i = 0; world->pattern->flows_reopen && i < world->setting->flows;
	     i++)
		schedule_reopen(world, &world->flows[i]);
}

static void init_balancer(world_t *world, uint32_t index)
{
	const setting_t *setting = world->setting;
	balancer_t *balancer = &world->balancers[index];
	dy_pick_config_t *config = &balancer->config;
	uint32_t i;

	memset(balancer, 0, sizeof(*balancer));
	balancer->index = index;
	balancer->domain = index % WORLD_DOMAINS;
	balancer->is_up = 1;
	balancer->next_target = index;
	dy_pick_config_init(config, setting->priority);
	config->balancers = setting->balancers;
	config->domain = (uint16_t)balancer->domain;
	if (world_withholds(world, WITHHOLD_SLOW_START))
		config->slow_start_ms = 0;
	if (world_withholds(world, WITHHOLD_EJECTION)) {
		config->eject_failures = UINT32_MAX;
		config->stall_ms = UINT32_MAX;
	}
	if (world_withholds(world, WITHHOLD_DOMAIN))
		config->local_bias_permille = 0;
	for (i = 0; i < setting->targets; i++) {
		dy_pick_target_init(
			&balancer->targets[i], (uint16_t)(i % WORLD_DOMAINS),
			(uint16_t)setting->slots, setting->session_cap, 0);
		balancer->targets[i].draining = !world->agents[i].is_up;
	}
	dy_retry_budget_init(&balancer->retries, RETRY_PERMILLE, RETRY_BURST);
}

static void init_world(world_t *world)
{
	uint32_t i;

	dy_list_init(&world->calls);
	dy_list_init(&world->openings);
	for (i = 0; i < world->setting->targets; i++)
		agent_init(&world->agents[i], world, i);
	for (i = 0; i < world->setting->balancers; i++)
		init_balancer(world, i);
	world->flows = g_new0(flow_t, world->setting->flows);
	for (i = 0; i < world->setting->flows; i++) {
		world->flows[i].number = i;
		world->flows[i].target = -1;
		heap_add(world->heap,
			 i * (US_PER_S / 2) / world->setting->flows,
			 reopen_flow, world, &world->flows[i]);
	}
}

static double joined_share(const world_t *world)
{
	uint32_t last = world->setting->targets - 1;
	uint32_t i, sum = 0;

	for (i = 0; i < last; i++)
		sum += world->agents[i].sessions;
	return sum ? (double)world->agents[last].sessions * last / sum : 0;
}

static void clear_world(world_t *world)
{
	dy_list_t *pos, *tmp;
	uint32_t i;

	DY_LIST_EACH_SAFE(pos, tmp, &world->calls)
	call_destroy(DY_LIST_ITEM(pos, call_t, link));
	flow_destroy_openings(world);
	for (i = 0; i < world->setting->targets; i++)
		agent_clear(&world->agents[i]);
	g_free(world->flows);
	heap_destroy(world->heap);
	g_rand_free(world->rand);
}

void world_run(const setting_t *setting, const pattern_t *pattern,
	       const policy_t *policy, uint32_t seed, result_t *result)
{
	world_t world = { .setting = setting,
			  .pattern = pattern,
			  .policy = policy,
			  .result = result };
	source_t sources[CLASSES + 1];
	double capacity;

	world.heap = heap_create();
	world.rand = g_rand_new_with_seed(seed);
	init_world(&world);
	capacity = capacity_of(&world);
	add_source(&world, &sources[0], CLASS_SUBMISSION, pattern->submissions,
		   capacity, -1);
	add_source(&world, &sources[1], CLASS_PULL, pattern->pulls, capacity,
		   -1);
	add_source(&world, &sources[2], CLASS_LONG, pattern->long_pulls,
		   capacity / LONG_FACTOR, -1);
	add_source(&world, &sources[3], CLASS_HOT, pattern->hot_caller,
		   capacity / setting->targets, 0);
	add_source(&world, &sources[4], CLASS_HOT, pattern->hot_key, capacity,
		   -1);
	if (pattern->churn_per_s > 0)
		heap_add(world.heap, US_PER_S, churn_flow, &world, NULL);
	heap_add(world.heap, US_PER_S, sample, &world, NULL);
	heap_add(world.heap, EVENT_US, start_event, &world, NULL);
	heap_run(world.heap, DRAINED_US);
	result->joined_share = joined_share(&world);
	clear_world(&world);
}
