#ifndef DAMASKYARD_STORE_H
#define DAMASKYARD_STORE_H

/*
 * Durable state of one control: its identity, its term and vote, its log
 * and its snapshot, as files in one data folder.
 *
 *	identity		group, slot and random identity of this member
 *	vote			term and the candidate voted for in it
 *	synced			lower bound of the last synced index, a hint
 *	slot			what was told with the slot; see slot_record.h
 *	snapshot		state machine up to an index
 *	log-NNNNNNNNNNNNNNNNNNNN	log segment, named by its first index
 *	NAME.tmp		a file being written; removed on open
 *
 * Each file is a sequence of records with checksums. A torn tail, which is a
 * batch that was being written when the VM stopped and so was never
 * acknowledged, is truncated when the store is opened. Any other damage
 * makes the open fail with a GError that names file and offset.
 *
 * After a failed write or sync the store has failed permanently: every later
 * change returns DY_STORE_ERROR_FAILED. A sync is never retried, since the
 * kernel may have dropped the dirty pages and would report success.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "dy_raft.h"

#define DY_STORE_ERROR (dy_store_error_quark())
GQuark dy_store_error_quark(void);

typedef enum dy_store_error {
	/* A file is damaged; the message names the file and the offset. */
	DY_STORE_ERROR_CORRUPT,
	/* A disk operation failed; the message names the operation. */
	DY_STORE_ERROR_IO,
	/* An earlier write or sync failed; restart the process. */
	DY_STORE_ERROR_FAILED,
	/* The folder belongs to another group or slot. */
	DY_STORE_ERROR_FOREIGN
} dy_store_error_t;

/* Callback of dy_disk_t.list; name is valid only during the call. */
typedef void dy_disk_name_cb_t(void *context, const char *name);

/*
 * Disk operations. Names are relative to the data folder. Each operation
 * that can fail returns a negated errno then. A write without a later sync()
 * may be lost in part or whole. So may a creation, rename or removal without
 * a later sync_folder().
 */
typedef struct dy_disk {
	/* Passed to each operation. */
	void *context;
	/*
	 * Open a file for reading and writing; create it if it is missing
	 * and create is set. Returns a handle of 0 or more.
	 */
	int (*open)(void *context, const char *name, int create);
	void (*close)(void *context, int handle);
	/*
	 * Returns the number of bytes read, less than size only at the end
	 * of the file.
	 */
	int64_t (*read)(void *context, int handle, uint64_t offset, void *data,
			size_t size);
	/* Returns the number of bytes written, which may be below size. */
	int64_t (*write)(void *context, int handle, uint64_t offset,
			 const void *data, size_t size);
	int (*truncate)(void *context, int handle, uint64_t size);
	int (*sync)(void *context, int handle);
	/* Returns the size of the file in bytes. */
	int64_t (*size)(void *context, int handle);
	int (*rename)(void *context, const char *from, const char *to);
	int (*remove)(void *context, const char *name);
	int (*sync_folder)(void *context);
	/* Call each(each_context, name) once for every file. */
	int (*list)(void *context, dy_disk_name_cb_t *each, void *each_context);
} dy_disk_t;

/*
 * Open the POSIX file system below folder, which is created if it is missing.
 * The folder is locked against other processes. Returns NULL with error set.
 * Destroy the disk after the store that uses it.
 */
dy_disk_t *dy_disk_create(const char *folder, GError **error);
/* Unlock the folder and free the disk, or do nothing for NULL. */
void dy_disk_destroy(dy_disk_t *disk);

typedef struct dy_store dy_store_t;

typedef struct dy_store_options {
	/* Number of the control group, the same on all its members. */
	uint64_t group;
	/* Slot of this member in the group; it never changes. */
	uint32_t slot;
	/*
	 * Identity to use if the folder has none. Must be random and not 0:
	 * a control that lost its disk then returns as a new member, which
	 * cannot vote a second time in a term whose vote was lost.
	 */
	uint64_t new_identity;
	/*
	 * A segment is closed once it exceeds this size. 0 selects the
	 * default, 4 MiB.
	 */
	uint32_t segment_bytes;
} dy_store_options_t;

/*
 * Open the data folder, or initialise it if it is empty. disk is kept by
 * reference. Returns NULL with error set; nothing is acknowledged then.
 */
dy_store_t *dy_store_create(const dy_disk_t *disk,
			    const dy_store_options_t *options, GError **error);
/* Close all files and free the store, or do nothing for NULL. */
void dy_store_destroy(dy_store_t *store);

/*
 * Find the slot of the member that a data folder belongs to. Creates the
 * folder if it is missing. Returns 1 with slot set, 0 if the folder has no
 * member, or -1 with error set.
 */
int dy_store_find_slot(const char *folder, uint32_t *slot, GError **error);

/*
 * Remove all files of a data folder durably, for a control that is no member
 * any more. Returns 0, or -1 with error set.
 */
int dy_store_clear(const char *folder, GError **error);

/* Number of the control group. */
uint64_t dy_store_group(const dy_store_t *store);
/* Slot and identity of this member. */
dy_voter_id_t dy_store_id(const dy_store_t *store);

/* Bytes of torn tail that were truncated when the store was opened. */
uint64_t dy_store_torn_bytes(const dy_store_t *store);

