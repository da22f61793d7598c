#ifndef DAMASKYARD_FAKE_ROUTER_H
#define DAMASKYARD_FAKE_ROUTER_H

/*
 * A flow router with simulated agents, callers and documents. There is one at a
 * time; fake_router records what it emitted last and how often.
 */

#include <check.h>

#include "damaskyard/address.h"
#include "damaskyard/flow_router.h"

/* The entry to which all callers send their packets. */
#define FAKE_ENTRY_IP 0xc6120001u
#define FAKE_ENTRY_PORT 443

typedef struct fake_router {
	dy_flow_router_t *router;
	dy_metrics_t *metrics;
	unsigned forwards;
	dy_flow_forward_t forward;
	dy_address_t tries[DY_FLOW_TRIES];
	char service[64];
	int keeps_forwards; /* none leaves, as with a full link */
	unsigned resets;
	uint32_t reset_seq;
	unsigned confirm_requests;
	unsigned report_requests;
	unsigned inquiries;
	dy_address_t witness; /* of the last inquiry */
	unsigned reservations;
	dy_address_t reserved_at; /* the last one */
	uint32_t standing;
	unsigned declines;
	/* What findings report about an agent: accepted, if not set. */
	dy_flow_answer_t answer_to_witnesses;
	uint64_t now_ms;
	uint8_t bytes[34];
} fake_router_t;

extern fake_router_t fake_router;

/*
 * Creates a router; the agents 1 to agents serve "readings", the entry's
 * service.
 */
void fake_router_begin(unsigned agents);
/* The same, on a link of this rate. */
void fake_router_begin_on_link(unsigned agents, uint64_t bytes_per_s);
/* The same as fake_router_begin(), with openings that wait here. */
void fake_router_begin_waiting(unsigned agents);
void fake_router_end(void);

/* Returns the address of the agent with this number. */
dy_address_t fake_router_agent(unsigned number);

void fake_router_set_member(unsigned number, dy_member_state_t state,
			    const char *service);

/* Sets the services of the entry; NULL leaves one out. */
void fake_router_set_rules(uint64_t version, const char *first,
			   const char *second);
void fake_router_set_rules_with(uint64_t version, const char *first,
				const char *second, int repeatable);

dy_packet_t fake_router_packet(unsigned flow, unsigned marks, uint32_t ack);

/* Passes a packet of a caller to the router. */
void fake_router_receive_packet(unsigned flow, unsigned marks, uint32_t ack);

/*
 * An agent reports that it holds the flow; open: with the complete handshake.
 */
void fake_router_receive_held(unsigned flow, const dy_address_t *agent,
			      int open);

/*
 * The last agent of the last forward reports that none of them holds the flow.
 */
void fake_router_receive_nowhere(unsigned flow, unsigned marks, int certain);

/* The same for an opening, with another reason and from this agent. */
void fake_router_receive_nowhere_from(unsigned number, unsigned flow,
				      dy_flow_reason_t reason);

/* The agent grants a place, or returns reservations. */
void fake_router_receive_grant(unsigned number, unsigned returned);

/* The agent with this number sends a load report. */
void fake_router_receive_report(unsigned number);
/* As above, with the number of messages that it received directly. */
void fake_router_receive_report_with(unsigned number, uint32_t heard);

/* As fake_router_set_member(), in a failure domain. */
void fake_router_set_member_in(unsigned number, dy_member_state_t state,
			       const char *service, const char *domain);

#endif
