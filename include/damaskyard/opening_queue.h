#ifndef DAMASKYARD_OPENING_QUEUE_H
#define DAMASKYARD_OPENING_QUEUE_H

/*
 * Opening packets that wait at an agent for their target to have room. No
 * network.
 *
 * Load pattern: power is back, or targets were lost, and all callers open
 * flows within a second, to targets that are slow after their start.
 * What happens without it: targets queue what they can and refuse the rest.
 * Each refusal costs a caller one of its two retries and comes back at once as
 * another opening, and what was queued is answered too late: for seconds
 * hardly any request is in time, and many end without retries left.
 * What is done: an opening waits where it costs nobody anything, while the
 * target has as many requests as it answers in time. The youngest goes first:
 * its caller can still be served in time, where the oldest's cannot, and the
 * caller of the oldest has another try left. One that has waited for too long
 * is refused, at once.
 */

#include <stddef.h>
#include <stdint.h>

#include "damaskyard/packet.h"

/*
 * Openings that wait at one agent: at 2,000 flows a target and a caller each,
 * an eighth of them at once. 2 KB each.
 */
#define DY_OPENINGS_MAX 256

/*
 * How long one waits at most, in ms. Its caller gives it up after 1,400; the
 * refusal leaves it the time for another try.
 */
#define DY_OPENING_WAIT_MAX_MS 500

typedef struct dy_opening_queue dy_opening_queue_t;

/* An opening: a balancer's forward with the room for what it points to. */
typedef struct dy_opening {
	dy_flow_forward_t forward;
	dy_packet_t packet;
	char service[DY_NAME_BYTES + 1];
	dy_address_t tries[DY_FLOW_TRIES];
	uint8_t bytes[DY_PACKET_BYTES];
} dy_opening_t;

dy_opening_queue_t *dy_opening_queue_create(void);
void dy_opening_queue_destroy(dy_opening_queue_t *queue);

/*
 * Let an opening wait; forward and what it points to are copied. A copy of one
 * that waits takes its place and its time. Returns 0 if there is no room.
 */
int dy_opening_queue_add(dy_opening_queue_t *queue,
			 const dy_flow_forward_t *forward,
			 const dy_packet_t *packet, uint64_t now_ms);

int dy_opening_queue_has(const dy_opening_queue_t *queue,
			 const dy_flow_id_t *flow);

/* Take the youngest. Returns 0 if there is none. */
int dy_opening_queue_pop(dy_opening_queue_t *queue, dy_opening_t *opening);

/* Take one that has waited for too long. Returns 0 if there is none. */
int dy_opening_queue_pop_expired(dy_opening_queue_t *queue, uint64_t now_ms,
				 dy_opening_t *opening);

unsigned dy_opening_queue_count(const dy_opening_queue_t *queue);

#endif
