#ifndef RAFT_PRIVATE_H
#define RAFT_PRIVATE_H

/* Internals of the replicated log, shared by raft*.c. See raft.h. */

#include "damaskyard/log.h"
#include "damaskyard/raft.h"

/* A leader's state of another member. */
typedef struct peer {
	dy_voter_id_t id;
	int voter;
	/* Next entry to send; last entry known to be durable there. */
	uint64_t next_index;
	uint64_t match_index;
	/* Time of its last reply; 0: none yet. */
	uint64_t last_reply_ms;
	/* When it became a member. */
	uint64_t added_ms;
	/* Newest read round that it replied to, and that it was sent. */
	uint64_t acked_round;
	uint64_t sent_round;
	/* Deadline of the reply awaited; 0: none is awaited. */
	uint64_t reply_deadline_ms;
	uint64_t next_heartbeat_ms;
	/* Snapshot being sent: its last index, or 0; next offset to send. */
	uint64_t snapshot_index;
	uint64_t snapshot_offset;
	/* Whether it voted for this candidate. */
	int vote_granted;
} peer_t;

/* A configuration in the log or the snapshot, with its index. */
typedef struct indexed_config {
	uint64_t index;
	dy_raft_config_t config;
} indexed_config_t;

/*
 * A proposal, read or transfer: pending, or completed with its callback not
 * called yet.
 */
typedef struct pending {
	dy_raft_done_cb_t *done;
	void *context;
	dy_raft_result_t result;
	uint64_t index;
	uint64_t term;
	uint64_t round;
} pending_t;

typedef struct raft_counters {
	uint64_t *refused_group;
	uint64_t *refused_identity;
	uint64_t *refused_member;
	uint64_t *not_member;
	uint64_t *pre_votes;
	uint64_t *elections;
	uint64_t *won;
	uint64_t *quorum_lost;
	uint64_t *truncated;
	uint64_t *committed;
	uint64_t *reads;
	uint64_t *read_rounds;
	uint64_t *unknown;
	uint64_t *snapshots_written;
	uint64_t *snapshots_failed;
	uint64_t *snapshots_sent;
	uint64_t *snapshots_installed;
	uint64_t *disk_failed;
	uint64_t *torn_bytes;
} raft_counters_t;

struct dy_raft {
	dy_store_t *store;
	dy_raft_options_t options;
	dy_raft_callbacks_t callbacks;
	dy_metrics_t *own_metrics;
	raft_counters_t counters;
	GRand *rand;
	dy_voter_id_t id;
	uint64_t now_ms;
	uint64_t last_tick_ms; /* 0: none yet */

	/* Written to the store if vote_changed, before any message is sent. */
	uint64_t term;
	dy_voter_id_t vote;
	int vote_changed;

	dy_raft_role_t role;
	dy_voter_id_t leader;
	dy_raft_role_t reported_role;
	dy_voter_id_t reported_leader;
	uint64_t leader_heard_ms;
	uint64_t election_deadline_ms;
	/* Last leader heard, and its term; a term has at most one leader. */
	dy_voter_id_t last_leader;
	uint64_t last_leader_term;
	uint32_t lost_elections; /* of this member, since its start */

	uint64_t commit_index;
	uint64_t applied_index;
	/* First entry of this leader's own term. */
	uint64_t term_start_index;

	GArray *configs;
	GArray *peers;

	/* Messages without pointers, sent after the log is synced. */
	GArray *outbox;

	GArray *proposals; /* in order of index */
	GArray *reads;	   /* in order of arrival */
	GArray *completed; /* callbacks not called yet */
	/* Read rounds: the newest one, and the newest confirmed one. */
	uint64_t round;
	uint64_t confirmed_round;

	pending_t transfer;
	uint64_t transfer_deadline_ms;
	dy_voter_id_t transfer_target;
	dy_voter_id_t transfer_failed; /* last target that did not take it */
	int refuses_leadership;

	/*
	 * Snapshot being received: its last index or 0, the term of the
	 * leader that sends it, bytes received.
	 */
	uint64_t install_index;
	uint64_t install_leader_term;
	uint64_t install_offset;
	uint64_t snapshot_retry_at_ms;

	int failed;
	GError *failure;
	int failure_reported;
	dy_log_limit_t refusal_limit;
};

/* raft.c */
/* Fail permanently. Takes ownership of error. */
void raft_fail(dy_raft_t *raft, GError *error);
/* Write term and vote if they changed. Returns 0, or -1 if failed. */
int raft_persist_vote(dy_raft_t *raft);
/* Clear message and fill in its header. */
void raft_init_message(const dy_raft_t *raft, dy_raft_message_t *message,
		       dy_raft_kind_t kind, dy_voter_id_t to);
/* Enqueue a message without pointers; the next flush sends it. */
void raft_enqueue(dy_raft_t *raft, const dy_raft_message_t *message);
/* Complete a request; its callback runs in the next flush. */
void raft_complete(dy_raft_t *raft, const pending_t *pending,
		   dy_raft_result_t result, uint64_t index);
