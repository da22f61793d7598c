/*
 * The balancer of packet flows: sockets, subscription to the controls,
 * readiness, and shutdown.
 */

#include <string.h>

#include "command.h"
#include "damaskyard/document_pack.h"
#include "damaskyard/flow_router.h"
#include "damaskyard/http.h"
#include "damaskyard/isolation.h"
#include "damaskyard/log.h"
#include "flow_member.h"
#include "link_sender.h"
#include "platform/calls.h"
#include "platform/configuration.h"
#include "platform/packet.h"

/*
 * Time to live of a majority's confirmation, in ms; without one the balancer
 * is not ready, and the fabric sends new flows elsewhere. Otherwise a replaced
 * document could open flows that are no longer allowed. Five poll intervals,
 * and longer than an election.
 */
#define CONFIRMATION_TIMEOUT_MS 2500

/* Interval of the checks of readiness, isolation, idle flows and the stop. */
#define TICK_INTERVAL_MS DY_ISOLATION_TICK_MS

/*
 * A planned stop, times in ms. The balancer is not ready from its start. The
 * fabric checks readiness twice a second and acts on the second refusal, so
 * packets stop within STOP_MIN_MS. The stop then ends once no packet has come
 * for STOP_IDLE_MS and none waits for the link.
 */
#define STOP_MIN_MS 1500
#define STOP_IDLE_MS 400

/* Limit of HTTP bodies; the readiness call has none. */
#define BODY_MAX_BYTES 1024

typedef struct flow_balancer {
	flow_member_t member;
	dy_flow_router_t *router;
	dy_endpoint_t *packets;
	link_sender_t *sender;
	uv_timer_t *search_timer; /* runs while searches do */
	dy_http_server_t *http;
	dy_isolation_t isolation;
	platform_configuration_loader_t *loader;
	int caught_up;
	int has_document;
	int ready;
	uint64_t stop_started_ms; /* 0: not stopping */
	uint64_t last_packet_ms;  /* of a caller */
	uint64_t *malformed;
	uint64_t *unready_packets;
	uint64_t *documents;
	uint64_t *documents_whole;
	uint64_t *entries_parsed;
} flow_balancer_t;

static uint64_t now_ms(const flow_balancer_t *balancer)
{
	return dy_loop_now_ms(balancer->member.loop);
}

static void send_forward(void *context, dy_flow_forward_t *forward,
			 const dy_packet_t *packet)
{
	flow_balancer_t *balancer = context;

	dy_isolation_record_sent(&balancer->isolation);
	link_sender_send(balancer->sender, forward, packet);
}

static int is_waiting(void *context, const dy_flow_id_t *flow)
{
	flow_balancer_t *balancer = context;

	return link_sender_has(balancer->sender, flow);
}

static void send_reset(void *context, const dy_flow_id_t *flow, uint32_t seq)
{
	flow_balancer_t *balancer = context;
	uint8_t bytes[PLATFORM_HEADER_BYTES];
	dy_address_t caller;

	platform_packet_write_reset(bytes, flow, seq);
	dy_address_set_ipv4(&caller, flow->caller_ip,
			    (uint16_t)balancer->member.settings.packets.port);
	dy_endpoint_send_to(balancer->packets, bytes, sizeof(bytes), &caller);
}

static void confirm_members(void *context)
{
	flow_balancer_t *balancer = context;

	dy_subscriber_poll_early(balancer->member.subscriber);
}

static void request_report(void *context, const dy_address_t *agent)
{
	flow_balancer_t *balancer = context;
	dy_flow_ask_t ask = { 0 };

	ask.balancer = balancer->member.settings.inner;
	flow_member_send(&balancer->member, agent, DY_FLOW_AGENT_PROGRAM,
			 DY_FLOW_ASK, (xdrproc_t)xdr_dy_flow_ask_t, &ask);
}

static void reserve(void *context, const dy_address_t *agent, uint32_t standing)
{
	flow_balancer_t *balancer = context;
	dy_flow_reserve_t reserve = { balancer->member.settings.inner,
				      standing };

	flow_member_send(&balancer->member, agent, DY_FLOW_AGENT_PROGRAM,
			 DY_FLOW_RESERVE, (xdrproc_t)xdr_dy_flow_reserve_t,
			 &reserve);
}

