#include "fake_agents_private.h"

#include <stdio.h>
#include <string.h>

#include <rpc/rpc.h>

#include "damaskyard/successor.h"

#define STEP_MS 50

/* From LONG_ADVANCE_MS on the clock advances in longer steps. */
#define LONG_ADVANCE_MS 20000
#define LONG_STEP_MS 500

/* Maximum segment lifetime of the network. */
#define MESSAGE_TTL_US 60000000ULL

static const char document_text[] =
	"[service readings]\naddress = 10.0.0.1:1\nprogram = 0x2A000001\n"
	"version = 1\nidempotent = 2\ndeadline_ms = 1000\nslots = 2\n"
	"session_idle_s = 300\n";

typedef enum message_kind {
	MESSAGE_FORWARD,
	MESSAGE_HANDOVER,
	MESSAGE_HANDOVER_RESULT
} message_kind_t;

typedef struct message {
	message_kind_t kind;
	unsigned from;
	unsigned to;
	uint64_t sent_us;
	uint8_t *bytes;
	size_t len;
} message_t;

void world_violation(const char *what, uint32_t id)
{
	fprintf(stderr, "invariant violated: %s, call %u\n", what, id);
	abort();
}

void world_address(dy_address_t *address, unsigned index)
{
	char text[32];

	snprintf(text, sizeof(text), "127.0.0.1:%u", 9000 + index);
	dy_address_parse(text, address);
}

static uint64_t on_now_us(void *context)
{
	return ((fake_agent_t *)context)->world->now_us;
}

static void store_token(fake_caller_t *caller, fake_agent_t *from,
			const dy_rpc_reply_t *reply)
{
	dy_rpc_auth_t token = { AUTH_SHORT, DY_TOKEN_BYTES, NULL };

	if (reply->verifier.flavor != AUTH_SHORT)
		return;
	token.body = reply->verifier.body + 8;
	if (dy_token_load(from->keyring, &token, &caller->token_fields) !=
	    DY_TOKEN_OK)
		world_violation("agent issued an invalid token", 0);
	memcpy(caller->token, token.body, DY_TOKEN_BYTES);
	caller->has_token = 1;
}

static fake_call_t *find_call(fake_world_t *world, unsigned caller,
			      uint32_t xid)
{
	unsigned i;

	for (i = world->call_count; i--;)
		if (world->calls[i].xid == xid &&
		    world->calls[i].caller == caller)
			return &world->calls[i];
	return NULL;
}

static void check_results(fake_world_t *world, fake_call_t *call,
			  const dy_rpc_reply_t *reply)
{
	uint32_t id = (uint32_t)(call - world->calls);
	uint32_t word;

	if (call->procedure == NULLPROC)
		return;
	memcpy(&word, reply->results, 4);
	if (reply->results_len != 4 || ntohl(word) != id)
		world_violation("answer of another call, or truncated", id);
	if (!call->runs)
		world_violation("answer to a call that did not run", id);
}

static void check_answer(fake_world_t *world, fake_call_t *call,
			 const dy_rpc_reply_t *reply)
{
	uint32_t id = (uint32_t)(call - world->calls);
	dy_refusal_t refusal = { DY_RAN, DY_REASON_NONE, 0 };

	call->outcomes++;
	call->status = reply->status;
	if (reply->denied)
		refusal.verdict = DY_NOT_RUN;
	else if (dy_rpc_load_refusal(reply, &refusal) &&
		 reply->status == SUCCESS)
		check_results(world, call, reply);
	call->verdict = refusal.verdict;
	call->reason = refusal.reason;
	call->retry_ms = refusal.retry_after_ms;
	call->answered |= refusal.verdict == DY_RAN;
	if (call->procedure != FAKE_SUBMIT || refusal.verdict != DY_NOT_RUN)
		return;
	call->reported_not_run = 1;
	if (call->runs)
		world_violation("reported as not run after it ran", id);
}

