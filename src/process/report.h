#ifndef DAMASKYARD_REPORT_H
#define DAMASKYARD_REPORT_H

/*
 * The service-level report: sums the counters of all processes of an
 * environment for each service and compares them with its objective.
 */

#include <glib.h>

#include "damaskyard/burn.h"

typedef struct report_service {
	char *name;
	double objective; /* percent */
	dy_tally_t tallies[DY_WINDOWS];
} report_service_t;

typedef struct report {
	GPtrArray *services; /* of report_service_t */
	unsigned processes;  /* that were asked */
	unsigned unanswered; /* of them, without an answer */
} report_t;

/* Create an empty report, to free with report_destroy(). */
report_t *report_create(void);
void report_destroy(report_t *report);

/*
 * Add one line "counter name=NAME:SERVICE value=N" of a process. Other lines
 * and counters are ignored.
 */
void report_add_line(report_t *report, const char *line);

/* Sort the services by name, after the last line. */
void report_sort(report_t *report);

/*
 * Returns the alert for a service's burn rate: "page" if it uses up 2 % of a
 * month's error budget within an hour and still does so (rate above 14.4 over
 * 5 min and 1 h); "ticket" if it uses up 5 % within six hours (rate above 6
 * over 1 h and 6 h); else "none". Rates and windows are the customary pairs
 * of multiwindow burn rate alerts.
 */
const char *report_alert(const report_service_t *service);

/*
 * Returns the share of the error budget of the longest window that is left,
 * in percent; it is negative if more was used than the budget.
 */
double report_budget_left(const report_service_t *service);

#endif
