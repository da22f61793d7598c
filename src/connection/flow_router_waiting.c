/* Openings that wait at a balancer until a target has a place for them. */

#include "flow_router_private.h"

#include <string.h>

#include "damaskyard/address.h"
#include "damaskyard/caller_rank.h"
#include "damaskyard/invariant.h"

/*
 * Part of its caller's time-out that an opening may wait, as a divisor. Callers
 * use that time for several tries.
 */
#define TIMEOUT_DIVISOR 4

/* Reservations replaced at once; the rest is left to their renewal. */
#define RESERVATIONS_REPLACED_MAX 16u

uint32_t flow_router_caller_rank(const dy_flow_router_t *router,
				 const dy_flow_id_t *flow)
{
	return dy_caller_rank(
		flow->caller_ip,
		router->config.callbacks->wall_ms(router->config.context));
}

unsigned flow_router_count_waiting(const dy_flow_router_t *router,
				   const char *service)
{
	return dy_waiting_openings_count(router->waiting, service);
}

static uint64_t find_wait_max_ms(const dy_flow_entry_t *entry)
{
	if (!entry->timeout_ms)
		return DY_OPENING_WAIT_MAX_MS;
	return MIN(entry->timeout_ms / TIMEOUT_DIVISOR, DY_OPENING_WAIT_MAX_MS);
}

static void log_waiting(dy_flow_router_t *router, const char *event,
			const dy_flow_id_t *flow, const char *service,
			uint32_t standing, uint64_t now_ms)
{
	char text[DY_FLOW_TEXT_BYTES];

	if (!dy_log_allow(&router->waiting_limit, event, now_ms))
		return;
	dy_log_event(DY_LOG_INFO, event,
		     "flow=%s service=%s priority=%u standing=%08x waiting=%u",
		     dy_flow_id_format(flow, text), service,
		     dy_standing_priority(standing), standing,
		     dy_waiting_openings_count(router->waiting, service));
}

static void reserve(dy_flow_router_t *router, const dy_address_t *agent,
		    uint32_t standing, uint64_t now_ms)
{
	dy_flow_targets_note_opened(router->targets, agent);
	dy_flow_targets_note_sent(router->targets, agent, now_ms);
	router->config.callbacks->reserve(router->config.context, agent,
					  standing);
}

static void refuse_expired(dy_flow_router_t *router, uint64_t now_ms)
{
	dy_waited_opening_t waited;

	while (dy_waiting_openings_pop_expired(router->waiting, now_ms,
					       &waited)) {
		++*router->waited_out;
		dy_service_shortage_note(router->shortage, waited.service,
					 waited.priority, DY_OPENING_WAITED_OUT,
					 now_ms);
		flow_router_refuse(router, &waited.opening.packet, "waited_out",
				   now_ms);
	}
}

void flow_router_queue_opening(dy_flow_router_t *router,
			       const waiting_place_t *place,
			       const dy_packet_t *packet, uint8_t *bytes,
			       size_t len, uint64_t now_ms)
{
	const dy_flow_entry_t *entry = place->entry;
	dy_flow_forward_t forward = { 0 };
	dy_opening_claim_t claim = { 0 };
	uint32_t standing;

	refuse_expired(router, now_ms);
	/* Another transmission of the SYN waits already. */
	if (dy_waiting_openings_has(router->waiting, &packet->flow))
		return;
	claim.service = place->service;
	claim.priority = entry->priority;
	claim.rank = flow_router_caller_rank(router, &packet->flow);
	claim.wait_max_ms = find_wait_max_ms(entry);
	claim.since_ms = place->since_ms;
	forward.service = "";
	forward.packet.packet_val = (char *)bytes;
	forward.packet.packet_len = (u_int)len;
	if (!dy_waiting_openings_add(router->waiting, &claim, &forward, packet,
				     now_ms, &standing)) {
		++*router->unservable;
		dy_service_shortage_note(router->shortage, place->service,
					 entry->priority, DY_OPENING_UNSERVABLE,
					 now_ms);
		flow_router_refuse(router, packet, "unservable", now_ms);
		return;
	}
	++*router->waited;
	dy_service_shortage_note(router->shortage, place->service,
				 entry->priority, DY_OPENING_WAITED, now_ms);
	log_waiting(router, "opening_waits", &packet->flow, place->service,
		    standing, now_ms);
	if (place->agent)
		reserve(router, place->agent, standing, now_ms);
}

