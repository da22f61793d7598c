#include "damaskyard/stale_flows.h"

#include <string.h>

#include <glib.h>

/* Listed flows of an instance that the target gave back once it has ended. */
#define RETURNED_MIN 2

/* An instance of the target that flows are listed under. */
typedef struct listed_instance {
	char *target;
	uint64_t born_ms;
	unsigned returned; /* flows that the target gave back */
	int answered;	   /* the target sent a packet on one of its flows */
} listed_instance_t;

typedef struct listed_flow {
	dy_ledger_flow_t flow;
	listed_instance_t *instance;
	int returned;
} listed_flow_t;

/* The flows of one part of a list. */
typedef struct stale_part {
	listed_instance_t *instance;
	uint64_t made_ms;
	uint32_t good_ms;
	GQueue pending; /* of listed_flow_t, owned by seen */
} stale_part_t;

struct dy_stale_flows {
	const dy_flow_holder_t *holder;
	GHashTable *seen; /* of listed_flow_t, all ever added, by id */
	GQueue parts;	  /* of stale_part_t */
	GQueue instances; /* of listed_instance_t */
};

dy_stale_flows_t *dy_stale_flows_create(const dy_flow_holder_t *holder)
{
	dy_stale_flows_t *stale = g_new0(dy_stale_flows_t, 1);

	stale->holder = holder;
	stale->seen = g_hash_table_new_full(
		dy_flow_id_table_hash, dy_flow_id_table_equal, NULL, g_free);
	g_queue_init(&stale->parts);
	g_queue_init(&stale->instances);
	return stale;
}

static void destroy_part(void *data)
{
	stale_part_t *part = data;

	g_queue_clear(&part->pending);
	g_free(part);
}

static void destroy_instance(void *data)
{
	listed_instance_t *instance = data;

	g_free(instance->target);
	g_free(instance);
}

void dy_stale_flows_destroy(dy_stale_flows_t *stale)
{
	if (!stale)
		return;
	g_queue_clear_full(&stale->parts, destroy_part);
	g_queue_clear_full(&stale->instances, destroy_instance);
	g_hash_table_destroy(stale->seen);
	g_free(stale);
}

/*
 * A list from the future counts by its distance: the clock may have been set
 * back.
 */
static int is_fresh(uint64_t made_ms, uint32_t good_ms, uint64_t time_ms)
{
	uint64_t age_ms =
		time_ms > made_ms ? time_ms - made_ms : made_ms - time_ms;

	return age_ms <= good_ms;
}

static listed_instance_t *get_instance(dy_stale_flows_t *stale,
				       const dy_ledger_part_t *part)
{
	listed_instance_t *instance;
	const GList *link;

	for (link = stale->instances.head; link; link = link->next) {
		instance = link->data;
		if (instance->born_ms == part->born_ms &&
		    !strcmp(instance->target, part->target))
			return instance;
	}
	instance = g_new0(listed_instance_t, 1);
	instance->target = g_strdup(part->target);
	instance->born_ms = part->born_ms;
	g_queue_push_tail(&stale->instances, instance);
	return instance;
}

static void add_flow(dy_stale_flows_t *stale, stale_part_t *part,
		     const dy_ledger_flow_t *item)
{
	listed_flow_t *flow;

	if (g_hash_table_contains(stale->seen, &item->flow))
		return;
	flow = g_new0(listed_flow_t, 1);
	flow->flow = *item;
	flow->instance = part->instance;
	g_hash_table_insert(stale->seen, &flow->flow.flow, flow);
	g_queue_push_tail(&part->pending, flow);
}

void dy_stale_flows_add_part(dy_stale_flows_t *stale,
			     const dy_ledger_part_t *part, uint64_t time_ms)
{
	dy_target_instance_state_t state = dy_flow_holder_instance_state(
		stale->holder, part->target, part->born_ms);
	stale_part_t *added;
	unsigned i;

	if (!is_fresh(part->made_ms, part->good_ms, time_ms) ||
	    state == DY_TARGET_INSTANCE_UNKNOWN ||
	    state == DY_TARGET_INSTANCE_CURRENT)
		return;
	added = g_new0(stale_part_t, 1);
	added->instance = get_instance(stale, part);
	added->made_ms = part->made_ms;
	added->good_ms = part->good_ms;
	g_queue_push_tail(&stale->parts, added);
	for (i = 0; i < part->flows.flows_len; i++)
		add_flow(stale, added, &part->flows.flows_val[i]);
}

void dy_stale_flows_note_packet(dy_stale_flows_t *stale,
				const dy_flow_id_t *flow, int returned)
{
	listed_flow_t *listed;

	if (g_queue_is_empty(&stale->parts))
		return;
	listed = g_hash_table_lookup(stale->seen, flow);
	/* What the holder knows was opened again, or has been noted. */
	if (!listed || dy_flow_holder_has_flow(stale->holder, flow))
		return;
	if (!returned)
		listed->instance->answered = 1;
	else if (!listed->returned)
		listed->instance->returned++;
	listed->returned |= returned;
}

static void drop_part(dy_stale_flows_t *stale, GList *link)
{
	destroy_part(link->data);
	g_queue_delete_link(&stale->parts, link);
}

void dy_stale_flows_expire(dy_stale_flows_t *stale, uint64_t time_ms)
{
	GList *link;
	GList *next;

	for (link = stale->parts.head; link; link = next) {
		const stale_part_t *part = link->data;

		next = link->next;
		if (!is_fresh(part->made_ms, part->good_ms, time_ms))
			drop_part(stale, link);
	}
}

static int pop_flow(const dy_stale_flows_t *stale, stale_part_t *part,
		    dy_ledger_flow_t *flow)
{
	const listed_flow_t *next;

	while ((next = g_queue_pop_head(&part->pending))) {
		/* The caller may have opened the flow again. */
		if (dy_flow_holder_has_flow(stale->holder, &next->flow.flow))
			continue;
		*flow = next->flow;
		return 1;
	}
	return 0;
}

static int has_ended(const listed_instance_t *instance,
		     dy_target_instance_state_t state)
{
	return state == DY_TARGET_INSTANCE_ENDED ||
	       (state == DY_TARGET_INSTANCE_EARLIER &&
		instance->returned >= RETURNED_MIN && !instance->answered);
}

int dy_stale_flows_pop(dy_stale_flows_t *stale, dy_ledger_flow_t *flow)
{
	dy_target_instance_state_t state;
	stale_part_t *part;
	GList *link;
	GList *next;
	int ended;

	for (link = stale->parts.head; link; link = next) {
		next = link->next;
		part = link->data;
		state = dy_flow_holder_instance_state(stale->holder,
						      part->instance->target,
						      part->instance->born_ms);
		ended = has_ended(part->instance, state);
		if (ended && pop_flow(stale, part, flow))
			return 1;
		if (ended || state == DY_TARGET_INSTANCE_CURRENT)
			drop_part(stale, link);
	}
	return 0;
}

unsigned dy_stale_flows_count(const dy_stale_flows_t *stale)
{
	const GList *link;
	unsigned count = 0;

	for (link = stale->parts.head; link; link = link->next)
		count += g_queue_get_length(
			&((stale_part_t *)link->data)->pending);
	return count;
}
