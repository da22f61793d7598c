#ifndef DAMASKYARD_CONTROL_SILENCE_H
#define DAMASKYARD_CONTROL_SILENCE_H

/*
 * Logs that no leader answers a member's polls, and when one does again. The
 * leader's view of the member may be out of date meanwhile.
 */

#include <stdint.h>

#include "damaskyard/address.h"

/* All zero: no poll is unanswered. Times in ms. */
typedef struct control_silence {
	uint64_t since_ms; /* first poll since the last answer, or 0 */
	int logged;
} control_silence_t;

/* Record a poll sent. */
void control_silence_note_sent(control_silence_t *silence, uint64_t now_ms);

/* Record an answer of the leader; logs it if the silence was logged. */
void control_silence_end(control_silence_t *silence, uint64_t now_ms);

/*
 * Log a silence of a second or more, once. control is the one that was polled
 * last.
 */
void control_silence_review(control_silence_t *silence,
			    const dy_address_t *control, uint64_t now_ms);

#endif
