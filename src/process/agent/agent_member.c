#include "agent_private.h"

#include <string.h>

#include "damaskyard/successor.h"

member_t *agent_member_find(const dy_agent_t *agent, uint64_t id)
{
	return g_hash_table_lookup(agent->members, &id);
}

static member_t *get_or_add_member(dy_agent_t *agent, uint64_t id)
{
	member_t *member = agent_member_find(agent, id);

	if (member)
		return member;
	member = g_new0(member_t, 1);
	member->id = id;
	g_hash_table_insert(agent->members, &member->id, member);
	return member;
}

static void add_departed(dy_agent_t *agent, const dy_member_t *from)
{
	departed_t *departed = g_new0(departed_t, 1);

	departed->incarnation = from->incarnation;
	departed->count = MIN(from->successors.successors_len,
			      (unsigned)DY_SUCCESSORS_MAX);
	if (departed->count)
		memcpy(departed->successors, from->successors.successors_val,
		       departed->count * sizeof(uint64_t));
	g_hash_table_replace(agent->departed, &departed->incarnation, departed);
}

static void update_own_state(dy_agent_t *agent, const dy_member_t *from)
{
	if (from->incarnation != agent->incarnation)
		return;
	if (from->state == DY_MEMBER_DRAINING)
		agent->drain_committed = 1;
	if (from->state == DY_MEMBER_LEFT)
		agent->left_committed = 1;
}

void dy_agent_update_member(dy_agent_t *agent, const dy_member_t *from)
{
	member_t *member;

	if (from->state == DY_MEMBER_LEFT)
		add_departed(agent, from);
	if (from->id == agent->id)
		update_own_state(agent, from);
	member = get_or_add_member(agent, from->id);
	if (from->incarnation < member->incarnation)
		return;
	member->incarnation = from->incarnation;
	member->state = from->state;
	member->address = from->info.address;
	member->slots = from->info.slots;
	member->service[0] = '\0';
	if (from->info.kind == DY_MEMBER_AGENT &&
	    !strcmp(from->info.environment, agent->config.environment))
		g_strlcpy(member->service, from->info.service,
			  sizeof(member->service));
}

/*
 * An incarnation is the log index at which it joined. A newer incarnation of
 * the same name proves that the older one has ended or was replaced.
 */
owner_status_t agent_member_owner_status(const dy_agent_t *agent, uint64_t id,
					 uint64_t incarnation)
{
	const member_t *member = agent_member_find(agent, id);

	if (g_hash_table_contains(agent->departed, &incarnation))
		return OWNER_LEFT;
	if (id == agent->id && incarnation < agent->incarnation)
		return OWNER_DEAD;
	if (!member || member->incarnation < incarnation)
		return OWNER_MAYBE_ALIVE;
	if (member->incarnation > incarnation ||
	    member->state == DY_MEMBER_DEAD)
		return OWNER_DEAD;
	return OWNER_MAYBE_ALIVE;
}

/* Maximum number of successive handovers of a session to follow. */
#define SUCCESSOR_CHAIN_MAX 8

static const member_t *find_incarnation(const dy_agent_t *agent,
					uint64_t incarnation)
{
	const member_t *member;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		member = value;
		if (member->incarnation == incarnation)
			return member;
	}
	return NULL;
}

/*
 * Successors are recorded as incarnations, not as member ids. Guards against a
 * reused name: in a rolling restart, an idle flow would be looked up at the
 * next incarnation of an agent that has already handed the flow over.
 */
const member_t *agent_member_current_owner(const dy_agent_t *agent,
					   uint64_t session,
					   uint64_t incarnation)
{
	const departed_t *departed;
	const member_t *member;
	unsigned i;

	for (i = 0; i < SUCCESSOR_CHAIN_MAX; i++) {
		departed = g_hash_table_lookup(agent->departed, &incarnation);
		if (!departed)
			break;
		incarnation = dy_successor_pick(session, departed->successors,
						departed->count);
	}
	member = find_incarnation(agent, incarnation);
	if (!member || member->state == DY_MEMBER_DEAD)
		return NULL;
	return member;
}

unsigned agent_member_choose_successors(const dy_agent_t *agent,
					uint64_t chosen[DY_SUCCESSORS_MAX])
{
	uint64_t *candidates;
	GHashTableIter iter;
	gpointer value;
	unsigned count = 0;

	candidates = g_new(uint64_t, g_hash_table_size(agent->members) + 1);
	g_hash_table_iter_init(&iter, agent->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_t *member = value;

		if (member->id != agent->id &&
		    member->state == DY_MEMBER_SERVING && member->slots &&
		    *member->service &&
		    !strcmp(member->service, agent->target.service))
			candidates[count++] = member->id;
	}
	count = dy_successor_choose(agent->id, candidates, count, chosen);
	g_free(candidates);
	return count;
}
