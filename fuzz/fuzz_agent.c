/*
 * Agents of one service against an oracle: each run of bytes is a run of
 * operations over three cores, their targets, their callers, the network
 * between them and control. The oracle stands in tests/fake_agents.c: at most
 * one run of each call, no run of one that was refused as not run, no refusal
 * as not run of one that ran, whole answers of one's own calls only. Inside
 * the cores their own invariants are asserted.
 *
 * The first byte chooses: planned changes alone (drains, stops, restarts of
 * agents that have left, messages doubled and out of order), after which
 * every submission must have run once and been answered; or anything at all.
 */

#include <stdio.h>
#include <string.h>

#include "damaskyard/log.h"
#include "fake_agents.h"

/* A caller's copies come within this, in us: below what the cache keeps. */
#define COPY_US 55000000ULL

/*
 * Turns of 50 ms within which planned changes come to their end, and after
 * which a caller sends again.
 */
#define SETTLE_TURNS 240
#define SEND_AGAIN_TURNS 16

typedef struct run {
	fake_world_t *world;
	const uint8_t *bytes;
	size_t len;
	int planned;
} run_t;

static unsigned take(run_t *run)
{
	if (!run->len)
		return 0;
	run->len--;
	return *run->bytes++;
}

static unsigned take_below(run_t *run, unsigned limit)
{
	return take(run) % limit;
}

/* Mostly where a balancer would send it; now and then anywhere. */
static unsigned choose_agent(run_t *run, const dy_token_t *token)
{
	unsigned byte = take(run);

	if (!run->planned && byte >= 0xc0)
		return byte % FAKE_AGENTS;
	return world_route(run->world, token);
}

static void make_call(run_t *run, uint32_t procedure)
{
	unsigned caller = take_below(run, FAKE_CALLERS);

	if (run->world->call_count + FAKE_CALLERS >= FAKE_CALLS)
		return;
	if (run->planned && !run->world->callers[caller].has_token)
		return;
	world_send_call(
		run->world,
		choose_agent(run, &run->world->callers[caller].token_fields),
		caller, procedure);
}

static void copy_call(run_t *run, unsigned within)
{
	fake_world_t *world = run->world;
	const fake_call_t *call;
	uint32_t id;

	if (!world->call_count)
		return;
	id = world->call_count - 1 -
	     take_below(run, MIN(within, world->call_count));
	call = &world->calls[id];
	if (world->now_us - call->sent_us > COPY_US)
		return;
	world_retransmit_call(world, choose_agent(run, &call->token), id);
}

static void cancel_call(run_t *run)
{
	fake_world_t *world = run->world;
	uint32_t id;

	if (!world->call_count ||
	    world->call_count + FAKE_CALLERS >= FAKE_CALLS)
		return;
	id = world->call_count - 1 - take_below(run, MIN(8, world->call_count));
	if (world->callers[world->calls[id].caller].has_token)
		world_send_cancel(
			world, choose_agent(run, &world->calls[id].token), id);
}

static unsigned count_serving(const fake_world_t *world)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < FAKE_AGENTS; i++)
		count += world->agents[i].agent &&
			 dy_agent_state(world->agents[i].agent) ==
				 DY_MEMBER_SERVING;
	return count;
}

/* Of a planned change, at least one agent goes on serving. */
static void leave(run_t *run, unsigned index)
{
	fake_agent_t *agent = &run->world->agents[index];

	if (!agent->agent || (run->planned && count_serving(run->world) < 2))
		return;
	dy_agent_drain(agent->agent, "fuzz", 1);
}

static void answer_everything(fake_world_t *world)
{
	unsigned i;

	for (i = 0; i < FAKE_AGENTS; i++)
		if (world->agents[i].agent)
			world_answer_all(world, i);
}

/* Up to where the first messages that hold sessions are under way. */
static void begin_handover(run_t *run, unsigned index)
{
	leave(run, index);
	world_poll_control(run->world, index);
	world_advance(run->world, 50);
	while (world_deliver_message(run->world))
		;
	world_advance(run->world, 50);
	/* Else their deadlines, and not the change, would end the calls. */
	if (run->planned)
		answer_everything(run->world);
}

static void restart(run_t *run, unsigned index)
{
	fake_agent_t *agent = &run->world->agents[index];

	if (!run->planned || !agent->agent || agent->has_left)
		world_start_agent(run->world, index);
}

static void open_flow(run_t *run, unsigned index)
{
	unsigned caller = take_below(run, FAKE_CALLERS);

	if (run->planned && run->world->callers[caller].has_token)
		return;
	if (run->world->call_count + FAKE_CALLERS < FAKE_CALLS)
		world_open_session(run->world, index, caller);
}

static void pass(run_t *run)
{
	unsigned byte = take(run);

	if (run->planned)
		answer_everything(run->world);
	world_advance(run->world,
		      byte < 250 || run->planned ? 50 * (byte % 8 + 1) : 40000);
}

