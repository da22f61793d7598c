#include "damaskyard/flow_router.h"

#include <string.h>

#include "damaskyard/search_limit.h"
#include "fake_router.h"
#include "fake_suite.h"

/*
 * The fabric sprays a flow's packets to a balancer that never saw it, as after
 * a restart. It must be found, and without a table that is shared.
 */
START_TEST(unknown_flow_is_searched_and_then_known)
{
	dy_address_t holder = fake_router_agent(2);

	fake_router_begin(3);
	fake_router_take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.forward.window, 1);
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 3);
	ck_assert(fake_router.forward.complete);
	fake_router_tell_held(1, &holder, 1);
	fake_router_take(1, DY_PACKET_ACK, 6);
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 1);
	ck_assert(dy_address_equal(&fake_router.tries[0], &holder));
	fake_router_end();
}
END_TEST

/*
 * A search ended at an agent that is gone. The caller's retransmission would
 * take the same way and end there again, though the holder is further down.
 */
START_TEST(repeated_search_takes_another_way)
{
	dy_address_t first;

	fake_router_begin(4);
	fake_router_take(1, DY_PACKET_ACK, 5);
	first = fake_router.tries[0];
	fake_router_take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 4);
	ck_assert(!dy_address_equal(&fake_router.tries[0], &first));
	ck_assert(dy_address_equal(&fake_router.tries[3], &first));
	fake_router_end();
}
END_TEST

/* Forty agents are asked in windows of sixteen, each once. */
START_TEST(search_goes_on_in_windows)
{
	unsigned asked = 0;
	unsigned window;

	fake_router_begin(40);
	fake_router_take(1, DY_PACKET_ACK, 5);
	for (window = 1; window <= 3; window++) {
		ck_assert_uint_eq(fake_router.forward.window, window);
		ck_assert_int_eq(fake_router.forward.complete, window == 3);
		asked += fake_router.forward.tries.tries_len;
		if (window < 3)
			fake_router_tell_nowhere(1, DY_PACKET_ACK, 1);
	}
	ck_assert_uint_eq(asked, 40);
	ck_assert_uint_eq(fake_router.forwards, 3);
	fake_router_end();
}
END_TEST

/* Count the agents of the last forward. */
static void count_asked(unsigned asked[64])
{
	unsigned i;

	for (i = 0; i < fake_router.forward.tries.tries_len; i++)
		asked[(uint8_t)fake_router.tries[i].ip[DY_IP_BYTES - 1]]++;
}

/* Ten agents do not answer an opening; the last forward is kept. */
static void let_some_fall_silent(void)
{
	dy_flow_forward_t forward = fake_router.forward;
	dy_address_t tries[DY_FLOW_TRIES];
	unsigned i;

	memcpy(tries, fake_router.tries, sizeof(tries));
	for (i = 0; i < 10; i++) {
		fake_router_take(100 + i, DY_PACKET_SYN, 0);
		fake_router_take(100 + i, DY_PACKET_SYN, 1);
	}
	fake_router.forward = forward;
	memcpy(fake_router.tries, tries, sizeof(tries));
}

/*
 * All balancers start anew while thousands of flows are open. Each flow's next
 * packet was searched for at once: the searches filled the thin links, none
 * came to its end for seconds, and new flows' packets were lost among them.
 */
START_TEST(searches_that_have_begun_put_others_off)
{
	unsigned flow;

	fake_router_begin(2);
	for (flow = 1; flow <= DY_SEARCHES_MAX + 5; flow++)
		fake_router_take(flow, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.forwards, DY_SEARCHES_MAX);
	ck_assert_uint_eq(
		dy_metrics_value(fake_router.metrics, "searches_deferred"), 5);
	fake_router_take(100, DY_PACKET_SYN, 0);
	ck_assert_uint_eq(fake_router.forwards, DY_SEARCHES_MAX + 1);
	fake_router_tell_held(1, &fake_router.tries[0], 1);
	fake_router_take(DY_SEARCHES_MAX + 1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.forwards, DY_SEARCHES_MAX + 2);
	fake_router_tell_nowhere(2, DY_PACKET_ACK, 1);
	fake_router_take(DY_SEARCHES_MAX + 2, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.forwards, DY_SEARCHES_MAX + 3);
	fake_router_end();
}
END_TEST

