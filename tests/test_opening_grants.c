/* The agent's grants of places; flow_holder_openings.c. */

#include "damaskyard/flow_holder.h"
#include "damaskyard/slot_grants.h"
#include "fake_holder.h"
#include "fake_suite.h"

/* Requests up to which places are granted. */
#define GRANTED_MAX (FAKE_HOLDER_SLOTS + DY_GRANTED_EXTRA_REQUESTS)

static void begin(void)
{
	fake_holder_begin();
	fake_holder.wait = DY_FLOW_WAIT_AT_BALANCER;
}

/* Opens as many flows as the target has capacity for, each with a request. */
static void fill_target(unsigned requests)
{
	unsigned i;

	for (i = 0; i < requests; i++) {
		fake_holder_open_flow(i);
		fake_holder_from_caller(i, DY_PACKET_ACK, 501, 90);
	}
	fake_holder.sent_to_target = 0;
}

static void answer(unsigned flow)
{
	fake_holder_from_target(flow, DY_PACKET_ACK, 502, 300);
}

/* Sends an opening for which this agent is the last candidate. */
static void send_opening(unsigned flow, uint32_t standing)
{
	dy_packet_t packet = fake_holder_packet(flow, DY_PACKET_SYN, 1, 0, 0);

	fake_holder.standing = standing;
	fake_holder_send_forward(FAKE_HOLDER_SERVICE, &packet, 1);
}

static void reserve(unsigned number, uint32_t standing)
{
	dy_flow_reserve_t message = { fake_holder_address(number, 7001),
				      standing };

	dy_flow_holder_reserve(fake_holder.holder, &message,
			       fake_holder.now_ms);
}

static int is_granted_to(unsigned number)
{
	dy_address_t balancer = fake_holder_address(number, 7001);

	return !fake_holder.grant.returned &&
	       dy_address_equal(&fake_holder.grant_balancer, &balancer);
}

/* Guards against an opening that waits here while places are free elsewhere. */
START_TEST(returns_opening_and_grants_a_place_later)
{
	begin();
	fill_target(GRANTED_MAX);
	send_opening(50, 7);
	ck_assert_uint_eq(fake_holder.sent_to_target, 0);
	ck_assert_uint_eq(fake_holder.nowhere_count, 1);
	ck_assert_uint_eq(fake_holder.nowhere.reason, DY_FLOW_FULL);
	ck_assert_uint_eq(fake_holder.grant_count, 0);
	answer(0);
	ck_assert_uint_eq(fake_holder.grant_count, 1);
	ck_assert(is_granted_to(100));
	fake_holder.wait = DY_FLOW_GRANTED;
	send_opening(51, 9);
	ck_assert_uint_eq(fake_holder.sent_to_target, 1);
	fake_holder_end();
}
END_TEST

/* Guards against a balancer with urgent requests that waits behind others. */
START_TEST(grants_to_the_lowest_standing)
{
	begin();
	fill_target(GRANTED_MAX);
	reserve(101, 20);
	reserve(102, 10);
	answer(0);
	ck_assert(is_granted_to(102));
	answer(1);
	ck_assert(is_granted_to(101));
	fake_holder_end();
}
END_TEST

/* Guards against more grants than places, while openings are on their way. */
START_TEST(counts_grants_as_taken)
{
	begin();
	fill_target(GRANTED_MAX);
	reserve(101, 1);
	reserve(101, 2);
	answer(0);
	ck_assert_uint_eq(fake_holder.grant_count, 1);
	fake_holder.now_ms += DY_GRANT_TTL_MS;
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.grant_count, 2);
	fake_holder_end();
}
END_TEST

/* Guards against a new opening that takes the place of one that waits. */
START_TEST(new_opening_does_not_overtake_reservations)
{
	begin();
	fill_target(GRANTED_MAX);
	reserve(101, 1);
	reserve(101, 2);
	answer(0);
	send_opening(50, 0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 0);
	ck_assert_uint_eq(fake_holder.nowhere.reason, DY_FLOW_FULL);
	fake_holder_end();
}
END_TEST

/*
 * A target falls silent: it seems to have a place at all times. Guards against
 * openings that all go there.
 */
