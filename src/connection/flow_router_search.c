/* The search for the agent that holds a flow. */

#include "flow_router_private.h"

#include <string.h>

#include "damaskyard/address.h"

/* Progress of a search for a flow's holder. */
typedef struct search_progress {
	unsigned window;
	int certain; /* all agents asked so far were certain */
} search_progress_t;

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

/* Lists the agents in the order of a search, lost ones too. */
static unsigned list_all(const dy_flow_router_t *router,
			 const dy_flow_entry_t *entry, const dy_flow_id_t *flow,
			 int *complete, dy_address_t list[DY_FLOW_SEARCH_MAX])
{
	const char *services[DY_FLOW_SHARES_MAX];
	uint8_t order[DY_FLOW_SHARES_MAX];
	unsigned i;

	dy_flow_entry_order_shares(entry, flow, order);
	for (i = 0; i < entry->share_count; i++)
		services[i] = entry->shares[order[i]].service;
	return dy_flow_targets_search(router->targets, services,
				      entry->share_count, flow, complete, list);
}

unsigned flow_router_list_agents(dy_flow_router_t *router,
				 const dy_flow_id_t *flow, unsigned windows,
				 int *complete,
				 dy_address_t list[DY_FLOW_SEARCH_MAX],
				 uint64_t now_ms)
{
	const dy_flow_entry_t *entry = flow_router_find_entry(router, flow);
	unsigned count = 0;
	unsigned total;
	unsigned i;

	if (!entry)
		return 0;
	total = list_all(router, entry, flow, complete, list);
	for (i = windows * DY_FLOW_TRIES; i < total; i++)
		if (!dy_flow_targets_is_lost(router->targets, &list[i], now_ms))
			list[count++] = list[i];
	return count;
}

/*
 * Sends a packet along the agents that may hold its flow: those of one window,
 * counted from 1, of the search order.
 */
static void search(dy_flow_router_t *router, const dy_packet_t *packet,
		   uint8_t *bytes, size_t len,
		   const search_progress_t *progress, uint64_t now_ms)
{
	const dy_flow_entry_t *entry =
		flow_router_find_entry(router, &packet->flow);
	dy_address_t list[DY_FLOW_SEARCH_MAX];
	dy_flow_forward_t forward = { 0 };
	unsigned window = progress->window;
	int complete = 0;
	flow_t *flow;
	unsigned total;
	unsigned count;

	if (!entry) {
		++*router->no_entry;
		return;
	}
	total = list_all(router, entry, &packet->flow, &complete, list);
	count = select_window(router, list, total, &window, now_ms);
	if (!count) {
		++*router->unplaced;
		return;
	}
	flow = flow_router_get_flow(router, &packet->flow, now_ms);
	/* A search that has started continues, so that slow ones complete. */
	if (progress->window == 1 &&
	    !dy_search_limit_begin(&router->searches, &flow->search, now_ms)) {
		++*router->deferred;
		return;
	}
	++*router->searched;
	flow->agents_asked = total;
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
	forward.packet.packet_val = (char *)bytes;
	forward.packet.packet_len = (u_int)len;
	if (flow_router_search_in_parts(router, flow, &forward, packet, now_ms))
		return;
	flow_router_track(router, flow, &forward, packet, now_ms);
	flow_router_send_forward(router, &forward, packet, bytes, len);
}

static const search_progress_t search_start = { 1, 1 };

void flow_router_search(dy_flow_router_t *router, const dy_packet_t *packet,
			uint8_t *bytes, size_t len, uint64_t now_ms)
{
	flow_t *flow = g_hash_table_lookup(router->flows, &packet->flow);

	if (flow && flow_router_is_retried(flow)) {
		flow_router_keep_packet(flow, packet, bytes, len);
		++*router->deferred;
		return;
	}
	search(router, packet, bytes, len, &search_start, now_ms);
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
	flow->not_found_agent = nowhere->agent;
	flow->not_found_packet = *packet;
	/* The id points into a packet that is not kept. */
	flow->not_found_packet.request_id = NULL;
	dy_list_remove(&flow->not_found_link);
	dy_list_append(&router->not_found, &flow->not_found_link);
	router->config.callbacks->confirm_members(router->config.context);
}

