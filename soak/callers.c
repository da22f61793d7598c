#include "soak.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A caller's times, in ms, as the platform's pages give them. */
#define OPEN_MS 1400
#define RETRANSMIT_MS 200
#define DEADLINE_MS 2500

/* An open flow is only said to be reset wrongly if all was calm so long. */
#define CALM_MS 6000

/* Requests that a run may make; a few hundred a second at most. */
#define REQUESTS_MAX 200000

typedef enum stage { STAGE_NONE, STAGE_OPENING, STAGE_OPEN } stage_t;

typedef struct caller {
	int number;
	int service; /* of the entry that it calls */
	int unsafe;
	uv_udp_t udp;
	stage_t stage;
	dy_flow_id_t flow;
	unsigned ports;
	unsigned copies;
	uint32_t seq;
	uint32_t ack;
	uint64_t stage_ms;
	uint64_t sent_ms;
	uint64_t wait_ms; /* until the next retransmission */
	unsigned request; /* 0: none is waiting */
	uint64_t request_ms;
	uint64_t next_ms;
} caller_t;

static caller_t callers[CALLERS + 1];

/* What is known of a request, by its id. */
static struct {
	uint8_t runs;
	uint8_t unsafe;
	uint8_t service;
} requests[REQUESTS_MAX];

static unsigned last_request;

static void send_packet(caller_t *caller, unsigned marks, uint32_t ack,
			const char *data)
{
	uint8_t bytes[PACKET_MAX];
	size_t len = packet_make(bytes, &caller->flow, 1, marks, caller->seq,
				 ack, data);

	caller->sent_ms = soak_now_ms();
	fabric_send(&caller->udp, bytes, len, &caller->flow);
}

static void open_flow(caller_t *caller)
{
	caller->stage = STAGE_OPENING;
	caller->stage_ms = soak_now_ms();
	caller->copies = 0;
	caller->flow.caller_port = 1024 + caller->ports++ % 60000;
	caller->seq = g_rand_int(soak.rand) & 0x7fffffff;
	send_packet(caller, DY_PACKET_SYN, 0, "");
}

static void send_request(caller_t *caller)
{
	char data[16];

	g_snprintf(data, sizeof(data), "%u", caller->request);
	send_packet(caller, DY_PACKET_ACK, caller->ack, data);
}

/* The flow is over. An unsafe request is not sent again, a safe one is. */
static void end_flow(caller_t *caller)
{
	caller->stage = STAGE_NONE;
	if (caller->request && caller->unsafe)
		caller->request = 0;
	caller->next_ms = soak_now_ms() + 20;
}

void callers_ran(unsigned id, int service)
{
	if (!id || id > last_request) {
		soak_break("a request ran that nobody sent", "id=%u", id);
		return;
	}
	if (requests[id].service != service)
		soak_break("a request ran at another service", "id=%u", id);
	if (requests[id].runs++ && requests[id].unsafe)
		soak_break("an unsafe request ran twice", "id=%u", id);
}

static void check_reset(const caller_t *caller)
{
	int number = target_of_flow(&caller->flow);
	uint64_t now = soak_now_ms();

	if (number < 0 || now - target_disturbed_ms(number) < CALM_MS ||
	    now - faults_unplanned_ms() < CALM_MS)
		return;
	soak_break("an open flow was reset while its target serves",
		   "caller=%d port=%u target=%d", caller->number,
		   caller->flow.caller_port, number);
}

static void take_answer(caller_t *caller, const dy_packet_t *packet,
			const char *data)
{
	unsigned id = 0;
	int service = -1;

	if (sscanf(data, "%u %d", &id, &service) != 2 ||
	    service != caller->service || id > last_request) {
		soak_break("an answer of another came", "caller=%d data=%s",
			   caller->number, data);
		return;
	}
	caller->ack = packet->seq + 1;
	if (id != caller->request)
		return; /* a copy of an earlier answer */
	caller->request = 0;
	caller->seq++;
	soak.answered++;
	if (soak.quiet)
		soak.served_since_quiet[service]++;
	caller->next_ms =
		soak_now_ms() + (uint64_t)g_rand_int_range(soak.rand, 20, 200);
	if (g_rand_int_range(soak.rand, 0, 30) == 0) {
		send_packet(caller, DY_PACKET_ACK | DY_PACKET_FIN, caller->ack,
			    "");
		end_flow(caller);
	}
}

