/* Selection of targets: for new flows, searches, relays and witnesses. */

#include "flow_targets_private.h"

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "damaskyard/address.h"

/* A target in the ranking of a flow. */
typedef struct candidate {
	uint64_t rank;
	double score;
	const target_t *target;
} candidate_t;

/* An agent that is sent nothing stops its reports, so an old one is ignored. */
static int refuses_openings(const target_t *target, uint64_t now_ms)
{
	return target->refuses &&
	       now_ms - target->last_report_ms <= DY_FLOW_REFUSAL_AGE_MAX_MS;
}

int dy_flow_targets_admits(const dy_flow_targets_t *targets,
			   const dy_address_t *agent, uint64_t now_ms)
{
	const target_t *target = flow_targets_find(targets, agent);

	return target && target->serving && !refuses_openings(target, now_ms);
}

static double compute_score(const candidate_t *candidate, int prefer_domain,
			    uint64_t now_ms)
{
	const target_t *target = candidate->target;
	const dy_flow_load_t *load = &target->load;
	double weight =
		dy_target_pace_weight(&target->pace, candidate->rank, now_ms);
	double slots = (load->slots ? load->slots : 1) * weight;
	double score = (load->flows + target->opened) / slots;

	if (weight != 1)
		score += DY_FLOW_OWN_WEIGHT * (1 / weight - 1);
	if (load->busy > load->slots)
		score += DY_FLOW_QUEUED_WEIGHT * (load->busy - load->slots) /
			 slots;
	if (load->cold)
		score += DY_FLOW_COLD_PENALTY;
	if (!target->same_domain && prefer_domain)
		score *= DY_FLOW_REMOTE_BULK_FACTOR;
	if (!target->same_domain)
		score += DY_FLOW_REMOTE_PENALTY;
	if (dy_target_pace_is_withheld(&target->pace, candidate->rank))
		score += DY_FLOW_WITHHELD_PENALTY;
	if (target->avoided_until_ms > now_ms || target->path.broken ||
	    refuses_openings(target, now_ms))
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

int flow_targets_accepts_new_flows(const target_t *target)
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
		if (new_flow &&
		    !flow_targets_accepts_new_flows(candidate.target))
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
				int prefer_domain, uint64_t now_ms,
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
			compute_score(&candidates[i], prefer_domain, now_ms);
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
		count += flow_targets_accepts_new_flows(
			g_ptr_array_index(all, i));
	return count;
}

/* Returns whether messages pass in both directions between here and target. */
static int is_reachable(const target_t *target, uint64_t now_ms)
{
	return target->serving && !target->path.broken &&
	       now_ms - target->last_report_ms <= DY_FLOW_RELAY_AGE_MAX_MS;
}

int dy_flow_targets_find_relay(const dy_flow_targets_t *targets,
			       const dy_address_t *agent,
			       const dy_flow_id_t *flow, uint64_t now_ms,
			       dy_address_t *relay)
{
	const target_t *to = flow_targets_find(targets, agent);
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
		if (!is_reachable(target, now_ms) ||
		    target->domain == to->domain)
			continue;
		*relay = target->address;
		found = 1;
		if (!target->same_domain)
			return 1;
	}
	return found;
}

/*
 * Finds an agent of list that can probe subject, other than exclude: one of
 * subject's domain or, with other_domain, of another one, if there is any. hash
 * names the place to begin.
 */
static const target_t *find_witness(const GPtrArray *list,
				    const target_t *subject,
				    const target_t *exclude, uint64_t hash,
				    int other_domain, uint64_t now_ms)
{
	guint start = (guint)(hash % list->len);
	const target_t *found = NULL;
	const target_t *target;
	guint i;

	for (i = 0; i < MIN(list->len, DY_FLOW_RELAY_CANDIDATES_MAX); i++) {
		target = g_ptr_array_index(list, (start + i) % list->len);
		if (target == subject || target == exclude ||
		    !is_reachable(target, now_ms))
			continue;
		found = target;
		if ((target->domain != subject->domain) == other_domain)
			break;
	}
	return found;
}

unsigned flow_targets_begin_inquiry(const dy_flow_targets_t *targets,
				    target_t *subject, uint64_t hash,
				    uint64_t now_ms,
				    dy_address_t witnesses[DY_FLOW_WITNESSES])
{
	const target_t *witness = NULL;
	const GPtrArray *list;
	unsigned count = 0;

	if (!subject->service ||
	    !dy_flow_silence_begin_inquiry(&subject->silence, now_ms))
		return 0;
	list = g_hash_table_lookup(targets->services, subject->service);
	while (count < DY_FLOW_WITNESSES) {
		witness = find_witness(list, subject, witness, hash, !count,
				       now_ms);
		if (!witness)
			break;
		witnesses[count++] = witness->address;
	}
	return count;
}

unsigned dy_flow_targets_begin_inquiry(
	dy_flow_targets_t *targets, const dy_address_t *agent,
	const dy_flow_id_t *flow, uint64_t now_ms,
	dy_address_t witnesses[DY_FLOW_WITNESSES])
{
	target_t *subject = flow_targets_find(targets, agent);

	return subject ? flow_targets_begin_inquiry(targets, subject,
						    dy_flow_id_hash(flow),
						    now_ms, witnesses)
		       : 0;
}
