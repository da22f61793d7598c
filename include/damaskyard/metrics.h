#ifndef DAMASKYARD_METRICS_H
#define DAMASKYARD_METRICS_H

/*
 * Named counters of one process, read by `damaskyard status`.
 *
 * A module registers a counter once and increments it through the returned
 * pointer, so that the data path needs no lookup. Names are stable and listed
 * in docs/OPERATIONS.md.
 */

#include <stddef.h>
#include <stdint.h>

typedef struct dy_metrics dy_metrics_t;

/* Create an empty set of counters, to free with dy_metrics_destroy(). */
dy_metrics_t *dy_metrics_create(void);
void dy_metrics_destroy(dy_metrics_t *metrics);

/*
 * Register a counter, starting at 0, or return the one already registered
 * under this name. name is kept by reference. The pointer is valid until
 * metrics is destroyed.
 */
uint64_t *dy_metrics_counter(dy_metrics_t *metrics, const char *name);

/* A counter's name, and the variable that receives its pointer. */
typedef struct dy_metrics_entry {
	const char *name;
	uint64_t **counter;
} dy_metrics_entry_t;

/* Register count counters of a module, each as dy_metrics_counter() does. */
void dy_metrics_counters(dy_metrics_t *metrics,
			 const dy_metrics_entry_t *entries, size_t count);

/* Returns the value of a counter, or 0 if no counter has this name. */
uint64_t dy_metrics_value(const dy_metrics_t *metrics, const char *name);

/*
 * Call each(context) once for every counter, in the order of registration.
 */
typedef void dy_metrics_each_cb_t(void *context, const char *name,
				  uint64_t value);
void dy_metrics_each(const dy_metrics_t *metrics, dy_metrics_each_cb_t *each,
		     void *context);

#endif
