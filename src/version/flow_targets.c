#include "flow_targets_private.h"

#include <stddef.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "damaskyard/address.h"

static void free_target(void *data)
{
	target_t *target = data;

	dy_list_remove(&target->suspect_link);
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
	dy_list_init(&targets->suspects);
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

target_t *flow_targets_find(const dy_flow_targets_t *targets,
			    const dy_address_t *agent)
{
	return g_hash_table_lookup(targets->by_address, agent);
}

static void remove_address(dy_flow_targets_t *targets, target_t *target)
{
	if (flow_targets_find(targets, &target->address) == target)
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
	dy_list_init(&target->suspect_link);
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
		target->refuses = 0;
		target->avoided_until_ms = 0;
		memset(&target->silence, 0, sizeof(target->silence));
		memset(&target->path, 0, sizeof(target->path));
		memset(&target->pace, 0, sizeof(target->pace));
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
		flow_targets_end_lost_check(target);
	if (!target->load.slots)
		target->load.slots = member->info.slots;
}

const char *dy_flow_targets_service(const dy_flow_targets_t *targets,
				    const dy_address_t *agent)
{
	const target_t *target = flow_targets_find(targets, agent);

	return target ? target->service : NULL;
}

void dy_flow_targets_set_load(dy_flow_targets_t *targets,
			      const dy_address_t *agent,
			      const dy_flow_load_t *load, uint64_t now_ms)
{
	target_t *target = flow_targets_find(targets, agent);

	if (!target)
		return;
	target->load = *load;
	target->refuses = !load->accepts;
	target->opened = 0;
	target->avoided_until_ms = 0;
	target->last_report_ms = now_ms;
	target->quiet_until_ms = 0;
	dy_flow_silence_end(&target->silence);
	targets->last_report_ms = now_ms;
}

void dy_flow_targets_watch_pace(dy_flow_targets_t *targets,
				dy_flow_targets_pace_cb_t *changed,
				void *context)
{
	targets->pace_changed = changed;
	targets->pace_context = context;
}

typedef struct comparison {
	const dy_flow_targets_t *targets;
	unsigned count; /* of targets compared */
	uint64_t now_ms;
} comparison_t;

static void tell_pace_changed(void *context, const dy_target_pace_t *pace,
			      dy_target_pace_change_t change,
			      uint32_t median_us)
{
	const comparison_t *comparison = context;
	const target_t *target = (const target_t *)((const char *)pace -
						    offsetof(target_t, pace));
	const dy_flow_targets_t *targets = comparison->targets;

	if (targets->pace_changed)
		targets->pace_changed(targets->pace_context, &target->address,
				      pace, change, median_us,
				      comparison->count, comparison->now_ms);
}

static void compare_service(const dy_flow_targets_t *targets,
			    const GPtrArray *list, uint64_t now_ms)
{
	dy_target_pace_t **paces = g_new(dy_target_pace_t *, list->len);
	comparison_t comparison = { targets, 0, now_ms };
	target_t *target;
	guint i;

	for (i = 0; i < list->len; i++) {
		target = g_ptr_array_index(list, i);
		if (flow_targets_accepts_new_flows(target))
			paces[comparison.count++] = &target->pace;
	}
	dy_target_pace_compare(paces, comparison.count, now_ms,
			       tell_pace_changed, &comparison);
	g_free(paces);
}

void dy_flow_targets_set_pace(dy_flow_targets_t *targets,
			      const dy_address_t *agent,
			      const dy_flow_pace_t *pace, uint64_t now_ms)
{
	target_t *target = flow_targets_find(targets, agent);
	GHashTableIter iter;
	gpointer list;

	if (target)
		dy_target_pace_report(&target->pace, pace, now_ms);
	if (now_ms - targets->compared_ms < DY_FLOW_REPORT_INTERVAL_MS)
		return;
	targets->compared_ms = now_ms;
	g_hash_table_iter_init(&iter, targets->services);
	while (g_hash_table_iter_next(&iter, NULL, &list))
		compare_service(targets, list, now_ms);
}

void dy_flow_targets_set_deliveries(dy_flow_targets_t *targets,
				    const dy_address_t *agent, int deliveries)
{
	target_t *target = flow_targets_find(targets, agent);

	if (target)
		target->deliveries = deliveries;
}

int dy_flow_targets_accepts_deliveries(const dy_flow_targets_t *targets,
				       const dy_address_t *agent)
{
	const target_t *target = flow_targets_find(targets, agent);

	return target && target->deliveries;
}

int dy_flow_targets_set_received(dy_flow_targets_t *targets,
				 const dy_address_t *agent, uint32_t received,
				 uint64_t now_ms)
{
	target_t *target = flow_targets_find(targets, agent);

	return target &&
	       dy_flow_path_receive_report(&target->path, received, now_ms);
}

int dy_flow_targets_is_path_broken(const dy_flow_targets_t *targets,
				   const dy_address_t *agent)
{
	const target_t *target = flow_targets_find(targets, agent);

	return target && target->path.broken;
}

void dy_flow_targets_set_members_confirmed(dy_flow_targets_t *targets,
					   uint64_t polled_ms)
{
	targets->confirmed_poll_ms = polled_ms;
}

void dy_flow_targets_note_sent(dy_flow_targets_t *targets,
			       const dy_address_t *agent, uint64_t now_ms)
{
	target_t *target = flow_targets_find(targets, agent);

	if (!target)
		return;
	dy_flow_silence_note_sent(&target->silence, now_ms);
	dy_flow_path_note_sent(&target->path, now_ms);
}

int dy_flow_targets_begin_probe(dy_flow_targets_t *targets,
				const dy_address_t *agent, uint64_t now_ms)
{
	target_t *target = flow_targets_find(targets, agent);

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
	const target_t *target = flow_targets_find(targets, agent);

	return target && is_unresponsive(targets, target, now_ms);
}

void dy_flow_targets_set_finding(dy_flow_targets_t *targets,
				 const dy_address_t *agent,
				 const dy_address_t *witness,
				 dy_flow_answer_t answer, uint64_t now_ms)
{
	target_t *target = flow_targets_find(targets, agent);

	if (!target)
		return;
	if (answer != DY_FLOW_NO_ANSWER)
		dy_flow_silence_end(&target->silence);
	else
		dy_flow_silence_confirm(&target->silence, witness, now_ms);
	flow_targets_excuse_suspect(target, answer, now_ms);
}

void dy_flow_targets_note_opened(dy_flow_targets_t *targets,
				 const dy_address_t *agent)
{
	target_t *target = flow_targets_find(targets, agent);

	if (target)
		target->opened++;
}

void dy_flow_targets_note_unanswered(dy_flow_targets_t *targets,
				     const dy_address_t *agent, uint64_t now_ms)
{
	target_t *target = flow_targets_find(targets, agent);

	if (target)
		target->avoided_until_ms = now_ms + DY_FLOW_UNANSWERED_AVOID_MS;
}

static int64_t age_ms(uint64_t since_ms, uint64_t now_ms)
{
	return since_ms ? (int64_t)(now_ms - since_ms) : -1;
}

static const char *state_name(const target_t *target)
{
	if (target->serving)
		return "serving";
	return target->suspect ? "suspect" : "other";
}

void dy_flow_targets_load_facts(const dy_flow_targets_t *targets,
				const dy_address_t *agent, uint64_t now_ms,
				dy_flow_agent_facts_t *facts)
{
	const target_t *target = flow_targets_find(targets, agent);

	memset(facts, 0, sizeof(*facts));
	facts->confirmed_age_ms = age_ms(targets->confirmed_poll_ms, now_ms);
	facts->report_age_ms = -1;
	facts->unanswered_age_ms = -1;
	facts->state = "unknown";
	if (!target)
		return;
	facts->state = state_name(target);
	facts->report_age_ms = age_ms(target->last_report_ms, now_ms);
	facts->unanswered_age_ms =
		age_ms(target->silence.unanswered_since_ms, now_ms);
	dy_flow_silence_witnesses(&target->silence, now_ms, facts->witnesses);
}
