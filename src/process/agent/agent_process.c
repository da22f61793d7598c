#include "agent_process.h"

#include <string.h>

#include <rpc/rpc.h>

#include "damaskyard/agent.h"
#include "damaskyard/log.h"
#include "damaskyard/loop.h"
#include "damaskyard/seal.h"
#include "damaskyard/settings.h"
#include "damaskyard/status_service.h"
#include "damaskyard/subscriber.h"
#include "command.h"
#include "record_link.h"

/*
 * Duration of the lease that a confirmation by a majority of control gives, in
 * ms. An agent without a lease opens no sessions. Longer than the election of
 * a new leader and the time for members to find it, so that the restart of one
 * control has no effect.
 */
#define CONTROL_LEASE_MS 10000

/* Time for a superseded agent to finish the calls of its target, in ms. */
#define SUPERSEDED_EXIT_DELAY_MS 10000

/* Size of the largest message: a handover of one session of maximum size. */
#define MESSAGE_MAX_BYTES 65000

/* The agent process: the core with its sockets, its loop and control. */
typedef struct agent_process {
	const dy_agent_settings_t *settings;
	dy_secrets_t secrets;
	dy_metrics_t *metrics;
	dy_loop_t *loop;
	dy_seal_t *seal;
	dy_keyring_t *keyring;
	dy_endpoint_t *endpoint;
	dy_endpoint_t *announce;
	dy_subscriber_t *subscriber;
	dy_agent_t *agent;
	record_links_t *links;
	dy_document_t *document;
	char service[DY_NAME_BYTES + 1];
	char labels[DY_LABELS_BYTES + 1];
	int exit_after_drain; /* exit once the agent has left */
	int has_left;	      /* else create a new core at the next tick */
	int must_rejoin;      /* control has recorded the old core's end */
	uint64_t superseded_ms;
	int exit_code;
	uint64_t *truncated;
	uint64_t *unknown;
	uint64_t *announce_refused;
	uint8_t out[MESSAGE_MAX_BYTES];
} agent_process_t;

static void send_message(agent_process_t *process, uint32_t program,
			 uint32_t procedure, xdrproc_t proc, void *value,
			 const dy_address_t *to)
{
	dy_seal_header_t head = { dy_seal_next_xid(process->seal), program,
				  procedure };
	size_t len = dy_seal_write_call(process->seal, &head, proc, value,
					process->out, sizeof(process->out));

	if (len)
		dy_endpoint_send_to(process->endpoint, process->out, len, to);
}

static uint64_t on_now_us(void *context)
{
	agent_process_t *process = context;

	return dy_loop_now_ms(process->loop) * 1000;
}

static void on_answer(void *context, const dy_address_t *to,
		      dy_answer_t *answer)
{
	send_message(context, DY_BALANCER_PROGRAM, DY_BALANCER_ANSWER,
		     (xdrproc_t)xdr_dy_answer_t, answer, to);
}

static void on_bounce(void *context, const dy_address_t *to,
		      dy_bounce_t *bounce)
{
	send_message(context, DY_BALANCER_PROGRAM, DY_BALANCER_BOUNCE,
		     (xdrproc_t)xdr_dy_bounce_t, bounce, to);
}

static void on_relay(void *context, const dy_address_t *to,
		     dy_forward_t *forward)
{
	send_message(context, DY_AGENT_PROGRAM, DY_AGENT_FORWARD,
		     (xdrproc_t)xdr_dy_forward_t, forward, to);
}

static void on_handover(void *context, const dy_address_t *to,
			dy_handover_t *handover)
{
	send_message(context, DY_HANDOVER_PROGRAM, DY_HANDOVER_MOVE,
		     (xdrproc_t)xdr_dy_handover_t, handover, to);
}

static void on_link_open(void *context, unsigned link,
			 const dy_address_t *target)
{
	agent_process_t *process = context;

	record_link_open(process->links, link, target);
}

static void on_link_close(void *context, unsigned link)
{
	agent_process_t *process = context;

	record_link_close(process->links, link);
}

