#include "damaskyard/document_pack.h"

#include <string.h>

#include "fake_suite.h"

#define MAX_BYTES 200000

START_TEST(unpack_restores_packed_bytes)
{
	GString *text = g_string_new(NULL);
	GByteArray *packed;
	GByteArray *plain;
	int i;

	for (i = 0; i < 1000; i++)
		g_string_append_printf(text, "{\"name\":\"r-%d\"},", i);
	packed = dy_document_pack(text->str, text->len);
	ck_assert_uint_lt(packed->len, text->len / 4);
	plain = dy_document_unpack(packed->data, packed->len, MAX_BYTES);
	ck_assert_uint_eq(plain->len, text->len);
	ck_assert_mem_eq(plain->data, text->str, text->len);
	g_byte_array_unref(plain);
	/* Packing is deterministic, so equal documents have one digest. */
	plain = dy_document_pack(text->str, text->len);
	ck_assert_uint_eq(plain->len, packed->len);
	ck_assert_mem_eq(plain->data, packed->data, packed->len);
	g_byte_array_unref(plain);
	g_byte_array_unref(packed);
	g_string_free(text, TRUE);
}
END_TEST

START_TEST(unpacks_empty_and_plain_bytes)
{
	GByteArray *packed = dy_document_pack("", 0);
	GByteArray *plain = dy_document_unpack(packed->data, packed->len, 0);

	ck_assert_uint_eq(plain->len, 0);
	g_byte_array_unref(plain);
	g_byte_array_unref(packed);
	plain = dy_document_unpack("[document]", 10, MAX_BYTES);
	ck_assert_mem_eq(plain->data, "[document]", 10);
	g_byte_array_unref(plain);
}
END_TEST

/* Corrupted, truncated or oversized input must not be unpacked in part. */
START_TEST(refuses_damaged_bytes)
{
	char text[500];
	GByteArray *packed;
	GByteArray *plain;
	guint i;

	memset(text, 'a', sizeof(text));
	packed = dy_document_pack(text, sizeof(text));
	for (i = 8; i < packed->len; i++)
		ck_assert_ptr_null(
			dy_document_unpack(packed->data, i, MAX_BYTES));
	for (i = 4; i < packed->len; i++) {
		packed->data[i] ^= 0x55;
		plain = dy_document_unpack(packed->data, packed->len,
					   MAX_BYTES);
		ck_assert_ptr_null(plain);
		packed->data[i] ^= 0x55;
	}
	ck_assert_ptr_null(dy_document_unpack(packed->data, packed->len, 499));
	g_byte_array_unref(packed);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		unpack_restores_packed_bytes,
		unpacks_empty_and_plain_bytes,
		refuses_damaged_bytes,
		NULL,
	};

	return fake_suite_run("document_pack", tests);
}
