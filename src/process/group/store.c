#include "store_private.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "damaskyard/invariant.h"
#include "store_record.h"

#define IDENTITY_NAME STORE_IDENTITY_NAME
#define VOTE_NAME "vote"
#define MARKER_NAME "synced"
#define SEGMENT_PREFIX "log-"
#define TEMPORARY_SUFFIX ".tmp"
/* Small enough to read a segment as a whole, large enough for few files. */
#define DEFAULT_SEGMENT_BYTES (4u << 20)

G_DEFINE_QUARK(dy - store - error - quark, dy_store_error)

int store_fail(dy_store_t *store, const char *operation, const char *name,
	       int code, GError **error)
{
	store->failed = 1;
	g_set_error(error, DY_STORE_ERROR, DY_STORE_ERROR_IO,
		    "%s: cannot %s: %s", name, operation, g_strerror(-code));
	return -1;
}

int store_check(const dy_store_t *store, GError **error)
{
	if (!store->failed)
		return 0;
	g_set_error(error, DY_STORE_ERROR, DY_STORE_ERROR_FAILED,
		    "an earlier write or sync failed; nothing more is written");
	return -1;
}

int store_corrupt(const char *name, uint64_t offset, const char *what,
		  GError **error)
{
	g_set_error(error, DY_STORE_ERROR, DY_STORE_ERROR_CORRUPT,
		    "%s: offset %llu: %s; replace this control as one whose "
		    "disk was lost",
		    name, (unsigned long long)offset, what);
	return -1;
}

int store_write_all(const dy_disk_t *disk, int handle, uint64_t offset,
		    const void *data, size_t size)
{
	size_t done = 0;
	int64_t n;

	while (done < size) {
		n = disk->write(disk->context, handle, offset + done,
				(const char *)data + done, size - done);
		if (n < 0)
			return (int)n;
		if (!n)
			return -ENOSPC;
		done += n;
	}
	return 0;
}

GByteArray *store_read_file(const dy_disk_t *disk, const char *name,
			    GError **error)
{
	GByteArray *file = g_byte_array_new();
	int handle = disk->open(disk->context, name, 0);
	int64_t size = handle;

	if (handle >= 0) {
		size = disk->size(disk->context, handle);
		if (size > 0) {
			g_byte_array_set_size(file, size);
			size = disk->read(disk->context, handle, 0, file->data,
					  size);
		}
		disk->close(disk->context, handle);
	}
	if (size >= 0) {
		g_byte_array_set_size(file, size);
		return file;
	}
	g_byte_array_free(file, TRUE);
	if (size != -ENOENT)
		g_set_error(error, DY_STORE_ERROR, DY_STORE_ERROR_IO,
			    "%s: cannot read: %s", name,
			    g_strerror((int)-size));
	return NULL;
}

int store_rename(dy_store_t *store, const char *from, const char *to,
		 GError **error)
{
	const dy_disk_t *disk = store->disk;
	int code = disk->rename(disk->context, from, to);

	if (code >= 0)
		code = disk->sync_folder(disk->context);
	if (code < 0)
		return store_fail(store, "rename to", to, code, error);
	return 0;
}

static int write_record_file(const dy_disk_t *disk, const char *name,
			     const dy_record_t *record)
{
	GByteArray *out = g_byte_array_new();
	int handle = disk->open(disk->context, name, 1);
	int code = handle;

	record_encode(out, record, 0);
	if (handle >= 0) {
		code = store_write_all(disk, handle, 0, out->data, out->len);
		if (code >= 0)
			code = disk->sync(disk->context, handle);
		disk->close(disk->context, handle);
	}
	g_byte_array_free(out, TRUE);
	return code;
}

int store_replace_file(const dy_disk_t *disk, const char *name,
		       const dy_record_t *record)
{
	char temporary[SEGMENT_NAME_BYTES];
	int code;

	snprintf(temporary, sizeof(temporary), "%s" TEMPORARY_SUFFIX, name);
	code = write_record_file(disk, temporary, record);
	if (code >= 0)
		code = disk->rename(disk->context, temporary, name);
	if (code >= 0)
		code = disk->sync_folder(disk->context);
	return code;
}

static int write_file(dy_store_t *store, const char *name,
		      const dy_record_t *record, GError **error)
{
	int code = store_replace_file(store->disk, name, record);

	return code < 0 ? store_fail(store, "write", name, code, error) : 0;
}

