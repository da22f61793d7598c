/* Conversion of the platform's formats into the product's types. */

#include <string.h>

#include "damaskyard/address.h"
#include "fake_suite.h"
#include "platform/calls.h"
#include "platform/configuration.h"
#include "platform/heartbeat.h"
#include "platform/packet.h"

#define PACKET_BYTES (PLATFORM_HEADER_BYTES + 3)

/* A packet from 1.2.3.4:1000 to 5.6.7.8:80 with three bytes of data. */
static void make_packet(uint8_t bytes[PACKET_BYTES], uint8_t flags)
{
	static const uint8_t made[PACKET_BYTES] = {
		9,    9,   9,	9, /* sum */
		1,    2,   0,	0, /* echo */
		0,		   /* flags */
		0,    0,   0,	   /* pad */
		0xe8, 3,	   /* source port */
		80,   0,	   /* destination port */
		8,    7,   6,	5, /* destination */
		4,    3,   2,	1, /* source */
		3,    0,	   /* data bytes */
		4,    0,   0,	1, /* seq */
		5,    0,   0,	2, /* ack */
		'a',  'b', 'c',
	};

	memcpy(bytes, made, sizeof(made));
	bytes[8] = flags;
}

START_TEST(decodes_packet_of_caller_and_of_target)
{
	uint8_t bytes[PACKET_BYTES];
	dy_packet_t packet;

	make_packet(bytes, 8 | 1);
	ck_assert(!platform_packet_load(bytes, sizeof(bytes),
					PLATFORM_FROM_CALLER, &packet));
	ck_assert_uint_eq(packet.flow.caller_ip, 0x01020304);
	ck_assert_uint_eq(packet.flow.caller_port, 1000);
	ck_assert_uint_eq(packet.flow.entry_ip, 0x05060708);
	ck_assert_uint_eq(packet.flow.entry_port, 80);
	ck_assert_uint_eq(packet.flags, DY_PACKET_SYN | DY_PACKET_ACK);
	ck_assert_uint_eq(packet.tag, 0x0201);
	ck_assert_uint_eq(packet.data_bytes, 3);
	ck_assert_uint_eq(packet.seq, 0x01000004);
	ck_assert_uint_eq(packet.ack, 0x02000005);
	ck_assert_uint_eq(packet.retransmits, 0x02000005);
	make_packet(bytes, 128 | 4 | 2);
	ck_assert(!platform_packet_load(bytes, sizeof(bytes),
					PLATFORM_FROM_TARGET, &packet));
	ck_assert_uint_eq(packet.flow.entry_ip, 0x01020304);
	ck_assert_uint_eq(packet.flow.caller_port, 80);
	ck_assert_uint_eq(packet.flags,
			  DY_PACKET_FIN | DY_PACKET_RST | DY_PACKET_BOUNCED);
	ck_assert_uint_eq(packet.retransmits, 0);
}
END_TEST

/* A datagram of another length must not be read beyond its end. */
START_TEST(refuses_packet_of_wrong_length)
{
	uint8_t bytes[2000] = { 0 };
	dy_packet_t packet;
	size_t len;

	make_packet(bytes, 8);
	for (len = 0; len < sizeof(bytes); len++)
		ck_assert_int_eq(!platform_packet_load(bytes, len,
						       PLATFORM_FROM_CALLER,
						       &packet),
				 len == PACKET_BYTES);
	/* 1,201 bytes of data, with a header that says so. */
	bytes[24] = 0xb1;
	bytes[25] = 4;
	ck_assert(platform_packet_load(bytes, PLATFORM_HEADER_BYTES + 1201,
				       PLATFORM_FROM_CALLER, &packet));
}
END_TEST

START_TEST(set_tag_changes_only_bytes_outside_checksum)
{
	uint8_t before[PACKET_BYTES];
	uint8_t after[PACKET_BYTES];
	dy_packet_t packet;

	make_packet(before, 2 | 1);
	memcpy(after, before, sizeof(after));
	platform_packet_set_tag(after, 0xa1b2c3d4);
	ck_assert_mem_eq(before, after, 4);
	ck_assert_mem_eq(before + 12, after + 12, sizeof(before) - 12);
	ck_assert_uint_eq(after[8], 1);
	platform_packet_load(after, sizeof(after), PLATFORM_FROM_CALLER,
			     &packet);
	ck_assert_uint_eq(packet.tag, 0xa1b2c3d4);
}
END_TEST

