#include "damaskyard/flow_router.h"

#include <string.h>

#include "fake_router.h"
#include "fake_suite.h"

START_TEST(keeps_flow_at_target_that_opened_it)
{
	dy_address_t chosen;

	fake_router_begin(3);
	fake_router_receive_packet(1, DY_PACKET_SYN, 0);
	ck_assert_uint_eq(fake_router.forwards, 1);
	ck_assert_str_eq(fake_router.service, "readings");
	/* Three candidates, and the best one once more at the end. */
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 4);
	ck_assert(fake_router.forward.tell);
	chosen = fake_router.tries[0];
	ck_assert(dy_address_equal(&fake_router.tries[3], &chosen));
	fake_router_receive_held(1, &chosen, 0);
	fake_router_receive_packet(1, DY_PACKET_ACK, 9);
	ck_assert(dy_address_equal(&fake_router.tries[0], &chosen));
	ck_assert(fake_router.forward.tell);
	fake_router_receive_held(1, &chosen, 1);
	fake_router_set_rules(6, "maps", NULL);
	fake_router_receive_packet(1, DY_PACKET_ACK, 10);
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 1);
	ck_assert(dy_address_equal(&fake_router.tries[0], &chosen));
	ck_assert(!fake_router.forward.tell);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_end();
}
END_TEST

/*
 * A caller opens a flow to an entry that was removed, or whose service has no
 * target. Without a refusal it waits 1.4 s for nothing.
 */
START_TEST(refuses_opening_without_entry_or_target_at_once)
{
	fake_router_begin(0);
	fake_router_receive_packet(1, DY_PACKET_SYN, 0);
	ck_assert_uint_eq(fake_router.resets, 1);
	fake_router_set_member(1, DY_MEMBER_SERVING, "readings");
	fake_router_set_rules(6, NULL, NULL);
	fake_router_receive_packet(2, DY_PACKET_SYN, 0);
	ck_assert_uint_eq(fake_router.resets, 2);
	ck_assert_uint_eq(fake_router.forwards, 0);
	fake_router_set_rules(7, "readings", NULL);
	fake_router_receive_packet(3, DY_PACKET_SYN, 0);
	fake_router_receive_nowhere(3, DY_PACKET_SYN, 1);
	ck_assert_uint_eq(fake_router.resets, 3);
	fake_router_end();
}
END_TEST

/*
 * Power is back, and all targets are at capacity. Guards against openings that
 * all wait at the same last candidate, the fullest, and are refused there while
 * slots become free at the others.
 */
START_TEST(spreads_last_candidates_over_targets)
{
	unsigned waiting[9] = { 0 };
	unsigned flow;
	unsigned i;

	fake_router_begin(8);
	for (flow = 1; flow <= 160; flow++) {
		fake_router_receive_packet(flow, DY_PACKET_SYN, 0);
		i = fake_router.forward.tries.tries_len - 1;
		waiting[(uint8_t)fake_router.tries[i].ip[DY_IP_BYTES - 1]]++;
	}
	for (i = 1; i <= 8; i++)
		ck_assert_uint_eq(waiting[i], 20);
	fake_router_end();
}
END_TEST

/*
 * Power is back, and openings fill the links of small balancers. Guards against
 * a list of all candidates in each of them.
 */
START_TEST(sends_openings_with_few_candidates)
{
	unsigned best;

	fake_router_begin(8);
	fake_router_receive_packet(1, DY_PACKET_SYN, 0);
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 5);
	best = (uint8_t)fake_router.tries[0].ip[DY_IP_BYTES - 1];
	ck_assert_uint_eq((uint8_t)fake_router.tries[4].ip[DY_IP_BYTES - 1],
			  best);
	fake_router_end();
}
END_TEST

/*
 * Guards against an older document that arrives after a newer one and removes
 * its entries.
 */
START_TEST(ignores_older_rules)
{
	fake_router_begin(1);
	fake_router_set_rules(4, NULL, NULL);
	fake_router_receive_packet(1, DY_PACKET_SYN, 0);
	ck_assert_uint_eq(fake_router.forwards, 1);
	fake_router_end();
}
END_TEST

