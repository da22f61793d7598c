#include "damaskyard/flow_router.h"

#include <string.h>

#include "fake_router.h"
#include "fake_suite.h"

START_TEST(opening_goes_to_a_target_and_the_flow_stays_there)
{
	dy_address_t chosen;

	fake_router_begin(3);
	fake_router_take(1, DY_PACKET_SYN, 0);
	ck_assert_uint_eq(fake_router.forwards, 1);
	ck_assert_str_eq(fake_router.service, "readings");
	/* Three to try, and the best once more, to wait there. */
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 4);
	ck_assert(fake_router.forward.tell);
	chosen = fake_router.tries[0];
	ck_assert(dy_address_equal(&fake_router.tries[3], &chosen));
	fake_router_tell_held(1, &chosen, 0);
	fake_router_take(1, DY_PACKET_ACK, 9);
	ck_assert(dy_address_equal(&fake_router.tries[0], &chosen));
	ck_assert(fake_router.forward.tell);
	fake_router_tell_held(1, &chosen, 1);
	fake_router_set_rules(6, "maps", NULL);
	fake_router_take(1, DY_PACKET_ACK, 10);
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 1);
	ck_assert(dy_address_equal(&fake_router.tries[0], &chosen));
	ck_assert(!fake_router.forward.tell);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_end();
}
END_TEST

/*
 * A caller opens a flow to an entry that was removed, or whose service has no
 * target. Without an answer it waits 1.4 s for nothing.
 */
START_TEST(opening_that_nobody_can_take_is_refused_at_once)
{
	fake_router_begin(0);
	fake_router_take(1, DY_PACKET_SYN, 0);
	ck_assert_uint_eq(fake_router.resets, 1);
	fake_router_set_member(1, DY_MEMBER_SERVING, "readings");
	fake_router_set_rules(6, NULL, NULL);
	fake_router_take(2, DY_PACKET_SYN, 0);
	ck_assert_uint_eq(fake_router.resets, 2);
	ck_assert_uint_eq(fake_router.forwards, 0);
	fake_router_set_rules(7, "readings", NULL);
	fake_router_take(3, DY_PACKET_SYN, 0);
	fake_router_tell_nowhere(3, DY_PACKET_SYN, 1);
	ck_assert_uint_eq(fake_router.resets, 3);
	fake_router_end();
}
END_TEST

/*
 * Power is back, and all targets have all that they can do. Openings that wait
 * at the last choice of all flows alike, the fullest, are refused there while
 * the others' slots become free.
 */
START_TEST(openings_wait_at_all_targets_alike)
{
	unsigned waiting[9] = { 0 };
	unsigned flow;
	unsigned i;

	fake_router_begin(8);
	for (flow = 1; flow <= 160; flow++) {
		fake_router_take(flow, DY_PACKET_SYN, 0);
		i = fake_router.forward.tries.tries_len - 1;
		waiting[(uint8_t)fake_router.tries[i].ip[DY_IP_BYTES - 1]]++;
	}
	for (i = 1; i <= 8; i++)
		ck_assert_uint_eq(waiting[i], 20);
	fake_router_end();
}
END_TEST

/* An older document arrives after a newer one and removes its entries. */
START_TEST(older_rules_are_dropped)
{
	fake_router_begin(1);
	fake_router_set_rules(4, NULL, NULL);
	fake_router_take(1, DY_PACKET_SYN, 0);
	ck_assert_uint_eq(fake_router.forwards, 1);
	fake_router_end();
}
END_TEST

/* Requests on an open flow go where nothing arrives, while a third domain does.
 */
START_TEST(open_flow_goes_around_a_path_that_is_broken)
{
	dy_address_t holder = fake_router_agent(3);
	dy_address_t relay = fake_router_agent(2);
	unsigned i;

	fake_router_begin(1);
	fake_router_set_member_of(2, DY_MEMBER_SERVING, "readings", "d2");
	fake_router_set_member_of(3, DY_MEMBER_SERVING, "readings", "d3");
	fake_router_tell_held(1, &holder, 1);
	fake_router_report_heard(3, 5);
	for (i = 0; i < 20; i++) {
		fake_router.now_ms += 20;
		fake_router_take(1, DY_PACKET_ACK, 5);
		ck_assert_uint_eq(fake_router.forward.tries.tries_len, 1);
	}
	fake_router_report_heard(1, 5);
	fake_router_report_heard(2, 5);
	fake_router_report_heard(3, 5);
	fake_router_take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 2);
	ck_assert(dy_address_equal(&fake_router.tries[0], &relay));
	ck_assert(dy_address_equal(&fake_router.tries[1], &holder));
	ck_assert(!fake_router.forward.certain);
	/* It is asked straight, so that it is known when that arrives again. */
	fake_router.now_ms += 200;
	fake_router_take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_ge(fake_router.asks, 1);
	fake_router_report_heard(3, 6);
	fake_router_take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 1);
	ck_assert(dy_address_equal(&fake_router.tries[0], &holder));
	fake_router_end();
}
END_TEST

