#include "damaskyard/raft.h"

#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "damaskyard/log.h"
#include "fake_group.h"

START_TEST(forms_group_and_commits)
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
 * Stale read: the leader is paused, and another one is elected and accepts a
 * new document. The old leader resumes, still in the leader role, and is asked
 * for the document in force. Replies to its older rounds wait in its socket and
 * must not confirm the new read.
 */
START_TEST(refuses_read_on_stale_leader_after_pause)
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
	/* It flushes before it reads its socket or its clock. */
	dy_raft_flush(old->raft);
	fake_group_run(group, 500);
	ck_assert_uint_eq(group->failed_reads, 1);
	ck_assert_uint_eq(group->reads, 0);
	fake_group_converge(group);
	fake_group_destroy(group);
}
END_TEST

/*
 * A control is partitioned for a long time and returns. Without pre-votes each
 * of its failed elections increments its term, and its return deposes a healthy
 * leader, so that changes in progress end as unknown.
 */
START_TEST(keeps_leader_when_partitioned_member_returns)
{
	fake_group_t *group = fake_group_create_formed((uint32_t)_i, 3);
	fake_member_t *leader = fake_group_leader(group);
	fake_member_t *absent = fake_group_other_member(group, leader);
	uint64_t term = dy_raft_term(leader->raft);

	absent->partition = 1;
	fake_group_run(group, 20000);
	absent->partition = 0;
	fake_group_run(group, 3000);
	ck_assert_ptr_eq(fake_group_leader(group), leader);
	ck_assert_uint_eq(dy_raft_term(leader->raft), term);
	ck_assert_uint_eq(dy_raft_term(absent->raft), term);
	ck_assert_uint_gt(fake_group_counter(group, "raft_pre_votes"), 10);
	fake_group_destroy(group);
}
END_TEST

/*
 * A member that is cut off from the leader only sends a vote request, not a
 * pre-vote, since it was a candidate already. The others hear the leader and
 * must ignore the request and its term, or it deposes the leader repeatedly.
 */
START_TEST(ignores_vote_request_while_leader_is_alive)
{
	fake_group_t *group = fake_group_create_formed(5, 3);
	fake_member_t *leader = fake_group_leader(group);
	fake_member_t *voter = fake_group_other_member(group, leader);
	uint64_t term = dy_raft_term(leader->raft);
	dy_raft_message_t request = { .group = FAKE_GROUP_NUMBER };

	request.from = dy_raft_id(fake_group_other_member(group, voter)->raft);
	request.to = dy_raft_id(voter->raft);
	request.term = term + 5;
	request.body.kind = DY_RAFT_VOTE;
	request.body.dy_raft_body_t_u.vote.last_index = 1000;
	request.body.dy_raft_body_t_u.vote.last_term = term;
	fake_group_inject(group, &request);
	fake_group_run(group, 1000);
	ck_assert_uint_eq(dy_raft_term(voter->raft), term);
	ck_assert_ptr_eq(fake_group_leader(group), leader);
	fake_group_destroy(group);
}
END_TEST

/*
 * The leader is partitioned while operators submit to it. Their proposals must
 * end at once as unknown instead of waiting. The entries that it alone has are
 * replaced when it returns.
 */
START_TEST(partitioned_leader_steps_down)
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
 * A control is down while hundreds of changes are committed. It must catch up
 * from the log, or from a snapshot in chunks where the log was truncated, also
 * at 30 % datagram loss.
 */
START_TEST(restarted_member_catches_up)
{
	fake_group_t *group = fake_group_create_formed((uint32_t)_i, 3);
	fake_member_t *absent =
		fake_group_other_member(group, fake_group_leader(group));

	fake_group_crash(absent, 1);
	fake_group_commit(group, _i % 2 ? 50 : 700);
	ck_assert(_i % 2 ||
		  fake_group_counter(group, "raft_snapshots_written") > 3);
	fake_group_start(absent);
	group->loss_percent = 30;
	fake_group_run(group, 5000);
	ck_assert_uint_ge(absent->applied_index, group->acknowledged_index);
	ck_assert(_i % 2 ||
		  fake_group_counter(group, "raft_snapshots_installed") > 0);
	fake_group_converge(group);
	fake_group_destroy(group);
}
END_TEST

