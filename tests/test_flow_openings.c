#include "damaskyard/flow_holder.h"

#include "damaskyard/opening_queue.h"
#include "fake_holder.h"
#include "fake_suite.h"

/* A balancer's list is old: a flow of the maps must not open here. */
START_TEST(opening_for_another_service_is_passed_on)
{
	dy_packet_t made = fake_holder_packet(1, DY_PACKET_SYN, 1, 0, 0);

	fake_holder_begin();
	fake_holder_forward_for("maps", &made, 2);
	ck_assert_uint_eq(fake_holder.given, 0);
	ck_assert_uint_eq(fake_holder.passed, 1);
	ck_assert_uint_eq(fake_holder.forward.step, 1);
	fake_holder_end();
}
END_TEST

/*
 * Several balancers open flows within one moment, and each knows only its own:
 * one target queues while another is idle. The agent knows, and passes on; but
 * the last choice of a balancer takes what comes, since a refusal helps nobody.
 */
START_TEST(overloaded_target_passes_openings_on)
{
	dy_packet_t made;
	unsigned i;

	fake_holder_begin();
	for (i = 0; i < FAKE_HOLDER_ROOM; i++)
		fake_holder_from_caller(i, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(fake_holder.passed, 0);
	fake_holder_from_caller(50, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(fake_holder.passed, 1);
	made = fake_holder_packet(51, DY_PACKET_SYN, 1, 0, 0);
	fake_holder_forward_for(FAKE_HOLDER_SERVICE, &made, 1);
	ck_assert_uint_eq(fake_holder.passed, 1);
	ck_assert_uint_eq(fake_holder.nowheres, 0);
	ck_assert_uint_eq(fake_holder.given, FAKE_HOLDER_ROOM);
	fake_holder_end();
}
END_TEST

/* Openings that the target has room for, each with a request. */
static void fill_target(void)
{
	unsigned i;

	for (i = 0; i < FAKE_HOLDER_ROOM; i++) {
		fake_holder_open_flow(i);
		fake_holder_from_caller(i, DY_PACKET_ACK, 501, 90);
	}
	fake_holder.given = 0;
}

/* An opening for which this agent is the last choice. */
static void last_choice(unsigned flow, uint32_t copy)
{
	dy_packet_t made = fake_holder_packet(flow, DY_PACKET_SYN, 1, copy, 0);

	fake_holder_forward_for(FAKE_HOLDER_SERVICE, &made, 1);
}

static void answer(unsigned flow)
{
	fake_holder_from_target(flow, DY_PACKET_ACK, 502, 300);
}

/*
 * All callers open flows at once, and each target has what it can answer in
 * time. The target would queue some and refuse the rest, who come back at
 * once. They wait here instead, and the youngest can still be in time.
 */
START_TEST(openings_wait_for_room_the_youngest_goes_first)
{
	fake_holder_begin();
	fill_target();
	last_choice(50, 0);
	ck_assert(fake_holder.helds && !fake_holder.held.open);
	last_choice(51, 0);
	last_choice(50, 1);
	ck_assert_uint_eq(fake_holder.given, 0);
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder),
			  FAKE_HOLDER_ROOM);
	answer(0);
	ck_assert_uint_eq(fake_holder.given, 0);
	answer(1);
	ck_assert_uint_eq(fake_holder.given, 1);
	fake_holder_from_target(51, DY_PACKET_SYN | DY_PACKET_ACK, 500, 0);
	ck_assert_uint_eq(fake_holder.held.flow.caller_port, 1024 + 51);
	answer(2);
	ck_assert_uint_eq(fake_holder.given, 2);
	fake_holder_from_target(50, DY_PACKET_SYN | DY_PACKET_ACK, 500, 0);
	ck_assert_uint_eq(fake_holder.held.flow.caller_port, 1024 + 50);
	fake_holder_end();
}
END_TEST

/*
 * Power is back: hundreds of openings have waited, here or at their callers,
 * and cannot be answered in time any more. Taken as soon as there is room for
 * one they would leave none to a caller that comes now and still can be.
 */
