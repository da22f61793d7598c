#include "damaskyard/successor.h"
#include "fake_agents.h"
#include "fake_suite.h"

#include <rpc/rpc.h>

/* Start agents; caller 0 has an open session at agent 0. */
static fake_world_t *create_group(unsigned agents)
{
	fake_world_t *world = fake_world_create();
	unsigned i;

	for (i = 0; i < agents; i++)
		world_start_agent(world, i);
	for (i = 0; i < agents; i++)
		world_poll_control(world, i);
	world_open_session(world, 0, 0);
	ck_assert(world->callers[0].has_token);
	return world;
}

/* Drain until the successors have answered and before any session moves. */
static void drain_until_offers_answered(fake_world_t *world, unsigned index)
{
	dy_agent_drain(world->agents[index].agent, "test", 1);
	world_poll_control(world, index);
	world_advance(world, 50);
	while (world_deliver_message(world))
		;
}

START_TEST(picks_same_successor_in_any_order)
{
	uint64_t forth[3] = { 11, 22, 33 };
	uint64_t back[3] = { 33, 11, 22 };
	unsigned shares[3] = { 0, 0, 0 };
	uint64_t session;
	uint64_t picked;

	for (session = 1; session <= 3000; session++) {
		picked = dy_successor_pick(session, forth, 3);
		ck_assert_uint_eq(picked, dy_successor_pick(session, back, 3));
		shares[picked / 11 - 1]++;
	}
	ck_assert_uint_gt(MIN(shares[0], MIN(shares[1], shares[2])), 900);
	ck_assert_uint_eq(dy_successor_pick(1, forth, 0), 0);
}
END_TEST

/*
 * An agent drains while a station submits readings. The session moves and the
 * next reading runs at the successor. Copies of a reading that ran before the
 * move, and of one that was refused, get the same outcome at the successor.
 */
START_TEST(moves_session_with_its_cache)
{
	fake_world_t *world = create_group(2);
	uint32_t ran = world_send_call(world, 0, 0, FAKE_SUBMIT);
	uint32_t shed;
	uint32_t next;

	world_answer_all(world, 0);
	shed = world_send_call(world, 0, 0, FAKE_SUBMIT);
	ck_assert(world_answer(world, 0, 0, FAKE_SHED));
	drain_until_offers_answered(world, 0);
	world_converge(world);
	ck_assert_int_eq(dy_agent_state(world->agents[0].agent),
			 DY_MEMBER_LEFT);
	world_retransmit_call(world, 1, ran);
	world_retransmit_call(world, 1, shed);
	ck_assert_uint_eq(world->calls[ran].outcomes, 2);
	ck_assert_int_eq(world->calls[ran].verdict, DY_RAN);
	ck_assert_int_eq(world->calls[shed].reason, DY_REASON_SHED);
	next = world_send_call(world, 1, 0, FAKE_SUBMIT);
	world_answer_all(world, 1);
	ck_assert_int_eq(world->calls[next].answered, 1);
	ck_assert_uint_eq(world_token_agent(world, 0), 1);
	fake_world_destroy(world);
}
END_TEST

/*
 * Guards against a call that runs at both agents. The handover message arrives
 * and its acknowledgement is lost, so that the old owner cannot tell whether
 * the successor has the session. It must relay the call and not run it.
 */
START_TEST(relays_call_after_lost_acknowledgement)
{
	fake_world_t *world = create_group(2);
	uint32_t id;

	drain_until_offers_answered(world, 0);
	world_advance(world, 50);
	ck_assert(world_deliver_message(world)); /* the handover */
	ck_assert(world_drop_message(world));	 /* its acknowledgement */
	id = world_send_call(world, 0, 0, FAKE_SUBMIT);
	ck_assert_uint_eq(world_counter(world, 0, "calls_sent"), 0);
	ck_assert(world_deliver_message(world)); /* the relayed call */
	ck_assert_uint_eq(world_counter(world, 1, "calls_sent"), 1);
	world_retransmit_call(world, 0, id);
	world_converge(world);
	ck_assert_uint_eq(world->calls[id].runs, 1);
	ck_assert_int_eq(world->calls[id].answered, 1);
	ck_assert_int_eq(dy_agent_state(world->agents[0].agent),
			 DY_MEMBER_LEFT);
	fake_world_destroy(world);
}
END_TEST

/*
 * Guards against an outdated duplicate request cache. A handover message is
 * duplicated, and the second one arrives after the successor has run a
 * reading. If accepted, it would restore a cache without that reading, and a
 * copy of the reading would run.
 */
