/* Members, their leases and what they are told. */

#include "damaskyard/registry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "fake_registry.h"
#include "fake_user.h"

static fake_user_t user;

static void setup(void)
{
	user.registry = dy_registry_create(NULL);
}

static void teardown(void)
{
	dy_registry_destroy(user.registry);
}

/*
 * A machine is taken for dead and replaced; the replacement serves under its
 * name, then the old one's network heals. Callers' tokens would name two
 * processes, each with its own record of what ran.
 */
START_TEST(name_passes_on_only_when_its_lease_ran_out)
{
	dy_poll_t older = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 1);
	dy_poll_t newer = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 2);

	ck_assert_int_eq(fake_user_poll(&user, &older), DY_STATUS_OK);
	ck_assert_int_eq(fake_user_poll(&user, &newer), DY_STATUS_NAME_TAKEN);
	fake_user_mark(&user, &older, DY_MARK_SUSPECT);
	ck_assert_int_eq(fake_user_poll(&user, &newer), DY_STATUS_OK);
	ck_assert_uint_gt(newer.incarnation, older.incarnation);
	ck_assert_int_eq(fake_user_poll(&user, &older), DY_STATUS_SUPERSEDED);
	older.incarnation = 0;
	older.state_version = 0;
	ck_assert_int_eq(fake_user_poll(&user, &older), DY_STATUS_NAME_TAKEN);
	ck_assert_int_eq(fake_user_poll(&user, &newer), DY_STATUS_OK);
}
END_TEST

/*
 * A process is killed and started again within its lease. It would wait for
 * seconds until its own name is free, and serve nobody meanwhile. A copy of
 * the old process's first poll that was held up must not bring that one back.
 */
START_TEST(restart_at_the_same_address_need_not_wait)
{
	dy_poll_t older = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 1);
	dy_poll_t newer = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 2);
	dy_poll_t held_up = older;

	newer.info.address = older.info.address;
	ck_assert_int_eq(fake_user_poll(&user, &older), DY_STATUS_OK);
	ck_assert_int_eq(fake_user_poll(&user, &newer), DY_STATUS_OK);
	ck_assert_uint_gt(newer.incarnation, older.incarnation);
	ck_assert_int_eq(fake_user_poll(&user, &older), DY_STATUS_SUPERSEDED);
	ck_assert_int_eq(fake_user_poll(&user, &held_up), DY_STATUS_NAME_TAKEN);
	ck_assert_int_eq(fake_user_poll(&user, &newer), DY_STATUS_OK);
}
END_TEST

/*
 * Two machines start under one name at the same moment: both joins are
 * judged before either is committed, and both would be granted.
 */
START_TEST(one_of_two_joins_under_way_is_granted)
{
	dy_poll_t one = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 1);
	dy_poll_t two = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 2);
	dy_command_t first;
	dy_command_t second;
	dy_status_t status;

	dy_registry_evaluate_poll(user.registry, &one, &first, &status);
	dy_registry_evaluate_poll(user.registry, &two, &second, &status);
	fake_registry_apply(user.registry, &first);
	fake_registry_apply(user.registry, &second);
	ck_assert_int_eq(fake_user_poll(&user, &two), DY_STATUS_NAME_TAKEN);
	ck_assert_int_eq(fake_user_poll(&user, &one), DY_STATUS_OK);
	ck_assert_uint_eq(one.incarnation, 1);
}
END_TEST

/*
 * A lost answer to the first poll: the member polls again without an
 * incarnation, and is told that its name is taken, by itself.
 */
START_TEST(resent_join_gets_the_same_incarnation)
{
	dy_poll_t poll = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 1);
	uint64_t granted;

	fake_user_poll(&user, &poll);
	granted = poll.incarnation;
	poll.incarnation = 0;
	ck_assert_int_eq(fake_user_poll(&user, &poll), DY_STATUS_OK);
	ck_assert_uint_eq(poll.incarnation, granted);
}
END_TEST

