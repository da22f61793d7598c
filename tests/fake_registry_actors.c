#include "fake_registry_actors.h"

#include <string.h>

#include "fake_registry.h"

static const char *const service_names[] = { "", "readings", "maps" };

/* Even names are agents, odd ones balancers; the last two in production. */
static dy_member_kind_t kind_of(unsigned name)
{
	return name % 2 ? DY_MEMBER_BALANCER : DY_MEMBER_AGENT;
}

dy_environment_t fake_actor_environment(unsigned name)
{
	return name >= NAMES - 2 ? DY_PRODUCTION : DY_TRIAL;
}

char *fake_actor_name(unsigned name)
{
	static char *const names[NAMES] = { "a", "b", "c", "d", "e", "f" };

	return names[name];
}

expected_member_t *fake_actor_expected(fake_run_t *run, unsigned name)
{
	unsigned i;

	for (i = run->member_count; i > 0; i--)
		if (run->members[i - 1].name == name)
			return run->members[i - 1].forgotten
				       ? NULL
				       : &run->members[i - 1];
	return NULL;
}

int fake_actor_is_ended(dy_member_state_t state)
{
	return state == DY_MEMBER_LEFT || state == DY_MEMBER_DEAD;
}

static void fill_poll(const actor_t *actor, dy_poll_t *poll)
{
	memset(poll, 0, sizeof(*poll));
	poll->info.kind = kind_of(actor->name);
	poll->info.name = fake_actor_name(actor->name);
	poll->info.environment = (char *)dy_environment_name(
		fake_actor_environment(actor->name));
	poll->info.domain = "d1";
	poll->info.service = (char *)service_names[actor->service];
	poll->info.labels = "";
	poll->info.address.port = actor->port;
	poll->boot = actor->boot;
	poll->incarnation = actor->incarnation;
	poll->state_version = actor->version;
	poll->document = actor->document;
	poll->state = actor->state;
}

/* Returns the expected status of a poll, and updates the oracle. */
static dy_status_t expect_poll(fake_run_t *run, const actor_t *actor,
			       uint64_t index)
{
	expected_member_t *member = fake_actor_expected(run, actor->name);
	int same = member && member->boot == actor->boot;

	if (actor->incarnation &&
	    (!same || member->incarnation != actor->incarnation))
		return DY_STATUS_SUPERSEDED;
	if (actor->incarnation && fake_actor_is_ended(member->state))
		return member->state == DY_MEMBER_LEFT &&
				       actor->state == DY_MEMBER_LEFT
			       ? DY_STATUS_OK
			       : DY_STATUS_SUPERSEDED;
	if (same && !fake_actor_is_ended(member->state)) {
		if (member->service && member->service != actor->service)
			return DY_STATUS_MALFORMED;
		member->state = actor->state;
		member->service = actor->service;
		return DY_STATUS_OK;
	}
	/* A later start at the same address is a restart. */
	if (member && !fake_actor_is_ended(member->state) &&
	    member->state != DY_MEMBER_SUSPECT &&
	    !(member->port == actor->port && actor->boot > member->boot))
		return DY_STATUS_NAME_TAKEN;
	if (same && member->state == DY_MEMBER_LEFT &&
	    actor->state == DY_MEMBER_LEFT)
		return DY_STATUS_OK;
	if (actor->version && actor->version < run->forgotten_index)
		return DY_STATUS_SUPERSEDED;
	if (member && !fake_actor_is_ended(member->state))
		member->state = DY_MEMBER_DEAD;
	if (run->member_count == INCARNATIONS_MAX)
		return DY_STATUS_UNAVAILABLE;
	member = &run->members[run->member_count++];
	member->name = actor->name;
	member->boot = actor->boot;
	member->port = actor->port;
	member->incarnation = index;
	member->state = actor->state;
	member->service = actor->service;
	return DY_STATUS_OK;
}

static void update_view(actor_t *actor, const dy_member_t *member)
{
	uint64_t incarnation = member->incarnation;

	FAKE_REGISTRY_CHECK(member->info.kind == DY_MEMBER_AGENT);
	FAKE_REGISTRY_CHECK(!strcmp(
		member->info.environment,
		dy_environment_name(fake_actor_environment(actor->name))));
	if (kind_of(actor->name) == DY_MEMBER_AGENT)
		FAKE_REGISTRY_CHECK(!strcmp(member->info.service,
					    service_names[actor->service]));
	g_hash_table_replace(actor->view,
			     g_memdup2(&incarnation, sizeof(incarnation)),
			     GINT_TO_POINTER(member->state));
}

static void check_result(const fake_run_t *run, actor_t *actor,
			 const dy_poll_result_t *result)
{
	dy_environment_t environment = fake_actor_environment(actor->name);
	const dy_delta_t *delta;
	unsigned i;

	FAKE_REGISTRY_CHECK(result->state_version >= actor->version);
	FAKE_REGISTRY_CHECK(result->deltas.deltas_len <= DY_DELTAS_MAX);
	FAKE_REGISTRY_CHECK(result->incarnation);
	actor->incarnation = result->incarnation;
	actor->version = result->state_version;
	for (i = 0; i < result->deltas.deltas_len; i++) {
		delta = &result->deltas.deltas_val[i];
		if (delta->kind == DY_DELTA_MEMBER)
			update_view(actor, &delta->dy_delta_t_u.member);
		if (delta->kind != DY_DELTA_DOCUMENT)
			continue;
		FAKE_REGISTRY_CHECK(delta->dy_delta_t_u.document.number >=
				    actor->document_seen);
		actor->document_seen = delta->dy_delta_t_u.document.number;
	}
	if (!result->more)
		FAKE_REGISTRY_CHECK(actor->document_seen ==
				    run->numbers[environment]);
}

