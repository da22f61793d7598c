#include "agent_private.h"

#include <rpc/rpc.h>

static void send_answer(dy_agent_t *agent, const route_t *route,
			dy_verdict_t verdict, size_t len)
{
	dy_answer_t answer = { 0 };

	answer.service = agent->service.id;
	answer.agent = agent->id;
	answer.incarnation = agent->incarnation;
	answer.caller = route->caller;
	answer.socket = route->socket;
	answer.verdict = verdict;
	answer.datagram.datagram_len = (u_int)len;
	answer.datagram.datagram_val = (char *)agent->out;
	dy_agent_load(agent, &answer.load);
	agent->config.callbacks->send_answer(agent->config.context,
					     &route->balancer, &answer);
}

void agent_answer_refusal(dy_agent_t *agent, const route_t *route, uint32_t xid,
			  const dy_refusal_t *refusal)
{
	size_t len = dy_rpc_write_refusal(xid, refusal, agent->out,
					  sizeof(agent->out));

	dy_assert(len && refusal->verdict != DY_RAN);
	send_answer(agent, route, refusal->verdict, len);
}

void agent_answer_too_weak(dy_agent_t *agent, const route_t *route,
			   uint32_t xid)
{
	size_t len = dy_rpc_write_too_weak(xid, agent->out, sizeof(agent->out));

	send_answer(agent, route, DY_NOT_RUN, len);
}

/*
 * A successful answer carries a token unless the caller holds the current one.
 * This replaces a token whose key is outdated, or that names an earlier owner
 * of the session, without another message. To sign a token for each answer
 * would cost as much as to seal the answer. The caller of a transient session
 * keeps the token of its own agent.
 */
static uint32_t write_token(dy_agent_t *agent, dy_session_t *session,
			    const route_t *route,
			    uint8_t body[DY_TOKEN_VERIFIER_BYTES])
{
	dy_token_t token = { 0 };
	size_t len;

	if (session->transient || route->session == session->id)
		return 0;
	token.service = agent->service.id;
	token.agent = agent->id;
	token.incarnation = agent->incarnation;
	token.session = session->id;
	token.address = agent->config.address;
	len = dy_token_write_verifier(agent->config.keyring, &token, body);
	session->key_id = token.key_id;
	return (uint32_t)len;
}

int agent_answer(dy_agent_t *agent, dy_session_t *session, const route_t *route,
		 uint32_t xid, uint32_t status, const uint8_t *results,
		 size_t len)
{
	uint8_t body[DY_TOKEN_VERIFIER_BYTES];
	dy_rpc_reply_t reply = { 0 };
	size_t written;

	reply.xid = xid;
	reply.status = status;
	if (status == SUCCESS)
		reply.verifier.len = write_token(agent, session, route, body);
	if (reply.verifier.len)
		reply.verifier.flavor = AUTH_SHORT;
	reply.verifier.body = body;
	reply.results = results;
	reply.results_len = len;
	written = dy_rpc_write_reply(&reply, agent->out, sizeof(agent->out));
	if (!written)
		return -1;
	send_answer(agent, route, DY_RAN, written);
	return 0;
}

void agent_bounce(dy_agent_t *agent, const route_t *route,
		  const dy_forward_t *forward, dy_reason_t reason)
{
	dy_bounce_t bounce = { 0 };

	agent_log_event(agent, EVENT_FORWARD_BOUNCED, "reason=%s",
			dy_reason_name(reason));
	bounce.forward = *forward;
	bounce.reason = reason;
	dy_agent_load(agent, &bounce.load);
	agent->config.callbacks->send_bounce(agent->config.context,
					     &route->balancer, &bounce);
}