/*
 * The leader's disk fails while it writes a change. It must not acknowledge the
 * change and must report the failure, so that the process stops. The others
 * continue.
 */
START_TEST(leader_steps_down_on_disk_failure)
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
 * An operator stops the leader. Without a transfer the group has no leader for
 * an election timeout, and changes in progress end as unknown.
 */
START_TEST(transfers_leadership_before_planned_stop)
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

/* Two leaders that stop at once pass the leadership to each other. */
START_TEST(transfers_leadership_past_member_that_stops_too)
{
	fake_group_t *group = fake_group_create_formed((uint32_t)_i, 3);
	fake_member_t *leader = fake_group_leader(group);
	fake_member_t *stops = fake_group_other_member(group, leader);
	fake_member_t *stays = fake_group_other_member(group, stops);
	dy_raft_result_t result = DY_RAFT_UNKNOWN;
	uint64_t end = group->now_ms + 2000;

	dy_raft_refuse_leadership(leader->raft);
	dy_raft_refuse_leadership(stops->raft);
	while (result != DY_RAFT_DONE && group->now_ms < end) {
		dy_raft_transfer(leader->raft, on_transferred, &result);
		fake_group_run(group, 20);
		ck_assert_int_ne(dy_raft_role(stops->raft), DY_RAFT_LEADER);
	}
	ck_assert_int_eq(result, DY_RAFT_DONE);
	ck_assert_ptr_eq(fake_group_leader(group), stays);
	fake_group_stop(leader);
	fake_group_stop(stops);
	fake_group_start(leader);
	fake_group_start(stops);
	fake_group_commit(group, 3);
	fake_group_converge(group);
	fake_group_destroy(group);
}
END_TEST

/*
 * An entry of an older term is on a majority, but another member has a later
 * term and may still be elected and replace it. If the entry was committed by
 * counting replicas, an operator's accepted change would be overwritten.
 */
START_TEST(does_not_commit_older_term_by_counting)
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

/*
 * Time from the start of the member that completes a majority to a leader, in
 * ms.
 */
static uint64_t measure_late_majority_election(uint32_t seed)
{
	fake_group_t *group = fake_group_create_formed(seed, 3);
	uint64_t start_ms;
	uint64_t elapsed_ms;
	int i;

	for (i = 0; i < 3; i++)
		fake_group_crash(&group->members[i], 1);
	group->first_election_ms = 75;
	fake_group_start(&group->members[0]);
	fake_group_run(group, 200);
	ck_assert_ptr_null(fake_group_leader(group));
	fake_group_start(&group->members[1]);
	start_ms = group->now_ms;
	while (!fake_group_leader(group) && group->now_ms - start_ms < 2000)
		fake_group_step(group, 1);
	elapsed_ms = group->now_ms - start_ms;
	fake_group_start(&group->members[2]);
	fake_group_converge(group);
	fake_group_destroy(group);
	return elapsed_ms;
}

/*
 * After a power loss the controls start one after the other. The first one
 * cannot win an election until a majority is up. If it waits for a full
 * election timeout after each attempt, every balancer waits for a leader
 * meanwhile.
 */
START_TEST(retries_first_election_until_majority_is_up)
{
	uint64_t sum_ms = 0;
	uint32_t seed;

	for (seed = 0; seed < 20; seed++)
		sum_ms += measure_late_majority_election(seed);
	ck_assert_uint_lt(sum_ms, 20 * 75);
}
END_TEST

/* Time from the start of all five members at once to a leader, in ms. */
static uint64_t measure_power_loss_election(uint32_t seed)
{
	fake_group_t *group = fake_group_create_formed(seed, 5);
	uint64_t start_ms;
	uint64_t elapsed_ms;
	int i;

	for (i = 0; i < 5; i++)
		fake_group_crash(&group->members[i], 1);
	group->first_election_ms = 75;
	/* By then no datagram is in flight. */
	fake_group_run(group, 200);
	for (i = 0; i < 5; i++)
		fake_group_start(&group->members[i]);
	start_ms = group->now_ms;
	while (!fake_group_leader(group) && group->now_ms - start_ms < 5000)
		fake_group_step(group, 1);
	elapsed_ms = group->now_ms - start_ms;
	fake_group_converge(group);
	fake_group_destroy(group);
	return elapsed_ms;
}

