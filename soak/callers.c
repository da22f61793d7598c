#include "soak.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Timeouts of a caller, as the platform documents them. */
#define OPEN_TIMEOUT_MS 1400
#define RETRANSMIT_INITIAL_MS 200
#define REQUEST_TIMEOUT_MS 2500

/* Time for which a fault of a target or its agent excuses a reset. */
#define UNDISTURBED_MS 6000

/*
 * Pause of a caller within a flow: its balancer sends the agent nothing for
 * longer than an agent's reports last.
 */
#define PAUSE_MIN_MS 3000
#define PAUSE_MAX_MS 7000

/* Capacity for the requests of a run, a few hundred per second at most. */
#define REQUESTS_MAX 200000

typedef enum flow_state { FLOW_CLOSED, FLOW_OPENING, FLOW_OPEN } flow_state_t;

typedef struct caller {
	int number;
	int service; /* index of the service that it calls */
	int unsafe;  /* its requests must not run twice */
	uv_udp_t udp;
	flow_state_t state;
	dy_flow_id_t flow;
	unsigned ports_used;
	unsigned syn_retransmits;
	uint32_t seq;
	uint32_t ack;
	uint64_t state_since_ms;
	uint64_t last_sent_ms;
	uint64_t retransmit_ms; /* wait before the next retransmission */
	unsigned request_id;	/* 0: none is outstanding */
	uint64_t request_sent_ms;
	uint64_t next_action_ms;
} caller_t;

static caller_t callers[CALLERS_MAX + 1];

/* Requests by id. */
static struct {
	uint8_t runs;
	uint8_t unsafe;
	uint8_t service;
} requests[REQUESTS_MAX];

static unsigned last_request;

static void send_packet(caller_t *caller, unsigned flags, uint32_t ack,
			const char *data)
{
	uint8_t bytes[PACKET_MAX];
	size_t len = packet_make(bytes, &caller->flow, 1, flags, caller->seq,
				 ack, data);

	caller->last_sent_ms = soak_now_ms();
	fabric_send(&caller->udp, bytes, len, &caller->flow);
}

static void open_flow(caller_t *caller)
{
	caller->state = FLOW_OPENING;
	caller->state_since_ms = soak_now_ms();
	caller->syn_retransmits = 0;
	caller->flow.caller_port = 1024 + caller->ports_used++ % 60000;
	caller->seq = g_rand_int(soak.rand) & 0x7fffffff;
	send_packet(caller, DY_PACKET_SYN, 0, "");
}

static void send_request(caller_t *caller)
{
	char data[16];

	g_snprintf(data, sizeof(data), "%u", caller->request_id);
	send_packet(caller, DY_PACKET_ACK, caller->ack, data);
}

/* Close the flow. A safe request is resent on the next one, an unsafe not. */
static void end_flow(caller_t *caller)
{
	caller->state = FLOW_CLOSED;
	if (caller->request_id && caller->unsafe)
		caller->request_id = 0;
	caller->next_action_ms = soak_now_ms() + 20;
}

void callers_check_run(unsigned id, int service)
{
	if (!id || id > last_request) {
		soak_report_violation("a request ran that nobody sent", "id=%u",
				      id);
		return;
	}
	if (requests[id].service != service)
		soak_report_violation("a request ran at another service",
				      "id=%u", id);
	if (requests[id].runs++ && requests[id].unsafe)
		soak_report_violation("an unsafe request ran twice", "id=%u",
				      id);
}

/*
 * A reset is excused by what happened to the flow's own target or to the agent
 * beside it. Stops as planned excuse none, nor does anything elsewhere.
 */
static void check_reset(const caller_t *caller)
{
	int number = target_of_flow(&caller->flow);
	uint64_t now = soak_now_ms();

	if (number < 0 ||
	    now - target_last_disruption_ms(number) < UNDISTURBED_MS ||
	    now - process_of_agent(number)->last_fault_ms < UNDISTURBED_MS)
		return;
	soak_report_violation("an open flow was reset while its target serves",
			      "caller=%d port=%u target=%d", caller->number,
			      caller->flow.caller_port, number);
}

/* In the shape "outage" every second caller is silent for seconds at a time. */
static uint64_t draw_pause_ms(const caller_t *caller)
{
	if (soak.shape == SHAPE_OUTAGE && caller->number / DOMAINS % 2)
		return (uint64_t)g_rand_int_range(soak.rand, PAUSE_MIN_MS,
						  PAUSE_MAX_MS);
	return (uint64_t)g_rand_int_range(soak.rand, 20, 200);
}

