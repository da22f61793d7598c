#include "damaskyard/poll_pace.h"

#include <string.h>

void dy_poll_pace_init(dy_poll_pace_t *pace, uint32_t seed)
{
	memset(pace, 0, sizeof(*pace));
	pace->rand = g_rand_new_with_seed(seed);
	pace->poll_ms = DY_POLL_MS;
}

void dy_poll_pace_clear(dy_poll_pace_t *pace)
{
	g_clear_pointer(&pace->rand, g_rand_free);
}

dy_poll_step_t dy_poll_pace_next(const dy_poll_pace_t *pace, uint64_t now_ms)
{
	if (now_ms < pace->due_ms)
		return DY_POLL_WAIT;
	if (!pace->under_way || pace->outdated ||
	    now_ms - pace->begun_ms >= DY_POLL_KEPT_MS)
		return DY_POLL_SEND_NEW;
	return DY_POLL_SEND_COPY;
}

/* Returns ms to 1.5 * ms, to desynchronize members that poll together. */
static uint64_t add_jitter(dy_poll_pace_t *pace, uint32_t ms)
{
	return ms +
	       (uint64_t)g_rand_int_range(pace->rand, 0, (gint32)ms / 2 + 1);
}

static void double_backoff(uint32_t *ms)
{
	*ms = MIN(2 * *ms, DY_POLL_RETRY_MOST_MS);
}

static void start_poll(dy_poll_pace_t *pace)
{
	pace->under_way = 1;
	pace->retry_ms =
		pace->confirmed ? DY_POLL_TIMEOUT_MS : DY_POLL_FIRST_TIMEOUT_MS;
	pace->again_ms = DY_POLL_AGAIN_MS;
}

void dy_poll_pace_sent(dy_poll_pace_t *pace, dy_poll_step_t step,
		       uint64_t now_ms)
{
	if (!pace->under_way)
		start_poll(pace);
	if (step == DY_POLL_SEND_NEW) {
		pace->begun_ms = now_ms;
		pace->outdated = 0;
	}
	pace->sent_ms = now_ms;
	pace->due_ms = now_ms + add_jitter(pace, pace->retry_ms);
	double_backoff(&pace->retry_ms);
}

void dy_poll_pace_answered(dy_poll_pace_t *pace, uint64_t poll_ms)
{
	pace->under_way = 0;
	pace->confirmed = 1;
	pace->poll_ms = CLAMP(poll_ms, DY_POLL_MS, DY_POLL_MOST_MS);
	pace->due_ms = pace->outdated ? 0 : pace->begun_ms + pace->poll_ms;
}

void dy_poll_pace_turned_away(dy_poll_pace_t *pace, uint64_t now_ms)
{
	pace->due_ms = now_ms + add_jitter(pace, pace->again_ms);
	double_backoff(&pace->again_ms);
}

void dy_poll_pace_hasten(dy_poll_pace_t *pace, uint64_t now_ms)
{
	pace->due_ms = MIN(pace->due_ms, now_ms);
}

void dy_poll_pace_renew(dy_poll_pace_t *pace)
{
	if (pace->under_way)
		pace->outdated = 1;
	else
		pace->due_ms = 0;
}

void dy_poll_pace_reset(dy_poll_pace_t *pace)
{
	pace->under_way = 0;
	pace->outdated = 0;
	pace->due_ms = 0;
}

void dy_poll_pace_press(dy_poll_pace_t *pace)
{
	if (!pace->under_way)
		pace->due_ms =
			MIN(pace->due_ms, pace->sent_ms + DY_POLL_PRESSED_MS);
}
