#include "damaskyard/raft.h"

#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "damaskyard/log.h"
#include "fake_group.h"

static fake_group_t *formed_group(uint32_t seed, uint32_t size)
{
	fake_group_t *group = fake_group_create(seed, size);

	ck_assert(fake_group_form(group, 20000));
	fake_group_run(group, 200);
	return group;
}

static void propose_many(fake_group_t *group, int count)
{
	uint64_t wanted = group->acknowledged + (uint64_t)count;
	fake_member_t *leader;
	int i;

	for (i = 0; i < count; i++) {
		leader = fake_group_await_leader(group);
		ck_assert_int_eq(fake_group_propose(group, leader),
				 DY_RAFT_DONE);
	}
	fake_group_run(group, 500);
	ck_assert_uint_ge(group->acknowledged, wanted);
}

static uint64_t counter(const fake_group_t *group, const char *name)
{
	return dy_metrics_value(group->metrics, name);
}

static fake_member_t *other_than(fake_group_t *group,
				 const fake_member_t * not )
{
	return &group->members[(not ->slot + 1) % group->size];
}

START_TEST(group_forms_and_accepts)
{
	fake_group_t *group = formed_group((uint32_t)_i, _i % 2 ? 5 : 3);
	uint64_t elections = counter(group, "raft_elections");

	propose_many(group, 30);
	ck_assert_int_eq(fake_group_read(group, fake_group_leader(group)),
			 DY_RAFT_DONE);
	fake_group_run(group, 3000);
	ck_assert_uint_eq(group->reads, 1);
	ck_assert_uint_eq(counter(group, "raft_elections"), elections);
	fake_group_settle(group);
	fake_group_destroy(group);
}
END_TEST

/*
 * The leading control is frozen. Another one is elected and accepts a new
 * document. The old one is thawed, believes that it leads and is asked for
 * the document in force: it would show the replaced one. Answers to its
 * older rounds wait in its socket and must not count for the new read.
 */
START_TEST(thawed_leader_confirms_no_read)
{
	fake_group_t *group = formed_group((uint32_t)_i, 3);
	fake_member_t *old;

	propose_many(group, 3);
	old = fake_group_leader(group);
	fake_group_step(group, 30);
	old->frozen = 1;
	propose_many(group, 3);
	old->frozen = 0;
	ck_assert_int_eq(dy_raft_role(old->raft), DY_RAFT_LEADER);
	ck_assert_int_eq(fake_group_read(group, old), DY_RAFT_DONE);
	/* The flush comes before it reads its socket or looks at the clock. */
	dy_raft_flush(old->raft);
	fake_group_run(group, 500);
	ck_assert_uint_eq(group->refused_reads, 1);
	ck_assert_uint_eq(group->reads, 0);
	fake_group_settle(group);
	fake_group_destroy(group);
}
END_TEST

/*
 * One control sits behind a cut for a long time and returns. Each election
 * it tried in vain would have raised its term, and its return would depose a
 * healthy leader: changes under way would end as unknown for nothing.
 */
START_TEST(returning_member_disturbs_nobody)
{
	fake_group_t *group = formed_group((uint32_t)_i, 3);
	fake_member_t *leader = fake_group_leader(group);
	fake_member_t *away = other_than(group, leader);
	uint64_t term = dy_raft_term(leader->raft);

	away->side = 1;
	fake_group_run(group, 20000);
	away->side = 0;
	fake_group_run(group, 3000);
	ck_assert_ptr_eq(fake_group_leader(group), leader);
	ck_assert_uint_eq(dy_raft_term(leader->raft), term);
	ck_assert_uint_eq(dy_raft_term(away->raft), term);
	ck_assert_uint_gt(counter(group, "raft_pre_votes"), 10);
	fake_group_destroy(group);
}
END_TEST

/*
 * A member whose way from the leader alone is cut asks for votes in earnest
 * (it was a candidate already). The others hear the leader and must ignore
 * it, term and all, or it would depose the leader again and again.
 */
