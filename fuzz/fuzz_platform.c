/*
 * Passes untrusted input to the platform's parsers: a packet, a configuration,
 * a heartbeat or a packed document. The first byte selects the parser.
 */

#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "damaskyard/document_pack.h"
#include "platform/configuration.h"
#include "platform/heartbeat.h"
#include "platform/packet.h"

/* Limit for unpacked documents; larger ones only slow the fuzzer down. */
#define UNPACKED_MAX_BYTES 65536

static void parse_packet(const uint8_t *data, size_t size)
{
	uint8_t bytes[2048];
	dy_packet_t packet;

	size = MIN(size, sizeof(bytes));
	memcpy(bytes, data, size);
	if (platform_packet_load(bytes, size, PLATFORM_FROM_CALLER, &packet))
		return;
	platform_packet_find_request_id(bytes, &packet);
	platform_packet_set_tag(bytes, 7);
	if (platform_packet_load(bytes, size, PLATFORM_FROM_TARGET, &packet))
		abort();
}

static void parse_configuration(const uint8_t *data, size_t size)
{
	GError *error = NULL;
	dy_flow_rules_t *rules;

	rules = platform_configuration_parse(data, size, &error);
	if (!rules == !error)
		abort();
	dy_flow_rules_destroy(rules);
	g_clear_error(&error);
}

static void parse_heartbeat(const uint8_t *data, size_t size)
{
	dy_target_notice_t notice;
	GError *error = NULL;

	if (platform_heartbeat_parse("i-1", data, size, 1000000, &notice,
				     &error) == (error != NULL))
		abort();
	g_clear_error(&error);
}

static void unpack_document(const uint8_t *data, size_t size)
{
	GByteArray *plain = dy_document_unpack(data, size, UNPACKED_MAX_BYTES);

	if (plain)
		g_byte_array_unref(plain);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (!size)
		return 0;
	switch (data[0] % 4) {
	case 0:
		parse_packet(data + 1, size - 1);
		break;
	case 1:
		parse_configuration(data + 1, size - 1);
		break;
	case 2:
		parse_heartbeat(data + 1, size - 1);
		break;
	default:
		unpack_document(data + 1, size - 1);
	}
	return 0;
}
