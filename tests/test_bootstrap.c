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

static void receive_hello(uint32_t slot, uint64_t identity, int empty,
			  int answers_us, uint64_t now_ms)
{
	dy_hello_t hello = { .id = { slot, identity }, .empty = empty };

	/* From an address other than the slot's: a second process. */
	bootstrap_receive_hello(&bootstrap, &hello, &peers.slots[1], answers_us,
				now_ms);
}

/*
 * The control in the lowest slot loses its disk and returns empty. If it
 * bootstraps a second group beside the first, an operator's change goes to
 * either of them.
 */
START_TEST(lost_disk_does_not_bootstrap_second_group)
{
	begin(2);
	receive_hello(3, 30, 1, 1, 0);
	ck_assert(!bootstrap_is_due(&bootstrap));
	receive_hello(5, 50, 0, 1, 0);
	ck_assert(!bootstrap_is_due(&bootstrap));
	/* An answer to an earlier process may date from before the group. */
	receive_hello(5, 50, 1, 0, 0);
	ck_assert(!bootstrap_is_due(&bootstrap));
	receive_hello(9, 90, 1, 1, 0);
	receive_hello(4000000000U, 90, 1, 1, 0);
	ck_assert(!bootstrap_is_due(&bootstrap));
	receive_hello(5, 50, 1, 1, 0);
	ck_assert(bootstrap_is_due(&bootstrap));
}
END_TEST

/* A control that knows no other one forms a second group by itself. */
START_TEST(control_without_peers_bootstraps_nothing)
{
	begin(2);
	memset(&peers, 0, sizeof(peers));
	bootstrap_init(&bootstrap, &peers, DY_RAFT_MEMBERS_MAX);
	ck_assert(!bootstrap_is_due(&bootstrap));
}
END_TEST

/* All listed controls are new while others, not listed, have the state. */
START_TEST(member_that_is_not_listed_prevents_second_group)
{
	begin(2);
	receive_hello(3, 30, 1, 1, 0);
	receive_hello(9, 90, 0, 1, 0);
	receive_hello(5, 50, 1, 1, 0);
	ck_assert(!bootstrap_is_due(&bootstrap));
}
END_TEST

/* Controls that bootstrap at once would form two groups, so one slot may. */
START_TEST(only_lowest_slot_bootstraps)
{
	begin(3);
	receive_hello(2, 20, 1, 1, 0);
	receive_hello(5, 50, 1, 1, 0);
	ck_assert(!bootstrap_is_due(&bootstrap));
}
END_TEST

static void receive_hello_from(uint32_t slot, uint64_t identity,
			       const dy_address_t *from, uint64_t now_ms)
{
	dy_hello_t hello = { .id = { slot, identity }, .empty = 1 };

	bootstrap_receive_hello(&bootstrap, &hello, from, 0, now_ms);
}

static join_step_t next_step(const join_member_t *voter,
			     const join_member_t *learner, uint64_t now_ms,
			     uint64_t *identity)
{
	return bootstrap_next_join(&bootstrap, 5, voter, learner, now_ms,
				   identity);
}

/*
 * A second control is lost right after the replacement of the first one
 * started. The group must not depend on a member that is still copying the log.
 * So the new control catches up first, and only then replaces the lost one.
 */
START_TEST(replacement_catches_up_before_promotion)
{
	join_member_t none = { 0 };
	join_member_t lost = { 50, 900, MEMBER_TIMEOUT_MS, 0 };
	join_member_t learner = { 51, LEARNER_MAX_LAG_ENTRIES + 1, 0, 0 };
	uint64_t identity = 0;

	begin(2);
	ck_assert_int_eq(next_step(&lost, &none, 0, &identity), JOIN_NONE);
	receive_hello(5, 51, 1, 0, 1000);
	ck_assert_int_eq(next_step(&lost, &none, 1000, &identity), JOIN_ADD);
	ck_assert_uint_eq(identity, 51);
	ck_assert_int_eq(next_step(&lost, &learner, 1000, &identity),
			 JOIN_NONE);
	learner.lag = LEARNER_MAX_LAG_ENTRIES;
	ck_assert_int_eq(next_step(&lost, &learner, 1000, &identity),
			 JOIN_REMOVE);
	ck_assert_uint_eq(identity, 50);
	ck_assert_int_eq(next_step(&none, &learner, 1000, &identity),
			 JOIN_PROMOTE);
	ck_assert_uint_eq(identity, 51);
	ck_assert_int_eq(next_step(&learner, &none, 1000, &identity),
			 JOIN_NONE);
}
END_TEST