static void receive_answer(caller_t *caller, const dy_packet_t *packet,
			   const char *data)
{
	unsigned id = 0;
	int service = -1;

	if (sscanf(data, "%u %d", &id, &service) != 2 ||
	    service != caller->service || id > last_request) {
		soak_report_violation("an answer of another came",
				      "caller=%d data=%s", caller->number,
				      data);
		return;
	}
	caller->ack = packet->seq + 1;
	if (id != caller->request_id)
		return; /* duplicate of an earlier answer */
	caller->request_id = 0;
	caller->seq++;
	soak.answered++;
	if (soak.recovering)
		soak.answered_in_recovery[service]++;
	caller->next_action_ms = soak_now_ms() + draw_pause_ms(caller);
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
		soak_report_violation("bytes came that are no packet",
				      "len=%zd", len);
		return;
	}
	if (!dy_flow_id_equal(&packet.flow, &caller->flow) ||
	    caller->state == FLOW_CLOSED)
		return;
	if (packet.flags & DY_PACKET_RST) {
		soak.resets++;
		if (caller->state == FLOW_OPEN)
			check_reset(caller);
		end_flow(caller);
	} else if (packet.flags & DY_PACKET_SYN) {
		if (caller->state == FLOW_OPEN)
			return;
		caller->state = FLOW_OPEN;
		caller->state_since_ms = soak_now_ms();
		caller->ack = packet.seq + 1;
		caller->seq++;
		send_packet(caller, DY_PACKET_ACK, caller->ack, "");
		caller->next_action_ms = soak_now_ms();
	} else if (packet.data_bytes) {
		memcpy(data, buf->base + PLATFORM_HEADER_BYTES,
		       MIN(packet.data_bytes, sizeof(data) - 1));
		receive_answer(caller, &packet, data);
	}
}

static void tick_opening(caller_t *caller, uint64_t now)
{
	static const uint64_t retransmits_ms[] = { 200, 600 };

	if (now - caller->state_since_ms >= OPEN_TIMEOUT_MS) {
		end_flow(caller);
	} else if (caller->syn_retransmits < 2 &&
		   now - caller->state_since_ms >=
			   retransmits_ms[caller->syn_retransmits]) {
		caller->syn_retransmits++;
		send_packet(caller, DY_PACKET_SYN, caller->syn_retransmits, "");
	}
}

static void start_request(caller_t *caller, uint64_t now)
{
	if (!caller->request_id) {
		if (last_request + 1 >= REQUESTS_MAX)
			return;
		caller->request_id = ++last_request;
		requests[last_request].unsafe = (uint8_t)caller->unsafe;
		requests[last_request].service = (uint8_t)caller->service;
		soak.requests++;
	}
	caller->request_sent_ms = now;
	caller->retransmit_ms = RETRANSMIT_INITIAL_MS;
	send_request(caller);
}

static void tick_open(caller_t *caller, uint64_t now)
{
	if (now < caller->next_action_ms)
		return;
	if (!caller->request_id ||
	    caller->request_sent_ms < caller->state_since_ms) {
		start_request(caller, now);
	} else if (now - caller->request_sent_ms >= REQUEST_TIMEOUT_MS) {
		end_flow(caller);
	} else if (now - caller->last_sent_ms >= caller->retransmit_ms) {
		caller->retransmit_ms = MIN(caller->retransmit_ms * 2, 1600);
		send_request(caller);
	}
}

void callers_tick(void)
{
	uint64_t now = soak_now_ms();
	caller_t *caller;
	int i;

	for (i = 1; i <= soak.callers; i++) {
		caller = &callers[i];
		if (caller->state == FLOW_OPENING)
			tick_opening(caller, now);
		else if (caller->state == FLOW_OPEN)
			tick_open(caller, now);
		else if (now >= caller->next_action_ms)
			open_flow(caller);
	}
}

void callers_create(void)
{
	caller_t *caller;
	int i;

	for (i = 1; i <= soak.callers; i++) {
		caller = &callers[i];
		caller->number = i;
		caller->service = service_of(i);
		caller->unsafe = i % 2;
		caller->flow.caller_ip = 127u << 24 | soak.net_octet << 16 |
					 (unsigned)NET_CALLER << 8 |
					 (unsigned)i;
		caller->flow.entry_ip = ENTRY_IP + (unsigned)caller->service;
		caller->flow.entry_port =
			caller->unsafe ? ENTRY_PORT_UNSAFE : ENTRY_PORT;
		udp_open(&caller->udp, NET_CALLER, i, PORT_PACKETS, on_packet,
			 caller);
	}
}
