#include "damaskyard/router.h"

#include <string.h>

#include <rpc/rpc.h>

#include "damaskyard/budget.h"
#include "damaskyard/burn.h"
#include "damaskyard/log.h"
#include "damaskyard/pick.h"
#include "damaskyard/successor.h"
#include "openings.h"
#include "../version/route_table.h"

/*
 * Targets that one datagram is tried at. Each has said that it did not run
 * it; after three a caller had better wait.
 */
#define HOPS_MAX 3

/*
 * What is tried again at another target adds at most a fifth to the openings,
 * so that targets that all give back do not get three times the load; a
 * drained target's openings of one poll, some hundred, may all move at once.
 */
#define RETRY_RATIO_PERMILLE 200
#define RETRY_BURST 200

/*
 * When a refused caller should come back, in ms: half to one and a half
 * times this, so that a refused crowd does not come back as one.
 */
#define RETRY_NOT_READY_MS 1000
#define RETRY_NO_TARGET_MS 2000

/* The report reads windows of minutes and more, in ms. */
#define BURN_PUBLISH_MS 1000

typedef struct counters {
	uint64_t *received;
	uint64_t *malformed;
	uint64_t *oversized;
	uint64_t *forged;
	uint64_t *expired;
	uint64_t *other_service;
	uint64_t *forwarded;
	uint64_t *opened;
	uint64_t *answered;
	uint64_t *bounced;
	uint64_t *not_ready;
	uint64_t *no_target;
	uint64_t *target_lost;
	uint64_t *too_weak;
	uint64_t *chained;
} counters_t;

/* What this balancer itself refused of a service. */
typedef struct service_burn {
	uint64_t id;
	char *name;
	dy_burn_t *burn;
} service_burn_t;

struct dy_router {
	dy_router_config_t config;
	route_table_t *table;
	openings_t *openings;
	dy_pick_config_t pick;
	dy_retry_budget_t retries;
	uint16_t domain;
	int confirmed;
	int ready;
	counters_t counters;
	dy_log_limit_t drop_limit;
	GHashTable *burns; /* service id: service_burn_t, once one burned */
	uint64_t burn_published_ms;
};

/* One datagram on its way through. */
typedef struct packet {
	const dy_router_datagram_t *datagram;
	route_service_t *service;
	dy_rpc_call_t call;
	dy_token_t token;
	int idempotent;
	uint32_t hops;
	uint64_t now_ms;
} packet_t;

static void register_counters(counters_t *counters, dy_metrics_t *metrics)
{
	counters->received = dy_metrics_counter(metrics, "calls_received");
	counters->malformed = dy_metrics_counter(metrics, "calls_malformed");
	counters->oversized = dy_metrics_counter(metrics, "calls_oversized");
	counters->forged = dy_metrics_counter(metrics, "tokens_forged");
	counters->expired = dy_metrics_counter(metrics, "tokens_expired");
	counters->other_service =
		dy_metrics_counter(metrics, "tokens_other_service");
	counters->forwarded = dy_metrics_counter(metrics, "calls_forwarded");
	counters->opened = dy_metrics_counter(metrics, "flows_opened");
	counters->answered = dy_metrics_counter(metrics, "answers_sent");
	counters->bounced = dy_metrics_counter(metrics, "calls_bounced");
	counters->not_ready = dy_metrics_counter(metrics, "refused_not_ready");
	counters->no_target = dy_metrics_counter(metrics, "refused_no_target");
	counters->target_lost =
		dy_metrics_counter(metrics, "refused_target_lost");
	counters->too_weak = dy_metrics_counter(metrics, "refused_too_weak");
	counters->chained = dy_metrics_counter(metrics, "calls_to_successor");
}

static void destroy_burn(gpointer data)
{
	service_burn_t *burn = data;

	dy_burn_destroy(burn->burn);
	g_free(burn->name);
	g_free(burn);
}

