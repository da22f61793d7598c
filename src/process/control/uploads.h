#ifndef DAMASKYARD_UPLOADS_H
#define DAMASKYARD_UPLOADS_H

/*
 * Documents that operators upload page by page. They stay in the leader's
 * memory until the operator submits them. An operator repeats an upload that is
 * lost.
 */

#include <stddef.h>
#include <stdint.h>

#include "dy_control.h"

/* Concurrent uploads; a fifth evicts the one that has been idle longest. */
#define UPLOADS_MAX 4

/* An upload is dropped after this time without a new page. */
#define UPLOAD_IDLE_TIMEOUT_MS 60000

typedef struct uploads uploads_t;

/* Creates an empty set of uploads. */
uploads_t *uploads_create(void);
/* Frees all uploads; NULL is allowed. */
void uploads_destroy(uploads_t *uploads);

/*
 * Adds a page at time now_ms. Pages arrive in order; a page that is present
 * already changes nothing. Returns OK, MALFORMED for a wrong size or offset, or
 * NOT_FOUND if an earlier page is missing: the operator then restarts the
 * upload.
 */
dy_status_t uploads_add(uploads_t *uploads, const dy_put_t *put,
			uint64_t now_ms);

/*
 * Returns the bytes of the complete upload with this digest and sets size, or
 * returns NULL. The bytes stay owned by uploads.
 */
const uint8_t *uploads_find(const uploads_t *uploads, const char *digest,
			    uint32_t *size);

/* Drops idle uploads; returns how many. */
unsigned uploads_expire(uploads_t *uploads, uint64_t now_ms);

#endif
