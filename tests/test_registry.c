#include "damaskyard/registry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "fake_registry.h"

static dy_registry_t *registry;

static void setup(void)
{
	registry = dy_registry_create(NULL);
}

static void teardown(void)
{
	dy_registry_destroy(registry);
}

/* What a new leader holds that came up from a snapshot. */
static void change_leader(void)
{
	GByteArray *saved = fake_registry_save(registry);

	dy_registry_destroy(registry);
	registry = fake_registry_load(NULL, saved);
	ck_assert_ptr_nonnull(registry);
	g_byte_array_unref(saved);
}

static const dy_change_result_t *make_change(dy_change_kind_t kind,
					     const char *who, uint8_t request,
					     uint64_t number, const char *bytes)
{
	dy_command_t command = { .kind = DY_COMMAND_CHANGE };
	dy_change_t *change = &command.dy_command_t_u.change.change;

	change->kind = kind;
	change->request[0] = (char)request;
	change->operator_name = (char *)who;
	change->environment = kind == DY_CHANGE_SUBMIT ? "trial" : "";
	change->name = "";
	change->number = number;
	if (bytes)
		fake_registry_put(registry, bytes, strlen(bytes),
				  (uint8_t *)change->digest);
	fake_registry_apply(registry, &command);
	return dy_registry_find_answer(registry, change->request);
}

static const dy_change_result_t *name_member(dy_change_kind_t kind,
					     uint8_t request, const char *name)
{
	dy_command_t command = { .kind = DY_COMMAND_CHANGE };
	dy_change_t *change = &command.dy_command_t_u.change.change;

	change->kind = kind;
	change->request[0] = (char)request;
	change->operator_name = "ann";
	change->environment = "";
	change->name = (char *)name;
	fake_registry_apply(registry, &command);
	return dy_registry_find_answer(registry, change->request);
}

static void try_trial(void)
{
	dy_command_t command = { .kind = DY_COMMAND_TRIED };

	memcpy(command.dy_command_t_u.tried.digest,
	       dy_registry_document(registry, DY_TRIAL)->digest,
	       DY_DIGEST_BYTES);
	fake_registry_apply(registry, &command);
}

static dy_poll_t poll_of(dy_member_kind_t kind, const char *name,
			 const char *service, uint64_t boot)
{
	dy_poll_t poll = { 0 };

	poll.info.kind = kind;
	poll.info.name = (char *)name;
	poll.info.environment = "trial";
	poll.info.domain = "d1";
	poll.info.service = (char *)service;
	poll.info.labels = "tier=gold";
	poll.info.address.port = 4000;
	poll.info.slots = 7;
	poll.boot = boot;
	poll.state = DY_MEMBER_SERVING;
	return poll;
}

static dy_delta_t deltas[DY_DELTAS_MAX];
static dy_poll_result_t result;

/* Poll, take the answer's incarnation and version, and return its status. */
static dy_status_t send_poll(dy_poll_t *poll)
{
	dy_status_t status;

	memset(&result, 0, sizeof(result));
	result.deltas.deltas_val = deltas;
	status = fake_registry_poll(registry, poll, &result, NULL);
	if (status == DY_STATUS_OK) {
		poll->incarnation = result.incarnation;
		poll->state_version = result.state_version;
	}
	return status;
}

static void mark_member(const dy_poll_t *poll, dy_member_mark_kind_t kind)
{
	dy_command_t command = { .kind = DY_COMMAND_MARK };
	dy_member_mark_t *mark = &command.dy_command_t_u.mark;

	mark->id = dy_member_id(poll->info.environment, poll->info.kind,
				poll->info.name);
	mark->incarnation = poll->incarnation;
	mark->mark = kind;
	fake_registry_apply(registry, &command);
}

/* Count the deltas of a kind in the last answer. */
static unsigned count_deltas(dy_delta_kind_t kind)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < result.deltas.deltas_len; i++)
		count += deltas[i].kind == kind;
	return count;
}

/*
 * Two operators prepare change 1 in the same minute and submit it. Both were
 * told that it is accepted, and one of the two documents is nowhere: each
 * was taken as the next number.
 */
