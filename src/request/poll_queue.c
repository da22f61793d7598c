#include "damaskyard/poll_queue.h"

#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "damaskyard/list.h"

/* A sender that waits, or is being answered, or both. */
typedef struct place {
	dy_address_t from;
	dy_list_t link; /* in its kind's line, if bytes are set */
	uint64_t arrived_ms;
	uint32_t xid;
	uint32_t answering_xid;
	int answering;
	uint8_t *bytes;
	size_t len;
} place_t;

struct dy_poll_queue {
	GHashTable *places; /* by sender */
	dy_list_t balancers;
	dy_list_t agents;
	unsigned count;
	size_t bytes;	/* of all that wait */
	unsigned burst; /* balancers taken since an agent was */
	uint64_t aged;
	uint64_t busy_ms; /* since when polls wait */
	unsigned taken;	  /* since then */
	uint64_t cost_us; /* of a poll; 0: not seen yet */
	uint64_t cost_ms; /* when it was seen */
};

static guint hash_address(gconstpointer key)
{
	return (guint)XXH3_64bits(key, sizeof(dy_address_t));
}

static gboolean equal_address(gconstpointer a, gconstpointer b)
{
	return dy_address_equal(a, b);
}

static void free_place(void *data)
{
	place_t *place = data;

	g_free(place->bytes);
	g_free(place);
}

dy_poll_queue_t *dy_poll_queue_create(void)
{
	dy_poll_queue_t *queue = g_new0(dy_poll_queue_t, 1);

	queue->places = g_hash_table_new_full(hash_address, equal_address, NULL,
					      free_place);
	dy_list_init(&queue->balancers);
	dy_list_init(&queue->agents);
	return queue;
}

void dy_poll_queue_destroy(dy_poll_queue_t *queue)
{
	if (!queue)
		return;
	g_hash_table_destroy(queue->places);
	g_free(queue);
}

static place_t *keep_place(dy_poll_queue_t *queue, const dy_address_t *from)
{
	place_t *place = g_hash_table_lookup(queue->places, from);

	if (place)
		return place;
	if (g_hash_table_size(queue->places) >= DY_POLL_QUEUE_MAX_SENDERS)
		return NULL;
	place = g_new0(place_t, 1);
	place->from = *from;
	dy_list_init(&place->link);
	g_hash_table_insert(queue->places, &place->from, place);
	return place;
}

static void leave_line(dy_poll_queue_t *queue, place_t *place)
{
	dy_list_remove(&place->link);
	queue->bytes -= place->len;
	place->bytes = NULL;
	place->len = 0;
	queue->count--;
}

static void drop_if_idle(dy_poll_queue_t *queue, place_t *place)
{
	if (!place->bytes && !place->answering)
		g_hash_table_remove(queue->places, &place->from);
}

static int has_room(const dy_poll_queue_t *queue, size_t len)
{
	return len <= DY_POLL_QUEUE_MAX_POLL_BYTES &&
	       queue->bytes + len <= DY_POLL_QUEUE_MAX_BYTES;
}

static void join_line(dy_poll_queue_t *queue, place_t *place, int is_balancer,
		      uint64_t now_ms)
{
	if (!queue->count) {
		queue->busy_ms = now_ms;
		queue->taken = 0;
	}
	dy_list_append(is_balancer ? &queue->balancers : &queue->agents,
		       &place->link);
	queue->count++;
}

dy_poll_queue_result_t dy_poll_queue_enqueue(dy_poll_queue_t *queue,
					     const dy_address_t *from,
					     uint32_t xid, int is_balancer,
					     const uint8_t *bytes, size_t len,
					     uint64_t now_ms)
{
	place_t *place = has_room(queue, len) ? keep_place(queue, from) : NULL;
	dy_poll_queue_result_t result = DY_POLL_REPLACED;

	if (!place)
		return DY_POLL_FULL;
	if (place->answering && place->answering_xid == xid)
		return DY_POLL_DUPLICATE;
	if (!place->bytes) {
		join_line(queue, place, is_balancer, now_ms);
		result = DY_POLL_QUEUED;
	}
	g_free(place->bytes);
	place->bytes = g_memdup2(bytes, len);
	queue->bytes += len - place->len;
	place->len = len;
	place->xid = xid;
	place->arrived_ms = now_ms;
	return result;
}

static place_t *first_of(dy_list_t *line)
{
	return dy_list_empty(line) ? NULL
				   : DY_LIST_ITEM(line->next, place_t, link);
}

static place_t *choose(dy_poll_queue_t *queue)
{
	place_t *balancer = first_of(&queue->balancers);
	place_t *agent = first_of(&queue->agents);

	if (balancer && agent &&
	    queue->burst + 1 < DY_POLL_QUEUE_AGENT_INTERVAL) {
		queue->burst++;
		return balancer;
	}
	queue->burst = 0;
	return agent ? agent : balancer;
}

/* Polls are taken as fast as the owner can: so long lasts one. */
static void note_cost(dy_poll_queue_t *queue, uint64_t now_ms)
{
	uint64_t seen_us;

	if (queue->taken < DY_POLL_QUEUE_MIN_SAMPLES)
		return;
	seen_us = (now_ms - queue->busy_ms) * 1000 / queue->taken;
	queue->cost_us =
		queue->cost_us ? (queue->cost_us + seen_us) / 2 : seen_us;
	queue->cost_ms = now_ms;
	queue->busy_ms = now_ms;
	queue->taken = 0;
}

uint64_t dy_poll_queue_interval_ms(const dy_poll_queue_t *queue,
				   unsigned members, uint64_t now_ms)
{
	uint64_t halves =
		(now_ms - queue->cost_ms) / DY_POLL_QUEUE_COST_HALF_LIFE_MS;
	uint64_t cost_us = halves < 32 ? queue->cost_us >> halves : 0;

	return members * cost_us / (10 * DY_POLL_QUEUE_CPU_PERCENT);
}

int dy_poll_queue_dequeue(dy_poll_queue_t *queue, uint64_t now_ms,
			  dy_queued_poll_t *poll)
{
	place_t *place;

	while ((place = choose(queue))) {
		poll->bytes = place->bytes;
		poll->len = place->len;
		leave_line(queue, place);
		if (now_ms - place->arrived_ms < DY_POLL_QUEUE_TIMEOUT_MS)
			break;
		queue->aged++;
		g_free(poll->bytes);
		drop_if_idle(queue, place);
	}
	if (!place)
		return 0;
	poll->from = place->from;
	poll->xid = place->xid;
	place->answering = 1;
	place->answering_xid = place->xid;
	if (!queue->count || queue->taken >= 16 * DY_POLL_QUEUE_MIN_SAMPLES)
		note_cost(queue, now_ms);
	queue->taken++;
	return 1;
}

void dy_poll_queue_complete(dy_poll_queue_t *queue, const dy_address_t *from,
			    uint32_t xid)
{
	place_t *place = g_hash_table_lookup(queue->places, from);

	if (!place || !place->answering || place->answering_xid != xid)
		return;
	place->answering = 0;
	drop_if_idle(queue, place);
}

unsigned dy_poll_queue_count(const dy_poll_queue_t *queue)
{
	return queue->count;
}

uint64_t dy_poll_queue_expired(const dy_poll_queue_t *queue)
{
	return queue->aged;
}
