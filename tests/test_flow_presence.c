#include "damaskyard/flow_holder.h"

#include <glib.h>

#include "fake_holder.h"
#include "fake_suite.h"

static void finish_port_check(dy_port_state_t state)
{
	dy_flow_holder_port_checked(fake_holder.holder, state,
				    fake_holder.now_ms);
}

/*
 * A target announces that it drains and gets an acknowledgement. Then a
 * balancer that has not learned of it sends one more SYN. The drain must be in
 * effect as soon as it is acknowledged.
 */
START_TEST(refuses_openings_once_drain_is_acknowledged)
{
	fake_holder_begin();
	fake_holder_open_flow(1);
	ck_assert(fake_holder_announce(2, DY_TARGET_DRAINING));
	ck_assert(!dy_flow_holder_accepts(fake_holder.holder));
	fake_holder_from_caller(2, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(fake_holder.passed_on, 1);
	ck_assert_uint_eq(fake_holder.sent_to_target, 2);
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 90);
	ck_assert_uint_eq(fake_holder.sent_to_target, 3);
	fake_holder_end();
}
END_TEST

/*
 * A notice from before the drain arrives after it. Guards against taking it for
 * the newest one, which would make a draining target ready again.
 */
START_TEST(ignores_late_notice)
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
 * A target has ended and another instance uses its address. Then a notice of
 * the first one arrives that a partition had delayed.
 */
START_TEST(ignores_notice_of_earlier_instance)
{
	dy_target_notice_t later = fake_holder_notice(1, DY_TARGET_DRAINING);
	dy_target_notice_t held_up = fake_holder_notice(90, DY_TARGET_READY);

	fake_holder_begin();
	g_strlcpy(later.id, "t2", sizeof(later.id));
	later.started_ms = 6000;
	ck_assert(dy_flow_holder_receive_notice(fake_holder.holder, &later,
						fake_holder.now_ms));
	ck_assert(!dy_flow_holder_receive_notice(fake_holder.holder, &held_up,
						 fake_holder.now_ms));
	ck_assert(!dy_flow_holder_accepts(fake_holder.holder));
	fake_holder_end();
}
END_TEST

/* Guards against a list of the live target's flows under a dead one's name. */
START_TEST(names_target_only_after_its_second_notice)
{
	const dy_target_notice_t *target;

	fake_holder_create();
	ck_assert(fake_holder_announce(1, DY_TARGET_READY));
	ck_assert_ptr_null(dy_flow_holder_target(fake_holder.holder));
	fake_holder.now_ms += DY_INSTANCE_CONFIRM_MS;
	ck_assert(fake_holder_announce(2, DY_TARGET_READY));
	target = dy_flow_holder_target(fake_holder.holder);
	ck_assert_ptr_nonnull(target);
	ck_assert_str_eq(target->id, "t1");
	fake_holder_end();
}
END_TEST

/*
 * The clock was set back between two instances. Guards against ignoring the
 * second one forever, because its start time is earlier.
 */
