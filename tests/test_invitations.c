#include "damaskyard/invitations.h"

#include "fake_suite.h"

/* Returns the member that is invited next, or 0. */
static uint64_t next(dy_invitations_t *invitations, uint64_t now)
{
	uint64_t member = 0;

	return dy_invitations_next(invitations, now, &member) ? member : 0;
}

/*
 * A leader finds three hundred members in its log. Called all at once they
 * would be a crowd; it calls some, and one more for each that came. Balancers
 * are called first: callers wait for them.
 */
START_TEST(some_are_invited_at_once_balancers_first)
{
	dy_invitations_t *invitations = dy_invitations_create();
	uint64_t member;
	unsigned i;

	for (i = 1; i <= 200; i++)
		dy_invitations_add(invitations, 1000 + i, 0);
	for (i = 1; i <= 100; i++)
		dy_invitations_add(invitations, i, 1);
	for (i = 1; i <= DY_INVITATIONS_IN_FLIGHT_MAX; i++)
		ck_assert_uint_eq(next(invitations, 0), i);
	ck_assert_uint_eq(next(invitations, 0), 0);
	for (i = 1; i <= 300 - DY_INVITATIONS_IN_FLIGHT_MAX; i++) {
		dy_invitations_remove(invitations, i <= 100 ? i : 900 + i);
		member = next(invitations, 10);
		ck_assert_uint_ne(member, 0);
		ck_assert(i + DY_INVITATIONS_IN_FLIGHT_MAX <= 100
				  ? member <= 100
				  : member > 1000);
		ck_assert_uint_eq(next(invitations, 10), 0);
	}
	dy_invitations_destroy(invitations);
}
END_TEST

/* Members that are down hold a place for a while only. */
START_TEST(member_that_does_not_come_is_not_waited_for)
{
	dy_invitations_t *invitations = dy_invitations_create();
	unsigned i;

	for (i = 1; i <= DY_INVITATIONS_IN_FLIGHT_MAX + 1; i++)
		dy_invitations_add(invitations, i, 1);
	for (i = 1; i <= DY_INVITATIONS_IN_FLIGHT_MAX; i++)
		ck_assert_uint_eq(next(invitations, 0), i);
	ck_assert_uint_eq(next(invitations, DY_INVITATION_TIMEOUT_MS - 1), 0);
	ck_assert_uint_eq(next(invitations, DY_INVITATION_TIMEOUT_MS),
			  DY_INVITATIONS_IN_FLIGHT_MAX + 1);
	ck_assert_uint_eq(next(invitations, DY_INVITATION_TIMEOUT_MS), 0);
	ck_assert(!dy_invitations_is_empty(invitations));
	ck_assert_uint_eq(next(invitations, 2 * DY_INVITATION_TIMEOUT_MS), 0);
	ck_assert(dy_invitations_is_empty(invitations));
	dy_invitations_destroy(invitations);
}
END_TEST

/* Whoever came by itself is not called, and nobody twice. */
START_TEST(member_that_came_is_not_invited)
{
	dy_invitations_t *invitations = dy_invitations_create();

	dy_invitations_add(invitations, 1, 1);
	dy_invitations_add(invitations, 1, 1);
	dy_invitations_add(invitations, 2, 1);
	dy_invitations_add(invitations, 3, 0);
	dy_invitations_remove(invitations, 2);
	dy_invitations_remove(invitations, 99);
	ck_assert_uint_eq(next(invitations, 0), 1);
	ck_assert_uint_eq(next(invitations, 0), 3);
	ck_assert_uint_eq(next(invitations, 0), 0);
	dy_invitations_clear(invitations);
	ck_assert(dy_invitations_is_empty(invitations));
	dy_invitations_destroy(invitations);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		some_are_invited_at_once_balancers_first,
		member_that_does_not_come_is_not_waited_for,
		member_that_came_is_not_invited,
		NULL,
	};

	return fake_suite_run("invitations", tests);
}
