/* Uploads at a balancer: which may begin, and which wait for the link. */

#include "flow_router_private.h"

static int is_upload(const flow_t *flow)
{
	return !dy_list_empty(&flow->upload_link);
}

static void end_upload(dy_flow_router_t *router, flow_t *flow)
{
	dy_list_remove(&flow->upload_link);
	dy_bulk_limit_end(&router->bulk, flow->upload_bytes);
}

void flow_router_begin_upload(dy_flow_router_t *router, flow_t *flow,
			      uint64_t now_ms)
{
	if (is_upload(flow))
		return;
	flow->upload_bytes = 0;
	flow->upload_ms = now_ms;
	dy_list_append(&router->uploads, &flow->upload_link);
	dy_bulk_limit_begin(&router->bulk);
}

void flow_router_abort_upload(dy_flow_router_t *router, flow_t *flow)
{
	if (is_upload(flow))
		end_upload(router, flow);
}

void flow_router_update_upload(dy_flow_router_t *router, flow_t *flow,
			       const dy_packet_t *packet, uint64_t now_ms)
{
	if (!is_upload(flow))
		return;
	flow->upload_bytes += packet->data_bytes;
	flow->upload_ms = now_ms;
	dy_list_remove(&flow->upload_link);
	dy_list_append(&router->uploads, &flow->upload_link);
	if ((packet->data_bytes && !packet->full) ||
	    packet->flags & (DY_PACKET_FIN | DY_PACKET_RST)) {
		end_upload(router, flow);
		flow_router_serve_uploads(router, now_ms);
	}
}

static void log_waits(dy_flow_router_t *router, const dy_flow_id_t *flow,
		      uint64_t now_ms)
{
	char text[DY_FLOW_TEXT_BYTES];

	if (!dy_log_allow(&router->upload_limit, "upload_waits", now_ms))
		return;
	dy_log_event(DY_LOG_INFO, "upload_waits",
		     "flow=%s running=%u waiting=%u mean_bytes=%.0f",
		     dy_flow_id_format(flow, text), router->bulk.running,
		     dy_opening_queue_count(router->waiting_uploads),
		     router->bulk.mean_bytes);
}

static void refuse_upload(dy_flow_router_t *router, const dy_packet_t *packet,
			  uint64_t now_ms)
{
	dy_refused_callers_add(router->refused_uploads, packet->flow.caller_ip,
			       now_ms);
	flow_router_refuse(router, packet, "link_full", now_ms);
}

/* A caller that comes back has few tries left, but most of its time-out. */
static uint64_t find_wait_ms(dy_flow_router_t *router,
			     const dy_flow_entry_t *entry,
			     const dy_packet_t *packet, uint64_t now_ms)
{
	uint64_t wait_ms = dy_bulk_limit_wait_ms(entry->aim_ms);

	if (!dy_refused_callers_has(router->refused_uploads,
				    packet->flow.caller_ip, now_ms))
		return wait_ms;
	return MAX(wait_ms, dy_bulk_limit_return_wait_ms(entry->timeout_ms));
}

int flow_router_defer_upload(dy_flow_router_t *router,
			     const dy_flow_entry_t *entry,
			     const dy_packet_t *packet, uint8_t *bytes,
			     size_t len, uint64_t now_ms)
{
	int copy = dy_opening_queue_has(router->waiting_uploads, &packet->flow);
	dy_flow_forward_t forward = { 0 };

	if (!copy && dy_bulk_limit_allows(&router->bulk, entry->aim_ms))
		return 0;
	forward.service = "";
	forward.packet.packet_val = (char *)bytes;
	forward.packet.packet_len = (u_int)len;
	if (!dy_opening_queue_add_for(
		    router->waiting_uploads, &forward, packet,
		    find_wait_ms(router, entry, packet, now_ms), now_ms)) {
		refuse_upload(router, packet, now_ms);
	} else if (!copy) {
		++*router->uploads_waited;
		log_waits(router, &packet->flow, now_ms);
	}
	return 1;
}

static void expire_uploads(dy_flow_router_t *router, uint64_t now_ms)
{
	flow_t *flow;

	while (!dy_list_empty(&router->uploads)) {
		flow = DY_LIST_ITEM(router->uploads.next, flow_t, upload_link);
		if (now_ms - flow->upload_ms < DY_BULK_IDLE_MS)
			return;
		end_upload(router, flow);
	}
}

/* Opens a flow that has waited, unless its entry is gone meanwhile. */
static void open_waiting(dy_flow_router_t *router, dy_opening_t *opening,
			 uint64_t now_ms)
{
	dy_flow_forward_t *forward = &opening->stored.forward;

	flow_router_open_flow(router, &opening->packet,
			      (uint8_t *)forward->packet.packet_val,
			      forward->packet.packet_len, now_ms);
}

/* Returns whether the upload that would be opened next may begin. */
static int may_open_next(const dy_flow_router_t *router)
{
	const dy_flow_id_t *flow =
		dy_opening_queue_newest(router->waiting_uploads);
	const dy_flow_entry_t *entry;

	if (!flow)
		return 0;
	entry = flow_router_find_entry(router, flow);
	return dy_bulk_limit_allows(&router->bulk, entry ? entry->aim_ms : 0);
}

void flow_router_serve_uploads(dy_flow_router_t *router, uint64_t now_ms)
{
	dy_opening_t opening;

	expire_uploads(router, now_ms);
	while (may_open_next(router) &&
	       dy_opening_queue_pop(router->waiting_uploads, &opening))
		open_waiting(router, &opening, now_ms);
	while (dy_opening_queue_pop_expired(router->waiting_uploads, now_ms,
					    &opening)) {
		++*router->uploads_waited_out;
		refuse_upload(router, &opening.packet, now_ms);
	}
}
