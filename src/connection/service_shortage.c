#include "damaskyard/service_shortage.h"

#include <string.h>

#include <glib.h>

typedef struct record {
	char *service;
	uint64_t since_ms;
	uint64_t reported_ms;
	int is_active; /* an opening was recorded since the last report */
	dy_shortage_report_t report;
} record_t;

struct dy_service_shortage {
	GHashTable *records;
	char *ended; /* name of the service that was short until lately */
};

static void free_record(void *data)
{
	record_t *record = data;

	g_free(record->service);
	g_free(record);
}

dy_service_shortage_t *dy_service_shortage_create(void)
{
	dy_service_shortage_t *shortage = g_new0(dy_service_shortage_t, 1);

	shortage->records = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  free_record);
	return shortage;
}

void dy_service_shortage_destroy(dy_service_shortage_t *shortage)
{
	if (!shortage)
		return;
	g_hash_table_destroy(shortage->records);
	g_free(shortage->ended);
	g_free(shortage);
}

static record_t *get_record(dy_service_shortage_t *shortage,
			    const char *service, uint64_t now_ms)
{
	record_t *record = g_hash_table_lookup(shortage->records, service);

	if (record)
		return record;
	record = g_new0(record_t, 1);
	record->service = g_strdup(service);
	record->since_ms = now_ms;
	record->reported_ms = now_ms;
	g_hash_table_insert(shortage->records, record->service, record);
	return record;
}

void dy_service_shortage_note(dy_service_shortage_t *shortage,
			      const char *service, unsigned priority,
			      dy_opening_outcome_t outcome, uint64_t now_ms)
{
	record_t *record = get_record(shortage, service, now_ms);

	record->is_active = 1;
	record->report
		.counts[MIN(priority, (unsigned)DY_PRIORITY_LOWEST)][outcome]++;
}

static record_t *find_due(dy_service_shortage_t *shortage, uint64_t now_ms)
{
	GHashTableIter iter;
	record_t *record;
	gpointer value;

	g_hash_table_iter_init(&iter, shortage->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record = value;
		if (now_ms - record->reported_ms >=
		    DY_SHORTAGE_REPORT_INTERVAL_MS)
			return record;
	}
	return NULL;
}

int dy_service_shortage_next(dy_service_shortage_t *shortage, uint64_t now_ms,
			     dy_shortage_report_t *report)
{
	record_t *record = find_due(shortage, now_ms);

	if (!record)
		return 0;
	*report = record->report;
	report->short_ms = now_ms - record->since_ms;
	report->service = record->service;
	memset(&record->report, 0, sizeof(record->report));
	record->reported_ms = now_ms;
	if (!record->is_active) {
		g_free(shortage->ended);
		shortage->ended = g_strdup(record->service);
		report->service = shortage->ended;
		g_hash_table_remove(shortage->records, shortage->ended);
		return 1;
	}
	record->is_active = 0;
	return 1;
}

unsigned dy_shortage_report_sum(const dy_shortage_report_t *report,
				dy_opening_outcome_t outcome)
{
	unsigned sum = 0;
	unsigned i;

	for (i = 0; i <= DY_PRIORITY_LOWEST; i++)
		sum += report->counts[i][outcome];
	return sum;
}
