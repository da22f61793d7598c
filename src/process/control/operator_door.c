#include "operator_door.h"

#include <string.h>

#include "damaskyard/document_pack.h"
#include "damaskyard/log.h"
#include "platform/calls.h"
#include "platform/configuration.h"

/*
 * Bytes of a configuration at most. Those of today are 140 KB with 560
 * entries; every control holds a few of them in 256 MB.
 */
#define BODY_MAX_BYTES (4 * 1024 * 1024)

struct operator_door {
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
};

/* An order that waits for the log. */
typedef struct order {
	operator_door_t *door;
	dy_http_exchange_t *exchange;
	uint64_t version;
	uint64_t began_ms;
} order_t;

static void answer_unavailable(operator_door_t *door,
			       dy_http_exchange_t *exchange)
{
	++*door->unavailable;
	dy_http_answer_status(exchange, 503);
}

static void answer_invalid(operator_door_t *door, dy_http_exchange_t *exchange,
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
static int redirect(operator_door_t *door, dy_http_exchange_t *exchange)
{
	char text[DY_ADDRESS_TEXT_BYTES];
	char location[128];
	dy_http_answer_t answer = { .status = 307, .location = location };
	dy_address_t leader;

	dy_control_leader(door->control, &leader);
	if (!leader.port)
		return 0;
	leader.port = door->listen.port;
	if (dy_address_equal(&leader, &door->listen))
		return 0;
	g_snprintf(location, sizeof(location), "http://%s%s",
		   dy_address_format(&leader, text),
		   PLATFORM_CONFIGURATION_PATH);
	++*door->redirected;
	dy_http_answer(exchange, &answer);
	return 1;
}

static void on_raised(void *context, dy_status_t status, const char *message)
{
	order_t *order = context;
	operator_door_t *door = order->door;
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
	} else if (status != DY_STATUS_NOT_LEADER ||
		   !redirect(door, order->exchange)) {
		answer_unavailable(door, order->exchange);
	}
	g_free(order);
}

/*
 * Judged before any version is compared: what is invalid is refused also
 * where a higher version is in force, and by a control that does not lead.
 */
static void submit(operator_door_t *door, dy_http_exchange_t *exchange,
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
	order = g_new0(order_t, 1);
	order->door = door;
	order->exchange = exchange;
	order->version = dy_flow_rules_version(rules);
	order->began_ms = dy_loop_now_ms(door->loop);
	dy_flow_rules_destroy(rules);
	packed = dy_document_pack(request->body, request->body_len);
	dy_control_raise(door->control, packed->data, packed->len,
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
	} else if (status != DY_STATUS_NOT_LEADER ||
		   !redirect(order->door, order->exchange)) {
		answer_unavailable(order->door, order->exchange);
	}
	g_free(order);
}

static void read_configuration(operator_door_t *door,
			       dy_http_exchange_t *exchange)
{
	order_t *order = g_new0(order_t, 1);

	++*door->reads;
	order->door = door;
	order->exchange = exchange;
	dy_control_load(door->control, on_loaded, order);
}

static void on_request(void *context, dy_http_exchange_t *exchange,
		       const dy_http_request_t *request)
{
	operator_door_t *door = context;
	platform_call_t call;
	const char *id;

	call = platform_call_find(request, &id);
	if (call == PLATFORM_CALL_METHOD)
		dy_http_answer_status(exchange, 405);
	else if (call != PLATFORM_CALL_SUBMIT &&
		 call != PLATFORM_CALL_CONFIGURATION)
		dy_http_answer_status(exchange, 404);
	else if (!door->control)
		answer_unavailable(door, exchange);
	else if (call == PLATFORM_CALL_SUBMIT)
		submit(door, exchange, request);
	else
		read_configuration(door, exchange);
}

operator_door_t *operator_door_create(dy_loop_t *loop, dy_metrics_t *metrics,
				      const dy_address_t *listen,
				      GError **error)
{
	static const dy_log_limit_t limit = DY_LOG_LIMIT_INIT(50, 1000);
	operator_door_t *door = g_new0(operator_door_t, 1);
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
	config.listen = *listen;
	config.body_max = BODY_MAX_BYTES;
	config.handle = on_request;
	config.context = door;
	door->http = dy_http_server_create(loop, metrics, &config, error);
	if (door->http)
		return door;
	g_free(door);
	return NULL;
}

void operator_door_destroy(operator_door_t *door)
{
	if (!door)
		return;
	dy_http_server_destroy(door->http);
	g_free(door);
}

void operator_door_set_control(operator_door_t *door, dy_control_t *control)
{
	door->control = control;
}

int operator_door_check(void *context, const uint8_t *bytes, size_t size,
			char *message, size_t message_size)
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
