/*
 * Packet flows: between balancers and agents, and between agents. Internal.
 * Every message is an ONC RPC call in a sealed credential; none has a reply.
 */

#ifdef RPC_HDR
%#include "dy_wire.h"
#endif
#ifdef RPC_XDR
%#include "dy_wire.h"
#endif

/* The largest packet with its head, in bytes. */
const DY_PACKET_BYTES = 1280;

/* Agents that one packet may be tried at. */
const DY_FLOW_TRIES = 16;

/* A flow's name: its two ends, IPv4 numbers and ports in host order. */
struct dy_flow_id_t {
	unsigned int caller_ip;
	unsigned int entry_ip;
	unsigned int caller_port;
	unsigned int entry_port;
};

/* What an agent says of its target with everything that it sends. */
struct dy_flow_load_t {
	unsigned int slots;
	unsigned int flows;	/* open or opening */
	unsigned int busy;	/* requests begun and not answered */
	bool accepts;		/* takes opening packets */
	bool cold;		/* started a short time ago: slower */
};

/*
 * A packet of a caller. The agent at tries[step] holds the flow, or passes
 * the message to the next.
 */
struct dy_flow_forward_t {
	string service<DY_NAME_BYTES>;
	dy_address_t balancer;	/* is told who holds the flow */
	unsigned int step;
	unsigned int window;	/* of a search; 0: to the one that holds it */
	bool complete;		/* no agent is left to be tried after these */
	bool tell;		/* the balancer does not know the holder */
	bool certain;		/* each agent before this step knew for sure */
	dy_address_t tries<DY_FLOW_TRIES>;
	opaque packet<DY_PACKET_BYTES>;
	unsigned int order;	/* that the search goes by, for its balancer */
	/* Openings in 1,000 s that a cold target of the service bears; 0: any. */
	unsigned int cold_openings;
};

/* The sender holds the flow. */
struct dy_flow_held_t {
	dy_flow_id_t flow;
	dy_address_t agent;
	bool open;		/* its target has the end of the handshake */
	dy_flow_load_t load;
};

enum dy_flow_reason_t {
	DY_FLOW_NOT_HELD = 1,	/* a packet in the middle of a flow */
	DY_FLOW_REFUSED = 2	/* an opening packet that nobody takes */
};

/* None of the agents that were tried has the flow. */
struct dy_flow_nowhere_t {
	dy_flow_id_t flow;
	dy_address_t agent;	/* the last that was tried */
	dy_flow_reason_t reason;
	unsigned int window;	/* of the forward */
	bool complete;		/* of the forward */
	bool certain;		/* each that was tried knew for sure */
	opaque packet<DY_PACKET_BYTES>;
	unsigned int order;	/* of the forward; 0: of an older agent */
};

struct dy_flow_report_t {
	dy_address_t agent;
	dy_flow_load_t load;
	unsigned int heard;	/* messages straight from the balancer; 0: not counted */
};

/* An agent that says nothing is to report, if it can. */
struct dy_flow_ask_t {
	dy_address_t balancer;
};

program DY_FLOW_AGENT_PROGRAM {
	version DY_FLOW_AGENT_V1 {
		void DY_FLOW_AGENT_NULL(void) = 0;
		void DY_FLOW_FORWARD(dy_flow_forward_t) = 1;
		void DY_FLOW_ASK(dy_flow_ask_t) = 2;
	} = 1;
} = 0x2A00D009;

program DY_FLOW_BALANCER_PROGRAM {
	version DY_FLOW_BALANCER_V1 {
		void DY_FLOW_BALANCER_NULL(void) = 0;
		void DY_FLOW_HELD(dy_flow_held_t) = 1;
		void DY_FLOW_NOWHERE(dy_flow_nowhere_t) = 2;
		void DY_FLOW_REPORT(dy_flow_report_t) = 3;
	} = 1;
} = 0x2A00D00A;