/* New flows are opened where nothing arrives. */
START_TEST(new_flows_avoid_a_path_that_is_broken)
{
	dy_address_t deaf = fake_router_agent(2);
	unsigned i;

	fake_router_begin(2);
	fake_router_tell_held(1, &deaf, 1);
	fake_router_report_heard(2, 5);
	for (i = 0; i < 20; i++) {
		fake_router.now_ms += 20;
		fake_router_take(1, DY_PACKET_ACK, 5);
	}
	fake_router_report_heard(2, 5);
	for (i = 10; i < 40; i++) {
		fake_router_take(i, DY_PACKET_SYN, 0);
		ck_assert(!dy_address_equal(&fake_router.tries[0], &deaf));
	}
	fake_router_end();
}
END_TEST

/* Agents let any number in, as they are not told what a cold target bears. */
START_TEST(opening_says_what_a_cold_target_bears)
{
	dy_flow_entry_t entry = { .ip = FAKE_ENTRY_IP,
				  .port = FAKE_ENTRY_PORT,
				  .share_count = 1 };
	dy_flow_rules_t *rules = dy_flow_rules_create(9);

	fake_router_begin(2);
	entry.shares[0].service = "readings";
	entry.shares[0].weight = 1;
	ck_assert_ptr_null(dy_flow_rules_add(rules, &entry));
	dy_flow_rules_set_cold_openings(rules, "readings", 2500);
	dy_flow_router_set_rules(fake_router.router, rules);
	fake_router_take(1, DY_PACKET_SYN, 0);
	ck_assert_uint_eq(fake_router.forward.cold_openings, 2500);
	fake_router_end();
}
END_TEST

/*
 * The agent that an opening packet went to is gone, and its lease still runs.
 * The caller's copy, 200 ms later, would be swallowed there too.
 */
START_TEST(copy_of_an_unanswered_opening_goes_elsewhere)
{
	dy_address_t first;

	fake_router_begin(3);
	fake_router_take(1, DY_PACKET_SYN, 0);
	first = fake_router.tries[0];
	fake_router_take(1, DY_PACKET_SYN, 1);
	ck_assert(!dy_address_equal(&fake_router.tries[0], &first));
	first = fake_router.tries[0];
	fake_router_tell_held(1, &first, 0);
	fake_router_take(1, DY_PACKET_SYN, 2);
	ck_assert(dy_address_equal(&fake_router.tries[0], &first));
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 1);
	fake_router_end();
}
END_TEST

/*
 * An opening waited at an agent, which had told so, and found no room in time.
 * Another agent's refusal says nothing about it; the agent's own does.
 */
START_TEST(opening_is_refused_by_the_agent_where_it_waits)
{
	dy_address_t waits;

	fake_router_begin(2);
	fake_router_take(1, DY_PACKET_SYN, 0);
	waits = fake_router.tries[0];
	fake_router_tell_held(1, &waits, 0);
	fake_router.tries[fake_router.forward.tries.tries_len - 1] =
		fake_router_agent(9);
	fake_router_tell_nowhere(1, DY_PACKET_SYN, 1);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router.tries[fake_router.forward.tries.tries_len - 1] = waits;
	fake_router_tell_nowhere(1, DY_PACKET_SYN, 1);
	ck_assert_uint_eq(fake_router.resets, 1);
	ck_assert_uint_eq(dy_flow_router_count(fake_router.router), 0);
	fake_router_end();
}
END_TEST

/*
 * Two copies of an opening packet were answered by two targets. The one that
 * the caller did not choose tells late that it holds the flow, half open; the
 * flow's packets would go there and be lost.
 */
START_TEST(half_open_holder_does_not_displace_an_open_one)
{
	dy_address_t chosen = fake_router_agent(1);
	dy_address_t other = fake_router_agent(2);

	fake_router_begin(2);
	fake_router_take(1, DY_PACKET_SYN, 0);
	fake_router_tell_held(1, &chosen, 1);
	fake_router_tell_held(1, &other, 0);
	fake_router_take(1, DY_PACKET_ACK, 5);
	ck_assert(dy_address_equal(&fake_router.tries[0], &chosen));
	fake_router_tell_held(1, &other, 1);
	fake_router_take(1, DY_PACKET_ACK, 5);
	ck_assert(dy_address_equal(&fake_router.tries[0], &other));
	fake_router_end();
}
END_TEST

