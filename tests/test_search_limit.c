#include "damaskyard/search_limit.h"

#include "fake_suite.h"

#define SLOTS (DY_SEARCHES_MAX + 1)

static dy_search_limit_t limit;
static dy_search_slot_t slots[SLOTS];

static void start_max_searches(uint64_t now_ms)
{
	unsigned i;

	dy_search_limit_init(&limit);
	for (i = 0; i < SLOTS; i++)
		dy_search_slot_init(&slots[i]);
	for (i = 0; i < DY_SEARCHES_MAX; i++)
		ck_assert(dy_search_limit_begin(&limit, &slots[i], now_ms));
}

/* Retransmissions of a packet whose search is running do not count again. */
START_TEST(counts_retransmissions_once)
{
	start_max_searches(1000);
	ck_assert(dy_search_limit_begin(&limit, &slots[0], 1001));
	ck_assert(!dy_search_limit_begin(&limit, &slots[SLOTS - 1], 1001));
	dy_search_limit_end(&limit, &slots[0]);
	ck_assert(dy_search_limit_begin(&limit, &slots[SLOTS - 1], 1001));
	ck_assert(!dy_search_limit_begin(&limit, &slots[0], 1001));
}
END_TEST

/* Guards against lost searches that block all others for good. */
START_TEST(frees_slots_of_lost_searches)
{
	start_max_searches(1000);
	ck_assert(!dy_search_limit_begin(&limit, &slots[SLOTS - 1],
					 999 + DY_SEARCH_TIMEOUT_MS));
	ck_assert(dy_search_limit_begin(&limit, &slots[SLOTS - 1],
					1000 + DY_SEARCH_TIMEOUT_MS));
	ck_assert_uint_eq(limit.count, 1);
}
END_TEST

/* Guards against an end that is reported twice and admits two searches. */
START_TEST(counts_repeated_end_once)
{
	start_max_searches(1000);
	dy_search_limit_end(&limit, &slots[0]);
	dy_search_limit_end(&limit, &slots[0]);
	ck_assert_uint_eq(limit.count, DY_SEARCHES_MAX - 1);
}
END_TEST

static void begin_if_ended(dy_search_slot_t *slot, unsigned *messages,
			   uint64_t now_ms)
{
	int is_new = dy_list_empty(&slot->link);

	if (dy_search_limit_begin(&limit, slot, now_ms) && is_new)
		*messages = 0;
}

/*
 * The packets of 1,000 flows are retransmitted every ms. The link carries one
 * message per ms; a search takes four and restarts when it times out. With all
 * 1,000 at once no search completes before its timeout; with the limit all
 * complete within the time of their messages.
 */
START_TEST(completes_burst_within_link_capacity)
{
	static dy_search_slot_t burst[1000];
	unsigned messages[1000] = { 0 };
	unsigned ended = 0;
	uint64_t now_ms = 0;
	unsigned next = 0;
	unsigned i;

	dy_search_limit_init(&limit);
	for (i = 0; i < 1000; i++)
		dy_search_slot_init(&burst[i]);
	for (; ended < 1000 && now_ms < 5000; now_ms++) {
		for (i = 0; i < 1000; i++)
			if (messages[i] < 4)
				begin_if_ended(&burst[i], &messages[i], now_ms);
		for (i = 0; i < 1000; i++) {
			next = (next + 1) % 1000;
			if (!dy_list_empty(&burst[next].link))
				break;
		}
		if (++messages[next] < 4)
			continue;
		dy_search_limit_end(&limit, &burst[next]);
		ended++;
	}
	ck_assert_uint_eq(ended, 1000);
	ck_assert_uint_le(now_ms, 4000);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		counts_retransmissions_once,
		frees_slots_of_lost_searches,
		counts_repeated_end_once,
		completes_burst_within_link_capacity,
		NULL,
	};

	return fake_suite_run("search_limit", tests);
}
