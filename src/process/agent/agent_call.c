#include "agent_private.h"

#include <string.h>

#include <rpc/rpc.h>
#include <xxhash.h>

call_t *agent_call_find(const dy_session_t *session, uint32_t xid)
{
	dy_list_t *pos;
	call_t *call;

	DY_LIST_EACH(pos, &session->calls)
	{
		call = DY_LIST_ITEM(pos, call_t, session_link);
		if (call->xid == xid)
			return call;
	}
	return NULL;
}

static void free_call(call_t *call)
{
	dy_list_remove(&call->session_link);
	call->session->call_count--;
	g_free(call->args);
	g_free(call);
}

/* Release the call's position in the queue, or its slot and connection. */
static void release_slot(dy_agent_t *agent, call_t *call,
			 dy_admission_end_t end)
{
	switch (call->stage) {
	case DY_STAGE_QUEUED:
		dy_admission_cancel(agent->admission, &call->admission);
		break;
	case DY_STAGE_ADMITTED:
	case DY_STAGE_SENT:
		if (call->has_link)
			agent->links[call->link_index].call = NULL;
		else
			g_queue_remove(&agent->awaiting_link, call);
		dy_admission_finish(agent->admission, &call->admission, end,
				    agent_now_us(agent));
		break;
	default:
		break;
	}
}

static void remove_unused_transient(dy_agent_t *agent, dy_session_t *session)
{
	if (session->transient && dy_list_empty(&session->calls))
		dy_sessions_remove(agent->sessions, session);
}

/* Mark the call as done. Each call has exactly one outcome. */
static void close_call(dy_agent_t *agent, call_t *call, dy_admission_end_t end)
{
	dy_assert(call->stage != DY_STAGE_DONE);
	release_slot(agent, call, end);
	call->stage = DY_STAGE_DONE;
}

static void refuse_call(dy_agent_t *agent, call_t *call,
			const dy_refusal_t *refusal, dy_admission_end_t end)
{
	dy_session_t *session = call->session;

	close_call(agent, call, end);
	agent_count_refusal(agent, refusal->verdict);
	if (!call->idempotent)
		dy_drc_refuse(session->drc, call->xid, refusal,
			      agent_now_ms(agent));
	agent_log_event(agent,
			refusal->verdict == DY_NOT_RUN
				? EVENT_CALLS_NOT_RUN
				: EVENT_CALLS_MAY_HAVE_RUN,
			"reason=%s session=%016lx xid=%08x",
			dy_reason_name(refusal->reason),
			(unsigned long)session->id, call->xid);
	agent_answer_refusal(agent, &call->route, call->xid, refusal);
	free_call(call);
	remove_unused_transient(agent, session);
}

static int is_reply_event(dy_call_event_t event)
{
	return event == DY_EVENT_SHED_NOT_RUN ||
	       event == DY_EVENT_SHED_MAY_HAVE_RUN ||
	       event == DY_EVENT_DENIED || event == DY_EVENT_ANSWERED_FAULT ||
	       event == DY_EVENT_ANSWER_TOO_LARGE;
}

dy_decision_t agent_call_event(dy_agent_t *agent, call_t *call,
			       dy_call_event_t event, uint32_t retry_ms)
{
	dy_decision_t decision = dy_verdict_decide(call->stage, event);
	dy_refusal_t refusal = { decision.verdict, decision.reason, retry_ms };
	dy_admission_end_t end = DY_ADMISSION_ABANDONED;

	if (!decision.final)
		return decision;
	dy_assert(!decision.forward_answer);
	if (call->stage != DY_STAGE_SENT)
		end = DY_ADMISSION_UNSENT;
	else if (is_reply_event(event))
		end = DY_ADMISSION_ANSWERED;
	refuse_call(agent, call, &refusal, end);
	return decision;
}

