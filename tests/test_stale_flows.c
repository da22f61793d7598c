#include "damaskyard/stale_flows.h"

#include <glib.h>

#include "damaskyard/address.h"
#include "fake_holder.h"
#include "fake_suite.h"

#define TIME_MS 1000000

static dy_stale_flows_t *stale;

static void begin(void)
{
	fake_holder_create();
	stale = dy_stale_flows_create(fake_holder.holder);
}

static void end(void)
{
	dy_stale_flows_destroy(stale);
	fake_holder_end();
}

/* A notice at now_ms, which is its number too. */
static void announce_at(const char *id, uint64_t started_ms, uint64_t now_ms)
{
	dy_target_notice_t notice = fake_holder_notice(now_ms, DY_TARGET_READY);
	int acknowledged;

	g_strlcpy(notice.id, id, sizeof(notice.id));
	notice.started_ms = started_ms;
	acknowledged = dy_flow_holder_receive_notice(fake_holder.holder,
						     &notice, now_ms);
	/* Only a notice of the instance that is in force is acknowledged. */
	ck_assert_int_eq(acknowledged,
			 dy_flow_holder_instance_state(fake_holder.holder, id,
						       started_ms) ==
				 DY_TARGET_INSTANCE_CURRENT);
}

static void announce(const char *id, uint64_t started_ms)
{
	announce_at(id, started_ms, 1);
}

/* A notice could be late, the second one after it can't. */
static void announce_twice(const char *id, uint64_t started_ms)
{
	announce_at(id, started_ms, 1);
	announce_at(id, started_ms, 1 + DY_INSTANCE_CONFIRM_MS);
}

static dy_ledger_flow_t flow_of(unsigned port)
{
	dy_ledger_flow_t flow = { { 1, 2, port, 443 }, 500 + port };

	return flow;
}

/* The list of target t1, started at 70, made at TIME_MS: flows 1 and 2. */
static void add_list(uint64_t time_ms)
{
	dy_ledger_flow_t flows[] = { flow_of(1), flow_of(2) };
	dy_ledger_part_t part = { .born_ms = 70,
				  .made_ms = TIME_MS,
				  .good_ms = 12000 };

	part.target = (char *)"t1";
	part.flows.flows_val = flows;
	part.flows.flows_len = 2;
	dy_stale_flows_add_part(stale, &part, time_ms);
}

/*
 * All power was lost, and a target restarts. Without resets the callers' next
 * requests on the old flows are lost. Each flow gets one reset, with the
 * caller's last acknowledgement.
 */
START_TEST(resets_flows_of_earlier_instance_once)
{
	dy_ledger_flow_t flow;

	begin();
	announce_twice("t2", 90);
	add_list(TIME_MS + 3000);
	add_list(TIME_MS + 3000);
	ck_assert_uint_eq(dy_stale_flows_count(stale), 2);
	ck_assert(dy_stale_flows_pop(stale, &flow));
	ck_assert_uint_eq(flow.flow.caller_port, 1);
	ck_assert_uint_eq(flow.ack, 501);
	ck_assert(dy_stale_flows_pop(stale, &flow));
	ck_assert(!dy_stale_flows_pop(stale, &flow));
	add_list(TIME_MS + 3000);
	ck_assert(!dy_stale_flows_pop(stale, &flow));
	end();
}
END_TEST

/* Only the agent was killed: its target keeps running with all its flows. */
START_TEST(keeps_flows_of_same_instance)
{
	begin();
	announce("t1", 70);
	add_list(TIME_MS);
	ck_assert_uint_eq(dy_stale_flows_count(stale), 0);
	end();
}
END_TEST

/* It is not known yet whether the target runs; its notice may still come. */
START_TEST(resets_nothing_before_target_is_known)
{
	begin();
	add_list(TIME_MS);
	ck_assert_uint_eq(dy_stale_flows_count(stale), 0);
	dy_flow_holder_port_checked(fake_holder.holder, DY_PORT_REFUSED, 1);
	add_list(TIME_MS);
	ck_assert_uint_eq(dy_stale_flows_count(stale), 2);
	end();
}
END_TEST

