/*
 * Members' polls: how the leader handles them, and the changes that it answers
 * with.
 */

#include <stdlib.h>
#include <string.h>

#include "registry_private.h"

static int is_valid(const dy_poll_t *poll)
{
	return registry_info_is_valid(&poll->info) &&
	       poll->state >= DY_MEMBER_JOINING &&
	       poll->state <= DY_MEMBER_LEFT &&
	       (poll->state == DY_MEMBER_LEFT ||
		!poll->successors.successors_len);
}

static dy_registry_member_t *find_poller(const dy_registry_t *registry,
					 const dy_poll_t *poll)
{
	return dy_registry_find_member(
		registry, dy_member_id(poll->info.environment, poll->info.kind,
				       poll->info.name));
}

static int is_same_info(const dy_registry_member_t *member,
			const dy_member_info_t *info)
{
	return !strcmp(member->domain, info->domain) &&
	       !strcmp(member->service, info->service) &&
	       !strcmp(member->labels, info->labels) &&
	       !memcmp(member->ip, info->address.ip, DY_IP_BYTES) &&
	       member->port == info->address.port &&
	       member->slots == info->slots &&
	       member->connections == info->connections;
}

static int is_same(const dy_registry_member_t *member, const dy_poll_t *poll)
{
	unsigned count = poll->successors.successors_len;

	return member->state == (unsigned)poll->state &&
	       is_same_info(member, &poll->info) &&
	       member->successor_count == count &&
	       (!count ||
		!memcmp(member->successors, poll->successors.successors_val,
			count * sizeof(uint64_t)));
}

static dy_poll_action_t refuse(dy_status_t *status, dy_status_t why)
{
	*status = why;
	return DY_POLL_REFUSE;
}

static dy_poll_action_t evaluate_member(const dy_registry_member_t *member,
					const dy_poll_t *poll,
					dy_command_t *command,
					dy_status_t *status)
{
	dy_member_update_t *update = &command->dy_command_t_u.update;

	if (*member->service && strcmp(member->service, poll->info.service))
		return refuse(status, DY_STATUS_MALFORMED);
	if (is_same(member, poll))
		return DY_POLL_ANSWER;
	command->kind = DY_COMMAND_UPDATE;
	update->incarnation = member->incarnation;
	update->state = poll->state;
	update->info = poll->info;
	update->successors.successors_len = poll->successors.successors_len;
	update->successors.successors_val = poll->successors.successors_val;
	return DY_POLL_PROPOSE;
}

static dy_poll_action_t evaluate_join(const dy_registry_t *registry,
				      const dy_registry_member_t *holder,
				      const dy_poll_t *poll,
				      dy_command_t *command,
				      dy_status_t *status)
{
	dy_member_join_t *join = &command->dy_command_t_u.join;

	if (holder && dy_member_is_live(holder) &&
	    holder->state != DY_MEMBER_SUSPECT &&
	    !registry_is_restart(holder, &poll->info, poll->boot))
		return refuse(status, DY_STATUS_NAME_TAKEN);
	command->kind = DY_COMMAND_JOIN;
	join->info = poll->info;
	join->boot = poll->boot;
	join->state = poll->state;
	return DY_POLL_PROPOSE;
}

/*
 * Returns whether the poller's state may hold members whose ended records have
 * been dropped. It would route to them forever, so it must start with an empty
 * state. This happens to a member that was disconnected for longer than records
 * are kept and joins with its old state, or that loaded the image of a control
 * that was disconnected as long. A member that receives the state in pages is
 * not affected: its version is that of a page, which may be old, but it holds
 * no member that ended before.
 */
static int is_version_forgotten(const dy_registry_t *registry,
				const dy_poll_t *poll)
{
	return (!poll->incarnation || (poll->skips & DY_FROM_IMAGE)) &&
	       poll->state_version &&
	       poll->state_version < registry->forgotten_index;
}

/*
 * A process that was considered dead and replaced may come back and still use
 * its name. An incarnation that is not the newest of its name, or has ended,
 * is refused as superseded.
 */
dy_poll_action_t dy_registry_evaluate_poll(const dy_registry_t *registry,
					   const dy_poll_t *poll,
					   dy_command_t *command,
					   dy_status_t *status)
{
	const dy_registry_member_t *member;

	memset(command, 0, sizeof(*command));
	*status = DY_STATUS_OK;
	if (!is_valid(poll))
		return refuse(status, DY_STATUS_MALFORMED);
	if (is_version_forgotten(registry, poll))
		return refuse(status, DY_STATUS_SUPERSEDED);
	member = find_poller(registry, poll);
	if (!poll->incarnation &&
	    !(member && member->boot == poll->boot &&
	      (dy_member_is_live(member) || poll->state == DY_MEMBER_LEFT)))
		return evaluate_join(registry, member, poll, command, status);
	if (!member || member->boot != poll->boot ||
	    (poll->incarnation && member->incarnation != poll->incarnation) ||
	    member->state == DY_MEMBER_DEAD)
		return refuse(status, DY_STATUS_SUPERSEDED);
	if (member->state != DY_MEMBER_LEFT)
		return evaluate_member(member, poll, command, status);
	return poll->state == DY_MEMBER_LEFT
		       ? DY_POLL_ANSWER
		       : refuse(status, DY_STATUS_SUPERSEDED);
}

