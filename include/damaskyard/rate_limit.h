#ifndef DAMASKYARD_RATE_LIMIT_H
#define DAMASKYARD_RATE_LIMIT_H

/*
 * Token buckets that limit the work caused by a failure: a retry budget for
 * retries inside the system, and a rate limit for the new sessions of callers
 * that reconnect. The caller passes in the clock and the random source.
 *
 * Load pattern: mechanism; effect without it
 * - a target or link fails: retry budget, backoff with jitter; each call is
 *   sent again, and the outage doubles the load and persists
 * - a failure domain is lost, or all callers connect at dusk or before
 *   breakfast: limit on new sessions, scheduled retry times; the remaining
 *   targets spend their capacity on opening sessions instead of on calls, and
 *   all refused callers return at once
 *
 * Times are milliseconds of a monotonic clock. If the clock goes back, time
 * stands still until it catches up.
 */

#include <stdint.h>

#include <glib.h>

/* Why a retry is safe. */
typedef enum dy_retry_safety {
	DY_RETRY_NOT_RUN,    /* it certainly did not run */
	DY_RETRY_IDEMPOTENT, /* a second run is harmless */
	DY_RETRY_DEDUPED,    /* same agent: its DRC drops a duplicate */
	DY_RETRY_UNSAFE	     /* none of these: never retried */
} dy_retry_safety_t;

/* Tokens are counted in thousandths. */
typedef struct dy_retry_budget {
	uint32_t ratio_permille; /* tokens added by a first attempt */
	uint32_t burst;		 /* capacity in whole tokens */
	uint32_t tokens_permille;
	uint64_t refused; /* retries denied since the start */
} dy_retry_budget_t;

/*
 * Initializes a full budget. A ratio of 100 (a tenth) limits retries during an
 * outage to 10% of the first attempts. burst is the number of calls that may be
 * retried at once, e.g. the calls in progress at a target when it fails: 14 for
 * 7 slots and as many queued calls.
 */
void dy_retry_budget_init(dy_retry_budget_t *budget, uint32_t ratio_permille,
			  uint32_t burst);

/* Adds the tokens of a first attempt. */
void dy_retry_budget_deposit(dy_retry_budget_t *budget);

/*
 * Returns 1 and withdraws a token if a call may be retried, else 0.
 * DY_RETRY_UNSAFE is never granted.
 */
int dy_retry_budget_withdraw(dy_retry_budget_t *budget,
			     dy_retry_safety_t safety);

/*
 * Returns the delay before retry number `attempt` (1 is the first), in ms:
 * uniformly distributed between half of and the whole of base_ms *
 * 2^(attempt-1), which is at most max_ms.
 */
uint32_t dy_retry_backoff_ms(uint32_t attempt, uint32_t base_ms,
			     uint32_t max_ms, GRand *rand);

/* Limits the rate of new sessions at one agent. */
typedef struct dy_session_rate_limit {
	uint32_t rate;	       /* current limit, new sessions per second */
	uint32_t max_rate;     /* upper bound, while queue waits are short */
	uint32_t max_retry_ms; /* longest retry delay */
	uint64_t tokens_permille;
	uint64_t refilled_ms;
	uint64_t adapted_ms;
	uint64_t scheduled_until_us; /* retries are scheduled up to here */
	uint64_t refused;	     /* since the start */
} dy_session_rate_limit_t;

/*
 * New sessions per second and slot while queue waits are short. The load of a
 * session is not known in advance: its backlog may be two calls of 10 ms or of
 * 20 ms, and 100 such sessions per second are one or two times the capacity of
 * a slot. This is therefore only the initial rate that
 * dy_session_rate_limit_adapt() adjusts. At 7 slots and 700 sessions per
 * second, a target accepts within 1.5 s the 1,000 sessions that it gets when
 * one of three failure domains is lost, if these send little.
 */
#define DY_SESSION_RATE_PER_SLOT 100

/* The rate never falls below max_rate divided by this. */
#define DY_SESSION_RATE_MIN_DIVISOR 10

/*
 * Capacity of the bucket, as time at the maximum rate, in ms. These sessions
 * are accepted before the first calls show how much load a session brings.
 */
#define DY_SESSION_RATE_BURST_MS 100

/* Queue wait above which the rate is reduced, in ms. */
#define DY_SESSION_RATE_MAX_WAIT_MS 50

/* Initializes a limit with a full bucket, for a target of `slots` slots. */
void dy_session_rate_limit_init(dy_session_rate_limit_t *limit, uint32_t slots,
				uint64_t now_ms);

/*
 * Requests a new session. Returns 0 if it is accepted, else the retry delay in
 * ms (at least 1). The retries of refused callers are scheduled one after
 * another at the limit's rate, with jitter, so that they do not return at once.
 */
uint32_t dy_session_rate_limit_admit(dy_session_rate_limit_t *limit,
				     GRand *rand, uint64_t now_ms);

/*
 * Updates the rate from the expected queue wait of a new call, in ms
 * (expected_wait_us of admission). Call it with each call or tick: it acts
 * every 100 ms. Above DY_SESSION_RATE_MAX_WAIT_MS the rate falls by a quarter,
 * otherwise it rises by a twentieth of the maximum rate.
 */
void dy_session_rate_limit_adapt(dy_session_rate_limit_t *limit,
				 uint64_t wait_ms, uint64_t now_ms);

#endif
