#include <string.h>

#include "damaskyard/invariant.h"
#include "registry_private.h"

const char *dy_member_state_name(uint32_t state)
{
	static const char *const names[] = { "none",	 "joining", "serving",
					     "draining", "left",    "suspect",
					     "dead" };

	return state <= DY_MEMBER_DEAD ? names[state] : "unknown";
}

size_t dy_registry_member_bytes(void)
{
	return sizeof(dy_registry_member_t);
}

int dy_member_is_live(const dy_registry_member_t *member)
{
	return member->state != DY_MEMBER_LEFT &&
	       member->state != DY_MEMBER_DEAD;
}

static void emit_member_event(const dy_registry_t *registry,
			      dy_registry_event_t event,
			      const dy_registry_member_t *member)
{
	registry_emit_event(registry, event,
			    dy_environment_name(member->environment),
			    member->name, member->incarnation);
}

int registry_info_is_valid(const dy_member_info_t *info)
{
	if (info->kind != DY_MEMBER_BALANCER && info->kind != DY_MEMBER_AGENT)
		return 0;
	if (dy_environment_find(info->environment) < 0 || !*info->name)
		return 0;
	return info->address.port <= UINT16_MAX &&
	       (info->kind == DY_MEMBER_AGENT || !*info->service);
}

static uint64_t info_id(const dy_member_info_t *info)
{
	return dy_member_id(info->environment, info->kind, info->name);
}

dy_registry_member_t *dy_registry_find_member(const dy_registry_t *registry,
					      uint64_t id)
{
	return g_hash_table_lookup(registry->members, &id);
}

int registry_find_named(const dy_registry_t *registry, const char *environment,
			const char *name, dy_registry_member_t **found)
{
	dy_registry_member_t *member;
	int matches = 0;
	int kind;
	int i;

	for (i = 0; i < DY_ENVIRONMENTS; i++) {
		if (*environment &&
		    strcmp(environment, dy_environment_name(i)) != 0)
			continue;
		for (kind = DY_MEMBER_BALANCER; kind <= DY_MEMBER_AGENT;
		     kind++) {
			member = dy_registry_find_member(
				registry, dy_member_id(dy_environment_name(i),
						       kind, name));
			if (!member || !dy_member_is_live(member))
				continue;
			*found = member;
			matches++;
		}
	}
	return matches > 1 ? -1 : matches;
}

static service_t *keep_service(environment_t *environment, char *name)
{
	service_t *service = g_hash_table_lookup(environment->services, name);

	if (service)
		return service;
	service = g_new0(service_t, 1);
	dy_list_init(&service->members);
	service->name = g_ref_string_acquire(name);
	g_hash_table_insert(environment->services, service->name, service);
	return service;
}

static void remove_from_service(environment_t *environment,
				dy_registry_member_t *member)
{
	service_t *service;

	if (member->kind != DY_MEMBER_AGENT)
		return;
	dy_list_remove(&member->service_link);
	service = g_hash_table_lookup(environment->services, member->service);
	if (service && dy_list_empty(&service->members))
		g_hash_table_remove(environment->services, member->service);
}

/* Moves a member to the end of the lists ordered by change. */
static void record_change(dy_registry_t *registry, dy_registry_member_t *member,
			  uint64_t index)
{
	environment_t *environment =
		&registry->environments[member->environment];

	dy_assert(index >= member->changed);
	member->changed = index;
	dy_list_remove(&member->environment_link);
	dy_list_append(&environment->members, &member->environment_link);
	if (member->kind != DY_MEMBER_AGENT)
		return;
	dy_list_remove(&member->service_link);
	dy_list_append(&keep_service(environment, member->service)->members,
		       &member->service_link);
}

void registry_free_member(dy_registry_member_t *member)
{
	g_ref_string_release(member->domain);
	g_ref_string_release(member->service);
	g_ref_string_release(member->labels);
	g_free(member->successors);
	g_free(member);
}

