#include "soak.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Heartbeat interval. While a target serves, its heartbeats are all that the
 * system is told of it.
 */
#define HEARTBEAT_INTERVAL_MS 1000

/*
 * Documented time limit of a drain: no opening reaches the target later than
 * this after the acknowledgement. The target leaves 1 s after the limit.
 */
#define DRAIN_TIMEOUT_MS 3000

typedef struct flow {
	dy_flow_id_t id; /* the key */
	uint32_t seq;
	int established;
	unsigned last_request_id; /* the last one that ran */
	char last_answer[64];
} flow_t;

typedef struct target {
	int number;
	int service;
	uv_udp_t udp;
	uv_tcp_t *health; /* health port; closes each connection */
	int alive;
	int draining;
	uint64_t restart_at_ms;
	uint64_t drain_acked_ms;
	uint64_t leave_at_ms;
	uint64_t last_heartbeat_ms;
	uint64_t heartbeats_delayed_until_ms;
	uint64_t last_disruption_ms;
	uint64_t started_ms;
	unsigned starts;
	unsigned sequence;
	unsigned sent_sequence;
	int sent_draining; /* state in the heartbeat in flight */
	int heartbeat_in_flight;
	GHashTable *flows;
} target_t;

static target_t targets[TARGETS_MAX + 1];

static void send_packet(target_t *target, const uint8_t *bytes, size_t len)
{
	struct sockaddr_in to;

	soak_address(NET_AGENT, target->number, PORT_OUTBOUND, &to);
	udp_send(&target->udp, bytes, len, &to);
}

static void send_reply(target_t *target, const flow_t *flow, unsigned flags,
		       const dy_packet_t *request, const char *data)
{
	uint8_t bytes[PACKET_MAX];
	size_t len = packet_make(bytes, &flow->id, 0, flags, flow->seq,
				 request->seq + 1, data);

	send_packet(target, bytes, len);
}

/* Return a packet of an unknown flow: set the bounce flag, keep the tag. */
static void bounce_packet(target_t *target, uint8_t *bytes, size_t len)
{
	bytes[8] |= 2;
	memset(bytes + 9, 0, 3);
	send_packet(target, bytes, len);
}

static void receive_opening(target_t *target, const dy_packet_t *packet)
{
	flow_t *flow = g_hash_table_lookup(target->flows, &packet->flow);

	if (target->drain_acked_ms &&
	    soak_now_ms() - target->drain_acked_ms > DRAIN_TIMEOUT_MS)
		soak_report_violation("an opening reached a drained target",
				      "target=%d", target->number);
	if (!flow) {
		evacuations_check_opening(target->number);
		soak.openings++;
		flow = g_new0(flow_t, 1);
		flow->id = packet->flow;
		flow->seq = g_rand_int(soak.rand) & 0x7fffffff;
		g_hash_table_insert(target->flows, &flow->id, flow);
	}
	send_reply(target, flow, DY_PACKET_SYN | DY_PACKET_ACK, packet, "");
}

static void receive_request(target_t *target, flow_t *flow,
			    const dy_packet_t *packet, const char *data)
{
	unsigned id = (unsigned)strtoul(data, NULL, 10);

	/* A delayed duplicate of a request before the last one. */
	if (id < flow->last_request_id)
		return;
	if (flow->last_request_id != id) {
		callers_check_run(id, target->service);
		flow->last_request_id = id;
		g_snprintf(flow->last_answer, sizeof(flow->last_answer),
			   "%u %d", id, target->service);
	}
	send_reply(target, flow, DY_PACKET_ACK, packet, flow->last_answer);
}

static void on_packet(uv_udp_t *udp, ssize_t len, const uv_buf_t *buf,
		      const struct sockaddr *from, unsigned flags)
{
	target_t *target = udp->data;
	char data[64] = "";
	dy_packet_t packet;
	flow_t *flow;

	(void)flags;
	if (!from || !target->alive ||
	    platform_packet_load((uint8_t *)buf->base, (size_t)len,
				 PLATFORM_FROM_CALLER, &packet))
		return;
	if (packet.flags & DY_PACKET_SYN) {
		receive_opening(target, &packet);
		return;
	}
	flow = g_hash_table_lookup(target->flows, &packet.flow);
	if (!flow) {
		bounce_packet(target, (uint8_t *)buf->base, (size_t)len);
		return;
	}
	if (!flow->established && packet.ack != flow->seq + 1)
		return;
	flow->established = 1;
	memcpy(data, buf->base + PLATFORM_HEADER_BYTES,
	       MIN(packet.data_bytes, sizeof(data) - 1));
	if (packet.flags & DY_PACKET_FIN) {
		send_reply(target, flow, DY_PACKET_ACK | DY_PACKET_FIN, &packet,
			   "");
		g_hash_table_remove(target->flows, &packet.flow);
	} else if (packet.data_bytes) {
		receive_request(target, flow, &packet, data);
	}
}

static void on_heartbeat_answer(void *context, int status, const char *body,
				const char *location)
{
	target_t *target = context;

	(void)body;
	(void)location;
	target->heartbeat_in_flight = 0;
	if (status == 200 && target->sent_draining && target->draining &&
	    !target->drain_acked_ms &&
	    target->sent_sequence == target->sequence) {
		target->drain_acked_ms = soak_now_ms();
		target->leave_at_ms = soak_now_ms() + DRAIN_TIMEOUT_MS + 1000;
	}
}

