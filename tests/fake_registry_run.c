#include "fake_registry_run.h"

#include <string.h>

#include <glib.h>

#include "fake_registry.h"
#include "fake_registry_actors.h"

static const char *document_bytes(unsigned document)
{
	static const char *const bytes[DOCUMENTS] = { "one", "two", "three",
						      "four" };

	return bytes[document];
}

fake_run_t *fake_run_create(void)
{
	fake_run_t *run = g_new0(fake_run_t, 1);
	unsigned i;

	run->registry = dy_registry_create(NULL);
	run->next_boot = 1;
	for (i = 0; i < ACTORS; i++) {
		run->actors[i].name = i % NAMES;
		run->actors[i].view = g_hash_table_new_full(
			g_int64_hash, g_int64_equal, g_free, NULL);
	}
	for (i = 0; i < DOCUMENTS; i++)
		fake_registry_digest(document_bytes(i),
				     strlen(document_bytes(i)),
				     run->digests[i]);
	return run;
}

void fake_run_destroy(fake_run_t *run)
{
	int i;

	for (i = 0; i < ACTORS; i++)
		g_hash_table_destroy(run->actors[i].view);
	dy_registry_destroy(run->registry);
	g_free(run);
}

unsigned fake_run_effects(const fake_run_t *run)
{
	return run->effects;
}

static void fill_request(const fake_run_t *run, unsigned request, char *out)
{
	memset(out, 0, 16);
	out[0] = (char)(request + 1);
	memcpy(out + 4, &run->request_salt[request], 4);
}

/* Computes the expected answer before the registry decides. */
static void expect_change(fake_run_t *run, const dy_change_t *change,
			  unsigned document, expected_answer_t *expected)
{
	dy_environment_t environment =
		change->kind == DY_CHANGE_PROMOTE ? DY_PRODUCTION : DY_TRIAL;
	uint64_t current = run->numbers[environment];
	unsigned content = change->kind == DY_CHANGE_PROMOTE
				   ? run->contents[DY_TRIAL]
				   : document;

	expected->known = 1;
	expected->status = DY_STATUS_OK;
	expected->number = current;
	memcpy(expected->digest, run->digests[run->contents[environment]],
	       DY_DIGEST_BYTES);
	if (change->kind == DY_CHANGE_PROMOTE && !run->numbers[DY_TRIAL]) {
		expected->status = DY_STATUS_NOT_FOUND;
	} else if (change->kind == DY_CHANGE_PROMOTE && !run->tried[content]) {
		expected->status = DY_STATUS_NOT_TRIED;
	} else if (change->kind == DY_CHANGE_PROMOTE && current &&
		   run->contents[DY_PRODUCTION] == content) {
		return;
	} else if (change->number && change->number != current + 1) {
		expected->status = DY_STATUS_CONFLICT;
	} else {
		expected->number = ++run->numbers[environment];
		run->contents[environment] = content;
		memcpy(expected->digest, run->digests[content],
		       DY_DIGEST_BYTES);
		run->effects++;
	}
}

static void change_document(fake_run_t *run, dy_change_kind_t kind,
			    const uint8_t *choice)
{
	dy_command_t command = { .kind = DY_COMMAND_CHANGE };
	dy_change_t *change = &command.dy_command_t_u.change.change;
	unsigned document = choice[1] % DOCUMENTS;
	unsigned request = choice[2] % REQUESTS;
	dy_environment_t environment =
		kind == DY_CHANGE_PROMOTE ? DY_PRODUCTION : DY_TRIAL;
	const dy_change_result_t *answer;
	expected_answer_t *expected = &run->answers[request];
	uint8_t digest[DY_DIGEST_BYTES];

	if (choice[3] & 1) {
		expected->known = 0;
		run->request_salt[request]++;
	}
	fake_registry_put(run->registry, document_bytes(document),
			  strlen(document_bytes(document)), digest);
	change->kind = kind;
	change->operator_name = "o";
	change->environment = kind == DY_CHANGE_SUBMIT ? "trial" : "";
	change->name = "";
	if (choice[3] & 2)
		change->number = run->numbers[environment] + (choice[3] >> 6);
	memcpy(change->digest, digest, DY_DIGEST_BYTES);
	if (kind == DY_CHANGE_PROMOTE)
		memset(change->digest, 0, DY_DIGEST_BYTES);
	fill_request(run, request, change->request);
	if (!expected->known)
		expect_change(run, change, document, expected);
	fake_registry_apply(run->registry, &command);
	answer = dy_registry_find_answer(run->registry, change->request);
	FAKE_REGISTRY_CHECK(answer);
	FAKE_REGISTRY_CHECK(answer->status == expected->status);
	if (expected->status == DY_STATUS_OK ||
	    expected->status == DY_STATUS_CONFLICT) {
		FAKE_REGISTRY_CHECK(answer->number == expected->number);
		if (!expected->number)
			return;
		FAKE_REGISTRY_CHECK(!memcmp(answer->digest, expected->digest,
					    DY_DIGEST_BYTES));
	}
}

