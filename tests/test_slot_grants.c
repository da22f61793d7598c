#include "damaskyard/slot_grants.h"

#include "fake_suite.h"

static dy_slot_grants_t *grants;

static dy_address_t balancer(unsigned number)
{
	dy_address_t address;

	dy_address_set_ipv4(&address, 0x0a000000u + number, 7001);
	return address;
}

static void reserve(unsigned number, uint32_t standing, uint64_t now_ms)
{
	dy_address_t address = balancer(number);

	dy_slot_grants_reserve(grants, &address, standing, now_ms);
}

/* Returns whether the next place goes to the balancer with this number. */
static int goes_to(unsigned number, uint64_t now_ms)
{
	dy_address_t expected = balancer(number);
	dy_address_t address;

	return dy_slot_grants_next(grants, now_ms, &address) &&
	       dy_address_equal(&address, &expected);
}

static int is_exhausted(uint64_t now_ms)
{
	dy_address_t address;

	return !dy_slot_grants_next(grants, now_ms, &address);
}

/* Guards against a place that goes to a retry before an urgent request. */
START_TEST(grants_lowest_standing_first)
{
	grants = dy_slot_grants_create();
	reserve(1, 30, 100);
	reserve(2, 10, 100);
	reserve(3, 10, 101);
	ck_assert(goes_to(2, 102));
	ck_assert(goes_to(3, 102));
	ck_assert(goes_to(1, 102));
	ck_assert(is_exhausted(102));
	ck_assert_uint_eq(dy_slot_grants_pending(grants), 3);
	dy_slot_grants_destroy(grants);
}
END_TEST

/* A balancer dies with a grant: the place must be free again. */
START_TEST(grant_lapses_without_its_opening)
{
	dy_address_t used = balancer(2);

	grants = dy_slot_grants_create();
	reserve(1, 1, 100);
	reserve(2, 2, 100);
	ck_assert(goes_to(1, 100));
	ck_assert(goes_to(2, 110));
	dy_slot_grants_use(grants, &used);
	ck_assert_uint_eq(dy_slot_grants_pending(grants), 1);
	ck_assert_uint_eq(dy_slot_grants_expire(grants, 99 + DY_GRANT_TTL_MS),
			  0);
	ck_assert_uint_eq(dy_slot_grants_expire(grants, 100 + DY_GRANT_TTL_MS),
			  1);
	ck_assert_uint_eq(dy_slot_grants_pending(grants), 0);
	dy_slot_grants_destroy(grants);
}
END_TEST

/* A balancer dies: its reservations must not draw places for good. */
START_TEST(reservation_lapses)
{
	grants = dy_slot_grants_create();
	reserve(1, 1, 100);
	reserve(2, 2, 300);
	ck_assert(goes_to(2, 100 + DY_RESERVATION_TTL_MS));
	ck_assert(is_exhausted(100 + DY_RESERVATION_TTL_MS));
	dy_slot_grants_destroy(grants);
}
END_TEST

/* Nothing waits at a balancer any more: others must get its places. */
START_TEST(decline_drops_all_of_a_balancer)
{
	dy_address_t declining = balancer(1);

	grants = dy_slot_grants_create();
	reserve(1, 1, 100);
	reserve(1, 2, 100);
	reserve(2, 3, 100);
	ck_assert(goes_to(1, 100));
	dy_slot_grants_decline(grants, &declining);
	ck_assert_uint_eq(dy_slot_grants_pending(grants), 0);
	ck_assert_uint_eq(dy_slot_grants_wanted(grants), 1);
	ck_assert(goes_to(2, 101));
	dy_slot_grants_destroy(grants);
}
END_TEST

/* A target stops admitting: each balancer must reserve elsewhere. */
START_TEST(returns_reservations_by_balancer)
{
	dy_address_t address;

	grants = dy_slot_grants_create();
	reserve(1, 1, 100);
	reserve(2, 2, 100);
	reserve(1, 3, 100);
	ck_assert_uint_eq(dy_slot_grants_return(grants, &address), 2);
	ck_assert_uint_eq(dy_slot_grants_return(grants, &address), 1);
	ck_assert_uint_eq(dy_slot_grants_return(grants, &address), 0);
	dy_slot_grants_destroy(grants);
}
END_TEST

/* Guards against memory that grows with what is asked. */
START_TEST(drops_the_highest_standing_when_full)
{
	unsigned i;

	grants = dy_slot_grants_create();
	for (i = 0; i < DY_RESERVATIONS_MAX; i++)
		reserve(1, 1000 + i, 100);
	reserve(2, 5, 100);
	ck_assert_uint_eq(dy_slot_grants_wanted(grants), DY_RESERVATIONS_MAX);
	ck_assert(goes_to(2, 100));
	dy_slot_grants_destroy(grants);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		grants_lowest_standing_first,
		grant_lapses_without_its_opening,
		reservation_lapses,
		decline_drops_all_of_a_balancer,
		returns_reservations_by_balancer,
		drops_the_highest_standing_when_full,
		NULL,
	};

	return fake_suite_run("slot_grants", tests);
}
