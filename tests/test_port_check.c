#include "damaskyard/port_check.h"

#include <string.h>

#include "fake_suite.h"

/* Checks of one port, one after the other. */
typedef struct fake {
	dy_metrics_t *metrics;
	dy_loop_t *loop;
	dy_port_check_t *check;
	unsigned results;
	unsigned wanted; /* the loop ends with this one */
	dy_port_state_t state;
} fake_t;

static void on_checked(void *context, dy_port_state_t state)
{
	fake_t *fake = context;

	fake->state = state;
	if (++fake->results == fake->wanted)
		dy_loop_end(fake->loop);
}

static void setup(fake_t *fake, const dy_address_t *address)
{
	memset(fake, 0, sizeof(*fake));
	fake->metrics = dy_metrics_create();
	fake->loop = dy_loop_create(fake->metrics);
	fake->check =
		dy_port_check_create(fake->loop, address, on_checked, fake);
}

static void teardown(fake_t *fake)
{
	dy_port_check_destroy(fake->check);
	dy_loop_destroy(fake->loop);
	dy_metrics_destroy(fake->metrics);
}

static void run_until(fake_t *fake, unsigned wanted)
{
	fake->wanted = wanted;
	dy_loop_run(fake->loop);
}

static void on_connection(uv_stream_t *stream, int status)
{
	(void)stream;
	ck_assert_int_eq(status, 0);
}

/* A port of the loopback address, kept by a listener or free again. */
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

/* Checks of a port that a listener has open. */
static void open_and_setup(fake_t *fake, uv_loop_t *loop, uv_tcp_t *listener)
{
	dy_address_t address;

	uv_loop_init(loop);
	address = open_port(loop, listener);
	setup(fake, &address);
}

/* A target that listens is there, whether or not it takes the connection. */
START_TEST(listener_is_there)
{
	uv_loop_t loop;
	uv_tcp_t listener;
	fake_t fake;

	open_and_setup(&fake, &loop, &listener);
	dy_port_check_begin(fake.check);
	dy_port_check_begin(fake.check);
	run_until(&fake, 1);
	ck_assert_int_eq(fake.state, DY_PORT_LISTENING);
	ck_assert_uint_eq(fake.results, 1);
	teardown(&fake);
	close_port(&loop, &listener);
	uv_loop_close(&loop);
}
END_TEST

/* The target's process is gone: its VM's kernel refuses the connection. */
START_TEST(port_without_a_listener_is_refused)
{
	uv_loop_t loop;
	uv_tcp_t listener;
	fake_t fake;

	open_and_setup(&fake, &loop, &listener);
	close_port(&loop, &listener);
	uv_loop_close(&loop);
	dy_port_check_begin(fake.check);
	run_until(&fake, 1);
	ck_assert_int_eq(fake.state, DY_PORT_REFUSED);
	dy_port_check_begin(fake.check);
	run_until(&fake, 2);
	ck_assert_int_eq(fake.state, DY_PORT_REFUSED);
	teardown(&fake);
}
END_TEST

/* The agent stops while a check is under way. */
START_TEST(check_under_way_ends_with_its_owner)
{
	dy_address_t address;
	fake_t fake;

	dy_address_parse("127.0.0.1:9", &address);
	setup(&fake, &address);
	dy_port_check_begin(fake.check);
	teardown(&fake);
	ck_assert_uint_eq(fake.results, 0);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		listener_is_there,
		port_without_a_listener_is_refused,
		check_under_way_ends_with_its_owner,
		NULL,
	};

	return fake_suite_run("port_check", tests);
}
