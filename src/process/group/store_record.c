#include "store_record.h"

#include <string.h>

#include <rpc/rpc.h>
#include <xxhash.h>

#include "damaskyard/invariant.h"

#define RECORD_MAGIC 0x44594c31u /* "DYL1" */

static uint64_t checksum(const void *body, size_t size, uint64_t salt)
{
	return XXH3_64bits_withSeed(body, size, salt + size);
}

static int header_code(void *data, enum xdr_op op, uint32_t *magic,
		       uint32_t *size, uint64_t *sum)
{
	XDR xdr;

	xdrmem_create(&xdr, data, RECORD_HEADER_BYTES, op);
	return xdr_uint32_t(&xdr, magic) && xdr_uint32_t(&xdr, size) &&
	       xdr_uint64_t(&xdr, sum);
}

void record_encode(GByteArray *out, const dy_record_t *record, uint64_t salt)
{
	uint32_t magic = RECORD_MAGIC;
	guint start = out->len;
	uint32_t size;
	uint64_t sum;
	char *body;
	int coded;
	XDR xdr;

	g_byte_array_set_size(out, start + RECORD_MAX_BYTES);
	body = (char *)out->data + start + RECORD_HEADER_BYTES;
	xdrmem_create(&xdr, body, RECORD_MAX_BYTES - RECORD_HEADER_BYTES,
		      XDR_ENCODE);
	coded = xdr_dy_record_t(&xdr, (dy_record_t *)record);
	dy_assert(coded);
	size = xdr_getpos(&xdr);
	sum = checksum(body, size, salt);
	coded = header_code(out->data + start, XDR_ENCODE, &magic, &size, &sum);
	dy_assert(coded);
	g_byte_array_set_size(out, start + RECORD_HEADER_BYTES + size);
}

size_t record_decode(const void *data, size_t size, uint64_t salt,
		     dy_record_t *record)
{
	const char *body;
	uint32_t magic;
	uint32_t body_size;
	uint64_t sum;
	XDR xdr;

	memset(record, 0, sizeof(*record));
	if (size < RECORD_HEADER_BYTES ||
	    !header_code((void *)data, XDR_DECODE, &magic, &body_size, &sum))
		return 0;
	body = (const char *)data + RECORD_HEADER_BYTES;
	if (magic != RECORD_MAGIC || body_size > RECORD_MAX_BYTES ||
	    body_size > size - RECORD_HEADER_BYTES)
		return 0;
	if (checksum(body, body_size, salt) != sum)
		return 0;
	xdrmem_create(&xdr, (char *)body, body_size, XDR_DECODE);
	if (!xdr_dy_record_t(&xdr, record) || xdr_getpos(&xdr) != body_size) {
		record_drop(record);
		return 0;
	}
	return RECORD_HEADER_BYTES + body_size;
}

void record_drop(dy_record_t *record)
{
	xdr_free((xdrproc_t)xdr_dy_record_t, record);
	memset(record, 0, sizeof(*record));
}
