#include "damaskyard/liveness_port.h"

#include <string.h>

#include "damaskyard/port_check.h"
#include "fake_suite.h"

/* A process with a liveness port, and another one that checks it. */
typedef struct fixture {
	dy_metrics_t *metrics;
	dy_loop_t *late;
	dy_loop_t *loop;
	dy_liveness_port_t *port;
	dy_address_t address;
	dy_port_check_t *check;
	dy_port_state_t state;
} fixture_t;

static void on_checked(void *context, dy_port_state_t state)
{
	fixture_t *fixture = context;

	fixture->state = state;
	dy_loop_end(fixture->loop);
}

static void setup(fixture_t *fixture)
{
	dy_address_t any;

	memset(fixture, 0, sizeof(*fixture));
	dy_address_parse("127.0.0.1:0", &any);
	fixture->metrics = dy_metrics_create();
	fixture->late = dy_loop_create(fixture->metrics);
	fixture->loop = dy_loop_create(fixture->metrics);
	fixture->port = dy_liveness_port_create(fixture->late, &any, NULL);
	ck_assert_ptr_nonnull(fixture->port);
	fixture->address = *dy_liveness_port_address(fixture->port);
	fixture->check = dy_port_check_create(fixture->loop, &fixture->address,
					      on_checked, fixture);
}

static void teardown(fixture_t *fixture)
{
	dy_port_check_destroy(fixture->check);
	dy_liveness_port_destroy(fixture->port);
	dy_loop_destroy(fixture->late);
	dy_loop_destroy(fixture->loop);
	dy_metrics_destroy(fixture->metrics);
}

static dy_port_state_t check(fixture_t *fixture)
{
	dy_port_check_begin(fixture->check);
	dy_loop_run(fixture->loop);
	return fixture->state;
}

/* Guards against a busy process that looks like a VM without power. */
START_TEST(accepts_while_process_does_not_run)
{
	fixture_t fixture;

	setup(&fixture);
	ck_assert_int_eq(check(&fixture), DY_PORT_LISTENING);
	ck_assert_int_eq(check(&fixture), DY_PORT_LISTENING);
	teardown(&fixture);
}
END_TEST

/* A process that ended is not taken for a late one. */
START_TEST(refuses_after_process_ended)
{
	fixture_t fixture;

	setup(&fixture);
	dy_liveness_port_destroy(fixture.port);
	uv_run(dy_loop_uv(fixture.late), UV_RUN_NOWAIT);
	fixture.port = NULL;
	ck_assert_int_eq(check(&fixture), DY_PORT_REFUSED);
	teardown(&fixture);
}
END_TEST

START_TEST(reports_port_in_use)
{
	GError *error = NULL;
	fixture_t fixture;

	setup(&fixture);
	ck_assert_ptr_null(dy_liveness_port_create(fixture.loop,
						   &fixture.address, &error));
	ck_assert_ptr_nonnull(strstr(error->message, "cannot listen on"));
	g_error_free(error);
	teardown(&fixture);
}
END_TEST

static void end_loop(void *context)
{
	dy_loop_end(context);
}

static void count_tcp(uv_handle_t *handle, void *context)
{
	unsigned *count = context;

	if (handle->type == UV_TCP)
		++*count;
}

/* Guards against connections that pile up in a process that runs. */
START_TEST(closes_connections_when_process_runs)
{
	unsigned open = 0;
	fixture_t fixture;

	setup(&fixture);
	check(&fixture);
	check(&fixture);
	dy_loop_every(fixture.late, 20, end_loop, fixture.late);
	dy_loop_run(fixture.late);
	uv_walk(dy_loop_uv(fixture.late), count_tcp, &open);
	ck_assert_uint_eq(open, 1);
	teardown(&fixture);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		accepts_while_process_does_not_run,
		refuses_after_process_ended,
		reports_port_in_use,
		closes_connections_when_process_runs,
		NULL,
	};

	return fake_suite_run("liveness_port", tests);
}
