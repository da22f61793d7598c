#include "damaskyard/request_pace.h"

#include <math.h>

#include <glib.h>

/* Weight of the newest sample in the mean time: the last 64 or so count. */
#define NEWEST_WEIGHT (1 / 32.0)

/*
 * Samples below the mean count like all of some seconds if there are few.
 * Otherwise a slow target that gets little work for it would look slow long
 * after it is not.
 */
#define SHORTER_MEMORY_MS 4000.0
#define SHORTER_WEIGHT_MAX (1 / 4.0)

/* Samples from which on the mean limits the next one. */
#define LIMITED_SAMPLES 4

/* Weight of the newest outcome; three in a row without an answer are 0.18. */
#define OUTCOME_WEIGHT (1 / 16.0)

/* Part that fades with each call: half of it in 2.2 s. */
#define FADING_PART (1 / 16.0)

/* Shortest time that is distinguished, since the clock has milliseconds. */
#define SERVICE_MIN_MS 0.5

void dy_request_pace_init(dy_request_pace_t *pace)
{
	pace->samples = 0;
	pace->service_ms = 0;
	pace->sampled_ms = 0;
	pace->unanswered = 0;
}

static double weigh_sample(const dy_request_pace_t *pace, double sample,
			   uint64_t now_ms)
{
	/* The first samples weigh the same. */
	double weight = MAX(1.0 / (pace->samples + 1), NEWEST_WEIGHT);
	double elapsed_ms = (double)(now_ms - pace->sampled_ms);

	if (pace->samples < DY_PACE_SAMPLES_MIN || sample > pace->service_ms)
		return weight;
	return CLAMP(elapsed_ms / SHORTER_MEMORY_MS, weight,
		     SHORTER_WEIGHT_MAX);
}

void dy_request_pace_add_service(dy_request_pace_t *pace, uint64_t service_ms,
				 uint64_t now_ms)
{
	double sample = MAX((double)service_ms, SERVICE_MIN_MS);

	if (pace->samples >= LIMITED_SAMPLES)
		sample = MIN(sample, pace->service_ms * DY_PACE_LONGEST_MEANS);
	pace->service_ms += (sample - pace->service_ms) *
			    weigh_sample(pace, sample, now_ms);
	if (pace->samples < DY_PACE_SAMPLES_MIN)
		pace->samples++;
	pace->sampled_ms = now_ms;
}

void dy_request_pace_add_outcome(dy_request_pace_t *pace, int answered)
{
	pace->unanswered += (!answered - pace->unanswered) * OUTCOME_WEIGHT;
}

void dy_request_pace_fade(dy_request_pace_t *pace)
{
	pace->unanswered *= 1 - FADING_PART;
}

static int is_known(const dy_request_pace_t *pace, uint64_t now_ms)
{
	return pace->samples >= DY_PACE_SAMPLES_MIN &&
	       now_ms - pace->sampled_ms <= DY_PACE_AGE_MAX_MS;
}

uint32_t dy_request_pace_service_us(const dy_request_pace_t *pace,
				    uint64_t now_ms)
{
	return is_known(pace, now_ms) ? (uint32_t)lround(pace->service_ms * 1e3)
				      : 0;
}

uint32_t dy_request_pace_unanswered(const dy_request_pace_t *pace)
{
	return (uint32_t)lround(pace->unanswered * 1e3);
}

uint64_t dy_request_pace_unanswered_ms(const dy_request_pace_t *pace,
				       uint64_t now_ms)
{
	uint64_t limit_ms;

	if (!is_known(pace, now_ms))
		return DY_PACE_UNANSWERED_UNKNOWN_MS;
	limit_ms = (uint64_t)(pace->service_ms * DY_PACE_UNANSWERED_MEANS);
	return MAX(limit_ms, DY_PACE_UNANSWERED_MIN_MS);
}
