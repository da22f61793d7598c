#include "damaskyard/flow_targets.h"

#include <string.h>

#include <glib.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "damaskyard/address.h"

typedef struct target {
	uint64_t id;
	uint64_t incarnation;
	uint64_t hash; /* of the address */
	dy_address_t address;
	char *service;
	char *domain; /* shared string */
	int same_domain;
	int evacuated; /* its domain is */
	int serving;
	int suspect;
	dy_flow_load_t load;
	uint32_t opened; /* flows sent there since its last report */
	uint64_t silent_until_ms;
	uint64_t heard_ms;   /* when it last said anything to this balancer */
	uint64_t doubted_ms; /* first wanted since it is suspect; 0: never */
	uint64_t asked_ms;   /* first sent something since then; 0: not yet */
	uint64_t sent_ms;    /* last sent something */
	dy_flow_path_t path;
} target_t;

struct dy_flow_targets {
	const char *domain;
	GHashTable *by_id;
	GHashTable *by_address; /* the newest member at each */
	GHashTable *services;	/* name to GPtrArray of targets */
	GHashTable *evacuated;	/* names of domains, a set */
	unsigned placed;	/* targets that are in a service */
	uint64_t heard_ms;	/* when any of them last said anything */
	uint64_t confirmed_ms; /* when the newest poll that was answered left */
};

/* A target as it stands in a flow's order. */
typedef struct place {
	uint64_t rank;
	double score;
	const target_t *target;
} place_t;

static void free_target(void *data)
{
	target_t *target = data;

	g_free(target->service);
	if (target->domain)
		g_ref_string_release(target->domain);
	g_free(target);
}

static guint hash_address(gconstpointer key)
{
	const dy_address_t *address = key;

	return (guint)(XXH3_64bits(address->ip, DY_IP_BYTES) + address->port);
}

static gboolean same_address(gconstpointer a, gconstpointer b)
{
	return dy_address_equal(a, b);
}

static void free_service(void *data)
{
	g_ptr_array_free(data, TRUE);
}

dy_flow_targets_t *dy_flow_targets_create(const char *domain)
{
	dy_flow_targets_t *targets = g_new0(dy_flow_targets_t, 1);

	targets->domain = domain;
	targets->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, free_target);
	targets->by_address = g_hash_table_new(hash_address, same_address);
	targets->services = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, free_service);
	targets->evacuated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return targets;
}

void dy_flow_targets_destroy(dy_flow_targets_t *targets)
{
	if (!targets)
		return;
	g_hash_table_destroy(targets->services);
	g_hash_table_destroy(targets->by_address);
	g_hash_table_destroy(targets->by_id);
	g_hash_table_destroy(targets->evacuated);
	g_free(targets);
}

static void leave_service(dy_flow_targets_t *targets, target_t *target)
{
	GPtrArray *list;

	if (!target->service)
		return;
	list = g_hash_table_lookup(targets->services, target->service);
	g_ptr_array_remove_fast(list, target);
	targets->placed--;
	if (!list->len)
		g_hash_table_remove(targets->services, target->service);
	g_clear_pointer(&target->service, g_free);
}

static void join_service(dy_flow_targets_t *targets, target_t *target,
			 const char *service)
{
	GPtrArray *list;

	if (!*service)
		return;
	target->service = g_strdup(service);
	list = g_hash_table_lookup(targets->services, service);
	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(targets->services, g_strdup(service), list);
	}
	g_ptr_array_add(list, target);
	targets->placed++;
}

static target_t *find_by_address(const dy_flow_targets_t *targets,
				 const dy_address_t *agent)
{
	return g_hash_table_lookup(targets->by_address, agent);
}

static void leave_address(dy_flow_targets_t *targets, target_t *target)
{
	if (find_by_address(targets, &target->address) == target)
		g_hash_table_remove(targets->by_address, &target->address);
}

static target_t *keep_target(dy_flow_targets_t *targets,
			     const dy_member_t *member)
{
	target_t *target = g_hash_table_lookup(targets->by_id, &member->id);

	if (target && target->incarnation > member->incarnation)
		return NULL;
	if (target)
		return target;
	target = g_new0(target_t, 1);
	target->id = member->id;
	g_hash_table_insert(targets->by_id, &target->id, target);
	return target;
}

static void drop_target(dy_flow_targets_t *targets, const dy_member_t *member)
{
	target_t *target = g_hash_table_lookup(targets->by_id, &member->id);

	if (!target || target->incarnation > member->incarnation)
		return;
	leave_service(targets, target);
	leave_address(targets, target);
	g_hash_table_remove(targets->by_id, &member->id);
}

