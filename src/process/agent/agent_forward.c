#include "agent_private.h"

#include <rpc/rpc.h>

/* A forwarded call and what was parsed from it. */
typedef struct request {
	const dy_forward_t *forward;
	route_t route;
	dy_rpc_call_t message;
	dy_token_t token;
	int has_token;
	int is_null;
	int idempotent;
} request_t;

static int is_idempotent(const dy_agent_t *agent, const dy_rpc_call_t *message)
{
	unsigned i;

	if (message->procedure == NULLPROC)
		return 1;
	/* A cancellation is valid in its own session only. */
	if (message->program != agent->service.program)
		return 0;
	for (i = 0; i < agent->service.idempotent_count; i++)
		if (agent->service.idempotent[i] == message->procedure)
			return 1;
	return 0;
}

static void refuse(dy_agent_t *agent, const request_t *request,
		   dy_verdict_t verdict, dy_reason_t reason, uint32_t retry_ms)
{
	dy_refusal_t refusal = { verdict, reason, retry_ms };

	agent_count_refusal(agent, verdict);
	agent_log_event(agent,
			verdict == DY_NOT_RUN ? EVENT_CALLS_NOT_RUN
					      : EVENT_CALLS_MAY_HAVE_RUN,
			"reason=%s xid=%08x", dy_reason_name(reason),
			request->message.xid);
	agent_answer_refusal(agent, &request->route, request->message.xid,
			     &refusal);
}

/*
 * Return a call to the balancer, which sends it to another agent. Only for a
 * call that is idempotent, such as one that opens a flow.
 */
static void bounce_request(dy_agent_t *agent, const request_t *request,
			   dy_reason_t reason, uint32_t retry_ms)
{
	dy_assert(request->idempotent);
	if (request->forward->hops < DY_AGENT_HOPS_MAX)
		agent_bounce(agent, &request->route, request->forward, reason);
	else
		refuse(agent, request, DY_NOT_RUN, reason, retry_ms);
}

/* If so, the answer carries no new token. */
static int is_token_current(const dy_agent_t *agent, const dy_token_t *token)
{
	return token->agent == agent->id &&
	       token->incarnation == agent->incarnation &&
	       !dy_keyring_outdated(agent->config.keyring, token->key_id);
}

static int read_token(dy_agent_t *agent, request_t *request)
{
	switch (dy_token_load(agent->config.keyring,
			      &request->message.credential, &request->token)) {
	case DY_TOKEN_OK:
		request->has_token = 1;
		if (is_token_current(agent, &request->token))
			request->route.session = request->token.session;
		return 0;
	case DY_TOKEN_NONE:
		return 0;
	case DY_TOKEN_EXPIRED:
		agent_log_event(agent, EVENT_TOKEN_EXPIRED, "xid=%08x",
				request->message.xid);
		if (request->idempotent)
			return 0;
		refuse(agent, request, DY_MAY_HAVE_RUN,
		       DY_REASON_UNKNOWN_SESSION, 0);
		return -1;
	default:
		agent_log_event(agent, EVENT_TOKEN_FORGED, "xid=%08x",
				request->message.xid);
		return -1;
	}
}

/*
 * Guards against an answer from the wrong agent: the address may have been
 * reused by an agent of another service, or the balancer's table may be old.
 * This agent does not have the list of idempotent procedures of another
 * service, so that it bounces only NULL. Any other call is dropped, because its
 * own agent may have run a copy of it. The caller retransmits it, and by then
 * the balancer's table is up to date.
 */
static int is_misdirected(dy_agent_t *agent, const request_t *request)
{
	const dy_forward_t *forward = request->forward;

	if (agent->service.known && forward->service == agent->service.id &&
	    forward->agent == agent->id)
		return 0;
	agent_log_event(
		agent, EVENT_FORWARD_MISDIRECTED, "service=%016lx agent=%016lx",
		(unsigned long)forward->service, (unsigned long)forward->agent);
	if (request->is_null)
		bounce_request(agent, request, DY_REASON_NO_TARGET,
			       RETRY_AFTER_MS);
	return 1;
}

