#ifndef DAMASKYARD_LINK_SENDER_H
#define DAMASKYARD_LINK_SENDER_H

/*
 * Sends a balancer's forwards from the member's inner endpoint, at the rate of
 * the VM's network link; see damaskyard/link_queue.h. What the member's other
 * messages and the endpoint for packets send is charged to the link.
 */

#include "damaskyard/flow_router.h"
#include "flow_member.h"

typedef struct link_sender link_sender_t;

/*
 * Create a sender. All arguments must outlive it. The rate is that of the
 * member's settings.
 */
link_sender_t *link_sender_create(flow_member_t *member,
				  const dy_endpoint_t *packets,
				  dy_flow_router_t *router);

/* Free the sender and drop what waits. NULL is allowed. */
void link_sender_destroy(link_sender_t *sender);

/*
 * Send forward to the agent at forward->tries[forward->step], now or as soon
 * as the link allows. packet is the decoded forward->packet.
 */
void link_sender_send(link_sender_t *sender, dy_flow_forward_t *forward,
		      const dy_packet_t *packet);

/* Returns whether a forward of the flow waits for the link. */
int link_sender_has(const link_sender_t *sender, const dy_flow_id_t *flow);

/* Returns whether no forward waits. */
int link_sender_is_idle(const link_sender_t *sender);

#endif