static void send_heartbeat(target_t *target)
{
	struct sockaddr_in to;
	char path[64];
	char *body;

	soak_address(NET_AGENT, target->number, PORT_CONTROL, &to);
	g_snprintf(path, sizeof(path), "/-/instances/i-%d-%u", target->number,
		   target->starts);
	body = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"d\","
		"\"version\":\"v1\",\"slots\":1,\"state\":\"%s\","
		"\"warmupLeftMs\":0,\"seq\":%u,\"born\":%lu}",
		service_names[target->service],
		soak_ip(NET_AGENT, target->number), soak.base_port + PORT_APP,
		target->draining ? "draining" : "ready", ++target->sequence,
		(unsigned long)target->started_ms);
	target->sent_sequence = target->sequence;
	target->sent_draining = target->draining;
	target->heartbeat_in_flight = 1;
	target->last_heartbeat_ms = soak_now_ms();
	http_call(&to, "PUT", path, body, on_heartbeat_answer, target);
	g_free(body);
}

static void on_leave_answer(void *context, int status, const char *body,
			    const char *location)
{
	(void)context;
	(void)status;
	(void)body;
	(void)location;
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void on_connection(uv_stream_t *health, int status)
{
	uv_tcp_t *connection = g_new0(uv_tcp_t, 1);

	uv_tcp_init(soak.loop, connection);
	if (!status)
		uv_accept(health, (uv_stream_t *)connection);
	uv_close((uv_handle_t *)connection, on_closed);
}

static void listen_health(target_t *target)
{
	struct sockaddr_in at;

	soak_address(NET_AGENT, target->number, PORT_APP, &at);
	target->health = g_new0(uv_tcp_t, 1);
	uv_tcp_init(soak.loop, target->health);
	if (uv_tcp_bind(target->health, (struct sockaddr *)&at, 0) ||
	    uv_listen((uv_stream_t *)target->health, 16, on_connection))
		g_error("soak: an address is in use; try again");
}

static void start_target(target_t *target)
{
	g_hash_table_remove_all(target->flows);
	listen_health(target);
	target->alive = 1;
	target->draining = 0;
	target->drain_acked_ms = 0;
	target->leave_at_ms = 0;
	target->restart_at_ms = 0;
	target->sequence = 0;
	target->starts++;
	target->started_ms = (uint64_t)(g_get_real_time() / 1000);
	target->last_heartbeat_ms = 0;
	target->last_disruption_ms = soak_now_ms();
}

void target_crash(int number, uint64_t restart_delay_ms)
{
	target_t *target = &targets[number];

	target->last_disruption_ms = soak_now_ms();
	target->restart_at_ms = soak_now_ms() + restart_delay_ms;
	if (!target->alive)
		return;
	target->alive = 0;
	uv_close((uv_handle_t *)target->health, on_closed);
}

void target_replace(int number)
{
	target_t *target = &targets[number];

	if (!target->alive || target->draining)
		return;
	target->draining = 1;
	target->last_heartbeat_ms = 0;
}

void target_delay_heartbeats(int number, uint64_t duration_ms)
{
	targets[number].heartbeats_delayed_until_ms =
		soak_now_ms() + duration_ms;
}

static void remove_target(target_t *target)
{
	struct sockaddr_in to;
	char path[64];

	soak_address(NET_AGENT, target->number, PORT_CONTROL, &to);
	g_snprintf(path, sizeof(path), "/-/instances/i-%d-%u", target->number,
		   target->starts);
	http_call(&to, "DELETE", path, NULL, on_leave_answer, NULL);
	target_crash(target->number, 500);
}

void targets_tick(void)
{
	uint64_t now = soak_now_ms();
	target_t *target;
	int i;

	for (i = 1; i <= soak.targets; i++) {
		target = &targets[i];
		if (!target->alive) {
			if (target->restart_at_ms &&
			    now >= target->restart_at_ms)
				start_target(target);
			continue;
		}
		if (target->leave_at_ms && now >= target->leave_at_ms)
			remove_target(target);
		else if (!target->heartbeat_in_flight &&
			 now >= target->heartbeats_delayed_until_ms &&
			 now - target->last_heartbeat_ms >=
				 HEARTBEAT_INTERVAL_MS)
			send_heartbeat(target);
	}
}

int target_of_flow(const dy_flow_id_t *flow)
{
	const flow_t *candidate;
	int i;

	for (i = 1; i <= soak.targets; i++) {
		candidate = g_hash_table_lookup(targets[i].flows, flow);
		if (targets[i].alive && candidate && candidate->established)
			return i;
	}
	return -1;
}

uint64_t target_last_disruption_ms(int number)
{
	return targets[number].last_disruption_ms;
}

void targets_create(void)
{
	target_t *target;
	int i;

	for (i = 1; i <= soak.targets; i++) {
		target = &targets[i];
		target->number = i;
		target->service = service_of(i);
		target->flows = g_hash_table_new_full(dy_flow_id_table_hash,
						      dy_flow_id_table_equal,
						      NULL, g_free);
		udp_open(&target->udp, NET_AGENT, i, PORT_APP, on_packet,
			 target);
		start_target(target);
	}
}