static int on_link_send(void *context, unsigned link, const uint8_t *bytes,
			size_t len)
{
	agent_process_t *process = context;

	return record_link_send(process->links, link, bytes, len);
}

static void on_state(void *context, dy_member_state_t state,
		     const uint64_t *successors, unsigned count)
{
	agent_process_t *process = context;

	/* The old core has left and the new one has not joined control yet. */
	if (process->must_rejoin)
		return;
	dy_subscriber_set_state(process->subscriber, state, successors, count);
}

static void on_info(void *context, const dy_announcement_t *target)
{
	agent_process_t *process = context;
	dy_member_info_t info = { 0 };

	g_strlcpy(process->service, target->service, sizeof(process->service));
	g_strlcpy(process->labels, target->labels, sizeof(process->labels));
	info.kind = DY_MEMBER_AGENT;
	info.name = process->settings->member.name;
	info.environment = process->settings->member.environment;
	info.domain = process->settings->member.domain;
	info.address = *dy_endpoint_address(process->endpoint);
	info.service = process->service;
	info.labels = process->labels;
	info.slots = target->slots;
	info.connections = target->connections;
	if (process->must_rejoin)
		dy_subscriber_rejoin(process->subscriber);
	process->must_rejoin = 0;
	dy_subscriber_set_info(process->subscriber, &info);
}

static void on_left(void *context)
{
	agent_process_t *process = context;

	if (process->exit_after_drain)
		dy_loop_end(process->loop);
	process->has_left = 1;
}

static const dy_agent_callbacks_t agent_callbacks = {
	on_now_us,   on_answer,	   on_bounce,	  on_relay,
	on_handover, on_link_open, on_link_close, on_link_send,
	on_state,    on_info,	   on_left,
};

static void on_link_up(void *context, unsigned link)
{
	agent_process_t *process = context;

	dy_agent_link_up(process->agent, link);
}

static void on_link_down(void *context, unsigned link)
{
	agent_process_t *process = context;

	dy_agent_link_down(process->agent, link);
}

static void on_link_receive(void *context, unsigned link, const uint8_t *bytes,
			    size_t len)
{
	agent_process_t *process = context;

	dy_agent_link_receive(process->agent, link, bytes, len);
}

static const record_link_callbacks_t link_callbacks = { on_link_up,
							on_link_down,
							on_link_receive };

static void on_document(void *context, const dy_document_info_t *info,
			const uint8_t *bytes, size_t len)
{
	agent_process_t *process = context;
	GError *error = NULL;
	dy_document_t *document = dy_document_parse(bytes, len, &error);

	if (!document) {
		dy_log_event(DY_LOG_ERROR, "document_refused",
			     "number=%lu error=%s", (unsigned long)info->number,
			     dy_log_quote(error->message));
		g_error_free(error);
		return;
	}
	dy_document_destroy(process->document);
	process->document = document;
	dy_agent_set_document(process->agent, document);
	dy_subscriber_set_document(process->subscriber, info->number);
	dy_log_event(DY_LOG_INFO, "document_in_force", "number=%lu",
		     (unsigned long)info->number);
}

static void on_member(void *context, const dy_member_t *member)
{
	agent_process_t *process = context;

	dy_agent_update_member(process->agent, member);
}

static void on_key(void *context, const dy_key_info_t *key)
{
	agent_process_t *process = context;

	dy_keyring_apply(process->keyring, key);
}

static void on_granted(void *context, uint64_t incarnation)
{
	agent_process_t *process = context;

	dy_agent_set_incarnation(process->agent, incarnation);
}

static void on_caught_up(void *context)
{
	agent_process_t *process = context;

	dy_agent_caught_up(process->agent);
}

static void on_drain(void *context)
{
	agent_process_t *process = context;

	process->exit_after_drain = 1;
	dy_agent_drain(process->agent, "operator", 0);
}

static void on_refused(void *context, dy_status_t status)
{
	agent_process_t *process = context;

	if (status != DY_STATUS_SUPERSEDED || process->superseded_ms)
		return;
	process->superseded_ms = dy_loop_now_ms(process->loop);
	process->exit_code = DY_EXIT_FAILED;
	dy_agent_supersede(process->agent);
}

