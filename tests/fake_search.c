#include "fake_search.h"

#include <string.h>

#include "damaskyard/address.h"

#define ENTRY_IP 0xc6120001u
/* Time that a message takes from one process to the next, in us. */
#define HOP_US 500

/* A message under way. */
typedef struct message {
	uint64_t at_us;
	dy_flow_forward_t forward;
	dy_address_t tries[DY_FLOW_TRIES];
	dy_packet_t packet;
	int to_balancer; /* NOWHERE, or HELD if held */
	int held;
} message_t;

fake_search_t fake_search;

dy_address_t fake_search_agent(unsigned number)
{
	dy_address_t address;

	dy_address_set_ipv4(&address, 0x0a000000u + number, 7000);
	return address;
}

static unsigned agent_number(const dy_address_t *address)
{
	unsigned i;

	for (i = 1; i <= fake_search.agents; i++) {
		dy_address_t other = fake_search_agent(i);

		if (dy_address_equal(&other, address))
			return i;
	}
	ck_abort_msg("no such agent");
}

static gint compare_time(gconstpointer a, gconstpointer b, gpointer context)
{
	const message_t *first = a;
	const message_t *second = b;

	(void)context;
	return (first->at_us > second->at_us) - (first->at_us < second->at_us);
}

static void queue_message(const message_t *message)
{
	message_t *copy = g_memdup2(message, sizeof(*message));

	copy->at_us = fake_search.now_us + fake_search.hop_us;
	copy->forward.tries.tries_val = copy->tries;
	g_queue_insert_sorted(&fake_search.messages, copy, compare_time, NULL);
}

static void send_message(const message_t *message)
{
	if (fake_search.loss_permille &&
	    g_rand_int_range(fake_search.random, 0, 1000) <
		    (int)fake_search.loss_permille)
		return;
	queue_message(message);
}

uint64_t fake_search_now_ms(void)
{
	return fake_search.now_us / 1000;
}

static void on_forward(void *context, dy_flow_forward_t *forward,
		       const dy_packet_t *packet)
{
	message_t message = { 0 };

	(void)context;
	fake_search.from_balancer++;
	fake_search.order = forward->order;
	fake_search.hops++;
	message.forward = *forward;
	memcpy(message.tries, forward->tries.tries_val,
	       forward->tries.tries_len * sizeof(message.tries[0]));
	message.packet = *packet;
	if (fake_search.waits) {
		g_queue_push_tail(&fake_search.waiting,
				  g_memdup2(&message, sizeof(message)));
		return;
	}
	send_message(&message);
	dy_flow_router_note_sent(fake_search.router, &message.forward,
				 fake_search_now_ms());
}

static int on_is_waiting(void *context, const dy_flow_id_t *flow)
{
	(void)context;
	(void)flow;
	return !g_queue_is_empty(&fake_search.waiting);
}

static void on_reset(void *context, const dy_flow_id_t *flow, uint32_t seq)
{
	(void)context;
	(void)flow;
	(void)seq;
	fake_search.resets++;
}

static void on_confirm_members(void *context)
{
	(void)context;
	fake_search.confirm_requests++;
}

static void on_request_report(void *context, const dy_address_t *agent)
{
	(void)context;
	(void)agent;
}

static uint64_t on_wall_ms(void *context)
{
	(void)context;
	return fake_search_now_ms();
}

static void on_inquire(void *context, const dy_address_t *witness,
		       const dy_address_t *agent)
{
	(void)context;
	(void)witness;
	(void)agent;
}

static const dy_flow_router_callbacks_t callbacks = {
	.forward = on_forward,
	.is_waiting = on_is_waiting,
	.reset = on_reset,
	.confirm_members = on_confirm_members,
	.request_report = on_request_report,
	.wall_ms = on_wall_ms,
	.inquire = on_inquire,
};

void fake_search_set_member(unsigned number, const char *domain)
{
	dy_member_t member = { 0 };

	member.id = number;
	member.incarnation = number;
	member.state = DY_MEMBER_SERVING;
	member.info.kind = DY_MEMBER_AGENT;
	member.info.domain = (char *)domain;
	member.info.service = (char *)"readings";
	member.info.address = fake_search_agent(number);
	member.info.slots = 4;
	dy_flow_router_set_member(fake_search.router, &member);
}

void fake_search_begin(unsigned agents)
{
	dy_flow_entry_t entry = { .ip = ENTRY_IP, .port = 443 };
	dy_flow_rules_t *rules = dy_flow_rules_create(1);
	dy_flow_router_config_t config = { 0 };
	unsigned i;

	memset(&fake_search, 0, sizeof(fake_search));
	g_queue_init(&fake_search.messages);
	g_queue_init(&fake_search.waiting);
	fake_search.now_us = 1000000;
	fake_search.hop_us = HOP_US;
	fake_search.agents = agents;
	fake_search.metrics = dy_metrics_create();
	config.self = fake_search_agent(1000);
	config.domain = "d1";
	config.metrics = fake_search.metrics;
	config.callbacks = &callbacks;
	fake_search.router = dy_flow_router_create(&config);
	entry.shares[0].service = (char *)"readings";
	entry.shares[0].weight = 1;
	entry.share_count = 1;
	ck_assert_ptr_null(dy_flow_rules_add(rules, &entry));
	dy_flow_router_set_rules(fake_search.router, rules);
	for (i = 1; i <= agents; i++)
		fake_search_set_member(i, "d1");
}

void fake_search_end(void)
{
	g_queue_clear_full(&fake_search.messages, g_free);
	g_queue_clear_full(&fake_search.waiting, g_free);
	dy_flow_router_destroy(fake_search.router);
	dy_metrics_destroy(fake_search.metrics);
}

