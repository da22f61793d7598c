#include "damaskyard/opening_queue.h"

#include <string.h>

#include "fake_suite.h"

static dy_opening_queue_t *queue;

static int add_for(unsigned flow, uint32_t copy, uint64_t wait_max_ms,
		   uint64_t now_ms)
{
	dy_packet_t packet = { .flow = { 1, 2, flow, 443 } };
	dy_address_t tries[1] = { { .port = 7002 } };
	dy_flow_forward_t forward = { 0 };
	char service[] = "readings";
	char bytes[] = { (char)flow, (char)copy };

	packet.ack = copy;
	forward.service = service;
	forward.tries.tries_val = tries;
	forward.tries.tries_len = 1;
	forward.packet.packet_val = bytes;
	forward.packet.packet_len = sizeof(bytes);
	if (!wait_max_ms)
		return dy_opening_queue_add(queue, &forward, &packet, now_ms);
	return dy_opening_queue_add_for(queue, &forward, &packet, wait_max_ms,
					now_ms);
}

static int add(unsigned flow, uint32_t copy, uint64_t now_ms)
{
	return add_for(flow, copy, 0, now_ms);
}

/* A dequeued opening owns what it points to. */
static void check_opening(const dy_opening_t *opening, unsigned flow,
			  uint32_t copy)
{
	ck_assert_uint_eq(opening->packet.flow.caller_port, flow);
	ck_assert_uint_eq(opening->packet.ack, copy);
	ck_assert_str_eq(opening->stored.forward.service, "readings");
	ck_assert_uint_eq(opening->stored.forward.tries.tries_val[0].port,
			  7002);
	ck_assert_uint_eq(opening->stored.forward.packet.packet_len, 2);
	ck_assert_int_eq(opening->stored.forward.packet.packet_val[1],
			 (char)copy);
}

/*
 * All callers open flows at once. The oldest openings are from before the power
 * loss and cannot be answered in time any more; the newest can.
 */
START_TEST(dequeues_newest_first)
{
	dy_opening_t opening;

	queue = dy_opening_queue_create();
	ck_assert(add(1, 0, 100));
	ck_assert(add(2, 0, 150));
	ck_assert(dy_opening_queue_pop(queue, &opening));
	check_opening(&opening, 2, 0);
	ck_assert(dy_opening_queue_pop(queue, &opening));
	check_opening(&opening, 1, 0);
	ck_assert(!dy_opening_queue_pop(queue, &opening));
	dy_opening_queue_destroy(queue);
}
END_TEST

/*
 * A caller retransmits its SYN. Guards against a second entry for it, and
 * against a restart of its wait time.
 */
START_TEST(replaces_queued_opening_by_retransmission)
{
	dy_opening_t opening;

	queue = dy_opening_queue_create();
	ck_assert(add(1, 0, 100));
	ck_assert(add(2, 0, 150));
	ck_assert(add(1, 1, 300));
	ck_assert_uint_eq(dy_opening_queue_count(queue), 2);
	ck_assert(!dy_opening_queue_pop_expired(
		queue, 99 + DY_OPENING_WAIT_MAX_MS, &opening));
	ck_assert(dy_opening_queue_pop_expired(
		queue, 100 + DY_OPENING_WAIT_MAX_MS, &opening));
	check_opening(&opening, 1, 1);
	ck_assert(!dy_opening_queue_has(queue, &opening.packet.flow));
	dy_opening_queue_destroy(queue);
}
END_TEST

/*
 * Guards against an opening of a route with a short aim that is held behind an
 * older one that may wait for longer.
 */
START_TEST(expires_openings_in_the_order_of_their_ends)
{
	dy_opening_t opening;

	queue = dy_opening_queue_create();
	ck_assert(add_for(1, 0, 300, 100));
	ck_assert(add_for(2, 0, 50, 110));
	ck_assert(add_for(3, 0, 200, 120));
	ck_assert(!dy_opening_queue_pop_expired(queue, 159, &opening));
	ck_assert(dy_opening_queue_pop_expired(queue, 160, &opening));
	check_opening(&opening, 2, 0);
	ck_assert(!dy_opening_queue_pop_expired(queue, 319, &opening));
	ck_assert(dy_opening_queue_pop_expired(queue, 400, &opening));
	check_opening(&opening, 3, 0);
	ck_assert(dy_opening_queue_pop(queue, &opening));
	check_opening(&opening, 1, 0);
	ck_assert(!dy_opening_queue_pop_expired(queue, 1000, &opening));
	dy_opening_queue_destroy(queue);
}
END_TEST

/* A new opening is refused once the queue is full. */
START_TEST(refuses_opening_when_full)
{
	unsigned flow;

	queue = dy_opening_queue_create();
	for (flow = 0; flow < DY_OPENINGS_MAX; flow++)
		ck_assert(add(flow, 0, 100));
	ck_assert(!add(flow, 0, 100));
	ck_assert(add(0, 1, 100));
	ck_assert_uint_eq(dy_opening_queue_count(queue), DY_OPENINGS_MAX);
	dy_opening_queue_destroy(queue);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		dequeues_newest_first,
		replaces_queued_opening_by_retransmission,
		expires_openings_in_the_order_of_their_ends,
		refuses_opening_when_full,
		NULL,
	};

	return fake_suite_run("opening_queue", tests);
}
