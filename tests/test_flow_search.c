#include "damaskyard/flow_router.h"

#include <string.h>

#include "damaskyard/search_limit.h"
#include "fake_router.h"
#include "fake_suite.h"

/*
 * The fabric sprays a flow's packets to a balancer that has no record of the
 * flow, as after a restart. The balancer must find the holder without a shared
 * table.
 */
START_TEST(caches_holder_found_by_search)
{
	dy_address_t holder = fake_router_agent(2);

	fake_router_begin(3);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.forward.window, 1);
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 3);
	ck_assert(fake_router.forward.complete);
	fake_router_receive_held(1, &holder, 1);
	fake_router_receive_packet(1, DY_PACKET_ACK, 6);
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 1);
	ck_assert(dy_address_equal(&fake_router.tries[0], &holder));
	fake_router_end();
}
END_TEST

/*
 * A search ended at an agent that is gone. Guards against a retransmission
 * whose search takes the same order and ends there again, with the holder
 * further down.
 */
START_TEST(reorders_repeated_search)
{
	dy_address_t first;

	fake_router_begin(4);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	first = fake_router.tries[0];
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 4);
	ck_assert(!dy_address_equal(&fake_router.tries[0], &first));
	ck_assert(dy_address_equal(&fake_router.tries[3], &first));
	fake_router_end();
}
END_TEST

/* Forty agents are searched in windows of sixteen, each agent once. */
START_TEST(searches_agents_in_windows)
{
	unsigned searched = 0;
	unsigned window;

	fake_router_begin(40);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	for (window = 1; window <= 3; window++) {
		ck_assert_uint_eq(fake_router.forward.window, window);
		ck_assert_int_eq(fake_router.forward.complete, window == 3);
		searched += fake_router.forward.tries.tries_len;
		if (window < 3)
			fake_router_receive_nowhere(1, DY_PACKET_ACK, 1);
	}
	ck_assert_uint_eq(searched, 40);
	ck_assert_uint_eq(fake_router.forwards, 3);
	fake_router_end();
}
END_TEST

/* Counts the agents of the last forward. */
static void count_searched(unsigned searched[64])
{
	unsigned i;

	for (i = 0; i < fake_router.forward.tries.tries_len; i++)
		searched[(uint8_t)fake_router.tries[i].ip[DY_IP_BYTES - 1]]++;
}

/* Makes ten agents miss an opening; the last forward stays the same. */
static void make_agents_silent(void)
{
	dy_flow_forward_t forward = fake_router.forward;
	dy_address_t tries[DY_FLOW_TRIES];
	unsigned i;

	memcpy(tries, fake_router.tries, sizeof(tries));
	for (i = 0; i < 10; i++) {
		fake_router_receive_packet(100 + i, DY_PACKET_SYN, 0);
		fake_router_receive_packet(100 + i, DY_PACKET_SYN, 1);
	}
	fake_router.forward = forward;
	memcpy(fake_router.tries, tries, sizeof(tries));
}

/*
 * All balancers restart while thousands of flows are open. Guards against
 * searching for all flows at once: the searches filled the slow links, none
 * completed for seconds, and packets of new flows were lost among them.
 */
START_TEST(defers_searches_above_limit)
{
	unsigned flow;

	fake_router_begin(2);
	for (flow = 1; flow <= DY_SEARCHES_MAX + 5; flow++)
		fake_router_receive_packet(flow, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.forwards, DY_SEARCHES_MAX);
	ck_assert_uint_eq(
		dy_metrics_value(fake_router.metrics, "searches_deferred"), 5);
	fake_router_receive_packet(100, DY_PACKET_SYN, 0);
	ck_assert_uint_eq(fake_router.forwards, DY_SEARCHES_MAX + 1);
	fake_router_receive_held(1, &fake_router.tries[0], 1);
	fake_router_receive_packet(DY_SEARCHES_MAX + 1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.forwards, DY_SEARCHES_MAX + 2);
	fake_router_receive_nowhere(2, DY_PACKET_ACK, 1);
	fake_router_receive_packet(DY_SEARCHES_MAX + 2, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.forwards, DY_SEARCHES_MAX + 3);
	fake_router_end();
}
END_TEST

/*
 * A search over several windows completes although others used up the limit in
 * the meantime.
 */
START_TEST(continues_started_search_above_limit)
{
	unsigned flow;

	fake_router_begin(20);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	fake_router.now_ms += DY_SEARCH_TIMEOUT_MS;
	for (flow = 2; flow <= DY_SEARCHES_MAX + 5; flow++)
		fake_router_receive_packet(flow, DY_PACKET_ACK, 5);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.forwards, 1 + DY_SEARCHES_MAX);
	fake_router.forward.window = 1;
	fake_router.forward.complete = 0;
	fake_router_receive_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.forwards, 2 + DY_SEARCHES_MAX);
	ck_assert_uint_eq(fake_router.forward.window, 2);
	fake_router_end();
}
END_TEST

/*
 * An agent falls silent, or is heard again, between two windows of a search.
 * Guards against a change of the order: an agent would be left out, and its
 * live flow would be reset as not found.
 */