static void try_document(fake_run_t *run)
{
	dy_command_t command = { .kind = DY_COMMAND_TRIED };
	unsigned content = run->contents[DY_TRIAL];

	memcpy(command.dy_command_t_u.tried.digest, run->digests[content],
	       DY_DIGEST_BYTES);
	fake_registry_apply(run->registry, &command);
	if (run->numbers[DY_TRIAL])
		run->tried[content] = 1;
}

static void change_member(fake_run_t *run, dy_change_kind_t kind, unsigned name)
{
	dy_command_t command = { .kind = DY_COMMAND_CHANGE };
	dy_change_t *change = &command.dy_command_t_u.change.change;
	expected_member_t *member = fake_actor_expected(run, name);
	const dy_change_result_t *answer;
	uint64_t index = dy_registry_index(run->registry) + 1;

	change->kind = kind;
	change->operator_name = "o";
	change->environment =
		(char *)dy_environment_name(fake_actor_environment(name));
	change->name = fake_actor_name(name);
	change->request[15] = 1;
	memcpy(change->request, &index, sizeof(index));
	fake_registry_apply(run->registry, &command);
	answer = dy_registry_find_answer(run->registry, change->request);
	FAKE_REGISTRY_CHECK(answer);
	if (!member || fake_actor_is_ended(member->state)) {
		FAKE_REGISTRY_CHECK(answer->status == DY_STATUS_NOT_FOUND);
		return;
	}
	FAKE_REGISTRY_CHECK(answer->status == DY_STATUS_OK);
	FAKE_REGISTRY_CHECK(answer->number == member->incarnation);
	if (kind == DY_CHANGE_REMOVE)
		member->state = DY_MEMBER_DEAD;
	run->effects++;
}

static void step_keys(fake_run_t *run, uint8_t salt)
{
	const dy_key_times_t times = { 5000, 1000, 9000 };
	dy_command_t command = { .kind = DY_COMMAND_KEY };
	dy_key_step_t *step = &command.dy_command_t_u.key;

	if (!dy_registry_next_key_step(run->registry, &times, step))
		return;
	memset(step->salt, salt, sizeof(step->salt));
	fake_registry_apply(run->registry, &command);
	run->effects++;
}

/* A registry loaded from a snapshot must write the same snapshot. */
static void reload_snapshot(fake_run_t *run)
{
	GByteArray *before = fake_registry_save(run->registry);
	GByteArray *after;

	dy_registry_destroy(run->registry);
	run->registry = fake_registry_load(NULL, before);
	FAKE_REGISTRY_CHECK(run->registry);
	dy_registry_set_clock(run->registry, run->now_ms);
	dy_registry_restart_leases(run->registry);
	after = fake_registry_save(run->registry);
	FAKE_REGISTRY_CHECK(before->len == after->len);
	FAKE_REGISTRY_CHECK(!memcmp(before->data, after->data, before->len));
	g_byte_array_unref(before);
	g_byte_array_unref(after);
}

static void apply_malformed(fake_run_t *run, const uint8_t *choice)
{
	uint8_t data[8] = { 0, 0, 0, choice[1], choice[2], choice[3], 0, 0 };

	dy_registry_apply(run->registry, data, sizeof(data),
			  dy_registry_index(run->registry) + 1);
}

static void check_state(const fake_run_t *run)
{
	const dy_registry_document_t *document;
	const dy_registry_key_t *keys;
	unsigned active = 0;
	uint32_t size;
	unsigned count;
	unsigned i;

	for (i = 0; i < DY_ENVIRONMENTS; i++) {
		document = dy_registry_document(run->registry, i);
		FAKE_REGISTRY_CHECK(document->number == run->numbers[i]);
		if (!document->number)
			continue;
		FAKE_REGISTRY_CHECK(!memcmp(document->digest,
					    run->digests[run->contents[i]],
					    DY_DIGEST_BYTES));
		FAKE_REGISTRY_CHECK(dy_registry_find_content(
			run->registry, document->digest, &size));
		FAKE_REGISTRY_CHECK(size == document->size);
	}
	keys = dy_registry_keys(run->registry, &count);
	for (i = 0; i < count; i++)
		active += !!keys[i].info.active;
	FAKE_REGISTRY_CHECK(active == (count ? 1 : 0));
}

void fake_run_step(fake_run_t *run, const uint8_t choice[4])
{
	actor_t *actor = &run->actors[choice[1] % ACTORS];

	switch (choice[0] % 12) {
	case 0:
		change_document(run, DY_CHANGE_SUBMIT, choice);
		break;
	case 1:
		change_document(run, DY_CHANGE_PROMOTE, choice);
		break;
	case 2:
		try_document(run);
		break;
	case 3:
		fake_actor_start(run, actor, choice[2]);
		break;
	case 4:
		fake_actor_change_state(actor, choice[2]);
		break;
	case 5:
		fake_actor_advance_time(run, choice[1] * choice[2]);
		break;
	case 6:
		step_keys(run, choice[1]);
		break;
	case 7:
		change_member(
			run, choice[2] % 4 ? DY_CHANGE_DRAIN : DY_CHANGE_REMOVE,
			choice[1] % NAMES);
		break;
	case 8:
		reload_snapshot(run);
		break;
	case 9:
		apply_malformed(run, choice);
		break;
	default:
		fake_actor_poll(run, actor);
		break;
	}
	check_state(run);
}
