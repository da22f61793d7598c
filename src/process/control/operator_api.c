#include "operator_api.h"

#include <string.h>

#include "damaskyard/document_pack.h"
#include "damaskyard/log.h"
#include "platform/calls.h"
#include "platform/configuration.h"

/*
 * Limit for one configuration, some 16,000 entries. A control holds a few of
 * them in memory at once.
 */
#define BODY_MAX_BYTES (4 * 1024 * 1024)

struct operator_api {
	dy_http_server_t *http;
	dy_control_t *control;
	dy_address_t listen;
	dy_loop_t *loop;
	dy_log_limit_t limit;
	platform_configuration_loader_t *loader;
	uint64_t *submitted;
	uint64_t *acknowledged;
	uint64_t *invalid;
	uint64_t *entries_parsed;
	uint64_t *parsed_whole;
	uint64_t *unavailable;
	uint64_t *redirected;
	uint64_t *reads;
	uint64_t *domain_changes;
	uint64_t *domain_changes_refused;
};

/* An operator's call that waits for the log. */
typedef struct api_call {
	operator_api_t *api;
	dy_http_exchange_t *exchange;
	char *path; /* request path, for a redirect */
	uint64_t version;
	uint64_t started_ms;
} api_call_t;

static api_call_t *create_call(operator_api_t *api,
			       dy_http_exchange_t *exchange, const char *path)
{
	api_call_t *call = g_new0(api_call_t, 1);

	call->api = api;
	call->exchange = exchange;
	call->path = g_strdup(path);
	call->started_ms = dy_loop_now_ms(api->loop);
	return call;
}

static void destroy_call(api_call_t *call)
{
	g_free(call->path);
	g_free(call);
}

static void answer_unavailable(operator_api_t *api,
			       dy_http_exchange_t *exchange)
{
	++*api->unavailable;
	dy_http_answer_status(exchange, 503);
}

static void answer_invalid(operator_api_t *api, dy_http_exchange_t *exchange,
			   const char *message)
{
	++*api->invalid;
	if (dy_log_allow(&api->limit, "configuration_refused",
			 dy_loop_now_ms(api->loop)))
		dy_log_event(DY_LOG_INFO, "configuration_refused", "error=%s",
			     dy_log_quote(message));
	dy_http_answer_status(exchange, 400);
}

/*
 * Redirects to the leader, whose interface has the same port as this one.
 * Returns 0 if no leader is known, or if the leader is this control, which does
 * not serve in that case.
 */
static int redirect(const api_call_t *call)
{
	operator_api_t *api = call->api;
	char text[DY_ADDRESS_TEXT_BYTES];
	dy_http_answer_t answer = { .status = 307 };
	dy_address_t leader;
	char *location;

	dy_control_leader(api->control, &leader);
	if (!leader.port)
		return 0;
	leader.port = api->listen.port;
	if (dy_address_equal(&leader, &api->listen))
		return 0;
	location = g_strdup_printf(
		"http://%s%s", dy_address_format(&leader, text), call->path);
	answer.location = location;
	++*api->redirected;
	dy_http_answer(call->exchange, &answer);
	g_free(location);
	return 1;
}

/* version: of a change; 0 for a read. */
static void log_decision(const api_call_t *call, const char *event,
			 uint64_t version, dy_status_t status)
{
	operator_api_t *api = call->api;
	uint64_t now = dy_loop_now_ms(api->loop);
	char text[DY_ADDRESS_TEXT_BYTES];
	dy_address_t leader;

	if (!dy_log_allow(&api->limit, event, now))
		return;
	dy_control_leader(api->control, &leader);
	dy_log_event(DY_LOG_INFO, event,
		     "version=%lu status=%d ms=%lu leader=%s",
		     (unsigned long)version, status,
		     (unsigned long)(now - call->started_ms),
		     leader.port ? dy_address_format(&leader, text) : "none");
}

