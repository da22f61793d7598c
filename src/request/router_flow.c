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

/* Returns the agent that got the first copy of an opening, or NULL. */
static route_member_t *find_first_agent(dy_router_t *router,
					const packet_t *packet, uint64_t key)
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

/* Records an opening that was sent to a target. */
static void add_opening(dy_router_t *router, const opening_t *opening)
{
	opening_t displaced[OPENINGS_DISPLACED_MAX];
	dy_pick_target_t *pick;
	unsigned count;
	unsigned i;

	count = openings_add(router->openings, opening, displaced);
	for (i = 0; i < count; i++) {
		pick = router_find_pick(router, displaced[i].service,
					displaced[i].incarnation);
		if (pick)
			dy_pick_note_dropped_opening(pick);
	}
}

/*
 * Forwards a call that opens a flow, or an idempotent call whose target is
 * lost, to a selected target.
 */
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
		dy_retry_budget_deposit(&router->retry_budget);
		member = find_first_agent(router, packet, opening.key);
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
	add_opening(router, &opening);
	++*router->counters.opened;
	forward_to(router, packet, member);
}

/*
 * Handles a call whose token names a lost incarnation without a successor for
 * its session. A duplicate of a non-idempotent call may have run there, so the
 * call gets the verdict may have run and is never run a second time.
 *
 * A balancer that has just started has only a part of the state: the record
 * that leads to the session may be on the next page, and a verdict would break
 * the flow. It drops the call; the caller retransmits.
 */
static void handle_lost_target(dy_router_t *router, const packet_t *packet)
{
	if (packet->idempotent) {
		router_open_flow(router, packet);
		return;
	}
	if (!router->state_complete) {
		router_drop(router, router->counters.before_state,
			    "call_before_state", packet);
		return;
	}
	++*router->counters.target_lost;
	router_refuse(router, packet, DY_MAY_HAVE_RUN, DY_REASON_TARGET_LOST,
		      RETRY_NOT_READY_MS);
}

/*
 * Returns 1 if a suspect agent counts as lost. Control has received no poll
 * from it for a lease, but it may be cut off from control alone: it is lost
 * only if it has not answered the calls of this balancer either.
 */
static int is_unresponsive(dy_router_t *router, const packet_t *packet,
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
 * Follows a chain of planned stops from the member named by the token to the
 * one that holds the session now. Returns NULL if the chain ends at a member
 * that is lost, or is too long.
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
		++*router->counters.to_successor;
		member = route_table_find_incarnation(router->table, next);
	}
	return NULL;
}

static void forward_to_owner(dy_router_t *router, const packet_t *packet,
			     route_member_t *member)
{
	dy_pick_target_t *pick;

	if (is_unresponsive(router, packet, member)) {
		handle_lost_target(router, packet);
		return;
	}
	pick = route_service_find(packet->service, member);
	if (pick)
		dy_pick_note_call(pick, packet->now_ms);
	forward_to(router, packet, member);
}

/*
 * Routes a call with a valid token. An incarnation that this balancer does not
 * have yet is newer than its state: the address is in the token.
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
			handle_lost_target(router, packet);
		return;
	}
	member = find_owner(router, packet, member);
	if (member)
		forward_to_owner(router, packet, member);
	else
		handle_lost_target(router, packet);
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
		handle_lost_target(router, packet);
		break;
	case DY_TOKEN_MALFORMED:
	case DY_TOKEN_FORGED:
		router_drop(router, router->counters.forged, "token_forged",
			    packet);
		break;
	}
}