/* A slow network costs a lease, not the sessions of the incarnation. */
START_TEST(suspect_that_polls_again_is_back)
{
	dy_poll_t poll = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 1);
	uint64_t granted;

	fake_user_poll(&user, &poll);
	granted = poll.incarnation;
	fake_user_mark(&user, &poll, DY_MARK_SUSPECT);
	ck_assert_int_eq(fake_user_poll(&user, &poll), DY_STATUS_OK);
	ck_assert_uint_eq(poll.incarnation, granted);
	ck_assert_int_eq(user.deltas[0].dy_delta_t_u.member.state,
			 DY_MEMBER_SERVING);
}
END_TEST

/*
 * After an election every member is marked suspect at once and no balancer
 * has a target: the new leader has not heard anyone yet.
 */
START_TEST(new_leader_gives_every_member_a_full_lease)
{
	const dy_lease_times_t times = { 3000, 60000 };
	dy_poll_t a = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 1);
	dy_poll_t b = fake_user_member(DY_MEMBER_AGENT, "b", "readings", 2);
	dy_member_mark_t mark;

	dy_registry_set_clock(user.registry, 1000);
	fake_user_poll(&user, &a);
	fake_user_poll(&user, &b);
	dy_registry_set_clock(user.registry, 50000);
	dy_registry_restart_leases(user.registry);
	ck_assert(!dy_registry_next_mark(user.registry, &times, &mark));
	dy_registry_set_clock(user.registry, 52999);
	fake_user_poll(&user, &b);
	dy_registry_set_clock(user.registry, 53000);
	ck_assert(dy_registry_next_mark(user.registry, &times, &mark));
	ck_assert_uint_eq(mark.incarnation, a.incarnation);
	ck_assert_int_eq(mark.mark, DY_MARK_SUSPECT);
	ck_assert(!dy_registry_next_mark(user.registry, &times, &mark));
	mark.incarnation = a.incarnation;
	mark.id = dy_member_id("trial", DY_MEMBER_AGENT, "a");
	dy_registry_retry_mark(user.registry, &mark);
	ck_assert(dy_registry_next_mark(user.registry, &times, &mark));
}
END_TEST

/*
 * An agent hands its sessions over, leaves, and is started again under its
 * name. A caller that paused meanwhile comes with the old token: a balancer
 * that knows only the new incarnation cannot tell where the session went.
 */
START_TEST(successors_of_one_that_left_outlive_its_return)
{
	dy_poll_t balancer = fake_user_member(DY_MEMBER_BALANCER, "b", "", 9);
	dy_poll_t poll = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 1);
	dy_poll_t again = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 2);
	uint64_t successor = 77;
	const dy_member_t *member;

	fake_user_poll(&user, &poll);
	poll.state = DY_MEMBER_LEFT;
	poll.successors.successors_val = &successor;
	poll.successors.successors_len = 1;
	ck_assert_int_eq(fake_user_poll(&user, &poll), DY_STATUS_OK);
	ck_assert_int_eq(fake_user_poll(&user, &poll), DY_STATUS_OK);
	poll.state = DY_MEMBER_SERVING;
	poll.successors.successors_len = 0;
	ck_assert_int_eq(fake_user_poll(&user, &poll), DY_STATUS_SUPERSEDED);
	ck_assert_int_eq(fake_user_poll(&user, &again), DY_STATUS_OK);
	fake_user_change_leader(&user);
	ck_assert_int_eq(fake_user_poll(&user, &balancer), DY_STATUS_OK);
	ck_assert_uint_eq(fake_user_count(&user, DY_DELTA_MEMBER), 2);
	member = &user.deltas[0].dy_delta_t_u.member;
	ck_assert_int_eq(member->state, DY_MEMBER_LEFT);
	ck_assert_uint_eq(member->incarnation, poll.incarnation);
	ck_assert_uint_eq(member->successors.successors_val[0], 77);
	ck_assert_uint_eq(user.deltas[1].dy_delta_t_u.member.incarnation,
			  again.incarnation);
}
END_TEST

/*
 * An agent starts before its target. Its target announces the readings, and
 * the agent knows none of the other readings agents that stood there before:
 * it has no successor to hand its sessions to.
 */
