#include "damaskyard/poll_queue.h"

#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "damaskyard/list.h"

/* A sender with a queued poll, with a poll being answered, or both. */
typedef struct sender {
	dy_address_t from;
	dy_list_t link; /* in balancers or agents, if bytes is set */
	uint64_t received_ms;
	uint32_t xid;
	uint32_t answering_xid;
	int answering;
	uint8_t *bytes;
	size_t len;
} sender_t;

struct dy_poll_queue {
	GHashTable *senders; /* by address */
	dy_list_t balancers;
	dy_list_t agents;
	unsigned count;
	size_t bytes;		   /* of all queued polls */
	unsigned balancers_in_row; /* balancers dequeued since the last agent */
	uint64_t expired;
	uint64_t busy_since_ms;	  /* start of the busy period */
	unsigned dequeued;	  /* polls dequeued since then */
	uint64_t cost_us;	  /* cost of a poll; 0: no sample yet */
	uint64_t cost_sampled_ms; /* time of the last sample */
};

static guint hash_address(gconstpointer key)
{
	return (guint)XXH3_64bits(key, sizeof(dy_address_t));
}

static gboolean equal_address(gconstpointer a, gconstpointer b)
{
	return dy_address_equal(a, b);
}

static void free_sender(void *data)
{
	sender_t *sender = data;

	g_free(sender->bytes);
	g_free(sender);
}

dy_poll_queue_t *dy_poll_queue_create(void)
{
	dy_poll_queue_t *queue = g_new0(dy_poll_queue_t, 1);

	queue->senders = g_hash_table_new_full(hash_address, equal_address,
					       NULL, free_sender);
	dy_list_init(&queue->balancers);
	dy_list_init(&queue->agents);
	return queue;
}

void dy_poll_queue_destroy(dy_poll_queue_t *queue)
{
	if (!queue)
		return;
	g_hash_table_destroy(queue->senders);
	g_free(queue);
}

static sender_t *get_sender(dy_poll_queue_t *queue, const dy_address_t *from)
{
	sender_t *sender = g_hash_table_lookup(queue->senders, from);

	if (sender)
		return sender;
	if (g_hash_table_size(queue->senders) >= DY_POLL_QUEUE_MAX_SENDERS)
		return NULL;
	sender = g_new0(sender_t, 1);
	sender->from = *from;
	dy_list_init(&sender->link);
	g_hash_table_insert(queue->senders, &sender->from, sender);
	return sender;
}

static void unlink_sender(dy_poll_queue_t *queue, sender_t *sender)
{
	dy_list_remove(&sender->link);
	queue->bytes -= sender->len;
	sender->bytes = NULL;
	sender->len = 0;
	queue->count--;
}

static void remove_if_idle(dy_poll_queue_t *queue, sender_t *sender)
{
	if (!sender->bytes && !sender->answering)
		g_hash_table_remove(queue->senders, &sender->from);
}

static int fits(const dy_poll_queue_t *queue, size_t len)
{
	return len <= DY_POLL_QUEUE_MAX_POLL_BYTES &&
	       queue->bytes + len <= DY_POLL_QUEUE_MAX_BYTES;
}

static void link_sender(dy_poll_queue_t *queue, sender_t *sender,
			int is_balancer, uint64_t now_ms)
{
	if (!queue->count) {
		queue->busy_since_ms = now_ms;
		queue->dequeued = 0;
	}
	dy_list_append(is_balancer ? &queue->balancers : &queue->agents,
		       &sender->link);
	queue->count++;
}