static void set_domain(const dy_flow_targets_t *targets, target_t *target,
		       const char *domain)
{
	if (target->domain)
		g_ref_string_release(target->domain);
	target->domain = g_ref_string_new_intern(domain);
	target->same_domain = !strcmp(domain, targets->domain);
	target->evacuated = g_hash_table_contains(targets->evacuated, domain);
}

void dy_flow_targets_set_domain(dy_flow_targets_t *targets, const char *domain,
				int evacuated)
{
	target_t *target;
	GHashTableIter iter;
	gpointer value;

	if (evacuated)
		g_hash_table_add(targets->evacuated, g_strdup(domain));
	else
		g_hash_table_remove(targets->evacuated, domain);
	g_hash_table_iter_init(&iter, targets->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		target = value;
		if (!strcmp(target->domain, domain))
			target->evacuated = evacuated;
	}
}

void dy_flow_targets_set_member(dy_flow_targets_t *targets,
				const dy_member_t *member)
{
	target_t *target;

	if (member->info.kind != DY_MEMBER_AGENT)
		return;
	if (member->state == DY_MEMBER_LEFT ||
	    member->state == DY_MEMBER_DEAD) {
		drop_target(targets, member);
		return;
	}
	target = keep_target(targets, member);
	if (!target)
		return;
	if (target->incarnation != member->incarnation) {
		memset(&target->load, 0, sizeof(target->load));
		target->opened = 0;
		target->silent_until_ms = 0;
		target->asked_ms = 0;
		memset(&target->path, 0, sizeof(target->path));
	}
	leave_service(targets, target);
	join_service(targets, target, member->info.service);
	target->incarnation = member->incarnation;
	leave_address(targets, target);
	target->address = member->info.address;
	g_hash_table_replace(targets->by_address, &target->address, target);
	target->hash = XXH3_64bits(target->address.ip, DY_IP_BYTES) ^
		       (uint64_t)target->address.port * XXH_PRIME64_1;
	set_domain(targets, target, member->info.domain);
	target->serving = member->state == DY_MEMBER_SERVING;
	target->suspect = member->state == DY_MEMBER_SUSPECT;
	if (!target->suspect)
		target->doubted_ms = 0;
	if (!target->load.slots)
		target->load.slots = member->info.slots;
}

void dy_flow_targets_set_load(dy_flow_targets_t *targets,
			      const dy_address_t *agent,
			      const dy_flow_load_t *load, uint64_t now_ms)
{
	target_t *target = find_by_address(targets, agent);

	if (!target)
		return;
	target->load = *load;
	target->opened = 0;
	target->silent_until_ms = 0;
	target->heard_ms = now_ms;
	target->asked_ms = 0;
	targets->heard_ms = now_ms;
}

int dy_flow_targets_set_received(dy_flow_targets_t *targets,
				 const dy_address_t *agent, uint32_t heard,
				 uint64_t now_ms)
{
	target_t *target = find_by_address(targets, agent);

	return target &&
	       dy_flow_path_receive_report(&target->path, heard, now_ms);
}

int dy_flow_targets_is_path_broken(const dy_flow_targets_t *targets,
				   const dy_address_t *agent)
{
	const target_t *target = find_by_address(targets, agent);

	return target && target->path.broken;
}

/* Whether an agent takes messages from here, and may pass them on to another.
 */
static int is_relay(const target_t *target, const target_t *to, uint64_t now_ms)
{
	return target->serving && !target->path.broken &&
	       now_ms - target->heard_ms <= DY_FLOW_RELAY_AGE_MAX_MS &&
	       target->domain != to->domain;
}

int dy_flow_targets_find_relay(const dy_flow_targets_t *targets,
			       const dy_address_t *agent,
			       const dy_flow_id_t *flow, uint64_t now_ms,
			       dy_address_t *relay)
{
	const target_t *to = find_by_address(targets, agent);
	const target_t *target;
	const GPtrArray *list;
	int found = 0;
	guint start;
	guint i;

	if (!to || !to->service)
		return 0;
	list = g_hash_table_lookup(targets->services, to->service);
	start = (guint)(dy_flow_id_hash(flow) % list->len);
	for (i = 0; i < MIN(list->len, DY_FLOW_RELAY_CANDIDATES_MAX); i++) {
		target = g_ptr_array_index(list, (start + i) % list->len);
		if (!is_relay(target, to, now_ms))
			continue;
		*relay = target->address;
		found = 1;
		if (!target->same_domain)
			return 1;
	}
	return found;
}

void dy_flow_targets_set_members_confirmed(dy_flow_targets_t *targets,
					   uint64_t polled_ms)
{
	targets->confirmed_ms = polled_ms;
}

