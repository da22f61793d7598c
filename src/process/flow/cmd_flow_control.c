/*
 * A control of an open group, with the door for the platform's operator.
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

/* Number of the group: there is one where the seeds are told by a platform. */
#define GROUP 1

/*
 * A snapshot is written beyond this much log, in bytes: some twenty packed
 * documents of today's size, which a control with a twentieth of a core applies
 * in a few tenths of a second after a restart.
 */
#define SNAPSHOT_BYTES (256 * 1024)

/*
 * The first election of a control's life comes after this, in ms, to twice: a
 * leader that is there sends two heartbeats in it.
 */
#define FIRST_ELECTION_MS 75

/*
 * Before a control whose disk failed is started again, in ms. A full disk
 * refuses every write for seconds; trying costs little.
 */
#define RETRY_MS 300

static void fill_options(dy_control_options_t *options,
			 const dy_flow_settings_t *settings)
{
	memset(options, 0, sizeof(*options));
	options->group = GROUP;
	options->folder = settings->data;
	options->listen = settings->inner;
	options->dynamic_membership = 1;
	options->losses = settings->losses;
	options->domains = settings->domains;
	options->validate = operator_api_check_document;
	options->snapshot_bytes = SNAPSHOT_BYTES;
	options->first_election_ms = FIRST_ELECTION_MS;
	options->secrets = settings->secrets;
	options->leases.lease_ms = DY_LEASE_DEFAULT_MS;
	options->leases.keep_ms =
		(uint64_t)DY_MEMBER_RETENTION_DEFAULT_S * 1000;
	options->keys.rotate_ms = (uint64_t)DY_KEY_ROTATION_DEFAULT_S * 1000;
	options->keys.distribute_ms =
		(uint64_t)DY_KEY_DISTRIBUTE_DEFAULT_S * 1000;
	options->keys.renew_ms = (uint64_t)DY_MEMBER_RETENTION_DEFAULT_S * 1000;
}

typedef struct host {
	dy_flow_settings_t *settings;
	const char *path;
} host_t;

static void on_settings(void *context)
{
	host_t *host = context;

	dy_flow_settings_refresh(host->settings, host->path);
}

/* One life of the control. FALSE with error set if it could not begin. */
static gboolean run(flow_member_t *member, const dy_control_options_t *options,
		    dy_control_exit_reason_t *end, GError **error)
{
	dy_metrics_t *metrics = dy_metrics_create();
	dy_loop_t *loop = dy_loop_create(metrics);
	host_t host = { &member->settings, member->path };
	dy_control_t *control = NULL;
	metrics_page_t *page = NULL;
	operator_api_t *door;

	door = operator_api_create(loop, metrics, &member->settings.control,
				   error);
	if (door && member->settings.metrics.port)
		page = metrics_page_create(loop, metrics,
					   &member->settings.metrics, error);
	if (door && (page || !member->settings.metrics.port))
		control = dy_control_create(loop, metrics, options, error);
	if (control) {
		operator_api_set_control(door, control);
		dy_loop_on_stop(loop, dy_control_stop, control);
		dy_loop_on_reload(loop, on_settings, &host);
		dy_loop_every(loop, FLOW_SETTINGS_MS, on_settings, &host);
		dy_loop_run(loop);
		*end = dy_control_exit_reason(control);
	}
	dy_control_destroy(control);
	operator_api_destroy(door);
	metrics_page_destroy(page);
	dy_loop_destroy(loop);
	dy_metrics_destroy(metrics);
	return control != NULL;
}

static void log_retry(const GError *error)
{
	dy_log_event(DY_LOG_WARN, "control_starts_again", "ms=%d error=%s",
		     RETRY_MS, dy_log_quote(error ? error->message : "disk"));
}

static int is_damaged(const GError *error)
{
	return g_error_matches(error, DY_STORE_ERROR, DY_STORE_ERROR_CORRUPT);
}

/*
 * A store that is damaged, or whose identity is no member any more, is as
 * good as a lost disk: the control comes back as somebody else, and never
 * votes under the old identity.
 */
static void give_up_store(const char *folder)
{
	GError *error = NULL;

	if (!dy_store_clear(folder, &error))
		return;
	dy_log_event(DY_LOG_ERROR, "store_not_cleared", "error=%s",
		     dy_log_quote(error->message));
	g_error_free(error);
}

/*
 * Guards against a disk that is full or failing for a while: the control ends,
 * since it must not go on with a disk that did not take what it wrote, and
 * begins anew from what the disk holds, as a restarted process would.
 */
static int live(flow_member_t *member)
{
	dy_control_options_t options;
	dy_control_exit_reason_t end;
	GError *error = NULL;
	int placed;

	for (;;) {
		fill_options(&options, &member->settings);
		end = DY_CONTROL_DISK_FAILED;
		placed = slot_claim_run(&options, &member->settings, &error);
		if (!placed)
			return DY_EXIT_OK;
		if (placed > 0)
			run(member, &options, &end, &error);
		if (!error && end == DY_CONTROL_STOPPED)
			return DY_EXIT_OK;
		log_retry(error);
		if (end == DY_CONTROL_EVICTED || is_damaged(error))
			give_up_store(member->settings.data);
		g_clear_error(&error);
		g_usleep((gulong)RETRY_MS * 1000);
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
		code = live(&member);
	}
	flow_member_clear(&member);
	return code;
}
