/*
 * Documents, operators' changes and keys. Members are tested in
 * test_registry_members.c.
 */

#include "damaskyard/registry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "fake_registry.h"
#include "fake_registry_run.h"
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
 * Two operators prepare change 1 at the same time and submit it. If each were
 * accepted as the next number, one of the two documents would be lost.
 */
START_TEST(accepts_one_of_two_changes_with_same_number)
{
	const dy_change_result_t *answer;

	answer = fake_user_change(&user, DY_CHANGE_SUBMIT, "ann", 1, 1, "anns");
	ck_assert_int_eq(answer->status, DY_STATUS_OK);
	answer = fake_user_change(&user, DY_CHANGE_SUBMIT, "bob", 2, 1, "bobs");
	ck_assert_int_eq(answer->status, DY_STATUS_CONFLICT);
	ck_assert_uint_eq(answer->number, 1);
	ck_assert_str_eq(answer->operator_name, "ann");
	ck_assert_mem_eq(answer->digest,
			 dy_registry_document(user.registry, DY_TRIAL)->digest,
			 DY_DIGEST_BYTES);
	answer = fake_user_change(&user, DY_CHANGE_SUBMIT, "bob", 3, 3, "bobs");
	ck_assert_int_eq(answer->status, DY_STATUS_CONFLICT);
	answer = fake_user_change(&user, DY_CHANGE_SUBMIT, "bob", 4, 2, "bobs");
	ck_assert_int_eq(answer->status, DY_STATUS_OK);
}
END_TEST

/*
 * The answer to an operator is lost, and the command retransmits the change to
 * the next leader. The change must not conflict with itself, nor be applied a
 * second time over a newer one of another operator.
 */
START_TEST(retransmitted_change_gets_first_answer)
{
	const dy_change_result_t *answer;

	fake_user_change(&user, DY_CHANGE_SUBMIT, "ann", 1, 0, "anns");
	fake_user_change(&user, DY_CHANGE_SUBMIT, "bob", 2, 0, "bobs");
	fake_user_change_leader(&user);
	answer = fake_user_change(&user, DY_CHANGE_SUBMIT, "ann", 1, 0, "anns");
	ck_assert_int_eq(answer->status, DY_STATUS_OK);
	ck_assert_uint_eq(answer->number, 1);
	ck_assert_uint_eq(dy_registry_document(user.registry, DY_TRIAL)->number,
			  2);
	answer = fake_user_change(&user, DY_CHANGE_SUBMIT, "bob", 3, 1, "x");
	ck_assert_int_eq(answer->status, DY_STATUS_CONFLICT);
	answer = fake_user_change(&user, DY_CHANGE_SUBMIT, "bob", 3, 3, "x");
	ck_assert_int_eq(answer->status, DY_STATUS_CONFLICT);
}
END_TEST

/*
 * Another operator submits a newer document to trial between the trial and the
 * promotion. Production must not get a document that trial never ran.
 */
START_TEST(production_accepts_only_tried_document)
{
	const dy_change_result_t *answer;

	answer = fake_user_change(&user, DY_CHANGE_PROMOTE, "ann", 1, 0, NULL);
	ck_assert_int_eq(answer->status, DY_STATUS_NOT_FOUND);
	fake_user_change(&user, DY_CHANGE_SUBMIT, "ann", 2, 0, "one");
	answer = fake_user_change(&user, DY_CHANGE_PROMOTE, "ann", 3, 0, NULL);
	ck_assert_int_eq(answer->status, DY_STATUS_NOT_TRIED);
	fake_user_mark_tried(&user);
	fake_user_change(&user, DY_CHANGE_SUBMIT, "bob", 4, 0, "two");
	answer = fake_user_change(&user, DY_CHANGE_PROMOTE, "ann", 5, 0, "one");
	ck_assert_int_eq(answer->status, DY_STATUS_CONFLICT);
	answer = fake_user_change(&user, DY_CHANGE_PROMOTE, "ann", 6, 0, NULL);
	ck_assert_int_eq(answer->status, DY_STATUS_NOT_TRIED);
	fake_user_change(&user, DY_CHANGE_SUBMIT, "bob", 7, 0, "one");
	answer = fake_user_change(&user, DY_CHANGE_PROMOTE, "ann", 8, 0, "one");
	ck_assert_int_eq(answer->status, DY_STATUS_OK);
	ck_assert_mem_eq(
		dy_registry_document(user.registry, DY_TRIAL)->digest,
		dy_registry_document(user.registry, DY_PRODUCTION)->digest,
		DY_DIGEST_BYTES);
	ck_assert_uint_eq(
		dy_registry_document(user.registry, DY_PRODUCTION)->number, 1);
}
END_TEST

