#include "damaskyard/flow_holder.h"

#include <glib.h>

#include "fake_holder.h"
#include "fake_suite.h"

/*
 * A target says that it drains, and is told that this is known. A balancer
 * that has not heard of it sends one more opening packet: what is acknowledged
 * must be in force in the same step.
 */
START_TEST(draining_is_in_force_once_acknowledged)
{
	fake_holder_begin();
	fake_holder_open_flow(1);
	ck_assert(fake_holder_announce(2, DY_TARGET_DRAINING));
	ck_assert(!dy_flow_holder_accepts(fake_holder.holder));
	fake_holder_from_caller(2, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(fake_holder.passed, 1);
	ck_assert_uint_eq(fake_holder.given, 2);
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 90);
	ck_assert_uint_eq(fake_holder.given, 3);
	fake_holder_end();
}
END_TEST

/*
 * The notice of before the drain arrives after it. Taken as the newest it
 * would make a leaving target ready again.
 */
START_TEST(late_notice_changes_nothing)
{
	fake_holder_begin();
	fake_holder_announce(3, DY_TARGET_DRAINING);
	ck_assert(fake_holder_announce(2, DY_TARGET_READY));
	ck_assert(fake_holder_announce(3, DY_TARGET_READY));
	ck_assert(!dy_flow_holder_accepts(fake_holder.holder));
	fake_holder_end();
}
END_TEST

/*
 * A target has ended and another start is at its address. A notice of the
 * first, held up by a partition, arrives then.
 */
START_TEST(notice_of_an_earlier_start_changes_nothing)
{
	dy_target_notice_t later = fake_holder_notice(1, DY_TARGET_DRAINING);
	dy_target_notice_t held_up = fake_holder_notice(90, DY_TARGET_READY);

	fake_holder_begin();
	g_strlcpy(later.id, "t2", sizeof(later.id));
	later.born_ms = 6000;
	ck_assert(dy_flow_holder_receive_notice(fake_holder.holder, &later,
						fake_holder.now_ms));
	ck_assert(dy_flow_holder_receive_notice(fake_holder.holder, &held_up,
						fake_holder.now_ms));
	ck_assert(!dy_flow_holder_accepts(fake_holder.holder));
	fake_holder_end();
}
END_TEST

/* The clock was set back between two starts: the second has the earlier time
 * of start, and would never be believed. */
START_TEST(start_with_an_earlier_clock_is_believed_in_the_end)
{
	dy_target_notice_t later = fake_holder_notice(1, DY_TARGET_READY);

	fake_holder_begin();
	fake_holder_announce(2, DY_TARGET_DRAINING);
	g_strlcpy(later.id, "t2", sizeof(later.id));
	later.born_ms = 4000;
	dy_flow_holder_receive_notice(fake_holder.holder, &later,
				      fake_holder.now_ms);
	ck_assert(!dy_flow_holder_accepts(fake_holder.holder));
	fake_holder.now_ms += 3001;
	later.sequence = 4;
	dy_flow_holder_receive_notice(fake_holder.holder, &later,
				      fake_holder.now_ms);
	ck_assert(dy_flow_holder_accepts(fake_holder.holder));
	fake_holder_end();
}
END_TEST

/* An address is in use again by a server of another service. */
START_TEST(notice_of_another_service_or_address_is_refused)
{
	dy_target_notice_t other = fake_holder_notice(2, DY_TARGET_READY);

	fake_holder_begin();
	g_strlcpy(other.service, "maps", sizeof(other.service));
	ck_assert(!dy_flow_holder_receive_notice(fake_holder.holder, &other,
						 fake_holder.now_ms));
	other = fake_holder_notice(2, DY_TARGET_READY);
	other.address.port++;
	ck_assert(!dy_flow_holder_receive_notice(fake_holder.holder, &other,
						 fake_holder.now_ms));
	ck_assert_uint_eq(
		dy_metrics_value(fake_holder.metrics, "notices_refused"), 2);
	fake_holder_end();
}
END_TEST

/* A tick after the target has owed an answer for too long. */
static void owe(void)
{
	fake_holder.now_ms += DY_TARGET_RESPONSE_TIMEOUT_MS;
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
}

static void check_says(dy_port_state_t state)
{
	dy_flow_holder_port_checked(fake_holder.holder, state,
				    fake_holder.now_ms);
}

/*
 * A target crashes with open flows. Callers of idempotent requests would wait
 * for their deadlines, and new flows be opened into the void until its notices
 * are missed. Its port is checked once it owes an answer, and then again.
 */
