#include "store_private.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "damaskyard/invariant.h"
#include "store_record.h"

void segment_name(char *name, uint64_t first_index)
{
	snprintf(name, SEGMENT_NAME_BYTES, "log-%020llu",
		 (unsigned long long)first_index);
}

static segment_t *last_segment(const dy_store_t *store)
{
	if (!store->segments->len)
		return NULL;
	return &g_array_index(store->segments, segment_t,
			      store->segments->len - 1);
}

log_entry_t *log_entry_at(const dy_store_t *store, uint64_t index)
{
	if (index < store->first_index ||
	    index - store->first_index >= store->entries->len)
		return NULL;
	return g_ptr_array_index(store->entries, index - store->first_index);
}

void log_entry_add(dy_store_t *store, const dy_raft_entry_t *entry,
		   uint64_t offset)
{
	log_entry_t *copy = g_malloc(sizeof(*copy) + entry->data.data_len);

	copy->offset = offset;
	copy->entry = *entry;
	copy->entry.data.data_val = (char *)(copy + 1);
	if (entry->data.data_len)
		memcpy(copy + 1, entry->data.data_val, entry->data.data_len);
	g_ptr_array_add(store->entries, copy);
	store->log_bytes += entry->data.data_len;
}

static void drop_entries(dy_store_t *store, guint position, guint count)
{
	const log_entry_t *entry;
	guint i;

	for (i = position; i < position + count; i++) {
		entry = g_ptr_array_index(store->entries, i);
		store->log_bytes -= entry->entry.data.data_len;
	}
	if (count)
		g_ptr_array_remove_range(store->entries, position, count);
}

static void encode_segment(dy_store_t *store, uint64_t first_index)
{
	dy_record_t record = { .kind = DY_RECORD_SEGMENT };

	record.dy_record_t_u.segment.first_index = first_index;
	record.dy_record_t_u.segment.id = store->id;
	record_encode(store->buffer, &record, store->id.identity);
}

/*
 * A segment is started only after the previous one is synced, so that a valid
 * header proves that all earlier records were synced.
 */
static void begin_segment(dy_store_t *store, uint64_t first_index)
{
	segment_t segment = { first_index, 0 };

	if (store->tail >= 0)
		store->disk->close(store->disk->context, store->tail);
	store->tail = -1;
	g_array_append_val(store->segments, segment);
	encode_segment(store, first_index);
}

void dy_store_append(dy_store_t *store, const dy_raft_entry_t *entry)
{
	dy_record_t record = { .kind = DY_RECORD_ENTRY };
	const segment_t *tail = last_segment(store);
	uint64_t last = dy_store_last_index(store);

	dy_assert(entry->index == last + 1);
	dy_assert(entry->term >= dy_store_entry_term(store, last));
	dy_assert(entry->data.data_len <= DY_RAFT_ENTRY_BYTES);
	if (!tail || (!store->buffer->len && tail->size > store->segment_bytes))
		begin_segment(store, entry->index);
	tail = last_segment(store);
	log_entry_add(store, entry, tail->size + store->buffer->len);
	record.dy_record_t_u.entry.synced_index = store->synced_index;
	record.dy_record_t_u.entry.entry = *entry;
	record_encode(store->buffer, &record, store->id.identity);
}

static int create_tail(dy_store_t *store, const char *name, GError **error)
{
	int code;

	store->tail = store->disk->open(store->disk->context, name, 1);
	if (store->tail < 0) {
		code = store->tail;
		store->tail = -1;
		return store_fail(store, "create", name, code, error);
	}
	code = store->disk->sync_folder(store->disk->context);
	if (code < 0)
		return store_fail(store, "sync the folder of", name, code,
				  error);
	return 0;
}

int dy_store_sync(dy_store_t *store, GError **error)
{
	segment_t *tail = last_segment(store);
	char name[SEGMENT_NAME_BYTES];
	int code;

	if (store_check(store, error))
		return -1;
	if (!store->buffer->len)
		return 0;
	segment_name(name, tail->first_index);
	if (store->tail < 0 && create_tail(store, name, error))
		return -1;
	code = store_write_all(store->disk, store->tail, tail->size,
			       store->buffer->data, store->buffer->len);
	if (code < 0)
		return store_fail(store, "write", name, code, error);
	code = store->disk->sync(store->disk->context, store->tail);
	if (code < 0)
		return store_fail(store, "sync", name, code, error);
	tail->size += store->buffer->len;
	g_byte_array_set_size(store->buffer, 0);
	store->synced_index = dy_store_last_index(store);
	return log_write_marker(store, 0, error);
}

/*
 * The marker is a lower bound of the synced index. It distinguishes a last
 * record that is corrupt from one that was being written. It is usually not
 * synced itself, so it may lag behind, but it is never ahead.
 */
int log_write_marker(dy_store_t *store, int sync, GError **error)
{
	dy_record_t record = { .kind = DY_RECORD_SYNCED };
	GByteArray *out = g_byte_array_new();
	int code;

	record.dy_record_t_u.synced_index = store->synced_index;
	record_encode(out, &record, store->id.identity);
	code = store_write_all(store->disk, store->marker_handle, 0, out->data,
			       out->len);
	if (code >= 0 && sync)
		code = store->disk->sync(store->disk->context,
					 store->marker_handle);
	g_byte_array_free(out, TRUE);
	if (code < 0)
		return store_fail(store, "write", "synced", code, error);
	return 0;
}

