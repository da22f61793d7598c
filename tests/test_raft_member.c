#include "damaskyard/raft.h"

#include <stdlib.h>

#include <check.h>

#include "damaskyard/log.h"
#include "fake_group.h"

/*
 * A control loses its disk and returns empty. A candidate without this
 * information requests the vote of the old identity. If it was granted, the
 * control could vote twice in a term, and two leaders could accept changes.
 */
START_TEST(wiped_member_refuses_vote_for_old_identity)
{
	fake_group_t *group = fake_group_create_formed(3, 3);
	fake_member_t *leader = fake_group_leader(group);
	fake_member_t *wiped = fake_group_other_member(group, leader);
	dy_raft_message_t request = { .group = FAKE_GROUP_NUMBER };
	uint64_t votes;
	int i;

	request.from = dy_raft_id(leader->raft);
	request.to = dy_raft_id(wiped->raft);
	request.term = dy_raft_term(leader->raft) + 5;
	request.config_index = 1000;
	request.body.kind = DY_RAFT_VOTE;
	request.body.dy_raft_body_t_u.vote.last_index = 1000;
	request.body.dy_raft_body_t_u.vote.last_term = request.term;
	for (i = 0; i < 3; i++)
		group->members[i].paused = 1;
	fake_group_wipe(wiped);
	fake_group_run(group, 50);
	fake_group_start(wiped);
	votes = g_hash_table_size(group->votes);
	fake_group_inject(group, &request);
	fake_group_run(group, 20);
	ck_assert_uint_eq(g_hash_table_size(group->votes), votes);
	ck_assert_uint_gt(fake_group_counter(group, "raft_refused_identity"),
			  0);
	ck_assert_uint_eq(dy_raft_term(wiped->raft), 0);
	fake_group_converge(group);
	fake_group_destroy(group);
}
END_TEST

/*
 * A lost control is replaced, and a second one loses its disk right after that.
 * All acknowledged changes must still be on the remaining old member and the
 * new one, and the group must continue.
 */
START_TEST(keeps_commits_if_second_disk_is_lost_after_replacement)
{
	fake_group_t *group = fake_group_create_formed((uint32_t)_i, 3);
	fake_member_t *first = &group->members[_i % 3];
	fake_member_t *second = fake_group_other_member(group, first);
	uint64_t accepted;

	fake_group_commit(group, 150);
	fake_group_wipe(first);
	fake_group_start(first);
	ck_assert(fake_group_form(group, 20000));
	fake_group_wipe(second);
	accepted = group->acknowledged_index;
	fake_group_start(second);
	fake_group_commit(group, 2);
	ck_assert_uint_gt(first->applied_index, accepted);
	fake_group_converge(group);
	fake_group_destroy(group);
}
END_TEST

/* A removed control requests votes, which are refused and counted. */
START_TEST(removed_member_is_refused_and_counted)
{
	fake_group_t *group = fake_group_create_formed(4, 3);
	fake_member_t *leader = fake_group_leader(group);
	fake_member_t *removed = fake_group_other_member(group, leader);
	uint64_t term = dy_raft_term(leader->raft);

	ck_assert_int_eq(dy_raft_remove(leader->raft, dy_raft_id(leader->raft),
					NULL, NULL),
			 DY_RAFT_REFUSED);
	ck_assert_int_eq(dy_raft_remove(leader->raft, dy_raft_id(removed->raft),
					NULL, NULL),
			 DY_RAFT_DONE);
	ck_assert_int_eq(dy_raft_remove(leader->raft, dy_raft_id(removed->raft),
					NULL, NULL),
			 DY_RAFT_BUSY);
	fake_group_run(group, 5000);
	ck_assert_uint_gt(fake_group_counter(group, "raft_refused_member"), 0);
	ck_assert_uint_gt(fake_group_counter(group, "raft_not_member"), 0);
	ck_assert_ptr_eq(fake_group_leader(group), leader);
	ck_assert_uint_eq(dy_raft_term(leader->raft), term);
	fake_group_destroy(group);
}
END_TEST

