#include "damaskyard/isolation.h"

#include <string.h>

void dy_isolation_init(dy_isolation_t *isolation)
{
	memset(isolation, 0, sizeof(*isolation));
}

void dy_isolation_record_received(dy_isolation_t *isolation)
{
	isolation->received[isolation->tick_index]++;
	isolation->silent_ticks = 0;
	isolation->waiting = 0;
	isolation->cut_off = 0;
}

void dy_isolation_record_sent(dy_isolation_t *isolation)
{
	if (isolation->waiting)
		return;
	isolation->waiting = 1;
	isolation->waiting_ticks = 0;
	/*
	 * After a pause of the callers the old rate does not apply, because no
	 * agent reported during the pause. With the old rate, the 200 ms until
	 * the first agent reports would count as isolation.
	 */
	if (isolation->silent_ticks > DY_ISOLATION_WINDOW_TICKS)
		isolation->rate = 0;
}

static unsigned sum_received(const dy_isolation_t *isolation)
{
	unsigned sum = 0;
	unsigned i;

	for (i = 0; i < DY_ISOLATION_WINDOW_TICKS; i++)
		sum += isolation->received[i];
	return sum;
}

void dy_isolation_tick(dy_isolation_t *isolation)
{
	unsigned missing;

	/* The silence itself must not lower the rate it is compared with. */
	if (!isolation->silent_ticks)
		isolation->rate = sum_received(isolation);
	isolation->tick_index =
		(isolation->tick_index + 1) % DY_ISOLATION_WINDOW_TICKS;
	isolation->received[isolation->tick_index] = 0;
	isolation->silent_ticks++;
	isolation->waiting_ticks++;
	missing = isolation->rate * isolation->waiting_ticks /
		  DY_ISOLATION_WINDOW_TICKS;
	if (isolation->waiting &&
	    isolation->waiting_ticks >= DY_ISOLATION_MIN_SILENT_TICKS &&
	    missing >= DY_ISOLATION_MIN_MISSING)
		isolation->cut_off = 1;
}

int dy_isolation_is_cut_off(const dy_isolation_t *isolation)
{
	return isolation->cut_off;
}
