#include "fair_queue.h"

#include <string.h>

#include <xxhash.h>

/*
 * Long and short calls of one caller have separate tags. Otherwise its short
 * calls would wait until the share used by its long calls is repaid.
 */
#define LONG_SEED 1

void dy_fair_queue_init(dy_fair_queue_t *queue, uint64_t seed)
{
	memset(queue, 0, sizeof(*queue));
	dy_list_init(&queue->items);
	queue->seed = seed;
}

static uint32_t find_bucket(const dy_fair_queue_t *queue, uint64_t hash,
			    int is_long)
{
	uint64_t seed = queue->seed ^ (is_long ? LONG_SEED : 0);

	return XXH64(&hash, sizeof(hash), seed) % DY_FAIR_QUEUE_BUCKETS;
}

static uint64_t *caller_tag(const dy_fair_queue_t *queue,
			    const dy_admission_item_t *item)
{
	uint32_t bucket = find_bucket(queue, item->caller, item->is_long);

	return (uint64_t *)&queue->callers[bucket];
}

static uint64_t *key_tag(const dy_fair_queue_t *queue,
			 const dy_admission_item_t *item)
{
	uint32_t bucket;

	if (!item->key)
		return NULL;
	bucket = find_bucket(queue, item->key, item->is_long);
	return (uint64_t *)&queue->keys[bucket];
}

void dy_fair_queue_set_start_tag(const dy_fair_queue_t *queue,
				 dy_admission_item_t *item)
{
	const uint64_t *caller = caller_tag(queue, item);
	const uint64_t *key = key_tag(queue, item);

	item->start_tag = queue->virtual_us;
	if (*caller > item->start_tag)
		item->start_tag = *caller;
	if (key && *key > item->start_tag)
		item->start_tag = *key;
}

uint64_t dy_fair_queue_finish_tag(const dy_admission_item_t *item)
{
	return item->start_tag + item->cost_us;
}

uint64_t dy_fair_queue_ahead_us(const dy_fair_queue_t *queue,
				uint64_t finish_tag)
{
	const dy_admission_item_t *item;
	uint64_t behind = 0;
	dy_list_t *pos;

	for (pos = queue->items.prev; pos != &queue->items; pos = pos->prev) {
		item = DY_LIST_ITEM(pos, dy_admission_item_t, link);
		if (dy_fair_queue_finish_tag(item) <= finish_tag)
			break;
		behind += item->cost_us;
	}
	return queue->queued_us - behind;
}

/*
 * Advances a tag from its own value and not from the item's start tag.
 * Otherwise a caller that once requested a hot key would fall as far behind as
 * that key.
 */
static void charge_tag(const dy_fair_queue_t *queue, uint64_t *tag,
		       uint64_t cost_us)
{
	*tag = MAX(*tag, queue->virtual_us) + cost_us;
}

void dy_fair_queue_charge(dy_fair_queue_t *queue, dy_admission_item_t *item)
{
	charge_tag(queue, caller_tag(queue, item), item->cost_us);
	if (item->key)
		charge_tag(queue, key_tag(queue, item), item->cost_us);
}

void dy_fair_queue_enqueue(dy_fair_queue_t *queue, dy_admission_item_t *item)
{
	uint64_t finish_tag = dy_fair_queue_finish_tag(item);
	const dy_admission_item_t *before;
	dy_list_t *pos;

	for (pos = queue->items.prev; pos != &queue->items; pos = pos->prev) {
		before = DY_LIST_ITEM(pos, dy_admission_item_t, link);
		if (dy_fair_queue_finish_tag(before) <= finish_tag)
			break;
	}
	dy_list_append(pos->next, &item->link);
	queue->count++;
	queue->queued_us += item->cost_us;
	dy_fair_queue_charge(queue, item);
}

static void unlink_item(dy_fair_queue_t *queue, dy_admission_item_t *item)
{
	dy_list_remove(&item->link);
	queue->count--;
	queue->queued_us -= item->cost_us;
}

void dy_fair_queue_dequeue(dy_fair_queue_t *queue, dy_admission_item_t *item)
{
	unlink_item(queue, item);
	if (item->start_tag > queue->virtual_us)
		queue->virtual_us = item->start_tag;
	queue->virtual_us += item->cost_us / (queue->count + 1);
}

void dy_fair_queue_remove(dy_fair_queue_t *queue, dy_admission_item_t *item)
{
	uint64_t *caller = caller_tag(queue, item);
	uint64_t *key = key_tag(queue, item);

	unlink_item(queue, item);
	*caller -= MIN(*caller, item->cost_us);
	if (key)
		*key -= MIN(*key, item->cost_us);
}

void dy_fair_queue_charge_extra(dy_fair_queue_t *queue,
				const dy_admission_item_t *item,
				uint64_t extra_us)
{
	uint64_t *key = key_tag(queue, item);

	*caller_tag(queue, item) += extra_us;
	if (key)
		*key += extra_us;
}
