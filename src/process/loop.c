#include "damaskyard/loop.h"

#include <pthread.h>
#include <signal.h>
#include <string.h>

#include "damaskyard/log.h"
#include "loop_private.h"

/* Interval of the tick: an eighth of DY_STALL_THRESHOLD_MS. */
#define TICK_MS 250

static void close_handle(uv_handle_t *handle, void *context)
{
	(void)context;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

/* A process that runs late looks to its peers as if its VM were paused. */
static void check_lateness(dy_loop_t *loop)
{
	uint64_t now_ms = uv_now(&loop->uv);
	uint64_t gap_ms = now_ms - loop->last_tick_ms;

	if (gap_ms < TICK_MS + DY_LATE_THRESHOLD_MS)
		return;
	++*loop->late_ticks;
	if (dy_log_allow(&loop->late_limit, "loop_late", now_ms))
		dy_log_event(DY_LOG_WARN, "loop_late", "ms=%lu",
			     (unsigned long)(gap_ms - TICK_MS));
}

static void on_tick(uv_timer_t *timer)
{
	dy_loop_t *loop = timer->data;

	check_lateness(loop);
	if (dy_loop_stalled(loop)) {
		loop->stall_generation++;
		++*loop->stalls;
		dy_log_event(DY_LOG_WARN, "process_stalled", "ms=%lu",
			     (unsigned long)(uv_now(&loop->uv) -
					     loop->last_tick_ms));
	}
	loop->last_tick_ms = uv_now(&loop->uv);
}

int dy_loop_stalled(const dy_loop_t *loop)
{
	return uv_now(&loop->uv) - loop->last_tick_ms > DY_STALL_THRESHOLD_MS;
}

static void change_mask(int how, int number)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, number);
	pthread_sigmask(how, &set, NULL);
}

void dy_loop_hold_reload(void)
{
	change_mask(SIG_BLOCK, SIGHUP);
	signal(SIGHUP, SIG_DFL);
	signal(SIGTERM, SIG_DFL);
	change_mask(SIG_UNBLOCK, SIGTERM);
	change_mask(SIG_UNBLOCK, SIGINT);
}

dy_loop_t *dy_loop_create(dy_metrics_t *metrics)
{
	static const dy_log_limit_t limit = DY_LOG_LIMIT_INIT(5, 1000);
	dy_loop_t *loop = g_new0(dy_loop_t, 1);

	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&loop->uv);
	dy_list_init(&loop->timers);
	loop->buffer = g_malloc(DY_LOOP_BUFFER_BYTES);
	loop->late_limit = limit;
	loop->late_ticks = dy_metrics_counter(metrics, "late_ticks");
	loop->stalls = dy_metrics_counter(metrics, "stalls");
	loop->stalled_datagrams =
		dy_metrics_counter(metrics, "stalled_datagrams");
	uv_timer_init(&loop->uv, &loop->tick);
	loop->tick.data = loop;
	uv_timer_start(&loop->tick, on_tick, TICK_MS, TICK_MS);
	loop->last_tick_ms = uv_now(&loop->uv);
	return loop;
}

static void close_unless_signal(uv_handle_t *handle, void *context)
{
	if (handle->type != UV_SIGNAL)
		close_handle(handle, context);
}

/*
 * Hold signals back and collect those that arrived after the last iteration:
 * their handlers are about to be removed, and the default action ends the
 * process.
 */
static void hold_signals(dy_loop_t *loop)
{
	if (loop->reload)
		change_mask(SIG_BLOCK, SIGHUP);
	if (loop->stop) {
		change_mask(SIG_BLOCK, SIGTERM);
		change_mask(SIG_BLOCK, SIGINT);
	}
	loop->closing = 1;
	uv_walk(&loop->uv, close_unless_signal, NULL);
	uv_run(&loop->uv, UV_RUN_NOWAIT);
}

/*
 * SIGHUP stays held back until the next loop takes it. A stop that no loop has
 * handled ends the process now.
 */
static void release_signals(const dy_loop_t *loop)
{
	if (loop->missed_reload)
		raise(SIGHUP);
	if (!loop->stop)
		return;
	if (loop->missed_stop)
		raise(loop->missed_stop);
	change_mask(SIG_UNBLOCK, SIGTERM);
	change_mask(SIG_UNBLOCK, SIGINT);
}

void dy_loop_destroy(dy_loop_t *loop)
{
	dy_list_t *pos;
	dy_list_t *tmp;

	if (!loop)
		return;
	hold_signals(loop);
	uv_walk(&loop->uv, close_handle, NULL);
	uv_run(&loop->uv, UV_RUN_DEFAULT);
	uv_loop_close(&loop->uv);
	release_signals(loop);
	DY_LIST_EACH_SAFE(pos, tmp, &loop->timers)
	g_free(DY_LIST_ITEM(pos, loop_timer_t, link));
	g_free(loop->buffer);
	g_free(loop);
}

uv_loop_t *dy_loop_uv(dy_loop_t *loop)
{
	return &loop->uv;
}

uint64_t dy_loop_now_ms(const dy_loop_t *loop)
{
	return uv_now(&loop->uv);
}

static void on_signal(uv_signal_t *handle, int number)
{
	dy_loop_t *loop = handle->data;

	dy_log_event(DY_LOG_INFO, "signal_received", "number=%d", number);
	if (loop->closing) {
		if (!loop->stopping)
			loop->missed_stop = number;
		return;
	}
	if (loop->stopping) {
		uv_stop(&loop->uv);
		return;
	}
	loop->stopping = 1;
	loop->stop(loop->stop_context);
}

/* The signal may be held back, by this process or by the one before exec. */
static void start_signal(dy_loop_t *loop, uv_signal_t *handle,
			 uv_signal_cb callback, int number)
{
	uv_signal_init(&loop->uv, handle);
	handle->data = loop;
	uv_signal_start(handle, callback, number);
	change_mask(SIG_UNBLOCK, number);
}

void dy_loop_on_stop(dy_loop_t *loop, dy_loop_signal_cb_t *stop, void *context)
{
	loop->stop = stop;
	loop->stop_context = context;
	start_signal(loop, &loop->sigterm, on_signal, SIGTERM);
	start_signal(loop, &loop->sigint, on_signal, SIGINT);
}

static void on_reload(uv_signal_t *handle, int number)
{
	dy_loop_t *loop = handle->data;

	dy_log_event(DY_LOG_INFO, "signal_received", "number=%d", number);
	if (loop->closing)
		loop->missed_reload = 1;
	else
		loop->reload(loop->reload_context);
}

void dy_loop_on_reload(dy_loop_t *loop, dy_loop_signal_cb_t *reload,
		       void *context)
{
	loop->reload = reload;
	loop->reload_context = context;
	start_signal(loop, &loop->sighup, on_reload, SIGHUP);
}

void dy_loop_run(dy_loop_t *loop)
{
	uv_run(&loop->uv, UV_RUN_DEFAULT);
}

void dy_loop_end(dy_loop_t *loop)
{
	uv_stop(&loop->uv);
}

static void on_timer(uv_timer_t *handle)
{
	loop_timer_t *timer = handle->data;

	timer->run(timer->context);
}

void dy_loop_every(dy_loop_t *loop, uint64_t period_ms, dy_loop_timer_cb_t *run,
		   void *context)
{
	loop_timer_t *timer = g_new0(loop_timer_t, 1);

	timer->run = run;
	timer->context = context;
	uv_timer_init(&loop->uv, &timer->handle);
	timer->handle.data = timer;
	dy_list_append(&loop->timers, &timer->link);
	uv_timer_start(&timer->handle, on_timer, period_ms, period_ms);
}
