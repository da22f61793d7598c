#ifndef DAMASKYARD_HISTOGRAM_H
#define DAMASKYARD_HISTOGRAM_H

/*
 * A histogram of times in milliseconds: counters of a dy_metrics_t, one a
 * bucket. Each bucket counts the times up to its bound, the last all others.
 */

#include "damaskyard/metrics.h"

/* Bounds in ms: 1, 2, 5, 10, ... 5000, and none for the last. */
#define DY_HISTOGRAM_BUCKETS 13

typedef struct dy_histogram {
	uint64_t *buckets[DY_HISTOGRAM_BUCKETS];
} dy_histogram_t;

/*
 * Register the counters NAME_le_1 to NAME_le_5000 and NAME_more. Their names
 * live as long as the program, so call it once for each name.
 */
void dy_histogram_init(dy_histogram_t *histogram, dy_metrics_t *metrics,
		       const char *name);

void dy_histogram_add(dy_histogram_t *histogram, uint64_t ms);

#endif
