#ifndef DAMASKYARD_WAITING_OPENINGS_H
#define DAMASKYARD_WAITING_OPENINGS_H

/*
 * Openings that wait at a balancer until a target of their service has a place.
 * This module does no I/O.
 *
 * Load pattern: for seconds more is asked of a service than its targets can
 * answer in time.
 * Without it: each opening waits at one target, while a place at another is
 * free, and leaves in an order that neither priorities nor retries have a part
 * in.
 * Mechanism: late binding. Openings wait here, and agents grant a place as soon
 * as their target has one (slot_grants.h). The opening with the lowest standing
 * takes it (caller_rank.h); one place in DY_PRIORITY_FLOOR goes to the lowest
 * priority that waits. An opening whose wait would exceed its maximum, at the
 * rate of the latest grants, is refused at once.
 */

#include <stddef.h>
#include <stdint.h>

#include "damaskyard/opening_queue.h"

/* Capacity in openings. An entry takes 2 KB. */
#define DY_WAITING_OPENINGS_MAX 512

/*
 * Openings of a service that may wait before new ones have to. A few wait at
 * any load, each at a target that was full when it came, while others have
 * places.
 */
#define DY_WAITING_FEW 8

/* Time after which a place for an opening is reserved again, in ms. */
#define DY_RESERVATION_RENEW_MS 100

/* One place in this many goes to the lowest priority that waits. */
#define DY_PRIORITY_FLOOR 10

/* Grants in a row from which on their rate is known. */
#define DY_GRANT_RATE_SAMPLES 16

typedef struct dy_waiting_openings dy_waiting_openings_t;

/* What decides about an opening that waits. */
typedef struct dy_opening_claim {
	const char *service;
	unsigned priority; /* 0 is the highest */
	uint32_t rank;	   /* of its caller */
	uint64_t wait_max_ms;
	uint64_t since_ms; /* when it began to wait for the first time */
} dy_opening_claim_t;

/* Create an empty queue. */
dy_waiting_openings_t *dy_waiting_openings_create(void);

/* Free the queue and what waits. NULL is allowed. */
void dy_waiting_openings_destroy(dy_waiting_openings_t *waiting);

/*
 * Add an opening that does not wait yet; claim, forward and packet are copied.
 * Returns 1 with standing set, or 0 if the queue is full, or the opening has
 * waited or would wait for too long: it is then to be refused.
 */
int dy_waiting_openings_add(dy_waiting_openings_t *waiting,
			    const dy_opening_claim_t *claim,
			    const dy_flow_forward_t *forward,
			    const dy_packet_t *packet, uint64_t now_ms,
			    uint32_t *standing);

/* Returns whether an opening of flow waits. */
int dy_waiting_openings_has(const dy_waiting_openings_t *waiting,
			    const dy_flow_id_t *flow);

/* Remove the opening of flow. Returns 0 if it does not wait. */
int dy_waiting_openings_remove(dy_waiting_openings_t *waiting,
			       const dy_flow_id_t *flow);

/* Returns whether an opening may still be sent to the service it waits for. */
typedef int dy_waiting_match_cb_t(void *context, const dy_flow_id_t *flow,
				  const char *service);

/* An opening that waits no longer. */
typedef struct dy_waited_opening {
	dy_opening_t opening;
	char service[DY_NAME_BYTES + 1];
	unsigned priority;
	uint64_t since_ms; /* as in its claim */
} dy_waited_opening_t;

/* Remove an opening that does not match. Returns 0 if all do. */
int dy_waiting_openings_pop_unmatched(dy_waiting_openings_t *waiting,
				      dy_waiting_match_cb_t *matches,
				      void *context,
				      dy_waited_opening_t *waited);

/*
 * Remove the opening of a service that is next for a granted place. Returns 0
 * if none waits.
 */
int dy_waiting_openings_pop(dy_waiting_openings_t *waiting, const char *service,
			    uint64_t now_ms, dy_waited_opening_t *waited);

/*
 * Find the opening of a service that is next for a granted place. Returns 0 if
 * none waits.
 */
int dy_waiting_openings_next(const dy_waiting_openings_t *waiting,
			     const char *service, dy_flow_id_t *flow,
			     uint32_t *standing);

/* Remove an opening that has waited for its maximum. Returns 0 if none has. */
int dy_waiting_openings_pop_expired(dy_waiting_openings_t *waiting,
				    uint64_t now_ms,
				    dy_waited_opening_t *waited);

/*
 * Find an opening that was neither granted nor reserved a place for
 * DY_RESERVATION_RENEW_MS, and count from now on again. Its reservation may be
 * lost, and others that come later may use up the rest. Returns its service
 * with flow and standing set, or NULL. The name is valid while openings of the
 * service wait.
 */
const char *dy_waiting_openings_find_overdue(dy_waiting_openings_t *waiting,
					     uint64_t now_ms,
					     dy_flow_id_t *flow,
					     uint32_t *standing);

/* Returns how many openings of a service wait; NULL: of all services. */
unsigned dy_waiting_openings_count(const dy_waiting_openings_t *waiting,
				   const char *service);

#endif
