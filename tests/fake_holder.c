#include "fake_holder.h"

#include <string.h>

#include <check.h>
#include <glib.h>

#include "damaskyard/address.h"

fake_holder_t fake_holder;

static void to_target(void *context, uint8_t *bytes, size_t len, uint32_t tag)
{
	(void)context;
	(void)bytes;
	(void)len;
	fake_holder.sent_to_target++;
	fake_holder.last_tag = tag;
}

static void to_caller(void *context, const dy_flow_id_t *flow,
		      const uint8_t *bytes, size_t len)
{
	(void)context;
	(void)flow;
	(void)bytes;
	(void)len;
	fake_holder.sent_to_callers++;
}

static void pass_on(void *context, dy_flow_forward_t *forward)
{
	(void)context;
	fake_holder.passed_on++;
	fake_holder.forward = *forward;
}

static void held(void *context, const dy_address_t *balancer,
		 dy_flow_held_t *message)
{
	(void)context;
	(void)balancer;
	fake_holder.held_count++;
	fake_holder.held = *message;
}

static void nowhere(void *context, const dy_address_t *balancer,
		    dy_flow_nowhere_t *message)
{
	(void)context;
	(void)balancer;
	fake_holder.nowhere_count++;
	fake_holder.nowhere = *message;
}

static void grant(void *context, const dy_address_t *balancer,
		  dy_flow_grant_t *message)
{
	(void)context;
	fake_holder.grant_count++;
	fake_holder.grant = *message;
	fake_holder.grant_balancer = *balancer;
}

static void report(void *context, const dy_address_t *balancer,
		   dy_flow_report_t *message)
{
	(void)context;
	(void)balancer;
	fake_holder.report_count++;
	fake_holder.report = *message;
}

static void changed(void *context)
{
	(void)context;
	fake_holder.change_count++;
}

static void check_target(void *context)
{
	(void)context;
	fake_holder.port_checks++;
}

static const dy_flow_holder_callbacks_t callbacks = {
	.to_target = to_target,
	.to_caller = to_caller,
	.pass_on = pass_on,
	.held = held,
	.nowhere = nowhere,
	.grant = grant,
	.report = report,
	.changed = changed,
	.check_port = check_target,
};

dy_address_t fake_holder_address(unsigned number, uint16_t port)
{
	dy_address_t address;

	dy_address_set_ipv4(&address, 0x0a000000u + number, port);
	return address;
}

dy_target_notice_t fake_holder_notice(uint64_t sequence,
				      dy_target_state_t state)
{
	dy_target_notice_t notice = { 0 };

	g_strlcpy(notice.id, "t1", sizeof(notice.id));
	g_strlcpy(notice.service, FAKE_HOLDER_SERVICE, sizeof(notice.service));
	notice.address = fake_holder_address(FAKE_HOLDER_SELF, 8080);
	notice.slots = FAKE_HOLDER_SLOTS;
	notice.cold_ms = fake_holder.cold_ms;
	notice.sequence = sequence;
	notice.started_ms = 5000;
	notice.state = state;
	return notice;
}

int fake_holder_announce(uint64_t sequence, dy_target_state_t state)
{
	dy_target_notice_t notice = fake_holder_notice(sequence, state);

	return dy_flow_holder_receive_notice(fake_holder.holder, &notice,
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

void fake_holder_refuse_port(void)
{
	dy_flow_holder_port_checked(fake_holder.holder, DY_PORT_REFUSED,
				    fake_holder.now_ms);
}

void fake_holder_begin(void)
{
	fake_holder_create();
	fake_holder_refuse_port();
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
	dy_packet_t packet = { 0 };

	packet.flow.caller_ip = 0x64400001u;
	packet.flow.caller_port = 1024 + flow;
	packet.flow.entry_ip = 0xc6120001u;
	packet.flow.entry_port = 443;
	packet.flags = marks;
	packet.seq = seq;
	packet.ack = ack;
	packet.retransmits = marks & DY_PACKET_SYN ? ack : 0;
	packet.data_bytes = data;
	return packet;
}

void fake_holder_send_forward(const char *service, const dy_packet_t *packet,
			      unsigned tries)
{
	static dy_address_t list[2];
	dy_flow_forward_t forward = { 0 };

	list[0] = fake_holder_address(FAKE_HOLDER_SELF, 7002);
	list[1] = fake_holder_address(2, 7002);
	forward.service = (char *)service;
	forward.cold_openings = fake_holder.cold_openings;
	forward.wait = fake_holder.wait;
	forward.standing = fake_holder.standing;
	forward.balancer = fake_holder_address(100, 7001);
	forward.tell = 1;
	forward.certain = 1;
	forward.complete = 1;
	forward.window = 1;
	forward.tries.tries_val = list;
	forward.tries.tries_len = tries;
	forward.packet.packet_val = (char *)fake_holder.bytes;
	forward.packet.packet_len = sizeof(fake_holder.bytes);
	dy_flow_holder_receive_forward(fake_holder.holder, &forward, packet,
				       fake_holder.now_ms);
}

void fake_holder_from_caller(unsigned flow, unsigned marks, uint32_t ack,
			     uint16_t data)
{
	dy_packet_t packet = fake_holder_packet(flow, marks, 1, ack, data);

	fake_holder_send_forward(FAKE_HOLDER_SERVICE, &packet, 2);
}

void fake_holder_from_target(unsigned flow, unsigned marks, uint32_t seq,
			     uint16_t data)
{
	dy_packet_t packet = fake_holder_packet(flow, marks, seq, 2, data);

	dy_flow_holder_receive_packet(
		fake_holder.holder, &packet, fake_holder.bytes,
		sizeof(fake_holder.bytes), fake_holder.now_ms);
}

void fake_holder_bounce(unsigned flow, unsigned marks, uint32_t tag)
{
	dy_packet_t packet =
		fake_holder_packet(flow, marks | DY_PACKET_BOUNCED, 1, 2, 0);

	packet.tag = tag;
	dy_flow_holder_receive_packet(
		fake_holder.holder, &packet, fake_holder.bytes,
		sizeof(fake_holder.bytes), fake_holder.now_ms);
}

void fake_holder_open_flow(unsigned flow)
{
	fake_holder_from_caller(flow, DY_PACKET_SYN, 0, 0);
	fake_holder_from_target(flow, DY_PACKET_SYN | DY_PACKET_ACK, 500, 0);
	fake_holder_from_caller(flow, DY_PACKET_ACK, 501, 0);
}
