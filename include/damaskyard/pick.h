#ifndef DAMASKYARD_PICK_H
#define DAMASKYARD_PICK_H

/*
 * Selection of a target for a new flow. Each balancer decides on its own. No
 * I/O, no clock, no allocation. Flows last for hours and do not move, so a bad
 * choice lasts as long.
 *
 * Load pattern: mechanism; what happens without it
 * - many balancers share one report: power of two choices, counting own new
 *   flows; all flows of a report interval go to one target
 * - unequal load: prefer free slots and connections; a slow target gets as
 *   many flows as a fast one
 * - cold target: slow start; it is the emptiest, gets every flow, and stalls
 * - failed or stalled target: ejection, then probing by single flows; flows
 *   are opened to a dead target
 * - balancer loses its network: never eject most of a service; one bad link
 *   removes all targets
 * - target reports false load: trust in reports; a target that looks idle and
 *   refuses gets all flows
 * - avoided target recovers: penalties decay with the age of the report; the
 *   target is avoided for good, as no answer reports its recovery
 * - connections run out: each balancer uses its share of the free ones; flows
 *   above the cap are opened and refused
 *
 * Only the agent can enforce the cap of 2,000 connections; it refuses new
 * flows above it. The selection keeps balancers from reaching the cap.
 *
 * DY_PICK_SAMPLE bounds the work per call, however many targets share an
 * address: 110,000 targets behind 34,000 addresses are 3.2 per address on
 * average, but one address may have thousands.
 *
 * Times are in milliseconds of a monotonic clock.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* Targets sampled per call; services up to this size are sampled whole. */
#define DY_PICK_SAMPLE 16

/* Full trust in a target's reports. */
#define DY_PICK_TRUST_FULL 255

/*
 * One target as one balancer sees it. The owner sets the first block when the
 * target joins or its registration changes. The dy_pick_note_*() functions
 * maintain the rest, which dy_pick_target_init() initializes: all zero but
 * trust.
 */
typedef struct dy_pick_target {
	uint64_t cold_since_ms; /* time at which it joined or restarted */
	uint32_t session_cap;	/* maximum connections */
	uint16_t domain;	/* index of its failure domain */
	uint8_t draining;	/* never picked */

	uint8_t trust;		      /* in its reports, 0 to TRUST_FULL */
	uint16_t slots;		      /* from the last report */
	uint16_t in_flight;	      /* from the last report */
	uint16_t queued;	      /* from the last report */
	uint16_t failures;	      /* consecutive */
	uint32_t sessions;	      /* from the last report */
	uint32_t expected_wait_ms;    /* from the last report */
	uint32_t pending;	      /* own new flows without an answer yet */
	uint64_t report_ms;	      /* time of the last report; 0: none */
	uint64_t first_unanswered_ms; /* oldest unanswered send; 0: none */
	uint64_t failed_ms;	      /* time of the last failure; 0: none */
} dy_pick_target_t;

/* The load that an agent reports in an answer. */
typedef struct dy_pick_report {
	uint16_t slots;
	uint16_t in_flight;
	uint16_t queued;
	uint32_t sessions;
	uint32_t expected_wait_ms;
} dy_pick_report_t;

/* What to avoid first; set by the document. */
typedef enum dy_pick_priority {
	/* As for Ciel Noir: a broken stream loses a night's data. */
	DY_PICK_AVOID_BROKEN_FLOWS,
	/* As for Lakeshore: a full target lags while its users type. */
	DY_PICK_AVOID_IMBALANCE
} dy_pick_priority_t;

typedef struct dy_pick_config {
	dy_pick_priority_t priority;

	/* Number of balancers that share the flows, at least 1 (this one). */
	uint32_t balancers;

	/* Index of this balancer's own failure domain. */
	uint16_t domain;

	/*
	 * Largest difference in load, in thousandths of a full target, at
	 * which a target in the own domain is preferred.
	 */
	uint32_t local_bias_permille;

	/*
	 * Time until a new target gets its full share of flows. It is longer
	 * if broken flows are to be avoided, as young targets fail more often.
	 */
	uint32_t slow_start_ms;

	/* A target is stalled if a send is unanswered for this time. */
	uint32_t stall_ms;

	/* Consecutive failures that eject a target. */
	uint32_t eject_failures;

	/*
	 * Time after the last failure until an ejected target is probed, with
	 * one new flow at a time.
	 */
	uint32_t eject_ms;
} dy_pick_config_t;

/* Initialize *config with the defaults for a priority. */
void dy_pick_config_init(dy_pick_config_t *config, dy_pick_priority_t priority);

/*
 * Initialize *target as one that joined at cold_since_ms and has not reported
 * yet. slots and session_cap come from its registration.
 */
void dy_pick_target_init(dy_pick_target_t *target, uint16_t domain,
			 uint16_t slots, uint32_t session_cap,
			 uint64_t cold_since_ms);

/*
 * Choose a target for a new flow among n targets. Returns its index, or -1 if
 * all targets are draining or have no free connection: the caller then refuses
 * the flow as not run. Does not count the flow; call dy_pick_note_opening().
 */
int dy_pick(const dy_pick_config_t *config, const dy_pick_target_t *targets,
	    size_t n, GRand *rand, uint64_t now_ms);

/* Record that a new flow was sent to the target. */
void dy_pick_note_opening(dy_pick_target_t *target, uint64_t now_ms);

/*
 * Record that an opening sent to the target is waited for no longer, without an
 * answer or a failure.
 */
void dy_pick_note_dropped_opening(dy_pick_target_t *target);

/*
 * Record that a call of an open flow was sent to the target, so that a stall
 * is detected without new flows as well.
 */
void dy_pick_note_call(dy_pick_target_t *target, uint64_t now_ms);

/*
 * Record an answer of the target's agent and the load that it reports; report
 * is NULL if it carries none. opened is 1 if it answers a new flow.
 */
void dy_pick_note_answer(dy_pick_target_t *target,
			 const dy_pick_report_t *report, int opened,
			 uint64_t now_ms);

/*
 * Record that the agent refused a new flow or a call because it is full or
 * late; call it after dy_pick_note_answer() for the same answer. Reduces the
 * trust in the target's reports if this report showed free slots and
 * connections. Do not call it for other refusals (rate limit of new sessions,
 * draining, missing token), which do not contradict the report.
 */
void dy_pick_note_refusal(dy_pick_target_t *target);

/*
 * Record that a new flow (opened 1) or another call (0) timed out or could not
 * be sent.
 */
void dy_pick_note_failure(dy_pick_target_t *target, int opened,
			  uint64_t now_ms);

/* Returns whether the target is ejected at now_ms. */
int dy_pick_is_ejected(const dy_pick_config_t *config,
		       const dy_pick_target_t *target, uint64_t now_ms);

#endif