/*
 * The path to the holder is broken, while a third domain still reaches it.
 * Guards against sending the requests of open flows on the broken path.
 */
START_TEST(relays_open_flow_around_broken_path)
{
	dy_address_t holder = fake_router_agent(3);
	dy_address_t relay = fake_router_agent(2);
	unsigned i;

	fake_router_begin(1);
	fake_router_set_member_in(2, DY_MEMBER_SERVING, "readings", "d2");
	fake_router_set_member_in(3, DY_MEMBER_SERVING, "readings", "d3");
	fake_router_receive_held(1, &holder, 1);
	fake_router_receive_report_with(3, 5);
	for (i = 0; i < 20; i++) {
		fake_router.now_ms += 20;
		fake_router_receive_packet(1, DY_PACKET_ACK, 5);
		ck_assert_uint_eq(fake_router.forward.tries.tries_len, 1);
	}
	fake_router_receive_report_with(1, 5);
	fake_router_receive_report_with(2, 5);
	fake_router_receive_report_with(3, 5);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 2);
	ck_assert(dy_address_equal(&fake_router.tries[0], &relay));
	ck_assert(dy_address_equal(&fake_router.tries[1], &holder));
	ck_assert(!fake_router.forward.certain);
	/* Report requests go directly, to detect when the path works again. */
	fake_router.now_ms += 200;
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_ge(fake_router.report_requests, 1);
	fake_router_receive_report_with(3, 6);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 1);
	ck_assert(dy_address_equal(&fake_router.tries[0], &holder));
	fake_router_end();
}
END_TEST

/*
 * Forwards wait for the link of this balancer. Guards against taking the path
 * to their agent for broken, or the agent for silent, because nothing arrives.
 */
START_TEST(keeps_path_while_forwards_wait)
{
	dy_address_t holder = fake_router_agent(1);
	unsigned i;

	fake_router_begin(3);
	fake_router.keeps_forwards = 1;
	fake_router_receive_held(1, &holder, 1);
	fake_router_receive_report_with(1, 5);
	for (i = 0; i < 50; i++) {
		fake_router.now_ms += 20;
		fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	}
	fake_router_receive_report_with(1, 5);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 1);
	ck_assert_uint_eq(fake_router.inquiries, 0);
	fake_router_end();
}
END_TEST

/*
 * The first copy of an opening waits for this balancer's link when the second
 * one arrives. Guards against avoiding its agent, which was sent nothing, and
 * against a second target that gets the same opening.
 */
START_TEST(ignores_copy_of_opening_that_still_waits)
{
	fake_router_begin(2);
	fake_router.keeps_forwards = 1;
	fake_router_receive_packet(1, DY_PACKET_SYN, 0);
	fake_router.now_ms += 200;
	fake_router_receive_packet(1, DY_PACKET_SYN, 1);
	ck_assert_uint_eq(fake_router.forwards, 1);
	ck_assert_uint_eq(
		dy_metrics_value(fake_router.metrics, "openings_second_chance"),
		0);
	fake_router.keeps_forwards = 0;
	fake_router.now_ms += 400;
	fake_router_receive_packet(1, DY_PACKET_SYN, 2);
	ck_assert_uint_eq(fake_router.forwards, 2);
	fake_router_end();
}
END_TEST

/* Guards against opening new flows on a broken path. */
START_TEST(avoids_broken_path_for_new_flows)
{
	dy_address_t deaf = fake_router_agent(2);
	unsigned i;

	fake_router_begin(2);
	fake_router_receive_held(1, &deaf, 1);
	fake_router_receive_report_with(2, 5);
	for (i = 0; i < 20; i++) {
		fake_router.now_ms += 20;
		fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	}
	fake_router_receive_report_with(2, 5);
	for (i = 10; i < 40; i++) {
		fake_router_receive_packet(i, DY_PACKET_SYN, 0);
		ck_assert(!dy_address_equal(&fake_router.tries[0], &deaf));
	}
	fake_router_end();
}
END_TEST

