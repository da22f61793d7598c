#ifndef DAMASKYARD_WAITING_OPENINGS_H
#define DAMASKYARD_WAITING_OPENINGS_H

/*
 * Openings that wait at a balancer until a target of their service has a place.
 * This module does no I/O.
 *
 * Load pattern: for seconds more is asked of a service than its targets can
 * answer in time. Callers whose opening is refused try again at once.
 * Without it: openings wait at one target each while a place at another target
 * is free. Retries compete with first tries on equal terms: at 1.1 times the
 * capacity each try is refused with probability 0.44, so that little more than
 * half of the requests are answered in time.
 * Mechanism: late binding. Openings wait here, and agents grant a place as soon
 * as their target has one (slot_grants.h); the opening with the lowest standing
 * takes it. Standing is the entry's priority, then how many openings the caller
 * already has in the queue, then the caller's rank. A rank is a hash of the
 * caller, which changes every DY_RANK_EPOCH_MS: for one epoch all tries of a
 * caller stand alike, at every balancer, so that the same few callers wait
 * (DAGOR, SoCC 2018) and retries displace nobody.
 */

#include <stddef.h>
#include <stdint.h>

#include "damaskyard/opening_queue.h"

/* Lifetime of a caller's rank, in ms; several times that of a request. */
#define DY_RANK_EPOCH_MS 8000

/* Capacity in openings. An entry takes 2 KB. */
#define DY_WAITING_OPENINGS_MAX 512

/* Lowest priority; larger values of the configuration count as this one. */
#define DY_PRIORITY_LOWEST 15

/* One place in this many goes to the lowest priority that waits. */
#define DY_PRIORITY_FLOOR 10

typedef struct dy_waiting_openings dy_waiting_openings_t;

/* What decides about an opening that waits. */
typedef struct dy_opening_class {
	const char *service;
	unsigned priority; /* 0 is the highest */
	uint64_t wait_max_ms;
} dy_opening_class_t;

/* Create an empty queue. */
dy_waiting_openings_t *dy_waiting_openings_create(void);

/* Free the queue and what waits. NULL is allowed. */
void dy_waiting_openings_destroy(dy_waiting_openings_t *waiting);

/*
 * Returns the rank of a caller at a time of day in ms since 1970. Callers
 * change their ranks at different times.
 */
uint32_t dy_caller_rank(uint32_t caller_ip, uint64_t wall_ms);

/*
 * Add an opening; forward, packet and opening_class are copied. A
 * retransmission of one that waits replaces it and keeps its place and time.
 * Returns its standing, or -1 if the queue is full or the opening could not be
 * granted a place before its wait_max_ms is over, at the rate of the latest
 * grants: the opening is then to be refused.
 */
int64_t dy_waiting_openings_add(dy_waiting_openings_t *waiting,
				const dy_opening_class_t *opening_class,
				uint32_t rank, const dy_flow_forward_t *forward,
				const dy_packet_t *packet, uint64_t now_ms);

/* Returns whether an opening of flow waits. */
int dy_waiting_openings_has(const dy_waiting_openings_t *waiting,
			    const dy_flow_id_t *flow);

/* Remove the opening of flow, if it waits. */
void dy_waiting_openings_remove(dy_waiting_openings_t *waiting,
				const dy_flow_id_t *flow);

/*
 * Remove the opening of a service that is next for a granted place. Returns 0
 * if none waits.
 */
int dy_waiting_openings_pop(dy_waiting_openings_t *waiting, const char *service,
			    uint64_t now_ms, dy_opening_t *opening);

/* Remove an opening that has waited for its maximum. Returns 0 if none has. */
int dy_waiting_openings_pop_expired(dy_waiting_openings_t *waiting,
				    uint64_t now_ms, dy_opening_t *opening);

/*
 * Find an opening without an answer to its reservation, and count it as
 * reserved anew. Returns 0 if there is none. flow and standing are set.
 */
int dy_waiting_openings_renew(dy_waiting_openings_t *waiting, uint64_t now_ms,
			      dy_flow_id_t *flow, uint32_t *standing);

/* Returns how many openings of a service wait; NULL: of all services. */
unsigned dy_waiting_openings_count(const dy_waiting_openings_t *waiting,
				   const char *service);

#endif
