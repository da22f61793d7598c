#ifndef DAMASKYARD_STALE_FLOWS_H
#define DAMASKYARD_STALE_FLOWS_H

/*
 * Flows that were open at an earlier start of a target, by the lists of the
 * ledger (flow_ledger.h), and are to be reset. No network.
 *
 * Each is reset once. A list is taken only if its start of the target is over
 * for certain, and while it is believed: beyond that the caller's last
 * acknowledgement may be too far from the one that was listed.
 */

#include "damaskyard/flow_holder.h"
#include "dy_ledger.h"

typedef struct dy_stale_flows dy_stale_flows_t;

/* holder must outlive them. */
dy_stale_flows_t *dy_stale_flows_create(const dy_flow_holder_t *holder);
void dy_stale_flows_destroy(dy_stale_flows_t *former);

/* Take a part of a list; time_ms is the time of day at this agent. */
void dy_stale_flows_add_part(dy_stale_flows_t *former,
			     const dy_ledger_part_t *part, uint64_t time_ms);

/* Take out one that is to be reset. Returns 0 if there is none. */
int dy_stale_flows_pop(dy_stale_flows_t *former, dy_ledger_flow_t *flow);

/* How many are to be reset. */
unsigned dy_stale_flows_count(const dy_stale_flows_t *former);

#endif
