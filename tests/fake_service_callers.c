/* The callers of a simulated service. */

#include <math.h>

#include "fake_service_private.h"

#define CALLER_IP 0x64400001u
#define FIRST_PORT 1024u
#define TRIES_MAX 3
#define DEADLINE_US (FAKE_SERVICE_DEADLINE_MS * US_PER_MS)
#define AIM_US (FAKE_SERVICE_AIM_MS * US_PER_MS)

/* Pause between two tries, in us. */
#define PAUSE_MIN_US 30000u
#define PAUSE_MAX_US 100000u

/* Times after the first SYN at which it is retransmitted, in us. */
#define SYN_COPY_1_US 200000u
#define SYN_COPY_2_US 600000u

/*
 * Longest step of the arrivals, in us. The process has no memory, so that a
 * step without an arrival changes nothing but lets a new rate take effect.
 */
#define STEP_MAX_US 10000u

static void begin_try(void *context, void *argument);

static void send_packet(fake_service_t *service, const try_t *try,
			unsigned flags, uint32_t seq, uint32_t ack,
			uint16_t data)
{
	dy_packet_t packet = { 0 };

	packet.flow = try->flow;
	packet.flags = flags;
	packet.seq = seq;
	packet.ack = ack;
	packet.data_bytes = data;
	if (flags & DY_PACKET_SYN)
		packet.retransmits = try->syns - 1;
	members_send_packet(service, try->balancer, &packet);
}

static void send_syn(void *context, void *argument)
{
	fake_service_t *service = context;
	try_t *try = argument;

	if (try->over || try->open)
		return;
	try->syns++;
	send_packet(service, try, DY_PACKET_SYN, 1, 0, 0);
}

static void end_request(fake_service_t *service, const request_t *request)
{
	service_window(service, request)->failed++;
}

/* Ends a try without an answer. */
static void end_try(fake_service_t *service, try_t *try)
{
	request_t *request = try->request;

	try->over = 1;
	if (!request->tries_left) {
		end_request(service, request);
		return;
	}
	service_add(service,
		    (uint64_t)g_rand_int_range(service->random, PAUSE_MIN_US,
					       PAUSE_MAX_US),
		    begin_try, request);
}

static void leave_try(void *context, void *argument)
{
	fake_service_t *service = context;
	try_t *try = argument;

	if (try->over)
		return;
	if (try->open)
		service_window(service, try->request)->unanswered_tries++;
	else
		service_window(service, try->request)->silent_tries++;
	end_try(service, try);
}

static try_t *create_try(fake_service_t *service, request_t *request)
{
	try_t *try = g_new0(try_t, 1);

	try->request = request;
	try->flow.caller_ip = CALLER_IP + request->caller;
	try->flow.caller_port = FIRST_PORT + service->ports[request->caller]++;
	try->flow.entry_ip = ENTRY_IP;
	try->flow.entry_port = ENTRY_PORT + request->kind;
	try->balancer = (unsigned)g_rand_int_range(
		service->random, 0, (gint32)service->settings.balancers);
	g_hash_table_insert(service->tries, &try->flow, try);
	return try;
}

static void begin_try(void *context, void *argument)
{
	fake_service_t *service = context;
	request_t *request = argument;
	uint64_t end_us = request->asked_us + DEADLINE_US;
	uint64_t now_us = heap_now(service->heap);
	uint64_t lasts_us;
	try_t *try;

	if (now_us >= end_us) {
		end_request(service, request);
		return;
	}
	lasts_us = (end_us - now_us) / request->tries_left--;
	try = create_try(service, request);
	send_syn(service, try);
	service_add(service, SYN_COPY_1_US, send_syn, try);
	service_add(service, SYN_COPY_2_US, send_syn, try);
	service_add(service, lasts_us, leave_try, try);
}

static void receive_answer(fake_service_t *service, try_t *try,
			   const dy_packet_t *packet)
{
	const request_t *request = try->request;
	fake_service_result_t *result = service_window(service, request);

	try->over = 1;
	if (heap_now(service->heap) - request->asked_us <= AIM_US)
		result->in_aim++;
	else
		result->late++;
	send_packet(service, try, DY_PACKET_ACK | DY_PACKET_FIN, packet->ack,
		    packet->seq + packet->data_bytes, 0);
}

void callers_receive(fake_service_t *service, const dy_packet_t *packet)
{
	try_t *try = g_hash_table_lookup(service->tries, &packet->flow);

	if (!try || try->over)
		return;
	if (packet->flags & DY_PACKET_RST)
		end_try(service, try);
	else if (packet->flags & DY_PACKET_SYN && !try->open) {
		try->open = 1;
		send_packet(service, try, DY_PACKET_ACK, 2, packet->seq + 1,
			    200);
	} else if (packet->data_bytes)
		receive_answer(service, try, packet);
}

static void issue(fake_service_t *service, unsigned kind)
{
	request_t *request = g_new0(request_t, 1);

	request->kind = kind;
	request->asked_us = heap_now(service->heap);
	request->tries_left = TRIES_MAX;
	if (g_rand_double(service->random) >= service->hot_part)
		request->caller = (unsigned)g_rand_int_range(
			service->random, 0, (gint32)service->settings.callers);
	g_ptr_array_add(service->requests, request);
	service_window(service, request)->asked++;
	begin_try(service, request);
}

static void arrive(fake_service_t *service, unsigned kind,
		   event_cb_t *with_request, event_cb_t *without)
{
	double slots =
		(double)service->settings.targets * service->settings.slots;
	double rate = service->load[kind] * slots / service_work_us(kind);
	double after_us =
		rate > 0 ? -log(1 - g_rand_double(service->random)) / rate
			 : STEP_MAX_US;

	if (after_us < STEP_MAX_US)
		service_add(service, (uint64_t)after_us, with_request,
			    GUINT_TO_POINTER(kind));
	else
		service_add(service, STEP_MAX_US, without,
			    GUINT_TO_POINTER(kind));
}

static void on_arrival(void *context, void *argument);

static void on_step(void *context, void *argument)
{
	arrive(context, GPOINTER_TO_UINT(argument), on_arrival, on_step);
}

static void on_arrival(void *context, void *argument)
{
	issue(context, GPOINTER_TO_UINT(argument));
	on_step(context, argument);
}

void callers_start(fake_service_t *service)
{
	unsigned kind;

	for (kind = 0; kind < FAKE_SERVICE_KINDS; kind++)
		on_step(service, GUINT_TO_POINTER(kind));
}
