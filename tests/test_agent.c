#include "fake_agents.h"
#include "fake_suite.h"

#include <rpc/rpc.h>

static fake_world_t *create_open(void)
{
	fake_world_t *world = fake_world_create();

	world_start_agent(world, 0);
	world_open_session(world, 0, 0);
	ck_assert(world->callers[0].has_token);
	return world;
}

START_TEST(call_runs_once_and_its_answer_comes_back)
{
	fake_world_t *world = create_open();
	uint32_t id = world_send_call(world, 0, 0, FAKE_SUBMIT);

	ck_assert(world_answer(world, 0, 0, FAKE_OK));
	ck_assert_int_eq(world->calls[id].answered, 1);
	ck_assert_uint_eq(world->calls[id].runs, 1);
	fake_world_destroy(world);
}
END_TEST

/*
 * A station's answer is lost, and its client sends the same datagram again,
 * by another balancer, first while the target still works and then after it
 * has answered. The reading would be stored three times. Cause: a datagram
 * says nothing of whether it came before.
 */
START_TEST(copies_never_run_again)
{
	fake_world_t *world = create_open();
	uint32_t id = world_send_call(world, 0, 0, FAKE_SUBMIT);

	world_retransmit_call(world, 0, id);
	ck_assert_uint_eq(world->calls[id].outcomes, 0);
	world_answer(world, 0, 0, FAKE_OK);
	world_retransmit_call(world, 0, id);
	ck_assert_uint_eq(world->calls[id].outcomes, 2);
	ck_assert_uint_eq(world->calls[id].runs, 1);
	ck_assert_uint_eq(world_counter(world, 0, "copies_in_progress"), 1);
	ck_assert_uint_eq(world_counter(world, 0, "copies_answered"), 1);
	fake_world_destroy(world);
}
END_TEST

/*
 * A flow's first datagram arrives twice. Two sessions would be open, and the
 * caller's calls would be told apart from its copies by neither.
 */
START_TEST(doubled_opening_makes_one_session)
{
	fake_world_t *world = create_open();
	uint64_t session = world->callers[0].token_fields.session;

	world_retransmit_call(world, 0, 0);
	ck_assert_uint_eq(dy_agent_session_count(world->agents[0].agent), 1);
	ck_assert_uint_eq(world->callers[0].token_fields.session, session);
	fake_world_destroy(world);
}
END_TEST

START_TEST(submission_without_token_is_too_weak)
{
	fake_world_t *world = fake_world_create();
	uint32_t id;

	world_start_agent(world, 0);
	id = world_send_call(world, 0, 0, FAKE_SUBMIT);
	ck_assert_uint_eq(world->calls[id].status, AUTH_TOOWEAK);
	ck_assert_int_eq(world->calls[id].verdict, DY_NOT_RUN);
	id = world_send_call(world, 0, 0, FAKE_COUNT);
	world_answer(world, 0, 0, FAKE_OK);
	ck_assert(world->callers[0].has_token);
	ck_assert_int_eq(world->calls[id].answered, 1);
	fake_world_destroy(world);
}
END_TEST

