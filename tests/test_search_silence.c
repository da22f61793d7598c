#include "damaskyard/flow_router.h"

#include <stdio.h>
#include <string.h>

#include "damaskyard/search_limit.h"
#include "damaskyard/search_retry.h"
#include "fake_search.h"
#include "fake_suite.h"

/* The holder has to be found within this time. */
#define FOUND_MS 150

/* Searches with two agents down. Returns the time to find the holder, in ms. */
static unsigned find_with_down(unsigned agents, unsigned holder, unsigned first,
			       unsigned second)
{
	uint64_t from_us;
	unsigned ms;

	fake_search_begin(agents);
	fake_search.holder = holder;
	fake_search.down[first] = 1;
	fake_search.down[second] = 1;
	from_us = fake_search.now_us;
	fake_search_receive_packet(1);
	fake_search_run(400);
	ck_assert_uint_ge(fake_search.found, 1);
	ms = (unsigned)((fake_search.found_us - from_us + 999) / 1000);
	fake_search_end();
	return ms;
}

/* Guards against a search that ends at an agent that is down. */
START_TEST(finds_holder_among_nine_with_any_two_down)
{
	unsigned holder;
	unsigned first;
	unsigned second;

	for (holder = 1; holder <= 9; holder++)
		for (first = 1; first <= 9; first++)
			for (second = first; second <= 9; second++)
				if (first != holder && second != holder)
					ck_assert_uint_le(
						find_with_down(9, holder, first,
							       second),
						FOUND_MS);
}
END_TEST

/* Guards against the same where the search takes several messages. */
START_TEST(finds_holder_among_thirty_with_any_two_down)
{
	unsigned order[FAKE_SEARCH_AGENTS_MAX];
	unsigned first;
	unsigned second;

	fake_search_record_order(30, order);
	for (first = 0; first < 29; first++)
		for (second = first; second < 29; second++)
			ck_assert_uint_le(find_with_down(30, order[29],
							 order[first],
							 order[second]),
					  FOUND_MS);
}
END_TEST

/* Guards against the same in a large group, whichever agent is the holder. */
START_TEST(finds_holder_among_three_hundred_with_two_down)
{
	unsigned order[FAKE_SEARCH_AGENTS_MAX] = { 0 };
	unsigned place;
	unsigned first;
	unsigned second;

	fake_search_record_order(300, order);
	for (place = 2; place < 128; place += 9) {
		for (first = 0; first < place; first += 7) {
			second = first + (place - first) / 2;
			ck_assert_uint_le(find_with_down(300, order[place],
							 order[first],
							 order[second]),
					  FOUND_MS);
		}
		ck_assert_uint_le(find_with_down(300, order[place],
						 order[place - 1], order[0]),
				  FOUND_MS);
	}
}
END_TEST

/* Counts messages to agents of a search with nobody down. */
static unsigned count_hops(unsigned agents, unsigned holder, uint64_t hop_us)
{
	unsigned hops;

	fake_search_begin(agents);
	fake_search.hop_us = hop_us;
	fake_search.holder = holder;
	fake_search_receive_packet(1);
	fake_search_run(600);
	hops = fake_search.hops;
	ck_assert_uint_eq(fake_search.found, !!holder);
	fake_search_end();
	return hops;
}

/* Guards against a search that costs more than it must while all answer. */
START_TEST(asks_no_more_agents_in_calm)
{
	static const unsigned sizes[] = { 9, 30, 128 };
	unsigned order[FAKE_SEARCH_AGENTS_MAX];
	unsigned i;
	unsigned place;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		fake_search_record_order(sizes[i], order);
		for (place = 0; place < sizes[i]; place++) {
			ck_assert_uint_eq(
				count_hops(sizes[i], order[place], 100),
				place + 1);
			ck_assert_uint_le(
				count_hops(sizes[i], order[place], 1500),
				2 * (place + 1));
		}
		ck_assert_uint_eq(count_hops(sizes[i], 0, 1500), sizes[i]);
	}
}
END_TEST

