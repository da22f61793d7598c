#include "damaskyard/histogram.h"

#include <glib.h>

static const unsigned bounds[DY_HISTOGRAM_BUCKETS - 1] = {
	1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000,
};

void dy_histogram_init(dy_histogram_t *histogram, dy_metrics_t *metrics,
		       const char *name)
{
	char *text;
	int i;

	for (i = 0; i < DY_HISTOGRAM_BUCKETS; i++) {
		if (i < DY_HISTOGRAM_BUCKETS - 1)
			text = g_strdup_printf("%s_le_%u", name, bounds[i]);
		else
			text = g_strdup_printf("%s_more", name);
		histogram->buckets[i] =
			dy_metrics_counter(metrics, g_intern_string(text));
		g_free(text);
	}
}

void dy_histogram_add(dy_histogram_t *histogram, uint64_t ms)
{
	int i = 0;

	while (i < DY_HISTOGRAM_BUCKETS - 1 && ms > bounds[i])
		i++;
	++*histogram->buckets[i];
}