/* The id is for logs only; a packet without one, or with a part, is valid. */
START_TEST(finds_request_id_in_data)
{
	static const char *const texts[] = {
		"GET / HTTP/1.1\r\nX-Damaskyard-Request-Id: ab12\r\n\r\n",
		"GET / HTTP/1.1\r\nX-Damaskyard-Request-Id: ab12",
		"GET / HTTP/1.1\r\nX-Damaskyard-Request-Id: ",
		"GET / HTTP/1.1\r\nX-Damask",
		"",
	};
	static const unsigned lens[] = { 4, 4, 0, 0, 0 };
	uint8_t bytes[PLATFORM_HEADER_BYTES + 200];
	dy_packet_t packet;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		memset(bytes, 0, sizeof(bytes));
		memcpy(bytes + PLATFORM_HEADER_BYTES, texts[i],
		       strlen(texts[i]));
		bytes[24] = (uint8_t)strlen(texts[i]);
		ck_assert(!platform_packet_load(
			bytes, PLATFORM_HEADER_BYTES + strlen(texts[i]),
			PLATFORM_FROM_CALLER, &packet));
		platform_packet_find_request_id(bytes, &packet);
		ck_assert_uint_eq(packet.request_id_len, lens[i]);
		if (lens[i])
			ck_assert_mem_eq(packet.request_id, "ab12", 4);
	}
}
END_TEST

START_TEST(writes_reset_from_entry_to_caller)
{
	uint8_t bytes[PACKET_BYTES];
	uint8_t reset[PLATFORM_HEADER_BYTES];
	dy_packet_t packet;
	dy_packet_t read;

	make_packet(bytes, 1);
	platform_packet_load(bytes, sizeof(bytes), PLATFORM_FROM_CALLER,
			     &packet);
	platform_packet_write_reset(reset, &packet.flow, packet.ack);
	ck_assert(!platform_packet_load(reset, sizeof(reset),
					PLATFORM_FROM_TARGET, &read));
	ck_assert(dy_flow_id_equal(&packet.flow, &read.flow));
	ck_assert_uint_eq(read.flags, DY_PACKET_RST);
	ck_assert_uint_eq(read.seq, packet.ack);
	ck_assert_uint_eq(read.data_bytes, 0);
}
END_TEST

#define SERVICES "\"services\":[{\"name\":\"a\"},{\"name\":\"b\"}]"

static char *configuration(const char *routes)
{
	return g_strdup_printf("{\"version\":7,\"routes\":[%s]," SERVICES
			       ",\"limits\":{},\"more\":1}",
			       routes);
}

#define ROUTE(host, prefix, rest)                               \
	"{\"name\":\"r\",\"host\":\"" host "\",\"pathPrefix\":" \
	"\"" prefix "\",\"timeoutMs\":9," rest "}"

START_TEST(parses_configuration_into_rules)
{
	char *text = configuration(
		ROUTE("10.0.0.1", "/443/", "\"service\":\"a\"") "," ROUTE(
			"10.0.0.1", "/80/",
			"\"backends\":[{\"service\":\"a\",\"weight\":9},"
			"{\"service\":\"b\",\"weight\":0}]"));
	GError *error = NULL;
	dy_flow_rules_t *rules =
		platform_configuration_parse(text, strlen(text), &error);
	const dy_flow_entry_t *entry;

	ck_assert_ptr_nonnull(rules);
	ck_assert_uint_eq(dy_flow_rules_version(rules), 7);
	ck_assert_uint_eq(dy_flow_rules_count(rules), 2);
	entry = dy_flow_rules_find(rules, 0x0a000001, 80);
	ck_assert_uint_eq(entry->share_count, 2);
	ck_assert_str_eq(entry->shares[0].service, "a");
	ck_assert_uint_eq(entry->shares[0].weight, 9);
	ck_assert_ptr_null(dy_flow_rules_find(rules, 0x0a000001, 81));
	dy_flow_rules_destroy(rules);
	g_free(text);
}
END_TEST

/*
 * A wrong rate would overload a cold target, or hold flows back from a warm
 * one.
 */
