#ifndef DAMASKYARD_DOCUMENT_FETCH_H
#define DAMASKYARD_DOCUMENT_FETCH_H

/*
 * A document on its way to a member: only what it changes in the one that
 * the member holds, page by page, until its digest is right.
 */

#include "dy_control.h"

typedef struct document_fetch document_fetch_t;

typedef struct document_fetch_callbacks {
	/* Send a request; returns its xid. */
	uint32_t (*send)(void *context, dy_fetch_t *request);
	/* The control asked last is of no use here; turn to another. */
	void (*turn)(void *context);
	/* The whole document, its digest checked. */
	void (*done)(void *context, const dy_document_info_t *info,
		     const uint8_t *bytes, size_t len);
} document_fetch_callbacks_t;

/* callbacks and context must outlive the fetch. */
document_fetch_t *document_fetch_create(
	const document_fetch_callbacks_t *callbacks, void *context);
void document_fetch_destroy(document_fetch_t *fetch);

/*
 * Begin to fetch a document, in place of an older one under way. One that is
 * not newer than the newest begun is passed over.
 */
void document_fetch_begin(document_fetch_t *fetch,
			  const dy_document_info_t *info, uint64_t now_ms);

/*
 * Let the newest document be fetched once more; an older one never is.
 */
void document_fetch_reset(document_fetch_t *fetch);

/* Take a reply. Returns 0 if xid is not that of the request under way. */
int document_fetch_receive(document_fetch_t *fetch, uint32_t xid,
			   const dy_fetch_result_t *result, uint64_t now_ms);

/* Whether a reply of that xid is waited for. */
int document_fetch_waits(const document_fetch_t *fetch, uint32_t xid);

/*
 * Ask another control if the last request had no answer: sooner the first
 * times, at the latest after timeout_ms.
 */
void document_fetch_tick(document_fetch_t *fetch, uint64_t now_ms,
			 uint64_t timeout_ms);

/* Documents that came with another digest than theirs, so far. */
uint64_t document_fetch_wrong(const document_fetch_t *fetch);

#endif