/*
 * The VM of a flow's target is lost. Its lease runs out, and it says nothing
 * to this balancer either: the caller waits in vain, and is told to open
 * another flow. One that still answers is only cut off from control.
 */
START_TEST(flow_of_a_lost_agent_is_reset)
{
	dy_address_t holder = fake_router_agent(1);

	fake_router_begin(2);
	fake_router_tell_held(1, &holder, 1);
	fake_router_set_member(1, DY_MEMBER_SUSPECT, "readings");
	fake_router.now_ms += 10 * DY_FLOW_LOST_TIMEOUT_MS;
	fake_router_take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_tell_held(1, &holder, 1);
	fake_router.now_ms += DY_FLOW_LOST_TIMEOUT_MS + 1;
	fake_router_take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.resets, 1);
	fake_router_end();
}
END_TEST

/* Flow 1 is open at agent 1 of two; may its requests run more than once? */
static void begin_with_an_open_flow(int repeatable)
{
	dy_address_t holder = fake_router_agent(1);

	fake_router_begin(2);
	fake_router_set_rules_of(6, "readings", NULL, repeatable);
	fake_router_tell_held(1, &holder, 1);
}

/* Requests on flow 1 each 100 ms, while agent 2 alone speaks and control. */
static void use_beside_a_silent_agent(uint64_t for_ms)
{
	uint64_t end_ms = fake_router.now_ms + for_ms;

	while (fake_router.now_ms < end_ms) {
		fake_router_report(2);
		dy_flow_router_set_members_confirmed(fake_router.router,
						     fake_router.now_ms);
		fake_router_take(1, DY_PACKET_ACK, 5);
		fake_router.now_ms += 100;
	}
}

/*
 * The VM of a flow's target stands still. Its lease has not run out yet, but
 * five of its reports are missing: a caller that may repeat its request is told
 * so, once, and does. The agent is asked for a sign of life.
 */
START_TEST(repeatable_flow_of_an_unresponsive_agent_is_reset)
{
	begin_with_an_open_flow(1);
	use_beside_a_silent_agent(DY_FLOW_UNRESPONSIVE_TIMEOUT_MS);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router.now_ms += 200;
	fake_router_report(2);
	fake_router_take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.resets, 1);
	ck_assert_uint_eq(fake_router.asks, 1);
	fake_router_end();
}
END_TEST

/*
 * A reading that may be stored once only was sent to the agent that stands
 * still. A reset would lose it for sure; it waits for the agent's return.
 */
START_TEST(other_flow_of_an_unresponsive_agent_waits)
{
	begin_with_an_open_flow(0);
	use_beside_a_silent_agent(5 * DY_FLOW_UNRESPONSIVE_TIMEOUT_MS);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_end();
}
END_TEST

/*
 * An agent was unresponsive, and its callers went elsewhere, so that nothing
 * was sent to it any more. It is back for long, and has had no reason to say
 * so: the next packet must not find it unresponsive.
 */
START_TEST(agent_that_was_not_asked_is_not_unresponsive)
{
	begin_with_an_open_flow(1);
	use_beside_a_silent_agent(DY_FLOW_UNRESPONSIVE_TIMEOUT_MS);
	fake_router.now_ms += DY_FLOW_UNRESPONSIVE_TIMEOUT_MS;
	fake_router_report(2);
	dy_flow_router_set_members_confirmed(fake_router.router,
					     fake_router.now_ms);
	fake_router_take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_end();
}
END_TEST

/*
 * An agent is stopped as planned and started again: its target's flows go on.
 * It told control, but this balancer's polls have no answer at the moment.
 */
START_TEST(silence_without_a_confirmation_resets_nothing)
{
	unsigned i;

	begin_with_an_open_flow(1);
	dy_flow_router_set_members_confirmed(fake_router.router,
					     fake_router.now_ms);
	for (i = 0; i < 30; i++) {
		fake_router_report(2);
		fake_router_take(1, DY_PACKET_ACK, 5);
		fake_router.now_ms += 100;
	}
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_end();
}
END_TEST

/* This balancer itself is cut off: it hears no agent, and resets no flow. */
START_TEST(balancer_that_hears_nobody_resets_nothing)
{
	unsigned i;

	begin_with_an_open_flow(1);
	for (i = 0; i < 30; i++) {
		fake_router_take(1, DY_PACKET_ACK, 5);
		fake_router.now_ms += 100;
		dy_flow_router_set_members_confirmed(fake_router.router,
						     fake_router.now_ms);
	}
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_end();
}
END_TEST

