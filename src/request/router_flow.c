#include "router_private.h"

#include "damaskyard/successor.h"

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
	return route_table_find_incarnation(router->table,
					    opening->incarnation);
}

static route_member_t *pick_member(dy_router_t *router, const packet_t *packet)
{
	route_service_t *service = packet->service;
	int at;

	at = dy_pick(&router->pick, service->loads, service->count,
		     router->config.rand, packet->now_ms);
	if (at < 0)
		return NULL;
	dy_pick_note_opening(&service->loads[at], packet->now_ms);
	return service->members[at];
}

/* A flow opens, or an idempotent call finds its own target gone. */
void router_open_flow(dy_router_t *router, const packet_t *packet)
{
	opening_t opening = { 0 };
	route_member_t *member = NULL;

	if (!router->confirmed) {
		++*router->counters.not_ready;
		router_refuse(router, packet, DY_NOT_RUN, DY_REASON_NOT_READY,
			      RETRY_NOT_READY_MS);
		return;
	}
	opening.key = openings_key(&packet->datagram->caller, packet->call.xid);
	if (!packet->hops) {
		dy_retry_budget_deposit(&router->retries);
		member = find_earlier(router, packet, opening.key);
	}
	if (member) {
		forward_to(router, packet, member);
		return;
	}
	member = pick_member(router, packet);
	if (!member) {
		++*router->counters.no_target;
		router_refuse(router, packet, DY_NOT_RUN, DY_REASON_NO_TARGET,
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
 *
 * Guards against a balancer that has just started and knows a part of the
 * state: the record that leads to the session may come with the next page,
 * and a verdict now would break the flow. The caller sends again.
 */
static void answer_lost(dy_router_t *router, const packet_t *packet)
{
	if (packet->idempotent) {
		router_open_flow(router, packet);
		return;
	}
	if (!router->complete) {
		router_drop(router, router->counters.too_early,
			    "call_before_state", packet);
		return;
	}
	++*router->counters.target_lost;
	router_refuse(router, packet, DY_MAY_HAVE_RUN, DY_REASON_TARGET_LOST,
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

	for (i = 0; member && i < ROUTE_SUCCESSOR_HOPS_MAX; i++) {
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
		member = route_table_find_incarnation(router->table, next);
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
		dy_pick_note_call(pick, packet->now_ms);
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

	member =
		route_table_find_incarnation(router->table, token->incarnation);
	if (!member) {
		current = route_table_find_current(router->table, token->agent);
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

void router_route_call(dy_router_t *router, packet_t *packet)
{
	dy_token_status_t status;

	status = dy_token_load(router->config.keyring, &packet->call.credential,
			       &packet->token);
	switch (status) {
	case DY_TOKEN_OK:
		if (packet->token.service != packet->datagram->service)
			router_drop(router, router->counters.other_service,
				    "token_other_service", packet);
		else
			route_flow(router, packet);
		break;
	case DY_TOKEN_NONE:
		if (packet->idempotent) {
			router_open_flow(router, packet);
			break;
		}
		router_refuse_too_weak(router, packet);
		break;
	case DY_TOKEN_EXPIRED:
		++*router->counters.expired;
		answer_lost(router, packet);
		break;
	case DY_TOKEN_MALFORMED:
	case DY_TOKEN_FORGED:
		router_drop(router, router->counters.forged, "token_forged",
			    packet);
		break;
	}
}
