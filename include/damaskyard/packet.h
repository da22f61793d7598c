#ifndef DAMASKYARD_PACKET_H
#define DAMASKYARD_PACKET_H

/*
 * A packet of a flow, decoded: its head, in host byte order. The bytes of the
 * packet travel beside it unchanged.
 */

#include <stdint.h>

#include "dy_flow.h"

/* Marks of a packet. */
#define DY_PACKET_SYN 1u      /* opens a flow */
#define DY_PACKET_ACK 2u      /* ack is valid */
#define DY_PACKET_FIN 4u      /* its sender sends no more */
#define DY_PACKET_RST 8u      /* the flow is over */
#define DY_PACKET_BOUNCED 16u /* a target gave it back */

typedef struct dy_packet {
	dy_flow_id_t flow;
	unsigned flags;
	/*
	 * A number of our own, that a target returns in a packet that it gives
	 * back. Callers and targets leave it 0.
	 */
	uint32_t tag;
	uint16_t data_bytes;
	unsigned retransmits; /* of an opening: how often it was sent before */
	/*
	 * The id of the request that begins in the data, for logs alone: bytes
	 * of the packet, not ended by a NUL. NULL: none was looked for, or
	 * found.
	 */
	const char *request_id;
	unsigned request_id_len;
	uint32_t seq;
	uint32_t ack;
} dy_packet_t;

/* Whether both name one flow. */
static inline int dy_flow_id_equal(const dy_flow_id_t *a, const dy_flow_id_t *b)
{
	return a->caller_ip == b->caller_ip && a->entry_ip == b->entry_ip &&
	       a->caller_port == b->caller_port &&
	       a->entry_port == b->entry_port;
}

/* Hash of a flow's name, the same in every process. */
uint64_t dy_flow_id_hash(const dy_flow_id_t *flow);

/* For GHashTable. */
unsigned dy_flow_id_table_hash(const void *flow);
int dy_flow_id_table_equal(const void *a, const void *b);

/* Bytes of "IP:PORT>IP:PORT" with its terminating NUL. */
#define DY_FLOW_TEXT_BYTES 48

/* Write the flow's name into text, which is returned. */
const char *dy_flow_id_format(const dy_flow_id_t *flow,
			      char text[DY_FLOW_TEXT_BYTES]);

#endif
