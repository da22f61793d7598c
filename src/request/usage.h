#ifndef DY_USAGE_H
#define DY_USAGE_H

/*
 * Slot time that some calls took of late. It fades over DY_USAGE_US, so the
 * sum divided by DY_USAGE_US is about the number of slots they kept busy.
 */

#include <stdint.h>

/*
 * Long enough for tens of calls of 10 ms, short enough to see a burst that
 * lasts half a second.
 */
#define DY_USAGE_US 200000

typedef struct dy_usage {
	uint64_t used_us;
	uint64_t faded_us;
} dy_usage_t;

static inline uint64_t dy_usage_read(const dy_usage_t *usage, uint64_t now_us)
{
	uint64_t age_us = now_us - usage->faded_us;

	if (age_us >= DY_USAGE_US)
		return 0;
	return usage->used_us - usage->used_us * age_us / DY_USAGE_US;
}

static inline void dy_usage_add(dy_usage_t *usage, uint64_t used_us,
				uint64_t now_us)
{
	usage->used_us = dy_usage_read(usage, now_us) + used_us;
	usage->faded_us = now_us;
}

#endif
