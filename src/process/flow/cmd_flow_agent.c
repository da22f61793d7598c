/*
 * The agent of packet flows: sockets, notices of the target, subscription to
 * the controls, and shutdown.
 */

#include <string.h>

#include "agent_ledger.h"
#include "agent_prober.h"
#include "command.h"
#include "damaskyard/flow_holder.h"
#include "damaskyard/flow_targets.h"
#include "damaskyard/http.h"
#include "damaskyard/liveness_port.h"
#include "damaskyard/log.h"
#include "damaskyard/planned_stop.h"
#include "damaskyard/port_check.h"
#include "dy_ledger.h"
#include "flow_member.h"
#include "platform/calls.h"
#include "platform/configuration.h"
#include "platform/heartbeat.h"
#include "platform/packet.h"

/* Interval of the ledger's tick and of the check for the stop's end. */
#define TICK_INTERVAL_MS 50

/*
 * Delay of a planned stop since control learned of it, in ms: one and a half
 * poll intervals, in which balancers learn to choose other agents. It is short
 * because no new flow reaches the target meanwhile.
 */
#define STOP_DELAY_MS 800

/* Limit of a notice. */
#define BODY_MAX_BYTES 16384

typedef struct flow_agent {
	flow_member_t member;
	dy_flow_holder_t *holder;
	dy_endpoint_t *packets;
	dy_endpoint_t *outbound;
	dy_http_server_t *http;
	dy_http_server_t *ready_http;
	dy_port_check_t *port_check;
	agent_ledger_t *ledger;
	agent_prober_t *prober;
	dy_liveness_port_t *liveness;
	dy_planned_stop_t stop;
	dy_log_limit_t refused_limit;
	uint64_t *malformed;
	uint64_t *notices_invalid;
} flow_agent_t;

static uint64_t now_ms(const flow_agent_t *agent)
{
	return dy_loop_now_ms(agent->member.loop);
}

static void send_to_target(void *context, uint8_t *bytes, size_t len,
			   uint32_t tag)
{
	flow_agent_t *agent = context;

	platform_packet_set_tag(bytes, tag);
	dy_endpoint_send_to(agent->outbound, bytes, len,
			    &agent->member.settings.target);
}

static void send_to_caller(void *context, const dy_flow_id_t *flow,
			   const uint8_t *bytes, size_t len)
{
	flow_agent_t *agent = context;
	dy_address_t caller;

	dy_address_set_ipv4(&caller, flow->caller_ip,
			    (uint16_t)agent->member.settings.packets.port);
	dy_endpoint_send_to(agent->packets, bytes, len, &caller);
}

static void send_reset(void *context, const dy_flow_id_t *flow, uint32_t seq)
{
	uint8_t bytes[PLATFORM_HEADER_BYTES];

	platform_packet_write_reset(bytes, flow, seq);
	send_to_caller(context, flow, bytes, sizeof(bytes));
}

static void send_forward(void *context, dy_flow_forward_t *forward)
{
	flow_agent_t *agent = context;

	platform_packet_set_tag((uint8_t *)forward->packet.packet_val, 0);
	flow_member_send(&agent->member,
			 &forward->tries.tries_val[forward->step],
			 DY_FLOW_AGENT_PROGRAM, DY_FLOW_FORWARD,
			 (xdrproc_t)xdr_dy_flow_forward_t, forward);
}

static void send_held(void *context, const dy_address_t *balancer,
		      dy_flow_held_t *held)
{
	flow_agent_t *agent = context;

	flow_member_send(&agent->member, balancer, DY_FLOW_BALANCER_PROGRAM,
			 DY_FLOW_HELD, (xdrproc_t)xdr_dy_flow_held_t, held);
}