void flow_router_wait_elsewhere(dy_flow_router_t *router,
				const dy_address_t *agent, uint64_t since_ms,
				const dy_packet_t *packet, uint8_t *bytes,
				size_t len, uint64_t now_ms)
{
	assignment_t assignment = { 0 };
	waiting_place_t place;
	unsigned i = 0;

	flow_router_choose_agents(router, &packet->flow, now_ms, &assignment);
	while (i < assignment.count &&
	       dy_address_equal(&assignment.agents[i], agent))
		i++;
	if (i == assignment.count) {
		flow_router_refuse(router, packet, "refused", now_ms);
		return;
	}
	place.entry = assignment.entry;
	place.service = assignment.service;
	place.agent = &assignment.agents[i];
	place.since_ms = since_ms;
	flow_router_queue_opening(router, &place, packet, bytes, len, now_ms);
}

static int names_service(const dy_flow_entry_t *entry, const char *service)
{
	uint8_t i;

	for (i = 0; i < entry->share_count; i++)
		if (entry->shares[i].weight &&
		    !strcmp(entry->shares[i].service, service))
			return 1;
	return 0;
}

void flow_router_queue_returned(dy_flow_router_t *router,
				const dy_address_t *agent, uint64_t since_ms,
				const dy_packet_t *packet, uint8_t *bytes,
				size_t len, uint64_t now_ms)
{
	waiting_place_t place = { 0 };

	place.entry = flow_router_find_entry(router, &packet->flow);
	place.service = dy_flow_targets_service(router->targets, agent);
	place.since_ms = since_ms;
	if (place.entry && place.service &&
	    names_service(place.entry, place.service))
		flow_router_queue_opening(router, &place, packet, bytes, len,
					  now_ms);
	else
		flow_router_open_flow(router, packet, bytes, len, now_ms);
}

static int is_allowed(void *context, const dy_flow_id_t *flow,
		      const char *service)
{
	const dy_flow_entry_t *entry = flow_router_find_entry(context, flow);

	return entry && names_service(entry, service);
}

void flow_router_reroute_waiting(dy_flow_router_t *router)
{
	dy_waited_opening_t waited;
	dy_opening_t *opening = &waited.opening;

	while (dy_waiting_openings_pop_unmatched(router->waiting, is_allowed,
						 router, &waited))
		flow_router_open_flow(router, &opening->packet,
				      opening->stored.bytes,
				      opening->stored.forward.packet.packet_len,
				      waited.since_ms);
}

/*
 * Chooses an agent to reserve a place at, of this domain if it is not much
 * fuller than others: which target serves an opening that waits matters little,
 * and bytes between domains cost money.
 */
static int choose_reservation(const dy_flow_router_t *router,
			      const char *service, const dy_flow_id_t *flow,
			      uint64_t now_ms, dy_address_t *agent)
{
	dy_address_t list[DY_FLOW_TRIES];

	if (!dy_flow_targets_choose(router->targets, service, flow, 1, now_ms,
				    list))
		return 0;
	*agent = list[0];
	return 1;
}

/* Reserves a place for an opening whose reservation or grant may be lost. */
static void renew_reservations(dy_flow_router_t *router, uint64_t now_ms)
{
	dy_address_t agent;
	const char *service;
	dy_flow_id_t flow;
	uint32_t standing;

	while ((service = dy_waiting_openings_find_overdue(
			router->waiting, now_ms, &flow, &standing)))
		if (choose_reservation(router, service, &flow, now_ms, &agent))
			reserve(router, &agent, standing, now_ms);
}

/*
 * Reserves places elsewhere in place of those that an agent returned. If no
 * agent is known to admit openings, it is left to the next renewal, so that
 * messages do not go to and fro.
 */
static void replace_reservations(dy_flow_router_t *router, const char *service,
				 unsigned returned, uint64_t now_ms)
{
	dy_address_t agent;
	dy_flow_id_t flow;
	uint32_t standing;

	if (!dy_waiting_openings_next(router->waiting, service, &flow,
				      &standing))
		return;
	returned = MIN(MIN(returned, RESERVATIONS_REPLACED_MAX),
		       dy_waiting_openings_count(router->waiting, service));
	while (returned-- &&
	       choose_reservation(router, service, &flow, now_ms, &agent) &&
	       dy_flow_targets_admits(router->targets, &agent, now_ms))
		reserve(router, &agent, standing, now_ms);
}

