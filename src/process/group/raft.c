#include "raft_private.h"

#include <string.h>

#include "damaskyard/invariant.h"

#define DEFAULT_ELECTION_MS 300
#define DEFAULT_HEARTBEAT_MS 30
#define DEFAULT_SNAPSHOT_ENTRIES 10000
#define DEFAULT_SNAPSHOT_BYTES (8u << 20)
/*
 * Callbacks may create new work. Work left after this many passes waits for
 * the next flush.
 */
#define FLUSH_MAX_PASSES 4
/* Rate limit of log lines about refused messages: a few show the sender. */
#define REFUSAL_LOG_LINES 5
#define REFUSAL_LOG_PERIOD_MS 10000

void raft_fail(dy_raft_t *raft, GError *error)
{
	if (raft->failed) {
		g_error_free(error);
		return;
	}
	raft_step_down(raft, raft->term);
	raft_end_transfer(raft, DY_RAFT_NOT_LEADER);
	raft->failed = 1;
	raft->failure = error;
	g_array_set_size(raft->outbox, 0);
	(*raft->counters.disk_failed)++;
	dy_log_event(DY_LOG_ERROR, "raft_failed", "reason=%s",
		     dy_log_quote(error->message));
}

int raft_persist_vote(dy_raft_t *raft)
{
	GError *error = NULL;

	if (raft->failed)
		return -1;
	if (!raft->vote_changed)
		return 0;
	if (dy_store_write_vote(raft->store, raft->term, raft->vote, &error)) {
		raft_fail(raft, error);
		return -1;
	}
	raft->vote_changed = 0;
	return 0;
}

void raft_init_message(const dy_raft_t *raft, dy_raft_message_t *message,
		       dy_raft_kind_t kind, dy_voter_id_t to)
{
	memset(message, 0, sizeof(*message));
	message->group = dy_store_group(raft->store);
	message->from = raft->id;
	message->to = to;
	message->term = raft->term;
	message->config_index = raft_newest_config(raft)->index;
	message->body.kind = kind;
}

void raft_enqueue(dy_raft_t *raft, const dy_raft_message_t *message)
{
	g_array_append_vals(raft->outbox, message, 1);
}

void raft_complete(dy_raft_t *raft, const pending_t *pending,
		   dy_raft_result_t result, uint64_t index)
{
	pending_t completed = *pending;

	completed.result = result;
	completed.index = index;
	if (result == DY_RAFT_UNKNOWN)
		(*raft->counters.unknown)++;
	g_array_append_val(raft->completed, completed);
}

uint64_t raft_append(dy_raft_t *raft, dy_entry_type_t type, const void *data,
		     uint32_t size)
{
	dy_raft_entry_t entry = { .term = raft->term, .type = type };

	entry.index = dy_store_last_index(raft->store) + 1;
	entry.data.data_val = (char *)data;
	entry.data.data_len = size;
	dy_store_append(raft->store, &entry);
	if (type == DY_ENTRY_CONFIG)
		raft_push_config(raft, &entry);
	return entry.index;
}

static void register_counters(dy_raft_t *raft)
{
	dy_metrics_t *metrics = raft->options.metrics;
	raft_counters_t *counters = &raft->counters;
	const struct {
		uint64_t **counter;
		const char *name;
	} names[] = {
		{ &counters->refused_group, "raft_refused_group" },
		{ &counters->refused_identity, "raft_refused_identity" },
		{ &counters->refused_member, "raft_refused_member" },
		{ &counters->not_member, "raft_not_member" },
		{ &counters->pre_votes, "raft_pre_votes" },
		{ &counters->elections, "raft_elections" },
		{ &counters->won, "raft_elections_won" },
		{ &counters->quorum_lost, "raft_quorum_lost" },
		{ &counters->truncated, "raft_entries_truncated" },
		{ &counters->committed, "raft_entries_committed" },
		{ &counters->reads, "raft_reads_confirmed" },
		{ &counters->read_rounds, "raft_read_rounds" },
		{ &counters->unknown, "raft_proposals_unknown" },
		{ &counters->snapshots_written, "raft_snapshots_written" },
		{ &counters->snapshots_failed, "raft_snapshots_failed" },
		{ &counters->snapshots_sent, "raft_snapshots_sent" },
		{ &counters->snapshots_installed, "raft_snapshots_installed" },
		{ &counters->disk_failed, "raft_disk_failed" },
		{ &counters->torn_bytes, "raft_torn_bytes" },
	};
	size_t i;

	if (!metrics) {
		raft->own_metrics = dy_metrics_create();
		metrics = raft->own_metrics;
	}
	for (i = 0; i < G_N_ELEMENTS(names); i++)
		*names[i].counter = dy_metrics_counter(metrics, names[i].name);
}

