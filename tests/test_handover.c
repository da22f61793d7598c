#include "damaskyard/successor.h"
#include "fake_agents.h"
#include "fake_suite.h"

#include <rpc/rpc.h>

/* Agent 0 with an open session of caller 0; the others serve too. */
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

/* Up to where its successors have answered and no session has moved. */
static void leave(fake_world_t *world, unsigned index)
{
	dy_agent_drain(world->agents[index].agent, "test", 1);
	world_poll_control(world, index);
	world_advance(world, 50);
	while (world_deliver_message(world))
		;
}

START_TEST(same_successor_everywhere)
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
 * A target is drained while a station streams. Its session moves; the next
 * reading runs at the successor, and copies of readings that ran before the
 * move, and of one that was refused, get the same end there.
 */
START_TEST(session_moves_with_its_cache)
{
	fake_world_t *world = create_group(2);
	uint32_t ran = world_send_call(world, 0, 0, FAKE_SUBMIT);
	uint32_t shed;
	uint32_t next;

	world_answer_all(world, 0);
	shed = world_send_call(world, 0, 0, FAKE_SUBMIT);
	ck_assert(world_answer(world, 0, 0, FAKE_SHED));
	leave(world, 0);
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
 * The message of the handover arrives and its acknowledgement is lost. The
 * old owner cannot tell whether the successor has the session; a call that
 * it ran now could run a second time there. It must pass the call on.
 */
START_TEST(lost_acknowledgement_never_runs_here_again)
{
	fake_world_t *world = create_group(2);
	uint32_t id;

	leave(world, 0);
	world_advance(world, 50);
	ck_assert(world_deliver_message(world)); /* MOVE */
	ck_assert(world_drop_message(world));	 /* TAKEN */
	id = world_send_call(world, 0, 0, FAKE_SUBMIT);
	ck_assert_uint_eq(world_counter(world, 0, "calls_sent"), 0);
	ck_assert(world_deliver_message(world)); /* the call itself */
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
 * A message of the handover is doubled and the second one arrives after the
 * successor has run a reading: taken again, it would bring back a cache that
 * does not know of that reading, and a copy of it would run.
 */
START_TEST(doubled_message_changes_nothing)
{
	fake_world_t *world = create_group(2);
	uint32_t id;

	leave(world, 0);
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

/* A call in progress ends where it began; then its session moves. */
START_TEST(call_in_progress_ends_first)
{
	fake_world_t *world = create_group(2);
	uint32_t id = world_send_call(world, 0, 0, FAKE_SUBMIT);
	uint32_t next;

	leave(world, 0);
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
 * A balancer that has heard of the move sends calls to the successor before
 * the session has arrived there. Refused, the station would lose a reading
 * for a planned change; run, a copy of an earlier one would be stored twice.
 * They are dropped, and the client's next copy finds the session.
 */
START_TEST(early_call_waits_for_the_session)
{
	fake_world_t *world = create_group(2);
	uint32_t ran = world_send_call(world, 0, 0, FAKE_SUBMIT);
	uint32_t id;

	world_answer_all(world, 0);
	leave(world, 0);
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
 * The only two agents are drained at the same moment. Each could choose the
 * other, and hand its sessions round in a circle until nobody runs them.
 * They wait for a third, which must end up with both sessions.
 */
START_TEST(two_leave_at_once)
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
 * The successor leaves at once, hands the session on, and ends before the
 * old owner has heard a word. The third agent runs a reading, dies and comes
 * back empty. Were the old owner to send it the session again, with the
 * cache of before, a copy of that reading would be stored twice.
 */
START_TEST(silent_successor_is_not_passed_over)
{
	fake_world_t *world = create_group(2);
	uint32_t id;

	leave(world, 0);
	world_advance(world, 50);
	ck_assert(world_deliver_message(world));
	ck_assert(world_drop_message(world));
	world_start_agent(world, 2);
	world_poll_control(world, 1);
	leave(world, 1);
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
 * The successor dies with a session that it never acknowledged. It may have
 * run calls of it. Nobody may run a copy of them; the caller is told so.
 */
START_TEST(dead_successor_loses_the_session)
{
	fake_world_t *world = create_group(2);
	uint32_t id;

	leave(world, 0);
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
 * A target dies and does not come back. Its agent lives, and each reading of
 * its stations would be refused until they give up: the night is broken. The
 * sessions go to the other target, with what they remember.
 */
START_TEST(lost_target_hands_its_sessions_on)
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

/* A target that answers nothing is no successor. */
START_TEST(silent_target_is_no_successor)
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
 * An agent was killed a moment ago and control does not know yet. Another one
 * is drained: the sessions that it would send there are lost, for a planned
 * change. Only agents that answer are chosen.
 */
START_TEST(killed_agent_is_no_successor)
{
	fake_world_t *world = create_group(3);
	unsigned i;
	uint32_t id;

	for (i = 1; i < FAKE_CALLERS; i++)
		world_open_session(world, 0, i);
	world_kill_agent(world, 1);
	leave(world, 0);
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
 * Agents are started anew one after another, as in an upgrade, while a flow
 * is silent. Its token names an agent that handed on to a name which is in
 * use again: looked for there, the session would be unknown, and the next
 * reading said to have perhaps run.
 */
START_TEST(silent_flow_outlives_an_upgrade_of_all)
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

/* Leaving agents take no new flow, and end without a successor in time. */
START_TEST(last_agent_ends_without_successor)
{
	fake_world_t *world = create_group(1);

	leave(world, 0);
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

/* A newer sender's fields are passed over. */
START_TEST(longer_body_is_read)
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
		same_successor_everywhere,
		session_moves_with_its_cache,
		lost_acknowledgement_never_runs_here_again,
		doubled_message_changes_nothing,
		call_in_progress_ends_first,
		early_call_waits_for_the_session,
		two_leave_at_once,
		silent_successor_is_not_passed_over,
		dead_successor_loses_the_session,
		lost_target_hands_its_sessions_on,
		silent_target_is_no_successor,
		killed_agent_is_no_successor,
		silent_flow_outlives_an_upgrade_of_all,
		last_agent_ends_without_successor,
		longer_body_is_read,
		NULL,
	};

	return fake_suite_run("handover", tests);
}
