#ifndef DAMASKYARD_AGENT_H
#define DAMASKYARD_AGENT_H

/*
 * The agent beside a target: the core, without a network of its own.
 *
 * It owns the sessions of its target, their duplicate request caches, the
 * queue and the slots, and gives each call exactly one outcome. The process
 * around it (src/process/command/cmd_agent.c) brings datagrams, connections
 * and the clock; tests and the fuzzer bring fakes.
 *
 * What holds whatever happens, asserted inside:
 * - a (session, xid) that is not idempotent is handed to the target once;
 * - nothing of a session is handed to the target after the first message of
 *   its handover;
 * - no more calls are with the target than it has connections, one call on
 *   each, so that a late answer can reach no other call;
 * - each call has one outcome.
 *
 * Everything runs on one thread. What is passed in is borrowed for the call.
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

/* Connections to the target that carry calls, at most. */
#define DY_AGENT_SLOTS_MAX 64

/* The connection that carries cancellations; calls use 0 and up. */
#define DY_AGENT_CANCEL_LINK DY_AGENT_SLOTS_MAX
#define DY_AGENT_LINKS (DY_AGENT_SLOTS_MAX + 1)

/*
 * A target that was not announced for this long takes no call, in ms: three
 * announcements of one a second, so that one lost datagram is no outage.
 */
#define DY_TARGET_LEASE_MS 3000

/*
 * A target that has taken no call for this long, in ms, is taken for lost: its
 * sessions are handed over, if another target of the service can take them.
 * Twice the lease, so that a target that is merely started anew keeps them.
 */
#define DY_TARGET_LOST_TIMEOUT_MS 6000

/* Call dy_agent_tick() this often, in ms. */
#define DY_AGENT_TICK_INTERVAL_MS 50

/*
 * A planned stop that cannot hand its sessions over (no successor, no
 * majority of control) ends after this, in ms: below the 90 s after which a
 * service manager kills.
 */
#define DY_AGENT_STOP_TIMEOUT_MS 60000

/*
 * An agent that has left passes calls on for this long, in ms: balancers
 * learn of it within a poll and a half, 750 ms, where nothing fails.
 */
#define DY_AGENT_LINGER_MS 5000

/* Agents that one call passes through, at most. */
#define DY_AGENT_HOPS_MAX 4

typedef struct dy_agent dy_agent_t;

/*
 * What the core asks of the process around it. None may call back into the
 * core.
 */
typedef struct dy_agent_callbacks {
	uint64_t (*now_us)(void *context); /* monotonic */
	void (*send_answer)(void *context, const dy_address_t *to,
			    dy_answer_t *answer);
	void (*send_bounce)(void *context, const dy_address_t *to,
			    dy_bounce_t *bounce);
	/* Pass a call on to another agent. */
	void (*relay_forward)(void *context, const dy_address_t *to,
			      dy_forward_t *forward);
	void (*send_handover)(void *context, const dy_address_t *to,
			      dy_handover_t *handover);
	/* Connect; dy_agent_link_up() or dy_agent_link_down() follows. */
	void (*link_open)(void *context, unsigned link,
			  const dy_address_t *target);
	/* Close at once; nothing more is heard of this connection. */
	void (*link_close)(void *context, unsigned link);
	/*
	 * Send one whole message. Returns 0, or -1 only if no byte of it has
	 * been handed to the socket.
	 */
	int (*link_send)(void *context, unsigned link, const uint8_t *bytes,
			 size_t len);
	/* Tell control of this agent's state. */
	void (*report_state)(void *context, dy_member_state_t state,
			     const uint64_t *successors, unsigned count);
	/*
	 * What the agent says of itself in its polls has changed; 0 slots
	 * while its target answers nothing.
	 */
	void (*report_info)(void *context, const dy_announcement_t *target);
	/*
	 * It has left, and no call needs it any more: the process may end, or
	 * create a new core for the target's next life.
	 */
	void (*left)(void *context);
} dy_agent_callbacks_t;

typedef struct dy_agent_config {
	const char *name;
	const char *environment;
	const char *domain;
	dy_address_t address; /* of its internal endpoint, for tokens */
	uint64_t seed;	      /* random, new at each start */
	dy_keyring_t *keyring;
	dy_metrics_t *metrics;
	const dy_agent_callbacks_t *callbacks;
	void *context;
} dy_agent_config_t;

/* config is copied; what it points to must outlive the agent. */
dy_agent_t *dy_agent_create(const dy_agent_config_t *config);

/* Free it. Calls in progress get no answer any more. */
void dy_agent_destroy(dy_agent_t *agent);

/* From control: the incarnation granted, members, and the end of a poll. */
void dy_agent_set_incarnation(dy_agent_t *agent, uint64_t incarnation);
void dy_agent_update_member(dy_agent_t *agent, const dy_member_t *member);
void dy_agent_caught_up(dy_agent_t *agent);

/* Whether its failure domain is evacuated: no new session is opened. */
void dy_agent_set_evacuated(dy_agent_t *agent, int evacuated);

/* Whether a majority of control has confirmed this agent lately. */
void dy_agent_set_lease(dy_agent_t *agent, int held);

/*
 * Another process holds this agent's name. Nothing is opened, queued or
 * handed to the target any more; calls that the target has are finished.
 */
void dy_agent_supersede(dy_agent_t *agent);

/*
 * Take a document. The agent serves the first service that accepts its
 * target; where there is none any more, it drains.
 */
void dy_agent_set_document(dy_agent_t *agent, const dy_document_t *document);

/*
 * Take an announcement of the target; *result is the reply to it. The first
 * one binds the agent to its service, unless that target is draining.
 */
void dy_agent_receive_announcement(dy_agent_t *agent,
				   const dy_announcement_t *announcement,
				   dy_announce_result_t *result);

/* Take a call that a balancer, or another agent, has forwarded. */
void dy_agent_receive_forward(dy_agent_t *agent, const dy_address_t *from,
			      const dy_forward_t *forward);

/*
 * A connection to the target stands, is gone, or brought one whole message.
 * A message larger than the process takes arrives as bytes NULL.
 */
void dy_agent_link_up(dy_agent_t *agent, unsigned link);
void dy_agent_link_down(dy_agent_t *agent, unsigned link);
void dy_agent_link_receive(dy_agent_t *agent, unsigned link,
			   const uint8_t *bytes, size_t len);

/*
 * Take sessions from an agent that leaves. result's array is allocated and
 * freed by xdr_free().
 */
void dy_agent_receive_handover(dy_agent_t *agent, const dy_handover_t *handover,
			       dy_handover_result_t *result);
void dy_agent_receive_handover_result(dy_agent_t *agent,
				      const dy_handover_result_t *result);

/*
 * Leave: take no new flow, end what is in progress, hand the sessions over.
 * why is a plain word for the log. `ends` says that the process must end, if
 * need be without a successor.
 */
void dy_agent_drain(dy_agent_t *agent, const char *why, int ends);

/* Do what is due. */
void dy_agent_tick(dy_agent_t *agent);

dy_member_state_t dy_agent_state(const dy_agent_t *agent);
unsigned dy_agent_session_count(const dy_agent_t *agent);
uint64_t dy_agent_id(const dy_agent_t *agent);
void dy_agent_load(const dy_agent_t *agent, dy_load_t *load);

/*
 * The service that it serves, or NULL. Valid until the next document.
 */
const char *dy_agent_service(const dy_agent_t *agent);

#endif
