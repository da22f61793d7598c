#ifndef COMMON_HEAP_H
#define COMMON_HEAP_H

/* A heap of timed events; events of the same time run in the order added. */

#include <stdint.h>

typedef struct heap heap_t;

typedef void event_cb_t(void *context, void *argument);

heap_t *heap_create(void);
void heap_destroy(heap_t *heap);

/* The time of the event that runs, in microseconds. */
uint64_t heap_now(const heap_t *heap);

void heap_add(heap_t *heap, uint64_t at_us, event_cb_t *event, void *context,
	      void *argument);

/* Run each event up to until_us, those added meanwhile too. */
void heap_run(heap_t *heap, uint64_t until_us);

#endif
