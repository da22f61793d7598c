#include "damaskyard/successor.h"

#include <glib.h>
#include <xxhash.h>

/* Uses network byte order, so that every VM computes the same weight. */
static uint64_t rendezvous_weight(uint64_t key, uint64_t member)
{
	uint64_t pair[2] = { GUINT64_TO_BE(key), GUINT64_TO_BE(member) };

	return XXH3_64bits(pair, sizeof(pair));
}

static int ranks_higher(uint64_t key, uint64_t member, uint64_t other)
{
	uint64_t weight = rendezvous_weight(key, member);
	uint64_t other_weight = rendezvous_weight(key, other);

	if (weight != other_weight)
		return weight > other_weight;
	return member < other;
}

uint64_t dy_successor_pick(uint64_t session, const uint64_t *members,
			   unsigned count)
{
	uint64_t best = count ? members[0] : 0;
	unsigned i;

	for (i = 1; i < count; i++)
		if (ranks_higher(session, members[i], best))
			best = members[i];
	return best;
}

unsigned dy_successor_choose(uint64_t self, const uint64_t *candidates,
			     unsigned count, uint64_t chosen[DY_SUCCESSORS_MAX])
{
	unsigned len = 0;
	unsigned at;
	unsigned i;

	for (i = 0; i < count; i++) {
		for (at = len; at; at--) {
			if (!ranks_higher(self, candidates[i], chosen[at - 1]))
				break;
			if (at < DY_SUCCESSORS_MAX)
				chosen[at] = chosen[at - 1];
		}
		if (at < DY_SUCCESSORS_MAX)
			chosen[at] = candidates[i];
		if (len < DY_SUCCESSORS_MAX)
			len++;
	}
	return len;
}
