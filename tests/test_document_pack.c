#include "damaskyard/document_pack.h"

#include <string.h>

#include "fake_suite.h"

#define MOST 200000

START_TEST(packed_bytes_come_back)
{
	GString *text = g_string_new(NULL);
	GByteArray *packed;
	GByteArray *plain;
	int i;

	for (i = 0; i < 1000; i++)
		g_string_append_printf(text, "{\"name\":\"r-%d\"},", i);
	packed = dy_document_pack(text->str, text->len);
	ck_assert_uint_lt(packed->len, text->len / 4);
	plain = dy_document_unpack(packed->data, packed->len, MOST);
	ck_assert_uint_eq(plain->len, text->len);
	ck_assert_mem_eq(plain->data, text->str, text->len);
	g_byte_array_unref(plain);
	/* The same bytes pack alike, so that their digest is one. */
	plain = dy_document_pack(text->str, text->len);
	ck_assert_uint_eq(plain->len, packed->len);
	ck_assert_mem_eq(plain->data, packed->data, packed->len);
	g_byte_array_unref(plain);
	g_byte_array_unref(packed);
	g_string_free(text, TRUE);
}
END_TEST

START_TEST(empty_and_unpacked_bytes_are_taken)
{
	GByteArray *packed = dy_document_pack("", 0);
	GByteArray *plain = dy_document_unpack(packed->data, packed->len, 0);

	ck_assert_uint_eq(plain->len, 0);
	g_byte_array_unref(plain);
	g_byte_array_unref(packed);
	plain = dy_document_unpack("[document]", 10, MOST);
	ck_assert_mem_eq(plain->data, "[document]", 10);
	g_byte_array_unref(plain);
}
END_TEST

/* Bytes decayed, were cut, or claim to be huge: none may be half taken. */
START_TEST(damaged_bytes_are_refused)
{
	char text[500];
	GByteArray *packed;
	GByteArray *plain;
	guint i;

	memset(text, 'a', sizeof(text));
	packed = dy_document_pack(text, sizeof(text));
	for (i = 8; i < packed->len; i++)
		ck_assert_ptr_null(dy_document_unpack(packed->data, i, MOST));
	for (i = 4; i < packed->len; i++) {
		packed->data[i] ^= 0x55;
		plain = dy_document_unpack(packed->data, packed->len, MOST);
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
		packed_bytes_come_back,
		empty_and_unpacked_bytes_are_taken,
		damaged_bytes_are_refused,
		NULL,
	};

	return fake_suite_run("document_pack", tests);
}
