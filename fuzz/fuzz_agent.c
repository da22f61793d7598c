/*
 * Runs the input as operations on three agents of one service, their targets,
 * callers, the network between them and control. The oracle is in
 * tests/fake_agents.c: each call runs at most once, no call runs that was
 * refused as not run, none that ran is refused as not run, and a caller
 * receives only complete answers to its own calls. The agents also assert
 * their own invariants.
 *
 * The first byte selects the operations: either planned changes only (drains,
 * stops, restarts of agents that have left, duplicated and reordered
 * messages), after which every submission must have run once and been
 * answered, or all operations.
 */

#include <stdio.h>
#include <string.h>

#include "damaskyard/log.h"
#include "fake_agents.h"

/*
 * Callers retransmit within this time, in us. It is less than the time for
 * which the duplicate request cache keeps an answer.
 */
#define RETRANSMIT_WINDOW_US 55000000ULL

/*
 * Steps of 50 ms within which planned changes must complete, and between a
 * caller's retransmissions.
 */
#define SETTLE_STEPS 240
#define RETRANSMIT_STEPS 16

typedef struct run {
	fake_world_t *world;
	const uint8_t *bytes;
	size_t len;
	int planned;
} run_t;

static unsigned read_byte(run_t *run)
{
	if (!run->len)
		return 0;
	run->len--;
	return *run->bytes++;
}

static unsigned read_below(run_t *run, unsigned limit)
{
	return read_byte(run) % limit;
}

/* Mostly the agent that a balancer would select; sometimes any agent. */
static unsigned choose_agent(run_t *run, const dy_token_t *token)
{
	unsigned byte = read_byte(run);

	if (!run->planned && byte >= 0xc0)
		return byte % FAKE_AGENTS;
	return world_route(run->world, token);
}

static void make_call(run_t *run, uint32_t procedure)
{
	unsigned caller = read_below(run, FAKE_CALLERS);

	if (run->world->call_count + FAKE_CALLERS >= FAKE_CALLS)
		return;
	if (run->planned && !run->world->callers[caller].has_token)
		return;
	world_send_call(
		run->world,
		choose_agent(run, &run->world->callers[caller].token_fields),
		caller, procedure);
}

static void retransmit_call(run_t *run, unsigned last_calls)
{
	fake_world_t *world = run->world;
	const fake_call_t *call;
	uint32_t id;

	if (!world->call_count)
		return;
	id = world->call_count - 1 -
	     read_below(run, MIN(last_calls, world->call_count));
	call = &world->calls[id];
	if (world->now_us - call->sent_us > RETRANSMIT_WINDOW_US)
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
	id = world->call_count - 1 - read_below(run, MIN(8, world->call_count));
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

/* During planned changes, at least one agent keeps serving. */
static void drain_agent(run_t *run, unsigned index)
{
	fake_agent_t *agent = &run->world->agents[index];

	if (!agent->agent || (run->planned && count_serving(run->world) < 2))
		return;
	dy_agent_drain(agent->agent, "fuzz", 1);
}

static void answer_all_calls(fake_world_t *world)
{
	unsigned i;

	for (i = 0; i < FAKE_AGENTS; i++)
		if (world->agents[i].agent)
			world_answer_all(world, i);
}

/* Runs a handover until the first messages with sessions are in transit. */
static void begin_handover(run_t *run, unsigned index)
{
	drain_agent(run, index);
	world_poll_control(run->world, index);
	world_advance(run->world, 50);
	while (world_deliver_message(run->world))
		;
	world_advance(run->world, 50);
	/* Otherwise the calls end by their deadlines, not by the change. */
	if (run->planned)
		answer_all_calls(run->world);
}

static void restart_agent(run_t *run, unsigned index)
{
	fake_agent_t *agent = &run->world->agents[index];

	if (!run->planned || !agent->agent || agent->has_left)
		world_start_agent(run->world, index);
}

static void open_session(run_t *run, unsigned index)
{
	unsigned caller = read_below(run, FAKE_CALLERS);

	if (run->planned && run->world->callers[caller].has_token)
		return;
	if (run->world->call_count + FAKE_CALLERS < FAKE_CALLS)
		world_open_session(run->world, index, caller);
}

static void advance_time(run_t *run)
{
	unsigned byte = read_byte(run);

	if (run->planned)
		answer_all_calls(run->world);
	world_advance(run->world,
		      byte < 250 || run->planned ? 50 * (byte % 8 + 1) : 40000);
}

/* Operations that may occur if every change is planned. */
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
		retransmit_call(run, 16);
		break;
	case 4:
		world_answer(run->world, index, read_below(run, FAKE_SLOTS),
			     FAKE_OK);
		break;
	case 5:
		advance_time(run);
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
		open_session(run, index);
		break;
	case 11:
		drain_agent(run, index);
		break;
	case 12:
		restart_agent(run, index);
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
		world_answer(world, index, read_below(run, FAKE_SLOTS),
			     read_below(run, FAKE_REPLIES));
		break;
	case 2:
		world_close_link(world, index, read_below(run, DY_AGENT_LINKS));
		break;
	case 3:
		world_restart_target(world, index);
		break;
	case 4:
		cancel_call(run);
		break;
	case 5:
		world_answer_cancel(world, index, read_below(run, 2));
		break;
	case 6:
		agent->target_up = !agent->target_up;
		break;
	case 7:
		dy_agent_set_lease(agent->agent, (int)read_below(run, 2));
		break;
	case 8:
		retransmit_call(run, 256);
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
	unsigned op = read_below(run, ops);
	unsigned index = read_below(run, FAKE_AGENTS);

	if (!run->world->agents[index].agent)
		return;
	if (op < PLANNED_OPS)
		operate_planned(run, op, index);
	else
		operate_unplanned(run, op - PLANNED_OPS, index);
}

/*
 * Retransmits all submissions without an outcome, as callers do until they get
 * one. Returns their number.
 */
static unsigned retransmit_unanswered(fake_world_t *world)
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
	unsigned step;
	unsigned i;

	for (step = 0; step < SETTLE_STEPS; step++) {
		while (world_deliver_message(world))
			;
		for (i = 0; i < FAKE_AGENTS; i++)
			world_poll_control(world, i);
		answer_all_calls(world);
		if (step % RETRANSMIT_STEPS == 0 &&
		    !retransmit_unanswered(world) && !is_changing(world))
			return;
		world_advance(world, 50);
	}
}

static void check_all_submissions(fake_world_t *world)
{
	const fake_call_t *call;
	uint32_t id;

	for (id = 0; id < world->call_count; id++) {
		call = &world->calls[id];
		if (call->procedure != FAKE_SUBMIT)
			continue;
		if (call->runs == 1 && call->answered)
			continue;
		/* A refusal by a limit or deadline is allowed. */
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
	run.planned = read_byte(&run) & 1;
	for (i = 0; i < FAKE_AGENTS; i++)
		world_start_agent(run.world, i);
	for (i = 0; i < FAKE_CALLERS; i++)
		world_open_session(run.world, read_below(&run, FAKE_AGENTS), i);
	while (run.len)
		operate(&run);
	if (run.planned) {
		settle(run.world);
		check_all_submissions(run.world);
	}
	fake_world_destroy(run.world);
	return 0;
}
