#ifndef DAMASKYARD_RAFT_H
#define DAMASKYARD_RAFT_H

/*
 * The control group's replicated log: one member of it, after the Raft
 * algorithm (Ongaro and Ousterhout 2014; Ongaro's thesis for pre-vote,
 * membership one member at a time, ReadIndex and leadership transfer).
 *
 * The module does no I/O of its own. The owner calls in with messages, time
 * and proposals, and calls dy_raft_flush() at the end of each turn of its
 * loop; everything that the member says or does happens inside that call:
 * the log is written and synced once for all that came in, then messages
 * are sent, entries applied and callbacks made. Callbacks may call any
 * function here except dy_raft_receive(), dy_raft_flush() and
 * dy_raft_destroy().
 *
 *	raft = dy_raft_create(store, &options, &callbacks, now_ms, &error);
 *	each datagram:	dy_raft_receive(raft, &message, now_ms);
 *	each 10 ms:	dy_raft_tick(raft, now_ms);
 *	each turn:	dy_raft_flush(raft);
 *
 * A member is named by its slot and the random identity of its disk. What
 * comes from an identity outside the configuration, or is meant for another
 * one, is refused and counted.
 *
 * How a group begins: one control calls dy_raft_bootstrap() on its empty
 * store and is the only voter; the others are added as learners, caught up
 * and promoted, in the same way as a lost one is replaced.
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
	/* Not done: this member does not lead; see dy_raft_leader(). */
	DY_RAFT_NOT_LEADER,
	/* Not done: come back after a heartbeat or two. */
	DY_RAFT_BUSY,
	/* Not done: the request breaks a rule; it will not do later either. */
	DY_RAFT_REFUSED,
	/*
	 * The lead was lost first: the command may or may not be committed.
	 * Send it again with the same request id to the new leader.
	 */
	DY_RAFT_UNKNOWN
} dy_raft_result_t;

/* Add bytes to a snapshot being written. Returns 0, or -1 to give up. */
typedef int dy_raft_add_cb_t(void *context, const void *data, size_t size);

/*
 * Read the next bytes of a snapshot. Returns how many, 0 at its end, or -1.
 */
typedef int dy_raft_read_cb_t(void *context, void *data, size_t size);

/*
 * End of a proposal, read or transfer. index is the entry's, or for a read
 * the least index that had to be applied; 0 where it was not done.
 */
typedef void dy_raft_done_cb_t(void *context, dy_raft_result_t result,
			       uint64_t index);

typedef struct dy_raft_callbacks {
	void *context;
	/*
	 * Send to message->to; losing it is harmless. The message is valid
	 * only during the call. Find the address with
	 * dy_raft_find_address().
	 */
	void (*send)(void *context, const dy_raft_message_t *message);
	/*
	 * Apply a committed entry, once and in order of index. Entries of
	 * all types are shown; the state machine acts on commands alone.
	 */
	void (*apply)(void *context, const dy_raft_entry_t *entry);
	/*
	 * Write the state machine as it stands by calling add() with pieces
	 * of any size. Returns 0, or -1 if add() did.
	 */
	int (*write_snapshot)(void *context, dy_raft_add_cb_t *add,
			      void *add_context);
	/*
	 * Replace the state machine by the one that read() gives. Returns 0,
	 * or -1 if it is not one, which fails the member.
	 */
	int (*load_snapshot)(void *context, dy_raft_read_cb_t *read,
			     void *read_context);
	/* Role or leader changed; may be NULL. */
	void (*leadership_changed)(void *context, dy_raft_role_t role,
				   dy_voter_id_t leader);
	/*
	 * The disk failed: this member neither votes nor acknowledges any
	 * more, and the process should stop. error is the module's. Called
	 * once; may be NULL.
	 */
	void (*failed)(void *context, const GError *error);
} dy_raft_callbacks_t;

/* Times in milliseconds; 0 takes the default. */
typedef struct dy_raft_options {
	/*
	 * Least time without a leader before an election; each is drawn from
	 * [t, 2t). Default 300: ten heartbeats at the 30 ms below, and a
	 * hundred times the 3 ms round trip between failure domains, so that
	 * a lost heartbeat or a slow sync starts none.
	 */
	uint32_t election_ms;
	/*
	 * The same for a member that has seen no leader since its start,
	 * doubled with each election that it called in vain, up to
	 * election_ms; default election_ms. Shorter where all
	 * members may start at once, as after a loss of power, and every
	 * request waits for a leader. If there is one, its followers refuse the
	 * pre-vote.
	 */
	uint32_t first_election_ms;
	/* Time between heartbeats of a leader. Default 30. */
	uint32_t heartbeat_ms;
	/*
	 * A snapshot is written when the log holds more entries or bytes.
	 * Defaults 10,000 and 8 MiB, which bound the memory and the restart.
	 */
	uint32_t snapshot_entries;
	uint32_t snapshot_bytes;
	/* Seed of the election timeouts; differs between members. */
	uint32_t seed;
	/* Counters raft_*, listed in docs/OPERATIONS.md; may be NULL. */
	dy_metrics_t *metrics;
} dy_raft_options_t;

/*
 * Create a member over an open store, which is kept by reference, and load
 * its snapshot. now_ms is monotonic. Returns NULL with error set.
 */
dy_raft_t *dy_raft_create(dy_store_t *store, const dy_raft_options_t *options,
			  const dy_raft_callbacks_t *callbacks, uint64_t now_ms,
			  GError **error);

