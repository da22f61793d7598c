#include "route_table.h"

#include <string.h>

struct route_table {
	dy_document_t *document;
	route_service_t *services; /* in the document's order */
	unsigned service_count;
	GHashTable *by_service;	 /* id: route_service_t */
	GHashTable *by_targets;	 /* announced name: GPtrArray of them */
	GHashTable *members;	 /* incarnation: route_member_t, owned */
	GHashTable *current;	 /* id: newest route_member_t */
	GHashTable *balancers;	 /* ids of the serving ones, a set */
	GPtrArray *domains;	 /* names, by domain index */
	GHashTable *evacuated;	 /* names of domains, a set */
	uint64_t last_expiry_ms; /* last run of route_table_expire() */
};

static void destroy_member(gpointer data)
{
	route_member_t *member = data;

	g_ref_string_release(member->service);
	g_ref_string_release(member->labels);
	g_ref_string_release(member->domain_name);
	g_free(member->successors);
	g_free(member);
}

route_table_t *route_table_create(void)
{
	route_table_t *table = g_new0(route_table_t, 1);

	table->by_service = g_hash_table_new(g_int64_hash, g_int64_equal);
	table->by_targets =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)g_ptr_array_unref);
	table->members = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, destroy_member);
	table->current = g_hash_table_new(g_int64_hash, g_int64_equal);
	table->balancers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
	table->domains = g_ptr_array_new_with_free_func(g_free);
	table->evacuated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return table;
}

static void clear_services(route_service_t *services, unsigned count)
{
	unsigned i;

	for (i = 0; i < count; i++) {
		g_free(services[i].loads);
		g_free(services[i].members);
	}
	g_free(services);
}

void route_table_destroy(route_table_t *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->by_service);
	g_hash_table_destroy(table->by_targets);
	g_hash_table_destroy(table->current);
	g_hash_table_destroy(table->members);
	g_hash_table_destroy(table->balancers);
	g_ptr_array_free(table->domains, TRUE);
	g_hash_table_destroy(table->evacuated);
	clear_services(table->services, table->service_count);
	dy_document_destroy(table->document);
	g_free(table);
}

uint16_t route_table_domain_index(route_table_t *table, const char *name)
{
	guint i;

	for (i = 0; i < table->domains->len; i++)
		if (!strcmp(g_ptr_array_index(table->domains, i), name))
			return (uint16_t)i;
	g_ptr_array_add(table->domains, g_strdup(name));
	return (uint16_t)i;
}

static int find_position(const route_service_t *service,
			 const route_member_t *member)
{
	unsigned i;

	for (i = 0; i < service->count; i++)
		if (service->members[i] == member)
			return (int)i;
	return -1;
}

dy_pick_target_t *route_service_find(route_service_t *service,
				     const route_member_t *member)
{
	int index = find_position(service, member);

	return index < 0 ? NULL : &service->loads[index];
}

static void add_target(route_service_t *service, route_member_t *member,
		       const dy_pick_target_t *pick)
{
	if (service->count == service->capacity) {
		service->capacity =
			service->capacity ? 2 * service->capacity : 4;
		service->loads = g_renew(dy_pick_target_t, service->loads,
					 service->capacity);
		service->members = g_renew(route_member_t *, service->members,
					   service->capacity);
	}
	service->loads[service->count] = *pick;
	service->members[service->count] = member;
	service->count++;
}

static void remove_target(route_service_t *service, unsigned index)
{
	service->count--;
	service->loads[index] = service->loads[service->count];
	service->members[index] = service->members[service->count];
}

static int is_routable(const route_member_t *member)
{
	return member->state == DY_MEMBER_SERVING ||
	       member->state == DY_MEMBER_DRAINING ||
	       member->state == DY_MEMBER_SUSPECT;
}

static int is_eligible(const route_service_t *service,
		       const route_member_t *member)
{
	dy_member_info_t info = { 0 };

	info.kind = DY_MEMBER_AGENT;
	info.service = member->service;
	info.labels = member->labels;
	info.domain = member->domain_name;
	return is_routable(member) &&
	       dy_service_accepts(service->service, &info);
}

