#include "fake_router.h"

#include <string.h>

#include <glib.h>

fake_router_t fake_router;

static void on_forward(void *context, dy_flow_forward_t *forward,
		       const dy_packet_t *packet)
{
	(void)context;
	fake_router.forwards++;
	fake_router.forward = *forward;
	memcpy(fake_router.tries, forward->tries.tries_val,
	       forward->tries.tries_len * sizeof(fake_router.tries[0]));
	g_strlcpy(fake_router.service, forward->service,
		  sizeof(fake_router.service));
	if (!fake_router.keeps_forwards)
		dy_flow_router_note_sent(fake_router.router, forward,
					 fake_router.now_ms);
}

static int on_is_waiting(void *context, const dy_flow_id_t *flow)
{
	(void)context;
	(void)flow;
	return fake_router.keeps_forwards;
}

static void on_reset(void *context, const dy_flow_id_t *flow, uint32_t seq)
{
	(void)context;
	(void)flow;
	fake_router.resets++;
	fake_router.reset_seq = seq;
}

static void on_confirm_members(void *context)
{
	(void)context;
	fake_router.confirm_requests++;
}

static void on_request_report(void *context, const dy_address_t *address)
{
	(void)context;
	(void)address;
	fake_router.report_requests++;
}

static void on_reserve(void *context, const dy_address_t *agent,
		       uint32_t standing)
{
	(void)context;
	fake_router.reservations++;
	fake_router.reserved_at = *agent;
	fake_router.standing = standing;
}

static void on_decline(void *context, const dy_address_t *agent)
{
	(void)context;
	(void)agent;
	fake_router.declines++;
}

static uint64_t on_wall_ms(void *context)
{
	(void)context;
	return fake_router.now_ms;
}

/* The witness reports at once. */
static void on_inquire(void *context, const dy_address_t *witness,
		       const dy_address_t *agent)
{
	dy_flow_finding_t finding = { *witness, *agent,
				      fake_router.answer_to_witnesses };

	(void)context;
	fake_router.inquiries++;
	fake_router.witness = *witness;
	dy_flow_router_receive_finding(fake_router.router, &finding,
				       fake_router.now_ms);
}

static const dy_flow_router_callbacks_t callbacks = {
	.forward = on_forward,
	.is_waiting = on_is_waiting,
	.reset = on_reset,
	.confirm_members = on_confirm_members,
	.request_report = on_request_report,
	.reserve = on_reserve,
	.decline = on_decline,
	.wall_ms = on_wall_ms,
	.inquire = on_inquire,
};

dy_address_t fake_router_agent(unsigned number)
{
	dy_address_t address;

	dy_address_set_ipv4(&address, 0x0a000000u + number, 7000);
	return address;
}

void fake_router_set_member(unsigned number, dy_member_state_t state,
			    const char *service)
{
	fake_router_set_member_in(number, state, service, "d1");
}

void fake_router_set_member_in(unsigned number, dy_member_state_t state,
			       const char *service, const char *domain)
{
	dy_member_t member = { 0 };

	member.id = number;
	member.incarnation = number;
	member.state = state;
	member.info.kind = DY_MEMBER_AGENT;
	member.info.domain = (char *)domain;
	member.info.service = (char *)service;
	member.info.address = fake_router_agent(number);
	member.info.slots = 4;
	dy_flow_router_set_member(fake_router.router, &member);
}

void fake_router_set_rules_with(uint64_t version, const char *first,
				const char *second, int repeatable)
{
	dy_flow_rules_t *rules = dy_flow_rules_create(version);
	dy_flow_entry_t entry = { .ip = FAKE_ENTRY_IP,
				  .port = FAKE_ENTRY_PORT };

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
	dy_flow_router_set_rules(fake_router.router, rules);
}

void fake_router_set_rules(uint64_t version, const char *first,
			   const char *second)
{
	fake_router_set_rules_with(version, first, second, 0);
}

static void begin(unsigned agents, uint64_t bytes_per_s, int wait_at_balancer)
{
	dy_flow_router_config_t config = { 0 };
	unsigned i;

	memset(&fake_router, 0, sizeof(fake_router));
	fake_router.now_ms = 1000;
	fake_router.answer_to_witnesses = DY_FLOW_ACCEPTED;
	fake_router.metrics = dy_metrics_create();
	config.self = fake_router_agent(200);
	config.domain = "d1";
	config.link_bytes_per_s = bytes_per_s;
	config.wait_at_balancer = wait_at_balancer;
	config.metrics = fake_router.metrics;
	config.callbacks = &callbacks;
	fake_router.router = dy_flow_router_create(&config);
	fake_router_set_rules(5, "readings", NULL);
	for (i = 1; i <= agents; i++)
		fake_router_set_member(i, DY_MEMBER_SERVING, "readings");
}