START_TEST(vote_is_ignored_while_a_leader_is_heard)
{
	fake_group_t *group = formed_group(5, 3);
	fake_member_t *leader = fake_group_leader(group);
	fake_member_t *asked = other_than(group, leader);
	uint64_t term = dy_raft_term(leader->raft);
	dy_raft_message_t ask = { .group = FAKE_GROUP_NUMBER };

	ask.from = dy_raft_id(other_than(group, asked)->raft);
	ask.to = dy_raft_id(asked->raft);
	ask.term = term + 5;
	ask.body.kind = DY_RAFT_VOTE;
	ask.body.dy_raft_body_t_u.vote.last_index = 1000;
	ask.body.dy_raft_body_t_u.vote.last_term = term;
	fake_group_put(group, &ask);
	fake_group_run(group, 1000);
	ck_assert_uint_eq(dy_raft_term(asked->raft), term);
	ck_assert_ptr_eq(fake_group_leader(group), leader);
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
	fake_group_t *group = formed_group(6, 3);
	fake_member_t *leader = fake_group_leader(group);
	fake_member_t *lost = other_than(group, leader);
	dy_member_id_t old = dy_raft_id(lost->raft);
	dy_member_id_t id = old;

	propose_many(group, 100);
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
	fake_group_settle(group);
	fake_group_destroy(group);
}
END_TEST

/*
 * The leader alone is cut off while operators submit to it. They must learn
 * at once that the outcome is unknown, not wait; what it wrote to its log
 * alone is replaced when it returns.
 */
START_TEST(cut_off_leader_steps_down)
{
	fake_group_t *group = formed_group((uint32_t)_i, 3);
	fake_member_t *old = fake_group_leader(group);
	int i;

	old->side = 1;
	for (i = 0; i < 5; i++)
		ck_assert_int_eq(fake_group_propose(group, old), DY_RAFT_DONE);
	ck_assert_int_eq(fake_group_read(group, old), DY_RAFT_DONE);
	fake_group_run(group, 400);
	ck_assert_int_ne(dy_raft_role(old->raft), DY_RAFT_LEADER);
	ck_assert_uint_eq(group->unknown, 5);
	ck_assert_uint_eq(group->refused_reads, 1);
	ck_assert_int_eq(fake_group_propose(group, old), DY_RAFT_NOT_LEADER);
	propose_many(group, 3);
	old->side = 0;
	fake_group_settle(group);
	ck_assert_uint_ge(counter(group, "raft_entries_truncated"), 5);
	fake_group_destroy(group);
}
END_TEST

/*
 * A control's disk is lost and it returns empty. A candidate that has not
 * heard of it asks for the vote of the old identity. Were it given, the
 * control could vote twice in a term, and two leaders could accept.
 */
START_TEST(wiped_member_gives_no_old_vote)
{
	fake_group_t *group = formed_group(3, 3);
	fake_member_t *leader = fake_group_leader(group);
	fake_member_t *wiped = other_than(group, leader);
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
		group->members[i].frozen = 1;
	fake_group_wipe(wiped);
	fake_group_run(group, 50);
	fake_group_start(wiped);
	votes = g_hash_table_size(group->votes);
	fake_group_put(group, &ask);
	fake_group_run(group, 20);
	ck_assert_uint_eq(g_hash_table_size(group->votes), votes);
	ck_assert_uint_gt(counter(group, "raft_refused_identity"), 0);
	ck_assert_uint_eq(dy_raft_term(wiped->raft), 0);
	fake_group_settle(group);
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
	fake_group_t *group = formed_group((uint32_t)_i, 3);
	fake_member_t *first = &group->members[_i % 3];
	fake_member_t *second = other_than(group, first);
	uint64_t accepted;

	propose_many(group, 150);
	fake_group_wipe(first);
	fake_group_start(first);
	ck_assert(fake_group_form(group, 20000));
	fake_group_wipe(second);
	accepted = group->acknowledged_index;
	fake_group_start(second);
	propose_many(group, 2);
	ck_assert_uint_gt(first->applied_index, accepted);
	fake_group_settle(group);
	fake_group_destroy(group);
}
END_TEST

/* A control that was removed asks for votes: it is refused, and counted. */
START_TEST(removed_member_is_refused)
{
	fake_group_t *group = formed_group(4, 3);
	fake_member_t *leader = fake_group_leader(group);
	fake_member_t *removed = other_than(group, leader);
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
	ck_assert_uint_gt(counter(group, "raft_refused_member"), 0);
	ck_assert_uint_gt(counter(group, "raft_not_member"), 0);
	ck_assert_ptr_eq(fake_group_leader(group), leader);
	ck_assert_uint_eq(dy_raft_term(leader->raft), term);
	fake_group_destroy(group);
}
END_TEST

