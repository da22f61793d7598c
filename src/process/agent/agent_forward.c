#include "agent_private.h"

#include <rpc/rpc.h>

/* A call as it came in, with what was read from it. */
typedef struct arrival {
	const dy_forward_t *forward;
	route_t route;
	dy_rpc_call_t message;
	dy_token_t token;
	int has_token;
	int is_null;
	int idempotent;
} arrival_t;

static int is_idempotent(const dy_agent_t *agent, const dy_rpc_call_t *message)
{
	unsigned i;

	if (message->procedure == NULLPROC)
		return 1;
	/* Also a cancellation belongs to its own session alone. */
	if (message->program != agent->service.program)
		return 0;
	for (i = 0; i < agent->service.idempotent_count; i++)
		if (agent->service.idempotent[i] == message->procedure)
			return 1;
	return 0;
}

static void refuse(dy_agent_t *agent, const arrival_t *arrival,
		   dy_verdict_t verdict, dy_reason_t reason, uint32_t retry_ms)
{
	dy_refusal_t refusal = { verdict, reason, retry_ms };

	agent_count_refusal(agent, verdict);
	agent_note(agent,
		   verdict == DY_NOT_RUN ? EVENT_CALLS_NOT_RUN
					 : EVENT_CALLS_MAY_HAVE_RUN,
		   "reason=%s xid=%08x", dy_reason_name(reason),
		   arrival->message.xid);
	agent_answer_refusal(agent, &arrival->route, arrival->message.xid,
			     &refusal);
}

/* For a call that is idempotent or opens a flow: another may take it. */
static void send_elsewhere(dy_agent_t *agent, const arrival_t *arrival,
			   dy_reason_t reason, uint32_t retry_ms)
{
	dy_assert(arrival->idempotent);
	if (arrival->forward->hops < DY_AGENT_HOPS_MAX)
		agent_bounce(agent, &arrival->route, arrival->forward, reason);
	else
		refuse(agent, arrival, DY_NOT_RUN, reason, retry_ms);
}

/* Whether the answer needs no new token. */
static int is_current(const dy_agent_t *agent, const dy_token_t *token)
{
	return token->agent == agent->id &&
	       token->incarnation == agent->incarnation &&
	       !dy_keyring_outdated(agent->config.keyring, token->key_id);
}

static int read_token(dy_agent_t *agent, arrival_t *arrival)
{
	switch (dy_token_load(agent->config.keyring,
			      &arrival->message.credential, &arrival->token)) {
	case DY_TOKEN_OK:
		arrival->has_token = 1;
		if (is_current(agent, &arrival->token))
			arrival->route.session = arrival->token.session;
		return 0;
	case DY_TOKEN_NONE:
		return 0;
	case DY_TOKEN_EXPIRED:
		agent_note(agent, EVENT_TOKEN_EXPIRED, "xid=%08x",
			   arrival->message.xid);
		if (arrival->idempotent)
			return 0;
		refuse(agent, arrival, DY_MAY_HAVE_RUN,
		       DY_REASON_UNKNOWN_SESSION, 0);
		return -1;
	default:
		agent_note(agent, EVENT_TOKEN_FORGED, "xid=%08x",
			   arrival->message.xid);
		return -1;
	}
}

/*
 * Guards against an answer from a stranger: an address that was used again by
 * another service's agent, or a balancer whose table is old. What another
 * service's procedures do is not known here, so that only NULL is sent
 * elsewhere; any other call is dropped, because its own agent may have run a
 * copy of it; the caller sends it again, by when the table has caught up.
 */
static int is_misdirected(dy_agent_t *agent, const arrival_t *arrival)
{
	const dy_forward_t *forward = arrival->forward;

	if (agent->service.known && forward->service == agent->service.id &&
	    forward->agent == agent->id)
		return 0;
	agent_note(
		agent, EVENT_FORWARD_MISDIRECTED, "service=%016lx agent=%016lx",
		(unsigned long)forward->service, (unsigned long)forward->agent);
	if (arrival->is_null)
		send_elsewhere(agent, arrival, DY_REASON_NO_TARGET, RETRY_MS);
	return 1;
}