/* A superseded agent serves no calls; it only bounces NULL. */
static int is_superseded(dy_agent_t *agent, const request_t *request)
{
	if (agent->superseded && request->is_null)
		bounce_request(agent, request, DY_REASON_NO_TARGET,
			       RETRY_AFTER_MS);
	return agent->superseded;
}

/* Returns why no session can be opened now, or DY_REASON_NONE. */
static dy_reason_t open_refusal_reason(const dy_agent_t *agent)
{
	if (agent->state == DY_MEMBER_JOINING ||
	    !dy_keyring_ready(agent->config.keyring) || !agent->lease_held)
		return DY_REASON_NOT_READY;
	if (agent->state != DY_MEMBER_SERVING || agent->evacuated)
		return DY_REASON_DRAINING;
	if (!agent_target_is_responsive(agent))
		return DY_REASON_TARGET_LOST;
	if (dy_sessions_count(agent->sessions) >=
	    dy_sessions_cap(agent->sessions))
		return DY_REASON_SESSION_LIMIT;
	return DY_REASON_NONE;
}

static dy_session_t *open_session(dy_agent_t *agent, const request_t *request,
				  uint64_t id)
{
	const dy_rpc_auth_t *credential = &request->message.credential;
	uint64_t caller = dy_sessions_caller_hash(
		agent->sessions, &request->route.caller, credential);
	dy_reason_t reason = open_refusal_reason(agent);
	uint32_t retry_ms;

	if (reason != DY_REASON_NONE) {
		bounce_request(agent, request, reason, RETRY_AFTER_MS);
		return NULL;
	}
	retry_ms = dy_session_rate_limit_admit(
		&agent->session_rate_limit, agent->rand, agent_now_ms(agent));
	if (retry_ms) {
		agent_log_event(agent, EVENT_SESSIONS_CROWDED, "retry_ms=%u",
				retry_ms);
		refuse(agent, request, DY_NOT_RUN, DY_REASON_OVERLOAD,
		       retry_ms);
		return NULL;
	}
	agent_count(agent, EVENT_SESSIONS_OPENED);
	return dy_sessions_open(agent->sessions, id, caller, credential,
				agent_now_ms(agent));
}

static void answer_duplicate(dy_agent_t *agent, dy_session_t *session,
			     const request_t *request,
			     const dy_drc_found_t *found)
{
	dy_refusal_t refusal;

	if (found->state == DY_DRC_ANSWERED) {
		agent_count(agent, EVENT_COPIES_ANSWERED);
		agent_answer(agent, session, &request->route,
			     request->message.xid, found->status,
			     found->results, found->results_len);
		return;
	}
	/* The cache stores the verdict without the retry delay. */
	refusal = found->refusal;
	if (refusal.verdict == DY_NOT_RUN)
		refusal.retry_after_ms = RETRY_AFTER_MS;
	agent_log_event(agent, EVENT_COPIES_REFUSED, "reason=%s xid=%08x",
			dy_reason_name(refusal.reason), request->message.xid);
	agent_answer_refusal(agent, &request->route, request->message.xid,
			     &refusal);
}

/* Returns 1 if the call is a duplicate of a known call and was handled. */
static int handle_duplicate(dy_agent_t *agent, dy_session_t *session,
			    const request_t *request)
{
	call_t *call = agent_call_find(session, request->message.xid);
	dy_drc_found_t found;

	if (call) {
		/* Answer through the balancer that forwarded the last copy. */
		call->route = request->route;
		agent_count(agent, EVENT_COPIES_IN_PROGRESS);
		return 1;
	}
	if (dy_drc_find(session->drc, request->message.xid, &found) ==
	    DY_DRC_NEW)
		return 0;
	dy_assert(found.state != DY_DRC_IN_PROGRESS);
	answer_duplicate(agent, session, request, &found);
	return 1;
}