START_TEST(ignores_duplicate_handover_message)
{
	fake_world_t *world = create_group(2);
	uint32_t id;

	drain_until_offers_answered(world, 0);
	world_advance(world, 50);
	world_duplicate_message(world);
	ck_assert(world_deliver_message(world));
	id = world_send_call(world, 1, 0, FAKE_SUBMIT);
	world_answer_all(world, 1);
	world_converge(world);
	world_retransmit_call(world, 1, id);
	ck_assert_uint_eq(world->calls[id].runs, 1);
	ck_assert_uint_eq(world_counter(world, 1, "sessions_received"), 1);
	fake_world_destroy(world);
}
END_TEST

/* A call in progress ends at the old owner before its session moves. */
START_TEST(finishes_call_before_session_moves)
{
	fake_world_t *world = create_group(2);
	uint32_t id = world_send_call(world, 0, 0, FAKE_SUBMIT);
	uint32_t next;

	drain_until_offers_answered(world, 0);
	world_advance(world, 300);
	ck_assert_uint_eq(world_counter(world, 0, "sessions_moved"), 0);
	next = world_send_call(world, 0, 0, FAKE_SUBMIT);
	ck_assert_uint_eq(world->calls[next].runs, 0);
	world_answer_all(world, 0);
	ck_assert_int_eq(world->calls[id].answered, 1);
	world_converge(world);
	world_retransmit_call(world, 1, next);
	world_answer_all(world, 1);
	ck_assert_int_eq(world->calls[next].answered, 1);
	fake_world_destroy(world);
}
END_TEST

/*
 * A balancer that knows of the move sends calls to the successor before the
 * session arrives there. If refused, the station would lose a reading because
 * of a planned change. If run, a copy of an earlier reading would be stored
 * twice. The calls are dropped, and the next retransmission finds the session.
 */
START_TEST(drops_call_until_its_session_arrives)
{
	fake_world_t *world = create_group(2);
	uint32_t ran = world_send_call(world, 0, 0, FAKE_SUBMIT);
	uint32_t id;

	world_answer_all(world, 0);
	drain_until_offers_answered(world, 0);
	id = world_send_call(world, 1, 0, FAKE_SUBMIT);
	world_retransmit_call(world, 1, ran);
	ck_assert_uint_eq(world->calls[id].outcomes, 0);
	ck_assert_uint_eq(world->calls[ran].outcomes, 1);
	world_converge(world);
	world_retransmit_call(world, 1, id);
	world_answer_all(world, 1);
	ck_assert_int_eq(world->calls[id].answered, 1);
	fake_world_destroy(world);
}
END_TEST

/*
 * Guards against a handover in a circle. The only two agents are drained at
 * the same time, and each could choose the other as its successor until neither
 * runs the sessions. They must wait for a third agent, which gets both
 * sessions.
 */
START_TEST(hands_over_two_concurrent_drains_to_third_agent)
{
	fake_world_t *world = create_group(2);
	uint32_t id;
	unsigned i;

	world_open_session(world, 1, 1);
	dy_agent_drain(world->agents[0].agent, "test", 0);
	dy_agent_drain(world->agents[1].agent, "test", 0);
	world_advance(world, 50);
	world_converge(world);
	world_start_agent(world, 2);
	for (i = 0; i < 3; i++)
		world_converge(world);
	ck_assert_int_eq(dy_agent_state(world->agents[0].agent),
			 DY_MEMBER_LEFT);
	ck_assert_int_eq(dy_agent_state(world->agents[1].agent),
			 DY_MEMBER_LEFT);
	for (i = 0; i < 2; i++) {
		id = world_send_call(world, 2, i, FAKE_SUBMIT);
		world_answer_all(world, 2);
		ck_assert_int_eq(world->calls[id].answered, 1);
	}
	fake_world_destroy(world);
}
END_TEST

/*
 * Guards against a handover that bypasses a successor. The successor accepts
 * the session, leaves at once, hands the session to a third agent, and ends
 * before the old owner gets a reply. The third agent runs a reading, dies and
 * restarts with no state. If the old owner then sent it the session with the
 * older cache, a copy of that reading would be stored twice.
 */
