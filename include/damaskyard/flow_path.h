#ifndef DAMASKYARD_FLOW_PATH_H
#define DAMASKYARD_FLOW_PATH_H

/*
 * Whether what a balancer sends to one agent arrives there. No network.
 *
 * Load pattern: packets pass one way only between two failure domains, as
 * after a wrong route or a half-open firewall: an agent is heard, and does not
 * hear.
 * What happens without it: the agent's reports say that all is well, so flows
 * are opened there in vain, and each request on an open one waits until its
 * caller gives up.
 * What is done: an agent says in each report how many messages came straight
 * from this balancer. If that number stands still while more are sent, the
 * path is broken: new flows go elsewhere, and open ones by way of an agent of a
 * third domain (resilient overlay networks, SOSP 2001), one hop at the most.
 */

#include <stdint.h>

/*
 * Messages that did not arrive, none of them having arrived in between: a link
 * that loses three packets in ten loses so many in a row once in 1,400 times.
 */
#define DY_FLOW_PATH_LOST_MIN 6

/*
 * The first of them was sent so long before the report, in ms: a report under
 * way crosses what was sent after it left, and one is sent each 200 ms.
 */
#define DY_FLOW_PATH_AGE_MIN_MS 250

typedef struct dy_flow_path {
	uint32_t received;	/* what the agent counted, by its last report */
	unsigned sent;		/* since that number last changed */
	uint64_t first_sent_ms; /* the first of these */
	int broken;
} dy_flow_path_t;

/* A message was sent straight to the agent. */
void dy_flow_path_note_sent(dy_flow_path_t *path, uint64_t now_ms);

/*
 * The agent reports that so many arrived; 0: it does not count them. Returns
 * whether the path was found to be broken, or whole again, by this report.
 */
int dy_flow_path_receive_report(dy_flow_path_t *path, uint32_t heard,
				uint64_t now_ms);

#endif
