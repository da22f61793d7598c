#ifndef DAMASKYARD_AGENT_LEDGER_H
#define DAMASKYARD_AGENT_LEDGER_H

/*
 * An agent's part in the ledger of open flows (flow_ledger.h): it writes down
 * its target's flows at two controls, and at its start reads back which were
 * open before and resets those that are over.
 */

#include "damaskyard/flow_holder.h"
#include "damaskyard/seal.h"
#include "flow_member.h"

typedef struct agent_ledger agent_ledger_t;

/* Reset a flow towards its caller. */
typedef void agent_ledger_reset_cb_t(void *context, const dy_flow_id_t *flow,
				     uint32_t seq);

/* member and holder must outlive the ledger. */
agent_ledger_t *agent_ledger_create(flow_member_t *member,
				    const dy_flow_holder_t *holder,
				    agent_ledger_reset_cb_t *reset,
				    void *context);
void agent_ledger_destroy(agent_ledger_t *ledger);

/* Take what a control gave back. */
void agent_ledger_receive(agent_ledger_t *ledger, const dy_sealed_t *message,
			  const struct sockaddr *from);

/* Do what is due. Call it each 50 ms. */
void agent_ledger_tick(agent_ledger_t *ledger);

#endif
