#ifndef DAMASKYARD_AGENT_PRIVATE_H
#define DAMASKYARD_AGENT_PRIVATE_H

/* Internal interfaces of the agent's core, grouped by source file. */

#include "damaskyard/admission.h"
#include "damaskyard/agent.h"
#include "damaskyard/rate_limit.h"
#include "damaskyard/burn.h"
#include "damaskyard/invariant.h"
#include "damaskyard/session.h"
#include "damaskyard/verdict.h"

/*
 * Maximum number of calls in progress of one session. An ordinary caller makes
 * one call at a time.
 */
#define SESSION_CALLS_MAX 64

/*
 * Retry delay sent with a refusal of unknown duration, in ms: the announcement
 * interval of a target.
 */
#define RETRY_AFTER_MS 1000

/* Each event has a counter, and a log line unless its level is DEBUG. */
typedef enum agent_event {
	EVENT_CALLS_ANSWERED,
	EVENT_CALLS_NOT_RUN,
	EVENT_CALLS_MAY_HAVE_RUN,
	EVENT_CALLS_SENT,
	EVENT_COPIES_IN_PROGRESS,
	EVENT_COPIES_ANSWERED,
	EVENT_COPIES_REFUSED,
	EVENT_SESSIONS_OPENED,
	EVENT_SESSIONS_EXPIRED,
	EVENT_SESSIONS_RECEIVED,
	EVENT_SESSIONS_MOVED,
	EVENT_SESSIONS_LOST,
	EVENT_SESSION_UNKNOWN,
	EVENT_SESSIONS_CROWDED,
	EVENT_FORWARD_MALFORMED,
	EVENT_FORWARD_MISDIRECTED,
	EVENT_FORWARD_BOUNCED,
	EVENT_FORWARD_RELAYED,
	EVENT_FORWARD_HOPS_EXCEEDED,
	EVENT_TOKEN_FORGED,
	EVENT_TOKEN_EXPIRED,
	EVENT_TOKEN_MISSING,
	EVENT_TOKEN_OTHER_SERVICE,
	EVENT_AWAITS_HANDOVER,
	EVENT_SESSION_CLOSING,
	EVENT_DRC_FULL,
	EVENT_DRC_OVERFLOW,
	EVENT_TARGET_ANNOUNCED,
	EVENT_TARGET_OTHER_SERVICE,
	EVENT_TARGET_STALE,
	EVENT_TARGET_MALFORMED,
	EVENT_TARGET_RESTARTED,
	EVENT_TARGET_LEASE_LAPSED,
	EVENT_TARGET_AWAY,
	EVENT_TARGET_BACK,
	EVENT_LINK_UP,
	EVENT_LINK_DOWN,
	EVENT_PROBE_UNANSWERED,
	EVENT_ANSWER_BAD,
	EVENT_ANSWER_TOO_LARGE,
	EVENT_ANSWER_SHED,
	EVENT_DEADLINE_PASSED,
	EVENT_CANCELS,
	EVENT_CANCELS_GRANTED,
	EVENT_HANDOVER_SENT,
	EVENT_HANDOVER_STALE,
	EVENT_HANDOVER_MALFORMED,
	EVENT_SUPERSEDED,
	EVENT_DRAIN_STARTED,
	EVENT_SUCCESSORS_CHOSEN,
	EVENT_NO_SUCCESSOR,
	EVENT_LEFT,
	EVENT_CONTROL_LEASE,
	AGENT_EVENTS
} agent_event_t;

/* The destination of the answer to a call. */
typedef struct route {
	dy_address_t balancer;
	dy_address_t caller;
	uint64_t socket;
	uint64_t session; /* of the caller's token if that is current, or 0 */
} route_t;

typedef struct call {
	dy_admission_item_t admission;
	dy_list_t session_link; /* in the calls of its session */
	dy_session_t *session;
	route_t route;
	uint32_t xid; /* the caller's */
	uint32_t target_xid;
	uint32_t procedure;
	int idempotent;
	dy_call_stage_t stage;
	unsigned link_index; /* valid if has_link */
	int has_link;
	uint64_t deadline_us;
	uint8_t *args;
	size_t args_len;
} call_t;

typedef enum link_state {
	LINK_CLOSED,
	LINK_OPENING,
	LINK_PROBING, /* connected; the NULL call is not answered yet */
	LINK_UP
} link_state_t;

typedef struct target_link {
	link_state_t state;
	call_t *call;
	uint32_t probe_xid;
	uint64_t probe_sent_ms;
	uint64_t retry_at_ms;
	uint32_t attempts;
} target_link_t;

