#include "fake_process.h"

#include <check.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

struct fake_process {
	char *name;
	char **argv;
	char *out;
	char *log;
	pid_t pid; /* 0 if it does not run */
};

fake_process_t *fake_process_create(const char *folder, const char *name,
				    const char *command)
{
	fake_process_t *process = g_new0(fake_process_t, 1);

	process->name = g_strdup(name);
	process->argv = g_strsplit(command, " ", -1);
	process->out = g_strdup_printf("%s/%s.out", folder, name);
	process->log = g_strdup_printf("%s/%s.log", folder, name);
	return process;
}

void fake_process_destroy(fake_process_t *process)
{
	if (process->pid) {
		kill(process->pid, SIGKILL);
		waitpid(process->pid, NULL, 0);
	}
	g_strfreev(process->argv);
	g_free(process->name);
	g_free(process->out);
	g_free(process->log);
	g_free(process);
}

static void redirect(const char *path, int fd)
{
	int file = open(path, O_WRONLY | O_CREAT | O_TRUNC, 0644);

	if (file < 0 || dup2(file, fd) < 0)
		_exit(126);
	close(file);
}

static void rename_old_file(const char *path)
{
	char *old = g_strconcat(path, ".old", NULL);

	rename(path, old);
	g_free(old);
}

void fake_process_start(fake_process_t *process)
{
	ck_assert_msg(!process->pid, "%s is already running", process->name);
	/* A reader must not mistake the output of an earlier run for this. */
	rename_old_file(process->out);
	rename_old_file(process->log);
	process->pid = fork();
	ck_assert_int_ge(process->pid, 0);
	if (process->pid)
		return;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	/* The client code of libtirpc leaks the verifier of each refusal. */
	if (strstr(process->argv[0], "/standin/"))
		g_setenv("ASAN_OPTIONS", "detect_leaks=0", TRUE);
	redirect(process->out, STDOUT_FILENO);
	redirect(process->log, STDERR_FILENO);
	execv(process->argv[0], process->argv);
	_exit(127);
}

void fake_process_signal(fake_process_t *process, int number)
{
	ck_assert_msg(process->pid, "%s is not running", process->name);
	ck_assert_int_eq(kill(process->pid, number), 0);
}

int fake_process_join(fake_process_t *process, unsigned timeout_ms)
{
	gint64 end_us = g_get_monotonic_time() + timeout_ms * 1000LL;
	int status = 0;

	ck_assert_msg(process->pid, "%s is not running", process->name);
	while (!waitpid(process->pid, &status, WNOHANG)) {
		ck_assert_msg(g_get_monotonic_time() < end_us,
			      "%s has not ended within %u ms; see %s",
			      process->name, timeout_ms, process->log);
		g_usleep(5000);
	}
	process->pid = 0;
	return status;
}

static char *read_file(const char *path)
{
	char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return g_strdup("");
	return text;
}

char *fake_process_output(const fake_process_t *process)
{
	return read_file(process->out);
}

char *fake_process_log(const fake_process_t *process)
{
	return read_file(process->log);
}

/* Returns the value of key in a line, up to the next space, or NULL. */
static char *value_in(const char *line, const char *key)
{
	char **words = g_strsplit(line, " ", -1);
	size_t length = strlen(key);
	char *value = NULL;
	unsigned i;

	for (i = 0; words[i] && !value; i++)
		if (!strncmp(words[i], key, length) && words[i][length] == '=')
			value = g_strdup(words[i] + length + 1);
	g_strfreev(words);
	return value;
}

char *fake_process_value(const fake_process_t *process, const char *key)
{
	char *text = read_file(process->out);
	char **lines = g_strsplit(text, "\n", -1);
	char *value = NULL;
	unsigned i;

	for (i = 0; lines[i] && !value; i++)
		value = value_in(lines[i], key);
	g_strfreev(lines);
	g_free(text);
	return value;
}

char *fake_process_service_address(const fake_process_t *process,
				   const char *service)
{
	char *word = g_strdup_printf(" service=%s ", service);
	char *text = read_file(process->log);
	char **lines = g_strsplit(text, "\n", -1);
	char *value = NULL;
	unsigned i;

	for (i = 0; lines[i] && !value; i++)
		if (strstr(lines[i], "event=service_listening") &&
		    strstr(lines[i], word))
			value = value_in(lines[i], "address");
	g_strfreev(lines);
	g_free(text);
	g_free(word);
	return value;
}
