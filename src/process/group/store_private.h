#ifndef STORE_PRIVATE_H
#define STORE_PRIVATE_H

/* What the files of the store share; the subject is told in store.h. */

#include "damaskyard/store.h"

/* An entry in memory, and where its record starts in its segment. */
typedef struct log_entry {
	uint64_t offset;
	dy_raft_entry_t entry;
} log_entry_t;

typedef struct segment {
	uint64_t first_index;
	/* Bytes that are written and synced. */
	uint64_t size;
} segment_t;

/* A snapshot that is being written, in NAME.tmp. */
typedef struct snapshot_writer {
	int handle;
	dy_store_snapshot_t meta;
	/* Where the chunks begin, bytes in the file, and in the chunks. */
	uint64_t start;
	uint64_t file_size;
	uint64_t taken;
	GByteArray *chunk;
} snapshot_writer_t;

struct dy_store {
	const dy_disk_t *disk;
	uint64_t group;
	dy_voter_id_t id;
	uint32_t segment_bytes;
	int failed;
	uint64_t torn_bytes;

	uint64_t term;
	dy_voter_id_t vote;

	GPtrArray *entries;
	uint64_t first_index;
	uint64_t synced_index;
	uint64_t log_bytes;
	/* Oldest first; the last one is open as tail, if tail is not -1. */
	GArray *segments;
	int tail;
	/* Records that are encoded and not yet written. */
	GByteArray *buffer;
	/* Handle of the file `synced`. */
	int marker;

	int has_snapshot;
	dy_store_snapshot_t snapshot;
	int snapshot_handle;
	uint64_t snapshot_start;
	snapshot_writer_t *writer;
};

/* The file that says whose the folder is. */
#define STORE_IDENTITY_NAME "identity"

/* Fail the store for good. Returns -1 with error set. */
int store_fail(dy_store_t *store, const char *operation, const char *name,
	       int code, GError **error);
/* Returns -1 with error set if the store has failed, else 0. */
int store_check(const dy_store_t *store, GError **error);
int store_corrupt(const char *name, uint64_t offset, const char *what,
		  GError **error);

/* Write all of data, whatever the disk takes at a time. Returns 0 or -errno. */
int store_write_all(const dy_disk_t *disk, int handle, uint64_t offset,
		    const void *data, size_t size);
/*
 * Read a whole file. Returns NULL with error set, or without if there is no
 * such file.
 */
GByteArray *store_read_file(const dy_disk_t *disk, const char *name,
			    GError **error);
/* Rename from over to and sync the folder; fails the store. */
int store_rename(dy_store_t *store, const char *from, const char *to,
		 GError **error);

#define SEGMENT_NAME_BYTES 32
void segment_name(char *name, uint64_t first_index);

log_entry_t *log_entry_at(const dy_store_t *store, uint64_t index);
/* Take entry's copy into memory, as it stands at offset of the tail. */
void log_entry_add(dy_store_t *store, const dy_raft_entry_t *entry,
		   uint64_t offset);
/* Open the last segment as tail. */
int log_open_tail(dy_store_t *store, GError **error);
/* Write the marker of what is synced; durable only if sync. */
int log_write_marker(dy_store_t *store, int sync, GError **error);
/* Remove segments from position on, newest first, each durably. */
int log_remove_segments(dy_store_t *store, guint position, GError **error);
/* Empty the log; it begins behind the snapshot again. */
int log_drop_all(dy_store_t *store, GError **error);
/* Remove the segments that a later one and the snapshot make unneeded. */
int log_drop_covered(dy_store_t *store, GError **error);
/* Remove what the snapshot covers, or all that does not agree with it. */
int log_follow_snapshot(dy_store_t *store, GError **error);
/* Read the log and cut its torn tail. Segments are listed in store. */
int log_recover(dy_store_t *store, GError **error);

/* Open and check the snapshot file, if there is one. */
int snapshot_recover(dy_store_t *store, GError **error);
void snapshot_drop(dy_store_t *store);

#endif
