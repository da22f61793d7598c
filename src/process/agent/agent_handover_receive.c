#include "agent_private.h"

#include <string.h>

#include <rpc/xdr.h>

/* Permanent: an incarnation that has left or was superseded never serves. */
static int is_closed_to_handover(const dy_agent_t *agent)
{
	return agent->state == DY_MEMBER_LEFT || agent->superseded;
}

static dy_session_t *receive_session(dy_agent_t *agent,
				     const dy_moved_session_t *moved)
{
	dy_session_t *session = NULL;
	dy_moved_body_t body = { 0 };
	XDR xdrs;

	xdrmem_create(&xdrs, moved->body.body_val, moved->body.body_len,
		      XDR_DECODE);
	if (xdr_dy_moved_body_t(&xdrs, &body))
		session = dy_sessions_receive(agent->sessions, moved->id, &body,
					      agent_now_ms(agent));
	xdr_free((xdrproc_t)xdr_dy_moved_body_t, (char *)&body);
	if (session)
		agent_count(agent, EVENT_SESSIONS_RECEIVED);
	else
		agent_log_event(agent, EVENT_HANDOVER_MALFORMED,
				"session=%016lx", (unsigned long)moved->id);
	return session;
}

/*
 * A session that is known here was accepted before. To accept it again would
 * replace its duplicate request cache by an older one.
 */
static void accept_session(dy_agent_t *agent, const dy_moved_session_t *moved,
			   dy_handover_result_t *result)
{
	uint64_t *refused = result->refused.refused_val;
	uint64_t *sessions = result->sessions.sessions_val;

	int known = !!dy_sessions_find(agent->sessions, moved->id);

	if (!known && is_closed_to_handover(agent))
		refused[result->refused.refused_len++] = moved->id;
	else if (known || receive_session(agent, moved))
		sessions[result->sessions.sessions_len++] = moved->id;
}

void dy_agent_receive_handover(dy_agent_t *agent, const dy_handover_t *handover,
			       dy_handover_result_t *result)
{
	unsigned count = handover->sessions.sessions_len;
	unsigned i;

	memset(result, 0, sizeof(*result));
	result->agent = agent->id;
	result->incarnation = agent->incarnation;
	if (handover->to_agent != agent->id ||
	    handover->to_incarnation != agent->incarnation ||
	    !agent->service.known || handover->service != agent->service.id) {
		agent_log_event(agent, EVENT_HANDOVER_STALE, "from=%016lx",
				(unsigned long)handover->agent);
		result->status = DY_HANDOVER_STALE;
		return;
	}
	if (is_closed_to_handover(agent))
		result->status = DY_HANDOVER_LEFT;
	result->sessions.sessions_val = g_new0(uint64_t, count + 1);
	result->refused.refused_val = g_new0(uint64_t, count + 1);
	for (i = 0; i < count; i++)
		accept_session(agent, &handover->sessions.sessions_val[i],
			       result);
}
