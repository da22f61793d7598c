#ifndef DAMASKYARD_METRICS_H
#define DAMASKYARD_METRICS_H

/*
 * Named counters of one process, read by `damaskyard status`.
 *
 * A module registers a counter once and adds to it through the pointer it
 * got: one addition on the way through, nothing to look up. Names are stable
 * and listed in docs/OPERATIONS.md.
 */

#include <stddef.h>
#include <stdint.h>

typedef struct dy_metrics dy_metrics_t;

dy_metrics_t *dy_metrics_create(void);
void dy_metrics_destroy(dy_metrics_t *metrics);

/*
 * Register a counter, or find it if it is there already. name is kept by
 * reference. The counter lives as long as metrics does.
 */
uint64_t *dy_metrics_counter(dy_metrics_t *metrics, const char *name);

/* A counter by its name, and where its pointer is to be kept. */
typedef struct dy_metrics_entry {
	const char *name;
	uint64_t **counter;
} dy_metrics_entry_t;

/* Register all counters of a module, as dy_metrics_counter() does each. */
void dy_metrics_counters(dy_metrics_t *metrics,
			 const dy_metrics_entry_t *entries, size_t count);

/* Returns the value of a counter, or 0 if there is none of that name. */
uint64_t dy_metrics_value(const dy_metrics_t *metrics, const char *name);

/*
 * Call each() once for every counter, in the order they were registered.
 */
typedef void dy_metrics_each_cb_t(void *context, const char *name,
				  uint64_t value);
void dy_metrics_each(const dy_metrics_t *metrics, dy_metrics_each_cb_t *each,
		     void *context);

#endif