START_TEST(accepts_instance_with_earlier_start_time_after_timeout)
{
	dy_target_notice_t later = fake_holder_notice(1, DY_TARGET_READY);

	fake_holder_begin();
	fake_holder_announce(2, DY_TARGET_DRAINING);
	g_strlcpy(later.id, "t2", sizeof(later.id));
	later.started_ms = 4000;
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

/* Guards against a late notice that replaces the target of a frozen VM. */
START_TEST(ignores_single_notice_of_earlier_instance_after_silence)
{
	dy_target_notice_t late = fake_holder_notice(7, DY_TARGET_READY);

	fake_holder_begin();
	ck_assert(fake_holder_announce(2, DY_TARGET_DRAINING));
	g_strlcpy(late.id, "t0", sizeof(late.id));
	late.started_ms = 4000;
	fake_holder.now_ms += DY_INSTANCE_TIMEOUT_MS + 1;
	dy_flow_holder_receive_notice(fake_holder.holder, &late,
				      fake_holder.now_ms);
	ck_assert(!dy_flow_holder_accepts(fake_holder.holder));
	late.sequence = 8;
	dy_flow_holder_receive_notice(fake_holder.holder, &late,
				      fake_holder.now_ms);
	ck_assert(!dy_flow_holder_accepts(fake_holder.holder));
	fake_holder.now_ms += DY_INSTANCE_CONFIRM_MS;
	ck_assert(fake_holder_announce(3, DY_TARGET_DRAINING));
	late.sequence = 9;
	dy_flow_holder_receive_notice(fake_holder.holder, &late,
				      fake_holder.now_ms);
	ck_assert(!dy_flow_holder_accepts(fake_holder.holder));
	fake_holder_end();
}
END_TEST

/* Guards against a late notice of the one before, born by a faster clock. */
START_TEST(ignores_notice_of_former_instance_with_later_start_time)
{
	dy_target_notice_t late = fake_holder_notice(7, DY_TARGET_READY);
	dy_target_notice_t next = fake_holder_notice(1, DY_TARGET_DRAINING);

	fake_holder_begin();
	g_strlcpy(next.id, "t2", sizeof(next.id));
	next.started_ms = 4000;
	fake_holder.now_ms += DY_INSTANCE_TIMEOUT_MS + 1;
	dy_flow_holder_receive_notice(fake_holder.holder, &next,
				      fake_holder.now_ms);
	fake_holder.now_ms += DY_INSTANCE_CONFIRM_MS;
	next.sequence = 2;
	dy_flow_holder_receive_notice(fake_holder.holder, &next,
				      fake_holder.now_ms);
	ck_assert_int_eq(
		dy_flow_holder_instance_state(fake_holder.holder, "t2", 4000),
		DY_TARGET_INSTANCE_CURRENT);
	dy_flow_holder_receive_notice(fake_holder.holder, &late,
				      fake_holder.now_ms);
	ck_assert(!dy_flow_holder_accepts(fake_holder.holder));
	fake_holder_end();
}
END_TEST

/* Guards against 3 s without openings after a crash and a step of the clock. */
START_TEST(accepts_instance_with_earlier_start_time_after_refused_port)
{
	dy_target_notice_t next = fake_holder_notice(1, DY_TARGET_READY);

	fake_holder_begin();
	finish_port_check(DY_PORT_LISTENING);
	finish_port_check(DY_PORT_REFUSED);
	finish_port_check(DY_PORT_REFUSED);
	ck_assert(dy_flow_holder_is_target_gone(fake_holder.holder));
	g_strlcpy(next.id, "t2", sizeof(next.id));
	next.started_ms = 4000;
	dy_flow_holder_receive_notice(fake_holder.holder, &next,
				      fake_holder.now_ms);
	ck_assert(dy_flow_holder_accepts(fake_holder.holder));
	fake_holder_end();
}
END_TEST

/*
 * Guards against a target that is told that its draining is in force, while its
 * agent follows another instance and admits openings.
 */
START_TEST(acknowledges_only_notices_in_force)
{
	dy_target_notice_t other = fake_holder_notice(7, DY_TARGET_DRAINING);

	fake_holder_begin();
	other.started_ms--;
	ck_assert(!dy_flow_holder_receive_notice(fake_holder.holder, &other,
						 fake_holder.now_ms));
	g_strlcpy(other.id, "t0", sizeof(other.id));
	ck_assert(!dy_flow_holder_receive_notice(fake_holder.holder, &other,
						 fake_holder.now_ms));
	ck_assert(dy_flow_holder_accepts(fake_holder.holder));
	/* A later notice of the same instance stands for an earlier one. */
	ck_assert(fake_holder_announce(3, DY_TARGET_DRAINING));
	ck_assert(fake_holder_announce(2, DY_TARGET_READY));
	ck_assert(!dy_flow_holder_accepts(fake_holder.holder));
	fake_holder.now_ms += 3001;
	other.state = DY_TARGET_READY;
	other.sequence++;
	ck_assert(dy_flow_holder_receive_notice(fake_holder.holder, &other,
						fake_holder.now_ms));
	ck_assert(dy_flow_holder_accepts(fake_holder.holder));
	fake_holder_end();
}
END_TEST

/* An address is reused by a server of another service. */
START_TEST(refuses_notice_of_other_service_or_address)
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

/* Runs a tick after the response timeout of the target. */
static void exceed_response_timeout(void)
{
	fake_holder.now_ms += DY_TARGET_RESPONSE_TIMEOUT_MS;
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
}

/* Guards against a stopping agent that says its target holds no flows. */
START_TEST(target_that_was_not_heard_has_not_ended)
{
	fake_holder_create();
	ck_assert(!dy_flow_holder_has_target_ended(fake_holder.holder));
	finish_port_check(DY_PORT_LISTENING);
	ck_assert(!dy_flow_holder_has_target_ended(fake_holder.holder));
	finish_port_check(DY_PORT_REFUSED);
	ck_assert(dy_flow_holder_has_target_ended(fake_holder.holder));
	fake_holder_end();
}
END_TEST

/* Guards against the same with a target whose notices are held up. */
START_TEST(target_that_is_silent_has_not_ended)
{
	fake_holder_begin();
	fake_holder.now_ms += DY_NOTICE_TIMEOUT_MS + 1;
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert(!dy_flow_holder_is_serving(fake_holder.holder));
	ck_assert(!dy_flow_holder_has_target_ended(fake_holder.holder));
	finish_port_check(DY_PORT_LISTENING);
	finish_port_check(DY_PORT_REFUSED);
	finish_port_check(DY_PORT_REFUSED);
	ck_assert(dy_flow_holder_has_target_ended(fake_holder.holder));
	fake_holder_end();
}
END_TEST

/* Guards against a late DELETE of an earlier run that had the same id. */
START_TEST(target_that_listens_after_leaving_has_not_ended)
{
	fake_holder_begin();
	finish_port_check(DY_PORT_LISTENING);
	dy_flow_holder_target_left(fake_holder.holder, "t1");
	ck_assert_uint_eq(fake_holder.port_checks, 2);
	finish_port_check(DY_PORT_LISTENING);
	ck_assert(!dy_flow_holder_has_target_ended(fake_holder.holder));
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms + 1);
	ck_assert_uint_eq(fake_holder.port_checks, 3);
	finish_port_check(DY_PORT_LISTENING);
	ck_assert(fake_holder_announce(2, DY_TARGET_READY));
	ck_assert(dy_flow_holder_accepts(fake_holder.holder));
	fake_holder_end();
}
END_TEST

