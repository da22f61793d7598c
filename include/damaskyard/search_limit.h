#ifndef DAMASKYARD_SEARCH_LIMIT_H
#define DAMASKYARD_SEARCH_LIMIT_H

/*
 * How many searches for flows' holders a balancer has under way at once. No
 * network.
 *
 * Load pattern: all balancers start anew while thousands of flows are open, so
 * that each flow's next packet needs a search along all agents. Without a
 * limit the searches fill the balancers' links (7.3 Mbit/s on the smallest):
 * their messages and new flows' packets wait or are lost, searches begin again
 * with each copy of a packet, and no search comes to its end for seconds.
 *
 * A search that ends makes room for the next, so the pace follows what links
 * and agents bear: fast where holders are found, slow where nobody holds the
 * flows. Packets beyond the limit are dropped; callers send copies.
 */

#include <stdint.h>

#include "damaskyard/list.h"

/*
 * Searches at once. One takes 10 to 100 ms and 2 KB, so these are 160 to
 * 1,600 a second, and 0.3 MB/s at the lower end: a third of the link.
 */
#define DY_SEARCHES_MAX 16

/* A search without an end for so long is lost on its way, in ms. */
#define DY_SEARCH_TIMEOUT_MS 300

/* One search: part of what it is for. */
typedef struct dy_search_slot {
	dy_list_t link;
	uint64_t started_ms;
} dy_search_slot_t;

typedef struct dy_search_limit {
	dy_list_t slots; /* under way, oldest first */
	unsigned count;
} dy_search_limit_t;

void dy_search_limit_init(dy_search_limit_t *limit);

void dy_search_slot_init(dy_search_slot_t *slot);

/*
 * Whether a search may begin at now_ms. If so it is under way until its end is
 * told. One that is under way begins anew without a further place.
 */
int dy_search_limit_begin(dy_search_limit_t *limit, dy_search_slot_t *slot,
			  uint64_t now_ms);

/* The search has ended, or what it is for is no more. */
void dy_search_limit_end(dy_search_limit_t *limit, dy_search_slot_t *slot);

#endif