START_TEST(one_of_two_with_the_same_number_wins)
{
	const dy_change_result_t *answer;

	answer = make_change(DY_CHANGE_SUBMIT, "ann", 1, 1, "anns");
	ck_assert_int_eq(answer->status, DY_STATUS_OK);
	answer = make_change(DY_CHANGE_SUBMIT, "bob", 2, 1, "bobs");
	ck_assert_int_eq(answer->status, DY_STATUS_CONFLICT);
	ck_assert_uint_eq(answer->number, 1);
	ck_assert_str_eq(answer->operator_name, "ann");
	ck_assert_mem_eq(answer->digest,
			 dy_registry_document(registry, DY_TRIAL)->digest,
			 DY_DIGEST_BYTES);
	answer = make_change(DY_CHANGE_SUBMIT, "bob", 3, 3, "bobs");
	ck_assert_int_eq(answer->status, DY_STATUS_CONFLICT);
	answer = make_change(DY_CHANGE_SUBMIT, "bob", 4, 2, "bobs");
	ck_assert_int_eq(answer->status, DY_STATUS_OK);
}
END_TEST

/*
 * An operator's answer is lost and the command sends the change again, to
 * the next leader. It is told that its own change conflicts, or the change
 * is made a second time over a colleague's newer one.
 */
START_TEST(resent_change_gets_its_first_answer)
{
	const dy_change_result_t *answer;

	make_change(DY_CHANGE_SUBMIT, "ann", 1, 0, "anns");
	make_change(DY_CHANGE_SUBMIT, "bob", 2, 0, "bobs");
	change_leader();
	answer = make_change(DY_CHANGE_SUBMIT, "ann", 1, 0, "anns");
	ck_assert_int_eq(answer->status, DY_STATUS_OK);
	ck_assert_uint_eq(answer->number, 1);
	ck_assert_uint_eq(dy_registry_document(registry, DY_TRIAL)->number, 2);
	answer = make_change(DY_CHANGE_SUBMIT, "bob", 3, 1, "x");
	ck_assert_int_eq(answer->status, DY_STATUS_CONFLICT);
	answer = make_change(DY_CHANGE_SUBMIT, "bob", 3, 3, "x");
	ck_assert_int_eq(answer->status, DY_STATUS_CONFLICT);
}
END_TEST

/*
 * A document goes to production that trial never ran, since somebody put a
 * newer one into trial between the trying and the promotion.
 */
START_TEST(production_takes_only_what_was_tried)
{
	const dy_change_result_t *answer;

	answer = make_change(DY_CHANGE_PROMOTE, "ann", 1, 0, NULL);
	ck_assert_int_eq(answer->status, DY_STATUS_NOT_FOUND);
	make_change(DY_CHANGE_SUBMIT, "ann", 2, 0, "one");
	answer = make_change(DY_CHANGE_PROMOTE, "ann", 3, 0, NULL);
	ck_assert_int_eq(answer->status, DY_STATUS_NOT_TRIED);
	try_trial();
	make_change(DY_CHANGE_SUBMIT, "bob", 4, 0, "two");
	answer = make_change(DY_CHANGE_PROMOTE, "ann", 5, 0, "one");
	ck_assert_int_eq(answer->status, DY_STATUS_CONFLICT);
	answer = make_change(DY_CHANGE_PROMOTE, "ann", 6, 0, NULL);
	ck_assert_int_eq(answer->status, DY_STATUS_NOT_TRIED);
	make_change(DY_CHANGE_SUBMIT, "bob", 7, 0, "one");
	answer = make_change(DY_CHANGE_PROMOTE, "ann", 8, 0, "one");
	ck_assert_int_eq(answer->status, DY_STATUS_OK);
	ck_assert_mem_eq(dy_registry_document(registry, DY_TRIAL)->digest,
			 dy_registry_document(registry, DY_PRODUCTION)->digest,
			 DY_DIGEST_BYTES);
	ck_assert_uint_eq(dy_registry_document(registry, DY_PRODUCTION)->number,
			  1);
}
END_TEST

/*
 * A promotion is let through while one trial balancer still runs the older
 * document: the newer one was never in force everywhere.
 */
