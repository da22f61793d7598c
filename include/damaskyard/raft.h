#ifndef DAMASKYARD_RAFT_H
#define DAMASKYARD_RAFT_H

/*
 * One member of the control group's replicated log, by the Raft algorithm
 * (Ongaro and Ousterhout 2014; Ongaro's thesis for pre-vote, single-server
 * membership changes, ReadIndex and leadership transfer).
 *
 * The module does no I/O except through the store and the callbacks. The
 * owner passes in messages, the time and proposals, and calls
 * dy_raft_flush() at the end of each turn of its loop. All effects happen
 * inside that call: the log is written and synced once for all input of the
 * turn, then messages are sent, entries applied and callbacks run. Callbacks
 * may call any function here except dy_raft_receive(), dy_raft_flush() and
 * dy_raft_destroy().
 *
 *	raft = dy_raft_create(store, &options, &callbacks, now_ms, &error);
 *	each datagram:	dy_raft_receive(raft, &message, now_ms);
 *	each 10 ms:	dy_raft_tick(raft, now_ms);
 *	each turn:	dy_raft_flush(raft);
 *
 * A member is identified by its slot and the random identity of its disk.
 * Messages from an identity outside the configuration, or addressed to
 * another identity, are refused and counted.
 *
 * To start a group, one control calls dy_raft_bootstrap() on its empty store
 * and becomes the only voter. The others are added as learners, catch up and
 * are promoted. A lost member is replaced in the same way.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "damaskyard/metrics.h"
#include "damaskyard/store.h"
#include "dy_raft.h"

typedef struct dy_raft dy_raft_t;

typedef enum dy_raft_role {
	DY_RAFT_FOLLOWER,
	DY_RAFT_PRE_CANDIDATE,
	DY_RAFT_CANDIDATE,
	DY_RAFT_LEADER
} dy_raft_role_t;

typedef enum dy_raft_result {
	/* Committed and applied here, or the read is confirmed. */
	DY_RAFT_DONE,
	/* Not done: this member is not the leader; see dy_raft_leader(). */
	DY_RAFT_NOT_LEADER,
	/* Not done: retry after one or two heartbeat intervals. */
	DY_RAFT_BUSY,
	/* Not done: the request breaks a rule; a retry fails as well. */
	DY_RAFT_REFUSED,
	/*
	 * Leadership was lost before the commit: the command may or may not
	 * be committed later. Retry with the same request id at the new
	 * leader.
	 */
	DY_RAFT_UNKNOWN
} dy_raft_result_t;

/*
 * Append bytes to the snapshot that is being written. Returns 0, or -1 if
 * the snapshot must be aborted.
 */
typedef int dy_raft_add_cb_t(void *context, const void *data, size_t size);

/*
 * Read up to size bytes of a snapshot. Returns the number of bytes read, 0
 * at the end, or -1 on error.
 */
typedef int dy_raft_read_cb_t(void *context, void *data, size_t size);

/*
 * Completion of a proposal, read or transfer. For a proposal index is the
 * entry's index; for a read it is the lowest index that had to be applied
 * first. It is 0 unless result is DY_RAFT_DONE.
 */
typedef void dy_raft_done_cb_t(void *context, dy_raft_result_t result,
			       uint64_t index);

typedef struct dy_raft_callbacks {
	/* Passed to each callback. */
	void *context;
	/*
	 * Send a message to message->to. It may be lost. The message is valid
	 * only during the call. dy_raft_find_address() returns the address.
	 */
	void (*send)(void *context, const dy_raft_message_t *message);
	/*
	 * Apply a committed entry. Each entry is passed once, in order of
	 * index. Entries of all types are passed; the state machine acts on
	 * commands only.
	 */
	void (*apply)(void *context, const dy_raft_entry_t *entry);
	/*
	 * Write the current state machine by calls to add() with pieces of
	 * any size. Returns 0, or -1 if add() returned -1.
	 */
	int (*write_snapshot)(void *context, dy_raft_add_cb_t *add,
			      void *add_context);
	/*
	 * Replace the state machine by the snapshot that read() returns.
	 * Returns 0, or -1 if the snapshot is invalid, which fails the
	 * member.
	 */
	int (*load_snapshot)(void *context, dy_raft_read_cb_t *read,
			     void *read_context);
	/* The role or the leader changed. May be NULL. */
	void (*leadership_changed)(void *context, dy_raft_role_t role,
				   dy_voter_id_t leader);
	/*
	 * The disk failed: this member neither votes nor acknowledges any
	 * more, and the process should stop. Called once. error is owned by
	 * the module. May be NULL.
	 */
	void (*failed)(void *context, const GError *error);
} dy_raft_callbacks_t;