/* An answer enters the cache only if it fits into one datagram. */
void agent_call_complete(dy_agent_t *agent, call_t *call,
			 const dy_rpc_reply_t *reply)
{
	dy_session_t *session = call->session;

	if (reply->results_len + DY_TOKEN_VERIFIER_BYTES + 24 >
	    DY_DATAGRAM_BYTES) {
		agent_log_event(agent, EVENT_ANSWER_TOO_LARGE, "bytes=%zu",
				reply->results_len);
		agent_call_event(agent, call, DY_EVENT_ANSWER_TOO_LARGE, 0);
		return;
	}
	close_call(agent, call, DY_ADMISSION_ANSWERED);
	if (!call->idempotent)
		dy_drc_answer(session->drc, call->xid, reply->status,
			      reply->results, reply->results_len,
			      agent_now_ms(agent));
	agent_count(agent, EVENT_CALLS_ANSWERED);
	agent_count_outcome(agent,
			    call->deadline_us && agent_now_us(agent) >
							 call->deadline_us
				    ? DY_OUTCOME_LATE
				    : DY_OUTCOME_GOOD);
	dy_assert(!agent_answer(agent, session, &call->route, call->xid,
				reply->status, reply->results,
				reply->results_len));
	free_call(call);
	remove_unused_transient(agent, session);
}

static int find_idle_link(const dy_agent_t *agent)
{
	unsigned i;

	for (i = 0; i < DY_AGENT_SLOTS_MAX; i++)
		if (agent->links[i].state == LINK_UP && !agent->links[i].call)
			return (int)i;
	return -1;
}

static size_t write_target_call(dy_agent_t *agent, call_t *call)
{
	const dy_session_t *session = call->session;
	uint64_t now_us = agent_now_us(agent);
	dy_call_info_t info = { session->id, call->xid, 0 };
	uint8_t verifier[16];
	dy_rpc_call_t message = { 0 };
	XDR xdrs;

	if (call->deadline_us > now_us)
		info.remaining_ms =
			(u_int)((call->deadline_us - now_us) / 1000);
	xdrmem_create(&xdrs, (char *)verifier, sizeof(verifier), XDR_ENCODE);
	xdr_dy_call_info_t(&xdrs, &info);
	message.xid = call->target_xid;
	message.program = agent->service.program;
	message.program_version = agent->service.program_version;
	message.procedure = call->procedure;
	message.credential.flavor = session->flavor;
	message.credential.len = session->credential_len;
	message.credential.body = session->credential;
	message.verifier.flavor = DY_AUTH_CALL_INFO;
	message.verifier.len = xdr_getpos(&xdrs);
	message.verifier.body = verifier;
	message.args = call->args;
	message.args_len = call->args_len;
	return dy_rpc_write_call(&message, agent->call_out,
				 sizeof(agent->call_out));
}

/*
 * The only place that sends a call to the target. Guards against a second run
 * and against a run after the handover; both would store a reading twice. The
 * cache marks the xid as started permanently, and a moved session never
 * becomes local to this agent again.
 */
static void send_call(dy_agent_t *agent, call_t *call, unsigned index)
{
	dy_session_t *session = call->session;
	size_t len;

	dy_assert(session->state == DY_SESSION_LOCAL ||
		  session->state == DY_SESSION_CLOSING);
	dy_assert(call->stage == DY_STAGE_ADMITTED && !call->has_link);
	dy_assert(!agent->links[index].call);
	call->has_link = 1;
	call->link_index = index;
	call->target_xid = agent->next_xid++;
	agent->links[index].call = call;
	len = write_target_call(agent, call);
	dy_assert(len);
	if (!call->idempotent)
		dy_drc_start(session->drc, call->xid);
	if (agent->config.callbacks->link_send(agent->config.context, index,
					       agent->call_out, len)) {
		agent_link_close(agent, index);
		return;
	}
	call->stage = DY_STAGE_SENT;
	agent_count(agent, EVENT_CALLS_SENT);
}

/*
 * The call gets a slot now and a connection when one is idle: after a restart
 * of the target, or after a connection was closed, the next connection may not
 * be up yet.
 */