/* Guards against a target that leaves for good and is taken for alive. */
START_TEST(target_that_leaves_is_gone_after_two_refused_checks)
{
	fake_holder_begin();
	finish_port_check(DY_PORT_LISTENING);
	fake_holder_open_flow(1);
	dy_flow_holder_target_left(fake_holder.holder, "t1");
	finish_port_check(DY_PORT_LISTENING);
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms + 1);
	finish_port_check(DY_PORT_REFUSED);
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms + 2);
	ck_assert_uint_eq(fake_holder.port_checks, 4);
	finish_port_check(DY_PORT_REFUSED);
	ck_assert(dy_flow_holder_is_target_gone(fake_holder.holder));
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 0);
	fake_holder_end();
}
END_TEST

/* Guards against openings for a dead target after its last, late notice. */
START_TEST(checks_port_after_notice_of_target_that_was_gone)
{
	fake_holder_begin();
	finish_port_check(DY_PORT_LISTENING);
	finish_port_check(DY_PORT_REFUSED);
	finish_port_check(DY_PORT_REFUSED);
	ck_assert_uint_eq(fake_holder.port_checks, 1);
	ck_assert(fake_holder_announce(2, DY_TARGET_READY));
	ck_assert_uint_eq(fake_holder.port_checks, 2);
	finish_port_check(DY_PORT_REFUSED);
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms + 1);
	finish_port_check(DY_PORT_REFUSED);
	ck_assert(!dy_flow_holder_accepts(fake_holder.holder));
	fake_holder_end();
}
END_TEST

/*
 * A target crashes with open flows. Without the port checks, callers of
 * idempotent requests wait for their deadlines, and new flows go to the dead
 * target until the notice timeout. The port is checked after the response
 * timeout, and once more.
 */
START_TEST(drops_flows_after_two_refused_checks)
{
	fake_holder_begin();
	ck_assert_uint_eq(fake_holder.port_checks, 1);
	finish_port_check(DY_PORT_LISTENING);
	fake_holder_open_flow(1);
	fake_holder_from_caller(1, DY_PACKET_ACK, 502, 90);
	exceed_response_timeout();
	ck_assert_uint_eq(fake_holder.port_checks, 2);
	finish_port_check(DY_PORT_REFUSED);
	ck_assert(dy_flow_holder_accepts(fake_holder.holder));
	exceed_response_timeout();
	ck_assert_uint_eq(fake_holder.port_checks, 3);
	finish_port_check(DY_PORT_REFUSED);
	ck_assert(!dy_flow_holder_accepts(fake_holder.holder));
	ck_assert(dy_flow_holder_is_target_gone(fake_holder.holder));
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 0);
	fake_holder_from_caller(1, DY_PACKET_ACK, 502, 90);
	ck_assert_uint_eq(fake_holder.passed_on, 1);
	ck_assert(fake_holder.forward.certain);
	fake_holder_end();
}
END_TEST