/* Returns 1 and the record, 0 if there is no such file, -1 with error set. */
static int read_file(dy_store_t *store, const char *name, dy_record_kind_t kind,
		     dy_record_t *record, GError **error)
{
	GError *failure = NULL;
	GByteArray *file = store_read_file(store->disk, name, &failure);
	size_t used;

	if (failure) {
		g_propagate_error(error, failure);
		return -1;
	}
	if (!file)
		return 0;
	used = record_decode(file->data, file->len, 0, record);
	g_byte_array_free(file, TRUE);
	if (used && record->kind == kind)
		return 1;
	if (used)
		record_drop(record);
	return store_corrupt(name, 0, "the record is damaged", error);
}

static int write_vote_file(dy_store_t *store, GError **error)
{
	dy_record_t record = { .kind = DY_RECORD_VOTE };

	record.dy_record_t_u.vote.id = store->id;
	record.dy_record_t_u.vote.term = store->term;
	record.dy_record_t_u.vote.voted_for = store->vote;
	return write_file(store, VOTE_NAME, &record, error);
}

int dy_store_write_vote(dy_store_t *store, uint64_t term,
			dy_voter_id_t voted_for, GError **error)
{
	dy_assert(term >= store->term);
	dy_assert(term > store->term || !store->vote.identity ||
		  (store->vote.slot == voted_for.slot &&
		   store->vote.identity == voted_for.identity));
	if (store_check(store, error))
		return -1;
	store->term = term;
	store->vote = voted_for;
	return write_vote_file(store, error);
}

typedef struct listing {
	dy_store_t *store;
	GPtrArray *temporaries;
	int has_state;
} listing_t;

static void classify_file(void *context, const char *name)
{
	listing_t *listing = context;
	segment_t segment = { 0, 0 };

	if (g_str_has_suffix(name, TEMPORARY_SUFFIX)) {
		g_ptr_array_add(listing->temporaries, g_strdup(name));
	} else if (g_str_has_prefix(name, SEGMENT_PREFIX)) {
		segment.first_index =
			strtoull(name + strlen(SEGMENT_PREFIX), NULL, 10);
		g_array_append_val(listing->store->segments, segment);
		listing->has_state = 1;
	} else if (!strcmp(name, "snapshot")) {
		listing->has_state = 1;
	}
}

static gint compare_segments(gconstpointer a, gconstpointer b)
{
	uint64_t left = ((const segment_t *)a)->first_index;
	uint64_t right = ((const segment_t *)b)->first_index;

	return left < right ? -1 : left > right;
}

/*
 * Returns whether there is a log or a snapshot, or -1 with error set. The
 * folder is synced before its files are used: otherwise a vote whose rename
 * was not synced would be read and acted upon, then lost by a power loss.
 */
static int list_folder(dy_store_t *store, GError **error)
{
	listing_t listing = { store, g_ptr_array_new_with_free_func(g_free),
			      0 };
	const dy_disk_t *disk = store->disk;
	int code = disk->list(disk->context, classify_file, &listing);
	guint i;

	for (i = 0; code >= 0 && i < listing.temporaries->len; i++)
		code = disk->remove(disk->context,
				    g_ptr_array_index(listing.temporaries, i));
	if (code >= 0)
		code = disk->sync_folder(disk->context);
	g_ptr_array_free(listing.temporaries, TRUE);
	if (code < 0)
		return store_fail(store, "list", "data folder", code, error);
	g_array_sort(store->segments, compare_segments);
	return listing.has_state;
}

/*
 * The vote is written before the identity. So a folder with an identity always
 * has a vote, and a missing vote is damage, not an interrupted first start.
 */
static int create_member(dy_store_t *store, const dy_store_options_t *options,
			 int has_state, GError **error)
{
	dy_record_t record;
	uint64_t term = 0;
	int found = read_file(store, VOTE_NAME, DY_RECORD_VOTE, &record, error);

	if (found < 0)
		return -1;
	if (found)
		term = record.dy_record_t_u.vote.term;
	if (has_state || term)
		return store_corrupt(IDENTITY_NAME, 0,
				     "missing beside a log or a vote", error);
	dy_assert(options->new_identity);
	store->group = options->group;
	store->id.slot = options->slot;
	store->id.identity = options->new_identity;
	if (write_vote_file(store, error))
		return -1;
	dy_log_event(DY_LOG_WARN, "store_new_identity", "slot=%u identity=%llx",
		     store->id.slot, (unsigned long long)store->id.identity);
	record.kind = DY_RECORD_IDENTITY;
	record.dy_record_t_u.identity.group = store->group;
	record.dy_record_t_u.identity.id = store->id;
	return write_file(store, IDENTITY_NAME, &record, error);
}