START_TEST(in_force_counts_only_what_live_members_told)
{
	dy_poll_t a = poll_of(DY_MEMBER_BALANCER, "a", "", 1);
	dy_poll_t b = poll_of(DY_MEMBER_AGENT, "b", "readings", 2);
	unsigned in_force;
	unsigned live;

	make_change(DY_CHANGE_SUBMIT, "ann", 1, 0, "one");
	a.document = 1;
	send_poll(&a);
	send_poll(&b);
	dy_registry_count_in_force(registry, DY_TRIAL, &live, &in_force);
	ck_assert(live == 2 && in_force == 1);
	b.document = 1;
	send_poll(&b);
	dy_registry_count_in_force(registry, DY_TRIAL, &live, &in_force);
	ck_assert(live == 2 && in_force == 2);
	dy_registry_restart_leases(registry);
	dy_registry_count_in_force(registry, DY_TRIAL, &live, &in_force);
	ck_assert(live == 2 && in_force == 0);
	mark_member(&a, DY_MARK_SUSPECT);
	mark_member(&b, DY_MARK_SUSPECT);
	dy_registry_count_in_force(registry, DY_TRIAL, &live, &in_force);
	ck_assert_uint_eq(live, 0);
}
END_TEST

static int check_bytes(void *context, const uint8_t *bytes, size_t size,
		       char *message, size_t message_size)
{
	(void)context;
	(void)size;
	g_strlcpy(message, "no service", message_size);
	return bytes[0] != '!';
}

/*
 * Pages of an upload are mixed up, or the document is one that no balancer
 * would take: it is accepted and every balancer drops it, or stops.
 */
START_TEST(damaged_or_wrong_content_is_refused)
{
	const dy_registry_callbacks_t callbacks = { .check = check_bytes };
	dy_command_t command = { .kind = DY_COMMAND_PAGE };
	dy_content_page_t *page = &command.dy_command_t_u.page;
	const dy_change_result_t *answer;
	uint32_t size;

	dy_registry_destroy(registry);
	registry = dy_registry_create(&callbacks);
	answer = make_change(DY_CHANGE_SUBMIT, "ann", 1, 0, "!");
	ck_assert_int_eq(answer->status, DY_STATUS_MALFORMED);
	ck_assert_str_eq(answer->message, "no service");
	page->digest[0] = 7;
	page->size = 3;
	page->bytes.bytes_val = "abc";
	page->bytes.bytes_len = 3;
	fake_registry_apply(registry, &command);
	ck_assert_ptr_null(dy_registry_find_content(
		registry, (uint8_t *)page->digest, &size));
	page->offset = 4294967295U;
	fake_registry_apply(registry, &command);
	ck_assert_uint_eq(dy_registry_document(registry, DY_TRIAL)->number, 0);
}
END_TEST

/* A document of several pages, and many staged ones, in bounded memory. */
START_TEST(contents_are_paged_and_bounded)
{
	char *large = g_strnfill(100000, 'x');
	uint8_t first[DY_DIGEST_BYTES];
	uint8_t digest[DY_DIGEST_BYTES];
	char text[8];
	uint32_t size;
	int i;

	make_change(DY_CHANGE_SUBMIT, "ann", 1, 0, large);
	memcpy(first, dy_registry_document(registry, DY_TRIAL)->digest,
	       sizeof(first));
	for (i = 0; i < 20; i++) {
		snprintf(text, sizeof(text), "%d", i);
		fake_registry_put(registry, text, strlen(text), digest);
	}
	change_leader();
	ck_assert_mem_eq(dy_registry_find_content(registry, first, &size),
			 large, 100000);
	ck_assert_uint_eq(size, 100000);
	ck_assert_ptr_nonnull(
		dy_registry_find_content(registry, digest, &size));
	fake_registry_put(registry, "20", 2, digest);
	fake_registry_put(registry, "21", 2, digest);
	fake_registry_put(registry, "22", 2, digest);
	fake_registry_put(registry, "23", 2, digest);
	make_change(DY_CHANGE_SUBMIT, "ann", 2, 0, "next");
	fake_registry_put(registry, "24", 2, digest);
	fake_registry_put(registry, "25", 2, digest);
	fake_registry_put(registry, "26", 2, digest);
	fake_registry_put(registry, "27", 2, digest);
	ck_assert_ptr_null(dy_registry_find_content(registry, first, &size));
	g_free(large);
}
END_TEST

/*
 * A machine is taken for dead and replaced; the replacement serves under its
 * name, then the old one's network heals. Callers' tokens would name two
 * processes, each with its own record of what ran.
 */
