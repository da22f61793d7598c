#include "agent_private.h"

#include <string.h>

#include <rpc/rpc.h>

/* Bounds of the exponential backoff between two connects, in ms. */
#define CONNECT_BACKOFF_MIN_MS 50
#define CONNECT_BACKOFF_MAX_MS 1000

/*
 * Timeout of the NULL call that probes a new connection, in ms. A target
 * answers NULL well within a millisecond, also under load, because it serves
 * its connections in turn.
 */
#define PROBE_TIMEOUT_MS 500

/*
 * Time without a responsive connection after which the target counts as
 * unresponsive, in ms. This is reported to control, and waiting calls are
 * refused. A target that restarts, or whose connections were closed, responds
 * well within this time.
 */
#define UNRESPONSIVE_TIMEOUT_MS 1000

/* Maximum number of sessions that a target may announce. */
#define CONNECTIONS_MAX 100000

int agent_target_is_ready(const dy_agent_t *agent)
{
	return agent->service.known && agent->target.lease_valid &&
	       !agent->superseded;
}

int agent_target_is_responsive(const dy_agent_t *agent)
{
	return agent_target_is_ready(agent) && agent->links_up;
}

void agent_target_set_slots(dy_agent_t *agent)
{
	uint32_t slots = agent->target.slots;

	if (agent->service.known)
		slots = MIN(slots, agent->service.slots);
	agent->slots = MIN(slots, DY_AGENT_SLOTS_MAX);
	if (agent->target.unresponsive)
		slots = 0;
	dy_admission_set_slots(agent->admission,
			       MIN(slots, DY_AGENT_SLOTS_MAX));
}

static void schedule_connect(dy_agent_t *agent, target_link_t *link)
{
	link->retry_at_ms = agent_now_ms(agent);
	if (link->attempts)
		link->retry_at_ms += dy_retry_backoff_ms(
			link->attempts, CONNECT_BACKOFF_MIN_MS,
			CONNECT_BACKOFF_MAX_MS, agent->rand);
	link->attempts++;
}

static void reset_link(dy_agent_t *agent, unsigned index)
{
	target_link_t *link = &agent->links[index];
	int was_up = link->state == LINK_UP;

	link->state = LINK_CLOSED;
	schedule_connect(agent, link);
	if (index == DY_AGENT_CANCEL_LINK) {
		agent_cancel_fail_all(agent);
		return;
	}
	if (was_up)
		agent->links_up--;
	if (link->call)
		agent_call_event(agent, link->call, DY_EVENT_TARGET_LOST,
				 RETRY_AFTER_MS);
	dy_assert(!link->call);
}

void agent_link_close(dy_agent_t *agent, unsigned index)
{
	if (agent->links[index].state == LINK_CLOSED)
		return;
	agent->config.callbacks->link_close(agent->config.context, index);
	reset_link(agent, index);
}

void dy_agent_link_down(dy_agent_t *agent, unsigned index)
{
	if (agent->links[index].state == LINK_CLOSED)
		return;
	agent_log_event(agent, EVENT_LINK_DOWN, "link=%u in_call=%d", index,
			!!agent->links[index].call);
	reset_link(agent, index);
	agent_call_dispatch(agent);
}

/*
 * Guards against a target that is frozen while its announcements go on. Its
 * kernel still accepts connections, and each call sent on one would end as "may
 * have run". So a connection carries calls only after the target has answered
 * NULL on it, and a call that times out closes its connection. A stall then
 * costs at most one such call for each slot.
 */
static void send_probe(dy_agent_t *agent, unsigned index)
{
	target_link_t *link = &agent->links[index];
	dy_rpc_call_t message = { 0 };
	size_t len;

	link->state = LINK_PROBING;
	link->probe_xid = agent->next_xid++;
	link->probe_sent_ms = agent_now_ms(agent);
	message.xid = link->probe_xid;
	message.program = agent->service.program;
	message.program_version = agent->service.program_version;
	len = dy_rpc_write_call(&message, agent->call_out,
				sizeof(agent->call_out));
	if (agent->config.callbacks->link_send(agent->config.context, index,
					       agent->call_out, len))
		agent_link_close(agent, index);
}

