/*
 * Snapshots of the registry: a sequence of records, each a 4-byte length and
 * an XDR-encoded dy_saved_t.
 */

#include <string.h>

#include <arpa/inet.h>
#include <rpc/rpc.h>

#include "registry_private.h"

/* A page of content with its headers. */
#define RECORD_MAX_BYTES (DY_CONTENT_PAGE_BYTES + 1024)

typedef struct writer {
	int (*add)(void *context, const void *data, size_t size);
	void *context;
	int failed;
	char *buffer;
} writer_t;

static void write_record(writer_t *writer, dy_saved_t *saved)
{
	uint32_t len;
	XDR xdrs;

	if (writer->failed)
		return;
	xdrmem_create(&xdrs, writer->buffer, RECORD_MAX_BYTES, XDR_ENCODE);
	if (!xdr_dy_saved_t(&xdrs, saved)) {
		writer->failed = 1;
		return;
	}
	len = htonl(xdr_getpos(&xdrs));
	writer->failed =
		writer->add(writer->context, &len, sizeof(len)) ||
		writer->add(writer->context, writer->buffer, ntohl(len));
}

static void write_head(writer_t *writer, const dy_registry_t *registry)
{
	dy_saved_t saved = { .kind = DY_SAVED_HEAD };
	dy_saved_head_t *head = &saved.dy_saved_t_u.head;

	head->format = DY_REGISTRY_FORMAT;
	head->index = registry->index;
	head->forgotten = registry->forgotten_index;
	head->last_key = registry->last_key_id;
	write_record(writer, &saved);
}

static void write_content(writer_t *writer, const content_t *content)
{
	dy_saved_t saved = { .kind = DY_SAVED_CONTENT };
	dy_content_page_t *page = &saved.dy_saved_t_u.content;
	uint32_t offset;

	memcpy(page->digest, content->digest, DY_DIGEST_BYTES);
	page->size = content->size;
	for (offset = 0; offset < content->received_bytes;
	     offset += DY_CONTENT_PAGE_BYTES) {
		page->offset = offset;
		page->bytes.bytes_val = (char *)content->bytes + offset;
		page->bytes.bytes_len = MIN(content->received_bytes - offset,
					    (uint32_t)DY_CONTENT_PAGE_BYTES);
		write_record(writer, &saved);
	}
}

static void write_documents(writer_t *writer, const dy_registry_t *registry)
{
	const dy_registry_document_t *document;
	dy_saved_document_t *out;
	int i;

	for (i = 0; i < DY_ENVIRONMENTS; i++) {
		dy_saved_t saved = { .kind = DY_SAVED_DOCUMENT };

		document = &registry->environments[i].document;
		if (!document->number)
			continue;
		out = &saved.dy_saved_t_u.document;
		out->info.environment = (char *)dy_environment_name(i);
		out->info.number = document->number;
		out->info.size = document->size;
		memcpy(out->info.digest, document->digest, DY_DIGEST_BYTES);
		out->changed = document->changed;
		out->operator_name = (char *)document->operator_name;
		write_record(writer, &saved);
	}
}

static void write_tried(writer_t *writer, const dy_registry_t *registry)
{
	dy_saved_t saved = { .kind = DY_SAVED_TRIED };
	unsigned i;

	for (i = 0; i < registry->tried_count; i++) {
		memcpy(saved.dy_saved_t_u.tried.digest, registry->tried[i],
		       DY_DIGEST_BYTES);
		write_record(writer, &saved);
	}
}

static void write_keys(writer_t *writer, const dy_registry_t *registry)
{
	dy_saved_t saved = { .kind = DY_SAVED_KEY };
	unsigned i;

	for (i = 0; i < registry->key_count; i++) {
		saved.dy_saved_t_u.key.info = registry->keys[i].info;
		saved.dy_saved_t_u.key.changed = registry->keys[i].changed;
		write_record(writer, &saved);
	}
}

static void write_domains(writer_t *writer, const dy_registry_t *registry)
{
	dy_saved_t saved = { .kind = DY_SAVED_DOMAIN };
	dy_saved_domain_t *out = &saved.dy_saved_t_u.domain;
	const dy_registry_domain_t *domain;
	unsigned i;

	for (i = 0; i < registry->domain_count; i++) {
		domain = &registry->domains[i];
		out->info.name = (char *)domain->name;
		out->info.evacuated = domain->evacuated;
		out->changed = domain->changed;
		out->operator_name = (char *)domain->operator_name;
		write_record(writer, &saved);
	}
}

static void write_member(void *context, const dy_registry_member_t *member)
{
	dy_saved_t saved = { .kind = DY_SAVED_MEMBER };
	dy_saved_member_t *out = &saved.dy_saved_t_u.member;

	registry_fill_member(member, &out->member);
	out->boot = member->boot;
	out->changed = member->changed;
	out->drain = member->drain;
	out->current = member->current;
	write_record(context, &saved);
}

static void write_answer(gpointer data, gpointer context)
{
	dy_saved_t saved = { .kind = DY_SAVED_ANSWER };
	const answer_t *answer = data;

	memcpy(saved.dy_saved_t_u.answer.request, answer->request,
	       REQUEST_ID_BYTES);
	saved.dy_saved_t_u.answer.result = answer->result;
	write_record(context, &saved);
}

int dy_registry_write(const dy_registry_t *registry,
		      int (*add)(void *context, const void *data, size_t size),
		      void *context)
{
	dy_saved_t end = { .kind = DY_SAVED_END };
	writer_t writer = { .add = add, .context = context };
	dy_list_t *pos;

	writer.buffer = g_malloc(RECORD_MAX_BYTES);
	write_head(&writer, registry);
	write_documents(&writer, registry);
	DY_LIST_EACH(pos, &registry->contents)
	write_content(&writer, DY_LIST_ITEM(pos, content_t, link));
	write_tried(&writer, registry);
	write_keys(&writer, registry);
	write_domains(&writer, registry);
	dy_registry_each_member(registry, write_member, &writer);
	g_queue_foreach(registry->answers, write_answer, &writer);
	write_record(&writer, &end);
	g_free(writer.buffer);
	return writer.failed ? -1 : 0;
}

