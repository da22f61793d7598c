#include "raft_private.h"

#include <string.h>

#include "damaskyard/invariant.h"

/* Delay before a failed snapshot, as on a full disk, is retried. */
#define SNAPSHOT_RETRY_MS 10000
/* The log may exceed its limits by this factor for a lagging member. */
#define LAGGING_PEER_LOG_FACTOR 4

static int add_snapshot_bytes(void *context, const void *data, size_t size)
{
	dy_raft_t *raft = context;
	GError *error = NULL;

	if (!dy_store_snapshot_add(raft->store, data, size, &error))
		return 0;
	dy_log_event(DY_LOG_ERROR, "raft_snapshot_failed", "reason=%s",
		     dy_log_quote(error->message));
	g_error_free(error);
	return -1;
}

/*
 * A leader defers the snapshot while an active peer lags, since the snapshot
 * would remove the entries that the peer still needs.
 */
static int is_snapshot_due(const dy_raft_t *raft)
{
	uint64_t entries =
		raft->applied_index + 1 - dy_store_first_index(raft->store);
	uint64_t bytes = dy_store_log_bytes(raft->store);
	const peer_t *peer;
	guint i;

	if (!entries || raft->now_ms < raft->snapshot_retry_at_ms)
		return 0;
	if (entries <= raft->options.snapshot_entries &&
	    bytes <= raft->options.snapshot_bytes)
		return 0;
	if (entries > (uint64_t)raft->options.snapshot_entries *
			      LAGGING_PEER_LOG_FACTOR ||
	    bytes > (uint64_t)raft->options.snapshot_bytes *
			    LAGGING_PEER_LOG_FACTOR ||
	    raft->role != DY_RAFT_LEADER)
		return 1;
	for (i = 0; i < raft->peers->len; i++) {
		peer = raft_peer_at(raft, i);
		if (raft_peer_is_active(raft, peer) &&
		    peer->match_index < raft->applied_index)
			return 0;
	}
	return 1;
}

static int write_snapshot(dy_raft_t *raft, GError **error)
{
	const indexed_config_t *config =
		raft_config_at(raft, raft->applied_index);
	dy_store_snapshot_t meta = { 0 };

	meta.last_index = raft->applied_index;
	meta.last_term = dy_store_entry_term(raft->store, raft->applied_index);
	meta.config_index = config->index;
	meta.config = config->config;
	if (dy_store_snapshot_begin(raft->store, &meta, error))
		return -1;
	if (raft->callbacks.write_snapshot(raft->callbacks.context,
					   add_snapshot_bytes, raft)) {
		dy_store_snapshot_abort(raft->store);
		g_set_error(error, DY_STORE_ERROR, DY_STORE_ERROR_IO,
			    "the snapshot was aborted");
		return -1;
	}
	return dy_store_snapshot_commit(raft->store, error);
}

void raft_write_snapshot(dy_raft_t *raft)
{
	GError *error = NULL;

	if (raft->failed || !is_snapshot_due(raft))
		return;
	raft->install_index = 0;
	if (!write_snapshot(raft, &error)) {
		(*raft->counters.snapshots_written)++;
		raft_reload_configs(raft);
		return;
	}
	(*raft->counters.snapshots_failed)++;
	if (dy_store_failed(raft->store)) {
		raft_fail(raft, error);
		return;
	}
	raft->snapshot_retry_at_ms = raft->now_ms + SNAPSHOT_RETRY_MS;
	dy_log_event(DY_LOG_ERROR, "raft_snapshot_failed", "reason=%s",
		     dy_log_quote(error->message));
	g_error_free(error);
}

typedef struct snapshot_reader {
	dy_raft_t *raft;
	char chunk[DY_RAFT_CHUNK_BYTES];
	uint64_t offset;
	int size;
	int used;
	GError *error;
} snapshot_reader_t;

static int read_bytes(void *context, void *data, size_t size)
{
	snapshot_reader_t *reader = context;
	size_t n;

	if (reader->used == reader->size) {
		reader->size = dy_store_snapshot_read(
			reader->raft->store, reader->offset, reader->chunk,
			&reader->error);
		reader->used = 0;
		if (reader->size <= 0)
			return reader->size;
		reader->offset += reader->size;
	}
	n = MIN(size, (size_t)(reader->size - reader->used));
	memcpy(data, reader->chunk + reader->used, n);
	reader->used += (int)n;
	return (int)n;
}

int raft_load_snapshot(dy_raft_t *raft)
{
	const dy_store_snapshot_t *snapshot = dy_store_snapshot(raft->store);
	snapshot_reader_t *reader = g_new0(snapshot_reader_t, 1);
	int failed;

	reader->raft = raft;
	failed = raft->callbacks.load_snapshot(raft->callbacks.context,
					       read_bytes, reader);
	if (failed && !reader->error)
		g_set_error(&reader->error, DY_STORE_ERROR,
			    DY_STORE_ERROR_CORRUPT,
			    "snapshot: contents are invalid");
	if (failed)
		raft_fail(raft, reader->error);
	g_free(reader);
	if (failed)
		return -1;
	dy_assert(snapshot->last_index >= raft->commit_index);
	raft->commit_index = snapshot->last_index;
	raft->applied_index = snapshot->last_index;
	return 0;
}

void raft_begin_snapshot(dy_raft_t *raft, peer_t *peer)
{
	peer->snapshot_index = dy_store_snapshot(raft->store)->last_index;
	peer->snapshot_offset = 0;
	peer->reply_deadline_ms = 0;
	(*raft->counters.snapshots_sent)++;
}

