#include "link_sender.h"

#include "damaskyard/link_queue.h"
#include "damaskyard/log.h"

/* A backlog of this many ms on the link is logged, once per second. */
#define LOGGED_BACKLOG_MS 100
#define LOG_INTERVAL_MS 1000

struct link_sender {
	flow_member_t *member;
	const dy_endpoint_t *packets;
	dy_flow_router_t *router;
	dy_link_queue_t *queue;
	uv_timer_t *timer; /* runs while forwards wait */
	uint64_t charged_bytes;
	unsigned backlog_max_ms; /* since the last line of the log */
	uint64_t logged_ms;
};

static void on_timer(uv_timer_t *timer);

static void send_delivery(link_sender_t *sender,
			  const dy_flow_forward_t *forward)
{
	dy_flow_delivery_t delivery = { 0 };

	delivery.order = forward->order;
	delivery.packet.packet_val = forward->packet.packet_val;
	delivery.packet.packet_len = forward->packet.packet_len;
	flow_member_send(sender->member, &forward->tries.tries_val[0],
			 DY_FLOW_AGENT_PROGRAM, DY_FLOW_DELIVERY,
			 (xdrproc_t)xdr_dy_flow_delivery_t, &delivery);
}

/* A send that fails takes nothing of the link, as the endpoint counts it. */
static size_t send_now(void *context, dy_flow_forward_t *forward)
{
	link_sender_t *sender = context;
	const dy_endpoint_t *inner = sender->member->inner;
	uint64_t before = dy_endpoint_sent_bytes(inner);
	uint64_t bytes;

	if (dy_flow_router_is_delivery(sender->router, forward))
		send_delivery(sender, forward);
	else
		flow_member_send(sender->member,
				 &forward->tries.tries_val[forward->step],
				 DY_FLOW_AGENT_PROGRAM, DY_FLOW_FORWARD,
				 (xdrproc_t)xdr_dy_flow_forward_t, forward);
	bytes = dy_endpoint_sent_bytes(inner) - before;
	dy_flow_router_note_sent(sender->router, forward,
				 dy_loop_now_ms(sender->member->loop));
	sender->charged_bytes += bytes;
	return bytes;
}

/* Charges what was sent since the last call without the queue. */
static void charge_other_messages(link_sender_t *sender, uint64_t now_ms)
{
	uint64_t bytes = dy_endpoint_sent_bytes(sender->member->inner) +
			 dy_endpoint_sent_bytes(sender->packets);

	dy_link_queue_charge(sender->queue, bytes - sender->charged_bytes,
			     now_ms);
	sender->charged_bytes = bytes;
}

static void start_timer(link_sender_t *sender)
{
	if (!uv_is_active((uv_handle_t *)sender->timer))
		uv_timer_start(sender->timer, on_timer,
			       DY_LINK_SERVE_INTERVAL_MS,
			       DY_LINK_SERVE_INTERVAL_MS);
}

static unsigned long value(const link_sender_t *sender, const char *counter)
{
	return (unsigned long)dy_metrics_value(sender->member->metrics,
					       counter);
}

static void log_backlog(link_sender_t *sender, uint64_t now_ms)
{
	unsigned backlog_ms = dy_link_queue_backlog_ms(sender->queue);

	sender->backlog_max_ms = MAX(sender->backlog_max_ms, backlog_ms);
	if (sender->backlog_max_ms < LOGGED_BACKLOG_MS ||
	    now_ms - sender->logged_ms < LOG_INTERVAL_MS)
		return;
	dy_log_event(DY_LOG_INFO, "link_backlog",
		     "max_ms=%u queued=%lu replaced=%lu dropped=%lu flows=%lu "
		     "openings=%lu searches=%lu control=%lu",
		     sender->backlog_max_ms, value(sender, "link_queued"),
		     value(sender, "link_replaced"),
		     value(sender, "link_dropped"),
		     value(sender, "link_bytes_flows"),
		     value(sender, "link_bytes_openings"),
		     value(sender, "link_bytes_searches"),
		     value(sender, "link_bytes_control"));
	sender->backlog_max_ms = 0;
	sender->logged_ms = now_ms;
}

static void on_timer(uv_timer_t *timer)
{
	link_sender_t *sender = timer->data;
	uint64_t now_ms = dy_loop_now_ms(sender->member->loop);

	charge_other_messages(sender, now_ms);
	log_backlog(sender, now_ms);
	if (!dy_link_queue_serve(sender->queue, now_ms))
		uv_timer_stop(timer);
}

link_sender_t *link_sender_create(flow_member_t *member,
				  const dy_endpoint_t *packets,
				  dy_flow_router_t *router)
{
	link_sender_t *sender = g_new0(link_sender_t, 1);
	dy_link_queue_config_t config = { 0 };

	sender->member = member;
	sender->packets = packets;
	sender->router = router;
	sender->timer = g_new0(uv_timer_t, 1);
	uv_timer_init(dy_loop_uv(member->loop), sender->timer);
	sender->timer->data = sender;
	config.bytes_per_s = member->settings.link_bytes_per_s;
	config.metrics = member->metrics;
	config.send = send_now;
	config.context = sender;
	sender->queue = dy_link_queue_create(&config);
	return sender;
}

static void on_closed(uv_handle_t *timer)
{
	g_free(timer);
}

void link_sender_destroy(link_sender_t *sender)
{
	if (!sender)
		return;
	uv_close((uv_handle_t *)sender->timer, on_closed);
	dy_link_queue_destroy(sender->queue);
	g_free(sender);
}

void link_sender_send(link_sender_t *sender, dy_flow_forward_t *forward,
		      const dy_packet_t *packet)
{
	uint64_t now_ms = dy_loop_now_ms(sender->member->loop);

	charge_other_messages(sender, now_ms);
	if (dy_link_queue_push(sender->queue, forward, packet, now_ms))
		start_timer(sender);
}

int link_sender_has(const link_sender_t *sender, const dy_flow_id_t *flow)
{
	return dy_link_queue_has(sender->queue, flow);
}

int link_sender_is_idle(const link_sender_t *sender)
{
	return !dy_link_queue_count(sender->queue);
}
