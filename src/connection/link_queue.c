#include "damaskyard/link_queue.h"

#include <glib.h>

#include "damaskyard/list.h"
#include "damaskyard/stored_forward.h"

/* Bytes that a flow sends in its turn: one full packet on the link. */
#define QUANTUM_BYTES 1500

/*
 * Backlogged flows get one part in this many of the link at least, so that
 * uploads go on while flows of one packet each overload it.
 */
#define OLD_FLOWS_SHARE 4

/* Size of the headers that each packet gets on the link, an estimate. */
#define HEADER_BYTES 128

typedef struct waiting {
	dy_list_t link; /* in the flow's list, oldest first */
	uint32_t seq;
	uint16_t data_bytes;
	unsigned flags;
	dy_stored_forward_t stored;
} waiting_t;

typedef struct flow_queue {
	dy_list_t link; /* in new_flows or old_flows */
	dy_flow_id_t id;
	dy_list_t waiting;
	unsigned count;
	int deficit; /* bytes that the flow may still send in its turn */
} flow_queue_t;

struct dy_link_queue {
	dy_link_queue_config_t config;
	int64_t credit; /* thousandths of a byte; negative: link is ahead */
	int64_t credit_max;
	uint64_t refilled_ms;
	GHashTable *flows;	 /* with waiting forwards */
	dy_list_t new_flows;	 /* flows in their first turn */
	dy_list_t old_flows;	 /* flows that take turns */
	int owed;		 /* bytes that these are behind their share */
	unsigned count;		 /* waiting forwards */
	size_t bytes;		 /* and their size, an estimate */
	uint64_t *flow_bytes;	 /* of packets to known holders */
	uint64_t *opening_bytes; /* of openings */
	uint64_t *search_bytes;	 /* of packets with an unknown holder */
	uint64_t *charged_bytes; /* of all other messages */
	uint64_t *queued;
	uint64_t *replaced;
	uint64_t *dropped;
};

dy_link_queue_t *dy_link_queue_create(const dy_link_queue_config_t *config)
{
	dy_link_queue_t *queue = g_new0(dy_link_queue_t, 1);
	const dy_metrics_entry_t entries[] = {
		{ "link_bytes_flows", &queue->flow_bytes },
		{ "link_bytes_openings", &queue->opening_bytes },
		{ "link_bytes_searches", &queue->search_bytes },
		{ "link_bytes_control", &queue->charged_bytes },
		{ "link_queued", &queue->queued },
		{ "link_replaced", &queue->replaced },
		{ "link_dropped", &queue->dropped },
	};

	queue->config = *config;
	queue->config.bytes_per_s =
		config->bytes_per_s * DY_LINK_SHARE_PERCENT / 100;
	queue->credit_max =
		(int64_t)queue->config.bytes_per_s * DY_LINK_BURST_MS;
	queue->credit = queue->credit_max;
	queue->flows = g_hash_table_new_full(
		dy_flow_id_table_hash, dy_flow_id_table_equal, NULL, g_free);
	dy_list_init(&queue->new_flows);
	dy_list_init(&queue->old_flows);
	dy_metrics_counters(config->metrics, entries, G_N_ELEMENTS(entries));
	return queue;
}

static void drop_oldest(dy_link_queue_t *queue, flow_queue_t *flow)
{
	waiting_t *waiting = DY_LIST_ITEM(flow->waiting.next, waiting_t, link);

	queue->count--;
	queue->bytes -= waiting->data_bytes + HEADER_BYTES;
	flow->count--;
	dy_list_remove(&waiting->link);
	g_slice_free(waiting_t, waiting);
}

static void drop_flow(dy_link_queue_t *queue, flow_queue_t *flow)
{
	while (flow->count)
		drop_oldest(queue, flow);
	dy_list_remove(&flow->link);
	g_hash_table_remove(queue->flows, &flow->id);
}

static void drop_flows(dy_link_queue_t *queue, dy_list_t *flows)
{
	while (!dy_list_empty(flows))
		drop_flow(queue, DY_LIST_ITEM(flows->next, flow_queue_t, link));
}

