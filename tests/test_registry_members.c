/* Members of the registry: joins, leases and answers to polls. */

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
 * A VM is considered dead and replaced under the same name, and then its
 * network recovers. Callers' tokens must not name two processes, each with its
 * own record of the calls that ran.
 */
START_TEST(name_is_reused_only_after_lease_expiry)
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
 * A process is killed and restarted before its lease expires. It must not wait
 * for seconds until its own name is free. A delayed copy of the old process's
 * first poll must not restore the old incarnation.
 */
START_TEST(restart_at_same_address_joins_at_once)
{
	dy_poll_t older = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 1);
	dy_poll_t newer = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 2);
	dy_poll_t delayed = older;

	newer.info.address = older.info.address;
	ck_assert_int_eq(fake_user_poll(&user, &older), DY_STATUS_OK);
	ck_assert_int_eq(fake_user_poll(&user, &newer), DY_STATUS_OK);
	ck_assert_uint_gt(newer.incarnation, older.incarnation);
	ck_assert_int_eq(fake_user_poll(&user, &older), DY_STATUS_SUPERSEDED);
	ck_assert_int_eq(fake_user_poll(&user, &delayed), DY_STATUS_NAME_TAKEN);
	ck_assert_int_eq(fake_user_poll(&user, &newer), DY_STATUS_OK);
}
END_TEST

/*
 * Two VMs start under one name at the same time: both joins are evaluated
 * before either is committed. Only one may be granted.
 */
START_TEST(accepts_one_of_two_concurrent_joins)
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
 * The answer to the first poll is lost, and the member polls again without an
 * incarnation. It must not be refused because it holds its name itself.
 */
START_TEST(retransmitted_join_gets_same_incarnation)
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

/* A slow network may end a lease, but not the incarnation's sessions. */
START_TEST(suspect_member_recovers_by_polling)
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
 * A new leader has received no poll yet. If it marked every member suspect
 * after the election, no balancer would have a target.
 */
START_TEST(new_leader_grants_full_leases)
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

static int has_polled(const dy_poll_t *poll)
{
	uint64_t id = dy_member_id(poll->info.environment, poll->info.kind,
				   poll->info.name);

	return dy_registry_find_member(user.registry, id)->polled;
}

/* Guards against a log that cannot tell lost members from unheard ones. */
START_TEST(election_forgets_which_members_polled)
{
	dy_poll_t a = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 1);
	dy_poll_t b = fake_user_member(DY_MEMBER_AGENT, "b", "readings", 2);

	fake_user_poll(&user, &a);
	fake_user_poll(&user, &b);
	ck_assert(has_polled(&a) && has_polled(&b));
	dy_registry_restart_leases(user.registry);
	ck_assert(!has_polled(&a) && !has_polled(&b));
	fake_user_poll(&user, &b);
	ck_assert(!has_polled(&a) && has_polled(&b));
}
END_TEST

/*
 * An agent hands over its sessions, leaves, and is restarted under its name. A
 * caller that was idle then sends the old token: a balancer that has only the
 * new incarnation cannot find the session's successor.
 */
START_TEST(successors_are_kept_after_name_is_reused)
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
	ck_assert_uint_eq(fake_user_count_deltas(&user, DY_DELTA_MEMBER), 2);
	member = &user.deltas[0].dy_delta_t_u.member;
	ck_assert_int_eq(member->state, DY_MEMBER_LEFT);
	ck_assert_uint_eq(member->incarnation, poll.incarnation);
	ck_assert_uint_eq(member->successors.successors_val[0], 77);
	ck_assert_uint_eq(user.deltas[1].dy_delta_t_u.member.incarnation,
			  again.incarnation);
}
END_TEST

/*
 * An agent starts before its target, which then announces a service. The agent
 * must get the agents that already serve it; otherwise it has no successor for
 * its sessions.
 */
