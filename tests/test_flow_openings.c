#include "damaskyard/flow_holder.h"

#include "damaskyard/opening_queue.h"
#include "fake_holder.h"
#include "fake_suite.h"

/*
 * A balancer's member list is outdated. A flow of another service must not open
 * here.
 */
START_TEST(passes_on_opening_for_other_service)
{
	dy_packet_t packet = fake_holder_packet(1, DY_PACKET_SYN, 1, 0, 0);

	fake_holder_begin();
	fake_holder_send_forward("maps", &packet, 2);
	ck_assert_uint_eq(fake_holder.sent_to_target, 0);
	ck_assert_uint_eq(fake_holder.passed_on, 1);
	ck_assert_uint_eq(fake_holder.forward.step, 1);
	fake_holder_end();
}
END_TEST

/*
 * Several balancers open flows at the same time, and each sees only its own.
 * Without the agent, one target queues while another is idle. The last
 * candidate takes the opening anyway, because a refusal helps nobody.
 */
START_TEST(passes_on_openings_above_capacity)
{
	dy_packet_t packet;
	unsigned i;

	fake_holder_begin();
	for (i = 0; i < FAKE_HOLDER_CAPACITY; i++)
		fake_holder_from_caller(i, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(fake_holder.passed_on, 0);
	fake_holder_from_caller(50, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(fake_holder.passed_on, 1);
	packet = fake_holder_packet(51, DY_PACKET_SYN, 1, 0, 0);
	fake_holder_send_forward(FAKE_HOLDER_SERVICE, &packet, 1);
	ck_assert_uint_eq(fake_holder.passed_on, 1);
	ck_assert_uint_eq(fake_holder.nowhere_count, 0);
	ck_assert_uint_eq(fake_holder.sent_to_target, FAKE_HOLDER_CAPACITY);
	fake_holder_end();
}
END_TEST

/*
 * Passes packets of an upload on flow number: `full` full ones in full_ms and,
 * with last, the last one.
 */
static void upload(unsigned number, unsigned full, uint64_t full_ms, int last)
{
	dy_packet_t packet =
		fake_holder_packet(number, DY_PACKET_ACK, 0, 501, 1200);
	unsigned i;

	packet.full = 1;
	for (i = 0; i < full; i++) {
		fake_holder_send_forward(FAKE_HOLDER_SERVICE, &packet, 1);
		fake_holder.now_ms += full_ms / full;
	}
	if (!last)
		return;
	packet = fake_holder_packet(number, DY_PACKET_ACK, 0, 501, 300);
	fake_holder_send_forward(FAKE_HOLDER_SERVICE, &packet, 1);
}

/*
 * Uploads take 400 ms to arrive through thin links and 4 ms to run. Guards
 * against a target that is idle and refuses openings for the uploads that
 * arrive. Complete ones without an answer do fill it.
 */
START_TEST(admits_openings_while_uploads_arrive)
{
	unsigned i;

	fake_holder_begin();
	for (i = 0; i < 20; i++) {
		fake_holder_open_flow(i);
		upload(i, 4, 400, 1);
		fake_holder.now_ms += 4;
		fake_holder_from_target(i, DY_PACKET_ACK, 500, 300);
	}
	for (i = 20; i < 20 + 2 * FAKE_HOLDER_CAPACITY; i++) {
		fake_holder_open_flow(i);
		upload(i, 2, 0, 0);
	}
	ck_assert_uint_eq(fake_holder.passed_on, 0);
	for (i = 20; i < 20 + 2 * FAKE_HOLDER_CAPACITY; i++)
		upload(i, 1, 0, 1);
	fake_holder_from_caller(90, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(fake_holder.passed_on, 1);
	fake_holder_end();
}
END_TEST

/* Opens as many flows as the target has capacity for, each with a request. */
static void fill_target(void)
{
	unsigned i;

	for (i = 0; i < FAKE_HOLDER_CAPACITY; i++) {
		fake_holder_open_flow(i);
		fake_holder_from_caller(i, DY_PACKET_ACK, 501, 90);
	}
	fake_holder.sent_to_target = 0;
}

/* Sends an opening for which this agent is the last candidate. */
static void send_to_last_candidate(unsigned flow, uint32_t copy)
{
	dy_packet_t packet =
		fake_holder_packet(flow, DY_PACKET_SYN, 1, copy, 0);

	fake_holder_send_forward(FAKE_HOLDER_SERVICE, &packet, 1);
}

static void answer(unsigned flow)
{
	fake_holder_from_target(flow, DY_PACKET_ACK, 502, 300);
}

/*
 * All callers open flows at once, and each target has as many requests as it
 * can answer in time. Without the queue the target would queue some and refuse
 * the rest, whose callers retry at once. The newest queued opening can still be
 * in time.
 */
START_TEST(admits_newest_queued_opening_first)
{
	fake_holder_begin();
	fill_target();
	send_to_last_candidate(50, 0);
	ck_assert(fake_holder.held_count && !fake_holder.held.open);
	send_to_last_candidate(51, 0);
	send_to_last_candidate(50, 1);
	ck_assert_uint_eq(fake_holder.sent_to_target, 0);
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder),
			  FAKE_HOLDER_CAPACITY);
	answer(0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 0);
	answer(1);
	ck_assert_uint_eq(fake_holder.sent_to_target, 1);
	fake_holder_from_target(51, DY_PACKET_SYN | DY_PACKET_ACK, 500, 0);
	ck_assert_uint_eq(fake_holder.held.flow.caller_port, 1024 + 51);
	answer(2);
	ck_assert_uint_eq(fake_holder.sent_to_target, 2);
	fake_holder_from_target(50, DY_PACKET_SYN | DY_PACKET_ACK, 500, 0);
	ck_assert_uint_eq(fake_holder.held.flow.caller_port, 1024 + 50);
	fake_holder_end();
}
END_TEST

/*
 * Power is back: hundreds of openings have waited, here or at their callers,
 * and cannot be answered in time any more. Guards against admitting them with
 * every free capacity, which leaves none for a new caller that can still be
 * answered in time.
 */
START_TEST(reserves_capacity_for_new_opening)
{
	fake_holder_begin();
	fill_target();
	send_to_last_candidate(50, 0);
	answer(0);
	fake_holder_from_caller(60, DY_PACKET_SYN, 2, 0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 0);
	ck_assert_uint_eq(fake_holder.passed_on, 1);
	fake_holder_from_caller(61, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 1);
	fake_holder_from_target(61, DY_PACKET_SYN | DY_PACKET_ACK, 500, 0);
	ck_assert_uint_eq(fake_holder.held.flow.caller_port, 1024 + 61);
	fake_holder_end();
}
END_TEST

/*
 * No capacity becomes free in time: the caller must be refused while it has
 * time for a retry.
 */
START_TEST(refuses_opening_after_maximum_wait)
{
	fake_holder_begin();
	fill_target();
	send_to_last_candidate(50, 0);
	fake_holder.now_ms += DY_OPENING_WAIT_MAX_MS - 1;
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.nowhere_count, 0);
	fake_holder.now_ms++;
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.nowhere_count, 1);
	ck_assert_int_eq(fake_holder.nowhere.reason, DY_FLOW_REFUSED);
	answer(0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 0);
	fake_holder_end();
}
END_TEST

