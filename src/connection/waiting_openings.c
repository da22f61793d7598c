#include "damaskyard/waiting_openings.h"

#include <glib.h>

#include "damaskyard/caller_rank.h"
#include "damaskyard/list.h"

/* Weight of the newest interval between grants in their mean. */
#define NEWEST_WEIGHT (1 / 16.0)

/* The openings of one service, while there are any. */
typedef struct service_queue {
	char *name;
	dy_list_t openings; /* lowest standing first */
	unsigned count;
	unsigned grants;
	double interval_ms;  /* between grants, mean */
	uint64_t granted_ms; /* last grant, or the first opening */
} service_queue_t;

typedef struct waiting_opening {
	dy_list_t link;	    /* in the service's queue */
	dy_list_t age_link; /* in by_expiry */
	service_queue_t *queue;
	uint32_t standing;
	uint64_t since_ms;
	uint64_t reserved_ms; /* last reservation of a place for it */
	uint64_t expires_ms;
	dy_opening_t opening;
} waiting_opening_t;

struct dy_waiting_openings {
	GHashTable *by_flow;
	GHashTable *services; /* name to service_queue_t */
	dy_list_t by_expiry;  /* first to expire first */
};

static void free_queue(void *data)
{
	service_queue_t *queue = data;

	g_free(queue->name);
	g_free(queue);
}

dy_waiting_openings_t *dy_waiting_openings_create(void)
{
	dy_waiting_openings_t *waiting = g_new0(dy_waiting_openings_t, 1);

	waiting->by_flow = g_hash_table_new_full(
		dy_flow_id_table_hash, dy_flow_id_table_equal, NULL, g_free);
	waiting->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  free_queue);
	dy_list_init(&waiting->by_expiry);
	return waiting;
}

void dy_waiting_openings_destroy(dy_waiting_openings_t *waiting)
{
	if (!waiting)
		return;
	g_hash_table_destroy(waiting->by_flow);
	g_hash_table_destroy(waiting->services);
	g_free(waiting);
}

static waiting_opening_t *item(dy_list_t *link)
{
	return DY_LIST_ITEM(link, waiting_opening_t, link);
}

static service_queue_t *get_queue(dy_waiting_openings_t *waiting,
				  const char *service, uint64_t now_ms)
{
	service_queue_t *queue =
		g_hash_table_lookup(waiting->services, service);

	if (queue)
		return queue;
	queue = g_new0(service_queue_t, 1);
	queue->name = g_strdup(service);
	queue->granted_ms = now_ms;
	dy_list_init(&queue->openings);
	g_hash_table_insert(waiting->services, queue->name, queue);
	return queue;
}

static unsigned count_of_caller(service_queue_t *queue, uint32_t caller_ip)
{
	unsigned count = 0;
	dy_list_t *pos;

	DY_LIST_EACH(pos, &queue->openings)
	count += item(pos)->opening.packet.flow.caller_ip == caller_ip;
	return count;
}

static unsigned count_ahead(service_queue_t *queue, uint32_t standing)
{
	unsigned count = 0;
	dy_list_t *pos;

	DY_LIST_EACH(pos, &queue->openings)
	{
		if (item(pos)->standing > standing)
			break;
		count++;
	}
	return count;
}

static int waits_too_long(service_queue_t *queue, uint32_t standing,
			  uint64_t wait_max_ms)
{
	return queue->grants >= DY_GRANT_RATE_SAMPLES &&
	       count_ahead(queue, standing) * queue->interval_ms >
		       (double)wait_max_ms;
}

static void insert_by_standing(service_queue_t *queue,
			       waiting_opening_t *opening)
{
	dy_list_t *pos = queue->openings.prev;

	while (pos != &queue->openings &&
	       item(pos)->standing > opening->standing)
		pos = pos->prev;
	dy_list_append(pos->next, &opening->link);
}

static void insert_by_expiry(dy_waiting_openings_t *waiting,
			     waiting_opening_t *opening)
{
	dy_list_t *pos = waiting->by_expiry.prev;

	while (pos != &waiting->by_expiry &&
	       DY_LIST_ITEM(pos, waiting_opening_t, age_link)->expires_ms >
		       opening->expires_ms)
		pos = pos->prev;
	dy_list_append(pos->next, &opening->age_link);
}

int dy_waiting_openings_add(dy_waiting_openings_t *waiting,
			    const dy_opening_claim_t *claim,
			    const dy_flow_forward_t *forward,
			    const dy_packet_t *packet, uint64_t now_ms,
			    uint32_t *standing)
{
	waiting_opening_t *opening;
	service_queue_t *queue;

	if (g_hash_table_size(waiting->by_flow) >= DY_WAITING_OPENINGS_MAX ||
	    now_ms - claim->since_ms >= claim->wait_max_ms)
		return 0;
	queue = get_queue(waiting, claim->service, now_ms);
	*standing = dy_opening_standing(
		claim->priority, count_of_caller(queue, packet->flow.caller_ip),
		claim->rank);
	if (waits_too_long(queue, *standing, claim->wait_max_ms))
		return 0;
	queue->count++;
	opening = g_new0(waiting_opening_t, 1);
	opening->queue = queue;
	opening->standing = *standing;
	opening->since_ms = claim->since_ms;
	opening->reserved_ms = now_ms;
	opening->expires_ms = claim->since_ms + claim->wait_max_ms;
	dy_opening_set(&opening->opening, forward, packet);
	insert_by_standing(queue, opening);
	insert_by_expiry(waiting, opening);
	g_hash_table_insert(waiting->by_flow, &opening->opening.packet.flow,
			    opening);
	return 1;
}

