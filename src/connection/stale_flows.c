#include "damaskyard/stale_flows.h"

#include <string.h>

#include <glib.h>

struct dy_stale_flows {
	const dy_flow_holder_t *holder;
	GHashTable *seen; /* all flows ever added, by id */
	GQueue pending;	  /* of dy_ledger_flow_t, owned by seen */
};

dy_stale_flows_t *dy_stale_flows_create(const dy_flow_holder_t *holder)
{
	dy_stale_flows_t *stale = g_new0(dy_stale_flows_t, 1);

	stale->holder = holder;
	stale->seen = g_hash_table_new_full(
		dy_flow_id_table_hash, dy_flow_id_table_equal, NULL, g_free);
	g_queue_init(&stale->pending);
	return stale;
}

void dy_stale_flows_destroy(dy_stale_flows_t *stale)
{
	if (!stale)
		return;
	g_queue_clear(&stale->pending);
	g_hash_table_destroy(stale->seen);
	g_free(stale);
}

/*
 * A list from the future counts by its distance: the clock may have been set
 * back.
 */
static int is_fresh(const dy_ledger_part_t *part, uint64_t time_ms)
{
	uint64_t age_ms = time_ms > part->made_ms ? time_ms - part->made_ms
						  : part->made_ms - time_ms;

	return age_ms <= part->good_ms;
}

void dy_stale_flows_add_part(dy_stale_flows_t *stale,
			     const dy_ledger_part_t *part, uint64_t time_ms)
{
	dy_ledger_flow_t *flow;
	unsigned i;

	if (!is_fresh(part, time_ms) ||
	    dy_flow_holder_instance_state(stale->holder, part->target,
					  part->born_ms) !=
		    DY_TARGET_INSTANCE_ENDED)
		return;
	for (i = 0; i < part->flows.flows_len; i++) {
		if (g_hash_table_contains(stale->seen,
					  &part->flows.flows_val[i].flow))
			continue;
		flow = g_memdup2(&part->flows.flows_val[i], sizeof(*flow));
		g_hash_table_insert(stale->seen, &flow->flow, flow);
		g_queue_push_tail(&stale->pending, flow);
	}
}

int dy_stale_flows_pop(dy_stale_flows_t *stale, dy_ledger_flow_t *flow)
{
	const dy_ledger_flow_t *next;

	while ((next = g_queue_pop_head(&stale->pending))) {
		/* The caller may have opened the flow again. */
		if (dy_flow_holder_has_flow(stale->holder, &next->flow))
			continue;
		*flow = *next;
		return 1;
	}
	return 0;
}

unsigned dy_stale_flows_count(const dy_stale_flows_t *stale)
{
	return g_queue_get_length((GQueue *)&stale->pending);
}
