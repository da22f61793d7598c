#include "damaskyard/metrics.h"

#include <string.h>

#include <glib.h>

typedef struct metric {
	const char *name;
	uint64_t value;
} metric_t;

struct dy_metrics {
	GPtrArray *metrics;
};

dy_metrics_t *dy_metrics_create(void)
{
	dy_metrics_t *metrics = g_new0(dy_metrics_t, 1);

	metrics->metrics = g_ptr_array_new_with_free_func(g_free);
	return metrics;
}

void dy_metrics_destroy(dy_metrics_t *metrics)
{
	if (!metrics)
		return;
	g_ptr_array_free(metrics->metrics, TRUE);
	g_free(metrics);
}

static metric_t *find_metric(const dy_metrics_t *metrics, const char *name)
{
	metric_t *metric;
	guint i;

	for (i = 0; i < metrics->metrics->len; i++) {
		metric = g_ptr_array_index(metrics->metrics, i);
		if (!strcmp(metric->name, name))
			return metric;
	}
	return NULL;
}

uint64_t *dy_metrics_counter(dy_metrics_t *metrics, const char *name)
{
	metric_t *metric = find_metric(metrics, name);

	if (!metric) {
		metric = g_new0(metric_t, 1);
		metric->name = name;
		g_ptr_array_add(metrics->metrics, metric);
	}
	return &metric->value;
}

void dy_metrics_counters(dy_metrics_t *metrics,
			 const dy_metrics_entry_t *entries, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		*entries[i].counter =
			dy_metrics_counter(metrics, entries[i].name);
}

uint64_t dy_metrics_value(const dy_metrics_t *metrics, const char *name)
{
	metric_t *metric = find_metric(metrics, name);

	return metric ? metric->value : 0;
}

void dy_metrics_each(const dy_metrics_t *metrics, dy_metrics_each_cb_t *each,
		     void *context)
{
	metric_t *metric;
	guint i;

	for (i = 0; i < metrics->metrics->len; i++) {
		metric = g_ptr_array_index(metrics->metrics, i);
		each(context, metric->name, metric->value);
	}
}
