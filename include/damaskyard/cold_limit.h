#ifndef DAMASKYARD_COLD_LIMIT_H
#define DAMASKYARD_COLD_LIMIT_H

/*
 * Rate limit for the openings (SYN packets of new flows) that a cold target
 * receives. A target is cold for some time after its start, while it fills its
 * caches. This module does no I/O.
 *
 * Load pattern: a whole failure domain comes back at once and its targets are
 * cold, or all callers open new flows. Several balancers choose the same cold
 * target, and each balancer sees only the flows that it opened itself.
 * Without it: a target that can handle a few openings per second while it fills
 * its caches receives all of them and stays slow for longer.
 * Mechanism: the agent beside the target sees the openings of all balancers and
 * counts them in a sliding window. An opening above the limit goes to the
 * balancer's next candidate.
 */

#include <stdint.h>

#include <glib.h>

/*
 * Length of the sliding window. It is longer than the one second that the limit
 * is specified for, because openings reach the target with a varying delay
 * after they are counted.
 */
#define DY_COLD_WINDOW_MS 1050

/* Capacity of the window in openings, and so the largest limit. */
#define DY_COLD_OPENINGS_MAX 4096

typedef struct dy_cold_limit {
	GArray *times; /* times of the latest openings, a ring buffer */
	unsigned next; /* index of the oldest entry once the ring is full */
	unsigned max_per_window; /* openings per window; 0: unlimited */
} dy_cold_limit_t;

/*
 * Initializes limit as unlimited. Free its memory with dy_cold_limit_clear().
 */
void dy_cold_limit_init(dy_cold_limit_t *limit);
/* Frees the memory of limit, but not limit itself. */
void dy_cold_limit_clear(dy_cold_limit_t *limit);

/*
 * Sets the maximum number of openings per window; 0 removes the limit. Values
 * above DY_COLD_OPENINGS_MAX are reduced to it. Openings that were recorded
 * before count under the new limit.
 */
void dy_cold_limit_set(dy_cold_limit_t *limit, unsigned max_openings);

/* Returns whether one more opening is within the limit at now_ms. */
int dy_cold_limit_allows(const dy_cold_limit_t *limit, uint64_t now_ms);

/* Records an opening. now_ms must not decrease from call to call. */
void dy_cold_limit_record(dy_cold_limit_t *limit, uint64_t now_ms);

#endif
