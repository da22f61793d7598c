#ifndef DAMASKYARD_FLOW_HOLDER_H
#define DAMASKYARD_FLOW_HOLDER_H

/*
 * The agent's handling of the packet flows that the target beside it holds.
 * This module does no I/O: it consumes the target's notices (heartbeats), the
 * target's packets and the balancers' forwards, and emits packets and messages
 * through callbacks.
 *
 * The target is authoritative for the flows that it holds: it bounces (returns)
 * each packet of a flow that it does not hold. The agent's flow table only
 * saves this round trip. An agent that started after its target sends packets
 * of unknown flows to the target to find out. An agent that saw the target
 * start has a record of every flow of the target and needs no such check.
 *
 * An opening is a SYN packet, which opens a flow. The agent admits an opening
 * only for the service that the target announced, and only while the target is
 * ready. It acknowledges a draining notice and stops admitting openings in the
 * same step, so that no opening follows the acknowledgement, even from a
 * balancer that has not learned of the drain. An opening that is not admitted
 * goes to the next candidate of the balancer's list. The last candidate queues
 * it (opening_queue.h) or, if the balancer says that it may wait there, returns
 * it and grants a place later (slot_grants.h).
 *
 * The agent also detects that the target is gone:
 * Load pattern: a target crashes with thousands of open flows, or a VM comes
 * back without its target after a power loss.
 * Without it: packets of the target's flows get no reply until their callers'
 * deadlines, and new flows get none until the notice timeout. Balancers search
 * an agent for flows that it cannot have, and if its VM is lost again, their
 * searches end there.
 * Mechanism: when the target does not respond to a packet in time, the agent
 * checks the target's port. If the port was open before, and two successive
 * checks are refused with nothing received from the target in between, the
 * target is gone with all its flows.
 */

#include <stdint.h>

#include "damaskyard/metrics.h"
#include "damaskyard/packet.h"
#include "damaskyard/port_check.h"
#include "damaskyard/target_notice.h"

/*
 * Timeout for notices: a target without a notice for this time receives no new
 * flows. Targets send a notice every 1.2 s, so three may be lost on a bad link.
 */
#define DY_NOTICE_TIMEOUT_MS 4000

/*
 * Time between two notices of an instance, in ms, after which a single late one
 * is ruled out: half of the interval, since the interval varies.
 */
#define DY_INSTANCE_CONFIRM_MS 600

/*
 * Timeout in ms after which an instance without notices yields to one with an
 * earlier start time; the clock may have been set back between the two. It is
 * 2.5 notice intervals.
 */
#define DY_INSTANCE_TIMEOUT_MS 3000

/*
 * Timeout for the target's response to a packet; the agent checks the target's
 * port after it. A target responds to openings within 1 ms and to half of the
 * requests within 60 ms. Checking a target that is only slow costs the target
 * one connection.
 */
#define DY_TARGET_RESPONSE_TIMEOUT_MS 150

/* Idle timeout of an open flow's record in the flow table. */
#define DY_HELD_FLOW_IDLE_MS 60000

/* Timeout for the caller to complete the handshake of a flow. */
#define DY_HALF_OPEN_MS 5000

/* How long an ended flow is kept for retransmissions of its last packets. */
#define DY_TIME_WAIT_MS 5000

/*
 * Capacity of the ring of forwards whose packets the target may still bounce. A
 * target bounces in well under one second; at 1,000 packets per second the ring
 * covers two seconds.
 */
#define DY_PENDING_FORWARDS_MAX 2048

/*
 * Limit for a new opening, in requests per 100 slots, where requests that are
 * expected soon count as well. Above it, the agent passes the opening on to the
 * balancer's next candidate, and the last candidate queues it. At 150 percent,
 * half a request waits behind each running one: a new request is answered
 * within twice its own service time, and no slot idles while the packets of the
 * next request travel.
 */
#define DY_OVERLOAD_PERCENT 150

/*
 * Requests above one per slot at which queued openings and retransmitted ones
 * are still admitted. The packets of this one request travel while the others
 * run. The capacity above it is reserved for new openings.
 */
#define DY_QUEUED_EXTRA_REQUESTS 1

/*
 * Requests above one per slot up to which places are granted. A granted opening
 * and the request after it travel for half of a short request's time, so one
 * more has to be on its way for each two slots that may end at once.
 */
#define DY_GRANTED_EXTRA_REQUESTS 2

/*
 * Time for the target's answer to an opening, in ms, after which no more places
 * are granted until it sends something. Targets answer openings within 1 ms.
 */
#define DY_OPENING_RESPONSE_TIMEOUT_MS 30

/*
 * How long a target that returned an opening, although it has capacity, is
 * granted no places: doubled with each further one, up to the maximum.
 */
#define DY_HELD_BACK_MIN_MS 50
#define DY_HELD_BACK_MAX_MS 1600