dy_router_t *dy_router_create(const dy_router_config_t *config)
{
	static const dy_log_limit_t limit = DY_LOG_LIMIT_INIT(5, 10000);
	dy_router_t *router = g_new0(dy_router_t, 1);

	router->config = *config;
	router->table = route_table_create();
	router->openings = openings_create();
	router->burns = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      destroy_burn);
	router->domain = route_table_domain(router->table, config->domain);
	router->drop_limit = limit;
	dy_pick_config_init(&router->pick, DY_PICK_BROKEN_FLOWS);
	register_counters(&router->counters, config->metrics);
	dy_retry_budget_init(&router->retries, RETRY_RATIO_PERMILLE,
			     RETRY_BURST);
	return router;
}

void dy_router_destroy(dy_router_t *router)
{
	if (!router)
		return;
	route_table_destroy(router->table);
	openings_destroy(router->openings);
	g_hash_table_destroy(router->burns);
	g_free(router);
}

static void configure_pick(dy_router_t *router)
{
	const dy_document_t *document = route_table_document(router->table);
	dy_pick_weigh_t weigh = DY_PICK_BROKEN_FLOWS;

	if (document && dy_document_weigh(document) == DY_WEIGH_IMBALANCE)
		weigh = DY_PICK_IMBALANCE;
	dy_pick_config_init(&router->pick, weigh);
	router->pick.balancers = route_table_balancers(router->table);
	router->pick.domain = router->domain;
}

void dy_router_set_document(dy_router_t *router, dy_document_t *document,
			    uint64_t now_ms)
{
	route_table_set_document(router->table, document, now_ms);
	configure_pick(router);
}

const dy_document_t *dy_router_document(const dy_router_t *router)
{
	return route_table_document(router->table);
}

void dy_router_set_member(dy_router_t *router, const dy_member_t *member,
			  uint64_t now_ms)
{
	route_table_set_member(router->table, member, now_ms);
	if (member->info.kind == DY_MEMBER_BALANCER)
		configure_pick(router);
}

void dy_router_set_confirmed(dy_router_t *router, int confirmed)
{
	router->confirmed = confirmed;
}

void dy_router_set_ready(dy_router_t *router, int ready)
{
	router->ready = ready;
}

unsigned dy_router_target_count(const dy_router_t *router, uint64_t service)
{
	const route_service_t *found =
		route_table_service(router->table, service);

	return found ? found->count : 0;
}

static void send_answer(dy_router_t *router,
			const dy_router_datagram_t *datagram,
			const uint8_t *bytes, size_t len)
{
	if (len)
		router->config.callbacks->answer(router->config.context,
						 datagram->socket,
						 &datagram->caller, bytes, len);
}

static uint32_t spread_retry(dy_router_t *router, uint32_t around_ms)
{
	if (!around_ms)
		return 0;
	return (uint32_t)g_rand_int_range(router->config.rand,
					  (gint32)around_ms / 2,
					  (gint32)around_ms * 3 / 2);
}

static void count_burn(dy_router_t *router, const packet_t *packet,
		       dy_outcome_t outcome)
{
	service_burn_t *burn;

	if (!packet->service)
		return;
	burn = g_hash_table_lookup(router->burns,
				   &packet->service->service->id);
	if (!burn) {
		burn = g_new0(service_burn_t, 1);
		burn->id = packet->service->service->id;
		burn->name = g_strdup(packet->service->service->name);
		burn->burn = dy_burn_create();
		g_hash_table_insert(router->burns, &burn->id, burn);
	}
	dy_burn_add(burn->burn, outcome, packet->now_ms);
}