static void check_cancel(fake_world_t *world, const fake_call_t *cancel,
			 const dy_rpc_reply_t *reply)
{
	fake_call_t *call = &world->calls[cancel->cancelled_id];
	dy_refusal_t *result = &world->cancel_result;
	XDR xdrs;

	if (reply->denied || reply->status != SUCCESS)
		return;
	xdrmem_create(&xdrs, (char *)reply->results, (u_int)reply->results_len,
		      XDR_DECODE);
	world->has_cancel_result = xdr_dy_refusal_t(&xdrs, result);
	if (call->procedure != FAKE_SUBMIT)
		return;
	if (result->verdict == DY_NOT_RUN && call->runs)
		world_violation("cancelled as not run after it ran",
				cancel->cancelled_id);
	if (result->verdict == DY_RAN && !call->runs)
		world_violation("cancel result is that it ran, but it did not",
				cancel->cancelled_id);
	call->reported_not_run |= result->verdict == DY_NOT_RUN;
}

static void on_answer(void *context, const dy_address_t *to,
		      dy_answer_t *answer)
{
	fake_agent_t *from = context;
	fake_world_t *world = from->world;
	unsigned caller = answer->caller.port - 5000;
	dy_rpc_reply_t reply;
	fake_call_t *call;

	if (dy_rpc_parse_reply((uint8_t *)answer->datagram.datagram_val,
			       answer->datagram.datagram_len, &reply))
		world_violation("malformed answer", 0);
	if (to->port != 7000)
		world_violation("answer not sent to the balancer", 0);
	if (!reply.denied && reply.status == SUCCESS)
		store_token(&world->callers[caller], from, &reply);
	call = find_call(world, caller, reply.xid);
	if (!call)
		world_violation("answer to an unknown call", reply.xid);
	if (call->procedure == FAKE_CANCEL)
		check_cancel(world, call, &reply);
	else
		check_answer(world, call, &reply);
}

static void on_bounce(void *context, const dy_address_t *to,
		      dy_bounce_t *bounce)
{
	fake_world_t *world = ((fake_agent_t *)context)->world;
	dy_rpc_call_t call;

	(void)to;
	dy_rpc_parse_call((uint8_t *)bounce->forward.datagram.datagram_val,
			  bounce->forward.datagram.datagram_len, &call);
	if (call.procedure == FAKE_SUBMIT)
		world_violation("non-idempotent call bounced", call.xid);
	world->bounces++;
	world->bounce_reason = bounce->reason;
}

static void send_message(fake_agent_t *from, message_kind_t kind,
			 const dy_address_t *to, xdrproc_t proc, void *value)
{
	static uint8_t bytes[1 << 17];
	message_t *message = g_new0(message_t, 1);
	XDR xdrs;

	xdrmem_create(&xdrs, (char *)bytes, sizeof(bytes), XDR_ENCODE);
	if (!proc(&xdrs, value))
		world_violation("message cannot be encoded", 0);
	message->kind = kind;
	message->sent_us = from->world->now_us;
	message->from = from->index;
	message->to = to->port - 9000;
	message->len = xdr_getpos(&xdrs);
	message->bytes = g_memdup2(bytes, message->len);
	g_queue_push_tail(&from->world->messages, message);
}

static void on_relay(void *context, const dy_address_t *to,
		     dy_forward_t *forward)
{
	send_message(context, MESSAGE_FORWARD, to, (xdrproc_t)xdr_dy_forward_t,
		     forward);
}

static void on_handover(void *context, const dy_address_t *to,
			dy_handover_t *handover)
{
	send_message(context, MESSAGE_HANDOVER, to,
		     (xdrproc_t)xdr_dy_handover_t, handover);
}

static void on_link_open(void *context, unsigned link, const dy_address_t *to)
{
	fake_agent_t *agent = context;

	(void)to;
	agent->links[link].requested = 1;
}

static void on_link_close(void *context, unsigned link)
{
	fake_agent_t *agent = context;

	memset(&agent->links[link], 0, sizeof(fake_link_t));
}

