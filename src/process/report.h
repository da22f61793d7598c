#ifndef DAMASKYARD_REPORT_H
#define DAMASKYARD_REPORT_H

/*
 * The service-level report: what every process of an environment counted,
 * added up by service and held against its objective.
 */

#include <glib.h>

#include "damaskyard/burn.h"

typedef struct report_service {
	char *name;
	double objective; /* percent */
	dy_tally_t tallies[DY_WINDOWS];
} report_service_t;

typedef struct report {
	GPtrArray *services; /* of report_service_t, in order of name */
	unsigned processes;
	unsigned unanswered; /* of them, that did not answer */
} report_t;

report_t *report_create(void);
void report_destroy(report_t *report);

/* Take one line of a process's counters; other counters are passed over. */
void report_add_line(report_t *report, const char *line);

/* Sort the services by name. */
void report_sort(report_t *report);

/*
 * How urgent the burn is: "page" if it uses up 2 % of a month's budget
 * within the hour, and still does (rate 14.4 over 5 min and 1 h); "ticket" if
 * it uses up 5 % within six hours (rate 6 over 1 h and 6 h); else "none".
 * Rates and windows are the customary pairs of service-level alerting.
 */
const char *report_alert(const report_service_t *service);

/* Part of the budget of the longest window that is left, in percent. */
double report_budget_left(const report_service_t *service);

#endif
