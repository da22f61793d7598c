#ifndef FAKE_DISK_H
#define FAKE_DISK_H

/*
 * A disk in memory behind dy_disk_t, with a cache that a loss of power takes
 * away in part: of each unsynced 512-byte sector, and of each unsynced change
 * to the folder, a seeded draw says whether it survives.
 */

#include "damaskyard/store.h"

#define FAKE_DISK_NEVER UINT32_MAX

typedef struct fake_disk {
	dy_disk_t table;
	GRand *rand;
	GPtrArray *files;
	GPtrArray *handles;
	/* Name to file: as seen, and as it would survive. */
	GHashTable *cached;
	GHashTable *durable;
	/* Operations until the fault; FAKE_DISK_NEVER for none. */
	uint32_t writes_left;
	uint32_t syncs_left;
	/* All operations from then on fail: the machine has stopped. */
	uint32_t operations_left;
	/* A write that fails takes half of its bytes first. */
	int short_write;
	int write_code;
	uint64_t sync_count;
} fake_disk_t;

fake_disk_t *fake_disk_create(uint32_t seed);
void fake_disk_destroy(fake_disk_t *disk);

/* Forget all faults that were set. */
void fake_disk_clear_faults(fake_disk_t *disk);

/* Power is lost and comes back; all handles are gone, faults are forgotten. */
void fake_disk_crash(fake_disk_t *disk);

/* The process alone is gone; the cache lives on. */
void fake_disk_restart(fake_disk_t *disk);

/* The disk is replaced by an empty one. */
void fake_disk_wipe(fake_disk_t *disk);

/* Change one bit, on the disk itself. Returns 0 if there is no such byte. */
int fake_disk_flip_bit(fake_disk_t *disk, const char *name, uint64_t offset);

/* Size of a file, or -1 if there is none. */
int64_t fake_disk_size(const fake_disk_t *disk, const char *name);

/* Remove a file behind the store's back. */
void fake_disk_remove(fake_disk_t *disk, const char *name);

/* The first file, in order of name, whose name begins with prefix. */
const char *fake_disk_find(const fake_disk_t *disk, const char *prefix);

#endif
