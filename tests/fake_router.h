#ifndef DAMASKYARD_FAKE_ROUTER_H
#define DAMASKYARD_FAKE_ROUTER_H

/*
 * A flow router between made-up agents, callers and documents. One at a time;
 * what it did last, and how often, can be read.
 */

#include <check.h>

#include "damaskyard/address.h"
#include "damaskyard/flow_router.h"

/* Where all its callers' packets go. */
#define FAKE_ENTRY_IP 0xc6120001u
#define FAKE_ENTRY_PORT 443

/* What the router did last, and how often. */
typedef struct fake_router {
	dy_flow_router_t *router;
	dy_metrics_t *metrics;
	unsigned forwards;
	dy_flow_forward_t forward;
	dy_address_t tries[DY_FLOW_TRIES];
	char service[64];
	unsigned resets;
	uint32_t reset_seq;
	unsigned confirms;
	unsigned asks;
	uint64_t now_ms;
	uint8_t bytes[34];
} fake_router_t;

extern fake_router_t fake_router;

/* Create one whose agents 1 to agents serve "readings", as its entry says. */
void fake_router_begin(unsigned agents);
void fake_router_end(void);

/* The address of the agent of a number. */
dy_address_t fake_router_agent(unsigned number);

void fake_router_set_member(unsigned number, dy_member_state_t state,
			    const char *service);

/* Services of the entry; NULL for one that it does not have. */
void fake_router_set_rules(uint64_t version, const char *first,
			   const char *second);
void fake_router_set_rules_of(uint64_t version, const char *first,
			      const char *second, int repeatable);

dy_packet_t fake_router_packet(unsigned flow, unsigned marks, uint32_t ack);

/* Have the router take a packet of a caller. */
void fake_router_take(unsigned flow, unsigned marks, uint32_t ack);

/* An agent says that it holds the flow, with the whole handshake if open. */
void fake_router_tell_held(unsigned flow, const dy_address_t *by, int open);

/* The last agent of the last forward says that nobody of them holds it. */
void fake_router_tell_nowhere(unsigned flow, unsigned marks, int certain);

/* The agent of that number says that it lives. */
void fake_router_report(unsigned number);
/* And how many messages it counted that came straight from the router. */
void fake_router_report_heard(unsigned number, uint32_t heard);

/* As fake_router_set_member(), in a failure domain. */
void fake_router_set_member_of(unsigned number, dy_member_state_t state,
			       const char *service, const char *domain);

#endif