START_TEST(parses_rate_limit_of_cold_targets)
{
	static const char text[] = "{\"version\":7,\"routes\":[],\"services\":["
				   "{\"name\":\"a\",\"warmupPerS\":2.5},"
				   "{\"name\":\"b\",\"warmupPerS\":0.0},"
				   "{\"name\":\"c\",\"warmupPerS\":\"9\"},"
				   "{\"name\":\"d\"}]}";
	dy_flow_rules_t *rules =
		platform_configuration_parse(text, strlen(text), NULL);

	ck_assert_ptr_nonnull(rules);
	ck_assert_uint_eq(dy_flow_rules_cold_openings(rules, "a"), 2500);
	ck_assert_uint_eq(dy_flow_rules_cold_openings(rules, "b"), 0);
	ck_assert_uint_eq(dy_flow_rules_cold_openings(rules, "c"), 0);
	ck_assert_uint_eq(dy_flow_rules_cold_openings(rules, "d"), 0);
	ck_assert_uint_eq(dy_flow_rules_cold_openings(rules, "e"), 0);
	dy_flow_rules_destroy(rules);
}
END_TEST

/* An upload's opening waits by its route's type and aim; see bulk_limit.h. */
START_TEST(reads_route_type_and_aim)
{
	static const char text[] =
		"{\"version\":1,\"services\":[{\"name\":\"a\"}],\"routes\":["
		"{\"host\":\"10.0.0.1\",\"pathPrefix\":\"/1/\",\"timeoutMs\":9,"
		"\"service\":\"a\",\"routeType\":\"upload\","
		"\"targetLatencyMs\":800},"
		"{\"host\":\"10.0.0.1\",\"pathPrefix\":\"/2/\",\"timeoutMs\":9,"
		"\"service\":\"a\",\"routeType\":\"safe\","
		"\"targetLatencyMs\":\"soon\"}]}";
	dy_flow_rules_t *rules =
		platform_configuration_parse(text, sizeof(text) - 1, NULL);
	const dy_flow_entry_t *entry;

	ck_assert_ptr_nonnull(rules);
	entry = dy_flow_rules_find(rules, 0x0a000001u, 1);
	ck_assert_uint_eq(entry->upload, 1);
	ck_assert_uint_eq(entry->bulk, 1);
	ck_assert_uint_eq(entry->aim_ms, 800);
	entry = dy_flow_rules_find(rules, 0x0a000001u, 2);
	ck_assert_uint_eq(entry->upload, 0);
	ck_assert_uint_eq(entry->bulk, 0);
	ck_assert_uint_eq(entry->aim_ms, 0);
	dy_flow_rules_destroy(rules);
}
END_TEST

/*
 * A request that may run only once would be aborted when its target is slow to
 * answer, if it were treated as repeatable.
 */
START_TEST(marks_requests_repeatable_only_for_known_route_types)
{
	static const struct {
		const char *kind;
		int repeatable;
	} cases[] = {
		{ "\"routeType\":\"safe\",", 1 },
		{ "\"routeType\":\"download\",", 1 },
		{ "\"routeType\":\"unsafe\",", 0 },
		{ "\"routeType\":\"of_another_time\",", 0 },
		{ "\"routeType\":1,", 0 },
		{ "", 0 },
	};
	const dy_flow_entry_t *entry;
	dy_flow_rules_t *rules;
	unsigned i;
	char *route;
	char *text;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		route = g_strdup_printf(
			ROUTE("10.0.0.1", "/443/", "%s\"service\":\"a\""),
			cases[i].kind);
		text = configuration(route);
		rules = platform_configuration_parse(text, strlen(text), NULL);
		ck_assert_ptr_nonnull(rules);
		entry = dy_flow_rules_find(rules, 0x0a000001, 443);
		ck_assert_int_eq(entry->repeatable, cases[i].repeatable);
		dy_flow_rules_destroy(rules);
		g_free(text);
		g_free(route);
	}
}
END_TEST