static void assign_slot(dy_agent_t *agent, dy_admission_item_t *item)
{
	call_t *call = DY_LIST_ITEM(item, call_t, admission);

	dy_assert(call->stage < DY_STAGE_ADMITTED);
	call->stage = DY_STAGE_ADMITTED;
	g_queue_push_tail(&agent->awaiting_link, call);
}

static void send_admitted(dy_agent_t *agent)
{
	int index;

	while (!g_queue_is_empty(&agent->awaiting_link)) {
		index = find_idle_link(agent);
		if (index < 0)
			return;
		send_call(agent, g_queue_pop_head(&agent->awaiting_link),
			  (unsigned)index);
	}
}

void agent_call_dispatch(dy_agent_t *agent)
{
	dy_admission_refusal_t refusal;
	dy_admission_item_t *item;
	dy_call_event_t event;

	while ((item = dy_admission_expire(agent->admission,
					   agent_now_us(agent), &refusal))) {
		event = refusal.reason == DY_ADMISSION_LATE ? DY_EVENT_DEADLINE
							    : DY_EVENT_OVERLOAD;
		agent_call_event(agent, DY_LIST_ITEM(item, call_t, admission),
				 event, refusal.retry_after_ms);
	}
	while ((item = dy_admission_next(agent->admission,
					 agent_now_us(agent))))
		assign_slot(agent, item);
	send_admitted(agent);
}

static void submit_call(dy_agent_t *agent, call_t *call)
{
	dy_admission_refusal_t refusal = { 0 };
	dy_call_event_t event = DY_EVENT_OVERLOAD;

	switch (dy_admission_submit(agent->admission, &call->admission,
				    agent_now_us(agent), &refusal)) {
	case DY_ADMISSION_RUN:
		assign_slot(agent, &call->admission);
		break;
	case DY_ADMISSION_QUEUED:
		call->stage = DY_STAGE_QUEUED;
		break;
	case DY_ADMISSION_REFUSED:
		if (refusal.reason == DY_ADMISSION_LATE)
			event = DY_EVENT_DEADLINE;
		agent_call_event(agent, call, event, refusal.retry_after_ms);
		break;
	}
	agent_call_dispatch(agent);
}

static call_t *create_call(dy_agent_t *agent, dy_session_t *session,
			   const route_t *route, const dy_rpc_call_t *message,
			   int idempotent)
{
	call_t *call = g_new0(call_t, 1);

	call->session = session;
	call->route = *route;
	call->xid = message->xid;
	call->procedure = message->procedure;
	call->idempotent = idempotent;
	call->args = g_memdup2(message->args, message->args_len);
	call->args_len = message->args_len;
	call->deadline_us =
		agent_now_us(agent) + agent->service.deadline_ms * 1000ULL;
	call->admission.caller = session->caller;
	call->admission.procedure = message->procedure;
	call->admission.idempotent = (uint8_t)idempotent;
	call->admission.deadline_us = call->deadline_us;
	if (idempotent)
		call->admission.key = XXH3_64bits_withSeed(
			message->args, message->args_len, message->procedure);
	dy_list_append(&session->calls, &call->session_link);
	session->call_count++;
	return call;
}

/* Refuse a call that is in the cache but was not submitted to admission. */
static void refuse_new_call(dy_agent_t *agent, call_t *call, dy_reason_t reason,
			    uint32_t retry_ms)
{
	dy_refusal_t refusal = { DY_NOT_RUN, reason, retry_ms };

	refuse_call(agent, call, &refusal, DY_ADMISSION_UNSENT);
}

static int begin_drc_entry(dy_agent_t *agent, dy_session_t *session,
			   uint32_t xid, uint32_t *retry_ms)
{
	dy_drc_begin_result_t result;

	if (!session->drc)
		session->drc = dy_drc_create();
	result = dy_drc_begin(session->drc, xid, agent_now_ms(agent), retry_ms);
	if (result == DY_DRC_OVERFLOW) {
		agent_log_event(agent, EVENT_DRC_OVERFLOW, "session=%016lx",
				(unsigned long)session->id);
		return -1;
	}
	if (result == DY_DRC_FULL)
		agent_log_event(agent, EVENT_DRC_FULL, "session=%016lx",
				(unsigned long)session->id);
	return 0;
}

