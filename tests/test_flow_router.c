#include "damaskyard/flow_router.h"

#include <string.h>

#include <glib.h>

#include "damaskyard/address.h"
#include "damaskyard/search_limit.h"
#include "fake_suite.h"

#define ENTRY_IP 0xc6120001u
#define ENTRY_PORT 443

/* What the router did last, and how often. */
static struct {
	dy_flow_router_t *router;
	dy_metrics_t *metrics;
	unsigned forwards;
	dy_flow_forward_t forward;
	dy_address_t tries[DY_FLOW_TRIES];
	char service[64];
	unsigned resets;
	uint32_t reset_seq;
	unsigned confirms;
	unsigned asks;
	uint64_t now_ms;
	uint8_t bytes[34];
} world;

static void on_forward(void *context, dy_flow_forward_t *forward)
{
	(void)context;
	world.forwards++;
	world.forward = *forward;
	memcpy(world.tries, forward->tries.tries_val,
	       forward->tries.tries_len * sizeof(world.tries[0]));
	g_strlcpy(world.service, forward->service, sizeof(world.service));
}

static void on_reset(void *context, const dy_flow_id_t *flow, uint32_t seq)
{
	(void)context;
	(void)flow;
	world.resets++;
	world.reset_seq = seq;
}

static void on_confirm(void *context)
{
	(void)context;
	world.confirms++;
}

static void on_ask(void *context, const dy_address_t *address)
{
	(void)context;
	(void)address;
	world.asks++;
}

static const dy_flow_router_callbacks_t callbacks = { on_forward, on_reset,
						      on_confirm, on_ask };

static dy_address_t agent(unsigned number)
{
	dy_address_t address;

	dy_address_set_ipv4(&address, 0x0a000000u + number, 7000);
	return address;
}

static void set_member(unsigned number, dy_member_state_t state,
		       const char *service)
{
	dy_member_t member = { 0 };

	member.id = number;
	member.incarnation = number;
	member.state = state;
	member.info.kind = DY_MEMBER_AGENT;
	member.info.domain = "d1";
	member.info.service = (char *)service;
	member.info.address = agent(number);
	member.info.slots = 4;
	dy_flow_router_set_member(world.router, &member);
}

static void set_rules_of(uint64_t version, const char *first,
			 const char *second, int repeatable)
{
	dy_flow_rules_t *rules = dy_flow_rules_create(version);
	dy_flow_entry_t entry = { .ip = ENTRY_IP, .port = ENTRY_PORT };

	entry.repeatable = (uint8_t)repeatable;
	if (first) {
		entry.shares[entry.share_count].service = (char *)first;
		entry.shares[entry.share_count++].weight = 1;
	}
	if (second) {
		entry.shares[entry.share_count].service = (char *)second;
		entry.shares[entry.share_count++].weight = 1;
	}
	if (entry.share_count)
		ck_assert_ptr_null(dy_flow_rules_add(rules, &entry));
	dy_flow_router_set_rules(world.router, rules);
}

static void set_rules(uint64_t version, const char *first, const char *second)
{
	set_rules_of(version, first, second, 0);
}

static void begin(unsigned agents)
{
	dy_flow_router_config_t config = { 0 };
	unsigned i;

	memset(&world, 0, sizeof(world));
	world.now_ms = 1000;
	world.metrics = dy_metrics_create();
	config.self = agent(200);
	config.domain = "d1";
	config.metrics = world.metrics;
	config.callbacks = &callbacks;
	world.router = dy_flow_router_create(&config);
	set_rules(5, "readings", NULL);
	for (i = 1; i <= agents; i++)
		set_member(i, DY_MEMBER_SERVING, "readings");
}

static void end(void)
{
	dy_flow_router_destroy(world.router);
	dy_metrics_destroy(world.metrics);
}

static dy_packet_t packet(unsigned flow, unsigned marks, uint32_t ack)
{
	dy_packet_t made = { 0 };

	made.flow.caller_ip = 0x64400001u;
	made.flow.caller_port = 1024 + flow;
	made.flow.entry_ip = ENTRY_IP;
	made.flow.entry_port = ENTRY_PORT;
	made.marks = marks;
	made.ack = ack;
	return made;
}