static void on_packet(uv_udp_t *udp, ssize_t len, const uv_buf_t *buf,
		      const struct sockaddr *from, unsigned flags)
{
	caller_t *caller = udp->data;
	char data[64] = "";
	dy_packet_t packet;

	(void)flags;
	if (!from)
		return;
	if (platform_packet_load((uint8_t *)buf->base, (size_t)len,
				 PLATFORM_FROM_TARGET, &packet)) {
		soak_break("bytes came that are no packet", "len=%zd", len);
		return;
	}
	if (!dy_flow_id_equal(&packet.flow, &caller->flow) ||
	    caller->stage == STAGE_NONE)
		return;
	if (packet.flags & DY_PACKET_RST) {
		soak.resets++;
		if (caller->stage == STAGE_OPEN)
			check_reset(caller);
		end_flow(caller);
	} else if (packet.flags & DY_PACKET_SYN) {
		if (caller->stage == STAGE_OPEN)
			return;
		caller->stage = STAGE_OPEN;
		caller->stage_ms = soak_now_ms();
		caller->ack = packet.seq + 1;
		caller->seq++;
		send_packet(caller, DY_PACKET_ACK, caller->ack, "");
		caller->next_ms = soak_now_ms();
	} else if (packet.data_bytes) {
		memcpy(data, buf->base + PLATFORM_HEADER_BYTES,
		       MIN(packet.data_bytes, sizeof(data) - 1));
		take_answer(caller, &packet, data);
	}
}

static void tick_opening(caller_t *caller, uint64_t now)
{
	static const uint64_t copies_ms[] = { 200, 600 };

	if (now - caller->stage_ms >= OPEN_MS) {
		end_flow(caller);
	} else if (caller->copies < 2 &&
		   now - caller->stage_ms >= copies_ms[caller->copies]) {
		caller->copies++;
		send_packet(caller, DY_PACKET_SYN, caller->copies, "");
	}
}

static void begin_request(caller_t *caller, uint64_t now)
{
	if (!caller->request) {
		if (last_request + 1 >= REQUESTS_MAX)
			return;
		caller->request = ++last_request;
		requests[last_request].unsafe = (uint8_t)caller->unsafe;
		requests[last_request].service = (uint8_t)caller->service;
		soak.requests++;
	}
	caller->request_ms = now;
	caller->wait_ms = RETRANSMIT_MS;
	send_request(caller);
}

static void tick_open(caller_t *caller, uint64_t now)
{
	if (now < caller->next_ms)
		return;
	if (!caller->request || caller->request_ms < caller->stage_ms) {
		begin_request(caller, now);
	} else if (now - caller->request_ms >= DEADLINE_MS) {
		end_flow(caller);
	} else if (now - caller->sent_ms >= caller->wait_ms) {
		caller->wait_ms = MIN(caller->wait_ms * 2, 1600);
		send_request(caller);
	}
}

void callers_tick(void)
{
	uint64_t now = soak_now_ms();
	caller_t *caller;
	int i;

	for (i = 1; i <= CALLERS; i++) {
		caller = &callers[i];
		if (caller->stage == STAGE_OPENING)
			tick_opening(caller, now);
		else if (caller->stage == STAGE_OPEN)
			tick_open(caller, now);
		else if (now >= caller->next_ms)
			open_flow(caller);
	}
}

void callers_create(void)
{
	caller_t *caller;
	int i;

	for (i = 1; i <= CALLERS; i++) {
		caller = &callers[i];
		caller->number = i;
		caller->service = i % 4 == 0;
		caller->unsafe = i % 2;
		caller->flow.caller_ip = 127u << 24 | soak.net << 16 |
					 (unsigned)NET_CALLER << 8 |
					 (unsigned)i;
		caller->flow.entry_ip = ENTRY_IP + (unsigned)caller->service;
		caller->flow.entry_port = ENTRY_PORT;
		udp_open(&caller->udp, NET_CALLER, i, PORT_PACKETS, on_packet,
			 caller);
	}
}
