#include <stdio.h>
#include <string.h>

#include "command.h"
#include "damaskyard/control.h"
#include "damaskyard/log.h"
#include "damaskyard/settings.h"

static struct {
	uint64_t id;
	uint64_t group;
	char *data;
	dy_address_t listen;
	char *peers;
	char *key_file;
	char *log_level;
	uint64_t lease_ms;
	uint64_t member_keep_s;
	uint64_t key_rotation_s;
	uint64_t key_distribute_s;
	uint64_t key_renew_s;
} values;

static const dy_setting_t settings[] = {
	{ .flag = "id",
	  .kind = DY_SETTING_NUMBER,
	  .value = &values.id,
	  .required = TRUE,
	  .min = 1,
	  .max = DY_RAFT_MEMBERS_MAX,
	  .argument = "N",
	  .help = "slot of this control; it never changes" },
	{ .flag = "data",
	  .kind = DY_SETTING_TEXT,
	  .value = &values.data,
	  .required = TRUE,
	  .argument = "DIR",
	  .help = "data folder, created if it is missing" },
	{ .flag = "listen",
	  .kind = DY_SETTING_ADDRESS,
	  .value = &values.listen,
	  .required = TRUE,
	  .argument = "IP:PORT",
	  .help = "address for members, operators and peers" },
	{ .flag = "peers",
	  .kind = DY_SETTING_TEXT,
	  .value = &values.peers,
	  .required = TRUE,
	  .argument = "ID=IP:PORT,...",
	  .help = "every control of the group, including this one" },
	{ .flag = "key-file",
	  .kind = DY_SETTING_TEXT,
	  .value = &values.key_file,
	  .required = TRUE,
	  .argument = "FILE",
	  .help = "file with the key of the group" },
	{ .flag = "group",
	  .kind = DY_SETTING_NUMBER,
	  .value = &values.group,
	  .default_text = "1",
	  .min = 1,
	  .argument = "N",
	  .help = "number of the group, the same at all its controls; default 1" },
	{ .flag = "lease-ms",
	  .kind = DY_SETTING_NUMBER,
	  .value = &values.lease_ms,
	  .default_text = G_STRINGIFY(DY_LEASE_DEFAULT_MS),
	  .min = 1000,
	  .max = 60000,
	  .argument = "MS",
	  .help = "a member that does not poll for this long gets no new flow" },
	{ .flag = "member-keep-s",
	  .kind = DY_SETTING_NUMBER,
	  .value = &values.member_keep_s,
	  .default_text = G_STRINGIFY(DY_MEMBER_RETENTION_DEFAULT_S),
	  .min = 60,
	  .argument = "S",
	  .help = "how long the record of a member that is gone is kept" },
	{ .flag = "key-rotation-s",
	  .kind = DY_SETTING_NUMBER,
	  .value = &values.key_rotation_s,
	  .default_text = G_STRINGIFY(DY_KEY_ROTATION_DEFAULT_S),
	  .min = 60,
	  .argument = "S",
	  .help = "interval between new token keys" },
	{ .flag = "key-distribute-s",
	  .kind = DY_SETTING_NUMBER,
	  .value = &values.key_distribute_s,
	  .default_text = G_STRINGIFY(DY_KEY_DISTRIBUTE_DEFAULT_S),
	  .min = 1,
	  .argument = "S",
	  .help = "time between distribution and first use of a key" },
	{ .flag = "key-renew-s",
	  .kind = DY_SETTING_NUMBER,
	  .value = &values.key_renew_s,
	  .default_text = G_STRINGIFY(DY_MEMBER_RETENTION_DEFAULT_S),
	  .min = 60,
	  .argument = "S",
	  .help = "how long a key is accepted after it stops signing" },
	{ .flag = "log-level",
	  .kind = DY_SETTING_CHOICE,
	  .value = &values.log_level,
	  .default_text = "info",
	  .argument = DY_LOG_CHOICES,
	  .help = "lowest level that is logged; default info" },
	{ 0 },
};

static gboolean set_value_error(const char *flag, const char *value,
				const char *expected, GError **error)
{
	g_set_error(error, DY_SETTINGS_ERROR, DY_SETTINGS_ERROR_VALUE,
		    "--%s: \"%s\" is not allowed: expected %s", flag, value,
		    expected);
	return FALSE;
}

static gboolean load_options(dy_control_options_t *options, GError **error)
{
	dy_command_start_log(values.log_level, "control");
	if (!dy_peers_parse(&options->peers, values.peers, error) ||
	    !dy_secrets_load(&options->secrets, values.key_file, error))
		return FALSE;
	if (!options->peers.slots[values.id].port)
		return set_value_error(
			"peers", values.peers,
			"a list that includes the --id of this control", error);
	options->group = values.group;
	options->slot = (uint32_t)values.id;
	options->folder = values.data;
	options->listen = values.listen;
	options->leases.lease_ms = values.lease_ms;
	options->leases.keep_ms = values.member_keep_s * 1000;
	options->keys.rotate_ms = values.key_rotation_s * 1000;
	options->keys.distribute_ms = values.key_distribute_s * 1000;
	options->keys.renew_ms = values.key_renew_s * 1000;
	return TRUE;
}

static int run(const dy_control_options_t *options)
{
	dy_metrics_t *metrics = dy_metrics_create();
	dy_loop_t *loop = dy_loop_create(metrics);
	GError *error = NULL;
	dy_control_t *control;
	int code = DY_EXIT_FAILED;

	control = dy_control_create(loop, metrics, options, &error);
	if (control) {
		dy_loop_on_stop(loop, dy_control_stop, control);
		dy_loop_run(loop);
		code = dy_control_exit_reason(control) == DY_CONTROL_DISK_FAILED
			       ? DY_EXIT_FAILED
			       : DY_EXIT_OK;
		if (code != DY_EXIT_OK)
			fputs("damaskyard control: the disk failed; see the "
			      "log\n",
			      stderr);
	} else {
		fprintf(stderr, "damaskyard control: %s\n", error->message);
		g_error_free(error);
	}
	dy_control_destroy(control);
	dy_loop_destroy(loop);
	dy_metrics_destroy(metrics);
	return code;
}

int dy_command_control(int argc, char **argv)
{
	dy_control_options_t options = { 0 };
	GError *error = NULL;
	int code;

	if (!dy_settings_load(argc, argv, "Run one control of the group.",
			      settings, NULL, &error) ||
	    !load_options(&options, &error))
		return dy_command_fail_usage("control", error);
	code = run(&options);
	dy_settings_clear(settings);
	return code;
}
