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
 *
 * Load pattern: a crowd of openings whose handshakes and requests wait for
 * 100 ms at balancers with full links.
 * Without it: each opening reserves a slot for all of that time. Targets run
 * half of what they could, and openings wait and are refused.
 * Mechanism: an opening counts likewise, with the time until its request is
 * complete included.
 */

#include <stdint.h>

typedef struct dy_request_load {
	unsigned receiving; /* requests of which more data is to come */
	unsigned running;   /* complete requests without an answer */
	/* Moving means; negative while unknown. */
	double open_ms;	   /* from the opening to the caller's next packet */
	double receive_ms; /* from a request's first packet to its last */
	double run_ms;	   /* from that to the answer */
} dy_request_load_t;

/* Set everything to nothing known. */
void dy_request_load_init(dy_request_load_t *load);

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

/* Record the time from an opening to the caller's next packet. */
void dy_request_load_add_opening(dy_request_load_t *load, uint64_t open_ms);

/*
 * Returns the number of slots that are or will soon be occupied, with this many
 * openings that have no request yet.
 */
unsigned dy_request_load_slots(const dy_request_load_t *load,
			       unsigned openings);

#endif
