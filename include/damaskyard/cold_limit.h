#ifndef DAMASKYARD_COLD_LIMIT_H
#define DAMASKYARD_COLD_LIMIT_H

/*
 * How many openings a cold target is given in any second. No network.
 *
 * Load pattern: a whole failure domain comes back at once and its targets are
 * cold, or all callers open flows anew; several balancers choose the same cold
 * target, and each knows only what it opened itself.
 * What happens without it: a target that bears some openings a second while it
 * fills its caches gets all of them, and is slow for longer.
 * What is done: the agent beside the target, which sees the openings of all
 * balancers, counts them in a window that slides. What does not fit goes to
 * the balancer's next choice.
 */

#include <stdint.h>

#include <glib.h>

/*
 * The window, in ms. Longer than the second that is promised, since openings
 * reach the target later than they are counted, some more than others.
 */
#define DY_COLD_WINDOW_MS 1050

/* Openings that are counted in one window at most; more are not let in. */
#define DY_COLD_OPENINGS_MAX 4096

typedef struct dy_cold_limit {
	GArray *times;		 /* of the last openings, a ring */
	unsigned next;		 /* the oldest's place once the ring is full */
	unsigned max_per_window; /* openings in a window; 0: any */
} dy_cold_limit_t;

void dy_cold_limit_init(dy_cold_limit_t *limit);
void dy_cold_limit_clear(dy_cold_limit_t *limit);

/*
 * Allow so many openings in any window from now on, all counted that were
 * noted; 0: any number. DY_COLD_OPENINGS_MAX at most.
 */
void dy_cold_limit_set(dy_cold_limit_t *limit, unsigned most);

/* Whether one more opening fits now. */
int dy_cold_limit_allows(const dy_cold_limit_t *limit, uint64_t now_ms);

/* Count an opening; the clock must not go back. */
void dy_cold_limit_record(dy_cold_limit_t *limit, uint64_t now_ms);

#endif