/*
 * A promotion must wait until the last trial balancer runs the newer document;
 * before that it was not in force everywhere.
 */
START_TEST(in_force_counts_reports_of_live_members)
{
	dy_poll_t a = fake_user_member(DY_MEMBER_BALANCER, "a", "", 1);
	dy_poll_t b = fake_user_member(DY_MEMBER_AGENT, "b", "readings", 2);
	unsigned in_force;
	unsigned live;

	fake_user_change(&user, DY_CHANGE_SUBMIT, "ann", 1, 0, "one");
	a.document = 1;
	fake_user_poll(&user, &a);
	fake_user_poll(&user, &b);
	dy_registry_count_in_force(user.registry, DY_TRIAL, &live, &in_force);
	ck_assert(live == 2 && in_force == 1);
	b.document = 1;
	fake_user_poll(&user, &b);
	dy_registry_count_in_force(user.registry, DY_TRIAL, &live, &in_force);
	ck_assert(live == 2 && in_force == 2);
	dy_registry_restart_leases(user.registry);
	dy_registry_count_in_force(user.registry, DY_TRIAL, &live, &in_force);
	ck_assert(live == 2 && in_force == 0);
	fake_user_mark(&user, &a, DY_MARK_SUSPECT);
	fake_user_mark(&user, &b, DY_MARK_SUSPECT);
	dy_registry_count_in_force(user.registry, DY_TRIAL, &live, &in_force);
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
 * Pages of two uploads are mixed, or no balancer accepts the document. If it
 * were put in force, every balancer would drop it or stop.
 */
START_TEST(refuses_damaged_or_invalid_content)
{
	const dy_registry_callbacks_t callbacks = { .validate = check_bytes };
	dy_command_t command = { .kind = DY_COMMAND_PAGE };
	dy_content_page_t *page = &command.dy_command_t_u.page;
	const dy_change_result_t *answer;
	uint32_t size;

	dy_registry_destroy(user.registry);
	user.registry = dy_registry_create(&callbacks);
	answer = fake_user_change(&user, DY_CHANGE_SUBMIT, "ann", 1, 0, "!");
	ck_assert_int_eq(answer->status, DY_STATUS_MALFORMED);
	ck_assert_str_eq(answer->message, "no service");
	page->digest[0] = 7;
	page->size = 3;
	page->bytes.bytes_val = "abc";
	page->bytes.bytes_len = 3;
	fake_registry_apply(user.registry, &command);
	ck_assert_ptr_null(dy_registry_find_content(
		user.registry, (uint8_t *)page->digest, &size));
	page->offset = 4294967295U;
	fake_registry_apply(user.registry, &command);
	ck_assert_uint_eq(dy_registry_document(user.registry, DY_TRIAL)->number,
			  0);
}
END_TEST

/* Documents of several pages work, and staged ones use bounded memory. */
START_TEST(contents_are_paged_and_bounded)
{
	char *large = g_strnfill(100000, 'x');
	uint8_t first[DY_DIGEST_BYTES];
	uint8_t digest[DY_DIGEST_BYTES];
	char text[8];
	uint32_t size;
	int i;

	fake_user_change(&user, DY_CHANGE_SUBMIT, "ann", 1, 0, large);
	memcpy(first, dy_registry_document(user.registry, DY_TRIAL)->digest,
	       sizeof(first));
	for (i = 0; i < 20; i++) {
		snprintf(text, sizeof(text), "%d", i);
		fake_registry_put(user.registry, text, strlen(text), digest);
	}
	fake_user_change_leader(&user);
	ck_assert_mem_eq(dy_registry_find_content(user.registry, first, &size),
			 large, 100000);
	ck_assert_uint_eq(size, 100000);
	ck_assert_ptr_nonnull(
		dy_registry_find_content(user.registry, digest, &size));
	fake_registry_put(user.registry, "20", 2, digest);
	fake_registry_put(user.registry, "21", 2, digest);
	fake_registry_put(user.registry, "22", 2, digest);
	fake_registry_put(user.registry, "23", 2, digest);
	fake_user_change(&user, DY_CHANGE_SUBMIT, "ann", 2, 0, "next");
	fake_registry_put(user.registry, "24", 2, digest);
	fake_registry_put(user.registry, "25", 2, digest);
	fake_registry_put(user.registry, "26", 2, digest);
	fake_registry_put(user.registry, "27", 2, digest);
	ck_assert_ptr_null(
		dy_registry_find_content(user.registry, first, &size));
	g_free(large);
}
END_TEST

/* Apply the key step that is due at now_ms. Returns its kind, or 0. */
static int step_keys(uint64_t now_ms)
{
	const dy_key_times_t times = { 1000, 100, 5000 };
	dy_command_t command = { .kind = DY_COMMAND_KEY };

	dy_registry_set_clock(user.registry, now_ms);
	if (!dy_registry_next_key_step(user.registry, &times,
				       &command.dy_command_t_u.key))
		return 0;
	fake_registry_apply(user.registry, &command);
	return command.dy_command_t_u.key.step;
}

/*
 * If a key signs before every agent has it, or is dropped while a paused caller
 * still holds its token, a valid session is refused.
 */
START_TEST(keys_are_distributed_before_use_and_retired_late)
{
	const dy_change_result_t *answer;
	unsigned count;

	ck_assert_int_eq(step_keys(1), DY_KEY_ADD);
	ck_assert_int_eq(step_keys(1), 0);
	ck_assert_int_eq(step_keys(1001), DY_KEY_ADD);
	ck_assert_int_eq(step_keys(1100), 0);
	/* A request during a rotation gets the same one. */
	answer = fake_user_change(&user, DY_CHANGE_ROTATE, "ann", 1, 0, NULL);
	ck_assert_int_eq(answer->status, DY_STATUS_OK);
	ck_assert_uint_eq(answer->number, 2);
	dy_registry_keys(user.registry, &count);
	ck_assert_uint_eq(count, 2);
	ck_assert_int_eq(step_keys(1101), DY_KEY_ACTIVATE);
	ck_assert_int_eq(step_keys(2000), 0);
	ck_assert_int_eq(step_keys(2101), DY_KEY_ADD);
	ck_assert_int_eq(step_keys(2201), DY_KEY_ACTIVATE);
	ck_assert_int_eq(
		fake_user_change(&user, DY_CHANGE_ROTATE, "ann", 2, 0, NULL)
			->status,
		DY_STATUS_OK);
	ck_assert_int_eq(step_keys(6100), DY_KEY_ACTIVATE);
	ck_assert_int_eq(step_keys(6100), 0);
	ck_assert_int_eq(step_keys(6101), DY_KEY_RETIRE);
	ck_assert_int_eq(step_keys(6101), 0);
}
END_TEST

/* Returns evacuated of a domain in the last poll's answer, or -1. */
static int last_evacuated(const char *domain)
{
	const dy_domain_info_t *info;
	unsigned i;

	for (i = 0; i < user.result.deltas.deltas_len; i++) {
		if (user.deltas[i].kind != DY_DELTA_DOMAIN)
			continue;
		info = &user.deltas[i].dy_delta_t_u.domain;
		if (!strcmp(info->name, domain))
			return info->evacuated;
	}
	return -1;
}

/* An evacuation must survive its leader and reach every member. */
START_TEST(evacuation_is_announced_and_survives_leader_change)
{
	dy_poll_t poll = fake_user_member(DY_MEMBER_BALANCER, "b1", "", 1);
	const dy_change_result_t *answer;

	poll.skips = DY_TAKES_DOMAINS;
	fake_user_poll(&user, &poll);
	answer = fake_user_change_named(&user, DY_CHANGE_EVACUATE, 1, "d1");
	ck_assert_int_eq(answer->status, DY_STATUS_OK);
	fake_user_poll(&user, &poll);
	ck_assert_int_eq(last_evacuated("d1"), 1);
	fake_user_poll(&user, &poll);
	ck_assert_int_eq(last_evacuated("d1"), -1);
	fake_user_change_leader(&user);
	ck_assert(dy_registry_is_evacuated(user.registry, "d1"));
	poll.state_version = 0;
	fake_user_poll(&user, &poll);
	ck_assert_int_eq(last_evacuated("d1"), 1);
	fake_user_change_named(&user, DY_CHANGE_READMIT, 2, "d1");
	fake_user_poll(&user, &poll);
	ck_assert_int_eq(last_evacuated("d1"), 0);
	ck_assert(!dy_registry_is_evacuated(user.registry, "d1"));
	ck_assert(dy_registry_has_domain(user.registry, "d1"));
	ck_assert(!dy_registry_has_domain(user.registry, "d9"));
}
END_TEST

/* A build without evacuations could not decode the answers to its polls. */
START_TEST(evacuation_is_announced_only_with_capability)
{
	dy_poll_t poll = fake_user_member(DY_MEMBER_BALANCER, "b1", "", 1);

	fake_user_change_named(&user, DY_CHANGE_EVACUATE, 1, "d1");
	fake_user_poll(&user, &poll);
	ck_assert_uint_eq(fake_user_count_deltas(&user, DY_DELTA_DOMAIN), 0);
}
END_TEST

/* A repeated order must not be announced to all members again. */
START_TEST(repeated_evacuation_changes_nothing)
{
	const dy_registry_domain_t *domains;
	uint64_t changed;
	unsigned count;

	fake_user_change_named(&user, DY_CHANGE_EVACUATE, 1, "d1");
	changed = dy_registry_domains(user.registry, &count)->changed;
	fake_user_change_named(&user, DY_CHANGE_EVACUATE, 2, "d1");
	domains = dy_registry_domains(user.registry, &count);
	ck_assert_uint_eq(count, 1);
	ck_assert_uint_eq(domains->changed, changed);
	ck_assert_int_eq(
		fake_user_change_named(&user, DY_CHANGE_READMIT, 3, "d2")
			->status,
		DY_STATUS_OK);
	dy_registry_domains(user.registry, &count);
	ck_assert_uint_eq(count, 1);
}
END_TEST

/* The number of domain records must not grow without limit. */
START_TEST(evacuated_domains_are_bounded)
{
	char name[16];
	unsigned count;
	unsigned i;

	for (i = 0; i < DY_REGISTRY_DOMAINS_MAX; i++) {
		g_snprintf(name, sizeof(name), "d%u", i);
		ck_assert_int_eq(fake_user_change_named(&user,
							DY_CHANGE_EVACUATE,
							(uint8_t)(i + 1), name)
					 ->status,
				 DY_STATUS_OK);
	}
	ck_assert_int_eq(fake_user_change_named(&user, DY_CHANGE_EVACUATE, 200,
						"one more")
				 ->status,
			 DY_STATUS_CONFLICT);
	dy_registry_domains(user.registry, &count);
	ck_assert_uint_eq(count, DY_REGISTRY_DOMAINS_MAX);
}
END_TEST

static void apply_key_step(dy_key_step_kind_t step, uint32_t id)
{
	dy_command_t command = { .kind = DY_COMMAND_KEY };

	command.dy_command_t_u.key.step = step;
	command.dy_command_t_u.key.id = id;
	fake_registry_apply(user.registry, &command);
}

/*
 * Two successive leaders propose the same rotation step. The second step must
 * not retire the active key or activate an older one.
 */
START_TEST(late_key_steps_change_nothing)
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
	keys = dy_registry_keys(user.registry, &count);
	ck_assert_uint_eq(count, 2);
	ck_assert(!keys[0].info.active && !keys[0].info.retired);
	ck_assert(keys[1].info.active && !keys[1].info.retired);
}
END_TEST

