#ifndef DAMASKYARD_CALLER_RANK_H
#define DAMASKYARD_CALLER_RANK_H

/*
 * The order of callers while there is too little room. No I/O.
 *
 * Load pattern: for seconds more is asked of a service than its targets can
 * answer in time. Callers whose opening is refused try again at once.
 * Without it: retries compete with first tries on equal terms. A caller tries
 * three times, so at 1.1 times the capacity each try is refused with
 * probability 0.44 (1 - r^3 = 1 / 1.1), and little more than half of the
 * requests are answered in time.
 * Mechanism: a caller's rank is a hash of its address that stays for an epoch
 * and is the same in every process. Callers of the highest ranks are the ones
 * that wait, with all their tries, so that retries displace nobody (as in
 * DAGOR, SoCC 2018). In the next epoch these are others.
 */

#include <stdint.h>

/* Lifetime of a rank, in ms; several times that of a request. */
#define DY_RANK_EPOCH_MS 8000

/* Lowest priority; a larger value of the configuration counts as this one. */
#define DY_PRIORITY_LOWEST 15

/*
 * Returns the rank of a caller, 24 bits, at a time of day in ms since 1970.
 * Callers change their ranks at different times. Clocks that differ make some
 * ranks differ; nothing else depends on them.
 */
uint32_t dy_caller_rank(uint32_t caller_ip, uint64_t wall_ms);

/*
 * Returns the standing of an opening; the lowest is served first. It is ordered
 * by priority, 0 being the highest, then by how many openings the caller has
 * waiting already, so that one caller cannot take all of the room, then by
 * rank.
 */
uint32_t dy_opening_standing(unsigned priority, unsigned caller_waiting,
			     uint32_t rank);

/* Returns the priority of an opening with this standing. */
unsigned dy_standing_priority(uint32_t standing);

#endif
