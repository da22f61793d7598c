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
#include "dy_control.h"
#include "dy_raft.h"

/* Default times, in ms. */

/*
 * Six polls of 500 ms. A target that vanished gets no new flow after this;
 * a leader's election of under 1 s takes no lease away.
 */
#define DY_LEASE_DEFAULT_MS 3000

/*
 * How long the record of a member that is gone is kept: three times the 4 h
 * after which an idle session is closed, so no session names one that is
 * forgotten.
 */
#define DY_MEMBER_RETENTION_DEFAULT_S 43200

/* A key a day; eight may be in use, so an operator can add some. */
#define DY_KEY_ROTATION_DEFAULT_S 86400

/* Twenty polls, and thrice a lease: who missed it then is suspect. */
#define DY_KEY_DISTRIBUTE_DEFAULT_S 10

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
uint32_t dy_peers_lowest_slot(const dy_peers_t *peers);

/*
 * Losses of controls at once that a group bears if nothing else is said: the
 * voters are twice that and one. Each more costs every entry two more copies.
 */
#define DY_LOSSES_DEFAULT 1

/* How a control ended. */
typedef enum dy_control_exit_reason {
	DY_CONTROL_STOPPED,
	DY_CONTROL_DISK_FAILED, /* it may be started again on the same folder */
	DY_CONTROL_EVICTED	/* no member any more; start on an empty one */
} dy_control_exit_reason_t;

typedef struct dy_control_options {
	uint64_t group;
	uint32_t slot;
	const char *folder;
	dy_address_t listen;
	/* The group at its founding, or with `open` those of it that answer. */
	dy_peers_t peers;
	/*
	 * The group's members are those of its log, not those of peers: a
	 * control at a new address is taken in, and one that is gone for good
	 * is let go once there are more than needed.
	 */
	int dynamic_membership;
	/* Open groups: losses at once to be borne; 0: DY_LOSSES_DEFAULT. */
	unsigned losses;
	/*
	 * Whether bytes are a document that every process would take; writes
	 * the reason into message if not. NULL: the product's own document,
	 * which is judged where the log is applied. A check that is given is
	 * asked before a document is proposed, and never again: a control that
	 * has a small part of a core and restarts would else spend seconds on
	 * judging each document of its log once more.
	 */
	int (*validate)(void *context, const uint8_t *bytes, size_t size,
			char *message, size_t message_size);
	void *validate_context;
	/*
	 * Failure domains that operators may evacuate beside those of members,
	 * ended by NULL, kept by reference; NULL: none.
	 */
	char **domains;
	/* As in dy_raft_options_t; 0: the default. */
	uint32_t snapshot_bytes;
	uint32_t first_election_ms;
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
 * end the loop. A dy_loop_signal_cb_t.
 */
void dy_control_stop(void *control);

/* How the control ended; valid once the loop has ended. */
dy_control_exit_reason_t dy_control_exit_reason(const dy_control_t *control);

/*
 * Documents that come from elsewhere than a `damaskyard submit`, as by another
 * door of the same process. Each callback is called once, at once or later;
 * it must not destroy the control.
 *
 * dy_control_publish() brings bytes into force in trial under number, unless
 * that or a higher one is in force. The caller has judged them by the check.
 * Status OK: they are, or were overtaken. MALFORMED, with message: not a
 * document. Others: not known to be in force.
 */
typedef void dy_control_done_cb_t(void *context, dy_status_t status,
				  const char *message);
void dy_control_publish(dy_control_t *control, const uint8_t *bytes,
			size_t size, uint64_t number,
			dy_control_done_cb_t *done, void *context);

/*
 * Load trial's document, confirmed by a majority. With any status but OK
 * bytes is NULL; NOT_FOUND: there is none yet.
 */
typedef void dy_control_document_cb_t(void *context, dy_status_t status,
				      const uint8_t *bytes, size_t size);
void dy_control_read_document(dy_control_t *control,
			      dy_control_document_cb_t *done, void *context);

/*
 * An operator's order that the targets of a failure domain take no new flow,
 * or take some again. Open flows stay where they are.
 */
typedef struct dy_domain_change {
	const char *domain;
	int evacuated;
	/*
	 * Whether the order's caller still waits. Asked after a majority has
	 * confirmed the leader and before the order stands in the log; one that
	 * nobody waits for is dropped. May be NULL.
	 */
	int (*is_caller_waiting)(void *context);
	/*
	 * Called once, at once or later; must not destroy the control. OK: it
	 * is committed, or stood already. NOT_FOUND, CONFLICT: refused for
	 * good, with message. Others: not known to be in force.
	 */
	dy_control_done_cb_t *done;
	void *context;
} dy_domain_change_t;

/* Take an order, which is copied. */
void dy_control_change_domain(dy_control_t *control,
			      const dy_domain_change_t *order);

/* Address of the leader; port 0 if none is known. */
void dy_control_leader(const dy_control_t *control, dy_address_t *leader);

#endif
