#include "command.h"
#include "operator.h"

int dy_command_drain(int argc, char **argv)
{
	return operator_change_member(
		argc, argv,
		"Take the member NAME out of service: it takes no new flow, "
		"hands over its sessions and leaves.",
		DY_CHANGE_DRAIN);
}
