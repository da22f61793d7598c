#include "damaskyard/flow_holder.h"

#include <glib.h>

#include "fake_holder.h"
#include "fake_suite.h"

START_TEST(flow_is_opened_and_its_balancer_told)
{
	fake_holder_begin();
	fake_holder_from_caller(1, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(fake_holder.given, 1);
	ck_assert_uint_eq(fake_holder.helds, 0);
	fake_holder_from_target(1, DY_PACKET_SYN | DY_PACKET_ACK, 500, 0);
	ck_assert_uint_eq(fake_holder.answers, 1);
	ck_assert_uint_eq(fake_holder.helds, 1);
	ck_assert(!fake_holder.held.open);
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 0);
	ck_assert_uint_eq(fake_holder.given, 2);
	ck_assert_uint_eq(fake_holder.helds, 2);
	ck_assert(fake_holder.held.open);
	ck_assert_uint_eq(fake_holder.held.load.flows, 1);
	fake_holder_end();
}
END_TEST

/*
 * Two copies of an opening packet went to two targets, and both answered. The
 * caller acknowledges the other one's: this target would reset the flow.
 */
START_TEST(packet_of_another_targets_opening_is_passed_on)
{
	fake_holder_begin();
	fake_holder_from_caller(1, DY_PACKET_SYN, 0, 0);
	fake_holder_from_target(1, DY_PACKET_SYN | DY_PACKET_ACK, 500, 0);
	fake_holder_from_caller(1, DY_PACKET_ACK, 900001, 0);
	ck_assert_uint_eq(fake_holder.given, 1);
	ck_assert_uint_eq(fake_holder.passed, 1);
	ck_assert(fake_holder.forward.certain);
	fake_holder_end();
}
END_TEST

/*
 * An agent was killed and is back; its target went on with all its flows. The
 * agent's record is empty, and what it says of flows would be wrong.
 */
START_TEST(restarted_agent_asks_its_target)
{
	fake_holder_create();
	fake_holder_announce(40, DY_TARGET_READY);
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 90);
	ck_assert_uint_eq(fake_holder.given, 1);
	ck_assert_uint_eq(fake_holder.nowheres + fake_holder.passed, 0);
	fake_holder_from_target(1, DY_PACKET_ACK, 502, 300);
	fake_holder_from_caller(1, DY_PACKET_ACK, 503, 0);
	ck_assert_uint_eq(fake_holder.helds, 1);
	ck_assert(fake_holder.held.open);
	fake_holder_from_caller(2, DY_PACKET_ACK, 7, 0);
	fake_holder_give_back(2, DY_PACKET_ACK, fake_holder.note);
	ck_assert_uint_eq(fake_holder.passed, 1);
	ck_assert(fake_holder.forward.certain);
	fake_holder_end();
}
END_TEST

/*
 * The target crashed and was started again: its flows are gone. The callers'
 * packets need not be given to it to know that.
 */
START_TEST(flows_end_with_their_targets_start)
{
	dy_target_notice_t next = fake_holder_notice(3, DY_TARGET_READY);

	fake_holder_begin();
	fake_holder_open_flow(1);
	/* Its target was there after that. */
	fake_holder.now_ms += 1200;
	ck_assert(fake_holder_announce(2, DY_TARGET_READY));
	g_strlcpy(next.id, "t2", sizeof(next.id));
	next.born_ms = 9000;
	dy_flow_holder_receive_notice(fake_holder.holder, &next,
				      fake_holder.now_ms);
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 0);
	fake_holder.given = 0;
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 0);
	ck_assert_uint_eq(fake_holder.given, 0);
	ck_assert_uint_eq(fake_holder.passed, 1);
	ck_assert(fake_holder.forward.certain);
	fake_holder_end();
}
END_TEST

/*
 * The target is gone without a word. A search that is given to it ends there,
 * and the agents behind it are never asked. The flow may have been there.
 */
START_TEST(search_goes_past_a_silent_target)
{
	fake_holder_create();
	fake_holder_announce(40, DY_TARGET_READY);
	fake_holder.now_ms += DY_NOTICE_TIMEOUT_MS + 1;
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert(!dy_flow_holder_accepts(fake_holder.holder));
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 0);
	ck_assert_uint_eq(fake_holder.given, 0);
	ck_assert_uint_eq(fake_holder.passed, 1);
	ck_assert(!fake_holder.forward.certain);
	fake_holder_end();
}
END_TEST

