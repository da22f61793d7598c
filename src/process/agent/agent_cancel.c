#include "agent_private.h"

#include <string.h>

#include <rpc/rpc.h>

/* Timeout of a cancellation, from when it is queued, in ms. */
#define CANCEL_TIMEOUT_MS 500

static void answer_cancel(dy_agent_t *agent, dy_session_t *session,
			  const route_t *route, uint32_t xid,
			  dy_verdict_t verdict, dy_reason_t reason)
{
	dy_refusal_t refusal = { verdict, reason, 0 };
	uint8_t body[3 * BYTES_PER_XDR_UNIT];
	XDR xdrs;

	xdrmem_create(&xdrs, (char *)body, sizeof(body), XDR_ENCODE);
	xdr_dy_refusal_t(&xdrs, &refusal);
	agent_answer(agent, session, route, xid, SUCCESS, body, sizeof(body));
}

static cancel_t *add_cancel(dy_agent_t *agent, uint64_t session, uint32_t xid)
{
	cancel_t *cancel = g_new0(cancel_t, 1);

	cancel->session = session;
	cancel->xid = xid;
	cancel->target_xid = agent->next_xid++;
	cancel->created_ms = agent_now_ms(agent);
	g_queue_push_tail(&agent->cancels, cancel);
	return cancel;
}

static int is_cancel_available(const dy_agent_t *agent)
{
	return agent->target.takes_cancel &&
	       agent->links[DY_AGENT_CANCEL_LINK].state == LINK_UP;
}

static size_t write_cancel(dy_agent_t *agent, const cancel_t *cancel)
{
	dy_cancel_call_t args = { cancel->session, cancel->xid };
	dy_rpc_call_t message = { 0 };
	uint8_t body[16];
	XDR xdrs;

	xdrmem_create(&xdrs, (char *)body, sizeof(body), XDR_ENCODE);
	xdr_dy_cancel_call_t(&xdrs, &args);
	message.xid = cancel->target_xid;
	message.program = DY_TARGET_PROGRAM;
	message.program_version = DY_TARGET_V1;
	message.procedure = DY_TARGET_CANCEL;
	message.args = body;
	message.args_len = xdr_getpos(&xdrs);
	return dy_rpc_write_call(&message, agent->call_out,
				 sizeof(agent->call_out));
}

/* Only one cancellation is in progress on the connection. */
static void send_next_cancel(dy_agent_t *agent)
{
	cancel_t *cancel;
	size_t len;

	cancel = g_queue_peek_head(&agent->cancels);
	if (!cancel || cancel->sent_ms || !is_cancel_available(agent))
		return;
	cancel->sent_ms = agent_now_ms(agent);
	len = write_cancel(agent, cancel);
	if (agent->config.callbacks->link_send(agent->config.context,
					       DY_AGENT_CANCEL_LINK,
					       agent->call_out, len))
		agent_link_close(agent, DY_AGENT_CANCEL_LINK);
}

void agent_cancel_notify_target(dy_agent_t *agent, const call_t *call)
{
	if (!is_cancel_available(agent))
		return;
	add_cancel(agent, call->session->id, call->xid);
	send_next_cancel(agent);
}

/* Answer a cancellation with the outcome of a call that has ended. */
static void answer_with_outcome(dy_agent_t *agent, dy_session_t *session,
				const route_t *route, uint32_t reply_xid,
				uint32_t xid)
{
	dy_drc_found_t found;

	switch (dy_drc_find(session->drc, xid, &found)) {
	case DY_DRC_ANSWERED:
		answer_cancel(agent, session, route, reply_xid, DY_RAN,
			      DY_REASON_NONE);
		break;
	case DY_DRC_ENDED:
		answer_cancel(agent, session, route, reply_xid,
			      found.refusal.verdict, found.refusal.reason);
		break;
	default:
		answer_cancel(agent, session, route, reply_xid, DY_MAY_HAVE_RUN,
			      DY_REASON_CANCELLED);
		break;
	}
}

static void cancel_in_progress(dy_agent_t *agent, call_t *call,
			       const route_t *route, uint32_t reply_xid)
{
	dy_session_t *session = call->session;
	dy_decision_t decision;
	cancel_t *cancel;

	if (call->stage == DY_STAGE_SENT && is_cancel_available(agent)) {
		cancel = add_cancel(agent, session->id, call->xid);
		cancel->needs_reply = 1;
		cancel->reply_xid = reply_xid;
		cancel->route = *route;
		send_next_cancel(agent);
		return;
	}
	decision = agent_call_event(agent, call, DY_EVENT_CANCEL, 0);
	answer_cancel(agent, session, route, reply_xid, decision.verdict,
		      decision.reason);
	agent_call_dispatch(agent);
}

/*
 * A cancellation that overtakes its call finds no entry for it. The call may be
 * idempotent and may have run already, so that the answer is "may have run".
 * The xid is entered into the cache as refused, so that the call does not run
 * later.
 */
