#ifndef DAMASKYARD_OPERATOR_LINES_H
#define DAMASKYARD_OPERATOR_LINES_H

/*
 * The lines of key=value pairs in which control tells its state and every
 * process its counters, fetched page by page.
 */

#include "operator.h"

/* line has no newline and is valid during the call. */
typedef void operator_line_cb_t(void *context, const char *line);

/*
 * Give every line of the group's state to each(). Returns 0, or -1 if the
 * group did not answer before the timeout; lines given so far stand.
 */
int operator_group_lines(operator_t *op, operator_line_cb_t *each,
			 void *context);

/* The same of one process's counters. */
int operator_process_lines(operator_t *op, const dy_address_t *address,
			   operator_line_cb_t *each, void *context);

/*
 * Returns the value of a key in a line, to be freed, or NULL if the key does
 * not stand there. Values with spaces are quoted and no key needs them here.
 */
char *operator_line_value(const char *line, const char *key);

#endif