static unsigned steady_port;

static void on_steady(void *context, const dy_flow_id_t *flow, uint32_t ack)
{
	unsigned *count = context;

	++*count;
	steady_port = flow->caller_port;
	ck_assert_uint_gt(ack, 501);
}

static unsigned count_steady(void)
{
	unsigned count = 0;

	dy_flow_holder_each_low_rate(fake_holder.holder, fake_holder.now_ms,
				     on_steady, &count);
	return count;
}

/*
 * A reset that is made from a list names the byte that the caller acknowledged
 * when it was listed. For a download that is too far from the last one.
 */
START_TEST(downloads_are_not_steady)
{
	fake_holder_begin();
	fake_holder_open_flow(1);
	fake_holder_open_flow(2);
	fake_holder_from_caller(1, DY_PACKET_ACK, 502, 90);
	ck_assert_uint_eq(count_steady(), 0);
	fake_holder.now_ms += DY_LOW_RATE_MIN_AGE_MS;
	fake_holder_from_caller(1, DY_PACKET_ACK, 501 + DY_LOW_RATE_BURST_BYTES,
				90);
	fake_holder_from_caller(
		2, DY_PACKET_ACK,
		502 + DY_LOW_RATE_BURST_BYTES + DY_LOW_RATE_BYTES_PER_S, 90);
	ck_assert_uint_eq(count_steady(), 1);
	ck_assert_uint_eq(steady_port, 1025);
	fake_holder_end();
}
END_TEST

/* What comes back after its forward was forgotten is counted, not guessed. */
START_TEST(bounce_that_is_not_known_is_dropped)
{
	fake_holder_begin();
	fake_holder_give_back(1, DY_PACKET_ACK, 12345);
	fake_holder_give_back(1, DY_PACKET_ACK, 0);
	ck_assert_uint_eq(fake_holder.passed + fake_holder.nowheres, 0);
	ck_assert_uint_eq(
		dy_metrics_value(fake_holder.metrics, "bounces_unknown"), 2);
	fake_holder_end();
}
END_TEST

/*
 * Health endpoints lag. What passes here does not: a request was begun, its
 * answer was begun.
 */
START_TEST(load_is_learned_from_what_passes)
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

/* A flow counts until both of its ends have ended it. */
START_TEST(flow_that_both_ended_counts_no_more)
{
	fake_holder_begin();
	fake_holder_open_flow(1);
	fake_holder_from_caller(1, DY_PACKET_ACK | DY_PACKET_FIN, 501, 0);
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 1);
	fake_holder_from_target(1, DY_PACKET_ACK | DY_PACKET_FIN, 501, 0);
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 0);
	fake_holder_from_caller(1, DY_PACKET_ACK, 502, 0);
	ck_assert_uint_eq(fake_holder.passed, 0);
	fake_holder_end();
}
END_TEST

/* Callers that vanish leave half-open and idle flows. */
START_TEST(flows_without_packets_are_forgotten)
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

/* A balancer that went away is not told of the load for ever. */
START_TEST(only_balancers_that_send_are_told_of_the_load)
{
	fake_holder_begin();
	fake_holder_from_caller(1, DY_PACKET_SYN, 0, 0);
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.reports, 1);
	fake_holder.now_ms += DY_REPORT_TTL_MS + 1;
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.reports, 1);
	fake_holder_end();
}
END_TEST

/* A planned stop: new flows go elsewhere, and the target is no longer there
 * once it said so. */
