#ifndef DAMASKYARD_CONTROL_H
#define DAMASKYARD_CONTROL_H

/*
 * The control process: one member of the control group, over a data folder,
 * a datagram socket, the replicated log and the registry.
 *
 * How a group begins, without a flag: the lowest slot of --peers founds it
 * once every other listed peer has answered that its store is empty. Every
 * other empty control says so to its peers, and the leader adds it: as a
 * learner, then, once it has caught up, in place of the identity that held
 * its slot. A control whose disk was lost comes back in the same way, as
 * somebody else, and never votes under the old identity.
 *
 * Members and operators are served only while a majority of the listed peers
 * votes, so that nothing is accepted by a group that is still being founded.
 */

#include <stdint.h>

#include <glib.h>

#include "damaskyard/address.h"
#include "damaskyard/loop.h"
#include "damaskyard/metrics.h"
#include "damaskyard/registry.h"
#include "damaskyard/secret.h"
#include "dy_raft.h"

/* Default times, in ms. */

/*
 * Six polls of 500 ms. A target that vanished gets no new flow after this;
 * a leader's election of under 1 s takes no lease away.
 */
#define DY_LEASE_MS 3000

/*
 * How long the record of a member that is gone is kept: three times the 4 h
 * after which an idle session is closed, so no session names one that is
 * forgotten.
 */
#define DY_MEMBER_KEEP_S 43200

/* A key a day; eight may be in use, so an operator can add some. */
#define DY_KEY_ROTATION_S 86400

/* Twenty polls, and thrice a lease: who missed it then is suspect. */
#define DY_KEY_DISTRIBUTE_S 10

/* Peers by slot, 1 to DY_RAFT_MEMBERS_MAX; port 0: no such slot. */
typedef struct dy_peers {
	dy_address_t slots[DY_RAFT_MEMBERS_MAX + 1];
	unsigned count;
} dy_peers_t;

/*
 * Parse "1=IP:PORT,2=IP:PORT,...". Returns FALSE with error set if an item
 * is malformed, or a slot or address stands twice.
 */
gboolean dy_peers_parse(dy_peers_t *peers, const char *text, GError **error);

/* The lowest slot of peers. */
uint32_t dy_peers_lowest(const dy_peers_t *peers);

typedef struct dy_control_options {
	uint64_t group;
	uint32_t slot;
	const char *folder;
	dy_address_t listen;
	dy_peers_t peers;
	dy_secrets_t secrets;
	dy_lease_times_t leases;
	dy_key_times_t keys;
} dy_control_options_t;

typedef struct dy_control dy_control_t;

/*
 * Create a control on loop. options is copied; loop and metrics are kept by
 * reference. Returns NULL with error set if its disk or its socket does not
 * open. Destroy it after the loop's last run and before the loop.
 */
dy_control_t *dy_control_create(dy_loop_t *loop, dy_metrics_t *metrics,
				const dy_control_options_t *options,
				GError **error);
void dy_control_destroy(dy_control_t *control);

/*
 * Begin the planned stop: hand over the lead, answer what is waiting, then
 * end the loop. A dy_loop_stop_cb_t.
 */
void dy_control_stop(void *control);

/* Whether the loop ended because the disk failed. */
int dy_control_failed(const dy_control_t *control);

#endif