START_TEST(one_voter_a_slot)
{
	fake_group_t *group = formed_group(4, 3);
	fake_member_t *leader = fake_group_leader(group);
	fake_member_t *wiped = other_than(group, leader);
	dy_member_id_t id = { wiped->slot, 0 };

	fake_group_wipe(wiped);
	fake_group_start(wiped);
	id.identity = wiped->identity;
	ck_assert_int_eq(dy_raft_add_learner(leader->raft, id, "x", NULL, NULL),
			 DY_RAFT_DONE);
	fake_group_run(group, 1000);
	ck_assert_int_eq(dy_raft_promote(leader->raft, id, NULL, NULL),
			 DY_RAFT_REFUSED);
	fake_group_settle(group);
	fake_group_destroy(group);
}
END_TEST

/*
 * A control is down while hundreds of changes pass it by. It catches up from
 * the log, or from a snapshot in chunks where the log was cut, also when a
 * third of the datagrams is lost.
 */
START_TEST(catches_up_after_hundreds_of_entries)
{
	fake_group_t *group = formed_group((uint32_t)_i, 3);
	fake_member_t *away = other_than(group, fake_group_leader(group));

	fake_group_crash(away, 1);
	propose_many(group, _i % 2 ? 50 : 700);
	ck_assert(_i % 2 || counter(group, "raft_snapshots_written") > 3);
	fake_group_start(away);
	group->loss = 30;
	fake_group_run(group, 5000);
	ck_assert_uint_ge(away->applied_index, group->acknowledged_index);
	ck_assert(_i % 2 || counter(group, "raft_snapshots_installed") > 0);
	fake_group_settle(group);
	fake_group_destroy(group);
}
END_TEST

/*
 * The leader's disk fails while it takes a change: the change must not be
 * acknowledged by it, the process is told to stop, the others go on.
 */
START_TEST(failing_disk_ends_the_lead)
{
	fake_group_t *group = formed_group((uint32_t)_i, 3);
	fake_member_t *leader = fake_group_leader(group);

	if (_i % 2)
		leader->disk->syncs_left = 0;
	else
		leader->disk->writes_left = 0;
	ck_assert_int_eq(fake_group_propose(group, leader), DY_RAFT_DONE);
	dy_raft_flush(leader->raft);
	ck_assert(leader->disk_failed);
	ck_assert_uint_eq(group->acknowledged, 0);
	ck_assert_uint_eq(group->unknown, 1);
	ck_assert_uint_eq(counter(group, "raft_disk_failed"), 1);
	ck_assert_int_eq(fake_group_propose(group, leader), DY_RAFT_NOT_LEADER);
	propose_many(group, 2);
	fake_group_settle(group);
	fake_group_destroy(group);
}
END_TEST

static void on_transferred(void *context, dy_raft_result_t result,
			   uint64_t index)
{
	*(dy_raft_result_t *)context = result;
}

/*
 * An operator stops the leading control on purpose. Without a transfer the
 * group would be without a leader for an election timeout, and changes under
 * way would end as unknown.
 */
START_TEST(transfer_before_a_planned_stop)
{
	fake_group_t *group = formed_group((uint32_t)_i, 3);
	fake_member_t *leader = fake_group_leader(group);
	dy_raft_result_t result = DY_RAFT_UNKNOWN;
	uint64_t start;

	ck_assert_int_eq(fake_group_propose(group, leader), DY_RAFT_DONE);
	ck_assert_int_eq(
		dy_raft_transfer(leader->raft, on_transferred, &result),
		DY_RAFT_DONE);
	ck_assert_int_eq(fake_group_propose(group, leader), DY_RAFT_BUSY);
	start = group->now_ms;
	while (result == DY_RAFT_UNKNOWN && group->now_ms < start + 1000)
		fake_group_step(group, 5);
	ck_assert_int_eq(result, DY_RAFT_DONE);
	ck_assert_uint_lt(group->now_ms - start, 150);
	ck_assert_uint_eq(group->unknown, 0);
	ck_assert_uint_eq(group->acknowledged, 1);
	fake_group_stop(leader);
	propose_many(group, 3);
	fake_group_settle(group);
	fake_group_destroy(group);
}
END_TEST

