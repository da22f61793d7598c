#include "fake_operator.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

static void spawn(fake_cluster_t *cluster, const char *name, const char *word,
		  va_list arguments)
{
	GString *command = g_string_new("damaskyard");

	for (; word; word = va_arg(arguments, const char *))
		g_string_append_printf(command, " %s", word);
	fake_cluster_spawn(cluster, name, "%s --controls %s --key-file %s",
			   command->str, fake_cluster_controls(cluster),
			   fake_cluster_key_file(cluster));
	g_string_free(command, TRUE);
}

void fake_operator_spawn(fake_cluster_t *cluster, const char *name,
			 const char *word, ...)
{
	va_list arguments;

	va_start(arguments, word);
	spawn(cluster, name, word, arguments);
	va_end(arguments);
}

int fake_operator_run(fake_cluster_t *cluster, char **output, const char *word,
		      ...)
{
	va_list arguments;

	va_start(arguments, word);
	spawn(cluster, "operator", word, arguments);
	va_end(arguments);
	return fake_cluster_wait(cluster, "operator", output);
}

char *fake_operator_write_document(fake_cluster_t *cluster, unsigned queue)
{
	char *name = g_strdup_printf("document-%u.conf", queue);
	char *path = fake_cluster_path(cluster, name);
	char *line = g_strdup_printf("queue = %u", queue);
	char *text = NULL;
	GString *document;

	ck_assert(g_file_get_contents("examples/ciel-noir.conf", &text, NULL,
				      NULL));
	document = g_string_new(text);
	ck_assert_uint_eq(g_string_replace(document, "queue = 64", line, 1), 1);
	g_file_set_contents(path, document->str, -1, NULL);
	g_string_free(document, TRUE);
	g_free(line);
	g_free(text);
	g_free(name);
	return path;
}

static void assert_success(fake_cluster_t *cluster, int code, const char *what)
{
	char *log = fake_cluster_log(cluster, "operator");

	ck_assert_msg(!code, "%s: exit code %d: %s", what, code, log);
	g_free(log);
}

void fake_operator_change_document(fake_cluster_t *cluster)
{
	unsigned *number = fake_cluster_document_number(cluster);
	char *path = fake_operator_write_document(cluster, 64 + *number);

	assert_success(cluster,
		       fake_operator_run(cluster, NULL, "submit", path,
					 "--environment", "trial",
					 "--timeout-ms", "20000", NULL),
		       "submit");
	assert_success(cluster,
		       fake_operator_run(cluster, NULL, "promote",
					 "--timeout-ms", "20000", NULL),
		       "promote");
	++*number;
	g_free(path);
}

/*
 * Returns the line of status that begins with start and contains word, or NULL.
 * The caller frees it.
 */
static char *find_line(fake_cluster_t *cluster, const char *start,
		       const char *word)
{
	char *output = NULL;
	char *found = NULL;
	char **lines;
	unsigned i;

	fake_operator_run(cluster, &output, "status", NULL);
	lines = g_strsplit(output, "\n", -1);
	for (i = 0; lines[i] && !found; i++)
		if (g_str_has_prefix(lines[i], start) && strstr(lines[i], word))
			found = g_strdup(lines[i]);
	g_strfreev(lines);
	g_free(output);
	return found;
}

static int is_in_force(fake_cluster_t *cluster, void *context)
{
	char *line = find_line(cluster, "document environment=production ", "");
	const char *counts = line ? strstr(line, " in_force=") : NULL;
	const char *text = line ? strstr(line, " number=") : NULL;
	unsigned number = 0;
	unsigned members = 0;
	unsigned having = 0;

	if (text)
		sscanf(text, " number=%u", &number);
	if (counts)
		sscanf(counts, " in_force=%u/%u", &having, &members);
	g_free(line);
	ck_assert_uint_le(number, *fake_cluster_document_number(cluster));
	return number == *fake_cluster_document_number(cluster) && members &&
	       having == members;
}

void fake_operator_await_document(fake_cluster_t *cluster)
{
	fake_cluster_await(cluster, "the document at every member", is_in_force,
			   NULL);
}

/* words: the start of a line of status, and a text that it contains. */
static int has_line(fake_cluster_t *cluster, void *words)
{
	char *const *start_and_word = words;
	char *line = find_line(cluster, start_and_word[0], start_and_word[1]);
	int found = line != NULL;

	g_free(line);
	return found;
}

void fake_operator_await_state(fake_cluster_t *cluster, const char *member,
			       const char *state)
{
	char *start = g_strdup_printf("member name=%s ", member);
	char *word = g_strdup_printf(" state=%s ", state);
	char *words[] = { start, word };

	fake_cluster_await(cluster, member, has_line, words);
	g_free(start);
	g_free(word);
}

static int has_leader(fake_cluster_t *cluster, void *control)
{
	char *log = fake_cluster_log(cluster, control);
	int found = g_regex_match_simple(
		"role_now=(follower leader=[1-9]|leader)", log, 0, 0);

	g_free(log);
	return found;
}

/* A leader may still list the control as it was before it lost its disk. */
void fake_operator_await_voter(fake_cluster_t *cluster, const char *control)
{
	char *start = g_strdup_printf("control id=%s ",
				      strpbrk(control, "0123456789"));
	char *words[] = { start, " role=voter lag=0 " };

	fake_cluster_await(cluster, "control follows a leader", has_leader,
			   (char *)control);
	fake_cluster_await(cluster, control, has_line, words);
	g_free(start);
}

void fake_operator_drain(fake_cluster_t *cluster, const char *member)
{
	assert_success(cluster,
		       fake_operator_run(cluster, NULL, "drain", member, NULL),
		       "drain");
	fake_operator_await_state(cluster, member, "left");
}
