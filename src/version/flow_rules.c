#include "damaskyard/flow_rules.h"

#include <string.h>

#include <glib.h>

#include "damaskyard/invariant.h"

/* Makes the draw of a share independent of the ranking of targets. */
#define SHARE_SALT 0x9e3779b97f4a7c15u

struct dy_flow_rules {
	unsigned refs;
	uint64_t version;
	GHashTable *entries; /* by record::key */
	GHashTable *cold;    /* service name to new flows per 1,000 s */
};

typedef struct record {
	unsigned refs; /* rules that have it */
	gint64 key;    /* address and port */
	dy_flow_entry_t entry;
} record_t;

static gint64 make_key(uint32_t ip, uint16_t port)
{
	return (gint64)((uint64_t)ip << 16 | port);
}

static void unref_record(void *data)
{
	record_t *record = data;
	int i;

	if (--record->refs)
		return;
	for (i = 0; i < record->entry.share_count; i++)
		g_free(record->entry.shares[i].service);
	g_free(record);
}

dy_flow_rules_t *dy_flow_rules_create(uint64_t version)
{
	dy_flow_rules_t *rules = g_new0(dy_flow_rules_t, 1);

	rules->refs = 1;
	rules->version = version;
	rules->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, unref_record);
	rules->cold =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return rules;
}

void dy_flow_rules_destroy(dy_flow_rules_t *rules)
{
	if (!rules || --rules->refs)
		return;
	g_hash_table_destroy(rules->entries);
	g_hash_table_destroy(rules->cold);
	g_free(rules);
}

dy_flow_rules_t *dy_flow_rules_ref(dy_flow_rules_t *rules)
{
	rules->refs++;
	return rules;
}

static uint64_t sum_weights(const dy_flow_entry_t *entry)
{
	uint64_t sum = 0;
	int i;

	for (i = 0; i < entry->share_count; i++)
		sum += entry->shares[i].weight;
	return sum;
}

static const char *insert(dy_flow_rules_t *rules, record_t *record)
{
	if (g_hash_table_contains(rules->entries, &record->key))
		return "another entry has the same address and port";
	record->refs++;
	g_hash_table_insert(rules->entries, &record->key, record);
	return NULL;
}

const char *dy_flow_rules_add(dy_flow_rules_t *rules,
			      const dy_flow_entry_t *entry)
{
	record_t *record;
	const char *problem;
	int i;

	if (!entry->share_count)
		return "the entry has no service";
	if (!sum_weights(entry))
		return "the services of the entry have no weight";
	record = g_new0(record_t, 1);
	record->key = make_key(entry->ip, entry->port);
	record->entry = *entry;
	for (i = 0; i < entry->share_count; i++)
		record->entry.shares[i].service =
			g_strdup(entry->shares[i].service);
	record->refs = 1;
	problem = insert(rules, record);
	unref_record(record);
	return problem;
}

const char *dy_flow_rules_share(dy_flow_rules_t *rules,
				const dy_flow_entry_t *entry)
{
	return insert(rules,
		      (record_t *)((char *)entry - offsetof(record_t, entry)));
}

const dy_flow_entry_t *dy_flow_rules_find(const dy_flow_rules_t *rules,
					  uint32_t ip, uint16_t port)
{
	gint64 key = make_key(ip, port);
	const record_t *record = g_hash_table_lookup(rules->entries, &key);

	return record ? &record->entry : NULL;
}

void dy_flow_rules_set_cold_openings(dy_flow_rules_t *rules,
				     const char *service, uint32_t openings)
{
	if (openings)
		g_hash_table_insert(rules->cold, g_strdup(service),
				    GUINT_TO_POINTER(openings));
}

uint32_t dy_flow_rules_cold_openings(const dy_flow_rules_t *rules,
				     const char *service)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(rules->cold, service));
}

uint64_t dy_flow_rules_version(const dy_flow_rules_t *rules)
{
	return rules->version;
}

unsigned dy_flow_rules_count(const dy_flow_rules_t *rules)
{
	return g_hash_table_size(rules->entries);
}

void dy_flow_entry_order_shares(const dy_flow_entry_t *entry,
				const dy_flow_id_t *flow,
				uint8_t order[DY_FLOW_SHARES_MAX])
{
	uint64_t draw = dy_flow_id_hash(flow) * SHARE_SALT;
	uint64_t sum = sum_weights(entry);
	uint64_t left;
	uint8_t first = 0;
	uint8_t count = 1;
	uint8_t i;

	/* dy_flow_rules_add() refuses entries without a weight. */
	dy_assert(sum);
	left = (draw >> 32) % sum;
	while (left >= entry->shares[first].weight)
		left -= entry->shares[first++].weight;
	order[0] = first;
	for (i = 0; i < entry->share_count; i++)
		if (i != first)
			order[count++] = i;
}