/*
 * An operator rotates keys many times within the lifetime of tokens. Each
 * process holds DY_TOKEN_KEYS_MAX keys; with one more, sessions of the oldest
 * key would be refused.
 */
START_TEST(refuses_rotation_above_key_limit)
{
	const dy_change_result_t *answer;
	uint8_t i;

	for (i = 1; i <= DY_TOKEN_KEYS_MAX; i++) {
		answer = fake_user_change(&user, DY_CHANGE_ROTATE, "ann", i, 0,
					  NULL);
		ck_assert_int_eq(answer->status, DY_STATUS_OK);
		ck_assert_uint_eq(answer->number, i);
		apply_key_step(DY_KEY_ACTIVATE, i);
	}
	answer = fake_user_change(&user, DY_CHANGE_ROTATE, "ann", i, 0, NULL);
	ck_assert_int_eq(answer->status, DY_STATUS_CONFLICT);
	apply_key_step(DY_KEY_RETIRE, 1);
	answer = fake_user_change(&user, DY_CHANGE_ROTATE, "ann", i + 1, 0,
				  NULL);
	ck_assert_int_eq(answer->status, DY_STATUS_OK);
}
END_TEST

/* Many rotations keep a bounded number of keys, one of them active. */
START_TEST(keys_are_bounded)
{
	const dy_registry_key_t *keys;
	uint64_t now_ms = 0;
	unsigned active = 0;
	unsigned count;
	unsigned i;

	for (i = 0; i < 4000; i++)
		step_keys(now_ms += 50);
	keys = dy_registry_keys(user.registry, &count);
	ck_assert_uint_le(count, DY_TOKEN_KEYS_MAX + DY_REGISTRY_RETIRED_MAX);
	for (i = 0; i < count; i++)
		active += !!keys[i].info.active;
	ck_assert_uint_eq(active, 1);
	ck_assert_uint_gt(keys[count - 1].info.id, 100);
}
END_TEST

