#ifndef DAMASKYARD_LOOP_PRIVATE_H
#define DAMASKYARD_LOOP_PRIVATE_H

/* Internals that loop.c and endpoint.c share. */

#include "damaskyard/list.h"
#include "damaskyard/log.h"
#include "damaskyard/loop.h"

/*
 * Size of the receive buffer that all sockets of the loop share. libuv splits
 * it into slots of 64 KB, one per datagram, and fills them in one system call.
 */
#define DY_LOOP_BUFFER_BYTES (16 * 65536)

typedef struct loop_timer {
	dy_list_t link;
	uv_timer_t handle;
	dy_loop_timer_cb_t *run;
	void *context;
} loop_timer_t;

struct dy_loop {
	uv_loop_t uv;
	uv_timer_t tick;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uv_signal_t sighup;
	dy_loop_signal_cb_t *reload;
	void *reload_context;
	dy_list_t timers;
	uint64_t last_tick_ms;
	uint64_t stall_generation; /* number of stalls seen by the tick */
	uint64_t *late_ticks;
	dy_log_limit_t late_limit;
	uint64_t *stalls;
	uint64_t *stalled_datagrams;
	char *buffer;
	int stopping; /* a stop signal was received */
	dy_loop_signal_cb_t *stop;
	void *stop_context;
	int closing;	   /* signals are collected, not handled */
	int missed_stop;   /* the one that was collected, or 0 */
	int missed_reload; /* SIGHUP was collected */
};

/* Returns whether the last tick was more than DY_STALL_THRESHOLD_MS ago. */
int dy_loop_stalled(const dy_loop_t *loop);

#endif
