/* Signals that reach a role while it reads its settings. */

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fake_control.h"
#include "fake_process.h"
#include "fake_suite.h"

#define LIMIT_MS 10000
#define STOP_MS 4000

static const char *const roles[] = { "flow-control", "flow-agent",
				     "flow-balancer" };

static const char settings_format[] =
	"[process]\nname=n1\nfailure-domain=z0\ndata=%s/data\n"
	"first-start=true\nstop-s=1\n[listen]\npackets=%s:80%d\n"
	"ready=%s:81%d\ncontrol=%s:82%d\noutbound=%s:83%d\n"
	"inner-port=7%d0\n[target]\naddress=%s:84%d\nservice=s\n"
	"[group]\nseeds=127.0.0.9:9\nlosses=1\nkey-file=%s/key\n";

static char *folder;
static char *key_path;

/* The process waits for its key, which is a pipe, until send_key(). */
static fake_process_t *begin(const char *role)
{
	const char *build = g_getenv("DY_BUILD");
	char *ip = g_strdup_printf("127.%d.%d.1", g_random_int_range(20, 120),
				   g_random_int_range(10, 210));
	int n = g_random_int_range(10, 99);
	fake_process_t *process;
	char *path;
	char *text;

	folder = g_dir_make_tmp("dy-signals-XXXXXX", NULL);
	key_path = g_build_filename(folder, "key", NULL);
	ck_assert_int_eq(mkfifo(key_path, 0600), 0);
	path = g_build_filename(folder, "settings", NULL);
	text = g_strdup_printf(settings_format, folder, ip, n, ip, n, ip, n, ip,
			       n, n, ip, n, folder);
	ck_assert(g_file_set_contents(path, text, -1, NULL));
	g_free(text);
	text = g_strdup_printf("%s/damaskyard %s --settings %s",
			       build ? build : "build", role, path);
	process = fake_process_create(folder, "p", text);
	g_free(text);
	g_free(path);
	g_free(ip);
	return process;
}

static void end(fake_process_t *process)
{
	char *data = g_build_filename(folder, "data", NULL);

	fake_process_destroy(process);
	if (g_file_test(data, G_FILE_TEST_IS_DIR))
		fake_control_remove_folder(data);
	else
		g_free(data);
	fake_control_remove_folder(folder);
	g_free(key_path);
}

/* Returns the pipe, once the process reads it. */
static int await_key_reader(void)
{
	int tries = LIMIT_MS / 5;
	int fd;

	do {
		g_usleep(5000);
		fd = open(key_path, O_WRONLY | O_NONBLOCK);
	} while (fd < 0 && --tries);
	ck_assert_int_ge(fd, 0);
	return fd;
}

static void send_key(int fd)
{
	static const char key[] = "00112233445566778899aabbccddeeff"
				  "00112233445566778899aabbccddeeff\n";

	ck_assert_int_gt(write(fd, key, strlen(key)), 0);
	close(fd);
}

static void await_log(const fake_process_t *process, const char *text)
{
	int tries = LIMIT_MS / 10;
	int found = 0;
	char *log;

	while (!found && tries--) {
		g_usleep(10000);
		log = fake_process_output(process);
		found = strstr(log, text) != NULL;
		g_free(log);
	}
	ck_assert_msg(found, "not logged: %s", text);
}

/* The signal for changed settings ends a role that has just started. */
START_TEST(sighup_during_start_is_a_reload)
{
	fake_process_t *process;
	unsigned i;
	int fd;

	for (i = 0; i < G_N_ELEMENTS(roles); i++) {
		process = begin(roles[i]);
		fake_process_start(process);
		fd = await_key_reader();
		fake_process_signal(process, SIGHUP);
		send_key(fd);
		await_log(process, "event=signal_received number=1");
		fake_process_signal(process, SIGTERM);
		ck_assert(WIFEXITED(fake_process_join(process, STOP_MS)));
		end(process);
	}
}
END_TEST

/* A role that has just started can't be stopped. */
START_TEST(sigterm_during_start_ends_role)
{
	fake_process_t *process;
	unsigned i;
	int fd;

	for (i = 0; i < G_N_ELEMENTS(roles); i++) {
		process = begin(roles[i]);
		fake_process_start(process);
		fd = await_key_reader();
		fake_process_signal(process, SIGTERM);
		ck_assert(WIFSIGNALED(fake_process_join(process, STOP_MS)));
		close(fd);
		end(process);
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		sighup_during_start_is_a_reload,
		sigterm_during_start_ends_role,
		NULL,
	};

	return fake_suite_run_for("early_signals", tests, 60);
}