static void drop_all(dy_link_queue_t *queue)
{
	drop_flows(queue, &queue->new_flows);
	drop_flows(queue, &queue->old_flows);
}

void dy_link_queue_destroy(dy_link_queue_t *queue)
{
	if (!queue)
		return;
	drop_all(queue);
	g_hash_table_destroy(queue->flows);
	g_free(queue);
}

static void refill(dy_link_queue_t *queue, uint64_t now_ms)
{
	uint64_t elapsed_ms =
		MIN(now_ms - queue->refilled_ms, (uint64_t)G_MAXINT);

	queue->refilled_ms = now_ms;
	queue->credit = MIN(queue->credit_max,
			    queue->credit + (int64_t)queue->config.bytes_per_s *
						    (int64_t)elapsed_ms);
}

void dy_link_queue_charge(dy_link_queue_t *queue, size_t bytes, uint64_t now_ms)
{
	*queue->charged_bytes += bytes;
	refill(queue, now_ms);
	queue->credit -= (int64_t)bytes * 1000;
}

static int is_limited(const dy_link_queue_t *queue)
{
	return queue->config.bytes_per_s != 0;
}

/* Returns the counter of what a forward takes of the link. */
static uint64_t *select_counter(dy_link_queue_t *queue,
				const dy_flow_forward_t *forward,
				unsigned flags)
{
	if (flags & DY_PACKET_SYN)
		return queue->opening_bytes;
	return forward->window ? queue->search_bytes : queue->flow_bytes;
}

static void send_forward(dy_link_queue_t *queue, dy_flow_forward_t *forward,
			 unsigned flags)
{
	uint64_t *counter = select_counter(queue, forward, flags);
	size_t bytes = queue->config.send(queue->config.context, forward);

	*counter += bytes;
	queue->credit -= (int64_t)bytes * 1000;
}

static flow_queue_t *get_flow(dy_link_queue_t *queue, const dy_flow_id_t *id)
{
	flow_queue_t *flow = g_hash_table_lookup(queue->flows, id);

	if (flow)
		return flow;
	flow = g_new0(flow_queue_t, 1);
	flow->id = *id;
	flow->deficit = QUANTUM_BYTES;
	dy_list_init(&flow->link);
	dy_list_init(&flow->waiting);
	dy_list_append(&queue->new_flows, &flow->link);
	g_hash_table_insert(queue->flows, &flow->id, flow);
	return flow;
}

/*
 * Returns whether packet makes a waiting one of its flow needless: it has the
 * same data, or both only acknowledge.
 */
static int replaces(const dy_packet_t *packet, const waiting_t *waiting)
{
	if (packet->flags != waiting->flags || packet->flags & DY_PACKET_SYN ||
	    packet->data_bytes != waiting->data_bytes)
		return 0;
	return packet->seq == waiting->seq;
}

static waiting_t *find_replaced(const flow_queue_t *flow,
				const dy_packet_t *packet)
{
	waiting_t *waiting;
	dy_list_t *pos;

	DY_LIST_EACH(pos, &flow->waiting)
	{
		waiting = DY_LIST_ITEM(pos, waiting_t, link);
		if (replaces(packet, waiting))
			return waiting;
	}
	return NULL;
}

static void add_waiting(dy_link_queue_t *queue, flow_queue_t *flow,
			const dy_flow_forward_t *forward,
			const dy_packet_t *packet)
{
	waiting_t *waiting = g_slice_new(waiting_t);

	dy_list_init(&waiting->link);
	waiting->seq = packet->seq;
	waiting->data_bytes = packet->data_bytes;
	waiting->flags = packet->flags;
	dy_stored_forward_set(&waiting->stored, forward);
	dy_list_append(&flow->waiting, &waiting->link);
	flow->count++;
	queue->count++;
	queue->bytes += waiting->data_bytes + HEADER_BYTES;
	++*queue->queued;
}

/* Drops the oldest forward of the longest flow; flow is one that waits. */
static void drop_from_longest(dy_link_queue_t *queue, flow_queue_t *flow)
{
	flow_queue_t *longest = flow;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, queue->flows);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((flow_queue_t *)value)->count > longest->count)
			longest = value;
	++*queue->dropped;
	drop_oldest(queue, longest);
}

