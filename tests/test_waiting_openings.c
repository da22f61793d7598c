#include "damaskyard/waiting_openings.h"

#include "damaskyard/caller_rank.h"
#include "fake_suite.h"

#define SERVICE "readings"
#define WAIT_MAX_MS 250

static dy_waiting_openings_t *waiting;
static uint32_t standing;

static void setup(void)
{
	waiting = dy_waiting_openings_create();
}

static void teardown(void)
{
	dy_waiting_openings_destroy(waiting);
}

static dy_packet_t make_packet(unsigned caller, unsigned port)
{
	dy_packet_t packet = { 0 };

	packet.flow.caller_ip = caller;
	packet.flow.caller_port = port;
	packet.flags = DY_PACKET_SYN;
	return packet;
}

static int add(unsigned caller, unsigned port, unsigned priority, uint32_t rank,
	       uint64_t now_ms)
{
	dy_opening_claim_t claim = { SERVICE, priority, rank, WAIT_MAX_MS,
				     now_ms };
	dy_packet_t packet = make_packet(caller, port);
	dy_flow_forward_t forward = { 0 };

	forward.service = "";
	return dy_waiting_openings_add(waiting, &claim, &forward, &packet,
				       now_ms, &standing);
}

/* Returns the caller of the opening that takes a granted place, or 0. */
static unsigned grant(uint64_t now_ms)
{
	dy_waited_opening_t waited;

	if (!dy_waiting_openings_pop(waiting, SERVICE, now_ms, &waited))
		return 0;
	return waited.opening.packet.flow.caller_ip;
}

/* Guards against an urgent request that waits behind a crowd of others. */
START_TEST(serves_priority_then_rank)
{
	setup();
	ck_assert(add(1, 1, 2, 50, 100));
	ck_assert(add(2, 1, 2, 10, 101));
	ck_assert(add(3, 1, 1, 90, 102));
	ck_assert_uint_eq(grant(103), 3);
	ck_assert_uint_eq(grant(103), 2);
	ck_assert_uint_eq(grant(103), 1);
	ck_assert_uint_eq(grant(103), 0);
	teardown();
}
END_TEST

/* Guards against a low priority that gets nothing while others come. */
START_TEST(lowest_priority_gets_its_floor)
{
	unsigned lowest = 0;
	unsigned i;

	setup();
	ck_assert(add(1, 1, 2, 5, 100));
	ck_assert(add(2, 1, 2, 4, 100));
	for (i = 0; i < 2 * DY_PRIORITY_FLOOR; i++) {
		ck_assert(add(100 + i, 1, 1, 900, 100));
		lowest += grant(101) < 100;
	}
	ck_assert_uint_eq(lowest, 2);
	teardown();
}
END_TEST

/* Guards against a hot caller with a good rank who takes all places. */
START_TEST(hot_caller_takes_one_place_in_turn)
{
	unsigned hot = 0;
	unsigned i;

	setup();
	for (i = 0; i < 100; i++)
		ck_assert(add(1, i, 2, 0, 100));
	for (i = 0; i < 20; i++)
		ck_assert(add(2 + i, 1, 2, 500 + i, 100));
	for (i = 0; i < 21; i++)
		hot += grant(101) == 1;
	ck_assert_uint_le(hot, 3);
	teardown();
}
END_TEST

/*
 * Guards against openings that wait for nothing: at the rate of the latest
 * grants their wait would exceed its maximum.
 */
START_TEST(refuses_at_once_what_would_wait_too_long)
{
	unsigned i;

	setup();
	for (i = 0; i < 100; i++)
		ck_assert(add(1000 + i, 1, 2, 100 + i, 100));
	for (i = 0; i < DY_GRANT_RATE_SAMPLES; i++)
		ck_assert(grant(105 + 5 * i));
	/* 84 wait, one is granted a place each 5 ms: 50 in 250 ms. */
	ck_assert(!add(1, 1, 2, 5000, 190));
	ck_assert(add(2, 1, 2, 120, 190));
	ck_assert(add(3, 1, 1, 5000, 190));
	teardown();
}
END_TEST

/* Guards against a caller who is left without an answer. */
START_TEST(returns_what_waited_for_its_maximum)
{
	dy_waited_opening_t waited;

	setup();
	ck_assert(add(1, 1, 2, 5, 100));
	ck_assert(add(2, 1, 2, 4, 150));
	ck_assert(!dy_waiting_openings_pop_expired(
		waiting, 100 + WAIT_MAX_MS - 1, &waited));
	ck_assert(dy_waiting_openings_pop_expired(waiting, 100 + WAIT_MAX_MS,
						  &waited));
	ck_assert_uint_eq(waited.opening.packet.flow.caller_ip, 1);
	ck_assert_uint_eq(waited.since_ms, 100);
	ck_assert_str_eq(waited.service, SERVICE);
	ck_assert(!dy_waiting_openings_pop_expired(waiting, 100 + WAIT_MAX_MS,
						   &waited));
	ck_assert_uint_eq(dy_waiting_openings_count(waiting, SERVICE), 1);
	teardown();
}
END_TEST

/*
 * Guards against an opening whose reservation was lost, while those that come
 * later use up all grants.
 */
START_TEST(finds_opening_without_a_grant)
{
	dy_flow_id_t flow;

	setup();
	ck_assert(add(1, 1, 2, 900, 100));
	ck_assert(add(2, 1, 2, 4, 150));
	ck_assert_uint_eq(grant(160), 2);
	ck_assert_ptr_null(dy_waiting_openings_find_overdue(
		waiting, 100 + DY_RESERVATION_RENEW_MS - 1, &flow, &standing));
	ck_assert_str_eq(dy_waiting_openings_find_overdue(
				 waiting, 100 + DY_RESERVATION_RENEW_MS, &flow,
				 &standing),
			 SERVICE);
	ck_assert_uint_eq(flow.caller_ip, 1);
	ck_assert_uint_eq(standing, dy_opening_standing(2, 0, 900));
	ck_assert_ptr_null(dy_waiting_openings_find_overdue(
		waiting, 101 + DY_RESERVATION_RENEW_MS, &flow, &standing));
	teardown();
}
END_TEST

/* Guards against memory that grows with the callers. */
START_TEST(refuses_when_full)
{
	unsigned i;

	setup();
	for (i = 0; i < DY_WAITING_OPENINGS_MAX; i++)
		ck_assert(add(1000 + i, 1, 2, i, 100));
	ck_assert(!add(1, 1, 0, 0, 100));
	ck_assert_uint_eq(dy_waiting_openings_count(waiting, NULL),
			  DY_WAITING_OPENINGS_MAX);
	teardown();
}
END_TEST

/* Guards against a grant of one service that is used for another. */
START_TEST(keeps_services_apart)
{
	dy_waited_opening_t waited;

	setup();
	ck_assert(add(1, 1, 2, 5, 100));
	ck_assert(!dy_waiting_openings_pop(waiting, "maps", 101, &waited));
	ck_assert_uint_eq(dy_waiting_openings_count(waiting, "maps"), 0);
	ck_assert_uint_eq(grant(101), 1);
	teardown();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		serves_priority_then_rank,
		lowest_priority_gets_its_floor,
		hot_caller_takes_one_place_in_turn,
		refuses_at_once_what_would_wait_too_long,
		returns_what_waited_for_its_maximum,
		finds_opening_without_a_grant,
		refuses_when_full,
		keeps_services_apart,
		NULL,
	};

	return fake_suite_run("waiting_openings", tests);
}