/* A search of several windows ends though others took the places meanwhile. */
START_TEST(search_that_has_begun_goes_on)
{
	unsigned flow;

	fake_router_begin(20);
	fake_router_take(1, DY_PACKET_ACK, 5);
	fake_router.now_ms += DY_SEARCH_TIMEOUT_MS;
	for (flow = 2; flow <= DY_SEARCHES_MAX + 5; flow++)
		fake_router_take(flow, DY_PACKET_ACK, 5);
	fake_router_take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.forwards, 1 + DY_SEARCHES_MAX);
	fake_router.forward.window = 1;
	fake_router.forward.complete = 0;
	fake_router_tell_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.forwards, 2 + DY_SEARCHES_MAX);
	ck_assert_uint_eq(fake_router.forward.window, 2);
	fake_router_end();
}
END_TEST

/*
 * Between two windows of a search an agent falls silent, or speaks again. If
 * that moves others in the order, one is never asked, and its live flow is
 * found nowhere and reset.
 */
START_TEST(search_asks_each_agent_though_others_fall_silent)
{
	unsigned asked[64];
	unsigned flow;
	unsigned i;

	for (flow = 1; flow <= 20; flow++) {
		fake_router_begin(20);
		memset(asked, 0, sizeof(asked));
		fake_router_take(flow, DY_PACKET_ACK, 5);
		count_asked(asked);
		let_some_fall_silent();
		fake_router_tell_nowhere(flow, DY_PACKET_ACK, 1);
		count_asked(asked);
		ck_assert(fake_router.forward.complete);
		for (i = 1; i <= 20; i++)
			ck_assert_uint_eq(asked[i], 1);
		fake_router_end();
	}
}
END_TEST

/*
 * A newer document names another service for an entry while a flow of it is
 * searched for. The agents that are left are counted off in another order, the
 * holder is not among them, and its live flow is reset.
 */
START_TEST(search_begins_anew_when_the_order_changes)
{
	unsigned i;

	fake_router_begin(16);
	for (i = 17; i <= 24; i++)
		fake_router_set_member(i, DY_MEMBER_SERVING, "maps");
	fake_router_take(1, DY_PACKET_ACK, 5);
	fake_router_set_rules(6, "maps", NULL);
	fake_router_tell_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.forward.window, 1);
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 16);
	fake_router_set_member(25, DY_MEMBER_SERVING, "readings");
	fake_router_tell_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.forward.window, 1);
	fake_router_tell_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.forward.window, 2);
	fake_router_set_rules(7, "readings", NULL);
	fake_router_tell_nowhere(1, DY_PACKET_ACK, 1);
	dy_flow_router_set_members_confirmed(fake_router.router,
					     fake_router.now_ms + 1);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_end();
}
END_TEST

/*
 * A request's first two packets, an acknowledgement and its data, come at once
 * to a balancer that does not know the flow, and begin a search each. A newer
 * document names another service for the entry: the first search begins anew.
 * The second must too, and not go on as if it had asked the first agents of
 * the new order: the holder is among them, and its live flow was reset.
 */
START_TEST(two_searches_of_one_flow_are_told_apart)
{
	dy_flow_forward_t second;
	unsigned i;

	fake_router_begin(16);
	for (i = 17; i <= 40; i++)
		fake_router_set_member(i, DY_MEMBER_SERVING, "maps");
	fake_router_take(1, DY_PACKET_ACK, 5);
	fake_router_take(1, DY_PACKET_ACK, 5);
	second = fake_router.forward;
	fake_router_set_rules(6, "maps", NULL);
	fake_router_tell_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.forward.window, 1);
	fake_router.forward = second;
	fake_router_tell_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.forward.window, 1);
	fake_router_end();
}
END_TEST

