#ifndef DAMASKYARD_PACKET_H
#define DAMASKYARD_PACKET_H

/*
 * The decoded header of a flow's packet, in host byte order. The encoded packet
 * is passed along with it unchanged.
 */

#include <stdint.h>

#include "dy_flow.h"

/* Packet flags. */
#define DY_PACKET_SYN 1u      /* opens a flow */
#define DY_PACKET_ACK 2u      /* ack is valid */
#define DY_PACKET_FIN 4u      /* the sender sends no more data */
#define DY_PACKET_RST 8u      /* the flow is over */
#define DY_PACKET_BOUNCED 16u /* a target returned the packet */

typedef struct dy_packet {
	dy_flow_id_t flow;
	unsigned flags;
	/*
	 * An opaque value that a target echoes in a packet that it bounces.
	 * Callers and targets set it to 0.
	 */
	uint32_t tag;
	uint16_t data_bytes;
	int full; /* the data fills the packet, so more may follow */
	unsigned retransmits; /* of a SYN: number of earlier transmissions */
	/*
	 * Id of the request that starts in the data, for logging only. It
	 * points into the encoded packet and is not NUL-terminated. NULL if no
	 * id was found or searched for.
	 */
	const char *request_id;
	unsigned request_id_len;
	uint32_t seq;
	uint32_t ack;
} dy_packet_t;

/* Returns whether both ids name the same flow. */
static inline int dy_flow_id_equal(const dy_flow_id_t *a, const dy_flow_id_t *b)
{
	return a->caller_ip == b->caller_ip && a->entry_ip == b->entry_ip &&
	       a->caller_port == b->caller_port &&
	       a->entry_port == b->entry_port;
}

/* Returns a hash of the flow id that is the same in every process. */
uint64_t dy_flow_id_hash(const dy_flow_id_t *flow);

/* Hash and equality functions for a GHashTable keyed by dy_flow_id_t. */
unsigned dy_flow_id_table_hash(const void *flow);
int dy_flow_id_table_equal(const void *a, const void *b);

/* Size of "IP:PORT>IP:PORT" with its terminating NUL. */
#define DY_FLOW_TEXT_BYTES 48

/* Formats the flow id into text and returns text. */
const char *dy_flow_id_format(const dy_flow_id_t *flow,
			      char text[DY_FLOW_TEXT_BYTES]);

#endif