static void on_published(void *context, dy_status_t status, const char *message)
{
	api_call_t *call = context;
	operator_api_t *api = call->api;

	log_decision(call, "configuration_decided", call->version, status);
	if (status == DY_STATUS_OK) {
		++*api->acknowledged;
		dy_http_answer_status(call->exchange, 200);
	} else if (status == DY_STATUS_MALFORMED) {
		answer_invalid(api, call->exchange, message);
	} else if (status != DY_STATUS_NOT_LEADER || !redirect(call)) {
		answer_unavailable(api, call->exchange);
	}
	destroy_call(call);
}

/* Returns the rules of a configuration, or NULL with error set. */
static dy_flow_rules_t *load_rules(operator_api_t *api, const void *bytes,
				   size_t len, GError **error)
{
	platform_load_t load;
	dy_flow_rules_t *rules = platform_configuration_loader_load(
		api->loader, bytes, len, &load, error);

	if (!rules)
		return NULL;
	*api->entries_parsed += load.parsed;
	*api->parsed_whole += (uint64_t)load.whole;
	return rules;
}

/*
 * The configuration is validated before any version is compared: an invalid one
 * is rejected also where a higher version is in force, and by a control that
 * does not lead.
 */
static void submit(operator_api_t *api, dy_http_exchange_t *exchange,
		   const dy_http_request_t *request)
{
	GError *error = NULL;
	GByteArray *packed;
	dy_flow_rules_t *rules;
	api_call_t *call;

	++*api->submitted;
	rules = load_rules(api, request->body, request->body_len, &error);
	if (!rules) {
		answer_invalid(api, exchange, error->message);
		g_error_free(error);
		return;
	}
	call = create_call(api, exchange, request->path);
	call->version = dy_flow_rules_version(rules);
	dy_flow_rules_destroy(rules);
	packed = dy_document_pack(request->body, request->body_len);
	dy_control_publish(api->control, packed->data, packed->len,
			   call->version, on_published, call);
	g_byte_array_unref(packed);
}

static void on_document_read(void *context, dy_status_t status,
			     const uint8_t *bytes, size_t size)
{
	api_call_t *call = context;
	dy_http_answer_t answer = { .status = 200 };
	GByteArray *plain = NULL;

	log_decision(call, "configuration_read", 0, status);
	if (status == DY_STATUS_OK)
		plain = dy_document_unpack(bytes, size, BODY_MAX_BYTES);
	if (plain) {
		answer.body = plain->data;
		answer.body_len = plain->len;
		dy_http_answer(call->exchange, &answer);
		g_byte_array_unref(plain);
	} else if (status != DY_STATUS_NOT_LEADER || !redirect(call)) {
		answer_unavailable(call->api, call->exchange);
	}
	destroy_call(call);
}

static void read_configuration(operator_api_t *api,
			       dy_http_exchange_t *exchange,
			       const dy_http_request_t *request)
{
	++*api->reads;
	dy_control_read_document(api->control, on_document_read,
				 create_call(api, exchange, request->path));
}

static int is_caller_waiting(void *context)
{
	const api_call_t *call = context;

	return !dy_http_is_abandoned(call->exchange);
}

static void on_domain_changed(void *context, dy_status_t status,
			      const char *message)
{
	api_call_t *call = context;
	operator_api_t *api = call->api;
	uint64_t now = dy_loop_now_ms(api->loop);

	if (dy_log_allow(&api->limit, "domain_order_decided", now))
		dy_log_event(DY_LOG_INFO, "domain_order_decided",
			     "path=%s status=%d ms=%lu message=%s",
			     dy_log_quote(call->path), status,
			     (unsigned long)(now - call->started_ms),
			     dy_log_quote(message));
	if (status == DY_STATUS_NOT_FOUND || status == DY_STATUS_CONFLICT)
		++*api->domain_changes_refused;
	if (status == DY_STATUS_OK)
		dy_http_answer_status(call->exchange, 200);
	else if (status == DY_STATUS_NOT_FOUND)
		dy_http_answer_status(call->exchange, 404);
	else if (status == DY_STATUS_CONFLICT)
		dy_http_answer_status(call->exchange, 409);
	else if (status != DY_STATUS_NOT_LEADER || !redirect(call))
		answer_unavailable(api, call->exchange);
	destroy_call(call);
}

