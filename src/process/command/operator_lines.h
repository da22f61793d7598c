#ifndef DAMASKYARD_OPERATOR_LINES_H
#define DAMASKYARD_OPERATOR_LINES_H

/*
 * Fetches the state of the control group, or the counters of one process.
 * Both are text lines of key=value pairs that arrive in pages.
 */

#include "operator.h"

/* Called for each line. line has no newline; it is valid during the call. */
typedef void operator_line_cb_t(void *context, const char *line);

/*
 * Fetches the state of the group from its leader and calls each() for every
 * line. Returns 0, or -1 if a page does not arrive before the timeout; each()
 * was then called for the lines of earlier pages.
 */
int operator_fetch_group_lines(operator_t *op, operator_line_cb_t *each,
			       void *context);

/* Does the same for the counters of the process at address. */
int operator_fetch_process_lines(operator_t *op, const dy_address_t *address,
				 operator_line_cb_t *each, void *context);

/*
 * Returns a copy of the value of key in line, to free with g_free(), or NULL
 * if line has no such key. The value ends at the first space, so a quoted value
 * with spaces is cut; the keys that are read here have none.
 */
char *operator_line_value(const char *line, const char *key);

#endif
