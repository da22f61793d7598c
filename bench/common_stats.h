#ifndef COMMON_STATS_H
#define COMMON_STATS_H

/* Samples of a measure, and their percentiles. */

#include <stddef.h>

#include <glib.h>

typedef struct samples {
	GArray *values; /* of double */
} samples_t;

void samples_init(samples_t *samples);
void samples_clear(samples_t *samples);
void samples_add(samples_t *samples, double value);

/* The value below which `part` (0 to 1) of the samples are; 0 if none. */
double samples_percentile(samples_t *samples, double part);

double samples_mean(const samples_t *samples);

/* Max over mean, and coefficient of variation, of n values. */
typedef struct spread {
	double max_over_mean;
	double variation;
} spread_t;

spread_t spread_of(const double *values, size_t n);

#endif
