#include "command.h"
#include "operator.h"

int dy_command_evacuate(int argc, char **argv)
{
	return operator_change_domain(
		argc, argv,
		"Open no new flow at targets of the failure domain DOMAIN; open "
		"flows stay.",
		DY_CHANGE_EVACUATE);
}

int dy_command_readmit(int argc, char **argv)
{
	return operator_change_domain(
		argc, argv,
		"Open flows again at targets of the failure domain DOMAIN.",
		DY_CHANGE_READMIT);
}
