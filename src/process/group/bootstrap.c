#include "bootstrap.h"

#include <string.h>

void bootstrap_init(bootstrap_t *founding, const dy_peers_t *peers,
		    uint32_t slot)
{
	memset(founding, 0, sizeof(*founding));
	founding->peers = peers;
	founding->slot = slot;
}

void bootstrap_receive_hello(bootstrap_t *founding, const dy_hello_t *hello,
			     const dy_address_t *from, int mine,
			     uint64_t now_ms)
{
	bootstrap_peer_t *peer;

	if (hello->id.slot > DY_RAFT_MEMBERS_MAX ||
	    !founding->peers->slots[hello->id.slot].port)
		return;
	peer = &founding->peer_states[hello->id.slot];
	if (mine) {
		peer->answered = 1;
		peer->empty = !!hello->empty;
	}
	if (!hello->empty)
		return;
	peer->join_identity = hello->id.identity;
	peer->join_requested_ms = now_ms;
	peer->from_slot_address =
		dy_address_equal(from, &founding->peers->slots[hello->id.slot]);
}

int bootstrap_is_due(const bootstrap_t *founding)
{
	uint32_t slot;

	if (dy_peers_lowest_slot(founding->peers) != founding->slot)
		return 0;
	for (slot = 1; slot <= DY_RAFT_MEMBERS_MAX; slot++) {
		if (!founding->peers->slots[slot].port ||
		    slot == founding->slot)
			continue;
		if (!founding->peer_states[slot].answered ||
		    !founding->peer_states[slot].empty)
			return 0;
	}
	return 1;
}

static int is_silent(const join_member_t *member)
{
	return member->last_answer_age_ms >= MEMBER_TIMEOUT_MS;
}

int bootstrap_is_slot_requested(const bootstrap_t *founding, uint32_t slot,
				uint64_t now_ms)
{
	const bootstrap_peer_t *peer = &founding->peer_states[slot];

	return peer->join_identity &&
	       now_ms - peer->join_requested_ms <= JOIN_REQUEST_TTL_MS;
}

static uint64_t fresh_wish(const bootstrap_t *founding, uint32_t slot,
			   uint64_t now_ms)
{
	const bootstrap_peer_t *peer = &founding->peer_states[slot];

	return now_ms - peer->join_requested_ms <= JOIN_REQUEST_TTL_MS
		       ? peer->join_identity
		       : 0;
}

/*
 * Whether a slot's member may be replaced: it was silent for long, or another
 * identity asks from the slot's own address. A process is bound to that, so
 * the one before it is over; waiting would only prolong the time in which the
 * group cannot bear another loss.
 */
static int is_over(const join_member_t *member, const bootstrap_peer_t *asker,
		   uint64_t wish)
{
	return is_silent(member) ||
	       (asker->from_slot_address && wish && wish != member->identity);
}

static join_step_t next_of_learner(const join_member_t *voter,
				   const join_member_t *learner,
				   const bootstrap_peer_t *asker, uint64_t wish,
				   uint64_t *identity)
{
	*identity = learner->identity;
	if (wish && wish != learner->identity && is_over(learner, asker, wish))
		return JOIN_REMOVE;
	if (is_silent(learner) || learner->lag > CAUGHT_UP_ENTRIES)
		return JOIN_NONE;
	if (!voter->identity)
		return JOIN_PROMOTE;
	*identity = voter->identity;
	return is_silent(voter) || asker->from_slot_address ? JOIN_REMOVE
							    : JOIN_NONE;
}

join_step_t bootstrap_next_join(const bootstrap_t *founding, uint32_t slot,
				const join_member_t *voter,
				const join_member_t *learner, uint64_t now_ms,
				uint64_t *identity)
{
	uint64_t wish = fresh_wish(founding, slot, now_ms);

	if (learner->identity)
		return next_of_learner(voter, learner,
				       &founding->peer_states[slot], wish,
				       identity);
	*identity = wish;
	if (!wish || wish == voter->identity)
		return JOIN_NONE;
	if (voter->identity &&
	    !is_over(voter, &founding->peer_states[slot], wish))
		return JOIN_REFUSE;
	return JOIN_ADD;
}
