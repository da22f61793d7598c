#include "damaskyard/flow_router.h"

#include <string.h>

#include <glib.h>

#include "damaskyard/address.h"
#include "damaskyard/list.h"
#include "damaskyard/log.h"
#include "damaskyard/search_limit.h"

/* A cached flow. */
typedef struct flow {
	dy_list_t link; /* in by_use, ordered by used_ms */
	dy_flow_id_t id;
	dy_address_t agent;  /* port 0: unknown */
	int holder_reported; /* the agent reported that it holds the flow */
	int open;	     /* the agent reported the complete handshake */
	uint64_t used_ms;
	dy_search_slot_t search;
	dy_list_t not_found_link;     /* in the router's list of such flows */
	uint64_t not_found_ms;	      /* when a search found no holder */
	uint32_t not_found_order;     /* order of that search */
	unsigned searches;	      /* since the holder was last found */
	dy_packet_t not_found_packet; /* the packet of that search */
} flow_t;

/* Progress of a search for a flow's holder. */
typedef struct search_progress {
	unsigned window;
	int certain; /* all agents asked so far were certain */
} search_progress_t;

struct dy_flow_router {
	dy_flow_router_config_t config;
	dy_flow_targets_t *targets;
	dy_flow_rules_t *rules;
	GHashTable *flows;
	dy_list_t by_use;
	dy_list_t not_found;
	dy_search_limit_t searches;
	/* Version of the search order (of members and rules); never 0. */
	uint32_t order;
	dy_log_limit_t assigned_limit;
	dy_log_limit_t reset_limit;
	dy_log_limit_t searched_limit;
	uint64_t *packets;
	uint64_t *opened;
	uint64_t *searched;
	uint64_t *deferred;
	uint64_t *resets;
	uint64_t *refused;
	uint64_t *no_entry;
	uint64_t *unplaced;
	uint64_t *second_chances;
	uint64_t *relayed;
	dy_log_limit_t path_limit;
};

static void register_counters(dy_flow_router_t *router)
{
	const dy_metrics_entry_t entries[] = {
		{ "packets", &router->packets },
		{ "flows_opened", &router->opened },
		{ "flows_searched", &router->searched },
		{ "searches_deferred", &router->deferred },
		{ "flows_reset", &router->resets },
		{ "openings_refused", &router->refused },
		{ "packets_no_entry", &router->no_entry },
		{ "packets_unplaced", &router->unplaced },
		{ "openings_second_chance", &router->second_chances },
		{ "packets_relayed", &router->relayed },
	};

	dy_metrics_counters(router->config.metrics, entries,
			    G_N_ELEMENTS(entries));
}

dy_flow_router_t *dy_flow_router_create(const dy_flow_router_config_t *config)
{
	static const dy_log_limit_t limit = DY_LOG_LIMIT_INIT(100, 1000);
	dy_flow_router_t *router = g_new0(dy_flow_router_t, 1);

	router->config = *config;
	router->targets = dy_flow_targets_create(config->domain);
	router->flows = g_hash_table_new_full(
		dy_flow_id_table_hash, dy_flow_id_table_equal, NULL, g_free);
	router->order = 1;
	dy_list_init(&router->by_use);
	dy_list_init(&router->not_found);
	dy_search_limit_init(&router->searches);
	router->assigned_limit = limit;
	router->reset_limit = limit;
	router->searched_limit = limit;
	router->path_limit = limit;
	register_counters(router);
	return router;
}

void dy_flow_router_destroy(dy_flow_router_t *router)
{
	if (!router)
		return;
	g_hash_table_destroy(router->flows);
	dy_flow_targets_destroy(router->targets);
	dy_flow_rules_destroy(router->rules);
	g_free(router);
}

static void advance_order(dy_flow_router_t *router)
{
	if (!++router->order)
		++router->order;
}

void dy_flow_router_set_rules(dy_flow_router_t *router, dy_flow_rules_t *rules)
{
	if (router->rules && dy_flow_rules_version(rules) <
				     dy_flow_rules_version(router->rules)) {
		dy_flow_rules_destroy(rules);
		return;
	}
	dy_flow_rules_destroy(router->rules);
	router->rules = rules;
	advance_order(router);
}