/*
 * While a build is rolled out, agents of the one before do not give the number
 * of a search's order back. Its search neither begins anew for ever, nor does
 * its end, of which nobody knows what was asked, reset a flow.
 */
START_TEST(search_by_older_agents_ends_and_resets_nothing)
{
	fake_router_begin(20);
	fake_router_take(1, DY_PACKET_ACK, 5);
	fake_router.forward.order = 0;
	fake_router_tell_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.forward.window, 2);
	ck_assert(fake_router.forward.complete);
	ck_assert(!fake_router.forward.certain);
	fake_router.forward.order = 0;
	fake_router_tell_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.forwards, 2);
	ck_assert_uint_eq(fake_router.confirms, 0);
	fake_router_end();
}
END_TEST

/*
 * The agent that was thought to hold a flow half open does not. What it says
 * for sure counts for the search that follows, and the flow, which is nowhere,
 * is reset.
 */
START_TEST(holder_that_does_not_hold_it_begins_a_certain_search)
{
	dy_address_t holder = fake_router_agent(1);

	fake_router_begin(2);
	fake_router_tell_held(1, &holder, 0);
	fake_router_take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.forward.window, 0);
	fake_router_tell_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.forward.window, 1);
	ck_assert(fake_router.forward.certain);
	fake_router_tell_nowhere(1, DY_PACKET_ACK, 1);
	dy_flow_router_set_members_confirmed(fake_router.router,
					     fake_router.now_ms + 1);
	ck_assert_uint_eq(fake_router.resets, 1);
	fake_router_end();
}
END_TEST

/*
 * One of two searches of a flow has found its holder. The other one, which
 * passed the holder by in an order of before, ends after that: what was told
 * by the holder stands, the live flow is not reset, and the packet goes there.
 */
START_TEST(search_that_ends_after_the_holder_was_found_resets_nothing)
{
	dy_address_t holder = fake_router_agent(1);

	fake_router_begin(3);
	fake_router_take(1, DY_PACKET_ACK, 5);
	fake_router_take(1, DY_PACKET_ACK, 5);
	fake_router_tell_held(1, &holder, 1);
	memcpy(fake_router.tries, (dy_address_t[]){ fake_router_agent(2) },
	       sizeof(fake_router.tries[0]));
	fake_router.forward.tries.tries_len = 1;
	fake_router_tell_nowhere(1, DY_PACKET_ACK, 1);
	dy_flow_router_set_members_confirmed(fake_router.router,
					     fake_router.now_ms + 1);
	ck_assert_uint_eq(fake_router.resets, 0);
	ck_assert_uint_eq(fake_router.forwards, 3);
	ck_assert(dy_address_equal(&fake_router.tries[0], &holder));
	fake_router_end();
}
END_TEST

/*
 * A flow's target is gone and started anew. Without a reset the caller waits
 * until its deadline. But an agent may have joined since the last poll and got
 * the flow by another balancer: resetting that one would break a live flow.
 */
START_TEST(flow_found_nowhere_is_reset_once_members_are_confirmed)
{
	fake_router_begin(2);
	fake_router_take(1, DY_PACKET_ACK, 5);
	fake_router_tell_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.resets, 0);
	ck_assert_uint_eq(fake_router.confirms, 1);
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

START_TEST(flow_found_nowhere_is_kept_if_an_agent_joined)
{
	fake_router_begin(2);
	fake_router_take(1, DY_PACKET_ACK, 5);
	fake_router_tell_nowhere(1, DY_PACKET_ACK, 1);
	fake_router_set_member(3, DY_MEMBER_SERVING, "readings");
	dy_flow_router_set_members_confirmed(fake_router.router,
					     fake_router.now_ms + 1);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(fake_router.forward.tries.tries_len, 3);
	fake_router_end();
}
END_TEST

