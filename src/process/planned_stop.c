#include "damaskyard/planned_stop.h"

int dy_planned_stop_begin(dy_planned_stop_t *stop, uint64_t now_ms)
{
	if (stop->begun_ms)
		return 0;
	stop->begun_ms = now_ms;
	return 1;
}

void dy_planned_stop_note_told(dy_planned_stop_t *stop, uint64_t now_ms)
{
	if (!stop->told_ms)
		stop->told_ms = now_ms;
}

int dy_planned_stop_is_due(const dy_planned_stop_t *stop, uint64_t delay_ms,
			   uint64_t limit_ms, uint64_t now_ms)
{
	if (!stop->begun_ms)
		return 0;
	return now_ms - stop->begun_ms >= limit_ms ||
	       (stop->told_ms && now_ms - stop->told_ms >= delay_ms);
}
