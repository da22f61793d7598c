#include "flow_holder_private.h"

#include <string.h>

#include "damaskyard/address.h"

static void register_counters(dy_flow_holder_t *holder)
{
	const dy_metrics_entry_t entries[] = {
		{ "flows_opened", &holder->opened },
		{ "packets_passed_on", &holder->passed_on },
		{ "openings_refused", &holder->refused },
		{ "openings_deferred", &holder->deferred },
		{ "places_reserved", &holder->reserved },
		{ "places_granted", &holder->granted },
		{ "grants_lapsed", &holder->grants_lapsed },
		{ "packets_not_held", &holder->not_held },
		{ "packets_bounced", &holder->bounced },
		{ "bounces_unknown", &holder->unknown_bounces },
		{ "packets_to_callers", &holder->to_callers },
		{ "notices", &holder->notices },
		{ "notices_refused", &holder->notices_refused },
		{ "requests_unanswered", &holder->unanswered },
	};

	dy_metrics_counters(holder->config.metrics, entries,
			    G_N_ELEMENTS(entries));
}

dy_flow_holder_t *dy_flow_holder_create(const dy_flow_holder_config_t *config)
{
	static const dy_log_limit_t limit = DY_LOG_LIMIT_INIT(100, 1000);
	static const dy_log_limit_t refused_limit = DY_LOG_LIMIT_INIT(5, 10000);
	dy_flow_holder_t *holder = g_new0(dy_flow_holder_t, 1);
	dy_metrics_t *metrics = config->metrics;
	int i;

	holder->config = *config;
	holder->flows = g_hash_table_new_full(
		dy_flow_id_table_hash, dy_flow_id_table_equal, NULL, g_free);
	for (i = 0; i < STAGE_COUNT; i++)
		dy_list_init(&holder->stages[i]);
	dy_list_init(&holder->requests);
	holder->pending_forwards =
		g_new0(pending_forward_t, DY_PENDING_FORWARDS_MAX);
	holder->queued_openings = dy_opening_queue_create();
	holder->grants = dy_slot_grants_create();
	dy_cold_limit_init(&holder->cold);
	dy_request_load_init(&holder->load);
	dy_list_init(&holder->slot_waiters);
	dy_list_init(&holder->in_slots);
	dy_request_pace_init(&holder->pace);
	holder->flow_limit = limit;
	holder->refused_limit = refused_limit;
	holder->request_limit = limit;
	dy_histogram_init(&holder->opening_ms, metrics, "opening_ms");
	dy_histogram_init(&holder->answer_ms, metrics, "answer_ms");
	register_counters(holder);
	return holder;
}

void dy_flow_holder_destroy(dy_flow_holder_t *holder)
{
	if (!holder)
		return;
	g_hash_table_destroy(holder->flows);
	dy_opening_queue_destroy(holder->queued_openings);
	dy_slot_grants_destroy(holder->grants);
	dy_cold_limit_clear(&holder->cold);
	g_free(holder->pending_forwards);
	g_free(holder);
}

void holder_fill_load(const dy_flow_holder_t *holder, dy_flow_load_t *load,
		      uint64_t now_ms)
{
	load->slots = holder->notice.slots;
	load->flows = dy_flow_holder_count(holder);
	load->busy = dy_request_load_slots(&holder->load, 0) +
		     dy_opening_queue_count(holder->queued_openings);
	load->accepts = dy_flow_holder_accepts(holder) &&
			!holder_is_held_back(holder, now_ms);
	load->cold = now_ms < holder->cold_until_ms;
}

/* Forwards of balancers. */

/*
 * Returns the balancer's record, added if needed, or NULL if the table is full.
 */
static balancer_t *get_balancer(dy_flow_holder_t *holder,
				const dy_address_t *address)
{
	balancer_t *balancer;
	unsigned i;

	for (i = 0; i < holder->balancer_count; i++) {
		balancer = &holder->balancers[i];
		if (dy_address_equal(&balancer->address, address))
			return balancer;
	}
	if (holder->balancer_count == DY_REPORT_BALANCERS_MAX)
		return NULL;
	balancer = &holder->balancers[holder->balancer_count++];
	balancer->address = *address;
	balancer->received = 1;
	return balancer;
}

static void record_balancer(dy_flow_holder_t *holder,
			    const dy_address_t *address, int direct,
			    uint64_t now_ms)
{
	balancer_t *balancer = get_balancer(holder, address);

	if (!balancer)
		return;
	balancer->heard_ms = now_ms;
	if (direct && !++balancer->received)
		balancer->received = 1;
}

void dy_flow_holder_subscribe(dy_flow_holder_t *holder,
			      const dy_address_t *address, uint64_t now_ms)
{
	record_balancer(holder, address, 1, now_ms);
}