void dy_flow_router_set_member(dy_flow_router_t *router,
			       const dy_member_t *member)
{
	if (member->info.kind == DY_MEMBER_AGENT)
		advance_order(router);
	dy_flow_targets_set_member(router->targets, member);
}

void dy_flow_router_set_domain(dy_flow_router_t *router,
			       const dy_domain_info_t *domain)
{
	dy_flow_targets_set_domain(router->targets, domain->name,
				   domain->evacuated);
}

static void touch(dy_flow_router_t *router, flow_t *flow, uint64_t now_ms)
{
	flow->used_ms = now_ms;
	dy_list_remove(&flow->link);
	dy_list_append(&router->by_use, &flow->link);
}

static void drop_flow(dy_flow_router_t *router, flow_t *flow)
{
	dy_list_remove(&flow->link);
	dy_list_remove(&flow->not_found_link);
	dy_search_limit_end(&router->searches, &flow->search);
	g_hash_table_remove(router->flows, &flow->id);
}

static flow_t *get_flow(dy_flow_router_t *router, const dy_flow_id_t *id,
			uint64_t now_ms)
{
	flow_t *flow = g_hash_table_lookup(router->flows, id);

	if (!flow) {
		if (g_hash_table_size(router->flows) >= DY_FLOWS_MAX)
			drop_flow(router, DY_LIST_ITEM(router->by_use.next,
						       flow_t, link));
		flow = g_new0(flow_t, 1);
		flow->id = *id;
		dy_list_init(&flow->link);
		dy_list_init(&flow->not_found_link);
		dy_search_slot_init(&flow->search);
		g_hash_table_insert(router->flows, &flow->id, flow);
	}
	touch(router, flow, now_ms);
	return flow;
}

static void reset(dy_flow_router_t *router, const dy_packet_t *packet,
		  const char *reason, uint64_t now_ms)
{
	char text[DY_FLOW_TEXT_BYTES];

	/* The caller has reset the flow itself. */
	if (packet->flags & DY_PACKET_RST)
		return;
	++*router->resets;
	if (dy_log_allow(&router->reset_limit, "flow_reset", now_ms))
		dy_log_event(DY_LOG_INFO, "flow_reset",
			     "flow=%s opening=%d reason=%s",
			     dy_flow_id_format(&packet->flow, text),
			     !!(packet->flags & DY_PACKET_SYN), reason);
	router->config.callbacks->reset(router->config.context, &packet->flow,
					packet->ack);
}

void dy_flow_router_set_members_confirmed(dy_flow_router_t *router,
					  uint64_t polled_ms)
{
	dy_list_t *pos;
	dy_list_t *tmp;
	flow_t *flow;

	dy_flow_targets_set_members_confirmed(router->targets, polled_ms);
	DY_LIST_EACH_SAFE(pos, tmp, &router->not_found)
	{
		flow = DY_LIST_ITEM(pos, flow_t, not_found_link);
		if (polled_ms <= flow->not_found_ms)
			continue;
		dy_list_remove(&flow->not_found_link);
		if (flow->not_found_order != router->order)
			continue;
		reset(router, &flow->not_found_packet, "nowhere", polled_ms);
		drop_flow(router, flow);
	}
}

static void send_forward(dy_flow_router_t *router, dy_flow_forward_t *forward,
			 const dy_packet_t *packet, uint8_t *bytes, size_t len)
{
	forward->balancer = router->config.self;
	forward->order = router->order;
	forward->packet.packet_val = (char *)bytes;
	forward->packet.packet_len = (u_int)len;
	if (!forward->service)
		forward->service = "";
	router->config.callbacks->forward(router->config.context, forward,
					  packet);
}

static void request_report(dy_flow_router_t *router, const dy_address_t *agent,
			   uint64_t now_ms)
{
	if (dy_flow_targets_begin_probe(router->targets, agent, now_ms))
		router->config.callbacks->request_report(router->config.context,
							 agent);
}

