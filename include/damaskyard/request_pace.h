#ifndef DAMASKYARD_REQUEST_PACE_H
#define DAMASKYARD_REQUEST_PACE_H

/*
 * An agent's estimate of how fast its target works, and of whether it answers.
 * No I/O.
 *
 * Load pattern: targets of one service differ in speed; one turns slow; one
 * does not answer a part of its requests.
 * Without it: the time from a request to its answer includes the wait for a
 * slot, so a target with much work looks slow, and a slow one that gets little
 * work looks fast.
 * Mechanism: the mean time that a request occupies a slot. A request occupies
 * one from its last packet on if a slot is free, else from the end of the
 * request that it waits for.
 *
 * Load pattern: three requests in a hundred take seven times as long.
 * Without it: a single request moves the mean by a fifth.
 * Mechanism: a request counts with at most DY_PACE_LONGEST_MEANS means.
 */

#include <stdint.h>

/* Samples below which the mean time is unknown. */
#define DY_PACE_SAMPLES_MIN 32

/* Longest time that one request counts with, in means. */
#define DY_PACE_LONGEST_MEANS 3.0

/* Time after which the mean without a new sample is unknown. */
#define DY_PACE_AGE_MAX_MS 5000

/*
 * A request in a slot for this many means, and at least this time, has no
 * answer. Long requests take some ten means.
 */
#define DY_PACE_UNANSWERED_MEANS 16.0
#define DY_PACE_UNANSWERED_MIN_MS 500

/* The time while the mean is unknown. */
#define DY_PACE_UNANSWERED_UNKNOWN_MS 4000

typedef struct dy_request_pace {
	unsigned samples;    /* of the mean; no further than the minimum */
	double service_ms;   /* moving mean */
	uint64_t sampled_ms; /* time of the last sample */
	double unanswered;   /* part of the latest requests, 0 to 1 */
} dy_request_pace_t;

/* Set everything to nothing known. */
void dy_request_pace_init(dy_request_pace_t *pace);

/* Record that a request occupied a slot for service_ms until its answer. */
void dy_request_pace_add_service(dy_request_pace_t *pace, uint64_t service_ms,
				 uint64_t now_ms);

/* Record whether a request that was completely received got an answer. */
void dy_request_pace_add_outcome(dy_request_pace_t *pace, int answered);

/*
 * Let the part of unanswered requests fade. Call it every 200 ms. Evidence from
 * few requests weighs less, and none lasts longer than some seconds.
 */
void dy_request_pace_fade(dy_request_pace_t *pace);

/* Returns the mean time in a slot in microseconds; 0 if it is unknown. */
uint32_t dy_request_pace_service_us(const dy_request_pace_t *pace,
				    uint64_t now_ms);

/* Returns the part of the latest requests without an answer, in 1/1000. */
uint32_t dy_request_pace_unanswered(const dy_request_pace_t *pace);

/* Returns the time in a slot after which a request has no answer, in ms. */
uint64_t dy_request_pace_unanswered_ms(const dy_request_pace_t *pace,
				       uint64_t now_ms);

#endif
