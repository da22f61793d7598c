#include "damaskyard/document_pack.h"

#include <string.h>

#include <zlib.h>

/* Stands before the size, 4 bytes big-endian, and the deflated bytes. */
static const char magic[4] = { 'D', 'Y', 'Z', '1' };

#define HEAD_BYTES 8

/*
 * Of zlib's nine levels the fastest: the next ones take twice the time for a
 * tenth less, and a control has a part of a core.
 */
#define LEVEL 1

GByteArray *dy_document_pack(const void *bytes, size_t len)
{
	GByteArray *packed = g_byte_array_new();
	uint32_t size = GUINT32_TO_BE((uint32_t)len);
	uLongf room = compressBound(len);
	int code;

	g_byte_array_append(packed, (const guint8 *)magic, sizeof(magic));
	g_byte_array_append(packed, (const guint8 *)&size, sizeof(size));
	g_byte_array_set_size(packed, (guint)(HEAD_BYTES + room));
	code = compress2(packed->data + HEAD_BYTES, &room, bytes, len, LEVEL);
	/* The room suffices, and zlib's own memory is GLib's to abort for. */
	g_assert(code == Z_OK);
	g_byte_array_set_size(packed, (guint)(HEAD_BYTES + room));
	return packed;
}

GByteArray *dy_document_unpack(const void *bytes, size_t len, size_t most)
{
	GByteArray *plain = g_byte_array_new();
	const uint8_t *at = bytes;
	uint32_t size;
	uLongf room;

	if (len < HEAD_BYTES || memcmp(at, magic, sizeof(magic)) != 0) {
		g_byte_array_append(plain, at, (guint)len);
		return plain;
	}
	memcpy(&size, at + sizeof(magic), sizeof(size));
	room = GUINT32_FROM_BE(size);
	if (room <= most) {
		g_byte_array_set_size(plain, (guint)room);
		if (uncompress(plain->data, &room, at + HEAD_BYTES,
			       len - HEAD_BYTES) == Z_OK &&
		    room == plain->len)
			return plain;
	}
	g_byte_array_unref(plain);
	return NULL;
}
