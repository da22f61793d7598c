#include "operator_api.h"

#include <string.h>

#include "damaskyard/document_pack.h"
#include "damaskyard/log.h"
#include "platform/calls.h"
#include "platform/configuration.h"

/*
 * Bytes of a configuration at most, some 16,000 entries. A control holds a few
 * of them at once.
 */
#define BODY_MAX_BYTES (4 * 1024 * 1024)

struct operator_api {
	dy_http_server_t *http;
	dy_control_t *control;
	dy_address_t listen;
	dy_loop_t *loop;
	dy_log_limit_t limit;
	uint64_t *submitted;
	uint64_t *acknowledged;
	uint64_t *invalid;
	uint64_t *unavailable;
	uint64_t *redirected;
	uint64_t *reads;
	uint64_t *domain_orders;
	uint64_t *domain_refused;
};

/* An order that waits for the log. */
typedef struct order {
	operator_api_t *door;
	dy_http_exchange_t *exchange;
	char *path; /* of the call, for a redirect */
	uint64_t version;
	uint64_t began_ms;
} order_t;

static order_t *begin_order(operator_api_t *door, dy_http_exchange_t *exchange,
			    const char *path)
{
	order_t *order = g_new0(order_t, 1);

	order->door = door;
	order->exchange = exchange;
	order->path = g_strdup(path);
	order->began_ms = dy_loop_now_ms(door->loop);
	return order;
}

static void free_order(order_t *order)
{
	g_free(order->path);
	g_free(order);
}

static void answer_unavailable(operator_api_t *door,
			       dy_http_exchange_t *exchange)
{
	++*door->unavailable;
	dy_http_answer_status(exchange, 503);
}

static void answer_invalid(operator_api_t *door, dy_http_exchange_t *exchange,
			   const char *message)
{
	++*door->invalid;
	if (dy_log_allow(&door->limit, "configuration_refused",
			 dy_loop_now_ms(door->loop)))
		dy_log_event(DY_LOG_INFO, "configuration_refused", "error=%s",
			     dy_log_quote(message));
	dy_http_answer_status(exchange, 400);
}

/*
 * Name the leader, whose door has this one's port. Returns 0 if none is known,
 * or it is this control, which cannot serve then.
 */
static int redirect(const order_t *order)
{
	operator_api_t *door = order->door;
	char text[DY_ADDRESS_TEXT_BYTES];
	dy_http_answer_t answer = { .status = 307 };
	dy_address_t leader;
	char *location;

	dy_control_leader(door->control, &leader);
	if (!leader.port)
		return 0;
	leader.port = door->listen.port;
	if (dy_address_equal(&leader, &door->listen))
		return 0;
	location = g_strdup_printf(
		"http://%s%s", dy_address_format(&leader, text), order->path);
	answer.location = location;
	++*door->redirected;
	dy_http_answer(order->exchange, &answer);
	g_free(location);
	return 1;
}

static void on_raised(void *context, dy_status_t status, const char *message)
{
	order_t *order = context;
	operator_api_t *door = order->door;
	uint64_t now = dy_loop_now_ms(door->loop);

	if (dy_log_allow(&door->limit, "configuration_decided", now))
		dy_log_event(DY_LOG_INFO, "configuration_decided",
			     "version=%lu status=%d ms=%lu",
			     (unsigned long)order->version, status,
			     (unsigned long)(now - order->began_ms));
	if (status == DY_STATUS_OK) {
		++*door->acknowledged;
		dy_http_answer_status(order->exchange, 200);
	} else if (status == DY_STATUS_MALFORMED) {
		answer_invalid(door, order->exchange, message);
	} else if (status != DY_STATUS_NOT_LEADER || !redirect(order)) {
		answer_unavailable(door, order->exchange);
	}
	free_order(order);
}

/*
 * Judged before any version is compared: what is invalid is refused also
 * where a higher version is in force, and by a control that does not lead.
 */
static void submit(operator_api_t *door, dy_http_exchange_t *exchange,
		   const dy_http_request_t *request)
{
	GError *error = NULL;
	GByteArray *packed;
	dy_flow_rules_t *rules;
	order_t *order;

	++*door->submitted;
	rules = platform_configuration_parse(request->body, request->body_len,
					     &error);
	if (!rules) {
		answer_invalid(door, exchange, error->message);
		g_error_free(error);
		return;
	}
	order = begin_order(door, exchange, request->path);
	order->version = dy_flow_rules_version(rules);
	dy_flow_rules_destroy(rules);
	packed = dy_document_pack(request->body, request->body_len);
	dy_control_publish(door->control, packed->data, packed->len,
			   order->version, on_raised, order);
	g_byte_array_unref(packed);
}

static void on_loaded(void *context, dy_status_t status, const uint8_t *bytes,
		      size_t size)
{
	order_t *order = context;
	dy_http_answer_t answer = { .status = 200 };
	GByteArray *plain = NULL;

	if (status == DY_STATUS_OK)
		plain = dy_document_unpack(bytes, size, BODY_MAX_BYTES);
	if (plain) {
		answer.body = plain->data;
		answer.body_len = plain->len;
		dy_http_answer(order->exchange, &answer);
		g_byte_array_unref(plain);
	} else if (status != DY_STATUS_NOT_LEADER || !redirect(order)) {
		answer_unavailable(order->door, order->exchange);
	}
	free_order(order);
}