/* What a target's reply comes to, for a call that was handed to it. */
START_TEST(each_reply_has_its_verdict)
{
	static const struct {
		fake_reply_t reply;
		dy_verdict_t verdict;
		dy_reason_t reason;
	} cases[] = {
		{ FAKE_OK, DY_RAN, DY_REASON_NONE },
		{ FAKE_GARBAGE, DY_MAY_HAVE_RUN, DY_REASON_BAD_ANSWER },
		{ FAKE_WRONG_XID, DY_MAY_HAVE_RUN, DY_REASON_BAD_ANSWER },
		{ FAKE_PROG_UNAVAIL, DY_MAY_HAVE_RUN, DY_REASON_BAD_ANSWER },
		{ FAKE_SHED, DY_NOT_RUN, DY_REASON_SHED },
		{ FAKE_DENIED, DY_MAY_HAVE_RUN, DY_REASON_BAD_ANSWER },
		{ FAKE_SYSTEM_ERR, DY_MAY_HAVE_RUN, DY_REASON_BAD_ANSWER },
		{ FAKE_LARGE, DY_MAY_HAVE_RUN, DY_REASON_TOO_LARGE },
	};
	fake_world_t *world = create_open();
	uint32_t id;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		id = world_send_call(world, 0, 0, FAKE_SUBMIT);
		ck_assert(world_answer(world, 0, 0, cases[i].reply) ||
			  world_answer(world, 0, 1, cases[i].reply));
		ck_assert_int_eq(world->calls[id].verdict, cases[i].verdict);
		ck_assert_int_eq(world->calls[id].reason, cases[i].reason);
		world_retransmit_call(world, 0, id);
		ck_assert_uint_eq(world->calls[id].outcomes, 2);
		ck_assert_int_eq(world->calls[id].verdict, cases[i].verdict);
		world_advance(world, 200);
	}
	fake_world_destroy(world);
}
END_TEST

/*
 * The target takes too long; the caller is told that its edit may have run.
 * The late answer then comes in on the same connection, on which the next
 * call waits: a cook would see another dish's price. The connection must be
 * closed, so that nothing of it is read any more.
 */
START_TEST(late_answer_reaches_no_other_call)
{
	fake_world_t *world = create_open();
	uint32_t id = world_send_call(world, 0, 0, FAKE_SUBMIT);

	world_advance(world, 1100);
	ck_assert_int_eq(world->calls[id].verdict, DY_MAY_HAVE_RUN);
	ck_assert_int_eq(world->calls[id].reason, DY_REASON_DEADLINE);
	ck_assert_int_eq(world->agents[0].links[0].busy, 0);
	world_retransmit_call(world, 0, id);
	ck_assert_uint_eq(world->calls[id].runs, 1);
	ck_assert_int_eq(world->calls[id].verdict, DY_MAY_HAVE_RUN);
	fake_world_destroy(world);
}
END_TEST

/*
 * The target dies with one submission in its hands and others waiting. The
 * one may have run; those that waited have not, and a late copy of one that
 * was refused must not run once the target is back.
 */
START_TEST(target_lost_before_and_after_sending)
{
	fake_world_t *world = create_open();
	uint32_t sent = world_send_call(world, 0, 0, FAKE_SUBMIT);
	uint32_t refused;

	world_send_call(world, 0, 0, FAKE_SUBMIT);
	refused = world_send_call(world, 0, 0, FAKE_SUBMIT);
	world->agents[0].target_up = 0;
	world_close_link(world, 0, 0);
	ck_assert_int_eq(world->calls[sent].verdict, DY_MAY_HAVE_RUN);
	ck_assert_int_eq(world->calls[sent].reason, DY_REASON_TARGET_LOST);
	world_advance(world, 3200);
	ck_assert_int_eq(world->calls[refused].verdict, DY_NOT_RUN);
	ck_assert_uint_gt(world->calls[refused].retry_ms, 0);
	refused = world_send_call(world, 0, 0, FAKE_SUBMIT);
	ck_assert_int_eq(world->calls[refused].reason, DY_REASON_TARGET_LOST);
	world_restart_target(world, 0);
	world_advance(world, 200);
	world_retransmit_call(world, 0, refused);
	ck_assert_uint_eq(world->calls[refused].runs, 0);
	ck_assert_int_eq(world->calls[refused].verdict, DY_NOT_RUN);
	fake_world_destroy(world);
}
END_TEST

START_TEST(send_that_hands_over_nothing_is_not_run)
{
	fake_world_t *world = create_open();
	uint32_t id;

	world->agents[0].fail_sends = 1;
	id = world_send_call(world, 0, 0, FAKE_SUBMIT);
	ck_assert_int_eq(world->calls[id].verdict, DY_NOT_RUN);
	ck_assert_int_eq(world->calls[id].reason, DY_REASON_TARGET_LOST);
	fake_world_destroy(world);
}
END_TEST