static void take(unsigned flow, unsigned marks, uint32_t ack)
{
	dy_packet_t made = packet(flow, marks, ack);

	dy_flow_router_take(world.router, &made, world.bytes,
			    sizeof(world.bytes), world.now_ms);
}

static void tell_held(unsigned flow, const dy_address_t *by, int open)
{
	dy_flow_held_t held = { 0 };

	held.flow = packet(flow, 0, 0).flow;
	held.agent = *by;
	held.open = open;
	held.load.slots = 4;
	dy_flow_router_held(world.router, &held, world.now_ms);
}

/* The last agent of the last forward says that nobody of them holds it. */
static void tell_nowhere(unsigned flow, unsigned marks, int certain)
{
	dy_packet_t made = packet(flow, marks, 77);
	dy_flow_nowhere_t nowhere = { 0 };

	nowhere.flow = made.flow;
	nowhere.agent = world.tries[world.forward.tries.tries_len - 1];
	nowhere.reason =
		marks & DY_PACKET_SYN ? DY_FLOW_REFUSED : DY_FLOW_NOT_HELD;
	nowhere.window = world.forward.window;
	nowhere.complete = world.forward.complete;
	nowhere.certain = certain;
	nowhere.packet.packet_val = (char *)world.bytes;
	nowhere.packet.packet_len = sizeof(world.bytes);
	dy_flow_router_nowhere(world.router, &nowhere, &made, world.now_ms);
}

START_TEST(opening_goes_to_a_target_and_the_flow_stays_there)
{
	dy_address_t chosen;

	begin(3);
	take(1, DY_PACKET_SYN, 0);
	ck_assert_uint_eq(world.forwards, 1);
	ck_assert_str_eq(world.service, "readings");
	ck_assert_uint_eq(world.forward.tries.tries_len, 3);
	ck_assert(world.forward.tell);
	chosen = world.tries[0];
	tell_held(1, &chosen, 0);
	take(1, DY_PACKET_ACK, 9);
	ck_assert(dy_address_equal(&world.tries[0], &chosen));
	ck_assert(world.forward.tell);
	tell_held(1, &chosen, 1);
	set_rules(6, "maps", NULL);
	take(1, DY_PACKET_ACK, 10);
	ck_assert_uint_eq(world.forward.tries.tries_len, 1);
	ck_assert(dy_address_equal(&world.tries[0], &chosen));
	ck_assert(!world.forward.tell);
	ck_assert_uint_eq(world.resets, 0);
	end();
}
END_TEST

/*
 * A caller opens a flow to an entry that was removed, or whose service has no
 * target. Without an answer it waits 1.4 s for nothing.
 */
START_TEST(opening_that_nobody_can_take_is_refused_at_once)
{
	begin(0);
	take(1, DY_PACKET_SYN, 0);
	ck_assert_uint_eq(world.resets, 1);
	set_member(1, DY_MEMBER_SERVING, "readings");
	set_rules(6, NULL, NULL);
	take(2, DY_PACKET_SYN, 0);
	ck_assert_uint_eq(world.resets, 2);
	ck_assert_uint_eq(world.forwards, 0);
	set_rules(7, "readings", NULL);
	take(3, DY_PACKET_SYN, 0);
	tell_nowhere(3, DY_PACKET_SYN, 1);
	ck_assert_uint_eq(world.resets, 3);
	end();
}
END_TEST

/* An older document arrives after a newer one and removes its entries. */
START_TEST(older_rules_are_dropped)
{
	begin(1);
	set_rules(4, NULL, NULL);
	take(1, DY_PACKET_SYN, 0);
	ck_assert_uint_eq(world.forwards, 1);
	end();
}
END_TEST

/*
 * The agent that an opening packet went to is gone, and its lease still runs.
 * The caller's copy, 200 ms later, would be swallowed there too.
 */