/* Malicious or malformed polls and commands must not change the state. */
START_TEST(malformed_input_changes_nothing)
{
	dy_poll_t poll = fake_user_member(DY_MEMBER_AGENT, "a", "readings", 1);
	uint64_t successor = 1;
	GByteArray *saved;

	poll.info.environment = "staging";
	ck_assert_int_eq(fake_user_poll(&user, &poll), DY_STATUS_MALFORMED);
	poll.info.environment = "trial";
	poll.state = DY_MEMBER_DEAD;
	ck_assert_int_eq(fake_user_poll(&user, &poll), DY_STATUS_MALFORMED);
	poll.state = DY_MEMBER_SERVING;
	poll.successors.successors_len = 1;
	poll.successors.successors_val = &successor;
	ck_assert_int_eq(fake_user_poll(&user, &poll), DY_STATUS_MALFORMED);
	poll.info.kind = 7;
	ck_assert_int_eq(fake_user_poll(&user, &poll), DY_STATUS_MALFORMED);
	dy_registry_apply(user.registry, "\0\0\0\4trash", 9, 1);
	ck_assert_ptr_null(dy_registry_find_member(
		user.registry, dy_member_id("trial", DY_MEMBER_AGENT, "a")));
	saved = fake_registry_save(user.registry);
	g_byte_array_set_size(saved, saved->len - 1);
	ck_assert_ptr_null(fake_registry_load(NULL, saved));
	g_byte_array_unref(saved);
}
END_TEST