static void on_domain(void *context, const dy_domain_info_t *domain)
{
	agent_process_t *process = context;

	if (!strcmp(domain->name, process->settings->member.domain))
		dy_agent_set_evacuated(process->agent, domain->evacuated);
}

static const dy_subscriber_callbacks_t subscriber_callbacks = {
	.document = on_document,
	.member = on_member,
	.key = on_key,
	.domain = on_domain,
	.granted = on_granted,
	.caught_up = on_caught_up,
	.drain = on_drain,
	.refused = on_refused,
};

static void receive_forward(agent_process_t *process,
			    const dy_sealed_t *message,
			    const dy_address_t *from)
{
	static char datagram[DY_DATAGRAM_BYTES];
	dy_forward_t forward = { 0 };

	forward.datagram.datagram_val = datagram;
	if (!dy_sealed_load_in_place(message, (xdrproc_t)xdr_dy_forward_t,
				     &forward)) {
		++*process->unknown;
		return;
	}
	dy_agent_receive_forward(process->agent, from, &forward);
}

static void receive_handover(agent_process_t *process,
			     const dy_sealed_t *message,
			     const dy_address_t *from)
{
	dy_handover_result_t result;
	dy_handover_t handover;

	if (!dy_sealed_load(message, (xdrproc_t)xdr_dy_handover_t, &handover,
			    sizeof(handover))) {
		++*process->unknown;
		return;
	}
	dy_agent_receive_handover(process->agent, &handover, &result);
	send_message(process, DY_HANDOVER_PROGRAM, DY_HANDOVER_TAKEN,
		     (xdrproc_t)xdr_dy_handover_result_t, &result, from);
	xdr_free((xdrproc_t)xdr_dy_handover_result_t, (char *)&result);
	xdr_free((xdrproc_t)xdr_dy_handover_t, (char *)&handover);
}

static void receive_handover_result(agent_process_t *process,
				    const dy_sealed_t *message)
{
	dy_handover_result_t result;

	if (!dy_sealed_load(message, (xdrproc_t)xdr_dy_handover_result_t,
			    &result, sizeof(result))) {
		++*process->unknown;
		return;
	}
	dy_agent_receive_handover_result(process->agent, &result);
	xdr_free((xdrproc_t)xdr_dy_handover_result_t, (char *)&result);
}

static void answer_status(agent_process_t *process, const dy_sealed_t *message,
			  const dy_address_t *from)
{
	size_t len = dy_status_service_answer(process->seal, process->metrics,
					      message, process->out,
					      sizeof(process->out));

	if (len)
		dy_endpoint_send_to(process->endpoint, process->out, len, from);
}

static void receive_call(agent_process_t *process, const dy_sealed_t *message,
			 const dy_address_t *from)
{
	if (message->program == DY_AGENT_PROGRAM &&
	    message->procedure == DY_AGENT_FORWARD)
		receive_forward(process, message, from);
	else if (message->program == DY_HANDOVER_PROGRAM &&
		 message->procedure == DY_HANDOVER_MOVE)
		receive_handover(process, message, from);
	else if (message->program == DY_HANDOVER_PROGRAM &&
		 message->procedure == DY_HANDOVER_TAKEN)
		receive_handover_result(process, message);
	else if (message->program == DY_STATUS_PROGRAM)
		answer_status(process, message, from);
	else
		++*process->unknown;
}

static void on_receive(void *context, uint8_t *bytes, size_t len,
		       const struct sockaddr *from, int truncated)
{
	agent_process_t *process = context;
	dy_sealed_t message;
	dy_address_t address;

	if (truncated) {
		++*process->truncated;
		return;
	}
	if (dy_seal_open(process->seal, bytes, len, &message) != DY_SEAL_OK)
		return;
	dy_address_load(&address, from);
	if (!dy_subscriber_receive(process->subscriber, &message))
		receive_call(process, &message, &address);
}

