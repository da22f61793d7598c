#include "damaskyard/stale_flows.h"

#include <string.h>

#include <glib.h>

struct dy_stale_flows {
	const dy_flow_holder_t *holder;
	GHashTable *seen; /* of all that were taken, by flow */
	GQueue waiting;	  /* of dy_ledger_flow_t, which seen owns */
};

dy_stale_flows_t *dy_stale_flows_create(const dy_flow_holder_t *holder)
{
	dy_stale_flows_t *former = g_new0(dy_stale_flows_t, 1);

	former->holder = holder;
	former->seen = g_hash_table_new_full(
		dy_flow_id_table_hash, dy_flow_id_table_equal, NULL, g_free);
	g_queue_init(&former->waiting);
	return former;
}

void dy_stale_flows_destroy(dy_stale_flows_t *former)
{
	if (!former)
		return;
	g_queue_clear(&former->waiting);
	g_hash_table_destroy(former->seen);
	g_free(former);
}

/* Also one that was made in the future, by a clock that was set back since. */
static int is_believed(const dy_ledger_part_t *part, uint64_t time_ms)
{
	uint64_t age_ms = time_ms > part->made_ms ? time_ms - part->made_ms
						  : part->made_ms - time_ms;

	return age_ms <= part->good_ms;
}

void dy_stale_flows_add_part(dy_stale_flows_t *former,
			     const dy_ledger_part_t *part, uint64_t time_ms)
{
	dy_ledger_flow_t *flow;
	unsigned i;

	if (!is_believed(part, time_ms) ||
	    dy_flow_holder_instance_state(former->holder, part->target,
					  part->born_ms) !=
		    DY_TARGET_INSTANCE_ENDED)
		return;
	for (i = 0; i < part->flows.flows_len; i++) {
		if (g_hash_table_contains(former->seen,
					  &part->flows.flows_val[i].flow))
			continue;
		flow = g_memdup2(&part->flows.flows_val[i], sizeof(*flow));
		g_hash_table_insert(former->seen, &flow->flow, flow);
		g_queue_push_tail(&former->waiting, flow);
	}
}

int dy_stale_flows_pop(dy_stale_flows_t *former, dy_ledger_flow_t *flow)
{
	const dy_ledger_flow_t *next;

	while ((next = g_queue_pop_head(&former->waiting))) {
		/* Its caller may have opened it anew. */
		if (dy_flow_holder_has_flow(former->holder, &next->flow))
			continue;
		*flow = *next;
		return 1;
	}
	return 0;
}

unsigned dy_stale_flows_count(const dy_stale_flows_t *former)
{
	return g_queue_get_length((GQueue *)&former->waiting);
}
