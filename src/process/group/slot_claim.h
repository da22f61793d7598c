#ifndef DAMASKYARD_SLOT_CLAIM_H
#define DAMASKYARD_SLOT_CLAIM_H

/*
 * A control's place in an open group, found before it starts.
 *
 * The first start of all: the seeds, in the order of their addresses, are the
 * founders, and need ask nobody. A control whose folder holds a store keeps
 * its slot. Any other asks the seeds, and whom they name, until the leader
 * gives it one.
 */

#include <glib.h>

#include "damaskyard/control.h"
#include "damaskyard/flow_settings.h"

/*
 * Find slot and peers for options, whose folder, group, listen and secrets
 * are set. Runs a loop of its own while it asks. Returns 1, 0 if it was told
 * to stop meanwhile, or -1 with error set.
 */
int slot_claim_run(dy_control_options_t *options,
		   const dy_flow_settings_t *settings, GError **error);

#endif