static void serve(dy_agent_t *agent, dy_session_t *session,
		  const request_t *request)
{
	dy_sessions_touch(agent->sessions, session, agent_now_ms(agent));
	if (request->message.program == DY_CALLER_PROGRAM &&
	    request->message.procedure == DY_CALLER_CANCEL) {
		agent_cancel_receive_call(agent, session, &request->route,
					  &request->message);
		return;
	}
	if (request->is_null) {
		agent_answer(agent, session, &request->route,
			     request->message.xid, SUCCESS, NULL, 0);
		return;
	}
	if (handle_duplicate(agent, session, request))
		return;
	if (session->state == DY_SESSION_CLOSING) {
		agent_count(agent, EVENT_SESSION_CLOSING);
		return;
	}
	/* Another agent can serve an idempotent call for a lost target. */
	if (request->idempotent && !agent_target_is_responsive(agent)) {
		bounce_request(agent, request, DY_REASON_TARGET_LOST,
			       RETRY_AFTER_MS);
		return;
	}
	agent_call_admit(agent, session, &request->route, &request->message,
			 request->idempotent);
}

/*
 * The session and its duplicate request cache are lost. A non-idempotent call
 * may be a copy of one that ran.
 */
static void serve_lost_session(dy_agent_t *agent, const request_t *request)
{
	dy_session_t *session;
	uint64_t id;

	agent_log_event(agent, EVENT_SESSION_UNKNOWN, "session=%016lx",
			(unsigned long)request->token.session);
	if (!request->idempotent) {
		refuse(agent, request, DY_MAY_HAVE_RUN,
		       DY_REASON_UNKNOWN_SESSION, 0);
		return;
	}
	id = dy_sessions_opening_id(agent->sessions, &request->route.caller,
				    request->message.xid);
	session = dy_sessions_find(agent->sessions, id);
	if (!session)
		session = open_session(agent, request, id);
	if (session)
		serve(agent, session, request);
}

static void serve_session(dy_agent_t *agent, dy_session_t *session,
			  const request_t *request)
{
	if (session->state == DY_SESSION_LOCAL ||
	    session->state == DY_SESSION_CLOSING)
		serve(agent, session, request);
	else if (agent_drain_relay_session(agent, session, &request->route,
					   request->forward))
		serve_lost_session(agent, request);
}

/*
 * Serve a call of a session that expired here. Each call of that session ended
 * at least DY_RETRANSMIT_WINDOW_MS ago, so that this one is not a copy of any.
 */
static void serve_expired(dy_agent_t *agent, const request_t *request)
{
	if (request->idempotent) {
		serve_lost_session(agent, request);
		return;
	}
	agent_log_event(agent, EVENT_SESSION_UNKNOWN, "session=%016lx",
			(unsigned long)request->token.session);
	refuse(agent, request, DY_NOT_RUN, DY_REASON_UNKNOWN_SESSION, 0);
}

/*
 * Serve an idempotent call whose own target is unavailable, in a session that
 * lasts for this call only. The caller keeps the token of its own agent.
 */
static void serve_transient(dy_agent_t *agent, const request_t *request)
{
	dy_session_t *session;
	uint64_t id;

	id = dy_sessions_opening_id(agent->sessions, &request->route.caller,
				    request->message.xid);
	session = dy_sessions_find(agent->sessions, id);
	if (!session) {
		session = open_session(agent, request, id);
		if (!session)
			return;
		session->transient = 1;
	}
	serve(agent, session, request);
	/* It was removed already if its call has ended. */
	session = dy_sessions_find(agent->sessions, id);
	if (session && session->transient && dy_list_empty(&session->calls))
		dy_sessions_remove(agent->sessions, session);
}