static int is_visible(const actor_t *actor, const expected_member_t *member)
{
	return !member->forgotten && kind_of(member->name) == DY_MEMBER_AGENT &&
	       fake_actor_environment(member->name) ==
		       fake_actor_environment(actor->name) &&
	       (kind_of(actor->name) == DY_MEMBER_BALANCER ||
		(actor->service && member->service == actor->service));
}

/* The view of an actor that is up to date must match the oracle. */
static void check_view(const fake_run_t *run, const actor_t *actor)
{
	const expected_member_t *member;
	unsigned state;
	unsigned i;

	for (i = 0; i < run->member_count; i++) {
		member = &run->members[i];
		state = GPOINTER_TO_INT(
			g_hash_table_lookup(actor->view, &member->incarnation));
		if (is_visible(actor, member))
			FAKE_REGISTRY_CHECK(state == (unsigned)member->state);
		/* A dropped record was received as ended, or never. */
		if (member->forgotten)
			FAKE_REGISTRY_CHECK(!state ||
					    fake_actor_is_ended(state));
	}
}

void fake_actor_poll(fake_run_t *run, actor_t *actor)
{
	dy_delta_t deltas[DY_DELTAS_MAX];
	dy_poll_result_t result = { 0 };
	dy_status_t expected;
	dy_status_t status;
	dy_poll_t args;

	if (!actor->running || run->member_count == INCARNATIONS_MAX)
		return;
	fill_poll(actor, &args);
	expected =
		expect_poll(run, actor, dy_registry_index(run->registry) + 1);
	result.deltas.deltas_val = deltas;
	status = fake_registry_poll(run->registry, &args, &result, NULL);
	FAKE_REGISTRY_CHECK(status == expected);
	if (status == DY_STATUS_OK) {
		run->effects++;
		check_result(run, actor, &result);
		if (!result.more)
			check_view(run, actor);
	} else if (status == DY_STATUS_SUPERSEDED) {
		actor->running = 0;
	}
}

void fake_actor_start(fake_run_t *run, actor_t *actor, unsigned service)
{
	actor->running = 1;
	actor->boot = run->next_boot++;
	actor->port = 1000 + (unsigned)(actor - run->actors);
	actor->incarnation = 0;
	actor->version = 0;
	actor->document_seen = 0;
	actor->state = DY_MEMBER_SERVING;
	actor->service = kind_of(actor->name) == DY_MEMBER_AGENT
				 ? service % SERVICES
				 : 0;
	g_hash_table_remove_all(actor->view);
}

void fake_actor_change_state(actor_t *actor, unsigned choice)
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
	expected_member_t *member = NULL;
	unsigned i;

	for (i = 0; i < run->member_count; i++)
		if (run->members[i].incarnation == mark->incarnation)
			member = &run->members[i];
	FAKE_REGISTRY_CHECK(member && !member->forgotten);
	if (mark->mark == DY_MARK_SUSPECT) {
		FAKE_REGISTRY_CHECK(!fake_actor_is_ended(member->state));
		member->state = DY_MEMBER_SUSPECT;
	} else if (mark->mark == DY_MARK_DEAD) {
		FAKE_REGISTRY_CHECK(member->state == DY_MEMBER_SUSPECT);
		member->state = DY_MEMBER_DEAD;
	} else {
		FAKE_REGISTRY_CHECK(fake_actor_is_ended(member->state));
		member->forgotten = 1;
	}
}

static void record_forgotten(const dy_registry_member_t *member,
			     fake_run_t *run, const dy_member_mark_t *mark)
{
	if (mark->mark == DY_MARK_FORGET &&
	    member->incarnation == mark->incarnation)
		run->forgotten_index =
			MAX(run->forgotten_index, member->changed);
}

typedef struct forgetting {
	fake_run_t *run;
	const dy_member_mark_t *mark;
} forgetting_t;

static void on_member(void *context, const dy_registry_member_t *member)
{
	forgetting_t *forgetting = context;

	record_forgotten(member, forgetting->run, forgetting->mark);
}

static void apply_due_marks(fake_run_t *run)
{
	const dy_lease_times_t times = { 3000, 60000 };
	dy_command_t command = { .kind = DY_COMMAND_MARK };
	dy_member_mark_t *mark = &command.dy_command_t_u.mark;
	forgetting_t forgetting = { run, mark };

	dy_registry_set_clock(run->registry, run->now_ms);
	while (dy_registry_next_mark(run->registry, &times, mark)) {
		check_mark(run, mark);
		dy_registry_each_member(run->registry, on_member, &forgetting);
		fake_registry_apply(run->registry, &command);
		run->effects++;
	}
}

void fake_actor_advance_time(fake_run_t *run, unsigned ms)
{
	uint64_t end_ms = run->now_ms + ms;

	while (run->now_ms < end_ms) {
		run->now_ms = MIN(run->now_ms + 1000, end_ms);
		apply_due_marks(run);
	}
}
