#include "operator_lines.h"

#include <string.h>

/* Calls each() for the lines of a page. Returns the number of lines. */
static unsigned for_each_line(const char *page, operator_line_cb_t *each,
			      void *context)
{
	char **lines = g_strsplit(page, "\n", -1);
	unsigned count;

	for (count = 0; lines[count] && *lines[count]; count++)
		each(context, lines[count]);
	g_strfreev(lines);
	return count;
}

/*
 * Stops after a page without lines even if it says that more follow: the next
 * request would be for the same page again.
 */
static int fetch_lines(operator_t *op, const dy_address_t *address,
		       operator_call_t *call, operator_line_cb_t *each,
		       void *context)
{
	dy_inspect_t args = { 0 };
	dy_inspect_result_t result;
	unsigned lines;
	int more;

	call->args = &args;
	call->args_proc = (xdrproc_t)xdr_dy_inspect_t;
	call->result_proc = (xdrproc_t)xdr_dy_inspect_result_t;
	call->result_size = sizeof(dy_inspect_result_t);
	do {
		if (address ? operator_call_process(op, address, call, &result)
			    : operator_call(op, call, &result))
			return -1;
		lines = for_each_line(result.lines, each, context);
		args.from += lines;
		more = result.more && lines;
		xdr_free(call->result_proc, (char *)&result);
	} while (more);
	return 0;
}

int operator_fetch_group_lines(operator_t *op, operator_line_cb_t *each,
			       void *context)
{
	operator_call_t call = { .program = DY_CONTROL_PROGRAM,
				 .procedure = DY_CONTROL_INSPECT };

	return fetch_lines(op, NULL, &call, each, context);
}

int operator_fetch_process_lines(operator_t *op, const dy_address_t *address,
				 operator_line_cb_t *each, void *context)
{
	operator_call_t call = { .program = DY_STATUS_PROGRAM,
				 .procedure = DY_STATUS_COUNTERS };

	return fetch_lines(op, address, &call, each, context);
}

char *operator_line_value(const char *line, const char *key)
{
	size_t len = strlen(key);
	const char *at = line;

	while (at) {
		if (!strncmp(at, key, len) && at[len] == '=')
			return g_strndup(at + len + 1,
					 strcspn(at + len + 1, " "));
		at = strchr(at, ' ');
		if (at)
			at++;
	}
	return NULL;
}
