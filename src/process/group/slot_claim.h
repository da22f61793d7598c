#ifndef DAMASKYARD_SLOT_CLAIM_H
#define DAMASKYARD_SLOT_CLAIM_H

/*
 * Claims a slot in an open group, before the control starts.
 *
 * At the first start of the group the seeds take the slots in the order of
 * their addresses, without asking anybody. A control whose data folder has a
 * store keeps its slot. Any other control asks the seeds, and the leader that
 * they name, until the leader assigns it a slot.
 *
 * What a claim was told is kept in the data folder (slot_record.h) before it is
 * used, so that a restart continues as the first start would have.
 */

#include <glib.h>

#include "damaskyard/control.h"
#include "damaskyard/flow_settings.h"

/*
 * Set slot, peers and joins_running_group of options, whose folder, group,
 * listen and secrets must be set. Runs an event loop of its own while it waits
 * for a slot, and reads the seeds in path again at SIGHUP and each
 * FLOW_SETTINGS_RELOAD_INTERVAL_MS. Returns 1, 0 if it was told to stop while
 * it waited, or -1 with error set.
 */
int slot_claim_run(dy_control_options_t *options, dy_flow_settings_t *settings,
		   const char *path, GError **error);

#endif
