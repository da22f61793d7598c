#include "agent_private.h"

#include <string.h>

#include "damaskyard/successor.h"

/*
 * How an agent leaves, and why a session is never run in two places:
 *
 * 1. It takes no new flow, and tells control that it drains.
 * 2. Once control's log holds that, and all that stands before it in the
 *    log is known here, it chooses its successors among those that serve
 *    and answer (agent_successors.c).
 *    Of two agents that leave at the same time, the one whose draining
 *    stands later in the log sees the other's and does not choose it: no
 *    session is ever handed round in a circle.
 * 3. Each session whose calls have ended is marked as moved, and only then
 *    named in a message. From the mark on nothing of it runs here, whether
 *    the message or its acknowledgement arrives or not. The message is sent
 *    again, with the same contents, until a successor says that it has the
 *    session. Meanwhile calls of it are passed on to the successor.
 * 4. A successor that has left itself takes no more. If it says that it
 *    never took a session, the session goes to that one's own successor,
 *    where balancers look for it. If it dies before it said anything, it may
 *    have run calls that nobody remembers: the session is lost.
 * 5. When every session is settled the agent tells control that it has left,
 *    and to whom. It goes on passing calls to the successors until every
 *    balancer has had time to learn that.
 */

/* Sessions whose successor has not answered, at once. */
#define OUTSTANDING_MAX 512

/* A message of a handover is sent again after this, in ms. */
#define RESEND_MS 250

/* Bytes of the sessions in one message, unless one alone is larger. */
#define BATCH_BYTES 8192

/* Messages to a successor that left without a word of a session: 10 s. */
#define TRIES_MAX 40

/* Without sessions, control is told of the end for this long, in ms. */
#define RECORD_MS 3000

/* A planned stop without any other agent of the service ends after this. */
#define NO_SUCCESSOR_MS 5000

void dy_agent_drain(dy_agent_t *agent, const char *why, int ends)
{
	if (ends && !agent->ends) {
		agent->ends = 1;
		agent->ends_ms = agent_now_ms(agent);
	}
	if (agent->state == DY_MEMBER_DRAINING ||
	    agent->state == DY_MEMBER_LEFT)
		return;
	agent->state = DY_MEMBER_DRAINING;
	agent_note(agent, EVENT_DRAIN_STARTED, "why=%s sessions=%u", why,
		   dy_sessions_count(agent->sessions));
	agent->config.callbacks->report_state(agent->config.context,
					      DY_MEMBER_DRAINING, NULL, 0);
}

void dy_agent_caught_up(dy_agent_t *agent)
{
	if (agent->drain_recorded)
		agent->view_current = 1;
}

/* One turn of the handover over all sessions. */
typedef struct turn {
	dy_agent_t *agent;
	GPtrArray *due; /* sessions to name in messages now */
	unsigned outstanding;
	unsigned unsettled;
} turn_t;

static int set_successor(dy_session_t *session, const member_t *member)
{
	if (!member)
		return -1;
	session->successor = member->id;
	session->successor_incarnation = member->incarnation;
	session->refused = 0;
	return 0;
}

static void lose_session(dy_agent_t *agent, dy_session_t *session)
{
	session->state = DY_SESSION_LOST;
	agent_note(agent, EVENT_SESSIONS_LOST, "session=%016lx",
		   (unsigned long)session->id);
}

static void move_session(turn_t *turn, dy_session_t *session)
{
	dy_agent_t *agent = turn->agent;
	uint64_t incarnation;

	if (!dy_list_empty(&session->calls)) {
		session->state = DY_SESSION_CLOSING;
		return;
	}
	incarnation = dy_successor_pick(session->id, agent->successors,
					agent->successor_count);
	if (set_successor(session, agent_member_follow(agent, session->id,
						       incarnation))) {
		lose_session(agent, session);
		return;
	}
	session->state = DY_SESSION_MOVED;
	agent_count(agent, EVENT_SESSIONS_MOVED);
	turn->outstanding++;
	g_ptr_array_add(turn->due, session);
}

/* Returns -1 if nobody can be asked to take the session any more. */
static int follow_successor(dy_agent_t *agent, dy_session_t *session)
{
	owner_fate_t fate = agent_member_fate(agent, session->successor,
					      session->successor_incarnation);

	if (fate == OWNER_DEAD)
		return -1;
	if (fate == OWNER_MAY_LIVE)
		return 0;
	if (session->refused)
		return set_successor(
			session,
			agent_member_follow(agent, session->id,
					    session->successor_incarnation));
	return session->handover_attempts < TRIES_MAX ? 0 : -1;
}

static void send_again(turn_t *turn, dy_session_t *session)
{
	uint64_t now_ms = agent_now_ms(turn->agent);

	if (now_ms - session->handover_sent_ms < RESEND_MS)
		return;
	if (follow_successor(turn->agent, session))
		lose_session(turn->agent, session);
	else
		g_ptr_array_add(turn->due, session);
}

