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

static dy_poll_queue_result_t enqueue(dy_poll_queue_t *queue, unsigned number,
				      uint32_t xid, int is_balancer,
				      uint64_t now)
{
	dy_address_t from = sender(number);

	return dy_poll_queue_enqueue(queue, &from, xid, is_balancer,
				     (const uint8_t *)&xid, sizeof(xid), now);
}

/* Returns the sender's number, 0 if none waits; *xid is read from the bytes. */
static unsigned dequeue(dy_poll_queue_t *queue, uint64_t now, uint32_t *xid)
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
 * All members have lost control. One retransmits repeatedly while a slow leader
 * processes the others. If each duplicate were answered, the polls behind it
 * would be answered after their senders have timed out. The sender must have
 * one entry, which holds its newest poll.
 */
START_TEST(duplicates_share_one_entry)
{
	dy_poll_queue_t *queue = dy_poll_queue_create();
	uint32_t xid = 0;

	ck_assert_int_eq(enqueue(queue, 1, 10, 1, 0), DY_POLL_QUEUED);
	ck_assert_int_eq(enqueue(queue, 2, 20, 1, 0), DY_POLL_QUEUED);
	ck_assert_int_eq(enqueue(queue, 1, 10, 1, 100), DY_POLL_REPLACED);
	ck_assert_int_eq(enqueue(queue, 1, 11, 1, 300), DY_POLL_REPLACED);
	ck_assert_uint_eq(dy_poll_queue_count(queue), 2);
	ck_assert_uint_eq(dequeue(queue, 300, &xid), 1);
	ck_assert_uint_eq(xid, 11);
	ck_assert_uint_eq(dequeue(queue, 300, &xid), 2);
	ck_assert_uint_eq(dequeue(queue, 300, &xid), 0);
	dy_poll_queue_destroy(queue);
}
END_TEST

/*
 * A member's poll waits for the log, and its duplicate arrives. If it were
 * processed again, it would propose the same join once more and cost the log an
 * entry on each disk.
 */
START_TEST(drops_duplicate_of_poll_being_answered)
{
	dy_poll_queue_t *queue = dy_poll_queue_create();
	dy_address_t from = sender(1);
	uint32_t xid = 0;

	enqueue(queue, 1, 10, 0, 0);
	ck_assert_uint_eq(dequeue(queue, 0, &xid), 1);
	ck_assert_int_eq(enqueue(queue, 1, 10, 0, 50), DY_POLL_DUPLICATE);
	ck_assert_uint_eq(dequeue(queue, 50, &xid), 0);
	/* Another poll of the same sender is not a duplicate. */
	ck_assert_int_eq(enqueue(queue, 1, 11, 0, 60), DY_POLL_QUEUED);
	dy_poll_queue_complete(queue, &from, 10);
	ck_assert_uint_eq(dequeue(queue, 60, &xid), 1);
	ck_assert_uint_eq(xid, 11);
	/* Completing an older poll has no effect. */
	dy_poll_queue_complete(queue, &from, 10);
	ck_assert_int_eq(enqueue(queue, 1, 11, 0, 70), DY_POLL_DUPLICATE);
	dy_poll_queue_complete(queue, &from, 11);
	/* Its answer was lost: the retransmission is answered. */
	ck_assert_int_eq(enqueue(queue, 1, 11, 0, 400), DY_POLL_QUEUED);
	dy_poll_queue_destroy(queue);
}
END_TEST

/*
 * Agents far outnumber balancers and poll first. Callers wait for balancers,
 * but agents must not starve, or their targets would lose their leases.
 */
START_TEST(prefers_balancers_without_starving_agents)
{
	dy_poll_queue_t *queue = dy_poll_queue_create();
	unsigned balancers = 0;
	unsigned agents = 0;
	uint32_t xid = 0;
	unsigned i;

	for (i = 0; i < 200; i++)
		enqueue(queue, 1000 + i, i, 0, 0);
	for (i = 0; i < 40; i++)
		enqueue(queue, 1 + i, i, 1, 0);
	while (balancers < 40) {
		if (dequeue(queue, 0, &xid) >= 1000)
			agents++;
		else
			balancers++;
	}
	ck_assert_uint_ge(agents, 40 / DY_POLL_QUEUE_AGENT_INTERVAL);
	ck_assert_uint_le(agents, 40 / (DY_POLL_QUEUE_AGENT_INTERVAL - 1) + 1);
	/* Without queued balancers every poll dequeued is an agent's. */
	for (; agents < 200; agents++)
		ck_assert_uint_ge(dequeue(queue, 0, &xid), 1000);
	ck_assert_uint_eq(dequeue(queue, 0, &xid), 0);
	dy_poll_queue_destroy(queue);
}
END_TEST