static uint16_t slots_of(const route_service_t *service,
			 const route_member_t *member)
{
	return (uint16_t)MIN(member->slots, service->service->slots);
}

/* Updates what registration and document set; the load is kept. */
static void refresh_pick(dy_pick_target_t *pick, const route_service_t *service,
			 const route_member_t *member)
{
	pick->session_cap =
		MIN(member->connections, service->service->connections);
	pick->domain = member->domain;
	pick->draining =
		member->state != DY_MEMBER_SERVING || member->evacuated;
	if (!pick->slots)
		pick->slots = slots_of(service, member);
}

static void update_target(route_service_t *service, route_member_t *member,
			  const dy_pick_target_t *known, uint64_t now_ms)
{
	int index = find_position(service, member);
	dy_pick_target_t fresh;

	if (!is_eligible(service, member)) {
		if (index >= 0)
			remove_target(service, (unsigned)index);
		return;
	}
	if (index < 0) {
		dy_pick_target_init(
			&fresh, member->domain,
			(uint16_t)MIN(member->slots, service->service->slots),
			member->connections, now_ms);
		add_target(service, member, known ? known : &fresh);
		index = (int)service->count - 1;
	}
	refresh_pick(&service->loads[index], service, member);
}

static GPtrArray *find_services(route_table_t *table, const char *announced)
{
	return g_hash_table_lookup(table->by_targets, announced);
}

static void update_member(route_table_t *table, route_member_t *member,
			  uint64_t now_ms)
{
	GPtrArray *services = find_services(table, member->service);
	guint i;

	for (i = 0; services && i < services->len; i++)
		update_target(g_ptr_array_index(services, i), member, NULL,
			      now_ms);
}

static void index_service(route_table_t *table, route_service_t *service)
{
	const char *targets = service->service->targets;
	GPtrArray *same = find_services(table, targets);

	if (!same) {
		same = g_ptr_array_new();
		g_hash_table_insert(table->by_targets, (gpointer)targets, same);
	}
	g_ptr_array_add(same, service);
	g_hash_table_insert(table->by_service, (gpointer)&service->service->id,
			    service);
}

/* Returns a target of the old table, which keeps its load, or NULL. */
static const dy_pick_target_t *previous_pick(GHashTable *old,
					     const dy_service_t *service,
					     const route_member_t *member)
{
	route_service_t *before = g_hash_table_lookup(old, &service->id);

	return before ? route_service_find(before, member) : NULL;
}

static void rebuild_targets(route_table_t *table, GHashTable *old,
			    uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	GPtrArray *services;
	route_service_t *service;
	guint i;

	g_hash_table_iter_init(&iter, table->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		route_member_t *member = value;

		services = find_services(table, member->service);
		for (i = 0; services && i < services->len; i++) {
			service = g_ptr_array_index(services, i);
			update_target(
				service, member,
				previous_pick(old, service->service, member),
				now_ms);
		}
	}
}

void route_table_set_document(route_table_t *table, dy_document_t *document,
			      uint64_t now_ms)
{
	dy_document_t *old_document = table->document;
	route_service_t *old_services = table->services;
	unsigned old_count = table->service_count;
	GHashTable *old = table->by_service;
	unsigned i;

	table->document = document;
	table->service_count = dy_document_service_count(document);
	table->services = g_new0(route_service_t, table->service_count);
	table->by_service = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_hash_table_remove_all(table->by_targets);
	for (i = 0; i < table->service_count; i++) {
		table->services[i].service = dy_document_service(document, i);
		index_service(table, &table->services[i]);
	}
	rebuild_targets(table, old, now_ms);
	g_hash_table_destroy(old);
	clear_services(old_services, old_count);
	dy_document_destroy(old_document);
}

const dy_document_t *route_table_document(const route_table_t *table)
{
	return table->document;
}

static void update_balancers(route_table_t *table, const dy_member_t *from)
{
	gint64 *key;

	if (from->state != DY_MEMBER_SERVING) {
		g_hash_table_remove(table->balancers, &from->id);
		return;
	}
	key = g_new(gint64, 1);
	memcpy(key, &from->id, sizeof(*key));
	g_hash_table_add(table->balancers, key);
}

