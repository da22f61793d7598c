#include "damaskyard/http.h"

#include <string.h>

#include <http_parser.h>

#include "damaskyard/list.h"

/* Limit of a request's path; the longest paths name a target. */
#define PATH_MAX_BYTES 512

/* Connections waiting to be accepted; the kernel retries further ones. */
#define LISTEN_BACKLOG 128

/* Limit of bytes read after a request while it is handled. */
#define PIPELINED_MAX_BYTES 65536

#define IDLE_CHECK_INTERVAL_MS 1000

typedef struct connection {
	dy_list_t link;
	uv_tcp_t tcp;
	dy_http_server_t *server;
	dy_http_exchange_t *exchange; /* being handled, or NULL */
	http_parser parser;
	GString *path;
	GByteArray *body;
	GByteArray *pipelined; /* bytes after the request being handled */
	guint pipelined_used;  /* of them, parsed since */
	uint64_t last_active_ms;
	int complete;
	int answering; /* an answer has not been written yet */
	int too_large;
	int keep_alive;
	int input_ended; /* the caller closed its side */
	int closing;
} connection_t;

struct dy_http_exchange {
	connection_t *connection; /* NULL: closed */
};

struct dy_http_server {
	dy_loop_t *loop;
	dy_http_config_t config;
	uv_tcp_t *listener;
	uv_timer_t *idle_timer;
	dy_address_t address;
	dy_list_t connections;
	unsigned connection_count;
	uint64_t *requests;
	uint64_t *malformed;
	uint64_t *refused;
};

typedef struct response {
	uv_write_t write;
	char *bytes;
} response_t;

static void free_connection(uv_handle_t *handle)
{
	connection_t *connection = handle->data;

	g_string_free(connection->path, TRUE);
	g_byte_array_free(connection->body, TRUE);
	g_byte_array_free(connection->pipelined, TRUE);
	g_free(connection);
}

static void close_connection(connection_t *connection)
{
	if (connection->closing)
		return;
	connection->closing = 1;
	if (connection->exchange)
		connection->exchange->connection = NULL;
	dy_list_remove(&connection->link);
	connection->server->connection_count--;
	uv_close((uv_handle_t *)&connection->tcp, free_connection);
}

static void resume_reading(connection_t *connection);

/*
 * The next request is handled only now: a caller that sends many at once, or
 * reads no answers, must not make answers or stack frames pile up.
 */
static void on_written(uv_write_t *write, int status)
{
	response_t *response = write->data;
	connection_t *connection = write->handle->data;

	g_free(response->bytes);
	g_free(response);
	connection->answering = 0;
	if (status < 0 || !connection->keep_alive)
		close_connection(connection);
	else if (!connection->closing)
		resume_reading(connection);
}

static const char *reason_phrase(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 307:
		return "Temporary Redirect";
	case 400:
		return "Bad Request";
	case 404:
		return "Not Found";
	case 405:
		return "Method Not Allowed";
	case 409:
		return "Conflict";
	case 413:
		return "Payload Too Large";
	default:
		return "Service Unavailable";
	}
}

static void send_answer(connection_t *connection,
			const dy_http_answer_t *answer)
{
	response_t *response = g_new0(response_t, 1);
	GString *out = g_string_sized_new(256 + answer->body_len);
	uv_buf_t buf;

	g_string_printf(out,
			"HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
			"Content-Length: %zu\r\n",
			answer->status, reason_phrase(answer->status),
			answer->type ? answer->type : "application/json",
			answer->body_len);
	if (answer->location)
		g_string_append_printf(out, "Location: %s\r\n",
				       answer->location);
	if (!connection->keep_alive)
		g_string_append(out, "Connection: close\r\n");
	g_string_append(out, "\r\n");
	if (answer->body_len)
		g_string_append_len(out, answer->body,
				    (gssize)answer->body_len);
	buf = uv_buf_init(out->str, (unsigned)out->len);
	response->bytes = g_string_free(out, FALSE);
	response->write.data = response;
	connection->answering = 1;
	if (uv_write(&response->write, (uv_stream_t *)&connection->tcp, &buf, 1,
		     on_written)) {
		g_free(response->bytes);
		g_free(response);
		close_connection(connection);
	}
}

static void answer_malformed(connection_t *connection, int status)
{
	const dy_http_answer_t answer = { .status = status };

	++*connection->server->malformed;
	connection->keep_alive = 0;
	uv_read_stop((uv_stream_t *)&connection->tcp);
	send_answer(connection, &answer);
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	connection_t *connection = parser->data;

	if (connection->path->len + len > PATH_MAX_BYTES)
		return 1;
	g_string_append_len(connection->path, at, (gssize)len);
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	connection_t *connection = parser->data;

	if (connection->body->len + len >
	    connection->server->config.body_max_bytes) {
		connection->too_large = 1;
		return 1;
	}
	g_byte_array_append(connection->body, (const guint8 *)at, (guint)len);
	return 0;
}

