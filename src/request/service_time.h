#ifndef DY_SERVICE_TIME_H
#define DY_SERVICE_TIME_H

/*
 * How long a target takes for each procedure, learned from what it answered:
 * a smoothed mean and a smoothed mean deviation, as TCP does for its round
 * trips (RFC 6298).
 */

#include <stdint.h>

/* Procedures of one ONC RPC program; a higher number shares a place. */
#define DY_SERVICE_PROCEDURES 64

typedef struct dy_service_time {
	uint64_t mean_us;
	uint64_t deviation_us;
	uint64_t learned_us; /* when; 0: never */
} dy_service_time_t;

typedef struct dy_service_times {
	uint64_t first_estimate_us;
	uint64_t lightest_us; /* least mean of those seen of late; 0 none */
	dy_service_time_t procedures[DY_SERVICE_PROCEDURES];
} dy_service_times_t;

void dy_service_times_init(dy_service_times_t *times,
			   uint64_t first_estimate_us);

/* Learn that a call took took_us. lower_bound: it was given up on then. */
void dy_service_times_learn(dy_service_times_t *times, uint32_t procedure,
			    uint64_t took_us, int lower_bound, uint64_t now_us);

/* The time that a call is expected to take; at least 1 us. */
uint64_t dy_service_times_mean(const dy_service_times_t *times,
			       uint32_t procedure);

/*
 * The time within which most calls end, for the deadline test. It halves for
 * each second (or twice the mean, if that is longer) in which nothing was
 * learned: else one stall would teach the agent to refuse each call, and with
 * none running it would never learn better.
 */
uint64_t dy_service_times_cautious(const dy_service_times_t *times,
				   uint32_t procedure, uint64_t now_us);

/*
 * Whether a procedure's calls are long, beside the lightest seen of late. One
 * never seen is, while others are known: its first calls shall not take all
 * slots before it shows how long they are.
 */
int dy_service_times_is_long(const dy_service_times_t *times,
			     uint32_t procedure);

#endif
