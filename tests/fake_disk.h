#ifndef FAKE_DISK_H
#define FAKE_DISK_H

/*
 * A disk in memory behind dy_disk_t, with a write cache. At a power loss each
 * unsynced 512-byte sector, and each unsynced change to the folder, survives
 * or is lost by a seeded random choice.
 */

#include "damaskyard/store.h"

#define FAKE_DISK_NEVER UINT32_MAX

typedef struct fake_disk {
	dy_disk_t table;
	GRand *rand;
	GPtrArray *files;
	GPtrArray *handles;
	/* Name to file: in the cache, and on the disk. */
	GHashTable *cached;
	GHashTable *durable;
	/* Operations left before a fault; FAKE_DISK_NEVER: no fault. */
	uint32_t writes_left;
	uint32_t syncs_left;
	/* Operations of any kind left; then all fail: the VM has stopped. */
	uint32_t operations_left;
	/* The failing write first writes half of its bytes. */
	int short_write;
	int write_code; /* -errno that a failing write returns */
	uint64_t sync_count;
} fake_disk_t;

/* Create an empty disk without faults. */
fake_disk_t *fake_disk_create(uint32_t seed);
void fake_disk_destroy(fake_disk_t *disk);

/* Clear all faults that were set. */
void fake_disk_clear_faults(fake_disk_t *disk);

/* Power loss and restart: closes all handles and clears the faults. */
void fake_disk_crash(fake_disk_t *disk);

/* Restart of the process: as a crash, but the cache survives. */
void fake_disk_restart(fake_disk_t *disk);

/* Replace the disk by an empty one. */
void fake_disk_wipe(fake_disk_t *disk);

/*
 * Flip one bit in the cache and on the disk. Returns 1, or 0 if there is no
 * such byte.
 */
int fake_disk_flip_bit(fake_disk_t *disk, const char *name, uint64_t offset);

/* Size of a file in bytes, or -1 if there is none. */
int64_t fake_disk_size(const fake_disk_t *disk, const char *name);

/* Remove a file durably, without the store. */
void fake_disk_remove(fake_disk_t *disk, const char *name);

/*
 * Name of the first file, in order of name, that begins with prefix, or NULL.
 * Owned by the disk.
 */
const char *fake_disk_find(const fake_disk_t *disk, const char *prefix);

#endif
