/* Flows of agents that control suspects: which are lost, and which live. */

#include "fake_router.h"
#include "fake_suite.h"

/* Runs the router's ticks; the agent, if it lives, answers each request. */
static void pass_time(uint64_t for_ms, unsigned live_agent)
{
	uint64_t end_ms = fake_router.now_ms + for_ms;
	unsigned asked;

	while (fake_router.now_ms < end_ms) {
		fake_router.now_ms += 100;
		asked = fake_router.report_requests;
		dy_flow_router_expire(fake_router.router, fake_router.now_ms);
		if (live_agent && fake_router.report_requests > asked)
			fake_router_receive_report(live_agent);
	}
}

/* Opens flow 1 at agent 1, which control suspects from then on. */
static void begin_with_suspect_holder(void)
{
	dy_address_t holder = fake_router_agent(1);

	fake_router_begin(2);
	pass_time(100, 0);
	fake_router_receive_held(1, &holder, 1);
	fake_router_set_member(1, DY_MEMBER_SUSPECT, "readings");
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
}

/*
 * Guards against the reset of a flow whose agent lives, but is cut off from
 * control: after a pause of its callers it owed this balancer no report.
 */
START_TEST(keeps_flow_of_suspect_agent_after_pause)
{
	begin_with_suspect_holder();
	pass_time(10 * DY_FLOW_LOST_TIMEOUT_MS, 1);
	ck_assert_uint_gt(fake_router.report_requests, 0);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_end();
}
END_TEST

/* A lost agent is asked several times, and then no more. */
START_TEST(resets_flow_of_suspect_agent_that_answers_no_request)
{
	begin_with_suspect_holder();
	pass_time(DY_FLOW_LOST_TIMEOUT_MS + 100, 0);
	ck_assert_uint_ge(fake_router.report_requests, 4);
	pass_time(10 * DY_FLOW_LOST_TIMEOUT_MS, 0);
	ck_assert_uint_le(fake_router.report_requests,
			  DY_FLOW_LOST_TIMEOUT_MS /
				  DY_FLOW_LOST_ASK_INTERVAL_MS);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.resets, 1);
	fake_router_end();
}
END_TEST

/* Guards against a reset because this balancer itself stood still. */
START_TEST(keeps_flow_of_suspect_agent_after_own_stall)
{
	begin_with_suspect_holder();
	pass_time(200, 0);
	fake_router.now_ms += 2 * DY_FLOW_LOST_TIMEOUT_MS;
	pass_time(100, 0);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		keeps_flow_of_suspect_agent_after_pause,
		resets_flow_of_suspect_agent_that_answers_no_request,
		keeps_flow_of_suspect_agent_after_own_stall,
		NULL,
	};

	return fake_suite_run("flow_lost", tests);
}