/*
 * Guards against agents that admit any number of openings because no forward
 * tells them the rate of a cold target.
 */
START_TEST(sends_cold_rate_with_opening)
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
	fake_router_receive_packet(1, DY_PACKET_SYN, 0);
	ck_assert_uint_eq(fake_router.forward.cold_openings, 2500);
	fake_router_end();
}
END_TEST

/*
 * The agent that received a SYN is gone, and its lease has not expired yet. The
 * retransmission 200 ms later would be lost there as well.
 */
START_TEST(sends_retransmitted_syn_to_other_agent)
{
	dy_address_t first;

	fake_router_begin(3);
	fake_router_receive_packet(1, DY_PACKET_SYN, 0);
	first = fake_router.tries[0];
	fake_router_receive_packet(1, DY_PACKET_SYN, 1);
	ck_assert(!dy_address_equal(&fake_router.tries[0], &first));
	first = fake_router.tries[0];
	fake_router_receive_held(1, &first, 0);
	fake_router_receive_packet(1, DY_PACKET_SYN, 2);
	ck_assert(dy_address_equal(&fake_router.tries[0], &first));
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 1);
	fake_router_end();
}
END_TEST

/*
 * An opening was queued at an agent, which reported it, and was refused after
 * its wait. A refusal by another agent has no effect; the one by this agent
 * does.
 */
START_TEST(accepts_refusal_only_from_queueing_agent)
{
	dy_address_t waits;

	fake_router_begin(2);
	fake_router_receive_packet(1, DY_PACKET_SYN, 0);
	waits = fake_router.tries[0];
	fake_router_receive_held(1, &waits, 0);
	fake_router.tries[fake_router.forward.tries.tries_len - 1] =
		fake_router_agent(9);
	fake_router_receive_nowhere(1, DY_PACKET_SYN, 1);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router.tries[fake_router.forward.tries.tries_len - 1] = waits;
	fake_router_receive_nowhere(1, DY_PACKET_SYN, 1);
	ck_assert_uint_eq(fake_router.resets, 1);
	ck_assert_uint_eq(dy_flow_router_count(fake_router.router), 0);
	fake_router_end();
}
END_TEST

/*
 * Two transmissions of a SYN were answered by two targets. The one that the
 * caller did not choose reports late that it holds the flow half open. Guards
 * against sending the flow's packets there, where they are lost.
 */
START_TEST(keeps_open_holder_over_half_open_one)
{
	dy_address_t chosen = fake_router_agent(1);
	dy_address_t other = fake_router_agent(2);

	fake_router_begin(2);
	fake_router_receive_packet(1, DY_PACKET_SYN, 0);
	fake_router_receive_held(1, &chosen, 1);
	fake_router_receive_held(1, &other, 0);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert(dy_address_equal(&fake_router.tries[0], &chosen));
	fake_router_receive_held(1, &other, 1);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert(dy_address_equal(&fake_router.tries[0], &other));
	fake_router_end();
}
END_TEST

/*
 * The VM of a flow's target is lost: its lease expires, and this balancer
 * receives nothing from it either. The caller would wait for nothing, and is
 * told to open another flow. An agent that still responds is only cut off from
 * control.
 */
START_TEST(resets_flow_of_lost_agent)
{
	dy_address_t holder = fake_router_agent(1);

	fake_router_begin(2);
	fake_router_receive_held(1, &holder, 1);
	fake_router_set_member(1, DY_MEMBER_SUSPECT, "readings");
	fake_router.now_ms += 10 * DY_FLOW_LOST_TIMEOUT_MS;
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_receive_held(1, &holder, 1);
	fake_router.now_ms += DY_FLOW_LOST_TIMEOUT_MS + 1;
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.resets, 1);
	fake_router_end();
}
END_TEST

/*
 * Opens flow 1 at agent 1 of two; repeatable: its requests may run more than
 * once.
 */
