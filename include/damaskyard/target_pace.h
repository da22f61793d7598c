#ifndef DAMASKYARD_TARGET_PACE_H
#define DAMASKYARD_TARGET_PACE_H

/*
 * Comparison of a service's targets by the pace that their agents report: what
 * share of new flows each target should get. No I/O.
 *
 * Load pattern: one target in three needs 2.4 times as long for the same work;
 * some targets turn slow by five times for seconds.
 * Without it: each target gets the same number of flows per slot. The slow ones
 * are always busy, and their flows wait while fast targets are idle.
 * Mechanism: a weight by which a target's slots count, from its mean time in a
 * slot against that of the service's median target. The power is 1.5: for the
 * shortest mean time to the answer at some 60 percent of the capacity, fast
 * targets get more than their share of it, since each request there is shorter
 * too. The weight is exactly 1 for targets near the median, so even targets
 * with a long tail of requests are not told apart.
 *
 * Load pattern: a target answers only a part of its requests, or hardly
 * proceeds, while its notices say that it is ready.
 * Without it: its slots look idle, so it attracts new flows.
 * Mechanism: the target is held back by steps, each of which halves its share.
 * Without evidence it gets the share back by steps too. The evidence is counted
 * by the agent beside the target, so that a bad link convicts nobody. At most
 * DY_TARGET_HELD_PART of a service is held back at once.
 */

#include <stdint.h>

#include "dy_flow.h"

/*
 * Targets that are compared for a new flow. An emptier target gets nearly all
 * the flows for which it is compared, so shares are counted against one in this
 * many of them.
 */
#define DY_TARGET_CANDIDATES 8

/* Bounds of a weight. */
#define DY_TARGET_WEIGHT_MIN 0.1
#define DY_TARGET_WEIGHT_MAX 4.0

/*
 * Ratio of a target's mean time to the median, or the other way around, above
 * which it is uneven, and below which it is even again. The mean of 64 samples
 * with a long tail is off by less than 1.5.
 */
#define DY_TARGET_UNEVEN_RATIO 1.5
#define DY_TARGET_EVEN_RATIO 1.25

/*
 * Difference of these times from which on a target is uneven, and from which on
 * it stays so. Smaller ones matter to no caller, and the paths of packets and
 * the loops of processes make them.
 */
#define DY_TARGET_UNEVEN_US 10000
#define DY_TARGET_EVEN_US 5000

/* Targets with a known mean time below which they are not compared. */
#define DY_TARGET_COMPARED_MIN 3

/*
 * Age from which on a reported pace is not used. Agents report each 200 ms
 * while packets go to them and 2 s after.
 */
#define DY_TARGET_PACE_AGE_MAX_MS 5000

/*
 * Part of unanswered requests, in 1/1000, from which on a target is held back,
 * and from which on it stays so.
 */
#define DY_TARGET_MUTE_PERMILLE 150
#define DY_TARGET_MUTE_ENDED_PERMILLE 75

/* Ratios likewise of a target that is far slower than the median one. */
#define DY_TARGET_FAR_SLOWER_RATIO 4.0
#define DY_TARGET_FAR_SLOWER_ENDED_RATIO 2.5

/*
 * Steps by which a target is held back, at most. Each halves its share; after
 * the last one a mute target gets no new flow.
 */
#define DY_TARGET_STEPS_MAX 4

/* Part of its share for which an uneven target counts as even, as 1 / this. */
#define DY_TARGET_TRIAL_PART 16

/* Shortest time between two steps down, and two steps up. */
#define DY_TARGET_STEP_DOWN_MS 200
#define DY_TARGET_STEP_UP_MS 1000

/* Largest part of a service's targets that is held back, as 1 / this. */
#define DY_TARGET_HELD_PART 3

/* What is known of a target's pace. All zero: nothing. */
typedef struct dy_target_pace {
	dy_flow_pace_t reported;
	uint64_t reported_ms; /* 0: never */
	double ratio;	      /* of its time to the median; 0: not compared */
	int uneven;	      /* outside the band of even targets */
	unsigned steps;	      /* by which it is held back */
	uint64_t stepped_ms;
	int mute; /* requests stay unanswered */
} dy_target_pace_t;

/* What a comparison changed about a target. */
typedef enum dy_target_pace_change {
	DY_TARGET_UNEVEN,
	DY_TARGET_EVEN,
	DY_TARGET_HELD_BACK, /* the first step down */
	DY_TARGET_GIVEN_BACK /* the last step up */
} dy_target_pace_change_t;

/* Called for each change; median_us is 0 if it is unknown. */
typedef void dy_target_pace_cb_t(void *context, const dy_target_pace_t *pace,
				 dy_target_pace_change_t change,
				 uint32_t median_us);

/* Record what the agent reported at now_ms. */
void dy_target_pace_report(dy_target_pace_t *pace,
			   const dy_flow_pace_t *reported, uint64_t now_ms);

/*
 * Compare the targets of a service that may get new flows. The array is only
 * read, the entries are changed. changed may be NULL. Call it every 200 ms.
 */
void dy_target_pace_compare(dy_target_pace_t *const *paces, unsigned count,
			    uint64_t now_ms, dy_target_pace_cb_t *changed,
			    void *context);

/*
 * Returns the factor by which the target's slots count for a new flow; exactly
 * 1.0 if it is even, or if nothing recent is known. draw is a hash of flow and
 * target: for one in DY_TARGET_TRIAL_PART the factor is 1.0 too, so that real
 * work shows when the target has recovered.
 */
double dy_target_pace_weight(const dy_target_pace_t *pace, uint64_t draw,
			     uint64_t now_ms);

/*
 * Returns whether the target is held back from this new flow. draw is a hash of
 * flow and target, so that all balancers decide alike on copies of an opening.
 */
int dy_target_pace_is_withheld(const dy_target_pace_t *pace, uint64_t draw);

#endif
