/*
 * Bytes of documents. They are replicated through the log in pages, so that
 * every control holds them before the change that puts them in force.
 */

#include <string.h>

#include "registry_private.h"

content_t *registry_find_content(const dy_registry_t *registry,
				 const uint8_t *digest)
{
	content_t *content;
	dy_list_t *pos;

	DY_LIST_EACH(pos, &registry->contents)
	{
		content = DY_LIST_ITEM(pos, content_t, link);
		if (!memcmp(content->digest, digest, DY_DIGEST_BYTES))
			return content;
	}
	return NULL;
}

const uint8_t *dy_registry_find_content(const dy_registry_t *registry,
					const uint8_t *digest, uint32_t *size)
{
	const content_t *content = registry_find_content(registry, digest);

	if (!content || !content->validated)
		return NULL;
	*size = content->size;
	return content->bytes;
}

static void drop_content(content_t *content)
{
	dy_list_remove(&content->link);
	g_free(content->bytes);
	g_free(content->error);
	g_free(content);
}

void registry_drop_contents(dy_registry_t *registry)
{
	dy_list_t *pos;
	dy_list_t *tmp;

	DY_LIST_EACH_SAFE(pos, tmp, &registry->contents)
	drop_content(DY_LIST_ITEM(pos, content_t, link));
}

static int is_in_force(const dy_registry_t *registry, const content_t *content)
{
	const dy_registry_document_t *document;
	int i;

	for (i = 0; i < DY_ENVIRONMENTS; i++) {
		document = &registry->environments[i].document;
		if (document->number &&
		    !memcmp(document->digest, content->digest, DY_DIGEST_BYTES))
			return 1;
	}
	return 0;
}

void registry_trim_contents(dy_registry_t *registry)
{
	unsigned staged = 0;
	content_t *content;
	dy_list_t *pos;
	dy_list_t *tmp;

	DY_LIST_EACH(pos, &registry->contents)
	staged += !is_in_force(registry, DY_LIST_ITEM(pos, content_t, link));
	DY_LIST_EACH_SAFE(pos, tmp, &registry->contents)
	{
		content = DY_LIST_ITEM(pos, content_t, link);
		if (staged <= DY_REGISTRY_STAGED_MAX)
			return;
		if (is_in_force(registry, content))
			continue;
		drop_content(content);
		staged--;
	}
}

static content_t *keep_content(dy_registry_t *registry,
			       const dy_content_page_t *page)
{
	const uint8_t *digest = (const uint8_t *)page->digest;
	content_t *content = registry_find_content(registry, digest);

	if (content || page->offset)
		return content;
	content = g_new0(content_t, 1);
	memcpy(content->digest, digest, DY_DIGEST_BYTES);
	content->size = page->size;
	dy_list_append(&registry->contents, &content->link);
	registry_trim_contents(registry);
	return content;
}

static int matches_digest(const content_t *content)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	uint8_t digest[DY_DIGEST_BYTES];
	gsize len = sizeof(digest);

	g_checksum_update(checksum, content->bytes, content->size);
	g_checksum_get_digest(checksum, digest, &len);
	g_checksum_free(checksum);
	return !memcmp(digest, content->digest, DY_DIGEST_BYTES);
}

/*
 * Checks the digest of the bytes that this control holds, since pages of two
 * uploads may be mixed and other bytes than the operator's put in force.
 */
static void validate_content(dy_registry_t *registry, content_t *content)
{
	const dy_registry_callbacks_t *callbacks = &registry->callbacks;
	char message[256] = "";

	if (!matches_digest(content)) {
		registry_emit_event(registry, DY_EVENT_CONTENT_DAMAGED, "", "",
				    content->size);
		drop_content(content);
		return;
	}
	content->validated = 1;
	if (callbacks->validate &&
	    !callbacks->validate(callbacks->context, content->bytes,
				 content->size, message, sizeof(message)))
		content->error = g_strdup(message);
}

void registry_add_page(dy_registry_t *registry, const dy_content_page_t *page)
{
	uint32_t len = page->bytes.bytes_len;
	content_t *content;

	if (!page->size || page->size > DY_DOCUMENT_BYTES || !len ||
	    page->offset > page->size || len > page->size - page->offset)
		return;
	content = keep_content(registry, page);
	if (!content || content->validated || content->size != page->size ||
	    content->received_bytes != page->offset)
		return;
	content->bytes =
		g_realloc(content->bytes, content->received_bytes + len);
	memcpy(content->bytes + content->received_bytes, page->bytes.bytes_val,
	       len);
	content->received_bytes += len;
	if (content->received_bytes == content->size)
		validate_content(registry, content);
}

int dy_registry_is_tried(const dy_registry_t *registry, const uint8_t *digest)
{
	unsigned i;

	for (i = 0; i < registry->tried_count; i++)
		if (!memcmp(registry->tried[i], digest, DY_DIGEST_BYTES))
			return 1;
	return 0;
}

void registry_mark_tried(dy_registry_t *registry, const uint8_t *digest)
{
	const dy_registry_document_t *trial =
		&registry->environments[DY_TRIAL].document;

	if (!trial->number || memcmp(trial->digest, digest, DY_DIGEST_BYTES) ||
	    dy_registry_is_tried(registry, digest))
		return;
	if (registry->tried_count == DY_REGISTRY_TRIED_MAX) {
		registry->tried_count--;
		memmove(registry->tried[0], registry->tried[1],
			registry->tried_count * DY_DIGEST_BYTES);
	}
	memcpy(registry->tried[registry->tried_count++], digest,
	       DY_DIGEST_BYTES);
	registry_emit_event(registry, DY_EVENT_DOCUMENT_TRIED,
			    dy_environment_name(DY_TRIAL), "", trial->number);
}
