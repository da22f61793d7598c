#ifndef DAMASKYARD_SEAL_H
#define DAMASKYARD_SEAL_H

/*
 * Sealed messages: ONC RPC between the system's own processes, each with a
 * MAC under the group's secret and a sequence number against replay.
 *
 * A call carries the seal as its credential, a reply as its verifier.
 * Whatever does not open is counted and dropped; nothing is answered.
 *
 * Writing:
 *	len = dy_seal_write_call(seal, &head, (xdrproc_t)xdr_dy_poll_t, &poll,
 *				 buf, sizeof(buf));
 * Reading:
 *	if (dy_seal_open(seal, buf, len, &message) != DY_SEAL_OK)
 *		return;
 *	if (!dy_sealed_load(&message, (xdrproc_t)xdr_dy_poll_t, &poll))
 *		...;
 *	xdr_free((xdrproc_t)xdr_dy_poll_t, (char *)&poll);
 */

#include <stddef.h>
#include <stdint.h>

#include <rpc/xdr.h>

#include "damaskyard/metrics.h"
#include "damaskyard/secret.h"

/* Bytes that a seal and an ONC RPC head add to a message's body. */
#define DY_SEAL_OVERHEAD_BYTES 128

typedef struct dy_seal dy_seal_t;

typedef enum dy_seal_status {
	DY_SEAL_OK,
	DY_SEAL_MALFORMED,
	DY_SEAL_FORGED,	 /* no secret of the key file gives this MAC */
	DY_SEAL_REPLAYED /* this sender's sequence number was seen */
} dy_seal_status_t;

typedef struct dy_sealed {
	int is_reply;
	uint32_t xid;
	uint32_t program;   /* calls only */
	uint32_t procedure; /* calls only */
	uint64_t sender;    /* random, new at each start of the sender */
	const uint8_t *body;
	size_t body_len;
} dy_sealed_t;

/*
 * Create a seal for this process. Registers the counters
 * seal_malformed, seal_forged and seal_replayed in metrics.
 */
dy_seal_t *dy_seal_create(const dy_secrets_t *secrets, dy_metrics_t *metrics);
void dy_seal_destroy(dy_seal_t *seal);

/* Returns this process's own sender number. */
uint64_t dy_seal_sender(const dy_seal_t *seal);

/* Returns a fresh xid for a call that wants a reply. */
uint32_t dy_seal_next_xid(dy_seal_t *seal);

typedef struct dy_seal_header {
	uint32_t xid;
	uint32_t program;
	uint32_t procedure; /* of version 1 */
} dy_seal_header_t;

/* Each returns the message's length in bytes, or 0 if it does not fit. */
size_t dy_seal_write_call(dy_seal_t *seal, const dy_seal_header_t *head,
			  xdrproc_t proc, void *args, uint8_t *out, size_t cap);
size_t dy_seal_write_reply(dy_seal_t *seal, uint32_t xid, xdrproc_t proc,
			   void *results, uint8_t *out, size_t cap);

/*
 * Check a message. message points into bytes; on any other status than
 * DY_SEAL_OK it is left unset and the event has been counted.
 */
dy_seal_status_t dy_seal_open(dy_seal_t *seal, const uint8_t *bytes, size_t len,
			      dy_sealed_t *message);

/*
 * Decode the body into value, which is cleared first. Returns 1, or 0 if the
 * body is malformed; value is freed then. After 1 the caller owns what value
 * points to and frees it with xdr_free().
 *
 * Processes are rolled out one by one, so builds differ for a while. Messages
 * grow by fields appended to their end only: an older reader passes over
 * what it does not know, and a newer one reads what an older sender left out
 * as zero. The MAC covers the whole, so nothing is missing by accident.
 */
int dy_sealed_load(const dy_sealed_t *message, xdrproc_t proc, void *value,
		   size_t value_size);

/*
 * Decode the body into value, whose pointers point to room for as much as their
 * types allow: nothing is allocated and nothing is to be freed. For what passes
 * for each datagram. Returns 1, or 0 if the body is malformed.
 */
int dy_sealed_load_in_place(const dy_sealed_t *message, xdrproc_t proc,
			    void *value);

#endif