static void set_options(dy_raft_t *raft, const dy_raft_options_t *options)
{
	dy_raft_options_t *own = &raft->options;

	*own = *options;
	if (!own->election_ms)
		own->election_ms = DEFAULT_ELECTION_MS;
	if (!own->first_election_ms)
		own->first_election_ms = own->election_ms;
	if (!own->heartbeat_ms)
		own->heartbeat_ms = DEFAULT_HEARTBEAT_MS;
	if (!own->snapshot_entries)
		own->snapshot_entries = DEFAULT_SNAPSHOT_ENTRIES;
	if (!own->snapshot_bytes)
		own->snapshot_bytes = DEFAULT_SNAPSHOT_BYTES;
}

static void create_arrays(dy_raft_t *raft)
{
	indexed_config_t none = { 0 };

	raft->configs = g_array_new(FALSE, TRUE, sizeof(indexed_config_t));
	g_array_append_val(raft->configs, none);
	raft->peers = g_array_new(FALSE, TRUE, sizeof(peer_t));
	raft->outbox = g_array_new(FALSE, FALSE, sizeof(dy_raft_message_t));
	raft->proposals = g_array_new(FALSE, FALSE, sizeof(pending_t));
	raft->reads = g_array_new(FALSE, FALSE, sizeof(pending_t));
	raft->completed = g_array_new(FALSE, FALSE, sizeof(pending_t));
}

dy_raft_t *dy_raft_create(dy_store_t *store, const dy_raft_options_t *options,
			  const dy_raft_callbacks_t *callbacks, uint64_t now_ms,
			  GError **error)
{
	dy_log_limit_t limit =
		DY_LOG_LIMIT_INIT(REFUSAL_LOG_LINES, REFUSAL_LOG_PERIOD_MS);
	dy_raft_t *raft = g_new0(dy_raft_t, 1);

	raft->store = store;
	raft->callbacks = *callbacks;
	raft->id = dy_store_id(store);
	raft->now_ms = now_ms;
	raft->term = dy_store_term(store);
	raft->vote = dy_store_vote(store);
	raft->refusal_limit = limit;
	set_options(raft, options);
	register_counters(raft);
	*raft->counters.torn_bytes += dy_store_torn_bytes(store);
	create_arrays(raft);
	raft->rand = g_rand_new_with_seed(raft->options.seed);
	dy_assert(dy_store_entry_term(store, dy_store_last_index(store)) <=
		  raft->term);
	raft_reload_configs(raft);
	raft_reset_first_election_timer(raft);
	if (!dy_store_snapshot(store) || !raft_load_snapshot(raft))
		return raft;
	g_propagate_error(error, g_error_copy(raft->failure));
	dy_raft_destroy(raft);
	return NULL;
}

static void run_done_callbacks(dy_raft_t *raft)
{
	GArray *completed = raft->completed;
	const pending_t *pending;
	guint i;

	if (!completed->len)
		return;
	raft->completed = g_array_new(FALSE, FALSE, sizeof(pending_t));
	for (i = 0; i < completed->len; i++) {
		pending = &g_array_index(completed, pending_t, i);
		if (pending->done)
			pending->done(pending->context, pending->result,
				      pending->index);
	}
	g_array_free(completed, TRUE);
}

