#include "damaskyard/flow_targets.h"

#include <string.h>

#include "damaskyard/address.h"
#include "fake_suite.h"

#define SERVICE "readings"

/* The agent of a number: its address is all that tells it from others. */
static dy_address_t agent(unsigned number)
{
	dy_address_t address;

	dy_address_set_ipv4(&address, 0x0a000000u + number, 7000);
	return address;
}

static dy_flow_id_t flow(unsigned number)
{
	dy_flow_id_t id = { 0x64400000u + number / 100, 0xc6120001u,
			    1024 + number % 100, 443 };

	return id;
}

static void set_of(dy_flow_targets_t *targets, const char *service,
		   unsigned number, uint64_t start, dy_member_state_t state,
		   const char *domain)
{
	dy_member_t member = { 0 };

	member.id = number;
	member.incarnation = start;
	member.state = state;
	member.info.kind = DY_MEMBER_AGENT;
	member.info.name = "a";
	member.info.environment = "trial";
	member.info.domain = (char *)domain;
	member.info.service = (char *)service;
	member.info.labels = "";
	member.info.address = agent(number);
	member.info.slots = 7;
	dy_flow_targets_set_member(targets, &member);
}

static void set(dy_flow_targets_t *targets, unsigned number, uint64_t start,
		dy_member_state_t state, const char *domain)
{
	set_of(targets, SERVICE, number, start, state, domain);
}

static dy_flow_targets_t *create(unsigned count)
{
	dy_flow_targets_t *targets = dy_flow_targets_create("d1");
	unsigned i;

	for (i = 1; i <= count; i++)
		set(targets, i, 10 + i, DY_MEMBER_SERVING, "d1");
	return targets;
}

static void report(dy_flow_targets_t *targets, unsigned number, unsigned flows,
		   unsigned busy, int cold)
{
	dy_flow_load_t load = { 7, flows, busy, 1, cold };
	dy_address_t address = agent(number);

	dy_flow_targets_set_load(targets, &address, &load, 0);
}

static unsigned number_of(const dy_address_t *address)
{
	return address->ip[DY_IP_BYTES - 1];
}

/* Open a flow as a balancer does; returns the target's number, 0 if none. */
static unsigned open_flow(dy_flow_targets_t *targets, unsigned number)
{
	dy_address_t list[DY_FLOW_TRIES];
	dy_flow_id_t id = flow(number);

	if (!dy_flow_targets_choose(targets, SERVICE, &id, 0, list))
		return 0;
	dy_flow_targets_note_opened(targets, &list[0]);
	return number_of(&list[0]);
}

static int search(dy_flow_targets_t *targets, unsigned number, unsigned *count,
		  dy_address_t list[DY_FLOW_SEARCH_MAX])
{
	const char *services[] = { SERVICE };
	dy_flow_id_t id = flow(number);
	int complete;

	*count = dy_flow_targets_search(targets, services, 1, &id, &complete,
					list);
	return complete;
}

/*
 * Three hundred long flows are opened within one moment, between two reports
 * of load. By the last report alone all go to the target that was emptiest
 * then; by hash alone the fullest gets half as many again as the mean.
 */
START_TEST(burst_between_two_reports_is_spread)
{
	dy_flow_targets_t *targets = create(7);
	unsigned opened[8] = { 0 };
	unsigned i;

	report(targets, 3, 0, 0, 0);
	for (i = 0; i < 301; i++)
		opened[open_flow(targets, i)]++;
	for (i = 1; i <= 7; i++) {
		ck_assert_uint_ge(opened[i], 42);
		ck_assert_uint_le(opened[i], 44);
	}
	dy_flow_targets_destroy(targets);
}
END_TEST

/* Of forty targets, among eight each: the fullest stays near the mean. */
START_TEST(many_targets_are_balanced_among_a_few_each)
{
	dy_flow_targets_t *targets = create(40);
	unsigned opened[41] = { 0 };
	unsigned i;

	for (i = 0; i < 4000; i++)
		opened[open_flow(targets, i)]++;
	for (i = 1; i <= 40; i++)
		ck_assert_uint_le(opened[i], 110);
	dy_flow_targets_destroy(targets);
}
END_TEST

