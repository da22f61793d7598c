#ifndef DAMASKYARD_SERVICE_SHORTAGE_H
#define DAMASKYARD_SERVICE_SHORTAGE_H

/*
 * A balancer's account of the services that are short of places: since when,
 * and what became of the openings that had to wait, by priority. For operators;
 * nothing is decided by it. No I/O.
 */

#include <stdint.h>

#include "damaskyard/caller_rank.h"

/* Interval of the reports of a service, in ms. */
#define DY_SHORTAGE_REPORT_INTERVAL_MS 1000

typedef enum dy_opening_outcome {
	DY_OPENING_WAITED, /* it began to wait; one of the others follows */
	DY_OPENING_GRANTED,
	DY_OPENING_WAITED_OUT, /* refused after its longest wait */
	DY_OPENING_UNSERVABLE, /* refused at once, as it would wait too long */
	DY_OPENING_OUTCOMES
} dy_opening_outcome_t;

typedef struct dy_shortage_report {
	const char *service;
	uint64_t short_ms; /* since the first opening waited */
	/* Since the last report, by priority. */
	unsigned counts[DY_PRIORITY_LOWEST + 1][DY_OPENING_OUTCOMES];
} dy_shortage_report_t;

typedef struct dy_service_shortage dy_service_shortage_t;

/* Create an account without a service. */
dy_service_shortage_t *dy_service_shortage_create(void);

/* Free the account. NULL is allowed. */
void dy_service_shortage_destroy(dy_service_shortage_t *shortage);

/* Record what became of an opening. */
void dy_service_shortage_note(dy_service_shortage_t *shortage,
			      const char *service, unsigned priority,
			      dy_opening_outcome_t outcome, uint64_t now_ms);

/*
 * Take a report that is due. Returns 0 if none is. A service without an opening
 * since its last report is short no longer: its report has no counts and is the
 * last one. report->service is valid until the next call.
 */
int dy_service_shortage_next(dy_service_shortage_t *shortage, uint64_t now_ms,
			     dy_shortage_report_t *report);

/* Returns the openings of a report with this outcome, of all priorities. */
unsigned dy_shortage_report_sum(const dy_shortage_report_t *report,
				dy_opening_outcome_t outcome);

#endif