static void decline(void *context, const dy_address_t *agent)
{
	flow_balancer_t *balancer = context;
	dy_flow_ask_t ask = { balancer->member.settings.inner };

	flow_member_send(&balancer->member, agent, DY_FLOW_AGENT_PROGRAM,
			 DY_FLOW_DECLINE, (xdrproc_t)xdr_dy_flow_ask_t, &ask);
}

static uint64_t wall_ms(void *context)
{
	(void)context;
	return (uint64_t)(g_get_real_time() / 1000);
}

static void inquire(void *context, const dy_address_t *witness,
		    const dy_address_t *agent)
{
	flow_balancer_t *balancer = context;
	dy_flow_inquiry_t inquiry = { balancer->member.settings.inner, *agent };

	flow_member_send(&balancer->member, witness, DY_FLOW_AGENT_PROGRAM,
			 DY_FLOW_INQUIRY, (xdrproc_t)xdr_dy_flow_inquiry_t,
			 &inquiry);
}

static const dy_flow_router_callbacks_t router_callbacks = {
	.forward = send_forward,
	.is_waiting = is_waiting,
	.reset = send_reset,
	.confirm_members = confirm_members,
	.request_report = request_report,
	.reserve = reserve,
	.decline = decline,
	.wall_ms = wall_ms,
	.inquire = inquire,
};

static void on_search_timer(uv_timer_t *timer)
{
	flow_balancer_t *balancer = timer->data;

	if (!dy_flow_router_serve_searches(balancer->router, now_ms(balancer)))
		uv_timer_stop(timer);
}

static void update_search_timer(flow_balancer_t *balancer)
{
	uv_timer_t *timer = balancer->search_timer;

	if (dy_flow_router_searches(balancer->router) &&
	    !uv_is_active((uv_handle_t *)timer))
		uv_timer_start(timer, on_search_timer,
			       DY_FLOW_SEARCH_INTERVAL_MS,
			       DY_FLOW_SEARCH_INTERVAL_MS);
}

static void create_search_timer(flow_balancer_t *balancer)
{
	balancer->search_timer = g_new0(uv_timer_t, 1);
	uv_timer_init(dy_loop_uv(balancer->member.loop),
		      balancer->search_timer);
	balancer->search_timer->data = balancer;
}

static void on_timer_closed(uv_handle_t *timer)
{
	g_free(timer);
}

static void destroy_search_timer(flow_balancer_t *balancer)
{
	if (balancer->search_timer)
		uv_close((uv_handle_t *)balancer->search_timer,
			 on_timer_closed);
}

static void on_packet(void *context, uint8_t *bytes, size_t len,
		      const struct sockaddr *from, int truncated)
{
	flow_balancer_t *balancer = context;
	dy_packet_t packet;

	(void)from;
	if (truncated ||
	    platform_packet_load(bytes, len, PLATFORM_FROM_CALLER, &packet)) {
		++*balancer->malformed;
		return;
	}
	if (packet.data_bytes)
		platform_packet_find_request_id(bytes, &packet);
	balancer->last_packet_ms = now_ms(balancer);
	/*
	 * Before the first state arrives no target is known, and packets that
	 * other balancers can serve would be refused. They are dropped; the
	 * caller's retransmission finds this balancer ready, or another one.
	 */
	if (!balancer->has_document || !balancer->caught_up) {
		++*balancer->unready_packets;
		return;
	}
	dy_flow_router_receive_packet(balancer->router, &packet, bytes, len,
				      balancer->last_packet_ms);
	update_search_timer(balancer);
}

static void receive_held(flow_balancer_t *balancer, const dy_sealed_t *message)
{
	dy_flow_held_t held = { 0 };

	if (dy_sealed_load_in_place(message, (xdrproc_t)xdr_dy_flow_held_t,
				    &held))
		dy_flow_router_receive_held(balancer->router, &held,
					    now_ms(balancer));
}

