#include "raft_private.h"

#include <string.h>

#include "damaskyard/invariant.h"

#define DEFAULT_ELECTION_MS 300
#define DEFAULT_HEARTBEAT_MS 30
#define DEFAULT_SNAPSHOT_ENTRIES 10000
#define DEFAULT_SNAPSHOT_BYTES (8u << 20)
/* Callbacks may propose again; what is beyond this waits for the next turn. */
#define FLUSH_PASSES 4
/* Lines about refused messages: a few show who sends them. */
#define REFUSAL_LINES 5
#define REFUSAL_PERIOD_MS 10000

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

void raft_begin_message(const dy_raft_t *raft, dy_raft_message_t *message,
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

void raft_queue(dy_raft_t *raft, const dy_raft_message_t *message)
{
	g_array_append_vals(raft->outbox, message, 1);
}

void raft_end(dy_raft_t *raft, const waiting_t *waiting,
	      dy_raft_result_t result, uint64_t index)
{
	waiting_t ended = *waiting;

	ended.result = result;
	ended.index = index;
	if (result == DY_RAFT_UNKNOWN)
		(*raft->counters.unknown)++;
	g_array_append_val(raft->ended, ended);
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
	placed_config_t none = { 0 };

	raft->configs = g_array_new(FALSE, TRUE, sizeof(placed_config_t));
	g_array_append_val(raft->configs, none);
	raft->peers = g_array_new(FALSE, TRUE, sizeof(peer_t));
	raft->outbox = g_array_new(FALSE, FALSE, sizeof(dy_raft_message_t));
	raft->proposals = g_array_new(FALSE, FALSE, sizeof(waiting_t));
	raft->reads = g_array_new(FALSE, FALSE, sizeof(waiting_t));
	raft->ended = g_array_new(FALSE, FALSE, sizeof(waiting_t));
}

dy_raft_t *dy_raft_create(dy_store_t *store, const dy_raft_options_t *options,
			  const dy_raft_callbacks_t *callbacks, uint64_t now_ms,
			  GError **error)
{
	dy_log_limit_t limit =
		DY_LOG_LIMIT_INIT(REFUSAL_LINES, REFUSAL_PERIOD_MS);
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
	raft_expect_leader(raft);
	if (!dy_store_snapshot(store) || !raft_load_snapshot(raft))
		return raft;
	g_propagate_error(error, g_error_copy(raft->failure));
	dy_raft_destroy(raft);
	return NULL;
}

static void tell_ended(dy_raft_t *raft)
{
	GArray *ended = raft->ended;
	const waiting_t *waiting;
	guint i;

	if (!ended->len)
		return;
	raft->ended = g_array_new(FALSE, FALSE, sizeof(waiting_t));
	for (i = 0; i < ended->len; i++) {
		waiting = &g_array_index(ended, waiting_t, i);
		if (waiting->done)
			waiting->done(waiting->context, waiting->result,
				      waiting->index);
	}
	g_array_free(ended, TRUE);
}

void dy_raft_destroy(dy_raft_t *raft)
{
	if (!raft)
		return;
	raft_step_down(raft, raft->term);
	raft_end_transfer(raft, DY_RAFT_BUSY);
	tell_ended(raft);
	raft_pop_configs(raft, 0);
	dy_config_drop(
		&g_array_index(raft->configs, placed_config_t, 0).config);
	g_array_free(raft->configs, TRUE);
	g_array_free(raft->peers, TRUE);
	g_array_free(raft->outbox, TRUE);
	g_array_free(raft->proposals, TRUE);
	g_array_free(raft->reads, TRUE);
	g_array_free(raft->ended, TRUE);
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
	raft->election_at_ms = raft->now_ms;
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
 * Whether message concerns this member. A control that lost its disk comes
 * back with a new identity: what is meant for the old one is not for it, and
 * a member that was removed has no say. A sender that is in neither the
 * newest nor the committed configuration known here is heard only if it
 * knows a newer one, as a leader that was added while this member was away.
 */
static int admit(dy_raft_t *raft, const dy_raft_message_t *message)
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
	if (raft_knows_member(raft, message->from) ||
	    message->config_index > raft_newest_config(raft)->index)
		return 1;
	refuse(raft, message, raft->counters.refused_member, "member");
	if (message->body.kind == DY_RAFT_VOTE) {
		raft_begin_message(raft, &refusal, DY_RAFT_REFUSAL,
				   message->from);
		raft_queue(raft, &refusal);
	}
	return 0;
}

/* Tell a leader or candidate of an older term that it is not current. */
static void answer_old_term(dy_raft_t *raft, const dy_raft_message_t *message)
{
	dy_raft_message_t reply;

	if (message->body.kind != DY_RAFT_APPEND &&
	    message->body.kind != DY_RAFT_SNAPSHOT)
		return;
	raft_begin_message(raft, &reply, DY_RAFT_APPEND_REPLY, message->from);
	raft_queue(raft, &reply);
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
	if (raft->failed || !admit(raft, message))
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
		answer_old_term(raft, message);
	else
		dispatch(raft, message);
}

/*
 * Guards against a member that was late itself, as one on a small part of a
 * core that a crowd of questions keeps busy, or one that was stopped. It would
 * take the time for the others' silence, though what they said waits in its
 * socket: a leader would give up its majority, a follower call an election, and
 * all start again in the same crowd. What it missed beyond a heartbeat counts
 * for nobody's silence. No read rests on these times: a majority confirms each.
 */
static void forgive_own_delay(dy_raft_t *raft)
{
	uint64_t last_ms = raft->ticked_ms;
	uint64_t missed_ms;
	peer_t *peer;
	guint i;

	raft->ticked_ms = raft->now_ms;
	if (!last_ms || raft->now_ms - last_ms <= raft->options.heartbeat_ms)
		return;
	missed_ms = raft->now_ms - last_ms - raft->options.heartbeat_ms;
	raft->election_at_ms =
		MIN(raft->election_at_ms + missed_ms,
		    raft->now_ms + 2 * raft->options.election_ms);
	for (i = 0; i < raft->peers->len; i++) {
		peer = raft_peer_at(raft, i);
		if (peer->heard_ms)
			peer->heard_ms =
				MIN(peer->heard_ms + missed_ms, raft->now_ms);
	}
}

void dy_raft_tick(dy_raft_t *raft, uint64_t now_ms)
{
	raft->now_ms = MAX(raft->now_ms, now_ms);
	if (raft->failed)
		return;
	forgive_own_delay(raft);
	raft_tick_transfer(raft);
	if (raft->role == DY_RAFT_LEADER) {
		if (dy_raft_has_quorum(raft))
			return;
		(*raft->counters.quorum_lost)++;
		dy_log_event(DY_LOG_WARN, "raft_quorum_lost", "term=%llu",
			     (unsigned long long)raft->term);
		raft_step_down(raft, raft->term);
	} else if (raft->now_ms >= raft->election_at_ms) {
		if (raft_is_voter(raft))
			raft_start_election(raft, 1, 0);
		else
			raft_reset_election(raft);
	}
}

static void apply_committed(dy_raft_t *raft)
{
	const dy_raft_entry_t *entry;
	const waiting_t *first;

	while (raft->applied_index < raft->commit_index) {
		entry = dy_store_find_entry(raft->store,
					    raft->applied_index + 1);
		dy_assert(entry);
		raft->callbacks.apply(raft->callbacks.context, entry);
		raft->applied_index++;
		dy_assert(raft->applied_index <= raft->commit_index);
		while (raft->proposals->len) {
			first = &g_array_index(raft->proposals, waiting_t, 0);
			if (first->index > raft->applied_index)
				break;
			dy_assert(first->term == entry->term);
			raft_end(raft, first, DY_RAFT_DONE, first->index);
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

static void tell_changes(dy_raft_t *raft)
{
	tell_ended(raft);
	if (raft->role != raft->told_role ||
	    !dy_voter_id_equal(raft->leader, raft->told_leader)) {
		raft->told_role = raft->role;
		raft->told_leader = raft->leader;
		if (raft->callbacks.leadership_changed)
			raft->callbacks.leadership_changed(
				raft->callbacks.context, raft->role,
				raft->leader);
	}
	if (raft->failed && !raft->failure_told) {
		raft->failure_told = 1;
		if (raft->callbacks.failed)
			raft->callbacks.failed(raft->callbacks.context,
					       raft->failure);
	}
}

/*
 * Term and vote are durable before any message leaves. A leader's appends
 * leave before its own sync, which then overlaps with the others': it counts
 * itself only once synced. Answers leave after it, since they acknowledge.
 */
static void flush_once(dy_raft_t *raft)
{
	GError *error = NULL;

	if (raft_persist_vote(raft))
		return;
	if (raft->role == DY_RAFT_LEADER) {
		raft_start_round(raft);
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
	raft_finish_reads(raft);
	raft_write_snapshot(raft);
}

static int has_work(const dy_raft_t *raft)
{
	return !raft->failed &&
	       (raft->outbox->len || raft->ended->len || raft->vote_changed ||
		dy_store_synced_index(raft->store) <
			dy_store_last_index(raft->store));
}

void dy_raft_flush(dy_raft_t *raft)
{
	int passes = 0;

	do {
		flush_once(raft);
		tell_changes(raft);
	} while (has_work(raft) && ++passes < FLUSH_PASSES);
}

dy_raft_result_t dy_raft_propose(dy_raft_t *raft, const void *data,
				 uint32_t size, dy_raft_done_cb_t *done,
				 void *context)
{
	waiting_t waiting = { .done = done, .context = context };

	if (raft->failed || raft->role != DY_RAFT_LEADER)
		return DY_RAFT_NOT_LEADER;
	if (size > DY_RAFT_ENTRY_BYTES)
		return DY_RAFT_REFUSED;
	if (raft->transfer.done)
		return DY_RAFT_BUSY;
	waiting.index = raft_append(raft, DY_ENTRY_COMMAND, data, size);
	waiting.term = raft->term;
	g_array_append_val(raft->proposals, waiting);
	return DY_RAFT_DONE;
}
