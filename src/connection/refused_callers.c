#include "damaskyard/refused_callers.h"

#include <glib.h>

#include "damaskyard/list.h"

typedef struct caller {
	dy_list_t link; /* in by_time, first refused first */
	uint32_t ip;
	uint64_t refused_ms;
} caller_t;

struct dy_refused_callers {
	GHashTable *by_ip;
	dy_list_t by_time;
};

dy_refused_callers_t *dy_refused_callers_create(void)
{
	dy_refused_callers_t *callers = g_new0(dy_refused_callers_t, 1);

	callers->by_ip =
		g_hash_table_new_full(g_int_hash, g_int_equal, NULL, g_free);
	dy_list_init(&callers->by_time);
	return callers;
}

void dy_refused_callers_destroy(dy_refused_callers_t *callers)
{
	if (!callers)
		return;
	g_hash_table_destroy(callers->by_ip);
	g_free(callers);
}

static void forget(dy_refused_callers_t *callers, caller_t *caller)
{
	dy_list_remove(&caller->link);
	g_hash_table_remove(callers->by_ip, &caller->ip);
}

static void expire(dy_refused_callers_t *callers, uint64_t now_ms)
{
	caller_t *first;

	while (!dy_list_empty(&callers->by_time)) {
		first = DY_LIST_ITEM(callers->by_time.next, caller_t, link);
		if (now_ms - first->refused_ms < DY_REFUSED_CALLER_TTL_MS &&
		    g_hash_table_size(callers->by_ip) <= DY_REFUSED_CALLERS_MAX)
			return;
		forget(callers, first);
	}
}

void dy_refused_callers_add(dy_refused_callers_t *callers, uint32_t caller_ip,
			    uint64_t now_ms)
{
	caller_t *caller = g_hash_table_lookup(callers->by_ip, &caller_ip);

	if (!caller) {
		caller = g_new0(caller_t, 1);
		caller->ip = caller_ip;
		dy_list_init(&caller->link);
		g_hash_table_insert(callers->by_ip, &caller->ip, caller);
	}
	caller->refused_ms = now_ms;
	dy_list_remove(&caller->link);
	dy_list_append(&callers->by_time, &caller->link);
	expire(callers, now_ms);
}

int dy_refused_callers_has(dy_refused_callers_t *callers, uint32_t caller_ip,
			   uint64_t now_ms)
{
	expire(callers, now_ms);
	return g_hash_table_contains(callers->by_ip, &caller_ip);
}