/* A random run per seed, compared with the oracle of fake_registry_run.h. */
START_TEST(random_run_matches_oracle)
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
	tcase_add_test(tcase, accepts_one_of_two_changes_with_same_number);
	tcase_add_test(tcase, retransmitted_change_gets_first_answer);
	tcase_add_test(tcase, production_accepts_only_tried_document);
	tcase_add_test(tcase, in_force_counts_reports_of_live_members);
	tcase_add_test(tcase, refuses_damaged_or_invalid_content);
	tcase_add_test(tcase, contents_are_paged_and_bounded);
	tcase_add_test(tcase, keys_are_distributed_before_use_and_retired_late);
	tcase_add_test(tcase, late_key_steps_change_nothing);
	tcase_add_test(tcase, refuses_rotation_above_key_limit);
	tcase_add_test(tcase, keys_are_bounded);
	tcase_add_test(tcase,
		       evacuation_is_announced_and_survives_leader_change);
	tcase_add_test(tcase, evacuation_is_announced_only_with_capability);
	tcase_add_test(tcase, repeated_evacuation_changes_nothing);
	tcase_add_test(tcase, evacuated_domains_are_bounded);
	tcase_add_test(tcase, malformed_input_changes_nothing);
	tcase_add_loop_test(tcase, random_run_matches_oracle, 0, 20);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
