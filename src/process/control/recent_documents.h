#ifndef DAMASKYARD_RECENT_DOCUMENTS_H
#define DAMASKYARD_RECENT_DOCUMENTS_H

/*
 * Documents that a control gave out lately, so that a member which holds one
 * of them fetches only what a newer one changes.
 *
 * Not replicated: a control that does not hold the base gives the newer
 * document whole.
 */

#include <stdint.h>

#include "damaskyard/document_patch.h"
#include "dy_control.h"

/*
 * Two environments, the one in force and the one before: what members hold
 * that polled within the last change. At the users' target a region's
 * documents are half a megabyte each.
 */
#define RECENT_DOCUMENTS_MAX 4

typedef struct recent_documents recent_documents_t;

recent_documents_t *recent_documents_create(void);
void recent_documents_destroy(recent_documents_t *recent);

/* Keep a copy, in place of the one kept longest, if it is not kept yet. */
void recent_documents_add(recent_documents_t *recent, const void *digest,
			  const uint8_t *bytes, uint32_t len);

/*
 * Find what a document changes in the one named by base; the whole of it if
 * base is not kept. The newest comparison is remembered, since after a change
 * all members ask for the same one.
 */
void recent_documents_compare(recent_documents_t *recent, const void *base,
			      const void *newer, const uint8_t *bytes,
			      uint32_t len, dy_document_patch_t *patch);

#endif
