#include "command.h"
#include "operator.h"

static const dy_setting_t settings[] = {
	OPERATOR_SETTINGS(TRUE),
	OPERATOR_REQUEST_SETTING,
	{ 0 },
};

int dy_command_rotate(int argc, char **argv)
{
	dy_change_t change;
	operator_t *op;

	op = operator_load(
		argc, argv,
		"Add a new token key, which replaces the active one.", settings,
		NULL);
	if (!op)
		return DY_EXIT_USAGE;
	operator_init_change(&change, DY_CHANGE_ROTATE);
	return operator_run_change(op, settings, &change);
}
