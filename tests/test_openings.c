#include "src/request/openings.h"

#include "fake_suite.h"

static unsigned add(openings_t *openings, uint64_t key, uint64_t incarnation,
		    opening_t displaced[OPENINGS_DISPLACED_MAX])
{
	opening_t opening = { .key = key, .incarnation = incarnation };

	return openings_add(openings, &opening, displaced);
}

/*
 * Guards against an opening that is gone from the table while its target waits
 * for its answer for good: a full table drops the oldest.
 */
START_TEST(reports_opening_that_a_full_table_drops)
{
	openings_t *openings = openings_create();
	opening_t displaced[OPENINGS_DISPLACED_MAX];
	unsigned i;

	for (i = 1; i <= OPENINGS_MAX; i++)
		ck_assert_uint_eq(add(openings, i, 1000 + i, displaced), 0);
	ck_assert_uint_eq(add(openings, i, 1000 + i, displaced), 1);
	ck_assert_uint_eq(displaced[0].incarnation, 1001);
	openings_destroy(openings);
}
END_TEST

/* The same, for a call that is forwarded again to another target. */
START_TEST(reports_opening_that_is_replaced)
{
	openings_t *openings = openings_create();
	opening_t displaced[OPENINGS_DISPLACED_MAX];
	opening_t opening;

	ck_assert_uint_eq(add(openings, 1, 1001, displaced), 0);
	ck_assert_uint_eq(add(openings, 1, 1002, displaced), 1);
	ck_assert_uint_eq(displaced[0].incarnation, 1001);
	ck_assert(openings_remove(openings, 1, &opening));
	ck_assert_uint_eq(opening.incarnation, 1002);
	ck_assert(!openings_remove(openings, 1, &opening));
	openings_destroy(openings);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		reports_opening_that_a_full_table_drops,
		reports_opening_that_is_replaced,
		NULL,
	};

	return fake_suite_run("openings", tests);
}
