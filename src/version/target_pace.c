#include "damaskyard/target_pace.h"

#include <math.h>
#include <stdlib.h>

#include <glib.h>

void dy_target_pace_report(dy_target_pace_t *pace,
			   const dy_flow_pace_t *reported, uint64_t now_ms)
{
	pace->reported = *reported;
	pace->reported_ms = now_ms;
}

static int is_recent(const dy_target_pace_t *pace, uint64_t now_ms)
{
	return pace->reported_ms &&
	       now_ms - pace->reported_ms <= DY_TARGET_PACE_AGE_MAX_MS;
}

static int compare_times(const void *a, const void *b)
{
	uint32_t left = *(const uint32_t *)a;
	uint32_t right = *(const uint32_t *)b;

	return (left > right) - (left < right);
}

/* Returns the median time in a slot; 0 if too few are known. */
static uint32_t find_median(dy_target_pace_t *const *paces, unsigned count,
			    uint64_t now_ms)
{
	uint32_t *times = g_new(uint32_t, count);
	unsigned known = 0;
	uint32_t median = 0;
	unsigned i;

	for (i = 0; i < count; i++)
		if (is_recent(paces[i], now_ms) &&
		    paces[i]->reported.service_us)
			times[known++] = paces[i]->reported.service_us;
	if (known >= DY_TARGET_COMPARED_MIN) {
		qsort(times, known, sizeof(*times), compare_times);
		median = times[known / 2];
	}
	g_free(times);
	return median;
}

static double compute_ratio(const dy_target_pace_t *pace, uint32_t median_us,
			    uint64_t now_ms)
{
	if (!median_us || !is_recent(pace, now_ms) ||
	    !pace->reported.service_us)
		return 0;
	return (double)pace->reported.service_us / median_us;
}

/* Returns whether the target is outside the band of even targets. */
static int is_uneven(const dy_target_pace_t *pace, uint32_t median_us)
{
	double limit =
		pace->uneven ? DY_TARGET_EVEN_RATIO : DY_TARGET_UNEVEN_RATIO;
	double limit_us =
		pace->uneven ? DY_TARGET_EVEN_US : DY_TARGET_UNEVEN_US;
	double difference_us = (double)pace->reported.service_us - median_us;

	return pace->ratio > 0 && fabs(difference_us) > limit_us &&
	       (pace->ratio > limit || pace->ratio * limit < 1);
}

static int is_mute(const dy_target_pace_t *pace, uint64_t now_ms,
		   uint32_t permille)
{
	return is_recent(pace, now_ms) &&
	       pace->reported.unanswered_permille >= permille;
}

static int is_at_fault(const dy_target_pace_t *pace, uint64_t now_ms,
		       uint32_t permille, double ratio)
{
	return is_mute(pace, now_ms, permille) ||
	       (pace->uneven && pace->ratio >= ratio);
}

/*
 * Takes the next step of a target, if one is due. Returns the change of the
 * number of targets that are held back.
 */
static int step(dy_target_pace_t *pace, int may_hold, uint64_t now_ms)
{
	uint64_t since_ms = now_ms - pace->stepped_ms;

	pace->mute = is_mute(pace, now_ms, DY_TARGET_MUTE_ENDED_PERMILLE);
	if (is_at_fault(pace, now_ms, DY_TARGET_MUTE_PERMILLE,
			DY_TARGET_FAR_SLOWER_RATIO)) {
		if (pace->steps == DY_TARGET_STEPS_MAX ||
		    (pace->steps && since_ms < DY_TARGET_STEP_DOWN_MS) ||
		    (!pace->steps && !may_hold))
			return 0;
		pace->stepped_ms = now_ms;
		return !pace->steps++;
	}
	if (!pace->steps || since_ms < DY_TARGET_STEP_UP_MS ||
	    is_at_fault(pace, now_ms, DY_TARGET_MUTE_ENDED_PERMILLE,
			DY_TARGET_FAR_SLOWER_ENDED_RATIO))
		return 0;
	pace->stepped_ms = now_ms;
	return --pace->steps ? 0 : -1;
}

void dy_target_pace_compare(dy_target_pace_t *const *paces, unsigned count,
			    uint64_t now_ms, dy_target_pace_cb_t *changed,
			    void *context)
{
	uint32_t median_us = find_median(paces, count, now_ms);
	unsigned held = 0;
	unsigned i;
	int change;
	int uneven;

	for (i = 0; i < count; i++)
		held += paces[i]->steps > 0;
	for (i = 0; i < count; i++) {
		paces[i]->ratio = compute_ratio(paces[i], median_us, now_ms);
		uneven = is_uneven(paces[i], median_us);
		if (uneven != paces[i]->uneven && changed)
			changed(context, paces[i],
				uneven ? DY_TARGET_UNEVEN : DY_TARGET_EVEN,
				median_us);
		paces[i]->uneven = uneven;
		change =
			step(paces[i],
			     (held + 1) * DY_TARGET_HELD_PART <= count, now_ms);
		held += (unsigned)change;
		if (change && changed)
			changed(context, paces[i],
				change > 0 ? DY_TARGET_HELD_BACK
					   : DY_TARGET_GIVEN_BACK,
				median_us);
	}
}

double dy_target_pace_weight(const dy_target_pace_t *pace, uint64_t draw,
			     uint64_t now_ms)
{
	if (!pace->uneven || !is_recent(pace, now_ms) ||
	    !(draw % (DY_TARGET_CANDIDATES * DY_TARGET_TRIAL_PART)))
		return 1;
	return CLAMP(1 / (pace->ratio * sqrt(pace->ratio)),
		     DY_TARGET_WEIGHT_MIN, DY_TARGET_WEIGHT_MAX);
}

int dy_target_pace_is_withheld(const dy_target_pace_t *pace, uint64_t draw)
{
	if (!pace->steps)
		return 0;
	return (pace->mute && pace->steps == DY_TARGET_STEPS_MAX) ||
	       draw % (DY_TARGET_CANDIDATES << pace->steps) != 0;
}
