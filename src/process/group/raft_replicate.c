#include "raft_private.h"

#include <string.h>

#include "damaskyard/invariant.h"

/* A message without a reply is sent again after this many heartbeats. */
#define REPLY_TIMEOUT_HEARTBEATS 2

uint64_t raft_reply_timeout_ms(const dy_raft_t *raft)
{
	return (uint64_t)raft->options.heartbeat_ms * REPLY_TIMEOUT_HEARTBEATS;
}

int raft_peer_is_active(const dy_raft_t *raft, const peer_t *peer)
{
	return peer->last_reply_ms &&
	       raft->now_ms - peer->last_reply_ms < raft->options.election_ms;
}

/*
 * Collect the entries from next on that fit in one message. They refer to the
 * store's data. Returns their number.
 */
static u_int collect_entries(const dy_raft_t *raft, uint64_t next,
			     dy_raft_entry_t *entries)
{
	uint64_t last = dy_store_last_index(raft->store);
	uint32_t bytes = 0;
	u_int n = 0;

	for (; n < DY_RAFT_BATCH_ENTRIES && next + n <= last; n++) {
		entries[n] = *dy_store_find_entry(raft->store, next + n);
		bytes += entries[n].data.data_len;
		if (n && bytes > DY_RAFT_BATCH_BYTES)
			break;
	}
	return n;
}

static void send_append(dy_raft_t *raft, peer_t *peer, int with_entries)
{
	dy_raft_entry_t entries[DY_RAFT_BATCH_ENTRIES];
	dy_raft_message_t message;
	dy_raft_append_t *append = &message.body.dy_raft_body_t_u.append;

	raft_init_message(raft, &message, DY_RAFT_APPEND, peer->id);
	append->prev_index = peer->next_index - 1;
	append->prev_term =
		dy_store_entry_term(raft->store, append->prev_index);
	append->commit = raft->commit_index;
	append->round = raft->round;
	append->entries.entries_val = entries;
	if (with_entries) {
		append->entries.entries_len =
			collect_entries(raft, peer->next_index, entries);
		peer->reply_deadline_ms =
			raft->now_ms + raft_reply_timeout_ms(raft);
	}
	peer->sent_round = raft->round;
	peer->next_heartbeat_ms = raft->now_ms + raft->options.heartbeat_ms;
	raft->callbacks.send(raft->callbacks.context, &message);
}

static void send_to_peer(dy_raft_t *raft, peer_t *peer)
{
	int due = raft->now_ms >= peer->next_heartbeat_ms ||
		  peer->sent_round < raft->round;
	int idle = raft->now_ms >= peer->reply_deadline_ms;
	int active = raft_peer_is_active(raft, peer);

	if (!peer->snapshot_index &&
	    peer->next_index < dy_store_first_index(raft->store))
		raft_begin_snapshot(raft, peer);
	if (peer->snapshot_index) {
		if (due || (idle && active))
			raft_send_snapshot(raft, peer);
		return;
	}
	/* A peer that does not reply gets heartbeats only. */
	if (active && idle &&
	    peer->next_index <= dy_store_last_index(raft->store))
		send_append(raft, peer, 1);
	else if (due)
		send_append(raft, peer, 0);
}

void raft_send_to_peers(dy_raft_t *raft)
{
	guint i;

	for (i = 0; i < raft->peers->len && !raft->failed; i++)
		send_to_peer(raft, raft_peer_at(raft, i));
}

void raft_set_commit(dy_raft_t *raft, uint64_t index)
{
	dy_assert(index >= raft->commit_index);
	dy_assert(index <= dy_store_last_index(raft->store));
	*raft->counters.committed += index - raft->commit_index;
	raft->commit_index = index;
}

static int compare_descending(const void *a, const void *b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return left > right ? -1 : left < right;
}

void raft_advance_commit(dy_raft_t *raft)
{
	uint64_t synced[DY_RAFT_MEMBERS_MAX];
	guint majority = raft_majority(raft);
	uint64_t index;
	guint n = 0;
	guint i;

	if (raft_is_voter(raft))
		synced[n++] = dy_store_synced_index(raft->store);
	for (i = 0; i < raft->peers->len; i++)
		if (raft_peer_at(raft, i)->voter)
			synced[n++] = raft_peer_at(raft, i)->match_index;
	if (n < majority)
		return;
	qsort(synced, n, sizeof(*synced), compare_descending);
	index = synced[majority - 1];
	/*
	 * Only an entry of this leader's own term is committed by counting
	 * replicas. An older one on a majority may still be replaced by a
	 * leader whose last entry has a term between the two, and an
	 * acknowledged change would be lost.
	 */
	if (index > raft->commit_index &&
	    dy_store_entry_term(raft->store, index) == raft->term)
		raft_set_commit(raft, index);
}

/* Report the first index of the conflicting term, or the end of the log. */
static void find_conflict(const dy_raft_t *raft, uint64_t prev,
			  dy_raft_append_reply_t *reply)
{
	uint64_t last = dy_store_last_index(raft->store);
	uint64_t first = dy_store_first_index(raft->store);
	uint64_t index = prev;

	if (prev > last) {
		reply->conflict_index = last + 1;
		return;
	}
	reply->conflict_term = dy_store_entry_term(raft->store, prev);
	while (index > first && dy_store_entry_term(raft->store, index - 1) ==
					reply->conflict_term)
		index--;
	reply->conflict_index = index;
}