void agent_call_admit(dy_agent_t *agent, dy_session_t *session,
		      const route_t *route, const dy_rpc_call_t *message,
		      int idempotent)
{
	uint32_t retry_ms = 0;
	call_t *call;

	if (!idempotent &&
	    begin_drc_entry(agent, session, message->xid, &retry_ms))
		return;
	call = create_call(agent, session, route, message, idempotent);
	if (retry_ms || session->call_count > SESSION_CALLS_MAX)
		refuse_new_call(agent, call, DY_REASON_SESSION_LIMIT,
				MAX(retry_ms, RETRY_AFTER_MS));
	else if (!agent_target_is_ready(agent))
		agent_call_event(agent, call, DY_EVENT_TARGET_LOST,
				 RETRY_AFTER_MS);
	else
		submit_call(agent, call);
}

/*
 * A call whose deadline passes after it was sent gets its outcome at once. Its
 * connection is closed, so that a late answer is not read.
 */
static void expire_sent_call(dy_agent_t *agent, call_t *call)
{
	unsigned index = call->link_index;

	agent_log_event(agent, EVENT_DEADLINE_PASSED, "session=%016lx xid=%08x",
			(unsigned long)call->session->id, call->xid);
	agent_cancel_notify_target(agent, call);
	agent_call_event(agent, call, DY_EVENT_DEADLINE, 0);
	agent_link_close(agent, index);
}

void agent_call_expire_admitted(dy_agent_t *agent)
{
	uint64_t now_us = agent_now_us(agent);
	call_t *call;
	unsigned i;

	for (i = 0; i < DY_AGENT_SLOTS_MAX; i++) {
		call = agent->links[i].call;
		if (call && now_us >= call->deadline_us)
			expire_sent_call(agent, call);
	}
	for (i = 0; (call = g_queue_peek_nth(&agent->awaiting_link, i));) {
		if (now_us >= call->deadline_us)
			agent_call_event(agent, call, DY_EVENT_DEADLINE,
					 RETRY_AFTER_MS);
		else
			i++;
	}
}

typedef struct refuse_unsent_context {
	dy_agent_t *agent;
	dy_call_event_t event;
} refuse_unsent_context_t;

static void refuse_session_unsent(void *context, dy_session_t *session)
{
	const refuse_unsent_context_t *refusal = context;
	dy_list_t *pos;
	dy_list_t *tmp;
	call_t *call;
	int is_last;

	DY_LIST_EACH_SAFE(pos, tmp, &session->calls)
	{
		call = DY_LIST_ITEM(pos, call_t, session_link);
		is_last = tmp == &session->calls;
		if (call->stage < DY_STAGE_SENT)
			agent_call_event(refusal->agent, call, refusal->event,
					 RETRY_AFTER_MS);
		/* A transient session is removed with its last call. */
		if (is_last)
			break;
	}
}

void agent_call_refuse_unsent(dy_agent_t *agent, dy_call_event_t event)
{
	refuse_unsent_context_t refusal = { agent, event };

	dy_sessions_each(agent->sessions, refuse_session_unsent, &refusal);
}

static void drop_session_calls(void *context, dy_session_t *session)
{
	dy_agent_t *agent = context;
	dy_list_t *pos;
	dy_list_t *tmp;
	call_t *call;

	DY_LIST_EACH_SAFE(pos, tmp, &session->calls)
	{
		call = DY_LIST_ITEM(pos, call_t, session_link);
		close_call(agent, call, DY_ADMISSION_ABANDONED);
		free_call(call);
	}
}

void agent_call_drop_all(dy_agent_t *agent)
{
	dy_sessions_each(agent->sessions, drop_session_calls, agent);
}
