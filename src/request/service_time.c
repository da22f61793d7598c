#include "service_time.h"

#include <string.h>

#define US_PER_S 1000000ULL

/* Weights of a new sample, as shifts: 1/8 in the mean, 1/4 in the deviation. */
#define MEAN_SHIFT 3
#define DEVIATION_SHIFT 2

/*
 * A call is long if it takes at least four times the mean of the shortest
 * procedure, and at least 20 ms: a shorter wait hardly affects a call of a few
 * ms.
 */
#define LONG_RATIO 4
#define LONG_MIN_US 20000

/* Samples older than this are not representative of the current traffic. */
#define SAMPLE_MAX_AGE_US (10 * US_PER_S)

void dy_service_times_init(dy_service_times_t *times,
			   uint64_t initial_estimate_us)
{
	memset(times, 0, sizeof(*times));
	times->initial_estimate_us =
		initial_estimate_us ? initial_estimate_us : 1;
}

static const dy_service_time_t *find(const dy_service_times_t *times,
				     uint32_t procedure)
{
	return &times->procedures[procedure % DY_SERVICE_PROCEDURES];
}

static void update_shortest(dy_service_times_t *times, uint64_t now_us)
{
	const dy_service_time_t *time;
	uint64_t shortest = 0;
	int i;

	for (i = 0; i < DY_SERVICE_PROCEDURES; i++) {
		time = &times->procedures[i];
		if (!time->sampled_us ||
		    now_us - time->sampled_us > SAMPLE_MAX_AGE_US)
			continue;
		if (!shortest || time->mean_us < shortest)
			shortest = time->mean_us;
	}
	times->shortest_us = shortest;
}

void dy_service_times_add_sample(dy_service_times_t *times, uint32_t procedure,
				 uint64_t took_us, int lower_bound,
				 uint64_t now_us)
{
	dy_service_time_t *time =
		&times->procedures[procedure % DY_SERVICE_PROCEDURES];
	int64_t error;

	/* A lower bound below the mean contains no information. */
	if (lower_bound && time->sampled_us && took_us < time->mean_us)
		return;
	if (!took_us)
		took_us = 1;
	if (!time->sampled_us) {
		time->mean_us = took_us;
		time->deviation_us = took_us / 2;
	} else {
		error = (int64_t)(took_us - time->mean_us);
		time->mean_us += error / (1 << MEAN_SHIFT);
		if (error < 0)
			error = -error;
		error -= (int64_t)time->deviation_us;
		time->deviation_us += error / (1 << DEVIATION_SHIFT);
	}
	time->sampled_us = now_us ? now_us : 1;
	update_shortest(times, now_us);
}

uint64_t dy_service_times_mean(const dy_service_times_t *times,
			       uint32_t procedure)
{
	const dy_service_time_t *time = find(times, procedure);

	if (!time->sampled_us)
		return times->initial_estimate_us;
	return time->mean_us ? time->mean_us : 1;
}

uint64_t dy_service_times_upper_bound(const dy_service_times_t *times,
				      uint32_t procedure, uint64_t now_us)
{
	const dy_service_time_t *time = find(times, procedure);
	uint64_t period = US_PER_S;
	uint64_t halvings;

	if (!time->sampled_us)
		return times->initial_estimate_us;
	if (2 * time->mean_us > period)
		period = 2 * time->mean_us;
	halvings = (now_us - time->sampled_us) / period;
	if (halvings > 63)
		return 0;
	return (time->mean_us + time->deviation_us) >> halvings;
}

int dy_service_times_is_long(const dy_service_times_t *times,
			     uint32_t procedure)
{
	const dy_service_time_t *time = find(times, procedure);

	if (!time->sampled_us)
		return times->shortest_us != 0;
	return time->mean_us >= LONG_MIN_US && times->shortest_us &&
	       time->mean_us >= LONG_RATIO * times->shortest_us;
}