static void receive_nowhere(flow_balancer_t *balancer,
			    const dy_sealed_t *message)
{
	static char packet_buf[DY_PACKET_BYTES];
	dy_flow_nowhere_t nowhere = { 0 };
	dy_packet_t packet;

	nowhere.packet.packet_val = packet_buf;
	if (!dy_sealed_load_in_place(message, (xdrproc_t)xdr_dy_flow_nowhere_t,
				     &nowhere) ||
	    platform_packet_load((uint8_t *)packet_buf,
				 nowhere.packet.packet_len,
				 PLATFORM_FROM_CALLER, &packet))
		return;
	dy_flow_router_receive_nowhere(balancer->router, &nowhere, &packet,
				       now_ms(balancer));
	update_search_timer(balancer);
}

static void receive_report(flow_balancer_t *balancer,
			   const dy_sealed_t *message)
{
	dy_flow_report_t report = { 0 };

	if (dy_sealed_load_in_place(message, (xdrproc_t)xdr_dy_flow_report_t,
				    &report))
		dy_flow_router_receive_report(balancer->router, &report,
					      now_ms(balancer));
}

static void receive_grant(flow_balancer_t *balancer, const dy_sealed_t *message)
{
	dy_flow_grant_t grant = { 0 };

	if (dy_sealed_load_in_place(message, (xdrproc_t)xdr_dy_flow_grant_t,
				    &grant))
		dy_flow_router_receive_grant(balancer->router, &grant,
					     now_ms(balancer));
}

static void receive_finding(flow_balancer_t *balancer,
			    const dy_sealed_t *message)
{
	dy_flow_finding_t finding = { 0 };

	if (dy_sealed_load_in_place(message, (xdrproc_t)xdr_dy_flow_finding_t,
				    &finding))
		dy_flow_router_receive_finding(balancer->router, &finding,
					       now_ms(balancer));
}

static void on_message(void *context, uint8_t *bytes, size_t len,
		       const struct sockaddr *from, int truncated)
{
	flow_balancer_t *balancer = context;
	dy_sealed_t message;

	(void)from;
	if (truncated || dy_seal_open(balancer->member.seal, bytes, len,
				      &message) != DY_SEAL_OK)
		return;
	dy_isolation_record_received(&balancer->isolation);
	if (dy_subscriber_receive(balancer->member.subscriber, &message) ||
	    message.program != DY_FLOW_BALANCER_PROGRAM)
		return;
	if (message.procedure == DY_FLOW_HELD)
		receive_held(balancer, &message);
	else if (message.procedure == DY_FLOW_NOWHERE)
		receive_nowhere(balancer, &message);
	else if (message.procedure == DY_FLOW_REPORT)
		receive_report(balancer, &message);
	else if (message.procedure == DY_FLOW_GRANT)
		receive_grant(balancer, &message);
	else if (message.procedure == DY_FLOW_FINDING)
		receive_finding(balancer, &message);
}

static void on_request(void *context, dy_http_exchange_t *exchange,
		       const dy_http_request_t *request)
{
	flow_balancer_t *balancer = context;
	const char *id;

	flow_member_answer(exchange, platform_call_find(request, &id),
			   balancer->ready);
}

static void update_ready(flow_balancer_t *balancer)
{
	uint64_t age_ms =
		dy_subscriber_confirmation_age_ms(balancer->member.subscriber);
	int cut_off = dy_isolation_is_cut_off(&balancer->isolation);
	int confirmed = age_ms < CONFIRMATION_TIMEOUT_MS;
	int ready = confirmed && balancer->caught_up &&
		    balancer->has_document && !cut_off &&
		    !balancer->stop_started_ms;

	if (ready == balancer->ready)
		return;
	balancer->ready = ready;
	dy_log_event(DY_LOG_INFO, ready ? "ready" : "not_ready",
		     "confirmed=%d caught_up=%d document=%d cut_off=%d "
		     "stopping=%d",
		     confirmed, balancer->caught_up, balancer->has_document,
		     cut_off, !!balancer->stop_started_ms);
}

