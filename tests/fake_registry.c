#include "fake_registry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#define CHECK(condition)                                                   \
	do {                                                               \
		if (!(condition)) {                                        \
			fprintf(stderr, "%s:%d: %s\n", __FILE__, __LINE__, \
				#condition);                               \
			abort();                                           \
		}                                                          \
	} while (0)

void fake_registry_apply(dy_registry_t *registry, const dy_command_t *command)
{
	uint32_t size;
	void *data = dy_command_encode(command, &size);

	CHECK(data);
	dy_registry_apply(registry, data, size,
			  dy_registry_index(registry) + 1);
	g_free(data);
}

static void digest_of(const char *bytes, size_t size,
		      uint8_t digest[DY_DIGEST_BYTES])
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize len = DY_DIGEST_BYTES;

	g_checksum_update(checksum, (const guchar *)bytes, (gssize)size);
	g_checksum_get_digest(checksum, digest, &len);
	g_checksum_free(checksum);
}

void fake_registry_put(dy_registry_t *registry, const char *bytes, size_t size,
		       uint8_t digest[DY_DIGEST_BYTES])
{
	dy_command_t command = { .kind = DY_COMMAND_PAGE };
	dy_content_page_t *page = &command.dy_command_t_u.page;
	size_t offset;

	digest_of(bytes, size, digest);
	memcpy(page->digest, digest, DY_DIGEST_BYTES);
	page->size = (u_int)size;
	for (offset = 0; offset < size; offset += DY_CONTENT_PAGE_BYTES) {
		page->offset = (u_int)offset;
		page->bytes.bytes_val = (char *)bytes + offset;
		page->bytes.bytes_len =
			(u_int)MIN(size - offset, DY_CONTENT_PAGE_BYTES);
		fake_registry_apply(registry, &command);
	}
}

dy_status_t fake_registry_poll(dy_registry_t *registry, const dy_poll_t *poll,
			       dy_poll_result_t *result, unsigned *proposed)
{
	dy_command_t command;
	dy_status_t status;
	dy_poll_judgement_t judgement;

	judgement = dy_registry_judge_poll(registry, poll, &command, &status);
	if (judgement == DY_POLL_PROPOSE) {
		fake_registry_apply(registry, &command);
		if (proposed)
			++*proposed;
		judgement = dy_registry_judge_poll(registry, poll, &command,
						   &status);
	}
	if (judgement == DY_POLL_REFUSE)
		return status;
	CHECK(judgement == DY_POLL_ANSWER);
	dy_registry_renew_lease(registry,
				dy_member_id(poll->info.environment,
					     poll->info.kind, poll->info.name),
				poll->document);
	dy_registry_fill_poll(registry, poll, result);
	return DY_STATUS_OK;
}

static int add_bytes(void *context, const void *data, size_t size)
{
	g_byte_array_append(context, data, (guint)size);
	return 0;
}

GByteArray *fake_registry_save(const dy_registry_t *registry)
{
	GByteArray *saved = g_byte_array_new();

	CHECK(!dy_registry_write(registry, add_bytes, saved));
	return saved;
}

typedef struct reading {
	const GByteArray *saved;
	size_t at;
} reading_t;

/* Gives a few bytes at a time, as pieces of a snapshot come. */
static int read_bytes(void *context, void *data, size_t size)
{
	reading_t *reading = context;
	size_t n = MIN(size, 1000);

	n = MIN(n, reading->saved->len - reading->at);
	memcpy(data, reading->saved->data + reading->at, n);
	reading->at += n;
	return (int)n;
}

dy_registry_t *fake_registry_load(const dy_registry_callbacks_t *callbacks,
				  const GByteArray *saved)
{
	dy_registry_t *registry = dy_registry_create(callbacks);
	reading_t reading = { saved, 0 };

	if (!dy_registry_load(registry, read_bytes, &reading))
		return registry;
	dy_registry_destroy(registry);
	return NULL;
}

/* The run. */

#define NAMES 6
#define ACTORS (2 * NAMES)
#define SERVICES 3
#define REQUESTS 8
#define DOCUMENTS 4
#define SEEN_MAX 4096

