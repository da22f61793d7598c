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
	char *domain; /* interned */
	int same_domain;
	int evacuated; /* its domain is evacuated */
	int serving;
	int suspect;
	int deliveries; /* the agent accepts DELIVERY */
	dy_flow_load_t load;
	uint32_t opened; /* flows opened since its last report */
	uint64_t avoided_until_ms;
	uint64_t last_report_ms;
	/* First call of dy_flow_targets_is_lost() since it is suspect, or 0. */
	uint64_t lost_check_ms;
	dy_flow_silence_t silence;
	dy_flow_path_t path;
} target_t;

struct dy_flow_targets {
	const char *domain;
	GHashTable *by_id;
	GHashTable *by_address;	 /* the newest member at each address */
	GHashTable *services;	 /* name to GPtrArray of targets */
	GHashTable *evacuated;	 /* names of domains, a set */
	unsigned agent_count;	 /* agents that have a service */
	uint64_t last_report_ms; /* of any agent */
	/* Send time of the newest poll that was answered. */
	uint64_t confirmed_poll_ms;
};

/* A target in the ranking of a flow. */
typedef struct candidate {
	uint64_t rank;
	double score;
	const target_t *target;
} candidate_t;

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

static void remove_from_service(dy_flow_targets_t *targets, target_t *target)
{
	GPtrArray *list;

	if (!target->service)
		return;
	list = g_hash_table_lookup(targets->services, target->service);
	g_ptr_array_remove_fast(list, target);
	targets->agent_count--;
	if (!list->len)
		g_hash_table_remove(targets->services, target->service);
	g_clear_pointer(&target->service, g_free);
}

static void add_to_service(dy_flow_targets_t *targets, target_t *target,
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
	targets->agent_count++;
}

static target_t *find_by_address(const dy_flow_targets_t *targets,
				 const dy_address_t *agent)
{
	return g_hash_table_lookup(targets->by_address, agent);
}

static void remove_address(dy_flow_targets_t *targets, target_t *target)
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
	remove_from_service(targets, target);
	remove_address(targets, target);
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
		target->deliveries = 0;
		target->avoided_until_ms = 0;
		memset(&target->silence, 0, sizeof(target->silence));
		memset(&target->path, 0, sizeof(target->path));
	}
	remove_from_service(targets, target);
	add_to_service(targets, target, member->info.service);
	target->incarnation = member->incarnation;
	remove_address(targets, target);
	target->address = member->info.address;
	g_hash_table_replace(targets->by_address, &target->address, target);
	target->hash = XXH3_64bits(target->address.ip, DY_IP_BYTES) ^
		       (uint64_t)target->address.port * XXH_PRIME64_1;
	set_domain(targets, target, member->info.domain);
	target->serving = member->state == DY_MEMBER_SERVING;
	target->suspect = member->state == DY_MEMBER_SUSPECT;
	if (!target->suspect)
		target->lost_check_ms = 0;
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
	target->avoided_until_ms = 0;
	target->last_report_ms = now_ms;
	dy_flow_silence_end(&target->silence);
	targets->last_report_ms = now_ms;
}

void dy_flow_targets_set_deliveries(dy_flow_targets_t *targets,
				    const dy_address_t *agent, int deliveries)
{
	target_t *target = find_by_address(targets, agent);

	if (target)
		target->deliveries = deliveries;
}

int dy_flow_targets_accepts_deliveries(const dy_flow_targets_t *targets,
				       const dy_address_t *agent)
{
	const target_t *target = find_by_address(targets, agent);

	return target && target->deliveries;
}

int dy_flow_targets_set_received(dy_flow_targets_t *targets,
				 const dy_address_t *agent, uint32_t received,
				 uint64_t now_ms)
{
	target_t *target = find_by_address(targets, agent);

	return target &&
	       dy_flow_path_receive_report(&target->path, received, now_ms);
}