/* A poll whose sender has timed out is dropped, and its entry is free again. */
START_TEST(drops_expired_polls)
{
	dy_poll_queue_t *queue = dy_poll_queue_create();
	uint32_t xid = 0;

	enqueue(queue, 1, 10, 1, 0);
	enqueue(queue, 2, 20, 1, 500);
	ck_assert_uint_eq(dequeue(queue, DY_POLL_QUEUE_TIMEOUT_MS, &xid), 2);
	ck_assert_uint_eq(dy_poll_queue_expired(queue), 1);
	ck_assert_int_eq(enqueue(queue, 1, 11, 1, 1200), DY_POLL_QUEUED);
	ck_assert_uint_eq(dequeue(queue, 1200, &xid), 1);
	dy_poll_queue_destroy(queue);
}
END_TEST

/*
 * Polls from unknown addresses fill the queue up to its limit and no further.
 */
START_TEST(limits_number_of_senders)
{
	dy_poll_queue_t *queue = dy_poll_queue_create();
	unsigned i;

	for (i = 0; i < DY_POLL_QUEUE_MAX_SENDERS; i++)
		ck_assert_int_eq(enqueue(queue, i, 1, 1, 0), DY_POLL_QUEUED);
	ck_assert_int_eq(enqueue(queue, DY_POLL_QUEUE_MAX_SENDERS, 1, 1, 0),
			 DY_POLL_FULL);
	ck_assert_int_eq(enqueue(queue, 3, 2, 1, 0), DY_POLL_REPLACED);
	dy_poll_queue_destroy(queue);
}
END_TEST

/*
 * Polls are queued before they are authenticated. Datagrams of maximum size,
 * each from another address, must not exhaust the memory of a control.
 */
START_TEST(limits_queued_bytes)
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
	/* A dequeued poll frees its space. */
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
 * 1,000 members poll a control on a small fraction of a core twice a second,
 * more than it can answer, and some would never be answered. The interval that
 * leaves half of the control's time must follow from the cost of the queued
 * polls. On a fast core the interval must not grow.
 */
START_TEST(interval_follows_cost_of_polls)
{
	dy_poll_queue_t *queue = dy_poll_queue_create();
	uint32_t xid = 0;
	uint64_t now = 0;
	unsigned i;

	ck_assert_uint_eq(dy_poll_queue_interval_ms(queue, 1000, 0), 0);
	for (i = 0; i < 20; i++)
		enqueue(queue, i + 1, 1, 1, 0);
	for (i = 0; i < 20; i++)
		dequeue(queue, 5 * i, &xid);
	/* Too few samples. */
	ck_assert_uint_eq(dy_poll_queue_interval_ms(queue, 1000, 100), 0);
	for (i = 0; i < 400; i++)
		enqueue(queue, i + 1, 2, 1, 1000);
	for (i = 0; i < 400; i++) {
		now = 1000 + i;
		ck_assert_uint_ne(dequeue(queue, now, &xid), 0);
	}
	/*
	 * 1 ms each: 1,000 members take half of the time at an interval of 2 s.
	 */
	ck_assert_uint_ge(dy_poll_queue_interval_ms(queue, 1000, now), 1900);
	ck_assert_uint_le(dy_poll_queue_interval_ms(queue, 1000, now), 2100);
	/* The estimate decays without new samples. */
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
		duplicates_share_one_entry,
		drops_duplicate_of_poll_being_answered,
		prefers_balancers_without_starving_agents,
		drops_expired_polls,
		limits_number_of_senders,
		limits_queued_bytes,
		interval_follows_cost_of_polls,
		NULL,
	};

	return fake_suite_run("poll_queue", tests);
}
