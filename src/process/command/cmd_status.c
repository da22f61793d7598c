#include <stdio.h>

#include "command.h"
#include "operator_lines.h"

static dy_address_t process;

static const dy_setting_t settings[] = {
	OPERATOR_SETTINGS(FALSE),
	{ .flag = "process",
	  .kind = DY_SETTING_ADDRESS,
	  .value = &process,
	  .argument = "IP:PORT",
	  .help = "print the counters of the process at this address instead" },
	{ 0 },
};

static void print_line(void *context, const char *line)
{
	(void)context;
	puts(line);
}

static int print_status(operator_t *op)
{
	int failed;

	if (process.port) {
		failed = operator_fetch_process_lines(op, &process, print_line,
						      NULL);
	} else if (operator_values.controls.count) {
		failed = operator_fetch_group_lines(op, print_line, NULL);
	} else {
		fputs("damaskyard status: --controls or --process is missing\n",
		      stderr);
		return DY_EXIT_USAGE;
	}
	return failed ? operator_fail_unanswered(op) : DY_EXIT_OK;
}

int dy_command_status(int argc, char **argv)
{
	operator_t *op;
	int code;

	op = operator_load(
		argc, argv,
		"Print the state of the group, or the counters of a process.",
		settings, NULL);
	if (!op)
		return DY_EXIT_USAGE;
	code = print_status(op);
	operator_destroy(op);
	dy_settings_clear(settings);
	return code;
}
