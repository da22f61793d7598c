#include "bootstrap.h"

#include <string.h>

#include "fake_suite.h"

static dy_peers_t peers;
static bootstrap_t bootstrap;

static void begin(uint32_t slot)
{
	ck_assert(dy_peers_parse(
		&peers, "3=127.0.0.1:3,2=127.0.0.1:2,5=[::1]:5", NULL));
	bootstrap_init(&bootstrap, &peers, slot);
}

static void hear(uint32_t slot, uint64_t identity, int empty, int mine,
		 uint64_t now_ms)
{
	dy_hello_t hello = { .id = { slot, identity }, .empty = empty };

	/* From another address than the slot's: a second process. */
	bootstrap_receive_hello(&bootstrap, &hello, &peers.slots[1], mine,
				now_ms);
}

/*
 * The disk of the lowest slot is lost and its control comes back empty. It
 * founds a second group beside the first, and an operator's change goes into
 * the one or the other.
 */
START_TEST(lost_disk_founds_no_second_group)
{
	begin(2);
	hear(3, 30, 1, 1, 0);
	ck_assert(!bootstrap_is_due(&bootstrap));
	hear(5, 50, 0, 1, 0);
	ck_assert(!bootstrap_is_due(&bootstrap));
	/* An answer to an earlier process may be from before the group. */
	hear(5, 50, 1, 0, 0);
	ck_assert(!bootstrap_is_due(&bootstrap));
	hear(9, 90, 1, 1, 0);
	hear(4000000000U, 90, 1, 1, 0);
	ck_assert(!bootstrap_is_due(&bootstrap));
	hear(5, 50, 1, 1, 0);
	ck_assert(bootstrap_is_due(&bootstrap));
}
END_TEST

/* Two that found at once would be two groups: only the lowest slot does. */
START_TEST(only_the_lowest_slot_founds)
{
	begin(3);
	hear(2, 20, 1, 1, 0);
	hear(5, 50, 1, 1, 0);
	ck_assert(!bootstrap_is_due(&bootstrap));
}
END_TEST

static void hear_from(uint32_t slot, uint64_t identity,
		      const dy_address_t *from, uint64_t now_ms)
{
	dy_hello_t hello = { .id = { slot, identity }, .empty = 1 };

	bootstrap_receive_hello(&bootstrap, &hello, from, 0, now_ms);
}

static join_step_t next(const join_member_t *voter,
			const join_member_t *learner, uint64_t now_ms,
			uint64_t *identity)
{
	return bootstrap_next_join(&bootstrap, 5, voter, learner, now_ms,
				   identity);
}

/*
 * A second control is lost right after the first one's replacement began:
 * the group must not wait for a copy that is still on its way. So the new
 * one catches up first, and only then takes the lost one's place.
 */
START_TEST(replacement_catches_up_before_it_counts)
{
	join_member_t none = { 0 };
	join_member_t lost = { 50, 900, MEMBER_TIMEOUT_MS };
	join_member_t learner = { 51, CAUGHT_UP_ENTRIES + 1, 0 };
	uint64_t identity = 0;

	begin(2);
	ck_assert_int_eq(next(&lost, &none, 0, &identity), JOIN_NONE);
	hear(5, 51, 1, 0, 1000);
	ck_assert_int_eq(next(&lost, &none, 1000, &identity), JOIN_ADD);
	ck_assert_uint_eq(identity, 51);
	ck_assert_int_eq(next(&lost, &learner, 1000, &identity), JOIN_NONE);
	learner.lag = CAUGHT_UP_ENTRIES;
	ck_assert_int_eq(next(&lost, &learner, 1000, &identity), JOIN_REMOVE);
	ck_assert_uint_eq(identity, 50);
	ck_assert_int_eq(next(&none, &learner, 1000, &identity), JOIN_PROMOTE);
	ck_assert_uint_eq(identity, 51);
	ck_assert_int_eq(next(&learner, &none, 1000, &identity), JOIN_NONE);
}
END_TEST

/*
 * Somebody starts a second process with a slot that is in use. It would push
 * out the member that works, and each would push out the other for ever.
 */
START_TEST(living_member_is_not_replaced)
{
	join_member_t none = { 0 };
	join_member_t voter = { 50, 0, MEMBER_TIMEOUT_MS - 1 };
	join_member_t learner = { 51, 0, 0 };
	uint64_t identity = 0;

	begin(2);
	hear(5, 51, 1, 0, 1000);
	ck_assert_int_eq(next(&voter, &none, 1000, &identity), JOIN_REFUSE);
	ck_assert_int_eq(next(&voter, &learner, 1000, &identity), JOIN_NONE);
	/* A wish that is long past is none. */
	voter.last_answer_age_ms = MEMBER_TIMEOUT_MS;
	ck_assert_int_eq(
		next(&voter, &none, 1001 + JOIN_REQUEST_TTL_MS, &identity),
		JOIN_NONE);
	/* A learner that died gives way to the next. */
	learner.last_answer_age_ms = MEMBER_TIMEOUT_MS;
	ck_assert_int_eq(next(&voter, &learner, 1000, &identity), JOIN_NONE);
	hear(5, 52, 1, 0, 1000);
	ck_assert_int_eq(next(&voter, &learner, 1000, &identity), JOIN_REMOVE);
	ck_assert_uint_eq(identity, 51);
}
END_TEST

/*
 * A control's disk is lost, and its VM is back with an empty one. Waiting until
 * the identity of before was silent for long keeps the group from bearing the
 * next loss; its address says that nobody else is there.
 */
START_TEST(control_that_lost_its_disk_is_replaced_without_waiting)
{
	join_member_t none = { 0 };
	join_member_t lost = { 50, 900, 0 };
	join_member_t learner = { 51, 0, 0 };
	uint64_t identity = 0;

	begin(2);
	hear_from(5, 51, &peers.slots[3], 1000);
	ck_assert_int_eq(next(&lost, &none, 1000, &identity), JOIN_REFUSE);
	hear_from(5, 51, &peers.slots[5], 1000);
	ck_assert_int_eq(next(&lost, &none, 1000, &identity), JOIN_ADD);
	ck_assert_int_eq(next(&lost, &learner, 1000, &identity), JOIN_REMOVE);
	ck_assert_uint_eq(identity, 50);
}
END_TEST

/* A wrong --peers names itself and says what is allowed. */
START_TEST(wrong_peers_are_refused)
{
	static const char *const wrong[] = {
		"",
		"1",
		"1=",
		"x=1.2.3.4:5",
		"0=1.2.3.4:5",
		"17=1.2.3.4:5",
		"1=1.2.3.4:0",
		"1=1.2.3.4:5,",
		"1=1.2.3.4:5,1=1.2.3.4:6",
		"1=1.2.3.4:5,2=1.2.3.4:5",
	};
	GError *error = NULL;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(wrong); i++) {
		ck_assert(!dy_peers_parse(&peers, wrong[i], &error));
		ck_assert_ptr_nonnull(strstr(error->message, "--peers: \""));
		g_clear_error(&error);
	}
	ck_assert(dy_peers_parse(&peers, "16=1.2.3.4:5,7=[::1]:5", NULL));
	ck_assert_uint_eq(peers.count, 2);
	ck_assert_uint_eq(dy_peers_lowest_slot(&peers), 7);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		lost_disk_founds_no_second_group,
		only_the_lowest_slot_founds,
		replacement_catches_up_before_it_counts,
		living_member_is_not_replaced,
		control_that_lost_its_disk_is_replaced_without_waiting,
		wrong_peers_are_refused,
		NULL,
	};

	return fake_suite_run("founding", tests);
}