START_TEST(agent_gets_agents_of_its_service_once_set)
{
	dy_poll_t maps = fake_user_member(DY_MEMBER_AGENT, "m", "maps", 1);
	dy_poll_t other = fake_user_member(DY_MEMBER_AGENT, "o", "readings", 2);
	dy_poll_t agent = fake_user_member(DY_MEMBER_AGENT, "a", "", 3);

	fake_user_poll(&user, &maps);
	fake_user_poll(&user, &other);
	fake_user_poll(&user, &agent);
	ck_assert_uint_eq(fake_user_count_deltas(&user, DY_DELTA_MEMBER), 0);
	agent.info.service = "readings";
	fake_user_poll(&user, &agent);
	ck_assert_uint_eq(fake_user_count_deltas(&user, DY_DELTA_MEMBER), 2);
	fake_user_poll(&user, &maps);
	fake_user_poll(&user, &agent);
	ck_assert_uint_eq(user.result.deltas.deltas_len, 0);
	agent.info.service = "maps";
	ck_assert_int_eq(fake_user_poll(&user, &agent), DY_STATUS_MALFORMED);
}
END_TEST

/* A heartbeat costs one read and no log entry, at any size of the group. */
START_TEST(unchanged_poll_proposes_nothing)
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
 * A balancer restarts after hundreds of changes. It gets the state in pages,
 * each object once, and then only changes.
 */
START_TEST(full_state_is_paged_then_incremental)
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
		/* Replace every other one: one entry changes two objects. */
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
	ck_assert_uint_eq(fake_user_count_deltas(&user, DY_DELTA_DOCUMENT), 1);
	poll.info.slots = 7777;
	fake_user_poll(&user, &poll);
	fake_user_poll(&user, &balancer);
	ck_assert_uint_eq(user.result.deltas.deltas_len, 1);
}
END_TEST

/*
 * A process was frozen for a day. The records of members that ended meanwhile
 * have been dropped, so no answer would report their end to it: it must start
 * with an empty state.
 */
START_TEST(refuses_member_that_missed_dropped_ends)
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
 * A control that was disconnected for a day sends a day-old image to a balancer
 * that has just joined. An agent of that image ended and its record has been
 * dropped, so no answer would report its end to the balancer.
 */
START_TEST(refuses_image_that_misses_dropped_ends)
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
 * Most agents joined long ago, and the record of one that ended since has been
 * dropped. A balancer that starts gets the state in pages, oldest first. The
 * version of its first page is older than the dropped record; if it were
 * refused for that, it would restart forever.
 */
START_TEST(accepts_pages_older_than_dropped_ends)
{
	static char names[DY_DELTAS_MAX + 10][16];
	dy_poll_t balancer = fake_user_member(DY_MEMBER_BALANCER, "b", "", 9);
	dy_poll_t poll;
	unsigned received = 0;
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
		received += fake_user_count_deltas(&user, DY_DELTA_MEMBER);
	} while (user.result.more);
	ck_assert_uint_eq(received, DY_DELTAS_MAX + 9);
}
END_TEST

/* A member in a restart loop must not exhaust the controls' memory. */
START_TEST(ended_records_are_bounded)
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
	/* One record fewer has ended at the first measurement. */
	ck_assert_uint_gt(sizes[0], DY_REGISTRY_ENDED_MAX * 100);
	ck_assert_uint_le(sizes[1], sizes[0] + 400);
}
END_TEST

/* An operator drains a member, or removes one whose VM is lost. */
START_TEST(operator_drains_and_removes_by_name)
{
	dy_poll_t poll = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 1);
	dy_poll_t twin = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 2);

	ck_assert_int_eq(
		fake_user_change_named(&user, DY_CHANGE_DRAIN, 1, "a")->status,
		DY_STATUS_NOT_FOUND);
	fake_user_poll(&user, &poll);
	ck_assert(!user.result.drain);
	ck_assert_int_eq(
		fake_user_change_named(&user, DY_CHANGE_DRAIN, 2, "a")->status,
		DY_STATUS_OK);
	fake_user_change_leader(&user);
	fake_user_poll(&user, &poll);
	ck_assert(user.result.drain);
	twin.info.environment = "production";
	fake_user_poll(&user, &twin);
	ck_assert_int_eq(
		fake_user_change_named(&user, DY_CHANGE_REMOVE, 3, "a")->status,
		DY_STATUS_CONFLICT);
	twin.state = DY_MEMBER_LEFT;
	fake_user_poll(&user, &twin);
	ck_assert_int_eq(
		fake_user_change_named(&user, DY_CHANGE_REMOVE, 4, "a")->status,
		DY_STATUS_OK);
	ck_assert_int_eq(fake_user_poll(&user, &poll), DY_STATUS_SUPERSEDED);
}
END_TEST

