/* The callers and targets of fake_agents.h. */

#include "fake_agents_private.h"

#include <string.h>

#include <rpc/rpc.h>

#include "damaskyard/successor.h"

static void forward_bytes(fake_world_t *world, unsigned index, unsigned caller,
			  const uint8_t *bytes, size_t len)
{
	fake_agent_t *agent = &world->agents[index];
	dy_forward_t forward = { 0 };
	dy_address_t balancer;

	if (!agent->agent)
		return;
	world_address(&forward.caller, 0);
	forward.caller.port = 5000 + caller;
	world_address(&balancer, 0);
	balancer.port = 7000;
	forward.service = dy_service_id("readings");
	forward.agent = dy_agent_id(agent->agent);
	forward.incarnation = agent->incarnation;
	forward.datagram.datagram_val = (char *)bytes;
	forward.datagram.datagram_len = (u_int)len;
	dy_agent_receive_forward(agent->agent, &balancer, &forward);
}

static size_t write_call(fake_world_t *world, unsigned caller,
			 dy_rpc_call_t *call, uint8_t *out, size_t cap)
{
	fake_caller_t *from = &world->callers[caller];

	call->xid = from->next_xid++;
	if (from->has_token) {
		call->credential.flavor = AUTH_SHORT;
		call->credential.len = DY_TOKEN_BYTES;
		call->credential.body = from->token;
	}
	return dy_rpc_write_call(call, out, cap);
}

/* Add a call to world->calls. Returns its id. */
static uint32_t add_call(fake_world_t *world, unsigned caller,
			 dy_rpc_call_t *call)
{
	uint32_t id = world->call_count++;
	fake_call_t *entry = &world->calls[id];

	entry->len = write_call(world, caller, call, entry->bytes,
				sizeof(entry->bytes));
	entry->xid = call->xid;
	entry->caller = caller;
	entry->procedure =
		call->program == PROGRAM ? call->procedure : FAKE_CANCEL;
	entry->sent_us = world->now_us;
	entry->token = world->callers[caller].token_fields;
	return id;
}

uint32_t world_send_call(fake_world_t *world, unsigned index, unsigned caller,
			 uint32_t procedure)
{
	uint32_t word = htonl(world->call_count);
	dy_rpc_call_t call = { .program = PROGRAM,
			       .program_version = 1,
			       .procedure = procedure,
			       .args = (uint8_t *)&word,
			       .args_len = 4 };
	uint32_t id = add_call(world, caller, &call);

	world_retransmit_call(world, index, id);
	return id;
}

void world_retransmit_call(fake_world_t *world, unsigned index, uint32_t id)
{
	const fake_call_t *call = &world->calls[id];

	forward_bytes(world, index, call->caller, call->bytes, call->len);
}

void world_send_cancel(fake_world_t *world, unsigned index, uint32_t meant)
{
	uint32_t word = htonl(world->calls[meant].xid);
	dy_rpc_call_t call = { .program = DY_CALLER_PROGRAM,
			       .program_version = 1,
			       .procedure = DY_CALLER_CANCEL,
			       .args = (uint8_t *)&word,
			       .args_len = 4 };
	uint32_t id;

	world->has_cancel_result = 0;
	id = add_call(world, world->calls[meant].caller, &call);
	world->calls[id].cancelled_id = meant;
	world_retransmit_call(world, index, id);
}

void world_open_session(fake_world_t *world, unsigned index, unsigned caller)
{
	world->callers[caller].has_token = 0;
	world_send_call(world, index, caller, NULLPROC);
}

static size_t write_reply(const fake_link_t *link, fake_reply_t kind,
			  uint8_t *out, size_t cap)
{
	static const uint8_t large[DY_DATAGRAM_BYTES];
	dy_refusal_t refusal = { DY_NOT_RUN, DY_REASON_SHED, 7 };
	uint32_t word = htonl(link->call_id);
	dy_rpc_reply_t reply = { .xid = link->target_xid,
				 .results = (uint8_t *)&word,
				 .results_len = 4 };

	if (kind == FAKE_SHED)
		return dy_rpc_write_refusal(reply.xid, &refusal, out, cap);
	reply.xid += kind == FAKE_WRONG_XID;
	reply.denied = kind == FAKE_DENIED;
	if (kind == FAKE_PROG_UNAVAIL)
		reply.status = PROG_UNAVAIL;
	if (kind == FAKE_SYSTEM_ERR)
		reply.status = SYSTEM_ERR;
	if (kind == FAKE_DENIED)
		reply.status = AUTH_REJECTEDCRED;
	if (kind == FAKE_LARGE) {
		reply.results = large;
		reply.results_len = sizeof(large);
	}
	return dy_rpc_write_reply(&reply, out, cap);
}

