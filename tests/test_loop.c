#include "damaskyard/loop.h"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <string.h>

#include "fake_suite.h"

typedef struct fake {
	dy_loop_t *loop;
	dy_metrics_t *metrics;
	dy_endpoint_t *from;
	dy_endpoint_t *to;
	unsigned received;
	uint8_t last;
	unsigned ticks;
	uint64_t stall_ms;
} fake_t;

static void on_datagram(void *context, uint8_t *bytes, size_t len,
			const struct sockaddr *from, int truncated)
{
	fake_t *fake = context;

	(void)from;
	(void)truncated;
	fake->received++;
	if (len)
		fake->last = bytes[0];
}

static void setup(fake_t *fake)
{
	dy_address_t any;

	memset(fake, 0, sizeof(*fake));
	dy_address_parse("127.0.0.1:0", &any);
	fake->metrics = dy_metrics_create();
	fake->loop = dy_loop_create(fake->metrics);
	fake->from =
		dy_endpoint_create(fake->loop, &any, on_datagram, fake, NULL);
	fake->to =
		dy_endpoint_create(fake->loop, &any, on_datagram, fake, NULL);
	ck_assert_ptr_nonnull(fake->to);
}

static void teardown(fake_t *fake)
{
	dy_endpoint_destroy(fake->from);
	dy_endpoint_destroy(fake->to);
	dy_loop_destroy(fake->loop);
	dy_metrics_destroy(fake->metrics);
}

static void send_byte(fake_t *fake, uint8_t byte)
{
	ck_assert_int_eq(dy_endpoint_send_to(fake->from, &byte, 1,
					     dy_endpoint_address(fake->to)),
			 0);
}

/* Sends and suspends the process at tick 1, sends at 10, ends at 20. */
static void on_tick(void *context)
{
	fake_t *fake = context;

	fake->ticks++;
	if (fake->ticks == 1) {
		send_byte(fake, 1);
		send_byte(fake, 2);
		send_byte(fake, 3);
		g_usleep(fake->stall_ms * 1000);
	} else if (fake->ticks == 10) {
		send_byte(fake, 9);
	} else if (fake->ticks == 20) {
		dy_loop_end(fake->loop);
	}
}

/*
 * Guards against a call that runs twice. A balancer is suspended for an hour
 * with the call in its socket. Meanwhile the call is answered through another
 * balancer, and its entry in the duplicate request cache expires. On its
 * return the balancer would forward the old datagram. Datagrams that waited
 * must be dropped, and later ones must not.
 */
START_TEST(drops_datagrams_that_waited_during_stall)
{
	fake_t fake;

	setup(&fake);
	fake.stall_ms = DY_STALL_THRESHOLD_MS + 500;
	dy_loop_every(fake.loop, 20, on_tick, &fake);
	dy_loop_run(fake.loop);
	ck_assert_uint_eq(fake.received, 1);
	ck_assert_uint_eq(fake.last, 9);
	ck_assert_uint_eq(dy_metrics_value(fake.metrics, "stalled_datagrams"),
			  3);
	teardown(&fake);
}
END_TEST

START_TEST(keeps_datagrams_after_short_pause)
{
	fake_t fake;

	setup(&fake);
	fake.stall_ms = 100;
	dy_loop_every(fake.loop, 20, on_tick, &fake);
	dy_loop_run(fake.loop);
	ck_assert_uint_eq(fake.received, 4);
	ck_assert_uint_eq(dy_metrics_value(fake.metrics, "stalled_datagrams"),
			  0);
	teardown(&fake);
}
END_TEST

/* Guards against an agent that was late and left no trace of it. */
START_TEST(counts_late_tick)
{
	fake_t fake;

	setup(&fake);
	fake.stall_ms = 2 * DY_LATE_THRESHOLD_MS + 250;
	dy_loop_every(fake.loop, 20, on_tick, &fake);
	dy_loop_run(fake.loop);
	ck_assert_uint_ge(dy_metrics_value(fake.metrics, "late_ticks"), 1);
	teardown(&fake);
}
END_TEST