static int load_member(dy_store_t *store, const dy_store_options_t *options,
		       int has_state, GError **error)
{
	dy_record_t record;
	int found = read_file(store, IDENTITY_NAME, DY_RECORD_IDENTITY, &record,
			      error);

	if (found < 0)
		return -1;
	if (!found)
		return create_member(store, options, has_state, error);
	store->group = record.dy_record_t_u.identity.group;
	store->id = record.dy_record_t_u.identity.id;
	if (store->group == options->group && store->id.slot == options->slot)
		return 0;
	g_set_error(error, DY_STORE_ERROR, DY_STORE_ERROR_FOREIGN,
		    "the data folder belongs to slot %u of group %llu, not to "
		    "slot %u of group %llu",
		    store->id.slot, (unsigned long long)store->group,
		    options->slot, (unsigned long long)options->group);
	return -1;
}

static int load_vote(dy_store_t *store, GError **error)
{
	dy_record_t record;
	const dy_record_vote_t *vote = &record.dy_record_t_u.vote;
	int found = read_file(store, VOTE_NAME, DY_RECORD_VOTE, &record, error);

	if (found < 0)
		return -1;
	if (!found)
		return store_corrupt(VOTE_NAME, 0, "missing beside an identity",
				     error);
	if (vote->id.identity != store->id.identity)
		return store_corrupt(VOTE_NAME, 0, "belongs to another member",
				     error);
	store->term = vote->term;
	store->vote = vote->voted_for;
	return 0;
}

static int recover(dy_store_t *store, const dy_store_options_t *options,
		   GError **error)
{
	const dy_disk_t *disk = store->disk;
	int has_state = list_folder(store, error);

	if (has_state < 0 || load_member(store, options, has_state, error) ||
	    load_vote(store, error))
		return -1;
	store->marker_handle = disk->open(disk->context, MARKER_NAME, 1);
	if (store->marker_handle < 0)
		return store_fail(store, "open", MARKER_NAME,
				  store->marker_handle, error);
	if (snapshot_recover(store, error))
		return -1;
	if (store->has_snapshot)
		store->first_index = store->snapshot.last_index + 1;
	return log_recover(store, error);
}

dy_store_t *dy_store_create(const dy_disk_t *disk,
			    const dy_store_options_t *options, GError **error)
{
	dy_store_t *store = g_new0(dy_store_t, 1);

	store->disk = disk;
	store->segment_bytes = options->segment_bytes ? options->segment_bytes
						      : DEFAULT_SEGMENT_BYTES;
	store->entries = g_ptr_array_new_with_free_func(g_free);
	store->first_index = 1;
	store->segments = g_array_new(FALSE, FALSE, sizeof(segment_t));
	store->tail = -1;
	store->marker_handle = -1;
	store->buffer = g_byte_array_new();
	if (!recover(store, options, error))
		return store;
	dy_store_destroy(store);
	return NULL;
}

void dy_store_destroy(dy_store_t *store)
{
	if (!store)
		return;
	dy_store_snapshot_abort(store);
	snapshot_drop(store);
	if (store->tail >= 0)
		store->disk->close(store->disk->context, store->tail);
	if (store->marker_handle >= 0)
		store->disk->close(store->disk->context, store->marker_handle);
	g_ptr_array_free(store->entries, TRUE);
	g_array_free(store->segments, TRUE);
	g_byte_array_free(store->buffer, TRUE);
	g_free(store);
}

uint64_t dy_store_group(const dy_store_t *store)
{
	return store->group;
}

dy_voter_id_t dy_store_id(const dy_store_t *store)
{
	return store->id;
}

uint64_t dy_store_torn_bytes(const dy_store_t *store)
{
	return store->torn_bytes;
}

int dy_store_failed(const dy_store_t *store)
{
	return store->failed;
}

uint64_t dy_store_term(const dy_store_t *store)
{
	return store->term;
}

dy_voter_id_t dy_store_vote(const dy_store_t *store)
{
	return store->vote;
}
