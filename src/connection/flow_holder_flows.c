/* The table of the flows that a target holds, and the requests in them. */

#include "flow_holder_private.h"

#include <stdio.h>

static void log_request(dy_flow_holder_t *holder, const char *event,
			const held_flow_t *flow, const char *outcome,
			uint64_t now_ms)
{
	char text[DY_FLOW_TEXT_BYTES];

	if (!*flow->request_id ||
	    !dy_log_allow(&holder->request_limit, event, now_ms))
		return;
	dy_log_event(DY_LOG_INFO, event,
		     "request=%s flow=%s outcome=%s ms=%lu target=%s busy=%u "
		     "slots=%u",
		     dy_log_quote(flow->request_id),
		     dy_flow_id_format(&flow->id, text), outcome,
		     (unsigned long)(now_ms - flow->busy_since_ms),
		     dy_log_quote(holder->notice.id),
		     dy_request_load_slots(&holder->load, 0),
		     holder->notice.slots);
}

static void begin_request(dy_flow_holder_t *holder, held_flow_t *flow,
			  const dy_packet_t *packet, uint64_t now_ms)
{
	flow->busy = 1;
	flow->receiving = 1;
	flow->busy_since_ms = now_ms;
	flow->slot_since_ms = 0;
	flow->counted_unanswered = 0;
	dy_request_load_begin(&holder->load);
	dy_list_append(&holder->requests, &flow->request_link);
	g_snprintf(flow->request_id, sizeof(flow->request_id), "%.*s",
		   packet->request_id ? (int)packet->request_id_len : 0,
		   packet->request_id ? packet->request_id : "");
	log_request(holder, "request_begun", flow, "given_to_target", now_ms);
}

void holder_receive_data(dy_flow_holder_t *holder, held_flow_t *flow,
			 const dy_packet_t *packet, uint64_t now_ms)
{
	if (!flow->busy)
		begin_request(holder, flow, packet, now_ms);
	if (packet->full || !flow->receiving)
		return;
	flow->receiving = 0;
	flow->received_ms = now_ms;
	dy_request_load_complete(&holder->load);
	holder_pace_begin(holder, flow, now_ms);
}

void holder_end_request(dy_flow_holder_t *holder, held_flow_t *flow,
			const char *outcome, uint64_t now_ms)
{
	if (!flow->busy)
		return;
	flow->busy = 0;
	holder_pace_end(holder, flow, now_ms);
	dy_request_load_end(&holder->load, !flow->receiving);
	dy_list_remove(&flow->request_link);
	log_request(holder, "request_ended", flow, outcome, now_ms);
}

void holder_expire_requests(dy_flow_holder_t *holder, uint64_t now_ms)
{
	held_flow_t *flow;

	while (!dy_list_empty(&holder->requests)) {
		flow = DY_LIST_ITEM(holder->requests.next, held_flow_t,
				    request_link);
		if (now_ms - flow->busy_since_ms < DY_REQUEST_TIMEOUT_MS)
			return;
		holder_pace_unanswered(holder, flow);
		holder_end_request(holder, flow, "unanswered", now_ms);
	}
}

void holder_enter_stage(dy_flow_holder_t *holder, held_flow_t *flow,
			held_stage_t stage, uint64_t now_ms)
{
	holder->counts[flow->stage]--;
	holder->counts[stage]++;
	flow->stage = stage;
	flow->used_ms = now_ms;
	dy_list_remove(&flow->link);
	dy_list_append(&holder->stages[stage], &flow->link);
	if (stage == STAGE_ENDED)
		holder_end_request(holder, flow, "flow_ended", now_ms);
}

void holder_touch(dy_flow_holder_t *holder, held_flow_t *flow, uint64_t now_ms)
{
	holder_enter_stage(holder, flow, flow->stage, now_ms);
}

