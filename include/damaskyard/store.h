#ifndef DAMASKYARD_STORE_H
#define DAMASKYARD_STORE_H

/*
 * Durable state of one control: its identity, its term and vote, its log
 * and its snapshot, as files in one data folder.
 *
 *	identity		group, slot and random identity of this member
 *	vote			term and the candidate voted for in it
 *	synced			lower bound of what was synced, a hint
 *	snapshot		state machine up to an index
 *	log-NNNNNNNNNNNNNNNNNNNN	log segment, named by its first index
 *	NAME.tmp		a file being written; removed when opened
 *
 * Every file is a run of records with a checksum. A torn tail (a batch that
 * was being written when the machine stopped, hence never acknowledged) is
 * cut when the store is opened; any other damage stops the opening with a
 * GError that names file and offset.
 *
 * After a write or a sync has failed the store is failed for good: every
 * later change returns DY_STORE_ERROR_FAILED. A sync is never tried again,
 * since the kernel may have dropped the pages and would report success.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "dy_raft.h"

#define DY_STORE_ERROR (dy_store_error_quark())
GQuark dy_store_error_quark(void);

typedef enum dy_store_error {
	/* A file is damaged; the message names it and the offset. */
	DY_STORE_ERROR_CORRUPT,
	/* The disk refused an operation; the message names it. */
	DY_STORE_ERROR_IO,
	/* An earlier write or sync failed; restart the process. */
	DY_STORE_ERROR_FAILED,
	/* The folder belongs to another group or slot. */
	DY_STORE_ERROR_FOREIGN
} dy_store_error_t;

/*
 * The disk as a table of callbacks. Names are relative to the data folder.
 * Each callback returns a value below 0, a negated errno, when it fails.
 * A write that is not followed by sync() may be lost, in part or whole; a
 * creation, rename or removal that is not followed by sync_folder() too.
 */
typedef void dy_disk_name_cb_t(void *context, const char *name);

typedef struct dy_disk {
	void *context;
	/* Open for reading and writing; returns a handle, 0 or greater. */
	int (*open)(void *context, const char *name, int create);
	void (*close)(void *context, int handle);
	/* Returns the bytes read, fewer than size only at the file's end. */
	int64_t (*read)(void *context, int handle, uint64_t offset, void *data,
			size_t size);
	/* Returns the bytes written, which may be fewer than size. */
	int64_t (*write)(void *context, int handle, uint64_t offset,
			 const void *data, size_t size);
	int (*truncate)(void *context, int handle, uint64_t size);
	int (*sync)(void *context, int handle);
	int64_t (*size)(void *context, int handle);
	int (*rename)(void *context, const char *from, const char *to);
	int (*remove)(void *context, const char *name);
	int (*sync_folder)(void *context);
	/* Call each once for every file; its context is each_context. */
	int (*list)(void *context, dy_disk_name_cb_t *each, void *each_context);
} dy_disk_t;

/*
 * The disk of the machine, below folder, which is created if it is missing.
 * The folder is locked against a second process. Returns NULL with error
 * set. Destroy it after the store.
 */
dy_disk_t *dy_disk_create(const char *folder, GError **error);
void dy_disk_destroy(dy_disk_t *disk);

typedef struct dy_store dy_store_t;

typedef struct dy_store_options {
	/* Number of the control group, the same on all its members. */
	uint64_t group;
	/* Slot of this member: its place in the group, kept for life. */
	uint32_t slot;
	/*
	 * Identity taken when the folder holds none. Must be random and not
	 * 0: a control whose disk was lost comes back as somebody else, so
	 * that it cannot vote twice in a term of which it forgot its vote.
	 */
	uint64_t new_identity;
	/* A segment is closed beyond this size; 0 for the default, 4 MiB. */
	uint32_t segment_bytes;
} dy_store_options_t;

/*
 * Open the data folder, or make it if it is empty. disk is kept by
 * reference. Returns NULL with error set, and then has acknowledged nothing.
 */
dy_store_t *dy_store_create(const dy_disk_t *disk,
			    const dy_store_options_t *options, GError **error);
void dy_store_destroy(dy_store_t *store);

/*
 * Whether a data folder belongs to a member already, and in which slot.
 * Returns 1, 0 if it is empty, or -1 with error set. The folder is made if it
 * is missing.
 */
int dy_store_find_slot(const char *folder, uint32_t *slot, GError **error);

/*
 * Give a data folder up, for one that is no member any more: every file is
 * removed, durably. Returns 0, or -1 with error set.
 */
int dy_store_clear(const char *folder, GError **error);