/*
 * Fills path with the agents that a packet takes to the holder: the holder
 * alone, or a relay before it while the direct path is broken. Meanwhile the
 * holder gets direct report requests, so that its reports show when the path
 * works again.
 */
static unsigned find_path(dy_flow_router_t *router, const flow_t *flow,
			  uint64_t now_ms, dy_address_t path[2])
{
	if (!dy_flow_targets_is_path_broken(router->targets, &flow->agent) ||
	    !dy_flow_targets_find_relay(router->targets, &flow->agent,
					&flow->id, now_ms, &path[0])) {
		path[0] = flow->agent;
		return 1;
	}
	request_report(router, &flow->agent, now_ms);
	++*router->relayed;
	path[1] = flow->agent;
	return 2;
}

static void send_to_holder(dy_flow_router_t *router, flow_t *flow,
			   const dy_packet_t *packet, uint8_t *bytes,
			   size_t len, uint64_t now_ms)
{
	dy_flow_forward_t forward = { 0 };
	dy_address_t path[2];

	forward.tell = !flow->open;
	forward.tries.tries_val = path;
	forward.tries.tries_len = find_path(router, flow, now_ms, path);
	forward.certain = forward.tries.tries_len == 1;
	send_forward(router, &forward, packet, bytes, len);
}

static const dy_flow_entry_t *find_entry(const dy_flow_router_t *router,
					 const dy_flow_id_t *flow)
{
	if (!router->rules)
		return NULL;
	return dy_flow_rules_find(router->rules, flow->entry_ip,
				  (uint16_t)flow->entry_port);
}

/*
 * Chooses the service of a new flow and lists its agents, best first. The
 * service is the one that the flow's hash selects, or the entry's next one with
 * a target.
 */
static unsigned choose_agents(const dy_flow_router_t *router,
			      const dy_flow_entry_t *entry,
			      const dy_flow_id_t *flow, uint64_t now_ms,
			      const char **service,
			      dy_address_t list[DY_FLOW_TRIES])
{
	uint8_t order[DY_FLOW_SHARES_MAX];
	const dy_flow_share_t *share;
	unsigned count = 0;
	unsigned i;

	dy_flow_entry_order_shares(entry, flow, order);
	for (i = 0; i < entry->share_count && !count; i++) {
		share = &entry->shares[order[i]];
		if (!share->weight)
			continue;
		*service = share->service;
		count = dy_flow_targets_choose(router->targets, share->service,
					       flow, now_ms, list);
	}
	return count;
}

static void log_assigned(dy_flow_router_t *router, const flow_t *flow,
			 const char *service, unsigned candidates,
			 unsigned retransmits, uint64_t now_ms)
{
	char text[DY_FLOW_TEXT_BYTES];
	char agent[DY_ADDRESS_TEXT_BYTES];

	if (!dy_log_allow(&router->assigned_limit, "flow_assigned", now_ms))
		return;
	dy_log_event(DY_LOG_INFO, "flow_assigned",
		     "flow=%s service=%s agent=%s choices=%u copy=%u "
		     "version=%lu",
		     dy_flow_id_format(&flow->id, text), service,
		     dy_address_format(&flow->agent, agent), candidates,
		     retransmits,
		     (unsigned long)dy_flow_rules_version(router->rules));
}

/*
 * A retransmitted SYN whose first agent did not report back gets a second
 * chance with another agent, because the first one may be gone. If both targets
 * respond, the caller acknowledges one of them, which tells the agents who has
 * the flow.
 */
static void handle_unanswered_opening(dy_flow_router_t *router,
				      const flow_t *flow, uint64_t now_ms)
{
	if (!flow || !flow->agent.port)
		return;
	++*router->second_chances;
	dy_flow_targets_note_unanswered(router->targets, &flow->agent, now_ms);
}

/*
 * Appends the best candidate once more at the end of the list, where openings
 * wait.
 *
 * Load pattern: all targets are at capacity, and hundreds of openings arrive at
 * the same time.
 * Without it: openings wait at their last candidate. That is the fullest
 * target, the same one for all flows, and they wait there until they are
 * refused while slots become free at other targets.
 * Mechanism: the best candidate is also the last one. Balancers count the flows
 * that they opened, so this candidate varies between openings.
 */
