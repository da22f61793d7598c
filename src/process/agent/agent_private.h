#ifndef DAMASKYARD_AGENT_PRIVATE_H
#define DAMASKYARD_AGENT_PRIVATE_H

/* The parts of the agent's core, one file each. */

#include "damaskyard/admission.h"
#include "damaskyard/agent.h"
#include "damaskyard/rate_limit.h"
#include "damaskyard/burn.h"
#include "damaskyard/invariant.h"
#include "damaskyard/session.h"
#include "damaskyard/verdict.h"

/* Calls in progress of one session, at most; an ordinary client makes one. */
#define SESSION_CALLS_MAX 64

/* For a refusal whose end cannot be told: a target's announcement, in ms. */
#define RETRY_MS 1000

/* Each has a counter, and a log line unless its level is DEBUG. */
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

/* Where the answer to a call goes. */
typedef struct route {
	dy_address_t to; /* the balancer */
	dy_address_t caller;
	uint64_t socket;
	uint64_t session; /* of the current token that the caller holds; or 0 */
} route_t;

typedef struct call {
	dy_admission_item_t admission;
	dy_list_t link; /* in its session */
	dy_session_t *session;
	route_t route;
	uint32_t xid; /* the caller's */
	uint32_t target_xid;
	uint32_t procedure;
	int idempotent;
	dy_call_stage_t stage;
	unsigned on_link; /* once sent, or being sent */
	int has_link;
	uint64_t deadline_us;
	uint8_t *args;
	size_t args_len;
} call_t;

typedef enum link_state {
	LINK_CLOSED,
	LINK_OPENING,
	LINK_PROBING, /* connected; the target has not answered NULL yet */
	LINK_UP
} link_state_t;

typedef struct target_link {
	link_state_t state;
	call_t *call;
	uint32_t probe_xid;
	uint64_t probed_ms;
	uint64_t retry_at_ms;
	uint32_t attempts;
} target_link_t;

/* A cancellation on its way to the target. */
typedef struct cancel {
	uint64_t session;
	uint32_t xid; /* of the call that is meant */
	uint32_t target_xid;
	uint64_t sent_ms; /* 0: waits for its turn */
	uint64_t made_ms;
	int wants_reply;
	uint32_t reply_xid;
	route_t route;
} cancel_t;

/* What control says of a member. */
typedef struct member {
	uint64_t id;
	uint64_t incarnation;
	dy_member_state_t state;
	dy_address_t address;
	char service[DY_NAME_BYTES + 1]; /* of agents of this environment */
	uint32_t slots;
} member_t;

/* An incarnation that has left, and to whom. */
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
	int healthy;
	uint64_t silent_ms; /* since when it answers nothing; 0: it does */
	int away;	    /* control was told so */
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

/* An agent that was asked whether it would be a successor. */
typedef struct candidate {
	uint64_t id;
	uint64_t incarnation;
	uint64_t asked_ms;
	int answered;
} candidate_t;

struct dy_agent {
	dy_agent_config_t config;
	uint64_t id;
	uint64_t incarnation;
	dy_member_state_t state;
	int lease_held;
	int evacuated; /* its failure domain is */
	int superseded;
	agent_service_t service;
	agent_target_t target;
	GHashTable *members;  /* id: member_t */
	GHashTable *departed; /* incarnation: departed_t */

	GRand *rand;
	dy_sessions_t *sessions;
	dy_admission_t *admission;
	dy_session_rate_limit_t crowd;
	dy_burn_t *burn;
	uint64_t burn_published_ms;
	unsigned crowd_slots; /* for which it was made */
	target_link_t links[DY_AGENT_LINKS];
	unsigned slots; /* connections wanted */
	unsigned up;	/* that stand */
	uint32_t next_xid;
	GQueue claimed; /* of call_t that have a slot and no connection yet */
	GQueue cancels; /* of cancel_t, oldest first */

	int ends;
	uint64_t ends_ms;
	int drain_recorded; /* control has taken up that this agent drains */
	int view_current;   /* and all that it took up before is known here */
	candidate_t candidates[DY_SUCCESSORS_MAX];
	unsigned candidate_count;
	uint64_t offered_ms;
	int has_successors;
	uint64_t successors[DY_SUCCESSORS_MAX]; /* incarnations */
	unsigned successor_count;
	uint64_t left_ms;
	int left_recorded;
	int left_told;

	uint64_t *counters[AGENT_EVENTS];
	dy_log_limit_t limits[AGENT_EVENTS];
	uint8_t out[DY_DATAGRAM_BYTES];
	uint8_t call_out[DY_DATAGRAM_BYTES + DY_RPC_MAX_HEADER_BYTES];
};

/* agent.c */
uint64_t agent_now_us(const dy_agent_t *agent);
uint64_t agent_now_ms(const dy_agent_t *agent);

