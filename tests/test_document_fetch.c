#include "document_fetch.h"

#include <string.h>

#include "recent_documents.h"
#include "damaskyard/document.h"
#include "fake_suite.h"

#define LONG_TEXT 20000

/* A member's transfer, and the controls that answer its requests. */
typedef struct fake {
	document_fetch_t *fetch;
	recent_documents_t *recent;
	dy_fetch_t request;
	char environment[DY_NAME_BYTES];
	uint32_t xid;
	unsigned sent;
	unsigned control_switches;
	unsigned done;
	uint8_t bytes[2 * LONG_TEXT];
	size_t len;
	uint64_t fetched_bytes; /* total of all pages */
} fake_t;

static uint32_t on_send(void *context, dy_fetch_t *request)
{
	fake_t *fake = context;

	fake->sent++;
	fake->request = *request;
	return ++fake->xid;
}

static void on_switch_control(void *context)
{
	((fake_t *)context)->control_switches++;
}

static void on_done(void *context, const dy_document_info_t *info,
		    const uint8_t *bytes, size_t len)
{
	fake_t *fake = context;

	(void)info;
	fake->done++;
	memcpy(fake->bytes, bytes, len);
	fake->len = len;
}

static const document_fetch_callbacks_t callbacks = { on_send,
						      on_switch_control,
						      on_done };

static void setup(fake_t *fake)
{
	memset(fake, 0, sizeof(*fake));
	fake->fetch = document_fetch_create(&callbacks, fake);
	fake->recent = recent_documents_create();
}

static void teardown(fake_t *fake)
{
	document_fetch_destroy(fake->fetch);
	recent_documents_destroy(fake->recent);
}

static void begin_document(fake_t *fake, uint64_t number, const uint8_t *bytes,
			   size_t len)
{
	dy_document_info_t info = { 0 };

	info.environment = "production";
	info.number = number;
	info.size = (u_int)len;
	dy_document_digest(bytes, len, (uint8_t *)info.digest);
	document_fetch_begin(fake->fetch, &info, 0);
}

/* Answers the last request as a control that has the document does. */
static void answer_request(fake_t *fake, const uint8_t *bytes, size_t len)
{
	dy_fetch_result_t result = { 0 };
	dy_document_patch_t patch;
	uint32_t offset = fake->request.offset;

	recent_documents_add(fake->recent, fake->request.digest, bytes,
			     (uint32_t)len);
	recent_documents_compare(fake->recent, fake->request.base,
				 fake->request.digest, bytes, (uint32_t)len,
				 &patch);
	result.prefix = patch.prefix;
	result.suffix = patch.suffix;
	result.size = patch.size;
	if (offset < patch.size) {
		result.page.page_val = (char *)bytes + patch.prefix + offset;
		result.page.page_len =
			MIN(patch.size - offset, (u_int)DY_PAGE_BYTES);
	}
	fake->fetched_bytes += result.page.page_len;
	ck_assert(document_fetch_receive(fake->fetch, fake->xid, &result, 0));
}

static void run_until_done(fake_t *fake, const uint8_t *bytes, size_t len)
{
	unsigned before = fake->done;
	unsigned i;

	for (i = 0; fake->done == before && i < 100; i++)
		answer_request(fake, bytes, len);
	ck_assert_uint_eq(fake->done, before + 1);
	ck_assert_uint_eq(fake->len, len);
	ck_assert(!memcmp(fake->bytes, bytes, len));
}

static void fill_text(uint8_t *bytes, size_t len, unsigned seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	size_t i;

	for (i = 0; i < len; i++)
		bytes[i] = (uint8_t)g_rand_int_range(rand, 'a', 'z');
	g_rand_free(rand);
}

START_TEST(fetches_only_changed_bytes)
{
	uint8_t text[LONG_TEXT];
	fake_t fake;

	setup(&fake);
	fill_text(text, sizeof(text), 1);
	begin_document(&fake, 1, text, sizeof(text));
	run_until_done(&fake, text, sizeof(text));
	ck_assert_uint_eq(fake.fetched_bytes, sizeof(text));
	fake.fetched_bytes = 0;
	text[7000] = 'Z';
	text[7040] = 'Z';
	begin_document(&fake, 2, text, sizeof(text));
	run_until_done(&fake, text, sizeof(text));
	ck_assert_uint_eq(fake.fetched_bytes, 41);
	teardown(&fake);
}
END_TEST

