#include "damaskyard/document_pack.h"

#include <string.h>

#include <zlib.h>

/* Followed by the original size, 4 bytes big-endian, and a zlib stream. */
static const char magic[4] = { 'D', 'Y', 'Z', '1' };

#define HEADER_BYTES 8

/*
 * The fastest of zlib's nine levels: the next ones take twice the time to save
 * another tenth, and a control has only a fraction of a core.
 */
#define COMPRESSION_LEVEL 1

GByteArray *dy_document_pack(const void *bytes, size_t len)
{
	GByteArray *packed = g_byte_array_new();
	uint32_t size = GUINT32_TO_BE((uint32_t)len);
	uLongf packed_len = compressBound(len);
	int code;

	g_byte_array_append(packed, (const guint8 *)magic, sizeof(magic));
	g_byte_array_append(packed, (const guint8 *)&size, sizeof(size));
	g_byte_array_set_size(packed, (guint)(HEADER_BYTES + packed_len));
	code = compress2(packed->data + HEADER_BYTES, &packed_len, bytes, len,
			 COMPRESSION_LEVEL);
	/* Only memory can run out; like GLib, abort then. */
	g_assert(code == Z_OK);
	g_byte_array_set_size(packed, (guint)(HEADER_BYTES + packed_len));
	return packed;
}

GByteArray *dy_document_unpack(const void *bytes, size_t len, size_t max_len)
{
	GByteArray *plain = g_byte_array_new();
	const uint8_t *at = bytes;
	uint32_t size;
	uLongf plain_len;

	if (len < HEADER_BYTES || memcmp(at, magic, sizeof(magic)) != 0) {
		g_byte_array_append(plain, at, (guint)len);
		return plain;
	}
	memcpy(&size, at + sizeof(magic), sizeof(size));
	plain_len = GUINT32_FROM_BE(size);
	if (plain_len <= max_len) {
		g_byte_array_set_size(plain, (guint)plain_len);
		if (uncompress(plain->data, &plain_len, at + HEADER_BYTES,
			       len - HEADER_BYTES) == Z_OK &&
		    plain_len == plain->len)
			return plain;
	}
	g_byte_array_unref(plain);
	return NULL;
}