START_TEST(copy_of_an_unanswered_opening_goes_elsewhere)
{
	dy_address_t first;

	begin(3);
	take(1, DY_PACKET_SYN, 0);
	first = world.tries[0];
	take(1, DY_PACKET_SYN, 1);
	ck_assert(!dy_address_equal(&world.tries[0], &first));
	first = world.tries[0];
	tell_held(1, &first, 0);
	take(1, DY_PACKET_SYN, 2);
	ck_assert(dy_address_equal(&world.tries[0], &first));
	ck_assert_uint_eq(world.forward.tries.tries_len, 1);
	end();
}
END_TEST

/*
 * An opening waited at an agent, which had told so, and found no room in time.
 * Another agent's refusal says nothing about it; the agent's own does.
 */
START_TEST(opening_is_refused_by_the_agent_where_it_waits)
{
	dy_address_t waits;

	begin(2);
	take(1, DY_PACKET_SYN, 0);
	waits = world.tries[0];
	tell_held(1, &waits, 0);
	world.tries[world.forward.tries.tries_len - 1] = agent(9);
	tell_nowhere(1, DY_PACKET_SYN, 1);
	ck_assert_uint_eq(world.resets, 0);
	world.tries[world.forward.tries.tries_len - 1] = waits;
	tell_nowhere(1, DY_PACKET_SYN, 1);
	ck_assert_uint_eq(world.resets, 1);
	ck_assert_uint_eq(dy_flow_router_count(world.router), 0);
	end();
}
END_TEST

/*
 * Two copies of an opening packet were answered by two targets. The one that
 * the caller did not choose tells late that it holds the flow, half open; the
 * flow's packets would go there and be lost.
 */
START_TEST(half_open_holder_does_not_displace_an_open_one)
{
	dy_address_t chosen = agent(1);
	dy_address_t other = agent(2);

	begin(2);
	take(1, DY_PACKET_SYN, 0);
	tell_held(1, &chosen, 1);
	tell_held(1, &other, 0);
	take(1, DY_PACKET_ACK, 5);
	ck_assert(dy_address_equal(&world.tries[0], &chosen));
	tell_held(1, &other, 1);
	take(1, DY_PACKET_ACK, 5);
	ck_assert(dy_address_equal(&world.tries[0], &other));
	end();
}
END_TEST

/*
 * The fabric sprays a flow's packets to a balancer that never saw it, as after
 * a restart. It must be found, and without a table that is shared.
 */
START_TEST(unknown_flow_is_searched_and_then_known)
{
	dy_address_t holder = agent(2);

	begin(3);
	take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(world.forward.window, 1);
	ck_assert_uint_eq(world.forward.tries.tries_len, 3);
	ck_assert(world.forward.complete);
	tell_held(1, &holder, 1);
	take(1, DY_PACKET_ACK, 6);
	ck_assert_uint_eq(world.forward.tries.tries_len, 1);
	ck_assert(dy_address_equal(&world.tries[0], &holder));
	end();
}
END_TEST

/*
 * A search ended at an agent that is gone. The caller's retransmission would
 * take the same way and end there again, though the holder is further down.
 */
START_TEST(repeated_search_takes_another_way)
{
	dy_address_t first;

	begin(4);
	take(1, DY_PACKET_ACK, 5);
	first = world.tries[0];
	take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(world.forward.tries.tries_len, 4);
	ck_assert(!dy_address_equal(&world.tries[0], &first));
	ck_assert(dy_address_equal(&world.tries[3], &first));
	end();
}
END_TEST

/* Forty agents are asked in windows of sixteen, each once. */
START_TEST(search_goes_on_in_windows)
{
	unsigned asked = 0;
	unsigned window;

	begin(40);
	take(1, DY_PACKET_ACK, 5);
	for (window = 1; window <= 3; window++) {
		ck_assert_uint_eq(world.forward.window, window);
		ck_assert_int_eq(world.forward.complete, window == 3);
		asked += world.forward.tries.tries_len;
		if (window < 3)
			tell_nowhere(1, DY_PACKET_ACK, 1);
	}
	ck_assert_uint_eq(asked, 40);
	ck_assert_uint_eq(world.forwards, 3);
	end();
}
END_TEST

