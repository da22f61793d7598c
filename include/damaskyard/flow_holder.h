#ifndef DAMASKYARD_FLOW_HOLDER_H
#define DAMASKYARD_FLOW_HOLDER_H

/*
 * An agent's decisions about packet flows of the target beside it. No
 * network: notices and packets of the target and forwards of balancers go in;
 * packets to the target, to callers and messages come out.
 *
 * The target is the truth of which flows it holds: it gives back what it does
 * not. The agent's own record only saves asking. An agent that was started
 * after its target asks for each flow that it does not know; one that was
 * there from the target's start knows that such a flow is not there.
 *
 * Whom to take in. An opening packet is taken only for the service that the
 * target announced, while it is ready. Draining is acknowledged to the target
 * and begins here in one step, so no opening packet follows it, whatever
 * balancers believe. What cannot be taken goes to the next of the balancer's
 * choices; at the last it waits for room (opening_queue.h).
 *
 * Whether the target is there at all.
 *	Load pattern: a target crashes with thousands of open flows; a VM comes
 *	back without its target, as after a loss of power.
 *	What happens without it: the target's flows get no answer until their
 *	callers' deadlines, and new ones none until its notices are missed;
 *	balancers search an agent for flows that it cannot have, and where its
 *	VM goes again, their searches end there.
 *	What is done: a target that owes an answer is asked for by a check of
 *	its port. A port that was open, and that nobody listens at twice in a
 *	row, with nothing from the target in between, says that it is gone
 *	with all its flows.
 */

#include <stdint.h>

#include "damaskyard/metrics.h"
#include "damaskyard/packet.h"
#include "damaskyard/port_check.h"
#include "damaskyard/target_notice.h"

/*
 * A target that sent no notice for so long is taken for gone, in ms: it takes
 * no new flow. Notices come each 1.2 s; three may be lost on a bad link.
 */
#define DY_NOTICE_TIMEOUT_MS 4000

/*
 * A target that owed an answer to a packet for so long is checked, in ms. It
 * answers openings within one, and half of the requests within 60; a slow one
 * is checked in vain, which costs it one connection.
 */
#define DY_TARGET_RESPONSE_TIMEOUT_MS 150

/* A flow without packets for so long is forgotten, in ms; see above. */
#define DY_HELD_FLOW_IDLE_MS 60000

/* A flow that its caller did not finish opening is forgotten, in ms. */
#define DY_HALF_OPEN_MS 5000

/* A flow that has ended is remembered for copies of its last packets, in ms. */
#define DY_TIME_WAIT_MS 5000

/*
 * Forwards whose packets the target may still give back. It does so in well
 * under a second; at 1,000 packets a second these are two.
 */
#define DY_PENDING_FORWARDS_MAX 2048

/*
 * Requests, begun or about to be, for each hundred slots, beyond which an
 * opening that has just come is passed on to a balancer's next choice, and at
 * the last waits. Half a request waits behind each that runs, so that a new
 * one is answered within twice its own time, and no slot is idle while the next
 * one's packets travel.
 */
#define DY_OVERLOAD_PERCENT 150

/*
 * What an opening that has waited may find beside a request for each slot: one
 * request more, whose packets travel while the others run. Room above it is
 * left to those who come.
 */
#define DY_QUEUED_EXTRA_REQUESTS 1

/*
 * A request without an answer for so long counts no more, in ms: its caller
 * has most likely given up, or the target has.
 */
#define DY_REQUEST_TIMEOUT_MS 4000

/*
 * A flow that was opened so long ago, in ms, and had no request, is not about
 * to have its first: callers send it a round trip later, some 10 ms, or have
 * given the opening up.
 */
#define DY_FIRST_REQUEST_TIMEOUT_MS 100

/* Balancers that are told of the load; ones not heard for 2 s are not. */
#define DY_REPORT_BALANCERS_MAX 256
#define DY_REPORT_TTL_MS 2000

typedef struct dy_flow_holder dy_flow_holder_t;

typedef struct dy_flow_holder_callbacks {
	/* Send a packet's bytes to the target, marked with note. */
	void (*to_target)(void *context, uint8_t *bytes, size_t len,
			  uint32_t note);
	/* Send a packet of the target to the flow's caller. */
	void (*to_caller)(void *context, const dy_flow_id_t *flow,
			  const uint8_t *bytes, size_t len);
	/* Pass a forward on to the agent at forward->tries[forward->step]. */
	void (*pass_on)(void *context, dy_flow_forward_t *forward);
	void (*held)(void *context, const dy_address_t *balancer,
		     dy_flow_held_t *held);
	void (*nowhere)(void *context, const dy_address_t *balancer,
			dy_flow_nowhere_t *nowhere);
	void (*report)(void *context, const dy_address_t *balancer,
		       dy_flow_report_t *report);
	/* The target's service, slots or state changed. */
	void (*changed)(void *context);
	/* Check the target's port; see dy_flow_holder_port_checked(). */
	void (*check_port)(void *context);
} dy_flow_holder_callbacks_t;

