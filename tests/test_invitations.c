#include "damaskyard/invitations.h"

#include "fake_suite.h"

/* Returns the next member to invite, or 0. */
static uint64_t next(dy_invitations_t *invitations, uint64_t now)
{
	uint64_t member = 0;

	return dy_invitations_next(invitations, now, &member) ? member : 0;
}

/*
 * Guards against a flood of polls: a leader with 300 members in its log invites
 * a bounded number at once and one more for each that polled. Balancers come
 * first, because callers wait for them.
 */
START_TEST(invites_bounded_number_balancers_first)
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

/*
 * Guards against members that are down and block further invitations: their
 * invitations time out.
 */
START_TEST(expires_invitation_of_silent_member)
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

/*
 * A member that has polled already is not invited, and no member is invited
 * twice.
 */
START_TEST(skips_member_that_polled)
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
		invites_bounded_number_balancers_first,
		expires_invitation_of_silent_member,
		skips_member_that_polled,
		NULL,
	};

	return fake_suite_run("invitations", tests);
}
