#ifndef DAMASKYARD_LINK_QUEUE_H
#define DAMASKYARD_LINK_QUEUE_H

/*
 * Queue of a balancer's forwards in front of a network link of limited rate.
 * This module does no I/O: forwards are put in, and the callback sends them.
 *
 * Load pattern: uploads through a link of a few Mbit/s. Each caller sends up
 * to 16 full packets at once, and several callers do so at the same time.
 * Without it: the link's own buffer, 50 ms on small VMs, overflows and drops
 * packets of all flows and control messages alike. Each loss costs a caller a
 * timeout of 200 ms or more, and the packets that it then sends again take half
 * of the link (congestion collapse).
 * Mechanism: a token bucket sends at the link's rate, and what exceeds it waits
 * here. Each flow has a queue of its own. Flows are served in turn by deficit
 * round robin, and flows that had nothing waiting go first, so that requests
 * and acknowledgements do not wait behind uploads. A retransmission of a packet
 * that still waits replaces it. Control messages are not queued; they are
 * charged to the link.
 */

#include <stddef.h>
#include <stdint.h>

#include "damaskyard/metrics.h"
#include "damaskyard/packet.h"

/*
 * Size of the token bucket, in ms at the link's rate: how much is sent at once
 * after an idle time. It is less than half of the 50 ms that the smallest
 * link buffers hold, and several times the interval of dy_link_queue_serve().
 */
#define DY_LINK_BURST_MS 20

/*
 * Part of the link's rate that is used, in percent. A link that is offered all
 * of its rate has a full buffer, and drops packets for as long as the queue
 * here has any. The rest also covers headers below IP.
 */
#define DY_LINK_SHARE_PERCENT 95

/* Interval of dy_link_queue_serve() while forwards wait, in ms. */
#define DY_LINK_SERVE_INTERVAL_MS 5

/*
 * Maximum number of waiting forwards, of 2 KB each: 4 MB of a balancer's 60.
 * Beyond it the flow with the most waiting forwards loses its oldest one.
 */
#define DY_LINK_QUEUE_MAX 2000

typedef struct dy_link_queue dy_link_queue_t;

typedef struct dy_link_queue_config {
	uint64_t bytes_per_s; /* rate of the link; 0: unlimited */
	dy_metrics_t *metrics;
	/* Sends a forward. Returns its size on the link, in bytes. */
	size_t (*send)(void *context, dy_flow_forward_t *forward);
	void *context;
} dy_link_queue_config_t;

/*
 * Create an empty queue. config is copied; what it points to must outlive the
 * queue.
 */
dy_link_queue_t *dy_link_queue_create(const dy_link_queue_config_t *config);

/* Free the queue and drop what waits. NULL is allowed. */
void dy_link_queue_destroy(dy_link_queue_t *queue);

/* Record a message of this size that was sent without the queue. */
void dy_link_queue_charge(dy_link_queue_t *queue, size_t bytes,
			  uint64_t now_ms);

/*
 * Send a forward, or queue a copy of it. packet is the decoded
 * forward->packet. Returns the number of forwards that wait now, as
 * dy_link_queue_serve() does.
 */
unsigned dy_link_queue_push(dy_link_queue_t *queue, dy_flow_forward_t *forward,
			    const dy_packet_t *packet, uint64_t now_ms);

/*
 * Send waiting forwards at the rate of the link. Returns the number of those
 * that still wait; call it again after DY_LINK_SERVE_INTERVAL_MS then.
 */
unsigned dy_link_queue_serve(dy_link_queue_t *queue, uint64_t now_ms);

/* Returns the number of waiting forwards. */
unsigned dy_link_queue_count(const dy_link_queue_t *queue);

/* Returns whether a forward of the flow waits. */
int dy_link_queue_has(const dy_link_queue_t *queue, const dy_flow_id_t *flow);

/* Returns the time that the waiting forwards take on the link, in ms. */
unsigned dy_link_queue_backlog_ms(const dy_link_queue_t *queue);

#endif
