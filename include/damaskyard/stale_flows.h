#ifndef DAMASKYARD_STALE_FLOWS_H
#define DAMASKYARD_STALE_FLOWS_H

/*
 * Flows that were open at an earlier instance of the target and have to be
 * reset. They come from the lists of the ledger (flow_ledger.h). This module
 * does no I/O.
 *
 * Each flow is reset once. A list is used only if its instance of the target
 * has certainly ended, and only within the list's time to live: later, the
 * caller's last acknowledgement may be too far from the listed one for a valid
 * reset. The end is certain by the holder's evidence, or if an instance that
 * started later by its own account has sent a notice and the target gave back
 * two of the listed flows and answered on none: one may have ended since the
 * list was made. Until the end is certain the list waits, and the holder is
 * asked again before each reset: a list whose instance proves to be the live
 * one is dropped.
 */

#include "damaskyard/flow_holder.h"
#include "dy_ledger.h"

typedef struct dy_stale_flows dy_stale_flows_t;

/* Creates an empty set of flows; holder must outlive it. */
dy_stale_flows_t *dy_stale_flows_create(const dy_flow_holder_t *holder);
/* Frees stale; NULL is allowed. */
void dy_stale_flows_destroy(dy_stale_flows_t *stale);

/*
 * Adds the flows of a part of a list, unless the list is expired, its instance
 * runs or no target is known; part is copied. time_ms is the agent's time of
 * day.
 */
void dy_stale_flows_add_part(dy_stale_flows_t *stale,
			     const dy_ledger_part_t *part, uint64_t time_ms);

/*
 * Records that the target gave a packet of this flow back, or else sent one.
 * Call it before the holder handles the packet.
 */
void dy_stale_flows_note_packet(dy_stale_flows_t *stale,
				const dy_flow_id_t *flow, int returned);

/* Drops the flows of lists that are expired. time_ms is the time of day. */
void dy_stale_flows_expire(dy_stale_flows_t *stale, uint64_t time_ms);

/*
 * Removes the next flow to reset and stores it in flow. Flows that are open
 * again at the holder are skipped. Returns 0 if there is none whose instance
 * has certainly ended.
 */
int dy_stale_flows_pop(dy_stale_flows_t *stale, dy_ledger_flow_t *flow);

/*
 * Returns the number of flows in the set, including those that
 * dy_stale_flows_pop() will skip, or whose instance may still run.
 */
unsigned dy_stale_flows_count(const dy_stale_flows_t *stale);

#endif
