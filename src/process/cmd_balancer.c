#include "balancer.h"
#include "command.h"

static dy_balancer_settings_t values;

static const dy_setting_t settings[] = {
	{ .flag = "name",
	  .kind = DY_SETTING_NAME,
	  .value = &values.name,
	  .required = TRUE,
	  .argument = "NAME",
	  .help = "name of this balancer in its environment" },
	{ .flag = "environment",
	  .kind = DY_SETTING_CHOICE,
	  .value = &values.environment,
	  .required = TRUE,
	  .argument = DY_ENVIRONMENT_CHOICES,
	  .help = "where it serves" },
	{ .flag = "domain",
	  .kind = DY_SETTING_NAME,
	  .value = &values.domain,
	  .required = TRUE,
	  .argument = "NAME",
	  .help = "failure domain it stands in" },
	{ .flag = "controls",
	  .kind = DY_SETTING_ADDRESSES_LIST,
	  .value = &values.controls,
	  .required = TRUE,
	  .argument = "IP:PORT,...",
	  .help = "the control group" },
	{ .flag = "listen",
	  .kind = DY_SETTING_ADDRESS,
	  .value = &values.listen,
	  .required = TRUE,
	  .argument = "IP:PORT",
	  .help = "where agents and control send their answers" },
	{ .flag = "bind-host",
	  .kind = DY_SETTING_TEXT,
	  .value = &values.bind_host,
	  .argument = "IP",
	  .help = "bind services here, on free ports, not on their addresses" },
	{ .flag = "key-file",
	  .kind = DY_SETTING_TEXT,
	  .value = &values.key_file,
	  .required = TRUE,
	  .argument = "FILE",
	  .help = "the group's key" },
	{ .flag = "log-level",
	  .kind = DY_SETTING_CHOICE,
	  .value = &values.log_level,
	  .fallback = "info",
	  .argument = DY_LOG_CHOICES,
	  .help = "least level that is logged" },
	{ 0 },
};

int dy_command_balancer(int argc, char **argv)
{
	GError *error = NULL;

	if (!dy_settings_load(argc, argv,
			      "Forward callers' datagrams to agents.", settings,
			      NULL, &error))
		return dy_command_fail_usage("balancer", error);
	dy_command_start_log(values.log_level, "balancer");
	if (!dy_balancer_run(&values, &error))
		return dy_command_fail_usage("balancer", error);
	dy_settings_clear(settings);
	return DY_EXIT_OK;
}