static void send_nowhere(void *context, const dy_address_t *balancer,
			 dy_flow_nowhere_t *nowhere)
{
	flow_agent_t *agent = context;

	platform_packet_set_tag((uint8_t *)nowhere->packet.packet_val, 0);
	flow_member_send(&agent->member, balancer, DY_FLOW_BALANCER_PROGRAM,
			 DY_FLOW_NOWHERE, (xdrproc_t)xdr_dy_flow_nowhere_t,
			 nowhere);
}

static void send_report(void *context, const dy_address_t *balancer,
			dy_flow_report_t *report)
{
	flow_agent_t *agent = context;

	flow_member_send(&agent->member, balancer, DY_FLOW_BALANCER_PROGRAM,
			 DY_FLOW_REPORT, (xdrproc_t)xdr_dy_flow_report_t,
			 report);
}

/*
 * While this agent stops, searches for flows of a target that lives must not
 * leave it out: they would find the flows nowhere.
 */
static dy_member_state_t member_state(const flow_agent_t *agent)
{
	if (dy_flow_holder_is_serving(agent->holder))
		return DY_MEMBER_SERVING;
	return agent->stop.begun_ms &&
			       dy_flow_holder_has_target_ended(agent->holder)
		       ? DY_MEMBER_LEFT
		       : DY_MEMBER_DRAINING;
}

/*
 * Announce the service even before the first notice of the target. After a
 * restart of the agent the target may still hold flows, and balancers search
 * for them among the agents of the service. If no process listens at the
 * target's port, there are no flows and the service is not announced: a search
 * that is sent to a VM which then stops would end there.
 */
static void set_announced_service(flow_agent_t *agent)
{
	if (!dy_flow_holder_is_target_gone(agent->holder))
		agent->member.info.service = agent->member.settings.service;
}

static void report_state(flow_agent_t *agent)
{
	dy_subscriber_t *subscriber = agent->member.subscriber;

	if (subscriber)
		dy_subscriber_set_state(subscriber, member_state(agent), NULL,
					0);
}

/* Report the target's slots and whether it accepts flows to the controls. */
static void on_changed(void *context)
{
	flow_agent_t *agent = context;
	flow_member_t *member = &agent->member;

	if (!member->subscriber)
		return;
	set_announced_service(agent);
	member->info.slots = dy_flow_holder_slots(agent->holder);
	dy_subscriber_set_info(member->subscriber, &member->info);
	report_state(agent);
}

static void check_target_port(void *context)
{
	flow_agent_t *agent = context;

	dy_port_check_begin(agent->port_check);
}

static void send_grant(void *context, const dy_address_t *balancer,
		       dy_flow_grant_t *grant)
{
	flow_agent_t *agent = context;

	flow_member_send(&agent->member, balancer, DY_FLOW_BALANCER_PROGRAM,
			 DY_FLOW_GRANT, (xdrproc_t)xdr_dy_flow_grant_t, grant);
}

static const dy_flow_holder_callbacks_t holder_callbacks = {
	.to_target = send_to_target,
	.to_caller = send_to_caller,
	.pass_on = send_forward,
	.held = send_held,
	.nowhere = send_nowhere,
	.grant = send_grant,
	.report = send_report,
	.changed = on_changed,
	.check_port = check_target_port,
};

static void on_outbound(void *context, uint8_t *bytes, size_t len,
			const struct sockaddr *from, int truncated)
{
	flow_agent_t *agent = context;
	dy_packet_t packet;
	int bounced;

	(void)from;
	/* The header of a bounced packet is still the caller's. */
	if (truncated ||
	    platform_packet_load(bytes, len, PLATFORM_FROM_TARGET, &packet)) {
		++*agent->malformed;
		return;
	}
	bounced = !!(packet.flags & DY_PACKET_BOUNCED);
	if (bounced)
		platform_packet_load(bytes, len, PLATFORM_FROM_CALLER, &packet);
	agent_ledger_note_packet(agent->ledger, &packet.flow, bounced);
	dy_flow_holder_receive_packet(agent->holder, &packet, bytes, len,
				      now_ms(agent));
}

