#include "agent_private.h"

#include <string.h>

#include "damaskyard/successor.h"

/*
 * How an agent drains and leaves, so that a session never runs at two agents:
 *
 * 1. The agent opens no new session and reports to control that it drains.
 * 2. It waits until the drain is in control's log and all log entries before
 *    it are known here. Then it chooses its successors among the agents that
 *    serve and respond to an offer (agent_successors.c). If two agents drain
 *    at the same time, the one whose drain is later in the log sees the
 *    other's drain and does not choose that agent. So no session is handed
 *    over in a circle.
 * 3. A session whose calls have ended is marked as moved before any message
 *    contains it. From then on none of its calls runs here, whether or not
 *    the message or its acknowledgement arrives. The message is retransmitted
 *    with the same contents until a successor accepts the session. Calls of
 *    the session are relayed to the successor meanwhile.
 * 4. A successor that has left accepts no sessions. If it replies that it
 *    never accepted a session, the session goes to its own successor, where
 *    balancers route the calls of the session. If it dies without a reply, it
 *    may have run calls of which there is no record: the session is lost.
 * 5. When every session is accepted or lost, the agent reports to control that
 *    it has left, with its successors. It still relays calls to them until
 *    every balancer has had time to learn this.
 */

/* Maximum number of sessions sent and not yet accepted. */
#define HANDOVER_WINDOW_SESSIONS 512

/* Interval between two messages with the same session, in ms. */
#define RETRANSMIT_INTERVAL_MS 250

/* A message with several sessions is sent once these reach this size. */
#define BATCH_BYTES 8192

/*
 * Maximum number of messages with one session to a successor that has left and
 * does not reply: 10 s.
 */
#define HANDOVER_ATTEMPTS_MAX 40

/*
 * Timeout for control to record that an agent without sessions has left, in
 * ms.
 */
#define LEFT_COMMIT_TIMEOUT_MS 3000

/* Timeout of a planned stop if the service has no other agent, in ms. */
#define NO_SUCCESSOR_TIMEOUT_MS 5000

void dy_agent_drain(dy_agent_t *agent, const char *why, int exits)
{
	if (exits && !agent->exit_after_drain) {
		agent->exit_after_drain = 1;
		agent->exit_requested_ms = agent_now_ms(agent);
	}
	if (agent->state == DY_MEMBER_DRAINING ||
	    agent->state == DY_MEMBER_LEFT)
		return;
	agent->state = DY_MEMBER_DRAINING;
	agent_log_event(agent, EVENT_DRAIN_STARTED, "why=%s sessions=%u", why,
			dy_sessions_count(agent->sessions));
	agent->config.callbacks->report_state(agent->config.context,
					      DY_MEMBER_DRAINING, NULL, 0);
}

void dy_agent_caught_up(dy_agent_t *agent)
{
	if (agent->drain_committed)
		agent->members_current = 1;
}

/* State of one pass of the handover over all sessions. */
typedef struct handover_pass {
	dy_agent_t *agent;
	GPtrArray *due; /* sessions to send now */
	unsigned outstanding;
	unsigned unfinished;
} handover_pass_t;

static int set_successor(dy_session_t *session, const member_t *member)
{
	if (!member)
		return -1;
	session->successor = member->id;
	session->successor_incarnation = member->incarnation;
	session->refused = 0;
	return 0;
}

static void mark_lost(dy_agent_t *agent, dy_session_t *session)
{
	session->state = DY_SESSION_LOST;
	agent_log_event(agent, EVENT_SESSIONS_LOST, "session=%016lx",
			(unsigned long)session->id);
}

static void move_session(handover_pass_t *pass, dy_session_t *session)
{
	dy_agent_t *agent = pass->agent;
	uint64_t incarnation;

	if (!dy_list_empty(&session->calls)) {
		session->state = DY_SESSION_CLOSING;
		return;
	}
	incarnation = dy_successor_pick(session->id, agent->successors,
					agent->successor_count);
	if (set_successor(session, agent_member_current_owner(
					   agent, session->id, incarnation))) {
		mark_lost(agent, session);
		return;
	}
	session->state = DY_SESSION_MOVED;
	agent_count(agent, EVENT_SESSIONS_MOVED);
	pass->outstanding++;
	g_ptr_array_add(pass->due, session);
}

/* Returns -1 if no agent can accept the session any more. */
static int update_successor(dy_agent_t *agent, dy_session_t *session)
{
	owner_status_t status = agent_member_owner_status(
		agent, session->successor, session->successor_incarnation);

	if (status == OWNER_DEAD)
		return -1;
	if (status == OWNER_MAYBE_ALIVE)
		return 0;
	if (session->refused)
		return set_successor(session,
				     agent_member_current_owner(
					     agent, session->id,
					     session->successor_incarnation));
	return session->handover_attempts < HANDOVER_ATTEMPTS_MAX ? 0 : -1;
}

