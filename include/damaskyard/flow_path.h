#ifndef DAMASKYARD_FLOW_PATH_H
#define DAMASKYARD_FLOW_PATH_H

/*
 * Detection of a one-way path failure from a balancer to one agent. No I/O.
 *
 * Load pattern: packets pass in one direction only between two failure
 * domains, as with a wrong route or a half-open firewall. The balancer receives
 * the agent's reports, but the agent receives nothing from the balancer.
 *
 * Without it the reports show a healthy agent, so the balancer keeps opening
 * flows there, and each request on an open flow waits until its caller times
 * out.
 *
 * An agent reports how many messages it received directly from this balancer.
 * If the count does not change while more messages are sent, the path is
 * broken. New flows then go to other agents, and open flows through a relay
 * agent in a third domain, with at most one extra hop (Resilient Overlay
 * Networks, SOSP 2001).
 */

#include <stdint.h>

/*
 * Minimum number of consecutive lost messages for a broken path. A link with
 * 30 % loss loses this many in a row once in 1,400 times.
 */
#define DY_FLOW_PATH_LOST_MIN 6

/*
 * Minimum age of the first lost message when the report arrives. Reports are
 * sent every 200 ms, and a report in transit does not count what was sent
 * after it left.
 */
#define DY_FLOW_PATH_AGE_MIN_MS 250

/* State of one path. All zero is a working path without a report. */
typedef struct dy_flow_path {
	uint32_t received;	/* count in the agent's last report */
	unsigned sent;		/* messages sent since the count changed */
	uint64_t first_sent_ms; /* time of the first of them */
	int broken;
} dy_flow_path_t;

/* Record a message sent directly to the agent. */
void dy_flow_path_note_sent(dy_flow_path_t *path, uint64_t now_ms);

/*
 * Handle a report of the agent. received is its count of messages from this
 * balancer, or 0 if it does not count them. Returns whether path->broken
 * changed.
 */
int dy_flow_path_receive_report(dy_flow_path_t *path, uint32_t received,
				uint64_t now_ms);

#endif