/* An agent whose name another process holds answers for nothing any more. */
static int is_superseded(dy_agent_t *agent, const arrival_t *arrival)
{
	if (agent->superseded && arrival->is_null)
		send_elsewhere(agent, arrival, DY_REASON_NO_TARGET, RETRY_MS);
	return agent->superseded;
}

/* Why no new session may be opened here just now, or DY_REASON_NONE. */
static dy_reason_t why_not_open(const dy_agent_t *agent)
{
	if (agent->state == DY_MEMBER_JOINING ||
	    !dy_keyring_ready(agent->config.keyring) || !agent->lease_held)
		return DY_REASON_NOT_READY;
	if (agent->state != DY_MEMBER_SERVING || agent->evacuated)
		return DY_REASON_DRAINING;
	if (!agent_target_answers(agent))
		return DY_REASON_TARGET_LOST;
	if (dy_sessions_count(agent->sessions) >=
	    dy_sessions_cap(agent->sessions))
		return DY_REASON_SESSION_LIMIT;
	return DY_REASON_NONE;
}

static dy_session_t *open_session(dy_agent_t *agent, const arrival_t *arrival,
				  uint64_t id)
{
	const dy_rpc_auth_t *credential = &arrival->message.credential;
	uint64_t caller = dy_sessions_caller_hash(
		agent->sessions, &arrival->route.caller, credential);
	dy_reason_t reason = why_not_open(agent);
	uint32_t retry_ms;

	if (reason != DY_REASON_NONE) {
		send_elsewhere(agent, arrival, reason, RETRY_MS);
		return NULL;
	}
	retry_ms = dy_session_rate_limit_admit(&agent->crowd, agent->rand,
					       agent_now_ms(agent));
	if (retry_ms) {
		agent_note(agent, EVENT_SESSIONS_CROWDED, "retry_ms=%u",
			   retry_ms);
		refuse(agent, arrival, DY_NOT_RUN, DY_REASON_OVERLOAD,
		       retry_ms);
		return NULL;
	}
	agent_count(agent, EVENT_SESSIONS_OPENED);
	return dy_sessions_open(agent->sessions, id, caller, credential,
				agent_now_ms(agent));
}

static void answer_copy(dy_agent_t *agent, dy_session_t *session,
			const arrival_t *arrival, const dy_drc_found_t *found)
{
	dy_refusal_t refusal;

	if (found->state == DY_DRC_ANSWERED) {
		agent_count(agent, EVENT_COPIES_ANSWERED);
		agent_answer(agent, session, &arrival->route,
			     arrival->message.xid, found->status,
			     found->results, found->results_len);
		return;
	}
	/* The cache keeps the verdict, not when to come back. */
	refusal = found->refusal;
	if (refusal.verdict == DY_NOT_RUN)
		refusal.retry_after_ms = RETRY_MS;
	agent_note(agent, EVENT_COPIES_REFUSED, "reason=%s xid=%08x",
		   dy_reason_name(refusal.reason), arrival->message.xid);
	agent_answer_refusal(agent, &arrival->route, arrival->message.xid,
			     &refusal);
}

/* Returns 1 if the call is a copy of one that is known; it is dealt with. */
static int take_copy(dy_agent_t *agent, dy_session_t *session,
		     const arrival_t *arrival)
{
	call_t *call = agent_call_find(session, arrival->message.xid);
	dy_drc_found_t found;

	if (call) {
		/* The answer goes to the balancer that the caller used last. */
		call->route = arrival->route;
		agent_count(agent, EVENT_COPIES_IN_PROGRESS);
		return 1;
	}
	if (dy_drc_find(session->drc, arrival->message.xid, &found) ==
	    DY_DRC_NEW)
		return 0;
	dy_assert(found.state != DY_DRC_IN_PROGRESS);
	answer_copy(agent, session, arrival, &found);
	return 1;
}