/* Append one entry of the current term. Returns its index. */
uint64_t raft_append(dy_raft_t *raft, dy_entry_type_t type, const void *data,
		     uint32_t size);

/* raft_election.c */
/* Draw a new election timeout. */
void raft_reset_election_timer(dy_raft_t *raft);
/*
 * Drop the leader and restart the election timer. For a member that cannot
 * start an election, a learner or one that was removed.
 */
void raft_forget_leader(dy_raft_t *raft);
/* Draw an election timeout of a member that has heard no leader yet. */
void raft_reset_first_election_timer(dy_raft_t *raft);
/*
 * Start a pre-vote (pre) or an election. With transfer set, voters grant
 * their votes although they hear a leader, since the leader requested it.
 */
void raft_start_election(dy_raft_t *raft, int pre, int transfer);
/* Become a follower in term, which must not be below the current one. */
void raft_step_down(dy_raft_t *raft, uint64_t term);
/* Follow the leader of the current term and reset the timer. */
void raft_follow_leader(dy_raft_t *raft, dy_voter_id_t leader);
void raft_handle_vote(dy_raft_t *raft, const dy_raft_message_t *message);
void raft_handle_vote_reply(dy_raft_t *raft, const dy_raft_message_t *message);
void raft_handle_timeout_now(dy_raft_t *raft, const dy_raft_message_t *message);
/*
 * Whether this member leads, or heard its leader within an election timeout.
 * It ignores vote requests then.
 */
int raft_leader_is_alive(const dy_raft_t *raft);
/* Time out the pending transfer, or let the target start its election. */
void raft_tick_transfer(dy_raft_t *raft);
/* Complete the pending transfer, if there is one. */
void raft_end_transfer(dy_raft_t *raft, dy_raft_result_t result);

/* raft_replicate.c */
void raft_handle_append(dy_raft_t *raft, const dy_raft_message_t *message);
void raft_handle_append_reply(dy_raft_t *raft,
			      const dy_raft_message_t *message);
/* Send entries, snapshot chunks and heartbeats that are due. */
void raft_send_to_peers(dy_raft_t *raft);
/* Commit what a majority has synced. */
void raft_advance_commit(dy_raft_t *raft);
/* Set the commit index, which must not decrease. */
void raft_set_commit(dy_raft_t *raft, uint64_t index);
/* Whether a peer replied within an election timeout. */
int raft_peer_is_active(const dy_raft_t *raft, const peer_t *peer);
/* Timeout in ms after which a message without a reply is sent again. */
uint64_t raft_reply_timeout_ms(const dy_raft_t *raft);

/* raft_snapshot.c */
/* Start to send the store's snapshot to a peer. */
void raft_begin_snapshot(dy_raft_t *raft, peer_t *peer);
/* Send the next chunk, or a heartbeat if a reply is awaited. */
void raft_send_snapshot(dy_raft_t *raft, peer_t *peer);
void raft_handle_snapshot(dy_raft_t *raft, const dy_raft_message_t *message);
void raft_handle_snapshot_reply(dy_raft_t *raft,
				const dy_raft_message_t *message);
/* Write a snapshot if the log exceeds its limits. */
void raft_write_snapshot(dy_raft_t *raft);
/* Load the store's snapshot. Returns 0, or -1 if failed. */
int raft_load_snapshot(dy_raft_t *raft);

/* raft_read.c */
/* Start a round for the pending reads, if none is in progress. */
void raft_start_read_round(dy_raft_t *raft);
/* Confirm the current round if a majority has replied to it. */
void raft_confirm_read_round(dy_raft_t *raft);
/* Complete the reads that are confirmed and whose index is applied. */
void raft_complete_reads(dy_raft_t *raft);

/* raft_member.c */
/* Newest configuration in the log, committed or not. */
const indexed_config_t *raft_newest_config(const dy_raft_t *raft);
/* Configuration in force at index. */
const indexed_config_t *raft_config_at(const dy_raft_t *raft, uint64_t index);
/* Add the configuration of a new entry. */
void raft_push_config(dy_raft_t *raft, const dy_raft_entry_t *entry);
/* Remove configurations from index on, after a truncation. */
void raft_pop_configs(dy_raft_t *raft, uint64_t index);
/* Reload the configurations from the snapshot and the log. */
void raft_reload_configs(dy_raft_t *raft);
/* Find a member of the newest configuration, or NULL. */
const dy_raft_member_t *raft_find_member(const dy_raft_t *raft,
					 dy_voter_id_t id);
/* Whether id is in the newest or in the committed configuration. */
int raft_is_known_member(const dy_raft_t *raft, dy_voter_id_t id);
/* Whether this member is a voter. */
int raft_is_voter(const dy_raft_t *raft);
/* Find another member of the newest configuration, or NULL. */
peer_t *raft_find_peer(const dy_raft_t *raft, dy_voter_id_t id);
peer_t *raft_peer_at(const dy_raft_t *raft, guint position);
/* Number of voters that form a majority. */
guint raft_majority(const dy_raft_t *raft);

#endif
