#ifndef DAMASKYARD_AGENT_H
#define DAMASKYARD_AGENT_H

/*
 * The core of the agent that runs beside a target. It does no I/O itself.
 *
 * The agent owns the sessions of its target, their duplicate request caches,
 * the queue and the slots, and gives each call exactly one outcome. The
 * process around it (src/process/agent/agent_process.c) supplies datagrams,
 * connections and the clock; tests and the fuzzer supply fakes.
 *
 * Invariants, asserted in the code:
 * - a non-idempotent (session, xid) is sent to the target at most once;
 * - no call of a session is sent to the target after the first handover
 *   message of that session;
 * - the target has at most one call in progress on each connection, so that
 *   a late answer cannot reach another call;
 * - each call has one outcome.
 *
 * Everything runs on one thread. Arguments are borrowed for the length of the
 * call, unless stated otherwise.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "damaskyard/document.h"
#include "damaskyard/metrics.h"
#include "damaskyard/token.h"
#include "dy_agent.h"
#include "dy_control.h"
#include "dy_handover.h"
#include "dy_target.h"

/* Maximum number of connections to the target that carry calls. */
#define DY_AGENT_SLOTS_MAX 64

/* Index of the connection that carries cancellations; calls use 0 and up. */
#define DY_AGENT_CANCEL_LINK DY_AGENT_SLOTS_MAX
#define DY_AGENT_LINKS (DY_AGENT_SLOTS_MAX + 1)

/*
 * Lease of a target, in ms, renewed by each announcement. A target with an
 * expired lease gets no calls. Targets announce themselves once a second, so
 * that one lost datagram does not expire the lease.
 */
#define DY_TARGET_LEASE_MS 3000

/*
 * Timeout after which a target that answers no calls is considered lost, in
 * ms. Its sessions are then handed over, if another target of the service can
 * take them. Twice the lease, so that a target that restarts keeps its
 * sessions.
 */
#define DY_TARGET_LOST_TIMEOUT_MS 6000

/* Interval at which to call dy_agent_tick(), in ms. */
#define DY_AGENT_TICK_INTERVAL_MS 50

/*
 * Timeout of a planned stop that cannot hand over its sessions because there
 * is no successor or no majority of control, in ms. Below the 90 s after which
 * a service manager kills the process.
 */
#define DY_AGENT_STOP_TIMEOUT_MS 60000

/*
 * Time for which an agent that has left still relays calls, in ms. Without
 * failures, balancers learn that it has left within one and a half poll
 * intervals, 750 ms.
 */
#define DY_AGENT_LINGER_MS 5000

/* Maximum number of agents that one call passes through. */
#define DY_AGENT_HOPS_MAX 4

typedef struct dy_agent dy_agent_t;

/*
 * Functions that the process provides to the core. None may call back into
 * the core. Arguments are borrowed for the length of the call.
 */
typedef struct dy_agent_callbacks {
	/* Returns the monotonic time in microseconds. */
	uint64_t (*now_us)(void *context);
	/* Send an answer to a balancer. */
	void (*send_answer)(void *context, const dy_address_t *to,
			    dy_answer_t *answer);
	/* Return a call to the balancer, for another agent. */
	void (*send_bounce)(void *context, const dy_address_t *to,
			    dy_bounce_t *bounce);
	/* Send a call on to another agent. */
	void (*relay_forward)(void *context, const dy_address_t *to,
			      dy_forward_t *forward);
	/* Send sessions, or an offer without sessions, to another agent. */
	void (*send_handover)(void *context, const dy_address_t *to,
			      dy_handover_t *handover);
	/*
	 * Connect. Call dy_agent_link_up() or dy_agent_link_down() later, not
	 * from within this callback.
	 */
	void (*link_open)(void *context, unsigned link,
			  const dy_address_t *target);
	/* Close at once. Report no further events of this connection. */
	void (*link_close)(void *context, unsigned link);
	/*
	 * Send one whole message. Returns 0, or -1 only if no byte of it was
	 * passed to the socket.
	 */
	int (*link_send)(void *context, unsigned link, const uint8_t *bytes,
			 size_t len);
	/*
	 * Report this agent's state to control. successors holds `count`
	 * incarnations; it is NULL unless the agent has left.
	 */
	void (*report_state)(void *context, dy_member_state_t state,
			     const uint64_t *successors, unsigned count);
	/*
	 * The target's data, as reported to control, has changed. slots is 0
	 * while the target is unresponsive.
	 */
	void (*report_info)(void *context, const dy_announcement_t *target);
	/*
	 * The agent has left and relays no more calls. The process may exit,
	 * or create a new core for the next incarnation of the target.
	 */
	void (*left)(void *context);
} dy_agent_callbacks_t;

