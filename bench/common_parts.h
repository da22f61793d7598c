#ifndef COMMON_PARTS_H
#define COMMON_PARTS_H

/* What the fakes of common_world.h share among themselves. */

#include "common_heap.h"
#include "common_world.h"
#include "damaskyard/rate_limit.h"

#define US_PER_MS 1000ULL
#define US_PER_S 1000000ULL

/* One way inside a failure domain. */
#define LOCAL_HOP_US 100

#define BALANCERS_MAX 8

/* Outcomes before this are warm-up and not counted. */
#define WARM_UP_US (1 * US_PER_S)

/* When what a pattern is about happens. */
#define EVENT_US (2 * US_PER_S)

/* A long call takes so many times as long as a short one. */
#define LONG_FACTOR 50

typedef struct world world_t;

typedef struct agent {
	world_t *world;
	uint32_t index;
	uint32_t domain;
	int is_up;
	int ticks;
	uint32_t life; /* calls of an earlier one are gone */
	uint32_t sessions;
	uint64_t joined_us; /* 0: was there from the start, warm */
	dy_admission_t *admission;
	dy_session_rate_limit_t crowd;
	GQueue fifo; /* the baseline's queue */
	uint32_t fifo_in_flight;
} agent_t;

typedef struct balancer {
	uint32_t index;
	uint32_t domain;
	int is_up;
	uint32_t turn; /* of round robin */
	dy_pick_config_t config;
	dy_pick_target_t targets[WORLD_TARGETS_MAX];
	dy_retry_budget_t retries;
} balancer_t;

typedef struct flow {
	uint32_t number;
	int target; /* -1: not open */
	int is_opening;
	int is_crowd; /* opens anew with all others: its backlog comes too */
	uint64_t closed_us;
} flow_t;

typedef enum call_end {
	CALL_ANSWERED,
	CALL_REFUSED,
	CALL_MAY_HAVE_RUN
} call_end_t;

typedef struct call {
	dy_admission_item_t item;
	dy_list_t link; /* in the world's calls */
	world_t *world;
	flow_t *flow;
	call_class_t klass;
	balancer_t *balancer;
	agent_t *agent;
	uint64_t issued_us;
	uint64_t tried_us;
	uint64_t deadline_us;
	uint64_t service_us;
	uint64_t key;
	int is_counted;
	uint32_t life;
	call_end_t end;
	dy_admission_refusal_t refusal;
	dy_pick_report_t report;
} call_t;

struct world {
	const setting_t *setting;
	const pattern_t *pattern;
	const policy_t *policy;
	result_t *result;
	heap_t *heap;
	GRand *rand;
	agent_t agents[WORLD_TARGETS_MAX];
	balancer_t balancers[BALANCERS_MAX];
	flow_t *flows;
	dy_list_t calls;    /* all that have not ended */
	dy_list_t openings; /* the same */
};

static inline int world_hides(const world_t *world, unsigned what)
{
	return (world->policy->hide & what) != 0;
}

/* The targets of the start have been there for an hour. */
static inline uint64_t world_now_ms(const world_t *world)
{
	return heap_now(world->heap) / US_PER_MS + 3600 * 1000;
}

uint64_t world_hop_us(const world_t *world, const balancer_t *balancer,
		      const agent_t *agent);

/* A time spread around `mean`: half of it fixed, half exponential. */
uint64_t world_draw_us(world_t *world, double mean);

/* Time to the next of `rate` events a second. */
uint64_t world_draw_gap_us(world_t *world, double rate);

/* common_agent.c */
void agent_init(agent_t *agent, world_t *world, uint32_t index);
void agent_clear(agent_t *agent);
void agent_restart(agent_t *agent);
void agent_submit(agent_t *agent, call_t *call);
void agent_report(const agent_t *agent, dy_pick_report_t *report);
uint32_t agent_work(const agent_t *agent);

/* common_flow.c */
balancer_t *balancer_any(world_t *world);
void flow_open(world_t *world, flow_t *flow);
void flow_close(world_t *world, flow_t *flow);
void flow_forget_openings(world_t *world);

/* common_call.c */
void call_lost(call_t *call); /* with the agent it was at */
void call_destroy(call_t *call);
void call_issue(world_t *world, flow_t *flow, call_class_t klass);
void call_ended(call_t *call); /* by the agent: end and refusal are set */

#endif