static void read_configuration(operator_api_t *door,
			       dy_http_exchange_t *exchange,
			       const dy_http_request_t *request)
{
	++*door->reads;
	dy_control_read_document(door->control, on_loaded,
				 begin_order(door, exchange, request->path));
}

static int is_wanted(void *context)
{
	const order_t *order = context;

	return !dy_http_is_abandoned(order->exchange);
}

static void on_domain_ordered(void *context, dy_status_t status,
			      const char *message)
{
	order_t *order = context;
	operator_api_t *door = order->door;
	uint64_t now = dy_loop_now_ms(door->loop);

	if (dy_log_allow(&door->limit, "domain_order_decided", now))
		dy_log_event(DY_LOG_INFO, "domain_order_decided",
			     "path=%s status=%d ms=%lu message=%s",
			     dy_log_quote(order->path), status,
			     (unsigned long)(now - order->began_ms),
			     dy_log_quote(message));
	if (status == DY_STATUS_NOT_FOUND || status == DY_STATUS_CONFLICT)
		++*door->domain_refused;
	if (status == DY_STATUS_OK)
		dy_http_answer_status(order->exchange, 200);
	else if (status == DY_STATUS_NOT_FOUND)
		dy_http_answer_status(order->exchange, 404);
	else if (status == DY_STATUS_CONFLICT)
		dy_http_answer_status(order->exchange, 409);
	else if (status != DY_STATUS_NOT_LEADER || !redirect(order))
		answer_unavailable(door, order->exchange);
	free_order(order);
}

static void order_domain(operator_api_t *door, dy_http_exchange_t *exchange,
			 const dy_http_request_t *request, const char *domain,
			 int evacuated)
{
	dy_domain_change_t order = { 0 };

	++*door->domain_orders;
	order.domain = domain;
	order.evacuated = evacuated;
	order.is_caller_waiting = is_wanted;
	order.done = on_domain_ordered;
	order.context = begin_order(door, exchange, request->path);
	dy_control_change_domain(door->control, &order);
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
	operator_api_t *door = context;
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
	if (!door->control) {
		answer_unavailable(door, exchange);
		return;
	}
	if (call == PLATFORM_CALL_SUBMIT)
		submit(door, exchange, request);
	else if (call == PLATFORM_CALL_CONFIGURATION)
		read_configuration(door, exchange, request);
	else
		order_domain(door, exchange, request, id,
			     call == PLATFORM_CALL_EVACUATE);
}

operator_api_t *operator_api_create(dy_loop_t *loop, dy_metrics_t *metrics,
				    const dy_address_t *listen, GError **error)
{
	static const dy_log_limit_t limit = DY_LOG_LIMIT_INIT(50, 1000);
	operator_api_t *door = g_new0(operator_api_t, 1);
	dy_http_config_t config = { 0 };

	door->loop = loop;
	door->listen = *listen;
	door->limit = limit;
	door->submitted = dy_metrics_counter(metrics, "configurations");
	door->acknowledged =
		dy_metrics_counter(metrics, "configurations_acknowledged");
	door->invalid = dy_metrics_counter(metrics, "configurations_invalid");
	door->unavailable =
		dy_metrics_counter(metrics, "configurations_unavailable");
	door->redirected =
		dy_metrics_counter(metrics, "configurations_redirected");
	door->reads = dy_metrics_counter(metrics, "configuration_reads");
	door->domain_orders = dy_metrics_counter(metrics, "domain_orders");
	door->domain_refused =
		dy_metrics_counter(metrics, "domain_orders_refused");
	config.listen = *listen;
	config.body_max_bytes = BODY_MAX_BYTES;
	config.handle = on_request;
	config.context = door;
	door->http = dy_http_server_create(loop, metrics, &config, error);
	if (door->http)
		return door;
	g_free(door);
	return NULL;
}

void operator_api_destroy(operator_api_t *door)
{
	if (!door)
		return;
	dy_http_server_destroy(door->http);
	g_free(door);
}

void operator_api_set_control(operator_api_t *door, dy_control_t *control)
{
	door->control = control;
}

int operator_api_check_document(void *context, const uint8_t *bytes,
				size_t size, char *message, size_t message_size)
{
	GByteArray *plain = dy_document_unpack(bytes, size, BODY_MAX_BYTES);
	GError *error = NULL;
	dy_flow_rules_t *rules;

	(void)context;
	if (!plain) {
		g_strlcpy(message, "it is damaged", message_size);
		return 0;
	}
	rules = platform_configuration_parse(plain->data, plain->len, &error);
	g_byte_array_unref(plain);
	if (rules) {
		dy_flow_rules_destroy(rules);
		return 1;
	}
	g_strlcpy(message, error->message, message_size);
	g_error_free(error);
	return 0;
}
