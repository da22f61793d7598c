/* The router's openings that wait for a target; flow_router_waiting.c. */

#include "damaskyard/waiting_openings.h"
#include "fake_router.h"
#include "fake_suite.h"

/* Longest wait in ms of an opening whose entry has no time-out. */
#define WAIT_MAX_MS DY_OPENING_WAIT_MAX_MS

static void open_flow(unsigned flow)
{
	fake_router_receive_packet(flow, DY_PACKET_SYN, 0);
}

/* Opens a flow that all its candidates return. */
static void open_to_full_service(unsigned flow)
{
	open_flow(flow);
	fake_router_receive_nowhere_from(1, flow, DY_FLOW_FULL);
}

static int went_to(unsigned number)
{
	dy_address_t agent = fake_router_agent(number);

	return dy_address_equal(&fake_router.tries[0], &agent);
}

/* Guards against an opening that is stuck at one full target. */
START_TEST(sends_waiting_opening_to_who_grants_a_place)
{
	fake_router_begin_waiting(3);
	open_to_full_service(1);
	ck_assert_uint_eq(fake_router.forward.wait, DY_FLOW_WAIT_AT_BALANCER);
	ck_assert_uint_eq(dy_flow_router_waiting(fake_router.router), 1);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_receive_grant(2, 0);
	ck_assert_uint_eq(fake_router.forwards, 2);
	ck_assert_uint_eq(fake_router.forward.wait, DY_FLOW_GRANTED);
	ck_assert(went_to(2));
	ck_assert_uint_eq(dy_flow_router_waiting(fake_router.router), 0);
	fake_router_end();
}
END_TEST

/* Lets as many openings wait as do before new ones have to. */
static void let_a_few_wait(void)
{
	unsigned flow;

	for (flow = 1; flow <= DY_WAITING_FEW; flow++)
		open_to_full_service(flow);
	ck_assert_uint_eq(fake_router.forwards, DY_WAITING_FEW);
}

/* Guards against a new opening that overtakes those that wait. */
START_TEST(new_openings_wait_behind_others)
{
	fake_router_begin_waiting(3);
	let_a_few_wait();
	open_flow(50);
	ck_assert_uint_eq(fake_router.forwards, DY_WAITING_FEW);
	ck_assert_uint_eq(fake_router.reservations, 1);
	ck_assert_uint_eq(dy_flow_router_waiting(fake_router.router),
			  DY_WAITING_FEW + 1);
	fake_router_receive_grant(1, 0);
	fake_router_receive_grant(3, 0);
	ck_assert_uint_eq(fake_router.forwards, DY_WAITING_FEW + 2);
	open_flow(51);
	ck_assert_uint_eq(fake_router.forwards, DY_WAITING_FEW + 3);
	fake_router_end();
}
END_TEST

/*
 * One opening waits at a full target, below capacity. Guards against all others
 * that wait with it, while targets have places.
 */
START_TEST(new_openings_are_sent_while_few_wait)
{
	fake_router_begin_waiting(3);
	open_to_full_service(1);
	open_flow(2);
	ck_assert_uint_eq(fake_router.forwards, 2);
	ck_assert_uint_eq(dy_flow_router_waiting(fake_router.router), 1);
	fake_router_end();
}
END_TEST

/*
 * A caller's copy arrives just after its opening was sent on a grant. Guards
 * against a second target that takes it, and a healthy one that is avoided.
 */
START_TEST(copy_does_not_race_with_a_granted_opening)
{
	fake_router_begin_waiting(3);
	open_to_full_service(1);
	fake_router.now_ms += 199;
	fake_router_receive_grant(2, 0);
	ck_assert_uint_eq(fake_router.forwards, 2);
	fake_router.now_ms++;
	open_flow(1);
	ck_assert_uint_eq(fake_router.forwards, 2);
	ck_assert_uint_eq(dy_flow_router_waiting(fake_router.router), 0);
	fake_router.now_ms += 400;
	open_flow(1);
	ck_assert_uint_eq(fake_router.forwards, 3);
	fake_router_end();
}
END_TEST

/*
 * Two transmissions of a SYN are both returned, or refused: guards against an
 * opening that waits twice, whose memory was freed while it was queued.
 */
START_TEST(an_opening_waits_once)
{
	fake_router_begin_waiting(3);
	open_to_full_service(1);
	fake_router_receive_nowhere_from(2, 1, DY_FLOW_FULL);
	fake_router_receive_nowhere_from(3, 1, DY_FLOW_REFUSED);
	open_flow(1);
	ck_assert_uint_eq(dy_flow_router_waiting(fake_router.router), 1);
	fake_router_receive_grant(1, 0);
	ck_assert_uint_eq(dy_flow_router_waiting(fake_router.router), 0);
	fake_router_end();
}
END_TEST

