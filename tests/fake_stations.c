#include "fake_stations.h"

#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct progress {
	unsigned answered[FAKE_STATIONS];
	unsigned needed;
} progress_t;

/* Maximum number of short runs until every target has stored a reading. */
#define WARM_UP_RUNS 100

static void start_caller(fake_cluster_t *cluster, const char *prefix,
			 unsigned stations, unsigned readings)
{
	char *address =
		fake_cluster_value(cluster, "fabric-readings", "address");
	char *account = fake_cluster_path(cluster, "account");

	fake_cluster_spawn(cluster, "caller",
			   "standin/readings_caller --address %s --account %s "
			   "--prefix %s --stations %u --readings %u "
			   "--pace-ms 20 --retry-ms 500 --timeout-ms 10000",
			   address, account, prefix, stations, readings);
	g_free(address);
	g_free(account);
}

static int every_target_stored(fake_cluster_t *cluster)
{
	unsigned found = 0;
	unsigned i;

	for (i = 1; i <= FAKE_TARGETS; i++) {
		char *name = g_strdup_printf("stored%u", i);
		char *path = fake_cluster_path(cluster, name);
		char *text = NULL;

		found += g_file_get_contents(path, &text, NULL, NULL) && *text;
		g_free(text);
		g_free(path);
		g_free(name);
	}
	return found == FAKE_TARGETS;
}

/*
 * Runs short flows until every target has had one. Otherwise flows that open
 * while only one agent is known would all go to that agent.
 */
static void warm_up(fake_cluster_t *cluster)
{
	unsigned run;

	for (run = 0; !every_target_stored(cluster); run++) {
		char *prefix = g_strdup_printf("warm%u-", run);

		ck_assert_uint_lt(run, WARM_UP_RUNS);
		start_caller(cluster, prefix, FAKE_TARGETS, 1);
		ck_assert_int_eq(fake_cluster_wait(cluster, "caller", NULL), 0);
		g_free(prefix);
	}
}

void fake_stations_start(fake_cluster_t *cluster)
{
	warm_up(cluster);
	start_caller(cluster, "s", FAKE_STATIONS, 100000);
}

static void count_answered(fake_cluster_t *cluster,
			   unsigned answered[FAKE_STATIONS])
{
	char *path = fake_cluster_path(cluster, "account");
	char *text = NULL;
	char **lines;
	unsigned station;
	unsigned i;

	memset(answered, 0, FAKE_STATIONS * sizeof(*answered));
	g_file_get_contents(path, &text, NULL, NULL);
	lines = g_strsplit(text ? text : "", "\n", -1);
	for (i = 0; lines[i]; i++)
		if (lines[i][0] == 's' &&
		    g_str_has_suffix(lines[i], " answered")) {
			station = strtoul(lines[i] + 1, NULL, 10);
			ck_assert_uint_lt(station, FAKE_STATIONS);
			answered[station]++;
		}
	g_strfreev(lines);
	g_free(text);
	g_free(path);
}

static int has_progress(fake_cluster_t *cluster, void *context)
{
	const progress_t *progress = context;
	unsigned answered[FAKE_STATIONS];
	unsigned i;

	count_answered(cluster, answered);
	for (i = 0; i < FAKE_STATIONS; i++)
		if (answered[i] < progress->answered[i] + progress->needed)
			return 0;
	return 1;
}

void fake_stations_await(fake_cluster_t *cluster, unsigned readings)
{
	progress_t progress = { .needed = readings };

	count_answered(cluster, progress.answered);
	fake_cluster_await(cluster, "answers to every station", has_progress,
			   &progress);
}

/* Returns the value of key in a line of key=value words. */
static unsigned value_of(const char *line, const char *key)
{
	char **words = g_strsplit_set(line, " \n", -1);
	char *prefix = g_strconcat(key, "=", NULL);
	unsigned value = 0;
	int found = 0;
	unsigned i;

	for (i = 0; words[i]; i++)
		if (g_str_has_prefix(words[i], prefix)) {
			value = strtoul(words[i] + strlen(prefix), NULL, 10);
			found = 1;
		}
	ck_assert_msg(found, "no %s in \"%s\"", key, line);
	g_free(prefix);
	g_strfreev(words);
	return value;
}

static void load_account(fake_account_t *account, const char *line)
{
	account->sent = value_of(line, "sent");
	account->answered = value_of(line, "answered");
	account->stored_twice = value_of(line, "stored_twice");
	account->lost = value_of(line, "lost");
	account->wrong = value_of(line, "mismatched") +
			 value_of(line, "refused_but_stored") +
			 value_of(line, "never_sent") +
			 value_of(line, "unfinished");
	account->may_have_run = value_of(line, "may_have_run");
}

static void load_broken(fake_account_t *account, const char *line)
{
	account->broken_flows = value_of(line, "broken_flows");
	account->broken_refused = value_of(line, "broken_refused");
	account->broken_token = value_of(line, "broken_token");
	account->broken_error = value_of(line, "broken_error");
	account->broken_timeout = value_of(line, "broken_timeout");
}

fake_account_t fake_stations_finish(fake_cluster_t *cluster)
{
	fake_account_t account = { 0 };
	GString *command = g_string_new("standin/account --caller ");
	char *path = fake_cluster_path(cluster, "account");
	char *output = NULL;
	unsigned i;

	fake_cluster_signal(cluster, "caller", SIGTERM);
	fake_cluster_wait(cluster, "caller", &output);
	load_broken(&account, output);
	g_free(output);
	g_string_append(command, path);
	for (i = 1; i <= FAKE_TARGETS; i++) {
		char *stored = g_strdup_printf("stored%u", i);
		char *file = fake_cluster_path(cluster, stored);

		g_string_append_printf(command, " --stored %s", file);
		g_free(file);
		g_free(stored);
	}
	fake_cluster_spawn(cluster, "judge", "%s", command->str);
	fake_cluster_wait(cluster, "judge", &output);
	load_account(&account, output);
	g_free(output);
	g_free(path);
	g_string_free(command, TRUE);
	return account;
}

void fake_stations_pull_maps(fake_cluster_t *cluster)
{
	char *address = fake_cluster_value(cluster, "fabric-maps", "address");
	char *output = NULL;
	int code;

	fake_cluster_spawn(cluster, "reader",
			   "standin/maps_caller --maps 2 --address %s",
			   address);
	code = fake_cluster_wait(cluster, "reader", &output);
	ck_assert_msg(!code, "the reader of maps: %s", output);
	g_free(output);
	g_free(address);
}
