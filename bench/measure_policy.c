/*
 * Measures the decisions under load by what callers receive. Simulates each
 * load pattern for each service with the baseline (round robin, plain FIFO, no
 * shedding), with the modules, and with the modules without the mechanism that
 * the pattern tests. Prints rows of key=value; docs/MEASUREMENTS.md explains
 * them.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "common_world.h"

#define DEFAULT_SEED 1
#define MEASURED_S (WORLD_SECONDS - 1) /* without the warm-up */

static const setting_t settings[] = {
	{ "ciel-noir", "readings", 1500, 1000, 10000, 7, 7, 2000, 4, 7000,
	  DY_PICK_AVOID_BROKEN_FLOWS },
	{ "ciel-noir", "maps", 1500, 1000, 20000, 3, 7, 2000, 4, 3000,
	  DY_PICK_AVOID_BROKEN_FLOWS },
	{ "lakeshore", "proofing", 1000, 3000, 10000, 7, 4, 2000, 4, 7000,
	  DY_PICK_AVOID_IMBALANCE },
	{ "lakeshore", "print", 1000, 3000, 20000, 3, 4, 2000, 4, 3000,
	  DY_PICK_AVOID_IMBALANCE },
};

static const policy_t policies[] = {
	{ "baseline", PICK_ROUND_ROBIN,
	  PLAIN_FIFO | WITHHOLD_SESSION_RATE_LIMIT },
	{ "full", PICK_MODULE, 0 },
	{ "no-caller", PICK_MODULE, WITHHOLD_CALLER },
	{ "no-key", PICK_MODULE, WITHHOLD_KEY },
	{ "no-deadline", PICK_MODULE, WITHHOLD_DEADLINE },
	{ "no-kind", PICK_MODULE, WITHHOLD_IDEMPOTENCE },
	{ "no-short-slot", PICK_MODULE, WITHHOLD_SHORT_SLOT },
	{ "no-retry-time", PICK_MODULE, WITHHOLD_RETRY_TIME },
	{ "no-crowd", PICK_MODULE, WITHHOLD_SESSION_RATE_LIMIT },
	{ "no-slow-start", PICK_MODULE, WITHHOLD_SLOW_START },
	{ "no-ejection", PICK_MODULE, WITHHOLD_EJECTION },
	{ "no-trust", PICK_MODULE, WITHHOLD_REFUSALS },
	{ "no-own-count", PICK_MODULE, WITHHOLD_PENDING },
	{ "no-domain", PICK_MODULE, WITHHOLD_DOMAIN },
	{ "no-retry-budget", PICK_MODULE, WITHHOLD_RETRY_BUDGET },
	{ "pick-round-robin", PICK_ROUND_ROBIN, 0 },
	{ "pick-least", PICK_LEAST, 0 },
	{ "pick-weighted", PICK_WEIGHTED, 0 },
};

