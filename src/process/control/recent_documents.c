#include "recent_documents.h"

#include <string.h>

#include <glib.h>

typedef struct recent_document {
	uint8_t digest[DY_DIGEST_BYTES];
	uint8_t *bytes;
	uint32_t len;
} recent_document_t;

struct recent_documents {
	recent_document_t documents[RECENT_DOCUMENTS_MAX];
	unsigned next;
	int compared; /* the three fields below are valid */
	uint8_t compared_base[DY_DIGEST_BYTES];
	uint8_t compared_newer[DY_DIGEST_BYTES];
	dy_document_patch_t patch;
};

recent_documents_t *recent_documents_create(void)
{
	return g_new0(recent_documents_t, 1);
}

void recent_documents_destroy(recent_documents_t *recent)
{
	unsigned i;

	if (!recent)
		return;
	for (i = 0; i < RECENT_DOCUMENTS_MAX; i++)
		g_free(recent->documents[i].bytes);
	g_free(recent);
}

static const uint8_t *find_document(const recent_documents_t *recent,
				    const void *digest, uint32_t *len)
{
	const recent_document_t *document;
	unsigned i;

	for (i = 0; i < RECENT_DOCUMENTS_MAX; i++) {
		document = &recent->documents[i];
		if (!document->bytes ||
		    memcmp(document->digest, digest, DY_DIGEST_BYTES))
			continue;
		*len = document->len;
		return document->bytes;
	}
	return NULL;
}

void recent_documents_add(recent_documents_t *recent, const void *digest,
			  const uint8_t *bytes, uint32_t len)
{
	recent_document_t *document;
	uint32_t held;

	if (find_document(recent, digest, &held))
		return;
	document = &recent->documents[recent->next];
	recent->next = (recent->next + 1) % RECENT_DOCUMENTS_MAX;
	g_free(document->bytes);
	document->bytes = g_malloc(len + 1);
	memcpy(document->bytes, bytes, len);
	document->len = len;
	memcpy(document->digest, digest, DY_DIGEST_BYTES);
}

static int is_compared(const recent_documents_t *recent, const void *base,
		       const void *newer)
{
	return recent->compared &&
	       !memcmp(recent->compared_base, base, DY_DIGEST_BYTES) &&
	       !memcmp(recent->compared_newer, newer, DY_DIGEST_BYTES);
}

void recent_documents_compare(recent_documents_t *recent, const void *base,
			      const void *newer, const uint8_t *bytes,
			      uint32_t len, dy_document_patch_t *patch)
{
	const uint8_t *base_bytes;
	uint32_t base_len = 0;

	if (is_compared(recent, base, newer)) {
		*patch = recent->patch;
		return;
	}
	base_bytes = find_document(recent, base, &base_len);
	dy_document_patch_compute(patch, base_bytes, base_len, bytes, len);
	if (!base_bytes)
		return;
	recent->compared = 1;
	recent->patch = *patch;
	memcpy(recent->compared_base, base, DY_DIGEST_BYTES);
	memcpy(recent->compared_newer, newer, DY_DIGEST_BYTES);
}
