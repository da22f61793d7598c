/*
 * Callers' results when all of them open flows at the same time. The test runs
 * a flow holder against a model of a target and its callers with steps of 1 ms.
 */

#include "damaskyard/flow_holder.h"

#include <string.h>

#include <glib.h>

#include "damaskyard/address.h"
#include "fake_suite.h"

/* The target answers 40 requests per second and queues a few. */
#define SLOTS 2
#define QUEUED_MAX 8
#define WORK_MS 50

/* A caller that is refused retries at once on another port, up to two times. */
#define CALLERS 60
#define TRIES 3
#define ROUND_TRIP_MS 6
#define DEADLINE_MS 2500

#define PACKET_BYTES 34

typedef enum step {
	STEP_OPENING,
	STEP_REQUESTING, /* the flow is open, the request is in flight */
	STEP_QUEUED,
	STEP_RUNNING,
	STEP_ANSWERED,
	STEP_FAILED
} step_t;

typedef struct caller {
	step_t step;
	unsigned tries;	 /* number of earlier tries */
	uint64_t due_ms; /* time of the next step; 0: waiting */
} caller_t;

static struct {
	dy_flow_holder_t *holder;
	uint64_t now_ms;
	caller_t callers[CALLERS];
	unsigned counts[STEP_FAILED + 1];
	unsigned refused; /* by the target; each cost a caller a try */
} model;

static void set_step(caller_t *caller, step_t step, uint64_t due_ms)
{
	model.counts[caller->step]--;
	model.counts[step]++;
	caller->step = step;
	caller->due_ms = due_ms;
}

static dy_packet_t packet_of(const caller_t *caller, unsigned marks,
			     uint16_t data)
{
	dy_packet_t packet = { 0 };

	packet.flow.caller_ip = 1;
	packet.flow.caller_port =
		(uint16_t)((caller - model.callers) * TRIES + caller->tries);
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
	dy_flow_holder_receive_forward(model.holder, &forward, &packet,
				       model.now_ms);
}

static void send_from_target(const caller_t *caller, unsigned marks,
			     uint16_t data)
{
	dy_packet_t packet = packet_of(caller, marks, data);
	uint8_t bytes[PACKET_BYTES] = { 0 };

	dy_flow_holder_receive_packet(model.holder, &packet, bytes,
				      sizeof(bytes), model.now_ms);
}

/* Ends a try whose request did not run. */
static void end_try(caller_t *caller)
{
	if (caller->tries + 1 == TRIES) {
		set_step(caller, STEP_FAILED, 0);
		return;
	}
	caller->tries++;
	set_step(caller, STEP_OPENING, model.now_ms + ROUND_TRIP_MS);
}

/*
 * Returns the caller whose current try uses flow, or NULL if that try is over.
 */
static caller_t *find_caller(const dy_flow_id_t *flow)
{
	caller_t *caller = &model.callers[flow->caller_port / TRIES];

	return caller->tries == flow->caller_port % TRIES ? caller : NULL;
}