/* Group and identity of this member. */
uint64_t dy_store_group(const dy_store_t *store);
dy_voter_id_t dy_store_id(const dy_store_t *store);

/* Bytes that were cut as a torn tail when the store was opened. */
uint64_t dy_store_torn_bytes(const dy_store_t *store);

/* Whether an earlier write or sync has failed. */
int dy_store_failed(const dy_store_t *store);

/* Term and vote. The vote's identity is 0 when none was given. */
uint64_t dy_store_term(const dy_store_t *store);
dy_voter_id_t dy_store_vote(const dy_store_t *store);

/*
 * Write term and vote and sync them. The term must not go back. Returns 0,
 * or -1 with error set.
 */
int dy_store_write_vote(dy_store_t *store, uint64_t term,
			dy_voter_id_t voted_for, GError **error);

/*
 * The log holds the entries from first to last, all of them in memory too.
 * An empty log has last = first - 1. First is the snapshot's last index + 1,
 * or 1 where there is no snapshot.
 */
uint64_t dy_store_first_index(const dy_store_t *store);
uint64_t dy_store_last_index(const dy_store_t *store);

/* Last index that is synced: only up to here may anything be acknowledged. */
uint64_t dy_store_synced_index(const dy_store_t *store);

/* Bytes of data of the entries in the log. */
uint64_t dy_store_log_bytes(const dy_store_t *store);

/*
 * Term of the entry at index; also known for the snapshot's last index and,
 * as 0, for index 0. Returns 0 for any other index.
 */
uint64_t dy_store_entry_term(const dy_store_t *store, uint64_t index);

/*
 * Find the entry at index, owned by the store until it is truncated.
 * Returns NULL if the log does not hold it.
 */
const dy_raft_entry_t *dy_store_find_entry(const dy_store_t *store,
					   uint64_t index);

/*
 * Append one entry with index last + 1 and a term not below the last one's.
 * The entry is copied. It is buffered until dy_store_sync().
 */
void dy_store_append(dy_store_t *store, const dy_raft_entry_t *entry);

/*
 * Write all buffered entries and sync them. Returns 0, or -1 with error set;
 * then nothing that was appended may be acknowledged.
 */
int dy_store_sync(dy_store_t *store, GError **error);

/*
 * Remove the entries from index on (a conflict with the leader's log) and
 * sync the removal. Returns 0, or -1 with error set.
 */
int dy_store_truncate(dy_store_t *store, uint64_t index, GError **error);

/*
 * Write a snapshot: begin, add its bytes in pieces of any size, commit. It
 * goes to a temporary file until the commit, which syncs and renames it and
 * then removes from the log what it covers: up to last_index if the log
 * holds an entry of that index and term, else the whole log.
 *
 * At most one is being written; beginning again drops the earlier one. A
 * full disk fails the snapshot alone (-1 with DY_STORE_ERROR_IO, and the
 * store lives on without it); a failed sync fails the store.
 */
typedef struct dy_store_snapshot {
	/* Last entry that the snapshot covers. */
	uint64_t last_index;
	uint64_t last_term;
	/* Configuration in force at last_index, and its index. */
	uint64_t config_index;
	dy_raft_config_t config;
	/* Size of the state machine's bytes. */
	uint64_t size;
} dy_store_snapshot_t;

int dy_store_snapshot_begin(dy_store_t *store,
			    const dy_store_snapshot_t *snapshot,
			    GError **error);
int dy_store_snapshot_add(dy_store_t *store, const void *data, size_t size,
			  GError **error);
int dy_store_snapshot_commit(dy_store_t *store, GError **error);
void dy_store_snapshot_abort(dy_store_t *store);

/* The committed snapshot, or NULL if there is none. */
const dy_store_snapshot_t *dy_store_snapshot(const dy_store_t *store);

/*
 * Read the snapshot's piece at offset, a multiple of DY_RAFT_CHUNK_BYTES,
 * into data of that many bytes. Returns its length, which is shorter only
 * at the snapshot's end, or -1 with error set.
 */
int dy_store_snapshot_read(dy_store_t *store, uint64_t offset, void *data,
			   GError **error);

/*
 * Copy and free a configuration; config is left empty when dropped. Also
 * its form as an entry's data, made with the library's codec: encode returns
 * bytes to g_free(), decode returns 0, or -1 if the bytes are none.
 */
void dy_config_copy(dy_raft_config_t *to, const dy_raft_config_t *from);
void dy_config_drop(dy_raft_config_t *config);
char *dy_config_encode(const dy_raft_config_t *config, uint32_t *size);
int dy_config_decode(dy_raft_config_t *config, const char *data, uint32_t size);

#endif