void fake_router_begin(unsigned agents)
{
	begin(agents, 0, 0);
}

void fake_router_begin_on_link(unsigned agents, uint64_t bytes_per_s)
{
	begin(agents, bytes_per_s, 0);
}

void fake_router_begin_waiting(unsigned agents)
{
	begin(agents, 0, 1);
}

void fake_router_end(void)
{
	dy_flow_router_destroy(fake_router.router);
	dy_metrics_destroy(fake_router.metrics);
}

dy_packet_t fake_router_packet(unsigned flow, unsigned marks, uint32_t ack)
{
	dy_packet_t packet = { 0 };

	packet.flow.caller_ip = 0x64400001u;
	packet.flow.caller_port = 1024 + flow;
	packet.flow.entry_ip = FAKE_ENTRY_IP;
	packet.flow.entry_port = FAKE_ENTRY_PORT;
	packet.flags = marks;
	packet.ack = ack;
	return packet;
}

void fake_router_receive_packet(unsigned flow, unsigned marks, uint32_t ack)
{
	dy_packet_t packet = fake_router_packet(flow, marks, ack);

	dy_flow_router_receive_packet(
		fake_router.router, &packet, fake_router.bytes,
		sizeof(fake_router.bytes), fake_router.now_ms);
}

void fake_router_receive_held(unsigned flow, const dy_address_t *agent,
			      int open)
{
	dy_flow_held_t held = { 0 };

	held.flow = fake_router_packet(flow, 0, 0).flow;
	held.agent = *agent;
	held.open = open;
	held.load.slots = 4;
	dy_flow_router_receive_held(fake_router.router, &held,
				    fake_router.now_ms);
}

void fake_router_receive_nowhere(unsigned flow, unsigned marks, int certain)
{
	dy_packet_t packet = fake_router_packet(flow, marks, 77);
	dy_flow_nowhere_t nowhere = { 0 };

	nowhere.flow = packet.flow;
	nowhere.agent =
		fake_router.tries[fake_router.forward.tries.tries_len - 1];
	nowhere.reason =
		marks & DY_PACKET_SYN ? DY_FLOW_REFUSED : DY_FLOW_NOT_HELD;
	nowhere.window = fake_router.forward.window;
	nowhere.order = fake_router.forward.order;
	nowhere.complete = fake_router.forward.complete;
	nowhere.certain = certain;
	nowhere.packet.packet_val = (char *)fake_router.bytes;
	nowhere.packet.packet_len = sizeof(fake_router.bytes);
	dy_flow_router_receive_nowhere(fake_router.router, &nowhere, &packet,
				       fake_router.now_ms);
}

void fake_router_receive_nowhere_from(unsigned number, unsigned flow,
				      dy_flow_reason_t reason)
{
	dy_packet_t packet = fake_router_packet(flow, DY_PACKET_SYN, 0);
	dy_flow_nowhere_t nowhere = { 0 };

	nowhere.flow = packet.flow;
	nowhere.agent = fake_router_agent(number);
	nowhere.reason = reason;
	nowhere.packet.packet_val = (char *)fake_router.bytes;
	nowhere.packet.packet_len = sizeof(fake_router.bytes);
	dy_flow_router_receive_nowhere(fake_router.router, &nowhere, &packet,
				       fake_router.now_ms);
}

void fake_router_receive_grant(unsigned number, unsigned returned)
{
	dy_flow_grant_t grant = { 0 };

	grant.agent = fake_router_agent(number);
	grant.load.slots = 4;
	grant.load.accepts = !returned;
	grant.returned = returned;
	dy_flow_router_receive_grant(fake_router.router, &grant,
				     fake_router.now_ms);
}

void fake_router_receive_report(unsigned number)
{
	fake_router_receive_report_with(number, 0);
}

void fake_router_receive_report_with(unsigned number, uint32_t heard)
{
	dy_flow_report_t message = { 0 };

	message.agent = fake_router_agent(number);
	message.load.slots = 4;
	message.load.accepts = 1;
	message.heard = heard;
	dy_flow_router_receive_report(fake_router.router, &message,
				      fake_router.now_ms);
}