/* Answers are sent from this address; nothing sends packets to it. */
static void on_unexpected_datagram(void *context, uint8_t *bytes, size_t len,
				   const struct sockaddr *from, int truncated)
{
	flow_agent_t *agent = context;

	(void)bytes;
	(void)len;
	(void)from;
	(void)truncated;
	++*agent->malformed;
}

static void handle_forward(flow_agent_t *agent, dy_flow_forward_t *forward)
{
	uint8_t *bytes = (uint8_t *)forward->packet.packet_val;
	dy_packet_t packet;

	if (platform_packet_load(bytes, forward->packet.packet_len,
				 PLATFORM_FROM_CALLER, &packet)) {
		++*agent->malformed;
		return;
	}
	if (packet.data_bytes)
		platform_packet_find_request_id(bytes, &packet);
	dy_flow_holder_receive_forward(agent->holder, forward, &packet,
				       now_ms(agent));
}

static void receive_forward(flow_agent_t *agent, const dy_sealed_t *message)
{
	static char packet_buf[DY_PACKET_BYTES];
	static char service_buf[DY_NAME_BYTES + 1];
	static dy_address_t tries_buf[DY_FLOW_TRIES];
	dy_flow_forward_t forward = { 0 };

	forward.service = service_buf;
	forward.packet.packet_val = packet_buf;
	forward.tries.tries_val = tries_buf;
	if (dy_sealed_load_in_place(message, (xdrproc_t)xdr_dy_flow_forward_t,
				    &forward))
		handle_forward(agent, &forward);
	else
		++*agent->malformed;
}

/* Expands a delivery to the forward that it stands for. */
static void receive_delivery(flow_agent_t *agent, const dy_sealed_t *message,
			     const struct sockaddr *from)
{
	static char packet_buf[DY_PACKET_BYTES];
	dy_flow_delivery_t delivery = { 0 };
	dy_flow_forward_t forward = { 0 };
	dy_address_t self = agent->member.settings.inner;

	delivery.packet.packet_val = packet_buf;
	if (!dy_sealed_load_in_place(message, (xdrproc_t)xdr_dy_flow_delivery_t,
				     &delivery)) {
		++*agent->malformed;
		return;
	}
	forward.service = "";
	dy_address_load(&forward.balancer, from);
	forward.certain = 1;
	forward.tries.tries_val = &self;
	forward.tries.tries_len = 1;
	forward.packet.packet_val = packet_buf;
	forward.packet.packet_len = delivery.packet.packet_len;
	forward.order = delivery.order;
	handle_forward(agent, &forward);
}

static void receive_report_request(flow_agent_t *agent,
				   const dy_sealed_t *message)
{
	dy_flow_ask_t ask = { 0 };

	if (dy_sealed_load_in_place(message, (xdrproc_t)xdr_dy_flow_ask_t,
				    &ask))
		dy_flow_holder_subscribe(agent->holder, &ask.balancer,
					 now_ms(agent));
	else
		++*agent->malformed;
}

static void receive_reserve(flow_agent_t *agent, const dy_sealed_t *message)
{
	dy_flow_reserve_t reserve = { 0 };

	if (dy_sealed_load_in_place(message, (xdrproc_t)xdr_dy_flow_reserve_t,
				    &reserve))
		dy_flow_holder_reserve(agent->holder, &reserve, now_ms(agent));
	else
		++*agent->malformed;
}

static void receive_decline(flow_agent_t *agent, const dy_sealed_t *message)
{
	dy_flow_ask_t ask = { 0 };

	if (dy_sealed_load_in_place(message, (xdrproc_t)xdr_dy_flow_ask_t,
				    &ask))
		dy_flow_holder_receive_decline(agent->holder, &ask.balancer,
					       now_ms(agent));
	else
		++*agent->malformed;
}