void dy_raft_destroy(dy_raft_t *raft)
{
	if (!raft)
		return;
	raft_step_down(raft, raft->term);
	raft_end_transfer(raft, DY_RAFT_BUSY);
	run_done_callbacks(raft);
	raft_pop_configs(raft, 0);
	dy_config_drop(
		&g_array_index(raft->configs, indexed_config_t, 0).config);
	g_array_free(raft->configs, TRUE);
	g_array_free(raft->peers, TRUE);
	g_array_free(raft->outbox, TRUE);
	g_array_free(raft->proposals, TRUE);
	g_array_free(raft->reads, TRUE);
	g_array_free(raft->completed, TRUE);
	g_rand_free(raft->rand);
	g_clear_error(&raft->failure);
	dy_metrics_destroy(raft->own_metrics);
	g_free(raft);
}

dy_raft_result_t dy_raft_bootstrap(dy_raft_t *raft, const char *address)
{
	dy_raft_member_t self = { raft->id, DY_MEMBER_VOTER, (char *)address };
	dy_raft_config_t config = { { 1, &self } };
	uint32_t size;
	char *data;

	if (raft->failed || dy_store_last_index(raft->store) || raft->term > 1)
		return DY_RAFT_REFUSED;
	if (!*address || strlen(address) > DY_RAFT_ADDRESS_MAX)
		return DY_RAFT_REFUSED;
	raft->term = 1;
	raft->vote_changed = 1;
	data = dy_config_encode(&config, &size);
	raft_append(raft, DY_ENTRY_CONFIG, data, size);
	g_free(data);
	raft->election_deadline_ms = raft->now_ms;
	return DY_RAFT_DONE;
}

static void refuse(dy_raft_t *raft, const dy_raft_message_t *message,
		   uint64_t *counter, const char *reason)
{
	(*counter)++;
	if (dy_log_allow(&raft->refusal_limit, "raft_refused", raft->now_ms))
		dy_log_event(DY_LOG_WARN, "raft_refused",
			     "reason=%s kind=%d slot=%u identity=%llx", reason,
			     (int)message->body.kind, message->from.slot,
			     (unsigned long long)message->from.identity);
}

/*
 * Whether message is for this member and from a member of its group. A
 * control that lost its disk returns with a new identity, so messages for the
 * old identity are refused, as are those of a removed member. A sender in
 * neither the newest nor the committed configuration here is accepted only if
 * it has a newer configuration, as a leader that was added while this member
 * was down.
 */
static int check_addressing(dy_raft_t *raft, const dy_raft_message_t *message)
{
	dy_raft_message_t refusal;

	if (message->group != dy_store_group(raft->store)) {
		refuse(raft, message, raft->counters.refused_group, "group");
		return 0;
	}
	if (!dy_voter_id_equal(message->to, raft->id)) {
		refuse(raft, message, raft->counters.refused_identity,
		       "identity");
		return 0;
	}
	if (raft_is_known_member(raft, message->from) ||
	    message->config_index > raft_newest_config(raft)->index)
		return 1;
	refuse(raft, message, raft->counters.refused_member, "member");
	if (message->body.kind == DY_RAFT_VOTE) {
		raft_init_message(raft, &refusal, DY_RAFT_REFUSAL,
				  message->from);
		raft_enqueue(raft, &refusal);
	}
	return 0;
}

/* Send the current term to a leader of an older term, which steps down. */
static void reply_to_stale_term(dy_raft_t *raft,
				const dy_raft_message_t *message)
{
	dy_raft_message_t reply;

	if (message->body.kind != DY_RAFT_APPEND &&
	    message->body.kind != DY_RAFT_SNAPSHOT)
		return;
	raft_init_message(raft, &reply, DY_RAFT_APPEND_REPLY, message->from);
	raft_enqueue(raft, &reply);
}