static void refuse(dy_router_t *router, const packet_t *packet,
		   dy_verdict_t verdict, dy_reason_t reason, uint32_t around_ms)
{
	dy_refusal_t refusal = { verdict, reason, 0 };
	uint8_t out[DY_RPC_HEAD_BYTES];

	count_burn(router, packet,
		   verdict == DY_NOT_RUN ? DY_OUTCOME_REFUSED
					 : DY_OUTCOME_BROKEN_FLOW);
	refusal.retry_after_ms = spread_retry(router, around_ms);
	send_answer(router, packet->datagram, out,
		    dy_rpc_write_refusal(packet->call.xid, &refusal, out,
					 sizeof(out)));
}

static void drop(dy_router_t *router, uint64_t *counter, const char *event,
		 const packet_t *packet)
{
	char caller[DY_ADDRESS_TEXT_BYTES];

	++*counter;
	if (dy_log_allow(&router->drop_limit, event, packet->now_ms))
		dy_log_event(
			DY_LOG_WARN, event, "caller=%s",
			dy_address_format(&packet->datagram->caller, caller));
}

static void send_forward(dy_router_t *router, const packet_t *packet,
			 uint64_t agent, uint64_t incarnation,
			 const dy_address_t *address)
{
	const dy_router_datagram_t *datagram = packet->datagram;
	dy_forward_t forward = { 0 };

	forward.service = datagram->service;
	forward.agent = agent;
	forward.incarnation = incarnation;
	forward.caller = datagram->caller;
	forward.socket = datagram->socket;
	forward.hops = packet->hops;
	forward.datagram.datagram_len = (u_int)datagram->len;
	forward.datagram.datagram_val = (char *)datagram->bytes;
	++*router->counters.forwarded;
	router->config.callbacks->forward(router->config.context, address,
					  &forward);
}

static void forward_to(dy_router_t *router, const packet_t *packet,
		       const route_member_t *member)
{
	send_forward(router, packet, member->id, member->incarnation,
		     &member->address);
}

/* A copy of an opening goes where the first one went. */
static route_member_t *find_earlier(dy_router_t *router, const packet_t *packet,
				    uint64_t key)
{
	const opening_t *opening = openings_find(router->openings, key);

	if (!opening || opening->service != packet->datagram->service)
		return NULL;
	return route_table_incarnation(router->table, opening->incarnation);
}

static route_member_t *pick_member(dy_router_t *router, const packet_t *packet)
{
	route_service_t *service = packet->service;
	int at;

	at = dy_pick(&router->pick, service->picks, service->count,
		     router->config.rand, packet->now_ms);
	if (at < 0)
		return NULL;
	dy_pick_sent(&service->picks[at], packet->now_ms);
	return service->members[at];
}

/* A flow opens, or an idempotent call finds its own target gone. */
static void open_flow(dy_router_t *router, const packet_t *packet)
{
	opening_t opening = { 0 };
	route_member_t *member = NULL;

	if (!router->confirmed) {
		++*router->counters.not_ready;
		refuse(router, packet, DY_NOT_RUN, DY_REASON_NOT_READY,
		       RETRY_NOT_READY_MS);
		return;
	}
	opening.key = openings_key(&packet->datagram->caller, packet->call.xid);
	if (!packet->hops) {
		dy_retry_budget_first(&router->retries);
		member = find_earlier(router, packet, opening.key);
	}
	if (member) {
		forward_to(router, packet, member);
		return;
	}
	member = pick_member(router, packet);
	if (!member) {
		++*router->counters.no_target;
		refuse(router, packet, DY_NOT_RUN, DY_REASON_NO_TARGET,
		       RETRY_NO_TARGET_MS);
		return;
	}
	opening.service = packet->datagram->service;
	opening.incarnation = member->incarnation;
	opening.sent_ms = packet->now_ms;
	openings_add(router->openings, &opening);
	++*router->counters.opened;
	forward_to(router, packet, member);
}

/*
 * The incarnation that its token names is gone, and no successor has its
 * session. A copy of a non-idempotent call may have run there, so it gets
 * may have run and never a second run.
 */