/*
 * Power was out for long, or a control's disk stored no list for some time: the
 * caller's acknowledgement may be far from the listed one.
 */
START_TEST(ignores_expired_list)
{
	begin();
	announce("t2", 90);
	add_list(TIME_MS + 12001);
	add_list(TIME_MS - 12001);
	ck_assert_uint_eq(dy_stale_flows_count(stale), 0);
	add_list(TIME_MS + 12000);
	ck_assert_uint_eq(dy_stale_flows_count(stale), 2);
	end();
}
END_TEST

static void open_flow(unsigned port)
{
	dy_packet_t packet = { .flow = flow_of(port).flow };
	char bytes[34] = { 0 };
	dy_flow_forward_t forward = { 0 };
	dy_address_t self;

	dy_address_set_ipv4(&self, 1, 7002);
	packet.flags = DY_PACKET_SYN;
	forward.service = (char *)"readings";
	forward.tries.tries_val = &self;
	forward.tries.tries_len = 1;
	forward.packet.packet_val = bytes;
	forward.packet.packet_len = sizeof(bytes);
	dy_flow_holder_receive_forward(fake_holder.holder, &forward, &packet,
				       1);
}

/* A caller opened a flow between the same two ends again. */
START_TEST(keeps_flow_that_is_open_again)
{
	dy_ledger_flow_t flow;

	begin();
	announce_twice("t2", 90);
	add_list(TIME_MS);
	open_flow(1);
	ck_assert(dy_stale_flows_pop(stale, &flow));
	ck_assert_uint_eq(flow.flow.caller_port, 2);
	ck_assert(!dy_stale_flows_pop(stale, &flow));
	end();
}
END_TEST

/* Guards against the reset of a live target's flows after a late notice. */
START_TEST(keeps_flows_of_live_instance_after_late_notice)
{
	dy_ledger_flow_t flow;

	begin();
	announce("t0", 50);
	add_list(TIME_MS);
	ck_assert(!dy_stale_flows_pop(stale, &flow));
	announce_at("t1", 70, 200);
	ck_assert(!dy_stale_flows_pop(stale, &flow));
	ck_assert_uint_eq(dy_stale_flows_count(stale), 0);
	announce_at("t1", 70, 2000);
	ck_assert(!dy_stale_flows_pop(stale, &flow));
	end();
}
END_TEST

/* Guards against the same with a late one that was born by a faster clock. */
START_TEST(keeps_flows_of_live_instance_that_speaks_after_late_notice)
{
	dy_ledger_flow_t flow;

	begin();
	announce("t0", 90);
	add_list(TIME_MS);
	ck_assert(!dy_stale_flows_pop(stale, &flow));
	announce_at("t1", 70, 1000);
	announce_at("t0", 90, 1001);
	ck_assert(!dy_stale_flows_pop(stale, &flow));
	announce_at("t1", 70, 2200);
	announce_at("t1", 70, 3400);
	ck_assert(!dy_stale_flows_pop(stale, &flow));
	announce_at("t1", 70, 4600);
	ck_assert(!dy_stale_flows_pop(stale, &flow));
	ck_assert_uint_eq(dy_stale_flows_count(stale), 0);
	end();
}
END_TEST

/* Guards against callers that wait for their time-outs after a power loss. */
START_TEST(resets_waiting_flows_at_second_notice_or_refused_port)
{
	dy_ledger_flow_t flow;

	begin();
	announce("t2", 90);
	add_list(TIME_MS);
	ck_assert(!dy_stale_flows_pop(stale, &flow));
	announce_at("t2", 90, 1201);
	ck_assert(dy_stale_flows_pop(stale, &flow));
	ck_assert(dy_stale_flows_pop(stale, &flow));
	ck_assert(!dy_stale_flows_pop(stale, &flow));
	end();
	begin();
	dy_flow_holder_port_checked(fake_holder.holder, DY_PORT_REFUSED, 1);
	announce("t2", 90);
	add_list(TIME_MS);
	ck_assert(dy_stale_flows_pop(stale, &flow));
	end();
}
END_TEST

