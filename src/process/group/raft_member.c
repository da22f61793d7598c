#include "raft_private.h"

#include <string.h>

#include "damaskyard/invariant.h"

/*
 * A configuration is in force as soon as its entry is in the log, committed or
 * not. No change starts before the previous one and an entry of the leader's
 * own term are committed. If one member changes at a time, any majority of the
 * old configuration overlaps any majority of the new one. If two changed at
 * once, disjoint majorities could elect two leaders.
 */

/* A learner may be promoted if one message can close its lag. */
#define PROMOTION_MAX_LAG_ENTRIES DY_RAFT_BATCH_ENTRIES

const indexed_config_t *raft_newest_config(const dy_raft_t *raft)
{
	return &g_array_index(raft->configs, indexed_config_t,
			      raft->configs->len - 1);
}

const indexed_config_t *raft_config_at(const dy_raft_t *raft, uint64_t index)
{
	guint i = raft->configs->len - 1;

	while (i &&
	       g_array_index(raft->configs, indexed_config_t, i).index > index)
		i--;
	return &g_array_index(raft->configs, indexed_config_t, i);
}

static const dy_raft_member_t *find_member(const dy_raft_config_t *config,
					   dy_voter_id_t id)
{
	u_int i;

	for (i = 0; i < config->members.members_len; i++)
		if (dy_voter_id_equal(config->members.members_val[i].id, id))
			return &config->members.members_val[i];
	return NULL;
}

const dy_raft_member_t *raft_find_member(const dy_raft_t *raft,
					 dy_voter_id_t id)
{
	return find_member(&raft_newest_config(raft)->config, id);
}

int raft_is_known_member(const dy_raft_t *raft, dy_voter_id_t id)
{
	const indexed_config_t *committed =
		raft_config_at(raft, raft->commit_index);

	return raft_find_member(raft, id) ||
	       find_member(&committed->config, id);
}

int raft_is_voter(const dy_raft_t *raft)
{
	const dy_raft_member_t *self = raft_find_member(raft, raft->id);

	return self && self->role == DY_MEMBER_VOTER;
}

peer_t *raft_peer_at(const dy_raft_t *raft, guint position)
{
	return &g_array_index(raft->peers, peer_t, position);
}

peer_t *raft_find_peer(const dy_raft_t *raft, dy_voter_id_t id)
{
	guint i;

	for (i = 0; i < raft->peers->len; i++)
		if (dy_voter_id_equal(raft_peer_at(raft, i)->id, id))
			return raft_peer_at(raft, i);
	return NULL;
}

static guint count_voters(const dy_raft_config_t *config)
{
	guint n = 0;
	u_int i;

	for (i = 0; i < config->members.members_len; i++)
		n += config->members.members_val[i].role == DY_MEMBER_VOTER;
	return n;
}

guint raft_majority(const dy_raft_t *raft)
{
	return count_voters(&raft_newest_config(raft)->config) / 2 + 1;
}

/* Set peers to the newest configuration; peers that stay keep their state. */
static void rebuild_peers(dy_raft_t *raft)
{
	const dy_raft_config_t *config = &raft_newest_config(raft)->config;
	GArray *peers = g_array_new(FALSE, TRUE, sizeof(peer_t));
	const dy_raft_member_t *member;
	const peer_t *known;
	peer_t peer;
	u_int i;

	for (i = 0; i < config->members.members_len; i++) {
		member = &config->members.members_val[i];
		if (dy_voter_id_equal(member->id, raft->id))
			continue;
		memset(&peer, 0, sizeof(peer));
		peer.id = member->id;
		peer.next_index = dy_store_last_index(raft->store) + 1;
		peer.added_ms = raft->now_ms;
		known = raft_find_peer(raft, member->id);
		if (known)
			peer = *known;
		peer.voter = member->role == DY_MEMBER_VOTER;
		g_array_append_val(peers, peer);
	}
	g_array_free(raft->peers, TRUE);
	raft->peers = peers;
}

static void add_config(dy_raft_t *raft, const dy_raft_entry_t *entry)
{
	indexed_config_t placed = { .index = entry->index };

	if (dy_config_decode(&placed.config, entry->data.data_val,
			     entry->data.data_len)) {
		dy_assert(!"configuration entry decodes");
		return;
	}
	g_array_append_val(raft->configs, placed);
}

void raft_push_config(dy_raft_t *raft, const dy_raft_entry_t *entry)
{
	add_config(raft, entry);
	rebuild_peers(raft);
}

static void remove_configs(dy_raft_t *raft, uint64_t index)
{
	indexed_config_t *last;

	while (raft->configs->len > 1) {
		last = &g_array_index(raft->configs, indexed_config_t,
				      raft->configs->len - 1);
		if (last->index < index)
			break;
		dy_config_drop(&last->config);
		g_array_set_size(raft->configs, raft->configs->len - 1);
	}
}

void raft_pop_configs(dy_raft_t *raft, uint64_t index)
{
	remove_configs(raft, index);
	rebuild_peers(raft);
}

