#include "flow_member.h"

#include <unistd.h>

#include "command.h"
#include "damaskyard/log.h"

/* A stop ends this long before the limit of the settings, in ms. */
#define STOP_MARGIN_MS 700

int flow_member_load(flow_member_t *member, int argc, char **argv,
		     const char *command, const char *summary,
		     dy_flow_role_t role)
{
	char *path = NULL;
	const dy_setting_t flags[] = {
		{ .flag = "settings",
		  .kind = DY_SETTING_TEXT,
		  .value = &path,
		  .argument = "FILE",
		  .help = "key file; else what " PLATFORM_SETTINGS_VARIABLE
			  " names" },
		{ 0 },
	};
	GError *error = NULL;

	dy_loop_hold_reload();
	if (!dy_settings_load(argc, argv, summary, flags, NULL, &error))
		return dy_command_fail_usage(command, error);
	if (!path)
		path = g_strdup(g_getenv(PLATFORM_SETTINGS_VARIABLE));
	if (!path)
		g_set_error(
			&error, DY_SETTINGS_ERROR, DY_SETTINGS_ERROR_USAGE,
			"expected --settings FILE or " PLATFORM_SETTINGS_VARIABLE);
	if (!path ||
	    !dy_flow_settings_load(&member->settings, path, role, &error)) {
		g_free(path);
		return dy_command_fail_usage(command, error);
	}
	member->path = path;
	dy_log_set_descriptor(STDOUT_FILENO);
	dy_command_start_log(member->settings.log_level, command);
	return DY_EXIT_OK;
}

static void on_settings(void *context)
{
	flow_member_t *member = context;

	dy_flow_settings_reload_seeds(&member->settings, member->path);
}

static void on_datagram(void *context, uint8_t *bytes, size_t len,
			const struct sockaddr *from, int truncated)
{
	flow_member_t *member = context;

	member->receive(member->context, bytes, len, from, truncated);
}

gboolean flow_member_open(flow_member_t *member, dy_endpoint_cb_t *receive,
			  void *context, GError **error)
{
	member->receive = receive;
	member->context = context;
	member->metrics = dy_metrics_create();
	member->loop = dy_loop_create(member->metrics);
	member->seal =
		dy_seal_create(&member->settings.secrets, member->metrics);
	member->inner =
		dy_endpoint_create(member->loop, &member->settings.inner,
				   on_datagram, member, error);
	if (!member->inner)
		return FALSE;
	if (member->settings.metrics.port) {
		member->page =
			metrics_page_create(member->loop, member->metrics,
					    &member->settings.metrics, error);
		if (!member->page)
			return FALSE;
	}
	dy_loop_every(member->loop, FLOW_SETTINGS_RELOAD_INTERVAL_MS,
		      on_settings, member);
	dy_loop_on_reload(member->loop, on_settings, member);
	return TRUE;
}

void flow_member_subscribe(flow_member_t *member, dy_member_kind_t kind,
			   const dy_subscriber_callbacks_t *callbacks)
{
	dy_subscriber_config_t config = { 0 };

	config.loop = member->loop;
	config.endpoint = member->inner;
	config.seal = member->seal;
	config.metrics = member->metrics;
	config.controls = &member->settings.seeds;
	config.callbacks = callbacks;
	config.context = member->context;
	config.skip_ended = 1;
	member->subscriber = dy_subscriber_create(&config);
	member->info.kind = kind;
	member->info.name = member->settings.name;
	member->info.environment = FLOW_ENVIRONMENT;
	member->info.domain = member->settings.domain;
	member->info.address = member->settings.inner;
	if (!member->info.service)
		member->info.service = "";
	member->info.labels = "";
	dy_subscriber_set_info(member->subscriber, &member->info);
}

int flow_member_rejoin(flow_member_t *member, dy_status_t status)
{
	if (status != DY_STATUS_SUPERSEDED)
		return 0;
	dy_subscriber_rejoin(member->subscriber);
	dy_subscriber_set_info(member->subscriber, &member->info);
	return 1;
}

void flow_member_answer(dy_http_exchange_t *exchange, platform_call_t call,
			int ready)
{
	switch (call) {
	case PLATFORM_CALL_READY:
		dy_http_answer_status(exchange, ready ? 200 : 503);
		return;
	case PLATFORM_CALL_WRONG_METHOD:
		dy_http_answer_status(exchange, 405);
		return;
	default:
		dy_http_answer_status(exchange, 404);
	}
}

void flow_member_send(flow_member_t *member, const dy_address_t *to,
		      uint32_t program, uint32_t procedure, xdrproc_t proc,
		      void *args)
{
	dy_seal_header_t header = { 0, program, procedure };
	size_t len =
		dy_seal_write_call(member->seal, &header, proc, args,
				   member->send_buf, sizeof(member->send_buf));

	if (len)
		dy_endpoint_send_to(member->inner, member->send_buf, len, to);
}

uint64_t flow_member_stop_limit_ms(const flow_member_t *member)
{
	uint64_t limit_ms = member->settings.stop_ms;

	return limit_ms - MIN(limit_ms, (uint64_t)STOP_MARGIN_MS);
}

void flow_member_close(flow_member_t *member)
{
	metrics_page_destroy(member->page);
	dy_subscriber_destroy(member->subscriber);
	dy_endpoint_destroy(member->inner);
	dy_loop_destroy(member->loop);
	dy_seal_destroy(member->seal);
	dy_metrics_destroy(member->metrics);
}

void flow_member_clear(flow_member_t *member)
{
	dy_flow_settings_clear(&member->settings);
	g_free(member->path);
}