static void run_call(fake_world_t *world, uint32_t id)
{
	fake_call_t *call = &world->calls[id];

	if (call->procedure == FAKE_SUBMIT && call->runs)
		world_violation("call ran twice", id);
	if (call->reported_not_run)
		world_violation("call ran after it was reported as not run",
				id);
	call->runs++;
}

static int on_link_send(void *context, unsigned index, const uint8_t *bytes,
			size_t len)
{
	fake_agent_t *agent = context;
	fake_link_t *link = &agent->links[index];
	dy_rpc_call_t call;
	uint32_t word;

	if (agent->fail_sends)
		return -1;
	if (!link->up || link->busy || dy_rpc_parse_call(bytes, len, &call))
		world_violation("two calls on one connection", 0);
	link->target_xid = call.xid;
	link->probe_pending =
		call.program == PROGRAM && call.procedure == NULLPROC;
	if (link->probe_pending)
		return 0;
	link->busy = 1;
	memcpy(&word, call.args + (call.args_len - 4), 4);
	link->call_id = ntohl(word);
	if (index == DY_AGENT_CANCEL_LINK)
		return 0;
	run_call(agent->world, link->call_id);
	return 0;
}

static void publish_member(fake_agent_t *agent, dy_member_state_t state,
			   unsigned slots, const uint64_t *successors,
			   unsigned count)
{
	dy_member_t *member = g_new0(dy_member_t, 1);

	member->id = dy_agent_id(agent->agent);
	member->incarnation = agent->incarnation;
	member->state = state;
	member->info.kind = DY_MEMBER_AGENT;
	member->info.name = agent->name;
	member->info.environment = "production";
	member->info.domain = "d1";
	member->info.service = "readings";
	member->info.labels = "";
	member->info.slots = slots;
	world_address(&member->info.address, agent->index);
	member->successors.successors_len = count;
	member->successors.successors_val =
		g_memdup2(successors, count * sizeof(uint64_t));
	g_ptr_array_add(agent->world->members, member);
}

static void on_state(void *context, dy_member_state_t state,
		     const uint64_t *successors, unsigned count)
{
	publish_member(context, state, FAKE_SLOTS, successors, count);
}

static void on_info(void *context, const dy_announcement_t *target)
{
	fake_agent_t *agent = context;

	if (agent->agent && dy_agent_state(agent->agent) != DY_MEMBER_LEFT)
		publish_member(agent, dy_agent_state(agent->agent),
			       target->slots, NULL, 0);
}

static void on_left(void *context)
{
	((fake_agent_t *)context)->has_left = 1;
}

static const dy_agent_callbacks_t callbacks = {
	on_now_us,   on_answer,	   on_bounce,	  on_relay,
	on_handover, on_link_open, on_link_close, on_link_send,
	on_state,    on_info,	   on_left,
};

static void free_member(void *item)
{
	dy_member_t *member = item;

	g_free(member->successors.successors_val);
	g_free(member);
}

fake_world_t *fake_world_create(void)
{
	fake_world_t *world = g_new0(fake_world_t, 1);
	unsigned i;

	world->now_us = 1000000000;
	world->secrets.count = 1;
	world->document = dy_document_parse(document_text,
					    sizeof(document_text) - 1, NULL);
	g_queue_init(&world->messages);
	world->members = g_ptr_array_new_with_free_func(free_member);
	for (i = 0; i < FAKE_CALLERS; i++)
		world->callers[i].next_xid = 100000 * (i + 1);
	for (i = 0; i < FAKE_AGENTS; i++) {
		world->agents[i].world = world;
		world->agents[i].index = i;
		snprintf(world->agents[i].name, sizeof(world->agents[i].name),
			 "a%u", i);
	}
	return world;
}

static void free_message(message_t *message)
{
	g_free(message->bytes);
	g_free(message);
}

