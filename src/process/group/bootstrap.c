#include "bootstrap.h"

#include <string.h>

void bootstrap_init(bootstrap_t *bootstrap, const dy_peers_t *peers,
		    uint32_t slot)
{
	memset(bootstrap, 0, sizeof(*bootstrap));
	bootstrap->peers = peers;
	bootstrap->slot = slot;
}

void bootstrap_receive_hello(bootstrap_t *bootstrap, const dy_hello_t *hello,
			     const dy_address_t *from, int answers_us,
			     uint64_t now_ms)
{
	bootstrap_peer_t *peer;

	if (hello->id.slot > DY_RAFT_MEMBERS_MAX ||
	    !bootstrap->peers->slots[hello->id.slot].port) {
		bootstrap->group_exists |= !hello->empty;
		return;
	}
	peer = &bootstrap->peer_states[hello->id.slot];
	if (answers_us) {
		peer->answered = 1;
		peer->empty = !!hello->empty;
	}
	if (!hello->empty)
		return;
	peer->join_identity = hello->id.identity;
	peer->join_requested_ms = now_ms;
	peer->join_address = *from;
	peer->from_slot_address = dy_address_equal(
		from, &bootstrap->peers->slots[hello->id.slot]);
}

void bootstrap_forget_request(bootstrap_t *bootstrap, dy_voter_id_t id)
{
	if (bootstrap->peer_states[id.slot].join_identity == id.identity)
		bootstrap->peer_states[id.slot].join_identity = 0;
}

int bootstrap_is_due(const bootstrap_t *bootstrap)
{
	uint32_t slot;

	if (bootstrap->group_exists ||
	    dy_peers_lowest_slot(bootstrap->peers) != bootstrap->slot)
		return 0;
	for (slot = 1; slot <= DY_RAFT_MEMBERS_MAX; slot++) {
		if (!bootstrap->peers->slots[slot].port ||
		    slot == bootstrap->slot)
			continue;
		if (!bootstrap->peer_states[slot].answered ||
		    !bootstrap->peer_states[slot].empty)
			return 0;
	}
	return 1;
}

static int is_unresponsive(const join_member_t *member)
{
	return member->last_answer_age_ms >= MEMBER_TIMEOUT_MS;
}

int bootstrap_is_slot_requested(const bootstrap_t *bootstrap, uint32_t slot,
				uint64_t now_ms)
{
	const bootstrap_peer_t *peer = &bootstrap->peer_states[slot];

	return peer->join_identity &&
	       now_ms - peer->join_requested_ms <= JOIN_REQUEST_TTL_MS;
}

static uint64_t requested_identity(const bootstrap_t *bootstrap, uint32_t slot,
				   uint64_t now_ms)
{
	const bootstrap_peer_t *peer = &bootstrap->peer_states[slot];

	return now_ms - peer->join_requested_ms <= JOIN_REQUEST_TTL_MS
		       ? peer->join_identity
		       : 0;
}

/*
 * Whether a slot's member may be replaced: it timed out, or another identity
 * asks from the slot's own address. The asking process is bound to that
 * address, so the previous one has ended. Waiting for the timeout would only
 * prolong the time in which the group cannot tolerate another loss.
 */
static int is_replaceable(const join_member_t *member,
			  const bootstrap_peer_t *peer, uint64_t requested)
{
	return is_unresponsive(member) ||
	       (peer->from_slot_address && requested &&
		requested != member->identity);
}

static join_step_t next_learner_step(const join_member_t *voter,
				     const join_member_t *learner,
				     const bootstrap_peer_t *peer,
				     uint64_t requested, uint64_t *identity)
{
	*identity = learner->identity;
	if (learner->silent_ms >= LEARNER_TIMEOUT_MS)
		return JOIN_REMOVE;
	if (requested && requested != learner->identity &&
	    is_replaceable(learner, peer, requested))
		return JOIN_REMOVE;
	if (is_unresponsive(learner) || learner->lag > LEARNER_MAX_LAG_ENTRIES)
		return JOIN_NONE;
	if (!voter->identity)
		return JOIN_PROMOTE;
	*identity = voter->identity;
	return is_unresponsive(voter) || peer->from_slot_address ? JOIN_REMOVE
								 : JOIN_NONE;
}

join_step_t bootstrap_next_join(const bootstrap_t *bootstrap, uint32_t slot,
				const join_member_t *voter,
				const join_member_t *learner, uint64_t now_ms,
				uint64_t *identity)
{
	uint64_t requested = requested_identity(bootstrap, slot, now_ms);

	if (learner->identity)
		return next_learner_step(voter, learner,
					 &bootstrap->peer_states[slot],
					 requested, identity);
	*identity = requested;
	if (!requested || requested == voter->identity)
		return JOIN_NONE;
	if (voter->identity &&
	    !is_replaceable(voter, &bootstrap->peer_states[slot], requested))
		return JOIN_REFUSE;
	return JOIN_ADD;
}
