#ifndef DAMASKYARD_FAKE_HOLDER_H
#define DAMASKYARD_FAKE_HOLDER_H

/*
 * A flow holder between a made-up target, balancers and callers. One at a time;
 * what it did last, and how often, can be read.
 */

#include "damaskyard/flow_holder.h"

#define FAKE_HOLDER_SERVICE "readings"
#define FAKE_HOLDER_SELF 1
#define FAKE_HOLDER_SLOTS 4
/* How far above its rate a cold target may be given openings. */
#define FAKE_HOLDER_COLD_OVERSHOOT 1.5
#define FAKE_HOLDER_COLD_SLACK 5
/* Requests that a target with so many slots is given at once. */
#define FAKE_HOLDER_ROOM ((DY_OVERLOAD_PERCENT * FAKE_HOLDER_SLOTS + 99) / 100)

typedef struct fake_holder {
	dy_flow_holder_t *holder;
	dy_metrics_t *metrics;
	unsigned given; /* packets to the target */
	uint32_t note;
	unsigned answers; /* packets to callers */
	unsigned passed;
	dy_flow_forward_t forward; /* the last that was passed on */
	unsigned helds;
	dy_flow_held_t held;
	unsigned nowheres;
	dy_flow_nowhere_t nowhere;
	unsigned reports;
	dy_flow_report_t report;
	unsigned changes;
	unsigned checks; /* of the target's port */
	uint64_t now_ms;
	uint32_t cold_openings; /* of forwards from now on */
	uint32_t cold_ms;	/* of notices from now on */
	uint8_t bytes[34];
} fake_holder_t;

extern fake_holder_t fake_holder;

/* Create one whose target has not been heard of. */
void fake_holder_create(void);
/* Create one that was there from its target's start. */
void fake_holder_begin(void);
void fake_holder_end(void);

dy_address_t fake_holder_address(unsigned number, uint16_t port);

/* A notice of the target; announce() gives it to the holder. */
dy_target_notice_t fake_holder_notice(uint64_t sequence,
				      dy_target_state_t state);
int fake_holder_announce(uint64_t sequence, dy_target_state_t state);

dy_packet_t fake_holder_packet(unsigned flow, unsigned marks, uint32_t seq,
			       uint32_t ack, uint16_t data);

/* A balancer's forward to this agent, then, with tries 2, to one more. */
void fake_holder_forward_for(const char *service, const dy_packet_t *made,
			     unsigned tries);
void fake_holder_from_caller(unsigned flow, unsigned marks, uint32_t ack,
			     uint16_t data);
void fake_holder_from_target(unsigned flow, unsigned marks, uint32_t seq,
			     uint16_t data);
/* The target gives the packet back that it got with that note. */
void fake_holder_give_back(unsigned flow, unsigned marks, uint32_t note);

/* Open a flow, from its first packet to the end of the handshake. */
void fake_holder_open_flow(unsigned flow);

#endif