/*
 * The target starts to drain while openings are queued for it. Sent to it
 * seconds later they would be new work for a draining target.
 */
START_TEST(refuses_queued_openings_when_target_drains)
{
	fake_holder_begin();
	fill_target();
	send_to_last_candidate(50, 0);
	ck_assert(fake_holder_announce(2, DY_TARGET_DRAINING));
	answer(0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 0);
	ck_assert_uint_eq(fake_holder.nowhere_count, 1);
	fake_holder_end();
}
END_TEST

/* Limit per window of a cold target with ten openings per second. */
#define COLD_MAX \
	((unsigned)(10 * FAKE_HOLDER_COLD_OVERSHOOT + FAKE_HOLDER_COLD_SLACK))

/*
 * Creates a holder that saw the start of a cold target with ten openings per
 * second.
 */
static void create_cold(void)
{
	fake_holder_create();
	fake_holder_refuse_port();
	fake_holder.cold_openings = 10000;
	fake_holder.cold_ms = 2000;
	ck_assert(fake_holder_announce(1, DY_TARGET_READY));
}

/*
 * Sends openings of many balancers, one every 5 ms, each responded to and ended
 * at once.
 */
static void burst(unsigned first, unsigned count)
{
	unsigned i;

	for (i = first; i < first + count; i++) {
		fake_holder_from_caller(i, DY_PACKET_SYN, 0, 0);
		fake_holder_from_target(i, DY_PACKET_RST, 500, 0);
		fake_holder.now_ms += 5;
	}
}