/* Any well-formed reply, also an error, shows that the target responds. */
static void receive_probe_reply(dy_agent_t *agent, unsigned index,
				const uint8_t *bytes, size_t len)
{
	target_link_t *link = &agent->links[index];
	dy_rpc_reply_t reply;

	if (!bytes || dy_rpc_parse_reply(bytes, len, &reply) ||
	    reply.xid != link->probe_xid) {
		agent_log_event(agent, EVENT_ANSWER_BAD, "link=%u probe=1",
				index);
		agent_link_close(agent, index);
		return;
	}
	link->state = LINK_UP;
	agent_log_event(agent, EVENT_LINK_UP, "link=%u", index);
	agent->links_up++;
	dy_assert(agent->links_up <= DY_AGENT_SLOTS_MAX);
}

void dy_agent_link_up(dy_agent_t *agent, unsigned index)
{
	if (agent->links[index].state != LINK_OPENING)
		return;
	if (index == DY_AGENT_CANCEL_LINK)
		agent->links[index].state = LINK_UP;
	else
		send_probe(agent, index);
}

static dy_call_event_t classify_reply(const dy_rpc_reply_t *reply,
				      uint32_t *retry_ms)
{
	dy_refusal_t refusal;

	if (reply->denied)
		return DY_EVENT_DENIED;
	if (reply->status == SUCCESS)
		return DY_EVENT_ANSWERED;
	if (!dy_rpc_load_refusal(reply, &refusal)) {
		*retry_ms = refusal.retry_after_ms;
		return refusal.verdict == DY_NOT_RUN
			       ? DY_EVENT_SHED_NOT_RUN
			       : DY_EVENT_SHED_MAY_HAVE_RUN;
	}
	if (reply->status == GARBAGE_ARGS || reply->status == PROC_UNAVAIL ||
	    reply->status == PROG_MISMATCH)
		return DY_EVENT_ANSWERED_ERROR;
	return DY_EVENT_ANSWERED_FAULT;
}

static void receive_reply(dy_agent_t *agent, call_t *call,
			  const dy_rpc_reply_t *reply)
{
	uint32_t retry_ms = 0;
	dy_call_event_t event = classify_reply(reply, &retry_ms);

	if (event == DY_EVENT_ANSWERED || event == DY_EVENT_ANSWERED_ERROR) {
		agent_call_complete(agent, call, reply);
		return;
	}
	agent_log_event(agent, EVENT_ANSWER_SHED, "denied=%d status=%u",
			reply->denied, reply->status);
	agent_call_event(agent, call, event, retry_ms);
}

/* A reply that does not match the call ends the call and the connection. */
static void reject_reply(dy_agent_t *agent, unsigned index,
			 dy_call_event_t event)
{
	call_t *call = agent->links[index].call;

	agent_log_event(agent,
			event == DY_EVENT_BAD_ANSWER ? EVENT_ANSWER_BAD
						     : EVENT_ANSWER_TOO_LARGE,
			"link=%u in_call=%d", index, !!call);
	if (call)
		agent_call_event(agent, call, event, 0);
	agent_link_close(agent, index);
}

void dy_agent_link_receive(dy_agent_t *agent, unsigned index,
			   const uint8_t *bytes, size_t len)
{
	target_link_t *link = &agent->links[index];
	dy_rpc_reply_t reply;

	if (link->state < LINK_PROBING)
		return;
	link->attempts = 0;
	if (index == DY_AGENT_CANCEL_LINK) {
		agent_cancel_receive_reply(agent, bytes, len);
		return;
	}
	if (link->state == LINK_PROBING)
		receive_probe_reply(agent, index, bytes, len);
	else if (!bytes)
		reject_reply(agent, index, DY_EVENT_ANSWER_TOO_LARGE);
	else if (!link->call || dy_rpc_parse_reply(bytes, len, &reply) ||
		 reply.xid != link->call->target_xid)
		reject_reply(agent, index, DY_EVENT_BAD_ANSWER);
	else
		receive_reply(agent, link->call, &reply);
	agent_call_dispatch(agent);
}

