#ifndef STORE_RECORD_H
#define STORE_RECORD_H

/*
 * One record on disk: a header of magic, length and checksum, then a
 * dy_record_t in XDR. The checksum is seeded with a salt, the identity of the
 * member that wrote the record, so that the bytes of a record inside a
 * command's data never decode as a record of the log.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "dy_raft.h"

#define RECORD_HEADER_BYTES 16
/* Records start at multiples of this, in bytes. */
#define RECORD_ALIGNMENT 4
/* Maximum record size; the largest chunk and the largest entry fit. */
#define RECORD_MAX_BYTES 49152

/* Append record, with its header, to out. */
void record_encode(GByteArray *out, const dy_record_t *record, uint64_t salt);

/*
 * Decode the record at data. Returns its length with header, or 0 if there is
 * no complete record with a valid checksum. Free the record with
 * record_drop().
 */
size_t record_decode(const void *data, size_t size, uint64_t salt,
		     dy_record_t *record);
/* Free the contents of a record and clear it. */
void record_drop(dy_record_t *record);

#endif
