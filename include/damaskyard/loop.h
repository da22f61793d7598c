#ifndef DAMASKYARD_LOOP_H
#define DAMASKYARD_LOOP_H

/*
 * The event loop of a process, its signals, timers and datagram sockets.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "damaskyard/address.h"
#include "damaskyard/metrics.h"

/*
 * A process that did not run for this time in ms is taken to have been
 * suspended, alone or with its VM. The datagrams that wait in its sockets may
 * then be of any age: a call among them may have been answered long ago
 * through another process, and its entry in the duplicate request cache may
 * have expired, so that it would run twice. They are dropped and counted
 * (stalled_datagrams). To a caller this is a lost datagram, which it
 * retransmits.
 *
 * 2 s is eight ticks, so that a busy loop does not count as suspended, and
 * far below DY_RETRANSMIT_WINDOW_MS, for which duplicates are recognised.
 */
#define DY_STALL_THRESHOLD_MS 2000

/*
 * Delay of the loop's tick in ms from which it is logged (loop_late) and
 * counted (late_ticks). Peers count a process as unresponsive after
 * DY_FLOW_UNRESPONSIVE_TIMEOUT_MS, of which this is a fifth.
 */
#define DY_LATE_THRESHOLD_MS 200

/*
 * Time in ms after which no retransmission or duplicate of a datagram arrives
 * any more: the default total timeout of an ONC RPC caller (25 s) plus the
 * maximum segment lifetime of the network (60 s), rounded up.
 */
#define DY_RETRANSMIT_WINDOW_MS 120000

typedef struct dy_loop dy_loop_t;

/*
 * Create the loop, to free with dy_loop_destroy(). Registers the counters
 * late_ticks, stalls and stalled_datagrams in metrics, which must outlive the
 * loop.
 * Ignores SIGPIPE, so that a write to a closed connection fails only for that
 * connection.
 */
dy_loop_t *dy_loop_create(dy_metrics_t *metrics);

/*
 * Close all open handles, run their close callbacks and free the loop. A
 * SIGHUP from now on waits for the next loop that handles it, if this one did;
 * SIGTERM and SIGINT end the process, also one that came while the loop ended.
 */
void dy_loop_destroy(dy_loop_t *loop);

/*
 * Hold SIGHUP back until a loop handles it, so that one that comes while the
 * process starts is neither lost nor ends it, and let the signals that stop it
 * through, whatever the process inherited. A process that reloads its settings
 * calls this before it reads them.
 */
void dy_loop_hold_reload(void);

/* Returns the libuv loop, for handles of the caller's own. */
uv_loop_t *dy_loop_uv(dy_loop_t *loop);

/* Returns the monotonic time in ms at the start of this loop iteration. */
uint64_t dy_loop_now_ms(const dy_loop_t *loop);

/*
 * Call stop(context) at the first SIGTERM or SIGINT, to start a graceful
 * shutdown. A second signal ends the loop at once.
 */
typedef void dy_loop_signal_cb_t(void *context);
void dy_loop_on_stop(dy_loop_t *loop, dy_loop_signal_cb_t *stop, void *context);

/*
 * Call reload(context) at each SIGHUP, and soon if one was held back. Without
 * this SIGHUP ends the process, unless it is held back.
 */
void dy_loop_on_reload(dy_loop_t *loop, dy_loop_signal_cb_t *reload,
		       void *context);

/* Run the loop until dy_loop_end(). */
void dy_loop_run(dy_loop_t *loop);
void dy_loop_end(dy_loop_t *loop);

/*
 * Call timer(context) every period_ms, first after period_ms. The loop owns
 * the timer; it runs until the loop is destroyed.
 */
typedef void dy_loop_timer_cb_t(void *context);
void dy_loop_every(dy_loop_t *loop, uint64_t period_ms,
		   dy_loop_timer_cb_t *timer, void *context);

/* Size of the IPv4 and UDP headers of a datagram on the link, in bytes. */
#define DY_ENDPOINT_HEADER_BYTES 28

/* A UDP socket. */
typedef struct dy_endpoint dy_endpoint_t;

/*
 * Receives one datagram. bytes is valid during the call only and may be
 * written to. truncated is set if the datagram was larger than its buffer.
 */
typedef void dy_endpoint_cb_t(void *context, uint8_t *bytes, size_t len,
			      const struct sockaddr *from, int truncated);

/*
 * Bind a socket to address (port 0: any free port) and call receive(context)
 * for each datagram. Returns the endpoint, or NULL with error set if the
 * socket cannot be bound. Destroy it before the loop.
 */
dy_endpoint_t *dy_endpoint_create(dy_loop_t *loop, const dy_address_t *address,
				  dy_endpoint_cb_t *receive, void *context,
				  GError **error);
void dy_endpoint_destroy(dy_endpoint_t *endpoint);

/* Returns the address that the socket is bound to, with the actual port. */
const dy_address_t *dy_endpoint_address(const dy_endpoint_t *endpoint);

/*
 * Send one datagram without waiting. Returns 0, or a negative libuv error. A
 * datagram that does not fit the socket's send buffer is lost, as it could be
 * on the network.
 */
int dy_endpoint_send(dy_endpoint_t *endpoint, const uint8_t *bytes, size_t len,
		     const struct sockaddr *to);
int dy_endpoint_send_to(dy_endpoint_t *endpoint, const uint8_t *bytes,
			size_t len, const dy_address_t *to);

/* Returns how much was sent on the link, in bytes, headers included. */
uint64_t dy_endpoint_sent_bytes(const dy_endpoint_t *endpoint);

#endif
