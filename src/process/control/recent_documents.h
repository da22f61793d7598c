#ifndef DAMASKYARD_RECENT_DOCUMENTS_H
#define DAMASKYARD_RECENT_DOCUMENTS_H

/*
 * Cache of the documents that a control sent recently. A member that holds one
 * of them fetches only the difference to a newer one.
 *
 * The cache is not replicated: a control without the base document sends the
 * newer document in full.
 */

#include <stdint.h>

#include "damaskyard/document_patch.h"
#include "dy_control.h"

/*
 * Two environments with the document in force and the one before: what members
 * hold that polled within the last change. At the users' target scale a
 * region's documents take half a megabyte each.
 */
#define RECENT_DOCUMENTS_MAX 4

typedef struct recent_documents recent_documents_t;

/* Creates an empty cache. */
recent_documents_t *recent_documents_create(void);
/* Frees the cache; NULL is allowed. */
void recent_documents_destroy(recent_documents_t *recent);

/*
 * Stores a copy of the document unless it is cached already. Replaces the entry
 * that was added first.
 */
void recent_documents_add(recent_documents_t *recent, const void *digest,
			  const uint8_t *bytes, uint32_t len);

/*
 * Sets patch to the difference between the document base and the document
 * newer, whose bytes are given; to the whole of it if base is not cached. base
 * and newer are digests of DY_DIGEST_BYTES. Caches the last comparison, because
 * after a change all members request the same one.
 */
void recent_documents_compare(recent_documents_t *recent, const void *base,
			      const void *newer, const uint8_t *bytes,
			      uint32_t len, dy_document_patch_t *patch);

#endif
