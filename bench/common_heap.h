#ifndef COMMON_HEAP_H
#define COMMON_HEAP_H

/*
 * The event queue of a simulation: a heap of timed events. Events of the same
 * time run in the order in which they were added. Times are in microseconds.
 */

#include <stdint.h>

typedef struct heap heap_t;

/* Handles an event; gets the arguments of heap_add(). */
typedef void event_cb_t(void *context, void *argument);

/* Creates an empty queue at time 0. Free it with heap_destroy(). */
heap_t *heap_create(void);
/* Frees the queue; pending events do not run. */
void heap_destroy(heap_t *heap);

/* Returns the simulated time: that of the last event that was run. */
uint64_t heap_now(const heap_t *heap);

/*
 * Schedules event for at_us, or for the current time if at_us has passed.
 * context and argument stay the caller's.
 */
void heap_add(heap_t *heap, uint64_t at_us, event_cb_t *event, void *context,
	      void *argument);

/* Runs all events up to until_us, including those added meanwhile. */
void heap_run(heap_t *heap, uint64_t until_us);

#endif