/* Times in milliseconds; 0 selects the default. */
typedef struct dy_raft_options {
	/*
	 * Minimum election timeout; each timeout is drawn from [t, 2t).
	 * Default 300: ten heartbeat intervals of 30 ms and a hundred times
	 * the 3 ms round trip between failure domains, so that neither a
	 * lost heartbeat nor a slow sync starts an election.
	 */
	uint32_t election_ms;
	/*
	 * Minimum election timeout of a member that has heard no leader since
	 * its start. It doubles with each election that this member started
	 * and lost, up to election_ms. Default election_ms. Set it lower
	 * where all members may start at once, as after a power loss, since
	 * every request then waits for a leader. If there is a leader, its
	 * followers refuse the pre-vote.
	 */
	uint32_t first_election_ms;
	/* Interval between a leader's heartbeats. Default 30. */
	uint32_t heartbeat_ms;
	/*
	 * A snapshot is written when the log exceeds this number of entries
	 * or bytes. The defaults, 10,000 and 8 MiB, bound the memory used and
	 * the time of a restart.
	 */
	uint32_t snapshot_entries;
	uint32_t snapshot_bytes;
	/* Seed of the election timeouts; must differ between members. */
	uint32_t seed;
	/* Registry of the raft_* counters (docs/OPERATIONS.md); or NULL. */
	dy_metrics_t *metrics;
} dy_raft_options_t;

/*
 * Create a member over an open store and load the store's snapshot. The
 * store is kept by reference and must outlive the member. options and
 * callbacks are copied. now_ms is monotonic time. Returns NULL with error
 * set if the snapshot cannot be loaded.
 */
dy_raft_t *dy_raft_create(dy_store_t *store, const dy_raft_options_t *options,
			  const dy_raft_callbacks_t *callbacks, uint64_t now_ms,
			  GError **error);

/*
 * Destroy a member, or do nothing for NULL. Pending proposals complete with
 * DY_RAFT_UNKNOWN, pending reads with DY_RAFT_NOT_LEADER, and a pending
 * transfer with DY_RAFT_BUSY.
 */
void dy_raft_destroy(dy_raft_t *raft);

/*
 * Bootstrap a group with this member as its only voter. address, at most
 * DY_RAFT_ADDRESS_MAX bytes, is where the others reach it. Returns
 * DY_RAFT_DONE, or DY_RAFT_REFUSED if the store is not empty, the address is
 * invalid or the disk failed.
 */
dy_raft_result_t dy_raft_bootstrap(dy_raft_t *raft, const char *address);

/*
 * Process a message. now_ms is monotonic time. A message that is not for
 * this member is counted and dropped.
 */
void dy_raft_receive(dy_raft_t *raft, const dy_raft_message_t *message,
		     uint64_t now_ms);

/*
 * Advance the clock to now_ms and check the timeouts. Call it about three
 * times in a heartbeat interval.
 */
void dy_raft_tick(dy_raft_t *raft, uint64_t now_ms);

/* Sync the log, send messages, apply entries and run callbacks. */
void dy_raft_flush(dy_raft_t *raft);

/*
 * Propose a command of at most DY_RAFT_ENTRY_BYTES; data is copied. Returns
 * DY_RAFT_DONE if it is in the log, and then done, which may be NULL, is
 * called once. Any other result is final: done is not called and the command
 * is never committed.
 */
dy_raft_result_t dy_raft_propose(dy_raft_t *raft, const void *data,
				 uint32_t size, dy_raft_done_cb_t *done,
				 void *context);

/*
 * Start a linearizable read (ReadIndex). A round of heartbeats that starts
 * after this call must confirm with a majority that this member still leads,
 * and all entries acknowledged before the call must be applied here. When
 * done is called with DY_RAFT_DONE, the state machine may be read. Reads
 * share rounds; one round is in progress at a time. Results as of
 * dy_raft_propose().
 *
 * Guards against stale reads from a leader that was paused or partitioned
 * and has not noticed that it was replaced: no majority confirms it.
 */
dy_raft_result_t dy_raft_read(dy_raft_t *raft, dy_raft_done_cb_t *done,
			      void *context);

/*
 * Transfer leadership to the reachable voter with the longest log, before a
 * planned stop. Returns DY_RAFT_DONE if the transfer started;
 * DY_RAFT_NOT_LEADER; DY_RAFT_BUSY if one is in progress or no voter is
 * reachable; DY_RAFT_REFUSED if there is no other member.
 *
 * Proposals return DY_RAFT_BUSY during a transfer. done, which must not be
 * NULL, gets DY_RAFT_DONE once this member follows another one, or
 * DY_RAFT_BUSY after an election timeout; then this member remains leader.
 */
