#ifndef DAMASKYARD_FLOW_SILENCE_H
#define DAMASKYARD_FLOW_SILENCE_H

/*
 * Decides on a balancer whether the silence of one agent is certain. No I/O.
 *
 * Load pattern: a balancer's link is full or loses packets while an agent has
 * long flows of which each sends a packet every few seconds. The three or four
 * messages that the balancer sends to the agent in a second are all lost.
 * Without it: the agent counts as unresponsive, and its open flows are reset
 * although their target serves them.
 * Mechanism: indirect probes, as in SWIM (Das, Gupta and Motivala 2002). When
 * an agent has not answered for a while, two other agents are asked to probe
 * it. Only if both report that it did not answer them either is it certain that
 * the agent is silent: lost messages of this balancer cannot produce such a
 * report, nor can an agent whose core is busy (flow_prober.h).
 */

#include <stdint.h>

#include "dy_flow.h"

/*
 * Number of witnesses, in different failure domains if possible, so that the
 * loss of a path between two domains does not convince both.
 */
#define DY_FLOW_WITNESSES 2

/*
 * Time without an answer after which witnesses are asked, in ms. Their reports
 * arrive before DY_FLOW_UNRESPONSIVE_TIMEOUT_MS.
 */
#define DY_FLOW_WITNESS_DELAY_MS 500

/* Minimum interval between two inquiries, in ms: longer than one takes. */
#define DY_FLOW_WITNESS_INTERVAL_MS 400

/* What is known about one agent's silence. All zero: nothing. */
typedef struct dy_flow_silence {
	/* First message sent since the agent's last report, or 0. */
	uint64_t unanswered_since_ms;
	uint64_t last_sent_ms;
	uint64_t last_inquiry_ms;
	dy_address_t witnesses[DY_FLOW_WITNESSES]; /* that confirmed it */
	uint64_t confirmed_ms[DY_FLOW_WITNESSES];
	unsigned next; /* place of the next confirmation */
} dy_flow_silence_t;

/* Record a message sent to the agent. */
void dy_flow_silence_note_sent(dy_flow_silence_t *silence, uint64_t now_ms);

/* Record that the agent sent a message, or answered a witness. */
void dy_flow_silence_end(dy_flow_silence_t *silence);

/*
 * Returns whether to ask witnesses now. 1 records the inquiry as sent.
 */
int dy_flow_silence_begin_inquiry(dy_flow_silence_t *silence, uint64_t now_ms);

/* Record that the agent did not answer a witness. */
void dy_flow_silence_confirm(dy_flow_silence_t *silence,
			     const dy_address_t *witness, uint64_t now_ms);

/* List the witnesses that confirm the silence now; port 0: none. */
void dy_flow_silence_witnesses(const dy_flow_silence_t *silence,
			       uint64_t now_ms,
			       dy_address_t witnesses[DY_FLOW_WITNESSES]);

/*
 * Returns whether all witnesses confirmed the present silence, within
 * DY_FLOW_UNRESPONSIVE_TIMEOUT_MS, and the agent was sent messages for that
 * time.
 */
int dy_flow_silence_is_certain(const dy_flow_silence_t *silence,
			       uint64_t now_ms);

#endif