static void begin_with_open_flow(int repeatable)
{
	dy_address_t holder = fake_router_agent(1);

	fake_router_begin(3);
	fake_router.answer_to_witnesses = DY_FLOW_NO_ANSWER;
	fake_router_set_rules_with(6, "readings", NULL, repeatable);
	fake_router_receive_held(1, &holder, 1);
}

/*
 * Sends a request on flow 1 every 100 ms, while only agents 2 and 3 and control
 * send messages.
 */
static void send_requests_beside_silent_agent(uint64_t for_ms)
{
	uint64_t end_ms = fake_router.now_ms + for_ms;

	while (fake_router.now_ms < end_ms) {
		fake_router_receive_report(2);
		fake_router_receive_report(3);
		dy_flow_router_set_members_confirmed(fake_router.router,
						     fake_router.now_ms);
		fake_router_receive_packet(1, DY_PACKET_ACK, 5);
		fake_router.now_ms += 100;
	}
}

/*
 * The VM of a flow's target is paused. Its lease has not expired, but five
 * reports are missing. The caller may repeat its request, so it gets one reset
 * and does so. The agent is asked for a report.
 */
START_TEST(resets_repeatable_flow_of_unresponsive_agent)
{
	begin_with_open_flow(1);
	send_requests_beside_silent_agent(DY_FLOW_UNRESPONSIVE_TIMEOUT_MS);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router.now_ms += 200;
	fake_router_receive_report(2);
	fake_router_receive_report(3);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.resets, 1);
	ck_assert_uint_eq(fake_router.report_requests, 1);
	fake_router_end();
}
END_TEST

/*
 * The link of this balancer is full and loses each of its messages to one agent
 * for seconds. The agent serves its flows, and answers witnesses.
 */
START_TEST(keeps_flow_of_agent_that_answers_witnesses)
{
	begin_with_open_flow(1);
	fake_router.answer_to_witnesses = DY_FLOW_ACCEPTED;
	send_requests_beside_silent_agent(5 * DY_FLOW_UNRESPONSIVE_TIMEOUT_MS);
	ck_assert_uint_eq(fake_router.resets, 0);
	ck_assert_uint_gt(fake_router.inquiries, 0);
	fake_router_end();
}
END_TEST

/* One witness may be cut off from the agent itself. */
START_TEST(keeps_flow_of_agent_with_a_single_witness)
{
	unsigned i;

	begin_with_open_flow(1);
	for (i = 0; i < 30; i++) {
		fake_router_receive_report(2);
		dy_flow_router_set_members_confirmed(fake_router.router,
						     fake_router.now_ms);
		fake_router_receive_packet(1, DY_PACKET_ACK, 5);
		fake_router.now_ms += 100;
	}
	ck_assert_uint_eq(fake_router.resets, 0);
	ck_assert_uint_gt(fake_router.inquiries, 0);
	fake_router_end();
}
END_TEST

/*
 * Guards against the loss of the path between two domains that convinces both
 * witnesses: one is in the agent's own domain.
 */
START_TEST(asks_a_witness_in_the_domain_of_the_agent)
{
	unsigned i;

	begin_with_open_flow(1);
	for (i = 2; i <= 6; i++)
		fake_router_set_member_in(i, DY_MEMBER_SERVING, "readings",
					  i == 4 ? "d1" : "d2");
	for (i = 0; i < 6; i++) {
		fake_router_receive_report(2);
		fake_router_receive_report(3);
		fake_router_receive_report(4);
		fake_router_receive_report(5);
		fake_router_receive_packet(1, DY_PACKET_ACK, 5);
		fake_router.now_ms += 100;
	}
	ck_assert_uint_eq(fake_router.inquiries, 2);
	ck_assert_uint_eq(fake_router.witness.ip[15],
			  fake_router_agent(4).ip[15]);
	fake_router_end();
}
END_TEST

/*
 * A reading that must be stored only once was sent to the paused agent. A reset
 * would lose it for certain, so the flow waits for the agent's return.
 */
START_TEST(keeps_other_flow_of_unresponsive_agent)
{
	begin_with_open_flow(0);
	send_requests_beside_silent_agent(5 * DY_FLOW_UNRESPONSIVE_TIMEOUT_MS);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_end();
}
END_TEST