/* Guards against a reset of a flow whose holder only did not answer. */
START_TEST(never_denies_flow_of_silent_holder)
{
	unsigned holder;

	for (holder = 1; holder <= 30; holder++) {
		fake_search_begin(30);
		fake_search.holder = holder;
		fake_search.down[holder] = 1;
		fake_search_receive_packet(1);
		fake_search_run(1000);
		ck_assert_uint_eq(fake_search.confirm_requests, 0);
		fake_search.down[holder] = 0;
		fake_search_receive_packet(1);
		fake_search_run(200);
		ck_assert_uint_eq(fake_search.found, 1);
		fake_search_end();
	}
}
END_TEST

/* Guards against a flow that nobody holds and that is never reset. */
START_TEST(denies_flow_when_all_agents_answered_at_last)
{
	fake_search_begin(30);
	fake_search.lose_from = 1;
	fake_search.lose_count = 1;
	fake_search_receive_packet(1);
	fake_search_run(500);
	ck_assert_uint_eq(fake_search.confirm_requests, 1);
	dy_flow_router_set_members_confirmed(fake_search.router,
					     fake_search_now_ms() + 1);
	ck_assert_uint_eq(fake_search.resets, 1);
	fake_search_end();
}
END_TEST

/* Guards against counting agents as asked whose answers were lost. */
START_TEST(denies_no_flow_when_answers_of_parts_are_lost)
{
	unsigned lost;

	for (lost = 1; lost <= 8; lost++) {
		fake_search_begin(9);
		fake_search.holder = 4;
		fake_search.lose_from = lost;
		fake_search.lose_count = 100;
		fake_search_receive_packet(1);
		fake_search_run(1000);
		ck_assert(fake_search.found || !fake_search.confirm_requests);
		fake_search_end();
	}
}
END_TEST

/* Guards against a search that a lost answer of the new path ends. */
START_TEST(finds_holder_though_any_one_answer_is_lost)
{
	unsigned lost;

	for (lost = 1; lost <= 12; lost++) {
		fake_search_begin(30);
		fake_search.holder = 17;
		fake_search.down[3] = 1;
		fake_search.lose_from = lost;
		fake_search.lose_count = 1;
		fake_search_receive_packet(1);
		fake_search_run(400);
		ck_assert_uint_ge(fake_search.found, 1);
		ck_assert_uint_le(fake_search.asked[17], 4);
		fake_search_end();
	}
}
END_TEST

/* Guards against agents of an older build, which return no order. */
START_TEST(finds_holder_and_denies_nothing_among_older_agents)
{
	unsigned i;

	for (i = 0; i < 2; i++) {
		fake_search_begin(30);
		memset(fake_search.old, 1, sizeof(fake_search.old));
		fake_search.holder = i ? 17 : 0;
		fake_search.lose_from = 1;
		fake_search.lose_count = 1;
		fake_search_receive_packet(1);
		fake_search_run(1000);
		ck_assert_uint_eq(fake_search.found, i);
		ck_assert_uint_eq(fake_search.confirm_requests, 0);
		fake_search_end();
	}
}
END_TEST

/*
 * Callers of 500 flows that nobody holds send a packet every 200 ms, for a
 * second. Returns the number of the balancer's messages.
 */
static unsigned search_in_storm(unsigned down)
{
	unsigned messages;
	unsigned before;
	unsigned step;
	unsigned flow;

	fake_search_begin(50);
	for (flow = 1; flow <= down; flow++)
		fake_search.down[flow * 4] = 1;
	for (step = 0; step < 200; step++) {
		before = fake_search.from_balancer;
		for (flow = 1; flow <= 500; flow++)
			if (flow % 40 == step % 40)
				fake_search_receive_packet(flow);
		fake_search_run(5);
		ck_assert_uint_le(fake_search.from_balancer - before,
				  4 * DY_SEARCHES_MAX);
		ck_assert_uint_le(dy_flow_router_searches(fake_search.router),
				  DY_SEARCHES_MAX);
	}
	messages = fake_search.from_balancer;
	printf("storm with %u down: %u messages\n", down, messages);
	fake_search_end();
	return messages;
}

