#include "damaskyard/document_patch.h"

#include <string.h>

#include <glib.h>

#include "dy_control.h"

void dy_document_patch_compute(dy_document_patch_t *patch, const uint8_t *base,
			       uint32_t base_len, const uint8_t *newer,
			       uint32_t newer_len)
{
	uint32_t shorter_len = MIN(base_len, newer_len);
	uint32_t prefix = 0;
	uint32_t suffix = 0;

	while (prefix < shorter_len && base[prefix] == newer[prefix])
		prefix++;
	while (suffix < shorter_len - prefix &&
	       base[base_len - 1 - suffix] == newer[newer_len - 1 - suffix])
		suffix++;
	patch->prefix = prefix;
	patch->suffix = suffix;
	patch->size = newer_len - prefix - suffix;
}

uint8_t *dy_document_patch_apply(const dy_document_patch_t *patch,
				 const uint8_t *base, uint32_t base_len,
				 const uint8_t *changed, uint32_t *len)
{
	uint64_t total = (uint64_t)patch->prefix + patch->size + patch->suffix;
	uint8_t *bytes;

	if (patch->prefix > base_len || patch->suffix > base_len ||
	    total > DY_DOCUMENT_BYTES)
		return NULL;
	bytes = g_malloc(total + 1);
	if (patch->prefix)
		memcpy(bytes, base, patch->prefix);
	if (patch->size)
		memcpy(bytes + patch->prefix, changed, patch->size);
	if (patch->suffix)
		memcpy(bytes + patch->prefix + patch->size,
		       base + base_len - patch->suffix, patch->suffix);
	*len = (uint32_t)total;
	return bytes;
}
