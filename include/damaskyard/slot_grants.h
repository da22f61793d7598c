#ifndef DAMASKYARD_SLOT_GRANTS_H
#define DAMASKYARD_SLOT_GRANTS_H

/*
 * An agent's account of the places of its target that balancers want for
 * openings that wait there (waiting_openings.h). This module does no I/O.
 *
 * Load pattern: more is asked of a service than its targets can answer in time,
 * through many balancers.
 * Without it: a target that ends a request waits for an opening that happens to
 * come its way, while others wait elsewhere.
 * Mechanism: a balancer reserves with the agent that could not take an opening.
 * When the target has a place, the agent grants it to the balancer whose
 * reservation has the lowest standing, and counts it as taken until the opening
 * arrives or DY_GRANT_TTL_MS is over. A balancer may use a grant for any of its
 * openings of the service, and declines it if it has none. A balancer that is
 * gone costs the target a place for DY_GRANT_TTL_MS per reservation, and a lost
 * message no more: balancers renew reservations.
 */

#include <stdint.h>

#include "damaskyard/address.h"

/* Time for the opening to arrive after a grant: some round trips. */
#define DY_GRANT_TTL_MS 40

/* Lifetime of a reservation, the longest that an opening waits. */
#define DY_RESERVATION_TTL_MS 500

/* Capacity in reservations; the one with the highest standing is dropped. */
#define DY_RESERVATIONS_MAX 512

typedef struct dy_slot_grants dy_slot_grants_t;

/* Create an account without reservations. */
dy_slot_grants_t *dy_slot_grants_create(void);

/* Free the account. NULL is allowed. */
void dy_slot_grants_destroy(dy_slot_grants_t *grants);

/* Record that a balancer wants a place. */
void dy_slot_grants_reserve(dy_slot_grants_t *grants,
			    const dy_address_t *balancer, uint32_t standing,
			    uint64_t now_ms);

/*
 * Grant a place to the reservation with the lowest standing. Returns 1 with
 * balancer set, or 0 if nobody wants one.
 */
int dy_slot_grants_next(dy_slot_grants_t *grants, uint64_t now_ms,
			dy_address_t *balancer);

/*
 * Record that an opening arrived for a place that balancer was granted. Returns
 * 0 if none is granted any more.
 */
int dy_slot_grants_use(dy_slot_grants_t *grants, const dy_address_t *balancer);

/*
 * Record that no opening waits at the balancer: its grants and reservations are
 * dropped.
 */
void dy_slot_grants_decline(dy_slot_grants_t *grants,
			    const dy_address_t *balancer);

/*
 * Drop old reservations, and grants whose opening did not arrive. Returns the
 * number of these grants.
 */
unsigned dy_slot_grants_expire(dy_slot_grants_t *grants, uint64_t now_ms);

/*
 * Drop all reservations of one balancer, as when the target admits no openings.
 * Returns their number with balancer set, or 0 if there are none.
 */
unsigned dy_slot_grants_return(dy_slot_grants_t *grants,
			       dy_address_t *balancer);

/* Returns the number of granted places whose opening has not arrived. */
unsigned dy_slot_grants_pending(const dy_slot_grants_t *grants);

/* Returns the number of reservations. */
unsigned dy_slot_grants_wanted(const dy_slot_grants_t *grants);

#endif
