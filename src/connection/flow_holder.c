#include "damaskyard/flow_holder.h"

#include <string.h>

#include <glib.h>

#include "damaskyard/address.h"
#include "damaskyard/histogram.h"
#include "damaskyard/list.h"
#include "damaskyard/log.h"

/* A target's first notice carries this or less. */
#define FIRST_SEQUENCE 1

/*
 * A start of the target whose notices stopped for so long, in ms, yields to one
 * whose time of start is earlier: the clock may have been set back. Two and a
 * half times the time between notices.
 */
#define REPLACED_MS 3000

/* Bytes of a request's id in a log line, with its terminating NUL. */
#define REQUEST_BYTES 40

typedef enum stage {
	STAGE_HALF, /* the target answered an opening packet, or is to */
	STAGE_OPEN,
	STAGE_ENDED,
	STAGES
} stage_t;

typedef struct flow {
	dy_list_t link; /* of its stage, ordered by used_ms */
	dy_flow_id_t id;
	stage_t stage;
	dy_address_t opener; /* the balancer that sent the opening packet */
	int answered;	     /* the target's opening packet was seen */
	uint32_t target_seq;
	int busy;		     /* a request was begun and not answered */
	uint64_t busy_ms;	     /* since when */
	char request[REQUEST_BYTES]; /* its id, for logs */
	int caller_ended;
	int target_ended;
	uint64_t used_ms;
} flow_t;

/* A forward whose packet was given to the target, without the packet. */
typedef struct kept_forward {
	uint32_t note;
	dy_flow_forward_t forward;
	char service[DY_NAME_BYTES + 1];
	dy_address_t tries[DY_FLOW_TRIES];
} kept_forward_t;

typedef struct balancer {
	dy_address_t address;
	uint64_t heard_ms;
} balancer_t;

struct dy_flow_holder {
	dy_flow_holder_config_t config;
	int has_target;
	int ready;
	int left; /* the target said that it has ended */
	int stopping;
	int saw_start; /* no flow of the target is older than this agent */
	dy_target_notice_t notice;
	uint64_t noticed_ms;
	uint64_t cold_until_ms;
	GHashTable *flows;
	dy_list_t stages[STAGES];
	unsigned counts[STAGES];
	unsigned busy;
	kept_forward_t *kept;
	uint32_t last_note;
	balancer_t balancers[DY_REPORTED_MAX];
	unsigned balancer_count;
	dy_log_limit_t flow_limit;
	dy_log_limit_t refused_limit;
	dy_log_limit_t request_limit;
	dy_histogram_t opening_ms; /* until the target answered an opening */
	dy_histogram_t answer_ms;  /* until it began to answer a request */
	uint64_t *opened;
	uint64_t *passed_on;
	uint64_t *refused;
	uint64_t *not_held;
	uint64_t *bounced;
	uint64_t *stale_notes;
	uint64_t *to_callers;
	uint64_t *notices;
	uint64_t *notices_refused;
};

dy_flow_holder_t *dy_flow_holder_create(const dy_flow_holder_config_t *config)
{
	static const dy_log_limit_t limit = DY_LOG_LIMIT_INIT(100, 1000);
	dy_flow_holder_t *holder = g_new0(dy_flow_holder_t, 1);
	dy_metrics_t *metrics = config->metrics;
	int i;

	holder->config = *config;
	holder->flows = g_hash_table_new_full(
		dy_flow_id_table_hash, dy_flow_id_table_equal, NULL, g_free);
	for (i = 0; i < STAGES; i++)
		dy_list_init(&holder->stages[i]);
	holder->kept = g_new0(kept_forward_t, DY_FORWARDS_KEPT);
	holder->flow_limit = limit;
	holder->refused_limit = limit;
	holder->request_limit = limit;
	dy_histogram_init(&holder->opening_ms, metrics, "opening_ms");
	dy_histogram_init(&holder->answer_ms, metrics, "answer_ms");
	holder->opened = dy_metrics_counter(metrics, "flows_opened");
	holder->passed_on = dy_metrics_counter(metrics, "packets_passed_on");
	holder->refused = dy_metrics_counter(metrics, "openings_refused");
	holder->not_held = dy_metrics_counter(metrics, "packets_not_held");
	holder->bounced = dy_metrics_counter(metrics, "packets_bounced");
	holder->stale_notes = dy_metrics_counter(metrics, "bounces_unknown");
	holder->to_callers = dy_metrics_counter(metrics, "packets_to_callers");
	holder->notices = dy_metrics_counter(metrics, "notices");
	holder->notices_refused =
		dy_metrics_counter(metrics, "notices_refused");
	return holder;
}