/*
 * An entry of an older term stands on a majority, yet another member holds a
 * later term and may still be elected and replace it. Were it committed by
 * counting, an operator's accepted change would be overwritten.
 */
START_TEST(older_term_is_not_committed_by_counting)
{
	fake_group_t *group = formed_group(9, 3);
	fake_member_t *leader = fake_group_leader(group);
	dy_raft_message_t vote = { .group = FAKE_GROUP_NUMBER };
	dy_raft_message_t reply = { .group = FAKE_GROUP_NUMBER };
	dy_raft_append_reply_t *append =
		&reply.body.dy_raft_body_t_u.append_reply;
	uint64_t commit;
	uint64_t index;
	int i;

	for (i = 0; i < 3; i++)
		group->members[i].frozen = &group->members[i] != leader;
	commit = dy_raft_commit_index(leader->raft);
	ck_assert_int_eq(fake_group_propose(group, leader), DY_RAFT_DONE);
	dy_raft_flush(leader->raft);
	index = dy_store_last_index(leader->store);
	fake_group_run(group, 1200);
	vote.from = dy_raft_id(other_than(group, leader)->raft);
	vote.to = dy_raft_id(leader->raft);
	vote.config_index = 1000;
	vote.body.kind = DY_RAFT_VOTE_REPLY;
	vote.body.dy_raft_body_t_u.vote_reply.granted = 1;
	for (i = 0; i < 2; i++) {
		vote.term = dy_raft_term(leader->raft);
		vote.body.dy_raft_body_t_u.vote_reply.pre = !i;
		dy_raft_receive(leader->raft, &vote, group->now_ms);
	}
	ck_assert_int_eq(dy_raft_role(leader->raft), DY_RAFT_LEADER);
	dy_raft_flush(leader->raft);
	reply.from = vote.from;
	reply.to = vote.to;
	reply.config_index = 1000;
	reply.term = dy_raft_term(leader->raft);
	reply.body.kind = DY_RAFT_APPEND_REPLY;
	append->accepted = 1;
	append->prev_index = index - 1;
	append->match_index = index;
	dy_raft_receive(leader->raft, &reply, group->now_ms);
	dy_raft_flush(leader->raft);
	ck_assert_uint_eq(dy_raft_commit_index(leader->raft), commit);
	append->match_index = index + 1;
	dy_raft_receive(leader->raft, &reply, group->now_ms);
	dy_raft_flush(leader->raft);
	ck_assert_uint_eq(dy_raft_commit_index(leader->raft), index + 1);
	fake_group_destroy(group);
}
END_TEST

START_TEST(large_entries_fit_a_message)
{
	fake_group_t *group = formed_group(2, 3);
	char *data = g_malloc0(DY_RAFT_ENTRY_BYTES + 1);
	fake_member_t *leader = fake_group_leader(group);
	uint64_t command;
	int i;

	for (i = 0; i < 4; i++) {
		command = ++group->next_command;
		memcpy(data, &command, sizeof(command));
		ck_assert_int_eq(dy_raft_propose(leader->raft, data,
						 DY_RAFT_ENTRY_BYTES, NULL,
						 NULL),
				 DY_RAFT_DONE);
	}
	ck_assert_int_eq(dy_raft_propose(leader->raft, data,
					 DY_RAFT_ENTRY_BYTES + 1, NULL, NULL),
			 DY_RAFT_REFUSED);
	g_free(data);
	fake_group_run(group, 500);
	ck_assert_uint_eq(dy_raft_commit_index(leader->raft),
			  dy_store_last_index(leader->store));
	fake_group_settle(group);
	fake_group_destroy(group);
}
END_TEST

static void fault_disk(fake_group_t *group, fake_member_t *member)
{
	uint32_t after = g_rand_int_range(group->rand, 0, 40);

	switch (g_rand_int_range(group->rand, 0, 3)) {
	case 0:
		member->disk->writes_left = after;
		member->disk->short_write = g_rand_boolean(group->rand);
		break;
	case 1:
		member->disk->syncs_left = after;
		break;
	default:
		member->disk->operations_left = after;
		break;
	}
}