/* Returns whether message was one about openings, and handles it. */
static int receive_opening_message(flow_agent_t *agent,
				   const dy_sealed_t *message)
{
	if (message->program != DY_FLOW_AGENT_PROGRAM)
		return 0;
	if (message->procedure == DY_FLOW_RESERVE)
		receive_reserve(agent, message);
	else if (message->procedure == DY_FLOW_DECLINE)
		receive_decline(agent, message);
	else
		return 0;
	return 1;
}

static void on_message(void *context, uint8_t *bytes, size_t len,
		       const struct sockaddr *from, int truncated)
{
	flow_agent_t *agent = context;
	dy_sealed_t message;

	if (truncated || dy_seal_open(agent->member.seal, bytes, len,
				      &message) != DY_SEAL_OK)
		return;
	if (agent->member.subscriber &&
	    dy_subscriber_receive(agent->member.subscriber, &message))
		return;
	if (agent_prober_receive(agent->prober, &message) ||
	    receive_opening_message(agent, &message))
		return;
	if (message.program == DY_FLOW_AGENT_PROGRAM &&
	    message.procedure == DY_FLOW_FORWARD)
		receive_forward(agent, &message);
	else if (message.program == DY_FLOW_AGENT_PROGRAM &&
		 message.procedure == DY_FLOW_DELIVERY)
		receive_delivery(agent, &message, from);
	else if (message.program == DY_FLOW_AGENT_PROGRAM &&
		 message.procedure == DY_FLOW_ASK)
		receive_report_request(agent, &message);
	else if (message.program == DY_LEDGER_AGENT_PROGRAM)
		agent_ledger_receive(agent->ledger, &message, from);
}

static void log_invalid_notice(flow_agent_t *agent, const char *id,
			       const GError *error)
{
	const char *event = g_error_matches(error, PLATFORM_ERROR,
					    PLATFORM_ERROR_UNREADABLE)
				    ? "notice_unreadable"
				    : "notice_refused";

	if (dy_log_allow(&agent->refused_limit, event, now_ms(agent)))
		dy_log_event(DY_LOG_WARN, event, "id=%s error=%s",
			     dy_log_quote(id), dy_log_quote(error->message));
}

static void handle_notice(flow_agent_t *agent, dy_http_exchange_t *exchange,
			  const dy_http_request_t *request, const char *id)
{
	uint64_t unix_ms = (uint64_t)(g_get_real_time() / 1000);
	dy_target_notice_t notice;
	GError *error = NULL;

	if (!platform_heartbeat_parse(id, request->body, request->body_len,
				      unix_ms, &notice, &error)) {
		++*agent->notices_invalid;
		log_invalid_notice(agent, id, error);
		g_error_free(error);
		dy_http_answer_status(exchange, 400);
		return;
	}
	dy_http_answer_status(
		exchange, dy_flow_holder_receive_notice(agent->holder, &notice,
							now_ms(agent))
				  ? 200
				  : 400);
}

static void on_request(void *context, dy_http_exchange_t *exchange,
		       const dy_http_request_t *request)
{
	flow_agent_t *agent = context;
	const char *id;
	platform_call_t call = platform_call_find(request, &id);

	switch (call) {
	case PLATFORM_CALL_HEARTBEAT:
		handle_notice(agent, exchange, request, id);
		return;
	case PLATFORM_CALL_LEAVE:
		dy_flow_holder_target_left(agent->holder, id);
		dy_http_answer_status(exchange, 200);
		return;
	default:
		flow_member_answer(exchange, call, !agent->stop.begun_ms);
	}
}

static void subscribe(flow_agent_t *agent);

