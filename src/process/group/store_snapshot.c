#include "store_private.h"

#include <errno.h>
#include <string.h>

#include "damaskyard/invariant.h"
#include "store_record.h"

/*
 * The snapshot file is one record of metadata, then the state machine's data
 * in chunks of DY_RAFT_CHUNK_BYTES. The last chunk may be shorter. All other
 * chunk records have the same size, so that no index is needed to find them.
 */

#define SNAPSHOT_NAME "snapshot"
#define SNAPSHOT_TEMPORARY "snapshot.tmp"
/* Record header; kind, offset and length of the data; data. */
#define CHUNK_RECORD_BYTES (RECORD_HEADER_BYTES + 16 + DY_RAFT_CHUNK_BYTES)

static uint64_t chunk_position(uint64_t start, uint64_t offset)
{
	return start + offset / DY_RAFT_CHUNK_BYTES * CHUNK_RECORD_BYTES;
}

static void encode_meta(GByteArray *out, const dy_store_snapshot_t *meta,
			uint64_t salt)
{
	dy_record_t record = { .kind = DY_RECORD_SNAPSHOT };
	dy_record_snapshot_t *snapshot = &record.dy_record_t_u.snapshot;

	snapshot->last_index = meta->last_index;
	snapshot->last_term = meta->last_term;
	snapshot->config_index = meta->config_index;
	snapshot->config = meta->config;
	snapshot->size = meta->size;
	record_encode(out, &record, salt);
}

static void copy_meta(dy_store_snapshot_t *to, const dy_store_snapshot_t *from)
{
	*to = *from;
	dy_config_copy(&to->config, &from->config);
}

void dy_store_snapshot_abort(dy_store_t *store)
{
	snapshot_writer_t *writer = store->writer;

	if (!writer)
		return;
	if (writer->handle >= 0)
		store->disk->close(store->disk->context, writer->handle);
	/* A file that remains is removed when the folder is opened again. */
	if (!store->failed)
		(void)store->disk->remove(store->disk->context,
					  SNAPSHOT_TEMPORARY);
	dy_config_drop(&writer->meta.config);
	g_byte_array_free(writer->chunk, TRUE);
	g_free(writer);
	store->writer = NULL;
}

static int fail_snapshot(dy_store_t *store, const char *operation, int code,
			 GError **error)
{
	dy_store_snapshot_abort(store);
	g_set_error(error, DY_STORE_ERROR, DY_STORE_ERROR_IO,
		    "%s: cannot %s: %s", SNAPSHOT_TEMPORARY, operation,
		    g_strerror(-code));
	return -1;
}

static int write_record(dy_store_t *store, uint64_t offset,
			const GByteArray *record, GError **error)
{
	int code = store_write_all(store->disk, store->writer->handle, offset,
				   record->data, record->len);

	return code < 0 ? fail_snapshot(store, "write", code, error) : 0;
}

static int write_meta(dy_store_t *store, GError **error)
{
	GByteArray *out = g_byte_array_new();
	int failed;

	encode_meta(out, &store->writer->meta, store->id.identity);
	store->writer->start = out->len;
	if (!store->writer->file_size)
		store->writer->file_size = out->len;
	failed = write_record(store, 0, out, error);
	g_byte_array_free(out, TRUE);
	return failed;
}

int dy_store_snapshot_begin(dy_store_t *store,
			    const dy_store_snapshot_t *snapshot, GError **error)
{
	snapshot_writer_t *writer;
	int code;

	if (store_check(store, error))
		return -1;
	dy_store_snapshot_abort(store);
	dy_assert(!store->has_snapshot ||
		  snapshot->last_index >= store->snapshot.last_index);
	writer = g_new0(snapshot_writer_t, 1);
	store->writer = writer;
	copy_meta(&writer->meta, snapshot);
	writer->meta.size = 0;
	writer->chunk = g_byte_array_new();
	writer->handle =
		store->disk->open(store->disk->context, SNAPSHOT_TEMPORARY, 1);
	if (writer->handle < 0)
		return fail_snapshot(store, "create", writer->handle, error);
	code = store->disk->truncate(store->disk->context, writer->handle, 0);
	if (code < 0)
		return fail_snapshot(store, "truncate", code, error);
	return write_meta(store, error);
}

static int write_chunk(dy_store_t *store, GError **error)
{
	snapshot_writer_t *writer = store->writer;
	dy_record_t record = { .kind = DY_RECORD_CHUNK };
	dy_record_chunk_t *chunk = &record.dy_record_t_u.chunk;
	GByteArray *out = g_byte_array_new();
	int failed;

	chunk->offset = writer->data_bytes;
	chunk->data.data_val = (char *)writer->chunk->data;
	chunk->data.data_len = writer->chunk->len;
	record_encode(out, &record, store->id.identity);
	writer->data_bytes += writer->chunk->len;
	g_byte_array_set_size(writer->chunk, 0);
	failed = write_record(store, writer->file_size, out, error);
	if (!failed)
		writer->file_size += out->len;
	g_byte_array_free(out, TRUE);
	return failed;
}

