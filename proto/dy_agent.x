/*
 * Interface between balancers and agents, and between agents. Internal. Every
 * message is an ONC RPC call with a sealed credential
 * (include/damaskyard/seal.h). FORWARD, ANSWER and BOUNCE have no reply.
 */

#ifdef RPC_HDR
%#include "dy_wire.h"
#endif
#ifdef RPC_XDR
%#include "dy_wire.h"
#endif

const DY_TOKEN_MAC_BYTES = 16;

/*
 * Session token, the body of the caller's credential. It includes the address
 * of the agent, so that a balancer that does not have the agent in its state
 * yet can forward the flow.
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

/* A call of a caller. The balancer validated it; the agent does so again. */
struct dy_forward_t {
	unsigned hyper service;		/* at whose address it arrived */
	unsigned hyper agent;		/* the destination */
	unsigned hyper incarnation;
	unsigned hyper state_version;		/* of the sender's state */
	dy_address_t caller;
	dy_address_t reply_to;		/* the balancer; port 0: the sender */
	unsigned hyper socket;		/* of the balancer; echoed */
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

/*
 * The agent did not run the call and never will; the balancer chooses another
 * target.
 */
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