/* Removes the record of an ended member. */
static void forget_member(dy_registry_t *registry, dy_registry_member_t *member)
{
	environment_t *environment =
		&registry->environments[member->environment];

	dy_assert(!dy_member_is_live(member));
	emit_member_event(registry, DY_EVENT_MEMBER_FORGOTTEN, member);
	registry->forgotten_index =
		MAX(registry->forgotten_index, member->changed);
	if (member->current)
		g_hash_table_remove(registry->members, &member->id);
	environment->ended_count--;
	dy_list_remove(&member->lease_link);
	dy_list_remove(&member->environment_link);
	remove_from_service(environment, member);
	registry_free_member(member);
}

void registry_refresh_lease(dy_registry_t *registry,
			    dy_registry_member_t *member)
{
	environment_t *environment =
		&registry->environments[member->environment];
	dy_list_t *list = &registry->live;

	if (member->state == DY_MEMBER_SUSPECT)
		list = &registry->suspect;
	else if (!dy_member_is_live(member))
		list = &environment->ended;
	member->heard_ms = registry->now_ms;
	member->mark_proposed = 0;
	dy_list_remove(&member->lease_link);
	dy_list_append(list, &member->lease_link);
}

/*
 * Sets a final state. The number of ended records is bounded, so that many
 * restarts cannot exhaust the memory.
 */
static void end_member(dy_registry_t *registry, dy_registry_member_t *member,
		       dy_member_state_t state)
{
	environment_t *environment =
		&registry->environments[member->environment];

	member->state = state;
	member->drain = 0;
	environment->ended_count++;
	record_change(registry, member, registry->index);
	registry_refresh_lease(registry, member);
	if (environment->ended_count > DY_REGISTRY_ENDED_MAX)
		forget_member(registry,
			      DY_LIST_ITEM(environment->ended.next,
					   dy_registry_member_t, lease_link));
}

void registry_declare_dead(dy_registry_t *registry,
			   dy_registry_member_t *member)
{
	emit_member_event(registry, DY_EVENT_MEMBER_DEAD, member);
	end_member(registry, member, DY_MEMBER_DEAD);
}

static void store_info(dy_registry_member_t *member,
		       const dy_member_info_t *info)
{
	char *old[] = { member->domain, member->service, member->labels };
	size_t i;

	member->domain = g_ref_string_new_intern(info->domain);
	member->service = g_ref_string_new_intern(info->service);
	member->labels = g_ref_string_new_intern(info->labels);
	for (i = 0; i < G_N_ELEMENTS(old); i++)
		if (old[i])
			g_ref_string_release(old[i]);
	memcpy(member->ip, info->address.ip, DY_IP_BYTES);
	member->port = (uint16_t)info->address.port;
	member->slots = info->slots;
	member->connections = info->connections;
}

static void store_successors(dy_registry_member_t *member,
			     const uint64_t *successors, unsigned count)
{
	g_clear_pointer(&member->successors, g_free);
	member->successor_count = (uint8_t)count;
	if (count)
		member->successors =
			g_memdup2(successors, count * sizeof(*successors));
}

/* Creates a record that is in no list or table yet. */
static dy_registry_member_t *create_member(const dy_member_info_t *info,
					   uint64_t boot, uint64_t incarnation)
{
	size_t name_size = strlen(info->name) + 1;
	dy_registry_member_t *member;

	member = g_malloc0(sizeof(*member) + name_size);
	memcpy(member->name, info->name, name_size);
	member->id = info_id(info);
	member->incarnation = incarnation;
	member->boot = boot;
	member->kind = (uint8_t)info->kind;
	member->environment = (uint8_t)dy_environment_find(info->environment);
	store_info(member, info);
	dy_list_init(&member->environment_link);
	dy_list_init(&member->service_link);
	dy_list_init(&member->lease_link);
	return member;
}