START_TEST(agent_sees_its_own_service_once_it_has_one)
{
	dy_poll_t maps = fake_user_member(DY_MEMBER_AGENT, "m", "maps", 1);
	dy_poll_t other = fake_user_member(DY_MEMBER_AGENT, "o", "readings", 2);
	dy_poll_t agent = fake_user_member(DY_MEMBER_AGENT, "a", "", 3);

	fake_user_poll(&user, &maps);
	fake_user_poll(&user, &other);
	fake_user_poll(&user, &agent);
	ck_assert_uint_eq(fake_user_count(&user, DY_DELTA_MEMBER), 0);
	agent.info.service = "readings";
	fake_user_poll(&user, &agent);
	ck_assert_uint_eq(fake_user_count(&user, DY_DELTA_MEMBER), 2);
	fake_user_poll(&user, &maps);
	fake_user_poll(&user, &agent);
	ck_assert_uint_eq(user.result.deltas.deltas_len, 0);
	agent.info.service = "maps";
	ck_assert_int_eq(fake_user_poll(&user, &agent), DY_STATUS_MALFORMED);
}
END_TEST

/* A heartbeat is one read of the log, whatever the group's size. */
START_TEST(poll_that_changes_nothing_proposes_nothing)
{
	dy_poll_t poll = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 1);
	unsigned proposed = 0;

	user.result.deltas.deltas_val = user.deltas;
	fake_user_poll(&user, &poll);
	poll.document = 3;
	fake_registry_poll(user.registry, &poll, &user.result, &proposed);
	ck_assert_uint_eq(proposed, 0);
	poll.info.slots++;
	fake_registry_poll(user.registry, &poll, &user.result, &proposed);
	ck_assert_uint_eq(proposed, 1);
}
END_TEST

/*
 * A balancer restarts after hundreds of changes: it is given them page by
 * page, each object once, and then only what changes.
 */
START_TEST(whole_state_comes_in_pages_then_only_changes)
{
	dy_poll_t balancer = fake_user_member(DY_MEMBER_BALANCER, "b", "", 9);
	unsigned seen[500] = { 0 };
	unsigned pages = 0;
	dy_poll_t poll;
	char name[8];
	unsigned i;

	fake_user_change(&user, DY_CHANGE_ROTATE, "ann", 1, 0, NULL);
	for (i = 0; i < 500; i++) {
		snprintf(name, sizeof(name), "a%u", i);
		poll = fake_user_member(DY_MEMBER_AGENT, name, "readings",
					i + 1);
		poll.info.slots = i;
		fake_user_poll(&user, &poll);
		/* Every other one is replaced: two objects in one entry. */
		if (i % 2) {
			fake_user_mark(&user, &poll, DY_MARK_SUSPECT);
			poll.boot += 1000;
			poll.info.address.port++;
			poll.incarnation = 0;
			poll.state_version = 0;
			fake_user_poll(&user, &poll);
		}
	}
	fake_user_change(&user, DY_CHANGE_SUBMIT, "ann", 2, 0, "one");
	do {
		ck_assert_int_eq(fake_user_poll(&user, &balancer),
				 DY_STATUS_OK);
		pages++;
		for (i = 0; i < user.result.deltas.deltas_len; i++)
			if (user.deltas[i].kind == DY_DELTA_MEMBER)
				seen[user.deltas[i]
					     .dy_delta_t_u.member.info.slots]++;
	} while (user.result.more);
	ck_assert_uint_ge(pages, 12);
	ck_assert_uint_le(pages, 14);
	for (i = 0; i < 500; i++)
		ck_assert_uint_eq(seen[i], 1 + i % 2);
	ck_assert_uint_eq(fake_user_count(&user, DY_DELTA_DOCUMENT), 1);
	poll.info.slots = 7777;
	fake_user_poll(&user, &poll);
	fake_user_poll(&user, &balancer);
	ck_assert_uint_eq(user.result.deltas.deltas_len, 1);
}
END_TEST

/*
 * A process was frozen for a day. Members that ended meanwhile are forgotten
 * here, so nothing would tell it that they are gone: it must start anew.
 */