static void note_asked(target_t *target, uint64_t now_ms)
{
	/* Nobody answers what was not sent: the silence begins anew. */
	if (now_ms - target->sent_ms > DY_FLOW_UNRESPONSIVE_TIMEOUT_MS)
		target->asked_ms = 0;
	if (!target->asked_ms)
		target->asked_ms = now_ms;
	target->sent_ms = now_ms;
}

void dy_flow_targets_note_sent(dy_flow_targets_t *targets,
			       const dy_address_t *agent, uint64_t now_ms)
{
	target_t *target = find_by_address(targets, agent);

	if (!target)
		return;
	note_asked(target, now_ms);
	dy_flow_path_note_sent(&target->path, now_ms);
}

int dy_flow_targets_begin_probe(dy_flow_targets_t *targets,
				const dy_address_t *agent, uint64_t now_ms)
{
	target_t *target = find_by_address(targets, agent);

	if (!target || now_ms - target->sent_ms < DY_FLOW_REPORT_INTERVAL_MS)
		return 0;
	note_asked(target, now_ms);
	dy_flow_path_note_sent(&target->path, now_ms);
	return 1;
}

static int is_unresponsive(const dy_flow_targets_t *targets,
			   const target_t *target, uint64_t now_ms)
{
	if (!target->serving || !target->asked_ms)
		return 0;
	/* It is this balancer that hears nobody. */
	if (now_ms - targets->heard_ms > DY_FLOW_REPORT_INTERVAL_MS)
		return 0;
	/*
	 * Guards against an agent that is stopped as planned, and started
	 * again: its target's flows go on. It tells control before it falls
	 * silent, so a poll that left after that would have told of it.
	 */
	if (targets->confirmed_ms <= target->asked_ms)
		return 0;
	return now_ms - target->sent_ms <= DY_FLOW_UNRESPONSIVE_TIMEOUT_MS &&
	       now_ms - target->asked_ms >= DY_FLOW_UNRESPONSIVE_TIMEOUT_MS;
}

int dy_flow_targets_is_unresponsive(const dy_flow_targets_t *targets,
				    const dy_address_t *agent, uint64_t now_ms)
{
	const target_t *target = find_by_address(targets, agent);

	return target && is_unresponsive(targets, target, now_ms);
}

int dy_flow_targets_is_lost(dy_flow_targets_t *targets,
			    const dy_address_t *agent, uint64_t now_ms)
{
	target_t *target = find_by_address(targets, agent);

	if (!target || !target->suspect)
		return 0;
	/*
	 * Guards against a balancer that had nothing to say to a living agent,
	 * as after its own start: nobody reports to it then, and its first
	 * search would leave the agent out and find its flows nowhere.
	 */
	if (!target->doubted_ms)
		target->doubted_ms = now_ms;
	return now_ms - MAX(target->heard_ms, target->doubted_ms) >
	       DY_FLOW_LOST_TIMEOUT_MS;
}

void dy_flow_targets_note_opened(dy_flow_targets_t *targets,
				 const dy_address_t *agent)
{
	target_t *target = find_by_address(targets, agent);

	if (target)
		target->opened++;
}

void dy_flow_targets_note_unanswered(dy_flow_targets_t *targets,
				     const dy_address_t *agent, uint64_t now_ms)
{
	target_t *target = find_by_address(targets, agent);

	if (target)
		target->silent_until_ms = now_ms + DY_FLOW_UNANSWERED_AVOID_MS;
}

static double score_of(const target_t *target, uint64_t now_ms)
{
	const dy_flow_load_t *load = &target->load;
	double slots = load->slots ? load->slots : 1;
	double score = (load->flows + target->opened) / slots;

	if (load->busy > load->slots)
		score += DY_FLOW_QUEUED_WEIGHT * (load->busy - load->slots) /
			 slots;
	if (load->cold)
		score += DY_FLOW_COLD_PENALTY;
	if (!target->same_domain)
		score += DY_FLOW_REMOTE_PENALTY;
	if (target->silent_until_ms > now_ms || target->path.broken)
		score += 1e6;
	return score;
}

/* Insert into a list of at most max that is ordered by rank, highest first. */
static unsigned insert_by_rank(place_t *places, unsigned count, unsigned max,
			       const place_t *place)
{
	unsigned at = count;

	while (at && places[at - 1].rank < place->rank)
		at--;
	if (at == max)
		return count;
	if (count < max)
		count++;
	memmove(&places[at + 1], &places[at],
		(count - at - 1) * sizeof(*places));
	places[at] = *place;
	return count;
}

static uint64_t rank_of(const target_t *target, uint64_t flow_hash)
{
	const uint64_t pair[] = { flow_hash, target->hash };

	return XXH3_64bits(pair, sizeof(pair));
}