static void begin_stop(void *context)
{
	flow_agent_t *agent = context;

	if (!dy_planned_stop_begin(&agent->stop, now_ms(agent)))
		return;
	dy_log_event(
		DY_LOG_INFO, "stop_begun", "flows=%u joined=%d target_ended=%d",
		dy_flow_holder_count(agent->holder), !!agent->member.subscriber,
		dy_flow_holder_has_target_ended(agent->holder));
	dy_flow_holder_stop(agent->holder);
	if (agent->member.subscriber)
		report_state(agent);
	else
		subscribe(agent);
	/* A target that ended without a word is found out by its port. */
	dy_port_check_begin(agent->port_check);
}

static void on_refused(void *context, dy_status_t status)
{
	flow_agent_t *agent = context;

	/* Control has another incarnation, or knows that this one ended. */
	if (agent->stop.begun_ms && status == DY_STATUS_SUPERSEDED)
		dy_planned_stop_note_told(&agent->stop, now_ms(agent));
	if (agent->stop.begun_ms || !flow_member_rejoin(&agent->member, status))
		return;
	agent->member.info.service = "";
	on_changed(agent);
}

static void on_domain(void *context, const dy_domain_info_t *domain)
{
	flow_agent_t *agent = context;

	if (strcmp(domain->name, agent->member.settings.domain) != 0)
		return;
	dy_log_event(DY_LOG_INFO, "domain_changed", "domain=%s evacuated=%d",
		     dy_log_quote(domain->name), !!domain->evacuated);
	dy_flow_holder_set_evacuated(agent->holder, domain->evacuated,
				     now_ms(agent));
}

static const dy_subscriber_callbacks_t subscriber_callbacks = {
	.domain = on_domain,
	.drain = begin_stop,
	.refused = on_refused,
};

static void subscribe(flow_agent_t *agent)
{
	flow_member_t *member = &agent->member;

	set_announced_service(agent);
	dy_log_event(DY_LOG_INFO, "joining", "target_there=%d",
		     !dy_flow_holder_is_target_gone(agent->holder));
	flow_member_subscribe(member, DY_MEMBER_AGENT, &subscriber_callbacks);
	report_state(agent);
}

static void on_port_checked(void *context, dy_port_state_t state)
{
	flow_agent_t *agent = context;
	int ended = dy_flow_holder_has_target_ended(agent->holder);

	dy_flow_holder_port_checked(agent->holder, state, now_ms(agent));
	if (!agent->member.subscriber && !agent->stop.begun_ms)
		subscribe(agent);
	else if (agent->stop.begun_ms &&
		 ended != dy_flow_holder_has_target_ended(agent->holder))
		report_state(agent);
}

static void on_report_timer(void *context)
{
	flow_agent_t *agent = context;

	dy_flow_holder_tick(agent->holder, now_ms(agent));
}

static void end_stop_if_due(flow_agent_t *agent)
{
	uint64_t now = now_ms(agent);

	if (!agent->stop.begun_ms)
		return;
	if (dy_subscriber_is_state_confirmed(agent->member.subscriber))
		dy_planned_stop_note_told(&agent->stop, now);
	if (!dy_planned_stop_is_due(&agent->stop, STOP_DELAY_MS,
				    flow_member_stop_limit_ms(&agent->member),
				    now))
		return;
	dy_log_event(DY_LOG_INFO, "stop_ended", "told=%d ms=%lu",
		     !!agent->stop.told_ms,
		     (unsigned long)(now - agent->stop.begun_ms));
	dy_loop_end(agent->member.loop);
}

static void on_tick(void *context)
{
	flow_agent_t *agent = context;

	agent_ledger_tick(agent->ledger);
	agent_prober_tick(agent->prober);
	end_stop_if_due(agent);
}

static dy_http_server_t *open_http(flow_agent_t *agent,
				   const dy_address_t *listen, GError **error)
{
	dy_http_config_t http = { 0 };

	http.listen = *listen;
	http.body_max_bytes = BODY_MAX_BYTES;
	http.handle = on_request;
	http.context = agent;
	return dy_http_server_create(agent->member.loop, agent->member.metrics,
				     &http, error);
}

