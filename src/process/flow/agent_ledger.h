#ifndef DAMASKYARD_AGENT_LEDGER_H
#define DAMASKYARD_AGENT_LEDGER_H

/*
 * The agent's side of the ledger of open flows (flow_ledger.h). It stores lists
 * of its target's flows at dy_flow_ledger_copies() controls, two by default.
 * After a restart it reads them back and resets the flows that belong to an
 * ended instance of the target.
 */

#include "damaskyard/flow_holder.h"
#include "damaskyard/seal.h"
#include "flow_member.h"

typedef struct agent_ledger agent_ledger_t;

/* Send a reset with sequence number seq to the caller of a flow. */
typedef void agent_ledger_reset_cb_t(void *context, const dy_flow_id_t *flow,
				     uint32_t seq);

/* member and holder must outlive the ledger. */
agent_ledger_t *agent_ledger_create(flow_member_t *member,
				    const dy_flow_holder_t *holder,
				    agent_ledger_reset_cb_t *reset,
				    void *context);
void agent_ledger_destroy(agent_ledger_t *ledger);

/* Handle a message from a control, with a part of a stored list. */
void agent_ledger_receive(agent_ledger_t *ledger, const dy_sealed_t *message,
			  const struct sockaddr *from);

/*
 * Note that the target gave a packet of this flow back, or else sent one. Call
 * it before the holder handles the packet.
 */
void agent_ledger_note_packet(agent_ledger_t *ledger, const dy_flow_id_t *flow,
			      int returned);

/* Send lists, requests and resets that are due. Call it every 50 ms. */
void agent_ledger_tick(agent_ledger_t *ledger);

#endif
