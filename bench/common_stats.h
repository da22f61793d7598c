#ifndef COMMON_STATS_H
#define COMMON_STATS_H

/* Statistics of measured values. */

#include <stddef.h>

#include <glib.h>

/* All values of one measurement. */
typedef struct samples {
	GArray *values; /* of double */
} samples_t;

/* Initializes an empty set; free its memory with samples_clear(). */
void samples_init(samples_t *samples);
void samples_clear(samples_t *samples);
void samples_add(samples_t *samples, double value);

/*
 * Returns the value below which the fraction (0 to 1) of the samples lies; 0 if
 * there are none. Sorts the samples.
 */
double samples_percentile(samples_t *samples, double fraction);

/* Returns the mean of the samples; 0 if there are none. */
double samples_mean(const samples_t *samples);

/* How unequal values are; variation is the coefficient of variation. */
typedef struct spread {
	double max_over_mean;
	double variation;
} spread_t;

/* Returns the spread of n values; { 1, 0 } if their sum is not positive. */
spread_t spread_of(const double *values, size_t n);

#endif
