#include "peer_addresses.h"

#include <string.h>

#include "damaskyard/raft.h"

static peer_address_t *find_or_replace(peer_addresses_t *addresses,
				       dy_voter_id_t id)
{
	peer_address_t *oldest = &addresses->sources[0];
	peer_address_t *peer;
	unsigned i;

	for (i = 0; i < PEER_ADDRESSES_MAX; i++) {
		peer = &addresses->sources[i];
		if (peer->noted_ms && dy_voter_id_equal(peer->id, id))
			return peer;
		if (peer->noted_ms < oldest->noted_ms)
			oldest = peer;
	}
	return oldest;
}

void peer_addresses_note_source(peer_addresses_t *addresses, dy_voter_id_t id,
				const dy_address_t *address, uint64_t now_ms)
{
	peer_address_t *peer = find_or_replace(addresses, id);

	peer->id = id;
	peer->address = *address;
	peer->noted_ms = now_ms;
}

static int find_source(const peer_addresses_t *addresses, dy_voter_id_t id,
		       dy_address_t *address)
{
	const peer_address_t *peer;
	unsigned i;

	for (i = 0; i < PEER_ADDRESSES_MAX; i++) {
		peer = &addresses->sources[i];
		if (!peer->noted_ms || !dy_voter_id_equal(peer->id, id))
			continue;
		*address = peer->address;
		return 0;
	}
	return -1;
}

int peer_addresses_find(const peer_addresses_t *addresses,
			const dy_raft_config_t *config, dy_voter_id_t id,
			dy_address_t *address)
{
	const dy_raft_member_t *member;
	unsigned i;

	if (!find_source(addresses, id, address))
		return 0;
	for (i = 0; i < config->members.members_len; i++) {
		member = &config->members.members_val[i];
		if (dy_voter_id_equal(member->id, id))
			return dy_address_parse(member->address, address);
	}
	memset(address, 0, sizeof(*address));
	return -1;
}