static void serve_other_owner(dy_agent_t *agent, const request_t *request)
{
	const dy_token_t *token = &request->token;
	int is_idempotent_call = request->idempotent && !request->is_null;

	switch (agent_member_owner_status(agent, token->agent,
					  token->incarnation)) {
	case OWNER_DEAD:
		serve_lost_session(agent, request);
		return;
	case OWNER_LEFT:
		if (agent_drain_relay_token(agent, token, &request->route,
					    request->forward))
			serve_lost_session(agent, request);
		return;
	case OWNER_MAYBE_ALIVE:
		break;
	}
	if (is_idempotent_call && token->agent != agent->id) {
		serve_transient(agent, request);
		return;
	}
	/* A balancer sent it here after its owner did not answer. */
	if (request->is_null && !request->forward->reply_to.port) {
		serve_lost_session(agent, request);
		return;
	}
	/* Drop the call: its owner may be handing the session over to here. */
	agent_log_event(agent, EVENT_AWAITS_HANDOVER, "session=%016lx",
			(unsigned long)token->session);
}

static void serve_token(dy_agent_t *agent, const request_t *request)
{
	const dy_token_t *token = &request->token;
	dy_session_t *session;
	int is_own_token = token->agent == agent->id &&
			   token->incarnation == agent->incarnation;

	if (token->service != agent->service.id) {
		agent_log_event(agent, EVENT_TOKEN_OTHER_SERVICE,
				"service=%016lx",
				(unsigned long)token->service);
		refuse(agent, request, DY_NOT_RUN, DY_REASON_UNKNOWN_SESSION,
		       0);
		return;
	}
	session = dy_sessions_find(agent->sessions, token->session);
	if (session && (is_own_token || session->received))
		serve_session(agent, session, request);
	else if (is_own_token)
		serve_expired(agent, request);
	else
		serve_other_owner(agent, request);
}

/* A call without a token opens a session if it is idempotent. */
static void serve_without_token(dy_agent_t *agent, const request_t *request)
{
	dy_session_t *session;
	uint64_t id;

	if (!request->idempotent) {
		agent_log_event(agent, EVENT_TOKEN_MISSING, "xid=%08x",
				request->message.xid);
		agent_answer_too_weak(agent, &request->route,
				      request->message.xid);
		return;
	}
	id = dy_sessions_opening_id(agent->sessions, &request->route.caller,
				    request->message.xid);
	session = dy_sessions_find(agent->sessions, id);
	if (!session)
		session = open_session(agent, request, id);
	if (session)
		serve_session(agent, session, request);
}

static int parse_request(dy_agent_t *agent, const dy_address_t *from,
			 const dy_forward_t *forward, request_t *request)
{
	dy_rpc_call_t *message = &request->message;

	request->forward = forward;
	request->route.balancer =
		forward->reply_to.port ? forward->reply_to : *from;
	request->route.caller = forward->caller;
	request->route.socket = forward->socket;
	if (dy_rpc_parse_call((const uint8_t *)forward->datagram.datagram_val,
			      forward->datagram.datagram_len, message)) {
		agent_log_event(agent, EVENT_FORWARD_MALFORMED, "bytes=%u",
				forward->datagram.datagram_len);
		return -1;
	}
	request->is_null = message->procedure == NULLPROC;
	request->idempotent = is_idempotent(agent, message);
	return 0;
}

/* No copy of a call of another program can have run: NOT_RUN is correct. */
static int is_other_program(dy_agent_t *agent, const request_t *request)
{
	const dy_rpc_call_t *message = &request->message;

	if (message->program == agent->service.program &&
	    message->program_version == agent->service.program_version)
		return 0;
	if (message->program == DY_CALLER_PROGRAM &&
	    message->program_version == DY_CALLER_V1 && request->has_token)
		return 0;
	refuse(agent, request, DY_NOT_RUN, DY_REASON_NO_TARGET, 0);
	return 1;
}

void dy_agent_receive_forward(dy_agent_t *agent, const dy_address_t *from,
			      const dy_forward_t *forward)
{
	request_t request = { 0 };

	if (parse_request(agent, from, forward, &request) ||
	    is_misdirected(agent, &request) || is_superseded(agent, &request))
		return;
	if (read_token(agent, &request) || is_other_program(agent, &request))
		return;
	if (request.has_token)
		serve_token(agent, &request);
	else
		serve_without_token(agent, &request);
}
