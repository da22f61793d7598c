#ifndef DAMASKYARD_OPENING_QUEUE_H
#define DAMASKYARD_OPENING_QUEUE_H

/*
 * Queue of openings (SYN packets of new flows) that wait at an agent until
 * their target has capacity. This module does no I/O.
 *
 * Load pattern: power is back or targets were lost, and all callers open flows
 * within a second to targets that are slow after their start.
 * Without it: targets queue what they can and refuse the rest. Each refusal
 * costs a caller one of its two retries and comes back at once as another
 * opening, and the queued requests are answered too late. For seconds hardly
 * any request is in time, and many callers run out of retries.
 * Mechanism: while the target has as many requests as it can answer in time,
 * openings wait here, where they cost neither callers nor targets anything. The
 * newest leaves first: its caller can still be served in time, unlike the
 * oldest's, and the oldest's caller has another retry left. An opening that has
 * waited for the maximum time is refused at once.
 */

#include <stddef.h>
#include <stdint.h>

#include "damaskyard/stored_forward.h"

/*
 * Capacity of the queue. A target has 2,000 flows of one caller each; the queue
 * holds an eighth of them. An entry takes 2 KB.
 */
#define DY_OPENINGS_MAX 256

/*
 * Maximum wait. A caller abandons an opening after 1,400 ms; an earlier refusal
 * leaves it time for a retry.
 */
#define DY_OPENING_WAIT_MAX_MS 500

typedef struct dy_opening_queue dy_opening_queue_t;

/* An opening: a balancer's forward and its decoded packet. */
typedef struct dy_opening {
	dy_stored_forward_t stored;
	dy_packet_t packet;
} dy_opening_t;

/* Copies a SYN's forward and packet, and what they point to, into opening. */
void dy_opening_set(dy_opening_t *opening, const dy_flow_forward_t *forward,
		    const dy_packet_t *packet);

/* Creates an empty queue. */
dy_opening_queue_t *dy_opening_queue_create(void);
/* Frees queue; NULL is allowed. */
void dy_opening_queue_destroy(dy_opening_queue_t *queue);

/*
 * Enqueues an opening; forward and what it points to are copied. A
 * retransmission of a queued opening replaces it and keeps its position and
 * wait time. Returns 0 if the queue is full.
 */
int dy_opening_queue_add(dy_opening_queue_t *queue,
			 const dy_flow_forward_t *forward,
			 const dy_packet_t *packet, uint64_t now_ms);

/*
 * The same for an opening that waits for wait_max_ms at most instead of
 * DY_OPENING_WAIT_MAX_MS.
 */
int dy_opening_queue_add_for(dy_opening_queue_t *queue,
			     const dy_flow_forward_t *forward,
			     const dy_packet_t *packet, uint64_t wait_max_ms,
			     uint64_t now_ms);

/* Returns whether an opening of flow is queued. */
int dy_opening_queue_has(const dy_opening_queue_t *queue,
			 const dy_flow_id_t *flow);

/* Returns the flow of the newest opening, or NULL if the queue is empty. */
const dy_flow_id_t *dy_opening_queue_newest(const dy_opening_queue_t *queue);

/* Dequeues the newest opening into opening. Returns 0 if the queue is empty. */
int dy_opening_queue_pop(dy_opening_queue_t *queue, dy_opening_t *opening);

/*
 * Dequeues an opening that has reached its maximum wait, the one that did so
 * first. Returns 0 if there is none.
 */
int dy_opening_queue_pop_expired(dy_opening_queue_t *queue, uint64_t now_ms,
				 dy_opening_t *opening);

/* Returns the number of queued openings. */
unsigned dy_opening_queue_count(const dy_opening_queue_t *queue);

#endif
