#ifndef DAMASKYARD_PICK_H
#define DAMASKYARD_PICK_H

/*
 * The choice of a target for a new flow, made on every balancer alone. Pure:
 * no network, no clock, no allocation. Flows last for hours and stay where
 * they were put, so a bad choice lasts as long.
 *
 * Load pattern: mechanism; without it
 * - many balancers, one report: random choice of two, own flows counted; all
 *   flows of a report period go to one target
 * - unequal load: fewer free slots or connections lose; a slow target gets as
 *   many flows as a fast one
 * - cold target: slow start; it is emptiest, gets each flow, and stalls
 * - target fails or stalls: ejection, then a trickle; flows are opened into a
 *   void
 * - balancer cut off: never ejects most of a service; one bad link empties a
 *   service
 * - target reports falsely: trust; one that looks idle and refuses gets all
 * - a shunned target is well again: trouble fades with the age of its report;
 *   it is shunned for good, as no answer tells of its recovery
 * - connections run out: each balancer its share of what is free; openings
 *   above the cap, refused there
 *
 * The agent alone can keep the 2,000-connection cap for certain, and refuses
 * an opening above it; the choice keeps balancers from running into it.
 *
 * The work of a pick is bounded by DY_PICK_SAMPLE targets, however many
 * stand behind the address: 110,000 targets behind 34,000 addresses are 3.2
 * for each on average, but one address may have thousands.
 *
 * Times are milliseconds of a monotonic clock.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* Targets looked at for one pick; all of them where there are no more. */
#define DY_PICK_SAMPLE 16

/* Full trust in a target's reports. */
#define DY_PICK_TRUST_FULL 255

/*
 * One target as one balancer sees it. The owner sets the first block when the
 * target joins or its registration changes; dy_pick_note_opening() and its kin
 * keep the rest. Zero is a good start for the rest but trust: use
 * dy_pick_target_init().
 */
typedef struct dy_pick_target {
	uint64_t cold_since_ms; /* joined or restarted then */
	uint32_t session_cap;	/* connections at most */
	uint16_t domain;	/* index of its failure domain */
	uint8_t draining;	/* leaving: never picked */

	uint8_t trust;		      /* in its reports, up to TRUST_FULL */
	uint16_t slots;		      /* the newest report */
	uint16_t in_flight;	      /* the newest report */
	uint16_t queued;	      /* the newest report */
	uint16_t failures;	      /* consecutive */
	uint32_t sessions;	      /* the newest report */
	uint32_t expected_wait_ms;    /* the newest report */
	uint32_t pending;	      /* own openings not answered yet */
	uint64_t report_ms;	      /* when the newest report came; 0 none */
	uint64_t first_unanswered_ms; /* oldest unanswered send; 0 none */
	uint64_t failed_ms;	      /* the newest failure; 0 none */
} dy_pick_target_t;

/* The load that an agent puts into an answer. */
typedef struct dy_pick_report {
	uint16_t slots;
	uint16_t in_flight;
	uint16_t queued;
	uint32_t sessions;
	uint32_t expected_wait_ms;
} dy_pick_report_t;

/* What to spare first; set by a service's document. */
typedef enum dy_pick_priority {
	DY_PICK_AVOID_BROKEN_FLOWS, /* Ciel Noir: a broken stream loses a night
				     */
	DY_PICK_AVOID_IMBALANCE /* Lakeshore: a full target lags while typing */
} dy_pick_priority_t;

typedef struct dy_pick_config {
	dy_pick_priority_t priority;

	/* Balancers that share the flows, this one too: at least 1. */
	uint32_t balancers;

	/* Index of this balancer's own failure domain. */
	uint16_t domain;

	/*
	 * The difference in load, in thousandths of a full target, up to
	 * which a target in the own domain is taken instead.
	 */
	uint32_t local_bias_permille;

	/*
	 * A target that joined gets its full part only after this time, which
	 * is longer where broken flows weigh more: young targets fail more.
	 */
	uint32_t slow_start_ms;

	/* An unanswered send this old, with no answer since, is a stall. */
	uint32_t stall_ms;

	/* Consecutive failures that eject a target. */
	uint32_t eject_failures;

	/*
	 * An ejected target is tried again this long after its newest
	 * failure, one opening at a time.
	 */
	uint32_t eject_ms;
} dy_pick_config_t;

/* Set *config to the defaults for `weigh`. */
void dy_pick_config_init(dy_pick_config_t *config, dy_pick_priority_t weigh);

/* Set *target to a target that joined at cold_since_ms, of which no report
 * came yet. slots are those that its registration states. */
void dy_pick_target_init(dy_pick_target_t *target, uint16_t domain,
			 uint16_t slots, uint32_t session_cap,
			 uint64_t cold_since_ms);

/*
 * Choose a target for a new flow among targets[0..n). Returns its index, or
 * -1 if none may be picked (all drain, or all connections are taken): refuse
 * the opening as not run. Does not count the choice: call
 * dy_pick_note_opening().
 */
int dy_pick(const dy_pick_config_t *config, const dy_pick_target_t *targets,
	    size_t n, GRand *rand, uint64_t now_ms);

/* Note that a flow's opening went to the target. */
void dy_pick_note_opening(dy_pick_target_t *target, uint64_t now_ms);

/*
 * Note that any other call went to the target, so that a stall is seen
 * between openings as well.
 */
void dy_pick_note_call(dy_pick_target_t *target, uint64_t now_ms);

/*
 * Note an answer from the target's agent, with the load it reports (NULL if
 * it carries none). opened is 1 for the answer to an opening.
 */
void dy_pick_note_answer(dy_pick_target_t *target,
			 const dy_pick_report_t *report, int opened,
			 uint64_t now_ms);

/*
 * Note that the agent refused an opening or a call because it is full or
 * late, after dy_pick_note_answer() for the same answer. If its report showed
 * free slots and connections, that report is trusted less. A refusal for any
 * other reason (the crowd limit, a drain, a missing token) is not noted: it
 * says nothing against the report.
 */
void dy_pick_note_refusal(dy_pick_target_t *target);

/*
 * Note that an opening (opened 1) or another call (0) had no answer in time,
 * or could not be sent.
 */
void dy_pick_note_failure(dy_pick_target_t *target, int opened,
			  uint64_t now_ms);

/* Whether the target is ejected at now_ms. */
int dy_pick_is_ejected(const dy_pick_config_t *config,
		       const dy_pick_target_t *target, uint64_t now_ms);

#endif
