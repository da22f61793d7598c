/*
 * What callers receive where all of them open flows within one moment: an
 * agent's decisions, with a target and callers modelled by the millisecond.
 */

#include "damaskyard/flow_holder.h"

#include <string.h>

#include <glib.h>

#include "damaskyard/address.h"
#include "fake_suite.h"

/* The target answers 40 requests a second and queues a few. */
#define SLOTS 2
#define QUEUED_MAX 8
#define WORK_MS 50

/* One that is refused tries again at once, on another port, twice. */
#define CALLERS 60
#define TRIES 3
#define ROUND_TRIP_MS 6
#define DEADLINE_MS 2500

#define PACKET_BYTES 34

typedef enum step {
	STEP_OPENING,
	STEP_ASKING, /* the flow is open, its request is on its way */
	STEP_QUEUED,
	STEP_RUNNING,
	STEP_ANSWERED,
	STEP_FAILED
} step_t;

typedef struct caller {
	step_t step;
	unsigned tries;	 /* before this one */
	uint64_t due_ms; /* when it does what comes next; 0: it waits */
} caller_t;

static struct {
	dy_flow_holder_t *holder;
	uint64_t now_ms;
	caller_t callers[CALLERS];
	unsigned counts[STEP_FAILED + 1];
	unsigned refused; /* by the target: each cost a caller a try */
} world;

static void enter(caller_t *caller, step_t step, uint64_t due_ms)
{
	world.counts[caller->step]--;
	world.counts[step]++;
	caller->step = step;
	caller->due_ms = due_ms;
}

static dy_packet_t packet_of(const caller_t *caller, unsigned marks,
			     uint16_t data)
{
	dy_packet_t packet = { 0 };

	packet.flow.caller_ip = 1;
	packet.flow.caller_port =
		(uint16_t)((caller - world.callers) * TRIES + caller->tries);
	packet.flags = marks;
	packet.data_bytes = data;
	return packet;
}

static void send_to_agent(const caller_t *caller, unsigned marks, uint16_t data)
{
	dy_packet_t packet = packet_of(caller, marks, data);
	char bytes[PACKET_BYTES] = { 0 };
	dy_flow_forward_t forward = { 0 };
	dy_address_t self;

	dy_address_set_ipv4(&self, 1, 7002);
	dy_address_set_ipv4(&forward.balancer, 9, 7001);
	memcpy(bytes, &packet.flow, sizeof(packet.flow));
	forward.service = (char *)"readings";
	forward.tries.tries_val = &self;
	forward.tries.tries_len = 1;
	forward.packet.packet_val = bytes;
	forward.packet.packet_len = sizeof(bytes);
	dy_flow_holder_receive_forward(world.holder, &forward, &packet,
				       world.now_ms);
}

static void send_from_target(const caller_t *caller, unsigned marks,
			     uint16_t data)
{
	dy_packet_t packet = packet_of(caller, marks, data);
	uint8_t bytes[PACKET_BYTES] = { 0 };

	dy_flow_holder_receive_packet(world.holder, &packet, bytes,
				      sizeof(bytes), world.now_ms);
}

/* The try ended and did not run. */
static void end_try(caller_t *caller)
{
	if (caller->tries + 1 == TRIES) {
		enter(caller, STEP_FAILED, 0);
		return;
	}
	caller->tries++;
	enter(caller, STEP_OPENING, world.now_ms + ROUND_TRIP_MS);
}

/* Which caller's try a flow is; NULL if it has gone on to another. */
static caller_t *find_caller(const dy_flow_id_t *flow)
{
	caller_t *caller = &world.callers[flow->caller_port / TRIES];

	return caller->tries == flow->caller_port % TRIES ? caller : NULL;
}

static void to_target(void *context, uint8_t *bytes, size_t len, uint32_t note)
{
	dy_flow_id_t flow;
	caller_t *caller;

	(void)context;
	(void)len;
	(void)note;
	memcpy(&flow, bytes, sizeof(flow));
	caller = find_caller(&flow);
	if (!caller)
		return;
	/* An opening is answered, and its request comes a round trip later. */
	if (caller->step == STEP_OPENING)
		enter(caller, STEP_ASKING, world.now_ms + ROUND_TRIP_MS);
	else if (world.counts[STEP_QUEUED] < QUEUED_MAX)
		enter(caller, STEP_QUEUED, 0);
	else
		caller->due_ms = world.now_ms + 1;
}

static void to_caller(void *context, const dy_flow_id_t *flow,
		      const uint8_t *bytes, size_t len)
{
	(void)context;
	(void)flow;
	(void)bytes;
	(void)len;
}

static void on_nowhere(void *context, const dy_address_t *balancer,
		       dy_flow_nowhere_t *nowhere)
{
	caller_t *caller = find_caller(&nowhere->flow);

	(void)context;
	(void)balancer;
	if (caller && caller->step == STEP_OPENING)
		end_try(caller);
}

static void on_forward(void *context, dy_flow_forward_t *forward)
{
	(void)context;
	(void)forward;
}