int dy_flow_targets_is_path_broken(const dy_flow_targets_t *targets,
				   const dy_address_t *agent)
{
	const target_t *target = find_by_address(targets, agent);

	return target && target->path.broken;
}

/* Returns whether target is reachable and can relay messages to another. */
static int can_relay(const target_t *target, const target_t *to,
		     uint64_t now_ms)
{
	return target->serving && !target->path.broken &&
	       now_ms - target->last_report_ms <= DY_FLOW_RELAY_AGE_MAX_MS &&
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
		if (!can_relay(target, to, now_ms))
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
	targets->confirmed_poll_ms = polled_ms;
}

void dy_flow_targets_note_sent(dy_flow_targets_t *targets,
			       const dy_address_t *agent, uint64_t now_ms)
{
	target_t *target = find_by_address(targets, agent);

	if (!target)
		return;
	dy_flow_silence_note_sent(&target->silence, now_ms);
	dy_flow_path_note_sent(&target->path, now_ms);
}

int dy_flow_targets_begin_probe(dy_flow_targets_t *targets,
				const dy_address_t *agent, uint64_t now_ms)
{
	target_t *target = find_by_address(targets, agent);

	if (!target ||
	    now_ms - target->silence.last_sent_ms < DY_FLOW_REPORT_INTERVAL_MS)
		return 0;
	dy_flow_silence_note_sent(&target->silence, now_ms);
	dy_flow_path_note_sent(&target->path, now_ms);
	return 1;
}

static int is_unresponsive(const dy_flow_targets_t *targets,
			   const target_t *target, uint64_t now_ms)
{
	if (!target->serving ||
	    !dy_flow_silence_is_certain(&target->silence, now_ms))
		return 0;
	/* No agent reports: the fault is on this balancer's side. */
	if (now_ms - targets->last_report_ms > DY_FLOW_REPORT_INTERVAL_MS)
		return 0;
	/*
	 * The flows of an agent that is stopped and restarted as planned
	 * continue. Such an agent tells control before it stops, so the answer
	 * to a later poll would have reported it.
	 */
	return targets->confirmed_poll_ms > target->silence.unanswered_since_ms;
}

int dy_flow_targets_is_unresponsive(const dy_flow_targets_t *targets,
				    const dy_address_t *agent, uint64_t now_ms)
{
	const target_t *target = find_by_address(targets, agent);

	return target && is_unresponsive(targets, target, now_ms);
}

/* Returns whether the target can probe another agent for this balancer. */
static int can_witness(const target_t *target, uint64_t now_ms)
{
	return target->serving && !target->path.broken &&
	       now_ms - target->last_report_ms <= DY_FLOW_RELAY_AGE_MAX_MS;
}

/*
 * Finds an agent of list that can probe subject, other than exclude: one of
 * subject's domain or, with other_domain, of another one, if there is any. The
 * flow's hash names the place to begin, so that witnesses differ between flows.
 */
static const target_t *find_witness(const GPtrArray *list,
				    const target_t *subject,
				    const target_t *exclude,
				    const dy_flow_id_t *flow, int other_domain,
				    uint64_t now_ms)
{
	guint start = (guint)(dy_flow_id_hash(flow) % list->len);
	const target_t *found = NULL;
	const target_t *target;
	guint i;

	for (i = 0; i < MIN(list->len, DY_FLOW_RELAY_CANDIDATES_MAX); i++) {
		target = g_ptr_array_index(list, (start + i) % list->len);
		if (target == subject || target == exclude ||
		    !can_witness(target, now_ms))
			continue;
		found = target;
		if ((target->domain != subject->domain) == other_domain)
			break;
	}
	return found;
}