static void refuse_future_call(dy_agent_t *agent, dy_session_t *session,
			       uint32_t xid)
{
	dy_refusal_t refusal = { DY_MAY_HAVE_RUN, DY_REASON_CANCELLED, 0 };
	dy_drc_found_t found;
	uint32_t retry_ms;

	if (dy_drc_find(session->drc, xid, &found) != DY_DRC_NEW)
		return;
	if (!session->drc)
		session->drc = dy_drc_create();
	if (dy_drc_begin(session->drc, xid, agent_now_ms(agent), &retry_ms) !=
	    DY_DRC_OVERFLOW)
		dy_drc_refuse(session->drc, xid, &refusal, agent_now_ms(agent));
}

void agent_cancel_receive_call(dy_agent_t *agent, dy_session_t *session,
			       const route_t *route,
			       const dy_rpc_call_t *message)
{
	uint32_t xid;
	call_t *call;
	XDR xdrs;

	if (message->args_len != BYTES_PER_XDR_UNIT) {
		agent_answer(agent, session, route, message->xid, GARBAGE_ARGS,
			     NULL, 0);
		return;
	}
	xdrmem_create(&xdrs, (char *)message->args, BYTES_PER_XDR_UNIT,
		      XDR_DECODE);
	xdr_u_int32_t(&xdrs, &xid);
	agent_count(agent, EVENT_CANCELS);
	call = agent_call_find(session, xid);
	if (call) {
		cancel_in_progress(agent, call, route, message->xid);
		return;
	}
	refuse_future_call(agent, session, xid);
	answer_with_outcome(agent, session, route, message->xid, xid);
}

/* The connection is closed, so that no answer to the call can follow. */
static void complete_granted_cancel(dy_agent_t *agent, call_t *call)
{
	unsigned index = call->link_index;

	agent_count(agent, EVENT_CANCELS_GRANTED);
	agent_call_event(agent, call, DY_EVENT_CANCEL_GRANTED, 0);
	agent_link_close(agent, index);
}

static void finish_cancel(dy_agent_t *agent, cancel_t *cancel, int granted)
{
	dy_session_t *session =
		dy_sessions_find(agent->sessions, cancel->session);
	call_t *call = session ? agent_call_find(session, cancel->xid) : NULL;
	dy_verdict_t verdict = granted ? DY_NOT_RUN : DY_MAY_HAVE_RUN;

	if (granted && call && call->stage == DY_STAGE_SENT) {
		complete_granted_cancel(agent, call);
	} else if (!call && cancel->needs_reply && session) {
		answer_with_outcome(agent, session, &cancel->route,
				    cancel->reply_xid, cancel->xid);
		cancel->needs_reply = 0;
	}
	if (cancel->needs_reply && session)
		answer_cancel(agent, session, &cancel->route, cancel->reply_xid,
			      verdict, DY_REASON_CANCELLED);
}

/* Finish the oldest cancellation. */
static void finish_first(dy_agent_t *agent, int granted)
{
	cancel_t *cancel = g_queue_pop_head(&agent->cancels);

	finish_cancel(agent, cancel, granted);
	g_free(cancel);
}

void agent_cancel_receive_reply(dy_agent_t *agent, const uint8_t *bytes,
				size_t len)
{
	cancel_t *cancel = g_queue_peek_head(&agent->cancels);
	dy_rpc_reply_t reply;
	bool_t granted = FALSE;
	XDR xdrs;

	if (!bytes || !cancel || !cancel->sent_ms ||
	    dy_rpc_parse_reply(bytes, len, &reply) ||
	    reply.xid != cancel->target_xid) {
		agent_log_event(agent, EVENT_ANSWER_BAD, "link=cancel");
		agent_link_close(agent, DY_AGENT_CANCEL_LINK);
		return;
	}
	xdrmem_create(&xdrs, (char *)reply.results, (u_int)reply.results_len,
		      XDR_DECODE);
	if (reply.denied || reply.status != SUCCESS ||
	    !xdr_bool(&xdrs, &granted))
		granted = FALSE;
	finish_first(agent, granted);
	send_next_cancel(agent);
	agent_call_dispatch(agent);
}

void agent_cancel_fail_all(dy_agent_t *agent)
{
	while (!g_queue_is_empty(&agent->cancels))
		finish_first(agent, 0);
}

void agent_cancel_drop_all(dy_agent_t *agent)
{
	g_queue_clear_full(&agent->cancels, g_free);
}

void agent_cancel_tick(dy_agent_t *agent)
{
	cancel_t *cancel;

	cancel = g_queue_peek_head(&agent->cancels);
	if (!cancel)
		return;
	if (agent_now_ms(agent) - cancel->created_ms >= CANCEL_TIMEOUT_MS)
		agent_link_close(agent, DY_AGENT_CANCEL_LINK);
	send_next_cancel(agent);
}
