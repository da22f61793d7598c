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

/*
 * Agent 1 holds flow 1 and is suspect; it hears none of this balancer's
 * requests. Agents 2 and 3, which report, get this answer from it.
 */
static void begin_with_witnesses(dy_flow_answer_t answer)
{
	dy_address_t holder = fake_router_agent(1);

	fake_router_begin(3);
	fake_router.answer_to_witnesses = answer;
	pass_time(100, 0);
	fake_router_receive_held(1, &holder, 1);
	fake_router_set_member(1, DY_MEMBER_SUSPECT, "readings");
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
}

/* The flow's caller sends a packet every two seconds. */
static void pass_time_with_witnesses(uint64_t for_ms)
{
	uint64_t end_ms = fake_router.now_ms + for_ms;

	while (fake_router.now_ms < end_ms) {
		fake_router_receive_report(2);
		fake_router_receive_report(3);
		pass_time(100, 0);
		if (fake_router.now_ms % 2000 < 100)
			fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	}
}

/*
 * Guards against the reset of a flow whose agent is restarted as planned, and
 * takes longer for it than its lease.
 */
START_TEST(keeps_flow_of_suspect_agent_that_is_being_restarted)
{
	begin_with_witnesses(DY_FLOW_REFUSED_PORT);
	pass_time_with_witnesses(DY_FLOW_RESTART_TIMEOUT_MS / 2);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.resets, 0);
	pass_time_with_witnesses(DY_FLOW_RESTART_TIMEOUT_MS / 2 +
				 2 * DY_FLOW_LOST_TIMEOUT_MS);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.resets, 1);
	fake_router_end();
}
END_TEST

/*
 * Guards against the reset of a flow because this balancer's own messages to or
 * from its agent are lost.
 */
START_TEST(keeps_flow_of_suspect_agent_that_witnesses_hear)
{
	begin_with_witnesses(DY_FLOW_ECHOED);
	pass_time_with_witnesses(2 * DY_FLOW_RESTART_TIMEOUT_MS);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_end();
}
END_TEST

/* An agent that stands still for longer than its lease counts as failed. */
START_TEST(resets_flow_of_suspect_agent_that_does_not_run)
{
	begin_with_witnesses(DY_FLOW_ACCEPTED);
	pass_time_with_witnesses(DY_FLOW_LOST_TIMEOUT_MS + 100);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.resets, 1);
	fake_router_end();
}
END_TEST

/* A VM without power answers no witness. */
START_TEST(resets_flow_of_suspect_agent_that_nobody_hears)
{
	begin_with_witnesses(DY_FLOW_NO_ANSWER);
	pass_time_with_witnesses(DY_FLOW_LOST_TIMEOUT_MS + 100);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.resets, 1);
	fake_router_end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		keeps_flow_of_suspect_agent_after_pause,
		resets_flow_of_suspect_agent_that_answers_no_request,
		keeps_flow_of_suspect_agent_after_own_stall,
		keeps_flow_of_suspect_agent_that_is_being_restarted,
		keeps_flow_of_suspect_agent_that_witnesses_hear,
		resets_flow_of_suspect_agent_that_does_not_run,
		resets_flow_of_suspect_agent_that_nobody_hears,
		NULL,
	};

	return fake_suite_run("flow_lost", tests);
}
