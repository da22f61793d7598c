/*
 * Measures what callers of packet flows receive under load, in simulated time:
 * the real decisions of balancers and agents, with simulated callers and
 * targets (tests/fake_service.h). Prints a row of key=value or CSV for each
 * pattern, place where openings wait, and kind of request.
 */

#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "common_arguments.h"
#include "damaskyard/log.h"
#include "fake_service.h"

/* Phases of a run, in ms; all are multiples of a window. */
#define WARM_MS 2000
#define END_MS 8000
#define OVER_MS 6000

/* Length and interval of a burst, in ms. */
#define BURST_MS 50
#define BURST_INTERVAL_MS 1000

static fake_service_settings_t settings;
static int csv;

static const GOptionEntry entries[] = {
	{ "seed", 0, 0, G_OPTION_ARG_INT, &settings.seed,
	  "seed of the random generator", "N" },
	{ "targets", 0, 0, G_OPTION_ARG_INT, &settings.targets,
	  "number of targets", "N" },
	{ "balancers", 0, 0, G_OPTION_ARG_INT, &settings.balancers,
	  "number of balancers", "N" },
	{ "slots", 0, 0, G_OPTION_ARG_INT, &settings.slots, "slots of a target",
	  "N" },
	{ "csv", 0, 0, G_OPTION_ARG_NONE, &csv, "print CSV", NULL },
	{ 0 },
};

/* Loads are parts of the capacity; kind 1 asks for FIRM_LOAD in all of them. */
#define FIRM_LOAD 0.3

typedef struct pattern {
	const char *name;
	double load;
	double burst;	 /* load during bursts, or 0 */
	double hot_part; /* of the requests, from one caller */
	double after;	 /* load from OVER_MS on, or 0 for no change */
	fake_service_condition_t first_targets; /* of every tenth target */
} pattern_t;

static const pattern_t patterns[] = {
	{ .name = "calm", .load = 0.6 },
	{ .name = "steady", .load = 0.8 },
	{ .name = "burst", .load = 0.6, .burst = 1.8 },
	{ .name = "over-1.1", .load = 1.1 },
	{ .name = "over-1.5", .load = 1.5 },
	{ .name = "over-2", .load = 2 },
	{ .name = "hot-caller", .load = 0.8, .hot_part = 0.3 },
	{ .name = "slow-target", .load = 0.6, .first_targets.slow = 8 },
	{ .name = "mute-target", .load = 0.6, .first_targets.mute = 0.5 },
	{ .name = "recovery", .load = 1.5, .after = 0.6 },
};

static void set_load(fake_service_t *service, double load)
{
	fake_service_set_load(service, 0, load - FIRM_LOAD);
	fake_service_set_load(service, 1, FIRM_LOAD);
}

static void run_bursts(fake_service_t *service, const pattern_t *pattern)
{
	uint64_t ms;

	for (ms = WARM_MS; ms < END_MS; ms += BURST_INTERVAL_MS) {
		fake_service_run(service, ms);
		set_load(service, pattern->burst);
		fake_service_run(service, ms + BURST_MS);
		set_load(service, pattern->load);
	}
}

static fake_service_t *simulate(const pattern_t *pattern)
{
	fake_service_t *service = fake_service_create(&settings);
	unsigned i;

	fake_service_set_hot_caller(service, pattern->hot_part);
	for (i = 0; i < settings.targets; i += 10)
		fake_service_set_target(service, i, &pattern->first_targets);
	set_load(service, pattern->load);
	if (pattern->burst > 0)
		run_bursts(service, pattern);
	fake_service_run(service, OVER_MS);
	if (pattern->after > 0)
		set_load(service, pattern->after);
	fake_service_run(service, END_MS + FAKE_SERVICE_DEADLINE_MS);
	return service;
}

static double worst_window(const fake_service_t *service, unsigned kind)
{
	double worst = 1;
	uint64_t ms;

	for (ms = WARM_MS; ms < END_MS; ms += FAKE_SERVICE_WINDOW_MS)
		worst = MIN(worst,
			    fake_service_in_aim(service, kind, ms,
						ms + FAKE_SERVICE_WINDOW_MS));
	return worst;
}

static const char *wait_name(void)
{
	return settings.wait_at_balancer ? "balancer" : "agent";
}

static void print_row(const char *pattern, const fake_service_t *service,
		      unsigned kind)
{
	fake_service_result_t result =
		fake_service_result(service, kind, WARM_MS, END_MS);
	double asked = MAX(result.asked, 1);
	const char *row =
		csv ? "%s,%s,%u,%u,%.3f,%.3f,%.3f,%.3f,%.3f,%u,%u,%u\n"
		    : "pattern=%s wait_at=%s kind=%u asked=%u in_aim=%.3f late=%.3f "
		      "failed=%.3f worst=%.3f goodput=%.3f silent_tries=%u "
		      "unanswered_tries=%u doubled=%u\n";

	printf(row, pattern, wait_name(), kind, result.asked,
	       result.in_aim / asked, result.late / asked,
	       result.failed / asked, worst_window(service, kind),
	       fake_service_goodput(service, WARM_MS, END_MS),
	       result.silent_tries, result.unanswered_tries, result.doubled);
	fflush(stdout);
}

static int parse(int argc, char **argv)
{
	if (!arguments_parse("measure_flow", entries, argc, argv))
		return 0;
	if (settings.targets - 1 > 999 || settings.balancers - 1 > 99 ||
	    settings.slots - 1 > 99)
		return arguments_refuse("measure_flow");
	return 1;
}

static void measure(const pattern_t *pattern)
{
	fake_service_t *service = simulate(pattern);
	unsigned kind;

	for (kind = 0; kind < FAKE_SERVICE_KINDS; kind++)
		print_row(pattern->name, service, kind);
	fake_service_destroy(service);
}

int main(int argc, char **argv)
{
	size_t i;

	settings = fake_service_defaults();
	if (!parse(argc, argv))
		return 2;
	dy_log_configure(DY_LOG_ERROR, NULL);
	if (csv)
		puts("pattern,wait_at,kind,asked,in_aim,late,failed,worst,"
		     "goodput,silent_tries,unanswered_tries,doubled");
	for (i = 0; i < G_N_ELEMENTS(patterns); i++) {
		settings.wait_at_balancer = 0;
		measure(&patterns[i]);
		settings.wait_at_balancer = 1;
		measure(&patterns[i]);
	}
	return EXIT_SUCCESS;
}
