#include "service_time.h"

#include <string.h>

#define US_PER_S 1000000ULL

/* Weights of a new sample: 1/8 in the mean, 1/4 in the deviation. */
#define MEAN_SHIFT 3
#define DEVIATION_SHIFT 2

/*
 * A call is long from four times the lightest procedure's mean, and never
 * below 20 ms: a short call of a few ms hardly notices to wait for that.
 */
#define LONG_RATIO 4
#define LONG_LEAST_US 20000

/* A procedure not seen for so long says nothing of the traffic of today. */
#define RECENT_US (10 * US_PER_S)

void dy_service_times_init(dy_service_times_t *times,
			   uint64_t first_estimate_us)
{
	memset(times, 0, sizeof(*times));
	times->first_estimate_us = first_estimate_us ? first_estimate_us : 1;
}

static const dy_service_time_t *find(const dy_service_times_t *times,
				     uint32_t procedure)
{
	return &times->procedures[procedure % DY_SERVICE_PROCEDURES];
}

static void update_lightest(dy_service_times_t *times, uint64_t now_us)
{
	const dy_service_time_t *time;
	uint64_t lightest = 0;
	int i;

	for (i = 0; i < DY_SERVICE_PROCEDURES; i++) {
		time = &times->procedures[i];
		if (!time->learned_us || now_us - time->learned_us > RECENT_US)
			continue;
		if (!lightest || time->mean_us < lightest)
			lightest = time->mean_us;
	}
	times->lightest_us = lightest;
}

void dy_service_times_learn(dy_service_times_t *times, uint32_t procedure,
			    uint64_t took_us, int lower_bound, uint64_t now_us)
{
	dy_service_time_t *time =
		&times->procedures[procedure % DY_SERVICE_PROCEDURES];
	int64_t error;

	/* A lower bound below the mean teaches nothing. */
	if (lower_bound && time->learned_us && took_us < time->mean_us)
		return;
	if (!took_us)
		took_us = 1;
	if (!time->learned_us) {
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
	time->learned_us = now_us ? now_us : 1;
	update_lightest(times, now_us);
}

uint64_t dy_service_times_mean(const dy_service_times_t *times,
			       uint32_t procedure)
{
	const dy_service_time_t *time = find(times, procedure);

	if (!time->learned_us)
		return times->first_estimate_us;
	return time->mean_us ? time->mean_us : 1;
}

uint64_t dy_service_times_cautious(const dy_service_times_t *times,
				   uint32_t procedure, uint64_t now_us)
{
	const dy_service_time_t *time = find(times, procedure);
	uint64_t period = US_PER_S;
	uint64_t halvings;

	if (!time->learned_us)
		return times->first_estimate_us;
	if (2 * time->mean_us > period)
		period = 2 * time->mean_us;
	halvings = (now_us - time->learned_us) / period;
	if (halvings > 63)
		return 0;
	return (time->mean_us + time->deviation_us) >> halvings;
}

int dy_service_times_is_long(const dy_service_times_t *times,
			     uint32_t procedure)
{
	const dy_service_time_t *time = find(times, procedure);

	if (!time->learned_us)
		return times->lightest_us != 0;
	return time->mean_us >= LONG_LEAST_US && times->lightest_us &&
	       time->mean_us >= LONG_RATIO * times->lightest_us;
}
