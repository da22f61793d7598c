/* How an agent measures its target's pace from the packets of its flows. */

#include "damaskyard/flow_holder.h"
#include "damaskyard/request_pace.h"

#include "fake_holder.h"
#include "fake_suite.h"

#define TICK_MS 200
#define MANY 8 /* flows; twice the slots */

static void begin(void)
{
	unsigned flow;

	fake_holder_begin();
	for (flow = 1; flow <= MANY; flow++)
		fake_holder_open_flow(flow);
}

static void ask(unsigned flow)
{
	fake_holder_from_caller(flow, DY_PACKET_ACK, 501, 900);
}

static void answer(unsigned flow)
{
	fake_holder_from_target(flow, DY_PACKET_ACK, 600, 1200);
}

/* Each request takes 20 ms; at most as many as there are slots at once. */
static void serve(unsigned rounds)
{
	unsigned flow;

	while (rounds--) {
		for (flow = 1; flow <= FAKE_HOLDER_SLOTS; flow++)
			ask(flow);
		fake_holder.now_ms += 20;
		for (flow = 1; flow <= FAKE_HOLDER_SLOTS; flow++)
			answer(flow);
	}
}

static const dy_flow_pace_t *reported(void)
{
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	return &fake_holder.report.pace;
}

/* Ticks as the agent does, for this time. */
static void wait_ms(unsigned time_ms)
{
	for (; time_ms; time_ms -= TICK_MS) {
		fake_holder.now_ms += TICK_MS;
		dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	}
}

static uint64_t count_unanswered(void)
{
	return dy_metrics_value(fake_holder.metrics, "requests_unanswered");
}

/*
 * Twice as many requests at once as there are slots. Guards against a busy
 * target that looks slow, because requests waited for their turn.
 */
START_TEST(wait_for_a_slot_does_not_count)
{
	unsigned round;
	unsigned flow;

	begin();
	ck_assert_uint_eq(reported()->service_us, 0);
	for (round = 0; round < 16; round++) {
		for (flow = 1; flow <= MANY; flow++)
			ask(flow);
		for (flow = 1; flow <= MANY; flow++) {
			if (flow % FAKE_HOLDER_SLOTS == 1)
				fake_holder.now_ms += 20;
			answer(flow);
		}
	}
	ck_assert_uint_eq(reported()->service_us, 20000);
	ck_assert_uint_eq(fake_holder.report.pace.unanswered_permille, 0);
	fake_holder_open_flow(MANY + 1);
	ck_assert_uint_eq(fake_holder.held.pace.service_us, 20000);
	fake_holder_end();
}
END_TEST

/*
 * The target holds some requests back and answers all others. Guards against a
 * mute target that goes unseen until callers have gone, and against its other
 * requests, which are as fast as before, being taken for slow ones.
 */
START_TEST(mute_requests_are_counted_before_callers_leave)
{
	unsigned round;

	begin();
	serve(10);
	reported();
	for (round = 5; round <= MANY; round++)
		ask(round);
	wait_ms(DY_PACE_UNANSWERED_MIN_MS - 100);
	ck_assert_uint_eq(count_unanswered(), 0);
	wait_ms(TICK_MS);
	ck_assert_uint_eq(count_unanswered(), 4);
	ck_assert_uint_ge(fake_holder.report.pace.unanswered_permille, 150);
	serve(20);
	ck_assert_uint_eq(reported()->service_us, 20000);
	wait_ms(600);
	ck_assert_uint_eq(count_unanswered(), 4);
	fake_holder_end();
}
END_TEST

/*
 * A caller goes after 100 ms, another one sends half of a request. Guards
 * against a target that is convicted by its callers or their links.
 */
START_TEST(callers_convict_no_target)
{
	dy_packet_t half = fake_holder_packet(2, DY_PACKET_ACK, 1, 501, 900);
	unsigned i;

	begin();
	serve(10);
	half.full = 1;
	for (i = 0; i < 8; i++) {
		ask(1);
		fake_holder_send_forward(FAKE_HOLDER_SERVICE, &half, 2);
		fake_holder.now_ms += 100;
		fake_holder_from_caller(1, DY_PACKET_RST, 501, 0);
		fake_holder_open_flow(1);
	}
	wait_ms(2000);
	ck_assert_uint_eq(reported()->unanswered_permille, 0);
	ck_assert_uint_eq(count_unanswered(), 0);
	fake_holder_end();
}
END_TEST

/*
 * The end of a flow overtakes the answer's data on its way. Guards against
 * requests that count as unanswered though they were answered.
 */
START_TEST(end_before_answer_is_no_missing_answer)
{
	begin();
	ask(1);
	fake_holder_from_target(1, DY_PACKET_ACK | DY_PACKET_FIN, 1800, 0);
	answer(1);
	ck_assert_uint_eq(count_unanswered(), 0);
	ask(2);
	fake_holder_from_target(2, DY_PACKET_ACK | DY_PACKET_RST, 600, 0);
	ck_assert_uint_eq(count_unanswered(), 1);
	fake_holder_end();
}
END_TEST

/*
 * The agent's VM is frozen for seconds while requests run. Guards against a
 * target that is convicted because its agent could not see its answers.
 */
START_TEST(frozen_agent_convicts_no_target)
{
	begin();
	serve(10);
	reported();
	ask(1);
	fake_holder.now_ms += 3000;
	reported();
	answer(1);
	wait_ms(1000);
	ck_assert_uint_eq(count_unanswered(), 0);
	fake_holder_end();
}
END_TEST

/* Guards against a new target that inherits the pace of the one before it. */
START_TEST(new_target_begins_anew)
{
	dy_target_notice_t notice = fake_holder_notice(3, DY_TARGET_READY);

	begin();
	serve(10);
	ck_assert_uint_eq(reported()->service_us, 20000);
	notice.started_ms += 10;
	notice.id[0] = 'u';
	ck_assert(dy_flow_holder_receive_notice(fake_holder.holder, &notice,
						fake_holder.now_ms));
	ck_assert_uint_eq(reported()->service_us, 0);
	fake_holder_end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		wait_for_a_slot_does_not_count,
		mute_requests_are_counted_before_callers_leave,
		callers_convict_no_target,
		end_before_answer_is_no_missing_answer,
		frozen_agent_convicts_no_target,
		new_target_begins_anew,
		NULL,
	};

	return fake_suite_run("flow_pace", tests);
}
