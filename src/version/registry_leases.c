/*
 * Leases and reported documents of members, local to the leader.
 * dy_registry_apply() does not depend on them.
 */

#include "registry_private.h"

static dy_registry_member_t *lease_member(dy_list_t *link)
{
	return DY_LIST_ITEM(link, dy_registry_member_t, lease_link);
}

static void restart_leases_in(dy_registry_t *registry, dy_list_t *list)
{
	dy_list_t *pos;

	DY_LIST_EACH(pos, list)
	{
		lease_member(pos)->heard_ms = registry->now_ms;
		lease_member(pos)->document = 0;
		lease_member(pos)->mark_proposed = 0;
		lease_member(pos)->polled = 0;
	}
}

/*
 * A new leader has not received any poll, so without new leases all members
 * would become suspect at once after an election.
 */
void dy_registry_restart_leases(dy_registry_t *registry)
{
	unsigned i;

	restart_leases_in(registry, &registry->live);
	restart_leases_in(registry, &registry->suspect);
	for (i = 0; i < DY_ENVIRONMENTS; i++)
		restart_leases_in(registry, &registry->environments[i].ended);
}

void dy_registry_renew_lease(dy_registry_t *registry, uint64_t id,
			     uint64_t document)
{
	dy_registry_member_t *member = dy_registry_find_member(registry, id);

	if (!member || !dy_member_is_live(member))
		return;
	member->document = document;
	member->polled = 1;
	if (member->state != DY_MEMBER_SUSPECT)
		registry_refresh_lease(registry, member);
}

/* Finds the first member of a list that is due and has no proposed mark. */
static dy_registry_member_t *find_due(const dy_registry_t *registry,
				      dy_list_t *list, uint64_t after_ms)
{
	dy_registry_member_t *member;
	dy_list_t *pos;

	DY_LIST_EACH(pos, list)
	{
		member = lease_member(pos);
		if (member->heard_ms + after_ms > registry->now_ms)
			return NULL;
		if (!member->mark_proposed)
			return member;
	}
	return NULL;
}

static int set_mark(dy_registry_member_t *member, dy_member_mark_t *mark,
		    dy_member_mark_kind_t kind)
{
	if (!member)
		return 0;
	member->mark_proposed = 1;
	mark->id = member->id;
	mark->incarnation = member->incarnation;
	mark->mark = kind;
	return 1;
}

/*
 * The record of an ended member is kept for this many times keep_ms. A member
 * that was disconnected while another one ended would not be told if the
 * record had been dropped, and would route to the ended one forever. A member
 * can return for keep_ms after it became suspect, so after twice that time any
 * member that missed the end is dead too.
 */
#define FORGET_FACTOR 2

int dy_registry_next_mark(dy_registry_t *registry,
			  const dy_lease_times_t *times, dy_member_mark_t *mark)
{
	int i;

	if (set_mark(find_due(registry, &registry->live, times->lease_ms), mark,
		     DY_MARK_SUSPECT) ||
	    set_mark(find_due(registry, &registry->suspect, times->keep_ms),
		     mark, DY_MARK_DEAD))
		return 1;
	for (i = 0; i < DY_ENVIRONMENTS; i++)
		if (set_mark(find_due(registry,
				      &registry->environments[i].ended,
				      FORGET_FACTOR * times->keep_ms),
			     mark, DY_MARK_FORGET))
			return 1;
	return 0;
}

static int retry_mark_in(dy_list_t *list, const dy_member_mark_t *mark)
{
	dy_list_t *pos;

	DY_LIST_EACH(pos, list)
	{
		if (lease_member(pos)->id != mark->id ||
		    lease_member(pos)->incarnation != mark->incarnation)
			continue;
		lease_member(pos)->mark_proposed = 0;
		return 1;
	}
	return 0;
}

void dy_registry_retry_mark(dy_registry_t *registry,
			    const dy_member_mark_t *mark)
{
	int i;

	if (retry_mark_in(&registry->live, mark) ||
	    retry_mark_in(&registry->suspect, mark))
		return;
	for (i = 0; i < DY_ENVIRONMENTS; i++)
		if (retry_mark_in(&registry->environments[i].ended, mark))
			return;
}

void dy_registry_count_in_force(const dy_registry_t *registry,
				dy_environment_t environment, unsigned *live,
				unsigned *in_force)
{
	uint64_t number = registry->environments[environment].document.number;
	dy_registry_member_t *member;
	dy_list_t *pos;

	*live = 0;
	*in_force = 0;
	DY_LIST_EACH(pos, &registry->live)
	{
		member = lease_member(pos);
		if (member->environment != environment)
			continue;
		++*live;
		if (member->document >= number)
			++*in_force;
	}
}

unsigned dy_registry_member_count(const dy_registry_t *registry)
{
	return g_hash_table_size(registry->members);
}
