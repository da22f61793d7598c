#include "damaskyard/cold_limit.h"

void dy_cold_limit_init(dy_cold_limit_t *limit)
{
	limit->times = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	limit->next = 0;
	limit->max_per_window = 0;
}

void dy_cold_limit_clear(dy_cold_limit_t *limit)
{
	g_array_free(limit->times, TRUE);
}

/* Returns the time of the opening that is n before the newest one. */
static uint64_t time_at(const dy_cold_limit_t *limit, unsigned n)
{
	unsigned len = limit->times->len;

	return g_array_index(limit->times, uint64_t,
			     (limit->next + len - 1 - n) % len);
}

void dy_cold_limit_set(dy_cold_limit_t *limit, unsigned max_openings)
{
	limit->max_per_window = MIN(max_openings, DY_COLD_OPENINGS_MAX);
}

int dy_cold_limit_allows(const dy_cold_limit_t *limit, uint64_t now_ms)
{
	if (!limit->max_per_window || limit->times->len < limit->max_per_window)
		return 1;
	return now_ms - time_at(limit, limit->max_per_window - 1) >=
	       DY_COLD_WINDOW_MS;
}

void dy_cold_limit_record(dy_cold_limit_t *limit, uint64_t now_ms)
{
	if (limit->times->len < DY_COLD_OPENINGS_MAX) {
		g_array_append_val(limit->times, now_ms);
		return;
	}
	g_array_index(limit->times, uint64_t, limit->next) = now_ms;
	limit->next = (limit->next + 1) % DY_COLD_OPENINGS_MAX;
}