dy_raft_result_t dy_raft_transfer(dy_raft_t *raft, dy_raft_done_cb_t *done,
				  void *context);

/*
 * From now on this member takes no leadership that is transferred to it, as it
 * stops itself. The leader's transfer ends with DY_RAFT_BUSY, and its next one
 * goes to another member.
 */
void dy_raft_refuse_leadership(dy_raft_t *raft);

/*
 * Membership changes: one member at a time, each by an entry of the log. They
 * return DY_RAFT_BUSY until the previous change and the first entry of this
 * leader's term are committed. Other results as of dy_raft_propose().
 *
 * To replace a lost control, add the new identity as a learner, remove the
 * lost one, then promote the new one. dy_raft_member_lag() returns how far a
 * learner is behind.
 */

/*
 * Add id as a learner, which receives the log and does not vote. address is
 * copied. Returns DY_RAFT_REFUSED if id is invalid or a member already, the
 * address is too long, or there are DY_RAFT_MEMBERS_MAX members.
 */
dy_raft_result_t dy_raft_add_learner(dy_raft_t *raft, dy_voter_id_t id,
				     const char *address,
				     dy_raft_done_cb_t *done, void *context);

/*
 * Promote a learner to a voter. Returns DY_RAFT_BUSY until it has caught up:
 * a new voter counts for the majority at once, so that losing a second voter
 * would stop the group until the new one had the log. Returns
 * DY_RAFT_REFUSED if id is no learner or its slot has a voter.
 */
dy_raft_result_t dy_raft_promote(dy_raft_t *raft, dy_voter_id_t id,
				 dy_raft_done_cb_t *done, void *context);

/*
 * Remove a learner or voter. Returns DY_RAFT_REFUSED for an unknown id and
 * for the leader itself, which must transfer leadership first. Hence the
 * last voter cannot be removed.
 */
dy_raft_result_t dy_raft_remove(dy_raft_t *raft, dy_voter_id_t id,
				dy_raft_done_cb_t *done, void *context);

/* Current role of this member. */
dy_raft_role_t dy_raft_role(const dy_raft_t *raft);
/* Slot and identity of this member. */
dy_voter_id_t dy_raft_id(const dy_raft_t *raft);
/* The leader; its identity is 0 if none is known. */
dy_voter_id_t dy_raft_leader(const dy_raft_t *raft);
/* Current term. */
uint64_t dy_raft_term(const dy_raft_t *raft);
/* Highest index known to be committed. */
uint64_t dy_raft_commit_index(const dy_raft_t *raft);
/* Highest index applied to the state machine. */
uint64_t dy_raft_applied_index(const dy_raft_t *raft);
/*
 * Whether an entry of the current term is committed and all committed entries
 * are applied here. Then the state machine has everything that was
 * acknowledged before the current leader was elected.
 */
int dy_raft_is_current(const dy_raft_t *raft);
/* Whether the disk failed. */
int dy_raft_failed(const dy_raft_t *raft);
/*
 * The newest configuration in the log, committed or not. Owned by the
 * member; valid until the next call that may change it.
 */
const dy_raft_config_t *dy_raft_config(const dy_raft_t *raft);
/* Whether the newest configuration is committed. */
int dy_raft_config_is_committed(const dy_raft_t *raft);
/* Whether id is a member of a configuration. */
int dy_raft_config_has(const dy_raft_config_t *config, dy_voter_id_t id);
/*
 * Whether this member leads and a majority of voters, itself included, has
 * replied within an election timeout.
 */
int dy_raft_has_quorum(const dy_raft_t *raft);
/*
 * Address of a member of the newest configuration, valid as long as that
 * configuration. Returns NULL for an unknown id; reply to the source address
 * of the last datagram from that id instead.
 */
const char *dy_raft_find_address(const dy_raft_t *raft, dy_voter_id_t id);
/*
 * Number of entries that a member has not acknowledged. Sets heard_ms_ago to
 * the milliseconds since its last reply. Returns UINT64_MAX, and leaves
 * heard_ms_ago as it is, if the member is unknown or this member does not
 * lead.
 */
uint64_t dy_raft_member_lag(const dy_raft_t *raft, dy_voter_id_t id,
			    uint64_t *heard_ms_ago);
/*
 * Milliseconds since a member's last reply, or since it was added if it has
 * not replied yet. Returns 0 if the member is unknown or this member does not
 * lead.
 */
uint64_t dy_raft_member_silent_ms(const dy_raft_t *raft, dy_voter_id_t id);

/* Whether two ids are the same member. */
int dy_voter_id_equal(dy_voter_id_t a, dy_voter_id_t b);

#endif