/* Guards against a caller who is told to go while other targets have room. */
START_TEST(refused_opening_waits_for_another_target)
{
	dy_address_t refusing = fake_router_agent(1);

	fake_router_begin_waiting(3);
	open_flow(1);
	fake_router_receive_nowhere_from(1, 1, DY_FLOW_REFUSED);
	ck_assert_uint_eq(fake_router.resets, 0);
	ck_assert_uint_eq(fake_router.reservations, 1);
	ck_assert(!dy_address_equal(&fake_router.reserved_at, &refusing));
	fake_router_end();
}
END_TEST

/* The only target refuses: its caller is told at once. */
START_TEST(refuses_when_no_other_target_is_left)
{
	fake_router_begin_waiting(1);
	open_flow(1);
	fake_router_receive_nowhere_from(1, 1, DY_FLOW_REFUSED);
	ck_assert_uint_eq(fake_router.resets, 1);
	ck_assert_uint_eq(dy_flow_router_waiting(fake_router.router), 0);
	fake_router_end();
}
END_TEST

/* Guards against a caller who gets no answer at all. */
START_TEST(refuses_what_waited_for_its_maximum)
{
	fake_router_begin_waiting(3);
	open_to_full_service(1);
	fake_router.now_ms += WAIT_MAX_MS - 1;
	dy_flow_router_expire(fake_router.router, fake_router.now_ms);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router.now_ms++;
	dy_flow_router_expire(fake_router.router, fake_router.now_ms);
	ck_assert_uint_eq(fake_router.resets, 1);
	fake_router_end();
}
END_TEST

/* Guards against a place that is kept for a balancer where nothing waits. */
START_TEST(declines_a_grant_without_use)
{
	fake_router_begin_waiting(3);
	fake_router_receive_grant(1, 0);
	ck_assert_uint_eq(fake_router.declines, 1);
	ck_assert_uint_eq(fake_router.forwards, 0);
	fake_router_end();
}
END_TEST

/* A target fails while openings wait for it: guards against a lost turn. */
START_TEST(reserves_elsewhere_what_an_agent_returns)
{
	dy_address_t returning = fake_router_agent(1);

	fake_router_begin_waiting(3);
	open_to_full_service(1);
	fake_router_receive_grant(1, 1);
	ck_assert_uint_eq(fake_router.reservations, 1);
	ck_assert(!dy_address_equal(&fake_router.reserved_at, &returning));
	ck_assert_uint_eq(dy_flow_router_waiting(fake_router.router), 1);
	fake_router_end();
}
END_TEST

/* All targets fail: guards against messages that go to and fro. */
START_TEST(reserves_nowhere_if_no_agent_admits)
{
	unsigned number;

	fake_router_begin_waiting(3);
	open_to_full_service(1);
	for (number = 1; number <= 3; number++)
		fake_router_receive_grant(number, 1);
	fake_router.reservations = 0;
	fake_router_receive_grant(1, 1);
	ck_assert_uint_eq(fake_router.reservations, 0);
	fake_router_end();
}
END_TEST

/* Guards against an opening whose reservation or grant was lost. */
START_TEST(renews_reservations)
{
	fake_router_begin_waiting(3);
	open_to_full_service(1);
	fake_router.now_ms += DY_RESERVATION_RENEW_MS;
	dy_flow_router_expire(fake_router.router, fake_router.now_ms);
	ck_assert_uint_eq(fake_router.reservations, 1);
	fake_router_end();
}
END_TEST

/*
 * The entry moves to another service while an opening waits: guards against a
 * target that no configuration in force allows.
 */
START_TEST(routes_anew_when_the_entry_moves)
{
	fake_router_begin_waiting(2);
	fake_router_set_member(7, DY_MEMBER_SERVING, "maps");
	open_to_full_service(1);
	fake_router_set_rules(6, "maps", NULL);
	fake_router_receive_grant(1, 0);
	ck_assert_uint_eq(fake_router.forwards, 2);
	ck_assert_str_eq(fake_router.service, "maps");
	ck_assert(went_to(7));
	ck_assert_uint_eq(fake_router.declines, 1);
	fake_router_end();
}
END_TEST

/* The entry is dropped while an opening waits: its caller is told at once. */
START_TEST(refuses_when_the_entry_is_gone)
{
	fake_router_begin_waiting(2);
	open_to_full_service(1);
	dy_flow_router_set_rules(fake_router.router, dy_flow_rules_create(6));
	fake_router_receive_grant(1, 0);
	ck_assert_uint_eq(fake_router.forwards, 1);
	ck_assert_uint_eq(fake_router.resets, 1);
	fake_router_end();
}
END_TEST

/*
 * A copy of a SYN waits while the target answers the first one. Guards against
 * a reset of the flow that is open meanwhile, and against a second target.
 */
