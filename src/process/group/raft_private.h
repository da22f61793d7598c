#ifndef RAFT_PRIVATE_H
#define RAFT_PRIVATE_H

/* What the files of the replicated log share; told in raft.h. */

#include "damaskyard/log.h"
#include "damaskyard/raft.h"

/* What a leader knows of another member. */
typedef struct peer {
	dy_voter_id_t id;
	int voter;
	/* Next entry to send; last one known to be durable there. */
	uint64_t next_index;
	uint64_t match_index;
	/* When it last answered. */
	uint64_t heard_ms;
	/* Newest read round that it answered, and that it was sent. */
	uint64_t round;
	uint64_t sent_round;
	/* Until when an answer is awaited; 0 when none is under way. */
	uint64_t awaited_ms;
	uint64_t heartbeat_ms;
	/* Snapshot being sent: its last index, or 0; next byte to send. */
	uint64_t snapshot_index;
	uint64_t snapshot_offset;
	/* This candidate was granted its vote. */
	int granted;
} peer_t;

/* A configuration in the log, or the snapshot's. */
typedef struct placed_config {
	uint64_t index;
	dy_raft_config_t config;
} placed_config_t;

/* A proposal or read that waits, or its end that was not told yet. */
typedef struct waiting {
	dy_raft_done_cb_t *done;
	void *context;
	dy_raft_result_t result;
	uint64_t index;
	uint64_t term;
	uint64_t round;
} waiting_t;

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
	uint64_t ticked_ms; /* the last tick; 0: none yet */

	/* Written to the store when vote_changed, before anything is sent. */
	uint64_t term;
	dy_voter_id_t vote;
	int vote_changed;

	dy_raft_role_t role;
	dy_voter_id_t leader;
	dy_raft_role_t told_role;
	dy_voter_id_t told_leader;
	uint64_t leader_heard_ms;
	uint64_t election_at_ms;
	/* The leader last seen and its term: there is one in each. */
	dy_voter_id_t seen_leader;
	uint64_t seen_leader_term;
	uint32_t lost_elections; /* that this member called, in this life */

	uint64_t commit_index;
	uint64_t applied_index;
	/* First entry of this leader's own term. */
	uint64_t term_start_index;

	GArray *configs;
	GArray *peers;

	/* Messages without pointers, sent once all is synced. */
	GArray *outbox;

	/* In order of index; in order of arrival; ended and not told. */
	GArray *proposals;
	GArray *reads;
	GArray *ended;
	uint64_t round;
	uint64_t confirmed_round;

	waiting_t transfer;
	uint64_t transfer_until_ms;
	dy_voter_id_t transfer_target;

	/* Snapshot being received: its last index or 0, who sends it, size. */
	uint64_t install_index;
	uint64_t install_leader_term;
	uint64_t install_offset;
	uint64_t snapshot_not_before_ms;

	int failed;
	GError *failure;
	int failure_told;
	dy_log_limit_t refusal_limit;
};

/* raft.c */
/* Fail for good; takes error. */
void raft_fail(dy_raft_t *raft, GError *error);
/* Write term and vote if they changed. Returns -1 once failed. */
int raft_persist_vote(dy_raft_t *raft);
void raft_begin_message(const dy_raft_t *raft, dy_raft_message_t *message,
			dy_raft_kind_t kind, dy_voter_id_t to);
/* Queue a message that holds no pointers. */
void raft_queue(dy_raft_t *raft, const dy_raft_message_t *message);
/* End a proposal or read; told in the next flush. */
void raft_end(dy_raft_t *raft, const waiting_t *waiting,
	      dy_raft_result_t result, uint64_t index);
/* Append one entry of the current term. Returns its index. */
uint64_t raft_append(dy_raft_t *raft, dy_entry_type_t type, const void *data,
		     uint32_t size);

/* raft_election.c */
void raft_reset_election(dy_raft_t *raft);
/* Set the election timeout of a member that has just started. */
void raft_expect_leader(dy_raft_t *raft);
void raft_start_election(dy_raft_t *raft, int pre, int transfer);
/* Follow; term is the current one or a greater one. */
void raft_step_down(dy_raft_t *raft, uint64_t term);
/* Take a message of the current term from its leader. */
void raft_follow(dy_raft_t *raft, dy_voter_id_t leader);
void raft_handle_vote(dy_raft_t *raft, const dy_raft_message_t *message);
void raft_handle_vote_reply(dy_raft_t *raft, const dy_raft_message_t *message);
void raft_handle_timeout_now(dy_raft_t *raft, const dy_raft_message_t *message);
/* Whether a vote must be ignored since a leader was heard. */
int raft_leader_is_alive(const dy_raft_t *raft);
void raft_tick_transfer(dy_raft_t *raft);
void raft_end_transfer(dy_raft_t *raft, dy_raft_result_t result);

/* raft_replicate.c */
void raft_handle_append(dy_raft_t *raft, const dy_raft_message_t *message);
void raft_handle_append_reply(dy_raft_t *raft,
			      const dy_raft_message_t *message);
void raft_send_to_peers(dy_raft_t *raft);
void raft_advance_commit(dy_raft_t *raft);
void raft_set_commit(dy_raft_t *raft, uint64_t index);
int raft_peer_active(const dy_raft_t *raft, const peer_t *peer);
/* Time after which an unanswered message is sent again. */
uint64_t raft_retry_ms(const dy_raft_t *raft);

/* raft_snapshot.c */
void raft_begin_snapshot(dy_raft_t *raft, peer_t *peer);
void raft_send_snapshot(dy_raft_t *raft, peer_t *peer);
void raft_handle_snapshot(dy_raft_t *raft, const dy_raft_message_t *message);
void raft_handle_snapshot_reply(dy_raft_t *raft,
				const dy_raft_message_t *message);
/* Write one if the log has grown beyond its limits. */
void raft_write_snapshot(dy_raft_t *raft);
/* Load the store's snapshot. Returns -1 once failed. */
int raft_load_snapshot(dy_raft_t *raft);

/* raft_read.c */
void raft_start_round(dy_raft_t *raft);
void raft_confirm_round(dy_raft_t *raft);
void raft_finish_reads(dy_raft_t *raft);

/* raft_member.c */
const placed_config_t *raft_newest_config(const dy_raft_t *raft);
/* Configuration in force at index. */
const placed_config_t *raft_config_at(const dy_raft_t *raft, uint64_t index);
/* Take in the configuration of a new entry. */
void raft_push_config(dy_raft_t *raft, const dy_raft_entry_t *entry);
/* Forget configurations from index on, after a truncation. */
void raft_pop_configs(dy_raft_t *raft, uint64_t index);
/* Read the snapshot's and the log's configurations anew. */
void raft_reload_configs(dy_raft_t *raft);
const dy_raft_member_t *raft_find_member(const dy_raft_t *raft,
					 dy_voter_id_t id);
/* Whether id is in the newest configuration or in the committed one. */
int raft_knows_member(const dy_raft_t *raft, dy_voter_id_t id);
int raft_is_voter(const dy_raft_t *raft);
peer_t *raft_find_peer(const dy_raft_t *raft, dy_voter_id_t id);
peer_t *raft_peer_at(const dy_raft_t *raft, guint position);
/* Voters needed for a majority. */
guint raft_majority(const dy_raft_t *raft);

#endif