/*
 * A target turns slow: its requests wait, and its flows are as many as the
 * others'. New flows that go there are late with their first request.
 */
START_TEST(slow_target_gets_no_new_flow_while_requests_wait)
{
	dy_flow_targets_t *targets = create(7);
	unsigned i;

	for (i = 1; i <= 7; i++)
		report(targets, i, 40, i == 2 ? 20 : 3, 0);
	for (i = 0; i < 60; i++)
		ck_assert_uint_ne(open_flow(targets, i), 2);
	dy_flow_targets_destroy(targets);
}
END_TEST

/*
 * A long flow's target holds many idle flows and another few busy ones: a
 * slot that is taken is not a queue, so the flows decide.
 */
START_TEST(busy_slots_alone_do_not_turn_flows_away)
{
	dy_flow_targets_t *targets = create(2);

	report(targets, 1, 40, 0, 0);
	report(targets, 2, 10, 7, 0);
	ck_assert_uint_eq(open_flow(targets, 0), 2);
	dy_flow_targets_destroy(targets);
}
END_TEST

/* An empty target joins: it is cold, and would get every flow for seconds. */
START_TEST(cold_target_is_set_back)
{
	dy_flow_targets_t *targets = create(3);

	report(targets, 1, 3, 0, 0);
	report(targets, 2, 3, 0, 0);
	report(targets, 3, 0, 0, 1);
	ck_assert_uint_ne(open_flow(targets, 0), 3);
	dy_flow_targets_destroy(targets);
}
END_TEST

/*
 * Bytes between domains are paid for. Short flows stay in the domain; long
 * ones do not, where that would make its targets fuller than the others.
 */
START_TEST(own_domain_is_preferred_between_equals)
{
	dy_flow_targets_t *targets = create(0);
	unsigned own = 0;
	unsigned i;

	set(targets, 1, 1, DY_MEMBER_SERVING, "d1");
	set(targets, 2, 2, DY_MEMBER_SERVING, "d2");
	ck_assert_uint_eq(open_flow(targets, 0), 1);
	for (i = 1; i < 100; i++)
		own += open_flow(targets, i) == 1;
	ck_assert_uint_le(own, 52);
	dy_flow_targets_destroy(targets);
}
END_TEST

/*
 * An agent dies and its lease still runs: the copy of an opening packet must
 * not go there again.
 */
START_TEST(silent_target_is_chosen_last_until_it_speaks)
{
	dy_flow_targets_t *targets = create(2);
	dy_address_t list[DY_FLOW_TRIES];
	dy_address_t first;
	dy_flow_id_t id = flow(1);

	dy_flow_targets_choose(targets, SERVICE, &id, 0, list);
	first = list[0];
	dy_flow_targets_note_unanswered(targets, &first, 0);
	ck_assert_uint_eq(
		dy_flow_targets_choose(targets, SERVICE, &id, 1, list), 2);
	ck_assert(!dy_address_equal(&list[0], &first));
	ck_assert(dy_address_equal(&list[1], &first));
	report(targets, number_of(&first), 0, 0, 0);
	report(targets, 3 - number_of(&first), 5, 0, 0);
	dy_flow_targets_choose(targets, SERVICE, &id, 2, list);
	ck_assert(dy_address_equal(&list[0], &first));
	dy_flow_targets_destroy(targets);
}
END_TEST

/* Neither draining nor suspect, nor one that has left, gets a new flow. */
START_TEST(only_serving_targets_are_chosen)
{
	dy_flow_targets_t *targets = create(4);
	unsigned i;

	set(targets, 1, 11, DY_MEMBER_DRAINING, "d1");
	set(targets, 2, 12, DY_MEMBER_SUSPECT, "d1");
	set(targets, 3, 13, DY_MEMBER_LEFT, "d1");
	for (i = 0; i < 50; i++)
		ck_assert_uint_eq(open_flow(targets, i), 4);
	ck_assert_uint_eq(dy_flow_targets_count(targets, SERVICE), 1);
	set(targets, 4, 14, DY_MEMBER_DEAD, "d1");
	ck_assert_uint_eq(open_flow(targets, 0), 0);
	dy_flow_targets_destroy(targets);
}
END_TEST