static const pattern_t patterns[] = {
	{ .name = "steady",
	  .submissions = 0.35,
	  .pulls = 0.35,
	  .churn_per_s = 0.02,
	  .policies = "no-domain pick-round-robin pick-least pick-weighted" },
	{ .name = "burst",
	  .submissions = 0.2,
	  .pulls = 0.3,
	  .burst_s = 0.5,
	  .policies = "no-deadline no-kind" },
	{ .name = "hot-caller",
	  .submissions = 0.3,
	  .pulls = 0.3,
	  .hot_caller = 3,
	  .policies = "no-caller" },
	{ .name = "hot-key",
	  .submissions = 0.3,
	  .pulls = 0.3,
	  .hot_key = 2,
	  .policies = "no-key" },
	{ .name = "slow-target",
	  .submissions = 0.3,
	  .pulls = 0.3,
	  .churn_per_s = 0.2,
	  .slow_factor = 5,
	  .policies = "no-deadline pick-round-robin pick-weighted" },
	{ .name = "stalled-target",
	  .submissions = 0.3,
	  .pulls = 0.3,
	  .churn_per_s = 0.2,
	  .target_stalls = 1,
	  .policies = "no-deadline pick-round-robin" },
	{ .name = "false-report",
	  .submissions = 0.3,
	  .pulls = 0.3,
	  .churn_per_s = 0.05,
	  .slow_factor = 5,
	  .reports_no_load = 1,
	  .policies = "no-trust pick-least" },
	{ .name = "long-among-short",
	  .submissions = 0.2,
	  .pulls = 0.2,
	  .long_pulls = 0.6,
	  .policies = "no-short-slot" },
	{ .name = "pulls-on-submissions",
	  .submissions = 0.4,
	  .pulls = 2,
	  .policies = "no-kind" },
	{ .name = "submissions-on-pulls",
	  .submissions = 2,
	  .pulls = 0.4,
	  .policies = "no-kind" },
	{ .name = "overload-2x",
	  .submissions = 0.6,
	  .pulls = 1.4,
	  .policies = "no-deadline no-retry-time" },
	{ .name = "overload-5x",
	  .submissions = 1,
	  .pulls = 4,
	  .policies = "no-deadline no-retry-time" },
	{ .name = "reopen",
	  .submissions = 0.3,
	  .pulls = 0.2,
	  .flows_reopen = 1,
	  .policies = "no-crowd no-own-count pick-least pick-weighted" },
	{ .name = "domain-gone",
	  .submissions = 0.25,
	  .pulls = 0.2,
	  .domain_fails = 1,
	  .policies = "no-crowd no-ejection" },
	{ .name = "outage",
	  .submissions = 0.25,
	  .pulls = 0.2,
	  .outage = 1,
	  .policies = "no-crowd no-retry-budget" },
	{ .name = "cold-target",
	  .submissions = 0.3,
	  .pulls = 0.3,
	  .churn_per_s = 0.1,
	  .target_joins = 1,
	  .policies = "no-slow-start pick-least" },
	{ .name = "young-target-fails",
	  .submissions = 0.3,
	  .pulls = 0.3,
	  .churn_per_s = 0.1,
	  .target_joins = 1,
	  .joined_target_fails = 1,
	  .policies = "no-slow-start pick-least" },
};

static void print_row_start(const char *row, const setting_t *setting,
			    const pattern_t *pattern, const policy_t *policy)
{
	printf("%s pattern=%s deployment=%s service=%s policy=%s ", row,
	       pattern->name, setting->deployment, setting->service,
	       policy->name);
}

static void print_class(const setting_t *setting, const pattern_t *pattern,
			const policy_t *policy, call_class_t klass,
			class_result_t *result)
{
	uint64_t known = result->good + result->refused_late +
			 result->refused_full + result->may_have_run;

	if (!result->issued)
		return;
	print_row_start("calls", setting, pattern, policy);
	printf("class=%s offered_per_s=%.0f goodput_per_s=%.0f good_pct=%.1f tries=%.2f ",
	       class_name(klass), (double)result->issued / MEASURED_S,
	       (double)result->good / MEASURED_S,
	       100.0 * (double)result->good / (double)result->issued,
	       (double)result->tries / (double)result->issued);
	printf("wait_p50_ms=%.1f wait_p99_ms=%.1f wait_p999_ms=%.1f ",
	       samples_percentile(&result->wait_ms, 0.5),
	       samples_percentile(&result->wait_ms, 0.99),
	       samples_percentile(&result->wait_ms, 0.999));
	printf("not_run_late=%" G_GUINT64_FORMAT
	       " not_run_full=%" G_GUINT64_FORMAT
	       " may_have_run=%" G_GUINT64_FORMAT
	       " no_answer_in_time=%" G_GUINT64_FORMAT
	       " refusal_p50_ms=%.1f refusal_p99_ms=%.1f\n",
	       result->refused_late, result->refused_full, result->may_have_run,
	       result->issued - known,
	       samples_percentile(&result->refusal_ms, 0.5),
	       samples_percentile(&result->refusal_ms, 0.99));
}

