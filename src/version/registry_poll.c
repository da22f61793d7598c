/*
 * What a member's poll asks for, and what it is told.
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

static dy_poll_action_t judge_known(const dy_registry_member_t *member,
				    const dy_poll_t *poll,
				    dy_command_t *command, dy_status_t *status)
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

static dy_poll_action_t judge_new(const dy_registry_t *registry,
				  const dy_registry_member_t *holder,
				  const dy_poll_t *poll, dy_command_t *command,
				  dy_status_t *status)
{
	dy_member_join_t *join = &command->dy_command_t_u.join;

	if (holder && dy_member_is_live(holder) &&
	    holder->state != DY_MEMBER_SUSPECT &&
	    !registry_is_successor(holder, &poll->info, poll->boot))
		return refuse(status, DY_STATUS_NAME_TAKEN);
	command->kind = DY_COMMAND_JOIN;
	join->info = poll->info;
	join->boot = poll->boot;
	join->state = poll->state;
	return DY_POLL_PROPOSE;
}

/*
 * Guards against a member whose state holds others whose end is no longer told:
 * it would route to them for good. So far behind is one that stayed away for
 * longer than any record is kept and joins with what it held, or that started
 * from the image of a control that was cut off for as long; it must start anew.
 * One that the leader tells the state page by page is not: its version is that
 * of the page, however old, and it holds none that ended before.
 */
static int is_too_old(const dy_registry_t *registry, const dy_poll_t *poll)
{
	return (!poll->incarnation || (poll->skips & DY_FROM_IMAGE)) &&
	       poll->state_version && poll->state_version < registry->forgotten;
}

/*
 * Guards against a process that was taken for dead, replaced, and comes back
 * believing that it holds its name: an incarnation that is not the newest of
 * its name, or is over, is superseded.
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
	if (is_too_old(registry, poll))
		return refuse(status, DY_STATUS_SUPERSEDED);
	member = find_poller(registry, poll);
	if (!poll->incarnation &&
	    !(member && member->boot == poll->boot &&
	      (dy_member_is_live(member) || poll->state == DY_MEMBER_LEFT)))
		return judge_new(registry, member, poll, command, status);
	if (!member || member->boot != poll->boot ||
	    (poll->incarnation && member->incarnation != poll->incarnation) ||
	    member->state == DY_MEMBER_DEAD)
		return refuse(status, DY_STATUS_SUPERSEDED);
	if (member->state != DY_MEMBER_LEFT)
		return judge_known(member, poll, command, status);
	return poll->state == DY_MEMBER_LEFT
		       ? DY_POLL_ANSWER
		       : refuse(status, DY_STATUS_SUPERSEDED);
}

/* One object that a poll may be told of. */
typedef struct item {
	uint64_t changed;
	dy_delta_t delta;
} item_t;

/*
 * An entry of the log changes at most two objects of one kind and an answer
 * ends only between entries, so a few more than DY_DELTAS_MAX are gathered.
 */
#define ITEMS_MAX (DY_DELTAS_MAX + KEYS_MAX + DY_REGISTRY_DOMAINS_MAX + 4)

typedef struct gathering {
	uint64_t version;
	uint32_t skips;
	/* Members beyond this change were not looked at. */
	uint64_t upto;
	unsigned count;
	item_t items[ITEMS_MAX];
} gathering_t;

static const dy_registry_member_t *by_link(const dy_list_t *link, int service)
{
	return service ? DY_LIST_ITEM(link, dy_registry_member_t, service_link)
		       : DY_LIST_ITEM(link, dy_registry_member_t,
				      environment_link);
}

static void gather_member(gathering_t *gathering,
			  const dy_registry_member_t *member)
{
	item_t *item = &gathering->items[gathering->count++];

	item->changed = member->changed;
	item->delta.kind = DY_DELTA_MEMBER;
	registry_show_member(member, &item->delta.dy_delta_t_u.member);
}