START_TEST(grants_nothing_of_a_silent_target)
{
	begin();
	send_opening(1, 1);
	ck_assert_uint_eq(fake_holder.sent_to_target, 1);
	fake_holder.now_ms += DY_OPENING_RESPONSE_TIMEOUT_MS + 1;
	reserve(101, 1);
	ck_assert_uint_eq(fake_holder.grant_count, 1);
	ck_assert_uint_eq(fake_holder.grant.returned, 1);
	ck_assert(!fake_holder.grant.load.accepts);
	fake_holder_from_target(1, DY_PACKET_SYN | DY_PACKET_ACK, 500, 0);
	reserve(101, 1);
	ck_assert(is_granted_to(101));
	fake_holder_end();
}
END_TEST

/*
 * A target returns all that it is sent, at once. Guards against openings that
 * all go there, and are refused.
 */
START_TEST(holds_back_a_target_that_returns_openings)
{
	begin();
	send_opening(1, 1);
	fake_holder_bounce(1, DY_PACKET_SYN, fake_holder.last_tag);
	reserve(101, 1);
	ck_assert_uint_eq(fake_holder.grant.returned, 1);
	fake_holder.now_ms += DY_HELD_BACK_MIN_MS;
	reserve(101, 1);
	ck_assert(is_granted_to(101));
	fake_holder.wait = DY_FLOW_GRANTED;
	send_opening(2, 1);
	fake_holder_bounce(2, DY_PACKET_SYN, fake_holder.last_tag);
	fake_holder.now_ms += DY_HELD_BACK_MIN_MS;
	reserve(101, 1);
	ck_assert_uint_eq(fake_holder.grant.returned, 1);
	fake_holder_end();
}
END_TEST

/*
 * The target drains after a place was granted. Guards against new work after
 * the acknowledgement.
 */
START_TEST(granted_opening_does_not_reach_a_draining_target)
{
	begin();
	reserve(100, 1);
	ck_assert(is_granted_to(100));
	reserve(101, 1);
	ck_assert_int_eq(fake_holder_announce(9, DY_TARGET_DRAINING), 1);
	fake_holder.wait = DY_FLOW_GRANTED;
	send_opening(1, 1);
	ck_assert_uint_eq(fake_holder.sent_to_target, 0);
	ck_assert_uint_eq(fake_holder.nowhere.reason, DY_FLOW_REFUSED);
	reserve(101, 1);
	ck_assert_uint_eq(fake_holder.grant.returned, 1);
	fake_holder_end();
}
END_TEST

/* Nothing waits any more: guards against a place that stays reserved. */
START_TEST(decline_frees_the_place)
{
	dy_address_t declining = fake_holder_address(101, 7001);

	begin();
	fill_target(GRANTED_MAX);
	reserve(101, 1);
	reserve(102, 2);
	answer(0);
	ck_assert(is_granted_to(101));
	dy_flow_holder_receive_decline(fake_holder.holder, &declining,
				       fake_holder.now_ms);
	ck_assert(is_granted_to(102));
	fake_holder_end();
}
END_TEST

/*
 * A balancer stalls with a grant, and its opening comes when the place is gone.
 * Guards against a target with more requests than it can answer in time.
 */
START_TEST(late_opening_has_no_place)
{
	begin();
	fill_target(GRANTED_MAX);
	reserve(100, 1);
	reserve(102, 2);
	answer(0);
	ck_assert(is_granted_to(100));
	fake_holder.now_ms += DY_GRANT_TTL_MS;
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert(is_granted_to(102));
	fake_holder.wait = DY_FLOW_GRANTED;
	send_opening(50, 1);
	ck_assert_uint_eq(fake_holder.sent_to_target, 0);
	ck_assert_uint_eq(fake_holder.nowhere.reason, DY_FLOW_FULL);
	fake_holder_end();
}
END_TEST

/* Guards against targets held back where openings wait at agents. */
START_TEST(holds_nothing_back_unless_asked_for_grants)
{
	fake_holder_begin();
	send_opening(1, 1);
	fake_holder_bounce(1, DY_PACKET_SYN, fake_holder.last_tag);
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert(fake_holder.report.load.accepts);
	fake_holder.wait = DY_FLOW_WAIT_AT_BALANCER;
	send_opening(2, 1);
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert(!fake_holder.report.load.accepts);
	fake_holder_end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		returns_opening_and_grants_a_place_later,
		grants_to_the_lowest_standing,
		counts_grants_as_taken,
		new_opening_does_not_overtake_reservations,
		grants_nothing_of_a_silent_target,
		holds_back_a_target_that_returns_openings,
		granted_opening_does_not_reach_a_draining_target,
		decline_frees_the_place,
		late_opening_has_no_place,
		holds_nothing_back_unless_asked_for_grants,
		NULL,
	};

	return fake_suite_run("opening_grants", tests);
}
