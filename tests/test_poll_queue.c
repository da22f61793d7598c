#include "damaskyard/poll_queue.h"

#include <string.h>

#include <glib.h>

#include "fake_suite.h"

static dy_address_t sender(unsigned number)
{
	dy_address_t address;

	dy_address_set_ipv4(&address, 0x0a000000u + number, 7000);
	return address;
}

static dy_poll_queue_result_t put(dy_poll_queue_t *queue, unsigned number,
				  uint32_t xid, int is_balancer, uint64_t now)
{
	dy_address_t from = sender(number);

	return dy_poll_queue_enqueue(queue, &from, xid, is_balancer,
				     (const uint8_t *)&xid, sizeof(xid), now);
}

/* Returns the sender's number, 0 if none waits; *xid as in its bytes. */
static unsigned take(dy_poll_queue_t *queue, uint64_t now, uint32_t *xid)
{
	dy_queued_poll_t poll;
	const uint8_t *ip;

	if (!dy_poll_queue_dequeue(queue, now, &poll))
		return 0;
	ck_assert_uint_eq(poll.len, sizeof(*xid));
	memcpy(xid, poll.bytes, sizeof(*xid));
	ck_assert_uint_eq(*xid, poll.xid);
	g_free(poll.bytes);
	ip = (const uint8_t *)poll.from.ip;
	return ip[15] | (unsigned)ip[14] << 8;
}

/*
 * All members lost control. One asks again and again while a slow leader works
 * through the others. Were each copy answered, those behind it would wait for
 * answers that nobody reads. It has one place, and its newest poll is in it.
 */
START_TEST(copies_wait_in_one_place)
{
	dy_poll_queue_t *queue = dy_poll_queue_create();
	uint32_t xid = 0;

	ck_assert_int_eq(put(queue, 1, 10, 1, 0), DY_POLL_QUEUED);
	ck_assert_int_eq(put(queue, 2, 20, 1, 0), DY_POLL_QUEUED);
	ck_assert_int_eq(put(queue, 1, 10, 1, 100), DY_POLL_REPLACED);
	ck_assert_int_eq(put(queue, 1, 11, 1, 300), DY_POLL_REPLACED);
	ck_assert_uint_eq(dy_poll_queue_count(queue), 2);
	ck_assert_uint_eq(take(queue, 300, &xid), 1);
	ck_assert_uint_eq(xid, 11);
	ck_assert_uint_eq(take(queue, 300, &xid), 2);
	ck_assert_uint_eq(take(queue, 300, &xid), 0);
	dy_poll_queue_destroy(queue);
}
END_TEST

/*
 * A member's poll waits for the log, and its copy comes. Begun again, it would
 * propose the same joining once more, and cost the log an entry on each disk.
 */
START_TEST(copy_of_what_is_being_answered_is_dropped)
{
	dy_poll_queue_t *queue = dy_poll_queue_create();
	dy_address_t from = sender(1);
	uint32_t xid = 0;

	put(queue, 1, 10, 0, 0);
	ck_assert_uint_eq(take(queue, 0, &xid), 1);
	ck_assert_int_eq(put(queue, 1, 10, 0, 50), DY_POLL_DUPLICATE);
	ck_assert_uint_eq(take(queue, 50, &xid), 0);
	/* Another poll of it is no copy. */
	ck_assert_int_eq(put(queue, 1, 11, 0, 60), DY_POLL_QUEUED);
	dy_poll_queue_complete(queue, &from, 10);
	ck_assert_uint_eq(take(queue, 60, &xid), 1);
	ck_assert_uint_eq(xid, 11);
	/* The end of an older one ends nothing. */
	dy_poll_queue_complete(queue, &from, 10);
	ck_assert_int_eq(put(queue, 1, 11, 0, 70), DY_POLL_DUPLICATE);
	dy_poll_queue_complete(queue, &from, 11);
	/* Its answer was lost: the copy is answered. */
	ck_assert_int_eq(put(queue, 1, 11, 0, 400), DY_POLL_QUEUED);
	dy_poll_queue_destroy(queue);
}
END_TEST

/*
 * Agents outnumber balancers by far and ask first. Callers wait for balancers;
 * but agents must not starve, or targets would be lost with their leases.
 */
START_TEST(balancers_go_first_and_agents_do_not_starve)
{
	dy_poll_queue_t *queue = dy_poll_queue_create();
	unsigned balancers = 0;
	unsigned agents = 0;
	uint32_t xid = 0;
	unsigned i;

	for (i = 0; i < 200; i++)
		put(queue, 1000 + i, i, 0, 0);
	for (i = 0; i < 40; i++)
		put(queue, 1 + i, i, 1, 0);
	while (balancers < 40) {
		if (take(queue, 0, &xid) >= 1000)
			agents++;
		else
			balancers++;
	}
	ck_assert_uint_ge(agents, 40 / DY_POLL_QUEUE_AGENT_INTERVAL);
	ck_assert_uint_le(agents, 40 / (DY_POLL_QUEUE_AGENT_INTERVAL - 1) + 1);
	/* With no balancer left every turn is an agent's. */
	for (; agents < 200; agents++)
		ck_assert_uint_ge(take(queue, 0, &xid), 1000);
	ck_assert_uint_eq(take(queue, 0, &xid), 0);
	dy_poll_queue_destroy(queue);
}
END_TEST

