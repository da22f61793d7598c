#include "damaskyard/flow_holder.h"

#include <glib.h>

#include "fake_holder.h"
#include "fake_suite.h"

START_TEST(opens_flow_and_informs_balancer)
{
	fake_holder_begin();
	fake_holder_from_caller(1, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 1);
	ck_assert_uint_eq(fake_holder.held_count, 0);
	fake_holder_from_target(1, DY_PACKET_SYN | DY_PACKET_ACK, 500, 0);
	ck_assert_uint_eq(fake_holder.sent_to_callers, 1);
	ck_assert_uint_eq(fake_holder.held_count, 1);
	ck_assert(!fake_holder.held.open);
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 2);
	ck_assert_uint_eq(fake_holder.held_count, 2);
	ck_assert(fake_holder.held.open);
	ck_assert_uint_eq(fake_holder.held.load.flows, 1);
	fake_holder_end();
}
END_TEST

/*
 * Two transmissions of a SYN went to two targets, and both responded. The
 * caller acknowledges the other target; this one would reset the flow.
 */
START_TEST(passes_on_ack_of_other_targets_syn)
{
	fake_holder_begin();
	fake_holder_from_caller(1, DY_PACKET_SYN, 0, 0);
	fake_holder_from_target(1, DY_PACKET_SYN | DY_PACKET_ACK, 500, 0);
	fake_holder_from_caller(1, DY_PACKET_ACK, 900001, 0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 1);
	ck_assert_uint_eq(fake_holder.passed_on, 1);
	ck_assert(fake_holder.forward.certain);
	fake_holder_end();
}
END_TEST

/*
 * An agent was killed and restarted while its target kept running with all its
 * flows. Guards against an agent that reports flows as not held because its
 * table is empty.
 */
START_TEST(sends_unknown_flow_to_target_after_agent_restart)
{
	fake_holder_create();
	fake_holder_announce(40, DY_TARGET_READY);
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 90);
	ck_assert_uint_eq(fake_holder.sent_to_target, 1);
	ck_assert_uint_eq(fake_holder.nowhere_count + fake_holder.passed_on, 0);
	fake_holder_from_target(1, DY_PACKET_ACK, 502, 300);
	fake_holder_from_caller(1, DY_PACKET_ACK, 503, 0);
	ck_assert_uint_eq(fake_holder.held_count, 1);
	ck_assert(fake_holder.held.open);
	fake_holder_from_caller(2, DY_PACKET_ACK, 7, 0);
	fake_holder_bounce(2, DY_PACKET_ACK, fake_holder.last_tag);
	ck_assert_uint_eq(fake_holder.passed_on, 1);
	ck_assert(fake_holder.forward.certain);
	fake_holder_end();
}
END_TEST

/*
 * Guards against an agent that reports the flows of its predecessor as not
 * held: the predecessor gave them to a target that had not yet sent a notice.
 */
START_TEST(sends_unknown_flow_to_target_that_started_before_agent)
{
	fake_holder_create();
	dy_flow_holder_port_checked(fake_holder.holder, DY_PORT_LISTENING,
				    fake_holder.now_ms);
	fake_holder_announce(1, DY_TARGET_READY);
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 90);
	ck_assert_uint_eq(fake_holder.sent_to_target, 1);
	ck_assert_uint_eq(fake_holder.nowhere_count + fake_holder.passed_on, 0);
	fake_holder_end();
}
END_TEST

/* Guards against a denial after a late notice that came before the live one. */
START_TEST(sends_unknown_flow_to_target_after_late_notice_of_earlier_one)
{
	dy_target_notice_t late = fake_holder_notice(9, DY_TARGET_READY);

	fake_holder_create();
	dy_flow_holder_port_checked(fake_holder.holder, DY_PORT_LISTENING,
				    fake_holder.now_ms);
	g_strlcpy(late.id, "t0", sizeof(late.id));
	late.started_ms -= 1000;
	dy_flow_holder_receive_notice(fake_holder.holder, &late,
				      fake_holder.now_ms);
	fake_holder.now_ms += 400;
	fake_holder_announce(1, DY_TARGET_READY);
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 90);
	ck_assert_uint_eq(fake_holder.sent_to_target, 1);
	ck_assert_uint_eq(fake_holder.nowhere_count + fake_holder.passed_on, 0);
	fake_holder_bounce(1, DY_PACKET_ACK, fake_holder.last_tag);
	ck_assert(fake_holder.forward.certain);
	fake_holder_end();
}
END_TEST