/*
 * A failure domain returns with a burst of openings, and every balancer sends
 * its share to one target.
 */
START_TEST(limits_openings_to_cold_target)
{
	create_cold();
	burst(0, 200);
	ck_assert_uint_eq(fake_holder.sent_to_target, COLD_MAX);
	ck_assert_uint_eq(fake_holder.passed_on, 200 - COLD_MAX);
	ck_assert_uint_eq(fake_holder.nowhere_count, 0);
	/* Another second: the rate is reached but not exceeded. */
	burst(200, 200);
	ck_assert_uint_le(fake_holder.sent_to_target, 2 * COLD_MAX);
	ck_assert_uint_ge(fake_holder.sent_to_target, 2 * COLD_MAX * 9 / 10);
	/* No longer cold, and one window later. */
	fake_holder.now_ms += 1100;
	fake_holder.sent_to_target = 0;
	burst(400, 200);
	ck_assert_uint_eq(fake_holder.sent_to_target, 200);
	fake_holder_end();
}
END_TEST

/* Guards against exceeding the rate at the last candidate. */
START_TEST(queues_openings_at_cold_last_candidate)
{
	dy_packet_t packet = fake_holder_packet(900, DY_PACKET_SYN, 1, 0, 0);

	create_cold();
	burst(0, COLD_MAX);
	fake_holder.sent_to_target = 0;
	fake_holder_send_forward(FAKE_HOLDER_SERVICE, &packet, 1);
	ck_assert_uint_eq(fake_holder.sent_to_target, 0);
	fake_holder.now_ms += DY_OPENING_WAIT_MAX_MS;
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.sent_to_target, 0);
	ck_assert_uint_eq(fake_holder.nowhere_count, 1);
	ck_assert_int_eq(fake_holder.nowhere.reason, DY_FLOW_REFUSED);
	fake_holder_end();
}
END_TEST

/*
 * Guards against an agent that restarts beside a cold target and admits the
 * rate once more, because it did not see the earlier openings.
 */
START_TEST(waits_one_window_after_agent_restart_beside_cold_target)
{
	dy_target_notice_t notice;

	fake_holder_create();
	fake_holder.cold_openings = 10000;
	notice = fake_holder_notice(9, DY_TARGET_READY);
	notice.cold_ms = 5000;
	ck_assert(dy_flow_holder_receive_notice(fake_holder.holder, &notice,
						fake_holder.now_ms));
	burst(0, 10);
	ck_assert_uint_eq(fake_holder.sent_to_target, 0);
	fake_holder.now_ms += 1100;
	burst(10, 10);
	ck_assert_uint_eq(fake_holder.sent_to_target, 10);
	fake_holder_end();
}
END_TEST

/* Guards against the same wait at a target that starts beside a running agent.
 */
START_TEST(admits_opening_at_once_when_cold_target_follows_known_one)
{
	dy_target_notice_t next = fake_holder_notice(1, DY_TARGET_READY);

	fake_holder_create();
	fake_holder.cold_openings = 10000;
	ck_assert(fake_holder_announce(1, DY_TARGET_READY));
	fake_holder.now_ms += 2000;
	g_strlcpy(next.id, "t2", sizeof(next.id));
	next.started_ms = 9000;
	next.cold_ms = 5000;
	ck_assert(dy_flow_holder_receive_notice(fake_holder.holder, &next,
						fake_holder.now_ms));
	fake_holder_from_caller(1, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 1);
	fake_holder_end();
}
END_TEST

/* A balancer that has not learned of an evacuation opens a flow here. */
START_TEST(admits_no_opening_but_keeps_flows_while_evacuated)
{
	fake_holder_begin();
	fake_holder_open_flow(1);
	dy_flow_holder_set_evacuated(fake_holder.holder, 1, fake_holder.now_ms);
	ck_assert(dy_flow_holder_is_serving(fake_holder.holder));
	fake_holder.sent_to_target = 0;
	fake_holder_from_caller(2, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 0);
	ck_assert_uint_eq(fake_holder.passed_on, 1);
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 90);
	ck_assert_uint_eq(fake_holder.sent_to_target, 1);
	dy_flow_holder_set_evacuated(fake_holder.holder, 0, fake_holder.now_ms);
	fake_holder_from_caller(3, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 2);
	fake_holder_end();
}
END_TEST

