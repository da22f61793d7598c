#include "damaskyard/stale_flows.h"

#include <glib.h>

#include "damaskyard/address.h"
#include "fake_holder.h"
#include "fake_suite.h"

#define TIME_MS 1000000

static dy_stale_flows_t *former;

static void begin(void)
{
	fake_holder_create();
	former = dy_stale_flows_create(fake_holder.holder);
}

static void end(void)
{
	dy_stale_flows_destroy(former);
	fake_holder_end();
}

static void announce(const char *id, uint64_t born_ms)
{
	dy_target_notice_t notice = fake_holder_notice(1, DY_TARGET_READY);

	g_strlcpy(notice.id, id, sizeof(notice.id));
	notice.born_ms = born_ms;
	ck_assert(
		dy_flow_holder_receive_notice(fake_holder.holder, &notice, 1));
}

static dy_ledger_flow_t flow_of(unsigned port)
{
	dy_ledger_flow_t flow = { { 1, 2, port, 443 }, 500 + port };

	return flow;
}

/* The list of t1, born at 70, made at TIME_MS: flows 1 and 2. */
static void take_list(uint64_t time_ms)
{
	dy_ledger_flow_t flows[] = { flow_of(1), flow_of(2) };
	dy_ledger_part_t part = { .born_ms = 70,
				  .made_ms = TIME_MS,
				  .good_ms = 12000 };

	part.target = (char *)"t1";
	part.flows.flows_val = flows;
	part.flows.flows_len = 2;
	dy_stale_flows_add_part(former, &part, time_ms);
}

/*
 * All power was lost, and a target starts anew. Callers' next requests on the
 * flows of before would be lost; they are reset first, each once, by the byte
 * that their caller acknowledged last.
 */
START_TEST(flows_of_an_earlier_start_are_reset_once)
{
	dy_ledger_flow_t flow;

	begin();
	announce("t2", 90);
	take_list(TIME_MS + 3000);
	take_list(TIME_MS + 3000);
	ck_assert_uint_eq(dy_stale_flows_count(former), 2);
	ck_assert(dy_stale_flows_pop(former, &flow));
	ck_assert_uint_eq(flow.flow.caller_port, 1);
	ck_assert_uint_eq(flow.ack, 501);
	ck_assert(dy_stale_flows_pop(former, &flow));
	ck_assert(!dy_stale_flows_pop(former, &flow));
	take_list(TIME_MS + 3000);
	ck_assert(!dy_stale_flows_pop(former, &flow));
	end();
}
END_TEST

/* The agent alone was killed: its target goes on with all its flows. */
START_TEST(flows_of_the_same_start_are_left_alone)
{
	begin();
	announce("t1", 70);
	take_list(TIME_MS);
	ck_assert_uint_eq(dy_stale_flows_count(former), 0);
	end();
}
END_TEST

/* Whether the target lives is not known yet: its notice may still come. */
START_TEST(nothing_is_reset_before_the_target_is_known)
{
	begin();
	take_list(TIME_MS);
	ck_assert_uint_eq(dy_stale_flows_count(former), 0);
	dy_flow_holder_port_checked(fake_holder.holder, DY_PORT_REFUSED, 1);
	take_list(TIME_MS);
	ck_assert_uint_eq(dy_stale_flows_count(former), 2);
	end();
}
END_TEST

/*
 * Power was out for long, or a control's disk took no list for a while: the
 * caller's last byte may be far from the one that was listed.
 */
START_TEST(old_list_is_not_believed)
{
	begin();
	announce("t2", 90);
	take_list(TIME_MS + 12001);
	take_list(TIME_MS - 12001);
	ck_assert_uint_eq(dy_stale_flows_count(former), 0);
	take_list(TIME_MS + 12000);
	ck_assert_uint_eq(dy_stale_flows_count(former), 2);
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

/* A caller opened a flow by the same two ends again. */
START_TEST(flow_that_is_open_again_is_left_alone)
{
	dy_ledger_flow_t flow;

	begin();
	announce("t2", 90);
	take_list(TIME_MS);
	open_flow(1);
	ck_assert(dy_stale_flows_pop(former, &flow));
	ck_assert_uint_eq(flow.flow.caller_port, 2);
	ck_assert(!dy_stale_flows_pop(former, &flow));
	end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		flows_of_an_earlier_start_are_reset_once,
		flows_of_the_same_start_are_left_alone,
		nothing_is_reset_before_the_target_is_known,
		old_list_is_not_believed,
		flow_that_is_open_again_is_left_alone,
		NULL,
	};

	return fake_suite_run("former_flows", tests);
}