/* A removed control is added again by a request from before it joined. */
START_TEST(forgets_request_of_removed_member)
{
	join_member_t none = { 0 };
	dy_voter_id_t other = { 5, 52 };
	dy_voter_id_t removed = { 5, 51 };
	uint64_t identity = 0;

	begin(2);
	receive_hello(5, 51, 1, 0, 1000);
	bootstrap_forget_request(&bootstrap, other);
	ck_assert_int_eq(next_step(&none, &none, 1000, &identity), JOIN_ADD);
	bootstrap_forget_request(&bootstrap, removed);
	ck_assert_int_eq(next_step(&none, &none, 1000, &identity), JOIN_NONE);
}
END_TEST

/* Learners that were lost keep their slots until no control gets one. */
START_TEST(removes_learner_that_stays_silent)
{
	join_member_t none = { 0 };
	join_member_t voter = { .identity = 50 };
	join_member_t learner = { 51, 10, UINT64_MAX, LEARNER_TIMEOUT_MS - 1 };
	uint64_t identity = 0;

	begin(2);
	ck_assert_int_eq(next_step(&none, &learner, 1000, &identity),
			 JOIN_NONE);
	learner.silent_ms++;
	ck_assert_int_eq(next_step(&none, &learner, 1000, &identity),
			 JOIN_REMOVE);
	ck_assert_uint_eq(identity, 51);
	ck_assert_int_eq(next_step(&voter, &learner, 1000, &identity),
			 JOIN_REMOVE);
	ck_assert_uint_eq(identity, 51);
}
END_TEST

/*
 * A second process is started with a slot that is in use. If it replaced the
 * working member, the two would replace each other for ever.
 */
START_TEST(refuses_to_replace_responsive_member)
{
	join_member_t none = { 0 };
	join_member_t voter = { 50, 0, MEMBER_TIMEOUT_MS - 1, 0 };
	join_member_t learner = { 51, 0, 0, 0 };
	uint64_t identity = 0;

	begin(2);
	receive_hello(5, 51, 1, 0, 1000);
	ck_assert_int_eq(next_step(&voter, &none, 1000, &identity),
			 JOIN_REFUSE);
	ck_assert_int_eq(next_step(&voter, &learner, 1000, &identity),
			 JOIN_NONE);
	/* The join request has expired. */
	voter.last_answer_age_ms = MEMBER_TIMEOUT_MS;
	ck_assert_int_eq(
		next_step(&voter, &none, 1001 + JOIN_REQUEST_TTL_MS, &identity),
		JOIN_NONE);
	/* A learner that timed out is replaced by the next one. */
	learner.last_answer_age_ms = MEMBER_TIMEOUT_MS;
	ck_assert_int_eq(next_step(&voter, &learner, 1000, &identity),
			 JOIN_NONE);
	receive_hello(5, 52, 1, 0, 1000);
	ck_assert_int_eq(next_step(&voter, &learner, 1000, &identity),
			 JOIN_REMOVE);
	ck_assert_uint_eq(identity, 51);
}
END_TEST

/*
 * A control loses its disk, and its VM is back with an empty one. If the leader
 * waits until the old identity times out, the group cannot tolerate another
 * loss meanwhile. The request comes from the slot's own address, which proves
 * that the old process has ended.
 */
START_TEST(replaces_at_once_if_request_is_from_slot_address)
{
	join_member_t none = { 0 };
	join_member_t lost = { 50, 900, 0, 0 };
	join_member_t learner = { 51, 0, 0, 0 };
	uint64_t identity = 0;

	begin(2);
	receive_hello_from(5, 51, &peers.slots[3], 1000);
	ck_assert_int_eq(next_step(&lost, &none, 1000, &identity), JOIN_REFUSE);
	receive_hello_from(5, 51, &peers.slots[5], 1000);
	ck_assert_int_eq(next_step(&lost, &none, 1000, &identity), JOIN_ADD);
	ck_assert_int_eq(next_step(&lost, &learner, 1000, &identity),
			 JOIN_REMOVE);
	ck_assert_uint_eq(identity, 50);
}
END_TEST

/*
 * The error message of an invalid --peers names the value and what is allowed.
 */
START_TEST(refuses_invalid_peers)
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
		lost_disk_does_not_bootstrap_second_group,
		control_without_peers_bootstraps_nothing,
		member_that_is_not_listed_prevents_second_group,
		only_lowest_slot_bootstraps,
		replacement_catches_up_before_promotion,
		forgets_request_of_removed_member,
		removes_learner_that_stays_silent,
		refuses_to_replace_responsive_member,
		replaces_at_once_if_request_is_from_slot_address,
		refuses_invalid_peers,
		NULL,
	};

	return fake_suite_run("bootstrap", tests);
}