/* Take up a change of the target's or the document's limits. */
void agent_apply_limits(dy_agent_t *agent);

/* agent_event.c: count an event; note() writes a limited log line as well. */
void agent_event_init(dy_agent_t *agent);
void agent_count(dy_agent_t *agent, agent_event_t event);
void agent_note(dy_agent_t *agent, agent_event_t event, const char *pairs, ...)
	__attribute__((format(printf, 3, 4)));
/* Count what a caller got, for the service-level report. */
void agent_count_outcome(dy_agent_t *agent, dy_outcome_t outcome);
void agent_count_refusal(dy_agent_t *agent, dy_verdict_t verdict);

/* agent_answer.c: what goes back to a balancer. */
void agent_answer_refusal(dy_agent_t *agent, const route_t *route, uint32_t xid,
			  const dy_refusal_t *refusal);
void agent_answer_too_weak(dy_agent_t *agent, const route_t *route,
			   uint32_t xid);
/* Returns 0, or -1 if the answer is too large to send; nothing is then. */
int agent_answer(dy_agent_t *agent, dy_session_t *session, const route_t *route,
		 uint32_t xid, uint32_t status, const uint8_t *results,
		 size_t len);
void agent_bounce(dy_agent_t *agent, const route_t *route,
		  const dy_forward_t *forward, dy_reason_t reason);

/* agent_call.c: the life of a call. */
call_t *agent_call_find(const dy_session_t *session, uint32_t xid);
void agent_call_admit(dy_agent_t *agent, dy_session_t *session,
		      const route_t *route, const dy_rpc_call_t *message,
		      int idempotent);
/* Apply an event; ends the call if that gives it its outcome. */
dy_decision_t agent_call_event(dy_agent_t *agent, call_t *call,
			       dy_call_event_t event, uint32_t retry_ms);
void agent_call_pass(dy_agent_t *agent, call_t *call,
		     const dy_rpc_reply_t *reply);
/* Start what may start, refuse what waits in vain. */
void agent_call_pump(dy_agent_t *agent);
void agent_call_expire_started(dy_agent_t *agent);
/* End every call that has not been handed to the target. */
void agent_call_stop_unsent(dy_agent_t *agent, dy_call_event_t event);
void agent_call_drop_all(dy_agent_t *agent);

/* agent_target.c: the target and the connections to it. */
int agent_target_ready(const dy_agent_t *agent);
/* And has answered on a connection that stands: it may get new work. */
int agent_target_answers(const dy_agent_t *agent);
void agent_target_set_slots(dy_agent_t *agent);
void agent_link_close(dy_agent_t *agent, unsigned index);
void agent_target_tick(dy_agent_t *agent);

/* agent_cancel.c */
void agent_cancel_call(dy_agent_t *agent, dy_session_t *session,
		       const route_t *route, const dy_rpc_call_t *message);
void agent_cancel_tell_target(dy_agent_t *agent, const call_t *call);
void agent_cancel_receive(dy_agent_t *agent, const uint8_t *bytes, size_t len);
void agent_cancel_fail_all(dy_agent_t *agent);
void agent_cancel_drop_all(dy_agent_t *agent);
void agent_cancel_tick(dy_agent_t *agent);

/* agent_member.c: what control says of other agents. */
typedef enum owner_fate { OWNER_MAY_LIVE, OWNER_LEFT, OWNER_DEAD } owner_fate_t;
member_t *agent_member_find(const dy_agent_t *agent, uint64_t id);
owner_fate_t agent_member_fate(const dy_agent_t *agent, uint64_t id,
			       uint64_t incarnation);

/*
 * Follow a session from the agent that it was handed to, over those that have
 * left since. Returns the member that should have it now, or NULL.
 */
const member_t *agent_member_follow(const dy_agent_t *agent, uint64_t session,
				    uint64_t incarnation);
/* The agents that may take this one's sessions. Returns their number. */
unsigned agent_member_successors(const dy_agent_t *agent,
				 uint64_t chosen[DY_SUCCESSORS_MAX]);

/* agent_successors.c: until agent->has_successors is set. */
void agent_successors_tick(dy_agent_t *agent);
void agent_successors_answered(dy_agent_t *agent,
			       const dy_handover_result_t *result);
int agent_successors_pending(const dy_agent_t *agent);

/* agent_leave.c */
void agent_leave_tick(dy_agent_t *agent);
/* Pass a call of a moved session on. Returns 0, or -1 if nobody has it. */
int agent_leave_relay(dy_agent_t *agent, dy_session_t *session,
		      const route_t *route, const dy_forward_t *forward);

/* The same for a call whose token names an agent that has left. */
int agent_leave_pass(dy_agent_t *agent, const dy_token_t *token,
		     const route_t *route, const dy_forward_t *forward);

#endif
