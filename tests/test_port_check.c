#include "damaskyard/port_check.h"

#include <string.h>

#include "fake_suite.h"

/* Successive checks of one port. */
typedef struct fixture {
	dy_metrics_t *metrics;
	dy_loop_t *loop;
	dy_port_check_t *check;
	unsigned results;
	unsigned expected_results; /* the loop ends after as many */
	dy_port_state_t state;
} fixture_t;

static void on_checked(void *context, dy_port_state_t state)
{
	fixture_t *fixture = context;

	fixture->state = state;
	if (++fixture->results == fixture->expected_results)
		dy_loop_end(fixture->loop);
}

static void setup(fixture_t *fixture, const dy_address_t *address)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->metrics = dy_metrics_create();
	fixture->loop = dy_loop_create(fixture->metrics);
	fixture->check = dy_port_check_create(fixture->loop, address,
					      on_checked, fixture);
}

static void teardown(fixture_t *fixture)
{
	dy_port_check_destroy(fixture->check);
	dy_loop_destroy(fixture->loop);
	dy_metrics_destroy(fixture->metrics);
}

static void run_until(fixture_t *fixture, unsigned expected_results)
{
	fixture->expected_results = expected_results;
	dy_loop_run(fixture->loop);
}

static void on_connection(uv_stream_t *stream, int status)
{
	(void)stream;
	ck_assert_int_eq(status, 0);
}

/* Listen at a free port of the loopback address, and return the address. */
static dy_address_t open_port(uv_loop_t *loop, uv_tcp_t *listener)
{
	struct sockaddr_storage name;
	int len = sizeof(name);
	dy_address_t address;

	dy_address_parse("127.0.0.1:0", &address);
	dy_address_write(&address, &name);
	uv_tcp_init(loop, listener);
	ck_assert_int_eq(uv_tcp_bind(listener, (struct sockaddr *)&name, 0), 0);
	ck_assert_int_eq(uv_listen((uv_stream_t *)listener, 8, on_connection),
			 0);
	uv_tcp_getsockname(listener, (struct sockaddr *)&name, &len);
	dy_address_load(&address, (struct sockaddr *)&name);
	return address;
}

static void close_port(uv_loop_t *loop, uv_tcp_t *listener)
{
	uv_close((uv_handle_t *)listener, NULL);
	uv_run(loop, UV_RUN_DEFAULT);
}

/* Set up checks of a port with a listener. */
static void setup_with_listener(fixture_t *fixture, uv_loop_t *loop,
				uv_tcp_t *listener)
{
	dy_address_t address;

	uv_loop_init(loop);
	address = open_port(loop, listener);
	setup(fixture, &address);
}

/* The kernel accepts the connection even if the target never does. */
START_TEST(reports_listening_port_once)
{
	uv_loop_t loop;
	uv_tcp_t listener;
	fixture_t fixture;

	setup_with_listener(&fixture, &loop, &listener);
	dy_port_check_begin(fixture.check);
	dy_port_check_begin(fixture.check);
	run_until(&fixture, 1);
	ck_assert_int_eq(fixture.state, DY_PORT_LISTENING);
	ck_assert_uint_eq(fixture.results, 1);
	teardown(&fixture);
	close_port(&loop, &listener);
	uv_loop_close(&loop);
}
END_TEST

/* The target's process has ended, so the kernel refuses the connection. */
START_TEST(reports_refused_if_no_process_listens)
{
	uv_loop_t loop;
	uv_tcp_t listener;
	fixture_t fixture;

	setup_with_listener(&fixture, &loop, &listener);
	close_port(&loop, &listener);
	uv_loop_close(&loop);
	dy_port_check_begin(fixture.check);
	run_until(&fixture, 1);
	ck_assert_int_eq(fixture.state, DY_PORT_REFUSED);
	dy_port_check_begin(fixture.check);
	run_until(&fixture, 2);
	ck_assert_int_eq(fixture.state, DY_PORT_REFUSED);
	teardown(&fixture);
}
END_TEST

/* The agent stops while a check is in progress. */
START_TEST(destroy_cancels_check_in_progress)
{
	dy_address_t address;
	fixture_t fixture;

	dy_address_parse("127.0.0.1:9", &address);
	setup(&fixture, &address);
	dy_port_check_begin(fixture.check);
	teardown(&fixture);
	ck_assert_uint_eq(fixture.results, 0);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		reports_listening_port_once,
		reports_refused_if_no_process_listens,
		destroy_cancels_check_in_progress,
		NULL,
	};

	return fake_suite_run("port_check", tests);
}
