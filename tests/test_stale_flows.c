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

static void announce(const char *id, uint64_t started_ms)
{
	dy_target_notice_t notice = fake_holder_notice(1, DY_TARGET_READY);

	g_strlcpy(notice.id, id, sizeof(notice.id));
	notice.started_ms = started_ms;
	ck_assert(
		dy_flow_holder_receive_notice(fake_holder.holder, &notice, 1));
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
	announce("t2", 90);
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
	announce("t2", 90);
	add_list(TIME_MS);
	open_flow(1);
	ck_assert(dy_stale_flows_pop(stale, &flow));
	ck_assert_uint_eq(flow.flow.caller_port, 2);
	ck_assert(!dy_stale_flows_pop(stale, &flow));
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
		NULL,
	};

	return fake_suite_run("stale_flows", tests);
}