/* What its sender gave up is not worked on, and its place is free again. */
START_TEST(old_polls_are_dropped)
{
	dy_poll_queue_t *queue = dy_poll_queue_create();
	uint32_t xid = 0;

	put(queue, 1, 10, 1, 0);
	put(queue, 2, 20, 1, 500);
	ck_assert_uint_eq(take(queue, DY_POLL_QUEUE_TIMEOUT_MS, &xid), 2);
	ck_assert_uint_eq(dy_poll_queue_expired(queue), 1);
	ck_assert_int_eq(put(queue, 1, 11, 1, 1200), DY_POLL_QUEUED);
	ck_assert_uint_eq(take(queue, 1200, &xid), 1);
	dy_poll_queue_destroy(queue);
}
END_TEST

/* Strangers' addresses fill the queue up to its bound and no further. */
START_TEST(queue_is_bounded)
{
	dy_poll_queue_t *queue = dy_poll_queue_create();
	unsigned i;

	for (i = 0; i < DY_POLL_QUEUE_MAX_SENDERS; i++)
		ck_assert_int_eq(put(queue, i, 1, 1, 0), DY_POLL_QUEUED);
	ck_assert_int_eq(put(queue, DY_POLL_QUEUE_MAX_SENDERS, 1, 1, 0),
			 DY_POLL_FULL);
	ck_assert_int_eq(put(queue, 3, 2, 1, 0), DY_POLL_REPLACED);
	dy_poll_queue_destroy(queue);
}
END_TEST

/*
 * Polls wait unopened. Datagrams of a stranger, as large as they may be and
 * each from an address of its own, would take all of a control's memory.
 */
START_TEST(bytes_are_bounded)
{
	static const uint8_t bytes[DY_POLL_QUEUE_MAX_POLL_BYTES + 1];
	dy_poll_queue_t *queue = dy_poll_queue_create();
	dy_queued_poll_t poll;
	dy_address_t from;
	unsigned queued = 0;
	unsigned i;

	from = sender(1);
	ck_assert_int_eq(dy_poll_queue_enqueue(queue, &from, 1, 0, bytes,
					       sizeof(bytes), 0),
			 DY_POLL_FULL);
	for (i = 0; i < DY_POLL_QUEUE_MAX_SENDERS; i++) {
		from = sender(i);
		queued += dy_poll_queue_enqueue(queue, &from, 1, 0, bytes,
						DY_POLL_QUEUE_MAX_POLL_BYTES,
						0) == DY_POLL_QUEUED;
	}
	ck_assert_uint_eq(queued, DY_POLL_QUEUE_MAX_BYTES /
					  DY_POLL_QUEUE_MAX_POLL_BYTES);
	/* What is taken makes room again. */
	ck_assert(dy_poll_queue_dequeue(queue, 0, &poll));
	ck_assert_uint_eq(poll.len, DY_POLL_QUEUE_MAX_POLL_BYTES);
	g_free(poll.bytes);
	from = sender(DY_POLL_QUEUE_MAX_SENDERS + 1);
	ck_assert_int_eq(dy_poll_queue_enqueue(queue, &from, 1, 0, bytes,
					       DY_POLL_QUEUE_MAX_POLL_BYTES, 0),
			 DY_POLL_QUEUED);
	dy_poll_queue_destroy(queue);
}
END_TEST

/*
 * A thousand members poll a control on a small part of a core twice a second,
 * more than it can answer: they would wait for ever, and some never be heard.
 * What each poll costs shows while they wait, and from it the pace that leaves
 * half of the time. On a core that is fast enough nothing is slowed.
 */
START_TEST(pace_comes_from_what_polls_cost)
{
	dy_poll_queue_t *queue = dy_poll_queue_create();
	uint32_t xid = 0;
	uint64_t now = 0;
	unsigned i;

	ck_assert_uint_eq(dy_poll_queue_interval_ms(queue, 1000, 0), 0);
	for (i = 0; i < 20; i++)
		put(queue, i + 1, 1, 1, 0);
	for (i = 0; i < 20; i++)
		take(queue, 5 * i, &xid);
	/* Too few to say. */
	ck_assert_uint_eq(dy_poll_queue_interval_ms(queue, 1000, 100), 0);
	for (i = 0; i < 400; i++)
		put(queue, i + 1, 2, 1, 1000);
	for (i = 0; i < 400; i++) {
		now = 1000 + i;
		ck_assert_uint_ne(take(queue, now, &xid), 0);
	}
	/* 1 ms each: a thousand members take half of the time at 2 s. */
	ck_assert_uint_ge(dy_poll_queue_interval_ms(queue, 1000, now), 1900);
	ck_assert_uint_le(dy_poll_queue_interval_ms(queue, 1000, now), 2100);
	/* Not seen again, it counts for less. */
	ck_assert_uint_le(
		dy_poll_queue_interval_ms(
			queue, 1000, now + 2 * DY_POLL_QUEUE_COST_HALF_LIFE_MS),
		525);
	dy_poll_queue_destroy(queue);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		copies_wait_in_one_place,
		copy_of_what_is_being_answered_is_dropped,
		balancers_go_first_and_agents_do_not_starve,
		old_polls_are_dropped,
		queue_is_bounded,
		bytes_are_bounded,
		pace_comes_from_what_polls_cost,
		NULL,
	};

	return fake_suite_run("poll_queue", tests);
}
