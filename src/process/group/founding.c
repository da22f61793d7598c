#include "founding.h"

#include <string.h>

void founding_init(founding_t *founding, const dy_peers_t *peers, uint32_t slot)
{
	memset(founding, 0, sizeof(*founding));
	founding->peers = peers;
	founding->slot = slot;
}

void founding_hear(founding_t *founding, const dy_hello_t *hello,
		   const dy_address_t *from, int mine, uint64_t now_ms)
{
	founding_peer_t *peer;

	if (hello->id.slot > DY_RAFT_MEMBERS_MAX ||
	    !founding->peers->slots[hello->id.slot].port)
		return;
	peer = &founding->heard[hello->id.slot];
	if (mine) {
		peer->answered = 1;
		peer->empty = !!hello->empty;
	}
	if (!hello->empty)
		return;
	peer->wants_in = hello->id.identity;
	peer->asked_ms = now_ms;
	peer->in_place =
		dy_address_equal(from, &founding->peers->slots[hello->id.slot]);
}

int founding_is_due(const founding_t *founding)
{
	uint32_t slot;

	if (dy_peers_lowest_slot(founding->peers) != founding->slot)
		return 0;
	for (slot = 1; slot <= DY_RAFT_MEMBERS_MAX; slot++) {
		if (!founding->peers->slots[slot].port ||
		    slot == founding->slot)
			continue;
		if (!founding->heard[slot].answered ||
		    !founding->heard[slot].empty)
			return 0;
	}
	return 1;
}

static int is_silent(const join_member_t *member)
{
	return member->silent_ms >= MEMBER_SILENT_MS;
}

int founding_is_wished(const founding_t *founding, uint32_t slot,
		       uint64_t now_ms)
{
	const founding_peer_t *peer = &founding->heard[slot];

	return peer->wants_in && now_ms - peer->asked_ms <= JOIN_FRESH_MS;
}

static uint64_t fresh_wish(const founding_t *founding, uint32_t slot,
			   uint64_t now_ms)
{
	const founding_peer_t *peer = &founding->heard[slot];

	return now_ms - peer->asked_ms <= JOIN_FRESH_MS ? peer->wants_in : 0;
}

/*
 * Whether a slot's member may be replaced: it was silent for long, or another
 * identity asks from the slot's own address. A process is bound to that, so
 * the one before it is over; waiting would only prolong the time in which the
 * group cannot bear another loss.
 */
static int is_over(const join_member_t *member, const founding_peer_t *asker,
		   uint64_t wish)
{
	return is_silent(member) ||
	       (asker->in_place && wish && wish != member->identity);
}

static join_step_t next_of_learner(const join_member_t *voter,
				   const join_member_t *learner,
				   const founding_peer_t *asker, uint64_t wish,
				   uint64_t *identity)
{
	*identity = learner->identity;
	if (wish && wish != learner->identity && is_over(learner, asker, wish))
		return JOIN_REMOVE;
	if (is_silent(learner) || learner->lag > CAUGHT_UP_ENTRIES)
		return JOIN_NOTHING;
	if (!voter->identity)
		return JOIN_PROMOTE;
	*identity = voter->identity;
	return is_silent(voter) || asker->in_place ? JOIN_REMOVE : JOIN_NOTHING;
}

join_step_t founding_next_join(const founding_t *founding, uint32_t slot,
			       const join_member_t *voter,
			       const join_member_t *learner, uint64_t now_ms,
			       uint64_t *identity)
{
	uint64_t wish = fresh_wish(founding, slot, now_ms);

	if (learner->identity)
		return next_of_learner(voter, learner, &founding->heard[slot],
				       wish, identity);
	*identity = wish;
	if (!wish || wish == voter->identity)
		return JOIN_NOTHING;
	if (voter->identity && !is_over(voter, &founding->heard[slot], wish))
		return JOIN_REFUSE;
	return JOIN_ADD;
}
