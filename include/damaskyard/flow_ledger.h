#ifndef DAMASKYARD_FLOW_LEDGER_H
#define DAMASKYARD_FLOW_LEDGER_H

/*
 * The ledger of open flows that a control keeps: of each agent the last whole
 * list of the flows that its target held. No network, no disk.
 *
 * Load pattern: all power is lost. Targets start anew, without a flow; callers
 * keep theirs open, and nobody who knew them is left.
 * What happens without it: each flow is found to be over only when its caller
 * uses it, and a request that may not be repeated is lost with it.
 * What is done: agents write down at some controls which flows are open, and
 * read it back at their start. Flows of an earlier start of the target are
 * reset before their callers use them.
 *
 * It is a hint: a flow that is missing is found to be over later, as without
 * it, and nothing waits for it. A list is believed for a short time only, the
 * time without power included: a reset must name about the last byte that the
 * caller acknowledged, and that moves on.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "dy_ledger.h"

/*
 * Flows in all lists at most; a list beyond them is not taken. Each is 20
 * bytes, so these are 4 MB.
 */
#define DY_LEDGER_FLOWS_MAX 200000

/* Parts of one list at most: 3,072 flows. */
#define DY_LEDGER_PARTS_MAX 64

/*
 * How many controls an agent writes each list to: one more than the disks that
 * may be lost at once, 0 losses being taken for one, of so many controls.
 */
unsigned dy_flow_ledger_copies(unsigned losses, unsigned controls);

/*
 * For how many times the time between two lists one is believed: it is that
 * old, and as long in the writing, and power was out for a while.
 */
#define DY_LEDGER_TTL_INTERVALS 3

/*
 * How far a reset may be from the byte that its caller acknowledged last, in
 * bytes; a steady flow (flow_holder.h) moves on by less while its list is
 * believed.
 */
#define DY_RESET_WINDOW_BYTES 76800

/* How long a list is believed, in ms, where the next follows after pause_ms. */
uint32_t dy_flow_ledger_ttl_ms(uint32_t pause_ms);

typedef struct dy_flow_ledger dy_flow_ledger_t;

dy_flow_ledger_t *dy_flow_ledger_create(void);
void dy_flow_ledger_destroy(dy_flow_ledger_t *ledger);

/*
 * Take a part of a list, which is copied. The list takes the place of the
 * agent's last one once all of its parts have come. Returns 1 then, else 0.
 */
int dy_flow_ledger_add_part(dy_flow_ledger_t *ledger,
			    const dy_ledger_part_t *part);

/* Call each() for every part of an agent's list. Returns how many. */
typedef void dy_flow_ledger_cb_t(void *context, dy_ledger_part_t *part);
unsigned dy_flow_ledger_each_part(const dy_flow_ledger_t *ledger,
				  const char *agent, dy_flow_ledger_cb_t *each,
				  void *context);

/* Append all lists to bytes, for dy_flow_ledger_load(). */
void dy_flow_ledger_write(const dy_flow_ledger_t *ledger, GByteArray *bytes);

/* Take the lists that were written; what cannot be read is left out. */
void dy_flow_ledger_load(dy_flow_ledger_t *ledger, const uint8_t *bytes,
			 size_t len);

#endif