/* Returns the rules of a packed document, or NULL with a log line. */
static dy_flow_rules_t *load_document(flow_balancer_t *balancer,
				      const dy_document_info_t *info,
				      const uint8_t *bytes, size_t len)
{
	gint64 start_us = g_get_monotonic_time();
	GByteArray *plain = dy_document_unpack(bytes, len, DY_DOCUMENT_BYTES);
	dy_flow_rules_t *rules = NULL;
	GError *error = NULL;
	platform_load_t load;

	if (plain) {
		rules = platform_configuration_loader_load(
			balancer->loader, plain->data, plain->len, &load,
			&error);
		g_byte_array_unref(plain);
	}
	if (!rules) {
		dy_log_event(DY_LOG_ERROR, "document_refused",
			     "number=%lu error=%s", (unsigned long)info->number,
			     error ? dy_log_quote(error->message) : "damaged");
		g_clear_error(&error);
		return NULL;
	}
	++*balancer->documents;
	*balancer->documents_whole += (uint64_t)load.whole;
	*balancer->entries_parsed += load.parsed;
	dy_log_event(DY_LOG_INFO, "document_in_force",
		     "number=%lu entries=%u parsed=%u whole=%d ms=%ld",
		     (unsigned long)info->number, dy_flow_rules_count(rules),
		     load.parsed, load.whole,
		     (long)(g_get_monotonic_time() - start_us) / 1000);
	return rules;
}

static void on_document(void *context, const dy_document_info_t *info,
			const uint8_t *bytes, size_t len)
{
	flow_balancer_t *balancer = context;
	dy_flow_rules_t *rules = load_document(balancer, info, bytes, len);

	if (!rules)
		return;
	dy_flow_router_set_rules(balancer->router, rules);
	balancer->has_document = 1;
	dy_subscriber_set_document(balancer->member.subscriber, info->number);
	update_ready(balancer);
}

static void on_member(void *context, const dy_member_t *member)
{
	flow_balancer_t *balancer = context;

	dy_flow_router_set_member(balancer->router, member);
}

static void on_domain(void *context, const dy_domain_info_t *domain)
{
	flow_balancer_t *balancer = context;

	dy_log_event(DY_LOG_INFO, "domain_changed", "domain=%s evacuated=%d",
		     dy_log_quote(domain->name), !!domain->evacuated);
	dy_flow_router_set_domain(balancer->router, domain);
}

static void on_caught_up(void *context)
{
	flow_balancer_t *balancer = context;

	balancer->caught_up = 1;
	dy_flow_router_set_members_confirmed(
		balancer->router,
		now_ms(balancer) - dy_subscriber_confirmation_age_ms(
					   balancer->member.subscriber));
	update_ready(balancer);
}

static void begin_stop(void *context)
{
	flow_balancer_t *balancer = context;

	if (balancer->stop_started_ms)
		return;
	balancer->stop_started_ms = now_ms(balancer);
	dy_log_event(DY_LOG_INFO, "stop_begun", "flows=%u",
		     dy_flow_router_count(balancer->router));
	dy_subscriber_set_state(balancer->member.subscriber, DY_MEMBER_DRAINING,
				NULL, 0);
	update_ready(balancer);
}

static void on_refused(void *context, dy_status_t status)
{
	flow_balancer_t *balancer = context;

	if (!balancer->stop_started_ms)
		flow_member_rejoin(&balancer->member, status);
}

static const dy_subscriber_callbacks_t subscriber_callbacks = {
	.document = on_document,
	.member = on_member,
	.domain = on_domain,
	.caught_up = on_caught_up,
	.drain = begin_stop,
	.refused = on_refused,
};

static void end_stop_if_due(flow_balancer_t *balancer)
{
	uint64_t now = now_ms(balancer);
	uint64_t elapsed_ms = now - balancer->stop_started_ms;
	uint64_t limit_ms = flow_member_stop_limit_ms(&balancer->member);

	if (!balancer->stop_started_ms)
		return;
	if (elapsed_ms < limit_ms &&
	    (elapsed_ms < STOP_MIN_MS ||
	     now - balancer->last_packet_ms < STOP_IDLE_MS ||
	     dy_flow_router_waiting(balancer->router) ||
	     !link_sender_is_idle(balancer->sender)))
		return;
	dy_log_event(DY_LOG_INFO, "stop_ended", "ms=%lu",
		     (unsigned long)elapsed_ms);
	dy_loop_end(balancer->member.loop);
}