typedef struct dy_flow_holder_config {
	dy_address_t self;   /* as in the lists of balancers */
	const char *service; /* the only one that the target may announce */
	dy_address_t target;
	/* Of what a cold target bears in a second: times this, and so many. */
	double cold_overshoot;
	double cold_slack;
	dy_metrics_t *metrics;
	const dy_flow_holder_callbacks_t *callbacks;
	void *context;
} dy_flow_holder_config_t;

/* config is copied; what it points to must outlive the holder. */
dy_flow_holder_t *dy_flow_holder_create(const dy_flow_holder_config_t *config);
void dy_flow_holder_destroy(dy_flow_holder_t *holder);

/*
 * Take a notice. Returns 1 if it is to be acknowledged: it is of the target
 * beside this agent, also if it comes late or again; 0 if it names another
 * service or address, and is to be refused.
 */
int dy_flow_holder_receive_notice(dy_flow_holder_t *holder,
				  const dy_target_notice_t *notice,
				  uint64_t now_ms);

/* The target with that id has ended. */
void dy_flow_holder_target_left(dy_flow_holder_t *holder, const char *id);

/*
 * Take the result of a check of the target's port that was begun after this
 * agent's start.
 */
void dy_flow_holder_port_checked(dy_flow_holder_t *holder,
				 dy_port_state_t state, uint64_t now_ms);

/* Take no opening packet any more: the agent itself is stopping. */
void dy_flow_holder_stop(dy_flow_holder_t *holder);

/*
 * Say whether the agent's failure domain is evacuated: then no opening packet
 * is taken either, and those that wait go elsewhere. Open flows stay.
 */
void dy_flow_holder_set_evacuated(dy_flow_holder_t *holder, int evacuated,
				  uint64_t now_ms);

/* Take a forward; packet is its packet, decoded. */
void dy_flow_holder_receive_forward(dy_flow_holder_t *holder,
				    dy_flow_forward_t *forward,
				    const dy_packet_t *packet, uint64_t now_ms);

/* Take a balancer's wish to be told of the load, for DY_REPORT_TTL_MS. */
void dy_flow_holder_subscribe(dy_flow_holder_t *holder,
			      const dy_address_t *address, uint64_t now_ms);

/* Take a packet that the target sent, or gave back. */
void dy_flow_holder_receive_packet(dy_flow_holder_t *holder,
				   const dy_packet_t *packet, uint8_t *bytes,
				   size_t len, uint64_t now_ms);

/* Report the load and forget what is over. Call it each 200 ms. */
void dy_flow_holder_tick(dy_flow_holder_t *holder, uint64_t now_ms);

/* Whether the target is ready and this agent goes on; control is told this. */
int dy_flow_holder_is_serving(const dy_flow_holder_t *holder);
/* Whether opening packets are taken, and the announced slots. */
int dy_flow_holder_accepts(const dy_flow_holder_t *holder);
uint32_t dy_flow_holder_slots(const dy_flow_holder_t *holder);
/* Whether no target is there: it left, fell silent, or was never heard. */
int dy_flow_holder_is_target_inactive(const dy_flow_holder_t *holder,
				      uint64_t now_ms);
/* Whether it is certain that no target is there, so no flow either. */
int dy_flow_holder_is_target_gone(const dy_flow_holder_t *holder);
/*
 * Whether a start of the target, by its id and time, is over: another one has
 * taken its place, or nobody is there.
 */
typedef enum dy_target_instance_state {
	DY_TARGET_INSTANCE_UNKNOWN, /* no target was heard of yet */
	DY_TARGET_INSTANCE_CURRENT,
	DY_TARGET_INSTANCE_ENDED
} dy_target_instance_state_t;

dy_target_instance_state_t dy_flow_holder_instance_state(
	const dy_flow_holder_t *holder, const char *id, uint64_t born_ms);

/* What the target said last, or NULL if none is known to be there. */
const dy_target_notice_t *dy_flow_holder_target(const dy_flow_holder_t *holder);

/*
 * A steady flow is one whose caller acknowledges little: it is open for so
 * long, in ms, and has had so many bytes, and so many more for each second. A
 * reset that is made from a list has to name a byte within 76,800 of the
 * caller's last; what is listed is at most 16 s old then, and a download's
 * would be off.
 */
#define DY_LOW_RATE_MIN_AGE_MS 1000
#define DY_LOW_RATE_BURST_BYTES 12000
#define DY_LOW_RATE_BYTES_PER_S 4000

/* Call each() for every steady flow; ack is its caller's last. */
typedef void dy_flow_holder_cb_t(void *context, const dy_flow_id_t *flow,
				 uint32_t ack);
void dy_flow_holder_each_low_rate(const dy_flow_holder_t *holder,
				  uint64_t now_ms, dy_flow_holder_cb_t *each,
				  void *context);

/* Whether there is a record of the flow. */
int dy_flow_holder_has_flow(const dy_flow_holder_t *holder,
			    const dy_flow_id_t *flow);

/* Open or opening flows. */
unsigned dy_flow_holder_count(const dy_flow_holder_t *holder);

#endif