int dy_waiting_openings_has(const dy_waiting_openings_t *waiting,
			    const dy_flow_id_t *flow)
{
	return g_hash_table_contains(waiting->by_flow, flow);
}

/* Removes an opening, and its queue if that is empty then. */
static void drop(dy_waiting_openings_t *waiting, waiting_opening_t *opening)
{
	dy_list_remove(&opening->link);
	dy_list_remove(&opening->age_link);
	if (!--opening->queue->count)
		g_hash_table_remove(waiting->services, opening->queue->name);
	g_hash_table_remove(waiting->by_flow, &opening->opening.packet.flow);
}

int dy_waiting_openings_remove(dy_waiting_openings_t *waiting,
			       const dy_flow_id_t *flow)
{
	waiting_opening_t *opening =
		g_hash_table_lookup(waiting->by_flow, flow);

	if (!opening)
		return 0;
	drop(waiting, opening);
	return 1;
}

static void take(dy_waiting_openings_t *waiting, waiting_opening_t *from,
		 dy_waited_opening_t *waited)
{
	dy_opening_set(&waited->opening, &from->opening.stored.forward,
		       &from->opening.packet);
	g_strlcpy(waited->service, from->queue->name, sizeof(waited->service));
	waited->priority = dy_standing_priority(from->standing);
	waited->since_ms = from->since_ms;
	drop(waiting, from);
}

/* Returns the first opening of the lowest priority that waits. */
static waiting_opening_t *first_of_lowest(service_queue_t *queue)
{
	dy_list_t *pos = queue->openings.prev;
	unsigned lowest = dy_standing_priority(item(pos)->standing);

	while (pos->prev != &queue->openings &&
	       dy_standing_priority(item(pos->prev)->standing) == lowest)
		pos = pos->prev;
	return item(pos);
}

static void record_grant(service_queue_t *queue, uint64_t now_ms)
{
	double interval_ms = (double)(now_ms - queue->granted_ms);

	if (!queue->grants++)
		queue->interval_ms = interval_ms;
	else
		queue->interval_ms +=
			(interval_ms - queue->interval_ms) * NEWEST_WEIGHT;
	queue->granted_ms = now_ms;
}

int dy_waiting_openings_pop(dy_waiting_openings_t *waiting, const char *service,
			    uint64_t now_ms, dy_waited_opening_t *waited)
{
	service_queue_t *queue =
		g_hash_table_lookup(waiting->services, service);

	if (!queue)
		return 0;
	record_grant(queue, now_ms);
	take(waiting,
	     queue->grants % DY_PRIORITY_FLOOR ? item(queue->openings.next)
					       : first_of_lowest(queue),
	     waited);
	return 1;
}

int dy_waiting_openings_pop_expired(dy_waiting_openings_t *waiting,
				    uint64_t now_ms,
				    dy_waited_opening_t *waited)
{
	waiting_opening_t *first;

	if (dy_list_empty(&waiting->by_expiry))
		return 0;
	first = DY_LIST_ITEM(waiting->by_expiry.next, waiting_opening_t,
			     age_link);
	if (first->expires_ms > now_ms)
		return 0;
	take(waiting, first, waited);
	return 1;
}

int dy_waiting_openings_pop_unmatched(dy_waiting_openings_t *waiting,
				      dy_waiting_match_cb_t *matches,
				      void *context,
				      dy_waited_opening_t *waited)
{
	waiting_opening_t *opening;
	dy_list_t *pos;

	DY_LIST_EACH(pos, &waiting->by_expiry)
	{
		opening = DY_LIST_ITEM(pos, waiting_opening_t, age_link);
		if (matches(context, &opening->opening.packet.flow,
			    opening->queue->name))
			continue;
		take(waiting, opening, waited);
		return 1;
	}
	return 0;
}

int dy_waiting_openings_next(const dy_waiting_openings_t *waiting,
			     const char *service, dy_flow_id_t *flow,
			     uint32_t *standing)
{
	const service_queue_t *queue =
		g_hash_table_lookup(waiting->services, service);
	const waiting_opening_t *next;

	if (!queue)
		return 0;
	next = item(queue->openings.next);
	*flow = next->opening.packet.flow;
	*standing = next->standing;
	return 1;
}

const char *dy_waiting_openings_find_overdue(dy_waiting_openings_t *waiting,
					     uint64_t now_ms,
					     dy_flow_id_t *flow,
					     uint32_t *standing)
{
	waiting_opening_t *opening;
	dy_list_t *pos;

	DY_LIST_EACH(pos, &waiting->by_expiry)
	{
		opening = DY_LIST_ITEM(pos, waiting_opening_t, age_link);
		if (now_ms - opening->reserved_ms < DY_RESERVATION_RENEW_MS)
			continue;
		opening->reserved_ms = now_ms;
		*flow = opening->opening.packet.flow;
		*standing = opening->standing;
		return opening->queue->name;
	}
	return NULL;
}

unsigned dy_waiting_openings_count(const dy_waiting_openings_t *waiting,
				   const char *service)
{
	const service_queue_t *queue;

	if (!service)
		return g_hash_table_size(waiting->by_flow);
	queue = g_hash_table_lookup(waiting->services, service);
	return queue ? queue->count : 0;
}
