#include "common_arguments.h"

#include <stdio.h>

int arguments_refuse(const char *program)
{
	fprintf(stderr, "%s: a value is out of range; see --help\n", program);
	return 0;
}

int arguments_parse(const char *program, const GOptionEntry *entries, int argc,
		    char **argv)
{
	GOptionContext *context = g_option_context_new("");
	GError *error = NULL;
	int ok;

	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, &argc, &argv, &error);
	g_option_context_free(context);
	if (!ok) {
		fprintf(stderr, "%s: %s\n", program, error->message);
		g_error_free(error);
		return 0;
	}
	return argc > 1 ? arguments_refuse(program) : 1;
}
