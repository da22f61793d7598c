/* The router's uploads on a thin link; flow_router_bulk.c. */

#include "damaskyard/bulk_limit.h"
#include "damaskyard/opening_queue.h"
#include "fake_router.h"
#include "fake_suite.h"

#define LINK_BYTES_PER_S 537500
#define AIM_MS 800
#define TICK_MS 100

/* Packets of one upload, of which 10 fit the part of the aim at once. */
#define FULL_BYTES 1200
#define UPLOAD_PACKETS 17

/* Time-out of the entry; 0: unknown. */
static uint32_t timeout_ms;

static void begin(void)
{
	dy_flow_rules_t *rules = dy_flow_rules_create(6);
	dy_flow_entry_t entry = { .ip = FAKE_ENTRY_IP,
				  .port = FAKE_ENTRY_PORT };

	fake_router_begin_on_link(2, LINK_BYTES_PER_S);
	entry.upload = 1;
	entry.aim_ms = AIM_MS;
	entry.timeout_ms = timeout_ms;
	entry.shares[0].service = "readings";
	entry.shares[0].weight = 1;
	entry.share_count = 1;
	ck_assert_ptr_null(dy_flow_rules_add(rules, &entry));
	dy_flow_router_set_rules(fake_router.router, rules);
}

static void open_flow(unsigned flow)
{
	fake_router_receive_packet(flow, DY_PACKET_SYN, 0);
}

static void send_data(unsigned flow, unsigned packets, int last)
{
	dy_packet_t packet = fake_router_packet(flow, DY_PACKET_ACK, 5);
	unsigned i;

	for (i = 0; i < packets; i++) {
		packet.data_bytes = FULL_BYTES;
		packet.full = !last || i + 1 < packets;
		dy_flow_router_receive_packet(
			fake_router.router, &packet, fake_router.bytes,
			sizeof(fake_router.bytes), fake_router.now_ms);
	}
}

/* The uploads 1 to running go on. */
static void keep_running(unsigned running)
{
	unsigned flow;

	for (flow = 1; flow <= running; flow++)
		send_data(flow, 1, 0);
}

/* Opens uploads until one has to wait. Returns how many run. */
static unsigned fill_link(void)
{
	unsigned forwards;
	unsigned flow = 1;

	open_flow(0);
	send_data(0, UPLOAD_PACKETS, 1);
	do {
		forwards = fake_router.forwards;
		open_flow(flow++);
	} while (fake_router.forwards > forwards);
	return flow - 2;
}

/* Begins with a full link and no opening that waits. Returns how many run. */
static unsigned begin_full(void)
{
	unsigned running;

	begin();
	running = fill_link();
	fake_router.now_ms += dy_bulk_limit_wait_ms(AIM_MS);
	dy_flow_router_expire(fake_router.router, fake_router.now_ms);
	return running;
}

/*
 * Power is back, and all callers start uploads. Guards against uploads that all
 * share the link and are all late.
 */
START_TEST(defers_uploads_that_the_link_cannot_carry_in_time)
{
	unsigned running;

	begin();
	running = fill_link();
	ck_assert_uint_ge(running, DY_BULK_RUNNING_MIN);
	ck_assert_uint_le(running, AIM_MS * DY_BULK_AIM_PERCENT / 100 *
					   (LINK_BYTES_PER_S / 1000) /
					   (UPLOAD_PACKETS * FULL_BYTES));
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router_end();
}
END_TEST

/* The last packet of an upload makes room for the newest that waits. */
START_TEST(opens_waiting_upload_when_another_has_arrived)
{
	unsigned forwards;
	unsigned running;

	begin();
	running = fill_link();
	open_flow(90);
	forwards = fake_router.forwards;
	send_data(1, UPLOAD_PACKETS, 1);
	ck_assert_uint_eq(fake_router.forwards, forwards + UPLOAD_PACKETS + 1);
	open_flow(91);
	ck_assert_uint_eq(fake_router.forwards, forwards + UPLOAD_PACKETS + 1);
	ck_assert_uint_gt(running, 1);
	fake_router_end();
}
END_TEST

/*
 * A caller that cannot be served in time is told at once, while another
 * balancer can still serve it.
 */
START_TEST(refuses_upload_that_waited_too_long)
{
	begin();
	fill_link();
	fake_router.now_ms += dy_bulk_limit_wait_ms(AIM_MS) - 1;
	dy_flow_router_expire(fake_router.router, fake_router.now_ms);
	ck_assert_uint_eq(fake_router.resets, 0);
	fake_router.now_ms += 1;
	dy_flow_router_expire(fake_router.router, fake_router.now_ms);
	ck_assert_uint_eq(fake_router.resets, 1);
	fake_router_end();
}
END_TEST

