#include "damaskyard/budget.h"

#include <string.h>

#define PERMILLE 1000
#define MS_PER_S 1000

/* Refused callers are told to come back within this, at the latest. */
#define CROWD_MAX_MS 60000

void dy_retry_budget_init(dy_retry_budget_t *budget, uint32_t ratio_permille,
			  uint32_t burst)
{
	memset(budget, 0, sizeof(*budget));
	budget->ratio_permille = ratio_permille;
	budget->burst = burst;
	budget->tokens_permille = burst * PERMILLE;
}

void dy_retry_budget_first(dy_retry_budget_t *budget)
{
	budget->tokens_permille =
		MIN(budget->tokens_permille + budget->ratio_permille,
		    budget->burst * PERMILLE);
}

int dy_retry_budget_take(dy_retry_budget_t *budget, dy_retry_ground_t ground)
{
	if (ground == DY_RETRY_UNSAFE)
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

void dy_crowd_limit_init(dy_crowd_limit_t *limit, uint32_t rate, uint32_t burst,
			 uint64_t now_ms)
{
	memset(limit, 0, sizeof(*limit));
	limit->rate = MAX(rate, 1);
	limit->burst = MAX(burst, 1);
	limit->max_ms = CROWD_MAX_MS;
	limit->tokens_permille = (uint64_t)limit->burst * PERMILLE;
	limit->last_ms = now_ms;
}

/* A rate in sessions a second is as many thousandths a ms. */
static void refill(dy_crowd_limit_t *limit, uint64_t now_ms)
{
	uint64_t earned;

	if (now_ms <= limit->last_ms)
		return;
	earned = (now_ms - limit->last_ms) * limit->rate;
	limit->last_ms = now_ms;
	limit->tokens_permille = MIN(limit->tokens_permille + earned,
				     (uint64_t)limit->burst * PERMILLE);
	limit->booked_permille -= MIN(limit->booked_permille, earned);
}

uint32_t dy_crowd_limit_take(dy_crowd_limit_t *limit, GRand *rand,
			     uint64_t now_ms)
{
	uint64_t max_permille = (uint64_t)limit->max_ms * limit->rate;
	uint64_t ms;

	refill(limit, now_ms);
	if (limit->tokens_permille >= PERMILLE) {
		limit->tokens_permille -= PERMILLE;
		return 0;
	}
	limit->refused++;
	limit->booked_permille =
		MIN(limit->booked_permille + PERMILLE, max_permille);
	ms = limit->booked_permille / limit->rate;
	ms = (uint64_t)((double)ms * g_rand_double_range(rand, 0.9, 1.1));
	return (uint32_t)MAX(ms, 1);
}
