#include "damaskyard/liveness_port.h"

#include "damaskyard/log.h"

/* Connections that wait while the process is late. */
#define BACKLOG 128

struct dy_liveness_port {
	uv_tcp_t listener;
	dy_loop_t *loop;
	dy_address_t address;
	dy_log_limit_t limit;
};

static void on_connection_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void log_failure(dy_liveness_port_t *port, int code)
{
	if (dy_log_allow(&port->limit, "liveness_port_failed",
			 dy_loop_now_ms(port->loop)))
		dy_log_event(DY_LOG_WARN, "liveness_port_failed", "error=%s",
			     dy_log_quote(uv_strerror(code)));
}

static void on_connection(uv_stream_t *listener, int status)
{
	dy_liveness_port_t *port = listener->data;
	uv_tcp_t *connection;

	if (status) {
		log_failure(port, status);
		return;
	}
	connection = g_new0(uv_tcp_t, 1);
	uv_tcp_init(dy_loop_uv(port->loop), connection);
	status = uv_accept(listener, (uv_stream_t *)connection);
	if (status)
		log_failure(port, status);
	uv_close((uv_handle_t *)connection, on_connection_closed);
}

static int listen_at(dy_liveness_port_t *port, const dy_address_t *address)
{
	struct sockaddr_storage at;
	int len = sizeof(at);
	int code;

	dy_address_write(address, &at);
	code = uv_tcp_bind(&port->listener, (struct sockaddr *)&at, 0);
	if (!code)
		code = uv_listen((uv_stream_t *)&port->listener, BACKLOG,
				 on_connection);
	if (!code)
		code = uv_tcp_getsockname(&port->listener,
					  (struct sockaddr *)&at, &len);
	if (!code)
		dy_address_load(&port->address, (struct sockaddr *)&at);
	return code;
}

dy_liveness_port_t *dy_liveness_port_create(dy_loop_t *loop,
					    const dy_address_t *address,
					    GError **error)
{
	static const dy_log_limit_t limit = DY_LOG_LIMIT_INIT(5, 10000);
	dy_liveness_port_t *port = g_new0(dy_liveness_port_t, 1);
	char text[DY_ADDRESS_TEXT_BYTES];
	int code;

	port->loop = loop;
	port->limit = limit;
	uv_tcp_init(dy_loop_uv(loop), &port->listener);
	port->listener.data = port;
	code = listen_at(port, address);
	if (!code)
		return port;
	g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
		    "cannot listen on %s: %s", dy_address_format(address, text),
		    uv_strerror(code));
	dy_liveness_port_destroy(port);
	return NULL;
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void dy_liveness_port_destroy(dy_liveness_port_t *port)
{
	if (port)
		uv_close((uv_handle_t *)&port->listener, on_closed);
}

const dy_address_t *dy_liveness_port_address(const dy_liveness_port_t *port)
{
	return &port->address;
}