/* The port was refused, so the target started after the agent. */
START_TEST(passes_on_unknown_flow_of_target_that_started_after_agent)
{
	fake_holder_create();
	fake_holder_refuse_port();
	fake_holder_announce(2, DY_TARGET_READY);
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 90);
	ck_assert_uint_eq(fake_holder.sent_to_target, 0);
	ck_assert_uint_eq(fake_holder.passed_on, 1);
	ck_assert(fake_holder.forward.certain);
	fake_holder_end();
}
END_TEST

/*
 * The target crashed and restarted without its flows: none of them counts, the
 * target is asked once for each, and what it gives back is certainly over.
 */
START_TEST(doubts_flows_when_target_restarts)
{
	dy_target_notice_t next = fake_holder_notice(3, DY_TARGET_READY);

	fake_holder_begin();
	fake_holder_open_flow(1);
	/* The target sends one more notice after that. */
	fake_holder.now_ms += 1200;
	ck_assert(fake_holder_announce(2, DY_TARGET_READY));
	g_strlcpy(next.id, "t2", sizeof(next.id));
	next.started_ms = 9000;
	dy_flow_holder_receive_notice(fake_holder.holder, &next,
				      fake_holder.now_ms);
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 0);
	ck_assert(!dy_flow_holder_has_flow(
		fake_holder.holder,
		&(dy_flow_id_t){ 0x64400001u, 0xc6120001u, 1025, 443 }));
	fake_holder.sent_to_target = 0;
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 1);
	ck_assert_uint_eq(fake_holder.passed_on, 0);
	fake_holder_bounce(1, DY_PACKET_ACK, fake_holder.last_tag);
	ck_assert_uint_eq(fake_holder.passed_on, 1);
	ck_assert(fake_holder.forward.certain);
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 1);
	ck_assert_uint_eq(fake_holder.passed_on, 2);
	ck_assert(fake_holder.forward.certain);
	fake_holder_end();
}
END_TEST

/*
 * Guards against the reset of a live target's flows after a late notice of one
 * that was born by a faster clock.
 */
START_TEST(keeps_flows_that_target_answers_after_late_notice)
{
	dy_target_notice_t late = fake_holder_notice(9, DY_TARGET_READY);

	fake_holder_begin();
	fake_holder_open_flow(1);
	fake_holder.now_ms += 1200;
	ck_assert(fake_holder_announce(2, DY_TARGET_READY));
	g_strlcpy(late.id, "t0", sizeof(late.id));
	late.started_ms += 1000;
	dy_flow_holder_receive_notice(fake_holder.holder, &late,
				      fake_holder.now_ms);
	fake_holder.sent_to_target = 0;
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 90);
	ck_assert_uint_eq(fake_holder.sent_to_target, 1);
	fake_holder_from_target(1, DY_PACKET_ACK, 502, 300);
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 1);
	fake_holder_from_caller(1, DY_PACKET_ACK, 802, 90);
	ck_assert_uint_eq(fake_holder.sent_to_target, 2);
	ck_assert_uint_eq(fake_holder.passed_on + fake_holder.nowhere_count, 0);
	fake_holder_end();
}
END_TEST

/* Guards against a second opening of a doubted flow that nobody admits. */
START_TEST(admits_opening_of_doubted_flow_anew)
{
	dy_target_notice_t next = fake_holder_notice(3, DY_TARGET_READY);

	fake_holder_begin();
	fake_holder_open_flow(1);
	fake_holder.now_ms += 1200;
	ck_assert(fake_holder_announce(2, DY_TARGET_READY));
	next.started_ms = 9000;
	dy_flow_holder_receive_notice(fake_holder.holder, &next,
				      fake_holder.now_ms);
	fake_holder_open_flow(1);
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 1);
	ck_assert_uint_eq(dy_metrics_value(fake_holder.metrics, "flows_opened"),
			  2);
	fake_holder_end();
}
END_TEST

