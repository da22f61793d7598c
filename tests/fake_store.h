#ifndef FAKE_STORE_H
#define FAKE_STORE_H

/* A store over a disk in memory, and steps that several tests use. */

#include "fake_disk.h"

#define FAKE_STORE_GROUP 7

/*
 * Open the store; identity is used if the disk has none. Returns NULL with
 * error set as dy_store_create() does.
 */
dy_store_t *fake_store_open_as(fake_disk_t *disk, uint64_t identity,
			       GError **error);
/* Open with identity 99; the test fails if the open fails. */
dy_store_t *fake_store_open(fake_disk_t *disk);
/* Append count entries whose data contains their index. */
void fake_store_append(dy_store_t *store, uint64_t term, int count);
/* Sync; the test fails if the sync fails. */
void fake_store_sync(dy_store_t *store);
/* Write a snapshot of size bytes. Returns 0, or not 0 if it failed. */
int fake_store_write_snapshot(dy_store_t *store, uint64_t index, uint64_t term,
			      uint32_t size);

#endif
