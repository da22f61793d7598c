#ifndef DAMASKYARD_SEAL_H
#define DAMASKYARD_SEAL_H

/*
 * Sealed messages: ONC RPC between the system's own processes, authenticated
 * by a MAC under the shared secret and protected against replay by a sequence
 * number.
 *
 * A call carries the seal as its credential, a reply as its verifier. A
 * message that fails the check is counted and dropped without an answer.
 *
 * Writing:
 *	len = dy_seal_write_call(seal, &head, (xdrproc_t)xdr_dy_poll_t, &poll,
 *				 buf, sizeof(buf));
 * Reading:
 *	if (dy_seal_open(seal, buf, len, &message) != DY_SEAL_OK)
 *		return;
 *	if (!dy_sealed_load(&message, (xdrproc_t)xdr_dy_poll_t, &poll,
 *			    sizeof(poll)))
 *		...;
 *	xdr_free((xdrproc_t)xdr_dy_poll_t, (char *)&poll);
 */

#include <stddef.h>
#include <stdint.h>

#include <rpc/xdr.h>

#include "damaskyard/metrics.h"
#include "damaskyard/secret.h"

/* Bytes that a seal and an ONC RPC header add to a message's body. */
#define DY_SEAL_OVERHEAD_BYTES 128

typedef struct dy_seal dy_seal_t;

typedef enum dy_seal_status {
	DY_SEAL_OK,
	DY_SEAL_MALFORMED,
	DY_SEAL_FORGED,	 /* the MAC matches no secret of the key file */
	DY_SEAL_REPLAYED /* the sequence number was seen or is too old */
} dy_seal_status_t;

/* A message that was opened. */
typedef struct dy_sealed {
	int is_reply;
	uint32_t xid;
	uint32_t program;   /* calls only */
	uint32_t procedure; /* calls only */
	uint64_t sender;    /* random, chosen at each start of the sender */
	const uint8_t *body;
	size_t body_len;
} dy_sealed_t;

/*
 * Create a seal for this process with a random sender number, to free with
 * dy_seal_destroy(). secrets is copied. Registers the counters
 * seal_malformed, seal_forged and seal_replayed in metrics, which must
 * outlive the seal.
 */
dy_seal_t *dy_seal_create(const dy_secrets_t *secrets, dy_metrics_t *metrics);
void dy_seal_destroy(dy_seal_t *seal);

/* Returns this process's own sender number. */
uint64_t dy_seal_sender(const dy_seal_t *seal);

/* Returns a new xid for a call that expects a reply. */
uint32_t dy_seal_next_xid(dy_seal_t *seal);

/* Fields of a call's ONC RPC header that the sender chooses. */
typedef struct dy_seal_header {
	uint32_t xid;
	uint32_t program;
	uint32_t procedure; /* of version 1 */
} dy_seal_header_t;

/*
 * Encode and sign a call with args, or a reply with results, into out, which
 * holds cap bytes. Each returns the message's length in bytes, or 0 if it
 * does not fit.
 */
size_t dy_seal_write_call(dy_seal_t *seal, const dy_seal_header_t *head,
			  xdrproc_t proc, void *args, uint8_t *out, size_t cap);
size_t dy_seal_write_reply(dy_seal_t *seal, uint32_t xid, xdrproc_t proc,
			   void *results, uint8_t *out, size_t cap);

/*
 * Check a message of len bytes and fill message, which points into bytes. On
 * any status other than DY_SEAL_OK the drop was counted and logged, and the
 * contents of message must not be used.
 */
dy_seal_status_t dy_seal_open(dy_seal_t *seal, const uint8_t *bytes, size_t len,
			      dy_sealed_t *message);

/*
 * Decode the body into value of value_size bytes, which is cleared first.
 * Returns 1, or 0 if the body is malformed; what value points to is freed
 * then. After 1 the caller owns it and frees it with xdr_free().
 *
 * Processes are upgraded one by one, so that builds differ for a while.
 * Messages are extended only by fields appended at the end: an older reader
 * ignores unknown fields, and a newer one reads missing fields as zero. The
 * MAC covers the whole message, so no field is missing by truncation.
 */
int dy_sealed_load(const dy_sealed_t *message, xdrproc_t proc, void *value,
		   size_t value_size);

/*
 * Decode the body into value without allocation, for messages of the data
 * path. Each pointer in value must point to a buffer of the maximum size of
 * its type, or value must contain no pointers. Returns 1, or 0 if the body is
 * malformed. Nothing needs to be freed.
 */
int dy_sealed_load_in_place(const dy_sealed_t *message, xdrproc_t proc,
			    void *value);

#endif
