#ifndef DAMASKYARD_FLOW_LEDGER_H
#define DAMASKYARD_FLOW_LEDGER_H

/*
 * The ledger of open flows that a control keeps: for each agent the latest
 * complete list of the flows that its target held. This module does no I/O.
 *
 * Load pattern: all power is lost. Targets restart without any flows, while
 * callers keep theirs open, and no process is left that had a record of them.
 * Without it: a caller learns that a flow is dead only when it uses the flow,
 * and loses a request that must not be repeated.
 * Mechanism: agents write their lists of open flows to some controls and read
 * them back at their start. They reset the flows of earlier instances of the
 * target before the callers use them.
 *
 * The ledger is a hint. A flow that is not listed is found dead later, as
 * without the ledger, and nothing waits for it. A list expires after a short
 * time, which includes the time without power: a reset must carry a sequence
 * number near the caller's last acknowledgement, and that number moves on.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "dy_ledger.h"

/*
 * Capacity in flows over all lists; a list beyond it is refused. Each flow
 * takes 20 bytes, so this is 4 MB.
 */
#define DY_LEDGER_FLOWS_MAX 200000

/* Maximum number of parts of one list: 3,072 flows. */
#define DY_LEDGER_PARTS_MAX 64

/*
 * Returns the number of controls to which an agent writes each list: one more
 * than the number of disks that may be lost at once, limited to the number of
 * controls. losses 0 counts as 1.
 */
unsigned dy_flow_ledger_copies(unsigned losses, unsigned controls);

/*
 * Time to live of a list in list intervals: the list may be one interval old,
 * writing it takes up to another one, and the third covers the power outage.
 */
#define DY_LEDGER_TTL_INTERVALS 3

/*
 * Maximum distance in bytes between the sequence number of a reset and the
 * caller's last acknowledgement. A low-rate flow (flow_holder.h) advances by
 * less than this during the time to live of its list.
 */
#define DY_RESET_WINDOW_BYTES 76800

/*
 * Returns the time to live of a list in ms, where interval_ms is the time
 * between two lists. It is limited such that the resets stay within
 * DY_RESET_WINDOW_BYTES.
 */
uint32_t dy_flow_ledger_ttl_ms(uint32_t interval_ms);

typedef struct dy_flow_ledger dy_flow_ledger_t;

/* Creates an empty ledger. */
dy_flow_ledger_t *dy_flow_ledger_create(void);
/* Frees ledger; NULL is allowed. */
void dy_flow_ledger_destroy(dy_flow_ledger_t *ledger);

/*
 * Adds a part of a list; part is copied. Once all parts have arrived, in any
 * order, the list replaces the agent's previous one. Returns 1 if this part
 * completed the list and the list was stored. Returns 0 otherwise, also for an
 * invalid part, for one of an earlier list, and for a list beyond the capacity.
 */
int dy_flow_ledger_add_part(dy_flow_ledger_t *ledger,
			    const dy_ledger_part_t *part);

/*
 * Calls each() for every part of the agent's list. part is valid during the
 * call. Returns the number of parts; 0 if there is no list.
 */
typedef void dy_flow_ledger_cb_t(void *context, dy_ledger_part_t *part);
unsigned dy_flow_ledger_each_part(const dy_flow_ledger_t *ledger,
				  const char *agent, dy_flow_ledger_cb_t *each,
				  void *context);

/*
 * Appends all complete lists to bytes, in the format of dy_flow_ledger_load().
 */
void dy_flow_ledger_write(const dy_flow_ledger_t *ledger, GByteArray *bytes);

/*
 * Adds the lists that dy_flow_ledger_write() wrote. Reading stops at the first
 * part that cannot be decoded; the parts before it are kept.
 */
void dy_flow_ledger_load(dy_flow_ledger_t *ledger, const uint8_t *bytes,
			 size_t len);

#endif