void fake_world_destroy(fake_world_t *world)
{
	unsigned i;

	for (i = 0; i < FAKE_AGENTS; i++)
		world_kill_agent(world, i);
	while (world_drop_message(world))
		;
	g_ptr_array_free(world->members, TRUE);
	dy_document_destroy(world->document);
	g_free(world);
}

void world_kill_agent(fake_world_t *world, unsigned index)
{
	fake_agent_t *agent = &world->agents[index];

	if (!agent->agent)
		return;
	dy_agent_destroy(agent->agent);
	dy_keyring_destroy(agent->keyring);
	dy_metrics_destroy(agent->metrics);
	agent->agent = NULL;
	memset(agent->links, 0, sizeof(agent->links));
}

void world_announce(fake_world_t *world, unsigned index, int draining)
{
	fake_agent_t *agent = &world->agents[index];
	dy_announcement_t announcement = {
		"readings", "",	      "127.0.0.1:8000",
		FAKE_SLOTS, 100,      agent->target_incarnation,
		FALSE,	    draining, TRUE
	};
	dy_announce_result_t result;

	dy_agent_receive_announcement(agent->agent, &announcement, &result);
	if (!dy_agent_service(agent->agent))
		dy_agent_set_document(agent->agent, world->document);
}

void world_poll_control(fake_world_t *world, unsigned index)
{
	fake_agent_t *agent = &world->agents[index];

	if (!agent->agent)
		return;
	for (; agent->members_seen < world->members->len; agent->members_seen++)
		dy_agent_update_member(
			agent->agent,
			g_ptr_array_index(world->members, agent->members_seen));
	dy_agent_caught_up(agent->agent);
}

void world_start_agent(fake_world_t *world, unsigned index)
{
	fake_agent_t *agent = &world->agents[index];
	dy_key_info_t key = { .id = 1, .active = TRUE };
	dy_agent_config_t config = { .name = agent->name,
				     .environment = "production",
				     .domain = "d1",
				     .callbacks = &callbacks,
				     .context = agent };

	world_kill_agent(world, index);
	agent->metrics = dy_metrics_create();
	agent->keyring = dy_keyring_create(&world->secrets);
	dy_keyring_apply(agent->keyring, &key);
	config.seed = 1 + world->members->len;
	config.metrics = agent->metrics;
	config.keyring = agent->keyring;
	world_address(&config.address, index);
	agent->agent = dy_agent_create(&config);
	agent->incarnation = world->members->len + 1;
	agent->target_incarnation = agent->incarnation;
	agent->members_seen = 0;
	agent->has_left = 0;
	agent->target_up = 1;
	publish_member(agent, DY_MEMBER_SERVING, FAKE_SLOTS, NULL, 0);
	dy_agent_set_incarnation(agent->agent, agent->incarnation);
	dy_agent_set_lease(agent->agent, 1);
	world_announce(world, index, 0);
	world_poll_control(world, index);
	world_advance(world, 100);
}

static void answer_probe(fake_agent_t *agent, unsigned index)
{
	dy_rpc_reply_t reply = { .xid = agent->links[index].target_xid };
	uint8_t out[64];
	size_t len = dy_rpc_write_reply(&reply, out, sizeof(out));

	agent->links[index].probe_pending = 0;
	dy_agent_link_receive(agent->agent, index, out, len);
}

static void bring_up_links(fake_agent_t *agent)
{
	unsigned i;

	if (!agent->target_up)
		return;
	for (i = 0; i < DY_AGENT_LINKS; i++) {
		if (agent->links[i].requested && !agent->links[i].up) {
			agent->links[i].up = 1;
			dy_agent_link_up(agent->agent, i);
		}
		if (agent->links[i].probe_pending && !agent->target_frozen)
			answer_probe(agent, i);
	}
}

void world_advance(fake_world_t *world, unsigned ms)
{
	fake_agent_t *agent;
	unsigned i;

	unsigned step_ms = ms >= LONG_ADVANCE_MS ? LONG_STEP_MS : STEP_MS;

	for (; ms >= step_ms; ms -= step_ms) {
		world->now_us += step_ms * 1000ULL;
		for (i = 0; i < FAKE_AGENTS; i++) {
			agent = &world->agents[i];
			if (!agent->agent)
				continue;
			if (agent->target_up)
				world_announce(world, i, 0);
			dy_agent_tick(agent->agent);
			bring_up_links(agent);
		}
	}
}