/*
 * An opening went to an agent that stood still; the caller's copy went to
 * another balancer, which opened the flow elsewhere. This one knows only where
 * it sent the opening itself, and must not reset a flow that lives: it asks for
 * its holder once that agent is lost, and waits while it is unresponsive.
 */
START_TEST(flow_that_was_opened_elsewhere_is_not_reset)
{
	dy_address_t holder = fake_router_agent(1);

	fake_router_begin(2);
	fake_router_set_rules_of(6, "readings", NULL, 1);
	fake_router_tell_held(1, &holder, 0);
	use_beside_a_silent_agent(2 * DY_FLOW_UNRESPONSIVE_TIMEOUT_MS);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_set_member(1, DY_MEMBER_SUSPECT, "readings");
	fake_router_take(1, DY_PACKET_ACK, 5);
	fake_router.now_ms += DY_FLOW_LOST_TIMEOUT_MS + 1;
	fake_router_take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.resets, 0);
	ck_assert_uint_eq(fake_router.forward.window, 1);
	fake_router_end();
}
END_TEST

/* A caller that gave its flow up itself is not told so. */
START_TEST(reset_of_a_caller_is_not_answered)
{
	fake_router_begin(0);
	fake_router_take(1, DY_PACKET_SYN | DY_PACKET_RST, 0);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_end();
}
END_TEST

/*
 * This balancer's document lags: it knows no entry for a flow that another
 * one opened. A reset would break it.
 */
START_TEST(packet_without_an_entry_is_dropped_not_reset)
{
	fake_router_begin(1);
	fake_router_set_rules(6, NULL, NULL);
	fake_router_take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.resets, 0);
	ck_assert_uint_eq(fake_router.forwards, 0);
	ck_assert_uint_eq(
		dy_metrics_value(fake_router.metrics, "packets_no_entry"), 1);
	fake_router_end();
}
END_TEST

/* Callers that never close their flows would fill the memory. */
START_TEST(idle_flows_are_forgotten)
{
	dy_address_t holder = fake_router_agent(1);

	fake_router_begin(1);
	fake_router_tell_held(1, &holder, 1);
	fake_router.now_ms += DY_FLOW_IDLE_MS - 1;
	fake_router_tell_held(2, &holder, 1);
	dy_flow_router_expire(fake_router.router, fake_router.now_ms);
	ck_assert_uint_eq(dy_flow_router_count(fake_router.router), 2);
	dy_flow_router_expire(fake_router.router, fake_router.now_ms + 1);
	ck_assert_uint_eq(dy_flow_router_count(fake_router.router), 1);
	fake_router_end();
}
END_TEST

/* A trial beside the old service: new flows are parted by weight. */
START_TEST(flows_are_parted_among_services_by_weight)
{
	unsigned trial = 0;
	unsigned i;

	fake_router_begin(2);
	fake_router_set_member(3, DY_MEMBER_SERVING, "maps");
	fake_router_set_rules(6, "readings", "maps");
	for (i = 0; i < 400; i++) {
		fake_router_take(i, DY_PACKET_SYN, 0);
		trial += !strcmp(fake_router.service, "maps");
	}
	ck_assert_uint_ge(trial, 160);
	ck_assert_uint_le(trial, 240);
	fake_router_set_member(3, DY_MEMBER_LEFT, "maps");
	for (i = 0; i < 50; i++) {
		fake_router_take(1000 + i, DY_PACKET_SYN, 0);
		ck_assert_str_eq(fake_router.service, "readings");
	}
	fake_router_end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		opening_goes_to_a_target_and_the_flow_stays_there,
		opening_that_nobody_can_take_is_refused_at_once,
		openings_wait_at_all_targets_alike,
		older_rules_are_dropped,
		open_flow_goes_around_a_path_that_is_broken,
		new_flows_avoid_a_path_that_is_broken,
		opening_says_what_a_cold_target_bears,
		copy_of_an_unanswered_opening_goes_elsewhere,
		opening_is_refused_by_the_agent_where_it_waits,
		half_open_holder_does_not_displace_an_open_one,
		flow_of_a_lost_agent_is_reset,
		repeatable_flow_of_an_unresponsive_agent_is_reset,
		other_flow_of_an_unresponsive_agent_waits,
		agent_that_was_not_asked_is_not_unresponsive,
		silence_without_a_confirmation_resets_nothing,
		balancer_that_hears_nobody_resets_nothing,
		flow_that_was_opened_elsewhere_is_not_reset,
		reset_of_a_caller_is_not_answered,
		packet_without_an_entry_is_dropped_not_reset,
		idle_flows_are_forgotten,
		flows_are_parted_among_services_by_weight,
		NULL,
	};

	return fake_suite_run("flow_router", tests);
}