void raft_send_snapshot(dy_raft_t *raft, peer_t *peer)
{
	const dy_store_snapshot_t *snapshot = dy_store_snapshot(raft->store);
	char chunk[DY_RAFT_CHUNK_BYTES];
	dy_raft_message_t message;
	dy_raft_snapshot_t *part = &message.body.dy_raft_body_t_u.snapshot;
	GError *error = NULL;
	int size = 0;

	if (peer->snapshot_index != snapshot->last_index)
		raft_begin_snapshot(raft, peer);
	/* Without data the message is a heartbeat; the reply has the offset. */
	if (raft_peer_is_active(raft, peer) &&
	    raft->now_ms >= peer->reply_deadline_ms) {
		size = dy_store_snapshot_read(
			raft->store, peer->snapshot_offset, chunk, &error);
		peer->reply_deadline_ms =
			raft->now_ms + raft_reply_timeout_ms(raft);
	}
	if (size < 0) {
		raft_fail(raft, error);
		return;
	}
	raft_init_message(raft, &message, DY_RAFT_SNAPSHOT, peer->id);
	part->last_index = snapshot->last_index;
	part->last_term = snapshot->last_term;
	part->config_index = snapshot->config_index;
	part->config = snapshot->config;
	part->size = snapshot->size;
	part->offset = peer->snapshot_offset;
	part->data.data_val = chunk;
	part->data.data_len = size;
	part->round = raft->round;
	peer->sent_round = raft->round;
	peer->next_heartbeat_ms = raft->now_ms + raft->options.heartbeat_ms;
	raft->callbacks.send(raft->callbacks.context, &message);
}

/* Drop the snapshot being received; it restarts at 0. Returns -1. */
static int install_failed(dy_raft_t *raft, GError *error)
{
	raft->install_index = 0;
	raft->install_offset = 0;
	(*raft->counters.snapshots_failed)++;
	if (dy_store_failed(raft->store)) {
		raft_fail(raft, error);
		return -1;
	}
	dy_log_event(DY_LOG_ERROR, "raft_snapshot_failed", "reason=%s",
		     dy_log_quote(error->message));
	g_error_free(error);
	return -1;
}

/*
 * Restart for each snapshot and each leader: two leaders may encode the same
 * state in different bytes, and parts of two snapshots must not be mixed.
 */
static int begin_install(dy_raft_t *raft, const dy_raft_snapshot_t *part,
			 GError **error)
{
	dy_store_snapshot_t meta = { 0 };

	if (raft->install_index == part->last_index &&
	    raft->install_leader_term == raft->term)
		return 0;
	meta.last_index = part->last_index;
	meta.last_term = part->last_term;
	meta.config_index = part->config_index;
	meta.config = part->config;
	if (dy_store_snapshot_begin(raft->store, &meta, error))
		return -1;
	raft->install_index = part->last_index;
	raft->install_leader_term = raft->term;
	raft->install_offset = 0;
	return 0;
}

static int finish_install(dy_raft_t *raft, GError **error)
{
	raft->install_index = 0;
	if (raft_persist_vote(raft))
		return 0;
	if (dy_store_snapshot_commit(raft->store, error))
		return -1;
	raft_reload_configs(raft);
	if (raft_load_snapshot(raft))
		return 0;
	(*raft->counters.snapshots_installed)++;
	dy_log_event(DY_LOG_INFO, "raft_snapshot_installed", "index=%llu",
		     (unsigned long long)raft->commit_index);
	return 0;
}

static int store_chunk(dy_raft_t *raft, const dy_raft_snapshot_t *part)
{
	GError *error = NULL;

	if (begin_install(raft, part, &error))
		return install_failed(raft, error);
	if (part->offset != raft->install_offset)
		return 0;
	if (part->data.data_len &&
	    dy_store_snapshot_add(raft->store, part->data.data_val,
				  part->data.data_len, &error))
		return install_failed(raft, error);
	raft->install_offset += part->data.data_len;
	if (raft->install_offset == part->size && finish_install(raft, &error))
		return install_failed(raft, error);
	return 0;
}

void raft_handle_snapshot(dy_raft_t *raft, const dy_raft_message_t *message)
{
	const dy_raft_snapshot_t *part =
		&message->body.dy_raft_body_t_u.snapshot;
	dy_raft_message_t answer;
	dy_raft_snapshot_reply_t *reply =
		&answer.body.dy_raft_body_t_u.snapshot_reply;

	raft_follow_leader(raft, message->from);
	if (part->last_index > raft->commit_index)
		(void)store_chunk(raft, part);
	if (raft->failed)
		return;
	raft_init_message(raft, &answer, DY_RAFT_SNAPSHOT_REPLY, message->from);
	reply->last_index = part->last_index;
	reply->installed = part->last_index <= raft->commit_index;
	reply->next_offset = raft->install_offset;
	reply->round = part->round;
	raft_enqueue(raft, &answer);
}

void raft_handle_snapshot_reply(dy_raft_t *raft,
				const dy_raft_message_t *message)
{
	const dy_raft_snapshot_reply_t *reply =
		&message->body.dy_raft_body_t_u.snapshot_reply;
	peer_t *peer = raft_find_peer(raft, message->from);

	if (raft->role != DY_RAFT_LEADER || !peer)
		return;
	peer->last_reply_ms = raft->now_ms;
	peer->acked_round = MAX(peer->acked_round, reply->round);
	if (!peer->snapshot_index || peer->snapshot_index != reply->last_index)
		return;
	peer->reply_deadline_ms = 0;
	peer->snapshot_offset = reply->next_offset;
	if (!reply->installed)
		return;
	peer->snapshot_index = 0;
	peer->match_index = MAX(peer->match_index, reply->last_index);
	peer->next_index = MAX(peer->next_index, peer->match_index + 1);
}
