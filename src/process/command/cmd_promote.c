#include "command.h"
#include "operator.h"

static uint64_t number;

static const dy_setting_t settings[] = {
	OPERATOR_SETTINGS(TRUE),
	OPERATOR_REQUEST_SETTING,
	{ .flag = "number",
	  .kind = DY_SETTING_NUMBER,
	  .value = &number,
	  .default_text = "0",
	  .argument = "N",
	  .help = "number of the document in production; 0: the next" },
	{ 0 },
};

int dy_command_promote(int argc, char **argv)
{
	dy_change_t change;
	operator_t *op;

	op = operator_load(
		argc, argv,
		"Put the document in force in trial into production.", settings,
		NULL);
	if (!op)
		return DY_EXIT_USAGE;
	operator_init_change(&change, DY_CHANGE_PROMOTE);
	change.number = number;
	return operator_run_change(op, settings, &change);
}