static void answer_lost(dy_router_t *router, const packet_t *packet)
{
	if (packet->idempotent) {
		open_flow(router, packet);
		return;
	}
	++*router->counters.target_lost;
	refuse(router, packet, DY_MAY_HAVE_RUN, DY_REASON_TARGET_LOST,
	       RETRY_NOT_READY_MS);
}

/*
 * Control has not heard from the agent for a lease. It may be cut off from
 * control alone: it is taken for lost only when this balancer, too, has sent
 * it calls and got no answer since.
 */
static int is_silent(dy_router_t *router, const packet_t *packet,
		     const route_member_t *member)
{
	const dy_pick_target_t *pick =
		route_service_find(packet->service, member);

	if (member->state != DY_MEMBER_SUSPECT || !pick)
		return 0;
	return pick->first_unanswered_ms &&
	       packet->now_ms - pick->first_unanswered_ms >
		       router->pick.stall_ms;
}

/*
 * Follow a chain of planned stops from the member that the token names to
 * the one that holds the session now. Returns NULL if the chain ends at one
 * that is gone.
 */
static route_member_t *find_owner(dy_router_t *router, const packet_t *packet,
				  route_member_t *member)
{
	uint64_t next;
	int i;

	for (i = 0; member && i < ROUTE_CHAIN_MAX; i++) {
		if (member->state == DY_MEMBER_DEAD)
			return NULL;
		if (member->state != DY_MEMBER_LEFT)
			return member;
		next = dy_successor_pick(packet->token.session,
					 member->successors,
					 member->successor_count);
		if (!next)
			return NULL;
		++*router->counters.chained;
		member = route_table_current(router->table, next);
	}
	return NULL;
}

static void forward_known(dy_router_t *router, const packet_t *packet,
			  route_member_t *member)
{
	dy_pick_target_t *pick;

	if (is_silent(router, packet, member)) {
		answer_lost(router, packet);
		return;
	}
	pick = route_service_find(packet->service, member);
	if (pick)
		dy_pick_forwarded(pick, packet->now_ms);
	forward_to(router, packet, member);
}

/*
 * A call with a good token. A token of an incarnation that this balancer has
 * not heard of yet is newer than its state: the token itself says where.
 */
static void route_flow(dy_router_t *router, const packet_t *packet)
{
	const dy_token_t *token = &packet->token;
	route_member_t *member;
	route_member_t *current;

	member = route_table_incarnation(router->table, token->incarnation);
	if (!member) {
		current = route_table_current(router->table, token->agent);
		if (!current || current->incarnation < token->incarnation)
			send_forward(router, packet, token->agent,
				     token->incarnation, &token->address);
		else
			answer_lost(router, packet);
		return;
	}
	member = find_owner(router, packet, member);
	if (member)
		forward_known(router, packet, member);
	else
		answer_lost(router, packet);
}

static void refuse_too_weak(dy_router_t *router, const packet_t *packet)
{
	uint8_t out[DY_RPC_HEAD_BYTES];

	++*router->counters.too_weak;
	send_answer(router, packet->datagram, out,
		    dy_rpc_write_too_weak(packet->call.xid, out, sizeof(out)));
}

static void route_call(dy_router_t *router, packet_t *packet)
{
	dy_token_status_t status;

	status = dy_token_load(router->config.keyring, &packet->call.credential,
			       &packet->token);
	switch (status) {
	case DY_TOKEN_OK:
		if (packet->token.service != packet->datagram->service)
			drop(router, router->counters.other_service,
			     "token_other_service", packet);
		else
			route_flow(router, packet);
		break;
	case DY_TOKEN_NONE:
		if (packet->idempotent) {
			open_flow(router, packet);
			break;
		}
		refuse_too_weak(router, packet);
		break;
	case DY_TOKEN_EXPIRED:
		++*router->counters.expired;
		answer_lost(router, packet);
		break;
	case DY_TOKEN_MALFORMED:
	case DY_TOKEN_FORGED:
		drop(router, router->counters.forged, "token_forged", packet);
		break;
	}
}

