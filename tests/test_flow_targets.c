#include "damaskyard/flow_targets.h"

#include <string.h>

#include "damaskyard/address.h"
#include "fake_suite.h"

#define SERVICE "readings"

/* Returns the address of an agent, which identifies it. */
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

static void set_service_member(dy_flow_targets_t *targets, const char *service,
			       unsigned number, uint64_t incarnation,
			       dy_member_state_t state, const char *domain)
{
	dy_member_t member = { 0 };

	member.id = number;
	member.incarnation = incarnation;
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

static void set_member(dy_flow_targets_t *targets, unsigned number,
		       uint64_t incarnation, dy_member_state_t state,
		       const char *domain)
{
	set_service_member(targets, SERVICE, number, incarnation, state,
			   domain);
}

static dy_flow_targets_t *create(unsigned count)
{
	dy_flow_targets_t *targets = dy_flow_targets_create("d1");
	unsigned i;

	for (i = 1; i <= count; i++)
		set_member(targets, i, 10 + i, DY_MEMBER_SERVING, "d1");
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

/* Open a flow as a balancer does. Returns the target's number, or 0. */
static unsigned open_flow_at(dy_flow_targets_t *targets, unsigned number,
			     int bulk, uint64_t now_ms)
{
	dy_address_t list[DY_FLOW_TRIES];
	dy_flow_id_t id = flow(number);

	if (!dy_flow_targets_choose(targets, SERVICE, &id, bulk, now_ms, list))
		return 0;
	dy_flow_targets_note_opened(targets, &list[0]);
	return number_of(&list[0]);
}

static unsigned open_flow_of(dy_flow_targets_t *targets, unsigned number,
			     int bulk)
{
	return open_flow_at(targets, number, bulk, 0);
}

static unsigned open_flow(dy_flow_targets_t *targets, unsigned number)
{
	return open_flow_of(targets, number, 0);
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
 * 301 long flows are opened between two load reports. By the last report alone
 * all go to the target that was the emptiest then; by hash alone the fullest
 * target gets 1.5 times the mean.
 */
START_TEST(burst_between_reports_is_balanced)
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

/* Eight candidates of 40 targets keep the fullest target near the mean. */
START_TEST(many_targets_are_balanced_by_few_candidates)
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
 * A target becomes slow: its requests are queued, but it has as many flows as
 * the others. The first request of a new flow would be late there.
 */
START_TEST(target_with_queued_requests_gets_no_new_flow)
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
 * One target has many idle flows, another one few busy flows and no queue. The
 * number of flows decides, since a busy slot delays nothing by itself.
 */
START_TEST(busy_slots_without_queue_do_not_repel_flows)
{
	dy_flow_targets_t *targets = create(2);

	report(targets, 1, 40, 0, 0);
	report(targets, 2, 10, 7, 0);
	ck_assert_uint_eq(open_flow(targets, 0), 2);
	dy_flow_targets_destroy(targets);
}
END_TEST

/* A target that just joined is empty and would get every flow for seconds. */
START_TEST(cold_target_is_penalized)
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
 * Traffic between domains costs money. Short flows stay in the domain; long
 * ones do not if that would make its targets fuller than the others.
 */
START_TEST(own_domain_is_preferred_between_equals)
{
	dy_flow_targets_t *targets = create(0);
	unsigned own = 0;
	unsigned i;

	set_member(targets, 1, 1, DY_MEMBER_SERVING, "d1");
	set_member(targets, 2, 2, DY_MEMBER_SERVING, "d2");
	ck_assert_uint_eq(open_flow(targets, 0), 1);
	for (i = 1; i < 100; i++)
		own += open_flow(targets, i) == 1;
	ck_assert_uint_le(own, 52);
	dy_flow_targets_destroy(targets);
}
END_TEST

/*
 * Uploads are most of the bytes between domains. Guards against sending two of
 * three to another domain, and against a domain that is kept busy while another
 * is idle: a target there may be half as full again, and no more.
 */
START_TEST(bulk_stays_in_own_domain_until_that_is_fuller)
{
	dy_flow_targets_t *targets = create(0);
	unsigned own = 0;
	unsigned i;

	set_member(targets, 1, 1, DY_MEMBER_SERVING, "d1");
	set_member(targets, 2, 2, DY_MEMBER_SERVING, "d2");
	for (i = 0; i < 1000; i++)
		own += open_flow_of(targets, i, 1) == 1;
	ck_assert_uint_ge(own, 590);
	ck_assert_uint_le(own, 610);
	report(targets, 1, 70, 20, 0);
	report(targets, 2, 70, 0, 0);
	ck_assert_uint_eq(open_flow_of(targets, 1, 1), 2);
	dy_flow_targets_destroy(targets);
}
END_TEST

/*
 * An agent has failed but its lease has not expired: a retransmitted opening
 * packet must not go there again.
 */
START_TEST(unanswered_target_is_last_until_it_reports)
{
	dy_flow_targets_t *targets = create(2);
	dy_address_t list[DY_FLOW_TRIES];
	dy_address_t first;
	dy_flow_id_t id = flow(1);

	dy_flow_targets_choose(targets, SERVICE, &id, 0, 0, list);
	first = list[0];
	dy_flow_targets_note_unanswered(targets, &first, 0);
	ck_assert_uint_eq(
		dy_flow_targets_choose(targets, SERVICE, &id, 0, 1, list), 2);
	ck_assert(!dy_address_equal(&list[0], &first));
	ck_assert(dy_address_equal(&list[1], &first));
	report(targets, number_of(&first), 0, 0, 0);
	report(targets, 3 - number_of(&first), 5, 0, 0);
	dy_flow_targets_choose(targets, SERVICE, &id, 0, 2, list);
	ck_assert(dy_address_equal(&list[0], &first));
	dy_flow_targets_destroy(targets);
}
END_TEST

/* Draining, suspect and ended targets must not get new flows. */
START_TEST(only_serving_targets_are_chosen)
{
	dy_flow_targets_t *targets = create(4);
	unsigned i;

	set_member(targets, 1, 11, DY_MEMBER_DRAINING, "d1");
	set_member(targets, 2, 12, DY_MEMBER_SUSPECT, "d1");
	set_member(targets, 3, 13, DY_MEMBER_LEFT, "d1");
	for (i = 0; i < 50; i++)
		ck_assert_uint_eq(open_flow(targets, i), 4);
	ck_assert_uint_eq(dy_flow_targets_count(targets, SERVICE), 1);
	set_member(targets, 4, 14, DY_MEMBER_DEAD, "d1");
	ck_assert_uint_eq(open_flow(targets, 0), 0);
	dy_flow_targets_destroy(targets);
}
END_TEST

/*
 * A name is reused, and the end of its previous incarnation arrives late. It
 * must not remove the new incarnation.
 */
START_TEST(ignores_late_end_of_older_incarnation)
{
	dy_flow_targets_t *targets = create(1);

	set_member(targets, 1, 20, DY_MEMBER_SERVING, "d1");
	set_member(targets, 1, 11, DY_MEMBER_DEAD, "d1");
	ck_assert_uint_eq(open_flow(targets, 0), 1);
	dy_flow_targets_destroy(targets);
}
END_TEST

/*
 * A balancer that never saw a flow searches for it after targets joined and
 * left. The holder must be among the first agents of the list; otherwise every
 * such packet is passed along all agents.
 */
START_TEST(holder_is_among_first_after_member_changes)
{
	dy_flow_targets_t *before = create(40);
	dy_flow_targets_t *after = create(44);
	dy_address_t list[DY_FLOW_SEARCH_MAX];
	unsigned holder;
	unsigned count;
	unsigned at;
	unsigned i;

	set_member(after, 7, 17, DY_MEMBER_DRAINING, "d1");
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
 * An agent that failed with its VM is lost, and its callers need not wait. An
 * agent that only lost its connection to control still reports here.
 */
START_TEST(suspect_agent_without_reports_is_lost)
{
	dy_flow_targets_t *targets = create(3);
	dy_address_t second = agent(2);

	ck_assert(!dy_flow_targets_is_lost(targets, &second,
					   DY_FLOW_LOST_TIMEOUT_MS + 1));
	set_member(targets, 2, 12, DY_MEMBER_SUSPECT, "d1");
	ck_assert(!dy_flow_targets_is_lost(targets, &second, 50000));
	ck_assert(!dy_flow_targets_is_lost(targets, &second,
					   50000 + DY_FLOW_LOST_TIMEOUT_MS));
	ck_assert(dy_flow_targets_is_lost(targets, &second,
					  50000 + DY_FLOW_LOST_TIMEOUT_MS + 1));
	set_member(targets, 2, 12, DY_MEMBER_SERVING, "d1");
	set_member(targets, 2, 12, DY_MEMBER_SUSPECT, "d1");
	ck_assert(!dy_flow_targets_is_lost(targets, &second, 90000));
	dy_flow_targets_destroy(targets);
}
END_TEST

/*
 * Guards against a reset of an open flow whose log line does not tell a late
 * agent from lost messages.
 */
START_TEST(facts_of_silent_agent_have_their_ages)
{
	dy_flow_targets_t *targets = create(3);
	dy_address_t first = agent(1);
	dy_address_t second = agent(2);
	dy_flow_load_t load = { 7, 0, 0, 1, 0 };
	dy_flow_agent_facts_t facts;

	dy_flow_targets_load_facts(targets, &second, 1000, &facts);
	ck_assert_int_eq(facts.report_age_ms, -1);
	ck_assert_int_eq(facts.confirmed_age_ms, -1);
	dy_flow_targets_set_load(targets, &second, &load, 1000);
	dy_flow_targets_note_sent(targets, &second, 1100);
	dy_flow_targets_set_finding(targets, &second, &first, 0, 2000);
	dy_flow_targets_set_members_confirmed(targets, 2100);
	dy_flow_targets_load_facts(targets, &second, 2300, &facts);
	ck_assert_str_eq(facts.state, "serving");
	ck_assert_int_eq(facts.report_age_ms, 1300);
	ck_assert_int_eq(facts.unanswered_age_ms, 1200);
	ck_assert_int_eq(facts.confirmed_age_ms, 200);
	ck_assert(dy_address_equal(&facts.witnesses[0], &first));
	ck_assert_uint_eq(facts.witnesses[1].port, 0);
	dy_flow_targets_destroy(targets);
}
END_TEST

/*
 * The entry named another service when the flow was opened, and the searching
 * balancer has only the newest version of the entry.
 */
START_TEST(searches_agents_of_other_services)
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
 * One service grew to over 60 agents, and an entry of another service was
 * changed to it. The agents of the other service were no longer searched, so
 * packets of its open flows reached only targets of the first service.
 */
START_TEST(searches_other_services_among_100_agents)
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

static int is_in_list(const dy_address_t *address, const dy_address_t *list,
		      unsigned count)
{
	unsigned i;

	for (i = 0; i < count; i++)
		if (dy_address_equal(&list[i], address))
			return 1;
	return 0;
}

/*
 * With 400 agents of three services, an entry was changed from one service to
 * another and all balancers restarted. The agents of the first service were no
 * longer searched, so packets of its open flows reached only targets of the
 * other one.
 */
START_TEST(finds_flow_of_changed_entry_among_400_agents)
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
		set_service_member(targets, names[i % 3], i, i,
				   DY_MEMBER_SERVING, "d1");
	for (i = 0; i < 100; i++) {
		id = flow(i);
		dy_flow_targets_choose(targets, "maps", &id, 0, 0, chosen);
		count = dy_flow_targets_search(targets, names, 1, &id,
					       &complete, searched);
		ck_assert(is_in_list(&chosen[0], searched, count));
		ck_assert(!complete);
	}
	dy_flow_targets_destroy(targets);
}
END_TEST

/* If not all agents are searched, a flow not found may still be open. */
START_TEST(search_above_limit_is_incomplete)
{
	dy_flow_targets_t *targets = create(DY_FLOW_SEARCH_MAX + 1);
	dy_address_t list[DY_FLOW_SEARCH_MAX];
	unsigned count;

	ck_assert(!search(targets, 1, &count, list));
	ck_assert_uint_eq(count, DY_FLOW_SEARCH_MAX - DY_FLOW_SEARCH_RESERVED);
	dy_flow_targets_destroy(targets);
}
END_TEST

/* No new flow may be opened in a domain that an operator evacuated. */
START_TEST(evacuated_domain_keeps_flows_but_gets_no_new_ones)
{
	dy_flow_targets_t *targets = create(2);
	dy_address_t list[DY_FLOW_SEARCH_MAX];
	unsigned count;
	unsigned i;

	set_member(targets, 3, 13, DY_MEMBER_SERVING, "d2");
	dy_flow_targets_set_domain(targets, "d1", 1);
	for (i = 0; i < 50; i++)
		ck_assert_uint_eq(open_flow(targets, i), 3);
	ck_assert_uint_eq(dy_flow_targets_count(targets, SERVICE), 1);
	ck_assert(search(targets, 1, &count, list));
	ck_assert_uint_eq(count, 3);
	/* An agent that joins an evacuated domain later. */
	set_member(targets, 4, 14, DY_MEMBER_SERVING, "d1");
	ck_assert_uint_eq(dy_flow_targets_count(targets, SERVICE), 1);
	dy_flow_targets_set_domain(targets, "d2", 1);
	ck_assert_uint_eq(open_flow(targets, 1), 0);
	dy_flow_targets_set_domain(targets, "d1", 0);
	ck_assert_uint_eq(dy_flow_targets_count(targets, SERVICE), 3);
	dy_flow_targets_destroy(targets);
}
END_TEST

static void report_pace(dy_flow_targets_t *targets, unsigned number,
			uint32_t service_us, uint32_t unanswered,
			uint64_t now_ms)
{
	const dy_flow_pace_t pace = { service_us, unanswered };
	dy_address_t address = agent(number);

	dy_flow_targets_set_pace(targets, &address, &pace, now_ms);
}

/*
 * One target in three needs 2.4 times as long. Guards against as many long
 * flows there as on fast targets.
 */
START_TEST(long_flows_follow_the_targets_capacity)
{
	dy_flow_targets_t *targets = create(6);
	unsigned opened[7] = { 0 };
	unsigned i;

	for (i = 0; i <= 6; i++)
		report_pace(targets, 1 + i % 6, i % 3 == 2 ? 48000 : 20000, 0,
			    1000 + i * DY_FLOW_REPORT_INTERVAL_MS);
	for (i = 0; i < 600; i++)
		opened[open_flow_at(targets, i, 0, 2300)]++;
	for (i = 1; i <= 6; i++) {
		ck_assert_uint_ge(opened[i], i % 3 ? 120 : 20);
		ck_assert_uint_le(opened[i], i % 3 ? 140 : 50);
	}
	dy_flow_targets_destroy(targets);
}
END_TEST

static unsigned held_back;

static void count_held_back(void *context, const dy_address_t *address,
			    const dy_target_pace_t *pace,
			    dy_target_pace_change_t change, uint32_t median_us,
			    unsigned compared, uint64_t now_ms)
{
	(void)context;
	(void)pace;
	(void)median_us;
	(void)now_ms;
	if (change != DY_TARGET_HELD_BACK)
		return;
	held_back++;
	ck_assert_uint_eq(number_of(address), 2);
	ck_assert_uint_eq(compared, 4);
}

/*
 * A mute target looks idle. Guards against new flows that go there, and against
 * a caller that is refused because it is not even listed.
 */
START_TEST(mute_target_is_listed_last)
{
	dy_flow_targets_t *targets = create(4);
	dy_address_t list[DY_FLOW_TRIES];
	dy_flow_id_t id = flow(1);
	uint64_t now_ms;
	unsigned i;

	held_back = 0;
	dy_flow_targets_watch_pace(targets, count_held_back, NULL);
	for (i = 1; i <= 4; i++)
		report(targets, i, i == 2 ? 0 : 30, 0, 0);
	for (now_ms = 1000; now_ms < 3000; now_ms += 200)
		for (i = 1; i <= 4; i++)
			report_pace(targets, i, 20000, i == 2 ? 500 : 0,
				    now_ms + i);
	ck_assert_uint_eq(held_back, 1);
	for (i = 0; i < 60; i++)
		ck_assert_uint_ne(open_flow_at(targets, i, 0, now_ms), 2);
	ck_assert_uint_eq(
		dy_flow_targets_choose(targets, SERVICE, &id, 0, now_ms, list),
		4);
	ck_assert_uint_eq(number_of(&list[3]), 2);
	set_member(targets, 2, 20, DY_MEMBER_SERVING, "d1");
	ck_assert_uint_eq(open_flow_at(targets, 0, 0, now_ms), 2);
	dy_flow_targets_destroy(targets);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		burst_between_reports_is_balanced,
		many_targets_are_balanced_by_few_candidates,
		target_with_queued_requests_gets_no_new_flow,
		busy_slots_without_queue_do_not_repel_flows,
		cold_target_is_penalized,
		own_domain_is_preferred_between_equals,
		bulk_stays_in_own_domain_until_that_is_fuller,
		unanswered_target_is_last_until_it_reports,
		only_serving_targets_are_chosen,
		ignores_late_end_of_older_incarnation,
		holder_is_among_first_after_member_changes,
		suspect_agent_without_reports_is_lost,
		facts_of_silent_agent_have_their_ages,
		searches_agents_of_other_services,
		searches_other_services_among_100_agents,
		finds_flow_of_changed_entry_among_400_agents,
		search_above_limit_is_incomplete,
		evacuated_domain_keeps_flows_but_gets_no_new_ones,
		long_flows_follow_the_targets_capacity,
		mute_target_is_listed_last,
		NULL,
	};

	return fake_suite_run("flow_targets", tests);
}
