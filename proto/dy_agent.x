/*
 * Between balancers and agents, and between agents: internal. Every message
 * is an ONC RPC call in a sealed credential (include/damaskyard/seal.h);
 * FORWARD, ANSWER and BOUNCE have no reply.
 */

#ifdef RPC_HDR
%#include "dy_wire.h"
#endif
#ifdef RPC_XDR
%#include "dy_wire.h"
#endif

const DY_TOKEN_MAC_BYTES = 16;

/*
 * What the caller's credential holds. It names the agent's address too, so
 * that a balancer which does not know the agent yet can forward the flow.
 */
struct dy_token_t {
	unsigned int key_id;
	unsigned hyper service;
	unsigned hyper agent;
	unsigned hyper incarnation;
	unsigned hyper session;
	dy_address_t address;
	opaque mac[DY_TOKEN_MAC_BYTES];
};

/* The balancer looked at this; the agent checks all of it again. */
struct dy_forward_t {
	unsigned hyper service;		/* for whose address it came */
	unsigned hyper agent;		/* for whom it is meant */
	unsigned hyper incarnation;
	unsigned hyper state_version;		/* of the sender's state */
	dy_address_t caller;
	dy_address_t reply_to;		/* the balancer; port 0: the sender */
	unsigned hyper socket;		/* the balancer's, echoed */
	unsigned int hops;		/* agents and balancers passed */
	opaque datagram<DY_DATAGRAM_BYTES>;
};

struct dy_answer_t {
	unsigned hyper service;
	unsigned hyper agent;
	unsigned hyper incarnation;
	dy_address_t caller;
	unsigned hyper socket;
	dy_load_t load;
	unsigned int verdict;		/* a dy_verdict_t */
	opaque datagram<DY_DATAGRAM_BYTES>;
};

/* The agent has not run it and never will; pick another target. */
struct dy_bounce_t {
	dy_forward_t forward;
	dy_load_t load;
	unsigned int reason;		/* a dy_reason_t */
};

program DY_AGENT_PROGRAM {
	version DY_AGENT_V1 {
		void DY_AGENT_NULL(void) = 0;
		void DY_AGENT_FORWARD(dy_forward_t) = 1;
	} = 1;
} = 0x2A00D004;

program DY_BALANCER_PROGRAM {
	version DY_BALANCER_V1 {
		void DY_BALANCER_NULL(void) = 0;
		void DY_BALANCER_ANSWER(dy_answer_t) = 1;
		void DY_BALANCER_BOUNCE(dy_bounce_t) = 2;
	} = 1;
} = 0x2A00D005;