static void answer_probe(dy_router_t *router, const packet_t *packet)
{
	uint8_t out[DY_RPC_HEAD_BYTES];
	dy_rpc_reply_t reply = { 0 };

	if (!router->ready) {
		refuse(router, packet, DY_NOT_RUN, DY_REASON_NOT_READY,
		       RETRY_NOT_READY_MS);
		return;
	}
	reply.xid = packet->call.xid;
	reply.status = SUCCESS;
	send_answer(router, packet->datagram, out,
		    dy_rpc_write_reply(&reply, out, sizeof(out)));
}

static int is_probe(const dy_rpc_call_t *call)
{
	return call->program == DY_CALLER_PROGRAM &&
	       call->procedure == DY_CALLER_NULL;
}

static int is_cancel(const dy_rpc_call_t *call)
{
	return call->program == DY_CALLER_PROGRAM &&
	       call->procedure == DY_CALLER_CANCEL;
}

static int serves_program(const route_service_t *service,
			  const dy_rpc_call_t *call)
{
	return call->program == service->service->program &&
	       call->program_version == service->service->program_version;
}

/* The document in force no longer offers the service. */
static void refuse_unoffered(dy_router_t *router, const packet_t *packet)
{
	dy_verdict_t verdict = DY_NOT_RUN;

	if (packet->call.credential.flavor == AUTH_SHORT)
		verdict = DY_MAY_HAVE_RUN;
	++*router->counters.no_target;
	refuse(router, packet, verdict, DY_REASON_NO_TARGET,
	       RETRY_NO_TARGET_MS);
}

/* Returns 1 if the datagram is a call, or its start when it was cut. */
static int load_packet(dy_router_t *router, packet_t *packet)
{
	const dy_router_datagram_t *datagram = packet->datagram;

	++*router->counters.received;
	if (dy_rpc_parse_call(datagram->bytes, datagram->len, &packet->call)) {
		drop(router, router->counters.malformed, "call_malformed",
		     packet);
		return 0;
	}
	if (!datagram->truncated && datagram->len <= DY_DATAGRAM_BYTES)
		return 1;
	++*router->counters.oversized;
	refuse(router, packet, DY_NOT_RUN, DY_REASON_TOO_LARGE, 0);
	return 0;
}

void dy_router_receive(dy_router_t *router,
		       const dy_router_datagram_t *datagram, uint64_t now_ms)
{
	packet_t packet = { 0 };

	packet.datagram = datagram;
	packet.now_ms = now_ms;
	if (!load_packet(router, &packet))
		return;
	if (is_probe(&packet.call)) {
		answer_probe(router, &packet);
		return;
	}
	packet.service = route_table_service(router->table, datagram->service);
	if (!packet.service) {
		refuse_unoffered(router, &packet);
		return;
	}
	packet.idempotent = dy_service_idempotent(packet.service->service,
						  packet.call.procedure);
	if (is_cancel(&packet.call)) {
		packet.idempotent = 0;
	} else if (!serves_program(packet.service, &packet.call)) {
		refuse(router, &packet, DY_NOT_RUN, DY_REASON_UNKNOWN_PROGRAM,
		       0);
		return;
	}
	route_call(router, &packet);
}

static dy_pick_target_t *find_pick(dy_router_t *router, uint64_t service_id,
				   uint64_t incarnation)
{
	route_service_t *service =
		route_table_service(router->table, service_id);
	route_member_t *member =
		route_table_incarnation(router->table, incarnation);

	return service && member ? route_service_find(service, member) : NULL;
}

static void note_answer(dy_pick_target_t *pick, const dy_load_t *load,
			int opened, uint64_t now_ms)
{
	dy_pick_report_t report = { 0 };

	report.slots = (uint16_t)load->slots;
	report.in_flight = (uint16_t)load->in_flight;
	report.queued = (uint16_t)load->queued;
	report.sessions = load->sessions;
	report.expected_wait_ms = load->wait_ms;
	dy_pick_answered(pick, &report, opened, now_ms);
	if (load->draining)
		pick->draining = 1;
	if (load->cold)
		pick->cold_since_ms = now_ms;
}

