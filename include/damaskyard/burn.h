#ifndef DAMASKYARD_BURN_H
#define DAMASKYARD_BURN_H

/*
 * Service-level burn: how fast a service uses up its error budget.
 *
 * An objective of 99.9 % of calls answered in time leaves a budget of 0.1 %.
 * The burn rate is the part of calls that failed, divided by the budget: 1
 * uses it up exactly over the period that the objective speaks of, 14 within
 * two days of thirty. A short window says that it burns now, a long one that
 * it matters; either alone misleads.
 *
 * Outcomes are counted in buckets by time, so a window costs a few additions
 * and nothing is kept of a call. Times are milliseconds, monotonic.
 */

#include <stdint.h>

#include "damaskyard/metrics.h"

typedef enum dy_outcome {
	DY_OUTCOME_GOOD,	 /* ran, whole answer before the deadline */
	DY_OUTCOME_LATE,	 /* ran, answer after the deadline */
	DY_OUTCOME_REFUSED,	 /* not run */
	DY_OUTCOME_MAY_HAVE_RUN, /* the caller cannot know */
	DY_OUTCOME_BROKEN_FLOW,	 /* a session was lost */
	DY_OUTCOMES
} dy_outcome_t;

typedef enum dy_window {
	DY_WINDOW_5M,
	DY_WINDOW_1H,
	DY_WINDOW_6H,
	DY_WINDOW_3D,
	DY_WINDOWS
} dy_window_t;

typedef struct dy_tally {
	uint64_t counts[DY_OUTCOMES];
} dy_tally_t;

typedef struct dy_burn dy_burn_t;

dy_burn_t *dy_burn_create(void);
void dy_burn_destroy(dy_burn_t *burn);

void dy_burn_add(dy_burn_t *burn, dy_outcome_t outcome, uint64_t now_ms);

/* Sum the outcomes of the window that ends at now_ms. */
void dy_burn_sum_window(dy_burn_t *burn, dy_window_t window, uint64_t now_ms,
			dy_tally_t *tally);

/*
 * Burn rate of a tally under an objective in percent (above 0, below 100).
 * Returns 0 for a tally without calls.
 */
double dy_tally_burn_rate(const dy_tally_t *tally, double objective);

uint64_t dy_tally_total(const dy_tally_t *tally);

/*
 * Set the counters "burn_WINDOW_OUTCOME:SERVICE" of all windows and outcomes,
 * which `damaskyard report` reads from every process and adds up. service
 * is copied.
 */
void dy_burn_publish(dy_burn_t *burn, dy_metrics_t *metrics,
		     const char *service, uint64_t now_ms);

/* Names as counters and the report print them: "late", "5m". */
const char *dy_outcome_name(dy_outcome_t outcome);
const char *dy_window_name(dy_window_t window);

#endif