/*
 * A target freezes, and its announcements go on. Its kernel takes every new
 * connection, so that each reading after the first would wait out its
 * deadline and be told that it may have run: a night of doubtful readings.
 * Only what the target had may have run; the rest is refused as not run, and
 * new flows go elsewhere.
 */
START_TEST(frozen_target_gets_no_more_calls)
{
	fake_world_t *world = create_open();
	unsigned doubtful = 0;
	uint32_t id;
	unsigned i;

	world->agents[0].target_frozen = 1;
	for (i = 0; i < 10; i++) {
		id = world_send_call(world, 0, 0, FAKE_SUBMIT);
		world_advance(world, 1100);
		doubtful += world->calls[id].verdict == DY_MAY_HAVE_RUN;
	}
	ck_assert_uint_eq(doubtful, FAKE_SLOTS);
	ck_assert_int_eq(world->calls[id].verdict, DY_NOT_RUN);
	world_open_session(world, 0, 1);
	ck_assert_int_eq(world->bounce_reason, DY_REASON_TARGET_LOST);
	world->agents[0].target_frozen = 0;
	world_advance(world, 2000);
	id = world_send_call(world, 0, 0, FAKE_SUBMIT);
	world_answer_all(world, 0);
	ck_assert_int_eq(world->calls[id].answered, 1);
	fake_world_destroy(world);
}
END_TEST

/*
 * A target restarts while a call is with it. Its earlier life's answer must
 * reach nobody, and the call is said to have perhaps run.
 */
START_TEST(restarted_target_closes_every_connection)
{
	fake_world_t *world = create_open();
	uint32_t id = world_send_call(world, 0, 0, FAKE_SUBMIT);

	world_restart_target(world, 0);
	ck_assert_int_eq(world->calls[id].verdict, DY_MAY_HAVE_RUN);
	ck_assert_int_eq(world_answer(world, 0, 0, FAKE_OK), 0);
	world_advance(world, 200);
	id = world_send_call(world, 0, 0, FAKE_SUBMIT);
	world_answer_all(world, 0);
	ck_assert_int_eq(world->calls[id].answered, 1);
	fake_world_destroy(world);
}
END_TEST

/*
 * An agent dies and its next life gets copies of what the last one ran. It
 * remembers nothing: a reading would be stored twice. It must say that it
 * may have run, and serve pulls under a new session.
 */
START_TEST(token_of_a_dead_incarnation_never_runs)
{
	fake_world_t *world = create_open();
	uint32_t id = world_send_call(world, 0, 0, FAKE_SUBMIT);
	uint32_t pull;

	world_start_agent(world, 0);
	world_retransmit_call(world, 0, id);
	ck_assert_uint_eq(world->calls[id].runs, 1);
	ck_assert_int_eq(world->calls[id].verdict, DY_MAY_HAVE_RUN);
	ck_assert_int_eq(world->calls[id].reason, DY_REASON_UNKNOWN_SESSION);
	pull = world_send_call(world, 0, 0, FAKE_COUNT);
	world_answer_all(world, 0);
	ck_assert_int_eq(world->calls[pull].answered, 1);
	ck_assert_uint_eq(world->callers[0].token_fields.incarnation,
			  world->agents[0].incarnation);
	fake_world_destroy(world);
}
END_TEST

