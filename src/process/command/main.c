#include <stdio.h>
#include <string.h>

#include "command.h"

typedef struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *summary;
} command_t;

static const command_t commands[] = {
	{ "agent", dy_command_agent, "run the agent beside one target" },
	{ "announce", dy_command_announce, "announce a target to its agent" },
	{ "balancer", dy_command_balancer, "forward datagrams to agents" },
	{ "call", dy_command_call, "make one call as a caller" },
	{ "check", dy_command_check, "check a document" },
	{ "control", dy_command_control, "run one control of the group" },
	{ "drain", dy_command_drain, "take a member out of service" },
	{ "evacuate", dy_command_evacuate,
	  "open no new flow at targets of a failure domain" },
	{ "flow-agent", dy_command_flow_agent,
	  "run the agent for one target's packet flows" },
	{ "flow-balancer", dy_command_flow_balancer,
	  "forward packets of flows to agents" },
	{ "flow-control", dy_command_flow_control,
	  "run one control for packet flows" },
	{ "promote", dy_command_promote,
	  "put the document of trial into production" },
	{ "readmit", dy_command_readmit,
	  "end the evacuation of a failure domain" },
	{ "remove", dy_command_remove,
	  "remove a member that is lost for good" },
	{ "report", dy_command_report,
	  "print the error budget burn of each service" },
	{ "rotate", dy_command_rotate, "rotate the token key" },
	{ "status", dy_command_status,
	  "print the state of the group or of a process" },
	{ "submit", dy_command_submit, "submit a document to an environment" },
	{ NULL, NULL, NULL },
};

static void print_help(FILE *out)
{
	const command_t *command;

	fputs("Usage: damaskyard COMMAND [--help] [FLAG...]\n\n"
	      "A layer-4 load balancer whose flows survive planned changes.\n\n"
	      "Commands:\n",
	      out);
	for (command = commands; command->name; command++)
		fprintf(out, "  %-13s %s\n", command->name, command->summary);
	fputs("\n  --help, --version\n", out);
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
			"damaskyard: unknown command \"%s\"; "
			"see damaskyard --help\n",
			argv[1]);
		return DY_EXIT_USAGE;
	}
	return command->run(argc - 1, argv + 1);
}