/* Writes what became of a service's openings, for each priority with any. */
static void log_shortage(dy_flow_router_t *router,
			 const dy_shortage_report_t *report)
{
	GString *priorities = g_string_new(NULL);
	const unsigned *counts;
	unsigned i;

	for (i = 0; i <= DY_PRIORITY_LOWEST; i++) {
		counts = report->counts[i];
		if (counts[DY_OPENING_WAITED] || counts[DY_OPENING_UNSERVABLE])
			g_string_append_printf(priorities, "%s%u:%u/%u/%u/%u",
					       priorities->len ? "," : "", i,
					       counts[DY_OPENING_WAITED],
					       counts[DY_OPENING_GRANTED],
					       counts[DY_OPENING_WAITED_OUT],
					       counts[DY_OPENING_UNSERVABLE]);
	}
	dy_log_event(
		DY_LOG_INFO, "service_short",
		"service=%s short_ms=%lu waiting=%u waited=%u granted=%u "
		"waited_out=%u unservable=%u targets=%u priorities=%s",
		report->service, (unsigned long)report->short_ms,
		dy_waiting_openings_count(router->waiting, report->service),
		dy_shortage_report_sum(report, DY_OPENING_WAITED),
		dy_shortage_report_sum(report, DY_OPENING_GRANTED),
		dy_shortage_report_sum(report, DY_OPENING_WAITED_OUT),
		dy_shortage_report_sum(report, DY_OPENING_UNSERVABLE),
		dy_flow_targets_count(router->targets, report->service),
		priorities->str);
	g_string_free(priorities, TRUE);
}

static void report_shortages(dy_flow_router_t *router, uint64_t now_ms)
{
	dy_shortage_report_t report;

	while (dy_service_shortage_next(router->shortage, now_ms, &report))
		log_shortage(router, &report);
}

void flow_router_serve_waiting(dy_flow_router_t *router, uint64_t now_ms)
{
	report_shortages(router, now_ms);
	refuse_expired(router, now_ms);
	renew_reservations(router, now_ms);
}

/*
 * Sends an opening to the agent that granted a place, and to others if that one
 * admits none any more.
 */
static void send_granted(dy_flow_router_t *router, const dy_address_t *agent,
			 const dy_flow_entry_t *entry,
			 const dy_waited_opening_t *waited, uint64_t now_ms)
{
	const dy_opening_t *opening = &waited->opening;
	const dy_flow_forward_t *forward = &opening->stored.forward;
	assignment_t assignment = { 0 };
	dy_address_t others[DY_FLOW_TRIES];
	unsigned count;
	unsigned i;

	count = dy_flow_targets_choose(router->targets, waited->service,
				       &opening->packet.flow, entry->bulk,
				       now_ms, others);
	assignment.entry = entry;
	assignment.service = waited->service;
	assignment.wait = DY_FLOW_GRANTED;
	assignment.waiting_since_ms = waited->since_ms;
	assignment.agents[assignment.count++] = *agent;
	for (i = 0; i < count && assignment.count < DY_FLOW_TRIES; i++)
		if (!dy_address_equal(&others[i], agent))
			assignment.agents[assignment.count++] = others[i];
	flow_router_send_opening(router, &assignment, &opening->packet,
				 (uint8_t *)forward->packet.packet_val,
				 forward->packet.packet_len, now_ms);
}

static void record_granted(dy_flow_router_t *router,
			   const dy_waited_opening_t *waited, uint64_t now_ms)
{
	++*router->granted;
	dy_histogram_add(&router->wait_ms, now_ms - waited->since_ms);
	dy_service_shortage_note(router->shortage, waited->service,
				 waited->priority, DY_OPENING_GRANTED, now_ms);
}

/* Sends the next opening of a service to an agent. Returns 0 if none waits. */
static int use_grant(dy_flow_router_t *router, const dy_address_t *agent,
		     const char *service, uint64_t now_ms)
{
	const dy_flow_entry_t *entry;
	dy_waited_opening_t waited;

	if (!dy_waiting_openings_pop(router->waiting, service, now_ms, &waited))
		return 0;
	entry = flow_router_find_entry(router, &waited.opening.packet.flow);
	/* Rules that changed have routed all others anew. */
	dy_assert(entry);
	record_granted(router, &waited, now_ms);
	send_granted(router, agent, entry, &waited, now_ms);
	return 1;
}

void dy_flow_router_receive_grant(dy_flow_router_t *router,
				  const dy_flow_grant_t *grant, uint64_t now_ms)
{
	const char *service;

	dy_flow_targets_set_load(router->targets, &grant->agent, &grant->load,
				 now_ms);
	refuse_expired(router, now_ms);
	service = dy_flow_targets_service(router->targets, &grant->agent);
	if (service && grant->returned) {
		replace_reservations(router, service, grant->returned, now_ms);
		return;
	}
	if (service && use_grant(router, &grant->agent, service, now_ms))
		return;
	++*router->grants_unused;
	dy_flow_targets_note_sent(router->targets, &grant->agent, now_ms);
	router->config.callbacks->decline(router->config.context,
					  &grant->agent);
}

unsigned dy_flow_router_waiting(const dy_flow_router_t *router)
{
	return dy_waiting_openings_count(router->waiting, NULL);
}
