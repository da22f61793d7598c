#include "common_stats.h"

#include <math.h>

void samples_init(samples_t *samples)
{
	samples->values = g_array_new(FALSE, FALSE, sizeof(double));
}

void samples_clear(samples_t *samples)
{
	g_array_free(samples->values, TRUE);
	samples->values = NULL;
}

void samples_add(samples_t *samples, double value)
{
	g_array_append_val(samples->values, value);
}

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

double samples_percentile(samples_t *samples, double fraction)
{
	guint index;

	if (!samples->values->len)
		return 0;
	g_array_sort(samples->values, compare_doubles);
	index = (guint)(fraction * (samples->values->len - 1));
	return g_array_index(samples->values, double, index);
}

double samples_mean(const samples_t *samples)
{
	double sum = 0;
	guint i;

	for (i = 0; i < samples->values->len; i++)
		sum += g_array_index(samples->values, double, i);
	return samples->values->len ? sum / samples->values->len : 0;
}

spread_t spread_of(const double *values, size_t n)
{
	spread_t spread = { 1, 0 };
	double sum = 0, squares = 0, max = 0, mean;
	size_t i;

	for (i = 0; i < n; i++) {
		sum += values[i];
		squares += values[i] * values[i];
		max = MAX(max, values[i]);
	}
	if (!n || sum <= 0)
		return spread;
	mean = sum / (double)n;
	spread.max_over_mean = max / mean;
	spread.variation =
		sqrt(MAX(squares / (double)n - mean * mean, 0)) / mean;
	return spread;
}
