#include "soak.h"

#include <string.h>

/* A packet that the fabric delays. */
typedef struct delayed_packet {
	uv_timer_t timer;
	uv_udp_t *socket;
	struct sockaddr_in destination;
	size_t len;
	uint8_t bytes[PACKET_MAX];
} delayed_packet_t;

/* Health of a balancer; two failed probes in a row end its rotation. */
static struct {
	int failed_probes;
	int probe_pending;
	uint64_t last_probe_ms;
} balancer_health[BALANCERS_MAX + 1];

static void write_u32_le(uint8_t *at, uint32_t value)
{
	at[0] = (uint8_t)value;
	at[1] = (uint8_t)(value >> 8);
	at[2] = (uint8_t)(value >> 16);
	at[3] = (uint8_t)(value >> 24);
}

static void write_u16_le(uint8_t *at, uint32_t value)
{
	at[0] = (uint8_t)value;
	at[1] = (uint8_t)(value >> 8);
}

size_t packet_make(uint8_t *bytes, const dy_flow_id_t *flow, int from_caller,
		   unsigned flags, uint32_t seq, uint32_t ack, const char *data)
{
	size_t len;

	memset(bytes, 0, PLATFORM_HEADER_BYTES);
	for (len = 0; data[len]; len++)
		bytes[PLATFORM_HEADER_BYTES + len] = (uint8_t)data[len];
	bytes[8] = (uint8_t)((flags & DY_PACKET_SYN ? 8 : 0) |
			     (flags & DY_PACKET_ACK ? 1 : 0) |
			     (flags & DY_PACKET_FIN ? 128 : 0) |
			     (flags & DY_PACKET_RST ? 4 : 0));
	write_u16_le(bytes + (from_caller ? 12 : 14), flow->caller_port);
	write_u16_le(bytes + (from_caller ? 14 : 12), flow->entry_port);
	write_u32_le(bytes + (from_caller ? 16 : 20), flow->entry_ip);
	write_u32_le(bytes + (from_caller ? 20 : 16), flow->caller_ip);
	write_u16_le(bytes + 24, (uint32_t)len);
	write_u32_le(bytes + 26, seq);
	write_u32_le(bytes + 30, ack);
	/* Any checksum but 0, which marks resets that the system writes. */
	write_u32_le(bytes, 1);
	return PLATFORM_HEADER_BYTES + len;
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char read_buf[65536];

	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(read_buf, sizeof(read_buf));
}

void udp_open(uv_udp_t *udp, int class, int number, int port,
	      uv_udp_recv_cb receive, void *data)
{
	struct sockaddr_in at;

	soak_address(class, number, port, &at);
	uv_udp_init(soak.loop, udp);
	udp->data = data;
	if (uv_udp_bind(udp, (struct sockaddr *)&at, 0))
		g_error("soak: an address is in use; try again");
	uv_udp_recv_start(udp, on_alloc, receive);
}

void udp_send(uv_udp_t *udp, const uint8_t *bytes, size_t len,
	      const struct sockaddr_in *to)
{
	uv_buf_t buf = uv_buf_init((char *)bytes, (unsigned)len);

	uv_udp_try_send(udp, &buf, 1, (const struct sockaddr *)to);
}

static void on_probe_answer(void *context, int status, const char *body,
			    const char *location)
{
	int number = GPOINTER_TO_INT(context);

	(void)body;
	(void)location;
	balancer_health[number].probe_pending = 0;
	if (status == 200)
		balancer_health[number].failed_probes = 0;
	else
		balancer_health[number].failed_probes++;
}

/* Probes the readiness of each balancer every 500 ms. */
void fabric_tick(void)
{
	uint64_t now = soak_now_ms();
	struct sockaddr_in to;
	int i;

	for (i = 1; i <= soak.balancers; i++) {
		if (balancer_health[i].probe_pending ||
		    now - balancer_health[i].last_probe_ms < 500)
			continue;
		balancer_health[i].probe_pending = 1;
		balancer_health[i].last_probe_ms = now;
		soak_address(NET_BALANCER, i, PORT_READY, &to);
		http_call(&to, "GET", "/-/readyz", NULL, on_probe_answer,
			  GINT_TO_POINTER(i));
	}
}

void fabric_create(void)
{
	int i;

	for (i = 1; i <= soak.balancers; i++)
		balancer_health[i].failed_probes = 2;
}

static int choose_balancer(const dy_flow_id_t *flow)
{
	uint64_t best_rank = 0;
	uint64_t rank;
	int chosen = 1;
	int include_unready;
	int i;

	for (include_unready = 0; include_unready < 2 && !best_rank;
	     include_unready++)
		for (i = 1; i <= soak.balancers; i++) {
			if (!include_unready &&
			    balancer_health[i].failed_probes >= 2)
				continue;
			rank = dy_flow_id_hash(flow) *
			       (2654435761u * (unsigned)i | 1);
			rank ^= rank >> 29;
			if (rank <= best_rank)
				continue;
			best_rank = rank;
			chosen = i;
		}
	return chosen;
}

static void free_delayed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void on_delay_expired(uv_timer_t *timer)
{
	delayed_packet_t *delayed = timer->data;

	udp_send(delayed->socket, delayed->bytes, delayed->len,
		 &delayed->destination);
	uv_close((uv_handle_t *)timer, free_delayed);
}

static void send_delayed(uv_udp_t *from, const uint8_t *bytes, size_t len,
			 const struct sockaddr_in *to, uint64_t delay_ms)
{
	delayed_packet_t *delayed = g_new0(delayed_packet_t, 1);

	delayed->socket = from;
	delayed->destination = *to;
	delayed->len = len;
	memcpy(delayed->bytes, bytes, len);
	uv_timer_init(soak.loop, &delayed->timer);
	delayed->timer.data = delayed;
	uv_timer_start(&delayed->timer, on_delay_expired, delay_ms, 0);
}

void fabric_send(uv_udp_t *from, const uint8_t *bytes, size_t len,
		 const dy_flow_id_t *flow)
{
	struct sockaddr_in to;

	soak_address(NET_BALANCER, choose_balancer(flow), PORT_PACKETS, &to);
	if ((unsigned)g_rand_int_range(soak.rand, 0, 1000) <
	    soak.loss_per_mille)
		return;
	if ((unsigned)g_rand_int_range(soak.rand, 0, 1000) <
	    soak.duplicate_per_mille)
		send_delayed(from, bytes, len, &to, 30);
	if (soak.delay_max_ms && g_rand_int_range(soak.rand, 0, 4) == 0)
		send_delayed(from, bytes, len, &to,
			     (uint64_t)g_rand_int_range(
				     soak.rand, 1, (int)soak.delay_max_ms + 1));
	else
		udp_send(from, bytes, len, &to);
}