START_TEST(refuses_second_voter_in_slot)
{
	fake_group_t *group = fake_group_create_formed(4, 3);
	fake_member_t *leader = fake_group_leader(group);
	fake_member_t *wiped = fake_group_other_member(group, leader);
	dy_voter_id_t id = { wiped->slot, 0 };

	fake_group_wipe(wiped);
	fake_group_start(wiped);
	id.identity = wiped->identity;
	ck_assert_int_eq(dy_raft_add_learner(leader->raft, id, "x", NULL, NULL),
			 DY_RAFT_DONE);
	fake_group_run(group, 1000);
	ck_assert_int_eq(dy_raft_promote(leader->raft, id, NULL, NULL),
			 DY_RAFT_REFUSED);
	fake_group_converge(group);
	fake_group_destroy(group);
}
END_TEST

/* A learner names a leader that is gone, and never asks for another one. */
START_TEST(learner_forgets_leader_that_is_gone)
{
	fake_group_t *group = fake_group_create_formed(5, 3);
	fake_member_t *leader = fake_group_leader(group);
	fake_member_t *learner = fake_group_other_member(group, leader);
	dy_voter_id_t id = { learner->slot, 0 };

	fake_group_wipe(learner);
	fake_group_start(learner);
	id.identity = learner->identity;
	ck_assert_int_eq(dy_raft_add_learner(leader->raft, id, "x", NULL, NULL),
			 DY_RAFT_DONE);
	fake_group_run(group, 1000);
	ck_assert_uint_ne(dy_raft_leader(learner->raft).identity, 0);
	learner->partition = 1;
	fake_group_run(group, 2000);
	ck_assert_uint_eq(dy_raft_leader(learner->raft).identity, 0);
	learner->partition = 0;
	fake_group_run(group, 500);
	ck_assert(dy_voter_id_equal(dy_raft_leader(learner->raft),
				    dy_raft_id(leader->raft)));
	fake_group_converge(group);
	fake_group_destroy(group);
}
END_TEST

/*
 * An operator promotes a control that is not reachable yet. It would count for
 * the majority at once, and the next loss would stop the group until it had the
 * whole state.
 */
START_TEST(refuses_to_promote_lagging_learner)
{
	fake_group_t *group = fake_group_create_formed(6, 3);
	fake_member_t *leader = fake_group_leader(group);
	fake_member_t *lost = fake_group_other_member(group, leader);
	dy_voter_id_t old = dy_raft_id(lost->raft);
	dy_voter_id_t id = old;

	fake_group_commit(group, 100);
	fake_group_wipe(lost);
	id.identity = lost->identity;
	ck_assert_int_eq(dy_raft_add_learner(leader->raft, id, "x", NULL, NULL),
			 DY_RAFT_DONE);
	fake_group_run(group, 200);
	ck_assert_int_eq(dy_raft_remove(leader->raft, old, NULL, NULL),
			 DY_RAFT_DONE);
	fake_group_run(group, 200);
	ck_assert_int_eq(dy_raft_promote(leader->raft, id, NULL, NULL),
			 DY_RAFT_BUSY);
	fake_group_start(lost);
	fake_group_run(group, 1000);
	ck_assert_int_eq(dy_raft_promote(leader->raft, id, NULL, NULL),
			 DY_RAFT_DONE);
	ck_assert_int_eq(dy_raft_bootstrap(leader->raft, "x"), DY_RAFT_REFUSED);
	fake_group_converge(group);
	fake_group_destroy(group);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("raft_member");
	TCase *tcase = tcase_create("raft_member");
	SRunner *runner;
	int failures;

	dy_log_configure(DY_LOG_ERROR, NULL);
	tcase_add_test(tcase, wiped_member_refuses_vote_for_old_identity);
	tcase_add_loop_test(
		tcase, keeps_commits_if_second_disk_is_lost_after_replacement,
		0, 6);
	tcase_add_test(tcase, removed_member_is_refused_and_counted);
	tcase_add_test(tcase, refuses_second_voter_in_slot);
	tcase_add_test(tcase, learner_forgets_leader_that_is_gone);
	tcase_add_test(tcase, refuses_to_promote_lagging_learner);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