/* Copies of an opening that waits take no second place. */
START_TEST(counts_copies_of_an_opening_once)
{
	unsigned waiting;

	begin();
	waiting = fill_link() + 1;
	open_flow(waiting);
	fake_router.now_ms += dy_bulk_limit_wait_ms(AIM_MS);
	dy_flow_router_expire(fake_router.router, fake_router.now_ms);
	ck_assert_uint_eq(fake_router.resets, 1);
	fake_router_end();
}
END_TEST

/*
 * A caller tries three times, each at a balancer whose link stays full. Guards
 * against tries that use up the aim, so that a balancer with room answers late.
 */
START_TEST(three_tries_leave_time_for_a_transfer)
{
	uint64_t begun_ms;
	unsigned running;
	unsigned try;

	running = begin_full();
	begun_ms = fake_router.now_ms;
	for (try = 0; try < 3; try++) {
		unsigned resets = fake_router.resets;

		open_flow(200 + try);
		while (fake_router.resets == resets) {
			fake_router.now_ms += TICK_MS;
			keep_running(running);
			dy_flow_router_expire(fake_router.router,
					      fake_router.now_ms);
		}
	}
	ck_assert_uint_lt(fake_router.now_ms - begun_ms +
				  2ull * AIM_MS * DY_BULK_AIM_PERCENT / 100,
			  AIM_MS);
	fake_router_end();
}
END_TEST

/* Offers two openings where one ends. Returns how many callers are refused. */
static unsigned overload(unsigned running)
{
	unsigned resets = fake_router.resets;
	unsigned i;

	for (i = 0; i < running; i++) {
		open_flow(300 + 2 * i);
		open_flow(301 + 2 * i);
		fake_router.now_ms += TICK_MS;
		send_data(i + 1, UPLOAD_PACKETS, 1);
	}
	fake_router.now_ms += TICK_MS;
	dy_flow_router_expire(fake_router.router, fake_router.now_ms);
	return fake_router.resets - resets;
}

/*
 * Twice as many uploads as the link carries. Guards against a place that stays
 * free although an opening waits, and against callers without an answer.
 */
START_TEST(serves_half_of_twice_the_load_and_answers_all)
{
	unsigned forwards;
	unsigned running;

	running = begin_full();
	forwards = fake_router.forwards;
	ck_assert_uint_eq(overload(running), running);
	ck_assert_uint_eq(fake_router.forwards - forwards,
			  running * (UPLOAD_PACKETS + 1));
	fake_router_end();
}
END_TEST

/* Guards against callers that vanish and hold their part of the link. */
START_TEST(forgets_uploads_without_packets)
{
	unsigned forwards;

	begin();
	fill_link();
	fake_router.now_ms += DY_BULK_IDLE_MS;
	dy_flow_router_expire(fake_router.router, fake_router.now_ms);
	forwards = fake_router.forwards;
	open_flow(90);
	ck_assert_uint_eq(fake_router.forwards, forwards + 1);
	fake_router_end();
}
END_TEST

/*
 * A caller is refused and comes back to the same balancer. Guards against an
 * upload that is given up within a second of a time-out of six.
 */
START_TEST(lets_a_caller_that_comes_back_wait)
{
	unsigned running;

	timeout_ms = 6000;
	running = begin_full();
	ck_assert_uint_eq(fake_router.resets, 1);
	open_flow(running + 2);
	fake_router.now_ms += DY_BULK_RETURN_WAIT_MAX_MS - 1;
	keep_running(running);
	dy_flow_router_expire(fake_router.router, fake_router.now_ms);
	ck_assert_uint_eq(fake_router.resets, 1);
	fake_router.now_ms++;
	dy_flow_router_expire(fake_router.router, fake_router.now_ms);
	ck_assert_uint_eq(fake_router.resets, 2);
	fake_router_end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		defers_uploads_that_the_link_cannot_carry_in_time,
		opens_waiting_upload_when_another_has_arrived,
		refuses_upload_that_waited_too_long,
		counts_copies_of_an_opening_once,
		three_tries_leave_time_for_a_transfer,
		serves_half_of_twice_the_load_and_answers_all,
		forgets_uploads_without_packets,
		lets_a_caller_that_comes_back_wait,
		NULL,
	};

	return fake_suite_run("flow_uploads", tests);
}
