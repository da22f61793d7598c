#ifndef DAMASKYARD_DOCUMENT_PATCH_H
#define DAMASKYARD_DOCUMENT_PATCH_H

/*
 * Difference of two documents: a common prefix, a common suffix, and the bytes
 * of the newer document between them.
 *
 * Load pattern: 9,500 changes a day, each of one or two services, to documents
 * of thousands of services. Without patches, each member would fetch its
 * region's document of half a megabyte every minute, three times the bandwidth
 * that a node may spend on control traffic. The replaced bytes of one change
 * are a few hundred. Two changes far apart in the document make them many; the
 * patch of the next poll is short again.
 */

#include <stddef.h>
#include <stdint.h>

typedef struct dy_document_patch {
	uint32_t prefix; /* bytes of the base kept at the start */
	uint32_t suffix; /* bytes of the base kept at the end */
	uint32_t size;	 /* bytes of the newer document between them */
} dy_document_patch_t;

/*
 * Compute the patch from base to newer. The replacement bytes are
 * patch->size bytes at newer + patch->prefix. base may be NULL if base_len is
 * 0; the patch then replaces the whole document.
 */
void dy_document_patch_compute(dy_document_patch_t *patch, const uint8_t *base,
			       uint32_t base_len, const uint8_t *newer,
			       uint32_t newer_len);

/*
 * Apply a patch to base; changed holds the patch->size replacement bytes.
 * Returns *len bytes to be freed with g_free(), or NULL if the patch does not
 * fit the base or the result exceeds DY_DOCUMENT_BYTES, as a patch of a faulty
 * or malicious control may. The caller must check the digest of the result.
 */
uint8_t *dy_document_patch_apply(const dy_document_patch_t *patch,
				 const uint8_t *base, uint32_t base_len,
				 const uint8_t *changed, uint32_t *len);

#endif