START_TEST(does_not_bypass_successor_that_left)
{
	fake_world_t *world = create_group(2);
	uint32_t id;

	drain_until_offers_answered(world, 0);
	world_advance(world, 50);
	ck_assert(world_deliver_message(world));
	ck_assert(world_drop_message(world));
	world_start_agent(world, 2);
	world_poll_control(world, 1);
	drain_until_offers_answered(world, 1);
	world_advance(world, 50);
	ck_assert(world_deliver_message(world));
	ck_assert(world_deliver_message(world));
	world_advance(world, 50);
	ck_assert_int_eq(dy_agent_state(world->agents[1].agent),
			 DY_MEMBER_LEFT);
	id = world_send_call(world, 2, 0, FAKE_SUBMIT);
	ck_assert_uint_eq(world->calls[id].runs, 1);
	world_kill_agent(world, 1);
	world_start_agent(world, 2);
	world_converge(world);
	world_retransmit_call(world, 2, id);
	world_advance(world, 12000);
	world_converge(world);
	world_retransmit_call(world, 2, id);
	ck_assert_uint_eq(world_counter(world, 0, "sessions_lost"), 1);
	ck_assert_int_eq(world->calls[id].verdict, DY_MAY_HAVE_RUN);
	fake_world_destroy(world);
}
END_TEST

/*
 * The successor dies with a session that it did not acknowledge. It may have
 * run calls of the session. No agent may run copies of them, and the caller is
 * told that they may have run.
 */
START_TEST(loses_session_of_dead_successor)
{
	fake_world_t *world = create_group(2);
	uint32_t id;

	drain_until_offers_answered(world, 0);
	world_advance(world, 50);
	ck_assert(world_deliver_message(world));
	id = world_send_call(world, 1, 0, FAKE_SUBMIT);
	ck_assert(world_drop_message(world));
	world_start_agent(world, 1);
	world_converge(world);
	ck_assert_uint_eq(world_counter(world, 0, "sessions_lost"), 1);
	world_retransmit_call(world, 0, id);
	ck_assert_uint_eq(world->calls[id].runs, 1);
	ck_assert_int_eq(world->calls[id].verdict, DY_MAY_HAVE_RUN);
	fake_world_destroy(world);
}
END_TEST

/*
 * Guards against flows that stay bound to a dead target. The target dies for
 * good while its agent runs, and each reading of its stations would be refused
 * until they give up. The sessions must move to the other target with their
 * duplicate request caches.
 */
START_TEST(hands_over_sessions_of_lost_target)
{
	fake_world_t *world = create_group(2);
	uint32_t doubtful = world_send_call(world, 0, 0, FAKE_SUBMIT);
	uint32_t next;

	world->agents[0].target_up = 0;
	world_close_link(world, 0, 0);
	ck_assert_int_eq(world->calls[doubtful].verdict, DY_MAY_HAVE_RUN);
	world_advance(world, 10000);
	world_converge(world);
	ck_assert_int_eq(dy_agent_state(world->agents[0].agent),
			 DY_MEMBER_LEFT);
	next = world_send_call(world, 1, 0, FAKE_SUBMIT);
	world_answer_all(world, 1);
	ck_assert_int_eq(world->calls[next].answered, 1);
	world_retransmit_call(world, 1, doubtful);
	ck_assert_uint_eq(world->calls[doubtful].runs, 1);
	fake_world_destroy(world);
}
END_TEST

/* An agent with an unresponsive target is not chosen as a successor. */
START_TEST(does_not_choose_unresponsive_target)
{
	fake_world_t *world = create_group(2);

	world->agents[1].target_up = 0;
	world_advance(world, 5000);
	world_poll_control(world, 0);
	dy_agent_drain(world->agents[0].agent, "test", 0);
	world_converge(world);
	ck_assert_int_eq(dy_agent_state(world->agents[0].agent),
			 DY_MEMBER_DRAINING);
	world->agents[1].target_up = 1;
	world_converge(world);
	ck_assert_int_eq(dy_agent_state(world->agents[0].agent),
			 DY_MEMBER_LEFT);
	fake_world_destroy(world);
}
END_TEST

/*
 * Guards against sessions lost in a planned change. An agent was killed and
 * control has not detected it yet. Another agent drains and would lose the
 * sessions that it sends there. Only agents that answer an offer are chosen.
 */
START_TEST(does_not_choose_killed_agent)
{
	fake_world_t *world = create_group(3);
	unsigned i;
	uint32_t id;

	for (i = 1; i < FAKE_CALLERS; i++)
		world_open_session(world, 0, i);
	world_kill_agent(world, 1);
	drain_until_offers_answered(world, 0);
	world_converge(world);
	ck_assert_int_eq(dy_agent_state(world->agents[0].agent),
			 DY_MEMBER_LEFT);
	for (i = 0; i < FAKE_CALLERS; i++) {
		id = world_send_call(world, 2, i, FAKE_SUBMIT);
		world_answer_all(world, 2);
		ck_assert_int_eq(world->calls[id].answered, 1);
	}
	fake_world_destroy(world);
}
END_TEST