/* Announcements carry no credential: only local senders are accepted. */
static int is_local_sender(const agent_process_t *process,
			   const dy_address_t *from)
{
	static const uint8_t mapped_loopback[13] = { 0, 0, 0, 0,    0,	  0,  0,
						     0, 0, 0, 0xff, 0xff, 127 };
	static const uint8_t loopback[DY_IP_BYTES] = { [15] = 1 };

	return !memcmp(from->ip, mapped_loopback, sizeof(mapped_loopback)) ||
	       !memcmp(from->ip, loopback, DY_IP_BYTES) ||
	       !memcmp(from->ip, process->settings->announce_address.ip,
		       DY_IP_BYTES) ||
	       !memcmp(from->ip, process->settings->member.listen.ip,
		       DY_IP_BYTES);
}

static size_t answer_announcement(agent_process_t *process,
				  const dy_rpc_call_t *call, uint8_t *body,
				  size_t cap)
{
	dy_announcement_t announcement = { 0 };
	dy_announce_result_t result = { DY_ANNOUNCE_MALFORMED, 0 };
	XDR xdrs;

	xdrmem_create(&xdrs, (char *)call->args, (u_int)call->args_len,
		      XDR_DECODE);
	if (xdr_dy_announcement_t(&xdrs, &announcement))
		dy_agent_receive_announcement(process->agent, &announcement,
					      &result);
	xdr_free((xdrproc_t)xdr_dy_announcement_t, (char *)&announcement);
	if (result.status == DY_ANNOUNCE_OK && process->document &&
	    !dy_agent_service(process->agent))
		dy_agent_set_document(process->agent, process->document);
	xdrmem_create(&xdrs, (char *)body, (u_int)cap, XDR_ENCODE);
	xdr_dy_announce_result_t(&xdrs, &result);
	return xdr_getpos(&xdrs);
}

static void on_announcement(void *context, uint8_t *bytes, size_t len,
			    const struct sockaddr *from, int truncated)
{
	agent_process_t *process = context;
	dy_rpc_reply_t reply = { 0 };
	dy_rpc_call_t call;
	dy_address_t address;
	uint8_t body[16];

	dy_address_load(&address, from);
	if (truncated || !is_local_sender(process, &address) ||
	    dy_rpc_parse_call(bytes, len, &call) ||
	    call.program != DY_ANNOUNCE_PROGRAM ||
	    call.program_version != DY_ANNOUNCE_V1) {
		++*process->announce_refused;
		return;
	}
	reply.xid = call.xid;
	reply.status = call.procedure > DY_ANNOUNCE ? PROC_UNAVAIL : SUCCESS;
	reply.results = body;
	if (call.procedure == DY_ANNOUNCE)
		reply.results_len =
			answer_announcement(process, &call, body, sizeof(body));
	len = dy_rpc_write_reply(&reply, process->out, sizeof(process->out));
	dy_endpoint_send(process->announce, process->out, len, from);
}

static void on_stop(void *context)
{
	agent_process_t *process = context;

	process->exit_after_drain = 1;
	dy_agent_drain(process->agent, "signal", 1);
}

static gboolean open_endpoints(agent_process_t *process, GError **error)
{
	char address[DY_ADDRESS_TEXT_BYTES];
	char announce[DY_ADDRESS_TEXT_BYTES];

	process->endpoint = dy_endpoint_create(
		process->loop, &process->settings->member.listen, on_receive,
		process, error);
	if (!process->endpoint)
		return FALSE;
	process->announce = dy_endpoint_create(
		process->loop, &process->settings->announce_address,
		on_announcement, process, error);
	if (!process->announce)
		return FALSE;
	dy_log_event(DY_LOG_INFO, "agent_listening", "address=%s announce=%s",
		     dy_address_format(dy_endpoint_address(process->endpoint),
				       address),
		     dy_address_format(dy_endpoint_address(process->announce),
				       announce));
	return TRUE;
}

