#include "damaskyard/document.h"

#include <stdlib.h>
#include <string.h>

#include "fake_suite.h"

#define VALID_DOCUMENT                                          \
	"[document]\nweigh = imbalance\n"                       \
	"[service readings]\naddress = 10.20.0.1:4000\n"        \
	"program = 0x2A000001\nversion = 1\nidempotent = 2;5\n" \
	"labels = tier=gold\ndomains = d1;d2\n"

static dy_document_t *parse_text(const char *text, GError **error)
{
	return dy_document_parse(text, strlen(text), error);
}

static void expect_refused(const char *text, int code, const char *part)
{
	GError *error = NULL;

	ck_assert_ptr_null(parse_text(text, &error));
	ck_assert_ptr_nonnull(error);
	ck_assert_int_eq(error->code, code);
	ck_assert_ptr_nonnull(strstr(error->message, part));
	g_error_free(error);
}

START_TEST(parses_valid_document)
{
	dy_document_t *document = parse_text(VALID_DOCUMENT, NULL);
	const dy_service_t *service;

	ck_assert_ptr_nonnull(document);
	ck_assert_int_eq(dy_document_priority(document), DY_PRIORITY_IMBALANCE);
	service = dy_document_service(document, 0);
	ck_assert_ptr_eq(dy_document_find(document, service->id), service);
	ck_assert_uint_eq(service->program, 0x2A000001);
	ck_assert_uint_eq(service->deadline_ms, DY_SERVICE_DEFAULT_DEADLINE_MS);
	ck_assert(dy_service_is_idempotent(service, 0));
	ck_assert(dy_service_is_idempotent(service, 5));
	ck_assert(!dy_service_is_idempotent(service, 1));
	dy_document_destroy(document);
}
END_TEST

START_TEST(accepts_only_matching_targets)
{
	dy_document_t *document = parse_text(VALID_DOCUMENT, NULL);
	const dy_service_t *service = dy_document_service(document, 0);
	dy_member_info_t info = { 0 };

	info.kind = DY_MEMBER_AGENT;
	info.service = "readings";
	info.labels = "a=b,tier=gold";
	info.domain = "d2";
	ck_assert(dy_service_accepts(service, &info));
	info.domain = "d3";
	ck_assert(!dy_service_accepts(service, &info));
	info.domain = "d1";
	info.labels = "tier=goldish";
	ck_assert(!dy_service_accepts(service, &info));
	info.labels = "tier=gold";
	info.service = "maps";
	ck_assert(!dy_service_accepts(service, &info));
	dy_document_destroy(document);
}
END_TEST

START_TEST(refuses_invalid_documents)
{
	expect_refused("x", G_KEY_FILE_ERROR_PARSE, "x");
	expect_refused("[document]\n", DY_DOCUMENT_ERROR_KEY, "no [service");
	expect_refused(VALID_DOCUMENT "quue = 4\n", DY_DOCUMENT_ERROR_KEY,
		       "quue");
	expect_refused(VALID_DOCUMENT "slots = 0\n", DY_DOCUMENT_ERROR_VALUE,
		       "slots");
	expect_refused(VALID_DOCUMENT "slots = 4294967296\n",
		       DY_DOCUMENT_ERROR_VALUE, "slots");
	expect_refused(VALID_DOCUMENT "objective = 100\n",
		       DY_DOCUMENT_ERROR_VALUE, "objective");
	expect_refused(VALID_DOCUMENT "[other]\n", DY_DOCUMENT_ERROR_KEY,
		       "other");
	expect_refused("[service a]\naddress = 1.2.3.4:1\nversion = 1\n",
		       DY_DOCUMENT_ERROR_KEY, "program");
	expect_refused(VALID_DOCUMENT "[service b]\naddress = 10.20.0.1:4000\n"
				      "program = 1\nversion = 1\n",
		       DY_DOCUMENT_ERROR_CONFLICT, "readings");
}
END_TEST

/*
 * An operator adds "slots = 70" below an older "slots = 7". The key file parser
 * silently keeps the last one, so the target would get ten times its load.
 */
START_TEST(refuses_duplicate_key)
{
	expect_refused(VALID_DOCUMENT "slots = 7\nslots = 70\n",
		       DY_DOCUMENT_ERROR_KEY, "twice");
	expect_refused(VALID_DOCUMENT "[service readings]\nslots = 70\n",
		       DY_DOCUMENT_ERROR_KEY, "twice");
}
END_TEST

START_TEST(refuses_bytes_after_nul)
{
	GError *error = NULL;

	ck_assert_ptr_null(dy_document_parse(
		VALID_DOCUMENT "\0[x]", sizeof(VALID_DOCUMENT) + 3, &error));
	ck_assert_int_eq(error->code, DY_DOCUMENT_ERROR_SYNTAX);
	g_error_free(error);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		parses_valid_document,	   accepts_only_matching_targets,
		refuses_invalid_documents, refuses_duplicate_key,
		refuses_bytes_after_nul,   NULL,
	};

	return fake_suite_run("document", tests);
}
