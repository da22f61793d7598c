#include "damaskyard/packet_wait.h"

#include <string.h>

#include <glib.h>

#include "damaskyard/list.h"

typedef struct waiting {
	dy_list_t link; /* oldest first */
	dy_flow_id_t flow;
	uint64_t since_ms;
	size_t len;
	uint8_t bytes[DY_PACKET_BYTES];
} waiting_t;

struct dy_packet_wait {
	GHashTable *by_flow;
	dy_list_t by_age;
};

dy_packet_wait_t *dy_packet_wait_create(void)
{
	dy_packet_wait_t *wait = g_new0(dy_packet_wait_t, 1);

	wait->by_flow = g_hash_table_new_full(dy_flow_id_table_hash,
					      dy_flow_id_table_equal, NULL,
					      g_free);
	dy_list_init(&wait->by_age);
	return wait;
}

void dy_packet_wait_destroy(dy_packet_wait_t *wait)
{
	if (!wait)
		return;
	g_hash_table_destroy(wait->by_flow);
	g_free(wait);
}

static void drop(dy_packet_wait_t *wait, waiting_t *waiting)
{
	dy_list_remove(&waiting->link);
	g_hash_table_remove(wait->by_flow, &waiting->flow);
}

static waiting_t *oldest(const dy_packet_wait_t *wait)
{
	return DY_LIST_ITEM(wait->by_age.next, waiting_t, link);
}

static waiting_t *keep(dy_packet_wait_t *wait, const dy_flow_id_t *flow)
{
	waiting_t *waiting = g_hash_table_lookup(wait->by_flow, flow);

	if (waiting) {
		dy_list_remove(&waiting->link);
		return waiting;
	}
	if (g_hash_table_size(wait->by_flow) >= DY_PACKET_WAIT_MAX)
		drop(wait, oldest(wait));
	waiting = g_new0(waiting_t, 1);
	waiting->flow = *flow;
	g_hash_table_insert(wait->by_flow, &waiting->flow, waiting);
	return waiting;
}

void dy_packet_wait_add(dy_packet_wait_t *wait, const dy_flow_id_t *flow,
			const uint8_t *bytes, size_t len, uint64_t now_ms)
{
	waiting_t *waiting;

	if (len > DY_PACKET_BYTES)
		return;
	waiting = keep(wait, flow);
	waiting->since_ms = now_ms;
	waiting->len = len;
	memcpy(waiting->bytes, bytes, len);
	dy_list_append(&wait->by_age, &waiting->link);
}

unsigned dy_packet_wait_take(dy_packet_wait_t *wait, uint64_t now_ms,
			     dy_packet_wait_cb_t *each, void *context)
{
	unsigned count = 0;
	waiting_t *waiting;

	while (!dy_list_empty(&wait->by_age)) {
		waiting = oldest(wait);
		if (now_ms - waiting->since_ms <= DY_PACKET_WAIT_MS) {
			each(context, waiting->bytes, waiting->len);
			count++;
		}
		drop(wait, waiting);
	}
	return count;
}

unsigned dy_packet_wait_count(const dy_packet_wait_t *wait)
{
	return g_hash_table_size(wait->by_flow);
}