/* Guards against retries that add to a storm of searches. */
START_TEST(sends_less_in_storm_with_agents_down)
{
	unsigned calm = search_in_storm(0);

	ck_assert_uint_le(search_in_storm(2), calm);
	ck_assert_uint_le(search_in_storm(12), calm);
}
END_TEST

/* Guards against a storm when nobody answers, as after a loss of power. */
START_TEST(gives_up_soon_when_all_agents_are_down)
{
	fake_search_begin(200);
	memset(fake_search.down, 1, sizeof(fake_search.down));
	fake_search_receive_packet(1);
	fake_search_run(1000);
	ck_assert_uint_eq(dy_flow_router_searches(fake_search.router), 0);
	ck_assert_uint_le(fake_search.from_balancer, 60);
	fake_search.from_balancer = 0;
	fake_search_receive_packet(1);
	fake_search_run(1000);
	ck_assert_uint_le(fake_search.from_balancer, 60);
	fake_search_end();
}
END_TEST

/* Guards against waiting for the same silent agent in each search. */
START_TEST(asks_silent_agent_last_next_time)
{
	unsigned order[FAKE_SEARCH_AGENTS_MAX];

	fake_search_record_order(9, order);
	fake_search_begin(9);
	fake_search.down[order[8]] = 1;
	fake_search_receive_packet(1);
	fake_search_run(200);
	fake_search.holder = order[0];
	fake_search.hops = 0;
	fake_search_receive_packet(1);
	fake_search_run(30);
	ck_assert_uint_eq(fake_search.found, 1);
	ck_assert_uint_le(fake_search.hops, 9);
	fake_search_end();
}
END_TEST

/* Guards against resending what still waits for a thin link. */
START_TEST(sends_nothing_more_while_message_waits_for_link)
{
	fake_search_begin(9);
	fake_search.hop_us = 1500;
	fake_search.waits = 1;
	fake_search_receive_packet(1);
	fake_search_run(500);
	fake_search_release();
	fake_search_run(500);
	ck_assert_uint_eq(fake_search.from_balancer, 1);
	ck_assert_uint_eq(fake_search.confirm_requests, 1);
	fake_search_end();
}
END_TEST

static void search_in_slow_network(int is_held)
{
	unsigned before;
	unsigned flow;

	fake_search_begin(9);
	fake_search.hop_us = 12000;
	fake_search.holder = is_held ? 5 : 0;
	for (flow = 1; flow <= 40; flow++) {
		fake_search_receive_packet(flow);
		fake_search_run(600);
	}
	before = fake_search.from_balancer;
	for (; flow <= 60; flow++) {
		fake_search_receive_packet(flow);
		fake_search_run(600);
	}
	ck_assert_uint_le(fake_search.from_balancer - before, 22);
	fake_search_end();
}

/* Guards against resends in a network that became slow. */
START_TEST(waits_longer_when_answers_take_longer)
{
	search_in_slow_network(0);
	search_in_slow_network(1);
}
END_TEST