static void serve(dy_agent_t *agent, dy_session_t *session,
		  const arrival_t *arrival)
{
	dy_sessions_touch(agent->sessions, session, agent_now_ms(agent));
	if (arrival->message.program == DY_CALLER_PROGRAM &&
	    arrival->message.procedure == DY_CALLER_CANCEL) {
		agent_cancel_call(agent, session, &arrival->route,
				  &arrival->message);
		return;
	}
	if (arrival->is_null) {
		agent_answer(agent, session, &arrival->route,
			     arrival->message.xid, SUCCESS, NULL, 0);
		return;
	}
	if (take_copy(agent, session, arrival))
		return;
	if (session->state == DY_SESSION_CLOSING) {
		agent_count(agent, EVENT_SESSION_CLOSING);
		return;
	}
	/* A pull whose own target is away may be served by another one. */
	if (arrival->idempotent && !agent_target_answers(agent)) {
		send_elsewhere(agent, arrival, DY_REASON_TARGET_LOST, RETRY_MS);
		return;
	}
	agent_call_admit(agent, session, &arrival->route, &arrival->message,
			 arrival->idempotent);
}

/*
 * The session is known to be gone, with what it remembered. A non-idempotent
 * call may be a copy of one that ran.
 */
static void serve_orphan(dy_agent_t *agent, const arrival_t *arrival)
{
	dy_session_t *session;
	uint64_t id;

	agent_note(agent, EVENT_SESSION_UNKNOWN, "session=%016lx",
		   (unsigned long)arrival->token.session);
	if (!arrival->idempotent) {
		refuse(agent, arrival, DY_MAY_HAVE_RUN,
		       DY_REASON_UNKNOWN_SESSION, 0);
		return;
	}
	id = dy_sessions_opening_id(agent->sessions, &arrival->route.caller,
				    arrival->message.xid);
	session = dy_sessions_find(agent->sessions, id);
	if (!session)
		session = open_session(agent, arrival, id);
	if (session)
		serve(agent, session, arrival);
}

static void serve_session(dy_agent_t *agent, dy_session_t *session,
			  const arrival_t *arrival)
{
	if (session->state == DY_SESSION_LOCAL ||
	    session->state == DY_SESSION_CLOSING)
		serve(agent, session, arrival);
	else if (agent_leave_relay(agent, session, &arrival->route,
				   arrival->forward))
		serve_orphan(agent, arrival);
}

/*
 * A call of a session that ended here for want of use: every call of it
 * ended DY_RETRANSMIT_WINDOW_MS ago or earlier, so this one is no copy of any.
 */
static void serve_expired(dy_agent_t *agent, const arrival_t *arrival)
{
	if (arrival->idempotent) {
		serve_orphan(agent, arrival);
		return;
	}
	agent_note(agent, EVENT_SESSION_UNKNOWN, "session=%016lx",
		   (unsigned long)arrival->token.session);
	refuse(agent, arrival, DY_NOT_RUN, DY_REASON_UNKNOWN_SESSION, 0);
}

/*
 * An idempotent call that its own target cannot take: it is run for once,
 * and the caller keeps the token of its own agent.
 */
static void serve_guest(dy_agent_t *agent, const arrival_t *arrival)
{
	dy_session_t *session;
	uint64_t id;

	id = dy_sessions_opening_id(agent->sessions, &arrival->route.caller,
				    arrival->message.xid);
	session = dy_sessions_find(agent->sessions, id);
	if (!session) {
		session = open_session(agent, arrival, id);
		if (!session)
			return;
		session->transient = 1;
	}
	serve(agent, session, arrival);
	/* It has gone already if its call has ended. */
	session = dy_sessions_find(agent->sessions, id);
	if (session && session->transient && dy_list_empty(&session->calls))
		dy_sessions_remove(agent->sessions, session);
}