void dy_flow_holder_destroy(dy_flow_holder_t *holder)
{
	if (!holder)
		return;
	g_hash_table_destroy(holder->flows);
	g_free(holder->kept);
	g_free(holder);
}

/* The flows' records. */

static void log_request(dy_flow_holder_t *holder, const char *event,
			const flow_t *flow, const char *outcome,
			uint64_t now_ms)
{
	char text[DY_FLOW_TEXT_BYTES];

	if (!*flow->request ||
	    !dy_log_allow(&holder->request_limit, event, now_ms))
		return;
	dy_log_event(DY_LOG_INFO, event,
		     "request=%s flow=%s outcome=%s ms=%lu target=%s busy=%u "
		     "slots=%u",
		     dy_log_quote(flow->request),
		     dy_flow_id_format(&flow->id, text), outcome,
		     (unsigned long)(now_ms - flow->busy_ms),
		     dy_log_quote(holder->notice.id), holder->busy,
		     holder->notice.slots);
}

/* A caller's data where none was waiting begins a request. */
static void begin_request(dy_flow_holder_t *holder, flow_t *flow,
			  const dy_packet_t *packet, uint64_t now_ms)
{
	if (flow->busy)
		return;
	flow->busy = 1;
	flow->busy_ms = now_ms;
	holder->busy++;
	g_snprintf(flow->request, sizeof(flow->request), "%.*s",
		   packet->request ? (int)packet->request_len : 0,
		   packet->request ? packet->request : "");
	log_request(holder, "request_begun", flow, "given_to_target", now_ms);
}

static void end_request(dy_flow_holder_t *holder, flow_t *flow,
			const char *outcome, uint64_t now_ms)
{
	if (!flow->busy)
		return;
	flow->busy = 0;
	holder->busy--;
	log_request(holder, "request_ended", flow, outcome, now_ms);
}

static void enter_stage(dy_flow_holder_t *holder, flow_t *flow, stage_t stage,
			uint64_t now_ms)
{
	holder->counts[flow->stage]--;
	holder->counts[stage]++;
	flow->stage = stage;
	flow->used_ms = now_ms;
	dy_list_remove(&flow->link);
	dy_list_append(&holder->stages[stage], &flow->link);
	if (stage == STAGE_ENDED)
		end_request(holder, flow, "flow_ended", now_ms);
}

static void touch(dy_flow_holder_t *holder, flow_t *flow, uint64_t now_ms)
{
	enter_stage(holder, flow, flow->stage, now_ms);
}

static flow_t *add_flow(dy_flow_holder_t *holder, const dy_flow_id_t *id,
			stage_t stage, uint64_t now_ms)
{
	flow_t *flow = g_new0(flow_t, 1);

	flow->id = *id;
	flow->stage = stage;
	flow->used_ms = now_ms;
	dy_list_init(&flow->link);
	dy_list_append(&holder->stages[stage], &flow->link);
	holder->counts[stage]++;
	g_hash_table_insert(holder->flows, &flow->id, flow);
	return flow;
}

static void drop_flow(dy_flow_holder_t *holder, flow_t *flow,
		      const char *reason, uint64_t now_ms)
{
	end_request(holder, flow, reason, now_ms);
	holder->counts[flow->stage]--;
	dy_list_remove(&flow->link);
	g_hash_table_remove(holder->flows, &flow->id);
}

static void drop_all_flows(dy_flow_holder_t *holder, uint64_t now_ms)
{
	dy_list_t *list;
	int i;

	for (i = 0; i < STAGES; i++) {
		list = &holder->stages[i];
		while (!dy_list_empty(list))
			drop_flow(holder,
				  DY_LIST_ITEM(list->next, flow_t, link),
				  "target_started_anew", now_ms);
	}
}

static void fill_load(const dy_flow_holder_t *holder, dy_flow_load_t *load,
		      uint64_t now_ms)
{
	load->slots = holder->notice.slots;
	load->flows = dy_flow_holder_count(holder);
	load->busy = holder->busy;
	load->accepts = dy_flow_holder_accepts(holder);
	load->cold = now_ms < holder->cold_until_ms;
}

int dy_flow_holder_accepts(const dy_flow_holder_t *holder)
{
	return holder->ready && !holder->stopping;
}

