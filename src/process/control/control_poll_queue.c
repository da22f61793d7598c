/*
 * What members want of a control: their polls and the ledger's lists, which
 * wait for a turn, and the invitations of a new leader.
 *
 * Guards against a crowd of members that unseats the leader: the group's own
 * messages come by the same socket. So the socket is emptied at once, what
 * members ask is put aside unopened, and each turn of the loop begins only as
 * much of it as its time allows. Polls go first: a list of flows that are over
 * helps callers only once balancers are ready.
 */

#include <rpc/rpc.h>
#include <string.h>

#include "control_private.h"
#include "damaskyard/invitations.h"
#include "damaskyard/poll_queue.h"
#include "damaskyard/rpc.h"
#include "dy_ledger.h"

/*
 * Polls are begun for so long in a turn of the loop, in ms: a third of a
 * heartbeat, so that a follower's answer is not late by more.
 */
#define TURN_MS 10

/* The clock is read after so many polls. */
#define POLLS_A_LOOK 4

/*
 * Polls waiting for the log; more wait in the queue, where their copies find
 * them.
 */
#define REQUESTS_MAX 1024

struct control_intake {
	dy_control_t *control;
	dy_poll_queue_t *queue;
	dy_poll_queue_t *lists; /* questions for them */
	dy_invitations_t *invitations;
	uv_idle_t *idle; /* active while anything waits */
	uint64_t led_ms; /* lead confirmed; 0: not, or not leading */
};

static void free_handle(uv_handle_t *handle)
{
	g_free(handle);
}

static void begin_poll(control_intake_t *intake, dy_queued_poll_t *poll)
{
	dy_control_t *control = intake->control;
	struct sockaddr_storage from;
	dy_sealed_t message;

	dy_address_write(&poll->from, &from);
	if (dy_seal_open(control->seal, poll->bytes, poll->len, &message) !=
		    DY_SEAL_OK ||
	    !control_poll(control, &message, (struct sockaddr *)&from))
		dy_poll_queue_complete(intake->queue, &poll->from, poll->xid);
	g_free(poll->bytes);
}

static void give_list(control_intake_t *intake, dy_queued_poll_t *ask)
{
	dy_control_t *control = intake->control;
	struct sockaddr_storage from;
	dy_sealed_t message;

	dy_address_write(&ask->from, &from);
	if (dy_seal_open(control->seal, ask->bytes, ask->len, &message) ==
	    DY_SEAL_OK)
		control_ledger_receive(control->ledger, &message,
				       (struct sockaddr *)&from);
	dy_poll_queue_complete(intake->lists, &ask->from, ask->xid);
	g_free(ask->bytes);
}

/* Begin what goes first. Returns 0 if there is nothing to begin now. */
static int begin_next(control_intake_t *intake)
{
	uint64_t now = control_now_ms(intake->control);
	dy_queued_poll_t next;

	if (intake->control->request_count >= REQUESTS_MAX)
		return 0;
	if (dy_poll_queue_dequeue(intake->queue, now, &next))
		begin_poll(intake, &next);
	else if (dy_poll_queue_dequeue(intake->lists, now, &next))
		give_list(intake, &next);
	else
		return 0;
	return 1;
}

static void on_idle(uv_idle_t *idle)
{
	control_intake_t *intake = idle->data;
	uint64_t end_ns = uv_hrtime() + TURN_MS * G_GUINT64_CONSTANT(1000000);
	unsigned begun = 0;

	do {
		if (!begin_next(intake)) {
			uv_idle_stop(idle);
			return;
		}
	} while (++begun % POLLS_A_LOOK || uv_hrtime() < end_ns);
}

control_intake_t *control_intake_create(dy_control_t *control)
{
	control_intake_t *intake = g_new0(control_intake_t, 1);

	intake->control = control;
	intake->queue = dy_poll_queue_create();
	intake->lists = dy_poll_queue_create();
	intake->invitations = dy_invitations_create();
	intake->idle = g_new0(uv_idle_t, 1);
	uv_idle_init(dy_loop_uv(control->loop), intake->idle);
	intake->idle->data = intake;
	return intake;
}

void control_intake_destroy(control_intake_t *intake)
{
	if (!intake)
		return;
	uv_close((uv_handle_t *)intake->idle, free_handle);
	dy_poll_queue_destroy(intake->queue);
	dy_poll_queue_destroy(intake->lists);
	dy_invitations_destroy(intake->invitations);
	g_free(intake);
}

/* The kind stands first in a poll; a lie costs its teller a turn at most. */
static int is_balancer(const dy_rpc_call_t *call)
{
	uint32_t kind;

	if (call->args_len < sizeof(kind))
		return 0;
	memcpy(&kind, call->args, sizeof(kind));
	return ntohl(kind) == DY_MEMBER_BALANCER;
}