dy_poll_queue_result_t dy_poll_queue_enqueue(dy_poll_queue_t *queue,
					     const dy_address_t *from,
					     uint32_t xid, int is_balancer,
					     const uint8_t *bytes, size_t len,
					     uint64_t now_ms)
{
	sender_t *sender = fits(queue, len) ? get_sender(queue, from) : NULL;
	dy_poll_queue_result_t result = DY_POLL_REPLACED;

	if (!sender)
		return DY_POLL_FULL;
	if (sender->answering && sender->answering_xid == xid)
		return DY_POLL_DUPLICATE;
	if (!sender->bytes) {
		link_sender(queue, sender, is_balancer, now_ms);
		result = DY_POLL_QUEUED;
	}
	g_free(sender->bytes);
	sender->bytes = g_memdup2(bytes, len);
	queue->bytes += len - sender->len;
	sender->len = len;
	sender->xid = xid;
	sender->received_ms = now_ms;
	return result;
}

static sender_t *first_of(dy_list_t *list)
{
	return dy_list_empty(list) ? NULL
				   : DY_LIST_ITEM(list->next, sender_t, link);
}

static sender_t *choose_next(dy_poll_queue_t *queue)
{
	sender_t *balancer = first_of(&queue->balancers);
	sender_t *agent = first_of(&queue->agents);

	if (balancer && agent &&
	    queue->balancers_in_row + 1 < DY_POLL_QUEUE_AGENT_INTERVAL) {
		queue->balancers_in_row++;
		return balancer;
	}
	queue->balancers_in_row = 0;
	return agent ? agent : balancer;
}

/*
 * Updates the cost of a poll. In a busy period the owner dequeues as fast as it
 * can, so the cost is the mean time between two polls.
 */
static void update_cost(dy_poll_queue_t *queue, uint64_t now_ms)
{
	uint64_t sample_us;

	if (queue->dequeued < DY_POLL_QUEUE_MIN_SAMPLES)
		return;
	sample_us = (now_ms - queue->busy_since_ms) * 1000 / queue->dequeued;
	queue->cost_us =
		queue->cost_us ? (queue->cost_us + sample_us) / 2 : sample_us;
	queue->cost_sampled_ms = now_ms;
	queue->busy_since_ms = now_ms;
	queue->dequeued = 0;
}

uint64_t dy_poll_queue_interval_ms(const dy_poll_queue_t *queue,
				   unsigned members, uint64_t now_ms)
{
	uint64_t half_lives = (now_ms - queue->cost_sampled_ms) /
			      DY_POLL_QUEUE_COST_HALF_LIFE_MS;
	uint64_t cost_us = half_lives < 32 ? queue->cost_us >> half_lives : 0;

	return members * cost_us / (10 * DY_POLL_QUEUE_CPU_PERCENT);
}

int dy_poll_queue_dequeue(dy_poll_queue_t *queue, uint64_t now_ms,
			  dy_queued_poll_t *poll)
{
	sender_t *sender;

	while ((sender = choose_next(queue))) {
		poll->bytes = sender->bytes;
		poll->len = sender->len;
		unlink_sender(queue, sender);
		if (now_ms - sender->received_ms < DY_POLL_QUEUE_TIMEOUT_MS)
			break;
		queue->expired++;
		g_free(poll->bytes);
		remove_if_idle(queue, sender);
	}
	if (!sender)
		return 0;
	poll->from = sender->from;
	poll->xid = sender->xid;
	sender->answering = 1;
	sender->answering_xid = sender->xid;
	if (!queue->count || queue->dequeued >= 16 * DY_POLL_QUEUE_MIN_SAMPLES)
		update_cost(queue, now_ms);
	queue->dequeued++;
	return 1;
}

void dy_poll_queue_complete(dy_poll_queue_t *queue, const dy_address_t *from,
			    uint32_t xid)
{
	sender_t *sender = g_hash_table_lookup(queue->senders, from);

	if (!sender || !sender->answering || sender->answering_xid != xid)
		return;
	sender->answering = 0;
	remove_if_idle(queue, sender);
}

unsigned dy_poll_queue_count(const dy_poll_queue_t *queue)
{
	return queue->count;
}

uint64_t dy_poll_queue_expired(const dy_poll_queue_t *queue)
{
	return queue->expired;
}