static void clear_registry(dy_registry_t *registry)
{
	int i;

	registry_drop_members(registry);
	registry_drop_contents(registry);
	registry_drop_answers(registry);
	for (i = 0; i < DY_ENVIRONMENTS; i++)
		memset(&registry->environments[i].document, 0,
		       sizeof(registry->environments[i].document));
	registry->index = 0;
	registry->forgotten_index = 0;
	registry->tried_count = 0;
	registry->domain_count = 0;
	registry->key_count = 0;
	registry->last_key_id = 0;
}

static int load_head(dy_registry_t *registry, const dy_saved_head_t *head)
{
	if (head->format != DY_REGISTRY_FORMAT)
		return -1;
	registry->index = head->index;
	registry->forgotten_index = head->forgotten;
	registry->last_key_id = head->last_key;
	return 0;
}

static int load_document(dy_registry_t *registry,
			 const dy_saved_document_t *saved)
{
	int environment = dy_environment_find(saved->info.environment);
	dy_registry_document_t *document;

	if (environment < 0)
		return -1;
	document = &registry->environments[environment].document;
	document->number = saved->info.number;
	document->size = saved->info.size;
	memcpy(document->digest, saved->info.digest, DY_DIGEST_BYTES);
	document->changed = saved->changed;
	g_strlcpy(document->operator_name, saved->operator_name,
		  sizeof(document->operator_name));
	return 0;
}

static int load_tried(dy_registry_t *registry, const dy_content_tried_t *tried)
{
	if (registry->tried_count == DY_REGISTRY_TRIED_MAX)
		return -1;
	memcpy(registry->tried[registry->tried_count++], tried->digest,
	       DY_DIGEST_BYTES);
	return 0;
}

static int load_key(dy_registry_t *registry, const dy_saved_key_t *saved)
{
	dy_registry_key_t *key;

	if (registry->key_count == KEYS_MAX)
		return -1;
	key = &registry->keys[registry->key_count++];
	key->info = saved->info;
	key->changed = saved->changed;
	key->since_ms = registry->now_ms;
	return 0;
}

static int load_member(dy_registry_t *registry, const dy_saved_member_t *saved)
{
	if (!registry_info_is_valid(&saved->member.info) ||
	    saved->member.state < DY_MEMBER_JOINING ||
	    saved->member.state > DY_MEMBER_DEAD)
		return -1;
	registry_restore_member(registry, saved);
	return 0;
}

/* Returns 1 for the last record, 0 for any other, -1 for an invalid one. */
static int load_record_body(dy_registry_t *registry, const dy_saved_t *saved)
{
	switch (saved->kind) {
	case DY_SAVED_HEAD:
		return load_head(registry, &saved->dy_saved_t_u.head);
	case DY_SAVED_CONTENT:
		registry_add_page(registry, &saved->dy_saved_t_u.content);
		return 0;
	case DY_SAVED_DOCUMENT:
		return load_document(registry, &saved->dy_saved_t_u.document);
	case DY_SAVED_TRIED:
		return load_tried(registry, &saved->dy_saved_t_u.tried);
	case DY_SAVED_KEY:
		return load_key(registry, &saved->dy_saved_t_u.key);
	case DY_SAVED_MEMBER:
		return load_member(registry, &saved->dy_saved_t_u.member);
	case DY_SAVED_ANSWER:
		registry_keep_answer(registry,
				     saved->dy_saved_t_u.answer.request,
				     &saved->dy_saved_t_u.answer.result);
		return 0;
	case DY_SAVED_DOMAIN:
		return registry_restore_domain(registry,
					       &saved->dy_saved_t_u.domain);
	case DY_SAVED_END:
		return 1;
	}
	return -1;
}

typedef struct reader {
	int (*read)(void *context, void *data, size_t size);
	void *context;
	char *buffer;
} reader_t;

static int read_exactly(reader_t *reader, void *data, size_t size)
{
	size_t have = 0;
	int n;

	while (have < size) {
		n = reader->read(reader->context, (char *)data + have,
				 size - have);
		if (n <= 0)
			return -1;
		have += (size_t)n;
	}
	return 0;
}

static int load_record(dy_registry_t *registry, reader_t *reader)
{
	dy_saved_t saved = { 0 };
	uint32_t len;
	int result = -1;
	XDR xdrs;

	if (read_exactly(reader, &len, sizeof(len)))
		return -1;
	len = ntohl(len);
	if (len > RECORD_MAX_BYTES || read_exactly(reader, reader->buffer, len))
		return -1;
	xdrmem_create(&xdrs, reader->buffer, len, XDR_DECODE);
	if (xdr_dy_saved_t(&xdrs, &saved) && xdr_getpos(&xdrs) == len)
		result = load_record_body(registry, &saved);
	xdr_free((xdrproc_t)xdr_dy_saved_t, (char *)&saved);
	return result;
}

int dy_registry_load(dy_registry_t *registry,
		     int (*read)(void *context, void *data, size_t size),
		     void *context)
{
	reader_t reader = { .read = read, .context = context };
	int result;

	clear_registry(registry);
	reader.buffer = g_malloc(RECORD_MAX_BYTES);
	do {
		result = load_record(registry, &reader);
	} while (!result);
	g_free(reader.buffer);
	if (result < 0) {
		clear_registry(registry);
		return -1;
	}
	registry_check_keys(registry);
	return 0;
}
