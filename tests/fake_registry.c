#include "fake_registry.h"

#include <string.h>

#include <glib.h>

void fake_registry_apply(dy_registry_t *registry, const dy_command_t *command)
{
	uint32_t size;
	void *data = dy_command_encode(command, &size);

	FAKE_REGISTRY_CHECK(data);
	dy_registry_apply(registry, data, size,
			  dy_registry_index(registry) + 1);
	g_free(data);
}

void fake_registry_digest(const char *bytes, size_t size,
			  uint8_t digest[DY_DIGEST_BYTES])
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize len = DY_DIGEST_BYTES;

	g_checksum_update(checksum, (const guchar *)bytes, (gssize)size);
	g_checksum_get_digest(checksum, digest, &len);
	g_checksum_free(checksum);
}

void fake_registry_put(dy_registry_t *registry, const char *bytes, size_t size,
		       uint8_t digest[DY_DIGEST_BYTES])
{
	dy_command_t command = { .kind = DY_COMMAND_PAGE };
	dy_content_page_t *page = &command.dy_command_t_u.page;
	size_t offset;

	fake_registry_digest(bytes, size, digest);
	memcpy(page->digest, digest, DY_DIGEST_BYTES);
	page->size = (u_int)size;
	for (offset = 0; offset < size; offset += DY_CONTENT_PAGE_BYTES) {
		page->offset = (u_int)offset;
		page->bytes.bytes_val = (char *)bytes + offset;
		page->bytes.bytes_len =
			(u_int)MIN(size - offset, DY_CONTENT_PAGE_BYTES);
		fake_registry_apply(registry, &command);
	}
}

dy_status_t fake_registry_poll(dy_registry_t *registry, const dy_poll_t *poll,
			       dy_poll_result_t *result, unsigned *proposed)
{
	dy_command_t command;
	dy_status_t status;
	dy_poll_action_t action;

	action = dy_registry_evaluate_poll(registry, poll, &command, &status);
	if (action == DY_POLL_PROPOSE) {
		fake_registry_apply(registry, &command);
		if (proposed)
			++*proposed;
		action = dy_registry_evaluate_poll(registry, poll, &command,
						   &status);
	}
	if (action == DY_POLL_REFUSE)
		return status;
	FAKE_REGISTRY_CHECK(action == DY_POLL_ANSWER);
	dy_registry_renew_lease(registry,
				dy_member_id(poll->info.environment,
					     poll->info.kind, poll->info.name),
				poll->document);
	dy_registry_fill_poll_result(registry, poll, result);
	return DY_STATUS_OK;
}

static int add_bytes(void *context, const void *data, size_t size)
{
	g_byte_array_append(context, data, (guint)size);
	return 0;
}

GByteArray *fake_registry_save(const dy_registry_t *registry)
{
	GByteArray *saved = g_byte_array_new();

	FAKE_REGISTRY_CHECK(!dy_registry_write(registry, add_bytes, saved));
	return saved;
}

typedef struct reading {
	const GByteArray *saved;
	size_t at;
} reading_t;

/* Returns a few bytes at a time, like the chunks of a snapshot. */
static int read_bytes(void *context, void *data, size_t size)
{
	reading_t *reading = context;
	size_t n = MIN(size, 1000);

	n = MIN(n, reading->saved->len - reading->at);
	memcpy(data, reading->saved->data + reading->at, n);
	reading->at += n;
	return (int)n;
}

dy_registry_t *fake_registry_load(const dy_registry_callbacks_t *callbacks,
				  const GByteArray *saved)
{
	dy_registry_t *registry = dy_registry_create(callbacks);
	reading_t reading = { saved, 0 };

	if (!dy_registry_load(registry, read_bytes, &reading))
		return registry;
	dy_registry_destroy(registry);
	return NULL;
}
