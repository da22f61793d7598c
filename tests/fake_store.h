#ifndef FAKE_STORE_H
#define FAKE_STORE_H

/* A store over a disk in memory, and steps that several tests share. */

#include "fake_disk.h"

#define FAKE_STORE_GROUP 7

/* Open with this identity if the disk holds none; fails as the store does. */
dy_store_t *fake_store_open_as(fake_disk_t *disk, uint64_t identity,
			       GError **error);
/* Open with identity 99; the test fails if it is refused. */
dy_store_t *fake_store_open(fake_disk_t *disk);
/* Append entries that tell their index. */
void fake_store_append(dy_store_t *store, uint64_t term, int count);
/* Sync; the test fails if the store does. */
void fake_store_sync(dy_store_t *store);
/* Write a snapshot of size bytes. Returns 0, or not if the store failed. */
int fake_store_write_snapshot(dy_store_t *store, uint64_t index, uint64_t term,
			      uint32_t size);

#endif