START_TEST(name_passes_on_only_when_its_lease_ran_out)
{
	dy_poll_t older = poll_of(DY_MEMBER_AGENT, "a", "readings", 1);
	dy_poll_t newer = poll_of(DY_MEMBER_AGENT, "a", "readings", 2);

	ck_assert_int_eq(send_poll(&older), DY_STATUS_OK);
	ck_assert_int_eq(send_poll(&newer), DY_STATUS_NAME_TAKEN);
	mark_member(&older, DY_MARK_SUSPECT);
	ck_assert_int_eq(send_poll(&newer), DY_STATUS_OK);
	ck_assert_uint_gt(newer.incarnation, older.incarnation);
	ck_assert_int_eq(send_poll(&older), DY_STATUS_SUPERSEDED);
	older.incarnation = 0;
	older.state_version = 0;
	ck_assert_int_eq(send_poll(&older), DY_STATUS_NAME_TAKEN);
	ck_assert_int_eq(send_poll(&newer), DY_STATUS_OK);
}
END_TEST

/*
 * Two machines start under one name at the same moment: both joins are
 * judged before either is committed, and both would be granted.
 */
START_TEST(one_of_two_joins_under_way_is_granted)
{
	dy_poll_t one = poll_of(DY_MEMBER_AGENT, "a", "readings", 1);
	dy_poll_t two = poll_of(DY_MEMBER_AGENT, "a", "readings", 2);
	dy_command_t first;
	dy_command_t second;
	dy_status_t status;

	dy_registry_judge_poll(registry, &one, &first, &status);
	dy_registry_judge_poll(registry, &two, &second, &status);
	fake_registry_apply(registry, &first);
	fake_registry_apply(registry, &second);
	ck_assert_int_eq(send_poll(&two), DY_STATUS_NAME_TAKEN);
	ck_assert_int_eq(send_poll(&one), DY_STATUS_OK);
	ck_assert_uint_eq(one.incarnation, 1);
}
END_TEST

/*
 * A lost answer to the first poll: the member polls again without an
 * incarnation, and is told that its name is taken, by itself.
 */
START_TEST(resent_join_gets_the_same_incarnation)
{
	dy_poll_t poll = poll_of(DY_MEMBER_AGENT, "a", "readings", 1);
	uint64_t granted;

	send_poll(&poll);
	granted = poll.incarnation;
	poll.incarnation = 0;
	ck_assert_int_eq(send_poll(&poll), DY_STATUS_OK);
	ck_assert_uint_eq(poll.incarnation, granted);
}
END_TEST

