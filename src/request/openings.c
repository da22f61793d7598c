#include "openings.h"

#include <string.h>

#include <glib.h>
#include <xxhash.h>

/* Ring buffer in sending order, with an index by key. */
struct openings {
	opening_t ring[OPENINGS_MAX];
	unsigned first;
	unsigned count;
	GHashTable *by_key; /* key: entry in the ring */
};

openings_t *openings_create(void)
{
	openings_t *openings = g_new0(openings_t, 1);

	openings->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
	return openings;
}

void openings_destroy(openings_t *openings)
{
	if (!openings)
		return;
	g_hash_table_destroy(openings->by_key);
	g_free(openings);
}

uint64_t openings_key(const dy_address_t *caller, uint32_t xid)
{
	uint8_t bytes[DY_IP_BYTES + 8];
	uint64_t key;

	memcpy(bytes, caller->ip, DY_IP_BYTES);
	memcpy(bytes + DY_IP_BYTES, &caller->port, 4);
	memcpy(bytes + DY_IP_BYTES + 4, &xid, 4);
	key = XXH3_64bits(bytes, sizeof(bytes));
	return key ? key : 1;
}

const opening_t *openings_find(const openings_t *openings, uint64_t key)
{
	return g_hash_table_lookup(openings->by_key, &key);
}

/* A removed entry stays in the ring with key 0 until it is the oldest. */
static void remove_entry(openings_t *openings, opening_t *entry)
{
	g_hash_table_remove(openings->by_key, &entry->key);
	entry->key = 0;
}

static opening_t *pop_first(openings_t *openings)
{
	opening_t *entry = &openings->ring[openings->first];

	openings->first = (openings->first + 1) % OPENINGS_MAX;
	openings->count--;
	return entry;
}

unsigned openings_add(openings_t *openings, const opening_t *opening,
		      opening_t displaced[OPENINGS_DISPLACED_MAX])
{
	opening_t *entry;
	unsigned count = 0;

	entry = g_hash_table_lookup(openings->by_key, &opening->key);
	if (entry) {
		displaced[count++] = *entry;
		remove_entry(openings, entry);
	}
	if (openings->count == OPENINGS_MAX) {
		entry = pop_first(openings);
		if (entry->key) {
			displaced[count++] = *entry;
			remove_entry(openings, entry);
		}
	}
	entry = &openings->ring[(openings->first + openings->count) %
				OPENINGS_MAX];
	openings->count++;
	*entry = *opening;
	g_hash_table_insert(openings->by_key, &entry->key, entry);
	return count;
}

int openings_remove(openings_t *openings, uint64_t key, opening_t *opening)
{
	opening_t *entry = g_hash_table_lookup(openings->by_key, &key);

	if (!entry)
		return 0;
	*opening = *entry;
	remove_entry(openings, entry);
	return 1;
}

int openings_expire(openings_t *openings, uint64_t now_ms, opening_t *opening)
{
	opening_t *entry;

	while (openings->count) {
		entry = &openings->ring[openings->first];
		if (entry->key && now_ms - entry->sent_ms < OPENING_TIMEOUT_MS)
			return 0;
		pop_first(openings);
		if (!entry->key)
			continue;
		*opening = *entry;
		remove_entry(openings, entry);
		return 1;
	}
	return 0;
}
