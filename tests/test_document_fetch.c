#include "document_fetch.h"

#include <string.h>

#include "recent_documents.h"
#include "damaskyard/document.h"
#include "fake_suite.h"

#define LONG_TEXT 20000

/* A member on one side, controls on the other. */
typedef struct fake {
	document_fetch_t *fetch;
	recent_documents_t *recent;
	dy_fetch_t request;
	char environment[DY_NAME_BYTES];
	uint32_t xid;
	unsigned sent;
	unsigned turned;
	unsigned done;
	uint8_t bytes[2 * LONG_TEXT];
	size_t len;
	uint64_t fetched; /* bytes of pages */
} fake_t;

static uint32_t on_send(void *context, dy_fetch_t *request)
{
	fake_t *fake = context;

	fake->sent++;
	fake->request = *request;
	return ++fake->xid;
}

static void on_turn(void *context)
{
	((fake_t *)context)->turned++;
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

static const document_fetch_callbacks_t callbacks = { on_send, on_turn,
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

static void begin(fake_t *fake, uint64_t number, const uint8_t *bytes,
		  size_t len)
{
	dy_document_info_t info = { 0 };

	info.environment = "production";
	info.number = number;
	info.size = (u_int)len;
	dy_document_digest(bytes, len, (uint8_t *)info.digest);
	document_fetch_begin(fake->fetch, &info, 0);
}

/* What a control that holds the document answers to the last request. */
static void answer(fake_t *fake, const uint8_t *bytes, size_t len)
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
	fake->fetched += result.page.page_len;
	ck_assert(document_fetch_receive(fake->fetch, fake->xid, &result, 0));
}

static void run_until_done(fake_t *fake, const uint8_t *bytes, size_t len)
{
	unsigned before = fake->done;
	unsigned i;

	for (i = 0; fake->done == before && i < 100; i++)
		answer(fake, bytes, len);
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

START_TEST(small_change_costs_little)
{
	uint8_t text[LONG_TEXT];
	fake_t fake;

	setup(&fake);
	fill_text(text, sizeof(text), 1);
	begin(&fake, 1, text, sizeof(text));
	run_until_done(&fake, text, sizeof(text));
	ck_assert_uint_eq(fake.fetched, sizeof(text));
	fake.fetched = 0;
	text[7000] = 'Z';
	text[7040] = 'Z';
	begin(&fake, 2, text, sizeof(text));
	run_until_done(&fake, text, sizeof(text));
	ck_assert_uint_eq(fake.fetched, 41);
	teardown(&fake);
}
END_TEST

/* Any two documents, also where one is empty, a part or the other twice. */
START_TEST(every_pair_is_put_together_again)
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
 * Half of a document has come when its control dies. The next control does
 * not hold the base and tells another patch: put together from both, the
 * document would be a wrong one. It must be fetched anew and come out right.
 */
START_TEST(change_of_control_halfway_starts_anew)
{
	uint8_t first[LONG_TEXT];
	uint8_t second[LONG_TEXT];
	fake_t fake;

	setup(&fake);
	fill_text(first, sizeof(first), 1);
	memcpy(second, first, sizeof(first));
	fill_text(second + 100, 9000, 2);
	begin(&fake, 1, first, sizeof(first));
	run_until_done(&fake, first, sizeof(first));
	begin(&fake, 2, second, sizeof(second));
	answer(&fake, second, sizeof(second));
	recent_documents_destroy(fake.recent);
	fake.recent = recent_documents_create();
	answer(&fake, second, sizeof(second));
	ck_assert_uint_eq(fake.turned, 1);
	document_fetch_tick(fake.fetch, 1000, 400);
	run_until_done(&fake, second, sizeof(second));
	teardown(&fake);
}
END_TEST

/* A balancer waits long for the page of a control that is not there. */
START_TEST(lost_page_is_asked_for_elsewhere_later_each_time)
{
	static const uint64_t sent_ms[] = { 100, 300, 700, 1100, 1500 };
	uint8_t text[100];
	uint64_t now_ms;
	unsigned i = 0;
	fake_t fake;

	setup(&fake);
	fill_text(text, sizeof(text), 1);
	begin(&fake, 1, text, sizeof(text));
	for (now_ms = 50; now_ms <= 1500; now_ms += 50) {
		document_fetch_tick(fake.fetch, now_ms, 400);
		if (i < G_N_ELEMENTS(sent_ms) && now_ms == sent_ms[i])
			i++;
		ck_assert_uint_eq(fake.sent, i + 1);
		ck_assert_uint_eq(fake.turned, i);
	}
	run_until_done(&fake, text, sizeof(text));
	teardown(&fake);
}
END_TEST

/*
 * A control gives bytes that do not have the digest that a majority agreed
 * on. They must not come into force; another control is asked.
 */
START_TEST(wrong_bytes_are_not_taken)
{
	uint8_t text[100];
	uint8_t wrong[100];
	fake_t fake;

	setup(&fake);
	fill_text(text, sizeof(text), 1);
	fill_text(wrong, sizeof(wrong), 2);
	begin(&fake, 5, text, sizeof(text));
	answer(&fake, wrong, sizeof(wrong));
	ck_assert_uint_eq(fake.done, 0);
	ck_assert_uint_eq(fake.turned, 1);
	ck_assert_uint_eq(document_fetch_wrong(fake.fetch), 1);
	recent_documents_destroy(fake.recent);
	fake.recent = recent_documents_create();
	document_fetch_tick(fake.fetch, 1000, 400);
	run_until_done(&fake, text, sizeof(text));
	teardown(&fake);
}
END_TEST

/*
 * A delta that was late tells of an older document after a newer one is in
 * force. It must not be fetched; after joining anew only the newest may.
 */
START_TEST(older_document_is_never_fetched)
{
	uint8_t text[100];
	fake_t fake;

	setup(&fake);
	fill_text(text, sizeof(text), 1);
	begin(&fake, 5, text, sizeof(text));
	run_until_done(&fake, text, sizeof(text));
	fake.sent = 0;
	begin(&fake, 4, text, sizeof(text));
	begin(&fake, 5, text, sizeof(text));
	ck_assert_uint_eq(fake.sent, 0);
	document_fetch_reset(fake.fetch);
	begin(&fake, 4, text, sizeof(text));
	ck_assert_uint_eq(fake.sent, 0);
	begin(&fake, 5, text, sizeof(text));
	ck_assert_uint_eq(fake.sent, 1);
	teardown(&fake);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		small_change_costs_little,
		every_pair_is_put_together_again,
		change_of_control_halfway_starts_anew,
		lost_page_is_asked_for_elsewhere_later_each_time,
		wrong_bytes_are_not_taken,
		older_document_is_never_fetched,
		NULL,
	};

	return fake_suite_run("document_fetch", tests);
}