uint32_t dy_flow_holder_slots(const dy_flow_holder_t *holder)
{
	return holder->notice.slots;
}

int dy_flow_holder_is_over(const dy_flow_holder_t *holder, uint64_t now_ms)
{
	return !holder->has_target || holder->left ||
	       now_ms - holder->noticed_ms > DY_TARGET_SILENT_MS;
}

unsigned dy_flow_holder_count(const dy_flow_holder_t *holder)
{
	return holder->counts[STAGE_HALF] + holder->counts[STAGE_OPEN];
}

/* The target's notices. */

static void set_ready(dy_flow_holder_t *holder, int ready, const char *reason)
{
	if (holder->ready == ready)
		return;
	holder->ready = ready;
	dy_log_event(DY_LOG_INFO, ready ? "target_ready" : "target_not_ready",
		     "id=%s reason=%s flows=%u",
		     dy_log_quote(holder->notice.id), reason,
		     dy_flow_holder_count(holder));
	holder->config.callbacks->changed(holder->config.context);
}

/* A start of the target that was not heard of before. */
static void begin_target(dy_flow_holder_t *holder,
			 const dy_target_notice_t *notice, uint64_t now_ms)
{
	dy_log_event(DY_LOG_INFO, "target_started",
		     "id=%s born_ms=%lu slots=%u flows_dropped=%u",
		     dy_log_quote(notice->id), (unsigned long)notice->born_ms,
		     notice->slots, g_hash_table_size(holder->flows));
	holder->saw_start =
		holder->has_target || notice->sequence <= FIRST_SEQUENCE;
	drop_all_flows(holder, now_ms);
	holder->has_target = 1;
	holder->left = 0;
	holder->ready = 0;
}

typedef enum notice_age {
	NOTICE_NEWER,
	NOTICE_OTHER_START,
	NOTICE_OLD
} notice_age_t;

/*
 * Guards against a notice that was held up and arrives after a later one, or
 * after its sender has ended and another start has taken its place: it would
 * make a draining target ready again. Starts are ordered by their time.
 */
static notice_age_t tell_age(const dy_flow_holder_t *holder,
			     const dy_target_notice_t *notice, uint64_t now_ms)
{
	const dy_target_notice_t *held = &holder->notice;

	if (!holder->has_target)
		return NOTICE_OTHER_START;
	if (notice->born_ms > held->born_ms)
		return NOTICE_OTHER_START;
	if (notice->born_ms < held->born_ms ||
	    strcmp(notice->id, held->id) != 0)
		return now_ms - holder->noticed_ms > REPLACED_MS
			       ? NOTICE_OTHER_START
			       : NOTICE_OLD;
	return notice->sequence > held->sequence ? NOTICE_NEWER : NOTICE_OLD;
}

int dy_flow_holder_notice(dy_flow_holder_t *holder,
			  const dy_target_notice_t *notice, uint64_t now_ms)
{
	notice_age_t age;

	++*holder->notices;
	if (strcmp(notice->service, holder->config.service) != 0 ||
	    !dy_address_equal(&notice->address, &holder->config.target)) {
		++*holder->notices_refused;
		if (dy_log_allow(&holder->refused_limit, "notice_refused",
				 now_ms))
			dy_log_event(DY_LOG_WARN, "notice_refused",
				     "id=%s service=%s",
				     dy_log_quote(notice->id),
				     dy_log_quote(notice->service));
		return 0;
	}
	age = tell_age(holder, notice, now_ms);
	if (age == NOTICE_OLD)
		return 1;
	if (age == NOTICE_OTHER_START)
		begin_target(holder, notice, now_ms);
	holder->notice = *notice;
	holder->noticed_ms = now_ms;
	holder->cold_until_ms = now_ms + notice->cold_ms;
	set_ready(holder, notice->state == DY_TARGET_READY,
		  notice->state == DY_TARGET_READY ? "notice" : "draining");
	return 1;
}

void dy_flow_holder_leave(dy_flow_holder_t *holder, const char *id)
{
	if (!holder->has_target || strcmp(id, holder->notice.id) != 0)
		return;
	holder->left = 1;
	set_ready(holder, 0, "left");
}

void dy_flow_holder_stop(dy_flow_holder_t *holder)
{
	holder->stopping = 1;
}

/* Forwards of balancers. */

