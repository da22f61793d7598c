/*
 * Compares the outcomes that callers recorded with what targets stored:
 *
 *	account --stored FILE [--stored FILE ..] --caller FILE [..]
 *
 * Exits with status 0 only if the targets' files hold every answered reading
 * once, no reading twice, none that was only refused as not run, and none
 * that was never sent, if no answer was mismatched, and if every sent
 * reading has an outcome.
 */

#include "common_args.h"

#include <stdio.h>
#include <string.h>

typedef struct reading {
	unsigned sent;
	unsigned answered;
	unsigned not_run;
	unsigned may_have_run;
	unsigned mismatched;
	unsigned stored;
} reading_t;

typedef struct totals {
	unsigned sent;
	unsigned answered;
	unsigned stored_once;
	unsigned stored_twice;
	unsigned lost;
	unsigned mismatched;
	unsigned may_have_run;
	unsigned refused_but_stored;
	unsigned never_sent;
	unsigned unfinished;
} totals_t;

static reading_t *find_reading(GHashTable *readings, char **words)
{
	char *key = g_strjoin(" ", words[0], words[1], words[2], NULL);
	reading_t *reading = g_hash_table_lookup(readings, key);

	if (reading) {
		g_free(key);
		return reading;
	}
	reading = g_new0(reading_t, 1);
	g_hash_table_insert(readings, key, reading);
	return reading;
}

static void add_event(reading_t *reading, const char *event)
{
	if (!strcmp(event, "sent"))
		reading->sent++;
	else if (!strcmp(event, "answered"))
		reading->answered++;
	else if (!strcmp(event, "not_run"))
		reading->not_run++;
	else if (!strcmp(event, "may_have_run"))
		reading->may_have_run++;
	else if (!strcmp(event, "mismatched"))
		reading->mismatched++;
	else
		standin_die("unknown event %s", event);
}

static void load_file(GHashTable *readings, const char *path,
		      unsigned words_expected)
{
	char *text = NULL;
	GError *error = NULL;
	char **lines;
	unsigned i;

	if (!g_file_get_contents(path, &text, NULL, &error))
		standin_die("%s", error->message);
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i] && *lines[i]; i++) {
		char **words = g_strsplit(lines[i], " ", -1);

		if (g_strv_length(words) != words_expected)
			standin_die("%s:%u: a malformed line", path, i + 1);
		if (words_expected == 4)
			add_event(find_reading(readings, words), words[3]);
		else
			find_reading(readings, words)->stored++;
		g_strfreev(words);
	}
	g_strfreev(lines);
	g_free(text);
}

static void load_all(GHashTable *readings, char **paths, unsigned words)
{
	while (paths && *paths)
		load_file(readings, *paths++, words);
}

static void add_reading_to_totals(void *key, void *value, void *context)
{
	const reading_t *reading = value;
	totals_t *totals = context;
	unsigned settled = reading->answered + reading->not_run +
			   reading->may_have_run + reading->mismatched;

	totals->sent += !!reading->sent;
	totals->answered += reading->answered;
	totals->stored_once += reading->stored == 1;
	totals->stored_twice += reading->stored > 1;
	totals->lost += reading->answered && !reading->stored;
	totals->mismatched += reading->mismatched;
	totals->may_have_run += reading->may_have_run;
	totals->refused_but_stored += reading->stored && reading->not_run &&
				      settled == reading->not_run;
	totals->never_sent += !reading->sent;
	totals->unfinished += reading->sent != settled;
	if (reading->stored > 1 || (reading->answered && !reading->stored) ||
	    !reading->sent)
		fprintf(stderr,
			"reading=\"%s\" sent=%u answered=%u not_run=%u "
			"may_have_run=%u stored=%u\n",
			(const char *)key, reading->sent, reading->answered,
			reading->not_run, reading->may_have_run,
			reading->stored);
}

static int print_totals(const totals_t *totals)
{
	printf("sent=%u answered=%u stored_once=%u stored_twice=%u lost=%u "
	       "mismatched=%u may_have_run=%u refused_but_stored=%u "
	       "never_sent=%u unfinished=%u\n",
	       totals->sent, totals->answered, totals->stored_once,
	       totals->stored_twice, totals->lost, totals->mismatched,
	       totals->may_have_run, totals->refused_but_stored,
	       totals->never_sent, totals->unfinished);
	return totals->stored_twice || totals->lost || totals->mismatched ||
	       totals->refused_but_stored || totals->never_sent ||
	       totals->unfinished;
}

int main(int argc, char **argv)
{
	GHashTable *readings =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	totals_t totals = { 0 };
	char **stored = NULL;
	char **callers = NULL;
	const GOptionEntry entries[] = {
		{ "stored", 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &stored,
		  "A target's file", "FILE" },
		{ "caller", 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &callers,
		  "A caller's account", "FILE" },
		{ NULL }
	};
	int wrong;

	standin_parse_options(argc, argv,
			      "Holds callers' accounts against the targets'.",
			      entries);
	load_all(readings, callers, 4);
	load_all(readings, stored, 3);
	g_hash_table_foreach(readings, add_reading_to_totals, &totals);
	wrong = print_totals(&totals);
	g_hash_table_destroy(readings);
	g_strfreev(stored);
	g_strfreev(callers);
	return wrong;
}
