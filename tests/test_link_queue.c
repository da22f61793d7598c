#include "damaskyard/link_queue.h"

#include <string.h>

#include <glib.h>

#include "fake_suite.h"

/* The smallest link of the users' VMs: 4.3 Mbit/s. */
#define LINK_BYTES_PER_S 537500

/* The buffer of that link: it drops what would wait for longer. */
#define BUFFER_MS 50

/* A full packet, an empty one, and what each is on the link. */
#define FULL_BYTES 1200
#define PACKET_OVERHEAD_BYTES 128

/* The header below IP, which takes its part of the link. */
#define LINK_HEADER_BYTES 14

/* Packets that a caller has in flight. */
#define WINDOW 16

#define FLOWS_MAX 4096

static struct {
	dy_metrics_t *metrics;
	dy_link_queue_t *queue;
	uint64_t now_ms;
	double buffered_bytes; /* in the buffer of the link */
	uint64_t drained_ms;
	unsigned lost;
	unsigned sent;
	uint32_t last_seq;
	unsigned sent_by_flow[FLOWS_MAX];
	uint64_t sent_ms[FLOWS_MAX]; /* last packet */
} fake;

static size_t on_send(void *context, dy_flow_forward_t *forward)
{
	size_t bytes = forward->packet.packet_len + PACKET_OVERHEAD_BYTES;
	unsigned flow;

	(void)context;
	memcpy(&flow, forward->packet.packet_val, sizeof(flow));
	memcpy(&fake.last_seq, forward->packet.packet_val + sizeof(flow),
	       sizeof(fake.last_seq));
	fake.buffered_bytes -= (double)(fake.now_ms - fake.drained_ms) *
			       LINK_BYTES_PER_S / 1000;
	fake.buffered_bytes = MAX(fake.buffered_bytes, 0);
	fake.drained_ms = fake.now_ms;
	if (fake.buffered_bytes > LINK_BYTES_PER_S / 1000.0 * BUFFER_MS)
		fake.lost++;
	else
		fake.buffered_bytes += (double)(bytes + LINK_HEADER_BYTES);
	fake.sent++;
	fake.sent_by_flow[flow]++;
	fake.sent_ms[flow] = fake.now_ms;
	return bytes;
}

static void create(uint64_t bytes_per_s)
{
	dy_link_queue_config_t config = { 0 };

	memset(&fake, 0, sizeof(fake));
	fake.now_ms = 1000;
	fake.metrics = dy_metrics_create();
	config.bytes_per_s = bytes_per_s;
	config.metrics = fake.metrics;
	config.send = on_send;
	fake.queue = dy_link_queue_create(&config);
}

static void destroy(void)
{
	dy_link_queue_destroy(fake.queue);
	dy_metrics_destroy(fake.metrics);
}

static uint64_t counter(const char *name)
{
	return dy_metrics_value(fake.metrics, name);
}

static unsigned push(unsigned flow, uint32_t seq, uint16_t data_bytes)
{
	char bytes[DY_PACKET_BYTES] = { 0 };
	char service[] = "";
	dy_address_t tries[1] = { { .port = 7002 } };
	dy_packet_t packet = { .flow = { 1, 2, flow, 443 },
			       .flags = DY_PACKET_ACK,
			       .data_bytes = data_bytes,
			       .seq = seq };
	dy_flow_forward_t forward = { 0 };

	memcpy(bytes, &flow, sizeof(flow));
	memcpy(bytes + sizeof(flow), &seq, sizeof(seq));
	forward.service = service;
	forward.tries.tries_val = tries;
	forward.tries.tries_len = 1;
	forward.packet.packet_val = bytes;
	forward.packet.packet_len = MAX(data_bytes, 2 * sizeof(flow));
	return dy_link_queue_push(fake.queue, &forward, &packet, fake.now_ms);
}

static void push_window(unsigned flow, uint32_t first_seq)
{
	uint32_t i;

	for (i = 0; i < WINDOW; i++)
		push(flow, (first_seq + i) * FULL_BYTES, FULL_BYTES);
}

static unsigned advance(uint64_t ms)
{
	unsigned waiting = 0;
	uint64_t end_ms = fake.now_ms + ms;

	while (fake.now_ms < end_ms) {
		fake.now_ms += DY_LINK_SERVE_INTERVAL_MS;
		waiting = dy_link_queue_serve(fake.queue, fake.now_ms);
	}
	return waiting;
}