static void dispatch(dy_raft_t *raft, const dy_raft_message_t *message)
{
	switch (message->body.kind) {
	case DY_RAFT_VOTE_REPLY:
		raft_handle_vote_reply(raft, message);
		break;
	case DY_RAFT_APPEND:
		raft_handle_append(raft, message);
		break;
	case DY_RAFT_APPEND_REPLY:
		raft_handle_append_reply(raft, message);
		break;
	case DY_RAFT_SNAPSHOT:
		raft_handle_snapshot(raft, message);
		break;
	case DY_RAFT_SNAPSHOT_REPLY:
		raft_handle_snapshot_reply(raft, message);
		break;
	case DY_RAFT_TIMEOUT_NOW:
		raft_handle_timeout_now(raft, message);
		break;
	default:
		break;
	}
}

void dy_raft_receive(dy_raft_t *raft, const dy_raft_message_t *message,
		     uint64_t now_ms)
{
	raft->now_ms = MAX(raft->now_ms, now_ms);
	if (raft->failed || !check_addressing(raft, message))
		return;
	if (message->body.kind == DY_RAFT_VOTE) {
		raft_handle_vote(raft, message);
		return;
	}
	if (message->body.kind == DY_RAFT_REFUSAL) {
		refuse(raft, message, raft->counters.not_member, "removed");
		return;
	}
	if (message->term > raft->term)
		raft_step_down(raft, message->term);
	if (message->term < raft->term)
		reply_to_stale_term(raft, message);
	else
		dispatch(raft, message);
}

/*
 * Exclude the time that this member itself did not run from the timeouts of
 * the others.
 *
 * Load pattern: a member on a fraction of a core is busy with a burst of
 * requests for longer than a heartbeat interval, or its VM is paused. The
 * messages of the others wait in its socket, but it would count the delay as
 * their timeout: a leader would step down for lack of a quorum, a follower
 * would start an election, and the next leader would meet the same burst.
 *
 * Only the delay beyond one heartbeat interval is excluded. Reads do not
 * depend on these times, since a majority confirms each of them.
 */
static void exclude_own_delay(dy_raft_t *raft)
{
	uint64_t last_ms = raft->last_tick_ms;
	uint64_t missed_ms;
	peer_t *peer;
	guint i;

	raft->last_tick_ms = raft->now_ms;
	if (!last_ms || raft->now_ms - last_ms <= raft->options.heartbeat_ms)
		return;
	missed_ms = raft->now_ms - last_ms - raft->options.heartbeat_ms;
	raft->election_deadline_ms =
		MIN(raft->election_deadline_ms + missed_ms,
		    raft->now_ms + 2 * raft->options.election_ms);
	for (i = 0; i < raft->peers->len; i++) {
		peer = raft_peer_at(raft, i);
		peer->added_ms = MIN(peer->added_ms + missed_ms, raft->now_ms);
		if (peer->last_reply_ms)
			peer->last_reply_ms = MIN(
				peer->last_reply_ms + missed_ms, raft->now_ms);
	}
}

void dy_raft_tick(dy_raft_t *raft, uint64_t now_ms)
{
	raft->now_ms = MAX(raft->now_ms, now_ms);
	if (raft->failed)
		return;
	exclude_own_delay(raft);
	raft_tick_transfer(raft);
	if (raft->role == DY_RAFT_LEADER) {
		if (dy_raft_has_quorum(raft))
			return;
		(*raft->counters.quorum_lost)++;
		dy_log_event(DY_LOG_WARN, "raft_quorum_lost", "term=%llu",
			     (unsigned long long)raft->term);
		raft_step_down(raft, raft->term);
	} else if (raft->now_ms >= raft->election_deadline_ms) {
		if (raft_is_voter(raft))
			raft_start_election(raft, 1, 0);
		else
			raft_forget_leader(raft);
	}
}