START_TEST(stopping_agent_takes_no_opening)
{
	fake_holder_begin();
	ck_assert(!dy_flow_holder_is_target_inactive(fake_holder.holder,
						     fake_holder.now_ms));
	dy_flow_holder_stop(fake_holder.holder);
	fake_holder_from_caller(1, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(fake_holder.passed, 1);
	dy_flow_holder_target_left(fake_holder.holder, "another");
	ck_assert(!dy_flow_holder_is_target_inactive(fake_holder.holder,
						     fake_holder.now_ms));
	dy_flow_holder_target_left(fake_holder.holder, "t1");
	ck_assert(dy_flow_holder_is_target_inactive(fake_holder.holder,
						    fake_holder.now_ms));
	fake_holder_end();
}
END_TEST

/* A balancer that is not heard takes the relay's messages for its own. */
START_TEST(report_counts_what_came_straight)
{
	dy_flow_forward_t forward = { 0 };
	dy_address_t way[2] = { fake_holder_address(2, 7002),
				fake_holder_address(FAKE_HOLDER_SELF, 7002) };
	dy_packet_t made = fake_holder_packet(1, DY_PACKET_ACK, 1, 501, 0);
	uint32_t heard;

	fake_holder_begin();
	fake_holder_open_flow(1);
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	heard = fake_holder.report.heard;
	ck_assert_uint_gt(heard, 0);
	forward.service = FAKE_HOLDER_SERVICE;
	forward.balancer = fake_holder_address(100, 7001);
	forward.step = 1;
	forward.tries.tries_val = way;
	forward.tries.tries_len = 2;
	forward.packet.packet_val = (char *)fake_holder.bytes;
	forward.packet.packet_len = sizeof(fake_holder.bytes);
	dy_flow_holder_receive_forward(fake_holder.holder, &forward, &made,
				       fake_holder.now_ms);
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.report.heard, heard);
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 0);
	dy_flow_holder_tick(fake_holder.holder, fake_holder.now_ms);
	ck_assert_uint_eq(fake_holder.report.heard, heard + 1);
	fake_holder_end();
}
END_TEST

/* A live flow is reset that was opened before its target's first notice. */
START_TEST(flow_opened_before_the_first_notice_of_a_start_is_kept)
{
	dy_target_notice_t notice = fake_holder_notice(1, DY_TARGET_READY);

	fake_holder_begin();
	fake_holder_open_flow(1);
	fake_holder.now_ms += 1200;
	ck_assert(fake_holder_announce(2, DY_TARGET_READY));
	/* The target is replaced here, and its successor has the flow. */
	fake_holder.now_ms += 300;
	fake_holder_open_flow(2);
	fake_holder.now_ms += 20;
	g_strlcpy(notice.id, "t2", sizeof(notice.id));
	notice.born_ms += 1490;
	ck_assert(dy_flow_holder_receive_notice(fake_holder.holder, &notice,
						fake_holder.now_ms));
	fake_holder.given = 0;
	fake_holder_from_caller(2, DY_PACKET_ACK, 501, 90);
	ck_assert_uint_eq(fake_holder.given, 1);
	ck_assert_uint_eq(fake_holder.passed, 0);
	/* What was opened earlier is over, for sure. */
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 90);
	ck_assert_uint_eq(fake_holder.given, 1);
	ck_assert_uint_eq(fake_holder.passed, 1);
	ck_assert(fake_holder.forward.certain);
	fake_holder_end();
}
END_TEST

/* A flow of the predecessor that was kept is taken for the successor's. */
START_TEST(flow_that_a_new_start_gives_back_is_over)
{
	dy_target_notice_t notice = fake_holder_notice(1, DY_TARGET_READY);

	fake_holder_begin();
	fake_holder_open_flow(1);
	fake_holder.now_ms += 20;
	g_strlcpy(notice.id, "t2", sizeof(notice.id));
	notice.born_ms += 10;
	ck_assert(dy_flow_holder_receive_notice(fake_holder.holder, &notice,
						fake_holder.now_ms));
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 90);
	fake_holder_give_back(1, DY_PACKET_ACK, fake_holder.note);
	ck_assert_uint_eq(fake_holder.passed, 1);
	ck_assert(fake_holder.forward.certain);
	ck_assert_uint_eq(dy_flow_holder_count(fake_holder.holder), 0);
	fake_holder_end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		report_counts_what_came_straight,
		flow_opened_before_the_first_notice_of_a_start_is_kept,
		flow_that_a_new_start_gives_back_is_over,
		flow_is_opened_and_its_balancer_told,
		packet_of_another_targets_opening_is_passed_on,
		restarted_agent_asks_its_target,
		flows_end_with_their_targets_start,
		search_goes_past_a_silent_target,
		downloads_are_not_steady,
		bounce_that_is_not_known_is_dropped,
		load_is_learned_from_what_passes,
		flow_that_both_ended_counts_no_more,
		flows_without_packets_are_forgotten,
		only_balancers_that_send_are_told_of_the_load,
		stopping_agent_takes_no_opening,
		NULL,
	};

	return fake_suite_run("flow_holder", tests);
}