int dy_store_snapshot_add(dy_store_t *store, const void *data, size_t size,
			  GError **error)
{
	size_t n;

	if (store_check(store, error))
		return -1;
	if (!store->writer)
		return fail_snapshot(store, "continue", -EINVAL, error);
	while (size) {
		n = DY_RAFT_CHUNK_BYTES - store->writer->chunk->len;
		n = MIN(n, size);
		g_byte_array_append(store->writer->chunk, data, n);
		data = (const char *)data + n;
		size -= n;
		if (store->writer->chunk->len == DY_RAFT_CHUNK_BYTES &&
		    write_chunk(store, error))
			return -1;
	}
	return 0;
}

/* Rename the temporary file over the old snapshot. */
static int replace_snapshot(dy_store_t *store, GError **error)
{
	snapshot_writer_t *writer = store->writer;
	int code = store->disk->sync(store->disk->context, writer->handle);

	if (code < 0)
		return store_fail(store, "sync", SNAPSHOT_TEMPORARY, code,
				  error);
	if (store_rename(store, SNAPSHOT_TEMPORARY, SNAPSHOT_NAME, error))
		return -1;
	snapshot_drop(store);
	store->has_snapshot = 1;
	copy_meta(&store->snapshot, &writer->meta);
	store->snapshot_handle = writer->handle;
	writer->handle = -1;
	store->snapshot_start = writer->start;
	return 0;
}

int dy_store_snapshot_commit(dy_store_t *store, GError **error)
{
	if (dy_store_sync(store, error))
		return -1;
	if (!store->writer)
		return fail_snapshot(store, "commit", -EINVAL, error);
	if (store->writer->chunk->len && write_chunk(store, error))
		return -1;
	store->writer->meta.size = store->writer->data_bytes;
	if (write_meta(store, error) || replace_snapshot(store, error))
		return -1;
	dy_store_snapshot_abort(store);
	return log_trim_to_snapshot(store, error);
}

const dy_store_snapshot_t *dy_store_snapshot(const dy_store_t *store)
{
	return store->has_snapshot ? &store->snapshot : NULL;
}

void snapshot_drop(dy_store_t *store)
{
	if (!store->has_snapshot)
		return;
	store->disk->close(store->disk->context, store->snapshot_handle);
	dy_config_drop(&store->snapshot.config);
	store->has_snapshot = 0;
}

/* Read the record at position. Returns its length, or -1 with error set. */
static int64_t read_record(dy_store_t *store, int handle, uint64_t position,
			   dy_record_kind_t kind, dy_record_t *record,
			   GError **error)
{
	char *data = g_malloc(RECORD_MAX_BYTES);
	int64_t size = store->disk->read(store->disk->context, handle, position,
					 data, RECORD_MAX_BYTES);
	size_t used = 0;

	if (size < 0) {
		g_free(data);
		(void)store_fail(store, "read", SNAPSHOT_NAME, (int)size,
				 error);
		return -1;
	}
	used = record_decode(data, size, store->id.identity, record);
	g_free(data);
	if (used && record->kind != kind) {
		record_drop(record);
		used = 0;
	}
	if (used)
		return (int64_t)used;
	(void)store_corrupt(SNAPSHOT_NAME, position, "a record is damaged",
			    error);
	return -1;
}

int dy_store_snapshot_read(dy_store_t *store, uint64_t offset, void *data,
			   GError **error)
{
	uint64_t position = chunk_position(store->snapshot_start, offset);
	dy_record_t record;
	dy_record_chunk_t *chunk = &record.dy_record_t_u.chunk;
	int size;

	if (offset >= store->snapshot.size)
		return 0;
	if (read_record(store, store->snapshot_handle, position,
			DY_RECORD_CHUNK, &record, error) < 0)
		return -1;
	size = (int)chunk->data.data_len;
	if (chunk->offset == offset &&
	    (uint64_t)size ==
		    MIN(store->snapshot.size - offset, DY_RAFT_CHUNK_BYTES))
		memcpy(data, chunk->data.data_val, size);
	else
		size = store_corrupt(SNAPSHOT_NAME, position,
				     "a chunk is out of order", error);
	record_drop(&record);
	return size;
}

static int check_chunks(dy_store_t *store, GError **error)
{
	char *data = g_malloc(DY_RAFT_CHUNK_BYTES);
	uint64_t offset = 0;
	int size = 0;

	while (offset < store->snapshot.size) {
		size = dy_store_snapshot_read(store, offset, data, error);
		if (size < 0)
			break;
		offset += size;
	}
	g_free(data);
	return size < 0 ? -1 : 0;
}

int snapshot_recover(dy_store_t *store, GError **error)
{
	dy_record_t record;
	const dy_record_snapshot_t *meta = &record.dy_record_t_u.snapshot;
	int handle = store->disk->open(store->disk->context, SNAPSHOT_NAME, 0);
	int64_t used;

	if (handle == -ENOENT)
		return 0;
	if (handle < 0)
		return store_fail(store, "open", SNAPSHOT_NAME, handle, error);
	used = read_record(store, handle, 0, DY_RECORD_SNAPSHOT, &record,
			   error);
	if (used < 0) {
		store->disk->close(store->disk->context, handle);
		return -1;
	}
	store->has_snapshot = 1;
	store->snapshot_handle = handle;
	store->snapshot_start = used;
	store->snapshot.last_index = meta->last_index;
	store->snapshot.last_term = meta->last_term;
	store->snapshot.config_index = meta->config_index;
	store->snapshot.size = meta->size;
	dy_config_copy(&store->snapshot.config, &meta->config);
	record_drop(&record);
	return check_chunks(store, error);
}