/* Poll until there are no more changes. Returns the members received. */
static unsigned poll_until_current(dy_poll_t *poll)
{
	unsigned received = 0;

	do {
		ck_assert_int_eq(fake_user_poll(&user, poll), DY_STATUS_OK);
		received += fake_user_count_deltas(&user, DY_DELTA_MEMBER);
	} while (user.result.more);
	return received;
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
 * All agents were restarted several times. A balancer that starts should not
 * receive every ended incarnation over a link of 2 Mbit/s while callers wait.
 * A balancer that has received a member must also receive its end.
 */
START_TEST(skips_ends_of_members_never_received)
{
	dy_poll_t agents[10];
	dy_poll_t fresh = fake_user_member(DY_MEMBER_BALANCER, "b1", "", 1);
	dy_poll_t caught_up = fake_user_member(DY_MEMBER_BALANCER, "b2", "", 1);
	dy_poll_t unfiltered =
		fake_user_member(DY_MEMBER_BALANCER, "b3", "", 1);

	fresh.skips = DY_SKIP_ENDED;
	caught_up.skips = DY_SKIP_ENDED;
	join_agents(agents, 10, 1);
	ck_assert_uint_eq(poll_until_current(&caught_up), 10);
	join_agents(agents, 10, 2);
	join_agents(agents, 10, 3);
	ck_assert_uint_eq(poll_until_current(&fresh), 10);
	/* The ends of ten known members, and ten new members. */
	ck_assert_uint_eq(poll_until_current(&caught_up), 20);
	/* Without DY_SKIP_ENDED: tokens may name any incarnation. */
	ck_assert_uint_eq(poll_until_current(&unfiltered), 30);
}
END_TEST

/*
 * Hundreds of agents of one service start at once. If each received all others,
 * which it does not use, the leader's work would grow with their square.
 */
START_TEST(skips_objects_that_member_does_not_use)
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
	ck_assert_uint_eq(poll_until_current(&agents[3]), 10);
}
END_TEST

/*
 * A balancer starts from an image of any control, and the leader's next answer
 * continues from it: nothing is sent twice, nothing is missing.
 */
START_TEST(image_plus_deltas_are_the_full_state)
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
	/* The ends of two members of the image, and two new members. */
	ck_assert_uint_eq(poll_until_current(&starting), 4);
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
	tcase_add_test(tcase, name_is_reused_only_after_lease_expiry);
	tcase_add_test(tcase, restart_at_same_address_joins_at_once);
	tcase_add_test(tcase, accepts_one_of_two_concurrent_joins);
	tcase_add_test(tcase, retransmitted_join_gets_same_incarnation);
	tcase_add_test(tcase, suspect_member_recovers_by_polling);
	tcase_add_test(tcase, new_leader_grants_full_leases);
	tcase_add_test(tcase, election_forgets_which_members_polled);
	tcase_add_test(tcase, successors_are_kept_after_name_is_reused);
	tcase_add_test(tcase, agent_gets_agents_of_its_service_once_set);
	tcase_add_test(tcase, unchanged_poll_proposes_nothing);
	tcase_add_test(tcase, full_state_is_paged_then_incremental);
	tcase_add_test(tcase, refuses_member_that_missed_dropped_ends);
	tcase_add_test(tcase, refuses_image_that_misses_dropped_ends);
	tcase_add_test(tcase, accepts_pages_older_than_dropped_ends);
	tcase_add_test(tcase, ended_records_are_bounded);
	tcase_add_test(tcase, operator_drains_and_removes_by_name);
	tcase_add_test(tcase, skips_ends_of_members_never_received);
	tcase_add_test(tcase, skips_objects_that_member_does_not_use);
	tcase_add_test(tcase, image_plus_deltas_are_the_full_state);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
