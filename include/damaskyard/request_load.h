#ifndef DAMASKYARD_REQUEST_LOAD_H
#define DAMASKYARD_REQUEST_LOAD_H

/*
 * An agent's estimate of the requests that occupy its target's slots. No I/O.
 *
 * Load pattern: uploads that take half a second to arrive through thin links
 * and a few ms to run.
 * Without it: each upload counts as a busy slot from its first packet on. A
 * target of two slots that is idle refuses openings while three uploads arrive.
 * Mechanism: a request that is still arriving counts with the part of its time
 * that requests here run, by the latest answers (Little's law). It is 1 until
 * an answer shows otherwise.
 */

#include <stdint.h>

typedef struct dy_request_load {
	unsigned receiving; /* requests of which more data is to come */
	unsigned running;   /* complete requests without an answer */
	double run_ms;	    /* moving sums over the latest answers */
	double whole_ms;
} dy_request_load_t;

/* Record the first packet of a request. */
void dy_request_load_begin(dy_request_load_t *load);

/* Record the last packet of a request. */
void dy_request_load_complete(dy_request_load_t *load);

/* Record that a request ended; complete: after its last packet. */
void dy_request_load_end(dy_request_load_t *load, int complete);

/*
 * Record the times of an answered request: from the first packet to the last,
 * and from that to the answer.
 */
void dy_request_load_add_times(dy_request_load_t *load, uint64_t receive_ms,
			       uint64_t run_ms);

/* Returns the number of slots that are or will soon be occupied. */
unsigned dy_request_load_slots(const dy_request_load_t *load);

#endif