/*
 * An agent was unresponsive, its callers went elsewhere, and nothing was sent
 * to it any more. It has long been back without a reason to report. Guards
 * against taking it for unresponsive at the next packet.
 */
START_TEST(does_not_reset_after_long_silence_without_traffic)
{
	begin_with_open_flow(1);
	send_requests_beside_silent_agent(DY_FLOW_UNRESPONSIVE_TIMEOUT_MS);
	fake_router.now_ms += DY_FLOW_UNRESPONSIVE_TIMEOUT_MS;
	fake_router_receive_report(2);
	dy_flow_router_set_members_confirmed(fake_router.router,
					     fake_router.now_ms);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_end();
}
END_TEST

/*
 * A planned restart of an agent, whose target's flows go on. The agent told
 * control, but this balancer's polls get no replies at the moment.
 */
START_TEST(does_not_reset_without_member_confirmation)
{
	unsigned i;

	begin_with_open_flow(1);
	dy_flow_router_set_members_confirmed(fake_router.router,
					     fake_router.now_ms);
	for (i = 0; i < 30; i++) {
		fake_router_receive_report(2);
		fake_router_receive_packet(1, DY_PACKET_ACK, 5);
		fake_router.now_ms += 100;
	}
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_end();
}
END_TEST

/* This balancer itself is cut off and receives nothing from any agent. */
START_TEST(does_not_reset_when_all_agents_are_silent)
{
	unsigned i;

	begin_with_open_flow(1);
	for (i = 0; i < 30; i++) {
		fake_router_receive_packet(1, DY_PACKET_ACK, 5);
		fake_router.now_ms += 100;
		dy_flow_router_set_members_confirmed(fake_router.router,
						     fake_router.now_ms);
	}
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_end();
}
END_TEST

/*
 * An opening went to a paused agent, and the caller's retransmission went to
 * another balancer, which opened the flow elsewhere. This balancer only has the
 * first agent cached and must not reset the live flow: it searches for the
 * holder once that agent is lost, and waits while it is unresponsive.
 */
START_TEST(does_not_reset_flow_opened_elsewhere)
{
	dy_address_t holder = fake_router_agent(1);

	fake_router_begin(2);
	fake_router_set_rules_with(6, "readings", NULL, 1);
	fake_router_receive_held(1, &holder, 0);
	send_requests_beside_silent_agent(2 * DY_FLOW_UNRESPONSIVE_TIMEOUT_MS);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_set_member(1, DY_MEMBER_SUSPECT, "readings");
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	fake_router.now_ms += DY_FLOW_LOST_TIMEOUT_MS + 1;
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.resets, 0);
	ck_assert_uint_eq(fake_router.forward.window, 1);
	fake_router_end();
}
END_TEST

static void receive_held_of(unsigned agent, int open, int deliveries)
{
	dy_flow_held_t held = { 0 };

	held.flow = fake_router_packet(1, 0, 0).flow;
	held.agent = fake_router_agent(agent);
	held.open = open;
	held.deliveries = deliveries;
	dy_flow_router_receive_held(fake_router.router, &held,
				    fake_router.now_ms);
}

static int is_last_forward_a_delivery(void)
{
	dy_flow_forward_t forward = fake_router.forward;

	forward.tries.tries_val = fake_router.tries;
	return dy_flow_router_is_delivery(fake_router.router, &forward);
}

/*
 * Guards against the short form where the agent needs the rest of the forward:
 * openings, searches, flows that are not open, agents of an older build.
 */
START_TEST(uses_short_form_only_for_holder_of_open_flow)
{
	fake_router_begin(2);
	fake_router_receive_packet(1, DY_PACKET_SYN, 0);
	ck_assert(!is_last_forward_a_delivery());
	fake_router_receive_packet(2, DY_PACKET_ACK, 5);
	ck_assert(!is_last_forward_a_delivery());
	receive_held_of(1, 0, 1);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert(!is_last_forward_a_delivery());
	receive_held_of(1, 1, 1);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert(is_last_forward_a_delivery());
	receive_held_of(1, 1, 0);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert(!is_last_forward_a_delivery());
	fake_router_end();
}
END_TEST

