#ifndef DY_SERVICE_TIME_H
#define DY_SERVICE_TIME_H

/*
 * Service time of a target per procedure, estimated from its answers: a
 * smoothed mean and a smoothed mean deviation, as TCP does for its round-trip
 * time (RFC 6298).
 */

#include <stdint.h>

/*
 * Entries for the procedures of one ONC RPC program; procedure numbers with the
 * same remainder share an entry.
 */
#define DY_SERVICE_PROCEDURES 64

typedef struct dy_service_time {
	uint64_t mean_us;
	uint64_t deviation_us;
	uint64_t sampled_us; /* time of the last sample; 0: none */
} dy_service_time_t;

typedef struct dy_service_times {
	uint64_t initial_estimate_us;
	uint64_t shortest_us; /* lowest recent mean; 0: none */
	dy_service_time_t procedures[DY_SERVICE_PROCEDURES];
} dy_service_times_t;

/*
 * Initializes times without samples. initial_estimate_us is the service time of
 * a procedure without samples; 0 counts as 1.
 */
void dy_service_times_init(dy_service_times_t *times,
			   uint64_t initial_estimate_us);

/*
 * Adds a sample: a call took took_us. With lower_bound set, the call was
 * abandoned after that time.
 */
void dy_service_times_add_sample(dy_service_times_t *times, uint32_t procedure,
				 uint64_t took_us, int lower_bound,
				 uint64_t now_us);

/* Returns the expected service time of a call; at least 1 us. */
uint64_t dy_service_times_mean(const dy_service_times_t *times,
			       uint32_t procedure);

/*
 * Returns the time within which most calls end, for the deadline test. It
 * halves for each second (or twice the mean, if that is longer) without a
 * sample. Otherwise one stall would make the agent refuse every call, and
 * without running calls the estimate would never recover.
 */
uint64_t dy_service_times_upper_bound(const dy_service_times_t *times,
				      uint32_t procedure, uint64_t now_us);

/*
 * Returns 1 if a procedure's calls are long compared with the shortest recent
 * procedure. A procedure without a sample counts as long while others have one,
 * so that its first calls do not occupy all slots before its service time is
 * known.
 */
int dy_service_times_is_long(const dy_service_times_t *times,
			     uint32_t procedure);

#endif
