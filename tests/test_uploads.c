#include "uploads.h"

#include <string.h>

#include "fake_suite.h"

static uploads_t *uploads;

static dy_status_t put(char digest, const char *bytes, unsigned size,
		       unsigned offset, uint64_t now_ms)
{
	dy_put_t args = { .size = size, .offset = offset };

	args.digest[0] = digest;
	args.page.page_val = (char *)bytes;
	args.page.page_len = (u_int)strlen(bytes);
	return uploads_add(uploads, &args, now_ms);
}

static const uint8_t *find(char digest, uint32_t *size)
{
	char whole[DY_DIGEST_BYTES] = { digest };

	return uploads_find(uploads, whole, size);
}

/*
 * Guards against a document with a missing or repeated page under the correct
 * digest: pages are lost, duplicated and delayed.
 */
START_TEST(ignores_duplicate_and_early_pages)
{
	uint32_t size;

	uploads = uploads_create();
	ck_assert_int_eq(put(1, "def", 6, 3, 0), DY_STATUS_NOT_FOUND);
	ck_assert_int_eq(put(1, "abc", 6, 0, 0), DY_STATUS_OK);
	ck_assert_int_eq(put(1, "abc", 6, 0, 0), DY_STATUS_OK);
	ck_assert_int_eq(put(1, "f", 6, 5, 0), DY_STATUS_NOT_FOUND);
	ck_assert_ptr_null(find(1, &size));
	ck_assert_int_eq(put(1, "def", 6, 3, 0), DY_STATUS_OK);
	ck_assert_mem_eq(find(1, &size), "abcdef", 6);
	ck_assert_uint_eq(size, 6);
	uploads_destroy(uploads);
}
END_TEST

/*
 * Guards against false sizes that cause a large allocation or a write past the
 * end.
 */
START_TEST(refuses_wrong_sizes)
{
	uploads = uploads_create();
	ck_assert_int_eq(put(1, "a", 0, 0, 0), DY_STATUS_MALFORMED);
	ck_assert_int_eq(put(1, "", 1, 0, 0), DY_STATUS_MALFORMED);
	ck_assert_int_eq(put(1, "abc", 2, 0, 0), DY_STATUS_MALFORMED);
	ck_assert_int_eq(put(1, "a", DY_DOCUMENT_BYTES + 1, 0, 0),
			 DY_STATUS_MALFORMED);
	ck_assert_int_eq(put(1, "a", 9, 4294967295U, 0), DY_STATUS_MALFORMED);
	ck_assert_int_eq(put(1, "a", 9, 0, 0), DY_STATUS_OK);
	ck_assert_int_eq(put(1, "a", 8, 0, 0), DY_STATUS_MALFORMED);
	uploads_destroy(uploads);
}
END_TEST

/*
 * Guards against uploads that are never submitted and fill the leader's memory.
 */
START_TEST(bounds_number_and_idle_time_of_uploads)
{
	uint32_t size;
	char i;

	uploads = uploads_create();
	for (i = 1; i <= UPLOADS_MAX + 1; i++)
		ck_assert_int_eq(put(i, "a", 1, 0, (uint64_t)i), DY_STATUS_OK);
	ck_assert_ptr_null(find(1, &size));
	ck_assert_ptr_nonnull(find(2, &size));
	ck_assert_uint_eq(uploads_expire(uploads, UPLOAD_IDLE_TIMEOUT_MS + 2),
			  1);
	ck_assert_ptr_null(find(2, &size));
	ck_assert_uint_eq(uploads_expire(uploads, 2 * UPLOAD_IDLE_TIMEOUT_MS),
			  UPLOADS_MAX - 1);
	uploads_destroy(uploads);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		ignores_duplicate_and_early_pages,
		refuses_wrong_sizes,
		bounds_number_and_idle_time_of_uploads,
		NULL,
	};

	return fake_suite_run("uploads", tests);
}
