#include "damaskyard/rate_limit.h"

#include <string.h>

#define PERMILLE 1000
#define US_PER_MS 1000
#define US_PER_S 1000000

/*
 * Scheduled retries are this much further apart than the rate allows, so that a
 * returning caller finds a token in spite of jitter and new callers.
 */
#define RETRY_SPACING_PERCENT 125
#define RETRY_RATE_MIN_DIVISOR 2
#define PERCENT 100

#define ADAPT_INTERVAL_MS 100

/* Longest retry delay of a refused caller. */
#define MAX_RETRY_MS 60000

void dy_retry_budget_init(dy_retry_budget_t *budget, uint32_t ratio_permille,
			  uint32_t burst)
{
	memset(budget, 0, sizeof(*budget));
	budget->ratio_permille = ratio_permille;
	budget->burst = burst;
	budget->tokens_permille = burst * PERMILLE;
}

void dy_retry_budget_deposit(dy_retry_budget_t *budget)
{
	budget->tokens_permille =
		MIN(budget->tokens_permille + budget->ratio_permille,
		    budget->burst * PERMILLE);
}

int dy_retry_budget_withdraw(dy_retry_budget_t *budget,
			     dy_retry_safety_t safety)
{
	if (safety == DY_RETRY_UNSAFE)
		return 0;
	if (budget->tokens_permille < PERMILLE) {
		budget->refused++;
		return 0;
	}
	budget->tokens_permille -= PERMILLE;
	return 1;
}

uint32_t dy_retry_backoff_ms(uint32_t attempt, uint32_t base_ms,
			     uint32_t max_ms, GRand *rand)
{
	uint64_t ms = base_ms;

	if (attempt > 1)
		ms <<= MIN(attempt - 1, 31);
	ms = MIN(ms, max_ms);
	return (uint32_t)(ms - g_rand_double(rand) * (double)ms / 2.0);
}

static uint64_t max_tokens(const dy_session_rate_limit_t *limit)
{
	return (uint64_t)limit->max_rate * DY_SESSION_RATE_BURST_MS;
}

void dy_session_rate_limit_init(dy_session_rate_limit_t *limit, uint32_t slots,
				uint64_t now_ms)
{
	memset(limit, 0, sizeof(*limit));
	limit->max_rate = MAX(slots, 1) * DY_SESSION_RATE_PER_SLOT;
	limit->rate = limit->max_rate;
	limit->max_retry_ms = MAX_RETRY_MS;
	limit->tokens_permille = max_tokens(limit);
	limit->refilled_ms = now_ms;
	limit->adapted_ms = now_ms;
}

/* A rate in sessions per second is the same number of thousandths per ms. */
static void refill(dy_session_rate_limit_t *limit, uint64_t now_ms)
{
	uint64_t earned;

	if (now_ms <= limit->refilled_ms)
		return;
	earned = (now_ms - limit->refilled_ms) * limit->rate;
	limit->refilled_ms = now_ms;
	limit->tokens_permille =
		MIN(limit->tokens_permille + earned, max_tokens(limit));
}

/*
 * Returns the rate at which retries are scheduled. It has a lower bound,
 * because the rate may be temporarily at its minimum: retries scheduled at that
 * rate would come long after it has risen again.
 */
static uint32_t retry_rate(const dy_session_rate_limit_t *limit)
{
	return MAX(limit->rate, limit->max_rate / RETRY_RATE_MIN_DIVISOR);
}

uint32_t dy_session_rate_limit_admit(dy_session_rate_limit_t *limit,
				     GRand *rand, uint64_t now_ms)
{
	uint64_t now_us = now_ms * US_PER_MS;
	uint64_t gap_us = US_PER_S / MAX(retry_rate(limit), 1);
	double ms;

	refill(limit, now_ms);
	if (limit->tokens_permille >= PERMILLE) {
		limit->tokens_permille -= PERMILLE;
		return 0;
	}
	limit->refused++;
	limit->scheduled_until_us = MAX(limit->scheduled_until_us, now_us) +
				    gap_us * RETRY_SPACING_PERCENT / PERCENT;
	limit->scheduled_until_us =
		MIN(limit->scheduled_until_us,
		    now_us + (uint64_t)limit->max_retry_ms * US_PER_MS);
	ms = (double)(limit->scheduled_until_us - now_us) / US_PER_MS;
	return 1 + (uint32_t)(ms * g_rand_double_range(rand, 0.9, 1.1));
}

void dy_session_rate_limit_adapt(dy_session_rate_limit_t *limit,
				 uint64_t wait_ms, uint64_t now_ms)
{
	uint32_t min_rate =
		MAX(limit->max_rate / DY_SESSION_RATE_MIN_DIVISOR, 1);
	uint32_t step = MAX(limit->max_rate / 20, 1);

	if (now_ms < limit->adapted_ms + ADAPT_INTERVAL_MS)
		return;
	refill(limit, now_ms);
	limit->adapted_ms = now_ms;
	if (wait_ms > DY_SESSION_RATE_MAX_WAIT_MS)
		limit->rate = MAX(limit->rate - limit->rate / 4, min_rate);
	else
		limit->rate = MIN(limit->rate + step, limit->max_rate);
}
