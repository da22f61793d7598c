#ifndef DAMASKYARD_CONTROL_H
#define DAMASKYARD_CONTROL_H

/*
 * The control process: one member of the replicated control group. It owns a
 * data folder, a UDP socket, the replicated log and the member registry.
 *
 * A group bootstraps without a flag. The lowest slot of --peers bootstraps the
 * group once every other listed peer has answered that its store is empty.
 * Every other control with an empty store announces itself to its peers, and
 * the leader adds it: first as a learner, then, once it has caught up, as a
 * voter in place of the identity that held its slot. A control whose disk was
 * lost rejoins the same way under a new identity, and never votes under the old
 * one.
 *
 * The control serves members and operators only while a majority of the listed
 * peers votes, so that a group that is still bootstrapping accepts nothing.
 *
 * Callbacks run on the loop's thread.
 */

#include <stdint.h>

#include <glib.h>

#include "damaskyard/address.h"
#include "damaskyard/loop.h"
#include "damaskyard/metrics.h"
#include "damaskyard/registry.h"
#include "damaskyard/secret.h"
#include "damaskyard/settings.h"
#include "dy_control.h"
#include "dy_raft.h"

/*
 * Default lease of a member: six poll intervals of 500 ms. A target that
 * disappeared gets no new flow after this time. An election, which takes less
 * than 1 s, expires no lease.
 */
#define DY_LEASE_DEFAULT_MS 3000

/*
 * Default retention of the record of a departed member: three times the 4 h
 * after which an idle session is closed, so that no session refers to a member
 * without a record.
 */
#define DY_MEMBER_RETENTION_DEFAULT_S 43200

/*
 * Default interval of key rotation: one day. Up to eight keys may be in use, so
 * an operator can add some.
 */
#define DY_KEY_ROTATION_DEFAULT_S 86400

/*
 * Default time for a new key to reach all members before it becomes active:
 * twenty poll intervals and more than three leases. A member that has not
 * polled in this time is suspect.
 */
#define DY_KEY_DISTRIBUTE_DEFAULT_S 10

/* Peer addresses by slot, 1 to DY_RAFT_MEMBERS_MAX; port 0: unused slot. */
typedef struct dy_peers {
	dy_address_t slots[DY_RAFT_MEMBERS_MAX + 1];
	unsigned count;
} dy_peers_t;

/*
 * Parses "1=IP:PORT,2=IP:PORT,..." into peers. Returns FALSE with error set if
 * an item is malformed, or if a slot or an address occurs twice.
 */
gboolean dy_peers_parse(dy_peers_t *peers, const char *text, GError **error);

/* Returns the lowest used slot of peers, or 0 if none is used. */
uint32_t dy_peers_lowest_slot(const dy_peers_t *peers);

/*
 * Default of dy_control_options_t.losses: how many controls may fail at the
 * same time. The group needs twice that number of voters plus one; each further
 * loss costs two more copies of every log entry.
 */
#define DY_LOSSES_DEFAULT 1

/* Why a control ended. */
typedef enum dy_control_exit_reason {
	DY_CONTROL_STOPPED,
	DY_CONTROL_DISK_FAILED,	  /* can restart on the same folder */
	DY_CONTROL_EVICTED,	  /* not a member; needs an empty folder */
	DY_CONTROL_JOIN_TIMED_OUT /* its store is empty still */
} dy_control_exit_reason_t;

/* Options of dy_control_create(). */
typedef struct dy_control_options {
	/* Id of the group, and this control's slot in it. */
	uint64_t group;
	uint32_t slot;
	/* Data folder, and the address of the control's own messages. */
	const char *folder;
	dy_address_t listen;
	/*
	 * The group at its bootstrap; with dynamic_membership, those of its
	 * members that answered.
	 */
	dy_peers_t peers;
	/*
	 * If set, the group's members are those of its log, not those of peers:
	 * a control at a new address can join, and a control that does not
	 * return is removed once there are more voters than needed.
	 */
	int dynamic_membership;
	/*
	 * Dynamic membership: the platform's present list of controls, kept by
	 * reference; NULL: none. It is asked while no control that this one
	 * knows answers, and may change while the control runs.
	 */
	const dy_address_list_t *seeds;
	/*
	 * Dynamic membership: slot was given by the leader of a running group,
	 * so that this control never bootstraps one.
	 */
	int joins_running_group;
	/*
	 * Dynamic membership: number of controls that may fail at the same
	 * time; 0: DY_LOSSES_DEFAULT.
	 */
	unsigned losses;
	/*
	 * Returns 1 if bytes are a document that every process accepts, else 0
	 * with the reason in message. NULL: the document has this product's own
	 * format and is validated where the log is applied.
	 *
	 * A given check runs once, before a document is proposed, and never
	 * when the log is replayed: a control with a small share of a core
	 * would otherwise spend seconds after a restart on validating each
	 * document of its log again.
	 */
	int (*validate)(void *context, const uint8_t *bytes, size_t size,
			char *message, size_t message_size);
	void *validate_context;
	/*
	 * Failure domains that operators may evacuate in addition to those of
	 * members. NULL-terminated, kept by reference; NULL: none.
	 */
	char **domains;
	/* As in dy_raft_options_t; 0: its default. */
	uint32_t snapshot_bytes;
	uint32_t first_election_ms;
	dy_secrets_t secrets;
	dy_lease_times_t leases;
	dy_key_times_t keys;
} dy_control_options_t;

