#include "admission_state.h"

/*
 * Returns the expected remaining time of a running call. An overdue call is
 * expected to need as much time again as it has taken, so the longer it stalls,
 * the less its slot is counted on. The owner abandons it at its deadline.
 */
static uint64_t remaining_us(const dy_admission_item_t *item, uint64_t now_us)
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
		first = MIN(first, remaining_us(item, now_us));
	}
	return first;
}

/*
 * Returns the number of slots that are free or become free within horizon_us;
 * at least 1.
 */
static uint32_t usable_slots(const dy_admission_t *adm, uint64_t now_us,
			     uint64_t horizon_us)
{
	const dy_admission_item_t *item;
	uint32_t usable = adm->config.slots;
	dy_list_t *pos;

	DY_LIST_EACH(pos, &adm->running)
	{
		item = DY_LIST_ITEM(pos, dy_admission_item_t, link);
		if (usable > 1 && remaining_us(item, now_us) > horizon_us)
			usable--;
	}
	return MAX(usable, 1);
}

/*
 * Returns the percentage of the slots that a class can expect: what the other
 * class left unused recently, and at least its own share. The other class's
 * queue length is no measure of this: submissions that never wait long still
 * use slots.
 */
static uint64_t available_percent(const dy_admission_t *adm,
				  const call_class_t *class,
				  const call_class_t *other, uint64_t now_us)
{
	uint64_t used_us = dy_usage_read(&other->usage, now_us);
	uint64_t used = used_us * PERCENT /
			((uint64_t)DY_USAGE_DECAY_US * adm->config.slots);

	return MAX(PERCENT - MIN(used, PERCENT), class->percent);
}

uint64_t dy_admission_wait_us(const dy_admission_t *adm,
			      const call_class_t *class, uint64_t ahead_us,
			      uint64_t now_us)
{
	const call_class_t *other = class == &adm->classes[PULLS]
					    ? &adm->classes[SUBMISSIONS]
					    : &adm->classes[PULLS];
	uint64_t first = first_free_us(adm, now_us);
	uint64_t total;

	if (first >= NEVER_US)
		return NEVER_US;
	if (!ahead_us)
		return first;
	total = ahead_us * other->percent / class->percent;
	total = ahead_us + MIN(total, other->queue.queued_us);
	total = MAX(total,
		    ahead_us * PERCENT /
			    available_percent(adm, class, other, now_us));
	return first + total / usable_slots(adm, now_us,
					    first + total / adm->config.slots);
}

uint32_t dy_admission_schedule_retry_ms(dy_admission_t *adm,
					const dy_admission_item_t *item)
{
	const dy_admission_config_t *config = &adm->config;
	uint64_t backlog = adm->classes[SUBMISSIONS].queue.queued_us +
			   adm->classes[PULLS].queue.queued_us;
	uint32_t slots = MAX(config->slots, 1);
	uint64_t ms;

	adm->scheduled_until_us =
		MAX(adm->scheduled_until_us, adm->now_us + backlog / slots) +
		item->cost_us / slots;
	adm->scheduled_until_us =
		MIN(adm->scheduled_until_us,
		    adm->now_us + (uint64_t)config->retry_max_ms * US_PER_MS);
	ms = (adm->scheduled_until_us - adm->now_us) / US_PER_MS;
	ms = (uint64_t)((double)ms *
			g_rand_double_range(adm->rand, 0.75, 1.25));
	return (uint32_t)CLAMP(ms, config->retry_min_ms, config->retry_max_ms);
}