/* Whether an earlier write or sync failed. */
int dy_store_failed(const dy_store_t *store);

/* Current term. */
uint64_t dy_store_term(const dy_store_t *store);
/* Candidate voted for in the current term; identity 0 if none. */
dy_voter_id_t dy_store_vote(const dy_store_t *store);

/*
 * Write and sync term and vote. The term must not decrease, and a vote that
 * was given must not change within a term. Returns 0, or -1 with error set.
 */
int dy_store_write_vote(dy_store_t *store, uint64_t term,
			dy_voter_id_t voted_for, GError **error);

/*
 * First and last index of the log. All its entries are in memory too. The
 * first index is the snapshot's last index + 1, or 1 without a snapshot. In
 * an empty log the last index is the first one - 1.
 */
uint64_t dy_store_first_index(const dy_store_t *store);
uint64_t dy_store_last_index(const dy_store_t *store);

/* Last synced index; no later entry may be acknowledged. */
uint64_t dy_store_synced_index(const dy_store_t *store);

/* Size of the data of all entries in the log, in bytes. */
uint64_t dy_store_log_bytes(const dy_store_t *store);

/*
 * Term of the entry at index, which may also be the snapshot's last index.
 * Returns 0 for any other index.
 */
uint64_t dy_store_entry_term(const dy_store_t *store, uint64_t index);

/*
 * Find the entry at index. It is owned by the store and valid until the log
 * is truncated at it or a snapshot covers it. Returns NULL if the log does
 * not have it.
 */
const dy_raft_entry_t *dy_store_find_entry(const dy_store_t *store,
					   uint64_t index);

/*
 * Append an entry with index last + 1, a term not below that of the last
 * entry, and at most DY_RAFT_ENTRY_BYTES of data. The entry is copied and
 * buffered until dy_store_sync().
 */
void dy_store_append(dy_store_t *store, const dy_raft_entry_t *entry);

/*
 * Write and sync all buffered entries. Returns 0, or -1 with error set; then
 * none of the buffered entries may be acknowledged.
 */
int dy_store_sync(dy_store_t *store, GError **error);

/*
 * Remove all entries from index on, which conflict with the leader's log, and
 * sync the removal. Buffered entries are synced first. Returns 0, or -1 with
 * error set.
 */
int dy_store_truncate(dy_store_t *store, uint64_t index, GError **error);

/*
 * A snapshot is written by begin, add with pieces of any size, and commit.
 * The data goes to a temporary file. The commit syncs and renames it, then
 * removes the covered part of the log: up to last_index if the log has an
 * entry of that index and term, else the whole log.
 *
 * One snapshot at most is being written; begin aborts an earlier one. A full
 * disk fails the snapshot alone: the call returns -1 with DY_STORE_ERROR_IO
 * and the store stays usable. A failed sync fails the store.
 */
typedef struct dy_store_snapshot {
	/* Index and term of the last entry that the snapshot covers. */
	uint64_t last_index;
	uint64_t last_term;
	/* Configuration in force at last_index, and its index. */
	uint64_t config_index;
	dy_raft_config_t config;
	/* Size of the state machine's data in bytes. */
	uint64_t size;
} dy_store_snapshot_t;

/*
 * Start a snapshot. snapshot is copied and its size ignored. Returns 0, or
 * -1 with error set.
 */
int dy_store_snapshot_begin(dy_store_t *store,
			    const dy_store_snapshot_t *snapshot,
			    GError **error);
/* Append data to the snapshot. Returns 0, or -1 with error set. */
int dy_store_snapshot_add(dy_store_t *store, const void *data, size_t size,
			  GError **error);
/* Replace the previous snapshot. Returns 0, or -1 with error set. */
int dy_store_snapshot_commit(dy_store_t *store, GError **error);
/* Discard the snapshot being written, if there is one. */
void dy_store_snapshot_abort(dy_store_t *store);

/*
 * The committed snapshot, owned by the store and valid until the next
 * commit. Returns NULL if there is none.
 */
const dy_store_snapshot_t *dy_store_snapshot(const dy_store_t *store);

/*
 * Read the snapshot's chunk at offset, a multiple of DY_RAFT_CHUNK_BYTES,
 * into data, which has room for DY_RAFT_CHUNK_BYTES. Returns the length of
 * the chunk, which is shorter only at the end of the snapshot; 0 beyond the
 * end; or -1 with error set.
 */
int dy_store_snapshot_read(dy_store_t *store, uint64_t offset, void *data,
			   GError **error);

/* Deep copy from, whose copy must be freed with dy_config_drop(). */
void dy_config_copy(dy_raft_config_t *to, const dy_raft_config_t *from);
/* Free the members of a configuration and leave it empty. */
void dy_config_drop(dy_raft_config_t *config);
/*
 * Encode a configuration as an entry's data. Returns size bytes to be freed
 * with g_free().
 */
char *dy_config_encode(const dy_raft_config_t *config, uint32_t *size);
/*
 * Decode an entry's data; free the result with dy_config_drop(). Returns 0,
 * or -1 if the data is no configuration.
 */
int dy_config_decode(dy_raft_config_t *config, const char *data, uint32_t size);

#endif