START_TEST(opening_of_a_held_flow_waits_no_longer)
{
	dy_address_t holder = fake_router_agent(3);

	fake_router_begin_waiting(3);
	open_to_full_service(1);
	fake_router_receive_held(1, &holder, 1);
	ck_assert_uint_eq(dy_flow_router_waiting(fake_router.router), 0);
	fake_router.now_ms += WAIT_MAX_MS;
	dy_flow_router_expire(fake_router.router, fake_router.now_ms);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_end();
}
END_TEST

/*
 * The agent's first answer arrives twice, after it has admitted the opening.
 * Guards against an opening that is sent once more.
 */
START_TEST(ignores_late_copy_of_a_return)
{
	dy_address_t holder = fake_router_agent(1);

	fake_router_begin_waiting(3);
	open_to_full_service(1);
	fake_router_receive_grant(1, 0);
	fake_router_receive_held(1, &holder, 0);
	fake_router_receive_nowhere_from(1, 1, DY_FLOW_FULL);
	ck_assert_uint_eq(dy_flow_router_waiting(fake_router.router), 0);
	fake_router_end();
}
END_TEST

/* Guards against a packet in mid-flow that is taken for an opening. */
START_TEST(only_openings_wait)
{
	dy_packet_t packet = fake_router_packet(1, DY_PACKET_ACK, 5);
	dy_flow_nowhere_t nowhere = { 0 };

	fake_router_begin_waiting(3);
	nowhere.flow = packet.flow;
	nowhere.agent = fake_router_agent(1);
	nowhere.reason = DY_FLOW_FULL;
	nowhere.packet.packet_val = (char *)fake_router.bytes;
	nowhere.packet.packet_len = sizeof(fake_router.bytes);
	dy_flow_router_receive_nowhere(fake_router.router, &nowhere, &packet,
				       fake_router.now_ms);
	ck_assert_uint_eq(dy_flow_router_waiting(fake_router.router), 0);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_end();
}
END_TEST

/* Guards against an opening that is returned again and again. */
START_TEST(wait_is_limited_in_all)
{
	fake_router_begin_waiting(3);
	open_to_full_service(1);
	fake_router.now_ms += WAIT_MAX_MS - 1;
	fake_router_receive_grant(2, 0);
	fake_router_receive_nowhere_from(2, 1, DY_FLOW_FULL);
	ck_assert_uint_eq(dy_flow_router_waiting(fake_router.router), 1);
	fake_router.now_ms++;
	dy_flow_router_expire(fake_router.router, fake_router.now_ms);
	ck_assert_uint_eq(fake_router.resets, 1);
	fake_router_end();
}
END_TEST

/* Its caller is gone: guards against a place that is used for nobody. */
START_TEST(forgets_what_its_caller_reset)
{
	fake_router_begin_waiting(3);
	open_to_full_service(1);
	fake_router_receive_packet(1, DY_PACKET_RST, 0);
	ck_assert_uint_eq(dy_flow_router_waiting(fake_router.router), 0);
	ck_assert_uint_eq(fake_router.forwards, 1);
	fake_router_end();
}
END_TEST

/*
 * The entry moves and the old service grants nothing any more. Guards against
 * openings that wait in vain while the new service has places.
 */
START_TEST(routes_anew_without_a_grant)
{
	fake_router_begin_waiting(2);
	fake_router_set_member(7, DY_MEMBER_SERVING, "maps");
	open_to_full_service(1);
	fake_router_set_rules(6, "maps", NULL);
	ck_assert_uint_eq(fake_router.forwards, 2);
	ck_assert(went_to(7));
	fake_router_end();
}
END_TEST

/* Openings wait at agents where the settings do not ask for anything else. */
START_TEST(openings_wait_at_agents_by_default)
{
	fake_router_begin(3);
	open_flow(1);
	ck_assert_uint_eq(fake_router.forward.wait, DY_FLOW_WAIT_AT_AGENT);
	fake_router_receive_nowhere_from(1, 1, DY_FLOW_REFUSED);
	ck_assert_uint_eq(fake_router.resets, 1);
	fake_router_end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		sends_waiting_opening_to_who_grants_a_place,
		new_openings_wait_behind_others,
		new_openings_are_sent_while_few_wait,
		copy_does_not_race_with_a_granted_opening,
		an_opening_waits_once,
		refused_opening_waits_for_another_target,
		refuses_when_no_other_target_is_left,
		refuses_what_waited_for_its_maximum,
		declines_a_grant_without_use,
		reserves_elsewhere_what_an_agent_returns,
		reserves_nowhere_if_no_agent_admits,
		renews_reservations,
		routes_anew_when_the_entry_moves,
		refuses_when_the_entry_is_gone,
		opening_of_a_held_flow_waits_no_longer,
		ignores_late_copy_of_a_return,
		only_openings_wait,
		wait_is_limited_in_all,
		forgets_what_its_caller_reset,
		routes_anew_without_a_grant,
		openings_wait_at_agents_by_default,
		NULL,
	};

	return fake_suite_run("flow_waiting", tests);
}
