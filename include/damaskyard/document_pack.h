#ifndef DAMASKYARD_DOCUMENT_PACK_H
#define DAMASKYARD_DOCUMENT_PACK_H

/*
 * Documents packed for the log, the disk and the way to members. A platform's
 * configuration of 560 entries is 140 KB of much repeated text and packs to a
 * tenth; it is written by each control and fetched by each balancer, with
 * parts of a core and a few kilobytes a second.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* Pack bytes. Free with g_byte_array_unref(). */
GByteArray *dy_document_pack(const void *bytes, size_t len);

/*
 * Unpack what was packed; other bytes are returned as they are. Returns NULL
 * if they are damaged, or would be larger than most. Free with
 * g_byte_array_unref().
 */
GByteArray *dy_document_unpack(const void *bytes, size_t len, size_t most);

#endif