static void apply_committed(dy_raft_t *raft)
{
	const dy_raft_entry_t *entry;
	const pending_t *first;

	while (raft->applied_index < raft->commit_index) {
		entry = dy_store_find_entry(raft->store,
					    raft->applied_index + 1);
		dy_assert(entry);
		raft->callbacks.apply(raft->callbacks.context, entry);
		raft->applied_index++;
		dy_assert(raft->applied_index <= raft->commit_index);
		while (raft->proposals->len) {
			first = &g_array_index(raft->proposals, pending_t, 0);
			if (first->index > raft->applied_index)
				break;
			dy_assert(first->term == entry->term);
			raft_complete(raft, first, DY_RAFT_DONE, first->index);
			g_array_remove_index(raft->proposals, 0);
		}
	}
}

static void send_outbox(dy_raft_t *raft)
{
	guint i;

	for (i = 0; i < raft->outbox->len; i++)
		raft->callbacks.send(
			raft->callbacks.context,
			&g_array_index(raft->outbox, dy_raft_message_t, i));
	g_array_set_size(raft->outbox, 0);
}

static void run_callbacks(dy_raft_t *raft)
{
	run_done_callbacks(raft);
	if (raft->role != raft->reported_role ||
	    !dy_voter_id_equal(raft->leader, raft->reported_leader)) {
		raft->reported_role = raft->role;
		raft->reported_leader = raft->leader;
		if (raft->callbacks.leadership_changed)
			raft->callbacks.leadership_changed(
				raft->callbacks.context, raft->role,
				raft->leader);
	}
	if (raft->failed && !raft->failure_reported) {
		raft->failure_reported = 1;
		if (raft->callbacks.failed)
			raft->callbacks.failed(raft->callbacks.context,
					       raft->failure);
	}
}

/*
 * Term and vote are durable before any message is sent. A leader sends its
 * appends before its own sync, so that it overlaps with the followers' syncs;
 * it counts itself for the commit only after its sync. Replies are sent after
 * the sync, since they acknowledge what was synced.
 */
static void flush_once(dy_raft_t *raft)
{
	GError *error = NULL;

	if (raft_persist_vote(raft))
		return;
	if (raft->role == DY_RAFT_LEADER) {
		raft_start_read_round(raft);
		raft_send_to_peers(raft);
	}
	if (dy_store_sync(raft->store, &error)) {
		raft_fail(raft, error);
		return;
	}
	send_outbox(raft);
	if (raft->role == DY_RAFT_LEADER)
		raft_advance_commit(raft);
	apply_committed(raft);
	raft_complete_reads(raft);
	raft_write_snapshot(raft);
}

static int has_work(const dy_raft_t *raft)
{
	return !raft->failed && (raft->outbox->len || raft->completed->len ||
				 raft->vote_changed ||
				 dy_store_synced_index(raft->store) <
					 dy_store_last_index(raft->store));
}

void dy_raft_flush(dy_raft_t *raft)
{
	int passes = 0;

	do {
		flush_once(raft);
		run_callbacks(raft);
	} while (has_work(raft) && ++passes < FLUSH_MAX_PASSES);
}

dy_raft_result_t dy_raft_propose(dy_raft_t *raft, const void *data,
				 uint32_t size, dy_raft_done_cb_t *done,
				 void *context)
{
	pending_t pending = { .done = done, .context = context };

	if (raft->failed || raft->role != DY_RAFT_LEADER)
		return DY_RAFT_NOT_LEADER;
	if (size > DY_RAFT_ENTRY_BYTES)
		return DY_RAFT_REFUSED;
	if (raft->transfer.done)
		return DY_RAFT_BUSY;
	pending.index = raft_append(raft, DY_ENTRY_COMMAND, data, size);
	pending.term = raft->term;
	g_array_append_val(raft->proposals, pending);
	return DY_RAFT_DONE;
}