static void create_agent(agent_process_t *process)
{
	dy_agent_config_t config = {
		.name = process->settings->member.name,
		.environment = process->settings->member.environment,
		.domain = process->settings->member.domain,
		.address = *dy_endpoint_address(process->endpoint),
		.keyring = process->keyring,
		.metrics = process->metrics,
		.callbacks = &agent_callbacks,
		.context = process,
	};

	dy_random_fill(&config.seed, sizeof(config.seed));
	process->agent = dy_agent_create(&config);
	process->links =
		record_links_create(dy_loop_uv(process->loop), DY_AGENT_LINKS,
				    &link_callbacks, process);
}

static void destroy_agent(agent_process_t *process)
{
	dy_agent_destroy(process->agent);
	record_links_destroy(process->links);
}

static void create_subscriber(agent_process_t *process)
{
	dy_subscriber_config_t config = {
		.loop = process->loop,
		.endpoint = process->endpoint,
		.seal = process->seal,
		.metrics = process->metrics,
		.controls = &process->settings->member.controls,
		.callbacks = &subscriber_callbacks,
		.context = process,
	};

	process->subscriber = dy_subscriber_create(&config);
}

/*
 * The target has left or was lost, and its sessions are handed over. Its next
 * incarnation, or another target, may bind this agent. The new core gets a new
 * incarnation, so that no state of the old one is mistaken for its own.
 */
static void restart_agent(agent_process_t *process)
{
	destroy_agent(process);
	create_agent(process);
	process->has_left = 0;
	process->must_rejoin = 1;
	dy_log_event(DY_LOG_INFO, "agent_free", "name=%s",
		     process->settings->member.name);
}

static void on_tick(void *context)
{
	agent_process_t *process = context;

	dy_agent_set_lease(process->agent,
			   dy_subscriber_confirmation_age_ms(
				   process->subscriber) < CONTROL_LEASE_MS);
	record_links_tick(process->links);
	dy_agent_tick(process->agent);
	if (process->has_left && !process->exit_after_drain)
		restart_agent(process);
	if (process->superseded_ms &&
	    dy_loop_now_ms(process->loop) - process->superseded_ms >=
		    SUPERSEDED_EXIT_DELAY_MS)
		dy_loop_end(process->loop);
}

static gboolean start(agent_process_t *process, GError **error)
{
	process->metrics = dy_metrics_create();
	process->truncated =
		dy_metrics_counter(process->metrics, "datagrams_truncated");
	process->unknown =
		dy_metrics_counter(process->metrics, "messages_unknown");
	process->announce_refused =
		dy_metrics_counter(process->metrics, "announcements_refused");
	process->loop = dy_loop_create(process->metrics);
	process->seal = dy_seal_create(&process->secrets, process->metrics);
	process->keyring = dy_keyring_create(&process->secrets);
	if (!open_endpoints(process, error))
		return FALSE;
	create_subscriber(process);
	create_agent(process);
	dy_loop_every(process->loop, DY_AGENT_TICK_INTERVAL_MS, on_tick,
		      process);
	dy_loop_on_stop(process->loop, on_stop, process);
	return TRUE;
}

static void finish(agent_process_t *process)
{
	destroy_agent(process);
	dy_subscriber_destroy(process->subscriber);
	dy_endpoint_destroy(process->endpoint);
	dy_endpoint_destroy(process->announce);
	dy_loop_destroy(process->loop);
	dy_document_destroy(process->document);
	dy_keyring_destroy(process->keyring);
	dy_seal_destroy(process->seal);
	dy_metrics_destroy(process->metrics);
}

gboolean dy_agent_process_run(const dy_agent_settings_t *settings,
			      int *exit_code, GError **error)
{
	agent_process_t *process = g_new0(agent_process_t, 1);
	gboolean ok;

	process->settings = settings;
	ok = dy_secrets_load(&process->secrets, settings->member.key_file,
			     error) &&
	     start(process, error);
	if (ok) {
		dy_loop_run(process->loop);
		dy_log_event(DY_LOG_INFO, "agent_ended", "sessions=%u",
			     dy_agent_session_count(process->agent));
	}
	finish(process);
	*exit_code = process->exit_code;
	g_free(process);
	return ok;
}