static int take_opening(dy_router_t *router, const dy_address_t *caller,
			const uint8_t *bytes, size_t len)
{
	opening_t opening;
	uint32_t xid;

	if (len < sizeof(xid))
		return 0;
	memcpy(&xid, bytes, sizeof(xid));
	return openings_take(router->openings, openings_key(caller, ntohl(xid)),
			     &opening);
}

void dy_router_answered(dy_router_t *router, const dy_answer_t *answer,
			uint64_t now_ms)
{
	const uint8_t *bytes = (const uint8_t *)answer->datagram.datagram_val;
	size_t len = answer->datagram.datagram_len;
	dy_pick_target_t *pick;
	int opened;

	opened = take_opening(router, &answer->caller, bytes, len);
	pick = find_pick(router, answer->service, answer->incarnation);
	if (pick) {
		note_answer(pick, &answer->load, opened, now_ms);
		if (answer->verdict == DY_NOT_RUN)
			dy_pick_refused(pick);
	}
	++*router->counters.answered;
	router->config.callbacks->answer(router->config.context, answer->socket,
					 &answer->caller, bytes, len);
}

void dy_router_bounced(dy_router_t *router, const dy_bounce_t *bounce,
		       uint64_t now_ms)
{
	const dy_forward_t *forward = &bounce->forward;
	dy_router_datagram_t datagram = { 0 };
	packet_t packet = { 0 };
	dy_pick_target_t *pick;

	++*router->counters.bounced;
	datagram.service = forward->service;
	datagram.socket = forward->socket;
	datagram.caller = forward->caller;
	datagram.bytes = (const uint8_t *)forward->datagram.datagram_val;
	datagram.len = forward->datagram.datagram_len;
	packet.datagram = &datagram;
	packet.now_ms = now_ms;
	packet.hops = forward->hops + 1;
	if (dy_rpc_parse_call(datagram.bytes, datagram.len, &packet.call))
		return;
	take_opening(router, &datagram.caller, datagram.bytes, datagram.len);
	pick = find_pick(router, forward->service, forward->incarnation);
	if (pick) {
		note_answer(pick, &bounce->load, 1, now_ms);
		/* Else an agent that has just joined would get no flow. */
		if (bounce->reason != DY_REASON_NOT_READY)
			dy_pick_refused(pick);
	}
	packet.service = route_table_service(router->table, datagram.service);
	if (packet.service && packet.hops < HOPS_MAX &&
	    dy_retry_budget_take(&router->retries, DY_RETRY_NOT_RUN)) {
		open_flow(router, &packet);
		return;
	}
	++*router->counters.no_target;
	refuse(router, &packet, DY_NOT_RUN, DY_REASON_NO_TARGET,
	       RETRY_NO_TARGET_MS);
}

static void publish_burns(dy_router_t *router, uint64_t now_ms)
{
	GHashTableIter iter;
	service_burn_t *burn;
	gpointer value;

	if (now_ms - router->burn_published_ms < BURN_PUBLISH_MS)
		return;
	router->burn_published_ms = now_ms;
	g_hash_table_iter_init(&iter, router->burns);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		burn = value;
		dy_burn_publish(burn->burn, router->config.metrics, burn->name,
				now_ms);
	}
}

void dy_router_expire(dy_router_t *router, uint64_t now_ms)
{
	dy_pick_target_t *pick;
	opening_t opening;

	while (openings_expire(router->openings, now_ms, &opening)) {
		pick = find_pick(router, opening.service, opening.incarnation);
		if (pick)
			dy_pick_failed(pick, 1, now_ms);
	}
	publish_burns(router, now_ms);
	route_table_expire(router->table, now_ms);
}