/*
 * Guards against admitting openings after an evacuation that were queued before
 * it.
 */
START_TEST(refuses_queued_openings_on_evacuation)
{
	fake_holder_begin();
	fill_target();
	send_to_last_candidate(50, 0);
	dy_flow_holder_set_evacuated(fake_holder.holder, 1, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.nowhere_count, 1);
	answer(0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 0);
	fake_holder_end();
}
END_TEST

/*
 * Callers abandoned their openings while all power was gone. The target
 * responds to them, no request follows, and for seconds they seem to take up
 * its capacity.
 */
START_TEST(frees_capacity_of_abandoned_openings)
{
	unsigned i;

	fake_holder_begin();
	for (i = 0; i < FAKE_HOLDER_CAPACITY; i++) {
		fake_holder_from_caller(i, DY_PACKET_SYN, 0, 0);
		fake_holder_from_target(i, DY_PACKET_SYN | DY_PACKET_ACK, 500,
					0);
	}
	send_to_last_candidate(50, 0);
	ck_assert_uint_eq(fake_holder.sent_to_target, FAKE_HOLDER_CAPACITY);
	fake_holder.now_ms += DY_FIRST_REQUEST_TIMEOUT_MS + 1;
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.sent_to_target, FAKE_HOLDER_CAPACITY + 1);
	fake_holder_end();
}
END_TEST

/*
 * A target with good health never answers some requests. Guards against each of
 * them taking up capacity until none is left.
 */
START_TEST(expires_unanswered_requests)
{
	fake_holder_begin();
	fill_target();
	fake_holder.now_ms += DY_REQUEST_TIMEOUT_MS;
	ck_assert(fake_holder_announce(2, DY_TARGET_READY));
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.report.load.busy, 0);
	send_to_last_candidate(50, 0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 1);
	fake_holder_end();
}
END_TEST

/*
 * No candidate is left: the balancer must learn it at once to refuse the
 * opening.
 */
START_TEST(reports_opening_without_candidates_as_refused)
{
	dy_packet_t packet = fake_holder_packet(1, DY_PACKET_SYN, 1, 0, 0);

	fake_holder_create();
	fake_holder_send_forward(FAKE_HOLDER_SERVICE, &packet, 1);
	ck_assert_uint_eq(fake_holder.sent_to_target, 0);
	ck_assert_uint_eq(fake_holder.nowhere_count, 1);
	ck_assert_int_eq(fake_holder.nowhere.reason, DY_FLOW_REFUSED);
	fake_holder_end();
}
END_TEST

/* The target is at its limit and bounces the SYN. */
START_TEST(passes_on_bounced_opening)
{
	fake_holder_begin();
	fake_holder_from_caller(1, DY_PACKET_SYN, 0, 0);
	fake_holder_bounce(1, DY_PACKET_SYN, fake_holder.last_tag);
	ck_assert_uint_eq(fake_holder.passed_on, 1);
	ck_assert_uint_eq(fake_holder.forward.step, 1);
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 0);
	fake_holder_end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		passes_on_opening_for_other_service,
		passes_on_openings_above_capacity,
		admits_openings_while_uploads_arrive,
		admits_newest_queued_opening_first,
		reserves_capacity_for_new_opening,
		refuses_opening_after_maximum_wait,
		refuses_queued_openings_when_target_drains,
		limits_openings_to_cold_target,
		queues_openings_at_cold_last_candidate,
		waits_one_window_after_agent_restart_beside_cold_target,
		admits_opening_at_once_when_cold_target_follows_known_one,
		admits_no_opening_but_keeps_flows_while_evacuated,
		refuses_queued_openings_on_evacuation,
		frees_capacity_of_abandoned_openings,
		expires_unanswered_requests,
		reports_opening_without_candidates_as_refused,
		passes_on_bounced_opening,
		NULL,
	};

	return fake_suite_run("flow_openings", tests);
}