static void count_outstanding(void *context, dy_session_t *session)
{
	turn_t *turn = context;

	if (session->state == DY_SESSION_MOVED)
		turn->outstanding++;
}

static void visit_session(void *context, dy_session_t *session)
{
	turn_t *turn = context;

	if (session->transient) {
		turn->unsettled++;
		return;
	}
	if (session->state == DY_SESSION_LOCAL ||
	    session->state == DY_SESSION_CLOSING) {
		if (turn->agent->has_successors &&
		    turn->outstanding < OUTSTANDING_MAX)
			move_session(turn, session);
	} else if (session->state == DY_SESSION_MOVED) {
		send_again(turn, session);
	}
	if (session->state < DY_SESSION_ACCEPTED)
		turn->unsettled++;
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

/* Send the sessions that are due, as many as fit in each message. */
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

static void finish_leaving(dy_agent_t *agent)
{
	agent->state = DY_MEMBER_LEFT;
	agent->left_ms = agent_now_ms(agent);
	agent_note(agent, EVENT_LEFT, "sessions=%u successors=%u",
		   dy_sessions_count(agent->sessions), agent->successor_count);
	agent->config.callbacks->report_state(agent->config.context,
					      DY_MEMBER_LEFT, agent->successors,
					      agent->successor_count);
}

static void tell_left(dy_agent_t *agent)
{
	if (agent->left_told)
		return;
	agent->left_told = 1;
	agent->config.callbacks->left(agent->config.context);
}

/* A planned stop waits no longer for what it cannot have. */
static int has_waited_enough(const dy_agent_t *agent)
{
	uint64_t waited_ms = agent_now_ms(agent) - agent->ends_ms;

	if (!agent->ends)
		return 0;
	if (!agent->incarnation)
		return 1;
	if (agent->view_current && !agent->candidate_count)
		return waited_ms >= NO_SUCCESSOR_MS;
	return waited_ms >= DY_AGENT_STOP_TIMEOUT_MS;
}

static void hand_over(dy_agent_t *agent)
{
	turn_t turn = { agent, g_ptr_array_new(), 0, 0 };

	dy_sessions_each(agent->sessions, count_outstanding, &turn);
	dy_sessions_each(agent->sessions, visit_session, &turn);
	send_due(agent, turn.due);
	g_ptr_array_free(turn.due, TRUE);
	if ((!turn.unsettled && agent->view_current &&
	     !agent_successors_pending(agent)) ||
	    has_waited_enough(agent))
		finish_leaving(agent);
}

/*
 * Balancers ask the successors only once control has recorded that this
 * agent has left; until then, and a while after, calls still come here.
 */
static int is_needed(const dy_agent_t *agent)
{
	uint64_t since_ms = agent_now_ms(agent) - agent->left_ms;

	if (!dy_sessions_count(agent->sessions))
		return agent->incarnation && !agent->left_recorded &&
		       since_ms < RECORD_MS;
	if (since_ms < DY_AGENT_LINGER_MS)
		return 1;
	return !agent->left_recorded && since_ms < DY_AGENT_STOP_TIMEOUT_MS;
}

void agent_leave_tick(dy_agent_t *agent)
{
	if (agent->state == DY_MEMBER_DRAINING) {
		if (agent->view_current && !agent->has_successors)
			agent_successors_tick(agent);
		hand_over(agent);
	}
	if (agent->state == DY_MEMBER_LEFT && !is_needed(agent))
		tell_left(agent);
}

static int relay_to(dy_agent_t *agent, const member_t *member,
		    const route_t *route, const dy_forward_t *forward)
{
	dy_forward_t copy = *forward;

	if (!member || member->id == agent->id)
		return -1;
	if (forward->hops >= DY_AGENT_HOPS_MAX) {
		agent_note(agent, EVENT_FORWARD_HOPS_EXCEEDED, "hops=%u",
			   forward->hops);
		return 0;
	}
	copy.agent = member->id;
	copy.incarnation = member->incarnation;
	copy.reply_to = route->to;
	copy.hops = forward->hops + 1;
	agent_count(agent, EVENT_FORWARD_RELAYED);
	agent->config.callbacks->relay_forward(agent->config.context,
					       &member->address, &copy);
	return 0;
}

int agent_leave_relay(dy_agent_t *agent, dy_session_t *session,
		      const route_t *route, const dy_forward_t *forward)
{
	if (session->state == DY_SESSION_LOST)
		return -1;
	return relay_to(agent,
			agent_member_follow(agent, session->id,
					    session->successor_incarnation),
			route, forward);
}

int agent_leave_pass(dy_agent_t *agent, const dy_token_t *token,
		     const route_t *route, const dy_forward_t *forward)
{
	return relay_to(
		agent,
		agent_member_follow(agent, token->session, token->incarnation),
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
		agent_note(agent, EVENT_HANDOVER_STALE, "to=%016lx",
			   (unsigned long)result->agent);
		return;
	}
	agent_successors_answered(agent, result);
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
