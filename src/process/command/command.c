#include "command.h"

#include <stdio.h>

#include "damaskyard/log.h"

int dy_command_fail_usage(const char *name, GError *error)
{
	fprintf(stderr, "damaskyard %s: %s\n", name, error->message);
	g_error_free(error);
	return DY_EXIT_USAGE;
}

void dy_command_start_log(const char *level, const char *role)
{
	dy_log_level_t min_level = DY_LOG_INFO;

	dy_log_parse_level(level, &min_level);
	dy_log_configure(min_level, role);
}