static int truncate_from(dy_raft_t *raft, uint64_t index)
{
	GError *error = NULL;

	dy_assert(index > raft->commit_index);
	*raft->counters.truncated +=
		dy_store_last_index(raft->store) + 1 - index;
	if (raft_persist_vote(raft))
		return -1;
	if (dy_store_truncate(raft->store, index, &error)) {
		raft_fail(raft, error);
		return -1;
	}
	raft_pop_configs(raft, index);
	return 0;
}

/* Returns 0, or -1 if the disk failed. */
static int store_entry(dy_raft_t *raft, const dy_raft_entry_t *entry)
{
	const dy_raft_entry_t *own =
		dy_store_find_entry(raft->store, entry->index);

	if (own && own->term == entry->term) {
		dy_assert(own->type == entry->type &&
			  own->data.data_len == entry->data.data_len);
		return 0;
	}
	if (entry->index < dy_store_first_index(raft->store))
		return 0;
	if (own && truncate_from(raft, entry->index))
		return -1;
	dy_store_append(raft->store, entry);
	if (entry->type == DY_ENTRY_CONFIG)
		raft_push_config(raft, entry);
	return 0;
}

/* Whether the log has the entry that precedes the leader's entries. */
static int log_matches(const dy_raft_t *raft, const dy_raft_append_t *append)
{
	uint64_t prev = append->prev_index;

	/* Entries in the snapshot are committed, so they match the leader's. */
	if (prev + 1 < dy_store_first_index(raft->store))
		return 1;
	if (prev > dy_store_last_index(raft->store))
		return 0;
	return dy_store_entry_term(raft->store, prev) == append->prev_term;
}

/* Whether indices and terms are in order; else the batch is refused. */
static int is_in_order(const dy_raft_message_t *message)
{
	const dy_raft_append_t *append = &message->body.dy_raft_body_t_u.append;
	uint64_t term = append->prev_term;
	const dy_raft_entry_t *entry;
	u_int i;

	for (i = 0; i < append->entries.entries_len; i++) {
		entry = &append->entries.entries_val[i];
		if (entry->index != append->prev_index + 1 + i ||
		    entry->term < term || entry->term > message->term)
			return 0;
		term = entry->term;
	}
	return 1;
}

void raft_handle_append(dy_raft_t *raft, const dy_raft_message_t *message)
{
	const dy_raft_append_t *append = &message->body.dy_raft_body_t_u.append;
	uint64_t match = append->prev_index + append->entries.entries_len;
	dy_raft_message_t answer;
	dy_raft_append_reply_t *reply =
		&answer.body.dy_raft_body_t_u.append_reply;
	u_int i;

	if (!is_in_order(message))
		return;
	raft_follow_leader(raft, message->from);
	raft_init_message(raft, &answer, DY_RAFT_APPEND_REPLY, message->from);
	reply->prev_index = append->prev_index;
	reply->round = append->round;
	if (log_matches(raft, append)) {
		for (i = 0; i < append->entries.entries_len; i++)
			if (store_entry(raft, &append->entries.entries_val[i]))
				return;
		reply->accepted = 1;
		reply->match_index = match;
		match = MIN(append->commit, match);
		if (match > raft->commit_index)
			raft_set_commit(raft, match);
	} else {
		dy_assert(append->prev_index > raft->commit_index);
		find_conflict(raft, append->prev_index, reply);
	}
	/* Sent by the flush, after the entries are synced. */
	answer.config_index = raft_newest_config(raft)->index;
	raft_enqueue(raft, &answer);
}

/*
 * Next index to send after a conflict: the one after this log's last entry of
 * the conflicting term, else the index that the follower reported.
 */
static uint64_t choose_next_index(const dy_raft_t *raft,
				  const dy_raft_append_reply_t *reply)
{
	uint64_t index = reply->prev_index;

	if (!reply->conflict_term)
		return reply->conflict_index;
	while (index > reply->conflict_index &&
	       dy_store_entry_term(raft->store, index) > reply->conflict_term)
		index--;
	if (dy_store_entry_term(raft->store, index) == reply->conflict_term)
		return index + 1;
	return reply->conflict_index;
}

void raft_handle_append_reply(dy_raft_t *raft, const dy_raft_message_t *message)
{
	const dy_raft_append_reply_t *reply =
		&message->body.dy_raft_body_t_u.append_reply;
	peer_t *peer = raft_find_peer(raft, message->from);
	uint64_t next;

	if (raft->role != DY_RAFT_LEADER || !peer)
		return;
	peer->last_reply_ms = raft->now_ms;
	peer->acked_round = MAX(peer->acked_round, reply->round);
	if (reply->accepted) {
		dy_assert(reply->match_index <=
			  dy_store_last_index(raft->store));
		if (reply->match_index >= peer->next_index)
			peer->reply_deadline_ms = 0;
		peer->match_index = MAX(peer->match_index, reply->match_index);
		peer->next_index = MAX(peer->next_index, peer->match_index + 1);
	} else if (reply->prev_index + 1 == peer->next_index) {
		next = MIN(choose_next_index(raft, reply), reply->prev_index);
		peer->next_index = MAX(next, peer->match_index + 1);
		peer->reply_deadline_ms = 0;
	}
}