/* Pause the parser after each request, as one is handled at a time. */
static int on_complete(http_parser *parser)
{
	connection_t *connection = parser->data;

	connection->complete = 1;
	connection->keep_alive = http_should_keep_alive(parser);
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_url = on_url,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void handle_request(connection_t *connection)
{
	dy_http_server_t *server = connection->server;
	dy_http_request_t request;

	++*server->requests;
	connection->complete = 0;
	connection->exchange = g_new0(dy_http_exchange_t, 1);
	connection->exchange->connection = connection;
	request.method =
		http_method_str((enum http_method)connection->parser.method);
	request.path = connection->path->str;
	request.body = connection->body->data;
	request.body_len = connection->body->len;
	server->config.handle(server->config.context, connection->exchange,
			      &request);
}

/*
 * Returns the number of bytes up to the end of a request, which is complete
 * then, or len.
 */
static size_t parse(connection_t *connection, const char *bytes, size_t len)
{
	size_t parsed = http_parser_execute(&connection->parser,
					    &parser_settings, bytes, len);
	enum http_errno code = HTTP_PARSER_ERRNO(&connection->parser);

	if (connection->complete && code == HPE_PAUSED) {
		http_parser_pause(&connection->parser, 0);
		return parsed;
	}
	if (code != HPE_OK || connection->parser.upgrade)
		answer_malformed(connection, connection->too_large ? 413 : 400);
	return len;
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char read_buf[65536];

	(void)handle;
	(void)suggested;
	buf->base = read_buf;
	buf->len = sizeof(read_buf);
}

/*
 * Read on while a request is handled and answered, to detect that its caller
 * has closed.
 */
static void read_pipelined(connection_t *connection, const char *bytes,
			   ssize_t len)
{
	GByteArray *pipelined = connection->pipelined;

	g_byte_array_remove_range(pipelined, 0, connection->pipelined_used);
	connection->pipelined_used = 0;
	if (len > 0)
		g_byte_array_append(pipelined, (const guint8 *)bytes,
				    (guint)len);
	connection->input_ended |= len < 0;
	if (len < 0 || pipelined->len > PIPELINED_MAX_BYTES)
		uv_read_stop((uv_stream_t *)&connection->tcp);
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	connection_t *connection = stream->data;
	size_t parsed;

	if (connection->exchange || connection->answering) {
		read_pipelined(connection, buf->base, len);
		return;
	}
	if (len < 0) {
		close_connection(connection);
		return;
	}
	if (!len)
		return;
	connection->last_active_ms = dy_loop_now_ms(connection->server->loop);
	parsed = parse(connection, buf->base, (size_t)len);
	g_byte_array_append(connection->pipelined,
			    (const guint8 *)buf->base + parsed,
			    (guint)((size_t)len - parsed));
	if (connection->complete)
		handle_request(connection);
}

static void parse_pipelined(connection_t *connection)
{
	GByteArray *pipelined = connection->pipelined;
	guint *used = &connection->pipelined_used;

	*used += (guint)parse(connection, (const char *)pipelined->data + *used,
			      pipelined->len - *used);
	if (*used < pipelined->len)
		return;
	g_byte_array_set_size(pipelined, 0);
	*used = 0;
}

static void resume_reading(connection_t *connection)
{
	const GByteArray *pipelined = connection->pipelined;

	g_string_truncate(connection->path, 0);
	g_byte_array_set_size(connection->body, 0);
	if (pipelined->len)
		parse_pipelined(connection);
	if (!connection->answering &&
	    pipelined->len - connection->pipelined_used <= PIPELINED_MAX_BYTES)
		uv_read_start((uv_stream_t *)&connection->tcp, on_alloc,
			      on_read);
	if (connection->complete)
		handle_request(connection);
}

void dy_http_answer(dy_http_exchange_t *exchange,
		    const dy_http_answer_t *answer)
{
	connection_t *connection = exchange->connection;

	g_free(exchange);
	if (!connection)
		return;
	connection->exchange = NULL;
	connection->last_active_ms = dy_loop_now_ms(connection->server->loop);
	if (connection->input_ended && !connection->pipelined->len)
		connection->keep_alive = 0;
	send_answer(connection, answer);
}

int dy_http_is_abandoned(const dy_http_exchange_t *exchange)
{
	return !exchange->connection || exchange->connection->input_ended;
}

void dy_http_answer_status(dy_http_exchange_t *exchange, int status)
{
	const dy_http_answer_t answer = { .status = status,
					  .body = "{}",
					  .body_len = 2 };

	dy_http_answer(exchange, &answer);
}

static void on_connection(uv_stream_t *stream, int status)
{
	dy_http_server_t *server = stream->data;
	connection_t *connection;

	if (status < 0)
		return;
	connection = g_new0(connection_t, 1);
	connection->server = server;
	connection->path = g_string_new(NULL);
	connection->body = g_byte_array_new();
	connection->pipelined = g_byte_array_new();
	connection->last_active_ms = dy_loop_now_ms(server->loop);
	http_parser_init(&connection->parser, HTTP_REQUEST);
	connection->parser.data = connection;
	uv_tcp_init(dy_loop_uv(server->loop), &connection->tcp);
	connection->tcp.data = connection;
	dy_list_append(&server->connections, &connection->link);
	server->connection_count++;
	if (uv_accept(stream, (uv_stream_t *)&connection->tcp) ||
	    server->connection_count > DY_HTTP_CONNECTIONS_MAX) {
		++*server->refused;
		close_connection(connection);
		return;
	}
	uv_tcp_nodelay(&connection->tcp, 1);
	uv_read_start((uv_stream_t *)&connection->tcp, on_alloc, on_read);
}

/*
 * Close connections whose peer has vanished without a reset; each would occupy
 * a file descriptor forever.
 */
static void close_idle_connections(uv_timer_t *timer)
{
	dy_http_server_t *server = timer->data;
	uint64_t now = dy_loop_now_ms(server->loop);
	connection_t *connection;
	dy_list_t *pos;
	dy_list_t *tmp;

	DY_LIST_EACH_SAFE(pos, tmp, &server->connections)
	{
		connection = DY_LIST_ITEM(pos, connection_t, link);
		if (now - connection->last_active_ms > DY_HTTP_IDLE_TIMEOUT_MS)
			close_connection(connection);
	}
}

static void free_handle(uv_handle_t *handle)
{
	g_free(handle);
}

static int listen_at(dy_http_server_t *server)
{
	struct sockaddr_storage at;
	int len = sizeof(at);
	int code;

	uv_tcp_init(dy_loop_uv(server->loop), server->listener);
	server->listener->data = server;
	dy_address_write(&server->config.listen, &at);
	code = uv_tcp_bind(server->listener, (struct sockaddr *)&at, 0);
	if (!code)
		code = uv_listen((uv_stream_t *)server->listener,
				 LISTEN_BACKLOG, on_connection);
	if (!code)
		code = uv_tcp_getsockname(server->listener,
					  (struct sockaddr *)&at, &len);
	if (!code)
		dy_address_load(&server->address, (struct sockaddr *)&at);
	return code;
}

dy_http_server_t *dy_http_server_create(dy_loop_t *loop, dy_metrics_t *metrics,
					const dy_http_config_t *config,
					GError **error)
{
	dy_http_server_t *server = g_new0(dy_http_server_t, 1);
	char text[DY_ADDRESS_TEXT_BYTES];
	int code;

	server->loop = loop;
	server->config = *config;
	dy_list_init(&server->connections);
	server->requests = dy_metrics_counter(metrics, "http_requests");
	server->malformed = dy_metrics_counter(metrics, "http_malformed");
	server->refused = dy_metrics_counter(metrics, "http_refused");
	server->listener = g_new0(uv_tcp_t, 1);
	server->idle_timer = g_new0(uv_timer_t, 1);
	uv_timer_init(dy_loop_uv(loop), server->idle_timer);
	server->idle_timer->data = server;
	uv_timer_start(server->idle_timer, close_idle_connections,
		       IDLE_CHECK_INTERVAL_MS, IDLE_CHECK_INTERVAL_MS);
	code = listen_at(server);
	if (!code)
		return server;
	g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
		    "cannot listen on %s: %s",
		    dy_address_format(&config->listen, text),
		    uv_strerror(code));
	dy_http_server_destroy(server);
	return NULL;
}

void dy_http_server_destroy(dy_http_server_t *server)
{
	dy_list_t *pos;
	dy_list_t *tmp;

	if (!server)
		return;
	DY_LIST_EACH_SAFE(pos, tmp, &server->connections)
	close_connection(DY_LIST_ITEM(pos, connection_t, link));
	uv_close((uv_handle_t *)server->listener, free_handle);
	uv_close((uv_handle_t *)server->idle_timer, free_handle);
	g_free(server);
}

const dy_address_t *dy_http_server_address(const dy_http_server_t *server)
{
	return &server->address;
}