static void retransmit_session(handover_pass_t *pass, dy_session_t *session)
{
	uint64_t now_ms = agent_now_ms(pass->agent);

	if (now_ms - session->handover_sent_ms < RETRANSMIT_INTERVAL_MS)
		return;
	if (update_successor(pass->agent, session))
		mark_lost(pass->agent, session);
	else
		g_ptr_array_add(pass->due, session);
}

static void count_outstanding(void *context, dy_session_t *session)
{
	handover_pass_t *pass = context;

	if (session->state == DY_SESSION_MOVED)
		pass->outstanding++;
}

static void process_session(void *context, dy_session_t *session)
{
	handover_pass_t *pass = context;

	if (session->transient) {
		pass->unfinished++;
		return;
	}
	if (session->state == DY_SESSION_LOCAL ||
	    session->state == DY_SESSION_CLOSING) {
		if (pass->agent->has_successors &&
		    pass->outstanding < HANDOVER_WINDOW_SESSIONS)
			move_session(pass, session);
	} else if (session->state == DY_SESSION_MOVED) {
		retransmit_session(pass, session);
	}
	if (session->state < DY_SESSION_ACCEPTED)
		pass->unfinished++;
}

static gint compare_successors(gconstpointer a, gconstpointer b)
{
	const dy_session_t *first = *(dy_session_t *const *)a;
	const dy_session_t *second = *(dy_session_t *const *)b;

	if (first->successor != second->successor)
		return first->successor < second->successor ? -1 : 1;
	return 0;
}

static size_t write_session(dy_agent_t *agent, dy_session_t *session,
			    dy_moved_session_t *out)
{
	static uint8_t bytes[DY_HANDOVER_BODY_BYTES];
	dy_moved_body_t body;
	XDR xdrs;

	dy_session_write(session, &body, agent_now_ms(agent));
	xdrmem_create(&xdrs, (char *)bytes, sizeof(bytes), XDR_ENCODE);
	dy_assert(xdr_dy_moved_body_t(&xdrs, &body));
	xdr_free((xdrproc_t)xdr_dy_moved_body_t, (char *)&body);
	out->id = session->id;
	out->body.body_len = xdr_getpos(&xdrs);
	out->body.body_val = g_memdup2(bytes, out->body.body_len);
	session->handover_sent_ms = agent_now_ms(agent);
	if (session->handover_attempts < UINT8_MAX)
		session->handover_attempts++;
	return out->body.body_len;
}

static void send_batch(dy_agent_t *agent, const dy_session_t *first,
		       dy_moved_session_t *sessions, unsigned count)
{
	const member_t *member = agent_member_find(agent, first->successor);
	dy_handover_t handover = { 0 };
	unsigned i;

	handover.format = DY_HANDOVER_FORMAT;
	handover.service = agent->service.id;
	handover.agent = agent->id;
	handover.incarnation = agent->incarnation;
	handover.to_agent = first->successor;
	handover.to_incarnation = first->successor_incarnation;
	handover.sessions.sessions_val = sessions;
	handover.sessions.sessions_len = count;
	agent_count(agent, EVENT_HANDOVER_SENT);
	agent->config.callbacks->send_handover(agent->config.context,
					       &member->address, &handover);
	for (i = 0; i < count; i++)
		g_free(sessions[i].body.body_val);
}

/* Send the due sessions, grouped by successor into as few messages as fit. */
static void send_due(dy_agent_t *agent, GPtrArray *due)
{
	dy_moved_session_t sessions[DY_HANDOVER_SESSIONS];
	const dy_session_t *first = NULL;
	dy_session_t *session;
	unsigned count = 0;
	size_t bytes = 0;
	guint i;

	g_ptr_array_sort(due, compare_successors);
	for (i = 0; i < due->len; i++) {
		session = g_ptr_array_index(due, i);
		if (count &&
		    (session->successor != first->successor ||
		     count == DY_HANDOVER_SESSIONS || bytes >= BATCH_BYTES)) {
			send_batch(agent, first, sessions, count);
			count = 0;
			bytes = 0;
		}
		if (!count)
			first = session;
		bytes += write_session(agent, session, &sessions[count++]);
	}
	if (count)
		send_batch(agent, first, sessions, count);
}

static void finish_drain(dy_agent_t *agent)
{
	agent->state = DY_MEMBER_LEFT;
	agent->left_ms = agent_now_ms(agent);
	agent_log_event(agent, EVENT_LEFT, "sessions=%u successors=%u",
			dy_sessions_count(agent->sessions),
			agent->successor_count);
	agent->config.callbacks->report_state(agent->config.context,
					      DY_MEMBER_LEFT, agent->successors,
					      agent->successor_count);
}

