#ifndef DAMASKYARD_PEER_ADDRESSES_H
#define DAMASKYARD_PEER_ADDRESSES_H

/*
 * Where the controls of a group are reached, by identity.
 *
 * A slot is held by one control after the other, an identity by one alone. So
 * an address is never taken from an entry about another holder of the slot, as
 * an old configuration has it. The source of an identity's newest message
 * precedes the address that a configuration has for it.
 */

#include "damaskyard/address.h"
#include "dy_raft.h"

/* Identities remembered: members, and those that were replaced lately. */
#define PEER_ADDRESSES_MAX (2 * DY_RAFT_MEMBERS_MAX)

typedef struct peer_address {
	dy_voter_id_t id;
	dy_address_t address;
	uint64_t noted_ms; /* 0: unused */
} peer_address_t;

/* Zeroed before its first use; there is nothing to free. */
typedef struct peer_addresses {
	peer_address_t sources[PEER_ADDRESSES_MAX];
} peer_addresses_t;

/*
 * Records that a message of id came from address at now_ms, monotonic and
 * above 0. The identity that was silent longest makes room.
 */
void peer_addresses_note_source(peer_addresses_t *addresses, dy_voter_id_t id,
				const dy_address_t *address, uint64_t now_ms);

/*
 * Sets address to that of id: the source of its newest message, else the one
 * that config, which may be older, has for this very identity. Returns 0, or -1
 * if neither knows it; address then has port 0.
 */
int peer_addresses_find(const peer_addresses_t *addresses,
			const dy_raft_config_t *config, dy_voter_id_t id,
			dy_address_t *address);

#endif