/* A cancellation that is queued for the target or sent to it. */
typedef struct cancel {
	uint64_t session;
	uint32_t xid; /* of the call to cancel */
	uint32_t target_xid;
	uint64_t sent_ms; /* 0 while queued */
	uint64_t created_ms;
	int needs_reply;
	uint32_t reply_xid;
	route_t route;
} cancel_t;

/* A member, as last reported by control. */
typedef struct member {
	uint64_t id;
	uint64_t incarnation;
	dy_member_state_t state;
	dy_address_t address;
	char service[DY_NAME_BYTES + 1]; /* empty unless an agent of this
					    environment */
	uint32_t slots;
} member_t;

/* An incarnation that has left, with the incarnations of its successors. */
typedef struct departed {
	uint64_t incarnation;
	uint64_t successors[DY_SUCCESSORS_MAX];
	unsigned count;
} departed_t;

typedef struct agent_target {
	int known;
	char service[DY_NAME_BYTES + 1];
	char labels[DY_LABELS_BYTES + 1];
	dy_address_t address;
	uint32_t slots;
	uint32_t connections;
	uint64_t incarnation;
	int cold;
	int takes_cancel;
	uint64_t announced_ms;
	int lease_valid;
	uint64_t unresponsive_since_ms; /* 0 while it answers */
	int unresponsive;		/* as reported to control */
} agent_target_t;

typedef struct agent_service {
	double objective;
	int known;
	char name[DY_NAME_BYTES + 1];
	uint64_t id;
	uint32_t program;
	uint32_t program_version;
	uint32_t *idempotent;
	unsigned idempotent_count;
	uint32_t slots;
	uint32_t connections;
	uint32_t queue;
	uint32_t deadline_ms;
	uint32_t session_idle_s;
} agent_service_t;

/* An agent that was sent an offer to become a successor. */
typedef struct candidate {
	uint64_t id;
	uint64_t incarnation;
	uint64_t offer_sent_ms;
	int answered;
} candidate_t;

struct dy_agent {
	dy_agent_config_t config;
	uint64_t id;
	uint64_t incarnation;
	dy_member_state_t state;
	int lease_held;
	int evacuated; /* the failure domain of this agent is evacuated */
	int superseded;
	agent_service_t service;
	agent_target_t target;
	GHashTable *members;  /* member_t by id */
	GHashTable *departed; /* departed_t by incarnation */

	GRand *rand;
	dy_sessions_t *sessions;
	dy_admission_t *admission;
	dy_session_rate_limit_t session_rate_limit;
	dy_burn_t *burn;
	uint64_t burn_published_ms;
	unsigned rate_limit_slots; /* slots that session_rate_limit is for */
	target_link_t links[DY_AGENT_LINKS];
	unsigned slots;	   /* connections to maintain */
	unsigned links_up; /* connections in LINK_UP, without the cancel link */
	uint32_t next_xid;
	GQueue awaiting_link; /* call_t with a slot but without a connection */
	GQueue cancels;	      /* cancel_t, oldest first */

	int exit_after_drain; /* the process exits once this agent has left */
	uint64_t exit_requested_ms;
	int drain_committed; /* the drain is in control's log */
	int members_current; /* all log entries before the drain are known */
	candidate_t candidates[DY_SUCCESSORS_MAX];
	unsigned candidate_count;
	uint64_t offers_started_ms;
	int has_successors;
	uint64_t successors[DY_SUCCESSORS_MAX]; /* incarnations */
	unsigned successor_count;
	uint64_t left_ms;
	int left_committed; /* control has recorded that this agent left */
	int left_reported;  /* the callback left() was called */

	uint64_t *counters[AGENT_EVENTS];
	dy_log_limit_t limits[AGENT_EVENTS];
	uint8_t out[DY_DATAGRAM_BYTES];
	uint8_t call_out[DY_DATAGRAM_BYTES + DY_RPC_MAX_HEADER_BYTES];
};

/* agent.c */
uint64_t agent_now_us(const dy_agent_t *agent);
uint64_t agent_now_ms(const dy_agent_t *agent);

/* Apply changed limits of the target or the service. */
void agent_apply_limits(dy_agent_t *agent);

/* agent_event.c */
void agent_event_init(dy_agent_t *agent);
/* Count an event. */
void agent_count(dy_agent_t *agent, agent_event_t event);
/* Count an event and write a rate-limited log line with these pairs. */
void agent_log_event(dy_agent_t *agent, agent_event_t event, const char *pairs,
		     ...) __attribute__((format(printf, 3, 4)));
/* Count the outcome of a call for the service level objective. */
void agent_count_outcome(dy_agent_t *agent, dy_outcome_t outcome);
void agent_count_refusal(dy_agent_t *agent, dy_verdict_t verdict);