static void change_domain(operator_api_t *api, dy_http_exchange_t *exchange,
			  const dy_http_request_t *request, const char *domain,
			  int evacuated)
{
	dy_domain_change_t change = { 0 };

	++*api->domain_changes;
	change.domain = domain;
	change.evacuated = evacuated;
	change.is_caller_waiting = is_caller_waiting;
	change.done = on_domain_changed;
	change.context = create_call(api, exchange, request->path);
	dy_control_change_domain(api->control, &change);
}

static int is_served(platform_call_t call)
{
	return call == PLATFORM_CALL_SUBMIT ||
	       call == PLATFORM_CALL_CONFIGURATION ||
	       call == PLATFORM_CALL_EVACUATE || call == PLATFORM_CALL_READMIT;
}

static void on_request(void *context, dy_http_exchange_t *exchange,
		       const dy_http_request_t *request)
{
	operator_api_t *api = context;
	platform_call_t call;
	const char *id;

	call = platform_call_find(request, &id);
	if (call == PLATFORM_CALL_WRONG_METHOD) {
		dy_http_answer_status(exchange, 405);
		return;
	}
	if (!is_served(call)) {
		dy_http_answer_status(exchange, 404);
		return;
	}
	if (!api->control) {
		answer_unavailable(api, exchange);
		return;
	}
	if (call == PLATFORM_CALL_SUBMIT)
		submit(api, exchange, request);
	else if (call == PLATFORM_CALL_CONFIGURATION)
		read_configuration(api, exchange, request);
	else
		change_domain(api, exchange, request, id,
			      call == PLATFORM_CALL_EVACUATE);
}

operator_api_t *operator_api_create(dy_loop_t *loop, dy_metrics_t *metrics,
				    const dy_address_t *listen, GError **error)
{
	static const dy_log_limit_t limit = DY_LOG_LIMIT_INIT(50, 1000);
	operator_api_t *api = g_new0(operator_api_t, 1);
	dy_http_config_t config = { 0 };

	api->loop = loop;
	api->listen = *listen;
	api->limit = limit;
	api->submitted = dy_metrics_counter(metrics, "configurations");
	api->acknowledged =
		dy_metrics_counter(metrics, "configurations_acknowledged");
	api->invalid = dy_metrics_counter(metrics, "configurations_invalid");
	api->entries_parsed =
		dy_metrics_counter(metrics, "configuration_entries_parsed");
	api->parsed_whole =
		dy_metrics_counter(metrics, "configurations_parsed_whole");
	api->unavailable =
		dy_metrics_counter(metrics, "configurations_unavailable");
	api->redirected =
		dy_metrics_counter(metrics, "configurations_redirected");
	api->reads = dy_metrics_counter(metrics, "configuration_reads");
	api->domain_changes = dy_metrics_counter(metrics, "domain_orders");
	api->domain_changes_refused =
		dy_metrics_counter(metrics, "domain_orders_refused");
	config.listen = *listen;
	config.body_max_bytes = BODY_MAX_BYTES;
	config.handle = on_request;
	config.context = api;
	api->http = dy_http_server_create(loop, metrics, &config, error);
	if (api->http) {
		api->loader = platform_configuration_loader_create();
		return api;
	}
	g_free(api);
	return NULL;
}

void operator_api_destroy(operator_api_t *api)
{
	if (!api)
		return;
	dy_http_server_destroy(api->http);
	platform_configuration_loader_destroy(api->loader);
	g_free(api);
}

void operator_api_set_control(operator_api_t *api, dy_control_t *control)
{
	api->control = control;
}

int operator_api_check_document(void *context, const uint8_t *bytes,
				size_t size, char *message, size_t message_size)
{
	GByteArray *plain = dy_document_unpack(bytes, size, BODY_MAX_BYTES);
	operator_api_t *api = context;
	GError *error = NULL;
	dy_flow_rules_t *rules;

	if (!plain) {
		g_strlcpy(message, "the compressed document is damaged",
			  message_size);
		return 0;
	}
	rules = load_rules(api, plain->data, plain->len, &error);
	g_byte_array_unref(plain);
	if (rules) {
		dy_flow_rules_destroy(rules);
		return 1;
	}
	g_strlcpy(message, error->message, message_size);
	g_error_free(error);
	return 0;
}