/* Random pairs of documents; one may be empty or contain the other. */
START_TEST(patch_restores_any_document)
{
	GRand *rand = g_rand_new_with_seed(3);
	uint8_t base[64];
	uint8_t newer[64];
	dy_document_patch_t patch;
	uint32_t base_len;
	uint32_t newer_len;
	uint32_t len;
	uint8_t *back;
	int i;
	uint32_t k;

	for (i = 0; i < 20000; i++) {
		base_len = (uint32_t)g_rand_int_range(rand, 0, 65);
		newer_len = (uint32_t)g_rand_int_range(rand, 0, 65);
		for (k = 0; k < 64; k++) {
			base[k] = (uint8_t)g_rand_int_range(rand, 0, 2);
			newer[k] = (uint8_t)g_rand_int_range(rand, 0, 2);
		}
		dy_document_patch_compute(&patch, base, base_len, newer,
					  newer_len);
		back = dy_document_patch_apply(&patch, base, base_len,
					       newer + patch.prefix, &len);
		ck_assert_uint_eq(len, newer_len);
		ck_assert(!memcmp(back, newer, len));
		g_free(back);
	}
	g_rand_free(rand);
}
END_TEST

/*
 * Guards against a document combined from two patches. A control fails in the
 * middle of a transfer; the next control does not have the base and sends
 * another patch. The transfer must restart and end with the right document.
 */
START_TEST(restarts_when_next_control_sends_other_patch)
{
	uint8_t first[LONG_TEXT];
	uint8_t second[LONG_TEXT];
	fake_t fake;

	setup(&fake);
	fill_text(first, sizeof(first), 1);
	memcpy(second, first, sizeof(first));
	fill_text(second + 100, 9000, 2);
	begin_document(&fake, 1, first, sizeof(first));
	run_until_done(&fake, first, sizeof(first));
	begin_document(&fake, 2, second, sizeof(second));
	answer_request(&fake, second, sizeof(second));
	recent_documents_destroy(fake.recent);
	fake.recent = recent_documents_create();
	answer_request(&fake, second, sizeof(second));
	ck_assert_uint_eq(fake.control_switches, 1);
	document_fetch_tick(fake.fetch, 1000, 400);
	run_until_done(&fake, second, sizeof(second));
	teardown(&fake);
}
END_TEST

/*
 * Guards against a balancer that waits long for a page of a control that is
 * down. The timeout starts short and doubles up to its maximum.
 */
START_TEST(doubles_timeout_and_switches_control_after_lost_page)
{
	static const uint64_t sent_ms[] = { 100, 300, 700, 1100, 1500 };
	uint8_t text[100];
	uint64_t now_ms;
	unsigned i = 0;
	fake_t fake;

	setup(&fake);
	fill_text(text, sizeof(text), 1);
	begin_document(&fake, 1, text, sizeof(text));
	for (now_ms = 50; now_ms <= 1500; now_ms += 50) {
		document_fetch_tick(fake.fetch, now_ms, 400);
		if (i < G_N_ELEMENTS(sent_ms) && now_ms == sent_ms[i])
			i++;
		ck_assert_uint_eq(fake.sent, i + 1);
		ck_assert_uint_eq(fake.control_switches, i);
	}
	run_until_done(&fake, text, sizeof(text));
	teardown(&fake);
}
END_TEST

/*
 * Guards against a control that sends bytes without the digest that a
 * majority agreed on. They must not take effect, and another control is asked.
 */
START_TEST(rejects_document_with_wrong_digest)
{
	uint8_t text[100];
	uint8_t wrong[100];
	fake_t fake;

	setup(&fake);
	fill_text(text, sizeof(text), 1);
	fill_text(wrong, sizeof(wrong), 2);
	begin_document(&fake, 5, text, sizeof(text));
	answer_request(&fake, wrong, sizeof(wrong));
	ck_assert_uint_eq(fake.done, 0);
	ck_assert_uint_eq(fake.control_switches, 1);
	ck_assert_uint_eq(document_fetch_digest_mismatches(fake.fetch), 1);
	recent_documents_destroy(fake.recent);
	fake.recent = recent_documents_create();
	document_fetch_tick(fake.fetch, 1000, 400);
	run_until_done(&fake, text, sizeof(text));
	teardown(&fake);
}
END_TEST

/*
 * Guards against a return to an older document: a late delta names it after a
 * newer one has taken effect. It must not be fetched. After the member joins
 * again, only the newest document may be.
 */
START_TEST(ignores_older_document)
{
	uint8_t text[100];
	fake_t fake;

	setup(&fake);
	fill_text(text, sizeof(text), 1);
	begin_document(&fake, 5, text, sizeof(text));
	run_until_done(&fake, text, sizeof(text));
	fake.sent = 0;
	begin_document(&fake, 4, text, sizeof(text));
	begin_document(&fake, 5, text, sizeof(text));
	ck_assert_uint_eq(fake.sent, 0);
	document_fetch_reset(fake.fetch);
	begin_document(&fake, 4, text, sizeof(text));
	ck_assert_uint_eq(fake.sent, 0);
	begin_document(&fake, 5, text, sizeof(text));
	ck_assert_uint_eq(fake.sent, 1);
	teardown(&fake);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		fetches_only_changed_bytes,
		patch_restores_any_document,
		restarts_when_next_control_sends_other_patch,
		doubles_timeout_and_switches_control_after_lost_page,
		rejects_document_with_wrong_digest,
		ignores_older_document,
		NULL,
	};

	return fake_suite_run("document_fetch", tests);
}