int log_open_tail(dy_store_t *store, GError **error)
{
	const segment_t *tail = last_segment(store);
	char name[SEGMENT_NAME_BYTES];
	int handle;

	if (store->tail >= 0)
		store->disk->close(store->disk->context, store->tail);
	store->tail = -1;
	if (!tail)
		return 0;
	segment_name(name, tail->first_index);
	handle = store->disk->open(store->disk->context, name, 0);
	if (handle < 0)
		return store_fail(store, "open", name, handle, error);
	store->tail = handle;
	return 0;
}

/*
 * Each removal is synced before the next one, so that a crash never leaves a
 * gap between segments.
 */
int log_remove_segments(dy_store_t *store, guint position, GError **error)
{
	char name[SEGMENT_NAME_BYTES];
	int code = 0;

	while (store->segments->len > position) {
		segment_name(name, last_segment(store)->first_index);
		code = store->disk->remove(store->disk->context, name);
		if (code >= 0 || code == -ENOENT)
			code = store->disk->sync_folder(store->disk->context);
		if (code < 0)
			return store_fail(store, "remove", name, code, error);
		g_array_set_size(store->segments, store->segments->len - 1);
	}
	return 0;
}

/* Number of segments that begin at or before index. */
static guint count_segments(const dy_store_t *store, uint64_t index)
{
	guint n = 0;

	while (n < store->segments->len &&
	       g_array_index(store->segments, segment_t, n).first_index <=
		       index)
		n++;
	return n;
}

static int truncate_tail(dy_store_t *store, uint64_t size, GError **error)
{
	segment_t *tail = last_segment(store);
	char name[SEGMENT_NAME_BYTES];
	int code;

	segment_name(name, tail->first_index);
	code = store->disk->truncate(store->disk->context, store->tail, size);
	if (code >= 0)
		code = store->disk->sync(store->disk->context, store->tail);
	if (code < 0)
		return store_fail(store, "truncate", name, code, error);
	tail->size = size;
	return 0;
}

int dy_store_truncate(dy_store_t *store, uint64_t index, GError **error)
{
	const log_entry_t *entry = log_entry_at(store, index);
	uint64_t offset;
	guint keep;

	if (dy_store_sync(store, error))
		return -1;
	if (!entry)
		return 0;
	offset = entry->offset;
	store->synced_index = index - 1;
	if (log_write_marker(store, 1, error))
		return -1;
	keep = count_segments(store, index);
	if (log_remove_segments(store, keep, error) ||
	    log_open_tail(store, error) || truncate_tail(store, offset, error))
		return -1;
	drop_entries(store, index - store->first_index,
		     store->entries->len - (index - store->first_index));
	return 0;
}

int log_clear(dy_store_t *store, GError **error)
{
	g_byte_array_set_size(store->buffer, 0);
	drop_entries(store, 0, store->entries->len);
	store->first_index = store->snapshot.last_index + 1;
	store->synced_index = store->snapshot.last_index;
	if (log_write_marker(store, 1, error) ||
	    log_remove_segments(store, 0, error))
		return -1;
	return log_open_tail(store, error);
}

/*
 * These removals are not synced: a gap among covered segments is harmless.
 */
int log_remove_covered_segments(dy_store_t *store, GError **error)
{
	char name[SEGMENT_NAME_BYTES];
	const segment_t *first;
	int code;

	while (count_segments(store, store->first_index) > 1) {
		first = &g_array_index(store->segments, segment_t, 0);
		segment_name(name, first->first_index);
		code = store->disk->remove(store->disk->context, name);
		if (code < 0 && code != -ENOENT)
			return store_fail(store, "remove", name, code, error);
		g_array_remove_index(store->segments, 0);
	}
	return 0;
}

int log_trim_to_snapshot(dy_store_t *store, GError **error)
{
	uint64_t last = store->snapshot.last_index;
	const log_entry_t *entry = log_entry_at(store, last);

	if (store->first_index == last + 1)
		return log_remove_covered_segments(store, error);
	if (!entry || entry->entry.term != store->snapshot.last_term)
		return log_clear(store, error);
	drop_entries(store, 0, last - store->first_index + 1);
	store->first_index = last + 1;
	return log_remove_covered_segments(store, error);
}

uint64_t dy_store_first_index(const dy_store_t *store)
{
	return store->first_index;
}

uint64_t dy_store_last_index(const dy_store_t *store)
{
	return store->first_index + store->entries->len - 1;
}

uint64_t dy_store_synced_index(const dy_store_t *store)
{
	return store->synced_index;
}

uint64_t dy_store_log_bytes(const dy_store_t *store)
{
	return store->log_bytes;
}

uint64_t dy_store_entry_term(const dy_store_t *store, uint64_t index)
{
	const log_entry_t *entry = log_entry_at(store, index);

	if (entry)
		return entry->entry.term;
	if (store->has_snapshot && index == store->snapshot.last_index)
		return store->snapshot.last_term;
	return 0;
}

const dy_raft_entry_t *dy_store_find_entry(const dy_store_t *store,
					   uint64_t index)
{
	const log_entry_t *entry = log_entry_at(store, index);

	return entry ? &entry->entry : NULL;
}
