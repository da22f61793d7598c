#include "damaskyard/raft.h"

#include <stdlib.h>

#include <check.h>

#include "damaskyard/log.h"
#include "fake_group.h"

/*
 * A control's disk is lost and it returns empty. A candidate that has not
 * heard of it asks for the vote of the old identity. Were it given, the
 * control could vote twice in a term, and two leaders could accept.
 */
START_TEST(wiped_member_gives_no_old_vote)
{
	fake_group_t *group = fake_group_create_formed(3, 3);
	fake_member_t *leader = fake_group_leader(group);
	fake_member_t *wiped = fake_group_other_member(group, leader);
	dy_raft_message_t ask = { .group = FAKE_GROUP_NUMBER };
	uint64_t votes;
	int i;

	ask.from = dy_raft_id(leader->raft);
	ask.to = dy_raft_id(wiped->raft);
	ask.term = dy_raft_term(leader->raft) + 5;
	ask.config_index = 1000;
	ask.body.kind = DY_RAFT_VOTE;
	ask.body.dy_raft_body_t_u.vote.last_index = 1000;
	ask.body.dy_raft_body_t_u.vote.last_term = ask.term;
	for (i = 0; i < 3; i++)
		group->members[i].paused = 1;
	fake_group_wipe(wiped);
	fake_group_run(group, 50);
	fake_group_start(wiped);
	votes = g_hash_table_size(group->votes);
	fake_group_inject(group, &ask);
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
 * A lost control is replaced, and at once a second one loses its disk. What
 * the operators were told is accepted must still be there, on one old member
 * and the new one, and the group must go on.
 */
START_TEST(second_loss_right_after_replacement)
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

/* A control that was removed asks for votes: it is refused, and counted. */
START_TEST(removed_member_is_refused)
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

START_TEST(one_voter_a_slot)
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

/*
 * An operator promotes a control that is not reachable yet. It would count
 * for the majority at once, and the next loss would stop the group until it
 * had the whole state.
 */
START_TEST(learner_far_behind_is_not_promoted)
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
	tcase_add_test(tcase, wiped_member_gives_no_old_vote);
	tcase_add_loop_test(tcase, second_loss_right_after_replacement, 0, 6);
	tcase_add_test(tcase, removed_member_is_refused);
	tcase_add_test(tcase, one_voter_a_slot);
	tcase_add_test(tcase, learner_far_behind_is_not_promoted);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
