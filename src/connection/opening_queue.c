#include "damaskyard/opening_queue.h"

#include <glib.h>

#include "damaskyard/list.h"

typedef struct queued_opening {
	dy_list_t link;	       /* in by_age, oldest first */
	dy_list_t expiry_link; /* in by_expiry, first to expire first */
	uint64_t expires_ms;
	dy_opening_t opening;
} queued_opening_t;

struct dy_opening_queue {
	GHashTable *by_flow;
	dy_list_t by_age;
	dy_list_t by_expiry;
};

dy_opening_queue_t *dy_opening_queue_create(void)
{
	dy_opening_queue_t *queue = g_new0(dy_opening_queue_t, 1);

	queue->by_flow = g_hash_table_new_full(
		dy_flow_id_table_hash, dy_flow_id_table_equal, NULL, g_free);
	dy_list_init(&queue->by_age);
	dy_list_init(&queue->by_expiry);
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

static queued_opening_t *by_expiry_item(dy_list_t *link)
{
	return DY_LIST_ITEM(link, queued_opening_t, expiry_link);
}

static void insert_by_expiry(dy_opening_queue_t *queue,
			     queued_opening_t *queued)
{
	dy_list_t *after = queue->by_expiry.prev;

	while (after != &queue->by_expiry &&
	       by_expiry_item(after)->expires_ms > queued->expires_ms)
		after = after->prev;
	dy_list_append(after->next, &queued->expiry_link);
}

int dy_opening_queue_add(dy_opening_queue_t *queue,
			 const dy_flow_forward_t *forward,
			 const dy_packet_t *packet, uint64_t now_ms)
{
	return dy_opening_queue_add_for(queue, forward, packet,
					DY_OPENING_WAIT_MAX_MS, now_ms);
}

int dy_opening_queue_add_for(dy_opening_queue_t *queue,
			     const dy_flow_forward_t *forward,
			     const dy_packet_t *packet, uint64_t wait_max_ms,
			     uint64_t now_ms)
{
	queued_opening_t *queued =
		g_hash_table_lookup(queue->by_flow, &packet->flow);

	if (!queued) {
		if (g_hash_table_size(queue->by_flow) >= DY_OPENINGS_MAX)
			return 0;
		queued = g_new0(queued_opening_t, 1);
		queued->expires_ms = now_ms + wait_max_ms;
		queued->opening.packet.flow = packet->flow;
		g_hash_table_insert(queue->by_flow,
				    &queued->opening.packet.flow, queued);
		dy_list_append(&queue->by_age, &queued->link);
		insert_by_expiry(queue, queued);
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
	dy_list_remove(&queued->expiry_link);
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
	queued_opening_t *first;

	if (dy_list_empty(&queue->by_expiry))
		return 0;
	first = by_expiry_item(queue->by_expiry.next);
	if (now_ms < first->expires_ms)
		return 0;
	dequeue(queue, first, opening);
	return 1;
}

unsigned dy_opening_queue_count(const dy_opening_queue_t *queue)
{
	return g_hash_table_size(queue->by_flow);
}
