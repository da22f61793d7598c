/* The targets of a simulated service. */

#include <string.h>

#include "fake_service_private.h"

/* Requests that wait for a slot at most. */
#define QUEUE_MAX 8

#define NOTICE_INTERVAL_US 1200000u

/* Time of a packet between a target and its agent, in us. */
#define LOCAL_US 50u

/* Distance of the first sequence numbers of two targets. */
#define SEQ_STEP 1000000u

#define ANSWER_BYTES 400

static void packet_at_agent(fake_service_t *service, message_t *message)
{
	dy_flow_holder_receive_packet(
		service->targets[message->to].holder, &message->packet,
		(uint8_t *)&message->packet, sizeof(message->packet),
		service_now_ms(service));
}

static void send_packet(target_t *target, const dy_packet_t *packet)
{
	service_post(target->service, target->number, LOCAL_US, packet_at_agent,
		     packet);
}

static void reply(target_t *target, const dy_flow_id_t *flow, unsigned flags,
		  uint32_t seq, uint16_t data)
{
	dy_packet_t packet = { 0 };

	packet.flow = *flow;
	packet.flags = flags | DY_PACKET_ACK;
	packet.seq = SEQ_STEP * (target->number + 1) + seq;
	packet.ack = 2;
	packet.data_bytes = data;
	send_packet(target, &packet);
}

static void bounce(target_t *target, const dy_packet_t *packet)
{
	dy_packet_t copy = *packet;

	copy.flags |= DY_PACKET_BOUNCED;
	send_packet(target, &copy);
}

static void end_run(fake_service_t *service, message_t *message);

static void run(target_t *target, const dy_packet_t *packet)
{
	fake_service_t *service = target->service;
	double slow = target->condition.slow > 0 ? target->condition.slow : 1;
	uint64_t work_us = service_draw_work(service, packet->flow.entry_port -
							      ENTRY_PORT);

	target->running++;
	service_post(service, target->number,
		     (uint64_t)(slow * (double)work_us), end_run, packet)
		->life = target->life;
}

static void end_run(fake_service_t *service, message_t *message)
{
	target_t *target = &service->targets[message->to];
	dy_packet_t *next;

	if (message->life != target->life)
		return;
	target->running--;
	if (g_rand_double(service->random) >= target->condition.mute)
		reply(target, &message->packet.flow, 0, 1, ANSWER_BYTES);
	next = g_queue_pop_head(&target->waiting);
	if (next)
		run(target, next);
	g_free(next);
}

static int is_full(const target_t *target)
{
	return target->waiting.length >= QUEUE_MAX;
}

static void receive_request(target_t *target, try_t *try,
			    const dy_packet_t *packet)
{
	if (is_full(target)) {
		g_hash_table_remove(target->flows, try);
		bounce(target, packet);
		return;
	}
	if (try->deliveries++)
		service_window(target->service, try->request)->doubled++;
	if (target->running < target->service->settings.slots)
		run(target, packet);
	else
		g_queue_push_tail(&target->waiting,
				  g_memdup2(packet, sizeof(*packet)));
}

void target_receive(target_t *target, const dy_packet_t *packet)
{
	try_t *try = g_hash_table_lookup(target->service->tries, &packet->flow);
	int held = g_hash_table_contains(target->flows, try);

	if (target->condition.dead)
		return;
	if (packet->flags & DY_PACKET_SYN && (held || !is_full(target))) {
		g_hash_table_add(target->flows, try);
		reply(target, &try->flow, DY_PACKET_SYN, 0, 0);
	} else if (!held)
		bounce(target, packet);
	else if (packet->flags & DY_PACKET_FIN) {
		g_hash_table_remove(target->flows, try);
		reply(target, &try->flow, DY_PACKET_FIN, 1 + ANSWER_BYTES, 0);
	} else if (packet->data_bytes)
		receive_request(target, try, packet);
}

static void announce(target_t *target)
{
	fake_service_t *service = target->service;
	uint64_t now_us = heap_now(service->heap);
	dy_target_notice_t notice = { 0 };

	if (target->condition.dead)
		return;
	g_snprintf(notice.id, sizeof(notice.id), "t%u.%u", target->number,
		   target->life);
	g_strlcpy(notice.service, SERVICE_NAME, sizeof(notice.service));
	notice.address = target_agent_address(target->number);
	notice.slots = service->settings.slots;
	notice.sequence = ++target->notices;
	notice.started_ms = target->life;
	notice.state = DY_TARGET_READY;
	if (target->cold_until_us > now_us)
		notice.cold_ms = (uint32_t)((target->cold_until_us - now_us) /
					    US_PER_MS);
	dy_flow_holder_receive_notice(target->holder, &notice,
				      service_now_ms(service));
}

static void on_notice_timer(void *context, void *argument)
{
	announce(argument);
	service_add(context, NOTICE_INTERVAL_US, on_notice_timer, argument);
}

void target_start(target_t *target)
{
	target->life++;
	target->notices = 0;
	announce(target);
}

void target_init(target_t *target, fake_service_t *service, unsigned number)
{
	target->service = service;
	target->number = number;
	target->flows = g_hash_table_new(NULL, NULL);
	g_queue_init(&target->waiting);
	service_add(service,
		    NOTICE_INTERVAL_US + NOTICE_INTERVAL_US * (uint64_t)number /
						 service->settings.targets,
		    on_notice_timer, target);
}

void target_clear(target_t *target)
{
	g_hash_table_destroy(target->flows);
	g_queue_clear_full(&target->waiting, g_free);
}

void fake_service_set_target(fake_service_t *service, unsigned number,
			     const fake_service_condition_t *condition)
{
	target_t *target = &service->targets[number];
	int was_dead = target->condition.dead;

	target->condition = *condition;
	target->cold_until_us = heap_now(service->heap) +
				(uint64_t)condition->cold_ms * US_PER_MS;
	if (condition->dead) {
		target->life++;
		target->running = 0;
		g_queue_clear_full(&target->waiting, g_free);
		g_hash_table_remove_all(target->flows);
	} else if (was_dead)
		target_start(target);
	else
		announce(target);
}
