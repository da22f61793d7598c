#ifndef DAMASKYARD_PACKET_WAIT_H
#define DAMASKYARD_PACKET_WAIT_H

/*
 * Packets that came before a balancer knew where to send them.
 *
 * Load pattern: all processes start at once, as after a loss of power, and
 * callers press on with retransmissions whose pauses double up to 1.6 s.
 * What happens without it: a balancer that has just started drops what comes
 * until it has its document, some 0.3 to 0.5 s. A caller whose packet falls
 * into that time comes again after its next pause, often beyond its deadline.
 * What is done: the newest packet of each flow is kept, and handled when the
 * balancer is ready, in the order in which they came. Nobody is refused for
 * it: a packet that waited longer than its caller would is dropped.
 */

#include <stddef.h>
#include <stdint.h>

#include "damaskyard/packet.h"

/*
 * Flows that wait at most: 1,024 packets of 1,280 bytes are 1.3 MB, and three
 * times the callers of one balancer today. The one that waits longest makes
 * room.
 */
#define DY_PACKET_WAIT_MAX 1024

/*
 * A packet waits so long at most, in ms: a caller gives up an opening after
 * 1,400, and retransmits anything else by 1,600.
 */
#define DY_PACKET_WAIT_MS 1200

typedef struct dy_packet_wait dy_packet_wait_t;

dy_packet_wait_t *dy_packet_wait_create(void);
void dy_packet_wait_destroy(dy_packet_wait_t *wait);

/* Keep a packet, in place of an older one of its flow; bytes are copied. */
void dy_packet_wait_add(dy_packet_wait_t *wait, const dy_flow_id_t *flow,
			const uint8_t *bytes, size_t len, uint64_t now_ms);

/*
 * Call each() for every packet that did not wait for too long, oldest first,
 * and keep none. Returns how many. bytes may be written to.
 */
typedef void dy_packet_wait_cb_t(void *context, uint8_t *bytes, size_t len);
unsigned dy_packet_wait_take(dy_packet_wait_t *wait, uint64_t now_ms,
			     dy_packet_wait_cb_t *each, void *context);

unsigned dy_packet_wait_count(const dy_packet_wait_t *wait);

#endif
