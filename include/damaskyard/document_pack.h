#ifndef DAMASKYARD_DOCUMENT_PACK_H
#define DAMASKYARD_DOCUMENT_PACK_H

/*
 * Compression of documents for the log, the disk and the transfer to members.
 *
 * Load pattern: a platform's configuration of 560 entries is 140 KB of
 * repetitive text. Each control writes it and each balancer fetches it, with a
 * fraction of a core and a few kilobytes per second. Compression reduces it to
 * a tenth.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* Compress len bytes. Returns an array to free with g_byte_array_unref(). */
GByteArray *dy_document_pack(const void *bytes, size_t len);

/*
 * Decompress the output of dy_document_pack(); other bytes are copied
 * unchanged. Returns an array to free with g_byte_array_unref(), or NULL if
 * the input is damaged or would decompress to more than max_len bytes.
 */
GByteArray *dy_document_unpack(const void *bytes, size_t len, size_t max_len);

#endif