int world_answer(fake_world_t *world, unsigned index, unsigned link_index,
		 fake_reply_t kind)
{
	static uint8_t out[DY_DATAGRAM_BYTES + DY_RPC_MAX_HEADER_BYTES];
	fake_agent_t *agent = &world->agents[index];
	fake_link_t *link = &agent->links[link_index];
	size_t len;

	if (!agent->agent || !link->busy || agent->target_frozen ||
	    link_index == DY_AGENT_CANCEL_LINK)
		return 0;
	link->busy = 0;
	/* A target that sheds a call has not run it. */
	if (kind == FAKE_SHED)
		world->calls[link->call_id].runs--;
	len = write_reply(link, kind, out, sizeof(out));
	if (kind == FAKE_GARBAGE)
		memset(out, 0xff, len);
	dy_agent_link_receive(agent->agent, link_index, out, len);
	return 1;
}

void world_answer_all(fake_world_t *world, unsigned index)
{
	unsigned i;

	for (i = 0; i < DY_AGENT_SLOTS_MAX; i++)
		while (world_answer(world, index, i, FAKE_OK))
			;
}

void world_close_link(fake_world_t *world, unsigned index, unsigned link)
{
	fake_agent_t *agent = &world->agents[index];

	if (!agent->agent || !agent->links[link].up)
		return;
	memset(&agent->links[link], 0, sizeof(fake_link_t));
	dy_agent_link_down(agent->agent, link);
}

/* A target can grant the cancellation only of a call that it has. */
static int revoke_run(fake_world_t *world, fake_agent_t *agent, uint32_t xid)
{
	fake_link_t *link;
	unsigned i;

	for (i = 0; i < DY_AGENT_SLOTS_MAX; i++) {
		link = &agent->links[i];
		if (!link->busy || world->calls[link->call_id].xid != xid)
			continue;
		world->calls[link->call_id].runs--;
		return 1;
	}
	return 0;
}

void world_answer_cancel(fake_world_t *world, unsigned index, int granted)
{
	fake_agent_t *agent = &world->agents[index];
	fake_link_t *link = &agent->links[DY_AGENT_CANCEL_LINK];
	dy_rpc_reply_t reply = { .xid = link->target_xid, .results_len = 4 };
	uint8_t out[64];
	uint32_t word;
	size_t len;

	if (!agent->agent || !link->busy)
		return;
	link->busy = 0;
	word = htonl(granted && revoke_run(world, agent, link->call_id));
	reply.results = (uint8_t *)&word;
	len = dy_rpc_write_reply(&reply, out, sizeof(out));
	dy_agent_link_receive(agent->agent, DY_AGENT_CANCEL_LINK, out, len);
}

void world_restart_target(fake_world_t *world, unsigned index)
{
	world->agents[index].target_incarnation++;
	world_announce(world, index, 0);
}

static const dy_member_t *find_incarnation(const fake_world_t *world,
					   uint64_t incarnation)
{
	const dy_member_t *member;
	unsigned i;

	for (i = world->members->len; i--;) {
		member = g_ptr_array_index(world->members, i);
		if (member->incarnation == incarnation)
			return member;
	}
	return NULL;
}

unsigned world_route(const fake_world_t *world, const dy_token_t *token)
{
	const dy_member_t *member = find_incarnation(world, token->incarnation);
	unsigned hops;

	for (hops = 0; member && hops < 8; hops++) {
		if (member->state != DY_MEMBER_LEFT)
			return member->info.address.port - 9000;
		member = find_incarnation(
			world,
			dy_successor_pick(token->session,
					  member->successors.successors_val,
					  member->successors.successors_len));
	}
	return token->address.port ? token->address.port - 9000 : 0;
}

unsigned world_token_agent(const fake_world_t *world, unsigned caller)
{
	return world->callers[caller].token_fields.address.port - 9000;
}

uint64_t world_counter(const fake_world_t *world, unsigned index,
		       const char *name)
{
	return dy_metrics_value(world->agents[index].metrics, name);
}
