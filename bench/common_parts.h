#ifndef COMMON_PARTS_H
#define COMMON_PARTS_H

/*
 * Private types and functions of the simulation in common_world.h. Times of
 * the simulation are in microseconds since its start.
 */

#include "common_heap.h"
#include "common_world.h"
#include "damaskyard/rate_limit.h"

#define US_PER_MS 1000ULL
#define US_PER_S 1000000ULL

/* One-way delay inside a failure domain. */
#define LOCAL_HOP_US 100

#define BALANCERS_MAX 8

/* Calls issued, and flows closed, before this time are not counted. */
#define WARM_UP_US (1 * US_PER_S)

/* Time of the event of a pattern, such as a failure or a burst. */
#define EVENT_US (2 * US_PER_S)

/* Service time of a long call, as a multiple of a short one's. */
#define LONG_FACTOR 50

typedef struct world world_t;

typedef struct agent {
	world_t *world;
	uint32_t index;
	uint32_t domain;
	int is_up;
	int tick_pending;     /* a tick event is scheduled */
	uint32_t incarnation; /* calls of an earlier one are lost */
	uint32_t sessions;
	uint64_t joined_us; /* 0: up from the start, not cold */
	dy_admission_t *admission;
	dy_session_rate_limit_t session_limit;
	GQueue fifo; /* replaces admission under PLAIN_FIFO */
	uint32_t fifo_in_flight;
} agent_t;

typedef struct balancer {
	uint32_t index;
	uint32_t domain;
	int is_up;
	uint32_t next_target; /* for round robin */
	dy_pick_config_t config;
	dy_pick_target_t targets[WORLD_TARGETS_MAX];
	dy_retry_budget_t retries;
} balancer_t;

typedef struct flow {
	uint32_t number;
	int target; /* -1: not open */
	int is_opening;
	/* Reopens with all others and then sends its backlog of calls. */
	int is_reconnecting;
	uint64_t closed_us;
} flow_t;

typedef enum call_end {
	CALL_ANSWERED,
	CALL_REFUSED,
	CALL_MAY_HAVE_RUN
} call_end_t;

typedef struct call {
	dy_admission_item_t item;
	dy_list_t link; /* in world::calls */
	world_t *world;
	flow_t *flow;
	call_class_t klass;
	balancer_t *balancer;
	agent_t *agent;
	uint64_t issued_us;
	uint64_t tried_us; /* last attempt */
	uint64_t deadline_us;
	uint64_t service_us;
	uint64_t key;
	int is_counted;
	uint32_t incarnation;
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
	dy_list_t calls;    /* not ended yet */
	dy_list_t openings; /* not ended yet */
};

/* Returns whether the policy withholds any of the inputs (WITHHOLD_...). */
static inline int world_withholds(const world_t *world, unsigned inputs)
{
	return (world->policy->withheld & inputs) != 0;
}

/*
 * Returns the time for the modules, in milliseconds. It starts at one hour, so
 * that targets which exist from time 0 are not cold.
 */
static inline uint64_t world_now_ms(const world_t *world)
{
	return heap_now(world->heap) / US_PER_MS + 3600 * 1000;
}

/* Returns the one-way delay between a balancer and an agent. */
uint64_t world_hop_us(const world_t *world, const balancer_t *balancer,
		      const agent_t *agent);

/* Returns a random time with this mean: half constant, half exponential. */
uint64_t world_draw_us(world_t *world, double mean);

/* Returns a random time to the next event of a Poisson process, rate per s. */
uint64_t world_draw_gap_us(world_t *world, double rate);

/* common_agent.c */

/* Initializes target `index`; free its memory with agent_clear(). */
void agent_init(agent_t *agent, world_t *world, uint32_t index);
/* Frees the agent's memory, not its calls. */
void agent_clear(agent_t *agent);
/* Restarts the agent with an empty queue; its earlier calls are lost. */
void agent_restart(agent_t *agent);
/* Runs, queues or refuses a call that arrived at an agent that is up. */
void agent_submit(agent_t *agent, call_t *call);
/* Writes the load that the agent reports with an answer. */
void agent_report(const agent_t *agent, dy_pick_report_t *report);
/* Returns the number of calls that run or wait. */
uint32_t agent_work(const agent_t *agent);

/* common_flow.c */

/* Returns a random balancer that is up. */
balancer_t *balancer_pick_random(world_t *world);
/* Starts to open a flow, unless it is being opened already. */
void flow_open(world_t *world, flow_t *flow);
/* Closes a flow; no effect if it is not open. */
void flow_close(world_t *world, flow_t *flow);
/* Frees the openings that have not ended. */
void flow_destroy_openings(world_t *world);

/* common_call.c */

/* Counts a call that gets no answer in time as late, and frees it. */
void call_lost(call_t *call);
/* Frees a call without counting it. */
void call_destroy(call_t *call);
/* Issues a new call of a flow; it is freed when it ends. */
void call_issue(world_t *world, flow_t *flow, call_class_t klass);
/* Sends an agent's answer to the caller; call->end and refusal are set. */
void call_send_answer(call_t *call);

#endif
