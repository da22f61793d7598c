#include "damaskyard/packet.h"

#include <stdio.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

uint64_t dy_flow_id_hash(const dy_flow_id_t *flow)
{
	const uint32_t words[] = { flow->caller_ip, flow->entry_ip,
				   flow->caller_port << 16 | flow->entry_port };

	return XXH3_64bits(words, sizeof(words));
}

unsigned dy_flow_id_table_hash(const void *flow)
{
	return (unsigned)dy_flow_id_hash(flow);
}

int dy_flow_id_table_equal(const void *a, const void *b)
{
	return dy_flow_id_equal(a, b);
}

const char *dy_flow_id_format(const dy_flow_id_t *flow,
			      char text[DY_FLOW_TEXT_BYTES])
{
	uint32_t a = flow->caller_ip;
	uint32_t b = flow->entry_ip;

	snprintf(text, DY_FLOW_TEXT_BYTES, "%u.%u.%u.%u:%u>%u.%u.%u.%u:%u",
		 a >> 24, a >> 16 & 255, a >> 8 & 255, a & 255,
		 flow->caller_port & 0xffff, b >> 24, b >> 16 & 255,
		 b >> 8 & 255, b & 255, flow->entry_port & 0xffff);
	return text;
}
