#include "damaskyard/stale_flows.h"

#include <string.h>

#include <glib.h>

/* The flows of one part of a list. */
typedef struct stale_part {
	char *target;
	uint64_t born_ms;
	uint64_t made_ms;
	uint32_t good_ms;
	GQueue pending; /* of dy_ledger_flow_t, owned by seen */
} stale_part_t;

struct dy_stale_flows {
	const dy_flow_holder_t *holder;
	GHashTable *seen; /* all flows ever added, by id */
	GQueue parts;	  /* of stale_part_t */
};

dy_stale_flows_t *dy_stale_flows_create(const dy_flow_holder_t *holder)
{
	dy_stale_flows_t *stale = g_new0(dy_stale_flows_t, 1);

	stale->holder = holder;
	stale->seen = g_hash_table_new_full(
		dy_flow_id_table_hash, dy_flow_id_table_equal, NULL, g_free);
	g_queue_init(&stale->parts);
	return stale;
}

static void destroy_part(void *data)
{
	stale_part_t *part = data;

	g_queue_clear(&part->pending);
	g_free(part->target);
	g_free(part);
}

void dy_stale_flows_destroy(dy_stale_flows_t *stale)
{
	if (!stale)
		return;
	g_queue_clear_full(&stale->parts, destroy_part);
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

static void add_flow(dy_stale_flows_t *stale, stale_part_t *part,
		     const dy_ledger_flow_t *item)
{
	dy_ledger_flow_t *flow;

	if (g_hash_table_contains(stale->seen, &item->flow))
		return;
	flow = g_memdup2(item, sizeof(*flow));
	g_hash_table_insert(stale->seen, &flow->flow, flow);
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
	added->target = g_strdup(part->target);
	added->born_ms = part->born_ms;
	added->made_ms = part->made_ms;
	added->good_ms = part->good_ms;
	g_queue_push_tail(&stale->parts, added);
	for (i = 0; i < part->flows.flows_len; i++)
		add_flow(stale, added, &part->flows.flows_val[i]);
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
	const dy_ledger_flow_t *next;

	while ((next = g_queue_pop_head(&part->pending))) {
		/* The caller may have opened the flow again. */
		if (dy_flow_holder_has_flow(stale->holder, &next->flow))
			continue;
		*flow = *next;
		return 1;
	}
	return 0;
}

int dy_stale_flows_pop(dy_stale_flows_t *stale, dy_ledger_flow_t *flow)
{
	dy_target_instance_state_t state;
	stale_part_t *part;
	GList *link;
	GList *next;

	for (link = stale->parts.head; link; link = next) {
		next = link->next;
		part = link->data;
		state = dy_flow_holder_instance_state(
			stale->holder, part->target, part->born_ms);
		if (state == DY_TARGET_INSTANCE_ENDED &&
		    pop_flow(stale, part, flow))
			return 1;
		if (state == DY_TARGET_INSTANCE_ENDED ||
		    state == DY_TARGET_INSTANCE_CURRENT)
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
