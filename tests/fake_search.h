#ifndef DAMASKYARD_FAKE_SEARCH_H
#define DAMASKYARD_FAKE_SEARCH_H

/*
 * A flow router among simulated agents that pass searches on. There is one at a
 * time.
 */

#include <check.h>
#include <glib.h>

#include "damaskyard/flow_router.h"

#define FAKE_SEARCH_AGENTS_MAX 320

/*
 * A balancer's router, and agents that pass messages on. Every message takes
 * HOP_US.
 */
typedef struct fake_search {
	dy_flow_router_t *router;
	dy_metrics_t *metrics;
	uint64_t now_us;
	uint64_t hop_us;
	GQueue messages; /* in order of time */
	unsigned agents;
	unsigned holder; /* of all flows; 0: none */
	uint8_t down[FAKE_SEARCH_AGENTS_MAX + 1];
	uint8_t old[FAKE_SEARCH_AGENTS_MAX +
		    1]; /* agents that return no order */
	unsigned asked[FAKE_SEARCH_AGENTS_MAX + 1];
	unsigned from_balancer; /* messages */
	unsigned hops;		/* all messages but HELD and NOWHERE */
	unsigned answers;
	unsigned deaf;		/* agent that hears agents only; 0: none */
	unsigned loss_permille; /* of all messages */
	GRand *random;		/* for it */
	unsigned lose_from;	/* answers to lose: this one, counted from 1 */
	unsigned lose_count;
	unsigned resets;
	unsigned confirm_requests;
	unsigned found;
	uint64_t found_us;
	int waits;	/* forwards wait for the link until they are released */
	GQueue waiting; /* these */
	uint32_t order; /* of the last forward */
	uint8_t bytes[40];
} fake_search_t;

extern fake_search_t fake_search;

/* Creates a router with agents of one service, which hold nothing. */
void fake_search_begin(unsigned agents);
void fake_search_end(void);

uint64_t fake_search_now_ms(void);
dy_address_t fake_search_agent(unsigned number);
void fake_search_set_member(unsigned number, const char *domain);

/* A packet of a caller, and the same passed to the router. */
dy_packet_t fake_search_packet(unsigned flow);
void fake_search_receive_packet(unsigned flow);

/* The agent reports, with the number of messages that it heard from here. */
void fake_search_receive_report(unsigned agent, unsigned heard);

/* Sends the forwards that wait for the link; later ones do not wait. */
void fake_search_release(void);

/* An answer of the agents of a window, to the latest search of flow 1. */
void fake_search_receive_nowhere(unsigned window);

/* Lets ms pass. */
void fake_search_run(unsigned ms);

/* Fills order with the agents in the order of a calm search for flow 1. */
void fake_search_record_order(unsigned agents,
			      unsigned order[FAKE_SEARCH_AGENTS_MAX]);

#endif
