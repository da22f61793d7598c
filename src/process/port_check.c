#include "damaskyard/port_check.h"

#include "damaskyard/log.h"

/* One connection. It lives until the loop has closed it, after its check. */
typedef struct attempt {
	uv_tcp_t tcp;
	uv_connect_t connect;
	dy_port_check_t *check; /* NULL: finished or cancelled */
} attempt_t;

struct dy_port_check {
	dy_loop_t *loop;
	dy_address_t address;
	dy_port_check_cb_t *done;
	void *context;
	attempt_t *attempt; /* in progress, or NULL */
	uv_timer_t timer;
};

static void on_attempt_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void finish(dy_port_check_t *check, dy_port_state_t state)
{
	attempt_t *attempt = check->attempt;

	uv_timer_stop(&check->timer);
	check->attempt = NULL;
	attempt->check = NULL;
	uv_close((uv_handle_t *)&attempt->tcp, on_attempt_closed);
	check->done(check->context, state);
}

static dy_port_state_t port_state_from_status(int status)
{
	switch (status) {
	case 0:
		return DY_PORT_LISTENING;
	case UV_ECONNREFUSED:
		return DY_PORT_REFUSED;
	default:
		return DY_PORT_UNKNOWN;
	}
}

static void on_connected(uv_connect_t *connect, int status)
{
	attempt_t *attempt = connect->data;

	if (attempt->check)
		finish(attempt->check, port_state_from_status(status));
}

static void on_timeout(uv_timer_t *timer)
{
	finish(timer->data, DY_PORT_UNKNOWN);
}

dy_port_check_t *dy_port_check_create(dy_loop_t *loop,
				      const dy_address_t *address,
				      dy_port_check_cb_t *done, void *context)
{
	dy_port_check_t *check = g_new0(dy_port_check_t, 1);

	check->loop = loop;
	check->address = *address;
	check->done = done;
	check->context = context;
	uv_timer_init(dy_loop_uv(loop), &check->timer);
	check->timer.data = check;
	return check;
}

static void on_check_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void dy_port_check_destroy(dy_port_check_t *check)
{
	if (!check)
		return;
	if (check->attempt) {
		check->attempt->check = NULL;
		uv_close((uv_handle_t *)&check->attempt->tcp,
			 on_attempt_closed);
	}
	uv_close((uv_handle_t *)&check->timer, on_check_closed);
}

void dy_port_check_begin(dy_port_check_t *check)
{
	struct sockaddr_storage to;
	attempt_t *attempt;
	int error;

	if (check->attempt)
		return;
	attempt = g_new0(attempt_t, 1);
	uv_tcp_init(dy_loop_uv(check->loop), &attempt->tcp);
	attempt->tcp.data = attempt;
	attempt->connect.data = attempt;
	attempt->check = check;
	check->attempt = attempt;
	uv_timer_start(&check->timer, on_timeout, DY_PORT_CHECK_TIMEOUT_MS, 0);
	dy_address_write(&check->address, &to);
	error = uv_tcp_connect(&attempt->connect, &attempt->tcp,
			       (struct sockaddr *)&to, on_connected);
	if (!error)
		return;
	dy_log_event(DY_LOG_WARN, "port_check_failed", "error=%s",
		     dy_log_quote(uv_strerror(error)));
	finish(check, DY_PORT_UNKNOWN);
}