/*
 * A name is in use again, and the end of its earlier start is told late: the
 * new start must not be dropped with it.
 */
START_TEST(late_end_of_an_earlier_start_changes_nothing)
{
	dy_flow_targets_t *targets = create(1);

	set(targets, 1, 20, DY_MEMBER_SERVING, "d1");
	set(targets, 1, 11, DY_MEMBER_DEAD, "d1");
	ck_assert_uint_eq(open_flow(targets, 0), 1);
	dy_flow_targets_destroy(targets);
}
END_TEST

/*
 * A balancer that never saw a flow searches for it while targets came and
 * went since it was opened. The holder must be among the first that it asks,
 * or every such packet walks over all of them.
 */
START_TEST(holder_is_found_among_the_first_after_changes)
{
	dy_flow_targets_t *before = create(40);
	dy_flow_targets_t *after = create(44);
	dy_address_t list[DY_FLOW_SEARCH_MAX];
	unsigned holder;
	unsigned count;
	unsigned at;
	unsigned i;

	set(after, 7, 17, DY_MEMBER_DRAINING, "d1");
	for (i = 0; i < 500; i++) {
		holder = open_flow(before, i);
		search(after, i, &count, list);
		for (at = 0; number_of(&list[at]) != holder; at++)
			ck_assert_uint_lt(at, DY_FLOW_TRIES);
	}
	dy_flow_targets_destroy(before);
	dy_flow_targets_destroy(after);
}
END_TEST

/*
 * An agent was killed with its VM: it is lost, and callers wait in vain. One
 * that is cut off from control alone still speaks here, and is not.
 */
START_TEST(agent_is_lost_once_all_miss_it)
{
	dy_flow_targets_t *targets = create(3);
	dy_address_t second = agent(2);

	ck_assert(!dy_flow_targets_is_lost(targets, &second,
					   DY_FLOW_LOST_TIMEOUT_MS + 1));
	set(targets, 2, 12, DY_MEMBER_SUSPECT, "d1");
	ck_assert(!dy_flow_targets_is_lost(targets, &second, 50000));
	ck_assert(!dy_flow_targets_is_lost(targets, &second,
					   50000 + DY_FLOW_LOST_TIMEOUT_MS));
	ck_assert(dy_flow_targets_is_lost(targets, &second,
					  50000 + DY_FLOW_LOST_TIMEOUT_MS + 1));
	set(targets, 2, 12, DY_MEMBER_SERVING, "d1");
	set(targets, 2, 12, DY_MEMBER_SUSPECT, "d1");
	ck_assert(!dy_flow_targets_is_lost(targets, &second, 90000));
	dy_flow_targets_destroy(targets);
}
END_TEST

/*
 * An entry named another service when a flow was opened, and a balancer that
 * knows the newest version only searches for it.
 */
START_TEST(agents_of_other_services_are_searched_too)
{
	dy_flow_targets_t *targets = create(3);
	const char *services[] = { "maps" };
	dy_address_t list[DY_FLOW_SEARCH_MAX];
	dy_flow_id_t id = flow(1);
	int complete = 0;

	ck_assert_uint_eq(dy_flow_targets_search(targets, services, 1, &id,
						 &complete, list),
			  3);
	ck_assert(complete);
	dy_flow_targets_destroy(targets);
}
END_TEST

/*
 * A day doubled one service to over sixty agents, and an entry of the other
 * service was turned to it. The other service's agents were asked no more, and
 * packets of its open flows reached servers of the first only.
 */
START_TEST(other_services_are_searched_among_a_hundred)
{
	dy_flow_targets_t *targets = create(100);
	const char *services[] = { "maps" };
	dy_address_t list[DY_FLOW_SEARCH_MAX];
	dy_flow_id_t id = flow(1);
	int complete = 0;

	ck_assert_uint_eq(dy_flow_targets_search(targets, services, 1, &id,
						 &complete, list),
			  100);
	ck_assert(complete);
	dy_flow_targets_destroy(targets);
}
END_TEST