static gboolean open_sockets(flow_agent_t *agent, GError **error)
{
	const dy_flow_settings_t *settings = &agent->member.settings;
	dy_loop_t *loop = agent->member.loop;

	agent->packets = dy_endpoint_create(
		loop, &settings->packets, on_unexpected_datagram, agent, error);
	if (!agent->packets)
		return FALSE;
	agent->outbound = dy_endpoint_create(loop, &settings->outbound,
					     on_outbound, agent, error);
	if (!agent->outbound)
		return FALSE;
	agent->liveness =
		dy_liveness_port_create(loop, &settings->inner, error);
	if (!agent->liveness)
		return FALSE;
	agent->http = open_http(agent, &settings->control, error);
	if (agent->http && settings->ready.port)
		agent->ready_http = open_http(agent, &settings->ready, error);
	return agent->http && (agent->ready_http || !settings->ready.port);
}

static void create_holder(flow_agent_t *agent)
{
	static const dy_log_limit_t limit = DY_LOG_LIMIT_INIT(5, 10000);
	dy_flow_holder_config_t config = { 0 };

	config.self = agent->member.settings.inner;
	config.service = agent->member.settings.service;
	config.target = agent->member.settings.target;
	config.cold_overshoot = agent->member.settings.cold_overshoot;
	config.cold_slack = agent->member.settings.cold_slack;
	config.metrics = agent->member.metrics;
	config.callbacks = &holder_callbacks;
	config.context = agent;
	agent->holder = dy_flow_holder_create(&config);
	agent->port_check = dy_port_check_create(
		agent->member.loop, &config.target, on_port_checked, agent);
	agent->ledger = agent_ledger_create(&agent->member, agent->holder,
					    send_reset, agent);
	agent->prober = agent_prober_create(&agent->member);
	agent->refused_limit = limit;
	agent->malformed =
		dy_metrics_counter(agent->member.metrics, "packets_malformed");
	agent->notices_invalid =
		dy_metrics_counter(agent->member.metrics, "notices_invalid");
}

static gboolean run(flow_agent_t *agent, GError **error)
{
	gboolean ok;

	ok = flow_member_open(&agent->member, on_message, agent, error);
	if (ok) {
		create_holder(agent);
		ok = open_sockets(agent, error);
	}
	if (ok) {
		dy_port_check_begin(agent->port_check);
		dy_loop_on_stop(agent->member.loop, begin_stop, agent);
		dy_loop_every(agent->member.loop, DY_FLOW_REPORT_INTERVAL_MS,
			      on_report_timer, agent);
		dy_loop_every(agent->member.loop, TICK_INTERVAL_MS, on_tick,
			      agent);
		dy_log_event(DY_LOG_INFO, "started", "name=%s service=%s",
			     agent->member.settings.name,
			     agent->member.settings.service);
		dy_loop_run(agent->member.loop);
	}
	dy_http_server_destroy(agent->http);
	dy_http_server_destroy(agent->ready_http);
	dy_endpoint_destroy(agent->packets);
	dy_endpoint_destroy(agent->outbound);
	dy_liveness_port_destroy(agent->liveness);
	dy_port_check_destroy(agent->port_check);
	agent_ledger_destroy(agent->ledger);
	agent_prober_destroy(agent->prober);
	flow_member_close(&agent->member);
	dy_flow_holder_destroy(agent->holder);
	return ok;
}

int dy_command_flow_agent(int argc, char **argv)
{
	static flow_agent_t agent;
	GError *error = NULL;
	int code = flow_member_load(&agent.member, argc, argv, "flow-agent",
				    "Hold the packet flows of one target, "
				    "beside it.",
				    DY_FLOW_AGENT);

	if (code == DY_EXIT_OK && !run(&agent, &error))
		code = dy_command_fail_usage("flow-agent", error);
	flow_member_clear(&agent.member);
	return code;
}