static void serve_foreign(dy_agent_t *agent, const arrival_t *arrival)
{
	const dy_token_t *token = &arrival->token;
	int is_pull = arrival->idempotent && !arrival->is_null;

	switch (agent_member_fate(agent, token->agent, token->incarnation)) {
	case OWNER_DEAD:
		serve_orphan(agent, arrival);
		return;
	case OWNER_LEFT:
		if (agent_leave_pass(agent, token, &arrival->route,
				     arrival->forward))
			serve_orphan(agent, arrival);
		return;
	case OWNER_MAY_LIVE:
		break;
	}
	if (is_pull && token->agent != agent->id) {
		serve_guest(agent, arrival);
		return;
	}
	/* A balancer that got no answer from its owner sent it here. */
	if (arrival->is_null && !arrival->forward->reply_to.port) {
		serve_orphan(agent, arrival);
		return;
	}
	/* Its owner may be sending it here this moment. */
	agent_note(agent, EVENT_AWAITS_HANDOVER, "session=%016lx",
		   (unsigned long)token->session);
}

static void serve_token(dy_agent_t *agent, const arrival_t *arrival)
{
	const dy_token_t *token = &arrival->token;
	dy_session_t *session;
	int own = token->agent == agent->id &&
		  token->incarnation == agent->incarnation;

	if (token->service != agent->service.id) {
		agent_note(agent, EVENT_TOKEN_OTHER_SERVICE, "service=%016lx",
			   (unsigned long)token->service);
		refuse(agent, arrival, DY_NOT_RUN, DY_REASON_UNKNOWN_SESSION,
		       0);
		return;
	}
	session = dy_sessions_find(agent->sessions, token->session);
	if (session && (own || session->received))
		serve_session(agent, session, arrival);
	else if (own)
		serve_expired(agent, arrival);
	else
		serve_foreign(agent, arrival);
}

/* Without a token: a flow opens, or a pull is served and opens one. */
static void serve_new(dy_agent_t *agent, const arrival_t *arrival)
{
	dy_session_t *session;
	uint64_t id;

	if (!arrival->idempotent) {
		agent_note(agent, EVENT_TOKEN_MISSING, "xid=%08x",
			   arrival->message.xid);
		agent_answer_too_weak(agent, &arrival->route,
				      arrival->message.xid);
		return;
	}
	id = dy_sessions_opening_id(agent->sessions, &arrival->route.caller,
				    arrival->message.xid);
	session = dy_sessions_find(agent->sessions, id);
	if (!session)
		session = open_session(agent, arrival, id);
	if (session)
		serve_session(agent, session, arrival);
}

static int read_arrival(dy_agent_t *agent, const dy_address_t *from,
			const dy_forward_t *forward, arrival_t *arrival)
{
	dy_rpc_call_t *message = &arrival->message;

	arrival->forward = forward;
	arrival->route.to = forward->reply_to.port ? forward->reply_to : *from;
	arrival->route.caller = forward->caller;
	arrival->route.socket = forward->socket;
	if (dy_rpc_parse_call((const uint8_t *)forward->datagram.datagram_val,
			      forward->datagram.datagram_len, message)) {
		agent_note(agent, EVENT_FORWARD_MALFORMED, "bytes=%u",
			   forward->datagram.datagram_len);
		return -1;
	}
	arrival->is_null = message->procedure == NULLPROC;
	arrival->idempotent = is_idempotent(agent, message);
	return 0;
}

/* No copy of such a call ever fits this service: it has not run. */
static int is_other_program(dy_agent_t *agent, const arrival_t *arrival)
{
	const dy_rpc_call_t *message = &arrival->message;

	if (message->program == agent->service.program &&
	    message->program_version == agent->service.program_version)
		return 0;
	if (message->program == DY_CALLER_PROGRAM &&
	    message->program_version == DY_CALLER_V1 && arrival->has_token)
		return 0;
	refuse(agent, arrival, DY_NOT_RUN, DY_REASON_NO_TARGET, 0);
	return 1;
}

void dy_agent_receive_forward(dy_agent_t *agent, const dy_address_t *from,
			      const dy_forward_t *forward)
{
	arrival_t arrival = { 0 };

	if (read_arrival(agent, from, forward, &arrival) ||
	    is_misdirected(agent, &arrival) || is_superseded(agent, &arrival))
		return;
	if (read_token(agent, &arrival) || is_other_program(agent, &arrival))
		return;
	if (arrival.has_token)
		serve_token(agent, &arrival);
	else
		serve_new(agent, &arrival);
}
