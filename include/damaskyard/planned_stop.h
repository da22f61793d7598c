#ifndef DAMASKYARD_PLANNED_STOP_H
#define DAMASKYARD_PLANNED_STOP_H

/*
 * When a process that was told to stop may end. No I/O.
 *
 * Load pattern: all controls are away while processes are stopped in turn.
 * Without it: the process ends before control has learned of its stop. Others
 * take it for serving, and choose it for new flows.
 * Mechanism: the process ends some time after control confirmed the stop, in
 * which others learn of it, and at the latest when its grace time is over.
 */

#include <stdint.h>

/* A planned stop. All zero: none has begun. Times in ms. */
typedef struct dy_planned_stop {
	uint64_t begun_ms;
	uint64_t told_ms; /* control confirmed it; 0: not yet */
} dy_planned_stop_t;

/* Begin a stop. Returns 0 if one has begun before. */
int dy_planned_stop_begin(dy_planned_stop_t *stop, uint64_t now_ms);

/* Record that control has learned of the stop. Only the first call counts. */
void dy_planned_stop_note_told(dy_planned_stop_t *stop, uint64_t now_ms);

/*
 * Returns whether the process may end: delay_ms after control was told, or
 * limit_ms after the stop began. Returns 0 if no stop has begun.
 */
int dy_planned_stop_is_due(const dy_planned_stop_t *stop, uint64_t delay_ms,
			   uint64_t limit_ms, uint64_t now_ms);

#endif
