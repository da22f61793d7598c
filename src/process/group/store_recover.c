#include "store_private.h"

#include <string.h>

#include "damaskyard/invariant.h"
#include "store_record.h"

/*
 * Recovery of the log. A record that does not decode is one of two things:
 *
 * - torn: part of a batch whose sync had not completed when the VM stopped.
 *   Nothing of it was acknowledged, so it is truncated.
 * - corrupt: it was synced and may have been acknowledged. Truncating it would
 *   silently lose an accepted change, so the control must stop.
 *
 * The record was synced if the marker covers it, if a later record was
 * written after its sync (each record has the index synced at that time), or
 * if a later segment has a header (a segment is started only after the sync of
 * the previous one).
 */

typedef struct scan {
	dy_store_t *store;
	/* Index that the next record must have. */
	uint64_t next_index;
	uint64_t marker_index;
	/* The log conflicts with the snapshot; see matches_snapshot(). */
	int conflicts_with_snapshot;
	/* Segment being read: position, name, contents, next record. */
	guint position;
	char name[SEGMENT_NAME_BYTES];
	GByteArray *file;
	uint64_t offset;
} scan_t;

static size_t decode_at(const scan_t *scan, uint64_t offset,
			dy_record_t *record)
{
	if (offset >= scan->file->len)
		return 0;
	return record_decode(scan->file->data + offset,
			     scan->file->len - offset, scan->store->id.identity,
			     record);
}

static uint64_t read_marker(dy_store_t *store)
{
	char data[RECORD_HEADER_BYTES + 32];
	uint64_t index = 0;
	dy_record_t record;
	int64_t size;

	size = store->disk->read(store->disk->context, store->marker_handle, 0,
				 data, sizeof(data));
	if (size <= 0 ||
	    !record_decode(data, size, store->id.identity, &record))
		return 0;
	if (record.kind == DY_RECORD_SYNCED)
		index = record.dy_record_t_u.synced_index;
	record_drop(&record);
	return index;
}

/* Whether a later record proves that next_index was synced. */
static int later_record_proves_sync(const scan_t *scan)
{
	uint64_t offset = scan->offset + RECORD_ALIGNMENT;
	dy_record_t record;
	int proved;

	for (; offset < scan->file->len; offset += RECORD_ALIGNMENT) {
		if (!decode_at(scan, offset, &record))
			continue;
		proved = record.kind == DY_RECORD_ENTRY &&
			 record.dy_record_t_u.entry.synced_index >=
				 scan->next_index;
		record_drop(&record);
		if (proved)
			return 1;
	}
	return 0;
}

/* Returns 1 if a later segment has a valid header, 0, or -1 with error set. */
static int later_segment_proves_sync(const scan_t *scan, GError **error)
{
	const dy_store_t *store = scan->store;
	char name[SEGMENT_NAME_BYTES];
	dy_record_t record;
	GByteArray *file;
	size_t used;
	guint i;

	for (i = scan->position + 1; i < store->segments->len; i++) {
		segment_name(name, g_array_index(store->segments, segment_t, i)
					   .first_index);
		file = store_read_file(store->disk, name, error);
		if (!file)
			return -1;
		used = record_decode(file->data, file->len, store->id.identity,
				     &record);
		g_byte_array_free(file, TRUE);
		if (!used)
			continue;
		record_drop(&record);
		return 1;
	}
	return 0;
}

static int truncate_torn_tail(scan_t *scan, GError **error)
{
	dy_store_t *store = scan->store;
	segment_t *segment;
	int code;

	store->torn_bytes += scan->file->len - scan->offset;
	dy_log_event(DY_LOG_WARN, "store_torn_tail",
		     "file=%s offset=%llu bytes=%llu", scan->name,
		     (unsigned long long)scan->offset,
		     (unsigned long long)(scan->file->len - scan->offset));
	if (log_remove_segments(store, scan->position + (scan->offset > 0),
				error))
		return -1;
	if (!scan->offset)
		return 0;
	if (log_open_tail(store, error))
		return -1;
	segment = &g_array_index(store->segments, segment_t, scan->position);
	segment->size = scan->offset;
	code = store->disk->truncate(store->disk->context, store->tail,
				     scan->offset);
	if (code < 0)
		return store_fail(store, "truncate", scan->name, code, error);
	g_byte_array_set_size(scan->file, scan->offset);
	return 0;
}

static int handle_bad_record(scan_t *scan, GError **error)
{
	int proved = scan->marker_index >= scan->next_index ||
		     later_record_proves_sync(scan);

	if (!proved)
		proved = later_segment_proves_sync(scan, error);
	if (proved < 0)
		return -1;
	if (proved)
		return store_corrupt(scan->name, scan->offset,
				     "a synced record is damaged", error);
	return truncate_torn_tail(scan, error);
}

