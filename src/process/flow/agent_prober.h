#ifndef DAMASKYARD_AGENT_PROBER_H
#define DAMASKYARD_AGENT_PROBER_H

/*
 * The agent's messages for probes of other agents; see
 * damaskyard/flow_prober.h.
 */

#include "damaskyard/seal.h"
#include "flow_member.h"

typedef struct agent_prober agent_prober_t;

/*
 * Create a prober, to free with agent_prober_destroy(). member must outlive
 * it.
 */
agent_prober_t *agent_prober_create(flow_member_t *member);
void agent_prober_destroy(agent_prober_t *prober);

/* Returns whether message was an inquiry, a probe or an echo, and handles it.
 */
int agent_prober_receive(agent_prober_t *prober, const dy_sealed_t *message);

/* Send the probes and findings that are due. Call it every 50 ms. */
void agent_prober_tick(agent_prober_t *prober);

#endif