/* A refused configuration yields no rules at all, but an error message. */
START_TEST(refuses_invalid_configuration)
{
	static const char *const routes[] = {
		ROUTE("10.0.0.1", "/443/", "\"service\":\"c\""),
		ROUTE("10.0.0.1", "/443/", "\"service\":7"),
		ROUTE("10.0.0.1", "/443/", "\"x\":\"a\""),
		ROUTE("10.0.0.1", "/443/", "\"backends\":[]"),
		ROUTE("10.0.0.1", "/443/", "\"backends\":7"),
		ROUTE("10.0.0.1", "/443/",
		      "\"backends\":[{\"service\":\"a\"}]"),
		ROUTE("10.0.0.1", "/443/",
		      "\"backends\":[{\"service\":\"a\",\"weight\":0}]"),
		ROUTE("10.0.0.1", "/443/",
		      "\"backends\":[{\"service\":\"c\",\"weight\":1}]"),
		ROUTE("10.0.0.1", "/443/",
		      "\"backends\":[{\"service\":\"a\",\"weight\":-1}]"),
		ROUTE("host", "/443/", "\"service\":\"a\""),
		ROUTE("10.0.0.1", "443", "\"service\":\"a\""),
		ROUTE("10.0.0.1", "/0/", "\"service\":\"a\""),
		ROUTE("10.0.0.1", "/65536/", "\"service\":\"a\""),
		ROUTE("10.0.0.1", "/443/x", "\"service\":\"a\""),
		ROUTE("10.0.0.1", "/443/", "\"service\":\"a\"") "," ROUTE(
			"10.0.0.1", "/443/", "\"service\":\"b\""),
		"{\"host\":\"10.0.0.1\",\"pathPrefix\":\"/1/\","
		"\"timeoutMs\":0,\"service\":\"a\"}",
		"{\"host\":\"10.0.0.1\",\"pathPrefix\":\"/1/\","
		"\"service\":\"a\"}",
		"7",
	};
	GError *error = NULL;
	char *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(routes); i++) {
		text = configuration(routes[i]);
		ck_assert_ptr_null(platform_configuration_parse(
			text, strlen(text), &error));
		ck_assert_ptr_nonnull(error);
		g_clear_error(&error);
		g_free(text);
	}
}
END_TEST

/* The configuration is truncated at any byte, or is not a valid object. */
START_TEST(refuses_unreadable_configuration)
{
	static const char *const texts[] = {
		"",
		"[]",
		"7",
		"{}",
		"{\"version\":\"7\",\"routes\":[]," SERVICES "}",
		"{\"version\":7,\"routes\":{}," SERVICES "}",
		"{\"version\":7,\"routes\":[],\"services\":7}",
		"{\"version\":7,\"version\":8,\"routes\":[]," SERVICES "}",
	};
	char *text =
		configuration(ROUTE("10.0.0.1", "/443/", "\"service\":\"a\""));
	GError *error = NULL;
	size_t i;

	for (i = 0; i < strlen(text); i++) {
		ck_assert_ptr_null(
			platform_configuration_parse(text, i, &error));
		g_clear_error(&error);
	}
	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		ck_assert_ptr_null(platform_configuration_parse(
			texts[i], strlen(texts[i]), &error));
		ck_assert_ptr_nonnull(error);
		g_clear_error(&error);
	}
	g_free(text);
}
END_TEST

#define HEARTBEAT                                                   \
	"{\"service\":\"a\",\"address\":\"10.0.0.1:80\",\"zone\":"  \
	"\"z\",\"version\":\"v1\",\"slots\":4,\"state\":\"ready\"," \
	"\"warmupLeftMs\":30,\"seq\":2,\"born\":99}"

START_TEST(parses_heartbeat_into_notice)
{
	dy_target_notice_t notice;
	GError *error = NULL;

	ck_assert(platform_heartbeat_parse("i-1", HEARTBEAT, strlen(HEARTBEAT),
					   100, &notice, &error));
	ck_assert_str_eq(notice.id, "i-1");
	ck_assert_str_eq(notice.service, "a");
	ck_assert_uint_eq(notice.address.port, 80);
	ck_assert_uint_eq(notice.slots, 4);
	ck_assert_uint_eq(notice.cold_ms, 30);
	ck_assert_uint_eq(notice.sequence, 2);
	ck_assert_uint_eq(notice.started_ms, 99);
	ck_assert_int_eq(notice.state, DY_TARGET_READY);
}
END_TEST

/*
 * A faulty sender omits a field, or writes it with another type. If accepted,
 * the notice would describe a target that does not exist.
 */