typedef struct dy_control dy_control_t;

/*
 * Creates a control on loop. Copies options; keeps loop and metrics by
 * reference. Returns NULL with error set if the data folder or the socket
 * cannot be opened. Destroy the control after the last run of the loop and
 * before the loop.
 */
dy_control_t *dy_control_create(dy_loop_t *loop, dy_metrics_t *metrics,
				const dy_control_options_t *options,
				GError **error);
/* Answers pending callbacks and frees the control; NULL is allowed. */
void dy_control_destroy(dy_control_t *control);

/*
 * Starts a planned shutdown: transfers the leadership, answers the pending
 * requests, then ends the loop. Has the type dy_loop_signal_cb_t; its argument
 * is the dy_control_t.
 */
void dy_control_stop(void *control);

/* Returns why the control ended; valid once the loop has ended. */
dy_control_exit_reason_t dy_control_exit_reason(const dy_control_t *control);

/*
 * Result of dy_control_publish() and of dy_control_change_domain(). message is
 * valid only during the call.
 */
typedef void dy_control_done_cb_t(void *context, dy_status_t status,
				  const char *message);
/*
 * Publishes size bytes as the document of environment `trial` under the version
 * `number`. This is for other interfaces of the same process than the command
 * `damaskyard submit`. If that version or a higher one is in force, nothing
 * changes. The caller has validated bytes with options.check; they are copied.
 *
 * Calls done exactly once, before or after the return; done must not destroy
 * the control. Status OK: the document is in force, or a higher version
 * superseded it. MALFORMED, with message: bytes are not a document. Any other
 * status: the document is not known to be in force.
 */
void dy_control_publish(dy_control_t *control, const uint8_t *bytes,
			size_t size, uint64_t number,
			dy_control_done_cb_t *done, void *context);

/* Result of dy_control_read_document(). bytes is valid only during the call. */
typedef void dy_control_document_cb_t(void *context, dy_status_t status,
				      const uint8_t *bytes, size_t size);
/*
 * Reads the document of environment `trial` after a majority has confirmed the
 * leader. Calls done exactly once, before or after the return; done must not
 * destroy the control. With any status but OK, bytes is NULL; NOT_FOUND: there
 * is no document yet.
 */
void dy_control_read_document(dy_control_t *control,
			      dy_control_document_cb_t *done, void *context);

/*
 * An operator's change to a failure domain: evacuate it, so that its targets
 * get no new flows, or readmit it. Open flows stay where they are.
 */
typedef struct dy_domain_change {
	const char *domain;
	int evacuated;
	/*
	 * Returns whether the caller still waits for the result. Called after a
	 * majority has confirmed the leader and before the change is proposed;
	 * a change without a waiting caller is dropped. May be NULL.
	 */
	int (*is_caller_waiting)(void *context);
	/*
	 * Called exactly once, before or after the return of
	 * dy_control_change_domain(); must not destroy the control. OK: the
	 * change is committed, or was in force already. NOT_FOUND, CONFLICT:
	 * rejected for good, with message. Any other status: the change is not
	 * known to be in force.
	 */
	dy_control_done_cb_t *done;
	void *context;
} dy_domain_change_t;

/* Requests change, which is copied. */
void dy_control_change_domain(dy_control_t *control,
			      const dy_domain_change_t *change);

/* Sets leader to the leader's address; port 0 if none is known. */
void dy_control_leader(const dy_control_t *control, dy_address_t *leader);

#endif