/*
 * The target died silently. Guards against a search that is sent to it and ends
 * there, so that the remaining agents are never asked. Whether the target held
 * the flow is uncertain.
 */
START_TEST(passes_on_search_when_target_is_silent)
{
	fake_holder_create();
	fake_holder_announce(40, DY_TARGET_READY);
	fake_holder.now_ms += DY_NOTICE_TIMEOUT_MS + 1;
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert(!dy_flow_holder_accepts(fake_holder.holder));
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 0);
	ck_assert_uint_eq(fake_holder.passed_on, 1);
	ck_assert(!fake_holder.forward.certain);
	fake_holder_end();
}
END_TEST

static unsigned low_rate_port;

static void on_low_rate(void *context, const dy_flow_id_t *flow, uint32_t ack)
{
	unsigned *count = context;

	++*count;
	low_rate_port = flow->caller_port;
	ck_assert_uint_gt(ack, 501);
}

static unsigned count_low_rate(void)
{
	unsigned count = 0;

	dy_flow_holder_each_low_rate(fake_holder.holder, fake_holder.now_ms,
				     on_low_rate, &count);
	return count;
}

/*
 * A reset that is packet from a list carries the caller's acknowledgement at
 * the time of the list. For a download that is too far from the current one.
 */
START_TEST(excludes_downloads_from_low_rate_flows)
{
	fake_holder_begin();
	fake_holder_open_flow(1);
	fake_holder_open_flow(2);
	fake_holder_from_caller(1, DY_PACKET_ACK, 502, 90);
	ck_assert_uint_eq(count_low_rate(), 0);
	fake_holder.now_ms += DY_LOW_RATE_MIN_AGE_MS;
	fake_holder_from_caller(1, DY_PACKET_ACK, 501 + DY_LOW_RATE_BURST_BYTES,
				90);
	fake_holder_from_caller(
		2, DY_PACKET_ACK,
		502 + DY_LOW_RATE_BURST_BYTES + DY_LOW_RATE_BYTES_PER_S, 90);
	ck_assert_uint_eq(count_low_rate(), 1);
	ck_assert_uint_eq(low_rate_port, 1025);
	fake_holder_end();
}
END_TEST

/* A bounced packet whose forward is no longer known is counted and dropped. */
START_TEST(drops_bounce_with_unknown_tag)
{
	fake_holder_begin();
	fake_holder_bounce(1, DY_PACKET_ACK, 12345);
	fake_holder_bounce(1, DY_PACKET_ACK, 0);
	ck_assert_uint_eq(fake_holder.passed_on + fake_holder.nowhere_count, 0);
	ck_assert_uint_eq(
		dy_metrics_value(fake_holder.metrics, "bounces_unknown"), 2);
	fake_holder_end();
}
END_TEST

/*
 * Health endpoints lag. The load must follow from the packets: from the start
 * of a request to the start of its answer.
 */
START_TEST(derives_load_from_packets)
{
	fake_holder_begin();
	fake_holder_open_flow(1);
	fake_holder_open_flow(2);
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 900);
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 900);
	fake_holder_from_caller(2, DY_PACKET_ACK, 501, 900);
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.report.load.busy, 2);
	ck_assert_uint_eq(fake_holder.report.load.flows, 2);
	fake_holder_from_target(1, DY_PACKET_ACK, 600, 1200);
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.report.load.busy, 1);
	fake_holder_from_caller(2, DY_PACKET_RST, 501, 0);
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.report.load.busy, 0);
	ck_assert_uint_eq(fake_holder.report.load.flows, 1);
	fake_holder_end();
}
END_TEST