START_TEST(refuses_heartbeat_with_missing_or_invalid_field)
{
	static const struct {
		const char *from;
		const char *to;
	} changes[] = {
		{ "\"service\":\"a\",", "" },
		{ "\"service\":\"a\"", "\"service\":7" },
		{ "\"service\":\"a\"", "\"service\":\"\"" },
		{ "10.0.0.1:80", "10.0.0.1" },
		{ "\"slots\":4", "\"slots\":\"4\"" },
		{ "\"slots\":4,", "" },
		{ "\"slots\":4", "\"slots\":-4" },
		{ "\"ready\"", "\"busy\"" },
		{ "\"ready\"", "null" },
		{ "\"seq\":2", "\"seq\":2.5" },
		{ "\"seq\":2,", "" },
		{ "\"born\":99", "\"born\":\"99\"" },
		{ "\"warmupLeftMs\":30", "\"warmupLeftMs\":[]" },
		{ "{", "[" },
	};
	dy_target_notice_t notice;
	GError *error = NULL;
	char **parts;
	char *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(changes); i++) {
		parts = g_strsplit(HEARTBEAT, changes[i].from, 2);
		text = g_strconcat(parts[0], changes[i].to, parts[1], NULL);
		ck_assert(!platform_heartbeat_parse("i-1", text, strlen(text),
						    100, &notice, &error));
		ck_assert_ptr_nonnull(error);
		g_clear_error(&error);
		g_free(text);
		g_strfreev(parts);
	}
	for (i = 0; i < strlen(HEARTBEAT); i++) {
		ck_assert(!platform_heartbeat_parse("i-1", HEARTBEAT, i, 100,
						    &notice, &error));
		g_clear_error(&error);
	}
	ck_assert(!platform_heartbeat_parse("", HEARTBEAT, strlen(HEARTBEAT),
					    100, &notice, &error));
	g_clear_error(&error);
}
END_TEST

START_TEST(classifies_calls_by_method_and_path)
{
	static const struct {
		const char *method;
		const char *path;
		platform_call_t call;
		const char *id;
	} calls[] = {
		{ "GET", "/-/readyz", PLATFORM_CALL_READY, NULL },
		{ "PUT", "/-/readyz", PLATFORM_CALL_WRONG_METHOD, NULL },
		{ "PUT", "/-/config", PLATFORM_CALL_SUBMIT, NULL },
		{ "GET", "/-/config", PLATFORM_CALL_CONFIGURATION, NULL },
		{ "POST", "/-/config", PLATFORM_CALL_WRONG_METHOD, NULL },
		{ "PUT", "/-/instances/i-1", PLATFORM_CALL_HEARTBEAT, "i-1" },
		{ "DELETE", "/-/instances/i-1", PLATFORM_CALL_LEAVE, "i-1" },
		{ "GET", "/-/instances/i-1", PLATFORM_CALL_WRONG_METHOD, NULL },
		{ "PUT", "/-/instances/", PLATFORM_CALL_UNKNOWN, NULL },
		{ "PUT", "/-/instances/a/b", PLATFORM_CALL_UNKNOWN, NULL },
		{ "POST", "/-/evacuate/d1", PLATFORM_CALL_EVACUATE, "d1" },
		{ "DELETE", "/-/evacuate/d1", PLATFORM_CALL_READMIT, "d1" },
		{ "PUT", "/-/evacuate/d1", PLATFORM_CALL_WRONG_METHOD, "d1" },
		{ "POST", "/-/evacuate/", PLATFORM_CALL_UNKNOWN, NULL },
		{ "POST", "/-/evacuate/d1/d2", PLATFORM_CALL_UNKNOWN, NULL },
		{ "GET", "/", PLATFORM_CALL_UNKNOWN, NULL },
		{ "GET", "/-/config2", PLATFORM_CALL_UNKNOWN, NULL },
	};
	dy_http_request_t request = { 0 };
	const char *id;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		request.method = calls[i].method;
		request.path = calls[i].path;
		ck_assert_int_eq(platform_call_find(&request, &id),
				 calls[i].call);
		if (calls[i].id)
			ck_assert_str_eq(id, calls[i].id);
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		decodes_packet_of_caller_and_of_target,
		refuses_packet_of_wrong_length,
		set_tag_changes_only_bytes_outside_checksum,
		finds_request_id_in_data,
		writes_reset_from_entry_to_caller,
		parses_configuration_into_rules,
		parses_rate_limit_of_cold_targets,
		reads_route_type_and_aim,
		marks_requests_repeatable_only_for_known_route_types,
		refuses_invalid_configuration,
		refuses_unreadable_configuration,
		parses_heartbeat_into_notice,
		refuses_heartbeat_with_missing_or_invalid_field,
		classifies_calls_by_method_and_path,
		NULL,
	};

	return fake_suite_run("platform", tests);
}