static void add_member(dy_registry_t *registry, dy_registry_member_t *member)
{
	dy_registry_member_t *old =
		dy_registry_find_member(registry, member->id);

	if (old) {
		dy_assert(!dy_member_is_live(old));
		dy_assert(old->incarnation < member->incarnation);
		old->current = 0;
	}
	member->current = 1;
	/* The key is part of the record: replace both. */
	g_hash_table_replace(registry->members, &member->id, member);
}

int registry_is_restart(const dy_registry_member_t *member,
			const dy_member_info_t *info, uint64_t boot)
{
	return boot > member->boot && info->address.port &&
	       member->port == info->address.port &&
	       !memcmp(member->ip, info->address.ip, DY_IP_BYTES);
}

/*
 * Two processes must not serve under one name, as when a VM is considered dead
 * and replaced. Unless it is a restart of the older process, the newer one may
 * join only after the older one's lease expired (SUSPECT), and then the older
 * incarnation is marked dead for good.
 */
void registry_apply_join(dy_registry_t *registry, const dy_member_join_t *join)
{
	dy_registry_member_t *member;
	dy_registry_member_t *old;

	if (!registry_info_is_valid(&join->info) ||
	    join->state < DY_MEMBER_JOINING || join->state > DY_MEMBER_LEFT)
		return;
	old = dy_registry_find_member(registry, info_id(&join->info));
	if (old && dy_member_is_live(old) && old->boot == join->boot)
		return;
	if (old && dy_member_is_live(old) && old->state != DY_MEMBER_SUSPECT &&
	    !registry_is_restart(old, &join->info, join->boot)) {
		emit_member_event(registry, DY_EVENT_MEMBER_REFUSED, old);
		return;
	}
	if (old && dy_member_is_live(old))
		registry_declare_dead(registry, old);
	member = create_member(&join->info, join->boot, registry->index);
	add_member(registry, member);
	emit_member_event(registry, DY_EVENT_MEMBER_JOINED, member);
	if (join->state == DY_MEMBER_LEFT) {
		end_member(registry, member, DY_MEMBER_LEFT);
		return;
	}
	member->state = (uint8_t)join->state;
	record_change(registry, member, registry->index);
	registry_refresh_lease(registry, member);
}

static dy_registry_event_t update_event(unsigned before, unsigned after)
{
	if (after == DY_MEMBER_LEFT)
		return DY_EVENT_MEMBER_LEFT;
	if (before == DY_MEMBER_SUSPECT)
		return DY_EVENT_MEMBER_BACK;
	if (after == DY_MEMBER_DRAINING && before != after)
		return DY_EVENT_MEMBER_DRAINING;
	return DY_EVENT_MEMBER_CHANGED;
}

void registry_apply_update(dy_registry_t *registry,
			   const dy_member_update_t *update)
{
	dy_registry_member_t *member;

	if (!registry_info_is_valid(&update->info) ||
	    update->state < DY_MEMBER_JOINING || update->state > DY_MEMBER_LEFT)
		return;
	member = dy_registry_find_member(registry, info_id(&update->info));
	if (!member || member->incarnation != update->incarnation ||
	    !dy_member_is_live(member))
		return;
	if (*member->service && strcmp(member->service, update->info.service))
		return;
	emit_member_event(registry, update_event(member->state, update->state),
			  member);
	remove_from_service(&registry->environments[member->environment],
			    member);
	store_info(member, &update->info);
	store_successors(member, update->successors.successors_val,
			 update->successors.successors_len);
	if (update->state == DY_MEMBER_LEFT) {
		end_member(registry, member, DY_MEMBER_LEFT);
		return;
	}
	member->state = (uint8_t)update->state;
	record_change(registry, member, registry->index);
	registry_refresh_lease(registry, member);
}

/* Finds an ended record, which may not be the newest of its name. */
static dy_registry_member_t *find_ended(const dy_registry_t *registry,
					const dy_member_mark_t *mark)
{
	dy_registry_member_t *member;
	dy_list_t *pos;
	int i;

	for (i = 0; i < DY_ENVIRONMENTS; i++) {
		DY_LIST_EACH(pos, &registry->environments[i].ended)
		{
			member = DY_LIST_ITEM(pos, dy_registry_member_t,
					      lease_link);
			if (member->id == mark->id &&
			    member->incarnation == mark->incarnation)
				return member;
		}
	}
	return NULL;
}

