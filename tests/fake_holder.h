#ifndef DAMASKYARD_FAKE_HOLDER_H
#define DAMASKYARD_FAKE_HOLDER_H

/*
 * A flow holder with a simulated target, balancers and callers. There is one at
 * a time; fake_holder records what it emitted last and how often.
 */

#include "damaskyard/flow_holder.h"

#define FAKE_HOLDER_SERVICE "readings"
#define FAKE_HOLDER_SELF 1
#define FAKE_HOLDER_SLOTS 4
/* Limits of the openings for a cold target; see dy_flow_holder_config_t. */
#define FAKE_HOLDER_COLD_OVERSHOOT 1.5
#define FAKE_HOLDER_COLD_SLACK 5
/*
 * Concurrent requests up to which a target with FAKE_HOLDER_SLOTS gets
 * openings.
 */
#define FAKE_HOLDER_CAPACITY \
	((DY_OVERLOAD_PERCENT * FAKE_HOLDER_SLOTS + 99) / 100)

typedef struct fake_holder {
	dy_flow_holder_t *holder;
	dy_metrics_t *metrics;
	unsigned sent_to_target; /* packets */
	uint32_t last_tag;
	unsigned sent_to_callers; /* packets */
	unsigned passed_on;
	dy_flow_forward_t forward; /* the last one that was passed on */
	unsigned held_count;
	dy_flow_held_t held;
	unsigned nowhere_count;
	dy_flow_nowhere_t nowhere;
	unsigned grant_count;
	dy_flow_grant_t grant;
	dy_address_t grant_balancer;
	unsigned report_count;
	dy_flow_report_t report;
	unsigned change_count;
	unsigned port_checks; /* checks of the target's port */
	uint64_t now_ms;
	uint32_t cold_openings; /* in forwards from now on */
	dy_flow_wait_t wait;	/* likewise */
	uint32_t standing;	/* likewise */
	uint32_t cold_ms;	/* in notices from now on */
	uint8_t bytes[34];
} fake_holder_t;

extern fake_holder_t fake_holder;

/* Creates a holder without any notice from its target. */
void fake_holder_create(void);
/* The target's port is refused: a target that appears now starts later. */
void fake_holder_refuse_port(void);
/* Creates a holder that saw its target start, which is ready. */
void fake_holder_begin(void);
void fake_holder_end(void);

dy_address_t fake_holder_address(unsigned number, uint16_t port);

/* A notice of the target; fake_holder_announce() passes it to the holder. */
dy_target_notice_t fake_holder_notice(uint64_t sequence,
				      dy_target_state_t state);
int fake_holder_announce(uint64_t sequence, dy_target_state_t state);

dy_packet_t fake_holder_packet(unsigned flow, unsigned marks, uint32_t seq,
			       uint32_t ack, uint16_t data);

/*
 * Passes a balancer's forward to the holder. Its candidates are this agent and,
 * if tries is 2, one more.
 */
void fake_holder_send_forward(const char *service, const dy_packet_t *packet,
			      unsigned tries);
void fake_holder_from_caller(unsigned flow, unsigned marks, uint32_t ack,
			     uint16_t data);
void fake_holder_from_target(unsigned flow, unsigned marks, uint32_t seq,
			     uint16_t data);
/* The target bounces the packet that it received with this tag. */
void fake_holder_bounce(unsigned flow, unsigned marks, uint32_t tag);

/* Opens a flow with a complete handshake. */
void fake_holder_open_flow(unsigned flow);

#endif
