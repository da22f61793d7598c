#include "damaskyard/poll_pace.h"

#include <string.h>

void dy_poll_pace_init(dy_poll_pace_t *pace, uint32_t seed)
{
	memset(pace, 0, sizeof(*pace));
	pace->rand = g_rand_new_with_seed(seed);
	pace->interval_ms = DY_POLL_INTERVAL_MS;
}

void dy_poll_pace_clear(dy_poll_pace_t *pace)
{
	g_clear_pointer(&pace->rand, g_rand_free);
}

dy_poll_step_t dy_poll_pace_next(const dy_poll_pace_t *pace, uint64_t now_ms)
{
	if (now_ms < pace->due_ms)
		return DY_POLL_WAIT;
	if (!pace->in_flight || pace->outdated ||
	    now_ms - pace->first_sent_ms >= DY_POLL_TTL_MS)
		return DY_POLL_SEND_NEW;
	return DY_POLL_RETRANSMIT;
}

/* Returns ms to 1.5 * ms, to desynchronize members that poll together. */
static uint64_t add_jitter(dy_poll_pace_t *pace, uint32_t ms)
{
	return ms +
	       (uint64_t)g_rand_int_range(pace->rand, 0, (gint32)ms / 2 + 1);
}

/*
 * Guards against a lease that expires between two transmissions: a member that
 * control has answered retries as often as it polls, which control has
 * capacity for. Others may be many thousands that start together.
 */
static uint32_t max_backoff_ms(const dy_poll_pace_t *pace)
{
	if (!pace->confirmed)
		return DY_POLL_BACKOFF_MAX_MS;
	return (uint32_t)MIN(pace->interval_ms, DY_POLL_BACKOFF_MAX_MS);
}

static void double_backoff(const dy_poll_pace_t *pace, uint32_t *ms)
{
	*ms = MIN(2 * *ms, max_backoff_ms(pace));
}

static void start_poll(dy_poll_pace_t *pace)
{
	pace->in_flight = 1;
	pace->retransmit_ms =
		pace->confirmed ? DY_POLL_TIMEOUT_MS : DY_POLL_FIRST_TIMEOUT_MS;
	pace->backoff_ms = DY_POLL_BACKOFF_MS;
}

void dy_poll_pace_note_sent(dy_poll_pace_t *pace, dy_poll_step_t step,
			    uint64_t now_ms)
{
	if (!pace->in_flight)
		start_poll(pace);
	if (step == DY_POLL_SEND_NEW) {
		pace->first_sent_ms = now_ms;
		pace->outdated = 0;
	}
	pace->last_sent_ms = now_ms;
	pace->due_ms = now_ms + add_jitter(pace, pace->retransmit_ms);
	double_backoff(pace, &pace->retransmit_ms);
}

void dy_poll_pace_note_answer(dy_poll_pace_t *pace, uint64_t interval_ms)
{
	pace->in_flight = 0;
	pace->confirmed = 1;
	pace->interval_ms = CLAMP(interval_ms, DY_POLL_INTERVAL_MS,
				  DY_POLL_INTERVAL_MAX_MS);
	pace->due_ms =
		pace->outdated ? 0 : pace->first_sent_ms + pace->interval_ms;
}

void dy_poll_pace_back_off(dy_poll_pace_t *pace, uint64_t now_ms)
{
	pace->due_ms = now_ms + add_jitter(pace, pace->backoff_ms);
	double_backoff(pace, &pace->backoff_ms);
}

void dy_poll_pace_poll_now(dy_poll_pace_t *pace, uint64_t now_ms)
{
	pace->due_ms = MIN(pace->due_ms, now_ms);
}

void dy_poll_pace_note_change(dy_poll_pace_t *pace)
{
	if (pace->in_flight)
		pace->outdated = 1;
	else
		pace->due_ms = 0;
}

void dy_poll_pace_reset(dy_poll_pace_t *pace)
{
	pace->in_flight = 0;
	pace->outdated = 0;
	pace->due_ms = 0;
}

void dy_poll_pace_poll_early(dy_poll_pace_t *pace)
{
	if (!pace->in_flight)
		pace->due_ms =
			MIN(pace->due_ms,
			    pace->last_sent_ms + DY_POLL_EARLY_INTERVAL_MS);
}
