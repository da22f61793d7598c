#include "agent_process.h"
#include "command.h"

static dy_agent_settings_t values;

static const dy_setting_t settings[] = {
	MEMBER_SETTINGS(values.member),
	{ .flag = "announce",
	  .kind = DY_SETTING_ADDRESS,
	  .value = &values.announce_address,
	  .required = TRUE,
	  .argument = "IP:PORT",
	  .help = "address to which the target announces itself" },
	{ 0 },
};

int dy_command_agent(int argc, char **argv)
{
	GError *error = NULL;
	int code = DY_EXIT_OK;

	if (!dy_settings_load(argc, argv,
			      "Run the agent beside one target. It holds the "
			      "target's sessions, queue, slots\nand duplicate "
			      "request cache.",
			      settings, NULL, &error))
		return dy_command_fail_usage("agent", error);
	dy_command_start_log(values.member.log_level, values.member.name);
	if (!dy_agent_process_run(&values, &code, &error))
		code = dy_command_fail_usage("agent", error);
	dy_settings_clear(settings);
	return code;
}