/* The queue of what the call asks for; NULL if it does not wait. */
static dy_poll_queue_t *queue_of(const control_intake_t *intake,
				 const dy_rpc_call_t *call)
{
	if (call->program == DY_CONTROL_PROGRAM &&
	    call->procedure == DY_CONTROL_POLL)
		return intake->queue;
	if (call->program == DY_LEDGER_PROGRAM &&
	    call->procedure == DY_LEDGER_ASK)
		return intake->lists;
	return NULL;
}

int control_intake_take(control_intake_t *intake, const uint8_t *bytes,
			size_t len, const struct sockaddr *from)
{
	dy_control_t *control = intake->control;
	dy_poll_queue_t *queue;
	dy_address_t address;
	dy_rpc_call_t call;

	if (dy_rpc_parse_call(bytes, len, &call))
		return 0;
	queue = queue_of(intake, &call);
	if (!queue)
		return 0;
	dy_address_load(&address, from);
	switch (dy_poll_queue_enqueue(queue, &address, call.xid,
				      is_balancer(&call), bytes, len,
				      control_now_ms(control))) {
	case DY_POLL_QUEUED:
		uv_idle_start(intake->idle, on_idle);
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

void control_intake_end(control_intake_t *intake, const struct sockaddr *from,
			uint32_t xid)
{
	dy_address_t address;

	dy_address_load(&address, from);
	dy_poll_queue_complete(intake->queue, &address, xid);
	if (dy_poll_queue_count(intake->queue) ||
	    dy_poll_queue_count(intake->lists))
		uv_idle_start(intake->idle, on_idle);
}

static void send_invitation(control_intake_t *intake,
			    const dy_registry_member_t *member)
{
	dy_control_t *control = intake->control;
	dy_seal_header_t head = { 0, DY_MEMBER_PROGRAM, DY_MEMBER_INVITE };
	dy_address_t to = { .port = member->port };
	dy_invite_t invite;
	size_t len;

	memcpy(to.ip, member->ip, DY_IP_BYTES);
	control_show_leader(control, &invite.leader);
	len = dy_seal_write_call(control->seal, &head,
				 (xdrproc_t)xdr_dy_invite_t, &invite,
				 control->out, sizeof(control->out));
	if (!len ||
	    dy_endpoint_send_to(control->endpoint, control->out, len, &to))
		++*control->counters.unsent;
	++*control->counters.invitations;
}

static void invite_some(control_intake_t *intake)
{
	dy_control_t *control = intake->control;
	const dy_registry_member_t *member;
	uint64_t id;

	if (!intake->led_ms)
		return;
	while (dy_invitations_next(intake->invitations, control_now_ms(control),
				   &id)) {
		member = dy_registry_find_member(control->registry, id);
		if (member && dy_member_is_live(member) && member->port)
			send_invitation(intake, member);
		else
			dy_invitations_remove(intake->invitations, id);
	}
}

void control_intake_heard(control_intake_t *intake, uint64_t member)
{
	dy_invitations_remove(intake->invitations, member);
	invite_some(intake);
}

static void add_guest(void *context, const dy_registry_member_t *member)
{
	control_intake_t *intake = context;

	if (dy_member_is_live(member) && member->state != DY_MEMBER_SUSPECT)
		dy_invitations_add(intake->invitations, member->id,
				   member->kind == DY_MEMBER_BALANCER);
}

/*
 * Confirmed as the leader: only now is all that was acknowledged applied here,
 * and with it every member's address.
 */
static void on_lead_confirmed(void *context, dy_raft_result_t result,
			      uint64_t index)
{
	control_intake_t *intake = context;

	(void)index;
	if (result != DY_RAFT_DONE)
		return;
	intake->led_ms = control_now_ms(intake->control);
	dy_registry_each_member(intake->control->registry, add_guest, intake);
	invite_some(intake);
}

void control_intake_lead(control_intake_t *intake, int leads)
{
	intake->led_ms = 0;
	dy_invitations_clear(intake->invitations);
	if (leads)
		dy_raft_read(intake->control->raft, on_lead_confirmed, intake);
}

uint64_t control_intake_pace_ms(const control_intake_t *intake,
				unsigned members)
{
	return dy_poll_queue_interval_ms(intake->queue, members,
					 control_now_ms(intake->control));
}

void control_intake_tick(control_intake_t *intake)
{
	invite_some(intake);
}

/*
 * Taking in a control costs the leader a copy of its state and some rounds of
 * the log, just when all members wait for it.
 */
#define JOINS_WAIT_MS 1000

int control_intake_allows_joins(const control_intake_t *intake)
{
	uint64_t now = control_now_ms(intake->control);

	return intake->led_ms &&
	       (dy_invitations_is_empty(intake->invitations) ||
		now - intake->led_ms >= JOINS_WAIT_MS);
}
