#include <stdio.h>
#include <string.h>

#include "command.h"

typedef struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *summary;
} command_t;

static const command_t commands[] = {
	{ "balancer", dy_command_balancer, "forward datagrams to agents" },
	{ "check", dy_command_check, "check a document" },
	{ NULL, NULL, NULL },
};

static void print_help(FILE *out)
{
	const command_t *command;

	fputs("Usage: damaskyard COMMAND [--help] [FLAG...]\n\n"
	      "A layer-4 load balancer whose flows outlive planned changes.\n\n"
	      "Commands:\n",
	      out);
	for (command = commands; command->name; command++)
		fprintf(out, "  %-10s %s\n", command->name, command->summary);
	fputs("\n  --help, --version\n", out);
}

int dy_command_fail_usage(const char *name, GError *error)
{
	fprintf(stderr, "damaskyard %s: %s\n", name, error->message);
	g_error_free(error);
	return DY_EXIT_USAGE;
}

static const command_t *find_command(const char *name)
{
	const command_t *command;

	for (command = commands; command->name; command++)
		if (!strcmp(command->name, name))
			return command;
	return NULL;
}

int main(int argc, char **argv)
{
	const command_t *command;

	if (argc < 2) {
		print_help(stderr);
		return DY_EXIT_USAGE;
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "help")) {
		print_help(stdout);
		return DY_EXIT_OK;
	}
	if (!strcmp(argv[1], "--version")) {
		puts("damaskyard " DY_VERSION);
		return DY_EXIT_OK;
	}
	command = find_command(argv[1]);
	if (!command) {
		fprintf(stderr,
			"damaskyard: there is no command \"%s\"; "
			"see damaskyard --help\n",
			argv[1]);
		return DY_EXIT_USAGE;
	}
	return command->run(argc - 1, argv + 1);
}