START_TEST(one_that_missed_forgotten_ends_is_superseded)
{
	dy_poll_t balancer = fake_user_member(DY_MEMBER_BALANCER, "b", "", 9);
	dy_poll_t poll = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 1);

	fake_user_poll(&user, &poll);
	fake_user_poll(&user, &balancer);
	poll.state = DY_MEMBER_LEFT;
	fake_user_poll(&user, &poll);
	fake_user_mark(&user, &poll, DY_MARK_FORGET);
	fake_user_mark(&user, &balancer, DY_MARK_SUSPECT);
	fake_user_mark(&user, &balancer, DY_MARK_DEAD);
	fake_user_mark(&user, &balancer, DY_MARK_FORGET);
	ck_assert_int_eq(fake_user_poll(&user, &balancer),
			 DY_STATUS_SUPERSEDED);
	balancer.incarnation = 0;
	ck_assert_int_eq(fake_user_poll(&user, &balancer),
			 DY_STATUS_SUPERSEDED);
	balancer.state_version = 0;
	ck_assert_int_eq(fake_user_poll(&user, &balancer), DY_STATUS_OK);
}
END_TEST

/*
 * A control was cut off for a day and gives a balancer that starts an image of
 * the day before, after the leader granted it its place. An agent of that image
 * ended and is forgotten, so nothing would tell the balancer that it is gone.
 */
START_TEST(image_that_misses_forgotten_ends_is_refused)
{
	dy_poll_t balancer = fake_user_member(DY_MEMBER_BALANCER, "b", "", 9);
	dy_poll_t poll = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 1);
	uint64_t image;

	fake_user_poll(&user, &poll);
	image = dy_registry_index(user.registry);
	poll.state = DY_MEMBER_LEFT;
	fake_user_poll(&user, &poll);
	fake_user_mark(&user, &poll, DY_MARK_FORGET);
	balancer.skips = DY_SKIP_ENDED | DY_SKIP_START;
	ck_assert_int_eq(fake_user_poll(&user, &balancer), DY_STATUS_OK);
	balancer.skips = DY_SKIP_ENDED | DY_FROM_IMAGE;
	balancer.state_version = image;
	ck_assert_int_eq(fake_user_poll(&user, &balancer),
			 DY_STATUS_SUPERSEDED);
	balancer.state_version = dy_registry_index(user.registry);
	ck_assert_int_eq(fake_user_poll(&user, &balancer), DY_STATUS_OK);
}
END_TEST

/*
 * Most agents of a site joined long ago, and one that ended since is forgotten.
 * A balancer that starts is told the state page by page, oldest first: the
 * version of its first page is older than what is forgotten, and was it refused
 * for that it would start anew for ever.
 */
START_TEST(pages_older_than_forgotten_ends_go_on)
{
	static char names[DY_DELTAS_MAX + 10][16];
	dy_poll_t balancer = fake_user_member(DY_MEMBER_BALANCER, "b", "", 9);
	dy_poll_t poll;
	unsigned told = 0;
	unsigned i;

	for (i = 0; i < DY_DELTAS_MAX + 10; i++) {
		snprintf(names[i], sizeof(names[i]), "a%u", i);
		poll = fake_user_member(DY_MEMBER_AGENT, names[i], "readings",
					1);
		fake_user_poll(&user, &poll);
	}
	poll.state = DY_MEMBER_LEFT;
	fake_user_poll(&user, &poll);
	fake_user_mark(&user, &poll, DY_MARK_FORGET);
	do {
		ck_assert_int_eq(fake_user_poll(&user, &balancer),
				 DY_STATUS_OK);
		told += fake_user_count(&user, DY_DELTA_MEMBER);
	} while (user.result.more);
	ck_assert_uint_eq(told, DY_DELTAS_MAX + 9);
}
END_TEST