typedef struct dy_agent_config {
	const char *name;
	const char *environment;
	const char *domain;
	dy_address_t address; /* of the internal endpoint, put into tokens */
	uint64_t seed;	      /* random, new at each start */
	dy_keyring_t *keyring;
	dy_metrics_t *metrics;
	const dy_agent_callbacks_t *callbacks;
	void *context;
} dy_agent_config_t;

/*
 * Create an agent. config is copied; the objects that it points to must
 * outlive the agent. Never returns NULL.
 */
dy_agent_t *dy_agent_create(const dy_agent_config_t *config);

/* Free the agent. Calls in progress get no answer. agent may be NULL. */
void dy_agent_destroy(dy_agent_t *agent);

/*
 * Set the incarnation that control granted to this agent. The first one ends
 * the joining state.
 */
void dy_agent_set_incarnation(dy_agent_t *agent, uint64_t incarnation);

/* Record what control reports of a member, which may be this agent. */
void dy_agent_update_member(dy_agent_t *agent, const dy_member_t *member);

/* All members of one poll of control have been passed in. */
void dy_agent_caught_up(dy_agent_t *agent);

/*
 * Set whether the failure domain of the agent is evacuated. If so, no new
 * session is opened.
 */
void dy_agent_set_evacuated(dy_agent_t *agent, int evacuated);

/*
 * Set whether this agent holds a lease of control, that is, whether a majority
 * has confirmed it recently. Without a lease no new session is opened.
 */
void dy_agent_set_lease(dy_agent_t *agent, int held);

/*
 * Stop serving because another process holds this agent's name. No session is
 * opened and no call is queued or sent to the target any more. Calls that the
 * target already has are finished.
 */
void dy_agent_supersede(dy_agent_t *agent);

/*
 * Apply a document. The agent serves the first service that accepts its
 * target. If its service is no longer that one, the agent drains. Does nothing
 * before the first announcement.
 */
void dy_agent_set_document(dy_agent_t *agent, const dy_document_t *document);

/*
 * Process an announcement of the target and write the reply to *result. The
 * first one binds the agent to its service, unless the target is draining.
 */
void dy_agent_receive_announcement(dy_agent_t *agent,
				   const dy_announcement_t *announcement,
				   dy_announce_result_t *result);

/*
 * Process a call that a balancer or another agent has forwarded. from is the
 * sender; the answer goes there unless the call names an address to reply to.
 */
void dy_agent_receive_forward(dy_agent_t *agent, const dy_address_t *from,
			      const dy_forward_t *forward);

/*
 * Report that a connection to the target is established, has failed, or has
 * received one whole message. bytes is NULL for a message that exceeds the
 * limit of the process.
 */
void dy_agent_link_up(dy_agent_t *agent, unsigned link);
void dy_agent_link_down(dy_agent_t *agent, unsigned link);
void dy_agent_link_receive(dy_agent_t *agent, unsigned link,
			   const uint8_t *bytes, size_t len);

/*
 * Receive sessions from an agent that leaves and write the reply to *result.
 * The caller frees the arrays of result with xdr_free().
 */
void dy_agent_receive_handover(dy_agent_t *agent, const dy_handover_t *handover,
			       dy_handover_result_t *result);

/* Process a successor's reply to a handover message. */
void dy_agent_receive_handover_result(dy_agent_t *agent,
				      const dy_handover_result_t *result);

/*
 * Start to drain: open no new session, finish the calls in progress, hand the
 * sessions over to successors, then leave. why is a single word for the log.
 * exits says that the process must exit, after DY_AGENT_STOP_TIMEOUT_MS even
 * without a successor.
 */
void dy_agent_drain(dy_agent_t *agent, const char *why, int exits);

/* Run timers: leases, deadlines, reconnects, retransmits, the drain. */
void dy_agent_tick(dy_agent_t *agent);

dy_member_state_t dy_agent_state(const dy_agent_t *agent);

/* Returns the number of sessions, those already handed over included. */
unsigned dy_agent_session_count(const dy_agent_t *agent);

/* Returns the member id, which depends on the environment and the name. */
uint64_t dy_agent_id(const dy_agent_t *agent);

/* Write the current load to *load, as reported to balancers. */
void dy_agent_load(const dy_agent_t *agent, dy_load_t *load);

/*
 * Returns the name of the service that the agent serves, or NULL. Valid until
 * the next document.
 */
const char *dy_agent_service(const dy_agent_t *agent);

#endif