void holder_send_held(dy_flow_holder_t *holder, const dy_address_t *balancer,
		      const dy_flow_id_t *flow, int open, uint64_t now_ms)
{
	dy_flow_held_t held = { 0 };

	held.flow = *flow;
	held.agent = holder->config.self;
	held.open = open;
	held.deliveries = 1;
	holder_fill_load(holder, &held.load, now_ms);
	holder_pace_fill(holder, &held.pace, now_ms);
	holder->config.callbacks->held(holder->config.context, balancer, &held);
}

void holder_log_flow(dy_flow_holder_t *holder, const char *event,
		     const dy_flow_id_t *flow, const char *reason,
		     uint64_t now_ms)
{
	char text[DY_FLOW_TEXT_BYTES];

	if (dy_log_allow(&holder->flow_limit, event, now_ms))
		dy_log_event(DY_LOG_INFO, event,
			     "flow=%s reason=%s target=%s flows=%u busy=%u",
			     dy_flow_id_format(flow, text), reason,
			     dy_log_quote(holder->notice.id),
			     dy_flow_holder_count(holder),
			     dy_request_load_slots(&holder->load, 0));
}

void holder_send_nowhere(dy_flow_holder_t *holder,
			 const dy_flow_forward_t *forward,
			 const dy_packet_t *packet, dy_flow_reason_t reason)
{
	dy_flow_nowhere_t nowhere = { 0 };

	nowhere.flow = packet->flow;
	nowhere.agent = holder->config.self;
	nowhere.reason = reason;
	nowhere.complete = forward->complete;
	nowhere.certain = forward->certain;
	nowhere.window = forward->window;
	nowhere.order = forward->order;
	nowhere.packet.packet_val = forward->packet.packet_val;
	nowhere.packet.packet_len = forward->packet.packet_len;
	holder->config.callbacks->nowhere(holder->config.context,
					  &forward->balancer, &nowhere);
}

void holder_pass_on(dy_flow_holder_t *holder, dy_flow_forward_t *forward,
		    const dy_packet_t *packet, int certain)
{
	forward->certain = forward->certain && certain;
	forward->step++;
	if (forward->step < forward->tries.tries_len) {
		++*holder->passed_on;
		holder->config.callbacks->pass_on(holder->config.context,
						  forward);
		return;
	}
	++*holder->not_held;
	holder_send_nowhere(holder, forward, packet,
			    packet->flags & DY_PACKET_SYN ? DY_FLOW_REFUSED
							  : DY_FLOW_NOT_HELD);
}

void holder_send_to_target(dy_flow_holder_t *holder,
			   const dy_flow_forward_t *forward,
			   const dy_packet_t *packet, uint64_t now_ms)
{
	pending_forward_t *pending;

	/* The target does not respond to a bare acknowledgement. */
	if (packet->data_bytes || packet->flags & DY_PACKET_SYN)
		holder_expect_response(holder, now_ms);

	if (!++holder->last_tag)
		++holder->last_tag;
	pending = &holder->pending_forwards[holder->last_tag %
					    DY_PENDING_FORWARDS_MAX];
	pending->tag = holder->last_tag;
	pending->forward = *forward;
	g_strlcpy(pending->service, forward->service, sizeof(pending->service));
	pending->forward.service = pending->service;
	memcpy(pending->tries, forward->tries.tries_val,
	       forward->tries.tries_len * sizeof(pending->tries[0]));
	pending->forward.tries.tries_val = pending->tries;
	holder->config.callbacks->to_target(
		holder->config.context, (uint8_t *)forward->packet.packet_val,
		forward->packet.packet_len, holder->last_tag);
}

/*
 * Returns whether packet acknowledges the SYN of this target.
 *
 * Guards against two transmissions of a SYN that two targets responded to: the
 * caller acknowledged one of them, and only that target has the flow.
 */
static int acks_target_syn(const held_flow_t *flow, const dy_packet_t *packet)
{
	return flow->syn_answered && packet->ack - flow->target_seq <= 1;
}

/*
 * Returns whether the table contains every flow of the target, because this
 * agent saw the target start. Clocks may be set, so they are not compared for
 * this.
 */
static int has_all_flows(const dy_flow_holder_t *holder)
{
	return holder->saw_start;
}

/*
 * Returns whether the target has all data of packet: it is a copy, as of a
 * search that was repeated, and no request begins with it.
 */
static int is_copy(const held_flow_t *flow, const dy_packet_t *packet)
{
	return flow->target_acked && (int32_t)(flow->target_ack - packet->seq -
					       packet->data_bytes) >= 0;
}