static void report_left(dy_agent_t *agent)
{
	if (agent->left_reported)
		return;
	agent->left_reported = 1;
	agent->config.callbacks->left(agent->config.context);
}

/* A planned stop ends without a handover after a timeout. */
static int is_stop_timeout_expired(const dy_agent_t *agent)
{
	uint64_t waited_ms = agent_now_ms(agent) - agent->exit_requested_ms;

	if (!agent->exit_after_drain)
		return 0;
	if (!agent->incarnation)
		return 1;
	if (agent->members_current && !agent->candidate_count)
		return waited_ms >= NO_SUCCESSOR_TIMEOUT_MS;
	return waited_ms >= DY_AGENT_STOP_TIMEOUT_MS;
}

static void run_handover_pass(dy_agent_t *agent)
{
	handover_pass_t pass = { agent, g_ptr_array_new(), 0, 0 };

	dy_sessions_each(agent->sessions, count_outstanding, &pass);
	dy_sessions_each(agent->sessions, process_session, &pass);
	send_due(agent, pass.due);
	g_ptr_array_free(pass.due, TRUE);
	if ((!pass.unfinished && agent->members_current &&
	     !agent_successors_pending(agent)) ||
	    is_stop_timeout_expired(agent))
		finish_drain(agent);
}

/*
 * Balancers route to the successors only after control has recorded that this
 * agent has left. Until then, and for DY_AGENT_LINGER_MS, calls still arrive
 * here.
 */
static int is_relay_needed(const dy_agent_t *agent)
{
	uint64_t since_ms = agent_now_ms(agent) - agent->left_ms;

	if (!dy_sessions_count(agent->sessions))
		return agent->incarnation && !agent->left_committed &&
		       since_ms < LEFT_COMMIT_TIMEOUT_MS;
	if (since_ms < DY_AGENT_LINGER_MS)
		return 1;
	return !agent->left_committed && since_ms < DY_AGENT_STOP_TIMEOUT_MS;
}

void agent_drain_tick(dy_agent_t *agent)
{
	if (agent->state == DY_MEMBER_DRAINING) {
		if (agent->members_current && !agent->has_successors)
			agent_successors_tick(agent);
		run_handover_pass(agent);
	}
	if (agent->state == DY_MEMBER_LEFT && !is_relay_needed(agent))
		report_left(agent);
}

static int relay_to(dy_agent_t *agent, const member_t *member,
		    const route_t *route, const dy_forward_t *forward)
{
	dy_forward_t copy = *forward;

	if (!member || member->id == agent->id)
		return -1;
	if (forward->hops >= DY_AGENT_HOPS_MAX) {
		agent_log_event(agent, EVENT_FORWARD_HOPS_EXCEEDED, "hops=%u",
				forward->hops);
		return 0;
	}
	copy.agent = member->id;
	copy.incarnation = member->incarnation;
	copy.reply_to = route->balancer;
	copy.hops = forward->hops + 1;
	agent_count(agent, EVENT_FORWARD_RELAYED);
	agent->config.callbacks->relay_forward(agent->config.context,
					       &member->address, &copy);
	return 0;
}

int agent_drain_relay_session(dy_agent_t *agent, dy_session_t *session,
			      const route_t *route, const dy_forward_t *forward)
{
	if (session->state == DY_SESSION_LOST)
		return -1;
	return relay_to(
		agent,
		agent_member_current_owner(agent, session->id,
					   session->successor_incarnation),
		route, forward);
}

int agent_drain_relay_token(dy_agent_t *agent, const dy_token_t *token,
			    const route_t *route, const dy_forward_t *forward)
{
	return relay_to(agent,
			agent_member_current_owner(agent, token->session,
						   token->incarnation),
			route, forward);
}

static dy_session_t *find_moved(const dy_agent_t *agent, uint64_t id,
				const dy_handover_result_t *result)
{
	dy_session_t *session = dy_sessions_find(agent->sessions, id);

	if (!session || session->state != DY_SESSION_MOVED ||
	    session->successor != result->agent ||
	    session->successor_incarnation != result->incarnation)
		return NULL;
	return session;
}

void dy_agent_receive_handover_result(dy_agent_t *agent,
				      const dy_handover_result_t *result)
{
	dy_session_t *session;
	unsigned i;

	if (result->status == DY_HANDOVER_STALE) {
		agent_log_event(agent, EVENT_HANDOVER_STALE, "to=%016lx",
				(unsigned long)result->agent);
		return;
	}
	agent_successors_receive_result(agent, result);
	for (i = 0; i < result->sessions.sessions_len; i++) {
		session = find_moved(agent, result->sessions.sessions_val[i],
				     result);
		if (session)
			session->state = DY_SESSION_ACCEPTED;
	}
	for (i = 0; i < result->refused.refused_len; i++) {
		session = find_moved(agent, result->refused.refused_val[i],
				     result);
		if (session)
			session->refused = 1;
	}
}