/*
 * Find the first member that changed after version, or head. Looks from both
 * ends, since polls stand near the newest change or, at a start, the oldest.
 */
static const dy_list_t *find_first(const dy_list_t *head, int service,
				   uint64_t version)
{
	const dy_list_t *front = head->next;
	const dy_list_t *back = head;

	while (front != back) {
		if (by_link(front, service)->changed > version)
			return front;
		front = front->next;
		if (front == back ||
		    by_link(back->prev, service)->changed <= version)
			return back;
		back = back->prev;
	}
	return back;
}

/*
 * Of a start that knows nothing yet, and a group that has seen many restarts,
 * most of the answer would be members that are gone. One that joined after the
 * version that the poller holds, and ended, it never heard of.
 */
static int is_wanted(const gathering_t *gathering,
		     const dy_registry_member_t *member)
{
	return member->kind == DY_MEMBER_AGENT &&
	       (!(gathering->skips & DY_SKIP_ENDED) ||
		dy_member_is_live(member) ||
		member->incarnation <= gathering->version);
}

static void gather_members(gathering_t *gathering, const dy_list_t *head,
			   int service)
{
	const dy_registry_member_t *member;
	const dy_list_t *pos = find_first(head, service, gathering->version);

	gathering->upto = gathering->version;
	for (; pos != head; pos = pos->next) {
		member = by_link(pos, service);
		if (gathering->count >= DY_DELTAS_MAX &&
		    member->changed > gathering->upto) {
			return;
		}
		gathering->upto = member->changed;
		if (is_wanted(gathering, member))
			gather_member(gathering, member);
	}
	gathering->upto = UINT64_MAX;
}

static void gather_keys(gathering_t *gathering, const dy_registry_t *registry)
{
	const dy_registry_key_t *key;
	item_t *item;
	unsigned i;

	for (i = 0; i < registry->key_count; i++) {
		key = &registry->keys[i];
		if (key->changed <= gathering->version ||
		    key->changed > gathering->upto)
			continue;
		item = &gathering->items[gathering->count++];
		item->changed = key->changed;
		item->delta.kind = DY_DELTA_KEY;
		item->delta.dy_delta_t_u.key = key->info;
	}
}

static void gather_domains(gathering_t *gathering,
			   const dy_registry_t *registry)
{
	const dy_registry_domain_t *domain;
	item_t *item;
	unsigned i;

	for (i = 0; i < registry->domain_count; i++) {
		domain = &registry->domains[i];
		if (domain->changed <= gathering->version ||
		    domain->changed > gathering->upto)
			continue;
		item = &gathering->items[gathering->count++];
		item->changed = domain->changed;
		registry_show_domain(domain, &item->delta);
	}
}

static void show_document(const dy_registry_document_t *document,
			  const char *environment, dy_delta_t *delta)
{
	dy_document_info_t *info = &delta->dy_delta_t_u.document;

	delta->kind = DY_DELTA_DOCUMENT;
	info->environment = (char *)environment;
	info->number = document->number;
	memcpy(info->digest, document->digest, DY_DIGEST_BYTES);
	info->size = document->size;
}

static void gather_document(gathering_t *gathering,
			    const dy_registry_document_t *document,
			    const char *environment)
{
	item_t *item;

	if (!document->number || document->changed <= gathering->version ||
	    document->changed > gathering->upto)
		return;
	item = &gathering->items[gathering->count++];
	item->changed = document->changed;
	show_document(document, environment, &item->delta);
}

static int compare_items(const void *a, const void *b)
{
	const item_t *x = a;
	const item_t *y = b;

	return x->changed < y->changed ? -1 : x->changed > y->changed;
}

/* How many of the sorted items an answer takes, ending between entries. */
static unsigned cut(const gathering_t *gathering)
{
	unsigned n = gathering->count;

	if (n <= DY_DELTAS_MAX)
		return n;
	n = DY_DELTAS_MAX;
	while (n &&
	       gathering->items[n - 1].changed == gathering->items[n].changed)
		n--;
	return n;
}

