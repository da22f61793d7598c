#ifndef DAMASKYARD_SEARCH_LIMIT_H
#define DAMASKYARD_SEARCH_LIMIT_H

/*
 * Limit on the concurrent searches for flow holders at a balancer. This module
 * does no I/O.
 *
 * Load pattern: all balancers restart while thousands of flows are open, so the
 * next packet of each flow needs a search along all agents.
 * Without it: the searches fill the balancers' links (7.3 Mbit/s on the
 * smallest). Their messages and the packets of new flows are delayed or lost,
 * each retransmitted packet restarts its search, and no search completes for
 * seconds.
 * Mechanism: a search that ends admits the next one, so the rate adapts to the
 * links and agents: high where holders are found, low where no agent holds the
 * flows. Packets above the limit are dropped; callers retransmit them.
 */

#include <stdint.h>

#include "damaskyard/list.h"

/*
 * Maximum number of concurrent searches. A search takes 10 to 100 ms and 2 KB,
 * so this allows 160 to 1,600 searches per second, and at the lower end 0.3
 * MB/s, a third of the link.
 */
#define DY_SEARCHES_MAX 16

/* Timeout of a search; after it the search counts as lost. */
#define DY_SEARCH_TIMEOUT_MS 300

/* State of one search, embedded in the record of the flow. */
typedef struct dy_search_slot {
	dy_list_t link;
	uint64_t started_ms;
} dy_search_slot_t;

typedef struct dy_search_limit {
	dy_list_t slots; /* running searches, oldest first */
	unsigned count;
} dy_search_limit_t;

/* Initializes limit without any running search. */
void dy_search_limit_init(dy_search_limit_t *limit);

/* Initializes slot as not running. */
void dy_search_slot_init(dy_search_slot_t *slot);

/*
 * Starts a search and returns 1, or returns 0 if the limit is reached at
 * now_ms. The search counts as running until dy_search_limit_end() or its
 * timeout. For a search that is already running it returns 1 and changes
 * nothing.
 */
int dy_search_limit_begin(dy_search_limit_t *limit, dy_search_slot_t *slot,
			  uint64_t now_ms);

/*
 * Ends the search, if it is running. Call it when the search has completed or
 * its flow is dropped.
 */
void dy_search_limit_end(dy_search_limit_t *limit, dy_search_slot_t *slot);

#endif
