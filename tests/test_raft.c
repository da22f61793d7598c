#include "damaskyard/raft.h"

#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "damaskyard/log.h"
#include "fake_group.h"

START_TEST(group_forms_and_accepts)
{
	fake_group_t *group =
		fake_group_create_formed((uint32_t)_i, _i % 2 ? 5 : 3);
	uint64_t elections = fake_group_counter(group, "raft_elections");

	fake_group_commit(group, 30);
	ck_assert_int_eq(fake_group_read(group, fake_group_leader(group)),
			 DY_RAFT_DONE);
	fake_group_run(group, 3000);
	ck_assert_uint_eq(group->reads, 1);
	ck_assert_uint_eq(fake_group_counter(group, "raft_elections"),
			  elections);
	fake_group_converge(group);
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
	fake_group_t *group = fake_group_create_formed((uint32_t)_i, 3);
	fake_member_t *old;

	fake_group_commit(group, 3);
	old = fake_group_leader(group);
	fake_group_step(group, 30);
	old->paused = 1;
	fake_group_commit(group, 3);
	old->paused = 0;
	ck_assert_int_eq(dy_raft_role(old->raft), DY_RAFT_LEADER);
	ck_assert_int_eq(fake_group_read(group, old), DY_RAFT_DONE);
	/* The flush comes before it reads its socket or looks at the clock. */
	dy_raft_flush(old->raft);
	fake_group_run(group, 500);
	ck_assert_uint_eq(group->failed_reads, 1);
	ck_assert_uint_eq(group->reads, 0);
	fake_group_converge(group);
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
	fake_group_t *group = fake_group_create_formed((uint32_t)_i, 3);
	fake_member_t *leader = fake_group_leader(group);
	fake_member_t *away = fake_group_other_member(group, leader);
	uint64_t term = dy_raft_term(leader->raft);

	away->partition = 1;
	fake_group_run(group, 20000);
	away->partition = 0;
	fake_group_run(group, 3000);
	ck_assert_ptr_eq(fake_group_leader(group), leader);
	ck_assert_uint_eq(dy_raft_term(leader->raft), term);
	ck_assert_uint_eq(dy_raft_term(away->raft), term);
	ck_assert_uint_gt(fake_group_counter(group, "raft_pre_votes"), 10);
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
	fake_group_t *group = fake_group_create_formed(5, 3);
	fake_member_t *leader = fake_group_leader(group);
	fake_member_t *asked = fake_group_other_member(group, leader);
	uint64_t term = dy_raft_term(leader->raft);
	dy_raft_message_t ask = { .group = FAKE_GROUP_NUMBER };

	ask.from = dy_raft_id(fake_group_other_member(group, asked)->raft);
	ask.to = dy_raft_id(asked->raft);
	ask.term = term + 5;
	ask.body.kind = DY_RAFT_VOTE;
	ask.body.dy_raft_body_t_u.vote.last_index = 1000;
	ask.body.dy_raft_body_t_u.vote.last_term = term;
	fake_group_inject(group, &ask);
	fake_group_run(group, 1000);
	ck_assert_uint_eq(dy_raft_term(asked->raft), term);
	ck_assert_ptr_eq(fake_group_leader(group), leader);
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
	fake_group_t *group = fake_group_create_formed((uint32_t)_i, 3);
	fake_member_t *old = fake_group_leader(group);
	int i;

	old->partition = 1;
	for (i = 0; i < 5; i++)
		ck_assert_int_eq(fake_group_propose(group, old), DY_RAFT_DONE);
	ck_assert_int_eq(fake_group_read(group, old), DY_RAFT_DONE);
	fake_group_run(group, 400);
	ck_assert_int_ne(dy_raft_role(old->raft), DY_RAFT_LEADER);
	ck_assert_uint_eq(group->unknown, 5);
	ck_assert_uint_eq(group->failed_reads, 1);
	ck_assert_int_eq(fake_group_propose(group, old), DY_RAFT_NOT_LEADER);
	fake_group_commit(group, 3);
	old->partition = 0;
	fake_group_converge(group);
	ck_assert_uint_ge(fake_group_counter(group, "raft_entries_truncated"),
			  5);
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
	fake_group_t *group = fake_group_create_formed((uint32_t)_i, 3);
	fake_member_t *away =
		fake_group_other_member(group, fake_group_leader(group));

	fake_group_crash(away, 1);
	fake_group_commit(group, _i % 2 ? 50 : 700);
	ck_assert(_i % 2 ||
		  fake_group_counter(group, "raft_snapshots_written") > 3);
	fake_group_start(away);
	group->loss_percent = 30;
	fake_group_run(group, 5000);
	ck_assert_uint_ge(away->applied_index, group->acknowledged_index);
	ck_assert(_i % 2 ||
		  fake_group_counter(group, "raft_snapshots_installed") > 0);
	fake_group_converge(group);
	fake_group_destroy(group);
}
END_TEST

