#include "damaskyard/flow_silence.h"

#include <string.h>

#include "damaskyard/address.h"
#include "damaskyard/flow_targets.h"

void dy_flow_silence_note_sent(dy_flow_silence_t *silence, uint64_t now_ms)
{
	/* An agent that was sent nothing has nothing to answer: start over. */
	if (now_ms - silence->last_sent_ms > DY_FLOW_UNRESPONSIVE_TIMEOUT_MS)
		silence->unanswered_since_ms = 0;
	if (!silence->unanswered_since_ms)
		silence->unanswered_since_ms = now_ms;
	silence->last_sent_ms = now_ms;
}

void dy_flow_silence_end(dy_flow_silence_t *silence)
{
	silence->unanswered_since_ms = 0;
	memset(silence->confirmed_ms, 0, sizeof(silence->confirmed_ms));
}

int dy_flow_silence_begin_inquiry(dy_flow_silence_t *silence, uint64_t now_ms)
{
	if (!silence->unanswered_since_ms ||
	    now_ms - silence->unanswered_since_ms < DY_FLOW_WITNESS_DELAY_MS ||
	    now_ms - silence->last_inquiry_ms < DY_FLOW_WITNESS_INTERVAL_MS)
		return 0;
	silence->last_inquiry_ms = now_ms;
	return 1;
}

void dy_flow_silence_confirm(dy_flow_silence_t *silence,
			     const dy_address_t *witness, uint64_t now_ms)
{
	unsigned i;

	if (!silence->unanswered_since_ms)
		return;
	for (i = 0; i < DY_FLOW_WITNESSES; i++)
		if (silence->confirmed_ms[i] &&
		    dy_address_equal(&silence->witnesses[i], witness)) {
			silence->confirmed_ms[i] = now_ms;
			return;
		}
	silence->witnesses[silence->next] = *witness;
	silence->confirmed_ms[silence->next] = now_ms;
	silence->next = (silence->next + 1) % DY_FLOW_WITNESSES;
}

static int is_confirmed(const dy_flow_silence_t *silence, unsigned i,
			uint64_t now_ms)
{
	return silence->confirmed_ms[i] >= silence->unanswered_since_ms &&
	       now_ms - silence->confirmed_ms[i] <=
		       DY_FLOW_UNRESPONSIVE_TIMEOUT_MS;
}

void dy_flow_silence_witnesses(const dy_flow_silence_t *silence,
			       uint64_t now_ms,
			       dy_address_t witnesses[DY_FLOW_WITNESSES])
{
	unsigned i;

	memset(witnesses, 0, DY_FLOW_WITNESSES * sizeof(*witnesses));
	for (i = 0; i < DY_FLOW_WITNESSES; i++)
		if (silence->unanswered_since_ms &&
		    is_confirmed(silence, i, now_ms))
			witnesses[i] = silence->witnesses[i];
}

int dy_flow_silence_is_certain(const dy_flow_silence_t *silence,
			       uint64_t now_ms)
{
	uint64_t since_ms = silence->unanswered_since_ms;
	unsigned i;

	if (!since_ms || now_ms - since_ms < DY_FLOW_UNRESPONSIVE_TIMEOUT_MS ||
	    now_ms - silence->last_sent_ms > DY_FLOW_UNRESPONSIVE_TIMEOUT_MS)
		return 0;
	for (i = 0; i < DY_FLOW_WITNESSES; i++)
		if (!is_confirmed(silence, i, now_ms))
			return 0;
	return 1;
}
