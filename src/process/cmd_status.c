#include <stdio.h>
#include <string.h>

#include "command.h"
#include "operator.h"

static dy_address_t process;

static const dy_setting_t settings[] = {
	OPERATOR_SETTINGS(FALSE),
	{ .flag = "process",
	  .kind = DY_SETTING_ADDRESS,
	  .value = &process,
	  .argument = "IP:PORT",
	  .help = "print the counters of the process there instead" },
	{ 0 },
};

static unsigned count_lines(const char *lines)
{
	unsigned count = 0;

	for (; *lines; lines++)
		count += *lines == '\n';
	return count;
}

/* Print page after page; a page without a line would be the last one. */
static int print_pages(operator_t *op, operator_call_t *call)
{
	dy_inspect_t args = { 0 };
	dy_inspect_result_t result;
	unsigned lines;
	int more;

	call->args = &args;
	do {
		if (process.port
			    ? operator_call_process(op, &process, call, &result)
			    : operator_call(op, call, &result))
			return operator_fail_unanswered(op);
		fputs(result.lines, stdout);
		lines = count_lines(result.lines);
		args.from += lines;
		more = result.more && lines;
		xdr_free(call->result_proc, (char *)&result);
	} while (more);
	return DY_EXIT_OK;
}

int dy_command_status(int argc, char **argv)
{
	operator_call_t call = {
		.program = DY_CONTROL_PROGRAM,
		.procedure = DY_CONTROL_INSPECT,
		.args_proc = (xdrproc_t)xdr_dy_inspect_t,
		.result_proc = (xdrproc_t)xdr_dy_inspect_result_t,
		.result_size = sizeof(dy_inspect_result_t),
	};
	operator_t *op;
	int code;

	op = operator_load(argc, argv,
			   "Print the group's state, or a process's counters.",
			   settings, NULL);
	if (!op)
		return DY_EXIT_USAGE;
	if (process.port) {
		call.program = DY_STATUS_PROGRAM;
		call.procedure = DY_STATUS_COUNTERS;
	}
	if (process.port || operator_values.controls.count) {
		code = print_pages(op, &call);
	} else {
		fputs("damaskyard status: --controls or --process is missing\n",
		      stderr);
		code = DY_EXIT_USAGE;
	}
	operator_destroy(op);
	dy_settings_clear(settings);
	return code;
}
