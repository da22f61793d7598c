#include "flow_router_private.h"

#include <string.h>

#include "damaskyard/address.h"

static void register_counters(dy_flow_router_t *router)
{
	const dy_metrics_entry_t entries[] = {
		{ "packets", &router->packets },
		{ "flows_opened", &router->opened },
		{ "flows_searched", &router->searched },
		{ "searches_deferred", &router->deferred },
		{ "searches_retried", &router->retried },
		{ "search_parts", &router->parts },
		{ "search_agents_silent", &router->silent },
		{ "flows_reset", &router->resets },
		{ "openings_refused", &router->refused },
		{ "packets_no_entry", &router->no_entry },
		{ "packets_unplaced", &router->unplaced },
		{ "openings_second_chance", &router->second_chances },
		{ "packets_relayed", &router->relayed },
		{ "openings_waited", &router->waited },
		{ "openings_granted", &router->granted },
		{ "openings_waited_out", &router->waited_out },
		{ "openings_unservable", &router->unservable },
		{ "grants_unused", &router->grants_unused },
		{ "uploads_waited", &router->uploads_waited },
		{ "uploads_waited_out", &router->uploads_waited_out },
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
	dy_list_init(&router->tracks);
	router->bulk.bytes_per_s = config->link_bytes_per_s;
	dy_list_init(&router->uploads);
	router->waiting_uploads = dy_opening_queue_create();
	router->refused_uploads = dy_refused_callers_create();
	router->waiting = dy_waiting_openings_create();
	router->shortage = dy_service_shortage_create();
	dy_histogram_init(&router->wait_ms, config->metrics, "opening_wait_ms");
	router->assigned_limit = limit;
	router->reset_limit = limit;
	router->refusal_limit = limit;
	router->searched_limit = limit;
	router->silent_limit = limit;
	router->retried_limit = limit;
	router->path_limit = limit;
	router->waiting_limit = limit;
	router->upload_limit = limit;
	register_counters(router);
	flow_router_watch_pace(router);
	return router;
}

void dy_flow_router_destroy(dy_flow_router_t *router)
{
	if (!router)
		return;
	while (!dy_list_empty(&router->by_use))
		flow_router_drop_flow(router, DY_LIST_ITEM(router->by_use.next,
							   flow_t, link));
	g_hash_table_destroy(router->flows);
	dy_opening_queue_destroy(router->waiting_uploads);
	dy_refused_callers_destroy(router->refused_uploads);
	dy_waiting_openings_destroy(router->waiting);
	dy_service_shortage_destroy(router->shortage);
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
	flow_router_reroute_waiting(router);
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

void flow_router_touch(dy_flow_router_t *router, flow_t *flow, uint64_t now_ms)
{
	flow->used_ms = now_ms;
	dy_list_remove(&flow->link);
	dy_list_append(&router->by_use, &flow->link);
}

void flow_router_drop_flow(dy_flow_router_t *router, flow_t *flow)
{
	dy_list_remove(&flow->link);
	dy_list_remove(&flow->not_found_link);
	flow_router_abort_upload(router, flow);
	flow_router_untrack(router, flow);
	dy_search_limit_end(&router->searches, &flow->search);
	g_hash_table_remove(router->flows, &flow->id);
}

flow_t *flow_router_get_flow(dy_flow_router_t *router, const dy_flow_id_t *id,
			     uint64_t now_ms)
{
	flow_t *flow = g_hash_table_lookup(router->flows, id);

	if (!flow) {
		if (g_hash_table_size(router->flows) >= DY_FLOWS_MAX)
			flow_router_drop_flow(router,
					      DY_LIST_ITEM(router->by_use.next,
							   flow_t, link));
		flow = g_new0(flow_t, 1);
		flow->id = *id;
		dy_list_init(&flow->link);
		dy_list_init(&flow->not_found_link);
		dy_list_init(&flow->upload_link);
		dy_search_slot_init(&flow->search);
		g_hash_table_insert(router->flows, &flow->id, flow);
	}
	flow_router_touch(router, flow, now_ms);
	return flow;
}

void flow_router_send_forward(dy_flow_router_t *router,
			      dy_flow_forward_t *forward,
			      const dy_packet_t *packet, uint8_t *bytes,
			      size_t len)
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

void flow_router_send_to_holder(dy_flow_router_t *router, flow_t *flow,
				const dy_packet_t *packet, uint8_t *bytes,
				size_t len, uint64_t now_ms)
{
	dy_flow_forward_t forward = { 0 };
	dy_address_t path[2];

	forward.tell = !flow->open;
	forward.tries.tries_val = path;
	forward.tries.tries_len = find_path(router, flow, now_ms, path);
	forward.certain = forward.tries.tries_len == 1;
	flow_router_send_forward(router, &forward, packet, bytes, len);
}

const dy_flow_entry_t *flow_router_find_entry(const dy_flow_router_t *router,
					      const dy_flow_id_t *flow)
{
	if (!router->rules)
		return NULL;
	return dy_flow_rules_find(router->rules, flow->entry_ip,
				  (uint16_t)flow->entry_port);
}

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
	const dy_flow_entry_t *entry =
		flow_router_find_entry(router, &flow->id);

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
		flow_router_end_flow(router, flow, packet, &flow->agent,
				     "agent_lost", now_ms);
		return;
	}
	flow_router_drop_flow(router, flow);
	flow_router_search(router, packet, bytes, len, now_ms);
}