unsigned dy_flow_targets_begin_inquiry(
	dy_flow_targets_t *targets, const dy_address_t *agent,
	const dy_flow_id_t *flow, uint64_t now_ms,
	dy_address_t witnesses[DY_FLOW_WITNESSES])
{
	target_t *subject = find_by_address(targets, agent);
	const target_t *witness = NULL;
	const GPtrArray *list;
	unsigned count = 0;

	if (!subject || !subject->service ||
	    !dy_flow_silence_begin_inquiry(&subject->silence, now_ms))
		return 0;
	list = g_hash_table_lookup(targets->services, subject->service);
	while (count < DY_FLOW_WITNESSES) {
		witness = find_witness(list, subject, witness, flow, !count,
				       now_ms);
		if (!witness)
			break;
		witnesses[count++] = witness->address;
	}
	return count;
}

void dy_flow_targets_set_finding(dy_flow_targets_t *targets,
				 const dy_address_t *agent,
				 const dy_address_t *witness, int answered,
				 uint64_t now_ms)
{
	target_t *target = find_by_address(targets, agent);

	if (!target)
		return;
	if (answered)
		dy_flow_silence_end(&target->silence);
	else
		dy_flow_silence_confirm(&target->silence, witness, now_ms);
}

int dy_flow_targets_is_lost(dy_flow_targets_t *targets,
			    const dy_address_t *agent, uint64_t now_ms)
{
	target_t *target = find_by_address(targets, agent);

	if (!target || !target->suspect)
		return 0;
	/*
	 * A balancer that has sent nothing to a live agent, as after its own
	 * start, gets no reports. Its first search must not skip the agent, or
	 * it would not find the agent's flows.
	 */
	if (!target->lost_check_ms)
		target->lost_check_ms = now_ms;
	return now_ms - MAX(target->last_report_ms, target->lost_check_ms) >
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
		target->avoided_until_ms = now_ms + DY_FLOW_UNANSWERED_AVOID_MS;
}

static double compute_score(const target_t *target, int bulk, uint64_t now_ms)
{
	const dy_flow_load_t *load = &target->load;
	double slots = load->slots ? load->slots : 1;
	double score = (load->flows + target->opened) / slots;

	if (load->busy > load->slots)
		score += DY_FLOW_QUEUED_WEIGHT * (load->busy - load->slots) /
			 slots;
	if (load->cold)
		score += DY_FLOW_COLD_PENALTY;
	if (!target->same_domain && bulk)
		score *= DY_FLOW_REMOTE_BULK_FACTOR;
	if (!target->same_domain)
		score += DY_FLOW_REMOTE_PENALTY;
	if (target->avoided_until_ms > now_ms || target->path.broken)
		score += 1e6;
	return score;
}

/* Inserts into a list of at most max, highest rank first. */
static unsigned insert_by_rank(candidate_t *candidates, unsigned count,
			       unsigned max, const candidate_t *candidate)
{
	unsigned pos = count;

	while (pos && candidates[pos - 1].rank < candidate->rank)
		pos--;
	if (pos == max)
		return count;
	if (count < max)
		count++;
	memmove(&candidates[pos + 1], &candidates[pos],
		(count - pos - 1) * sizeof(*candidates));
	candidates[pos] = *candidate;
	return count;
}

static uint64_t compute_rank(const target_t *target, uint64_t flow_hash)
{
	const uint64_t pair[] = { flow_hash, target->hash };

	return XXH3_64bits(pair, sizeof(pair));
}

static int accepts_new_flows(const target_t *target)
{
	return target->serving && !target->evacuated;
}

/*
 * Writes the max highest-ranked targets of a flow; with new_flow only those
 * that accept new flows. Returns their number.
 */
static unsigned rank_targets(const GPtrArray *list, const dy_flow_id_t *flow,
			     int new_flow, unsigned max,
			     candidate_t *candidates)
{
	uint64_t hash = dy_flow_id_hash(flow);
	unsigned count = 0;
	candidate_t candidate = { 0 };
	guint i;

	for (i = 0; i < list->len; i++) {
		candidate.target = g_ptr_array_index(list, i);
		if (new_flow && !accepts_new_flows(candidate.target))
			continue;
		candidate.rank = compute_rank(candidate.target, hash);
		count = insert_by_rank(candidates, count, max, &candidate);
	}
	return count;
}

