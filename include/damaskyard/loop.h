#ifndef DAMASKYARD_LOOP_H
#define DAMASKYARD_LOOP_H

/*
 * The one loop of a process, its signals, and its datagram sockets.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "damaskyard/address.h"
#include "damaskyard/metrics.h"

/*
 * A process that did not run for this long was stopped, or its machine was.
 * What then waits in its sockets may be of any age: a call in it may have
 * been answered long ago by another way, and its duplicate-request record
 * may be gone. It is dropped and counted (stalled_datagrams); to a caller
 * that is a lost datagram, which it sends again.
 *
 * 2 s is several ticks, so a busy loop is not taken for a stopped one, and
 * far below DY_RETRANSMIT_WINDOW_MS, within which a copy is still recognised.
 */
#define DY_STALL_THRESHOLD_MS 2000

/*
 * The time within which a copy of a datagram may still arrive, in ms: a
 * stock client's total timeout of 25 s and the network's own maximum segment
 * lifetime of 60 s, rounded up.
 */
#define DY_RETRANSMIT_WINDOW_MS 120000

typedef struct dy_loop dy_loop_t;

/*
 * Registers the counters stalls and stalled_datagrams in metrics. SIGPIPE is
 * ignored from then on: a write to a closed connection is an error of that
 * connection alone.
 */
dy_loop_t *dy_loop_create(dy_metrics_t *metrics);

/* Closes every handle that is still open, runs their callbacks and frees. */
void dy_loop_destroy(dy_loop_t *loop);

uv_loop_t *dy_loop_uv(dy_loop_t *loop);

/* Milliseconds, monotonic, as of this turn of the loop. */
uint64_t dy_loop_now_ms(const dy_loop_t *loop);

/*
 * Call stop(context) at SIGTERM or SIGINT: the process is to shut down
 * gracefully. A second signal ends the loop at once.
 */
typedef void dy_loop_signal_cb_t(void *context);
void dy_loop_on_stop(dy_loop_t *loop, dy_loop_signal_cb_t *stop, void *context);

/*
 * Call reload(context) at each SIGHUP. Without this call SIGHUP ends the
 * process.
 */
void dy_loop_on_reload(dy_loop_t *loop, dy_loop_signal_cb_t *reload,
		       void *context);

/* Run until dy_loop_end(). */
void dy_loop_run(dy_loop_t *loop);
void dy_loop_end(dy_loop_t *loop);

/*
 * A repeating timer. Owned by the loop; the callback runs every period_ms.
 */
typedef void dy_loop_timer_cb_t(void *context);
void dy_loop_every(dy_loop_t *loop, uint64_t period_ms,
		   dy_loop_timer_cb_t *timer, void *context);

/* A datagram socket. */
typedef struct dy_endpoint dy_endpoint_t;

/*
 * Takes one datagram. bytes is valid during the call only and may be written
 * to. truncated is set if the datagram was larger than its buffer.
 */
typedef void dy_endpoint_cb_t(void *context, uint8_t *bytes, size_t len,
			      const struct sockaddr *from, int truncated);

/*
 * Bind a socket to address (port 0: a free one) and receive on it. Returns
 * NULL with error set if it cannot be bound.
 */
dy_endpoint_t *dy_endpoint_create(dy_loop_t *loop, const dy_address_t *address,
				  dy_endpoint_cb_t *receive, void *context,
				  GError **error);
void dy_endpoint_destroy(dy_endpoint_t *endpoint);

/* Returns the address it is bound to, with the true port. */
const dy_address_t *dy_endpoint_address(const dy_endpoint_t *endpoint);

/*
 * Send one datagram. Returns 0, or a negative libuv error; a datagram that
 * the kernel has no room for is lost, as the network might have lost it.
 */
int dy_endpoint_send(dy_endpoint_t *endpoint, const uint8_t *bytes, size_t len,
		     const struct sockaddr *to);
int dy_endpoint_send_to(dy_endpoint_t *endpoint, const uint8_t *bytes,
			size_t len, const dy_address_t *to);

#endif