/* A changed object. */
typedef struct item {
	uint64_t changed;
	dy_delta_t delta;
} item_t;

/*
 * A log entry changes at most two objects of one kind, and an answer ends
 * between two entries, so a few more than DY_DELTAS_MAX are collected.
 */
#define ITEMS_MAX (DY_DELTAS_MAX + KEYS_MAX + DY_REGISTRY_DOMAINS_MAX + 4)

typedef struct collection {
	uint64_t version;
	uint32_t skips;
	/* Members that changed after this index were not examined. */
	uint64_t scanned_index;
	unsigned count;
	item_t items[ITEMS_MAX];
} collection_t;

static const dy_registry_member_t *member_by_link(const dy_list_t *link,
						  int service)
{
	return service ? DY_LIST_ITEM(link, dy_registry_member_t, service_link)
		       : DY_LIST_ITEM(link, dy_registry_member_t,
				      environment_link);
}

static void collect_member(collection_t *collection,
			   const dy_registry_member_t *member)
{
	item_t *item = &collection->items[collection->count++];

	item->changed = member->changed;
	item->delta.kind = DY_DELTA_MEMBER;
	registry_fill_member(member, &item->delta.dy_delta_t_u.member);
}

/*
 * Finds the first member that changed after version, or head. Searches from
 * both ends, since most pollers are near the newest change or, at their start,
 * near the oldest.
 */
static const dy_list_t *find_first_changed(const dy_list_t *head, int service,
					   uint64_t version)
{
	const dy_list_t *front = head->next;
	const dy_list_t *back = head;

	while (front != back) {
		if (member_by_link(front, service)->changed > version)
			return front;
		front = front->next;
		if (front == back ||
		    member_by_link(back->prev, service)->changed <= version)
			return back;
		back = back->prev;
	}
	return back;
}

/*
 * With DY_SKIP_ENDED, leaves out ended members that joined after the poller's
 * version: the poller never received them. In a group with many restarts, most
 * of the first answers would be ended members otherwise.
 */
static int is_visible(const collection_t *collection,
		      const dy_registry_member_t *member)
{
	return member->kind == DY_MEMBER_AGENT &&
	       (!(collection->skips & DY_SKIP_ENDED) ||
		dy_member_is_live(member) ||
		member->incarnation <= collection->version);
}

static void collect_members(collection_t *collection, const dy_list_t *head,
			    int service)
{
	const dy_registry_member_t *member;
	const dy_list_t *pos =
		find_first_changed(head, service, collection->version);

	collection->scanned_index = collection->version;
	for (; pos != head; pos = pos->next) {
		member = member_by_link(pos, service);
		if (collection->count >= DY_DELTAS_MAX &&
		    member->changed > collection->scanned_index) {
			return;
		}
		collection->scanned_index = member->changed;
		if (is_visible(collection, member))
			collect_member(collection, member);
	}
	collection->scanned_index = UINT64_MAX;
}

static void collect_keys(collection_t *collection,
			 const dy_registry_t *registry)
{
	const dy_registry_key_t *key;
	item_t *item;
	unsigned i;

	for (i = 0; i < registry->key_count; i++) {
		key = &registry->keys[i];
		if (key->changed <= collection->version ||
		    key->changed > collection->scanned_index)
			continue;
		item = &collection->items[collection->count++];
		item->changed = key->changed;
		item->delta.kind = DY_DELTA_KEY;
		item->delta.dy_delta_t_u.key = key->info;
	}
}

static void collect_domains(collection_t *collection,
			    const dy_registry_t *registry)
{
	const dy_registry_domain_t *domain;
	item_t *item;
	unsigned i;

	for (i = 0; i < registry->domain_count; i++) {
		domain = &registry->domains[i];
		if (domain->changed <= collection->version ||
		    domain->changed > collection->scanned_index)
			continue;
		item = &collection->items[collection->count++];
		item->changed = domain->changed;
		registry_fill_domain(domain, &item->delta);
	}
}

static void fill_document(const dy_registry_document_t *document,
			  const char *environment, dy_delta_t *delta)
{
	dy_document_info_t *info = &delta->dy_delta_t_u.document;

	delta->kind = DY_DELTA_DOCUMENT;
	info->environment = (char *)environment;
	info->number = document->number;
	memcpy(info->digest, document->digest, DY_DIGEST_BYTES);
	info->size = document->size;
}

static void collect_document(collection_t *collection,
			     const dy_registry_document_t *document,
			     const char *environment)
{
	item_t *item;

	if (!document->number || document->changed <= collection->version ||
	    document->changed > collection->scanned_index)
		return;
	item = &collection->items[collection->count++];
	item->changed = document->changed;
	fill_document(document, environment, &item->delta);
}

