#include "damaskyard/bulk_limit.h"

/* Weight of the newest upload in the mean: the last 16 or so count. */
#define NEWEST_WEIGHT (1 / 16.0)

int dy_bulk_limit_allows(const dy_bulk_limit_t *limit, uint64_t aim_ms)
{
	double bytes;

	if (!limit->bytes_per_s || !aim_ms ||
	    limit->running < DY_BULK_RUNNING_MIN)
		return 1;
	bytes = (double)limit->bytes_per_s * (double)aim_ms / 1000 *
		DY_BULK_AIM_PERCENT / 100;
	return (limit->running + 1) * limit->mean_bytes <= bytes;
}

uint64_t dy_bulk_limit_wait_ms(uint64_t aim_ms)
{
	return aim_ms * DY_BULK_WAIT_PERCENT / 100;
}

uint64_t dy_bulk_limit_return_wait_ms(uint64_t timeout_ms)
{
	uint64_t wait_ms = timeout_ms / DY_BULK_RETURN_WAIT_DIVISOR;

	return wait_ms < DY_BULK_RETURN_WAIT_MAX_MS
		       ? wait_ms
		       : DY_BULK_RETURN_WAIT_MAX_MS;
}

void dy_bulk_limit_begin(dy_bulk_limit_t *limit)
{
	limit->running++;
}

void dy_bulk_limit_end(dy_bulk_limit_t *limit, uint64_t bytes)
{
	limit->running--;
	if (!bytes)
		return;
	if (limit->mean_bytes > 0)
		limit->mean_bytes +=
			((double)bytes - limit->mean_bytes) * NEWEST_WEIGHT;
	else
		limit->mean_bytes = (double)bytes;
}
