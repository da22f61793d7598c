/*
 * Queues of members' polls and ledger queries, and the invitations of a new
 * leader.
 *
 * Load pattern: many members send polls at once, on the socket that also
 * carries the group's own messages. Without queues the leader answers polls
 * while its heartbeats wait, and loses the leadership. Therefore the socket is
 * drained at once, polls and queries are queued before their seal is verified,
 * and each loop iteration starts only as many of them as its time budget
 * allows. Polls go first: a list of closed flows helps callers only once
 * balancers are ready.
 */

#include <rpc/rpc.h>
#include <string.h>

#include "control_private.h"
#include "damaskyard/invitations.h"
#include "damaskyard/poll_queue.h"
#include "damaskyard/rpc.h"
#include "dy_ledger.h"

/*
 * Time budget for queued messages in one loop iteration: a third of a
 * heartbeat, so that a follower's answer is not delayed by more.
 */
#define ITERATION_BUDGET_MS 10

/* Messages started between two readings of the clock. */
#define POLLS_PER_CLOCK_READ 4

/*
 * Polls that wait for the log. More stay in the queue, which detects their
 * retransmissions.
 */
#define REQUESTS_MAX 1024

struct control_poll_queue {
	dy_control_t *control;
	dy_poll_queue_t *polls;
	dy_poll_queue_t *ledger_queries;
	dy_invitations_t *invitations;
	uv_idle_t *idle;	    /* active while messages are queued */
	uint64_t lead_confirmed_ms; /* 0: not a confirmed leader */
};

static void free_handle(uv_handle_t *handle)
{
	g_free(handle);
}

static void start_poll(control_poll_queue_t *queue, dy_queued_poll_t *poll)
{
	dy_control_t *control = queue->control;
	struct sockaddr_storage from;
	dy_sealed_t message;

	dy_address_write(&poll->from, &from);
	if (dy_seal_open(control->seal, poll->bytes, poll->len, &message) !=
		    DY_SEAL_OK ||
	    !control_poll(control, &message, (struct sockaddr *)&from))
		dy_poll_queue_complete(queue->polls, &poll->from, poll->xid);
	g_free(poll->bytes);
}

static void answer_ledger_query(control_poll_queue_t *queue,
				dy_queued_poll_t *query)
{
	dy_control_t *control = queue->control;
	struct sockaddr_storage from;
	dy_sealed_t message;

	dy_address_write(&query->from, &from);
	if (dy_seal_open(control->seal, query->bytes, query->len, &message) ==
	    DY_SEAL_OK)
		control_ledger_receive(control->ledger, &message,
				       (struct sockaddr *)&from);
	dy_poll_queue_complete(queue->ledger_queries, &query->from, query->xid);
	g_free(query->bytes);
}

/* Starts the next queued message. Returns 0 if none can start now. */
static int start_next(control_poll_queue_t *queue)
{
	uint64_t now = control_now_ms(queue->control);
	dy_queued_poll_t next;

	if (queue->control->request_count >= REQUESTS_MAX)
		return 0;
	if (dy_poll_queue_dequeue(queue->polls, now, &next))
		start_poll(queue, &next);
	else if (dy_poll_queue_dequeue(queue->ledger_queries, now, &next))
		answer_ledger_query(queue, &next);
	else
		return 0;
	return 1;
}

static void on_idle(uv_idle_t *idle)
{
	control_poll_queue_t *queue = idle->data;
	uint64_t end_ns =
		uv_hrtime() + ITERATION_BUDGET_MS * G_GUINT64_CONSTANT(1000000);
	unsigned begun = 0;

	do {
		if (!start_next(queue)) {
			uv_idle_stop(idle);
			return;
		}
	} while (++begun % POLLS_PER_CLOCK_READ || uv_hrtime() < end_ns);
}

control_poll_queue_t *control_poll_queue_create(dy_control_t *control)
{
	control_poll_queue_t *queue = g_new0(control_poll_queue_t, 1);

	queue->control = control;
	queue->polls = dy_poll_queue_create();
	queue->ledger_queries = dy_poll_queue_create();
	queue->invitations = dy_invitations_create();
	queue->idle = g_new0(uv_idle_t, 1);
	uv_idle_init(dy_loop_uv(control->loop), queue->idle);
	queue->idle->data = queue;
	return queue;
}

void control_poll_queue_destroy(control_poll_queue_t *queue)
{
	if (!queue)
		return;
	uv_close((uv_handle_t *)queue->idle, free_handle);
	dy_poll_queue_destroy(queue->polls);
	dy_poll_queue_destroy(queue->ledger_queries);
	dy_invitations_destroy(queue->invitations);
	g_free(queue);
}

/*
 * Reads the member kind, the first field of a poll. The message is not yet
 * authenticated; a false kind only changes the sender's own order in the queue.
 */
static int is_balancer(const dy_rpc_call_t *call)
{
	uint32_t kind;

	if (call->args_len < sizeof(kind))
		return 0;
	memcpy(&kind, call->args, sizeof(kind));
	return ntohl(kind) == DY_MEMBER_BALANCER;
}