static void mark_suspect(dy_registry_t *registry, dy_registry_member_t *member)
{
	emit_member_event(registry, DY_EVENT_MEMBER_SUSPECT, member);
	member->state = DY_MEMBER_SUSPECT;
	record_change(registry, member, registry->index);
	registry_refresh_lease(registry, member);
}

void registry_apply_mark(dy_registry_t *registry, const dy_member_mark_t *mark)
{
	dy_registry_member_t *member;

	if (mark->mark == DY_MARK_FORGET) {
		member = find_ended(registry, mark);
		if (member)
			forget_member(registry, member);
		return;
	}
	member = dy_registry_find_member(registry, mark->id);
	if (!member || member->incarnation != mark->incarnation ||
	    !dy_member_is_live(member))
		return;
	if (mark->mark == DY_MARK_DEAD && member->state == DY_MEMBER_SUSPECT)
		registry_declare_dead(registry, member);
	else if (mark->mark == DY_MARK_SUSPECT &&
		 member->state != DY_MEMBER_SUSPECT)
		mark_suspect(registry, member);
}

void registry_restore_member(dy_registry_t *registry,
			     const dy_saved_member_t *saved)
{
	const dy_member_t *source = &saved->member;
	dy_registry_member_t *member;

	member = create_member(&source->info, saved->boot, source->incarnation);
	member->state = (uint8_t)source->state;
	member->drain = !!saved->drain;
	store_successors(member, (uint64_t *)source->successors.successors_val,
			 source->successors.successors_len);
	if (saved->current) {
		member->current = 1;
		g_hash_table_replace(registry->members, &member->id, member);
	}
	if (!dy_member_is_live(member))
		registry->environments[member->environment].ended_count++;
	record_change(registry, member, saved->changed);
	registry_refresh_lease(registry, member);
}

void registry_drop_members(dy_registry_t *registry)
{
	dy_registry_member_t *member;
	environment_t *environment;
	dy_list_t *pos;
	dy_list_t *tmp;
	int i;

	g_hash_table_remove_all(registry->members);
	for (i = 0; i < DY_ENVIRONMENTS; i++) {
		environment = &registry->environments[i];
		DY_LIST_EACH_SAFE(pos, tmp, &environment->members)
		{
			member = DY_LIST_ITEM(pos, dy_registry_member_t,
					      environment_link);
			registry_free_member(member);
		}
		dy_list_init(&environment->members);
		dy_list_init(&environment->ended);
		environment->ended_count = 0;
		g_hash_table_remove_all(environment->services);
	}
	dy_list_init(&registry->live);
	dy_list_init(&registry->suspect);
}

void registry_fill_member(const dy_registry_member_t *member, dy_member_t *out)
{
	out->id = member->id;
	out->incarnation = member->incarnation;
	out->state = member->state;
	out->info.kind = member->kind;
	out->info.name = (char *)member->name;
	out->info.environment =
		(char *)dy_environment_name(member->environment);
	out->info.domain = member->domain;
	memcpy(out->info.address.ip, member->ip, DY_IP_BYTES);
	out->info.address.port = member->port;
	out->info.service = member->service;
	out->info.labels = member->labels;
	out->info.slots = member->slots;
	out->info.connections = member->connections;
	out->successors.successors_len = member->successor_count;
	out->successors.successors_val = (void *)member->successors;
}

void dy_registry_each_member(const dy_registry_t *registry,
			     dy_registry_each_cb_t *each, void *context)
{
	dy_list_t *pos;
	int i;

	for (i = 0; i < DY_ENVIRONMENTS; i++)
		DY_LIST_EACH(pos, &registry->environments[i].members)
	each(context,
	     DY_LIST_ITEM(pos, dy_registry_member_t, environment_link));
}
