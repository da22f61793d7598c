#include "damaskyard/search_limit.h"

void dy_search_limit_init(dy_search_limit_t *limit)
{
	dy_list_init(&limit->slots);
	limit->count = 0;
}

void dy_search_slot_init(dy_search_slot_t *slot)
{
	dy_list_init(&slot->link);
	slot->started_ms = 0;
}

static void expire_searches(dy_search_limit_t *limit, uint64_t now_ms)
{
	dy_search_slot_t *slot;

	while (!dy_list_empty(&limit->slots)) {
		slot = DY_LIST_ITEM(limit->slots.next, dy_search_slot_t, link);
		if (now_ms - slot->started_ms < DY_SEARCH_TIMEOUT_MS)
			return;
		dy_search_limit_end(limit, slot);
	}
}

int dy_search_limit_begin(dy_search_limit_t *limit, dy_search_slot_t *slot,
			  uint64_t now_ms)
{
	expire_searches(limit, now_ms);
	if (!dy_list_empty(&slot->link))
		return 1;
	if (limit->count >= DY_SEARCHES_MAX)
		return 0;
	limit->count++;
	slot->started_ms = now_ms;
	dy_list_append(&limit->slots, &slot->link);
	return 1;
}

void dy_search_limit_end(dy_search_limit_t *limit, dy_search_slot_t *slot)
{
	if (dy_list_empty(&slot->link))
		return;
	dy_list_remove(&slot->link);
	limit->count--;
}