static unsigned append_best_candidate(dy_address_t list[DY_FLOW_TRIES],
				      unsigned count)
{
	if (count > 1 && count < DY_FLOW_TRIES)
		list[count++] = list[0];
	return count;
}

static void route_opening(dy_flow_router_t *router, const dy_packet_t *packet,
			  uint8_t *bytes, size_t len, uint64_t now_ms)
{
	const dy_flow_entry_t *entry = find_entry(router, &packet->flow);
	flow_t *flow = g_hash_table_lookup(router->flows, &packet->flow);
	dy_address_t list[DY_FLOW_TRIES];
	dy_flow_forward_t forward = { 0 };
	const char *service = NULL;
	unsigned count;

	if (!entry) {
		++*router->no_entry;
		reset(router, packet, "no_entry", now_ms);
		return;
	}
	if (flow && flow->holder_reported) {
		touch(router, flow, now_ms);
		send_to_holder(router, flow, packet, bytes, len, now_ms);
		return;
	}
	handle_unanswered_opening(router, flow, now_ms);
	count = choose_agents(router, entry, &packet->flow, now_ms, &service,
			      list);
	if (!count) {
		++*router->refused;
		reset(router, packet, "no_target", now_ms);
		return;
	}
	++*router->opened;
	flow = get_flow(router, &packet->flow, now_ms);
	flow->agent = list[0];
	dy_flow_targets_note_opened(router->targets, &list[0]);
	log_assigned(router, flow, service, count, packet->retransmits, now_ms);
	forward.service = (char *)service;
	forward.cold_openings =
		dy_flow_rules_cold_openings(router->rules, service);
	forward.tell = 1;
	forward.certain = 1;
	forward.complete = 1;
	forward.tries.tries_val = list;
	forward.tries.tries_len = append_best_candidate(list, count);
	send_forward(router, &forward, packet, bytes, len);
}

/*
 * Guards against an agent that is gone without being known as lost: a search
 * ends there, and so would the search of a retransmission. Further searches of
 * a flow start further down the list, and every second one runs backwards.
 */
static void permute_list(dy_address_t *list, unsigned count, unsigned searches)
{
	dy_address_t copy[DY_FLOW_TRIES];
	unsigned i;

	memcpy(copy, list, count * sizeof(*list));
	for (i = 0; i < count; i++)
		list[i] = searches % 2
				  ? copy[(2 * count - 1 - i - searches / 2) %
					 count]
				  : copy[(i + searches / 2) % count];
}

/*
 * Logs a search, with the id of the request that starts in the packet, if any:
 * operators look up a request by this id.
 */
static void log_searched(dy_flow_router_t *router, const dy_packet_t *packet,
			 unsigned agents, unsigned before, uint64_t now_ms)
{
	char text[DY_FLOW_TEXT_BYTES];
	char request[40] = "";

	if (!dy_log_allow(&router->searched_limit, "flow_searched", now_ms))
		return;
	if (packet->request_id)
		g_snprintf(request, sizeof(request), "%.*s",
			   (int)packet->request_id_len, packet->request_id);
	dy_log_event(DY_LOG_INFO, "flow_searched",
		     "flow=%s request=%s agents=%u searches_before=%u",
		     dy_flow_id_format(&packet->flow, text),
		     dy_log_quote(request), agents, before);
}

/*
 * Moves the agents of a window, counted from 1, to the front of the list and
 * skips lost agents, at which a search would end. Advances to the next window
 * if none is left. Returns the number of agents.
 */
static unsigned select_window(const dy_flow_router_t *router,
			      dy_address_t *list, unsigned total,
			      unsigned *window, uint64_t now_ms)
{
	unsigned count = 0;
	unsigned i;

	for (;; ++*window) {
		i = (*window - 1) * DY_FLOW_TRIES;
		if (i >= total)
			return 0;
		for (; i < MIN(total, *window * DY_FLOW_TRIES); i++)
			if (!dy_flow_targets_is_lost(router->targets, &list[i],
						     now_ms))
				list[count++] = list[i];
		if (count)
			return count;
	}
}

