/*
 * Interface for packet flows between balancers and agents, and between agents.
 * Internal. Every message is an ONC RPC call with a sealed credential; none
 * has a reply.
 */

#ifdef RPC_HDR
%#include "dy_wire.h"
#endif
#ifdef RPC_XDR
%#include "dy_wire.h"
#endif

/* Largest packet with its headers. */
const DY_PACKET_BYTES = 1280;

/* Largest number of agents in one forward. */
const DY_FLOW_TRIES = 16;

/* Both ends of a flow: IPv4 addresses and ports in host byte order. */
struct dy_flow_id_t {
	unsigned int caller_ip;
	unsigned int entry_ip;
	unsigned int caller_port;
	unsigned int entry_port;
};

/* Load of an agent's target; part of every message of the agent. */
struct dy_flow_load_t {
	unsigned int slots;
	unsigned int flows;	/* open or opening */
	unsigned int busy;	/* requests in progress */
	bool accepts;		/* accepts opening packets */
	bool cold;		/* started recently, so it is slower */
};

/* Where an opening waits while all targets are at capacity. */
enum dy_flow_wait_t {
	DY_FLOW_WAIT_AT_AGENT = 0,	/* at its last candidate */
	DY_FLOW_WAIT_AT_BALANCER = 1,	/* NOWHERE with DY_FLOW_FULL */
	DY_FLOW_GRANTED = 2		/* a GRANT allows it; then as above */
};

/*
 * A packet of a caller. The agent at tries[step] delivers it if it holds the
 * flow; otherwise it relays the message to the next agent of tries.
 */
struct dy_flow_forward_t {
	string service<DY_NAME_BYTES>;
	dy_address_t balancer;	/* receives HELD and NOWHERE */
	unsigned int step;
	unsigned int window;	/* of a search; 0: sent to the holder */
	bool complete;		/* tries has the last agents to search */
	bool tell;		/* the balancer lacks the holder: reply HELD */
	bool certain;		/* agents before step surely do not hold it */
	dy_address_t tries<DY_FLOW_TRIES>;
	opaque packet<DY_PACKET_BYTES>;
	unsigned int order;	/* version of the balancer's search order */
	/* Openings per 1,000 s that a cold target can accept; 0: no limit. */
	unsigned int cold_openings;
	dy_flow_wait_t wait;	/* of an opening */
	unsigned int standing;	/* of an opening; the lowest is served first */
};

/*
 * An opening waits at the balancer, which wants a place for it. Places are
 * granted to the lowest standing first.
 */
struct dy_flow_reserve_t {
	dy_address_t balancer;
	unsigned int standing;
};

/*
 * A packet of an open flow for the agent that holds it, a short form of a
 * forward with that agent alone in tries. The balancer is the sender.
 */
struct dy_flow_delivery_t {
	unsigned int order;	/* as in a forward */
	opaque packet<DY_PACKET_BYTES>;
};

/* How fast a target works; part of messages of its agent. */
struct dy_flow_pace_t {
	/* Mean time of a request in a slot, in microseconds; 0: unknown. */
	unsigned int service_us;
	/* Part of the latest requests that had no answer, in 1/1000. */
	unsigned int unanswered_permille;
};

/* The agent holds the flow. */
struct dy_flow_held_t {
	dy_flow_id_t flow;
	dy_address_t agent;
	bool open;		/* the target received the final ACK */
	dy_flow_load_t load;
	bool deliveries;	/* the agent accepts DELIVERY */
	dy_flow_pace_t pace;
};

enum dy_flow_reason_t {
	DY_FLOW_NOT_HELD = 1,	/* a packet in the middle of a flow */
	DY_FLOW_REFUSED = 2,	/* an opening packet that no agent accepts */
	/* An opening that waits at the balancer; its place is reserved. */
	DY_FLOW_FULL = 3
};

/* None of the agents in tries holds the flow. */
struct dy_flow_nowhere_t {
	dy_flow_id_t flow;
	dy_address_t agent;	/* the last one in tries */
	dy_flow_reason_t reason;
	unsigned int window;	/* of the forward */
	bool complete;		/* of the forward */
	bool certain;		/* all agents in tries surely do not hold it */
	opaque packet<DY_PACKET_BYTES>;
	unsigned int order;	/* of the forward; 0: from an older agent */
};

/* Periodic report of an agent to a balancer. */
struct dy_flow_report_t {
	dy_address_t agent;
	dy_flow_load_t load;
	/* Messages received directly from the balancer; 0: not counted. */
	unsigned int heard;
	dy_flow_pace_t pace;
};

/*
 * The agent's target has a place for one opening that waits at the balancer,
 * if the opening arrives soon; or it has none for now, and returns
 * reservations.
 */
struct dy_flow_grant_t {
	dy_address_t agent;
	dy_flow_load_t load;
	unsigned int returned;	/* reservations; 0: a place is granted */
};

/* Requests a report from an agent that is silent. */
struct dy_flow_ask_t {
	dy_address_t balancer;
};

/* Requests an agent to probe another one for a balancer. */
struct dy_flow_inquiry_t {
	dy_address_t balancer;
	dy_address_t agent;	/* the one to probe */
};

/* A probe; requests an echo. */
struct dy_flow_probe_t {
	dy_address_t witness;	/* the agent that probes */
};

/* The answer to a probe. */
struct dy_flow_echo_t {
	dy_address_t agent;	/* the one that was probed */
};

/*
 * What a witness got from an agent: nothing; a connection at its liveness port,
 * which the kernel accepts for a process that does not run as well; an echo of
 * its process; a refused connection, from a VM on which its process has ended.
 * Older builds know the first two only, and take all others for the second.
 */
enum dy_flow_answer_t {
	DY_FLOW_NO_ANSWER = 0,
	DY_FLOW_ACCEPTED = 1,
	DY_FLOW_ECHOED = 2,
	DY_FLOW_REFUSED_PORT = 3
};

/* The result of an inquiry. */
struct dy_flow_finding_t {
	dy_address_t witness;
	dy_address_t agent;	/* the one that was probed */
	dy_flow_answer_t answer;
};

program DY_FLOW_AGENT_PROGRAM {
	version DY_FLOW_AGENT_V1 {
		void DY_FLOW_AGENT_NULL(void) = 0;
		void DY_FLOW_FORWARD(dy_flow_forward_t) = 1;
		void DY_FLOW_ASK(dy_flow_ask_t) = 2;
		void DY_FLOW_INQUIRY(dy_flow_inquiry_t) = 3;
		void DY_FLOW_PROBE(dy_flow_probe_t) = 4;
		void DY_FLOW_ECHO(dy_flow_echo_t) = 5;
		void DY_FLOW_DELIVERY(dy_flow_delivery_t) = 6;
		void DY_FLOW_RESERVE(dy_flow_reserve_t) = 7;
		/* Answer to a grant: no opening waits at the balancer. */
		void DY_FLOW_DECLINE(dy_flow_ask_t) = 8;
	} = 1;
} = 0x2A00D009;

program DY_FLOW_BALANCER_PROGRAM {
	version DY_FLOW_BALANCER_V1 {
		void DY_FLOW_BALANCER_NULL(void) = 0;
		void DY_FLOW_HELD(dy_flow_held_t) = 1;
		void DY_FLOW_NOWHERE(dy_flow_nowhere_t) = 2;
		void DY_FLOW_REPORT(dy_flow_report_t) = 3;
		void DY_FLOW_FINDING(dy_flow_finding_t) = 4;
		void DY_FLOW_GRANT(dy_flow_grant_t) = 5;
	} = 1;
} = 0x2A00D00A;