/*
 * Timeout for the answer to a request. After it the request does not count as
 * load: its caller or the target has most likely given up.
 */
#define DY_REQUEST_TIMEOUT_MS 4000

/*
 * How long a newly opened flow counts as about to send its first request.
 * Callers send it one round trip after the opening, some 10 ms, unless they
 * have abandoned the opening.
 */
#define DY_FIRST_REQUEST_TIMEOUT_MS 100

/*
 * Maximum number of balancers that receive load reports, and how long a
 * balancer receives them after its last message.
 */
#define DY_REPORT_BALANCERS_MAX 256
#define DY_REPORT_TTL_MS 2000

typedef struct dy_flow_holder dy_flow_holder_t;

typedef struct dy_flow_holder_callbacks {
	/* Sends a packet to the target with the given tag in its header. */
	void (*to_target)(void *context, uint8_t *bytes, size_t len,
			  uint32_t tag);
	/* Sends a packet of the target to the flow's caller. */
	void (*to_caller)(void *context, const dy_flow_id_t *flow,
			  const uint8_t *bytes, size_t len);
	/* Sends forward to the agent at forward->tries[forward->step]. */
	void (*pass_on)(void *context, dy_flow_forward_t *forward);
	/* Tells a balancer that this agent holds a flow. */
	void (*held)(void *context, const dy_address_t *balancer,
		     dy_flow_held_t *held);
	/* Tells a balancer that no agent in forward->tries took a packet. */
	void (*nowhere)(void *context, const dy_address_t *balancer,
			dy_flow_nowhere_t *nowhere);
	/*
	 * Grants a balancer a place for an opening that waits there, or returns
	 * its reservations.
	 */
	void (*grant)(void *context, const dy_address_t *balancer,
		      dy_flow_grant_t *grant);
	/* Sends a load report to a balancer. */
	void (*report)(void *context, const dy_address_t *balancer,
		       dy_flow_report_t *report);
	/* Called when the target's service, slots or state has changed. */
	void (*changed)(void *context);
	/*
	 * Starts a check of the target's port; the result goes to
	 * dy_flow_holder_port_checked().
	 */
	void (*check_port)(void *context);
} dy_flow_holder_callbacks_t;

typedef struct dy_flow_holder_config {
	dy_address_t self;   /* this agent, as in the balancers' lists */
	const char *service; /* the only service that the target may announce */
	dy_address_t target;
	/*
	 * A cold target receives up to rate * cold_overshoot + cold_slack
	 * openings per second, where rate is what the service's configuration
	 * allows.
	 */
	double cold_overshoot;
	double cold_slack;
	dy_metrics_t *metrics;
	const dy_flow_holder_callbacks_t *callbacks;
	void *context;
} dy_flow_holder_config_t;

/*
 * Creates a holder. config is copied; what it points to must outlive the
 * holder.
 */
dy_flow_holder_t *dy_flow_holder_create(const dy_flow_holder_config_t *config);
/* Frees holder; NULL is allowed. */
void dy_flow_holder_destroy(dy_flow_holder_t *holder);

/*
 * Processes a notice of the target. Returns 1 if the caller has to acknowledge
 * it: the notice is in force, or a later one of the same instance is. Returns 0
 * if it has to be refused: it names another service or address, or is of an
 * instance that counts as an earlier one, and had no effect.
 */
int dy_flow_holder_receive_notice(dy_flow_holder_t *holder,
				  const dy_target_notice_t *notice,
				  uint64_t now_ms);

/*
 * Records that the target with this id has ended. Other ids are ignored. The
 * message may be a late one of an earlier instance, so the target's port is
 * checked, again at each tick, until it is refused or another notice comes; a
 * target that still listens has not ended.
 */
void dy_flow_holder_target_left(dy_flow_holder_t *holder, const char *id);

/*
 * Processes the result of a check of the target's port. The check must have
 * started after this agent did.
 */
void dy_flow_holder_port_checked(dy_flow_holder_t *holder,
				 dy_port_state_t state, uint64_t now_ms);

/* Stops admitting openings because the agent itself is stopping. */
void dy_flow_holder_stop(dy_flow_holder_t *holder);

/*
 * Sets whether the agent's failure domain is evacuated. While it is, the agent
 * admits no openings and passes queued ones on. Open flows are not affected.
 */
void dy_flow_holder_set_evacuated(dy_flow_holder_t *holder, int evacuated,
				  uint64_t now_ms);

/*
 * Processes a forward of a balancer or another agent. packet is the decoded
 * forward->packet. forward->step and forward->certain may be changed.
 */
void dy_flow_holder_receive_forward(dy_flow_holder_t *holder,
				    dy_flow_forward_t *forward,
				    const dy_packet_t *packet, uint64_t now_ms);

/*
 * Subscribes the balancer at address to load reports for DY_REPORT_TTL_MS. The
 * balancer's forwards do so as well.
 */