/* Returns the queue for a call, or NULL if it is processed at once. */
static dy_poll_queue_t *queue_of(const control_poll_queue_t *queue,
				 const dy_rpc_call_t *call)
{
	if (call->program == DY_CONTROL_PROGRAM &&
	    call->procedure == DY_CONTROL_POLL)
		return queue->polls;
	if (call->program == DY_LEDGER_PROGRAM &&
	    call->procedure == DY_LEDGER_ASK)
		return queue->ledger_queries;
	return NULL;
}

int control_poll_queue_put(control_poll_queue_t *queue, const uint8_t *bytes,
			   size_t len, const struct sockaddr *from)
{
	dy_control_t *control = queue->control;
	dy_poll_queue_t *polls;
	dy_address_t address;
	dy_rpc_call_t call;

	if (dy_rpc_parse_call(bytes, len, &call))
		return 0;
	polls = queue_of(queue, &call);
	if (!polls)
		return 0;
	dy_address_load(&address, from);
	switch (dy_poll_queue_enqueue(polls, &address, call.xid,
				      is_balancer(&call), bytes, len,
				      control_now_ms(control))) {
	case DY_POLL_QUEUED:
		uv_idle_start(queue->idle, on_idle);
		break;
	case DY_POLL_REPLACED:
	case DY_POLL_DUPLICATE:
		++*control->counters.poll_copies;
		break;
	case DY_POLL_FULL:
		++*control->counters.polls_shed;
		break;
	}
	return 1;
}

void control_poll_queue_finish(control_poll_queue_t *queue,
			       const struct sockaddr *from, uint32_t xid)
{
	dy_address_t address;

	dy_address_load(&address, from);
	dy_poll_queue_complete(queue->polls, &address, xid);
	if (dy_poll_queue_count(queue->polls) ||
	    dy_poll_queue_count(queue->ledger_queries))
		uv_idle_start(queue->idle, on_idle);
}

static void send_invitation(control_poll_queue_t *queue,
			    const dy_registry_member_t *member)
{
	dy_control_t *control = queue->control;
	dy_seal_header_t head = { 0, DY_MEMBER_PROGRAM, DY_MEMBER_INVITE };
	dy_address_t to = { .port = member->port };
	dy_invite_t invite;
	size_t len;

	memcpy(to.ip, member->ip, DY_IP_BYTES);
	control_leader_address(control, &invite.leader);
	len = dy_seal_write_call(control->seal, &head,
				 (xdrproc_t)xdr_dy_invite_t, &invite,
				 control->out, sizeof(control->out));
	if (!len ||
	    dy_endpoint_send_to(control->endpoint, control->out, len, &to))
		++*control->counters.unsent;
	++*control->counters.invitations;
}

static void send_invitations(control_poll_queue_t *queue)
{
	dy_control_t *control = queue->control;
	const dy_registry_member_t *member;
	uint64_t id;

	if (!queue->lead_confirmed_ms)
		return;
	while (dy_invitations_next(queue->invitations, control_now_ms(control),
				   &id)) {
		member = dy_registry_find_member(control->registry, id);
		if (member && dy_member_is_live(member) && member->port)
			send_invitation(queue, member);
		else
			dy_invitations_remove(queue->invitations, id);
	}
}

void control_poll_queue_poll_answered(control_poll_queue_t *queue,
				      uint64_t member)
{
	dy_invitations_remove(queue->invitations, member);
	send_invitations(queue);
}

static void add_invitation(void *context, const dy_registry_member_t *member)
{
	control_poll_queue_t *queue = context;

	if (dy_member_is_live(member) && member->state != DY_MEMBER_SUSPECT)
		dy_invitations_add(queue->invitations, member->id,
				   member->kind == DY_MEMBER_BALANCER);
}

/*
 * Leadership is confirmed: only now are all acknowledged entries applied here,
 * including every member's address.
 */
static void on_lead_confirmed(void *context, dy_raft_result_t result,
			      uint64_t index)
{
	control_poll_queue_t *queue = context;

	(void)index;
	if (result != DY_RAFT_DONE)
		return;
	queue->lead_confirmed_ms = control_now_ms(queue->control);
	dy_registry_each_member(queue->control->registry, add_invitation,
				queue);
	send_invitations(queue);
}

void control_poll_queue_set_leading(control_poll_queue_t *queue, int leads)
{
	queue->lead_confirmed_ms = 0;
	dy_invitations_clear(queue->invitations);
	if (leads)
		dy_raft_read(queue->control->raft, on_lead_confirmed, queue);
}

uint64_t control_poll_queue_interval_ms(const control_poll_queue_t *queue,
					unsigned members)
{
	return dy_poll_queue_interval_ms(queue->polls, members,
					 control_now_ms(queue->control));
}

void control_poll_queue_tick(control_poll_queue_t *queue)
{
	send_invitations(queue);
}

/*
 * Joins wait this long after the leadership was confirmed, unless all invited
 * members have polled. Adding a control costs the leader a copy of its state
 * and some rounds of the log, while all members wait for answers.
 */
#define JOIN_DELAY_MS 1000

int control_poll_queue_allows_joins(const control_poll_queue_t *queue)
{
	uint64_t now = control_now_ms(queue->control);

	return queue->lead_confirmed_ms &&
	       (dy_invitations_is_empty(queue->invitations) ||
		now - queue->lead_confirmed_ms >= JOIN_DELAY_MS);
}