static void sort_by_score(candidate_t *candidates, unsigned count)
{
	candidate_t candidate;
	unsigned pos;
	unsigned i;

	for (i = 1; i < count; i++) {
		candidate = candidates[i];
		for (pos = i;
		     pos && candidates[pos - 1].score > candidate.score; pos--)
			candidates[pos] = candidates[pos - 1];
		candidates[pos] = candidate;
	}
}

unsigned dy_flow_targets_choose(const dy_flow_targets_t *targets,
				const char *service, const dy_flow_id_t *flow,
				int bulk, uint64_t now_ms,
				dy_address_t list[DY_FLOW_TRIES])
{
	GPtrArray *all = g_hash_table_lookup(targets->services, service);
	candidate_t candidates[DY_FLOW_CANDIDATES];
	unsigned count;
	unsigned i;

	if (!all)
		return 0;
	count = rank_targets(all, flow, 1, DY_FLOW_CANDIDATES, candidates);
	for (i = 0; i < count; i++)
		candidates[i].score =
			compute_score(candidates[i].target, bulk, now_ms);
	sort_by_score(candidates, count);
	for (i = 0; i < count; i++)
		list[i] = candidates[i].target->address;
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
 * Returns how many agents of each other service to search: all if there are
 * few agents, else the highest-ranked ones. The holder was among the first
 * DY_FLOW_CANDIDATES of its service when the flow was opened.
 */
static unsigned other_services_limit(const dy_flow_targets_t *targets)
{
	unsigned services = g_hash_table_size(targets->services);

	if (targets->agent_count <= DY_FLOW_SEARCH_MAX)
		return DY_FLOW_SEARCH_MAX;
	return services <= DY_FLOW_SEARCH_SERVICES_MAX ? DY_FLOW_TRIES : 0;
}

/* Ranks the first agents of each service that is not listed. */
static unsigned rank_others(const dy_flow_targets_t *targets,
			    const char *const *services, unsigned count,
			    const dy_flow_id_t *flow, unsigned max,
			    candidate_t *candidates)
{
	unsigned limit = other_services_limit(targets);
	GHashTableIter iter;
	unsigned found = 0;
	gpointer name;
	gpointer list;

	g_hash_table_iter_init(&iter, targets->services);
	while (limit && g_hash_table_iter_next(&iter, &name, &list))
		if (!is_listed(name, services, count))
			found += rank_targets(list, flow, 0,
					      MIN(limit, max - found),
					      &candidates[found]);
	return found;
}

unsigned dy_flow_targets_search(const dy_flow_targets_t *targets,
				const char *const *services,
				unsigned service_count,
				const dy_flow_id_t *flow, int *complete,
				dy_address_t list[DY_FLOW_SEARCH_MAX])
{
	candidate_t candidates[DY_FLOW_SEARCH_MAX];
	unsigned listed_max = DY_FLOW_SEARCH_MAX;
	unsigned count = 0;
	const GPtrArray *all;
	unsigned i;

	if (targets->agent_count > DY_FLOW_SEARCH_MAX)
		listed_max -= DY_FLOW_SEARCH_RESERVED;
	for (i = 0; i < service_count; i++) {
		all = g_hash_table_lookup(targets->services, services[i]);
		if (all)
			count += rank_targets(all, flow, 0, listed_max - count,
					      &candidates[count]);
	}
	count += rank_others(targets, services, service_count, flow,
			     DY_FLOW_SEARCH_MAX - count, &candidates[count]);
	for (i = 0; i < count; i++)
		list[i] = candidates[i].target->address;
	*complete = count == targets->agent_count;
	return count;
}

unsigned dy_flow_targets_count(const dy_flow_targets_t *targets,
			       const char *service)
{
	GPtrArray *all = g_hash_table_lookup(targets->services, service);
	unsigned count = 0;
	guint i;

	for (i = 0; all && i < all->len; i++)
		count += accepts_new_flows(g_ptr_array_index(all, i));
	return count;
}