void raft_reload_configs(dy_raft_t *raft)
{
	const dy_store_snapshot_t *snapshot = dy_store_snapshot(raft->store);
	indexed_config_t base = { 0 };
	const dy_raft_entry_t *entry;
	uint64_t i;

	remove_configs(raft, 0);
	dy_config_drop(
		&g_array_index(raft->configs, indexed_config_t, 0).config);
	if (snapshot) {
		base.index = snapshot->config_index;
		dy_config_copy(&base.config, &snapshot->config);
	}
	g_array_index(raft->configs, indexed_config_t, 0) = base;
	for (i = dy_store_first_index(raft->store);
	     i <= dy_store_last_index(raft->store); i++) {
		entry = dy_store_find_entry(raft->store, i);
		if (entry->type == DY_ENTRY_CONFIG)
			add_config(raft, entry);
	}
	rebuild_peers(raft);
}

static dy_raft_result_t check_change(const dy_raft_t *raft)
{
	if (raft->failed || raft->role != DY_RAFT_LEADER)
		return DY_RAFT_NOT_LEADER;
	if (raft->transfer.done || raft->commit_index < raft->term_start_index)
		return DY_RAFT_BUSY;
	if (raft_newest_config(raft)->index > raft->commit_index)
		return DY_RAFT_BUSY;
	return DY_RAFT_DONE;
}

/* Append a configuration of these members. Frees members. */
static dy_raft_result_t propose_config(dy_raft_t *raft, GArray *members,
				       dy_raft_done_cb_t *done, void *context)
{
	dy_raft_config_t config;
	pending_t pending = { .done = done, .context = context };
	uint32_t size;
	char *data;

	config.members.members_val = (dy_raft_member_t *)(void *)members->data;
	config.members.members_len = members->len;
	data = dy_config_encode(&config, &size);
	pending.index = raft_append(raft, DY_ENTRY_CONFIG, data, size);
	pending.term = raft->term;
	g_array_append_val(raft->proposals, pending);
	dy_log_event(DY_LOG_INFO, "raft_membership_proposed",
		     "members=%u voters=%u index=%llu", members->len,
		     count_voters(&config), (unsigned long long)pending.index);
	g_free(data);
	g_array_free(members, TRUE);
	return DY_RAFT_DONE;
}

/* A shallow copy of the newest configuration's members. */
static GArray *copy_members(const dy_raft_t *raft)
{
	const dy_raft_config_t *config = &raft_newest_config(raft)->config;
	GArray *members = g_array_new(FALSE, FALSE, sizeof(dy_raft_member_t));

	g_array_append_vals(members, config->members.members_val,
			    config->members.members_len);
	return members;
}

dy_raft_result_t dy_raft_add_learner(dy_raft_t *raft, dy_voter_id_t id,
				     const char *address,
				     dy_raft_done_cb_t *done, void *context)
{
	dy_raft_member_t member = { id, DY_MEMBER_LEARNER, (char *)address };
	dy_raft_result_t result = check_change(raft);
	GArray *members;

	if (result != DY_RAFT_DONE)
		return result;
	members = copy_members(raft);
	if (!id.identity || raft_find_member(raft, id) ||
	    strlen(address) > DY_RAFT_ADDRESS_MAX ||
	    members->len >= DY_RAFT_MEMBERS_MAX) {
		g_array_free(members, TRUE);
		return DY_RAFT_REFUSED;
	}
	g_array_append_val(members, member);
	return propose_config(raft, members, done, context);
}

static int slot_has_voter(const dy_raft_t *raft, uint32_t slot)
{
	const dy_raft_config_t *config = &raft_newest_config(raft)->config;
	const dy_raft_member_t *member;
	u_int i;

	for (i = 0; i < config->members.members_len; i++) {
		member = &config->members.members_val[i];
		if (member->id.slot == slot && member->role == DY_MEMBER_VOTER)
			return 1;
	}
	return 0;
}

dy_raft_result_t dy_raft_promote(dy_raft_t *raft, dy_voter_id_t id,
				 dy_raft_done_cb_t *done, void *context)
{
	dy_raft_result_t result = check_change(raft);
	const peer_t *peer = raft_find_peer(raft, id);
	dy_raft_member_t *member;
	GArray *members;
	guint i;

	if (result != DY_RAFT_DONE)
		return result;
	if (!peer || peer->voter || slot_has_voter(raft, id.slot))
		return DY_RAFT_REFUSED;
	if (!raft_peer_is_active(raft, peer) ||
	    peer->match_index + PROMOTION_MAX_LAG_ENTRIES < raft->commit_index)
		return DY_RAFT_BUSY;
	members = copy_members(raft);
	for (i = 0; i < members->len; i++) {
		member = &g_array_index(members, dy_raft_member_t, i);
		if (dy_voter_id_equal(member->id, id))
			member->role = DY_MEMBER_VOTER;
	}
	return propose_config(raft, members, done, context);
}

dy_raft_result_t dy_raft_remove(dy_raft_t *raft, dy_voter_id_t id,
				dy_raft_done_cb_t *done, void *context)
{
	dy_raft_result_t result = check_change(raft);
	GArray *members;
	guint i;

	if (result != DY_RAFT_DONE)
		return result;
	if (dy_voter_id_equal(id, raft->id) || !raft_find_peer(raft, id))
		return DY_RAFT_REFUSED;
	members = copy_members(raft);
	for (i = 0; i < members->len; i++)
		if (dy_voter_id_equal(
			    g_array_index(members, dy_raft_member_t, i).id, id))
			break;
	g_array_remove_index(members, i);
	return propose_config(raft, members, done, context);
}
