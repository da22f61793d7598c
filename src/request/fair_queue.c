#include "fair_queue.h"

#include <string.h>

#include <xxhash.h>

/*
 * Long and short calls of one caller have tags of their own: else its short
 * calls would wait out the share that its long ones have used up.
 */
#define LONG_SEED 1

void dy_fair_lane_init(dy_fair_lane_t *lane, uint64_t seed)
{
	memset(lane, 0, sizeof(*lane));
	dy_list_init(&lane->items);
	lane->seed = seed;
}

static uint32_t find_place(const dy_fair_lane_t *lane, uint64_t hash,
			   int is_long)
{
	uint64_t seed = lane->seed ^ (is_long ? LONG_SEED : 0);

	return XXH64(&hash, sizeof(hash), seed) % DY_FAIR_PLACES;
}

static uint64_t *caller_tag(const dy_fair_lane_t *lane,
			    const dy_admission_item_t *item)
{
	uint32_t place = find_place(lane, item->caller, item->is_long);

	return (uint64_t *)&lane->callers[place];
}

static uint64_t *key_tag(const dy_fair_lane_t *lane,
			 const dy_admission_item_t *item)
{
	uint32_t place;

	if (!item->key)
		return NULL;
	place = find_place(lane, item->key, item->is_long);
	return (uint64_t *)&lane->keys[place];
}

void dy_fair_lane_place(const dy_fair_lane_t *lane, dy_admission_item_t *item)
{
	const uint64_t *caller = caller_tag(lane, item);
	const uint64_t *key = key_tag(lane, item);

	item->start_tag = lane->virtual_us;
	if (*caller > item->start_tag)
		item->start_tag = *caller;
	if (key && *key > item->start_tag)
		item->start_tag = *key;
}

uint64_t dy_fair_lane_finish_tag(const dy_admission_item_t *item)
{
	return item->start_tag + item->cost_us;
}

uint64_t dy_fair_lane_ahead_us(const dy_fair_lane_t *lane, uint64_t finish_tag)
{
	const dy_admission_item_t *item;
	uint64_t behind = 0;
	dy_list_t *pos;

	for (pos = lane->items.prev; pos != &lane->items; pos = pos->prev) {
		item = DY_LIST_ITEM(pos, dy_admission_item_t, link);
		if (dy_fair_lane_finish_tag(item) <= finish_tag)
			break;
		behind += item->cost_us;
	}
	return lane->queued_us - behind;
}

/*
 * Each tag moves on from where it was, not from the item's start: else a
 * caller that once asked for a hot key would stand as far back as that key.
 */
static void charge_tag(const dy_fair_lane_t *lane, uint64_t *tag,
		       uint64_t cost_us)
{
	*tag = MAX(*tag, lane->virtual_us) + cost_us;
}

void dy_fair_lane_charge(dy_fair_lane_t *lane, dy_admission_item_t *item)
{
	charge_tag(lane, caller_tag(lane, item), item->cost_us);
	if (item->key)
		charge_tag(lane, key_tag(lane, item), item->cost_us);
}

void dy_fair_lane_add(dy_fair_lane_t *lane, dy_admission_item_t *item)
{
	uint64_t finish_tag = dy_fair_lane_finish_tag(item);
	const dy_admission_item_t *before;
	dy_list_t *pos;

	for (pos = lane->items.prev; pos != &lane->items; pos = pos->prev) {
		before = DY_LIST_ITEM(pos, dy_admission_item_t, link);
		if (dy_fair_lane_finish_tag(before) <= finish_tag)
			break;
	}
	dy_list_append(pos->next, &item->link);
	lane->count++;
	lane->queued_us += item->cost_us;
	dy_fair_lane_charge(lane, item);
}

static void unlink_item(dy_fair_lane_t *lane, dy_admission_item_t *item)
{
	dy_list_remove(&item->link);
	lane->count--;
	lane->queued_us -= item->cost_us;
}

void dy_fair_lane_take(dy_fair_lane_t *lane, dy_admission_item_t *item)
{
	unlink_item(lane, item);
	if (item->start_tag > lane->virtual_us)
		lane->virtual_us = item->start_tag;
	lane->virtual_us += item->cost_us / (lane->count + 1);
}

void dy_fair_lane_remove(dy_fair_lane_t *lane, dy_admission_item_t *item)
{
	uint64_t *caller = caller_tag(lane, item);
	uint64_t *key = key_tag(lane, item);

	unlink_item(lane, item);
	*caller -= MIN(*caller, item->cost_us);
	if (key)
		*key -= MIN(*key, item->cost_us);
}

void dy_fair_lane_correct(dy_fair_lane_t *lane, const dy_admission_item_t *item,
			  uint64_t extra_us)
{
	uint64_t *key = key_tag(lane, item);

	*caller_tag(lane, item) += extra_us;
	if (key)
		*key += extra_us;
}
