#ifndef DAMASKYARD_IMAGE_FETCH_H
#define DAMASKYARD_IMAGE_FETCH_H

/*
 * Transfer of the image of the group's state that a member starts from. The
 * member requests the image's description from any control, then its pages,
 * until it is complete or IMAGE_FETCH_ATTEMPTS_MAX attempts have failed. In
 * that case the leader's answers to polls bring the whole state instead.
 */

#include "damaskyard/seal.h"
#include "dy_control.h"

/*
 * Initial timeout in ms for an answer or a page. After it another control is
 * asked; it doubles with each failure.
 */
#define IMAGE_FETCH_TIMEOUT_MS 150

/* After this many timeouts, about one second, the fetch fails. */
#define IMAGE_FETCH_ATTEMPTS_MAX 3

typedef struct image_fetch image_fetch_t;

typedef struct image_fetch_callbacks {
	/* Send a request to the current control; each returns its xid. */
	uint32_t (*request_info)(void *context);
	uint32_t (*request_page)(void *context, dy_fetch_t *request);
	/* The last control failed; send later requests to another one. */
	void (*switch_control)(void *context);
	/* The transfer is complete. Returns 0 if the image is malformed. */
	int (*done)(void *context, const uint8_t *bytes, size_t len);
} image_fetch_callbacks_t;

/*
 * Create an idle transfer, to free with image_fetch_destroy(). callbacks and
 * context must outlive it.
 */
image_fetch_t *image_fetch_create(const image_fetch_callbacks_t *callbacks,
				  void *context);
void image_fetch_destroy(image_fetch_t *fetch);

/* Start or restart the transfer. Call it when a control is reachable. */
void image_fetch_begin(image_fetch_t *fetch, uint64_t now_ms);

/* Returns whether the transfer is in progress. */
int image_fetch_is_active(const image_fetch_t *fetch);

/* Returns whether a request with this xid is pending. */
int image_fetch_is_pending(const image_fetch_t *fetch, uint32_t xid);

/* Process the reply to a pending request. */
void image_fetch_receive(image_fetch_t *fetch, const dy_sealed_t *message,
			 uint64_t now_ms);

/* Handle timeouts: send the request to another control, or fail. */
void image_fetch_tick(image_fetch_t *fetch, uint64_t now_ms);

#endif