dy_packet_t fake_search_packet(unsigned flow)
{
	dy_packet_t packet = { 0 };

	packet.flow.caller_ip = 0x64400001u;
	packet.flow.caller_port = 1024 + flow;
	packet.flow.entry_ip = ENTRY_IP;
	packet.flow.entry_port = 443;
	packet.flags = DY_PACKET_ACK;
	packet.data_bytes = 6;
	return packet;
}

void fake_search_receive_packet(unsigned flow)
{
	dy_packet_t packet = fake_search_packet(flow);

	dy_flow_router_receive_packet(
		fake_search.router, &packet, fake_search.bytes,
		sizeof(fake_search.bytes), fake_search_now_ms());
}

/* Returns whether an answer to the balancer is lost. */
static int is_lost(void)
{
	fake_search.answers++;
	return fake_search.answers >= fake_search.lose_from &&
	       fake_search.answers <
		       fake_search.lose_from + fake_search.lose_count;
}

static void deliver_to_balancer(message_t *message)
{
	dy_flow_nowhere_t nowhere = { 0 };
	dy_flow_held_t held = { 0 };
	dy_address_t agent = message->tries[message->forward.step];

	if (message->held) {
		held.flow = message->packet.flow;
		held.agent = agent;
		held.open = 1;
		held.load.slots = 4;
		held.load.accepts = 1;
		if (!fake_search.found++)
			fake_search.found_us = fake_search.now_us;
		dy_flow_router_receive_held(fake_search.router, &held,
					    fake_search_now_ms());
		return;
	}
	nowhere.flow = message->packet.flow;
	nowhere.agent = agent;
	nowhere.reason = DY_FLOW_NOT_HELD;
	nowhere.window = message->forward.window;
	nowhere.complete = message->forward.complete;
	nowhere.certain = message->forward.certain;
	nowhere.order = fake_search.old[agent_number(&agent)]
				? 0
				: message->forward.order;
	nowhere.packet.packet_val = (char *)fake_search.bytes;
	nowhere.packet.packet_len = sizeof(fake_search.bytes);
	dy_flow_router_receive_nowhere(fake_search.router, &nowhere,
				       &message->packet, fake_search_now_ms());
}

static void deliver_to_agent(message_t *message)
{
	dy_flow_forward_t *forward = &message->forward;
	unsigned agent = agent_number(&message->tries[forward->step]);

	fake_search.asked[agent]++;
	if (fake_search.down[agent] ||
	    (agent == fake_search.deaf && !forward->step))
		return;
	message->held = agent == fake_search.holder;
	if (!message->held && forward->step + 1 < forward->tries.tries_len) {
		forward->step++;
		fake_search.hops++;
		send_message(message);
		return;
	}
	message->to_balancer = 1;
	if (!is_lost())
		send_message(message);
}

void fake_search_release(void)
{
	message_t *message;

	fake_search.waits = 0;
	while (!g_queue_is_empty(&fake_search.waiting)) {
		message = g_queue_pop_head(&fake_search.waiting);
		send_message(message);
		g_free(message);
	}
}

void fake_search_receive_nowhere(unsigned window)
{
	dy_packet_t packet = fake_search_packet(1);
	dy_flow_nowhere_t nowhere = { 0 };

	nowhere.flow = packet.flow;
	nowhere.agent = fake_search_agent(1);
	nowhere.reason = DY_FLOW_NOT_HELD;
	nowhere.window = window;
	nowhere.certain = 1;
	nowhere.order = fake_search.order;
	nowhere.packet.packet_val = (char *)fake_search.bytes;
	nowhere.packet.packet_len = sizeof(fake_search.bytes);
	dy_flow_router_receive_nowhere(fake_search.router, &nowhere, &packet,
				       fake_search_now_ms());
}

void fake_search_run(unsigned ms)
{
	uint64_t end_us = fake_search.now_us + ms * 1000;
	uint64_t tick_us =
		fake_search.now_us + DY_FLOW_SEARCH_INTERVAL_MS * 1000;
	message_t *message;

	while (fake_search.now_us < end_us) {
		message = g_queue_peek_head(&fake_search.messages);
		if (!message || message->at_us > tick_us) {
			fake_search.now_us = tick_us;
			tick_us += DY_FLOW_SEARCH_INTERVAL_MS * 1000;
			dy_flow_router_serve_searches(fake_search.router,
						      fake_search_now_ms());
			continue;
		}
		g_queue_pop_head(&fake_search.messages);
		fake_search.now_us = message->at_us;
		if (message->to_balancer)
			deliver_to_balancer(message);
		else
			deliver_to_agent(message);
		g_free(message);
	}
}

void fake_search_record_order(unsigned agents,
			      unsigned order[FAKE_SEARCH_AGENTS_MAX])
{
	message_t *message;
	unsigned count = 0;
	unsigned i;

	fake_search_begin(agents);
	fake_search_receive_packet(1);
	while (!g_queue_is_empty(&fake_search.messages)) {
		message = g_queue_pop_head(&fake_search.messages);
		fake_search.now_us = message->at_us;
		for (i = 0; i < message->forward.tries.tries_len; i++)
			order[count++] = agent_number(&message->tries[i]);
		message->forward.step = message->forward.tries.tries_len - 1;
		deliver_to_balancer(message);
		g_free(message);
	}
	fake_search_end();
}

void fake_search_receive_report(unsigned agent, unsigned heard)
{
	dy_flow_report_t report = { 0 };

	report.agent = fake_search_agent(agent);
	report.load.slots = 4;
	report.load.accepts = 1;
	report.heard = heard;
	dy_flow_router_receive_report(fake_search.router, &report,
				      fake_search_now_ms());
}