static void close_links(dy_agent_t *agent)
{
	unsigned i;

	for (i = 0; i < DY_AGENT_LINKS; i++) {
		agent_link_close(agent, i);
		agent->links[i].attempts = 0;
		agent->links[i].retry_at_ms = 0;
	}
}

static int is_valid_name(const char *text)
{
	size_t len = strlen(text);

	return len && len < DY_NAME_BYTES &&
	       strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789._-") == len;
}

static int is_valid_announcement(const dy_announcement_t *from,
				 dy_address_t *address)
{
	return is_valid_name(from->service) &&
	       !dy_address_parse(from->address, address) && address->port &&
	       from->slots && from->slots <= DY_AGENT_SLOTS_MAX &&
	       from->connections && from->connections <= CONNECTIONS_MAX &&
	       from->incarnation;
}

static dy_announce_status_t check_announcement(dy_agent_t *agent,
					       const dy_announcement_t *from,
					       const dy_address_t *address)
{
	const agent_target_t *target = &agent->target;

	if (!target->known)
		return DY_ANNOUNCE_OK;
	if (strcmp(target->service, from->service)) {
		agent_log_event(agent, EVENT_TARGET_OTHER_SERVICE,
				"service=%s announced=%s", target->service,
				from->service);
		return DY_ANNOUNCE_OTHER_SERVICE;
	}
	if (from->incarnation < target->incarnation ||
	    (from->incarnation == target->incarnation &&
	     !dy_address_equal(address, &target->address))) {
		agent_log_event(agent, EVENT_TARGET_STALE, "incarnation=%lu",
				(unsigned long)from->incarnation);
		return DY_ANNOUNCE_STALE;
	}
	return DY_ANNOUNCE_OK;
}

/*
 * Closes every connection to the previous incarnation of the target first, so
 * that none of its answers can reach a call to the new one.
 */
static void apply_incarnation(dy_agent_t *agent, const dy_announcement_t *from,
			      const dy_address_t *address)
{
	agent_target_t *target = &agent->target;

	if (target->known)
		agent_log_event(agent, EVENT_TARGET_RESTARTED,
				"incarnation=%lu",
				(unsigned long)from->incarnation);
	else
		agent_log_event(agent, EVENT_TARGET_ANNOUNCED,
				"service=%s slots=%u connections=%u",
				from->service, from->slots, from->connections);
	close_links(agent);
	target->known = 1;
	target->incarnation = from->incarnation;
	target->address = *address;
	target->takes_cancel = from->takes_cancel;
	g_strlcpy(target->service, from->service, sizeof(target->service));
	g_strlcpy(target->labels, from->labels, sizeof(target->labels));
}

static void report_target_info(dy_agent_t *agent)
{
	agent_target_t *target = &agent->target;
	dy_announcement_t info = { 0 };

	info.service = target->service;
	info.labels = target->labels;
	info.slots = target->unresponsive ? 0 : target->slots;
	info.connections = target->connections;
	agent->config.callbacks->report_info(agent->config.context, &info);
}

static void apply_announcement(dy_agent_t *agent, const dy_announcement_t *from,
			       const dy_address_t *address)
{
	agent_target_t *target = &agent->target;
	int changed = !target->known || target->slots != from->slots ||
		      target->connections != from->connections ||
		      target->incarnation != from->incarnation;

	if (!target->known || target->incarnation != from->incarnation)
		apply_incarnation(agent, from, address);
	target->cold = from->cold;
	target->announced_ms = agent_now_ms(agent);
	target->lease_valid = 1;
	target->slots = from->slots;
	target->connections = from->connections;
	if (!changed)
		return;
	agent_apply_limits(agent);
	report_target_info(agent);
}

