#include "common_heap.h"

#include <glib.h>

typedef struct event {
	uint64_t at_us;
	uint64_t sequence;
	event_cb_t *run;
	void *context;
	void *argument;
} event_t;

struct heap {
	event_t *events;
	size_t n;
	size_t allocated;
	uint64_t added;
	uint64_t now_us;
};

heap_t *heap_create(void)
{
	return g_new0(heap_t, 1);
}

void heap_destroy(heap_t *heap)
{
	g_free(heap->events);
	g_free(heap);
}

uint64_t heap_now(const heap_t *heap)
{
	return heap->now_us;
}

static int is_before(const event_t *a, const event_t *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->sequence < b->sequence;
}

void heap_add(heap_t *heap, uint64_t at_us, event_cb_t *event, void *context,
	      void *argument)
{
	event_t new = { MAX(at_us, heap->now_us), heap->added++, event, context,
			argument };
	size_t i = heap->n++;

	if (heap->n > heap->allocated) {
		heap->allocated = heap->allocated ? 2 * heap->allocated : 1024;
		heap->events = g_renew(event_t, heap->events, heap->allocated);
	}
	while (i && is_before(&new, &heap->events[(i - 1) / 2])) {
		heap->events[i] = heap->events[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	heap->events[i] = new;
}

static event_t pop_first(heap_t *heap)
{
	event_t first = heap->events[0];
	event_t last = heap->events[--heap->n];
	size_t i = 0, child;

	for (;;) {
		child = 2 * i + 1;
		if (child >= heap->n)
			break;
		if (child + 1 < heap->n &&
		    is_before(&heap->events[child + 1], &heap->events[child]))
			child++;
		if (!is_before(&heap->events[child], &last))
			break;
		heap->events[i] = heap->events[child];
		i = child;
	}
	if (heap->n)
		heap->events[i] = last;
	return first;
}

void heap_run(heap_t *heap, uint64_t until_us)
{
	event_t event;

	while (heap->n && heap->events[0].at_us <= until_us) {
		event = pop_first(heap);
		heap->now_us = event.at_us;
		event.run(event.context, event.argument);
	}
}
