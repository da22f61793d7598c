#include "admission_state.h"

/*
 * How long a running call will still hold its slot. One that is overdue is
 * taken to need as long again as it took: the longer it has stalled, the less
 * its slot is counted on. The owner gives it up at its deadline.
 */
static uint64_t residual_us(const dy_admission_item_t *item, uint64_t now_us)
{
	uint64_t elapsed =
		now_us > item->started_us ? now_us - item->started_us : 0;
	uint64_t left =
		elapsed < item->cost_us ? item->cost_us - elapsed : elapsed;

	if (item->effective_deadline_us <= now_us)
		return 0;
	return MIN(left, item->effective_deadline_us - now_us);
}

static uint64_t first_free_us(const dy_admission_t *adm, uint64_t now_us)
{
	const dy_admission_item_t *item;
	uint64_t first = NEVER_US;
	dy_list_t *pos;

	if (adm->in_flight < adm->config.slots)
		return 0;
	if (!adm->config.slots)
		return NEVER_US;
	DY_LIST_EACH(pos, &adm->running)
	{
		item = DY_LIST_ITEM(pos, dy_admission_item_t, link);
		first = MIN(first, residual_us(item, now_us));
	}
	return first;
}

/* Slots that are free or come free within horizon_us; at least 1. */
static uint32_t usable_slots(const dy_admission_t *adm, uint64_t now_us,
			     uint64_t horizon_us)
{
	const dy_admission_item_t *item;
	uint32_t usable = adm->config.slots;
	dy_list_t *pos;

	DY_LIST_EACH(pos, &adm->running)
	{
		item = DY_LIST_ITEM(pos, dy_admission_item_t, link);
		if (usable > 1 && residual_us(item, now_us) > horizon_us)
			usable--;
	}
	return MAX(usable, 1);
}

/*
 * The part of the slots, in percent, that a lane can count on: what the other
 * left of late, and its own share at least. What waits in the other lane now
 * does not tell: submissions that never wait long still take their part.
 */
static uint64_t open_percent(const dy_admission_t *adm, const lane_t *lane,
			     const lane_t *other, uint64_t now_us)
{
	uint64_t used_us = dy_usage_read(&other->usage, now_us);
	uint64_t used =
		used_us * PERCENT / ((uint64_t)DY_USAGE_US * adm->config.slots);

	return MAX(PERCENT - MIN(used, PERCENT), lane->percent);
}

uint64_t dy_admission_wait_us(const dy_admission_t *adm, const lane_t *lane,
			      uint64_t ahead_us, uint64_t now_us)
{
	const lane_t *other = lane == &adm->lanes[PULLS]
				      ? &adm->lanes[SUBMISSIONS]
				      : &adm->lanes[PULLS];
	uint64_t first = first_free_us(adm, now_us);
	uint64_t total;

	if (first >= NEVER_US)
		return NEVER_US;
	if (!ahead_us)
		return first;
	total = ahead_us * other->percent / lane->percent;
	total = ahead_us + MIN(total, other->fair.queued_us);
	total = MAX(total, ahead_us * PERCENT /
				   open_percent(adm, lane, other, now_us));
	return first + total / usable_slots(adm, now_us,
					    first + total / adm->config.slots);
}

uint32_t dy_admission_book_retry_ms(dy_admission_t *adm,
				    const dy_admission_item_t *item)
{
	const dy_admission_config_t *config = &adm->config;
	uint64_t backlog = adm->lanes[SUBMISSIONS].fair.queued_us +
			   adm->lanes[PULLS].fair.queued_us;
	uint32_t slots = MAX(config->slots, 1);
	uint64_t ms;

	adm->booked_us = MAX(adm->booked_us, adm->now_us + backlog / slots) +
			 item->cost_us / slots;
	adm->booked_us =
		MIN(adm->booked_us,
		    adm->now_us + (uint64_t)config->retry_max_ms * US_PER_MS);
	ms = (adm->booked_us - adm->now_us) / US_PER_MS;
	ms = (uint64_t)((double)ms *
			g_rand_double_range(adm->rand, 0.75, 1.25));
	return (uint32_t)CLAMP(ms, config->retry_min_ms, config->retry_max_ms);
}