static void note_balancer(dy_flow_holder_t *holder, const dy_address_t *address,
			  uint64_t now_ms)
{
	balancer_t *balancer;
	unsigned i;

	for (i = 0; i < holder->balancer_count; i++) {
		balancer = &holder->balancers[i];
		if (!dy_address_equal(&balancer->address, address))
			continue;
		balancer->heard_ms = now_ms;
		return;
	}
	if (holder->balancer_count == DY_REPORTED_MAX)
		return;
	balancer = &holder->balancers[holder->balancer_count++];
	balancer->address = *address;
	balancer->heard_ms = now_ms;
}

static void tell_held(dy_flow_holder_t *holder, const dy_address_t *balancer,
		      const flow_t *flow, uint64_t now_ms)
{
	dy_flow_held_t held = { 0 };

	held.flow = flow->id;
	held.agent = holder->config.self;
	held.open = flow->stage != STAGE_HALF;
	fill_load(holder, &held.load, now_ms);
	holder->config.callbacks->held(holder->config.context, balancer, &held);
}

static void log_flow(dy_flow_holder_t *holder, const char *event,
		     const dy_flow_id_t *flow, const char *reason,
		     uint64_t now_ms)
{
	char text[DY_FLOW_TEXT_BYTES];

	if (dy_log_allow(&holder->flow_limit, event, now_ms))
		dy_log_event(DY_LOG_INFO, event,
			     "flow=%s reason=%s target=%s flows=%u busy=%u",
			     dy_flow_id_format(flow, text), reason,
			     dy_log_quote(holder->notice.id),
			     dy_flow_holder_count(holder), holder->busy);
}

/* Not this agent's: the next one's, or nobody's. */
static void pass_on(dy_flow_holder_t *holder, dy_flow_forward_t *forward,
		    const dy_packet_t *packet, int certain)
{
	dy_flow_nowhere_t nowhere = { 0 };

	forward->certain = forward->certain && certain;
	forward->step++;
	if (forward->step < forward->tries.tries_len) {
		++*holder->passed_on;
		holder->config.callbacks->pass_on(holder->config.context,
						  forward);
		return;
	}
	nowhere.flow = packet->flow;
	nowhere.agent = holder->config.self;
	nowhere.reason = packet->marks & DY_PACKET_SYN ? DY_FLOW_REFUSED
						       : DY_FLOW_NOT_HELD;
	nowhere.complete = forward->complete;
	nowhere.certain = forward->certain;
	nowhere.window = forward->window;
	nowhere.packet.packet_val = forward->packet.packet_val;
	nowhere.packet.packet_len = forward->packet.packet_len;
	++*holder->not_held;
	holder->config.callbacks->nowhere(holder->config.context,
					  &forward->balancer, &nowhere);
}

/*
 * Give a packet to the target, and keep the forward in case that it comes
 * back.
 */
static void give(dy_flow_holder_t *holder, const dy_flow_forward_t *forward)
{
	kept_forward_t *kept;

	if (!++holder->last_note)
		++holder->last_note;
	kept = &holder->kept[holder->last_note % DY_FORWARDS_KEPT];
	kept->note = holder->last_note;
	kept->forward = *forward;
	g_strlcpy(kept->service, forward->service, sizeof(kept->service));
	kept->forward.service = kept->service;
	memcpy(kept->tries, forward->tries.tries_val,
	       forward->tries.tries_len * sizeof(kept->tries[0]));
	kept->forward.tries.tries_val = kept->tries;
	holder->config.callbacks->to_target(
		holder->config.context, (uint8_t *)forward->packet.packet_val,
		forward->packet.packet_len, holder->last_note);
}

/*
 * Load pattern: many callers open flows within one moment, by several
 * balancers that each know only what they opened themselves. Without this the
 * first choice of several of them queues while another target is idle. What is
 * known here is exact: with more requests than DY_OVERLOAD_SLOTS for each slot
 * the next choice is asked; the last of them takes what comes.
 */
static int is_overloaded(const dy_flow_holder_t *holder)
{
	return holder->busy + holder->counts[STAGE_HALF] >=
	       DY_OVERLOAD_SLOTS * holder->notice.slots;
}

