#ifndef DAMASKYARD_DOCUMENT_PATCH_H
#define DAMASKYARD_DOCUMENT_PATCH_H

/*
 * What a newer document changes in the one that a member holds, as one run
 * of bytes between a common start and a common end.
 *
 * Load pattern: 9,500 changes a day, each of a service or two, to documents
 * of thousands of services. Fetched whole, a region's document of half a
 * megabyte each minute would be three times what a node may spend on control;
 * the run that differs is a few hundred bytes. Two changes far apart make the
 * run long; the next poll's change is short again.
 */

#include <stddef.h>
#include <stdint.h>

typedef struct dy_document_patch {
	uint32_t prefix; /* bytes of the base that stand first */
	uint32_t suffix; /* bytes of the base that stand last */
	uint32_t size;	 /* bytes between them, of the newer document */
} dy_document_patch_t;

/*
 * Compare two documents. The run is at newer + patch->prefix. base may be
 * NULL with a length of 0; the run is the whole document then.
 */
void dy_document_patch_compute(dy_document_patch_t *patch, const uint8_t *base,
			       uint32_t base_len, const uint8_t *newer,
			       uint32_t newer_len);

/*
 * Put a document together from the base and the run. Returns its bytes, to
 * be freed with g_free(), and their number in *len; or NULL if the patch does
 * not fit the base, which a control that lies or errs would show. The caller
 * checks the digest of what comes back.
 */
uint8_t *dy_document_patch_apply(const dy_document_patch_t *patch,
				 const uint8_t *base, uint32_t base_len,
				 const uint8_t *run, uint32_t *len);

#endif