START_TEST(searches_each_agent_once_when_others_fall_silent)
{
	unsigned searched[64];
	unsigned flow;
	unsigned i;

	for (flow = 1; flow <= 20; flow++) {
		fake_router_begin(20);
		memset(searched, 0, sizeof(searched));
		fake_router_receive_packet(flow, DY_PACKET_ACK, 5);
		count_searched(searched);
		make_agents_silent();
		fake_router_receive_nowhere(flow, DY_PACKET_ACK, 1);
		count_searched(searched);
		ck_assert(fake_router.forward.complete);
		for (i = 1; i <= 20; i++)
			ck_assert_uint_eq(searched[i], 1);
		fake_router_end();
	}
}
END_TEST

/*
 * A newer document replaces the service of an entry during the search for one
 * of its flows. Guards against continuing in the new order, which may leave out
 * the holder and reset its live flow.
 */
START_TEST(restarts_search_when_order_changes)
{
	unsigned i;

	fake_router_begin(16);
	for (i = 17; i <= 24; i++)
		fake_router_set_member(i, DY_MEMBER_SERVING, "maps");
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	fake_router_set_rules(6, "maps", NULL);
	fake_router_receive_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.forward.window, 1);
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 16);
	fake_router_set_member(25, DY_MEMBER_SERVING, "readings");
	fake_router_receive_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.forward.window, 1);
	fake_router_receive_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.forward.window, 2);
	fake_router_set_rules(7, "readings", NULL);
	fake_router_receive_nowhere(1, DY_PACKET_ACK, 1);
	dy_flow_router_set_members_confirmed(fake_router.router,
					     fake_router.now_ms + 1);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_end();
}
END_TEST

/*
 * The first two packets of a request, an acknowledgement and its data, reach a
 * balancer that does not know the flow, and each starts a search. A newer
 * document replaces the entry's service, and the first search restarts. Guards
 * against a second search that goes on as if it had searched the first agents
 * of the new order: the holder was among them, and its live flow was reset.
 */
START_TEST(restarts_both_searches_of_flow_when_order_changes)
{
	dy_flow_forward_t second;
	unsigned i;

	fake_router_begin(16);
	for (i = 17; i <= 40; i++)
		fake_router_set_member(i, DY_MEMBER_SERVING, "maps");
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	second = fake_router.forward;
	fake_router_set_rules(6, "maps", NULL);
	fake_router_receive_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.forward.window, 1);
	fake_router.forward = second;
	fake_router_receive_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.forward.window, 1);
	fake_router_end();
}
END_TEST

/*
 * During a rolling upgrade, agents of the previous version do not return the
 * search order. Their search must not restart forever, and its end must not
 * reset a flow, since it is unknown which agents were searched.
 */
START_TEST(ends_search_without_reset_for_older_agents)
{
	fake_router_begin(20);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	fake_router.forward.order = 0;
	fake_router_receive_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.forward.window, 2);
	ck_assert(fake_router.forward.complete);
	ck_assert(!fake_router.forward.certain);
	fake_router.forward.order = 0;
	fake_router_receive_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.forwards, 2);
	ck_assert_uint_eq(fake_router.confirm_requests, 0);
	fake_router_end();
}
END_TEST

/*
 * The agent that was cached as the half-open holder does not hold the flow. Its
 * certain reply counts in the following search, and the flow, which no agent
 * holds, is reset.
 */
START_TEST(searches_with_certainty_after_holder_denies)
{
	dy_address_t holder = fake_router_agent(1);

	fake_router_begin(2);
	fake_router_receive_held(1, &holder, 0);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.forward.window, 0);
	fake_router_receive_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.forward.window, 1);
	ck_assert(fake_router.forward.certain);
	fake_router_receive_nowhere(1, DY_PACKET_ACK, 1);
	dy_flow_router_set_members_confirmed(fake_router.router,
					     fake_router.now_ms + 1);
	ck_assert_uint_eq(fake_router.resets, 1);
	fake_router_end();
}
END_TEST

/*
 * One of two searches for a flow has found the holder. The other one ran in an
 * earlier order without the holder and ends later. The holder's report stays
 * valid: the live flow is not reset, and the packet goes to the holder.
 */
START_TEST(does_not_reset_when_other_search_found_holder)
{
	dy_address_t holder = fake_router_agent(1);

	fake_router_begin(3);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	fake_router_receive_held(1, &holder, 1);
	memcpy(fake_router.tries, (dy_address_t[]){ fake_router_agent(2) },
	       sizeof(fake_router.tries[0]));
	fake_router.forward.tries.tries_len = 1;
	fake_router_receive_nowhere(1, DY_PACKET_ACK, 1);
	dy_flow_router_set_members_confirmed(fake_router.router,
					     fake_router.now_ms + 1);
	ck_assert_uint_eq(fake_router.resets, 0);
	ck_assert_uint_eq(fake_router.forwards, 3);
	ck_assert(dy_address_equal(&fake_router.tries[0], &holder));
	fake_router_end();
}
END_TEST