/* The members that the poller is told of. */
static void gather_its_members(gathering_t *gathering,
			       const environment_t *environment,
			       const dy_poll_t *poll)
{
	const service_t *service;

	gathering->upto = UINT64_MAX;
	if (poll->skips & DY_SKIP_MEMBERS)
		return;
	if (poll->info.kind == DY_MEMBER_BALANCER) {
		gather_members(gathering, &environment->members, 0);
		return;
	}
	if (!*poll->info.service)
		return;
	service =
		g_hash_table_lookup(environment->services, poll->info.service);
	if (service)
		gather_members(gathering, &service->members, 1);
}

static void gather(const dy_registry_t *registry, const dy_poll_t *poll,
		   uint64_t version, gathering_t *gathering)
{
	int i = dy_environment_find(poll->info.environment);
	const environment_t *environment = &registry->environments[i];

	gathering->version = version;
	gathering->skips = poll->skips;
	gathering->count = 0;
	gather_its_members(gathering, environment, poll);
	if (!(poll->skips & DY_SKIP_KEYS))
		gather_keys(gathering, registry);
	if (poll->skips & DY_TAKES_DOMAINS)
		gather_domains(gathering, registry);
	if (!(poll->skips & DY_SKIP_DOCUMENT))
		gather_document(gathering, &environment->document,
				dy_environment_name(i));
	qsort(gathering->items, gathering->count, sizeof(gathering->items[0]),
	      compare_items);
}

/* Whether the poller has an image fetched in place of the first deltas. */
static int starts_from_image(const dy_poll_t *poll)
{
	return !poll->state_version && (poll->skips & DY_SKIP_START);
}

void dy_registry_fill_poll_result(const dy_registry_t *registry,
				  const dy_poll_t *poll,
				  dy_poll_result_t *result)
{
	const dy_registry_member_t *member = find_poller(registry, poll);
	int homeless =
		poll->info.kind == DY_MEMBER_AGENT && !*poll->info.service;
	uint64_t version = homeless ? 0 : poll->state_version;
	gathering_t gathering;
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
	gather(registry, poll, version, &gathering);
	n = cut(&gathering);
	for (i = 0; i < n; i++)
		result->deltas.deltas_val[i] = gathering.items[i].delta;
	result->deltas.deltas_len = n;
	result->more = n < gathering.count || gathering.upto != UINT64_MAX;
	if (homeless)
		result->state_version = 0;
	else if (n < gathering.count)
		result->state_version = gathering.items[n - 1].changed;
	else if (result->more)
		result->state_version = gathering.upto;
	else
		result->state_version = registry->index;
}

static void show_keys(const dy_registry_t *registry, GArray *deltas)
{
	dy_delta_t delta = { .kind = DY_DELTA_KEY };
	unsigned i;

	for (i = 0; i < registry->key_count; i++) {
		delta.dy_delta_t_u.key = registry->keys[i].info;
		g_array_append_val(deltas, delta);
	}
}

/* Those that were readmitted too: a member that joins anew held them. */
static void show_domains(const dy_registry_t *registry, GArray *deltas)
{
	dy_delta_t delta = { 0 };
	unsigned i;

	for (i = 0; i < registry->domain_count; i++) {
		registry_show_domain(&registry->domains[i], &delta);
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
		member = by_link(pos, 0);
		if (member->kind != DY_MEMBER_AGENT ||
		    !dy_member_is_live(member))
			continue;
		delta.kind = DY_DELTA_MEMBER;
		registry_show_member(member, &delta.dy_delta_t_u.member);
		g_array_append_val(deltas, delta);
	}
	show_keys(registry, deltas);
	show_domains(registry, deltas);
	if (!own->document.number)
		return;
	show_document(&own->document, dy_environment_name(environment), &delta);
	g_array_append_val(deltas, delta);
}