void dy_flow_router_receive_packet(dy_flow_router_t *router,
				   const dy_packet_t *packet, uint8_t *bytes,
				   size_t len, uint64_t now_ms)
{
	flow_t *flow;

	++*router->packets;
	flow = g_hash_table_lookup(router->flows, &packet->flow);
	if (packet->flags & DY_PACKET_SYN) {
		/* The caller has given up the flow that was searched for. */
		if (flow)
			flow_router_untrack(router, flow);
		flow_router_route_opening(router, packet, bytes, len, now_ms);
		return;
	}
	if (packet->flags & DY_PACKET_RST &&
	    dy_waiting_openings_remove(router->waiting, &packet->flow))
		return;
	if (!flow || !flow->agent.port) {
		flow_router_search(router, packet, bytes, len, now_ms);
		return;
	}
	flow_router_touch(router, flow, now_ms);
	flow_router_update_upload(router, flow, packet, now_ms);
	if (dy_flow_targets_is_lost(router->targets, &flow->agent, now_ms)) {
		handle_lost_agent(router, flow, packet, bytes, len, now_ms);
		return;
	}
	inquire_about_holder(router, flow, now_ms);
	if (flow->open && holder_is_unresponsive(router, flow, now_ms))
		flow_router_end_flow(router, flow, packet, &flow->agent,
				     "agent_unresponsive", now_ms);
	else
		flow_router_send_to_holder(router, flow, packet, bytes, len,
					   now_ms);
}

void dy_flow_router_receive_held(dy_flow_router_t *router,
				 const dy_flow_held_t *held, uint64_t now_ms)
{
	flow_t *flow = flow_router_get_flow(router, &held->flow, now_ms);

	dy_flow_targets_set_load(router->targets, &held->agent, &held->load,
				 now_ms);
	dy_flow_targets_set_pace(router->targets, &held->agent, &held->pace,
				 now_ms);
	dy_flow_targets_set_deliveries(router->targets, &held->agent,
				       held->deliveries);
	/* A half-open holder does not replace an open one. */
	if (flow->open && !held->open &&
	    !dy_address_equal(&flow->agent, &held->agent))
		return;
	/* Another transmission of its SYN may wait here. */
	dy_waiting_openings_remove(router->waiting, &held->flow);
	flow->agent = held->agent;
	flow->holder_reported = 1;
	flow->open = held->open;
	flow->searches = 0;
	flow_router_note_held(router, flow, now_ms);
	flow_router_untrack(router, flow);
	dy_list_remove(&flow->not_found_link);
	dy_search_limit_end(&router->searches, &flow->search);
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
	dy_flow_targets_set_pace(router->targets, &report->agent, &report->pace,
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
				    &finding->witness, finding->answer, now_ms);
}

void dy_flow_router_expire(dy_flow_router_t *router, uint64_t now_ms)
{
	const dy_flow_targets_ask_callbacks_t ask = {
		router->config.callbacks->request_report,
		router->config.callbacks->inquire,
	};
	flow_t *flow;

	dy_flow_targets_ask_suspects(router->targets, now_ms, &ask,
				     router->config.context);
	flow_router_serve_uploads(router, now_ms);
	flow_router_serve_waiting(router, now_ms);
	while (!dy_list_empty(&router->by_use)) {
		flow = DY_LIST_ITEM(router->by_use.next, flow_t, link);
		if (now_ms - flow->used_ms < DY_FLOW_IDLE_MS)
			return;
		flow_router_drop_flow(router, flow);
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