/* Whether losing a disk now leaves a majority that holds all. */
static int may_wipe(fake_group_t *group)
{
	uint32_t i;

	for (i = 0; i < group->size; i++)
		if (!group->members[i].raft ||
		    dy_raft_failed(group->members[i].raft))
			return 0;
	return fake_group_maintain(group);
}

static void random_fault(fake_group_t *group)
{
	fake_member_t *member = &group->members[g_rand_int_range(
		group->rand, 0, (gint32)group->size)];

	switch (g_rand_int_range(group->rand, 0, 9)) {
	case 0:
		fake_group_crash(member, g_rand_boolean(group->rand));
		break;
	case 1:
		member->frozen = !member->frozen;
		break;
	case 2:
		member->side = !member->side;
		break;
	case 3:
		fault_disk(group, member);
		break;
	case 4:
		if (may_wipe(group)) {
			fake_group_wipe(member);
			fake_group_start(member);
		}
		break;
	case 5:
		group->loss = g_rand_int_range(group->rand, 0, 40);
		group->duplication = g_rand_int_range(group->rand, 0, 30);
		group->delay_ms = g_rand_int_range(group->rand, 1, 80);
		break;
	case 6:
		if (member->raft && !member->frozen)
			(void)dy_raft_transfer(member->raft, on_transferred,
					       &group->last_change);
		break;
	default:
		group->loss = 0;
		member->frozen = 0;
		member->side = 0;
		break;
	}
}

static void repair(fake_group_t *group)
{
	fake_member_t *member;
	uint32_t i;

	for (i = 0; i < group->size; i++) {
		member = &group->members[i];
		if (member->raft && dy_raft_failed(member->raft))
			fake_group_crash(member, 1);
		if (!member->raft && !g_rand_int_range(group->rand, 0, 60))
			fake_group_start(member);
	}
}

/*
 * All faults mixed, by seed; the oracle of the fake group watches every
 * message and callback.
 */
START_TEST(random_run_keeps_every_promise)
{
	fake_group_t *group = formed_group((uint32_t)_i, _i % 4 ? 3 : 5);
	fake_member_t *member;
	int turn;

	for (turn = 0; turn < 3000; turn++) {
		fake_group_step(group, g_rand_int_range(group->rand, 1, 15));
		repair(group);
		member = &group->members[turn % group->size];
		if (member->raft && !member->frozen) {
			(void)fake_group_propose(group, member);
			(void)fake_group_read(group, member);
		}
		if (!g_rand_int_range(group->rand, 0, 40))
			random_fault(group);
		if (!(turn % 7))
			(void)fake_group_maintain(group);
	}
	fake_group_settle(group);
	ck_assert_uint_gt(group->acknowledged, 20);
	ck_assert_uint_gt(group->reads, 10);
	fake_group_destroy(group);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("raft");
	TCase *tcase = tcase_create("raft");
	SRunner *runner;
	int failures;

	dy_log_configure(DY_LOG_ERROR, NULL);
	tcase_add_loop_test(tcase, group_forms_and_accepts, 0, 4);
	tcase_add_loop_test(tcase, thawed_leader_confirms_no_read, 0, 5);
	tcase_add_loop_test(tcase, returning_member_disturbs_nobody, 0, 5);
	tcase_add_test(tcase, vote_is_ignored_while_a_leader_is_heard);
	tcase_add_test(tcase, learner_far_behind_is_not_promoted);
	tcase_add_loop_test(tcase, cut_off_leader_steps_down, 0, 5);
	tcase_add_test(tcase, wiped_member_gives_no_old_vote);
	tcase_add_loop_test(tcase, second_loss_right_after_replacement, 0, 6);
	tcase_add_test(tcase, removed_member_is_refused);
	tcase_add_test(tcase, one_voter_a_slot);
	tcase_add_loop_test(tcase, catches_up_after_hundreds_of_entries, 0, 4);
	tcase_add_loop_test(tcase, failing_disk_ends_the_lead, 0, 4);
	tcase_add_loop_test(tcase, transfer_before_a_planned_stop, 0, 5);
	tcase_add_test(tcase, older_term_is_not_committed_by_counting);
	tcase_add_test(tcase, large_entries_fit_a_message);
	tcase_add_loop_test(tcase, random_run_keeps_every_promise, 0, 200);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
