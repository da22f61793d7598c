#ifndef DAMASKYARD_RATE_LIMIT_H
#define DAMASKYARD_RATE_LIMIT_H

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
typedef enum dy_retry_safety {
	DY_RETRY_NOT_RUN,    /* it surely did not run */
	DY_RETRY_IDEMPOTENT, /* a second run is harmless */
	DY_RETRY_DEDUPED,    /* the same agent's duplicate request cache */
	DY_RETRY_UNSAFE	     /* none of these: never sent again */
} dy_retry_safety_t;

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
void dy_retry_budget_deposit(dy_retry_budget_t *budget);

/*
 * Whether a call may be sent again, on this ground. Takes a token if so.
 * DY_RETRY_UNSAFE is never granted.
 */
int dy_retry_budget_withdraw(dy_retry_budget_t *budget,
			     dy_retry_safety_t ground);

/*
 * Returns how long to wait before try number `attempt` (1 is the first
 * retry), in ms: evenly spread between half of and the whole of
 * base_ms * 2^(attempt-1), which is at most max_ms.
 */
uint32_t dy_retry_backoff_ms(uint32_t attempt, uint32_t base_ms,
			     uint32_t max_ms, GRand *rand);

/* New sessions that one agent takes in. */
typedef struct dy_session_rate_limit {
	uint32_t rate;	       /* new sessions a second, now */
	uint32_t max_rate;     /* while calls wait little */
	uint32_t max_retry_ms; /* the latest time to come back */
	uint64_t tokens_permille;
	uint64_t refilled_ms;
	uint64_t adapted_ms;
	uint64_t scheduled_until_us; /* times to come back are given out up to
					here */
	uint64_t refused;	     /* since the start */
} dy_session_rate_limit_t;

/*
 * New sessions a second for each slot, while calls wait little. What a session
 * brings along is not known before: its backlog may be two calls of 10 ms or
 * of 20 ms, and 100 a second of these are one or two times what a slot can
 * do. So this is only where dy_session_rate_limit_adapt() starts from; 7 slots
 * at 700 a second take the 1,000 sessions that each of the targets left gets
 * when one of three domains goes within 1.5 s if these ask for little.
 */
#define DY_SESSION_RATE_PER_SLOT 100

/* The rate never falls below this part of it. */
#define DY_SESSION_RATE_MIN_DIVISOR 10

/*
 * Sessions at once: this long at the full rate. It is what gets in before the
 * first calls show how much they ask for.
 */
#define DY_SESSION_RATE_BURST_MS 100

/* Calls that wait longer than this mean that no more should come. */
#define DY_SESSION_RATE_MAX_WAIT_MS 50

/* Start a limit, full, for a target of `slots` slots. */
void dy_session_rate_limit_init(dy_session_rate_limit_t *limit, uint32_t slots,
				uint64_t now_ms);

/*
 * Take in a new session. Returns 0 if it is taken, else the time in ms after
 * which to come back (at least 1). Refused callers are booked one after the
 * other at the limit's rate, with jitter, so that they return spread out.
 */
uint32_t dy_session_rate_limit_admit(dy_session_rate_limit_t *limit,
				     GRand *rand, uint64_t now_ms);

/*
 * Note how long a new call would wait now (expected_wait_us of admission, in
 * ms), with each call or tick: it acts every 100 ms. Above
 * DY_SESSION_RATE_MAX_WAIT_MS the rate falls by a quarter, below it rises by a
 * twentieth of the full rate.
 */
void dy_session_rate_limit_adapt(dy_session_rate_limit_t *limit,
				 uint64_t wait_ms, uint64_t now_ms);

#endif