START_TEST(crashed_target_loses_its_flows_at_once)
{
	fake_holder_begin();
	ck_assert_uint_eq(fake_holder.checks, 1);
	check_says(DY_PORT_LISTENING);
	fake_holder_open_flow(1);
	fake_holder_from_caller(1, DY_PACKET_ACK, 502, 90);
	owe();
	ck_assert_uint_eq(fake_holder.checks, 2);
	check_says(DY_PORT_REFUSED);
	ck_assert(dy_flow_holder_accepts(fake_holder.holder));
	owe();
	ck_assert_uint_eq(fake_holder.checks, 3);
	check_says(DY_PORT_REFUSED);
	ck_assert(!dy_flow_holder_accepts(fake_holder.holder));
	ck_assert(dy_flow_holder_is_target_gone(fake_holder.holder));
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 0);
	fake_holder_from_caller(1, DY_PACKET_ACK, 502, 90);
	ck_assert_uint_eq(fake_holder.passed, 1);
	ck_assert(fake_holder.forward.certain);
	fake_holder_end();
}
END_TEST

/*
 * A target that never listened at its port was stopped for seconds, with all
 * callers: the refusals say nothing, and its open flows must not be reset.
 */
START_TEST(target_that_never_listened_is_not_taken_for_gone)
{
	unsigned i;

	fake_holder_begin();
	fake_holder_open_flow(1);
	fake_holder_from_caller(1, DY_PACKET_ACK, 502, 90);
	for (i = 0; i < 5; i++) {
		owe();
		check_says(DY_PORT_REFUSED);
	}
	ck_assert(dy_flow_holder_accepts(fake_holder.holder));
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 1);
	fake_holder_end();
}
END_TEST

/*
 * A busy target takes a second to answer. It listens, so its flows stay and it
 * is asked again only when it has owed an answer for as long once more.
 */
START_TEST(slow_target_keeps_its_flows)
{
	fake_holder_begin();
	fake_holder_open_flow(1);
	fake_holder_from_caller(1, DY_PACKET_ACK, 502, 90);
	owe();
	check_says(DY_PORT_LISTENING);
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms + 1);
	ck_assert_uint_eq(fake_holder.checks, 2);
	owe();
	ck_assert_uint_eq(fake_holder.checks, 3);
	check_says(DY_PORT_UNKNOWN);
	ck_assert(dy_flow_holder_accepts(fake_holder.holder));
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 1);
	fake_holder_end();
}
END_TEST

/*
 * A target's last answer arrives between two checks, or another start of it
 * does: one refusal before it counts for nothing.
 */
START_TEST(sign_of_life_between_checks_counts)
{
	fake_holder_begin();
	check_says(DY_PORT_LISTENING);
	fake_holder_open_flow(1);
	fake_holder_from_caller(1, DY_PACKET_ACK, 502, 90);
	owe();
	check_says(DY_PORT_REFUSED);
	fake_holder_from_target(1, DY_PACKET_ACK, 502, 300);
	fake_holder_from_caller(1, DY_PACKET_ACK, 503, 90);
	check_says(DY_PORT_REFUSED);
	ck_assert(dy_flow_holder_accepts(fake_holder.holder));
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 1);
	ck_assert(fake_holder_announce(2, DY_TARGET_READY));
	check_says(DY_PORT_REFUSED);
	ck_assert(dy_flow_holder_accepts(fake_holder.holder));
	fake_holder_end();
}
END_TEST

/*
 * A VM whose target left is started again with all others after a loss of
 * power, and taken away for good seconds later. While it was there, balancers
 * searched it for each flow, and afterwards their searches ended at it.
 */
START_TEST(agent_without_a_target_is_empty)
{
	fake_holder_create();
	ck_assert(!dy_flow_holder_is_target_gone(fake_holder.holder));
	check_says(DY_PORT_REFUSED);
	ck_assert(dy_flow_holder_is_target_gone(fake_holder.holder));
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 0);
	ck_assert_uint_eq(fake_holder.given, 0);
	ck_assert(fake_holder.forward.certain);
	ck_assert(fake_holder_announce(40, DY_TARGET_READY));
	ck_assert(!dy_flow_holder_is_target_gone(fake_holder.holder));
	ck_assert(dy_flow_holder_accepts(fake_holder.holder));
	fake_holder_from_caller(2, DY_PACKET_ACK, 501, 0);
	ck_assert_uint_eq(fake_holder.given, 0);
	fake_holder_end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		draining_is_in_force_once_acknowledged,
		late_notice_changes_nothing,
		notice_of_an_earlier_start_changes_nothing,
		start_with_an_earlier_clock_is_believed_in_the_end,
		notice_of_another_service_or_address_is_refused,
		crashed_target_loses_its_flows_at_once,
		target_that_never_listened_is_not_taken_for_gone,
		slow_target_keeps_its_flows,
		sign_of_life_between_checks_counts,
		agent_without_a_target_is_empty,
		NULL,
	};

	return fake_suite_run("flow_presence", tests);
}
