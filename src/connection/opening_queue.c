#include "damaskyard/opening_queue.h"

#include <glib.h>

#include "damaskyard/list.h"

typedef struct queued_opening {
	dy_list_t link; /* in by_age, oldest first */
	uint64_t enqueued_ms;
	dy_opening_t opening;
} queued_opening_t;

struct dy_opening_queue {
	GHashTable *by_flow;
	dy_list_t by_age;
};

dy_opening_queue_t *dy_opening_queue_create(void)
{
	dy_opening_queue_t *queue = g_new0(dy_opening_queue_t, 1);

	queue->by_flow = g_hash_table_new_full(
		dy_flow_id_table_hash, dy_flow_id_table_equal, NULL, g_free);
	dy_list_init(&queue->by_age);
	return queue;
}

void dy_opening_queue_destroy(dy_opening_queue_t *queue)
{
	if (!queue)
		return;
	g_hash_table_destroy(queue->by_flow);
	g_free(queue);
}

void dy_opening_set(dy_opening_t *opening, const dy_flow_forward_t *forward,
		    const dy_packet_t *packet)
{
	dy_stored_forward_set(&opening->stored, forward);
	opening->packet = *packet;
	opening->packet.request_id = NULL; /* a SYN carries no data */
}

int dy_opening_queue_add(dy_opening_queue_t *queue,
			 const dy_flow_forward_t *forward,
			 const dy_packet_t *packet, uint64_t now_ms)
{
	queued_opening_t *queued =
		g_hash_table_lookup(queue->by_flow, &packet->flow);

	if (!queued) {
		if (g_hash_table_size(queue->by_flow) >= DY_OPENINGS_MAX)
			return 0;
		queued = g_new0(queued_opening_t, 1);
		queued->enqueued_ms = now_ms;
		queued->opening.packet.flow = packet->flow;
		g_hash_table_insert(queue->by_flow,
				    &queued->opening.packet.flow, queued);
		dy_list_append(&queue->by_age, &queued->link);
	}
	dy_opening_set(&queued->opening, forward, packet);
	return 1;
}

int dy_opening_queue_has(const dy_opening_queue_t *queue,
			 const dy_flow_id_t *flow)
{
	return g_hash_table_contains(queue->by_flow, flow);
}

const dy_flow_id_t *dy_opening_queue_newest(const dy_opening_queue_t *queue)
{
	if (dy_list_empty(&queue->by_age))
		return NULL;
	return &DY_LIST_ITEM(queue->by_age.prev, queued_opening_t, link)
			->opening.packet.flow;
}

static void dequeue(dy_opening_queue_t *queue, queued_opening_t *queued,
		    dy_opening_t *opening)
{
	dy_opening_set(opening, &queued->opening.stored.forward,
		       &queued->opening.packet);
	dy_list_remove(&queued->link);
	g_hash_table_remove(queue->by_flow, &queued->opening.packet.flow);
}

int dy_opening_queue_pop(dy_opening_queue_t *queue, dy_opening_t *opening)
{
	if (dy_list_empty(&queue->by_age))
		return 0;
	dequeue(queue, DY_LIST_ITEM(queue->by_age.prev, queued_opening_t, link),
		opening);
	return 1;
}

int dy_opening_queue_pop_expired(dy_opening_queue_t *queue, uint64_t now_ms,
				 dy_opening_t *opening)
{
	queued_opening_t *oldest;

	if (dy_list_empty(&queue->by_age))
		return 0;
	oldest = DY_LIST_ITEM(queue->by_age.next, queued_opening_t, link);
	if (now_ms - oldest->enqueued_ms < DY_OPENING_WAIT_MAX_MS)
		return 0;
	dequeue(queue, oldest, opening);
	return 1;
}

unsigned dy_opening_queue_count(const dy_opening_queue_t *queue)
{
	return g_hash_table_size(queue->by_flow);
}