static void deliver_handover(fake_agent_t *to, unsigned from, XDR *xdrs)
{
	dy_handover_result_t result;
	dy_handover_t handover = { 0 };
	dy_address_t address;

	if (!xdr_dy_handover_t(xdrs, &handover))
		world_violation("handover cannot be decoded", 0);
	dy_agent_receive_handover(to->agent, &handover, &result);
	world_address(&address, from);
	send_message(to, MESSAGE_HANDOVER_RESULT, &address,
		     (xdrproc_t)xdr_dy_handover_result_t, &result);
	xdr_free((xdrproc_t)xdr_dy_handover_t, (char *)&handover);
	xdr_free((xdrproc_t)xdr_dy_handover_result_t, (char *)&result);
}

static void deliver_handover_result(fake_agent_t *to, XDR *xdrs)
{
	dy_handover_result_t result = { 0 };

	if (!xdr_dy_handover_result_t(xdrs, &result))
		world_violation("handover result cannot be decoded", 0);
	dy_agent_receive_handover_result(to->agent, &result);
	xdr_free((xdrproc_t)xdr_dy_handover_result_t, (char *)&result);
}

static void deliver_forward(fake_agent_t *to, unsigned from, XDR *xdrs)
{
	dy_forward_t forward = { 0 };
	dy_address_t address;

	if (!xdr_dy_forward_t(xdrs, &forward))
		world_violation("forward cannot be decoded", 0);
	world_address(&address, from);
	dy_agent_receive_forward(to->agent, &address, &forward);
	xdr_free((xdrproc_t)xdr_dy_forward_t, (char *)&forward);
}

static void deliver(fake_world_t *world, const message_t *message)
{
	fake_agent_t *to = &world->agents[message->to];
	XDR xdrs;

	if (!to->agent || world->now_us - message->sent_us > MESSAGE_TTL_US)
		return;
	xdrmem_create(&xdrs, (char *)message->bytes, (u_int)message->len,
		      XDR_DECODE);
	if (message->kind == MESSAGE_HANDOVER)
		deliver_handover(to, message->from, &xdrs);
	else if (message->kind == MESSAGE_HANDOVER_RESULT)
		deliver_handover_result(to, &xdrs);
	else
		deliver_forward(to, message->from, &xdrs);
}

int world_deliver_message(fake_world_t *world)
{
	message_t *message = g_queue_pop_head(&world->messages);

	if (!message)
		return 0;
	deliver(world, message);
	free_message(message);
	return 1;
}

int world_drop_message(fake_world_t *world)
{
	message_t *message = g_queue_pop_head(&world->messages);

	if (!message)
		return 0;
	free_message(message);
	return 1;
}

int world_duplicate_message(fake_world_t *world)
{
	message_t *message = g_queue_peek_head(&world->messages);
	message_t *copy;

	if (!message)
		return 0;
	copy = g_memdup2(message, sizeof(*message));
	copy->bytes = g_memdup2(message->bytes, message->len);
	g_queue_push_tail(&world->messages, copy);
	return 1;
}

int world_reorder_message(fake_world_t *world)
{
	message_t *message = g_queue_pop_head(&world->messages);

	if (message)
		g_queue_push_tail(&world->messages, message);
	return !!message;
}

void world_converge(fake_world_t *world)
{
	unsigned turns;
	unsigned i;

	for (turns = 0; turns < 40; turns++) {
		while (world_deliver_message(world))
			;
		for (i = 0; i < FAKE_AGENTS; i++) {
			world_poll_control(world, i);
			if (world->agents[i].agent)
				world_answer_all(world, i);
		}
		world_advance(world, STEP_MS);
	}
}