static void update_from_caller(dy_flow_holder_t *holder, held_flow_t *flow,
			       const dy_packet_t *packet, uint64_t now_ms)
{
	if (!flow->open_since_ms) {
		flow->open_since_ms = now_ms;
		flow->ack_at_open = packet->ack;
	}
	flow->caller_ack = packet->ack;
	if (flow->stage == STAGE_HALF_OPEN) {
		dy_request_load_add_opening(&holder->load,
					    now_ms - flow->recorded_ms);
		holder_enter_stage(holder, flow, STAGE_OPEN, now_ms);
	} else
		holder_touch(holder, flow, now_ms);
	if (flow->stage == STAGE_ENDED)
		return;
	if (packet->data_bytes && !is_copy(flow, packet))
		holder_receive_data(holder, flow, packet, now_ms);
	if (packet->flags & DY_PACKET_FIN)
		flow->caller_finished = 1;
	if (packet->flags & DY_PACKET_RST ||
	    (flow->caller_finished && flow->target_finished))
		holder_enter_stage(holder, flow, STAGE_ENDED, now_ms);
}

static void handle_known_flow(dy_flow_holder_t *holder,
			      dy_flow_forward_t *forward,
			      const dy_packet_t *packet, held_flow_t *flow,
			      uint64_t now_ms)
{
	if (flow->stage == STAGE_HALF_OPEN && !acks_target_syn(flow, packet)) {
		holder_log_flow(holder, "packet_passed_on", &packet->flow,
				"other_opening", now_ms);
		holder_pass_on(holder, forward, packet, flow->syn_answered);
		return;
	}
	update_from_caller(holder, flow, packet, now_ms);
	holder_send_to_target(holder, forward, packet, now_ms);
	if (forward->tell)
		holder_send_held(holder, &forward->balancer, &flow->id,
				 flow->stage != STAGE_HALF_OPEN, now_ms);
}

static void log_and_pass_on(dy_flow_holder_t *holder,
			    dy_flow_forward_t *forward,
			    const dy_packet_t *packet, const char *reason,
			    uint64_t now_ms)
{
	holder_log_flow(holder, "packet_passed_on", &packet->flow, reason,
			now_ms);
	holder_pass_on(holder, forward, packet, 1);
}

/*
 * Guards against a search that ends at a dead target: the target bounces
 * nothing, and the agents after this one are never asked. Whether the target
 * held the flow remains uncertain.
 */
static int is_notice_overdue(const dy_flow_holder_t *holder, uint64_t now_ms)
{
	return holder->has_target &&
	       now_ms - holder->last_notice_ms > DY_NOTICE_TIMEOUT_MS;
}

void dy_flow_holder_receive_forward(dy_flow_holder_t *holder,
				    dy_flow_forward_t *forward,
				    const dy_packet_t *packet, uint64_t now_ms)
{
	held_flow_t *flow = g_hash_table_lookup(holder->flows, &packet->flow);

	if (forward->step >= forward->tries.tries_len)
		return;
	record_balancer(holder, &forward->balancer, !forward->step, now_ms);
	if (packet->flags & DY_PACKET_SYN)
		holder_handle_opening(holder, forward, packet, flow, now_ms);
	else if (flow && flow->stage != STAGE_DOUBTED)
		handle_known_flow(holder, forward, packet, flow, now_ms);
	else if (!flow && has_all_flows(holder))
		log_and_pass_on(holder, forward, packet, "not_held", now_ms);
	else if (is_notice_overdue(holder, now_ms))
		holder_pass_on(holder, forward, packet, 0);
	else
		holder_send_to_target(holder, forward, packet, now_ms);
}

/* Packets of the target. */

static void handle_bounce(dy_flow_holder_t *holder, const dy_packet_t *packet,
			  uint8_t *bytes, size_t len, uint64_t now_ms)
{
	pending_forward_t *pending =
		&holder->pending_forwards[packet->tag %
					  DY_PENDING_FORWARDS_MAX];
	held_flow_t *flow = g_hash_table_lookup(holder->flows, &packet->flow);
	int opening = !!(packet->flags & DY_PACKET_SYN);
	dy_flow_forward_t forward;

	++*holder->bounced;
	if (flow && (!opening || flow->stage == STAGE_HALF_OPEN))
		holder_drop_flow(holder, flow, "given_back", now_ms);
	if (!packet->tag || pending->tag != packet->tag) {
		++*holder->unknown_bounces;
		return;
	}
	pending->tag = 0;
	if (opening)
		holder_note_opening_returned(holder, now_ms);
	forward = pending->forward;
	forward.packet.packet_val = (char *)bytes;
	forward.packet.packet_len = (u_int)len;
	holder_log_flow(holder,
			opening ? "opening_passed_on" : "packet_passed_on",
			&packet->flow, "target_gave_back", now_ms);
	holder_pass_on(holder, &forward, packet, 1);
	holder_serve_queue(holder, now_ms);
}