/* Guards against a holder that hears other agents but not the balancer. */
START_TEST(finds_holder_behind_path_that_is_broken_one_way)
{
	unsigned order[FAKE_SEARCH_AGENTS_MAX];
	dy_flow_forward_t forward = { 0 };
	dy_address_t holder;
	unsigned i;

	fake_search_record_order(9, order);
	fake_search_begin(9);
	fake_search.holder = fake_search.deaf = order[0];
	holder = fake_search_agent(fake_search.holder);
	for (i = 1; i <= 9; i++)
		if (i != fake_search.holder)
			fake_search_set_member(i, "d2");
	forward.tries.tries_val = &holder;
	forward.tries.tries_len = 1;
	fake_search_receive_report(fake_search.holder, 10);
	for (i = 0; i < 20; i++, fake_search.now_us += 20000)
		dy_flow_router_note_sent(fake_search.router, &forward,
					 fake_search_now_ms());
	fake_search_receive_report(fake_search.holder, 10);
	for (i = 1; i <= 9; i++)
		if (i != fake_search.holder)
			fake_search_receive_report(i, 0);
	fake_search_receive_packet(1);
	fake_search_run(FOUND_MS);
	ck_assert_uint_ge(fake_search.found, 1);
	fake_search_end();
}
END_TEST

/* Guards against packets of an old flow that reach targets after its SYN. */
START_TEST(ends_search_when_caller_opens_flow_anew)
{
	dy_packet_t packet = fake_search_packet(1);
	unsigned before;

	fake_search_begin(30);
	fake_search.down[1] = fake_search.down[2] = 1;
	fake_search.lose_from = 1;
	fake_search.lose_count = 1;
	fake_search_receive_packet(1);
	fake_search_run(20);
	packet.flags = DY_PACKET_SYN;
	packet.data_bytes = 0;
	dy_flow_router_receive_packet(
		fake_search.router, &packet, fake_search.bytes,
		sizeof(fake_search.bytes), fake_search_now_ms());
	before = fake_search.from_balancer;
	fake_search_run(500);
	ck_assert_uint_eq(fake_search.from_balancer, before);
	fake_search_end();
}
END_TEST

/* Guards against counting agents of one window by the answer of another one. */
START_TEST(counts_late_answer_for_its_own_agents_only)
{
	unsigned order[FAKE_SEARCH_AGENTS_MAX];
	unsigned packets;
	unsigned i;

	fake_search_record_order(40, order);
	for (packets = 1; packets <= 2; packets++) {
		fake_search_begin(40);
		fake_search.holder = order[7];
		fake_search.down[order[7]] = 1;
		for (i = 0; i < packets; i++)
			fake_search_receive_packet(1);
		fake_search_run(60);
		fake_search_receive_nowhere(packets == 1 ? 2 : 1);
		fake_search_run(1000);
		ck_assert_uint_eq(fake_search.confirm_requests, 0);
		fake_search_end();
	}
}
END_TEST

/* Guards against asking on after the first message was only slow. */
START_TEST(counts_late_answer_of_first_message)
{
	fake_search_begin(9);
	fake_search.lose_from = 1;
	fake_search.lose_count = 100;
	fake_search_receive_packet(1);
	fake_search_run(60);
	fake_search_receive_nowhere(1);
	ck_assert_uint_eq(dy_flow_router_searches(fake_search.router), 0);
	fake_search_end();
}
END_TEST

/* Guards against counting answers to an earlier search of the flow. */
START_TEST(ignores_late_answers_to_earlier_search)
{
	unsigned number;

	fake_search_begin(9);
	fake_search.holder = 4;
	fake_search.down[4] = 1;
	fake_search_receive_packet(1);
	fake_search_run(300);
	fake_search_receive_packet(1);
	fake_search_run(10);
	ck_assert_uint_eq(dy_flow_router_searches(fake_search.router), 1);
	for (number = 0; number < 20; number++)
		fake_search_receive_nowhere(1 << 16 | number);
	fake_search_run(500);
	ck_assert_uint_eq(fake_search.confirm_requests, 0);
	fake_search_end();
}
END_TEST

/* Guards against agents left out when others join before a search is retried.
 */
START_TEST(asks_all_agents_again_when_order_changes)
{
	unsigned holder;
	unsigned i;

	for (holder = 21; holder <= 40; holder++) {
		fake_search_begin(20);
		fake_search.lose_from = 1;
		fake_search.lose_count = 1;
		fake_search_receive_packet(1);
		fake_search_run(20);
		fake_search.agents = 40;
		fake_search.holder = holder;
		for (i = 21; i <= 40; i++)
			fake_search_set_member(i, "d1");
		fake_search_run(500);
		ck_assert_uint_ge(fake_search.found, 1);
		fake_search_end();
	}
}
END_TEST