/* A member that restarts without end must not fill the controls' memory. */
START_TEST(records_of_those_gone_are_bounded)
{
	dy_command_t join = { .kind = DY_COMMAND_JOIN };
	dy_poll_t poll = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 1);
	GByteArray *saved;
	guint sizes[2];
	unsigned i;

	join.dy_command_t_u.join.info = poll.info;
	join.dy_command_t_u.join.state = DY_MEMBER_SERVING;
	for (i = 0; i < 2 * DY_REGISTRY_ENDED_MAX; i++) {
		join.dy_command_t_u.join.boot = i + 1;
		fake_registry_apply(user.registry, &join);
		poll.incarnation = dy_registry_index(user.registry);
		fake_user_mark(&user, &poll, DY_MARK_SUSPECT);
		if ((i + 1) % DY_REGISTRY_ENDED_MAX)
			continue;
		saved = fake_registry_save(user.registry);
		sizes[i / DY_REGISTRY_ENDED_MAX] = saved->len;
		g_byte_array_unref(saved);
	}
	/* The first time one fewer is gone than later. */
	ck_assert_uint_gt(sizes[0], DY_REGISTRY_ENDED_MAX * 100);
	ck_assert_uint_le(sizes[1], sizes[0] + 400);
}
END_TEST

/* An operator drains a member, or strikes one whose machine burnt. */
START_TEST(operators_drain_and_remove_by_name)
{
	dy_poll_t poll = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 1);
	dy_poll_t twin = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 2);

	ck_assert_int_eq(fake_user_name(&user, DY_CHANGE_DRAIN, 1, "a")->status,
			 DY_STATUS_NOT_FOUND);
	fake_user_poll(&user, &poll);
	ck_assert(!user.result.drain);
	ck_assert_int_eq(fake_user_name(&user, DY_CHANGE_DRAIN, 2, "a")->status,
			 DY_STATUS_OK);
	fake_user_change_leader(&user);
	fake_user_poll(&user, &poll);
	ck_assert(user.result.drain);
	twin.info.environment = "production";
	fake_user_poll(&user, &twin);
	ck_assert_int_eq(
		fake_user_name(&user, DY_CHANGE_REMOVE, 3, "a")->status,
		DY_STATUS_CONFLICT);
	twin.state = DY_MEMBER_LEFT;
	fake_user_poll(&user, &twin);
	ck_assert_int_eq(
		fake_user_name(&user, DY_CHANGE_REMOVE, 4, "a")->status,
		DY_STATUS_OK);
	ck_assert_int_eq(fake_user_poll(&user, &poll), DY_STATUS_SUPERSEDED);
}
END_TEST

/* Polls until all is told; returns the members that were. */
static unsigned count_told(dy_poll_t *poll)
{
	unsigned told = 0;

	do {
		ck_assert_int_eq(fake_user_poll(&user, poll), DY_STATUS_OK);
		told += fake_user_count(&user, DY_DELTA_MEMBER);
	} while (user.result.more);
	return told;
}

static void join_agents(dy_poll_t *agents, unsigned count, uint64_t boot)
{
	static char names[10][16];
	unsigned i;

	for (i = 0; i < count; i++) {
		snprintf(names[i], sizeof(names[i]), "a%u", i);
		agents[i] = fake_user_member(DY_MEMBER_AGENT, names[i],
					     "readings", boot);
		agents[i].info.address.port = 7000 + i;
		fake_user_poll(&user, &agents[i]);
	}
}

/*
 * All agents were restarted some times. A balancer that starts is told of each
 * incarnation that ever was, over a link of two megabits, while callers wait;
 * it never heard of any of them. One that knew some must be told of their end.
 */
START_TEST(ends_of_members_never_heard_of_are_skipped)
{
	dy_poll_t agents[10];
	dy_poll_t fresh = fake_user_member(DY_MEMBER_BALANCER, "b1", "", 1);
	dy_poll_t knowing = fake_user_member(DY_MEMBER_BALANCER, "b2", "", 1);
	dy_poll_t keeping = fake_user_member(DY_MEMBER_BALANCER, "b3", "", 1);

	fresh.skips = DY_SKIP_ENDED;
	knowing.skips = DY_SKIP_ENDED;
	join_agents(agents, 10, 1);
	ck_assert_uint_eq(count_told(&knowing), 10);
	join_agents(agents, 10, 2);
	join_agents(agents, 10, 3);
	ck_assert_uint_eq(count_told(&fresh), 10);
	/* Ten ends that it must know, and ten new ones. */
	ck_assert_uint_eq(count_told(&knowing), 20);
	/* Tokens may name any incarnation. */
	ck_assert_uint_eq(count_told(&keeping), 30);
}
END_TEST

