#ifndef DAMASKYARD_BUDGET_H
#define DAMASKYARD_BUDGET_H

/*
 * Two limits on work that a failure makes: retries inside the system, and the
 * crowd of callers that opens its flows anew. Pure: the clock and the random
 * source are passed in.
 *
 * Load pattern: mechanism; without it
 * - a target or link fails: retry budget, backoff with jitter; each call is
 *   sent again, the outage doubles the load and lasts
 * - a failure domain goes, all callers come at dusk or before breakfast:
 *   crowd limit, booked retry times; the targets left serve openings instead
 *   of calls, and the refused all return at once
 *
 * Times are milliseconds of a monotonic clock; one that goes back is taken
 * to stand still.
 */

#include <stdint.h>

#include <glib.h>

/* Why a second send would be safe. */
typedef enum dy_retry_ground {
	DY_RETRY_NOT_RUN,    /* it surely did not run */
	DY_RETRY_IDEMPOTENT, /* a second run is harmless */
	DY_RETRY_DEDUPED,    /* the same agent's duplicate request cache */
	DY_RETRY_UNSAFE	     /* none of these: never sent again */
} dy_retry_ground_t;

/* Tokens are kept in thousandths. */
typedef struct dy_retry_budget {
	uint32_t ratio_permille; /* tokens that a first try brings in */
	uint32_t burst;		 /* whole tokens, at most */
	uint32_t tokens_permille;
	uint64_t refused; /* retries held back, since the start */
} dy_retry_budget_t;

/*
 * Start a budget, full. A ratio of 100 (a tenth) bounds what retries add in
 * an outage to 10% of the first tries; burst is what may be sent again at
 * once, e.g. the calls that were under way to one target when it went: 14 at
 * 7 slots and as many queued.
 */
void dy_retry_budget_init(dy_retry_budget_t *budget, uint32_t ratio_permille,
			  uint32_t burst);

/* Count a first try. */
void dy_retry_budget_first(dy_retry_budget_t *budget);

/*
 * Whether a call may be sent again, on this ground. Takes a token if so.
 * DY_RETRY_UNSAFE is never granted.
 */
int dy_retry_budget_take(dy_retry_budget_t *budget, dy_retry_ground_t ground);

/*
 * Returns how long to wait before try number `attempt` (1 is the first
 * retry), in ms: evenly spread between half of and the whole of
 * base_ms * 2^(attempt-1), which is at most max_ms.
 */
uint32_t dy_retry_backoff_ms(uint32_t attempt, uint32_t base_ms,
			     uint32_t max_ms, GRand *rand);

/* New sessions that one agent takes in. */
typedef struct dy_crowd_limit {
	uint32_t rate;	 /* new sessions a second */
	uint32_t burst;	 /* at once */
	uint32_t max_ms; /* the latest time to come back */
	uint64_t tokens_permille;
	uint64_t last_ms;
	uint64_t booked_permille; /* crowd told to come back, still out */
	uint64_t refused;	  /* since the start */
} dy_crowd_limit_t;

/*
 * Start a limit, full. See DY_CROWD_* for the figures.
 */
void dy_crowd_limit_init(dy_crowd_limit_t *limit, uint32_t rate, uint32_t burst,
			 uint64_t now_ms);

/*
 * New sessions a second for each slot. A session's first calls cost as much
 * as any, say 3 of 5 ms; at 20 a second for each slot they take 30% of the
 * slot and leave the rest to the sessions that are open. 7 slots: 140 a
 * second, so that 1,000 sessions (a domain of three gone: 4,667 flows on 5
 * targets) are back within 7 s.
 */
#define DY_CROWD_RATE_PER_SLOT 200

/* At once: half a second of the rate, so that quiet arrivals never wait. */
#define DY_CROWD_BURST_MS 500

/*
 * Take in a new session. Returns 0 if it is taken, else the time in ms after
 * which to come back (at least 1). Refused callers are booked one after the
 * other at the limit's rate, with jitter, so that they return spread out.
 */
uint32_t dy_crowd_limit_take(dy_crowd_limit_t *limit, GRand *rand,
			     uint64_t now_ms);

#endif