START_TEST(room_is_left_to_an_opening_that_has_just_come)
{
	fake_holder_begin();
	fill_target();
	last_choice(50, 0);
	answer(0);
	fake_holder_from_caller(60, DY_PACKET_SYN, 2, 0);
	ck_assert_uint_eq(fake_holder.given, 0);
	ck_assert_uint_eq(fake_holder.passed, 1);
	fake_holder_from_caller(61, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(fake_holder.given, 1);
	fake_holder_from_target(61, DY_PACKET_SYN | DY_PACKET_ACK, 500, 0);
	ck_assert_uint_eq(fake_holder.held.flow.caller_port, 1024 + 61);
	fake_holder_end();
}
END_TEST

/* There is no room in time: the caller is told while it has time to retry. */
START_TEST(opening_that_waits_too_long_is_refused)
{
	fake_holder_begin();
	fill_target();
	last_choice(50, 0);
	fake_holder.now_ms += DY_OPENING_WAIT_MAX_MS - 1;
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.nowheres, 0);
	fake_holder.now_ms++;
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.nowheres, 1);
	ck_assert_int_eq(fake_holder.nowhere.reason, DY_FLOW_REFUSED);
	answer(0);
	ck_assert_uint_eq(fake_holder.given, 0);
	fake_holder_end();
}
END_TEST

/*
 * The target says that it leaves while openings wait for it. Given to it
 * seconds later they would be new work for a target that was to have none.
 */
START_TEST(openings_that_wait_do_not_reach_a_draining_target)
{
	fake_holder_begin();
	fill_target();
	last_choice(50, 0);
	ck_assert(fake_holder_announce(2, DY_TARGET_DRAINING));
	answer(0);
	ck_assert_uint_eq(fake_holder.given, 0);
	ck_assert_uint_eq(fake_holder.nowheres, 1);
	fake_holder_end();
}
END_TEST

/* What a cold target with ten openings a second is given in any second. */
#define COLD_MOST \
	((unsigned)(10 * FAKE_HOLDER_COLD_OVERSHOOT + FAKE_HOLDER_COLD_SLACK))

/* A cold target that bears ten openings a second, its agent there from start */
static void begin_cold(void)
{
	fake_holder_create();
	fake_holder.cold_openings = 10000;
	fake_holder.cold_ms = 2000;
	ck_assert(fake_holder_announce(1, DY_TARGET_READY));
}

/* Openings of many balancers, one each 5 ms, each answered and ended at once.
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

/* A domain returns in a burst, and each balancer opens its share at one target
 */
START_TEST(cold_target_is_given_its_rate_and_the_rest_goes_on)
{
	begin_cold();
	burst(0, 200);
	ck_assert_uint_eq(fake_holder.given, COLD_MOST);
	ck_assert_uint_eq(fake_holder.passed, 200 - COLD_MOST);
	ck_assert_uint_eq(fake_holder.nowheres, 0);
	/* Another second: the rate is filled, and not exceeded. */
	burst(200, 200);
	ck_assert_uint_le(fake_holder.given, 2 * COLD_MOST);
	ck_assert_uint_ge(fake_holder.given, 2 * COLD_MOST * 9 / 10);
	/* Warm, and a window later. */
	fake_holder.now_ms += 1100;
	fake_holder.given = 0;
	burst(400, 200);
	ck_assert_uint_eq(fake_holder.given, 200);
	fake_holder_end();
}
END_TEST

/* The last choice of a balancer exceeds the rate since it must take what comes
 */
START_TEST(cold_target_that_is_the_last_choice_lets_openings_wait)
{
	dy_packet_t made = fake_holder_packet(900, DY_PACKET_SYN, 1, 0, 0);

	begin_cold();
	burst(0, COLD_MOST);
	fake_holder.given = 0;
	fake_holder_forward_for(FAKE_HOLDER_SERVICE, &made, 1);
	ck_assert_uint_eq(fake_holder.given, 0);
	fake_holder.now_ms += DY_OPENING_WAIT_MAX_MS;
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.given, 0);
	ck_assert_uint_eq(fake_holder.nowheres, 1);
	ck_assert_int_eq(fake_holder.nowhere.reason, DY_FLOW_REFUSED);
	fake_holder_end();
}
END_TEST

/* An agent that starts beside a cold target lets a second rate in at once. */
START_TEST(agent_that_comes_later_counts_what_it_did_not_see)
{
	dy_target_notice_t notice;

	fake_holder_create();
	fake_holder.cold_openings = 10000;
	notice = fake_holder_notice(9, DY_TARGET_READY);
	notice.cold_ms = 5000;
	ck_assert(dy_flow_holder_receive_notice(fake_holder.holder, &notice,
						fake_holder.now_ms));
	burst(0, 10);
	ck_assert_uint_eq(fake_holder.given, 0);
	fake_holder.now_ms += 1100;
	burst(10, 10);
	ck_assert_uint_eq(fake_holder.given, 10);
	fake_holder_end();
}
END_TEST