/*
 * Sends a packet along the agents that may hold its flow: those of one window,
 * counted from 1, of the search order.
 */
static void search(dy_flow_router_t *router, const dy_packet_t *packet,
		   uint8_t *bytes, size_t len,
		   const search_progress_t *progress, uint64_t now_ms)
{
	const dy_flow_entry_t *entry = find_entry(router, &packet->flow);
	const char *services[DY_FLOW_SHARES_MAX];
	dy_address_t list[DY_FLOW_SEARCH_MAX];
	uint8_t order[DY_FLOW_SHARES_MAX];
	dy_flow_forward_t forward = { 0 };
	unsigned window = progress->window;
	int complete = 0;
	flow_t *flow;
	unsigned total;
	unsigned count;
	unsigned i;

	if (!entry) {
		++*router->no_entry;
		return;
	}
	dy_flow_entry_order_shares(entry, &packet->flow, order);
	for (i = 0; i < entry->share_count; i++)
		services[i] = entry->shares[order[i]].service;
	total = dy_flow_targets_search(router->targets, services,
				       entry->share_count, &packet->flow,
				       &complete, list);
	count = select_window(router, list, total, &window, now_ms);
	if (!count) {
		++*router->unplaced;
		return;
	}
	flow = get_flow(router, &packet->flow, now_ms);
	/* A search that has started continues, so that slow ones complete. */
	if (progress->window == 1 &&
	    !dy_search_limit_begin(&router->searches, &flow->search, now_ms)) {
		++*router->deferred;
		return;
	}
	++*router->searched;
	if (progress->window == 1) {
		log_searched(router, packet, total, flow->searches, now_ms);
		permute_list(list, count, flow->searches++);
	}
	forward.tell = 1;
	forward.window = window;
	forward.complete = complete && window * DY_FLOW_TRIES >= total;
	forward.certain = progress->certain;
	forward.tries.tries_val = list;
	forward.tries.tries_len = count;
	send_forward(router, &forward, packet, bytes, len);
}

static const search_progress_t search_start = { 1, 1 };

/*
 * Returns whether a flow's holder is unresponsive and its caller should go
 * elsewhere.
 *
 * Load pattern: the VMs of some agents are paused or lose power, with long
 * flows that carry one request per second.
 * Without it: each request on such a flow waits for its whole deadline, until
 * the agent's lease expires.
 * Mechanism: a flow whose requests may be repeated is reset at once, and its
 * caller repeats them elsewhere. A reset would lose a request that must not run
 * twice, so such a flow waits until the holder returns or is lost. The agent is
 * asked for a report meanwhile.
 */
static int holder_is_unresponsive(dy_flow_router_t *router, const flow_t *flow,
				  uint64_t now_ms)
{
	const dy_flow_entry_t *entry = find_entry(router, &flow->id);

	if (!entry || !entry->repeatable ||
	    !dy_flow_targets_is_unresponsive(router->targets, &flow->agent,
					     now_ms))
		return 0;
	request_report(router, &flow->agent, now_ms);
	return 1;
}

/* Asks other agents about a holder that owes a report. */
static void inquire_about_holder(dy_flow_router_t *router, const flow_t *flow,
				 uint64_t now_ms)
{
	dy_address_t witnesses[DY_FLOW_WITNESSES];
	unsigned count;
	unsigned i;

	count = dy_flow_targets_begin_inquiry(router->targets, &flow->agent,
					      &flow->id, now_ms, witnesses);
	for (i = 0; i < count; i++)
		router->config.callbacks->inquire(router->config.context,
						  &witnesses[i], &flow->agent);
}

static void end_flow(dy_flow_router_t *router, flow_t *flow,
		     const dy_packet_t *packet, const char *reason,
		     uint64_t now_ms)
{
	reset(router, packet, reason, now_ms);
	drop_flow(router, flow);
}