/*
 * A target that never listened on its port was paused for seconds, with all
 * callers. The refused checks prove nothing, and its open flows must not be
 * reset.
 */
START_TEST(keeps_flows_when_port_was_never_open)
{
	unsigned i;

	fake_holder_begin();
	fake_holder_open_flow(1);
	fake_holder_from_caller(1, DY_PACKET_ACK, 502, 90);
	for (i = 0; i < 5; i++) {
		exceed_response_timeout();
		finish_port_check(DY_PORT_REFUSED);
	}
	ck_assert(dy_flow_holder_accepts(fake_holder.holder));
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 1);
	fake_holder_end();
}
END_TEST

/*
 * A busy target takes a second to answer. Its port is open, so its flows stay
 * and the next check follows after another response timeout.
 */
START_TEST(keeps_flows_of_slow_target)
{
	fake_holder_begin();
	fake_holder_open_flow(1);
	fake_holder_from_caller(1, DY_PACKET_ACK, 502, 90);
	exceed_response_timeout();
	finish_port_check(DY_PORT_LISTENING);
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms + 1);
	ck_assert_uint_eq(fake_holder.port_checks, 2);
	exceed_response_timeout();
	ck_assert_uint_eq(fake_holder.port_checks, 3);
	finish_port_check(DY_PORT_UNKNOWN);
	ck_assert(dy_flow_holder_accepts(fake_holder.holder));
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 1);
	fake_holder_end();
}
END_TEST

/*
 * A target's last answer, or the notice of another instance, arrives between
 * two checks. A refused check before it must not count.
 */
START_TEST(restarts_check_count_after_packet_or_notice)
{
	fake_holder_begin();
	finish_port_check(DY_PORT_LISTENING);
	fake_holder_open_flow(1);
	fake_holder_from_caller(1, DY_PACKET_ACK, 502, 90);
	exceed_response_timeout();
	finish_port_check(DY_PORT_REFUSED);
	fake_holder_from_target(1, DY_PACKET_ACK, 502, 300);
	fake_holder_from_caller(1, DY_PACKET_ACK, 503, 90);
	finish_port_check(DY_PORT_REFUSED);
	ck_assert(dy_flow_holder_accepts(fake_holder.holder));
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 1);
	ck_assert(fake_holder_announce(2, DY_TARGET_READY));
	finish_port_check(DY_PORT_REFUSED);
	ck_assert(dy_flow_holder_accepts(fake_holder.holder));
	fake_holder_end();
}
END_TEST

/*
 * After a power loss a VM whose target had left starts again with all others,
 * and is removed for good seconds later. Without the check, balancers search
 * this agent for each flow meanwhile, and their searches end at it afterwards.
 */
START_TEST(reports_target_gone_when_none_ever_listened)
{
	fake_holder_create();
	ck_assert(!dy_flow_holder_is_target_gone(fake_holder.holder));
	finish_port_check(DY_PORT_REFUSED);
	ck_assert(dy_flow_holder_is_target_gone(fake_holder.holder));
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 0);
	ck_assert(fake_holder.forward.certain);
	ck_assert(fake_holder_announce(40, DY_TARGET_READY));
	ck_assert(!dy_flow_holder_is_target_gone(fake_holder.holder));
	ck_assert(dy_flow_holder_accepts(fake_holder.holder));
	fake_holder_from_caller(2, DY_PACKET_ACK, 501, 0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 0);
	fake_holder_end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		target_that_was_not_heard_has_not_ended,
		target_that_is_silent_has_not_ended,
		refuses_openings_once_drain_is_acknowledged,
		ignores_late_notice,
		ignores_notice_of_earlier_instance,
		names_target_only_after_its_second_notice,
		acknowledges_only_notices_in_force,
		accepts_instance_with_earlier_start_time_after_timeout,
		ignores_single_notice_of_earlier_instance_after_silence,
		ignores_notice_of_former_instance_with_later_start_time,
		accepts_instance_with_earlier_start_time_after_refused_port,
		refuses_notice_of_other_service_or_address,
		target_that_listens_after_leaving_has_not_ended,
		target_that_leaves_is_gone_after_two_refused_checks,
		checks_port_after_notice_of_target_that_was_gone,
		drops_flows_after_two_refused_checks,
		keeps_flows_when_port_was_never_open,
		keeps_flows_of_slow_target,
		restarts_check_count_after_packet_or_notice,
		reports_target_gone_when_none_ever_listened,
		NULL,
	};

	return fake_suite_run("flow_presence", tests);
}
