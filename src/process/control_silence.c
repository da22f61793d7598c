#include "control_silence.h"

#include "damaskyard/log.h"

/* Time in ms without an answer of the leader after which the log says so. */
#define SILENCE_LOG_MS 1000

static uint64_t duration_ms(const control_silence_t *silence, uint64_t now_ms)
{
	return silence->since_ms ? now_ms - silence->since_ms : 0;
}

void control_silence_note_sent(control_silence_t *silence, uint64_t now_ms)
{
	if (!silence->since_ms)
		silence->since_ms = now_ms;
}

void control_silence_end(control_silence_t *silence, uint64_t now_ms)
{
	if (silence->logged)
		dy_log_event(DY_LOG_INFO, "control_answers", "ms=%lu",
			     (unsigned long)duration_ms(silence, now_ms));
	silence->logged = 0;
	silence->since_ms = 0;
}

void control_silence_review(control_silence_t *silence,
			    const dy_address_t *control, uint64_t now_ms)
{
	char text[DY_ADDRESS_TEXT_BYTES];

	if (silence->logged || duration_ms(silence, now_ms) < SILENCE_LOG_MS)
		return;
	silence->logged = 1;
	dy_log_event(DY_LOG_WARN, "control_silent", "control=%s ms=%lu",
		     dy_address_format(control, text),
		     (unsigned long)duration_ms(silence, now_ms));
}
