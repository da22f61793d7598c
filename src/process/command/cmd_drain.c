#include "command.h"
#include "operator.h"

int dy_command_drain(int argc, char **argv)
{
	return operator_change_member(
		argc, argv,
		"Take the member NAME out of service: it accepts no new flow, "
		"hands over its sessions\nand leaves.",
		DY_CHANGE_DRAIN);
}
