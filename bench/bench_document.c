/*
 * Measures what a change of a platform's configuration costs a balancer: the
 * whole parse, and the loader for one changed route. Prints times of a whole
 * core, the loader's memory, and the bytes of a patch of the packed document.
 *
 *	bench_document [ROUTES [SERVICES]]
 */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "damaskyard/document.h"
#include "damaskyard/document_pack.h"
#include "damaskyard/document_patch.h"
#include "platform/configuration.h"

#define ROUTES 1920
#define SERVICES 2

/* Versions of the document that are loaded one after the other. */
#define VERSIONS 50

/* Room for documents of any size measured, in bytes. */
#define UNPACKED_MAX_BYTES (64 * 1024 * 1024)

static size_t used_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/* One route, in the middle, has the version as its timeout. */
static GString *write_document(unsigned routes, unsigned services,
			       unsigned version)
{
	GString *text = g_string_new(NULL);
	unsigned i;

	g_string_append_printf(text, "{\"version\":%u,\"routes\":[",
			       1000 + version);
	for (i = 0; i < routes; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"r-%07x\",\"host\":\"198.18.%u.%u\","
			"\"pathPrefix\":\"/%u/\",\"routeType\":\"safe\","
			"\"timeoutMs\":%u,\"targetLatencyMs\":250,"
			"\"priority\":2,\"service\":\"order-%u\","
			"\"maxAttempts\":2}",
			i ? "," : "", i * 2654435761U >> 4, i >> 8 & 255,
			i & 255, 1024 + i % 64,
			i == routes / 2 ? 1000 + version : 2500, i % services);
	g_string_append(text, "],\"services\":[");
	for (i = 0; i < services; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"order-%u\",\"healthPath\":\"/healthz\","
			"\"maxFlows\":2000,\"protocol\":\"h1\",\"tls\":false}",
			i ? "," : "", i);
	g_string_append(text, "],\"limits\":{\"maxHeaderBytes\":16384}}");
	return text;
}

static double now_ms(void)
{
	return (double)g_get_monotonic_time() / 1000;
}

static void die(const char *what)
{
	fprintf(stderr, "bench_document: %s\n", what);
	exit(1);
}

/* What every member does to get the bytes of a version. */
static void measure_transfer(unsigned routes, unsigned services)
{
	GByteArray *last = NULL;
	uint8_t digest[DY_DIGEST_BYTES];
	dy_document_patch_t patch = { 0 };
	double pack_ms = 0;
	double digest_ms = 0;
	double unpack_ms = 0;
	GByteArray *packed;
	GString *text;
	double start;
	unsigned i;

	for (i = 0; i < VERSIONS; i++) {
		text = write_document(routes, services, i);
		start = now_ms();
		packed = dy_document_pack(text->str, text->len);
		pack_ms += now_ms() - start;
		start = now_ms();
		dy_document_digest(packed->data, packed->len, digest);
		digest_ms += now_ms() - start;
		start = now_ms();
		g_byte_array_unref(dy_document_unpack(packed->data, packed->len,
						      UNPACKED_MAX_BYTES));
		unpack_ms += now_ms() - start;
		if (last) {
			dy_document_patch_compute(&patch, last->data, last->len,
						  packed->data, packed->len);
			g_byte_array_unref(last);
		}
		last = packed;
		g_string_free(text, TRUE);
	}
	printf("bench=document_transfer routes=%u services=%u packed_bytes=%u "
	       "patch_bytes=%u pack_ms=%.2f digest_ms=%.2f unpack_ms=%.2f\n",
	       routes, services, last->len, patch.size, pack_ms / VERSIONS,
	       digest_ms / VERSIONS, unpack_ms / VERSIONS);
	g_byte_array_unref(last);
}

static void measure_whole(unsigned routes, unsigned services)
{
	size_t rules_bytes = 0;
	size_t text_len = 0;
	double parse_ms = 0;
	double drop_ms = 0;
	dy_flow_rules_t *rules;
	GString *text;
	double start;
	unsigned i;

	for (i = 0; i < VERSIONS; i++) {
		text = write_document(routes, services, i);
		text_len = text->len;
		rules_bytes = used_bytes();
		start = now_ms();
		rules = platform_configuration_parse(text->str, text->len,
						     NULL);
		parse_ms += now_ms() - start;
		if (!rules)
			die("the document is refused");
		rules_bytes = used_bytes() - rules_bytes;
		start = now_ms();
		dy_flow_rules_destroy(rules);
		drop_ms += now_ms() - start;
		g_string_free(text, TRUE);
	}
	printf("bench=document_whole routes=%u services=%u bytes=%zu "
	       "parse_ms=%.2f drop_ms=%.2f bytes_a_route=%zu\n",
	       routes, services, text_len, parse_ms / VERSIONS,
	       drop_ms / VERSIONS, rules_bytes / routes);
}

/* The rules in force are dropped for the next ones, as in a balancer. */
static void measure_loader(unsigned routes, unsigned services)
{
	platform_configuration_loader_t *loader =
		platform_configuration_loader_create();
	size_t empty_bytes = used_bytes();
	dy_flow_rules_t *rules = NULL;
	dy_flow_rules_t *newer;
	platform_load_t load;
	double first_ms = 0;
	double change_ms = 0;
	GString *text;
	double start;
	unsigned i;

	for (i = 0; i <= VERSIONS; i++) {
		text = write_document(routes, services, i);
		start = now_ms();
		newer = platform_configuration_loader_load(
			loader, text->str, text->len, &load, NULL);
		dy_flow_rules_destroy(rules);
		*(i ? &change_ms : &first_ms) += now_ms() - start;
		if (!newer || load.whole || load.parsed != (i ? 1 : routes))
			die("the loader did not reuse the entries");
		rules = newer;
		g_string_free(text, TRUE);
	}
	printf("bench=document_loader routes=%u services=%u first_ms=%.2f "
	       "change_ms=%.3f change_us_a_route=%.3f bytes_a_route=%zu\n",
	       routes, services, first_ms, change_ms / VERSIONS,
	       change_ms * 1000 / VERSIONS / routes,
	       (used_bytes() - empty_bytes) / routes);
	dy_flow_rules_destroy(rules);
	platform_configuration_loader_destroy(loader);
}

int main(int argc, char **argv)
{
	unsigned routes = argc > 1 ? (unsigned)atoi(argv[1]) : ROUTES;
	unsigned services = argc > 2 ? (unsigned)atoi(argv[2]) : SERVICES;

	if (!routes || !services) {
		fputs("bench_document: ROUTES and SERVICES must be > 0\n",
		      stderr);
		return 2;
	}
	measure_loader(routes, services);
	measure_transfer(routes, services);
	measure_whole(routes, services);
	return 0;
}
