#include "command.h"

#include <stdio.h>

int dy_command_fail_usage(const char *name, GError *error)
{
	fprintf(stderr, "damaskyard %s: %s\n", name, error->message);
	g_error_free(error);
	return DY_EXIT_USAGE;
}
