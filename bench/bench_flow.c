/*
 * Measures the flow router of the packet path: memory per flow and per target,
 * time per packet of a new, an unknown and a known flow. An unknown flow is
 * searched at the agents. Prints rows of key=value.
 */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "damaskyard/address.h"
#include "damaskyard/flow_router.h"
#include "damaskyard/log.h"

#define KNOWN_FLOWS 150000
#define KNOWN_PACKETS 200000
#define NEW_FLOWS 20000

static uint64_t forwards;

static void on_forward(void *context, dy_flow_forward_t *forward,
		       const dy_packet_t *packet)
{
	(void)context;
	(void)forward;
	forwards++;
}

static int on_is_waiting(void *context, const dy_flow_id_t *flow)
{
	(void)context;
	(void)flow;
	return 0;
}

static void on_reset(void *context, const dy_flow_id_t *flow, uint32_t seq)
{
	(void)context;
	(void)flow;
	(void)seq;
}

static void on_confirm_members(void *context)
{
	(void)context;
}

static void on_request_report(void *context, const dy_address_t *agent)
{
	(void)context;
	(void)agent;
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
	.inquire = on_inquire,
};

static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static double now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static dy_address_t agent_address(unsigned number)
{
	dy_address_t address;

	dy_address_set_ipv4(&address, 0x0a000000u + number, 7000);
	return address;
}

static dy_flow_router_t *create_router(dy_metrics_t *metrics, unsigned targets,
				       unsigned services)
{
	dy_flow_rules_t *rules = dy_flow_rules_create(1);
	dy_flow_router_config_t config = { 0 };
	dy_flow_entry_t entry = { .port = 443 };
	dy_member_t member = { 0 };
	dy_flow_router_t *router;
	char name[32];
	unsigned i;

	config.domain = "d1";
	config.metrics = metrics;
	config.callbacks = &callbacks;
	router = dy_flow_router_create(&config);
	entry.share_count = 1;
	entry.shares[0].service = name;
	entry.shares[0].weight = 1;
	for (i = 0; i < services; i++) {
		g_snprintf(name, sizeof(name), "s%u", i);
		entry.ip = 0xc6120000u + i;
		dy_flow_rules_add(rules, &entry);
	}
	dy_flow_router_set_rules(router, rules);
	member.state = DY_MEMBER_SERVING;
	member.info.kind = DY_MEMBER_AGENT;
	member.info.domain = "d1";
	member.info.service = name;
	member.info.slots = 4;
	for (i = 0; i < targets; i++) {
		g_snprintf(name, sizeof(name), "s%u", i % services);
		member.id = i + 1;
		member.incarnation = i + 1;
		member.info.address = agent_address(i);
		dy_flow_router_set_member(router, &member);
	}
	return router;
}

static dy_packet_t make_packet(unsigned flow, unsigned services, unsigned flags)
{
	dy_packet_t packet = { 0 };

	packet.flow.caller_ip = 0x64400000u + flow / 60000;
	packet.flow.caller_port = 1024 + flow % 60000;
	packet.flow.entry_ip = 0xc6120000u + flow % services;
	packet.flow.entry_port = 443;
	packet.flags = flags;
	return packet;
}

static double time_packets(dy_flow_router_t *router, unsigned count,
			   unsigned first, unsigned services, unsigned flags)
{
	uint8_t bytes[34] = { 0 };
	double from = now_us();
	dy_packet_t packet;
	unsigned i;

	for (i = 0; i < count; i++) {
		packet = make_packet(first + i % KNOWN_FLOWS, services, flags);
		dy_flow_router_receive_packet(router, &packet, bytes,
					      sizeof(bytes), 1000);
	}
	return (now_us() - from) / count;
}

static void add_known_flows(dy_flow_router_t *router, unsigned flows,
			    unsigned services)
{
	dy_flow_held_t held = { 0 };
	unsigned i;

	held.open = 1;
	held.load.slots = 4;
	for (i = 0; i < flows; i++) {
		held.flow = make_packet(i, services, 0).flow;
		held.agent = agent_address(i % services);
		dy_flow_router_receive_held(router, &held, 1000);
	}
}

static void measure(unsigned targets, unsigned services)
{
	dy_metrics_t *metrics = dy_metrics_create();
	size_t before = heap_bytes();
	dy_flow_router_t *router = create_router(metrics, targets, services);
	size_t table_bytes = heap_bytes() - before;
	size_t flow_bytes;
	double open_us;
	double search_us;
	double known_us;

	open_us = time_packets(router, NEW_FLOWS, 0, services, DY_PACKET_SYN);
	search_us = time_packets(router, NEW_FLOWS, KNOWN_FLOWS, services,
				 DY_PACKET_ACK);
	before = heap_bytes();
	add_known_flows(router, KNOWN_FLOWS, services);
	flow_bytes = heap_bytes() - before;
	known_us =
		time_packets(router, KNOWN_PACKETS, 0, services, DY_PACKET_ACK);
	printf("flow_table targets=%u services=%u bytes_a_target=%.0f "
	       "bytes_a_flow=%.0f opening_us=%.2f search_us=%.2f known_us=%.2f\n",
	       targets, services, (double)table_bytes / targets,
	       (double)flow_bytes / (double)(KNOWN_FLOWS - NEW_FLOWS), open_us,
	       search_us, known_us);
	dy_flow_router_destroy(router);
	dy_metrics_destroy(metrics);
}

int main(void)
{
	dy_log_configure(DY_LOG_ERROR, NULL);
	measure(10, 2);
	measure(52, 2);
	measure(18334, 5667);
	return forwards ? EXIT_SUCCESS : EXIT_FAILURE;
}