START_TEST(cancel_has_a_verdict_at_each_stage)
{
	fake_world_t *world = create_open();
	uint32_t ids[4];
	unsigned i;

	for (i = 0; i < 3; i++)
		ids[i] = world_send_call(world, 0, 0, FAKE_SUBMIT);
	world_send_cancel(world, 0, ids[2]); /* waits for a slot */
	ck_assert_int_eq(world->cancel_result.verdict, DY_NOT_RUN);
	ck_assert_int_eq(world->calls[ids[2]].verdict, DY_NOT_RUN);
	world_answer(world, 0, 1, FAKE_OK);
	world_send_cancel(world, 0, ids[1]); /* has its answer */
	ck_assert_int_eq(world->cancel_result.verdict, DY_RAN);
	world_send_cancel(world, 0, ids[0]); /* with the target */
	ck_assert_int_eq(world->has_cancel_result, 0);
	world_answer_cancel(world, 0, 1);
	ck_assert_int_eq(world->cancel_result.verdict, DY_NOT_RUN);
	ck_assert_int_eq(world->calls[ids[0]].reason, DY_REASON_CANCELLED);
	world_advance(world, 200);
	ids[3] = world_send_call(world, 0, 0, FAKE_SUBMIT);
	world_send_cancel(world, 0, ids[3]);
	world_answer_cancel(world, 0, 0); /* the target goes on */
	ck_assert_int_eq(world->cancel_result.verdict, DY_MAY_HAVE_RUN);
	world_answer_all(world, 0);
	ck_assert_int_eq(world->calls[ids[3]].answered, 1);
	fake_world_destroy(world);
}
END_TEST

/*
 * The port of a readings target is taken over by a map target, which
 * announces itself to the agent that is still bound to readings. Readings
 * would reach the map service. Nor may a call for another service, or
 * another agent, be served.
 */
START_TEST(other_services_are_turned_away)
{
	fake_world_t *world = create_open();
	dy_announcement_t maps = { "maps", "",	  "127.0.0.1:8000",
				   2,	   10,	  999999,
				   FALSE,  FALSE, FALSE };
	dy_forward_t forward = { 0 };
	dy_announce_result_t result;
	dy_address_t balancer;

	dy_agent_receive_announcement(world->agents[0].agent, &maps, &result);
	ck_assert_int_eq(result.status, DY_ANNOUNCE_OTHER_SERVICE);
	dy_address_parse("127.0.0.1:7000", &balancer);
	forward.service = dy_service_id("maps");
	forward.agent = dy_agent_id(world->agents[0].agent);
	forward.datagram.datagram_val = (char *)world->calls[0].bytes;
	forward.datagram.datagram_len = (u_int)world->calls[0].len;
	dy_agent_receive_forward(world->agents[0].agent, &balancer, &forward);
	ck_assert_uint_eq(world->bounces, 1);
	ck_assert_uint_eq(world->calls[0].outcomes, 1);
	ck_assert_uint_eq(world_counter(world, 0, "forward_misdirected"), 1);
	fake_world_destroy(world);
}
END_TEST

/* Without control's lease sessions go on, and no new one opens. */
START_TEST(lapsed_lease_keeps_sessions_and_opens_none)
{
	fake_world_t *world = create_open();
	uint32_t id;

	dy_agent_set_lease(world->agents[0].agent, 0);
	id = world_send_call(world, 0, 0, FAKE_SUBMIT);
	world_answer_all(world, 0);
	ck_assert_int_eq(world->calls[id].answered, 1);
	world_open_session(world, 0, 1);
	ck_assert_int_eq(world->callers[1].has_token, 0);
	ck_assert_uint_eq(world->bounces, 1);
	ck_assert_int_eq(world->bounce_reason, DY_REASON_NOT_READY);
	fake_world_destroy(world);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		call_runs_once_and_its_answer_comes_back,
		copies_never_run_again,
		doubled_opening_makes_one_session,
		submission_without_token_is_too_weak,
		each_reply_has_its_verdict,
		late_answer_reaches_no_other_call,
		target_lost_before_and_after_sending,
		send_that_hands_over_nothing_is_not_run,
		frozen_target_gets_no_more_calls,
		restarted_target_closes_every_connection,
		token_of_a_dead_incarnation_never_runs,
		cancel_has_a_verdict_at_each_stage,
		other_services_are_turned_away,
		lapsed_lease_keeps_sessions_and_opens_none,
		NULL,
	};

	return fake_suite_run("agent", tests);
}