static void print_flows(const setting_t *setting, const pattern_t *pattern,
			const policy_t *policy, result_t *result)
{
	print_row_start("flows", setting, pattern, policy);
	printf("broken_flows=%" G_GUINT64_FORMAT " opens=%" G_GUINT64_FORMAT
	       " opens_failed=%" G_GUINT64_FORMAT
	       " opens_deferred=%" G_GUINT64_FORMAT " ",
	       result->broken_flows, result->opens, result->opens_failed,
	       result->opens_deferred);
	printf("open_p50_ms=%.1f open_p99_ms=%.1f open_max_ms=%.1f ",
	       samples_percentile(&result->open_ms, 0.5),
	       samples_percentile(&result->open_ms, 0.99),
	       samples_percentile(&result->open_ms, 1));
	printf("work_max_mean=%.2f work_cv=%.2f flows_max_mean=%.3f "
	       "flows_cv=%.3f",
	       samples_mean(&result->work_max),
	       samples_mean(&result->work_variation),
	       samples_mean(&result->flow_max),
	       samples_mean(&result->flow_variation));
	if (pattern->target_joins)
		printf(" joined_share=%.2f", result->joined_share);
	putchar('\n');
}

static void measure(const setting_t *setting, const pattern_t *pattern,
		    const policy_t *policy, uint32_t seed)
{
	result_t result;
	int i;

	result_init(&result);
	world_run(setting, pattern, policy, seed, &result);
	for (i = 0; i < CLASSES; i++)
		print_class(setting, pattern, policy, i, &result.classes[i]);
	print_flows(setting, pattern, policy, &result);
	fflush(stdout);
	result_clear(&result);
}

/* Returns whether name is a word of list; a NULL list contains all names. */
static int list_contains(const char *list, const char *name)
{
	gchar **words;
	int found;

	if (!list)
		return 1;
	words = g_strsplit_set(list, " ,", -1);
	found = g_strv_contains((const gchar *const *)words, name);
	g_strfreev(words);
	return found;
}

static int is_selected(const pattern_t *pattern, const policy_t *policy,
		       const char *selected)
{
	if (selected)
		return list_contains(selected, policy->name);
	if (!strcmp(policy->name, "baseline") || !strcmp(policy->name, "full"))
		return 1;
	return list_contains(pattern->policies, policy->name);
}

static void measure_pattern(const pattern_t *pattern, const char *deployment,
			    const char *service, const char *policy,
			    uint32_t seed)
{
	size_t s, p;

	for (s = 0; s < G_N_ELEMENTS(settings); s++) {
		if (!list_contains(deployment, settings[s].deployment) ||
		    !list_contains(service, settings[s].service))
			continue;
		for (p = 0; p < G_N_ELEMENTS(policies); p++)
			if (is_selected(pattern, &policies[p], policy))
				measure(&settings[s], pattern, &policies[p],
					seed);
	}
}

int main(int argc, char **argv)
{
	gchar *pattern = NULL, *deployment = NULL;
	gchar *service = NULL, *policy = NULL;
	gint seed = DEFAULT_SEED;
	const GOptionEntry entries[] = {
		{ "pattern", 0, 0, G_OPTION_ARG_STRING, &pattern,
		  "Only these patterns of load (default: all)", "NAMES" },
		{ "deployment", 0, 0, G_OPTION_ARG_STRING, &deployment,
		  "ciel-noir or lakeshore (default: both)", "NAMES" },
		{ "service", 0, 0, G_OPTION_ARG_STRING, &service,
		  "readings, maps, proofing or print (default: all)", "NAMES" },
		{ "policy", 0, 0, G_OPTION_ARG_STRING, &policy,
		  "Only these policies (default: baseline, full, and full "
		  "without the mechanism that the pattern tests)",
		  "NAMES" },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &seed,
		  "Seed of the random generator (default: 1)", "N" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL }
	};
	GOptionContext *options = g_option_context_new(NULL);
	GError *error = NULL;
	size_t i;

	g_option_context_add_main_entries(options, entries, NULL);
	if (!g_option_context_parse(options, &argc, &argv, &error)) {
		fprintf(stderr, "measure_policy: %s\n", error->message);
		return EXIT_FAILURE;
	}
	for (i = 0; i < G_N_ELEMENTS(patterns); i++)
		if (list_contains(pattern, patterns[i].name))
			measure_pattern(&patterns[i], deployment, service,
					policy, (uint32_t)seed);
	g_option_context_free(options);
	g_free(pattern);
	g_free(deployment);
	g_free(service);
	g_free(policy);
	return EXIT_SUCCESS;
}