void flow_router_end_search(dy_flow_router_t *router, flow_t *flow,
			    const dy_flow_nowhere_t *nowhere,
			    const dy_packet_t *packet, uint64_t now_ms)
{
	dy_search_limit_end(&router->searches, &flow->search);
	++*router->unplaced;
	if (nowhere->complete && nowhere->certain && nowhere->order)
		await_confirmation(router, flow, nowhere, packet, now_ms);
}

/* Another transmission of the SYN may have been admitted elsewhere. */
static int is_held_elsewhere(const flow_t *flow,
			     const dy_flow_nowhere_t *nowhere)
{
	return flow && flow->holder_reported &&
	       !dy_address_equal(&flow->agent, &nowhere->agent);
}

/*
 * Handles an opening that none of its candidates admits. Where openings may
 * wait here, it does so: for the place that the agent has reserved, or for
 * another target if the agent refuses.
 */
static void handle_refusal(dy_flow_router_t *router, flow_t *flow,
			   const dy_flow_nowhere_t *nowhere,
			   const dy_packet_t *packet, uint64_t now_ms)
{
	uint8_t *bytes = (uint8_t *)nowhere->packet.packet_val;
	size_t len = nowhere->packet.packet_len;
	uint64_t since_ms = flow && flow->waiting_since_ms
				    ? flow->waiting_since_ms
				    : now_ms;

	if (!(packet->flags & DY_PACKET_SYN) ||
	    !dy_flow_id_equal(&packet->flow, &nowhere->flow) ||
	    is_held_elsewhere(flow, nowhere))
		return;
	/* A late copy: the flow has been admitted since. */
	if (nowhere->reason == DY_FLOW_FULL && flow && flow->holder_reported)
		return;
	if (flow)
		flow_router_drop_flow(router, flow);
	if (!router->config.wait_at_balancer)
		flow_router_refuse(router, packet, "refused", now_ms);
	else if (nowhere->reason == DY_FLOW_FULL)
		flow_router_queue_returned(router, &nowhere->agent, since_ms,
					   packet, bytes, len, now_ms);
	else
		flow_router_wait_elsewhere(router, &nowhere->agent, since_ms,
					   packet, bytes, len, now_ms);
}

void dy_flow_router_receive_nowhere(dy_flow_router_t *router,
				    const dy_flow_nowhere_t *nowhere,
				    const dy_packet_t *packet, uint64_t now_ms)
{
	flow_t *flow = g_hash_table_lookup(router->flows, &nowhere->flow);
	search_progress_t next;

	if (nowhere->reason != DY_FLOW_NOT_HELD) {
		handle_refusal(router, flow, nowhere, packet, now_ms);
		return;
	}
	if (flow_router_is_part(nowhere)) {
		flow_router_receive_part(router, flow, nowhere, now_ms);
		return;
	}
	if (!flow)
		flow = flow_router_get_flow(router, &nowhere->flow, now_ms);
	if (is_flow_lost(flow, nowhere)) {
		flow_router_end_flow(router, flow, packet, &nowhere->agent,
				     "lost_by_holder", now_ms);
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
		flow_router_send_to_holder(
			router, flow, packet,
			(uint8_t *)nowhere->packet.packet_val,
			nowhere->packet.packet_len, now_ms);
		return;
	}
	flow_router_note_answer(router, flow, now_ms);
	if (nowhere->complete) {
		flow_router_untrack(router, flow);
		flow_router_end_search(router, flow, nowhere, packet, now_ms);
		return;
	}
	if (flow_router_is_retried(flow)) {
		flow_router_receive_late(router, flow, nowhere, now_ms);
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
		flow_router_end_flow(router, flow, &flow->not_found_packet,
				     &flow->not_found_agent, "nowhere",
				     polled_ms);
	}
}
