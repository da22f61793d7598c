#ifndef STORE_RECORD_H
#define STORE_RECORD_H

/*
 * One record on disk: a header of magic, length and checksum, then the
 * XDR form of a dy_record_t. The checksum is seeded with a salt, the
 * identity of the member that wrote it, so that a record which stands inside
 * a command's data is never taken for one of the log.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "dy_raft.h"

#define RECORD_HEADER_BYTES 16
/* A record starts at a multiple of this. */
#define RECORD_ALIGNMENT 4
/* No record is longer; a chunk or an entry of the largest size fits. */
#define RECORD_MAX_BYTES 49152

/* Add record to out. */
void record_encode(GByteArray *out, const dy_record_t *record, uint64_t salt);

/*
 * Decode the record at data. Returns its length with header, or 0 if there
 * is no whole record with a good checksum. Free with record_drop().
 */
size_t record_decode(const void *data, size_t size, uint64_t salt,
		     dy_record_t *record);
void record_drop(dy_record_t *record);

#endif