/*
 * Handles a packet whose cached agent is lost. Guards against a flow that
 * another balancer opened elsewhere with a retransmitted SYN: only a flow that
 * was open at the lost agent is certainly lost with it.
 */
static void handle_lost_agent(dy_flow_router_t *router, flow_t *flow,
			      const dy_packet_t *packet, uint8_t *bytes,
			      size_t len, uint64_t now_ms)
{
	if (flow->open) {
		end_flow(router, flow, packet, "agent_lost", now_ms);
		return;
	}
	drop_flow(router, flow);
	search(router, packet, bytes, len, &search_start, now_ms);
}

void dy_flow_router_receive_packet(dy_flow_router_t *router,
				   const dy_packet_t *packet, uint8_t *bytes,
				   size_t len, uint64_t now_ms)
{
	flow_t *flow;

	++*router->packets;
	if (packet->flags & DY_PACKET_SYN) {
		route_opening(router, packet, bytes, len, now_ms);
		return;
	}
	flow = g_hash_table_lookup(router->flows, &packet->flow);
	if (!flow || !flow->agent.port) {
		search(router, packet, bytes, len, &search_start, now_ms);
		return;
	}
	touch(router, flow, now_ms);
	if (dy_flow_targets_is_lost(router->targets, &flow->agent, now_ms)) {
		handle_lost_agent(router, flow, packet, bytes, len, now_ms);
		return;
	}
	inquire_about_holder(router, flow, now_ms);
	if (flow->open && holder_is_unresponsive(router, flow, now_ms))
		end_flow(router, flow, packet, "agent_unresponsive", now_ms);
	else
		send_to_holder(router, flow, packet, bytes, len, now_ms);
}

void dy_flow_router_receive_held(dy_flow_router_t *router,
				 const dy_flow_held_t *held, uint64_t now_ms)
{
	flow_t *flow = get_flow(router, &held->flow, now_ms);

	dy_flow_targets_set_load(router->targets, &held->agent, &held->load,
				 now_ms);
	dy_flow_targets_set_deliveries(router->targets, &held->agent,
				       held->deliveries);
	/* A half-open holder does not replace an open one. */
	if (flow->open && !held->open &&
	    !dy_address_equal(&flow->agent, &held->agent))
		return;
	flow->agent = held->agent;
	flow->holder_reported = 1;
	flow->open = held->open;
	flow->searches = 0;
	dy_list_remove(&flow->not_found_link);
	dy_search_limit_end(&router->searches, &flow->search);
}

/*
 * Returns whether a flow is certainly over: the agent that had it open lost it.
 */
static int is_flow_lost(const flow_t *flow, const dy_flow_nowhere_t *nowhere)
{
	return nowhere->certain && flow->open &&
	       dy_address_equal(&flow->agent, &nowhere->agent);
}

/* Waits for a confirmation of the members: no known agent holds the flow. */
static void await_confirmation(dy_flow_router_t *router, flow_t *flow,
			       const dy_flow_nowhere_t *nowhere,
			       const dy_packet_t *packet, uint64_t now_ms)
{
	flow->not_found_ms = now_ms;
	flow->not_found_order = nowhere->order;
	flow->not_found_packet = *packet;
	/* The id points into a packet that is not kept. */
	flow->not_found_packet.request_id = NULL;
	dy_list_remove(&flow->not_found_link);
	dy_list_append(&router->not_found, &flow->not_found_link);
	router->config.callbacks->confirm_members(router->config.context);
}

static void handle_refusal(dy_flow_router_t *router, flow_t *flow,
			   const dy_flow_nowhere_t *nowhere,
			   const dy_packet_t *packet, uint64_t now_ms)
{
	/* Another transmission of the SYN may have been admitted elsewhere. */
	if (flow && flow->holder_reported &&
	    !dy_address_equal(&flow->agent, &nowhere->agent))
		return;
	++*router->refused;
	reset(router, packet, "refused", now_ms);
	if (flow)
		drop_flow(router, flow);
}

