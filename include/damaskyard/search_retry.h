#ifndef DAMASKYARD_SEARCH_RETRY_H
#define DAMASKYARD_SEARCH_RETRY_H

/*
 * A search for a flow's holder that goes on past agents that do not answer.
 * This module does no I/O: it says which agents to ask next, and is told of
 * answers and of time.
 *
 * Load pattern: agents are stopped and started in turn, or hang, while
 * balancers do not know the holders of open flows.
 * Without it: a search is one message that agents pass on, and the agent that
 * is down swallows it. The caller's retransmissions meet the next agents that
 * are down.
 * Mechanism: the agents are asked in parts, each by one message that they pass
 * on. A part without an answer in time is split, down to single agents, while
 * others are asked at once. An agent that stays silent by itself is left out,
 * and the search then is not complete.
 */

#include <stdint.h>

#include <glib.h>

/* Agents of a part: of a new one, and of one split from it. */
#define DY_SEARCH_PART 16
#define DY_SEARCH_SPLIT 4

/*
 * Timeout of a part in ms, for a network that is idle: a base, and 1.5 ms for
 * each agent, which is the longest that one takes to pass a message on.
 */
#define DY_SEARCH_PART_TIMEOUT_MS(agents) (20 + (agents)*3 / 2)

/* Age of a search in ms from which more than one part is asked at once. */
#define DY_SEARCH_PARALLEL_AGE_MS 30

/*
 * Silent agents at which a search ends. Where so many are gone, as after a loss
 * of power, asking on would fill the links.
 */
#define DY_SEARCH_SILENT_MAX 8

/* Time after which a search ends, whatever is still unanswered, in ms. */
#define DY_SEARCH_RETRY_MAX_MS 600

typedef struct dy_search_retry dy_search_retry_t;

/* A part: agents of the search's list. */
typedef struct dy_search_part {
	unsigned first;
	unsigned count;
} dy_search_part_t;

typedef enum dy_search_outcome {
	DY_SEARCH_RUNS,
	DY_SEARCH_COMPLETE,  /* all agents answered */
	DY_SEARCH_INCOMPLETE /* some agent did not */
} dy_search_outcome_t;

/* What a search begins with, as numbers of agents or parts. */
typedef struct dy_search_start {
	unsigned total;	   /* agents in the list */
	unsigned suspects; /* the first ones: asked, without an answer */
	/*
	 * Those from here on were silent recently. They are asked singly, and
	 * at most DY_SEARCH_SILENT_MAX of them.
	 */
	unsigned quiet;
	unsigned ended; /* parts that answered before */
} dy_search_start_t;

dy_search_retry_t *dy_search_retry_create(const dy_search_start_t *start);
/* NULL is allowed. */
void dy_search_retry_destroy(dy_search_retry_t *retry);

/*
 * Chooses the next part to ask at now_ms, and records it as asked. age_ms is
 * the age of the search; in_turn: one part at a time. Returns 1 with the part
 * and its number, or 0 if none is to be asked now.
 */
int dy_search_retry_next(dy_search_retry_t *retry, uint64_t age_ms, int in_turn,
			 uint64_t now_ms, unsigned *number,
			 dy_search_part_t *part);

/*
 * Records that all agents of a part answered, also after its timeout. Returns
 * the time that it took, in percent of its timeout in an idle network; or -1 if
 * there is no such part, or it has answered before.
 */
int dy_search_retry_answer(dy_search_retry_t *retry, unsigned number,
			   uint64_t now_ms);

/* Records that agents answered to another message. */
void dy_search_retry_answer_agents(dy_search_retry_t *retry, unsigned first,
				   unsigned count);

/* Called for an agent of the list that did not answer by itself. */
typedef void dy_search_silent_cb_t(void *context, unsigned agent);

/*
 * Splits the parts whose timeout is over: percent of that in an idle network,
 * counted from since_ms at the earliest.
 */
void dy_search_retry_expire(dy_search_retry_t *retry, unsigned percent,
			    uint64_t since_ms, uint64_t now_ms,
			    dy_search_silent_cb_t *silent, void *context);

/* Returns the number of parts that were asked and have not answered. */
unsigned dy_search_retry_asked(const dy_search_retry_t *retry);

dy_search_outcome_t dy_search_retry_outcome(const dy_search_retry_t *retry);

#endif