/* Guards against a copy of an answered request that keeps a slot for 4 s. */
START_TEST(does_not_count_copy_of_answered_request)
{
	dy_packet_t request =
		fake_holder_packet(1, DY_PACKET_ACK, 700, 501, 90);
	dy_packet_t answer =
		fake_holder_packet(1, DY_PACKET_ACK, 501, 790, 300);
	dy_packet_t next = fake_holder_packet(1, DY_PACKET_ACK, 790, 801, 90);

	fake_holder_begin();
	fake_holder_open_flow(1);
	fake_holder_send_forward(FAKE_HOLDER_SERVICE, &request, 1);
	dy_flow_holder_receive_packet(
		fake_holder.holder, &answer, fake_holder.bytes,
		sizeof(fake_holder.bytes), fake_holder.now_ms);
	fake_holder_send_forward(FAKE_HOLDER_SERVICE, &request, 1);
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.report.load.busy, 0);
	fake_holder_send_forward(FAKE_HOLDER_SERVICE, &next, 1);
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.report.load.busy, 1);
	fake_holder_end();
}
END_TEST

/* A flow counts as open until both of its ends have finished. */
START_TEST(does_not_count_flow_after_both_ends_finish)
{
	fake_holder_begin();
	fake_holder_open_flow(1);
	fake_holder_from_caller(1, DY_PACKET_ACK | DY_PACKET_FIN, 501, 0);
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 1);
	fake_holder_from_target(1, DY_PACKET_ACK | DY_PACKET_FIN, 501, 0);
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 0);
	fake_holder_from_caller(1, DY_PACKET_ACK, 502, 0);
	ck_assert_uint_eq(fake_holder.passed_on, 0);
	fake_holder_end();
}
END_TEST

/* Callers that vanish leave half-open and idle flows behind. */
START_TEST(expires_idle_and_half_open_flows)
{
	fake_holder_begin();
	fake_holder_from_caller(1, DY_PACKET_SYN, 0, 0);
	fake_holder_open_flow(2);
	fake_holder.now_ms += DY_HALF_OPEN_MS;
	fake_holder_announce(2, DY_TARGET_READY);
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 1);
	fake_holder.now_ms += DY_HELD_FLOW_IDLE_MS;
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 0);
	fake_holder_end();
}
END_TEST

/* Guards against load reports that go on forever to a balancer that is gone. */
START_TEST(stops_reports_to_balancer_after_ttl)
{
	fake_holder_begin();
	fake_holder_from_caller(1, DY_PACKET_SYN, 0, 0);
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.report_count, 1);
	fake_holder.now_ms += DY_REPORT_TTL_MS + 1;
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.report_count, 1);
	fake_holder_end();
}
END_TEST

/*
 * A planned stop: new flows go elsewhere, and the target counts as gone once it
 * has announced its end.
 */
START_TEST(passes_on_opening_while_stopping)
{
	fake_holder_begin();
	ck_assert(!dy_flow_holder_has_target_ended(fake_holder.holder));
	dy_flow_holder_stop(fake_holder.holder);
	fake_holder_from_caller(1, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(fake_holder.passed_on, 1);
	dy_flow_holder_target_left(fake_holder.holder, "another");
	ck_assert(!dy_flow_holder_has_target_ended(fake_holder.holder));
	dy_flow_holder_target_left(fake_holder.holder, "t1");
	ck_assert(dy_flow_holder_has_target_ended(fake_holder.holder));
	fake_holder_end();
}
END_TEST

/*
 * Guards against counting relayed messages as direct ones: a balancer whose
 * direct path is broken would consider the path to work.
 */
START_TEST(counts_only_direct_messages_in_report)
{
	dy_flow_forward_t forward = { 0 };
	dy_address_t path[2] = { fake_holder_address(2, 7002),
				 fake_holder_address(FAKE_HOLDER_SELF, 7002) };
	dy_packet_t packet = fake_holder_packet(1, DY_PACKET_ACK, 1, 501, 0);
	uint32_t heard;

	fake_holder_begin();
	fake_holder_open_flow(1);
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	heard = fake_holder.report.heard;
	ck_assert_uint_gt(heard, 0);
	forward.service = FAKE_HOLDER_SERVICE;
	forward.balancer = fake_holder_address(100, 7001);
	forward.step = 1;
	forward.tries.tries_val = path;
	forward.tries.tries_len = 2;
	forward.packet.packet_val = (char *)fake_holder.bytes;
	forward.packet.packet_len = sizeof(fake_holder.bytes);
	dy_flow_holder_receive_forward(fake_holder.holder, &forward, &packet,
				       fake_holder.now_ms);
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.report.heard, heard);
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 0);
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.report.heard, heard + 1);
	fake_holder_end();
}
END_TEST

