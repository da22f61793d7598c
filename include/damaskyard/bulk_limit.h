#ifndef DAMASKYARD_BULK_LIMIT_H
#define DAMASKYARD_BULK_LIMIT_H

/*
 * Limit on the uploads that a balancer carries at the same time. No I/O.
 *
 * Load pattern: after a loss of power, or at the crest of the day, callers
 * start more uploads than a link of a few Mbit/s can carry.
 * Without it: all of them share the link. Each takes several times its aim,
 * copies of their packets are sent again, and requests that need little of the
 * link find their targets' answers late.
 * Mechanism: as many uploads run at once as finish within a part of their aim,
 * by the mean size of the latest ones. The openings of others wait, newest
 * first (opening_queue.h), for a small part of their aim, and are then refused.
 * The fabric hashes a caller's next try anew, so while balancers' links are
 * unequal all of its tries fit in its aim, and one may find a balancer with
 * room.
 */

#include <stdint.h>

/*
 * Part of an upload's aim that its transfer may take, in percent. Few uploads
 * at a time keep a link as busy as many, and each is over sooner. The rest of
 * the aim is for its wait before and its work after.
 */
#define DY_BULK_AIM_PERCENT 20

/*
 * Part of an upload's aim that its opening may wait for the link, in percent.
 * Three tries that wait in vain leave its caller time for a transfer.
 */
#define DY_BULK_WAIT_PERCENT 6

/*
 * Part of its time-out that the opening of a caller that comes back may wait,
 * as a divisor, and the longest such wait in ms: a caller abandons an opening
 * after 1,400 ms.
 */
#define DY_BULK_RETURN_WAIT_DIVISOR 4
#define DY_BULK_RETURN_WAIT_MAX_MS 1000

/* Uploads that may always run: one alone leaves the link idle at its end. */
#define DY_BULK_RUNNING_MIN 2

/* An upload without a packet for this time, in ms, has ended. */
#define DY_BULK_IDLE_MS 1000

typedef struct dy_bulk_limit {
	uint64_t bytes_per_s; /* of the link; 0: unlimited */
	unsigned running;
	double mean_bytes; /* of the latest uploads; 0: unknown */
} dy_bulk_limit_t;

/* Returns whether one more upload with this aim may begin. aim_ms 0: always. */
int dy_bulk_limit_allows(const dy_bulk_limit_t *limit, uint64_t aim_ms);

/* Returns how long an opening with this aim may wait for the link, in ms. */
uint64_t dy_bulk_limit_wait_ms(uint64_t aim_ms);

/*
 * Returns how long the opening of a caller that was refused here may wait, in
 * ms; timeout_ms is that of its route, 0 if unknown.
 */
uint64_t dy_bulk_limit_return_wait_ms(uint64_t timeout_ms);

/* Record the begin and the end of an upload, and how many bytes it had. */
void dy_bulk_limit_begin(dy_bulk_limit_t *limit);
void dy_bulk_limit_end(dy_bulk_limit_t *limit, uint64_t bytes);

#endif