/* Waiting proposals end with DY_RAFT_UNKNOWN, reads with NOT_LEADER. */
void dy_raft_destroy(dy_raft_t *raft);

/*
 * Found a group with this member as its only voter, reached at address.
 * Refused on a store that holds anything already.
 */
dy_raft_result_t dy_raft_bootstrap(dy_raft_t *raft, const char *address);

/* Take in a message; what does not concern this member is counted. */
void dy_raft_receive(dy_raft_t *raft, const dy_raft_message_t *message,
		     uint64_t now_ms);

/* Let time pass. Call it about three times in a heartbeat. */
void dy_raft_tick(dy_raft_t *raft, uint64_t now_ms);

/* Sync, send, apply and call back; see above. */
void dy_raft_flush(dy_raft_t *raft);

/*
 * Propose a command of at most DY_RAFT_ENTRY_BYTES; it is copied. Returns
 * DY_RAFT_DONE if it was taken, and then calls done once; any other result
 * is final, done is not called and the command will never be committed.
 */
dy_raft_result_t dy_raft_propose(dy_raft_t *raft, const void *data,
				 uint32_t size, dy_raft_done_cb_t *done,
				 void *context);

/*
 * Confirm that this member still leads, by a round of a majority that starts
 * after this call, and that all that was acknowledged before it is applied
 * here. In done, with DY_RAFT_DONE, the state machine may be read. Reads
 * share rounds: one is under way at a time. Result as of dy_raft_propose().
 *
 * Guards against a leader that was frozen or cut off, comes back believing
 * it is current and would answer from an old state: no majority confirms it.
 */
dy_raft_result_t dy_raft_read(dy_raft_t *raft, dy_raft_done_cb_t *done,
			      void *context);

/*
 * Hand the lead to another voter, the one that is furthest, before a planned
 * stop. Proposals are answered DY_RAFT_BUSY meanwhile. done gets
 * DY_RAFT_DONE once this member follows another, or DY_RAFT_BUSY if that
 * did not come about within an election timeout; then it leads on. done must
 * not be NULL here.
 */
dy_raft_result_t dy_raft_transfer(dy_raft_t *raft, dy_raft_done_cb_t *done,
				  void *context);

/*
 * Change the membership, one member at a time, by an entry of the log. BUSY
 * while an earlier change, or the first entry of this leader's term, is not
 * committed. Results as of dy_raft_propose().
 *
 * Replace a lost control so: add the new identity as a learner, remove the
 * lost one, promote the new one. (dy_raft_member_lag() tells how far it is.)
 */

/* Add a member that receives the log and does not vote. */
dy_raft_result_t dy_raft_add_learner(dy_raft_t *raft, dy_voter_id_t id,
				     const char *address,
				     dy_raft_done_cb_t *done, void *context);

/*
 * Make a learner a voter. BUSY until it has caught up, so that a group that
 * loses a second voter at once does not wait for the new one's copy. REFUSED
 * while another voter holds its slot.
 */
dy_raft_result_t dy_raft_promote(dy_raft_t *raft, dy_voter_id_t id,
				 dy_raft_done_cb_t *done, void *context);

/*
 * Remove a learner or voter. REFUSED for the leader itself, which transfers
 * the lead first, and for the last voter.
 */
dy_raft_result_t dy_raft_remove(dy_raft_t *raft, dy_voter_id_t id,
				dy_raft_done_cb_t *done, void *context);

/* State, for status and for tests. */
dy_raft_role_t dy_raft_role(const dy_raft_t *raft);
dy_voter_id_t dy_raft_id(const dy_raft_t *raft);
/* Identity 0 where none is known. */
dy_voter_id_t dy_raft_leader(const dy_raft_t *raft);
uint64_t dy_raft_term(const dy_raft_t *raft);
uint64_t dy_raft_commit_index(const dy_raft_t *raft);
uint64_t dy_raft_applied_index(const dy_raft_t *raft);
/*
 * Whether an entry of the present term is committed and all that is committed
 * is applied here: then nothing is missing that was acknowledged before the
 * present leader was elected.
 */
int dy_raft_is_current(const dy_raft_t *raft);
int dy_raft_failed(const dy_raft_t *raft);
/* The newest configuration in the log, committed or not. */
const dy_raft_config_t *dy_raft_config(const dy_raft_t *raft);
/* Whether the newest configuration is committed. */
int dy_raft_config_is_committed(const dy_raft_t *raft);
/* Whether a configuration names the member. */
int dy_raft_config_has(const dy_raft_config_t *config, dy_voter_id_t id);
/* Whether a majority answered this leader within an election timeout. */
int dy_raft_has_quorum(const dy_raft_t *raft);
/*
 * Address of a member of the configuration, or NULL if it is unknown (then
 * answer the source of the last datagram heard under that id).
 */
const char *dy_raft_find_address(const dy_raft_t *raft, dy_voter_id_t id);
/*
 * On a leader: entries that the member has not acknowledged, and in
 * heard_ms_ago the time since it answered. Returns UINT64_MAX if the member
 * is unknown or this member does not lead.
 */
uint64_t dy_raft_member_lag(const dy_raft_t *raft, dy_voter_id_t id,
			    uint64_t *heard_ms_ago);

/* Whether two ids name the same member. */
int dy_voter_id_equal(dy_voter_id_t a, dy_voter_id_t b);

#endif