/* Guards against a timeout that each further packet of the flow restarts. */
START_TEST(finds_holder_while_further_packets_arrive)
{
	unsigned order[FAKE_SEARCH_AGENTS_MAX];
	unsigned i;

	fake_search_record_order(16, order);
	fake_search_begin(16);
	fake_search.holder = order[8];
	fake_search.down[order[7]] = 1;
	fake_search.down[order[9]] = 1;
	for (i = 0; i < FOUND_MS / 10; i++) {
		fake_search_receive_packet(1);
		fake_search_run(10);
	}
	ck_assert_uint_ge(fake_search.found, 1);
	fake_search_end();
}
END_TEST

/* Draws who is down, hangs or is old, and searches for three flows. */
static void search_at_random(GRand *random)
{
	unsigned agents = (unsigned)g_rand_int_range(random, 1, 60);
	unsigned i;

	fake_search_begin(agents);
	fake_search.random = random;
	fake_search.loss_permille = (unsigned)g_rand_int_range(random, 0, 100);
	fake_search.hop_us = (uint64_t)g_rand_int_range(random, 100, 8000);
	fake_search.holder =
		(unsigned)g_rand_int_range(random, 0, (int)agents + 1);
	for (i = 1; i <= agents; i++) {
		fake_search.down[i] = !g_rand_int_range(random, 0, 12);
		fake_search.old[i] = !g_rand_int_range(random, 0, 12);
	}
	for (i = 0; i < 40; i++) {
		fake_search_receive_packet(
			(unsigned)g_rand_int_range(random, 1, 4));
		fake_search_run((unsigned)g_rand_int_range(random, 1, 90));
		if (!g_rand_int_range(random, 0, 15))
			fake_search_set_member(
				(unsigned)g_rand_int_range(random, 1,
							   (int)agents + 1),
				"d1");
		if (fake_search.holder)
			ck_assert_uint_eq(fake_search.confirm_requests, 0);
	}
	fake_search_run(2000);
	ck_assert_uint_eq(dy_flow_router_searches(fake_search.router), 0);
	fake_search_end();
}

/* Guards against a denial of a held flow, in any order of losses and stops. */
START_TEST(never_denies_held_flow_at_random)
{
	GRand *random;
	unsigned seed;

	for (seed = 1; seed <= 400; seed++) {
		random = g_rand_new_with_seed(seed);
		search_at_random(random);
		g_rand_free(random);
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		finds_holder_among_nine_with_any_two_down,
		finds_holder_among_thirty_with_any_two_down,
		finds_holder_among_three_hundred_with_two_down,
		asks_no_more_agents_in_calm,
		never_denies_flow_of_silent_holder,
		denies_flow_when_all_agents_answered_at_last,
		denies_no_flow_when_answers_of_parts_are_lost,
		finds_holder_though_any_one_answer_is_lost,
		finds_holder_and_denies_nothing_among_older_agents,
		sends_less_in_storm_with_agents_down,
		gives_up_soon_when_all_agents_are_down,
		asks_silent_agent_last_next_time,
		sends_nothing_more_while_message_waits_for_link,
		waits_longer_when_answers_take_longer,
		finds_holder_behind_path_that_is_broken_one_way,
		ends_search_when_caller_opens_flow_anew,
		counts_late_answer_for_its_own_agents_only,
		counts_late_answer_of_first_message,
		finds_holder_while_further_packets_arrive,
		ignores_late_answers_to_earlier_search,
		asks_all_agents_again_when_order_changes,
		never_denies_held_flow_at_random,
		NULL,
	};

	return fake_suite_run("search_silence", tests);
}
