#include "balancer.h"
#include "command.h"

static dy_balancer_settings_t values;

static const dy_setting_t settings[] = {
	MEMBER_SETTINGS(values.member),
	{ .flag = "bind-host",
	  .kind = DY_SETTING_TEXT,
	  .value = &values.bind_host,
	  .argument = "IP",
	  .help = "bind services to free ports of this address, not to their own" },
	{ 0 },
};

int dy_command_balancer(int argc, char **argv)
{
	GError *error = NULL;

	if (!dy_settings_load(argc, argv,
			      "Forward callers' datagrams to agents.", settings,
			      NULL, &error))
		return dy_command_fail_usage("balancer", error);
	dy_command_start_log(values.member.log_level, "balancer");
	if (!dy_balancer_run(&values, &error))
		return dy_command_fail_usage("balancer", error);
	dy_settings_clear(settings);
	return DY_EXIT_OK;
}