static void set_interned(char **string, const char *text)
{
	if (*string && !strcmp(*string, text))
		return;
	if (*string)
		g_ref_string_release(*string);
	*string = g_ref_string_new_intern(text);
}

static void fill_member(route_table_t *table, route_member_t *member,
			const dy_member_t *from)
{
	member->id = from->id;
	member->address = from->info.address;
	member->state = (uint8_t)from->state;
	member->domain = route_table_domain_index(table, from->info.domain);
	member->slots = from->info.slots;
	member->connections = from->info.connections;
	set_interned(&member->service, from->info.service);
	set_interned(&member->labels, from->info.labels);
	set_interned(&member->domain_name, from->info.domain);
	member->evacuated =
		g_hash_table_contains(table->evacuated, from->info.domain);
	g_free(member->successors);
	member->successor_count = (uint8_t)from->successors.successors_len;
	member->successors =
		g_memdup2(from->successors.successors_val,
			  member->successor_count * sizeof(uint64_t));
}

static int is_ended(const route_member_t *member)
{
	return member->state == DY_MEMBER_LEFT ||
	       member->state == DY_MEMBER_DEAD;
}

static void update_current(route_table_t *table, route_member_t *member)
{
	route_member_t *newest = route_table_find_current(table, member->id);

	if (!newest || newest->incarnation < member->incarnation)
		g_hash_table_replace(table->current, &member->id, member);
}

void route_table_set_member(route_table_t *table, const dy_member_t *from,
			    uint64_t now_ms)
{
	route_member_t *member;

	if (from->info.kind == DY_MEMBER_BALANCER) {
		update_balancers(table, from);
		return;
	}
	member = route_table_find_incarnation(table, from->incarnation);
	if (!member) {
		member = g_new0(route_member_t, 1);
		member->incarnation = from->incarnation;
		g_hash_table_insert(table->members, &member->incarnation,
				    member);
	}
	fill_member(table, member, from);
	if (!is_ended(member))
		member->ended_ms = 0;
	else if (!member->ended_ms)
		member->ended_ms = now_ms;
	update_current(table, member);
	update_member(table, member, now_ms);
}

void route_table_set_domain(route_table_t *table, const char *name,
			    int evacuated, uint64_t now_ms)
{
	route_member_t *member;
	GHashTableIter iter;
	gpointer value;

	if (evacuated)
		g_hash_table_add(table->evacuated, g_strdup(name));
	else
		g_hash_table_remove(table->evacuated, name);
	g_hash_table_iter_init(&iter, table->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		member = value;
		if (strcmp(member->domain_name, name) != 0)
			continue;
		member->evacuated = (uint8_t) !!evacuated;
		update_member(table, member, now_ms);
	}
}

route_service_t *route_table_find_service(route_table_t *table,
					  uint64_t service)
{
	return g_hash_table_lookup(table->by_service, &service);
}

route_member_t *route_table_find_incarnation(route_table_t *table,
					     uint64_t incarnation)
{
	return g_hash_table_lookup(table->members, &incarnation);
}

route_member_t *route_table_find_current(route_table_t *table, uint64_t id)
{
	return g_hash_table_lookup(table->current, &id);
}

unsigned route_table_balancer_count(const route_table_t *table)
{
	guint count = g_hash_table_size(table->balancers);

	return count ? count : 1;
}

/* Scanning 110,000 members takes some 10 ms. */
#define EXPIRE_INTERVAL_MS 60000

static int is_expired(const route_member_t *member, uint64_t now_ms)
{
	return member->ended_ms &&
	       now_ms - member->ended_ms >= ROUTE_ENDED_TTL_MS;
}

void route_table_expire(route_table_t *table, uint64_t now_ms)
{
	route_member_t *member;
	GHashTableIter iter;
	gpointer value;

	if (now_ms - table->last_expiry_ms < EXPIRE_INTERVAL_MS)
		return;
	table->last_expiry_ms = now_ms;
	g_hash_table_iter_init(&iter, table->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		member = value;
		if (!is_expired(member, now_ms))
			continue;
		if (route_table_find_current(table, member->id) == member)
			g_hash_table_remove(table->current, &member->id);
		g_hash_table_iter_remove(&iter);
	}
}
