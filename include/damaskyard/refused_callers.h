#ifndef DAMASKYARD_REFUSED_CALLERS_H
#define DAMASKYARD_REFUSED_CALLERS_H

/*
 * Callers whose opening was refused here a short time ago. No I/O.
 *
 * Load pattern: uploads at links without room. A refused caller tries again at
 * once, and the fabric gives it another balancer or the same one.
 * Without it: a caller that is refused three times gives its upload up within a
 * second, though its deadline is several seconds away.
 * Mechanism: whoever comes back has drawn this balancer twice and has few tries
 * left, so it may wait for longer.
 */

#include <stdint.h>

/* Time within which a caller comes back, in ms. */
#define DY_REFUSED_CALLER_TTL_MS 2000

/* Capacity in callers; the one that was refused first is forgotten. */
#define DY_REFUSED_CALLERS_MAX 1024

typedef struct dy_refused_callers dy_refused_callers_t;

/* Create an empty set. */
dy_refused_callers_t *dy_refused_callers_create(void);

/* Free the set. NULL is allowed. */
void dy_refused_callers_destroy(dy_refused_callers_t *callers);

/* Record a refusal. */
void dy_refused_callers_add(dy_refused_callers_t *callers, uint32_t caller_ip,
			    uint64_t now_ms);

/*
 * Returns whether the caller was refused within the last
 * DY_REFUSED_CALLER_TTL_MS.
 */
int dy_refused_callers_has(dy_refused_callers_t *callers, uint32_t caller_ip,
			   uint64_t now_ms);

#endif