/* What one process believes; two processes may contend for one name. */
typedef struct actor {
	unsigned name;
	int running;
	uint64_t boot;
	uint64_t incarnation;
	uint64_t version;
	uint64_t document;
	dy_member_state_t state;
	unsigned service;
	uint64_t document_seen;
	GHashTable *view; /* incarnation to state */
} actor_t;

/* What the oracle says of an incarnation. */
typedef struct truth {
	unsigned name;
	uint64_t boot;
	uint64_t incarnation;
	dy_member_state_t state;
	unsigned service;
	int forgotten;
} truth_t;

typedef struct decided {
	int known;
	dy_status_t status;
	uint64_t number;
	uint8_t digest[DY_DIGEST_BYTES];
} decided_t;

struct fake_run {
	dy_registry_t *registry;
	uint64_t now_ms;
	uint64_t next_boot;
	actor_t actors[ACTORS];
	truth_t truths[SEEN_MAX];
	unsigned truth_count;
	uint64_t forgotten;
	uint64_t numbers[DY_ENVIRONMENTS];
	unsigned contents[DY_ENVIRONMENTS];
	uint8_t digests[DOCUMENTS][DY_DIGEST_BYTES];
	int tried[DOCUMENTS];
	decided_t decided[REQUESTS];
	uint32_t request_salt[REQUESTS];
	unsigned effects;
};

static const char *const service_names[] = { "", "readings", "maps" };

/* Even names are agents, odd ones balancers; the last two are production. */
static dy_member_kind_t kind_of(unsigned name)
{
	return name % 2 ? DY_MEMBER_BALANCER : DY_MEMBER_AGENT;
}

static dy_environment_t environment_of(unsigned name)
{
	return name >= NAMES - 2 ? DY_PRODUCTION : DY_TRIAL;
}

static char *name_of(unsigned name)
{
	static char *const names[NAMES] = { "a", "b", "c", "d", "e", "f" };

	return names[name];
}

static const char *bytes_of(unsigned document)
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
		digest_of(bytes_of(i), strlen(bytes_of(i)), run->digests[i]);
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

static truth_t *newest_truth(fake_run_t *run, unsigned name)
{
	unsigned i;

	for (i = run->truth_count; i > 0; i--)
		if (run->truths[i - 1].name == name)
			return run->truths[i - 1].forgotten
				       ? NULL
				       : &run->truths[i - 1];
	return NULL;
}

static int is_over(dy_member_state_t state)
{
	return state == DY_MEMBER_LEFT || state == DY_MEMBER_DEAD;
}

/* Operators. */

static void fill_request(const fake_run_t *run, unsigned request, char *out)
{
	memset(out, 0, 16);
	out[0] = (char)(request + 1);
	memcpy(out + 4, &run->request_salt[request], 4);
}