/* A balancer that has not heard of an evacuation opens a flow here. */
START_TEST(evacuated_target_takes_no_opening_and_keeps_its_flows)
{
	fake_holder_begin();
	fake_holder_open_flow(1);
	dy_flow_holder_set_evacuated(fake_holder.holder, 1, fake_holder.now_ms);
	ck_assert(dy_flow_holder_is_serving(fake_holder.holder));
	fake_holder.given = 0;
	fake_holder_from_caller(2, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(fake_holder.given, 0);
	ck_assert_uint_eq(fake_holder.passed, 1);
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 90);
	ck_assert_uint_eq(fake_holder.given, 1);
	dy_flow_holder_set_evacuated(fake_holder.holder, 0, fake_holder.now_ms);
	fake_holder_from_caller(3, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(fake_holder.given, 2);
	fake_holder_end();
}
END_TEST

/* An opening that waited before an evacuation is let in after it. */
START_TEST(openings_that_wait_leave_an_evacuated_target)
{
	fake_holder_begin();
	fill_target();
	last_choice(50, 0);
	dy_flow_holder_set_evacuated(fake_holder.holder, 1, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.nowheres, 1);
	answer(0);
	ck_assert_uint_eq(fake_holder.given, 0);
	fake_holder_end();
}
END_TEST

/*
 * Callers gave their openings up while all power was gone. The target answers
 * them, nobody takes the answer up, and for seconds they seem to fill it.
 */
START_TEST(openings_given_up_leave_room)
{
	unsigned i;

	fake_holder_begin();
	for (i = 0; i < FAKE_HOLDER_ROOM; i++) {
		fake_holder_from_caller(i, DY_PACKET_SYN, 0, 0);
		fake_holder_from_target(i, DY_PACKET_SYN | DY_PACKET_ACK, 500,
					0);
	}
	last_choice(50, 0);
	ck_assert_uint_eq(fake_holder.given, FAKE_HOLDER_ROOM);
	fake_holder.now_ms += DY_FIRST_REQUEST_TIMEOUT_MS + 1;
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.given, FAKE_HOLDER_ROOM + 1);
	fake_holder_end();
}
END_TEST

/*
 * A target answers some requests never, though its health is good. Each would
 * take a place of those that it can have, until there are none.
 */
START_TEST(requests_without_an_answer_are_forgotten)
{
	fake_holder_begin();
	fill_target();
	fake_holder.now_ms += DY_REQUEST_TIMEOUT_MS;
	ck_assert(fake_holder_announce(2, DY_TARGET_READY));
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.report.load.busy, 0);
	last_choice(50, 0);
	ck_assert_uint_eq(fake_holder.given, 1);
	fake_holder_end();
}
END_TEST

/* Nobody takes it: the balancer is told at once, so that it refuses. */
START_TEST(opening_that_nobody_takes_is_told)
{
	dy_packet_t made = fake_holder_packet(1, DY_PACKET_SYN, 1, 0, 0);

	fake_holder_create();
	fake_holder_forward_for(FAKE_HOLDER_SERVICE, &made, 1);
	ck_assert_uint_eq(fake_holder.given, 0);
	ck_assert_uint_eq(fake_holder.nowheres, 1);
	ck_assert_int_eq(fake_holder.nowhere.reason, DY_FLOW_REFUSED);
	fake_holder_end();
}
END_TEST

/* The target is full and gives the opening packet back. */
START_TEST(opening_that_the_target_gives_back_goes_on)
{
	fake_holder_begin();
	fake_holder_from_caller(1, DY_PACKET_SYN, 0, 0);
	fake_holder_give_back(1, DY_PACKET_SYN, fake_holder.note);
	ck_assert_uint_eq(fake_holder.passed, 1);
	ck_assert_uint_eq(fake_holder.forward.step, 1);
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 0);
	fake_holder_end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		opening_for_another_service_is_passed_on,
		overloaded_target_passes_openings_on,
		openings_wait_for_room_the_youngest_goes_first,
		room_is_left_to_an_opening_that_has_just_come,
		opening_that_waits_too_long_is_refused,
		openings_that_wait_do_not_reach_a_draining_target,
		cold_target_is_given_its_rate_and_the_rest_goes_on,
		cold_target_that_is_the_last_choice_lets_openings_wait,
		agent_that_comes_later_counts_what_it_did_not_see,
		evacuated_target_takes_no_opening_and_keeps_its_flows,
		openings_that_wait_leave_an_evacuated_target,
		openings_given_up_leave_room,
		requests_without_an_answer_are_forgotten,
		opening_that_nobody_takes_is_told,
		opening_that_the_target_gives_back_goes_on,
		NULL,
	};

	return fake_suite_run("flow_openings", tests);
}
