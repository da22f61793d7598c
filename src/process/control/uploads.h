#ifndef DAMASKYARD_UPLOADS_H
#define DAMASKYARD_UPLOADS_H

/*
 * Documents that operators are putting, page by page, in the memory of the
 * leader until they submit them. A lost upload is put again.
 */

#include <stddef.h>
#include <stdint.h>

#include "dy_control.h"

/* Operators at once; the one that was idle longest makes room for a fifth. */
#define UPLOADS_MAX 4

/* An upload whose operator is silent for so long is dropped, in ms. */
#define UPLOAD_IDLE_MS 60000

typedef struct uploads uploads_t;

uploads_t *uploads_create(void);
void uploads_destroy(uploads_t *uploads);

/*
 * Add a page; pages come in order, and one that stands already changes
 * nothing. Returns OK, MALFORMED for a wrong size or offset, or NOT_FOUND if
 * an earlier page is missing: then begin again.
 */
dy_status_t uploads_add(uploads_t *uploads, const dy_put_t *put,
			uint64_t now_ms);

/* Find a whole upload by digest, or NULL. */
const uint8_t *uploads_find(const uploads_t *uploads, const char *digest,
			    uint32_t *size);

/* Drop those that were idle for too long; returns how many. */
unsigned uploads_expire(uploads_t *uploads, uint64_t now_ms);

#endif