static void take_opening(dy_flow_holder_t *holder, dy_flow_forward_t *forward,
			 const dy_packet_t *packet, flow_t *flow,
			 uint64_t now_ms)
{
	if (flow && flow->stage != STAGE_ENDED) {
		touch(holder, flow, now_ms);
		flow->opener = forward->balancer;
		give(holder, forward);
		return;
	}
	if (!dy_flow_holder_accepts(holder) ||
	    strcmp(forward->service, holder->config.service) != 0) {
		++*holder->refused;
		log_flow(holder, "opening_passed_on", &packet->flow,
			 holder->ready ? "service" : "not_ready", now_ms);
		pass_on(holder, forward, packet, 1);
		return;
	}
	if (is_overloaded(holder) &&
	    forward->step + 1 < forward->tries.tries_len) {
		log_flow(holder, "opening_passed_on", &packet->flow, "overload",
			 now_ms);
		pass_on(holder, forward, packet, 1);
		return;
	}
	if (flow)
		drop_flow(holder, flow, "opened_anew", now_ms);
	++*holder->opened;
	flow = add_flow(holder, &packet->flow, STAGE_HALF, now_ms);
	flow->opener = forward->balancer;
	log_flow(holder, "flow_taken", &packet->flow, "opening", now_ms);
	give(holder, forward);
}

/*
 * Whether a packet is of the opening that this target answered. Guards
 * against two copies of an opening packet that were answered by two targets:
 * the caller acknowledged one of them, and the flow is that one's alone.
 */
static int acknowledges(const flow_t *flow, const dy_packet_t *packet)
{
	return flow->answered && packet->ack - flow->target_seq <= 1;
}

/*
 * Whether every flow of the target must stand in the record: this agent was
 * there from its start. Not told by clocks, which may be set.
 */
static int knows_all(const dy_flow_holder_t *holder)
{
	return holder->saw_start;
}

static void note_caller(dy_flow_holder_t *holder, flow_t *flow,
			const dy_packet_t *packet, uint64_t now_ms)
{
	if (flow->stage == STAGE_HALF)
		enter_stage(holder, flow, STAGE_OPEN, now_ms);
	else
		touch(holder, flow, now_ms);
	if (flow->stage == STAGE_ENDED)
		return;
	if (packet->data_bytes)
		begin_request(holder, flow, packet, now_ms);
	if (packet->marks & DY_PACKET_FIN)
		flow->caller_ended = 1;
	if (packet->marks & DY_PACKET_RST ||
	    (flow->caller_ended && flow->target_ended))
		enter_stage(holder, flow, STAGE_ENDED, now_ms);
}

static void take_known(dy_flow_holder_t *holder, dy_flow_forward_t *forward,
		       const dy_packet_t *packet, flow_t *flow, uint64_t now_ms)
{
	if (flow->stage == STAGE_HALF && !acknowledges(flow, packet)) {
		log_flow(holder, "packet_passed_on", &packet->flow,
			 "other_opening", now_ms);
		pass_on(holder, forward, packet, flow->answered);
		return;
	}
	note_caller(holder, flow, packet, now_ms);
	give(holder, forward);
	if (forward->tell)
		tell_held(holder, &forward->balancer, flow, now_ms);
}

static void pass_on_known(dy_flow_holder_t *holder, dy_flow_forward_t *forward,
			  const dy_packet_t *packet, const char *reason,
			  uint64_t now_ms)
{
	log_flow(holder, "packet_passed_on", &packet->flow, reason, now_ms);
	pass_on(holder, forward, packet, 1);
}

/*
 * Guards against a search that ends at a target which is gone: it gives
 * nothing back, and the agents behind it are never asked. Whether the flow was
 * there stays open.
 */
static int is_silent(const dy_flow_holder_t *holder, uint64_t now_ms)
{
	return holder->has_target &&
	       now_ms - holder->noticed_ms > DY_TARGET_SILENT_MS;
}

void dy_flow_holder_take(dy_flow_holder_t *holder, dy_flow_forward_t *forward,
			 const dy_packet_t *packet, uint64_t now_ms)
{
	flow_t *flow = g_hash_table_lookup(holder->flows, &packet->flow);

	if (forward->step >= forward->tries.tries_len)
		return;
	note_balancer(holder, &forward->balancer, now_ms);
	if (packet->marks & DY_PACKET_SYN)
		take_opening(holder, forward, packet, flow, now_ms);
	else if (flow)
		take_known(holder, forward, packet, flow, now_ms);
	else if (knows_all(holder))
		pass_on_known(holder, forward, packet, "not_held", now_ms);
	else if (is_silent(holder, now_ms))
		pass_on(holder, forward, packet, 0);
	else
		give(holder, forward);
}

/* Packets of the target. */