/* What may happen to a group in which every change is planned. */
static void operate_planned(run_t *run, unsigned op, unsigned index)
{
	switch (op) {
	case 0:
	case 1:
		make_call(run, FAKE_SUBMIT);
		break;
	case 2:
		make_call(run, FAKE_COUNT);
		break;
	case 3:
		copy_call(run, 16);
		break;
	case 4:
		world_answer(run->world, index, take_below(run, FAKE_SLOTS),
			     FAKE_OK);
		break;
	case 5:
		pass(run);
		break;
	case 6:
		world_poll_control(run->world, index);
		break;
	case 7:
		world_deliver_message(run->world);
		break;
	case 8:
		world_duplicate_message(run->world);
		break;
	case 9:
		world_reorder_message(run->world);
		break;
	case 10:
		open_flow(run, index);
		break;
	case 11:
		leave(run, index);
		break;
	case 12:
		restart(run, index);
		break;
	case 13:
		begin_handover(run, index);
		break;
	default:
		break;
	}
}

#define PLANNED_OPS 14

static void operate_unplanned(run_t *run, unsigned op, unsigned index)
{
	fake_world_t *world = run->world;
	fake_agent_t *agent = &world->agents[index];

	switch (op) {
	case 0:
		world_drop_message(world);
		break;
	case 1:
		world_answer(world, index, take_below(run, FAKE_SLOTS),
			     take_below(run, FAKE_REPLIES));
		break;
	case 2:
		world_close_link(world, index, take_below(run, DY_AGENT_LINKS));
		break;
	case 3:
		world_restart_target(world, index);
		break;
	case 4:
		cancel_call(run);
		break;
	case 5:
		world_answer_cancel(world, index, take_below(run, 2));
		break;
	case 6:
		agent->target_up = !agent->target_up;
		break;
	case 7:
		dy_agent_set_lease(agent->agent, (int)take_below(run, 2));
		break;
	case 8:
		copy_call(run, 256);
		break;
	case 9:
		agent->fail_sends = !agent->fail_sends;
		break;
	case 10:
		dy_agent_supersede(agent->agent);
		break;
	case 11:
		agent->target_frozen = !agent->target_frozen;
		break;
	default:
		break;
	}
}

#define UNPLANNED_OPS 12

static void operate(run_t *run)
{
	unsigned ops = PLANNED_OPS + (run->planned ? 0 : UNPLANNED_OPS);
	unsigned op = take_below(run, ops);
	unsigned index = take_below(run, FAKE_AGENTS);

	if (!run->world->agents[index].agent)
		return;
	if (op < PLANNED_OPS)
		operate_planned(run, op, index);
	else
		operate_unplanned(run, op - PLANNED_OPS, index);
}

/* A caller sends on until it is told something. Returns how many do. */
static unsigned send_unanswered(fake_world_t *world)
{
	const fake_call_t *call;
	unsigned count = 0;
	uint32_t id;

	for (id = 0; id < world->call_count; id++) {
		call = &world->calls[id];
		if (call->procedure != FAKE_SUBMIT || call->outcomes)
			continue;
		world_retransmit_call(world, world_route(world, &call->token),
				      id);
		count++;
	}
	return count;
}

static int is_changing(const fake_world_t *world)
{
	unsigned i;

	for (i = 0; i < FAKE_AGENTS; i++)
		if (world->agents[i].agent &&
		    dy_agent_state(world->agents[i].agent) ==
			    DY_MEMBER_DRAINING)
			return 1;
	return !g_queue_is_empty((GQueue *)&world->messages);
}

static void settle(fake_world_t *world)
{
	unsigned turn;
	unsigned i;

	for (turn = 0; turn < SETTLE_TURNS; turn++) {
		while (world_deliver_message(world))
			;
		for (i = 0; i < FAKE_AGENTS; i++)
			world_poll_control(world, i);
		answer_everything(world);
		if (turn % SEND_AGAIN_TURNS == 0 && !send_unanswered(world) &&
		    !is_changing(world))
			return;
		world_advance(world, 50);
	}
}

static void check_planned(fake_world_t *world)
{
	const fake_call_t *call;
	uint32_t id;

	for (id = 0; id < world->call_count; id++) {
		call = &world->calls[id];
		if (call->procedure != FAKE_SUBMIT)
			continue;
		if (call->runs == 1 && call->answered)
			continue;
		/* Refused for want of room, not for the change, is no loss. */
		if (!call->runs && call->reported_not_run && call->retry_ms &&
		    (call->reason == DY_REASON_OVERLOAD ||
		     call->reason == DY_REASON_SESSION_LIMIT ||
		     call->reason == DY_REASON_DEADLINE))
			continue;
		fprintf(stderr,
			"a planned change broke call %u: runs=%u outcomes=%u "
			"verdict=%s reason=%s\n",
			id, call->runs, call->outcomes,
			dy_verdict_name(call->verdict),
			dy_reason_name(call->reason));
		abort();
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	run_t run = { NULL, bytes, len, 0 };
	unsigned i;

	dy_log_configure(DY_LOG_ERROR + 1, NULL);
	run.world = fake_world_create();
	run.planned = take(&run) & 1;
	for (i = 0; i < FAKE_AGENTS; i++)
		world_start_agent(run.world, i);
	for (i = 0; i < FAKE_CALLERS; i++)
		world_open_session(run.world, take_below(&run, FAKE_AGENTS), i);
	while (run.len)
		operate(&run);
	if (run.planned) {
		settle(run.world);
		check_planned(run.world);
	}
	fake_world_destroy(run.world);
	return 0;
}