static void to_target(void *context, uint8_t *bytes, size_t len, uint32_t tag)
{
	dy_flow_id_t flow;
	caller_t *caller;

	(void)context;
	(void)len;
	(void)tag;
	memcpy(&flow, bytes, sizeof(flow));
	caller = find_caller(&flow);
	if (!caller)
		return;
	/*
	 * The target responds to a SYN; the request follows a round trip later.
	 */
	if (caller->step == STEP_OPENING)
		set_step(caller, STEP_REQUESTING, model.now_ms + ROUND_TRIP_MS);
	else if (model.counts[STEP_QUEUED] < QUEUED_MAX)
		set_step(caller, STEP_QUEUED, 0);
	else
		caller->due_ms = model.now_ms + 1;
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

static void on_grant(void *context, const dy_address_t *balancer,
		     dy_flow_grant_t *grant)
{
	(void)context;
	(void)balancer;
	(void)grant;
}

static const dy_flow_holder_callbacks_t callbacks = {
	.to_target = to_target,
	.to_caller = to_caller,
	.pass_on = on_forward,
	.held = on_held,
	.nowhere = on_nowhere,
	.grant = on_grant,
	.report = on_report,
	.changed = on_event,
	.check_port = on_event,
};

/* The target refuses a request as not run, within its flow. */
static void refuse_request(caller_t *caller)
{
	model.refused++;
	send_from_target(caller, DY_PACKET_ACK | DY_PACKET_FIN, 100);
	end_try(caller);
}

static void run_step(caller_t *caller)
{
	caller->due_ms = 0;
	switch (caller->step) {
	case STEP_OPENING:
		send_to_agent(caller, DY_PACKET_SYN, 0);
		return;
	case STEP_REQUESTING:
		send_from_target(caller, DY_PACKET_SYN | DY_PACKET_ACK, 0);
		send_to_agent(caller, DY_PACKET_ACK, 90);
		if (caller->step == STEP_REQUESTING)
			refuse_request(caller);
		return;
	case STEP_RUNNING:
		set_step(caller, STEP_ANSWERED, 0);
		send_from_target(caller, DY_PACKET_ACK, 300);
		return;
	default:
		return;
	}
}

static void run_target(void)
{
	unsigned i;

	for (i = 0; i < CALLERS && model.counts[STEP_RUNNING] < SLOTS; i++)
		if (model.callers[i].step == STEP_QUEUED)
			set_step(&model.callers[i], STEP_RUNNING,
				 model.now_ms + WORK_MS);
}

static void run_for(uint64_t ms)
{
	uint64_t end_ms = model.now_ms + ms;
	unsigned i;

	for (; model.now_ms < end_ms; model.now_ms++) {
		for (i = 0; i < CALLERS; i++)
			if (model.callers[i].due_ms == model.now_ms)
				run_step(&model.callers[i]);
		run_target();
		if (!(model.now_ms % 200))
			dy_flow_holder_tick(model.holder, model.now_ms);
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
	ck_assert(dy_flow_holder_receive_notice(model.holder, &notice,
						model.now_ms));
}

static dy_metrics_t *create_model(void)
{
	dy_metrics_t *metrics = dy_metrics_create();
	dy_flow_holder_config_t config = { .service = "readings",
					   .metrics = metrics,
					   .callbacks = &callbacks };

	memset(&model, 0, sizeof(model));
	model.now_ms = 100000;
	model.counts[STEP_OPENING] = CALLERS;
	dy_address_set_ipv4(&config.self, 1, 7002);
	dy_address_set_ipv4(&config.target, 1, 8080);
	model.holder = dy_flow_holder_create(&config);
	announce();
	return metrics;
}

/*
 * Power is back, and 60 callers open flows to one target at the same time. The
 * target could answer all of them in time. Without the agent's queue it would
 * queue 10 and refuse the rest at once, three times each, and most callers
 * would run out of tries.
 */
START_TEST(answers_callers_of_burst)
{
	dy_metrics_t *metrics = create_model();
	unsigned i;

	for (i = 0; i < CALLERS; i++)
		model.callers[i].due_ms = model.now_ms + i / 10;
	run_for(DEADLINE_MS);
	ck_assert_uint_eq(model.refused, 0);
	ck_assert_uint_ge(model.counts[STEP_ANSWERED], CALLERS - 3);
	dy_flow_holder_destroy(model.holder);
	dy_metrics_destroy(metrics);
}
END_TEST

/*
 * A burst exceeds the target's capacity for some time. Guards against new
 * callers that wait behind the whole burst: they must be answered within four
 * times their own service time.
 */
START_TEST(answers_callers_after_burst_in_time)
{
	dy_metrics_t *metrics = create_model();
	unsigned late = CALLERS - 5;
	unsigned in_time = 0;
	unsigned i;

	for (i = 0; i < late; i++)
		model.callers[i].due_ms = model.now_ms + i / 10;
	for (i = late; i < CALLERS; i++)
		model.callers[i].due_ms = model.now_ms + 300 + (i - late) * 60;
	run_for(300);
	for (i = late; i < CALLERS; i++) {
		run_for(i == late ? 4 * WORK_MS : 60);
		in_time += model.callers[i].step == STEP_ANSWERED;
	}
	ck_assert_uint_eq(in_time, CALLERS - late);
	dy_flow_holder_destroy(model.holder);
	dy_metrics_destroy(metrics);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		answers_callers_of_burst,
		answers_callers_after_burst_in_time,
		NULL,
	};

	return fake_suite_run("flow_burst", tests);
}
