#include "damaskyard/caller_rank.h"

#include <glib.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define RANK_BITS 24
#define WAITING_BITS 4
#define WAITING_MAX ((1u << WAITING_BITS) - 1)
#define PRIORITY_SHIFT (RANK_BITS + WAITING_BITS)

uint32_t dy_caller_rank(uint32_t caller_ip, uint64_t wall_ms)
{
	uint64_t phase_ms =
		XXH3_64bits(&caller_ip, sizeof(caller_ip)) % DY_RANK_EPOCH_MS;
	const uint64_t key[] = { caller_ip,
				 (wall_ms + phase_ms) / DY_RANK_EPOCH_MS };

	return (uint32_t)(XXH3_64bits(key, sizeof(key)) >> (64 - RANK_BITS));
}

uint32_t dy_opening_standing(unsigned priority, unsigned caller_waiting,
			     uint32_t rank)
{
	return MIN(priority, (unsigned)DY_PRIORITY_LOWEST) << PRIORITY_SHIFT |
	       MIN(caller_waiting, WAITING_MAX) << RANK_BITS |
	       (rank & ((1u << RANK_BITS) - 1));
}

unsigned dy_standing_priority(uint32_t standing)
{
	return standing >> PRIORITY_SHIFT;
}