static int takes_new_flows(const target_t *target)
{
	return target->serving && !target->evacuated;
}

/* The first max targets in the flow's order, all or those for new flows. */
static unsigned order_targets(const GPtrArray *list, const dy_flow_id_t *flow,
			      int for_new, unsigned max, place_t *places)
{
	uint64_t hash = dy_flow_id_hash(flow);
	unsigned count = 0;
	place_t place = { 0 };
	guint i;

	for (i = 0; i < list->len; i++) {
		place.target = g_ptr_array_index(list, i);
		if (for_new && !takes_new_flows(place.target))
			continue;
		place.rank = rank_of(place.target, hash);
		count = insert_by_rank(places, count, max, &place);
	}
	return count;
}

static void sort_by_score(place_t *places, unsigned count)
{
	place_t place;
	unsigned at;
	unsigned i;

	for (i = 1; i < count; i++) {
		place = places[i];
		for (at = i; at && places[at - 1].score > place.score; at--)
			places[at] = places[at - 1];
		places[at] = place;
	}
}

unsigned dy_flow_targets_choose(const dy_flow_targets_t *targets,
				const char *service, const dy_flow_id_t *flow,
				uint64_t now_ms,
				dy_address_t list[DY_FLOW_TRIES])
{
	GPtrArray *all = g_hash_table_lookup(targets->services, service);
	place_t places[DY_FLOW_CANDIDATES];
	unsigned count;
	unsigned i;

	if (!all)
		return 0;
	count = order_targets(all, flow, 1, DY_FLOW_CANDIDATES, places);
	for (i = 0; i < count; i++)
		places[i].score = score_of(places[i].target, now_ms);
	sort_by_score(places, count);
	for (i = 0; i < count; i++)
		list[i] = places[i].target->address;
	return count;
}

static int is_listed(const char *service, const char *const *services,
		     unsigned count)
{
	unsigned i;

	for (i = 0; i < count; i++)
		if (!strcmp(service, services[i]))
			return 1;
	return 0;
}

/*
 * How many agents of each other service are searched. Of few agents all are.
 * Of more those that stand first in the flow's order: the holder was among
 * the first DY_FLOW_CANDIDATES of its service when the flow was opened.
 */
static unsigned share_of_others(const dy_flow_targets_t *targets)
{
	unsigned services = g_hash_table_size(targets->services);

	if (targets->placed <= DY_FLOW_SEARCH_MAX)
		return DY_FLOW_SEARCH_MAX;
	return services <= DY_FLOW_SEARCH_SERVICES_MAX ? DY_FLOW_TRIES : 0;
}

/* The first agents of each service that is not listed. */
static unsigned order_others(const dy_flow_targets_t *targets,
			     const char *const *services, unsigned count,
			     const dy_flow_id_t *flow, unsigned max,
			     place_t *places)
{
	unsigned share = share_of_others(targets);
	GHashTableIter iter;
	unsigned found = 0;
	gpointer name;
	gpointer list;

	g_hash_table_iter_init(&iter, targets->services);
	while (share && g_hash_table_iter_next(&iter, &name, &list))
		if (!is_listed(name, services, count))
			found += order_targets(list, flow, 0,
					       MIN(share, max - found),
					       &places[found]);
	return found;
}

unsigned dy_flow_targets_search(const dy_flow_targets_t *targets,
				const char *const *services,
				unsigned service_count,
				const dy_flow_id_t *flow, int *complete,
				dy_address_t list[DY_FLOW_SEARCH_MAX])
{
	place_t places[DY_FLOW_SEARCH_MAX];
	unsigned room = DY_FLOW_SEARCH_MAX;
	unsigned count = 0;
	const GPtrArray *all;
	unsigned i;

	if (targets->placed > DY_FLOW_SEARCH_MAX)
		room -= DY_FLOW_SEARCH_RESERVED;
	for (i = 0; i < service_count; i++) {
		all = g_hash_table_lookup(targets->services, services[i]);
		if (all)
			count += order_targets(all, flow, 0, room - count,
					       &places[count]);
	}
	count += order_others(targets, services, service_count, flow,
			      DY_FLOW_SEARCH_MAX - count, &places[count]);
	for (i = 0; i < count; i++)
		list[i] = places[i].target->address;
	*complete = count == targets->placed;
	return count;
}

unsigned dy_flow_targets_count(const dy_flow_targets_t *targets,
			       const char *service)
{
	GPtrArray *all = g_hash_table_lookup(targets->services, service);
	unsigned count = 0;
	guint i;

	for (i = 0; all && i < all->len; i++)
		count += takes_new_flows(g_ptr_array_index(all, i));
	return count;
}
