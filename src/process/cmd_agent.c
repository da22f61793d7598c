#include "agent_process.h"
#include "command.h"

static dy_agent_settings_t values;

static const dy_setting_t settings[] = {
	{ .flag = "name",
	  .kind = DY_SETTING_NAME,
	  .value = &values.name,
	  .required = TRUE,
	  .argument = "NAME",
	  .help = "name of this agent, its own in the environment" },
	{ .flag = "environment",
	  .kind = DY_SETTING_CHOICE,
	  .value = &values.environment,
	  .fallback = "production",
	  .argument = DY_ENVIRONMENT_CHOICES,
	  .help = "where it serves; production if not given" },
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
	  .help = "where balancers and other agents reach it" },
	{ .flag = "announce",
	  .kind = DY_SETTING_ADDRESS,
	  .value = &values.announce,
	  .required = TRUE,
	  .argument = "IP:PORT",
	  .help = "where its target announces itself" },
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

int dy_command_agent(int argc, char **argv)
{
	GError *error = NULL;
	int code = DY_EXIT_OK;

	if (!dy_settings_load(argc, argv,
			      "Serve one target, beside it: hold its sessions, "
			      "queue, slots and duplicate request cache.",
			      settings, NULL, &error))
		return dy_command_fail_usage("agent", error);
	dy_command_start_log(values.log_level, values.name);
	if (!dy_agent_process_run(&values, &code, &error))
		code = dy_command_fail_usage("agent", error);
	dy_settings_clear(settings);
	return code;
}