/* The oracle's own decision, before the registry makes it. */
static void decide(fake_run_t *run, const dy_change_t *change,
		   unsigned document, decided_t *decided)
{
	dy_environment_t environment =
		change->kind == DY_CHANGE_PROMOTE ? DY_PRODUCTION : DY_TRIAL;
	uint64_t current = run->numbers[environment];
	unsigned content = change->kind == DY_CHANGE_PROMOTE
				   ? run->contents[DY_TRIAL]
				   : document;

	decided->known = 1;
	decided->status = DY_STATUS_OK;
	decided->number = current;
	memcpy(decided->digest, run->digests[run->contents[environment]],
	       DY_DIGEST_BYTES);
	if (change->kind == DY_CHANGE_PROMOTE && !run->numbers[DY_TRIAL]) {
		decided->status = DY_STATUS_NOT_FOUND;
	} else if (change->kind == DY_CHANGE_PROMOTE && !run->tried[content]) {
		decided->status = DY_STATUS_NOT_TRIED;
	} else if (change->kind == DY_CHANGE_PROMOTE && current &&
		   run->contents[DY_PRODUCTION] == content) {
		return;
	} else if (change->number && change->number != current + 1) {
		decided->status = DY_STATUS_CONFLICT;
	} else {
		decided->number = ++run->numbers[environment];
		run->contents[environment] = content;
		memcpy(decided->digest, run->digests[content], DY_DIGEST_BYTES);
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
	decided_t *decided = &run->decided[request];
	uint8_t digest[DY_DIGEST_BYTES];

	if (choice[3] & 1) {
		decided->known = 0;
		run->request_salt[request]++;
	}
	fake_registry_put(run->registry, bytes_of(document),
			  strlen(bytes_of(document)), digest);
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
	if (!decided->known)
		decide(run, change, document, decided);
	fake_registry_apply(run->registry, &command);
	answer = dy_registry_find_answer(run->registry, change->request);
	CHECK(answer);
	CHECK(answer->status == decided->status);
	if (decided->status == DY_STATUS_OK ||
	    decided->status == DY_STATUS_CONFLICT) {
		CHECK(answer->number == decided->number);
		if (!decided->number)
			return;
		CHECK(!memcmp(answer->digest, decided->digest,
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

static void name_member(fake_run_t *run, dy_change_kind_t kind, unsigned name)
{
	dy_command_t command = { .kind = DY_COMMAND_CHANGE };
	dy_change_t *change = &command.dy_command_t_u.change.change;
	truth_t *truth = newest_truth(run, name);
	const dy_change_result_t *answer;
	uint64_t index = dy_registry_index(run->registry) + 1;

	change->kind = kind;
	change->operator_name = "o";
	change->environment = (char *)dy_environment_name(environment_of(name));
	change->name = name_of(name);
	change->request[15] = 1;
	memcpy(change->request, &index, sizeof(index));
	fake_registry_apply(run->registry, &command);
	answer = dy_registry_find_answer(run->registry, change->request);
	CHECK(answer);
	if (!truth || is_over(truth->state)) {
		CHECK(answer->status == DY_STATUS_NOT_FOUND);
		return;
	}
	CHECK(answer->status == DY_STATUS_OK);
	CHECK(answer->number == truth->incarnation);
	if (kind == DY_CHANGE_REMOVE)
		truth->state = DY_MEMBER_DEAD;
	run->effects++;
}

/* Members. */

static void fill_poll(const actor_t *actor, dy_poll_t *poll)
{
	memset(poll, 0, sizeof(*poll));
	poll->info.kind = kind_of(actor->name);
	poll->info.name = name_of(actor->name);
	poll->info.environment =
		(char *)dy_environment_name(environment_of(actor->name));
	poll->info.domain = "d1";
	poll->info.service = (char *)service_names[actor->service];
	poll->info.labels = "";
	poll->info.address.port = 1000 + actor->name;
	poll->boot = actor->boot;
	poll->incarnation = actor->incarnation;
	poll->state_version = actor->version;
	poll->document = actor->document;
	poll->state = actor->state;
}

/* What a poll must be answered with, and what it makes of the truth. */
static dy_status_t expect_poll(fake_run_t *run, const actor_t *actor,
			       uint64_t index)
{
	truth_t *truth = newest_truth(run, actor->name);
	int same = truth && truth->boot == actor->boot;

	if (actor->incarnation &&
	    (!same || truth->incarnation != actor->incarnation))
		return DY_STATUS_SUPERSEDED;
	if (actor->incarnation && is_over(truth->state))
		return truth->state == DY_MEMBER_LEFT &&
				       actor->state == DY_MEMBER_LEFT
			       ? DY_STATUS_OK
			       : DY_STATUS_SUPERSEDED;
	if (same && !is_over(truth->state)) {
		if (truth->service && truth->service != actor->service)
			return DY_STATUS_MALFORMED;
		truth->state = actor->state;
		truth->service = actor->service;
		return DY_STATUS_OK;
	}
	if (truth && !is_over(truth->state) &&
	    truth->state != DY_MEMBER_SUSPECT)
		return DY_STATUS_NAME_TAKEN;
	if (same && truth->state == DY_MEMBER_LEFT &&
	    actor->state == DY_MEMBER_LEFT)
		return DY_STATUS_OK;
	if (actor->version && actor->version < run->forgotten)
		return DY_STATUS_SUPERSEDED;
	if (truth && truth->state == DY_MEMBER_SUSPECT)
		truth->state = DY_MEMBER_DEAD;
	if (run->truth_count == SEEN_MAX)
		return DY_STATUS_UNAVAILABLE;
	truth = &run->truths[run->truth_count++];
	truth->name = actor->name;
	truth->boot = actor->boot;
	truth->incarnation = index;
	truth->state = actor->state;
	truth->service = actor->service;
	return DY_STATUS_OK;
}

static void see_member(actor_t *actor, const dy_member_t *member)
{
	uint64_t incarnation = member->incarnation;

	CHECK(member->info.kind == DY_MEMBER_AGENT);
	CHECK(!strcmp(member->info.environment,
		      dy_environment_name(environment_of(actor->name))));
	if (kind_of(actor->name) == DY_MEMBER_AGENT)
		CHECK(!strcmp(member->info.service,
			      service_names[actor->service]));
	g_hash_table_replace(actor->view,
			     g_memdup2(&incarnation, sizeof(incarnation)),
			     GINT_TO_POINTER(member->state));
}

static void see_result(const fake_run_t *run, actor_t *actor,
		       const dy_poll_result_t *result)
{
	dy_environment_t environment = environment_of(actor->name);
	const dy_delta_t *delta;
	unsigned i;

	CHECK(result->state_version >= actor->version);
	CHECK(result->deltas.deltas_len <= DY_DELTAS_MAX);
	CHECK(result->incarnation);
	actor->incarnation = result->incarnation;
	actor->version = result->state_version;
	for (i = 0; i < result->deltas.deltas_len; i++) {
		delta = &result->deltas.deltas_val[i];
		if (delta->kind == DY_DELTA_MEMBER)
			see_member(actor, &delta->dy_delta_t_u.member);
		if (delta->kind != DY_DELTA_DOCUMENT)
			continue;
		CHECK(delta->dy_delta_t_u.document.number >=
		      actor->document_seen);
		actor->document_seen = delta->dy_delta_t_u.document.number;
	}
	if (!result->more)
		CHECK(actor->document_seen == run->numbers[environment]);
}

static int in_view(const actor_t *actor, const truth_t *truth)
{
	return !truth->forgotten && kind_of(truth->name) == DY_MEMBER_AGENT &&
	       environment_of(truth->name) == environment_of(actor->name) &&
	       (kind_of(actor->name) == DY_MEMBER_BALANCER ||
		(actor->service && truth->service == actor->service));
}

/* An actor that is up to date sees exactly what the oracle says it should. */
static void check_view(const fake_run_t *run, const actor_t *actor)
{
	const truth_t *truth;
	unsigned state;
	unsigned i;

	for (i = 0; i < run->truth_count; i++) {
		truth = &run->truths[i];
		state = GPOINTER_TO_INT(
			g_hash_table_lookup(actor->view, &truth->incarnation));
		if (in_view(actor, truth))
			CHECK(state == (unsigned)truth->state);
		/* What is forgotten was told to be over, or never told. */
		if (truth->forgotten)
			CHECK(!state || is_over(state));
	}
}

static void poll(fake_run_t *run, actor_t *actor)
{
	dy_delta_t deltas[DY_DELTAS_MAX];
	dy_poll_result_t result = { 0 };
	dy_status_t expected;
	dy_status_t status;
	dy_poll_t args;

	if (!actor->running || run->truth_count == SEEN_MAX)
		return;
	fill_poll(actor, &args);
	expected =
		expect_poll(run, actor, dy_registry_index(run->registry) + 1);
	result.deltas.deltas_val = deltas;
	status = fake_registry_poll(run->registry, &args, &result, NULL);
	CHECK(status == expected);
	if (status == DY_STATUS_OK) {
		run->effects++;
		see_result(run, actor, &result);
		if (!result.more)
			check_view(run, actor);
	} else if (status == DY_STATUS_SUPERSEDED) {
		actor->running = 0;
	}
}

static void start_actor(fake_run_t *run, actor_t *actor, unsigned service)
{
	actor->running = 1;
	actor->boot = run->next_boot++;
	actor->incarnation = 0;
	actor->version = 0;
	actor->document_seen = 0;
	actor->state = DY_MEMBER_SERVING;
	actor->service = kind_of(actor->name) == DY_MEMBER_AGENT
				 ? service % SERVICES
				 : 0;
	g_hash_table_remove_all(actor->view);
}

static void move_actor(actor_t *actor, unsigned choice)
{
	if (!actor->running)
		return;
	if (choice % 4 == 3 && !actor->service &&
	    kind_of(actor->name) == DY_MEMBER_AGENT)
		actor->service = 1 + choice / 4 % (SERVICES - 1);
	else if (actor->state < DY_MEMBER_LEFT)
		actor->state = 1 + choice % DY_MEMBER_LEFT;
}

static void check_mark(fake_run_t *run, const dy_member_mark_t *mark)
{
	truth_t *truth = NULL;
	unsigned i;

	for (i = 0; i < run->truth_count; i++)
		if (run->truths[i].incarnation == mark->incarnation)
			truth = &run->truths[i];
	CHECK(truth && !truth->forgotten);
	if (mark->mark == DY_MARK_SUSPECT) {
		CHECK(!is_over(truth->state));
		truth->state = DY_MEMBER_SUSPECT;
	} else if (mark->mark == DY_MARK_DEAD) {
		CHECK(truth->state == DY_MEMBER_SUSPECT);
		truth->state = DY_MEMBER_DEAD;
	} else {
		CHECK(is_over(truth->state));
		truth->forgotten = 1;
	}
}

static void note_forgotten(const dy_registry_member_t *member, fake_run_t *run,
			   const dy_member_mark_t *mark)
{
	if (mark->mark == DY_MARK_FORGET &&
	    member->incarnation == mark->incarnation)
		run->forgotten = MAX(run->forgotten, member->changed);
}

typedef struct forgetting {
	fake_run_t *run;
	const dy_member_mark_t *mark;
} forgetting_t;

static void look_at(void *context, const dy_registry_member_t *member)
{
	forgetting_t *forgetting = context;

	note_forgotten(member, forgetting->run, forgetting->mark);
}

static void review_leases(fake_run_t *run)
{
	const dy_lease_times_t times = { 3000, 60000 };
	dy_command_t command = { .kind = DY_COMMAND_MARK };
	dy_member_mark_t *mark = &command.dy_command_t_u.mark;
	forgetting_t forgetting = { run, mark };

	dy_registry_set_clock(run->registry, run->now_ms);
	while (dy_registry_next_mark(run->registry, &times, mark)) {
		check_mark(run, mark);
		dy_registry_each_member(run->registry, look_at, &forgetting);
		fake_registry_apply(run->registry, &command);
		run->effects++;
	}
}

/* The leader looks at leases at least every second. */
static void pass_time(fake_run_t *run, unsigned ms)
{
	uint64_t end_ms = run->now_ms + ms;

	while (run->now_ms < end_ms) {
		run->now_ms = MIN(run->now_ms + 1000, end_ms);
		review_leases(run);
	}
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

/* Nothing may tell a registry that was loaded from its snapshot apart. */
static void reload(fake_run_t *run)
{
	GByteArray *before = fake_registry_save(run->registry);
	GByteArray *after;

	dy_registry_destroy(run->registry);
	run->registry = fake_registry_load(NULL, before);
	CHECK(run->registry);
	dy_registry_set_clock(run->registry, run->now_ms);
	dy_registry_restart_leases(run->registry);
	after = fake_registry_save(run->registry);
	CHECK(before->len == after->len);
	CHECK(!memcmp(before->data, after->data, before->len));
	g_byte_array_unref(before);
	g_byte_array_unref(after);
}

static void apply_noise(fake_run_t *run, const uint8_t *choice)
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
		CHECK(document->number == run->numbers[i]);
		if (!document->number)
			continue;
		CHECK(!memcmp(document->digest, run->digests[run->contents[i]],
			      DY_DIGEST_BYTES));
		CHECK(dy_registry_find_content(run->registry, document->digest,
					       &size));
		CHECK(size == document->size);
	}
	keys = dy_registry_keys(run->registry, &count);
	for (i = 0; i < count; i++)
		active += !!keys[i].info.active;
	CHECK(active == (count ? 1 : 0));
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
		start_actor(run, actor, choice[2]);
		break;
	case 4:
		move_actor(actor, choice[2]);
		break;
	case 5:
		pass_time(run, choice[1] * choice[2]);
		break;
	case 6:
		step_keys(run, choice[1]);
		break;
	case 7:
		name_member(run,
			    choice[2] % 4 ? DY_CHANGE_DRAIN : DY_CHANGE_REMOVE,
			    choice[1] % NAMES);
		break;
	case 8:
		reload(run);
		break;
	case 9:
		apply_noise(run, choice);
		break;
	default:
		poll(run, actor);
		break;
	}
	check_state(run);
}