/* An agent that could not ask its target says nothing for sure. */
START_TEST(uncertain_search_resets_nothing)
{
	fake_router_begin(2);
	fake_router_take(1, DY_PACKET_ACK, 5);
	fake_router_tell_nowhere(1, DY_PACKET_ACK, 0);
	dy_flow_router_set_members_confirmed(fake_router.router,
					     fake_router.now_ms + 1);
	ck_assert_uint_eq(fake_router.resets, 0);
	ck_assert_uint_eq(fake_router.confirms, 0);
	fake_router_end();
}
END_TEST

/*
 * The holder itself says that its target has lost the flow: the caller is
 * told with the first packet. One that held it half open only may have lost
 * the choice to another, which must be searched first.
 */
START_TEST(holder_that_lost_the_flow_is_believed)
{
	dy_address_t holder = fake_router_agent(1);

	fake_router_begin(2);
	fake_router_tell_held(1, &holder, 1);
	fake_router_take(1, DY_PACKET_ACK, 5);
	fake_router_tell_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.resets, 1);
	fake_router_tell_held(2, &holder, 0);
	fake_router_take(2, DY_PACKET_ACK, 5);
	fake_router_tell_nowhere(2, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(fake_router.resets, 1);
	ck_assert_uint_eq(fake_router.forward.window, 1);
	fake_router_end();
}
END_TEST

/* Search for a flow along all agents, in two windows; count who is asked. */
static void search_all(unsigned flow, unsigned asked[64])
{
	fake_router_take(flow, DY_PACKET_ACK, 5);
	count_asked(asked);
	fake_router_tell_nowhere(flow, DY_PACKET_ACK, 1);
	count_asked(asked);
}

/*
 * A balancer has just started, and an agent's lease ran out though it lives:
 * control alone missed it. It reports to nobody who sends it nothing. Left out
 * of the first search, its flow is found nowhere and reset.
 */
START_TEST(starting_balancer_asks_a_suspect_agent)
{
	unsigned asked[64] = { 0 };

	fake_router_begin(18);
	fake_router.now_ms += 50000;
	fake_router_set_member(5, DY_MEMBER_SUSPECT, "readings");
	search_all(1, asked);
	ck_assert_uint_eq(asked[5], 1);
	fake_router_end();
}
END_TEST

/*
 * An agent was killed with its VM. A search that is sent to it ends there, and
 * the caller waits until its deadline.
 */
START_TEST(lost_agents_are_left_out_of_a_search)
{
	unsigned asked[64] = { 0 };

	fake_router_begin(18);
	fake_router_set_member(5, DY_MEMBER_SUSPECT, "readings");
	search_all(1, asked);
	ck_assert_uint_eq(asked[5], 1);
	memset(asked, 0, sizeof(asked));
	fake_router.now_ms += DY_FLOW_LOST_TIMEOUT_MS + 1;
	search_all(2, asked);
	ck_assert_uint_eq(asked[5], 0);
	ck_assert_uint_eq(asked[4], 1);
	ck_assert(fake_router.forward.complete);
	fake_router_end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		unknown_flow_is_searched_and_then_known,
		repeated_search_takes_another_way,
		search_goes_on_in_windows,
		searches_that_have_begun_put_others_off,
		search_that_has_begun_goes_on,
		search_asks_each_agent_though_others_fall_silent,
		search_begins_anew_when_the_order_changes,
		two_searches_of_one_flow_are_told_apart,
		search_by_older_agents_ends_and_resets_nothing,
		holder_that_does_not_hold_it_begins_a_certain_search,
		search_that_ends_after_the_holder_was_found_resets_nothing,
		flow_found_nowhere_is_reset_once_members_are_confirmed,
		flow_found_nowhere_is_kept_if_an_agent_joined,
		uncertain_search_resets_nothing,
		holder_that_lost_the_flow_is_believed,
		starting_balancer_asks_a_suspect_agent,
		lost_agents_are_left_out_of_a_search,
		NULL,
	};

	return fake_suite_run("flow_search", tests);
}
