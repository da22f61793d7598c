#include "fake_holder.h"

#include <string.h>

#include <check.h>
#include <glib.h>

#include "damaskyard/address.h"

fake_holder_t fake_holder;

static void to_target(void *context, uint8_t *bytes, size_t len, uint32_t note)
{
	(void)context;
	(void)bytes;
	(void)len;
	fake_holder.given++;
	fake_holder.note = note;
}

static void to_caller(void *context, const dy_flow_id_t *flow,
		      const uint8_t *bytes, size_t len)
{
	(void)context;
	(void)flow;
	(void)bytes;
	(void)len;
	fake_holder.answers++;
}

static void pass_on(void *context, dy_flow_forward_t *forward)
{
	(void)context;
	fake_holder.passed++;
	fake_holder.forward = *forward;
}

static void held(void *context, const dy_address_t *balancer,
		 dy_flow_held_t *message)
{
	(void)context;
	(void)balancer;
	fake_holder.helds++;
	fake_holder.held = *message;
}

static void nowhere(void *context, const dy_address_t *balancer,
		    dy_flow_nowhere_t *message)
{
	(void)context;
	(void)balancer;
	fake_holder.nowheres++;
	fake_holder.nowhere = *message;
}

static void report(void *context, const dy_address_t *balancer,
		   dy_flow_report_t *message)
{
	(void)context;
	(void)balancer;
	fake_holder.reports++;
	fake_holder.report = *message;
}

static void changed(void *context)
{
	(void)context;
	fake_holder.changes++;
}

static void check_target(void *context)
{
	(void)context;
	fake_holder.checks++;
}

static const dy_flow_holder_callbacks_t callbacks = {
	to_target, to_caller, pass_on, held,
	nowhere,   report,    changed, check_target,
};

dy_address_t fake_holder_address(unsigned number, uint16_t port)
{
	dy_address_t made;

	dy_address_set_ipv4(&made, 0x0a000000u + number, port);
	return made;
}

dy_target_notice_t fake_holder_notice(uint64_t sequence,
				      dy_target_state_t state)
{
	dy_target_notice_t made = { 0 };

	g_strlcpy(made.id, "t1", sizeof(made.id));
	g_strlcpy(made.service, FAKE_HOLDER_SERVICE, sizeof(made.service));
	made.address = fake_holder_address(FAKE_HOLDER_SELF, 8080);
	made.slots = FAKE_HOLDER_SLOTS;
	made.cold_ms = fake_holder.cold_ms;
	made.sequence = sequence;
	made.born_ms = 5000;
	made.state = state;
	return made;
}

int fake_holder_announce(uint64_t sequence, dy_target_state_t state)
{
	dy_target_notice_t made = fake_holder_notice(sequence, state);

	return dy_flow_holder_receive_notice(fake_holder.holder, &made,
					     fake_holder.now_ms);
}

void fake_holder_create(void)
{
	dy_flow_holder_config_t config = { 0 };

	memset(&fake_holder, 0, sizeof(fake_holder));
	fake_holder.now_ms = 100000;
	fake_holder.metrics = dy_metrics_create();
	config.self = fake_holder_address(FAKE_HOLDER_SELF, 7002);
	config.service = FAKE_HOLDER_SERVICE;
	config.target = fake_holder_address(FAKE_HOLDER_SELF, 8080);
	config.cold_overshoot = FAKE_HOLDER_COLD_OVERSHOOT;
	config.cold_slack = FAKE_HOLDER_COLD_SLACK;
	config.metrics = fake_holder.metrics;
	config.callbacks = &callbacks;
	fake_holder.holder = dy_flow_holder_create(&config);
}

void fake_holder_begin(void)
{
	fake_holder_create();
	ck_assert(fake_holder_announce(1, DY_TARGET_READY));
}

void fake_holder_end(void)
{
	dy_flow_holder_destroy(fake_holder.holder);
	dy_metrics_destroy(fake_holder.metrics);
}

dy_packet_t fake_holder_packet(unsigned flow, unsigned marks, uint32_t seq,
			       uint32_t ack, uint16_t data)
{
	dy_packet_t made = { 0 };

	made.flow.caller_ip = 0x64400001u;
	made.flow.caller_port = 1024 + flow;
	made.flow.entry_ip = 0xc6120001u;
	made.flow.entry_port = 443;
	made.flags = marks;
	made.seq = seq;
	made.ack = ack;
	made.retransmits = marks & DY_PACKET_SYN ? ack : 0;
	made.data_bytes = data;
	return made;
}

void fake_holder_forward_for(const char *service, const dy_packet_t *made,
			     unsigned tries)
{
	static dy_address_t list[2];
	dy_flow_forward_t forward = { 0 };

	list[0] = fake_holder_address(FAKE_HOLDER_SELF, 7002);
	list[1] = fake_holder_address(2, 7002);
	forward.service = (char *)service;
	forward.cold_openings = fake_holder.cold_openings;
	forward.balancer = fake_holder_address(100, 7001);
	forward.tell = 1;
	forward.certain = 1;
	forward.complete = 1;
	forward.window = 1;
	forward.tries.tries_val = list;
	forward.tries.tries_len = tries;
	forward.packet.packet_val = (char *)fake_holder.bytes;
	forward.packet.packet_len = sizeof(fake_holder.bytes);
	dy_flow_holder_receive_forward(fake_holder.holder, &forward, made,
				       fake_holder.now_ms);
}

void fake_holder_from_caller(unsigned flow, unsigned marks, uint32_t ack,
			     uint16_t data)
{
	dy_packet_t made = fake_holder_packet(flow, marks, 1, ack, data);

	fake_holder_forward_for(FAKE_HOLDER_SERVICE, &made, 2);
}

void fake_holder_from_target(unsigned flow, unsigned marks, uint32_t seq,
			     uint16_t data)
{
	dy_packet_t made = fake_holder_packet(flow, marks, seq, 2, data);

	dy_flow_holder_receive_packet(
		fake_holder.holder, &made, fake_holder.bytes,
		sizeof(fake_holder.bytes), fake_holder.now_ms);
}

void fake_holder_give_back(unsigned flow, unsigned marks, uint32_t note)
{
	dy_packet_t made =
		fake_holder_packet(flow, marks | DY_PACKET_BOUNCED, 1, 2, 0);

	made.tag = note;
	dy_flow_holder_receive_packet(
		fake_holder.holder, &made, fake_holder.bytes,
		sizeof(fake_holder.bytes), fake_holder.now_ms);
}

void fake_holder_open_flow(unsigned flow)
{
	fake_holder_from_caller(flow, DY_PACKET_SYN, 0, 0);
	fake_holder_from_target(flow, DY_PACKET_SYN | DY_PACKET_ACK, 500, 0);
	fake_holder_from_caller(flow, DY_PACKET_ACK, 501, 0);
}
