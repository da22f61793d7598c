#ifndef STORE_PRIVATE_H
#define STORE_PRIVATE_H

/* Internals of the store, shared by store*.c. See store.h. */

#include "damaskyard/store.h"

/* An entry in memory, and the offset of its record in its segment. */
typedef struct log_entry {
	uint64_t offset;
	dy_raft_entry_t entry;
} log_entry_t;

typedef struct segment {
	uint64_t first_index;
	/* Bytes written and synced. */
	uint64_t size;
} segment_t;

/* A snapshot being written to its temporary file. */
typedef struct snapshot_writer {
	int handle;
	dy_store_snapshot_t meta;
	uint64_t start;	     /* offset of the first chunk */
	uint64_t file_size;  /* bytes written */
	uint64_t data_bytes; /* bytes of data in the chunks */
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
	/* Oldest first. tail is the handle of the last one, or -1. */
	GArray *segments;
	int tail;
	/* Encoded records to be written to the last segment. */
	GByteArray *buffer;
	/* Handle of the file "synced"; see log_write_marker(). */
	int marker_handle;

	int has_snapshot;
	dy_store_snapshot_t snapshot;
	int snapshot_handle;
	uint64_t snapshot_start;
	snapshot_writer_t *writer;
};

/* The file with the group, slot and identity of the folder's member. */
#define STORE_IDENTITY_NAME "identity"

/* Fail the store permanently. code is -errno. Returns -1 with error set. */
int store_fail(dy_store_t *store, const char *operation, const char *name,
	       int code, GError **error);
/* Returns -1 with error set if the store has failed, else 0. */
int store_check(const dy_store_t *store, GError **error);
/* Returns -1 with error set to the place of the damage. */
int store_corrupt(const char *name, uint64_t offset, const char *what,
		  GError **error);

/* Write all of data, with several writes if needed. Returns 0 or -errno. */
int store_write_all(const dy_disk_t *disk, int handle, uint64_t offset,
		    const void *data, size_t size);
/* Replace a file by one record, atomically and durably. Returns 0 or -errno. */
int store_replace_file(const dy_disk_t *disk, const char *name,
		       const dy_record_t *record);
/*
 * Read a whole file. Returns NULL with error set, or without error if the
 * file is missing.
 */
GByteArray *store_read_file(const dy_disk_t *disk, const char *name,
			    GError **error);
/*
 * Rename from over to and sync the folder. Returns 0, or -1 with error set
 * after it failed the store.
 */
int store_rename(dy_store_t *store, const char *from, const char *to,
		 GError **error);

#define SEGMENT_NAME_BYTES 32
/* Format the name of a segment; name has SEGMENT_NAME_BYTES. */
void segment_name(char *name, uint64_t first_index);

/* The entry at index, or NULL. */
log_entry_t *log_entry_at(const dy_store_t *store, uint64_t index);
/* Add a copy of entry in memory; its record is at offset of its segment. */
void log_entry_add(dy_store_t *store, const dy_raft_entry_t *entry,
		   uint64_t offset);
/* The functions below that take error return 0, or -1 with error set. */

/* Open the last segment as tail. */
int log_open_tail(dy_store_t *store, GError **error);
/*
 * Write the synced index to the file "synced", and sync the file if sync is
 * set. The marker distinguishes a corrupt last record from a torn one.
 */
int log_write_marker(dy_store_t *store, int sync, GError **error);
/* Remove the segments from position on durably, newest first. */
int log_remove_segments(dy_store_t *store, guint position, GError **error);
/* Remove all entries; the log starts after the snapshot. */
int log_clear(dy_store_t *store, GError **error);
/* Remove the segments whose entries the snapshot covers. */
int log_remove_covered_segments(dy_store_t *store, GError **error);
/* Remove the covered entries, or all if the log conflicts with the snapshot. */
int log_trim_to_snapshot(dy_store_t *store, GError **error);
/* Read the log from store's segments and truncate a torn tail. */
int log_recover(dy_store_t *store, GError **error);

/* Open and verify the snapshot file, if there is one. */
int snapshot_recover(dy_store_t *store, GError **error);
/* Close the snapshot file and forget the snapshot. */
void snapshot_drop(dy_store_t *store);

#endif
