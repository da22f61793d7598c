#ifndef DAMASKYARD_BURN_H
#define DAMASKYARD_BURN_H

/*
 * Error budget burn rate of a service.
 *
 * An objective of 99.9 % of calls answered in time leaves an error budget of
 * 0.1 %. The burn rate is the share of failed calls divided by the budget. At
 * a rate of 1 the budget lasts exactly for the period of the objective; at 14
 * a budget for 30 days is used up in about 2 days. A short window shows that
 * calls fail now, a long one that the loss is significant; an alert needs
 * both.
 *
 * Outcomes are counted in time buckets, so that the sum of a window costs a
 * few additions and nothing is stored per call. Times are in ms, monotonic.
 */

#include <stdint.h>

#include "damaskyard/metrics.h"

typedef enum dy_outcome {
	DY_OUTCOME_GOOD,	 /* ran, whole answer before the deadline */
	DY_OUTCOME_LATE,	 /* ran, answer after the deadline */
	DY_OUTCOME_REFUSED,	 /* not run */
	DY_OUTCOME_MAY_HAVE_RUN, /* unknown whether it ran */
	DY_OUTCOME_BROKEN_FLOW,	 /* the session was lost */
	DY_OUTCOMES
} dy_outcome_t;

typedef enum dy_window {
	DY_WINDOW_5M,
	DY_WINDOW_1H,
	DY_WINDOW_6H,
	DY_WINDOW_3D,
	DY_WINDOWS
} dy_window_t;

/* Number of calls by outcome. */
typedef struct dy_tally {
	uint64_t counts[DY_OUTCOMES];
} dy_tally_t;

typedef struct dy_burn dy_burn_t;

/* Create empty counts for one service, to free with dy_burn_destroy(). */
dy_burn_t *dy_burn_create(void);
void dy_burn_destroy(dy_burn_t *burn);

/* Count one call that ended at now_ms. */
void dy_burn_add(dy_burn_t *burn, dy_outcome_t outcome, uint64_t now_ms);

/* Sum the outcomes of the window that ends at now_ms into tally. */
void dy_burn_sum_window(dy_burn_t *burn, dy_window_t window, uint64_t now_ms,
			dy_tally_t *tally);

/*
 * Returns the burn rate of a tally for an objective in percent (above 0,
 * below 100), or 0 for a tally without calls.
 */
double dy_tally_burn_rate(const dy_tally_t *tally, double objective);

/* Returns the number of calls of all outcomes. */
uint64_t dy_tally_total(const dy_tally_t *tally);

/*
 * Set the counters "burn_WINDOW_OUTCOME:SERVICE" of all windows and outcomes.
 * `damaskyard report` reads them from every process and adds them up. service
 * is copied.
 */
void dy_burn_publish(dy_burn_t *burn, dy_metrics_t *metrics,
		     const char *service, uint64_t now_ms);

/* Names in counters and in the report, as "late" and "5m". */
const char *dy_outcome_name(dy_outcome_t outcome);
const char *dy_window_name(dy_window_t window);

#endif
