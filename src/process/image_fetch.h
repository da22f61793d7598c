#ifndef DAMASKYARD_IMAGE_FETCH_H
#define DAMASKYARD_IMAGE_FETCH_H

/*
 * The state that a member starts from, on its way: asked of any control, then
 * fetched by its pages, until it is there or has failed too often. Then the
 * leader's answers to polls give all instead.
 */

#include "damaskyard/seal.h"
#include "dy_control.h"

/*
 * Without an answer or a page for so long, in ms, another control is asked;
 * doubled each time.
 */
#define IMAGE_FETCH_AGAIN_MS 150

/* So many times in vain, and the leader gives the state: a second. */
#define IMAGE_FETCH_TRIES 3

typedef struct image_fetch image_fetch_t;

typedef struct image_fetch_callbacks {
	/* Send to the control asked now; each returns its xid. */
	uint32_t (*ask)(void *context);
	uint32_t (*page)(void *context, dy_fetch_t *request);
	/* The control asked last is of no use here; turn to another. */
	void (*turn)(void *context);
	/* The whole image. Returns 0 if it is malformed. */
	int (*done)(void *context, const uint8_t *bytes, size_t len);
} image_fetch_callbacks_t;

/* callbacks and context must outlive the fetch. */
image_fetch_t *image_fetch_create(const image_fetch_callbacks_t *callbacks,
				  void *context);
void image_fetch_destroy(image_fetch_t *fetch);

/* Begin, or begin anew: a control is known to be there. */
void image_fetch_begin(image_fetch_t *fetch, uint64_t now_ms);

/* Whether an image may still come. */
int image_fetch_is_under_way(const image_fetch_t *fetch);

int image_fetch_waits(const image_fetch_t *fetch, uint32_t xid);

/* Take a reply that is waited for. */
void image_fetch_receive(image_fetch_t *fetch, const dy_sealed_t *message,
			 uint64_t now_ms);
void image_fetch_tick(image_fetch_t *fetch, uint64_t now_ms);

#endif
