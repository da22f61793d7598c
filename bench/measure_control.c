/*
 * Measures the time until all members of a site are served after every process
 * was killed, in simulated time. It uses the real log, poll queue, invitations
 * and poll pacing, and a simulated processor for each control that takes a
 * given time per message (tests/fake_site.h). Prints a row of key=value or CSV
 * for each size and variant.
 */

#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "common_arguments.h"
#include "damaskyard/log.h"
#include "fake_site.h"

#define DEFAULT_SEED 1
#define DEFAULT_SECONDS 10

static int seed = DEFAULT_SEED;
static int seconds = DEFAULT_SECONDS;
static int max_members = 1000;
static int poll_us = 900;
static int csv;

static const GOptionEntry entries[] = {
	{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "seed of the random generator",
	  "N" },
	{ "seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
	  "simulated time of a run", "N" },
	{ "members", 0, 0, G_OPTION_ARG_INT, &max_members,
	  "largest number of members, 20 to 12000", "N" },
	{ "poll-us", 0, 0, G_OPTION_ARG_INT, &poll_us,
	  "processor time of a control per answered poll", "US" },
	{ "csv", 0, 0, G_OPTION_ARG_NONE, &csv, "print CSV", NULL },
	{ 0 },
};

/* Protections that are disabled; see fake_site_options_t. */
typedef struct variant {
	const char *name;
	int fixed_retry;
	int no_queue;
	int no_invitations;
	int no_images;
} variant_t;

static const variant_t variants[] = {
	{ "full", 0, 0, 0, 0 },	    { "no-doubling", 1, 0, 0, 0 },
	{ "no-queue", 0, 1, 0, 0 }, { "no-invitations", 0, 0, 1, 0 },
	{ "no-image", 0, 0, 0, 1 }, { "none", 1, 1, 1, 1 },
};

static const unsigned sizes[] = { 20, 100, 300, 1000, 3000, 12000 };

static fake_site_result_t simulate(unsigned members, const variant_t *variant)
{
	fake_site_options_t options = {
		.seed = (uint32_t)seed,
		.members = members,
		.controls = 5,
		.poll_us = (unsigned)poll_us,
		.page_us = (unsigned)poll_us / 3,
		.datagram_us = (unsigned)poll_us / 18,
		.image_bytes = 40,
		.fixed_retry = variant->fixed_retry,
		.no_queue = variant->no_queue,
		.no_invitations = variant->no_invitations,
		.no_images = variant->no_images,
	};
	fake_site_t *site = fake_site_create(&options);
	fake_site_result_t result;

	fake_site_run(site, (uint32_t)seconds * 1000);
	result = fake_site_result(site);
	fake_site_destroy(site);
	return result;
}

static void print_row(unsigned members, const char *variant,
		      const fake_site_result_t *result)
{
	const char *row =
		csv ? "%u,%s,%u,%u,%u,%lu,%lu,%lu,%lu,%lu,%u\n"
		    : "members=%u variant=%s balancers=%u served_balancers=%u "
		      "served=%u half_ms=%lu most_ms=%lu all_ms=%lu "
		      "elections=%lu quorum_lost=%lu asked_most=%u\n";

	printf(row, members, variant, result->balancers,
	       result->balancers_served, result->served,
	       (unsigned long)result->balancers_50pct_ms,
	       (unsigned long)result->balancers_90pct_ms,
	       (unsigned long)result->members_100pct_ms,
	       (unsigned long)result->elections,
	       (unsigned long)result->quorum_lost, result->max_requests_per_s);
	fflush(stdout);
}

static int parse(int argc, char **argv)
{
	if (!arguments_parse("measure_control", entries, argc, argv))
		return 0;
	if (seconds < 1 || max_members < (int)sizes[0] ||
	    max_members > (int)sizes[G_N_ELEMENTS(sizes) - 1] || poll_us < 1)
		return arguments_refuse("measure_control");
	return 1;
}

int main(int argc, char **argv)
{
	fake_site_result_t result;
	size_t i;
	size_t v;

	if (!parse(argc, argv))
		return 2;
	dy_log_configure(DY_LOG_ERROR, NULL);
	if (csv)
		puts("members,variant,balancers,served_balancers,served,"
		     "half_ms,most_ms,all_ms,elections,quorum_lost,"
		     "asked_most");
	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		for (v = 0; v < G_N_ELEMENTS(variants) &&
			    sizes[i] <= (unsigned)max_members;
		     v++) {
			result = simulate(sizes[i], &variants[v]);
			print_row(sizes[i], variants[v].name, &result);
		}
	return EXIT_SUCCESS;
}