/*
 * A flow's target restarted without it. Without a reset the caller waits until
 * its deadline. But an agent may have joined since the last poll and received
 * the flow through another balancer; a reset would break that live flow.
 */
START_TEST(resets_flow_not_found_after_member_confirmation)
{
	fake_router_begin(2);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	fake_router_receive_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.resets, 0);
	ck_assert_uint_eq(fake_router.confirm_requests, 1);
	dy_flow_router_set_members_confirmed(fake_router.router,
					     fake_router.now_ms - 1);
	ck_assert_uint_eq(fake_router.resets, 0);
	dy_flow_router_set_members_confirmed(fake_router.router,
					     fake_router.now_ms + 1);
	ck_assert_uint_eq(fake_router.resets, 1);
	ck_assert_uint_eq(fake_router.reset_seq, 77);
	fake_router_end();
}
END_TEST

START_TEST(keeps_flow_not_found_if_agent_joined)
{
	fake_router_begin(2);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	fake_router_receive_nowhere(1, DY_PACKET_ACK, 1);
	fake_router_set_member(3, DY_MEMBER_SERVING, "readings");
	dy_flow_router_set_members_confirmed(fake_router.router,
					     fake_router.now_ms + 1);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 3);
	fake_router_end();
}
END_TEST

/* An agent that could not ask its target gives an uncertain reply. */
START_TEST(does_not_reset_after_uncertain_search)
{
	fake_router_begin(2);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	fake_router_receive_nowhere(1, DY_PACKET_ACK, 0);
	dy_flow_router_set_members_confirmed(fake_router.router,
					     fake_router.now_ms + 1);
	ck_assert_uint_eq(fake_router.resets, 0);
	ck_assert_uint_eq(fake_router.confirm_requests, 0);
	fake_router_end();
}
END_TEST

/*
 * The holder itself reports that its target lost the flow, so the caller gets a
 * reset with the first packet. A holder that had it only half open may not be
 * the one that the caller chose, so the others are searched first.
 */
START_TEST(resets_flow_that_open_holder_lost)
{
	dy_address_t holder = fake_router_agent(1);

	fake_router_begin(2);
	fake_router_receive_held(1, &holder, 1);
	fake_router_receive_packet(1, DY_PACKET_ACK, 5);
	fake_router_receive_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.resets, 1);
	fake_router_receive_held(2, &holder, 0);
	fake_router_receive_packet(2, DY_PACKET_ACK, 5);
	fake_router_receive_nowhere(2, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.resets, 1);
	ck_assert_uint_eq(fake_router.forward.window, 1);
	fake_router_end();
}
END_TEST

/* Searches for a flow in two windows and counts the searched agents. */
static void search_all(unsigned flow, unsigned searched[64])
{
	fake_router_receive_packet(flow, DY_PACKET_ACK, 5);
	count_searched(searched);
	fake_router_receive_nowhere(flow, DY_PACKET_ACK, 1);
	count_searched(searched);
}

/*
 * A balancer has just started, and the lease of a live agent expired because
 * only control missed it. The agent reports only to balancers that send to it.
 * Guards against leaving it out of the first search, which would reset its flow
 * as not found.
 */
START_TEST(searches_suspect_agent_after_start)
{
	unsigned searched[64] = { 0 };

	fake_router_begin(18);
	fake_router.now_ms += 50000;
	fake_router_set_member(5, DY_MEMBER_SUSPECT, "readings");
	search_all(1, searched);
	ck_assert_uint_eq(searched[5], 1);
	fake_router_end();
}
END_TEST

/*
 * An agent was killed with its VM. Guards against a search that is sent to it
 * and ends there, so that the caller waits until its deadline.
 */
START_TEST(skips_lost_agents_in_search)
{
	unsigned searched[64] = { 0 };

	fake_router_begin(18);
	fake_router_set_member(5, DY_MEMBER_SUSPECT, "readings");
	search_all(1, searched);
	ck_assert_uint_eq(searched[5], 1);
	memset(searched, 0, sizeof(searched));
	fake_router.now_ms += DY_FLOW_LOST_TIMEOUT_MS + 1;
	search_all(2, searched);
	ck_assert_uint_eq(searched[5], 0);
	ck_assert_uint_eq(searched[4], 1);
	ck_assert(fake_router.forward.complete);
	fake_router_end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		caches_holder_found_by_search,
		reorders_repeated_search,
		searches_agents_in_windows,
		defers_searches_above_limit,
		continues_started_search_above_limit,
		searches_each_agent_once_when_others_fall_silent,
		restarts_search_when_order_changes,
		restarts_both_searches_of_flow_when_order_changes,
		ends_search_without_reset_for_older_agents,
		searches_with_certainty_after_holder_denies,
		does_not_reset_when_other_search_found_holder,
		resets_flow_not_found_after_member_confirmation,
		keeps_flow_not_found_if_agent_joined,
		does_not_reset_after_uncertain_search,
		resets_flow_that_open_holder_lost,
		searches_suspect_agent_after_start,
		skips_lost_agents_in_search,
		NULL,
	};

	return fake_suite_run("flow_search", tests);
}