/* A caller that resets its flow itself gets no reset. */
START_TEST(does_not_answer_reset_of_caller)
{
	fake_router_begin(0);
	fake_router_receive_packet(1, DY_PACKET_SYN | DY_PACKET_RST, 0);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_end();
}
END_TEST

/*
 * This balancer's document is outdated and has no entry for a flow that another
 * balancer opened. A reset would break the flow.
 */
START_TEST(drops_packet_without_entry)
{
	fake_router_begin(1);
	fake_router_set_rules(6, NULL, NULL);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.resets, 0);
	ck_assert_uint_eq(fake_router.forwards, 0);
	ck_assert_uint_eq(
		dy_metrics_value(fake_router.metrics, "packets_no_entry"), 1);
	fake_router_end();
}
END_TEST

/* Guards against callers that never close their flows and fill the memory. */
START_TEST(expires_idle_flows)
{
	dy_address_t holder = fake_router_agent(1);

	fake_router_begin(1);
	fake_router_receive_held(1, &holder, 1);
	fake_router.now_ms += DY_FLOW_IDLE_MS - 1;
	fake_router_receive_held(2, &holder, 1);
	dy_flow_router_expire(fake_router.router, fake_router.now_ms);
	ck_assert_uint_eq(dy_flow_router_count(fake_router.router), 2);
	dy_flow_router_expire(fake_router.router, fake_router.now_ms + 1);
	ck_assert_uint_eq(dy_flow_router_count(fake_router.router), 1);
	fake_router_end();
}
END_TEST

/* A trial service runs beside the old one: new flows are split by weight. */
START_TEST(splits_flows_among_services_by_weight)
{
	unsigned trial = 0;
	unsigned i;

	fake_router_begin(2);
	fake_router_set_member(3, DY_MEMBER_SERVING, "maps");
	fake_router_set_rules(6, "readings", "maps");
	for (i = 0; i < 400; i++) {
		fake_router_receive_packet(i, DY_PACKET_SYN, 0);
		trial += !strcmp(fake_router.service, "maps");
	}
	ck_assert_uint_ge(trial, 160);
	ck_assert_uint_le(trial, 240);
	fake_router_set_member(3, DY_MEMBER_LEFT, "maps");
	for (i = 0; i < 50; i++) {
		fake_router_receive_packet(1000 + i, DY_PACKET_SYN, 0);
		ck_assert_str_eq(fake_router.service, "readings");
	}
	fake_router_end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		keeps_flow_at_target_that_opened_it,
		refuses_opening_without_entry_or_target_at_once,
		spreads_last_candidates_over_targets,
		sends_openings_with_few_candidates,
		ignores_older_rules,
		relays_open_flow_around_broken_path,
		keeps_path_while_forwards_wait,
		ignores_copy_of_opening_that_still_waits,
		avoids_broken_path_for_new_flows,
		sends_cold_rate_with_opening,
		sends_retransmitted_syn_to_other_agent,
		accepts_refusal_only_from_queueing_agent,
		keeps_open_holder_over_half_open_one,
		resets_flow_of_lost_agent,
		resets_repeatable_flow_of_unresponsive_agent,
		keeps_flow_of_agent_that_answers_witnesses,
		keeps_flow_of_agent_with_a_single_witness,
		asks_a_witness_in_the_domain_of_the_agent,
		keeps_other_flow_of_unresponsive_agent,
		does_not_reset_after_long_silence_without_traffic,
		does_not_reset_without_member_confirmation,
		does_not_reset_when_all_agents_are_silent,
		does_not_reset_flow_opened_elsewhere,
		uses_short_form_only_for_holder_of_open_flow,
		does_not_answer_reset_of_caller,
		drops_packet_without_entry,
		expires_idle_flows,
		splits_flows_among_services_by_weight,
		NULL,
	};

	return fake_suite_run("flow_router", tests);
}