/*
 * Whether entry is consistent with the snapshot. A crash between the commit of
 * a snapshot that a leader sent and the removal of the log that it replaces
 * leaves entries that were never committed: an entry of another term at the
 * snapshot's last index, or of an older term right after it.
 */
static int matches_snapshot(const dy_store_t *store,
			    const dy_raft_entry_t *entry)
{
	if (!store->has_snapshot)
		return 1;
	if (entry->index == store->snapshot.last_index)
		return entry->term == store->snapshot.last_term;
	if (entry->index == store->snapshot.last_index + 1)
		return entry->term >= store->snapshot.last_term;
	return 1;
}

/* Returns 1 if an entry was read, 0 if it was torn, -1 with error set. */
static int read_entry(scan_t *scan, GError **error)
{
	const dy_raft_entry_t *entry;
	dy_record_t record;
	size_t used = decode_at(scan, scan->offset, &record);
	int result = -1;

	if (!used)
		return handle_bad_record(scan, error);
	entry = &record.dy_record_t_u.entry.entry;
	if (record.kind != DY_RECORD_ENTRY ||
	    entry->index != scan->next_index) {
		store_corrupt(scan->name, scan->offset,
			      "a record is out of order", error);
		goto done;
	}
	if (!matches_snapshot(scan->store, entry))
		scan->conflicts_with_snapshot = 1;
	if (entry->index >= scan->store->first_index)
		log_entry_add(scan->store, entry, scan->offset);
	scan->next_index++;
	scan->offset += used;
	result = 1;
done:
	record_drop(&record);
	return result;
}

/* Returns 1 if the header is valid, 0 if it was torn, -1 with error set. */
static int read_header(scan_t *scan, uint64_t first_index, GError **error)
{
	const dy_record_segment_t *segment;
	dy_record_t record;
	size_t used = decode_at(scan, 0, &record);
	int valid;

	if (!used)
		return handle_bad_record(scan, error);
	segment = &record.dy_record_t_u.segment;
	valid = record.kind == DY_RECORD_SEGMENT &&
		segment->first_index == first_index;
	record_drop(&record);
	if (!valid)
		return store_corrupt(scan->name, 0,
				     "the header is that of another segment",
				     error);
	scan->offset = used;
	return 1;
}

/*
 * Rewrite the last segment and sync it. After a failed sync the kernel may
 * return bytes from its page cache that are marked clean but never reached the
 * disk, and a restarted process would acknowledge entries that a power loss
 * removes. Rewriting makes the pages dirty again, so that the sync writes them.
 */
static int rewrite_tail(scan_t *scan, GError **error)
{
	dy_store_t *store = scan->store;
	int code;

	if (log_open_tail(store, error))
		return -1;
	code = store_write_all(store->disk, store->tail, 0, scan->file->data,
			       scan->file->len);
	if (code >= 0)
		code = store->disk->sync(store->disk->context, store->tail);
	if (code >= 0)
		code = store->disk->sync_folder(store->disk->context);
	if (code < 0)
		return store_fail(store, "sync", scan->name, code, error);
	return 0;
}

static int read_segment(scan_t *scan, GError **error)
{
	dy_store_t *store = scan->store;
	segment_t *segment =
		&g_array_index(store->segments, segment_t, scan->position);
	int result;

	segment_name(scan->name, segment->first_index);
	if (segment->first_index != scan->next_index)
		return store_corrupt(scan->name, 0,
				     "the previous segment is missing", error);
	scan->offset = 0;
	scan->file = store_read_file(store->disk, scan->name, error);
	if (!scan->file)
		return -1;
	segment->size = scan->file->len;
	result = read_header(scan, segment->first_index, error);
	while (result > 0 && scan->offset < scan->file->len)
		result = read_entry(scan, error);
	if (result >= 0 && scan->position + 1 == store->segments->len)
		result = rewrite_tail(scan, error);
	g_byte_array_free(scan->file, TRUE);
	scan->file = NULL;
	return result < 0 ? -1 : 0;
}

int log_recover(dy_store_t *store, GError **error)
{
	scan_t scan = { .store = store };
	uint64_t begin = store->first_index;

	if (log_remove_covered_segments(store, error))
		return -1;
	scan.marker_index = read_marker(store);
	scan.next_index = begin;
	if (store->segments->len)
		scan.next_index =
			MIN(begin, g_array_index(store->segments, segment_t, 0)
					   .first_index);
	for (; scan.position < store->segments->len; scan.position++)
		if (read_segment(&scan, error))
			return -1;
	if (scan.marker_index >= scan.next_index && scan.marker_index >= begin)
		return store_corrupt("log", 0, "synced records are missing",
				     error);
	store->synced_index = dy_store_last_index(store);
	if (scan.conflicts_with_snapshot || scan.next_index < begin)
		return log_clear(store, error);
	if (store->tail < 0 && log_open_tail(store, error))
		return -1;
	/* Rewritten since the marker itself may be corrupt. */
	return log_write_marker(store, 1, error);
}