/*
 * Guards against an idle flow that loses its session in a rolling restart. Its
 * token names an agent whose successor's name has been reused since. If looked
 * up by that name, the session would be unknown, and the next reading would end
 * as "may have run".
 */
START_TEST(keeps_idle_flow_during_rolling_restart)
{
	fake_world_t *world = create_group(2);
	uint32_t id;
	unsigned i;

	for (i = 0; i < 4; i++) {
		dy_agent_drain(world->agents[i % 2].agent, "test", 1);
		world_converge(world);
		ck_assert_int_eq(dy_agent_state(world->agents[i % 2].agent),
				 DY_MEMBER_LEFT);
		world_start_agent(world, i % 2);
		world_converge(world);
	}
	id = world_send_call(
		world, world_route(world, &world->callers[0].token_fields), 0,
		FAKE_SUBMIT);
	world_converge(world);
	ck_assert_int_eq(world->calls[id].answered, 1);
	fake_world_destroy(world);
}
END_TEST

/* A draining agent opens no session, and leaves without any successor. */
START_TEST(ends_drain_without_successor_after_timeout)
{
	fake_world_t *world = create_group(1);

	drain_until_offers_answered(world, 0);
	world_open_session(world, 0, 1);
	ck_assert_int_eq(world->bounce_reason, DY_REASON_DRAINING);
	world_advance(world, 4000);
	ck_assert_int_eq(world->agents[0].has_left, 0);
	world_advance(world, 2000);
	world_poll_control(world, 0);
	world_advance(world, 6000);
	ck_assert_int_eq(world->agents[0].has_left, 1);
	fake_world_destroy(world);
}
END_TEST

/* Fields that a newer sender appends are ignored; a short body is refused. */
START_TEST(accepts_longer_handover_body)
{
	fake_world_t *world = create_group(1);
	dy_moved_body_t body = { .caller = 5 };
	dy_moved_session_t moved = { .id = 77 };
	dy_handover_t handover = { .format = 2 };
	dy_handover_result_t result;
	uint8_t bytes[128] = { 0 };
	XDR xdrs;

	xdrmem_create(&xdrs, (char *)bytes, sizeof(bytes), XDR_ENCODE);
	ck_assert(xdr_dy_moved_body_t(&xdrs, &body));
	moved.body.body_val = (char *)bytes;
	moved.body.body_len = sizeof(bytes);
	handover.service = dy_service_id("readings");
	handover.to_agent = dy_agent_id(world->agents[0].agent);
	handover.to_incarnation = world->agents[0].incarnation;
	handover.sessions.sessions_val = &moved;
	handover.sessions.sessions_len = 1;
	dy_agent_receive_handover(world->agents[0].agent, &handover, &result);
	ck_assert_uint_eq(result.sessions.sessions_len, 1);
	xdr_free((xdrproc_t)xdr_dy_handover_result_t, (char *)&result);
	moved.id = 78;
	moved.body.body_len = 6;
	dy_agent_receive_handover(world->agents[0].agent, &handover, &result);
	ck_assert_uint_eq(result.sessions.sessions_len, 0);
	xdr_free((xdrproc_t)xdr_dy_handover_result_t, (char *)&result);
	handover.to_incarnation++;
	dy_agent_receive_handover(world->agents[0].agent, &handover, &result);
	ck_assert_int_eq(result.status, DY_HANDOVER_STALE);
	fake_world_destroy(world);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		picks_same_successor_in_any_order,
		moves_session_with_its_cache,
		relays_call_after_lost_acknowledgement,
		ignores_duplicate_handover_message,
		finishes_call_before_session_moves,
		drops_call_until_its_session_arrives,
		hands_over_two_concurrent_drains_to_third_agent,
		does_not_bypass_successor_that_left,
		loses_session_of_dead_successor,
		hands_over_sessions_of_lost_target,
		does_not_choose_unresponsive_target,
		does_not_choose_killed_agent,
		keeps_idle_flow_during_rolling_restart,
		ends_drain_without_successor_after_timeout,
		accepts_longer_handover_body,
		NULL,
	};

	return fake_suite_run("handover", tests);
}