/* An unlimited link delays nothing. */
START_TEST(sends_at_once_without_limit)
{
	unsigned i;

	create(0);
	for (i = 0; i < 1000; i++)
		ck_assert_uint_eq(push(1, i, FULL_BYTES), 0);
	ck_assert_uint_eq(fake.sent, 1000);
	ck_assert_uint_eq(dy_link_queue_backlog_ms(fake.queue), 0);
	destroy();
}
END_TEST

/*
 * Guards against losses in the link's buffer: eight callers send a window each
 * at the same moment, which is four times what the buffer holds. All of it is
 * sent within the 800 ms that the callers of uploads are promised.
 */
START_TEST(loses_nothing_of_a_burst_of_uploads)
{
	unsigned flow;

	create(LINK_BYTES_PER_S);
	for (flow = 0; flow < 8; flow++)
		push_window(flow, 0);
	ck_assert_uint_eq(advance(800), 0);
	ck_assert_uint_eq(fake.sent, 8 * WINDOW);
	ck_assert_uint_eq(fake.lost, 0);
	destroy();
}
END_TEST

/* The same burst without a queue: the model of the link loses packets. */
START_TEST(burst_without_a_queue_is_lost_in_part)
{
	unsigned flow;

	create(0);
	for (flow = 0; flow < 8; flow++)
		push_window(flow, 0);
	ck_assert_uint_gt(fake.lost, 0);
	destroy();
}
END_TEST

/* Guards against requests and acknowledgements that wait behind uploads. */
START_TEST(request_overtakes_uploads)
{
	unsigned flow;

	create(LINK_BYTES_PER_S);
	for (flow = 0; flow < 8; flow++)
		push_window(flow, 0);
	advance(50);
	push(100, 1, 300);
	advance(2 * DY_LINK_SERVE_INTERVAL_MS);
	ck_assert_uint_eq(fake.sent_by_flow[100], 1);
	destroy();
}
END_TEST

/*
 * Guards against a hot caller: one flow with all the packets that fit gets no
 * more of the link than another.
 */
START_TEST(shares_link_equally_between_uploads)
{
	unsigned i;

	create(LINK_BYTES_PER_S);
	for (i = 0; i < 1000; i++)
		push(1, i * FULL_BYTES, FULL_BYTES);
	push_window(2, 0);
	while (fake.sent_by_flow[2] < WINDOW)
		advance(DY_LINK_SERVE_INTERVAL_MS);
	/* What flow 1 sent alone before is the burst of the bucket. */
	ck_assert_uint_le(fake.sent_by_flow[1],
			  WINDOW + 1 +
				  LINK_BYTES_PER_S / 1000 * DY_LINK_BURST_MS /
					  FULL_BYTES);
	destroy();
}
END_TEST

/*
 * Guards against uploads that starve while small flows overload the link: a
 * window is sent before the 6 s after which callers of uploads give up.
 */
START_TEST(small_flows_do_not_starve_an_upload)
{
	unsigned flow = 2;
	unsigned i;

	create(LINK_BYTES_PER_S);
	push_window(1, 0);
	while (fake.now_ms < 7000 && fake.sent_by_flow[1] < WINDOW) {
		/* Flows of one packet each, 1.5 times what the link carries. */
		for (i = 0; i < 10; i++)
			push(flow++ % FLOWS_MAX, 1, 300);
		advance(DY_LINK_SERVE_INTERVAL_MS);
	}
	ck_assert_uint_eq(fake.sent_by_flow[1], WINDOW);
	destroy();
}
END_TEST

/*
 * Guards against a congestion collapse: callers send a packet again while the
 * first transmission still waits.
 */
START_TEST(retransmission_replaces_waiting_packet)
{
	unsigned flow;

	create(LINK_BYTES_PER_S);
	for (flow = 0; flow < 8; flow++)
		push_window(flow, 0);
	advance(100);
	for (flow = 0; flow < 8; flow++)
		push(flow, (WINDOW - 1) * FULL_BYTES, FULL_BYTES);
	advance(800);
	ck_assert_uint_eq(fake.sent, 8 * WINDOW);
	ck_assert_uint_eq(counter("link_replaced"), 8);
	destroy();
}
END_TEST