/*
 * Hundreds of agents of one service start at once. Each is told of all others,
 * of which it makes no use, and the leader's work grows with their square.
 */
START_TEST(what_a_member_does_not_use_is_not_told)
{
	dy_poll_t agents[10];

	join_agents(agents, 10, 1);
	agents[3].state_version = 0;
	agents[3].skips = DY_SKIP_MEMBERS | DY_SKIP_DOCUMENT | DY_SKIP_KEYS;
	ck_assert_int_eq(fake_user_poll(&user, &agents[3]), DY_STATUS_OK);
	ck_assert_uint_eq(user.result.deltas.deltas_len, 0);
	ck_assert(!user.result.more);
	ck_assert_uint_eq(user.result.state_version,
			  dy_registry_index(user.registry));
	agents[3].state_version = 0;
	agents[3].skips = 0;
	ck_assert_uint_eq(count_told(&agents[3]), 10);
}
END_TEST

/*
 * A balancer starts from an image that any control gave, and the leader's next
 * answer goes on from there: nothing is told twice, nothing is left out.
 */
START_TEST(image_and_what_follows_are_the_whole_state)
{
	GArray *image = g_array_new(FALSE, FALSE, sizeof(dy_delta_t));
	dy_poll_t agents[10];
	dy_poll_t starting = fake_user_member(DY_MEMBER_BALANCER, "b1", "", 1);
	uint64_t version;

	starting.skips = DY_SKIP_ENDED | DY_SKIP_START;
	join_agents(agents, 10, 1);
	join_agents(agents, 10, 2);
	ck_assert_int_eq(fake_user_poll(&user, &starting), DY_STATUS_OK);
	ck_assert_uint_gt(starting.incarnation, 0);
	ck_assert_uint_eq(user.result.deltas.deltas_len, 0);
	ck_assert_uint_eq(user.result.state_version, 0);
	ck_assert(user.result.more);
	dy_registry_fill_image(user.registry, DY_TRIAL, image);
	ck_assert_uint_eq(image->len, 10);
	version = dy_registry_index(user.registry);
	join_agents(agents, 2, 3);
	starting.state_version = version;
	/* Two ends of what stands in the image, and two new ones. */
	ck_assert_uint_eq(count_told(&starting), 4);
	g_array_free(image, TRUE);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("registry_members");
	TCase *tcase = tcase_create("registry_members");
	SRunner *runner;
	int failures;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, name_passes_on_only_when_its_lease_ran_out);
	tcase_add_test(tcase, restart_at_the_same_address_need_not_wait);
	tcase_add_test(tcase, one_of_two_joins_under_way_is_granted);
	tcase_add_test(tcase, resent_join_gets_the_same_incarnation);
	tcase_add_test(tcase, suspect_that_polls_again_is_back);
	tcase_add_test(tcase, new_leader_gives_every_member_a_full_lease);
	tcase_add_test(tcase, successors_of_one_that_left_outlive_its_return);
	tcase_add_test(tcase, agent_sees_its_own_service_once_it_has_one);
	tcase_add_test(tcase, poll_that_changes_nothing_proposes_nothing);
	tcase_add_test(tcase, whole_state_comes_in_pages_then_only_changes);
	tcase_add_test(tcase, one_that_missed_forgotten_ends_is_superseded);
	tcase_add_test(tcase, image_that_misses_forgotten_ends_is_refused);
	tcase_add_test(tcase, pages_older_than_forgotten_ends_go_on);
	tcase_add_test(tcase, records_of_those_gone_are_bounded);
	tcase_add_test(tcase, operators_drain_and_remove_by_name);
	tcase_add_test(tcase, ends_of_members_never_heard_of_are_skipped);
	tcase_add_test(tcase, what_a_member_does_not_use_is_not_told);
	tcase_add_test(tcase, image_and_what_follows_are_the_whole_state);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