static void on_tick(void *context)
{
	flow_balancer_t *balancer = context;

	dy_isolation_tick(&balancer->isolation);
	update_ready(balancer);
	dy_flow_router_expire(balancer->router, now_ms(balancer));
	end_stop_if_due(balancer);
}

static gboolean open_sockets(flow_balancer_t *balancer, GError **error)
{
	const dy_flow_settings_t *settings = &balancer->member.settings;
	dy_http_config_t http = { 0 };

	http.listen = settings->ready;
	http.body_max_bytes = BODY_MAX_BYTES;
	http.handle = on_request;
	http.context = balancer;
	balancer->packets =
		dy_endpoint_create(balancer->member.loop, &settings->packets,
				   on_packet, balancer, error);
	if (!balancer->packets)
		return FALSE;
	balancer->sender = link_sender_create(
		&balancer->member, balancer->packets, balancer->router);
	balancer->http = dy_http_server_create(
		balancer->member.loop, balancer->member.metrics, &http, error);
	return balancer->http != NULL;
}

static void create_router(flow_balancer_t *balancer)
{
	dy_flow_router_config_t config = { 0 };
	dy_metrics_t *metrics = balancer->member.metrics;

	config.self = balancer->member.settings.inner;
	config.domain = balancer->member.settings.domain;
	config.link_bytes_per_s = balancer->member.settings.link_bytes_per_s;
	config.wait_at_balancer = balancer->member.settings.wait_at_balancer;
	config.metrics = metrics;
	config.callbacks = &router_callbacks;
	config.context = balancer;
	balancer->router = dy_flow_router_create(&config);
	balancer->malformed = dy_metrics_counter(metrics, "packets_malformed");
	balancer->unready_packets =
		dy_metrics_counter(metrics, "packets_unready");
	balancer->documents = dy_metrics_counter(metrics, "documents");
	balancer->documents_whole =
		dy_metrics_counter(metrics, "documents_parsed_whole");
	balancer->entries_parsed =
		dy_metrics_counter(metrics, "document_entries_parsed");
}

static gboolean run(flow_balancer_t *balancer, GError **error)
{
	gboolean ok;

	dy_isolation_init(&balancer->isolation);
	balancer->loader = platform_configuration_loader_create();
	ok = flow_member_open(&balancer->member, on_message, balancer, error);
	if (ok) {
		create_router(balancer);
		create_search_timer(balancer);
		ok = open_sockets(balancer, error);
	}
	if (ok) {
		flow_member_subscribe(&balancer->member, DY_MEMBER_BALANCER,
				      &subscriber_callbacks);
		dy_loop_on_stop(balancer->member.loop, begin_stop, balancer);
		dy_loop_every(balancer->member.loop, TICK_INTERVAL_MS, on_tick,
			      balancer);
		dy_log_event(DY_LOG_INFO, "started", "name=%s",
			     balancer->member.settings.name);
		dy_loop_run(balancer->member.loop);
	}
	dy_http_server_destroy(balancer->http);
	link_sender_destroy(balancer->sender);
	destroy_search_timer(balancer);
	dy_endpoint_destroy(balancer->packets);
	flow_member_close(&balancer->member);
	dy_flow_router_destroy(balancer->router);
	platform_configuration_loader_destroy(balancer->loader);
	return ok;
}

int dy_command_flow_balancer(int argc, char **argv)
{
	static flow_balancer_t balancer;
	GError *error = NULL;
	int code = flow_member_load(
		&balancer.member, argc, argv, "flow-balancer",
		"Forward packets of flows to agents.", DY_FLOW_BALANCER);

	if (code == DY_EXIT_OK && !run(&balancer, &error))
		code = dy_command_fail_usage("flow-balancer", error);
	flow_member_clear(&balancer.member);
	return code;
}