/*
 * The leader's disk fails while it takes a change: the change must not be
 * acknowledged by it, the process is told to stop, the others go on.
 */
START_TEST(failing_disk_ends_the_lead)
{
	fake_group_t *group = fake_group_create_formed((uint32_t)_i, 3);
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
	ck_assert_uint_eq(fake_group_counter(group, "raft_disk_failed"), 1);
	ck_assert_int_eq(fake_group_propose(group, leader), DY_RAFT_NOT_LEADER);
	fake_group_commit(group, 2);
	fake_group_converge(group);
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
	fake_group_t *group = fake_group_create_formed((uint32_t)_i, 3);
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
	fake_group_commit(group, 3);
	fake_group_converge(group);
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
	fake_group_t *group = fake_group_create_formed(9, 3);
	fake_member_t *leader = fake_group_leader(group);
	dy_raft_message_t vote = { .group = FAKE_GROUP_NUMBER };
	dy_raft_message_t reply = { .group = FAKE_GROUP_NUMBER };
	dy_raft_append_reply_t *append =
		&reply.body.dy_raft_body_t_u.append_reply;
	uint64_t commit;
	uint64_t index;
	int i;

	for (i = 0; i < 3; i++)
		group->members[i].paused = &group->members[i] != leader;
	commit = dy_raft_commit_index(leader->raft);
	ck_assert_int_eq(fake_group_propose(group, leader), DY_RAFT_DONE);
	dy_raft_flush(leader->raft);
	index = dy_store_last_index(leader->store);
	fake_group_run(group, 1200);
	vote.from = dy_raft_id(fake_group_other_member(group, leader)->raft);
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

/* From the start of the member that makes a majority, in ms. */
static uint64_t wait_for_leader(uint32_t seed)
{
	fake_group_t *group = fake_group_create_formed(seed, 3);
	uint64_t since_ms;
	uint64_t took_ms;
	int i;

	for (i = 0; i < 3; i++)
		fake_group_crash(&group->members[i], 1);
	group->first_election_ms = 75;
	fake_group_start(&group->members[0]);
	fake_group_run(group, 200);
	ck_assert_ptr_null(fake_group_leader(group));
	fake_group_start(&group->members[1]);
	since_ms = group->now_ms;
	while (!fake_group_leader(group) && group->now_ms - since_ms < 2000)
		fake_group_step(group, 1);
	took_ms = group->now_ms - since_ms;
	fake_group_start(&group->members[2]);
	fake_group_converge(group);
	fake_group_destroy(group);
	return took_ms;
}

/*
 * Power is back, and controls start one after the other. Until the majority is
 * there the first asks for votes in vain, and then it slept for an election's
 * full time while every balancer waited for a leader.
 */
START_TEST(early_starter_asks_again_soon)
{
	uint64_t sum_ms = 0;
	uint32_t seed;

	for (seed = 0; seed < 20; seed++)
		sum_ms += wait_for_leader(seed);
	ck_assert_uint_lt(sum_ms, 20 * 75);
}
END_TEST

/* From the start of all five members at one moment to a leader, in ms. */
static uint64_t wait_after_power_loss(uint32_t seed)
{
	fake_group_t *group = fake_group_create_formed(seed, 5);
	uint64_t since_ms;
	uint64_t took_ms;
	int i;

	for (i = 0; i < 5; i++)
		fake_group_crash(&group->members[i], 1);
	group->first_election_ms = 75;
	/* What was under way between them is gone by then. */
	fake_group_run(group, 200);
	for (i = 0; i < 5; i++)
		fake_group_start(&group->members[i]);
	since_ms = group->now_ms;
	while (!fake_group_leader(group) && group->now_ms - since_ms < 5000)
		fake_group_step(group, 1);
	took_ms = group->now_ms - since_ms;
	fake_group_converge(group);
	fake_group_destroy(group);
	return took_ms;
}

/* Two call an election at once, split the votes, and everybody waits long. */
START_TEST(split_first_election_is_called_again_soon)
{
	uint64_t took_ms;
	uint32_t seed;

	for (seed = 0; seed < 200; seed++) {
		took_ms = wait_after_power_loss(seed);
		ck_assert_uint_lt(took_ms, 300);
	}
}
END_TEST

START_TEST(large_entries_fit_a_message)
{
	fake_group_t *group = fake_group_create_formed(2, 3);
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
	fake_group_converge(group);
	fake_group_destroy(group);
}
END_TEST

/*
 * All members ask a leader at once, and on its small part of a core it is busy
 * with them for nearly an election's time. When it looks at its clock again its
 * followers' answers wait in its socket. It takes its own delay for their
 * silence, gives up the lead, and whoever is elected finds the same crowd.
 */
START_TEST(leader_that_was_late_itself_keeps_the_lead)
{
	fake_group_t *group = fake_group_create_formed((uint32_t)_i, 5);
	fake_member_t *leader;
	uint64_t lost;
	int i;

	fake_group_commit(group, 3);
	leader = fake_group_leader(group);
	lost = fake_group_counter(group, "raft_quorum_lost");
	leader->paused = 1;
	for (i = 0; i < 28; i++)
		fake_group_step(group, 10);
	leader->paused = 0;
	/* Timers run before sockets are read. */
	dy_raft_tick(leader->raft, group->now_ms + 30);
	ck_assert_int_eq(dy_raft_role(leader->raft), DY_RAFT_LEADER);
	fake_group_run(group, 1000);
	ck_assert_uint_eq(fake_group_counter(group, "raft_quorum_lost"), lost);
	ck_assert_ptr_eq(fake_group_leader(group), leader);
	fake_group_converge(group);
	fake_group_destroy(group);
}
END_TEST

/*
 * The same for a follower: the leader's heartbeats wait in its socket, and it
 * asks the others for their votes as if there were none.
 */
START_TEST(follower_that_was_late_itself_calls_no_election)
{
	fake_group_t *group = fake_group_create_formed((uint32_t)_i, 5);
	fake_member_t *leader;
	fake_member_t *late;
	uint64_t asked;
	int i;

	fake_group_commit(group, 3);
	leader = fake_group_leader(group);
	late = fake_group_other_member(group, leader);
	asked = fake_group_counter(group, "raft_pre_votes");
	late->paused = 1;
	for (i = 0; i < 100; i++)
		fake_group_step(group, 10);
	late->paused = 0;
	dy_raft_tick(late->raft, group->now_ms);
	ck_assert_int_eq(dy_raft_role(late->raft), DY_RAFT_FOLLOWER);
	fake_group_run(group, 1000);
	ck_assert_uint_eq(fake_group_counter(group, "raft_pre_votes"), asked);
	fake_group_converge(group);
	fake_group_destroy(group);
}
END_TEST

/*
 * A leader's own delay excuses nobody for longer than it lasted: one that is
 * cut off after it steps down as before.
 */
START_TEST(delay_excuses_no_later_silence)
{
	fake_group_t *group = fake_group_create_formed((uint32_t)_i, 3);
	fake_member_t *leader;
	int i;

	fake_group_commit(group, 3);
	leader = fake_group_leader(group);
	leader->paused = 1;
	for (i = 0; i < 28; i++)
		fake_group_step(group, 10);
	leader->paused = 0;
	leader->partition = 1;
	for (i = 0; i < 60; i++)
		fake_group_step(group, 10);
	ck_assert_int_ne(dy_raft_role(leader->raft), DY_RAFT_LEADER);
	leader->partition = 0;
	fake_group_converge(group);
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
	tcase_add_loop_test(tcase, cut_off_leader_steps_down, 0, 5);
	tcase_add_loop_test(tcase, catches_up_after_hundreds_of_entries, 0, 4);
	tcase_add_loop_test(tcase, failing_disk_ends_the_lead, 0, 4);
	tcase_add_loop_test(tcase, transfer_before_a_planned_stop, 0, 5);
	tcase_add_test(tcase, older_term_is_not_committed_by_counting);
	tcase_add_loop_test(tcase, leader_that_was_late_itself_keeps_the_lead,
			    0, 5);
	tcase_add_loop_test(
		tcase, follower_that_was_late_itself_calls_no_election, 0, 5);
	tcase_add_loop_test(tcase, delay_excuses_no_later_silence, 0, 5);
	tcase_add_test(tcase, early_starter_asks_again_soon);
	tcase_add_test(tcase, split_first_election_is_called_again_soon);
	tcase_add_test(tcase, large_entries_fit_a_message);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