held_flow_t *holder_add_flow(dy_flow_holder_t *holder, const dy_flow_id_t *id,
			     held_stage_t stage, uint64_t now_ms)
{
	held_flow_t *flow = g_new0(held_flow_t, 1);

	flow->id = *id;
	flow->stage = stage;
	flow->used_ms = now_ms;
	flow->recorded_ms = now_ms;
	dy_list_init(&flow->link);
	dy_list_init(&flow->request_link);
	dy_list_init(&flow->slot_link);
	dy_list_append(&holder->stages[stage], &flow->link);
	holder->counts[stage]++;
	g_hash_table_insert(holder->flows, &flow->id, flow);
	return flow;
}

void holder_drop_flow(dy_flow_holder_t *holder, held_flow_t *flow,
		      const char *reason, uint64_t now_ms)
{
	holder_end_request(holder, flow, reason, now_ms);
	holder->counts[flow->stage]--;
	dy_list_remove(&flow->link);
	g_hash_table_remove(holder->flows, &flow->id);
}

void holder_drop_all(dy_flow_holder_t *holder, const char *reason,
		     uint64_t now_ms)
{
	dy_list_t *list;
	int i;

	for (i = 0; i < STAGE_COUNT; i++) {
		list = &holder->stages[i];
		while (!dy_list_empty(list))
			holder_drop_flow(
				holder,
				DY_LIST_ITEM(list->next, held_flow_t, link),
				reason, now_ms);
	}
}

static void doubt(dy_flow_holder_t *holder, held_flow_t *flow,
		  const char *reason, uint64_t now_ms)
{
	holder_end_request(holder, flow, reason, now_ms);
	holder_enter_stage(holder, flow, STAGE_DOUBTED, now_ms);
}

unsigned holder_doubt_older(dy_flow_holder_t *holder, uint64_t since_ms,
			    const char *reason, uint64_t now_ms)
{
	const held_stage_t stages[] = { STAGE_HALF_OPEN, STAGE_OPEN };
	unsigned doubted = 0;
	held_flow_t *flow;
	dy_list_t *pos;
	dy_list_t *tmp;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(stages); i++)
		DY_LIST_EACH_SAFE(pos, tmp, &holder->stages[stages[i]])
		{
			flow = DY_LIST_ITEM(pos, held_flow_t, link);
			if (flow->recorded_ms >= since_ms)
				continue;
			doubt(holder, flow, reason, now_ms);
			doubted++;
		}
	return doubted;
}

void holder_expire_stage(dy_flow_holder_t *holder, held_stage_t stage,
			 uint64_t timeout_ms, uint64_t now_ms)
{
	held_flow_t *flow;

	while (!dy_list_empty(&holder->stages[stage])) {
		flow = DY_LIST_ITEM(holder->stages[stage].next, held_flow_t,
				    link);
		if (now_ms - flow->used_ms < timeout_ms)
			return;
		holder_drop_flow(holder, flow, "idle", now_ms);
	}
}

static int is_steady(const held_flow_t *flow, uint64_t now_ms)
{
	uint64_t age_ms = now_ms - flow->open_since_ms;

	return flow->open_since_ms && age_ms >= DY_LOW_RATE_MIN_AGE_MS &&
	       flow->caller_ack - flow->ack_at_open <=
		       DY_LOW_RATE_BURST_BYTES +
			       age_ms * DY_LOW_RATE_BYTES_PER_S / 1000;
}

void dy_flow_holder_each_low_rate(const dy_flow_holder_t *holder,
				  uint64_t now_ms, dy_flow_holder_cb_t *each,
				  void *context)
{
	const held_flow_t *flow;
	const dy_list_t *pos;

	DY_LIST_EACH(pos, &holder->stages[STAGE_OPEN])
	{
		flow = DY_LIST_ITEM(pos, held_flow_t, link);
		if (is_steady(flow, now_ms))
			each(context, &flow->id, flow->caller_ack);
	}
}

int dy_flow_holder_has_flow(const dy_flow_holder_t *holder,
			    const dy_flow_id_t *flow)
{
	const held_flow_t *held = g_hash_table_lookup(holder->flows, flow);

	return held && held->stage != STAGE_DOUBTED;
}