static void take_back(dy_flow_holder_t *holder, const dy_packet_t *packet,
		      uint8_t *bytes, size_t len, uint64_t now_ms)
{
	kept_forward_t *kept = &holder->kept[packet->note % DY_FORWARDS_KEPT];
	flow_t *flow = g_hash_table_lookup(holder->flows, &packet->flow);
	int opening = !!(packet->marks & DY_PACKET_SYN);
	dy_flow_forward_t forward;

	++*holder->bounced;
	if (flow && (!opening || flow->stage == STAGE_HALF))
		drop_flow(holder, flow, "given_back", now_ms);
	if (!packet->note || kept->note != packet->note) {
		++*holder->stale_notes;
		return;
	}
	kept->note = 0;
	forward = kept->forward;
	forward.packet.packet_val = (char *)bytes;
	forward.packet.packet_len = (u_int)len;
	log_flow(holder, opening ? "opening_passed_on" : "packet_passed_on",
		 &packet->flow, "target_gave_back", now_ms);
	pass_on(holder, &forward, packet, 1);
}

static void note_target(dy_flow_holder_t *holder, flow_t *flow,
			const dy_packet_t *packet, uint64_t now_ms)
{
	if (packet->marks & DY_PACKET_SYN) {
		if (!flow->answered)
			dy_histogram_add(&holder->opening_ms,
					 now_ms - flow->used_ms);
		flow->answered = 1;
		flow->target_seq = packet->seq;
	}
	touch(holder, flow, now_ms);
	if (packet->data_bytes && flow->busy)
		dy_histogram_add(&holder->answer_ms, now_ms - flow->busy_ms);
	if (packet->data_bytes)
		end_request(holder, flow, "answered", now_ms);
	if (packet->marks & DY_PACKET_FIN)
		flow->target_ended = 1;
	if (packet->marks & DY_PACKET_RST ||
	    (flow->caller_ended && flow->target_ended))
		enter_stage(holder, flow, STAGE_ENDED, now_ms);
}

void dy_flow_holder_from_target(dy_flow_holder_t *holder,
				const dy_packet_t *packet, uint8_t *bytes,
				size_t len, uint64_t now_ms)
{
	flow_t *flow;

	if (packet->marks & DY_PACKET_BOUNCED) {
		take_back(holder, packet, bytes, len, now_ms);
		return;
	}
	flow = g_hash_table_lookup(holder->flows, &packet->flow);
	if (!flow)
		flow = add_flow(holder, &packet->flow,
				packet->marks & DY_PACKET_SYN ? STAGE_HALF
							      : STAGE_OPEN,
				now_ms);
	note_target(holder, flow, packet, now_ms);
	if (packet->marks & DY_PACKET_SYN && flow->opener.port)
		tell_held(holder, &flow->opener, flow, now_ms);
	++*holder->to_callers;
	holder->config.callbacks->to_caller(holder->config.context,
					    &packet->flow, bytes, len);
}

/* What is done by time. */

static void expire_stage(dy_flow_holder_t *holder, stage_t stage,
			 uint64_t after_ms, uint64_t now_ms)
{
	flow_t *flow;

	while (!dy_list_empty(&holder->stages[stage])) {
		flow = DY_LIST_ITEM(holder->stages[stage].next, flow_t, link);
		if (now_ms - flow->used_ms < after_ms)
			return;
		drop_flow(holder, flow, "idle", now_ms);
	}
}

static void report(dy_flow_holder_t *holder, uint64_t now_ms)
{
	dy_flow_report_t message = { 0 };
	unsigned i = 0;

	message.agent = holder->config.self;
	fill_load(holder, &message.load, now_ms);
	while (i < holder->balancer_count) {
		if (now_ms - holder->balancers[i].heard_ms > DY_REPORTED_MS) {
			holder->balancers[i] =
				holder->balancers[--holder->balancer_count];
			continue;
		}
		holder->config.callbacks->report(holder->config.context,
						 &holder->balancers[i].address,
						 &message);
		i++;
	}
}

void dy_flow_holder_tick(dy_flow_holder_t *holder, uint64_t now_ms)
{
	expire_stage(holder, STAGE_HALF, DY_HALF_OPEN_MS, now_ms);
	expire_stage(holder, STAGE_OPEN, DY_HELD_IDLE_MS, now_ms);
	expire_stage(holder, STAGE_ENDED, DY_ENDED_MS, now_ms);
	if (holder->ready && now_ms - holder->noticed_ms > DY_TARGET_SILENT_MS)
		set_ready(holder, 0, "silent");
	report(holder, now_ms);
}
