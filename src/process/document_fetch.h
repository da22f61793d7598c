#ifndef DAMASKYARD_DOCUMENT_FETCH_H
#define DAMASKYARD_DOCUMENT_FETCH_H

/*
 * Transfer of a document to a member: the difference to the document that the
 * member has, page by page, until the digest of the result matches.
 */

#include "dy_control.h"

typedef struct document_fetch document_fetch_t;

typedef struct document_fetch_callbacks {
	/* Send a request; returns its xid. */
	uint32_t (*send)(void *context, dy_fetch_t *request);
	/* The last control failed; send later requests to another one. */
	void (*switch_control)(void *context);
	/* The transfer is complete and the digest verified. */
	void (*done)(void *context, const dy_document_info_t *info,
		     const uint8_t *bytes, size_t len);
} document_fetch_callbacks_t;

/*
 * Create an idle transfer, to free with document_fetch_destroy(). callbacks
 * and context must outlive it.
 */
document_fetch_t *document_fetch_create(
	const document_fetch_callbacks_t *callbacks, void *context);
void document_fetch_destroy(document_fetch_t *fetch);

/*
 * Start to fetch a document; an older one in progress is abandoned. The call
 * is ignored if the document is not newer than every one started so far, or
 * larger than DY_DOCUMENT_BYTES.
 */
void document_fetch_begin(document_fetch_t *fetch,
			  const dy_document_info_t *info, uint64_t now_ms);

/* Allow the newest document, but no older one, to be fetched again. */
void document_fetch_reset(document_fetch_t *fetch);

/*
 * Process a reply. Returns 1, or 0 if xid is not that of the pending request.
 */
int document_fetch_receive(document_fetch_t *fetch, uint32_t xid,
			   const dy_fetch_result_t *result, uint64_t now_ms);

/* Returns whether a request with this xid is pending. */
int document_fetch_is_pending(const document_fetch_t *fetch, uint32_t xid);

/*
 * Send the request to another control if the last one has timed out. The
 * timeout doubles with each loss up to max_timeout_ms.
 */
void document_fetch_tick(document_fetch_t *fetch, uint64_t now_ms,
			 uint64_t max_timeout_ms);

/* Returns how many transfers so far ended with a wrong digest. */
uint64_t document_fetch_digest_mismatches(const document_fetch_t *fetch);

#endif