static void on_held(void *context, const dy_address_t *balancer,
		    dy_flow_held_t *held)
{
	(void)context;
	(void)balancer;
	(void)held;
}

static void on_report(void *context, const dy_address_t *balancer,
		      dy_flow_report_t *report)
{
	(void)context;
	(void)balancer;
	(void)report;
}

static void on_event(void *context)
{
	(void)context;
}

static const dy_flow_holder_callbacks_t callbacks = {
	to_target,  to_caller, on_forward, on_held,
	on_nowhere, on_report, on_event,   on_event,
};

/* The target refuses a request, in its flow, as not run. */
static void refuse_request(caller_t *caller)
{
	world.refused++;
	send_from_target(caller, DY_PACKET_ACK | DY_PACKET_FIN, 100);
	end_try(caller);
}

static void do_next(caller_t *caller)
{
	caller->due_ms = 0;
	switch (caller->step) {
	case STEP_OPENING:
		send_to_agent(caller, DY_PACKET_SYN, 0);
		return;
	case STEP_ASKING:
		send_from_target(caller, DY_PACKET_SYN | DY_PACKET_ACK, 0);
		send_to_agent(caller, DY_PACKET_ACK, 90);
		if (caller->step == STEP_ASKING)
			refuse_request(caller);
		return;
	case STEP_RUNNING:
		enter(caller, STEP_ANSWERED, 0);
		send_from_target(caller, DY_PACKET_ACK, 300);
		return;
	default:
		return;
	}
}

static void run_target(void)
{
	unsigned i;

	for (i = 0; i < CALLERS && world.counts[STEP_RUNNING] < SLOTS; i++)
		if (world.callers[i].step == STEP_QUEUED)
			enter(&world.callers[i], STEP_RUNNING,
			      world.now_ms + WORK_MS);
}

static void run(uint64_t ms)
{
	uint64_t end_ms = world.now_ms + ms;
	unsigned i;

	for (; world.now_ms < end_ms; world.now_ms++) {
		for (i = 0; i < CALLERS; i++)
			if (world.callers[i].due_ms == world.now_ms)
				do_next(&world.callers[i]);
		run_target();
		if (!(world.now_ms % 200))
			dy_flow_holder_tick(world.holder, world.now_ms);
	}
}

static void announce(void)
{
	dy_target_notice_t notice = { .slots = SLOTS,
				      .sequence = 1,
				      .state = DY_TARGET_READY };

	g_strlcpy(notice.id, "t1", sizeof(notice.id));
	g_strlcpy(notice.service, "readings", sizeof(notice.service));
	dy_address_set_ipv4(&notice.address, 1, 8080);
	ck_assert(dy_flow_holder_receive_notice(world.holder, &notice,
						world.now_ms));
}

static dy_metrics_t *begin(void)
{
	dy_metrics_t *metrics = dy_metrics_create();
	dy_flow_holder_config_t config = { .service = "readings",
					   .metrics = metrics,
					   .callbacks = &callbacks };

	memset(&world, 0, sizeof(world));
	world.now_ms = 100000;
	world.counts[STEP_OPENING] = CALLERS;
	dy_address_set_ipv4(&config.self, 1, 7002);
	dy_address_set_ipv4(&config.target, 1, 8080);
	world.holder = dy_flow_holder_create(&config);
	announce();
	return metrics;
}

/*
 * Power is back, and sixty callers open flows to one target within a moment.
 * It can answer all of them before their deadlines, but would queue ten and
 * refuse the rest at once, three times each: most end with no tries left.
 */
START_TEST(callers_of_a_burst_are_answered)
{
	dy_metrics_t *metrics = begin();
	unsigned i;

	for (i = 0; i < CALLERS; i++)
		world.callers[i].due_ms = world.now_ms + i / 10;
	run(DEADLINE_MS);
	ck_assert_uint_eq(world.refused, 0);
	ck_assert_uint_ge(world.counts[STEP_ANSWERED], CALLERS - 3);
	dy_flow_holder_destroy(world.holder);
	dy_metrics_destroy(metrics);
}
END_TEST

/*
 * The burst is over what the target can do for long. Those who come while it
 * is worked off are still answered within four times their own work, not
 * behind all that came before.
 */
START_TEST(callers_after_a_burst_are_in_time)
{
	dy_metrics_t *metrics = begin();
	unsigned late = CALLERS - 5;
	unsigned in_time = 0;
	unsigned i;

	for (i = 0; i < late; i++)
		world.callers[i].due_ms = world.now_ms + i / 10;
	for (i = late; i < CALLERS; i++)
		world.callers[i].due_ms = world.now_ms + 300 + (i - late) * 60;
	run(300);
	for (i = late; i < CALLERS; i++) {
		run(i == late ? 4 * WORK_MS : 60);
		in_time += world.callers[i].step == STEP_ANSWERED;
	}
	ck_assert_uint_eq(in_time, CALLERS - late);
	dy_flow_holder_destroy(world.holder);
	dy_metrics_destroy(metrics);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		callers_of_a_burst_are_answered,
		callers_after_a_burst_are_in_time,
		NULL,
	};

	return fake_suite_run("flow_burst", tests);
}
