#ifndef DAMASKYARD_HISTOGRAM_H
#define DAMASKYARD_HISTOGRAM_H

/*
 * A histogram of times in ms, with one counter of a dy_metrics_t per bucket.
 * A bucket counts the times above the bound before it and up to its own; the
 * last one counts all longer times.
 */

#include "damaskyard/metrics.h"

/* Upper bounds in ms: 1, 2, 5, 10, ... 5000; the last bucket has none. */
#define DY_HISTOGRAM_BUCKETS 13

typedef struct dy_histogram {
	uint64_t *buckets[DY_HISTOGRAM_BUCKETS];
} dy_histogram_t;

/*
 * Register the counters NAME_le_1 to NAME_le_5000 and NAME_more. Their names
 * are interned and never freed, so call it once for each name.
 */
void dy_histogram_init(dy_histogram_t *histogram, dy_metrics_t *metrics,
		       const char *name);

/* Count one time. */
void dy_histogram_add(dy_histogram_t *histogram, uint64_t ms);

#endif