/* agent_answer.c: messages to a balancer. */
void agent_answer_refusal(dy_agent_t *agent, const route_t *route, uint32_t xid,
			  const dy_refusal_t *refusal);
void agent_answer_too_weak(dy_agent_t *agent, const route_t *route,
			   uint32_t xid);
/* Returns 0, or -1 if the answer is too large; nothing is sent then. */
int agent_answer(dy_agent_t *agent, dy_session_t *session, const route_t *route,
		 uint32_t xid, uint32_t status, const uint8_t *results,
		 size_t len);
void agent_bounce(dy_agent_t *agent, const route_t *route,
		  const dy_forward_t *forward, dy_reason_t reason);

/* agent_call.c: a call from admission to its outcome. */
/* Returns the call in progress with this xid, or NULL. */
call_t *agent_call_find(const dy_session_t *session, uint32_t xid);
void agent_call_admit(dy_agent_t *agent, dy_session_t *session,
		      const route_t *route, const dy_rpc_call_t *message,
		      int idempotent);
/* Apply an event to a call. Ends the call if the event decides its outcome. */
dy_decision_t agent_call_event(dy_agent_t *agent, call_t *call,
			       dy_call_event_t event, uint32_t retry_ms);
/* End a call with the target's reply as the answer. */
void agent_call_complete(dy_agent_t *agent, call_t *call,
			 const dy_rpc_reply_t *reply);
/*
 * Refuse the queued calls that have waited too long. Then start calls while
 * slots and connections are free.
 */
void agent_call_dispatch(dy_agent_t *agent);
/* End the calls with a slot whose deadline has passed. */
void agent_call_expire_admitted(dy_agent_t *agent);
/* End every call that was not sent to the target. */
void agent_call_refuse_unsent(dy_agent_t *agent, dy_call_event_t event);
/* Free all calls without an answer. */
void agent_call_drop_all(dy_agent_t *agent);

/* agent_target.c: the target and the connections to it. */
/* Whether its service is known and its lease is valid. */
int agent_target_is_ready(const dy_agent_t *agent);
/* Whether it is ready and a connection to it is up, so that it gets calls. */
int agent_target_is_responsive(const dy_agent_t *agent);
void agent_target_set_slots(dy_agent_t *agent);
void agent_link_close(dy_agent_t *agent, unsigned index);
void agent_target_tick(dy_agent_t *agent);

/* agent_cancel.c: cancellations, by a caller or after a deadline. */
void agent_cancel_receive_call(dy_agent_t *agent, dy_session_t *session,
			       const route_t *route,
			       const dy_rpc_call_t *message);
void agent_cancel_notify_target(dy_agent_t *agent, const call_t *call);
void agent_cancel_receive_reply(dy_agent_t *agent, const uint8_t *bytes,
				size_t len);
void agent_cancel_fail_all(dy_agent_t *agent);
void agent_cancel_drop_all(dy_agent_t *agent);
void agent_cancel_tick(dy_agent_t *agent);

/* agent_member.c: the members, as reported by control. */
typedef enum owner_status {
	OWNER_MAYBE_ALIVE,
	OWNER_LEFT,
	OWNER_DEAD
} owner_status_t;
member_t *agent_member_find(const dy_agent_t *agent, uint64_t id);
owner_status_t agent_member_owner_status(const dy_agent_t *agent, uint64_t id,
					 uint64_t incarnation);

/*
 * Follow the successors of a session, from the given incarnation over those
 * that have left. Returns the member that owns the session now, or NULL.
 */
const member_t *agent_member_current_owner(const dy_agent_t *agent,
					   uint64_t session,
					   uint64_t incarnation);
/*
 * Write the ids of the agents that can receive this agent's sessions to
 * chosen. Returns their number.
 */
unsigned agent_member_choose_successors(const dy_agent_t *agent,
					uint64_t chosen[DY_SUCCESSORS_MAX]);

/* agent_successors.c: offers to successors, until has_successors is set. */
void agent_successors_tick(dy_agent_t *agent);
void agent_successors_receive_result(dy_agent_t *agent,
				     const dy_handover_result_t *result);
int agent_successors_pending(const dy_agent_t *agent);

/* agent_drain.c: the drain and the relay of calls to successors. */
void agent_drain_tick(dy_agent_t *agent);
/*
 * Relay a call of a moved session to its owner. Returns 0, also if the call
 * was dropped because of too many hops, or -1 if the session has no owner.
 */
int agent_drain_relay_session(dy_agent_t *agent, dy_session_t *session,
			      const route_t *route,
			      const dy_forward_t *forward);

/* The same for a call whose token names an incarnation that has left. */
int agent_drain_relay_token(dy_agent_t *agent, const dy_token_t *token,
			    const route_t *route, const dy_forward_t *forward);

#endif