unsigned dy_link_queue_push(dy_link_queue_t *queue, dy_flow_forward_t *forward,
			    const dy_packet_t *packet, uint64_t now_ms)
{
	flow_queue_t *flow;
	waiting_t *waiting;

	if (!is_limited(queue)) {
		send_forward(queue, forward, packet->flags);
		return 0;
	}
	refill(queue, now_ms);
	if (!queue->count && queue->credit > 0) {
		send_forward(queue, forward, packet->flags);
		return 0;
	}
	flow = get_flow(queue, &packet->flow);
	waiting = find_replaced(flow, packet);
	if (waiting) {
		dy_stored_forward_set(&waiting->stored, forward);
		++*queue->replaced;
		return queue->count;
	}
	add_waiting(queue, flow, forward, packet);
	if (queue->count > DY_LINK_QUEUE_MAX)
		drop_from_longest(queue, flow);
	return queue->count;
}

/* Ends the turn of a flow; the next one is longer by a quantum. */
static void end_turn(dy_link_queue_t *queue, flow_queue_t *flow)
{
	flow->deficit += QUANTUM_BYTES;
	dy_list_remove(&flow->link);
	dy_list_append(&queue->old_flows, &flow->link);
}

static dy_list_t *select_list(dy_link_queue_t *queue)
{
	if (dy_list_empty(&queue->old_flows))
		return &queue->new_flows;
	if (dy_list_empty(&queue->new_flows) || queue->owed > QUANTUM_BYTES)
		return &queue->old_flows;
	return &queue->new_flows;
}

/* Accounts a turn of bytes from one of the lists. */
static void update_owed(dy_link_queue_t *queue, const dy_list_t *list,
			int bytes)
{
	if (list == &queue->old_flows)
		queue->owed = MAX(0, queue->owed - bytes);
	else if (!dy_list_empty(&queue->old_flows))
		queue->owed += bytes / (OLD_FLOWS_SHARE - 1);
}

/*
 * Returns the flow whose turn it is, and the list that it is in. Some forward
 * has to wait.
 */
static flow_queue_t *select_flow(dy_link_queue_t *queue, dy_list_t **list)
{
	flow_queue_t *flow;

	for (;;) {
		*list = select_list(queue);
		flow = DY_LIST_ITEM((*list)->next, flow_queue_t, link);
		if (!flow->count)
			drop_flow(queue, flow);
		else if (flow->deficit > 0)
			return flow;
		else
			end_turn(queue, flow);
	}
}

/*
 * A flow that has nothing left takes a place among the old flows, so that
 * its next forward cannot overtake theirs again and starve them.
 */
static void send_next(dy_link_queue_t *queue)
{
	dy_list_t *list;
	flow_queue_t *flow = select_flow(queue, &list);
	waiting_t *waiting = DY_LIST_ITEM(flow->waiting.next, waiting_t, link);
	int bytes = waiting->data_bytes + HEADER_BYTES;

	flow->deficit -= bytes;
	update_owed(queue, list, bytes);
	send_forward(queue, &waiting->stored.forward, waiting->flags);
	drop_oldest(queue, flow);
	if (!flow->count && flow->deficit <= 0)
		end_turn(queue, flow);
}

unsigned dy_link_queue_serve(dy_link_queue_t *queue, uint64_t now_ms)
{
	refill(queue, now_ms);
	while (queue->count && queue->credit > 0)
		send_next(queue);
	if (!queue->count)
		drop_all(queue);
	return queue->count;
}

unsigned dy_link_queue_count(const dy_link_queue_t *queue)
{
	return queue->count;
}

int dy_link_queue_has(const dy_link_queue_t *queue, const dy_flow_id_t *flow)
{
	const flow_queue_t *found = g_hash_table_lookup(queue->flows, flow);

	return found && found->count;
}

unsigned dy_link_queue_backlog_ms(const dy_link_queue_t *queue)
{
	if (!is_limited(queue))
		return 0;
	return (unsigned)(queue->bytes * 1000 / queue->config.bytes_per_s);
}
