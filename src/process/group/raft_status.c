#include "raft_private.h"

dy_raft_role_t dy_raft_role(const dy_raft_t *raft)
{
	return raft->role;
}

dy_voter_id_t dy_raft_id(const dy_raft_t *raft)
{
	return raft->id;
}

dy_voter_id_t dy_raft_leader(const dy_raft_t *raft)
{
	return raft->leader;
}

uint64_t dy_raft_term(const dy_raft_t *raft)
{
	return raft->term;
}

uint64_t dy_raft_commit_index(const dy_raft_t *raft)
{
	return raft->commit_index;
}

uint64_t dy_raft_applied_index(const dy_raft_t *raft)
{
	return raft->applied_index;
}

int dy_raft_is_current(const dy_raft_t *raft)
{
	return raft->commit_index &&
	       raft->applied_index == raft->commit_index &&
	       dy_store_entry_term(raft->store, raft->commit_index) ==
		       raft->term;
}

int dy_raft_failed(const dy_raft_t *raft)
{
	return raft->failed;
}

const dy_raft_config_t *dy_raft_config(const dy_raft_t *raft)
{
	return &raft_newest_config(raft)->config;
}

int dy_raft_config_is_committed(const dy_raft_t *raft)
{
	return raft_newest_config(raft)->index <= raft->commit_index;
}

int dy_raft_config_has(const dy_raft_config_t *config, dy_voter_id_t id)
{
	unsigned i;

	for (i = 0; i < config->members.members_len; i++)
		if (dy_voter_id_equal(config->members.members_val[i].id, id))
			return 1;
	return 0;
}

int dy_raft_has_quorum(const dy_raft_t *raft)
{
	guint heard = raft_is_voter(raft);
	guint i;

	if (raft->role != DY_RAFT_LEADER)
		return 0;
	for (i = 0; i < raft->peers->len; i++)
		heard += raft_peer_at(raft, i)->voter &&
			 raft_peer_is_active(raft, raft_peer_at(raft, i));
	return heard >= raft_majority(raft);
}

const char *dy_raft_find_address(const dy_raft_t *raft, dy_voter_id_t id)
{
	const dy_raft_member_t *member = raft_find_member(raft, id);

	return member ? member->address : NULL;
}

uint64_t dy_raft_member_lag(const dy_raft_t *raft, dy_voter_id_t id,
			    uint64_t *heard_ms_ago)
{
	const peer_t *peer = raft_find_peer(raft, id);

	if (raft->role != DY_RAFT_LEADER || !peer)
		return UINT64_MAX;
	*heard_ms_ago = raft->now_ms - peer->last_reply_ms;
	return dy_store_last_index(raft->store) - peer->match_index;
}

uint64_t dy_raft_member_silent_ms(const dy_raft_t *raft, dy_voter_id_t id)
{
	const peer_t *peer = raft_find_peer(raft, id);

	if (raft->role != DY_RAFT_LEADER || !peer)
		return 0;
	return raft->now_ms - MAX(peer->last_reply_ms, peer->added_ms);
}
