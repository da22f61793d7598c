#include "command.h"
#include "operator.h"

int dy_command_remove(int argc, char **argv)
{
	return operator_change_member(
		argc, argv, "Remove the member NAME, which is lost for good.",
		DY_CHANGE_REMOVE);
}