void dy_agent_receive_announcement(dy_agent_t *agent,
				   const dy_announcement_t *from,
				   dy_announce_result_t *result)
{
	dy_address_t address;

	result->lease_ms = DY_TARGET_LEASE_MS;
	if (!is_valid_announcement(from, &address)) {
		agent_log_event(agent, EVENT_TARGET_MALFORMED, "service=%s",
				dy_log_quote(from->service));
		result->status = DY_ANNOUNCE_MALFORMED;
		return;
	}
	result->status = check_announcement(agent, from, &address);
	if (result->status != DY_ANNOUNCE_OK ||
	    (from->draining && !agent->target.known))
		return;
	apply_announcement(agent, from, &address);
	if (from->draining)
		dy_agent_drain(agent, "target", 0);
	agent_call_dispatch(agent);
}

static void check_lease(dy_agent_t *agent)
{
	agent_target_t *target = &agent->target;

	if (!target->lease_valid ||
	    agent_now_ms(agent) - target->announced_ms <= DY_TARGET_LEASE_MS)
		return;
	target->lease_valid = 0;
	agent_log_event(agent, EVENT_TARGET_LEASE_LAPSED, "service=%s",
			target->service);
	agent_call_refuse_unsent(agent, DY_EVENT_TARGET_LOST);
}

static void set_unresponsive(dy_agent_t *agent, int unresponsive)
{
	agent_target_t *target = &agent->target;

	if (target->unresponsive == unresponsive)
		return;
	target->unresponsive = unresponsive;
	agent_target_set_slots(agent);
	agent_log_event(agent,
			unresponsive ? EVENT_TARGET_AWAY : EVENT_TARGET_BACK,
			"service=%s sessions=%u", target->service,
			dy_sessions_count(agent->sessions));
	report_target_info(agent);
}

/*
 * Guards against flows that stay bound to a lost target although other targets
 * could serve them: each of their calls would be refused until the caller
 * gives up. The sessions and their duplicate request caches are intact in this
 * agent, and are handed over as in a planned stop.
 */
static void check_responsiveness(dy_agent_t *agent)
{
	uint64_t successors[DY_SUCCESSORS_MAX];
	uint64_t now_ms = agent_now_ms(agent);
	agent_target_t *target = &agent->target;

	if (agent_target_is_responsive(agent)) {
		target->unresponsive_since_ms = 0;
		set_unresponsive(agent, 0);
		return;
	}
	if (!target->unresponsive_since_ms)
		target->unresponsive_since_ms = now_ms;
	if (now_ms - target->unresponsive_since_ms >= UNRESPONSIVE_TIMEOUT_MS)
		set_unresponsive(agent, 1);
	if (now_ms - target->unresponsive_since_ms >=
		    DY_TARGET_LOST_TIMEOUT_MS &&
	    agent->state == DY_MEMBER_SERVING &&
	    dy_sessions_count(agent->sessions) &&
	    agent_member_choose_successors(agent, successors))
		dy_agent_drain(agent, "target_lost", 0);
}

static int is_link_needed(const dy_agent_t *agent, unsigned index)
{
	/* The probe contains the program number of the service. */
	if (!agent->service.known)
		return 0;
	if (index == DY_AGENT_CANCEL_LINK)
		return agent->target.takes_cancel;
	return index < agent->slots;
}

static void maintain_link(dy_agent_t *agent, unsigned index)
{
	target_link_t *link = &agent->links[index];

	if (!is_link_needed(agent, index)) {
		if (link->state != LINK_CLOSED && !link->call)
			agent_link_close(agent, index);
		return;
	}
	if (link->state == LINK_PROBING &&
	    agent_now_ms(agent) - link->probe_sent_ms >= PROBE_TIMEOUT_MS) {
		agent_log_event(agent, EVENT_PROBE_UNANSWERED, "link=%u",
				index);
		agent_link_close(agent, index);
	}
	if (link->state != LINK_CLOSED ||
	    agent_now_ms(agent) < link->retry_at_ms)
		return;
	link->state = LINK_OPENING;
	agent->config.callbacks->link_open(agent->config.context, index,
					   &agent->target.address);
}

void agent_target_tick(dy_agent_t *agent)
{
	unsigned i;

	if (!agent->target.known)
		return;
	check_lease(agent);
	if (agent->service.known)
		check_responsiveness(agent);
	for (i = 0; i < DY_AGENT_LINKS; i++)
		maintain_link(agent, i);
}
