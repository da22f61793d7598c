#include "command.h"
#include "operator.h"

static char *environment;

static const dy_setting_t settings[] = {
	OPERATOR_SETTINGS(TRUE),
	OPERATOR_REQUEST_SETTING,
	{ .flag = "environment",
	  .kind = DY_SETTING_CHOICE,
	  .value = &environment,
	  .argument = DY_ENVIRONMENT_CHOICES,
	  .help = "needed where two environments have the name" },
	{ 0 },
};

int dy_command_remove(int argc, char **argv)
{
	char *name = NULL;
	dy_change_t change;
	operator_t *op;
	int code;

	op = operator_load(argc, argv,
			   "Strike the member NAME, which is lost for good.",
			   settings, &name);
	if (!op)
		return DY_EXIT_USAGE;
	operator_begin_change(&change, DY_CHANGE_REMOVE);
	if (environment)
		change.environment = environment;
	change.name = name;
	code = operator_run_change(op, settings, &change);
	g_free(name);
	return code;
}