START_TEST(reports_port_in_use)
{
	GError *error = NULL;
	fake_t fake;

	setup(&fake);
	ck_assert_ptr_null(dy_endpoint_create(fake.loop,
					      dy_endpoint_address(fake.to),
					      on_datagram, &fake, &error));
	ck_assert_ptr_nonnull(strstr(error->message, "cannot listen on"));
	g_error_free(error);
	teardown(&fake);
}
END_TEST

static void count_signal(void *context)
{
	++*(int *)context;
}

static void end_loop(void *context)
{
	dy_loop_end(context);
}

/* Runs a loop that handles SIGHUP for a while; returns how often it came. */
static int run_reloading_loop(int raise_at_end)
{
	dy_metrics_t *metrics = dy_metrics_create();
	dy_loop_t *loop = dy_loop_create(metrics);
	int reloads = 0;

	dy_loop_on_reload(loop, count_signal, &reloads);
	dy_loop_every(loop, 30, end_loop, loop);
	dy_loop_run(loop);
	if (raise_at_end)
		raise(SIGHUP);
	dy_loop_destroy(loop);
	dy_metrics_destroy(metrics);
	return reloads;
}

/* SIGHUP ends a process that starts, or is between two loops, or is lost. */
START_TEST(reload_outside_loops_waits_for_next_loop)
{
	dy_loop_hold_reload();
	raise(SIGHUP);
	ck_assert_int_eq(run_reloading_loop(0), 1);
	raise(SIGHUP);
	ck_assert_int_eq(run_reloading_loop(1), 1);
	ck_assert_int_eq(run_reloading_loop(0), 1);
	ck_assert_int_eq(run_reloading_loop(0), 0);
}
END_TEST

/* Returns whether the loop was stopped within its time. */
static int run_stopping_loop(int raise_before, int raise_at_end)
{
	dy_metrics_t *metrics = dy_metrics_create();
	dy_loop_t *loop = dy_loop_create(metrics);
	int stops = 0;

	if (raise_before)
		raise(SIGTERM);
	dy_loop_on_stop(loop, count_signal, &stops);
	dy_loop_every(loop, 30, end_loop, loop);
	dy_loop_run(loop);
	if (raise_at_end)
		raise(SIGTERM);
	dy_loop_destroy(loop);
	dy_metrics_destroy(metrics);
	return stops;
}

/* A process that was started with its signals blocked can't be stopped. */
START_TEST(stops_although_signal_was_inherited_blocked)
{
	sigset_t all;

	sigfillset(&all);
	sigprocmask(SIG_BLOCK, &all, NULL);
	ck_assert_int_eq(run_stopping_loop(1, 0), 1);
	raise(SIGHUP);
	ck_assert_int_eq(run_reloading_loop(0), 1);
}
END_TEST

/* SIGTERM comes as a loop ends, and the process starts another and stays. */
START_TEST(stop_between_loops_ends_process)
{
	int status = 0;
	pid_t child = fork();

	if (!child) {
		dy_loop_hold_reload();
		run_stopping_loop(0, 1);
		_exit(0);
	}
	ck_assert_int_eq(waitpid(child, &status, 0), child);
	ck_assert(WIFSIGNALED(status));
	ck_assert_int_eq(WTERMSIG(status), SIGTERM);
}
END_TEST

/* The same with SIGTERM ignored, as a shell may leave it. */
START_TEST(stop_before_first_loop_ends_process)
{
	int status = 0;
	pid_t child = fork();

	if (!child) {
		signal(SIGTERM, SIG_IGN);
		dy_loop_hold_reload();
		raise(SIGTERM);
		_exit(0);
	}
	ck_assert_int_eq(waitpid(child, &status, 0), child);
	ck_assert(WIFSIGNALED(status));
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		drops_datagrams_that_waited_during_stall,
		keeps_datagrams_after_short_pause,
		counts_late_tick,
		reports_port_in_use,
		reload_outside_loops_waits_for_next_loop,
		stops_although_signal_was_inherited_blocked,
		stop_between_loops_ends_process,
		stop_before_first_loop_ends_process,
		NULL,
	};

	return fake_suite_run("loop", tests);
}