/* Count the agents of the last forward. */
static void count_asked(unsigned asked[64])
{
	unsigned i;

	for (i = 0; i < world.forward.tries.tries_len; i++)
		asked[(uint8_t)world.tries[i].ip[DY_IP_BYTES - 1]]++;
}

/* Ten agents do not answer an opening; the last forward is kept. */
static void let_some_fall_silent(void)
{
	dy_flow_forward_t forward = world.forward;
	dy_address_t tries[DY_FLOW_TRIES];
	unsigned i;

	memcpy(tries, world.tries, sizeof(tries));
	for (i = 0; i < 10; i++) {
		take(100 + i, DY_PACKET_SYN, 0);
		take(100 + i, DY_PACKET_SYN, 1);
	}
	world.forward = forward;
	memcpy(world.tries, tries, sizeof(tries));
}

/*
 * All balancers start anew while thousands of flows are open. Each flow's next
 * packet was searched for at once: the searches filled the thin links, none
 * came to its end for seconds, and new flows' packets were lost among them.
 */
START_TEST(searches_that_have_begun_put_others_off)
{
	unsigned flow;

	begin(2);
	for (flow = 1; flow <= DY_SEARCHES_AT_ONCE + 5; flow++)
		take(flow, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(world.forwards, DY_SEARCHES_AT_ONCE);
	ck_assert_uint_eq(dy_metrics_value(world.metrics, "searches_put_off"),
			  5);
	take(100, DY_PACKET_SYN, 0);
	ck_assert_uint_eq(world.forwards, DY_SEARCHES_AT_ONCE + 1);
	tell_held(1, &world.tries[0], 1);
	take(DY_SEARCHES_AT_ONCE + 1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(world.forwards, DY_SEARCHES_AT_ONCE + 2);
	tell_nowhere(2, DY_PACKET_ACK, 1);
	take(DY_SEARCHES_AT_ONCE + 2, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(world.forwards, DY_SEARCHES_AT_ONCE + 3);
	end();
}
END_TEST

/* A search of several windows ends though others took the places meanwhile. */
START_TEST(search_that_has_begun_goes_on)
{
	unsigned flow;

	begin(20);
	take(1, DY_PACKET_ACK, 5);
	world.now_ms += DY_SEARCH_ANSWER_MS;
	for (flow = 2; flow <= DY_SEARCHES_AT_ONCE + 5; flow++)
		take(flow, DY_PACKET_ACK, 5);
	take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(world.forwards, 1 + DY_SEARCHES_AT_ONCE);
	world.forward.window = 1;
	world.forward.complete = 0;
	tell_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(world.forwards, 2 + DY_SEARCHES_AT_ONCE);
	ck_assert_uint_eq(world.forward.window, 2);
	end();
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
		begin(20);
		memset(asked, 0, sizeof(asked));
		take(flow, DY_PACKET_ACK, 5);
		count_asked(asked);
		let_some_fall_silent();
		tell_nowhere(flow, DY_PACKET_ACK, 1);
		count_asked(asked);
		ck_assert(world.forward.complete);
		for (i = 1; i <= 20; i++)
			ck_assert_uint_eq(asked[i], 1);
		end();
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

	begin(16);
	for (i = 17; i <= 24; i++)
		set_member(i, DY_MEMBER_SERVING, "maps");
	take(1, DY_PACKET_ACK, 5);
	set_rules(6, "maps", NULL);
	tell_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(world.forward.window, 1);
	ck_assert_uint_eq(world.forward.tries.tries_len, 16);
	set_member(25, DY_MEMBER_SERVING, "readings");
	tell_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(world.forward.window, 1);
	tell_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(world.forward.window, 2);
	set_rules(7, "readings", NULL);
	tell_nowhere(1, DY_PACKET_ACK, 1);
	dy_flow_router_set_confirmed(world.router, world.now_ms + 1);
	ck_assert_uint_eq(world.resets, 0);
	end();
}
END_TEST

/*
 * A flow's target is gone and started anew. Without a reset the caller waits
 * until its deadline. But an agent may have joined since the last poll and got
 * the flow by another balancer: resetting that one would break a live flow.
 */
START_TEST(flow_found_nowhere_is_reset_once_members_are_confirmed)
{
	begin(2);
	take(1, DY_PACKET_ACK, 5);
	tell_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(world.resets, 0);
	ck_assert_uint_eq(world.confirms, 1);
	dy_flow_router_set_confirmed(world.router, world.now_ms - 1);
	ck_assert_uint_eq(world.resets, 0);
	dy_flow_router_set_confirmed(world.router, world.now_ms + 1);
	ck_assert_uint_eq(world.resets, 1);
	ck_assert_uint_eq(world.reset_seq, 77);
	end();
}
END_TEST

START_TEST(flow_found_nowhere_is_kept_if_an_agent_joined)
{
	begin(2);
	take(1, DY_PACKET_ACK, 5);
	tell_nowhere(1, DY_PACKET_ACK, 1);
	set_member(3, DY_MEMBER_SERVING, "readings");
	dy_flow_router_set_confirmed(world.router, world.now_ms + 1);
	ck_assert_uint_eq(world.resets, 0);
	take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(world.forward.tries.tries_len, 3);
	end();
}
END_TEST

/* An agent that could not ask its target says nothing for sure. */
START_TEST(uncertain_search_resets_nothing)
{
	begin(2);
	take(1, DY_PACKET_ACK, 5);
	tell_nowhere(1, DY_PACKET_ACK, 0);
	dy_flow_router_set_confirmed(world.router, world.now_ms + 1);
	ck_assert_uint_eq(world.resets, 0);
	ck_assert_uint_eq(world.confirms, 0);
	end();
}
END_TEST

/*
 * The holder itself says that its target has lost the flow: the caller is
 * told with the first packet. One that held it half open only may have lost
 * the choice to another, which must be searched first.
 */
START_TEST(holder_that_lost_the_flow_is_believed)
{
	dy_address_t holder = agent(1);

	begin(2);
	tell_held(1, &holder, 1);
	take(1, DY_PACKET_ACK, 5);
	tell_nowhere(1, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(world.resets, 1);
	tell_held(2, &holder, 0);
	take(2, DY_PACKET_ACK, 5);
	tell_nowhere(2, DY_PACKET_ACK, 1);
	ck_assert_uint_eq(world.resets, 1);
	ck_assert_uint_eq(world.forward.window, 1);
	end();
}
END_TEST

/* Search for a flow along all agents, in two windows; count who is asked. */
static void search_all(unsigned flow, unsigned asked[64])
{
	take(flow, DY_PACKET_ACK, 5);
	count_asked(asked);
	tell_nowhere(flow, DY_PACKET_ACK, 1);
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

	begin(18);
	world.now_ms += 50000;
	set_member(5, DY_MEMBER_SUSPECT, "readings");
	search_all(1, asked);
	ck_assert_uint_eq(asked[5], 1);
	end();
}
END_TEST

/*
 * An agent was killed with its VM. A search that is sent to it ends there, and
 * the caller waits until its deadline.
 */
START_TEST(lost_agents_are_left_out_of_a_search)
{
	unsigned asked[64] = { 0 };

	begin(18);
	set_member(5, DY_MEMBER_SUSPECT, "readings");
	search_all(1, asked);
	ck_assert_uint_eq(asked[5], 1);
	memset(asked, 0, sizeof(asked));
	world.now_ms += DY_FLOW_LOST_MS + 1;
	search_all(2, asked);
	ck_assert_uint_eq(asked[5], 0);
	ck_assert_uint_eq(asked[4], 1);
	ck_assert(world.forward.complete);
	end();
}
END_TEST

/*
 * The VM of a flow's target is lost. Its lease runs out, and it says nothing
 * to this balancer either: the caller waits in vain, and is told to open
 * another flow. One that still answers is only cut off from control.
 */
START_TEST(flow_of_a_lost_agent_is_reset)
{
	dy_address_t holder = agent(1);

	begin(2);
	tell_held(1, &holder, 1);
	set_member(1, DY_MEMBER_SUSPECT, "readings");
	world.now_ms += 10 * DY_FLOW_LOST_MS;
	take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(world.resets, 0);
	tell_held(1, &holder, 1);
	world.now_ms += DY_FLOW_LOST_MS + 1;
	take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(world.resets, 1);
	end();
}
END_TEST

/* The agent of that number says that it lives. */
static void report(unsigned number)
{
	dy_flow_report_t message = { 0 };

	message.agent = agent(number);
	message.load.slots = 4;
	message.load.accepts = 1;
	dy_flow_router_report(world.router, &message, world.now_ms);
}

/* Requests on flow 1 each 100 ms, while agent 2 alone speaks and control. */
static void use_beside_a_silent_agent(uint64_t for_ms)
{
	uint64_t end_ms = world.now_ms + for_ms;

	while (world.now_ms < end_ms) {
		report(2);
		dy_flow_router_set_confirmed(world.router, world.now_ms);
		take(1, DY_PACKET_ACK, 5);
		world.now_ms += 100;
	}
}

/*
 * The VM of a flow's target stands still. Its lease has not run out yet, but
 * five of its reports are missing: a caller that may repeat its request is told
 * so, once, and does. The agent is asked for a sign of life.
 */
START_TEST(repeatable_flow_of_a_mute_agent_is_reset)
{
	dy_address_t holder = agent(1);

	begin(2);
	set_rules_of(6, "readings", NULL, 1);
	tell_held(1, &holder, 1);
	use_beside_a_silent_agent(DY_FLOW_MUTE_MS);
	ck_assert_uint_eq(world.resets, 0);
	world.now_ms += 200;
	report(2);
	take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(world.resets, 1);
	ck_assert_uint_eq(world.asks, 1);
	end();
}
END_TEST

/*
 * A reading that may be stored once only was sent to the agent that stands
 * still. A reset would lose it for sure; it waits for the agent's return.
 */
START_TEST(other_flow_of_a_mute_agent_waits)
{
	dy_address_t holder = agent(1);

	begin(2);
	tell_held(1, &holder, 1);
	use_beside_a_silent_agent(5 * DY_FLOW_MUTE_MS);
	ck_assert_uint_eq(world.resets, 0);
	end();
}
END_TEST

/*
 * An agent was mute, and its callers went elsewhere, so that nothing was sent
 * to it any more. It is back for long, and has had no reason to say so: the
 * next packet must not find it mute.
 */
START_TEST(agent_that_was_not_asked_is_not_mute)
{
	dy_address_t holder = agent(1);

	begin(2);
	set_rules_of(6, "readings", NULL, 1);
	tell_held(1, &holder, 1);
	use_beside_a_silent_agent(DY_FLOW_MUTE_MS);
	world.now_ms += DY_FLOW_MUTE_MS;
	report(2);
	dy_flow_router_set_confirmed(world.router, world.now_ms);
	take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(world.resets, 0);
	end();
}
END_TEST

/*
 * An agent is stopped as planned and started again: its target's flows go on.
 * It told control, but this balancer's polls have no answer at the moment.
 */
START_TEST(silence_without_a_confirmation_resets_nothing)
{
	dy_address_t holder = agent(1);
	unsigned i;

	begin(2);
	set_rules_of(6, "readings", NULL, 1);
	tell_held(1, &holder, 1);
	dy_flow_router_set_confirmed(world.router, world.now_ms);
	for (i = 0; i < 30; i++) {
		report(2);
		take(1, DY_PACKET_ACK, 5);
		world.now_ms += 100;
	}
	ck_assert_uint_eq(world.resets, 0);
	end();
}
END_TEST

/* This balancer itself is cut off: it hears no agent, and resets no flow. */
START_TEST(balancer_that_hears_nobody_resets_nothing)
{
	dy_address_t holder = agent(1);
	unsigned i;

	begin(2);
	set_rules_of(6, "readings", NULL, 1);
	tell_held(1, &holder, 1);
	for (i = 0; i < 30; i++) {
		take(1, DY_PACKET_ACK, 5);
		world.now_ms += 100;
		dy_flow_router_set_confirmed(world.router, world.now_ms);
	}
	ck_assert_uint_eq(world.resets, 0);
	end();
}
END_TEST

/* A caller that gave its flow up itself is not told so. */
START_TEST(reset_of_a_caller_is_not_answered)
{
	begin(0);
	take(1, DY_PACKET_SYN | DY_PACKET_RST, 0);
	ck_assert_uint_eq(world.resets, 0);
	end();
}
END_TEST

/*
 * This balancer's document lags: it knows no entry for a flow that another
 * one opened. A reset would break it.
 */
START_TEST(packet_without_an_entry_is_dropped_not_reset)
{
	begin(1);
	set_rules(6, NULL, NULL);
	take(1, DY_PACKET_ACK, 5);
	ck_assert_uint_eq(world.resets, 0);
	ck_assert_uint_eq(world.forwards, 0);
	ck_assert_uint_eq(dy_metrics_value(world.metrics, "packets_no_entry"),
			  1);
	end();
}
END_TEST

/* Callers that never close their flows would fill the memory. */
START_TEST(idle_flows_are_forgotten)
{
	dy_address_t holder = agent(1);

	begin(1);
	tell_held(1, &holder, 1);
	world.now_ms += DY_FLOW_IDLE_MS - 1;
	tell_held(2, &holder, 1);
	dy_flow_router_expire(world.router, world.now_ms);
	ck_assert_uint_eq(dy_flow_router_count(world.router), 2);
	dy_flow_router_expire(world.router, world.now_ms + 1);
	ck_assert_uint_eq(dy_flow_router_count(world.router), 1);
	end();
}
END_TEST

/* A trial beside the old service: new flows are parted by weight. */
START_TEST(flows_are_parted_among_services_by_weight)
{
	unsigned trial = 0;
	unsigned i;

	begin(2);
	set_member(3, DY_MEMBER_SERVING, "maps");
	set_rules(6, "readings", "maps");
	for (i = 0; i < 400; i++) {
		take(i, DY_PACKET_SYN, 0);
		trial += !strcmp(world.service, "maps");
	}
	ck_assert_uint_ge(trial, 160);
	ck_assert_uint_le(trial, 240);
	set_member(3, DY_MEMBER_LEFT, "maps");
	for (i = 0; i < 50; i++) {
		take(1000 + i, DY_PACKET_SYN, 0);
		ck_assert_str_eq(world.service, "readings");
	}
	end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		opening_goes_to_a_target_and_the_flow_stays_there,
		opening_that_nobody_can_take_is_refused_at_once,
		older_rules_are_dropped,
		copy_of_an_unanswered_opening_goes_elsewhere,
		opening_is_refused_by_the_agent_where_it_waits,
		half_open_holder_does_not_displace_an_open_one,
		unknown_flow_is_searched_and_then_known,
		repeated_search_takes_another_way,
		search_goes_on_in_windows,
		search_asks_each_agent_though_others_fall_silent,
		search_begins_anew_when_the_order_changes,
		searches_that_have_begun_put_others_off,
		search_that_has_begun_goes_on,
		flow_found_nowhere_is_reset_once_members_are_confirmed,
		flow_found_nowhere_is_kept_if_an_agent_joined,
		uncertain_search_resets_nothing,
		holder_that_lost_the_flow_is_believed,
		starting_balancer_asks_a_suspect_agent,
		lost_agents_are_left_out_of_a_search,
		flow_of_a_lost_agent_is_reset,
		repeatable_flow_of_a_mute_agent_is_reset,
		other_flow_of_a_mute_agent_waits,
		agent_that_was_not_asked_is_not_mute,
		silence_without_a_confirmation_resets_nothing,
		balancer_that_hears_nobody_resets_nothing,
		reset_of_a_caller_is_not_answered,
		packet_without_an_entry_is_dropped_not_reset,
		idle_flows_are_forgotten,
		flows_are_parted_among_services_by_weight,
		NULL,
	};

	return fake_suite_run("flow_router", tests);
}
