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

START_TEST(runs_call_once_and_returns_answer)
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
 * Guards against a reading that is stored more than once. The answer is lost,
 * and the station retransmits the same datagram through another balancer:
 * once while the target works on the call, and once after it has answered.
 * The datagram itself does not show that it is a duplicate.
 */
START_TEST(does_not_rerun_duplicate)
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
 * Guards against two sessions for one flow, if its first datagram arrives
 * twice. Neither of them would recognize duplicates of the caller's calls.
 */
START_TEST(opens_one_session_for_duplicate_opening)
{
	fake_world_t *world = create_open();
	uint64_t session = world->callers[0].token_fields.session;

	world_retransmit_call(world, 0, 0);
	ck_assert_uint_eq(dy_agent_session_count(world->agents[0].agent), 1);
	ck_assert_uint_eq(world->callers[0].token_fields.session, session);
	fake_world_destroy(world);
}
END_TEST

START_TEST(refuses_submission_without_token_as_too_weak)
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

/* The verdict and reason of a call that was sent, by the target's reply. */
START_TEST(maps_each_target_reply_to_verdict)
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
 * Guards against a late answer that reaches another call. The target misses
 * the deadline, and the caller is told that the call may have run. The late
 * answer then arrives on the connection on which the next call waits. So the
 * connection must be closed at the deadline.
 */
START_TEST(closes_connection_after_deadline)
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
 * The target dies while one submission is with it and others are queued. The
 * one may have run; the queued ones have not run. A late copy of a refused one
 * must not run after the target is back.
 */
START_TEST(distinguishes_sent_and_unsent_calls_of_lost_target)
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

START_TEST(reports_not_run_after_failed_send)
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
 * Guards against a frozen target that makes every call end as "may have run".
 * Its announcements go on and its kernel accepts every new connection, so that
 * each reading would wait until its deadline. Only the calls that the target
 * had may have run. The others are refused as not run, and new flows are
 * bounced to other agents.
 */
START_TEST(sends_no_more_calls_to_frozen_target)
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
 * A target restarts while it has a call. The answer of its previous
 * incarnation must reach no caller, and the call may have run.
 */
START_TEST(closes_connections_after_target_restart)
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
 * Guards against a reading that is stored twice after an agent died. Its next
 * incarnation has no duplicate request cache and gets copies of calls that the
 * previous one ran. It must answer that they may have run, and serve
 * idempotent calls in a new session.
 */
START_TEST(runs_no_submission_of_dead_incarnation)
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

START_TEST(returns_cancel_verdict_at_each_stage)
{
	fake_world_t *world = create_open();
	uint32_t ids[4];
	unsigned i;

	for (i = 0; i < 3; i++)
		ids[i] = world_send_call(world, 0, 0, FAKE_SUBMIT);
	world_send_cancel(world, 0, ids[2]); /* queued */
	ck_assert_int_eq(world->cancel_result.verdict, DY_NOT_RUN);
	ck_assert_int_eq(world->calls[ids[2]].verdict, DY_NOT_RUN);
	world_answer(world, 0, 1, FAKE_OK);
	world_send_cancel(world, 0, ids[1]); /* answered */
	ck_assert_int_eq(world->cancel_result.verdict, DY_RAN);
	world_send_cancel(world, 0, ids[0]); /* with the target */
	ck_assert_int_eq(world->has_cancel_result, 0);
	world_answer_cancel(world, 0, 1);
	ck_assert_int_eq(world->cancel_result.verdict, DY_NOT_RUN);
	ck_assert_int_eq(world->calls[ids[0]].reason, DY_REASON_CANCELLED);
	world_advance(world, 200);
	ids[3] = world_send_call(world, 0, 0, FAKE_SUBMIT);
	world_send_cancel(world, 0, ids[3]);
	world_answer_cancel(world, 0, 0); /* not granted */
	ck_assert_int_eq(world->cancel_result.verdict, DY_MAY_HAVE_RUN);
	world_answer_all(world, 0);
	ck_assert_int_eq(world->calls[ids[3]].answered, 1);
	fake_world_destroy(world);
}
END_TEST

/*
 * Guards against readings that reach the map service. A map target reuses the
 * port of a readings target and announces itself to the agent that is still
 * bound to readings. A call for another service or another agent must not be
 * served either.
 */
START_TEST(rejects_other_services)
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

/* Without a lease of control, sessions go on and no new session is opened. */
START_TEST(keeps_sessions_and_opens_none_without_lease)
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
		runs_call_once_and_returns_answer,
		does_not_rerun_duplicate,
		opens_one_session_for_duplicate_opening,
		refuses_submission_without_token_as_too_weak,
		maps_each_target_reply_to_verdict,
		closes_connection_after_deadline,
		distinguishes_sent_and_unsent_calls_of_lost_target,
		reports_not_run_after_failed_send,
		sends_no_more_calls_to_frozen_target,
		closes_connections_after_target_restart,
		runs_no_submission_of_dead_incarnation,
		returns_cancel_verdict_at_each_stage,
		rejects_other_services,
		keeps_sessions_and_opens_none_without_lease,
		NULL,
	};

	return fake_suite_run("agent", tests);
}
