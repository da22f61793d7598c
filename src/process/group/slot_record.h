#ifndef DAMASKYARD_SLOT_RECORD_H
#define DAMASKYARD_SLOT_RECORD_H

/*
 * What a control was told when it claimed its slot, in the file "slot" of its
 * data folder: until its log has a configuration with this control, nothing
 * else names its peers. It is written before the claim is used, and never
 * changed while the folder has the same member; the addresses of a log that
 * contains this control are newer.
 */

#include <glib.h>

#include "damaskyard/control.h"
#include "damaskyard/store.h"

typedef struct slot_record {
	uint64_t group;
	uint32_t slot;
	/* The group was being founded by peers; else a leader gave the slot. */
	int first_start;
	dy_peers_t peers;
} slot_record_t;

/* Write the record durably. Returns 0, or -1 with error set. */
int slot_record_write(const dy_disk_t *disk, const slot_record_t *record,
		      GError **error);

/*
 * Read the record. Returns 1, 0 if there is none, or -1 with error set if it
 * is damaged or cannot be read.
 */
int slot_record_read(const dy_disk_t *disk, slot_record_t *record,
		     GError **error);

/* The same in a data folder, which must not be in use. */
int slot_record_save(const char *folder, const slot_record_t *record,
		     GError **error);
int slot_record_load(const char *folder, slot_record_t *record, GError **error);

#endif
