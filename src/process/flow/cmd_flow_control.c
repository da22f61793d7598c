/*
 * A control of a group with dynamic membership, with the HTTP API for the
 * platform's operator.
 */

#include <stdio.h>
#include <string.h>

#include "command.h"
#include "damaskyard/control.h"
#include "damaskyard/log.h"
#include "damaskyard/store.h"
#include "flow_member.h"
#include "metrics_page.h"
#include "operator_api.h"
#include "slot_claim.h"

/* A platform that provides the seeds has a single group. */
#define GROUP_NUMBER 1

/*
 * Size of the log from which a snapshot is written, in bytes: some twenty
 * packed documents. After a restart, a control with a twentieth of a core
 * applies that much in a few tenths of a second.
 */
#define SNAPSHOT_LOG_BYTES (256 * 1024)

/*
 * Minimum of the first election timeout after a start, in ms; the maximum is
 * twice that. A running leader sends two heartbeats in this time.
 */
#define FIRST_ELECTION_TIMEOUT_MS 75

/*
 * Delay before a failed control is started again, in ms. A full disk refuses
 * all writes for seconds, and an attempt is cheap.
 */
#define RESTART_DELAY_MS 300

static void fill_options(dy_control_options_t *options,
			 const dy_flow_settings_t *settings)
{
	memset(options, 0, sizeof(*options));
	options->group = GROUP_NUMBER;
	options->folder = settings->data;
	options->listen = settings->inner;
	options->dynamic_membership = 1;
	options->seeds = &settings->seeds;
	options->losses = settings->losses;
	options->domains = settings->domains;
	options->snapshot_bytes = SNAPSHOT_LOG_BYTES;
	options->first_election_ms = FIRST_ELECTION_TIMEOUT_MS;
	options->secrets = settings->secrets;
	options->leases.lease_ms = DY_LEASE_DEFAULT_MS;
	options->leases.keep_ms =
		(uint64_t)DY_MEMBER_RETENTION_DEFAULT_S * 1000;
	options->keys.rotate_ms = (uint64_t)DY_KEY_ROTATION_DEFAULT_S * 1000;
	options->keys.distribute_ms =
		(uint64_t)DY_KEY_DISTRIBUTE_DEFAULT_S * 1000;
	options->keys.renew_ms = (uint64_t)DY_MEMBER_RETENTION_DEFAULT_S * 1000;
}

static void on_settings(void *context)
{
	flow_member_t *member = context;

	dy_flow_settings_reload_seeds(&member->settings, member->path);
}

typedef struct stop_context {
	dy_control_t *control;
	int stopped;
} stop_context_t;

static void on_stop(void *context)
{
	stop_context_t *stop = context;

	stop->stopped = 1;
	dy_control_stop(stop->control);
}

/*
 * Run the control until it exits. Returns TRUE with exit_reason set, STOPPED
 * also if it failed after it was told to stop, or FALSE with error set if it
 * could not start.
 */
static gboolean run_control(flow_member_t *member,
			    dy_control_options_t *options,
			    dy_control_exit_reason_t *exit_reason,
			    GError **error)
{
	dy_metrics_t *metrics = dy_metrics_create();
	dy_loop_t *loop = dy_loop_create(metrics);
	stop_context_t stop = { 0 };
	dy_control_t *control = NULL;
	metrics_page_t *page = NULL;
	operator_api_t *api;

	api = operator_api_create(loop, metrics, &member->settings.control,
				  error);
	options->validate = operator_api_check_document;
	options->validate_context = api;
	if (api && member->settings.metrics.port)
		page = metrics_page_create(loop, metrics,
					   &member->settings.metrics, error);
	if (api && (page || !member->settings.metrics.port))
		control = dy_control_create(loop, metrics, options, error);
	if (control) {
		operator_api_set_control(api, control);
		stop.control = control;
		dy_loop_on_stop(loop, on_stop, &stop);
		dy_loop_on_reload(loop, on_settings, member);
		dy_loop_every(loop, FLOW_SETTINGS_RELOAD_INTERVAL_MS,
			      on_settings, member);
		dy_loop_run(loop);
		*exit_reason = stop.stopped ? DY_CONTROL_STOPPED
					    : dy_control_exit_reason(control);
	}
	dy_control_destroy(control);
	operator_api_destroy(api);
	metrics_page_destroy(page);
	dy_loop_destroy(loop);
	dy_metrics_destroy(metrics);
	return control != NULL;
}

static void log_restart(const GError *error)
{
	dy_log_event(DY_LOG_WARN, "control_restarting", "ms=%d error=%s",
		     RESTART_DELAY_MS,
		     dy_log_quote(error ? error->message : "disk"));
}

static int is_damaged(const GError *error)
{
	return g_error_matches(error, DY_STORE_ERROR, DY_STORE_ERROR_CORRUPT);
}

/*
 * Clear a store that is damaged, or whose identity is no longer a member. As
 * after the loss of its disk, the control then joins under a new identity, and
 * never votes under the old one.
 */
static void clear_store(const char *folder)
{
	GError *error = NULL;

	if (!dy_store_clear(folder, &error))
		return;
	dy_log_event(DY_LOG_ERROR, "store_not_cleared", "error=%s",
		     dy_log_quote(error->message));
	g_error_free(error);
}

/*
 * Run the control, and start it again when it fails. This survives a disk that
 * is full or failing for a while: the control exits, because it must not
 * continue after a failed write, and starts again from what the disk holds, as
 * a restarted process does.
 */
static int run_until_stopped(flow_member_t *member)
{
	dy_control_options_t options;
	dy_control_exit_reason_t exit_reason;
	GError *error = NULL;
	int claimed;

	for (;;) {
		fill_options(&options, &member->settings);
		exit_reason = DY_CONTROL_DISK_FAILED;
		claimed = slot_claim_run(&options, &member->settings,
					 member->path, &error);
		if (!claimed)
			return DY_EXIT_OK;
		if (claimed > 0)
			run_control(member, &options, &exit_reason, &error);
		if (!error && exit_reason == DY_CONTROL_STOPPED)
			return DY_EXIT_OK;
		log_restart(error);
		if (exit_reason == DY_CONTROL_EVICTED || is_damaged(error))
			clear_store(member->settings.data);
		g_clear_error(&error);
		g_usleep((gulong)RESTART_DELAY_MS * 1000);
	}
}

int dy_command_flow_control(int argc, char **argv)
{
	static flow_member_t member;
	int code = flow_member_load(&member, argc, argv, "flow-control",
				    "Run one control of the group beside "
				    "packet flows.",
				    DY_FLOW_CONTROL);

	if (code == DY_EXIT_OK) {
		dy_log_event(DY_LOG_INFO, "started", "name=%s first_start=%d",
			     member.settings.name, member.settings.first_start);
		code = run_until_stopped(&member);
	}
	flow_member_clear(&member);
	return code;
}