/*
 * Guards against the reset of a live flow that opened before the first notice
 * of its target's instance.
 */
START_TEST(keeps_flow_opened_before_first_notice_of_instance)
{
	dy_target_notice_t notice = fake_holder_notice(1, DY_TARGET_READY);

	fake_holder_begin();
	fake_holder_open_flow(1);
	fake_holder.now_ms += 1200;
	ck_assert(fake_holder_announce(2, DY_TARGET_READY));
	/* The target is replaced here; the new instance has flow 2. */
	fake_holder.now_ms += 300;
	fake_holder_open_flow(2);
	fake_holder.now_ms += 20;
	g_strlcpy(notice.id, "t2", sizeof(notice.id));
	notice.started_ms += 1490;
	ck_assert(dy_flow_holder_receive_notice(fake_holder.holder, &notice,
						fake_holder.now_ms));
	fake_holder.sent_to_target = 0;
	fake_holder_from_caller(2, DY_PACKET_ACK, 501, 90);
	ck_assert_uint_eq(fake_holder.sent_to_target, 1);
	ck_assert_uint_eq(fake_holder.passed_on, 0);
	/* Flow 1 was opened earlier: the target says that it is over. */
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 1);
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 90);
	ck_assert_uint_eq(fake_holder.sent_to_target, 2);
	fake_holder_bounce(1, DY_PACKET_ACK, fake_holder.last_tag);
	ck_assert_uint_eq(fake_holder.passed_on, 1);
	ck_assert(fake_holder.forward.certain);
	fake_holder_end();
}
END_TEST

/*
 * Guards against keeping a flow of the earlier instance as one of the new
 * instance.
 */
START_TEST(drops_flow_bounced_by_new_instance)
{
	dy_target_notice_t notice = fake_holder_notice(1, DY_TARGET_READY);

	fake_holder_begin();
	fake_holder_open_flow(1);
	fake_holder.now_ms += 20;
	g_strlcpy(notice.id, "t2", sizeof(notice.id));
	notice.started_ms += 10;
	ck_assert(dy_flow_holder_receive_notice(fake_holder.holder, &notice,
						fake_holder.now_ms));
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 90);
	fake_holder_bounce(1, DY_PACKET_ACK, fake_holder.last_tag);
	ck_assert_uint_eq(fake_holder.passed_on, 1);
	ck_assert(fake_holder.forward.certain);
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 0);
	fake_holder_end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		counts_only_direct_messages_in_report,
		keeps_flow_opened_before_first_notice_of_instance,
		drops_flow_bounced_by_new_instance,
		opens_flow_and_informs_balancer,
		passes_on_ack_of_other_targets_syn,
		sends_unknown_flow_to_target_after_agent_restart,
		sends_unknown_flow_to_target_that_started_before_agent,
		sends_unknown_flow_to_target_after_late_notice_of_earlier_one,
		passes_on_unknown_flow_of_target_that_started_after_agent,
		doubts_flows_when_target_restarts,
		keeps_flows_that_target_answers_after_late_notice,
		admits_opening_of_doubted_flow_anew,
		passes_on_search_when_target_is_silent,
		excludes_downloads_from_low_rate_flows,
		drops_bounce_with_unknown_tag,
		derives_load_from_packets,
		does_not_count_copy_of_answered_request,
		does_not_count_flow_after_both_ends_finish,
		expires_idle_and_half_open_flows,
		stops_reports_to_balancer_after_ttl,
		passes_on_opening_while_stopping,
		NULL,
	};

	return fake_suite_run("flow_holder", tests);
}