void dy_flow_router_receive_nowhere(dy_flow_router_t *router,
				    const dy_flow_nowhere_t *nowhere,
				    const dy_packet_t *packet, uint64_t now_ms)
{
	flow_t *flow = g_hash_table_lookup(router->flows, &nowhere->flow);
	search_progress_t next;

	if (nowhere->reason == DY_FLOW_REFUSED) {
		handle_refusal(router, flow, nowhere, packet, now_ms);
		return;
	}
	if (!flow)
		flow = get_flow(router, &nowhere->flow, now_ms);
	if (is_flow_lost(flow, nowhere)) {
		end_flow(router, flow, packet, "lost_by_holder", now_ms);
		return;
	}
	/* The cached holder does not hold the flow: search among the others. */
	if (flow->agent.port &&
	    dy_address_equal(&flow->agent, &nowhere->agent)) {
		memset(&flow->agent, 0, sizeof(flow->agent));
		flow->holder_reported = 0;
		flow->open = 0;
	}
	/* Another search of the flow has found the holder. */
	if (flow->holder_reported) {
		send_to_holder(router, flow, packet,
			       (uint8_t *)nowhere->packet.packet_val,
			       nowhere->packet.packet_len, now_ms);
		return;
	}
	if (nowhere->complete) {
		dy_search_limit_end(&router->searches, &flow->search);
		++*router->unplaced;
		if (nowhere->certain && nowhere->order)
			await_confirmation(router, flow, nowhere, packet,
					   now_ms);
		return;
	}
	next.window = nowhere->window + 1;
	next.certain = nowhere->certain && nowhere->order;
	/* The order has changed; the next window would leave agents out. */
	if (nowhere->order && nowhere->order != router->order)
		next = search_start;
	search(router, packet, (uint8_t *)nowhere->packet.packet_val,
	       nowhere->packet.packet_len, &next, now_ms);
}

static void log_path(dy_flow_router_t *router, const dy_address_t *agent,
		     uint64_t now_ms)
{
	char text[DY_ADDRESS_TEXT_BYTES];

	if (dy_log_allow(&router->path_limit, "agent_path", now_ms))
		dy_log_event(
			DY_LOG_WARN, "agent_path", "agent=%s broken=%d",
			dy_address_format(agent, text),
			dy_flow_targets_is_path_broken(router->targets, agent));
}

void dy_flow_router_receive_report(dy_flow_router_t *router,
				   const dy_flow_report_t *report,
				   uint64_t now_ms)
{
	dy_flow_targets_set_load(router->targets, &report->agent, &report->load,
				 now_ms);
	if (dy_flow_targets_set_received(router->targets, &report->agent,
					 report->heard, now_ms))
		log_path(router, &report->agent, now_ms);
}

void dy_flow_router_receive_finding(dy_flow_router_t *router,
				    const dy_flow_finding_t *finding,
				    uint64_t now_ms)
{
	dy_flow_targets_set_finding(router->targets, &finding->agent,
				    &finding->witness, finding->answered,
				    now_ms);
}

void dy_flow_router_expire(dy_flow_router_t *router, uint64_t now_ms)
{
	flow_t *flow;

	while (!dy_list_empty(&router->by_use)) {
		flow = DY_LIST_ITEM(router->by_use.next, flow_t, link);
		if (now_ms - flow->used_ms < DY_FLOW_IDLE_MS)
			return;
		drop_flow(router, flow);
	}
}

void dy_flow_router_note_sent(dy_flow_router_t *router,
			      const dy_flow_forward_t *forward, uint64_t now_ms)
{
	dy_flow_targets_note_sent(router->targets, &forward->tries.tries_val[0],
				  now_ms);
}

int dy_flow_router_is_delivery(const dy_flow_router_t *router,
			       const dy_flow_forward_t *forward)
{
	return !forward->window && !forward->tell && !forward->complete &&
	       forward->certain && forward->tries.tries_len == 1 &&
	       dy_flow_targets_accepts_deliveries(router->targets,
						  &forward->tries.tries_val[0]);
}

unsigned dy_flow_router_count(const dy_flow_router_t *router)
{
	return g_hash_table_size(router->flows);
}