/*
 * Two members start the first election at once and split the votes. If they
 * retry only after a full election timeout, the group waits that long for a
 * leader.
 */
START_TEST(retries_split_first_election_early)
{
	uint64_t elapsed_ms;
	uint32_t seed;

	for (seed = 0; seed < 200; seed++) {
		elapsed_ms = measure_power_loss_election(seed);
		ck_assert_uint_lt(elapsed_ms, 300);
	}
}
END_TEST

START_TEST(replicates_entries_of_maximum_size)
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
 * Load pattern: all members send requests to the leader at once, and on its
 * fraction of a core it is busy with them for nearly an election timeout. When
 * it reads its clock again, its followers' replies wait in its socket. If it
 * counts its own delay as their timeout, it steps down, and the next leader
 * meets the same burst.
 */
START_TEST(leader_keeps_leadership_after_own_delay)
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
 * The same delay at a follower: the leader's heartbeats wait in its socket, and
 * it must not start a pre-vote as if there were no leader.
 */
START_TEST(follower_calls_no_election_after_own_delay)
{
	fake_group_t *group = fake_group_create_formed((uint32_t)_i, 5);
	fake_member_t *leader;
	fake_member_t *delayed;
	uint64_t pre_votes;
	int i;

	fake_group_commit(group, 3);
	leader = fake_group_leader(group);
	delayed = fake_group_other_member(group, leader);
	pre_votes = fake_group_counter(group, "raft_pre_votes");
	delayed->paused = 1;
	for (i = 0; i < 100; i++)
		fake_group_step(group, 10);
	delayed->paused = 0;
	dy_raft_tick(delayed->raft, group->now_ms);
	ck_assert_int_eq(dy_raft_role(delayed->raft), DY_RAFT_FOLLOWER);
	fake_group_run(group, 1000);
	ck_assert_uint_eq(fake_group_counter(group, "raft_pre_votes"),
			  pre_votes);
	fake_group_converge(group);
	fake_group_destroy(group);
}
END_TEST

/*
 * A leader excludes no more than its own delay from the others' timeouts: if it
 * is partitioned after the delay, it must step down as usual.
 */
START_TEST(partitioned_leader_steps_down_after_own_delay)
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
	tcase_add_loop_test(tcase, forms_group_and_commits, 0, 4);
	tcase_add_loop_test(tcase, refuses_read_on_stale_leader_after_pause, 0,
			    5);
	tcase_add_loop_test(tcase, keeps_leader_when_partitioned_member_returns,
			    0, 5);
	tcase_add_test(tcase, ignores_vote_request_while_leader_is_alive);
	tcase_add_loop_test(tcase, partitioned_leader_steps_down, 0, 5);
	tcase_add_loop_test(tcase, restarted_member_catches_up, 0, 4);
	tcase_add_loop_test(tcase, leader_steps_down_on_disk_failure, 0, 4);
	tcase_add_loop_test(tcase, transfers_leadership_before_planned_stop, 0,
			    5);
	tcase_add_loop_test(
		tcase, transfers_leadership_past_member_that_stops_too, 0, 5);
	tcase_add_test(tcase, does_not_commit_older_term_by_counting);
	tcase_add_loop_test(tcase, leader_keeps_leadership_after_own_delay, 0,
			    5);
	tcase_add_loop_test(tcase, follower_calls_no_election_after_own_delay,
			    0, 5);
	tcase_add_loop_test(
		tcase, partitioned_leader_steps_down_after_own_delay, 0, 5);
	tcase_add_test(tcase, retries_first_election_until_majority_is_up);
	tcase_add_test(tcase, retries_split_first_election_early);
	tcase_add_test(tcase, replicates_entries_of_maximum_size);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