/* Other data of the same flow, or another flow's packet, replaces nothing. */
START_TEST(other_packets_replace_nothing)
{
	create(LINK_BYTES_PER_S);
	push_window(1, 0);
	push_window(2, 0);
	push(2, WINDOW * FULL_BYTES, FULL_BYTES);
	push(2, (WINDOW - 1) * FULL_BYTES, 100);
	ck_assert_uint_eq(counter("link_replaced"), 0);
	advance(1000);
	ck_assert_uint_eq(fake.sent, 2 * WINDOW + 2);
	destroy();
}
END_TEST

/*
 * Guards against a buffer of the link that stays full while forwards wait: it
 * holds no more than one burst, for as long as the overload lasts.
 */
START_TEST(leaves_the_buffer_of_the_link_empty)
{
	double buffered_max = 0;
	uint32_t seq = 0;

	create(LINK_BYTES_PER_S);
	while (fake.now_ms < 6000) {
		push(1, ++seq * FULL_BYTES, FULL_BYTES);
		push(2, ++seq * FULL_BYTES, FULL_BYTES);
		push(3, ++seq * FULL_BYTES, FULL_BYTES);
		advance(DY_LINK_SERVE_INTERVAL_MS);
		if (fake.now_ms > 2000)
			buffered_max = MAX(buffered_max, fake.buffered_bytes);
	}
	ck_assert_double_lt(buffered_max,
			    LINK_BYTES_PER_S / 1000.0 * DY_LINK_BURST_MS);
	destroy();
}
END_TEST

/* Messages that bypass the queue take their part of the link. */
START_TEST(charged_messages_delay_forwards)
{
	create(LINK_BYTES_PER_S);
	dy_link_queue_charge(fake.queue, LINK_BYTES_PER_S / 10, fake.now_ms);
	ck_assert_uint_eq(push(1, 1, FULL_BYTES), 1);
	ck_assert_uint_eq(advance(70), 1);
	ck_assert_uint_eq(advance(50), 0);
	ck_assert_uint_eq(counter("link_bytes_control"), LINK_BYTES_PER_S / 10);
	destroy();
}
END_TEST

/* Guards against a queue without a bound; the hot caller bears the loss. */
START_TEST(drops_from_the_longest_flow_when_full)
{
	unsigned i;

	create(LINK_BYTES_PER_S);
	push_window(2, 0);
	for (i = 0; i < DY_LINK_QUEUE_MAX; i++)
		push(1, i * FULL_BYTES, FULL_BYTES);
	ck_assert_uint_gt(counter("link_dropped"), 0);
	while (advance(100))
		;
	ck_assert_uint_eq(fake.sent_by_flow[2], WINDOW);
	ck_assert_uint_eq(fake.sent_by_flow[1] + counter("link_dropped"),
			  DY_LINK_QUEUE_MAX);
	destroy();
}
END_TEST

/* The rate holds over any time, whatever the order of calls. */
START_TEST(never_exceeds_the_rate_of_the_link)
{
	GRand *rand = g_rand_new_with_seed(7);
	unsigned i;

	create(LINK_BYTES_PER_S);
	for (i = 0; i < 5000; i++) {
		push((unsigned)g_rand_int_range(rand, 0, 50), i * FULL_BYTES,
		     (uint16_t)g_rand_int_range(rand, 0, FULL_BYTES));
		if (g_rand_boolean(rand))
			advance(DY_LINK_SERVE_INTERVAL_MS);
	}
	ck_assert_uint_eq(fake.lost, 0);
	ck_assert_uint_le(counter("link_bytes_flows"),
			  (fake.now_ms - 1000 + 2 * DY_LINK_BURST_MS) *
				  LINK_BYTES_PER_S / 1000);
	g_rand_free(rand);
	destroy();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		sends_at_once_without_limit,
		loses_nothing_of_a_burst_of_uploads,
		burst_without_a_queue_is_lost_in_part,
		request_overtakes_uploads,
		shares_link_equally_between_uploads,
		small_flows_do_not_starve_an_upload,
		retransmission_replaces_waiting_packet,
		other_packets_replace_nothing,
		leaves_the_buffer_of_the_link_empty,
		charged_messages_delay_forwards,
		drops_from_the_longest_flow_when_full,
		never_exceeds_the_rate_of_the_link,
		NULL,
	};

	return fake_suite_run("link_queue", tests);
}
