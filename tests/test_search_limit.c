#include "damaskyard/search_limit.h"

#include "fake_suite.h"

#define SLOTS (DY_SEARCHES_MAX + 1)

static dy_search_limit_t limit;
static dy_search_slot_t slots[SLOTS];

static void begin_all(uint64_t now_ms)
{
	unsigned i;

	dy_search_limit_init(&limit);
	for (i = 0; i < SLOTS; i++)
		dy_search_slot_init(&slots[i]);
	for (i = 0; i < DY_SEARCHES_MAX; i++)
		ck_assert(dy_search_limit_begin(&limit, &slots[i], now_ms));
}

/* Copies of a packet that is searched for take no further place. */
START_TEST(copies_take_no_further_place)
{
	begin_all(1000);
	ck_assert(dy_search_limit_begin(&limit, &slots[0], 1001));
	ck_assert(!dy_search_limit_begin(&limit, &slots[SLOTS - 1], 1001));
	dy_search_limit_end(&limit, &slots[0]);
	ck_assert(dy_search_limit_begin(&limit, &slots[SLOTS - 1], 1001));
	ck_assert(!dy_search_limit_begin(&limit, &slots[0], 1001));
}
END_TEST

/* Lost searches would close the balancer to all others for good. */
START_TEST(lost_searches_give_their_places_back)
{
	begin_all(1000);
	ck_assert(!dy_search_limit_begin(&limit, &slots[SLOTS - 1],
					 999 + DY_SEARCH_TIMEOUT_MS));
	ck_assert(dy_search_limit_begin(&limit, &slots[SLOTS - 1],
					1000 + DY_SEARCH_TIMEOUT_MS));
	ck_assert_uint_eq(limit.count, 1);
}
END_TEST

/* An end that is told twice must not make room for two. */
START_TEST(an_end_counts_once)
{
	begin_all(1000);
	dy_search_limit_end(&limit, &slots[0]);
	dy_search_limit_end(&limit, &slots[0]);
	ck_assert_uint_eq(limit.count, DY_SEARCHES_MAX - 1);
}
END_TEST

static void begin_one(dy_search_slot_t *slot, unsigned *messages,
		      uint64_t now_ms)
{
	int anew = dy_list_empty(&slot->link);

	if (dy_search_limit_begin(&limit, slot, now_ms) && anew)
		*messages = 0;
}

/*
 * A thousand flows' packets come again each ms; the link carries a message a
 * ms, a search takes four and begins anew if it was given up. Shared by all
 * thousand at once no search ends before it is given up; with the limit all
 * end within what their messages take.
 */
START_TEST(burst_ends_within_what_the_link_bears)
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
				begin_one(&burst[i], &messages[i], now_ms);
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
		copies_take_no_further_place,
		lost_searches_give_their_places_back,
		an_end_counts_once,
		burst_ends_within_what_the_link_bears,
		NULL,
	};

	return fake_suite_run("search_limit", tests);
}
