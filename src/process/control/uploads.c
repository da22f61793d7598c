#include "uploads.h"

#include <string.h>

#include <glib.h>

typedef struct upload {
	uint8_t digest[DY_DIGEST_BYTES];
	uint32_t size; /* 0: unused */
	uint32_t received;
	uint8_t *bytes;
	uint64_t last_page_ms;
} upload_t;

struct uploads {
	upload_t items[UPLOADS_MAX];
};

uploads_t *uploads_create(void)
{
	return g_new0(uploads_t, 1);
}

static void drop_upload(upload_t *upload)
{
	g_free(upload->bytes);
	memset(upload, 0, sizeof(*upload));
}

void uploads_destroy(uploads_t *uploads)
{
	int i;

	if (!uploads)
		return;
	for (i = 0; i < UPLOADS_MAX; i++)
		drop_upload(&uploads->items[i]);
	g_free(uploads);
}

static upload_t *find_upload(const uploads_t *uploads, const char *digest)
{
	int i;

	for (i = 0; i < UPLOADS_MAX; i++)
		if (uploads->items[i].size &&
		    !memcmp(uploads->items[i].digest, digest, DY_DIGEST_BYTES))
			return (upload_t *)&uploads->items[i];
	return NULL;
}

static upload_t *begin_upload(uploads_t *uploads, const dy_put_t *put)
{
	upload_t *oldest = &uploads->items[0];
	int i;

	for (i = 1; i < UPLOADS_MAX && oldest->size; i++)
		if (!uploads->items[i].size ||
		    uploads->items[i].last_page_ms < oldest->last_page_ms)
			oldest = &uploads->items[i];
	drop_upload(oldest);
	memcpy(oldest->digest, put->digest, DY_DIGEST_BYTES);
	oldest->size = put->size;
	return oldest;
}

dy_status_t uploads_add(uploads_t *uploads, const dy_put_t *put,
			uint64_t now_ms)
{
	upload_t *upload = find_upload(uploads, put->digest);
	uint32_t len = put->page.page_len;

	if (!put->size || put->size > DY_DOCUMENT_BYTES || !len ||
	    put->offset > put->size || len > put->size - put->offset ||
	    (upload && upload->size != put->size))
		return DY_STATUS_MALFORMED;
	if (!upload && put->offset)
		return DY_STATUS_NOT_FOUND;
	if (!upload)
		upload = begin_upload(uploads, put);
	upload->last_page_ms = now_ms;
	if (put->offset > upload->received)
		return DY_STATUS_NOT_FOUND;
	if (put->offset < upload->received)
		return DY_STATUS_OK;
	upload->bytes = g_realloc(upload->bytes, upload->received + len);
	memcpy(upload->bytes + upload->received, put->page.page_val, len);
	upload->received += len;
	return DY_STATUS_OK;
}

const uint8_t *uploads_find(const uploads_t *uploads, const char *digest,
			    uint32_t *size)
{
	const upload_t *upload = find_upload(uploads, digest);

	if (!upload || upload->received < upload->size)
		return NULL;
	*size = upload->size;
	return upload->bytes;
}

unsigned uploads_expire(uploads_t *uploads, uint64_t now_ms)
{
	unsigned dropped = 0;
	int i;

	for (i = 0; i < UPLOADS_MAX; i++) {
		if (!uploads->items[i].size ||
		    now_ms - uploads->items[i].last_page_ms <
			    UPLOAD_IDLE_TIMEOUT_MS)
			continue;
		drop_upload(&uploads->items[i]);
		dropped++;
	}
	return dropped;
}