/* A slow network costs a lease, not the sessions of the incarnation. */
START_TEST(suspect_that_polls_again_is_back)
{
	dy_poll_t poll = poll_of(DY_MEMBER_AGENT, "a", "readings", 1);
	uint64_t granted;

	send_poll(&poll);
	granted = poll.incarnation;
	mark_member(&poll, DY_MARK_SUSPECT);
	ck_assert_int_eq(send_poll(&poll), DY_STATUS_OK);
	ck_assert_uint_eq(poll.incarnation, granted);
	ck_assert_int_eq(deltas[0].dy_delta_t_u.member.state,
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
	dy_poll_t a = poll_of(DY_MEMBER_AGENT, "a", "readings", 1);
	dy_poll_t b = poll_of(DY_MEMBER_AGENT, "b", "readings", 2);
	dy_member_mark_t mark;

	dy_registry_set_clock(registry, 1000);
	send_poll(&a);
	send_poll(&b);
	dy_registry_set_clock(registry, 50000);
	dy_registry_restart_leases(registry);
	ck_assert(!dy_registry_next_mark(registry, &times, &mark));
	dy_registry_set_clock(registry, 52999);
	send_poll(&b);
	dy_registry_set_clock(registry, 53000);
	ck_assert(dy_registry_next_mark(registry, &times, &mark));
	ck_assert_uint_eq(mark.incarnation, a.incarnation);
	ck_assert_int_eq(mark.mark, DY_MARK_SUSPECT);
	ck_assert(!dy_registry_next_mark(registry, &times, &mark));
	mark.incarnation = a.incarnation;
	mark.id = dy_member_id("trial", DY_MEMBER_AGENT, "a");
	dy_registry_retry_mark(registry, &mark);
	ck_assert(dy_registry_next_mark(registry, &times, &mark));
}
END_TEST

/*
 * An agent hands its sessions over, leaves, and is started again under its
 * name. A caller that paused meanwhile comes with the old token: a balancer
 * that knows only the new incarnation cannot tell where the session went.
 */
START_TEST(successors_of_one_that_left_outlive_its_return)
{
	dy_poll_t balancer = poll_of(DY_MEMBER_BALANCER, "b", "", 9);
	dy_poll_t poll = poll_of(DY_MEMBER_AGENT, "a", "readings", 1);
	dy_poll_t again = poll_of(DY_MEMBER_AGENT, "a", "readings", 2);
	uint64_t successor = 77;
	const dy_member_t *member;

	send_poll(&poll);
	poll.state = DY_MEMBER_LEFT;
	poll.successors.successors_val = &successor;
	poll.successors.successors_len = 1;
	ck_assert_int_eq(send_poll(&poll), DY_STATUS_OK);
	ck_assert_int_eq(send_poll(&poll), DY_STATUS_OK);
	poll.state = DY_MEMBER_SERVING;
	poll.successors.successors_len = 0;
	ck_assert_int_eq(send_poll(&poll), DY_STATUS_SUPERSEDED);
	ck_assert_int_eq(send_poll(&again), DY_STATUS_OK);
	change_leader();
	ck_assert_int_eq(send_poll(&balancer), DY_STATUS_OK);
	ck_assert_uint_eq(count_deltas(DY_DELTA_MEMBER), 2);
	member = &deltas[0].dy_delta_t_u.member;
	ck_assert_int_eq(member->state, DY_MEMBER_LEFT);
	ck_assert_uint_eq(member->incarnation, poll.incarnation);
	ck_assert_uint_eq(member->successors.successors_val[0], 77);
	ck_assert_uint_eq(deltas[1].dy_delta_t_u.member.incarnation,
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
	dy_poll_t maps = poll_of(DY_MEMBER_AGENT, "m", "maps", 1);
	dy_poll_t other = poll_of(DY_MEMBER_AGENT, "o", "readings", 2);
	dy_poll_t agent = poll_of(DY_MEMBER_AGENT, "a", "", 3);

	send_poll(&maps);
	send_poll(&other);
	send_poll(&agent);
	ck_assert_uint_eq(count_deltas(DY_DELTA_MEMBER), 0);
	agent.info.service = "readings";
	send_poll(&agent);
	ck_assert_uint_eq(count_deltas(DY_DELTA_MEMBER), 2);
	send_poll(&maps);
	send_poll(&agent);
	ck_assert_uint_eq(result.deltas.deltas_len, 0);
	agent.info.service = "maps";
	ck_assert_int_eq(send_poll(&agent), DY_STATUS_MALFORMED);
}
END_TEST

/* A heartbeat is one read of the log, whatever the group's size. */
START_TEST(poll_that_changes_nothing_proposes_nothing)
{
	dy_poll_t poll = poll_of(DY_MEMBER_AGENT, "a", "readings", 1);
	unsigned proposed = 0;

	result.deltas.deltas_val = deltas;
	send_poll(&poll);
	poll.document = 3;
	fake_registry_poll(registry, &poll, &result, &proposed);
	ck_assert_uint_eq(proposed, 0);
	poll.info.slots++;
	fake_registry_poll(registry, &poll, &result, &proposed);
	ck_assert_uint_eq(proposed, 1);
}
END_TEST

/*
 * A balancer restarts after hundreds of changes: it is given them page by
 * page, each object once, and then only what changes.
 */
START_TEST(whole_state_comes_in_pages_then_only_changes)
{
	dy_poll_t balancer = poll_of(DY_MEMBER_BALANCER, "b", "", 9);
	unsigned seen[500] = { 0 };
	unsigned pages = 0;
	dy_poll_t poll;
	char name[8];
	unsigned i;

	make_change(DY_CHANGE_ROTATE, "ann", 1, 0, NULL);
	for (i = 0; i < 500; i++) {
		snprintf(name, sizeof(name), "a%u", i);
		poll = poll_of(DY_MEMBER_AGENT, name, "readings", i + 1);
		poll.info.slots = i;
		send_poll(&poll);
		/* Every other one is replaced: two objects in one entry. */
		if (i % 2) {
			mark_member(&poll, DY_MARK_SUSPECT);
			poll.boot += 1000;
			poll.incarnation = 0;
			poll.state_version = 0;
			send_poll(&poll);
		}
	}
	make_change(DY_CHANGE_SUBMIT, "ann", 2, 0, "one");
	do {
		ck_assert_int_eq(send_poll(&balancer), DY_STATUS_OK);
		pages++;
		for (i = 0; i < result.deltas.deltas_len; i++)
			if (deltas[i].kind == DY_DELTA_MEMBER)
				seen[deltas[i]
					     .dy_delta_t_u.member.info.slots]++;
	} while (result.more);
	ck_assert_uint_ge(pages, 12);
	ck_assert_uint_le(pages, 14);
	for (i = 0; i < 500; i++)
		ck_assert_uint_eq(seen[i], 1 + i % 2);
	ck_assert_uint_eq(count_deltas(DY_DELTA_DOCUMENT), 1);
	poll.info.slots = 7777;
	send_poll(&poll);
	send_poll(&balancer);
	ck_assert_uint_eq(result.deltas.deltas_len, 1);
}
END_TEST

/*
 * A process was frozen for a day. Members that ended meanwhile are forgotten
 * here, so nothing would tell it that they are gone: it must start anew.
 */
START_TEST(one_that_missed_forgotten_ends_is_superseded)
{
	dy_poll_t balancer = poll_of(DY_MEMBER_BALANCER, "b", "", 9);
	dy_poll_t poll = poll_of(DY_MEMBER_AGENT, "a", "readings", 1);

	send_poll(&poll);
	send_poll(&balancer);
	poll.state = DY_MEMBER_LEFT;
	send_poll(&poll);
	mark_member(&poll, DY_MARK_FORGET);
	mark_member(&balancer, DY_MARK_SUSPECT);
	mark_member(&balancer, DY_MARK_DEAD);
	mark_member(&balancer, DY_MARK_FORGET);
	ck_assert_int_eq(send_poll(&balancer), DY_STATUS_SUPERSEDED);
	balancer.incarnation = 0;
	ck_assert_int_eq(send_poll(&balancer), DY_STATUS_SUPERSEDED);
	balancer.state_version = 0;
	ck_assert_int_eq(send_poll(&balancer), DY_STATUS_OK);
}
END_TEST

/* A member that restarts without end must not fill the controls' memory. */
START_TEST(records_of_those_gone_are_bounded)
{
	dy_command_t join = { .kind = DY_COMMAND_JOIN };
	dy_poll_t poll = poll_of(DY_MEMBER_AGENT, "a", "readings", 1);
	GByteArray *saved;
	guint sizes[2];
	unsigned i;

	join.dy_command_t_u.join.info = poll.info;
	join.dy_command_t_u.join.state = DY_MEMBER_SERVING;
	for (i = 0; i < 2 * DY_REGISTRY_GONE_MAX; i++) {
		join.dy_command_t_u.join.boot = i + 1;
		fake_registry_apply(registry, &join);
		poll.incarnation = dy_registry_index(registry);
		mark_member(&poll, DY_MARK_SUSPECT);
		if ((i + 1) % DY_REGISTRY_GONE_MAX)
			continue;
		saved = fake_registry_save(registry);
		sizes[i / DY_REGISTRY_GONE_MAX] = saved->len;
		g_byte_array_unref(saved);
	}
	/* The first time one fewer is gone than later. */
	ck_assert_uint_gt(sizes[0], DY_REGISTRY_GONE_MAX * 100);
	ck_assert_uint_le(sizes[1], sizes[0] + 400);
}
END_TEST

/* An operator drains a member, or strikes one whose machine burnt. */
START_TEST(operators_drain_and_remove_by_name)
{
	dy_poll_t poll = poll_of(DY_MEMBER_AGENT, "a", "readings", 1);
	dy_poll_t twin = poll_of(DY_MEMBER_AGENT, "a", "readings", 2);

	ck_assert_int_eq(name_member(DY_CHANGE_DRAIN, 1, "a")->status,
			 DY_STATUS_NOT_FOUND);
	send_poll(&poll);
	ck_assert(!result.drain);
	ck_assert_int_eq(name_member(DY_CHANGE_DRAIN, 2, "a")->status,
			 DY_STATUS_OK);
	change_leader();
	send_poll(&poll);
	ck_assert(result.drain);
	twin.info.environment = "production";
	send_poll(&twin);
	ck_assert_int_eq(name_member(DY_CHANGE_REMOVE, 3, "a")->status,
			 DY_STATUS_CONFLICT);
	twin.state = DY_MEMBER_LEFT;
	send_poll(&twin);
	ck_assert_int_eq(name_member(DY_CHANGE_REMOVE, 4, "a")->status,
			 DY_STATUS_OK);
	ck_assert_int_eq(send_poll(&poll), DY_STATUS_SUPERSEDED);
}
END_TEST

/* Returns the kind of the next step that was due and was taken, or 0. */
static int step_keys(uint64_t now_ms)
{
	const dy_key_times_t times = { 1000, 100, 5000 };
	dy_command_t command = { .kind = DY_COMMAND_KEY };

	dy_registry_set_clock(registry, now_ms);
	if (!dy_registry_next_key_step(registry, &times,
				       &command.dy_command_t_u.key))
		return 0;
	fake_registry_apply(registry, &command);
	return command.dy_command_t_u.key.step;
}

/*
 * A key signs before the last agent has it, or is dropped while a paused
 * caller still holds its token: a session is refused for no fault of its own.
 */
START_TEST(keys_are_distributed_before_and_accepted_after)
{
	ck_assert_int_eq(step_keys(1), DY_KEY_ADD);
	ck_assert_int_eq(step_keys(1), 0);
	ck_assert_int_eq(step_keys(1001), DY_KEY_ADD);
	ck_assert_int_eq(step_keys(1100), 0);
	ck_assert_int_eq(
		make_change(DY_CHANGE_ROTATE, "ann", 1, 0, NULL)->status,
		DY_STATUS_CONFLICT);
	ck_assert_int_eq(step_keys(1101), DY_KEY_ACTIVATE);
	ck_assert_int_eq(step_keys(2000), 0);
	ck_assert_int_eq(step_keys(2101), DY_KEY_ADD);
	ck_assert_int_eq(step_keys(2201), DY_KEY_ACTIVATE);
	ck_assert_int_eq(
		make_change(DY_CHANGE_ROTATE, "ann", 2, 0, NULL)->status,
		DY_STATUS_OK);
	ck_assert_int_eq(step_keys(6100), DY_KEY_ACTIVATE);
	ck_assert_int_eq(step_keys(6100), 0);
	ck_assert_int_eq(step_keys(6101), DY_KEY_RETIRE);
	ck_assert_int_eq(step_keys(6101), 0);
}
END_TEST

static void apply_key_step(dy_key_step_kind_t step, uint32_t id)
{
	dy_command_t command = { .kind = DY_COMMAND_KEY };

	command.dy_command_t_u.key.step = step;
	command.dy_command_t_u.key.id = id;
	fake_registry_apply(registry, &command);
}

/*
 * Two leaders, one after the other, propose the same step of a rotation: the
 * second would retire the key that signs, or bring back an older one.
 */
START_TEST(key_steps_that_come_late_change_nothing)
{
	const dy_registry_key_t *keys;
	unsigned count;

	apply_key_step(DY_KEY_ADD, 0);
	apply_key_step(DY_KEY_RETIRE, 1);
	apply_key_step(DY_KEY_ADD, 0);
	apply_key_step(DY_KEY_ADD, 0);
	apply_key_step(DY_KEY_RETIRE, 2);
	apply_key_step(DY_KEY_ACTIVATE, 2);
	apply_key_step(DY_KEY_ACTIVATE, 1);
	apply_key_step(DY_KEY_ACTIVATE, 9);
	keys = dy_registry_keys(registry, &count);
	ck_assert_uint_eq(count, 2);
	ck_assert(!keys[0].info.active && !keys[0].info.retired);
	ck_assert(keys[1].info.active && !keys[1].info.retired);
}
END_TEST

/* Rotation for ever keeps a bounded number of keys, one of them active. */
START_TEST(keys_are_bounded)
{
	const dy_registry_key_t *keys;
	uint64_t now_ms = 0;
	unsigned active = 0;
	unsigned count;
	unsigned i;

	for (i = 0; i < 4000; i++)
		step_keys(now_ms += 50);
	keys = dy_registry_keys(registry, &count);
	ck_assert_uint_le(count, DY_TOKEN_KEYS_MAX + DY_REGISTRY_RETIRED_MAX);
	for (i = 0; i < count; i++)
		active += !!keys[i].info.active;
	ck_assert_uint_eq(active, 1);
	ck_assert_uint_gt(keys[count - 1].info.id, 100);
}
END_TEST

/* Hostile or broken polls and commands change nothing. */
START_TEST(malformed_input_changes_nothing)
{
	dy_poll_t poll = poll_of(DY_MEMBER_AGENT, "a", "readings", 1);
	uint64_t successor = 1;
	GByteArray *saved;

	poll.info.environment = "staging";
	ck_assert_int_eq(send_poll(&poll), DY_STATUS_MALFORMED);
	poll.info.environment = "trial";
	poll.state = DY_MEMBER_DEAD;
	ck_assert_int_eq(send_poll(&poll), DY_STATUS_MALFORMED);
	poll.state = DY_MEMBER_SERVING;
	poll.successors.successors_len = 1;
	poll.successors.successors_val = &successor;
	ck_assert_int_eq(send_poll(&poll), DY_STATUS_MALFORMED);
	poll.info.kind = 7;
	ck_assert_int_eq(send_poll(&poll), DY_STATUS_MALFORMED);
	dy_registry_apply(registry, "\0\0\0\4trash", 9, 1);
	ck_assert_ptr_null(dy_registry_find_member(
		registry, dy_member_id("trial", DY_MEMBER_AGENT, "a")));
	saved = fake_registry_save(registry);
	g_byte_array_set_size(saved, saved->len - 1);
	ck_assert_ptr_null(fake_registry_load(NULL, saved));
	g_byte_array_unref(saved);
}
END_TEST

/* By seed, against the oracle of fake_registry.h. */
START_TEST(random_run_agrees_with_the_oracle)
{
	GRand *rand = g_rand_new_with_seed((guint32)_i + 1);
	fake_run_t *run = fake_run_create();
	uint8_t choice[4];
	int step;
	int i;

	for (step = 0; step < 4000; step++) {
		for (i = 0; i < 4; i++)
			choice[i] = (uint8_t)g_rand_int(rand);
		fake_run_step(run, choice);
	}
	ck_assert_uint_gt(fake_run_effects(run), 500);
	fake_run_destroy(run);
	g_rand_free(rand);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("registry");
	TCase *tcase = tcase_create("registry");
	SRunner *runner;
	int failures;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, one_of_two_with_the_same_number_wins);
	tcase_add_test(tcase, resent_change_gets_its_first_answer);
	tcase_add_test(tcase, production_takes_only_what_was_tried);
	tcase_add_test(tcase, in_force_counts_only_what_live_members_told);
	tcase_add_test(tcase, damaged_or_wrong_content_is_refused);
	tcase_add_test(tcase, contents_are_paged_and_bounded);
	tcase_add_test(tcase, name_passes_on_only_when_its_lease_ran_out);
	tcase_add_test(tcase, one_of_two_joins_under_way_is_granted);
	tcase_add_test(tcase, resent_join_gets_the_same_incarnation);
	tcase_add_test(tcase, suspect_that_polls_again_is_back);
	tcase_add_test(tcase, new_leader_gives_every_member_a_full_lease);
	tcase_add_test(tcase, successors_of_one_that_left_outlive_its_return);
	tcase_add_test(tcase, agent_sees_its_own_service_once_it_has_one);
	tcase_add_test(tcase, poll_that_changes_nothing_proposes_nothing);
	tcase_add_test(tcase, whole_state_comes_in_pages_then_only_changes);
	tcase_add_test(tcase, one_that_missed_forgotten_ends_is_superseded);
	tcase_add_test(tcase, records_of_those_gone_are_bounded);
	tcase_add_test(tcase, operators_drain_and_remove_by_name);
	tcase_add_test(tcase, keys_are_distributed_before_and_accepted_after);
	tcase_add_test(tcase, key_steps_that_come_late_change_nothing);
	tcase_add_test(tcase, keys_are_bounded);
	tcase_add_test(tcase, malformed_input_changes_nothing);
	tcase_add_loop_test(tcase, random_run_agrees_with_the_oracle, 0, 20);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