static int compare_items(const void *a, const void *b)
{
	const item_t *x = a;
	const item_t *y = b;

	return x->changed < y->changed ? -1 : x->changed > y->changed;
}

/* Returns how many of the sorted items fit, ending between log entries. */
static unsigned count_fitting_items(const collection_t *collection)
{
	unsigned n = collection->count;

	if (n <= DY_DELTAS_MAX)
		return n;
	n = DY_DELTAS_MAX;
	while (n &&
	       collection->items[n - 1].changed == collection->items[n].changed)
		n--;
	return n;
}

static void collect_visible_members(collection_t *collection,
				    const environment_t *environment,
				    const dy_poll_t *poll)
{
	const service_t *service;

	collection->scanned_index = UINT64_MAX;
	if (poll->skips & DY_SKIP_MEMBERS)
		return;
	if (poll->info.kind == DY_MEMBER_BALANCER) {
		collect_members(collection, &environment->members, 0);
		return;
	}
	if (!*poll->info.service)
		return;
	service =
		g_hash_table_lookup(environment->services, poll->info.service);
	if (service)
		collect_members(collection, &service->members, 1);
}

static void collect(const dy_registry_t *registry, const dy_poll_t *poll,
		    uint64_t version, collection_t *collection)
{
	int i = dy_environment_find(poll->info.environment);
	const environment_t *environment = &registry->environments[i];

	collection->version = version;
	collection->skips = poll->skips;
	collection->count = 0;
	collect_visible_members(collection, environment, poll);
	if (!(poll->skips & DY_SKIP_KEYS))
		collect_keys(collection, registry);
	if (poll->skips & DY_TAKES_DOMAINS)
		collect_domains(collection, registry);
	if (!(poll->skips & DY_SKIP_DOCUMENT))
		collect_document(collection, &environment->document,
				 dy_environment_name(i));
	qsort(collection->items, collection->count,
	      sizeof(collection->items[0]), compare_items);
}

/* Returns whether the poller fetches an image instead of the first deltas. */
static int starts_from_image(const dy_poll_t *poll)
{
	return !poll->state_version && (poll->skips & DY_SKIP_START);
}

void dy_registry_fill_poll_result(const dy_registry_t *registry,
				  const dy_poll_t *poll,
				  dy_poll_result_t *result)
{
	const dy_registry_member_t *member = find_poller(registry, poll);
	int without_service =
		poll->info.kind == DY_MEMBER_AGENT && !*poll->info.service;
	uint64_t version = without_service ? 0 : poll->state_version;
	collection_t collection;
	unsigned i;
	unsigned n;

	if (member) {
		result->incarnation = member->incarnation;
		result->drain = member->drain;
	}
	if (starts_from_image(poll)) {
		result->more = 1;
		return;
	}
	collect(registry, poll, version, &collection);
	n = count_fitting_items(&collection);
	for (i = 0; i < n; i++)
		result->deltas.deltas_val[i] = collection.items[i].delta;
	result->deltas.deltas_len = n;
	result->more =
		n < collection.count || collection.scanned_index != UINT64_MAX;
	if (without_service)
		result->state_version = 0;
	else if (n < collection.count)
		result->state_version = collection.items[n - 1].changed;
	else if (result->more)
		result->state_version = collection.scanned_index;
	else
		result->state_version = registry->index;
}

static void append_keys(const dy_registry_t *registry, GArray *deltas)
{
	dy_delta_t delta = { .kind = DY_DELTA_KEY };
	unsigned i;

	for (i = 0; i < registry->key_count; i++) {
		delta.dy_delta_t_u.key = registry->keys[i].info;
		g_array_append_val(deltas, delta);
	}
}

/* Includes readmitted domains: a member that rejoins may hold them. */
static void append_domains(const dy_registry_t *registry, GArray *deltas)
{
	dy_delta_t delta = { 0 };
	unsigned i;

	for (i = 0; i < registry->domain_count; i++) {
		registry_fill_domain(&registry->domains[i], &delta);
		g_array_append_val(deltas, delta);
	}
}

void dy_registry_fill_image(const dy_registry_t *registry,
			    dy_environment_t environment, GArray *deltas)
{
	const environment_t *own = &registry->environments[environment];
	const dy_registry_member_t *member;
	dy_delta_t delta;
	dy_list_t *pos;

	DY_LIST_EACH(pos, &own->members)
	{
		member = member_by_link(pos, 0);
		if (member->kind != DY_MEMBER_AGENT ||
		    !dy_member_is_live(member))
			continue;
		delta.kind = DY_DELTA_MEMBER;
		registry_fill_member(member, &delta.dy_delta_t_u.member);
		g_array_append_val(deltas, delta);
	}
	append_keys(registry, deltas);
	append_domains(registry, deltas);
	if (!own->document.number)
		return;
	fill_document(&own->document, dy_environment_name(environment), &delta);
	g_array_append_val(deltas, delta);
}