/* Whether the agent stands in a list. */
static int stands_in(const dy_address_t *address, const dy_address_t *list,
		     unsigned count)
{
	unsigned i;

	for (i = 0; i < count; i++)
		if (dy_address_equal(&list[i], address))
			return 1;
	return 0;
}

/*
 * Four hundred agents of three services; an entry is turned from one to another
 * and all balancers start anew. The agents of the first service were asked no
 * more, and packets of its open flows reached servers of the other only.
 */
START_TEST(flow_of_a_turned_entry_is_found_among_hundreds)
{
	static const char *const names[] = { SERVICE, "maps", "files" };
	dy_flow_targets_t *targets = dy_flow_targets_create("d1");
	dy_address_t searched[DY_FLOW_SEARCH_MAX];
	dy_address_t chosen[DY_FLOW_TRIES];
	dy_flow_id_t id;
	unsigned count;
	unsigned i;
	int complete;

	for (i = 1; i <= 400; i++)
		set_of(targets, names[i % 3], i, i, DY_MEMBER_SERVING, "d1");
	for (i = 0; i < 100; i++) {
		id = flow(i);
		dy_flow_targets_choose(targets, "maps", &id, 0, chosen);
		count = dy_flow_targets_search(targets, names, 1, &id,
					       &complete, searched);
		ck_assert(stands_in(&chosen[0], searched, count));
		ck_assert(!complete);
	}
	dy_flow_targets_destroy(targets);
}
END_TEST

/* More agents than are searched: what is not found is not known to be over. */
START_TEST(search_of_too_many_is_not_complete)
{
	dy_flow_targets_t *targets = create(DY_FLOW_SEARCH_MAX + 1);
	dy_address_t list[DY_FLOW_SEARCH_MAX];
	unsigned count;

	ck_assert(!search(targets, 1, &count, list));
	ck_assert_uint_eq(count, DY_FLOW_SEARCH_MAX - DY_FLOW_SEARCH_RESERVED);
	dy_flow_targets_destroy(targets);
}
END_TEST

/* A new flow is opened in a domain that its operator has emptied. */
START_TEST(evacuated_domain_gets_no_new_flow_and_keeps_its_own)
{
	dy_flow_targets_t *targets = create(2);
	dy_address_t list[DY_FLOW_SEARCH_MAX];
	unsigned count;
	unsigned i;

	set(targets, 3, 13, DY_MEMBER_SERVING, "d2");
	dy_flow_targets_set_domain(targets, "d1", 1);
	for (i = 0; i < 50; i++)
		ck_assert_uint_eq(open_flow(targets, i), 3);
	ck_assert_uint_eq(dy_flow_targets_count(targets, SERVICE), 1);
	ck_assert(search(targets, 1, &count, list));
	ck_assert_uint_eq(count, 3);
	/* One that joins later is in the same domain. */
	set(targets, 4, 14, DY_MEMBER_SERVING, "d1");
	ck_assert_uint_eq(dy_flow_targets_count(targets, SERVICE), 1);
	dy_flow_targets_set_domain(targets, "d2", 1);
	ck_assert_uint_eq(open_flow(targets, 1), 0);
	dy_flow_targets_set_domain(targets, "d1", 0);
	ck_assert_uint_eq(dy_flow_targets_count(targets, SERVICE), 3);
	dy_flow_targets_destroy(targets);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		burst_between_two_reports_is_spread,
		many_targets_are_balanced_among_a_few_each,
		slow_target_gets_no_new_flow_while_requests_wait,
		busy_slots_alone_do_not_turn_flows_away,
		cold_target_is_set_back,
		own_domain_is_preferred_between_equals,
		silent_target_is_chosen_last_until_it_speaks,
		only_serving_targets_are_chosen,
		late_end_of_an_earlier_start_changes_nothing,
		holder_is_found_among_the_first_after_changes,
		agent_is_lost_once_all_miss_it,
		agents_of_other_services_are_searched_too,
		other_services_are_searched_among_a_hundred,
		flow_of_a_turned_entry_is_found_among_hundreds,
		search_of_too_many_is_not_complete,
		evacuated_domain_gets_no_new_flow_and_keeps_its_own,
		NULL,
	};

	return fake_suite_run("flow_targets", tests);
}