void dy_flow_holder_subscribe(dy_flow_holder_t *holder,
			      const dy_address_t *address, uint64_t now_ms);

/*
 * Records that an opening waits at a balancer. The reservation is returned at
 * once while openings are not admitted.
 */
void dy_flow_holder_reserve(dy_flow_holder_t *holder,
			    const dy_flow_reserve_t *reserve, uint64_t now_ms);

/* Records that a balancer has no opening for the places it was granted. */
void dy_flow_holder_receive_decline(dy_flow_holder_t *holder,
				    const dy_address_t *balancer,
				    uint64_t now_ms);

/*
 * Processes a packet that the target sent or bounced. bytes is the encoded
 * packet; it need not outlive the call.
 */
void dy_flow_holder_receive_packet(dy_flow_holder_t *holder,
				   const dy_packet_t *packet, uint8_t *bytes,
				   size_t len, uint64_t now_ms);

/*
 * Sends load reports and expires flows, requests and queued openings. Call it
 * every 200 ms.
 */
void dy_flow_holder_tick(dy_flow_holder_t *holder, uint64_t now_ms);

/*
 * Returns whether the target is ready and this agent is not stopping. This is
 * the state that the agent reports to control.
 */
int dy_flow_holder_is_serving(const dy_flow_holder_t *holder);
/* Returns whether openings are admitted. */
int dy_flow_holder_accepts(const dy_flow_holder_t *holder);
/*
 * Returns the number of slots that the target announced; 0 before its first
 * notice.
 */
uint32_t dy_flow_holder_slots(const dy_flow_holder_t *holder);
/*
 * Returns whether the target has certainly ended: it said that it leaves, and
 * its port has not been found open since, or it is gone. A target that is
 * silent, or that this agent has not heard yet, may hold flows that a
 * predecessor of this agent opened.
 */
int dy_flow_holder_has_target_ended(const dy_flow_holder_t *holder);
/*
 * Returns whether the target is certainly gone, so that it holds no flow
 * either.
 */
int dy_flow_holder_is_target_gone(const dy_flow_holder_t *holder);
/*
 * State of one instance of the target. An instance is one run of the target's
 * process, identified by the target's id and start time.
 */
typedef enum dy_target_instance_state {
	DY_TARGET_INSTANCE_UNKNOWN, /* no notice has come yet */
	DY_TARGET_INSTANCE_CURRENT,
	/* the last notice is another instance's, but may be a late one */
	DY_TARGET_INSTANCE_DOUBTED,
	/* the same, and that one started later by its own account */
	DY_TARGET_INSTANCE_EARLIER,
	DY_TARGET_INSTANCE_ENDED
} dy_target_instance_state_t;

/*
 * Returns the state of the instance with this id and start time, which an
 * earlier agent knew. It has ended if the target's port was refused since this
 * agent started. Otherwise another instance must have sent two notices, at
 * least DY_INSTANCE_CONFIRM_MS apart and with no other instance's notice in
 * between: a single one may be late. If that instance started earlier by its
 * own account, as after a step of the clock, they must be
 * DY_INSTANCE_TIMEOUT_MS apart.
 */
dy_target_instance_state_t dy_flow_holder_instance_state(
	const dy_flow_holder_t *holder, const char *id, uint64_t started_ms);

/*
 * Returns the target's last notice, or NULL if no target is known to be there.
 * A single notice of an instance is not enough: it may be a late one, and what
 * is written down under its name would be taken for flows that have ended.
 * The notice belongs to holder and is valid until the next call that changes
 * it.
 */
const dy_target_notice_t *dy_flow_holder_target(const dy_flow_holder_t *holder);

/*
 * Limits of a low-rate flow. Such a flow has been open for the minimum age, and
 * its caller has acknowledged at most the burst plus the rate times the flow's
 * age. Only these flows are written to the ledger (flow_ledger.h): a reset that
 * is made from a list must carry a sequence number within 76,800 bytes of the
 * caller's last acknowledgement. A list is up to 16 s old by then, and a
 * download moves further in that time.
 */
#define DY_LOW_RATE_MIN_AGE_MS 1000
#define DY_LOW_RATE_BURST_BYTES 12000
#define DY_LOW_RATE_BYTES_PER_S 4000

/*
 * Calls each() for every low-rate flow; ack is the caller's last
 * acknowledgement.
 */
typedef void dy_flow_holder_cb_t(void *context, const dy_flow_id_t *flow,
				 uint32_t ack);
void dy_flow_holder_each_low_rate(const dy_flow_holder_t *holder,
				  uint64_t now_ms, dy_flow_holder_cb_t *each,
				  void *context);

/* Returns whether the flow table contains flow. */
int dy_flow_holder_has_flow(const dy_flow_holder_t *holder,
			    const dy_flow_id_t *flow);

/* Returns the number of open and half-open flows. */
unsigned dy_flow_holder_count(const dy_flow_holder_t *holder);

#endif