/* Handles data of the target, the first of which ends a request. */
static void handle_answer(dy_flow_holder_t *holder, held_flow_t *flow,
			  uint64_t now_ms)
{
	if (!flow->busy)
		return;
	dy_histogram_add(&holder->answer_ms, now_ms - flow->busy_since_ms);
	if (!flow->receiving)
		dy_request_load_add_times(
			&holder->load, flow->received_ms - flow->busy_since_ms,
			now_ms - flow->received_ms);
	holder_pace_answer(holder, flow, now_ms);
	holder_end_request(holder, flow, "answered", now_ms);
}

static void update_from_target(dy_flow_holder_t *holder, held_flow_t *flow,
			       const dy_packet_t *packet, uint64_t now_ms)
{
	/* The target holds it after all. */
	if (flow->stage == STAGE_DOUBTED)
		holder_enter_stage(holder, flow,
				   packet->flags & DY_PACKET_SYN
					   ? STAGE_HALF_OPEN
					   : STAGE_OPEN,
				   now_ms);
	if (packet->flags & DY_PACKET_SYN) {
		if (!flow->syn_answered)
			dy_histogram_add(&holder->opening_ms,
					 now_ms - flow->used_ms);
		flow->syn_answered = 1;
		holder_note_opening_answered(holder);
		flow->target_seq = packet->seq;
	}
	if (packet->flags & DY_PACKET_ACK && !(packet->flags & DY_PACKET_RST)) {
		flow->target_acked = 1;
		flow->target_ack = packet->ack;
	}
	holder_touch(holder, flow, now_ms);
	if (packet->data_bytes)
		handle_answer(holder, flow, now_ms);
	else if (packet->flags & DY_PACKET_RST)
		holder_pace_unanswered(holder, flow);
	if (packet->flags & DY_PACKET_FIN)
		flow->target_finished = 1;
	if (packet->flags & DY_PACKET_RST ||
	    (flow->caller_finished && flow->target_finished))
		holder_enter_stage(holder, flow, STAGE_ENDED, now_ms);
}

void dy_flow_holder_receive_packet(dy_flow_holder_t *holder,
				   const dy_packet_t *packet, uint8_t *bytes,
				   size_t len, uint64_t now_ms)
{
	held_flow_t *flow;

	holder_confirm_alive(holder);
	if (packet->flags & DY_PACKET_BOUNCED) {
		handle_bounce(holder, packet, bytes, len, now_ms);
		return;
	}
	flow = g_hash_table_lookup(holder->flows, &packet->flow);
	if (!flow)
		flow = holder_add_flow(holder, &packet->flow,
				       packet->flags & DY_PACKET_SYN
					       ? STAGE_HALF_OPEN
					       : STAGE_OPEN,
				       now_ms);
	update_from_target(holder, flow, packet, now_ms);
	if (packet->flags & DY_PACKET_SYN && flow->opener.port)
		holder_send_held(holder, &flow->opener, &flow->id,
				 flow->stage != STAGE_HALF_OPEN, now_ms);
	++*holder->to_callers;
	holder->config.callbacks->to_caller(holder->config.context,
					    &packet->flow, bytes, len);
	holder_serve_queue(holder, now_ms);
}

/* Periodic work. */

static void send_reports(dy_flow_holder_t *holder, uint64_t now_ms)
{
	dy_flow_report_t message = { 0 };
	unsigned i = 0;

	message.agent = holder->config.self;
	holder_fill_load(holder, &message.load, now_ms);
	holder_pace_fill(holder, &message.pace, now_ms);
	while (i < holder->balancer_count) {
		if (now_ms - holder->balancers[i].heard_ms > DY_REPORT_TTL_MS) {
			holder->balancers[i] =
				holder->balancers[--holder->balancer_count];
			continue;
		}
		message.heard = holder->balancers[i].received;
		holder->config.callbacks->report(holder->config.context,
						 &holder->balancers[i].address,
						 &message);
		i++;
	}
}

void dy_flow_holder_tick(dy_flow_holder_t *holder, uint64_t now_ms)
{
	holder_expire_stage(holder, STAGE_HALF_OPEN, DY_HALF_OPEN_MS, now_ms);
	holder_expire_stage(holder, STAGE_OPEN, DY_HELD_FLOW_IDLE_MS, now_ms);
	holder_expire_stage(holder, STAGE_ENDED, DY_TIME_WAIT_MS, now_ms);
	holder_expire_stage(holder, STAGE_DOUBTED, DY_HELD_FLOW_IDLE_MS,
			    now_ms);
	if (holder->ready &&
	    now_ms - holder->last_notice_ms > DY_NOTICE_TIMEOUT_MS)
		holder_set_ready(holder, 0, "silent");
	holder_pace_tick(holder, now_ms);
	holder_expire_requests(holder, now_ms);
	holder_check_presence(holder, now_ms);
	holder_serve_queue(holder, now_ms);
	send_reports(holder, now_ms);
}