static void note_packet(unsigned port, int returned)
{
	dy_flow_id_t flow = flow_of(port).flow;

	dy_stale_flows_note_packet(stale, &flow, returned);
}

/* Guards against callers that wait for the second notice after a power loss. */
START_TEST(resets_waiting_flows_once_target_gave_two_back)
{
	dy_ledger_flow_t flow;

	begin();
	announce("t2", 90);
	add_list(TIME_MS);
	note_packet(1, 1);
	note_packet(1, 1);
	note_packet(3, 1);
	ck_assert(!dy_stale_flows_pop(stale, &flow));
	note_packet(2, 1);
	ck_assert(dy_stale_flows_pop(stale, &flow));
	ck_assert(dy_stale_flows_pop(stale, &flow));
	ck_assert(!dy_stale_flows_pop(stale, &flow));
	end();
}
END_TEST

/* Guards against the reset of a live target's flows after two others ended. */
START_TEST(keeps_waiting_flows_when_target_answers_on_one)
{
	dy_ledger_flow_t flow;

	begin();
	announce("t2", 90);
	add_list(TIME_MS);
	note_packet(1, 0);
	note_packet(1, 1);
	note_packet(2, 1);
	ck_assert(!dy_stale_flows_pop(stale, &flow));
	end();
	begin();
	announce("t0", 50);
	add_list(TIME_MS);
	note_packet(1, 1);
	note_packet(2, 1);
	ck_assert(!dy_stale_flows_pop(stale, &flow));
	end();
}
END_TEST

/* Guards against no resets at all after a clock was set back. */
START_TEST(resets_flows_of_instance_with_later_start_time_after_timeout)
{
	dy_ledger_flow_t flow;

	begin();
	announce("t2", 50);
	add_list(TIME_MS);
	announce_at("t2", 50, 1201);
	announce_at("t2", 50, 2401);
	ck_assert(!dy_stale_flows_pop(stale, &flow));
	announce_at("t2", 50, 1 + DY_INSTANCE_TIMEOUT_MS);
	ck_assert(dy_stale_flows_pop(stale, &flow));
	end();
}
END_TEST

/* Guards against resets from a list that expired while it waited. */
START_TEST(drops_list_that_expires_while_it_waits)
{
	dy_ledger_flow_t flow;

	begin();
	announce("t2", 90);
	add_list(TIME_MS);
	dy_stale_flows_expire(stale, TIME_MS + 12000);
	ck_assert_uint_eq(dy_stale_flows_count(stale), 2);
	dy_stale_flows_expire(stale, TIME_MS + 12001);
	announce_at("t2", 90, 12001);
	ck_assert(!dy_stale_flows_pop(stale, &flow));
	ck_assert_uint_eq(dy_stale_flows_count(stale), 0);
	end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		resets_flows_of_earlier_instance_once,
		keeps_flows_of_same_instance,
		resets_nothing_before_target_is_known,
		ignores_expired_list,
		keeps_flow_that_is_open_again,
		keeps_flows_of_live_instance_after_late_notice,
		keeps_flows_of_live_instance_that_speaks_after_late_notice,
		resets_waiting_flows_at_second_notice_or_refused_port,
		resets_waiting_flows_once_target_gave_two_back,
		keeps_waiting_flows_when_target_answers_on_one,
		resets_flows_of_instance_with_later_start_time_after_timeout,
		drops_list_that_expires_while_it_waits,
		NULL,
	};

	return fake_suite_run("stale_flows", tests);
}
