#ifndef DY_USAGE_H
#define DY_USAGE_H

/*
 * Slot time used recently by a group of calls. It decays linearly over
 * DY_USAGE_DECAY_US, so the value divided by that is about the number of slots
 * that the group kept busy.
 */

#include <stdint.h>

/*
 * Decay time. Long enough for tens of calls of 10 ms, short enough to follow a
 * burst of half a second.
 */
#define DY_USAGE_DECAY_US 200000

typedef struct dy_usage {
	uint64_t used_us;
	uint64_t updated_us;
} dy_usage_t;

/* Returns the decayed slot time at now_us, in us. */
static inline uint64_t dy_usage_read(const dy_usage_t *usage, uint64_t now_us)
{
	uint64_t age_us = now_us - usage->updated_us;

	if (age_us >= DY_USAGE_DECAY_US)
		return 0;
	return usage->used_us - usage->used_us * age_us / DY_USAGE_DECAY_US;
}

/* Adds slot time used at now_us. */
static inline void dy_usage_add(dy_usage_t *usage, uint64_t used_us,
				uint64_t now_us)
{
	usage->used_us = dy_usage_read(usage, now_us) + used_us;
	usage->updated_us = now_us;
}

#endif
