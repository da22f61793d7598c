/*
 * The operator commands of the real binary against a group of three controls.
 * Scripts depend on the printed lines and the exit codes.
 */

#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <check.h>
#include <glib.h>
#include <glib/gstdio.h>

#include "fake_process.h"
#include "fake_suite.h"

#define CONTROLS 3
#define STOP_TIMEOUT_MS 20000

/* Number of status commands while waiting for the voters, and the interval. */
#define STATUS_ATTEMPTS 200
#define STATUS_PAUSE_US 100000

#define DOCUMENT                                         \
	"[document]\nweigh = imbalance\n"                \
	"[service readings]\naddress = 10.20.0.1:4000\n" \
	"program = 0x2A000001\nversion = 1\nidempotent = 2\n"

typedef struct group {
	char *folder;
	char *binary;
	char *key;
	char *addresses;
	fake_process_t *controls[CONTROLS];
} group_t;

/* Find distinct free ports. They are closed again before use. */
static void find_free_ports(unsigned ports[CONTROLS])
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t len = sizeof(at);
	int sockets[CONTROLS];
	int i;

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (i = 0; i < CONTROLS; i++) {
		at.sin_port = 0;
		sockets[i] = socket(AF_INET, SOCK_DGRAM, 0);
		ck_assert(!bind(sockets[i], (struct sockaddr *)&at, len));
		getsockname(sockets[i], (struct sockaddr *)&at, &len);
		ports[i] = ntohs(at.sin_port);
	}
	for (i = 0; i < CONTROLS; i++)
		close(sockets[i]);
}

static char *write_file(const group_t *group, const char *name,
			const char *text)
{
	char *path = g_build_filename(group->folder, name, NULL);

	ck_assert(g_file_set_contents(path, text, -1, NULL));
	return path;
}

static group_t *create_group(void)
{
	const char *build = g_getenv("DY_BUILD");
	group_t *group = g_new0(group_t, 1);
	unsigned ports[CONTROLS];
	char *command;
	char *peers;
	char *name;
	int i;

	group->folder = g_dir_make_tmp("dy-commands-XXXXXX", NULL);
	group->binary =
		g_build_filename(build ? build : "build", "damaskyard", NULL);
	group->key = write_file(group, "key",
				"00112233445566778899aabbccddeeff"
				"00112233445566778899aabbccddeeff\n");
	find_free_ports(ports);
	peers = g_strdup_printf("1=127.0.0.1:%u,2=127.0.0.1:%u,3=127.0.0.1:%u",
				ports[0], ports[1], ports[2]);
	group->addresses =
		g_strdup_printf("127.0.0.1:%u,127.0.0.1:%u,127.0.0.1:%u",
				ports[0], ports[1], ports[2]);
	for (i = 0; i < CONTROLS; i++) {
		name = g_strdup_printf("control%d", i + 1);
		command = g_strdup_printf(
			"%s control --id %d --data %s/d%d --listen "
			"127.0.0.1:%u --peers %s --key-file %s",
			group->binary, i + 1, group->folder, i + 1, ports[i],
			peers, group->key);
		group->controls[i] =
			fake_process_create(group->folder, name, command);
		fake_process_start(group->controls[i]);
		g_free(command);
		g_free(name);
	}
	g_free(peers);
	return group;
}

static void remove_tree(const char *folder)
{
	char *argv[] = { "rm", "-rf", (char *)folder, NULL };

	g_spawn_sync(NULL, argv, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL, NULL,
		     NULL, NULL, NULL);
}

static void destroy_group(group_t *group)
{
	int i;

	for (i = 0; i < CONTROLS; i++)
		fake_process_destroy(group->controls[i]);
	remove_tree(group->folder);
	g_free(group->folder);
	g_free(group->binary);
	g_free(group->key);
	g_free(group->addresses);
	g_free(group);
}

/* Run the binary with words, split at spaces. Returns the exit code. */
static int run_command(const group_t *group, const char *words, char **out,
		       char **err)
{
	char *line = g_strdup_printf("%s %s", group->binary, words);
	char **argv = g_strsplit(line, " ", -1);
	char **envp = g_get_environ();
	int status;

	envp = g_environ_setenv(envp, "DAMASKYARD_KEY_FILE", group->key, 1);
	envp = g_environ_setenv(envp, "DAMASKYARD_CONTROLS", group->addresses,
				1);
	envp = g_environ_setenv(envp, "DAMASKYARD_TIMEOUT_MS", "30000", 0);
	ck_assert(g_spawn_sync(NULL, argv, envp, G_SPAWN_DEFAULT, NULL, NULL,
			       out, err, &status, NULL));
	ck_assert(WIFEXITED(status));
	g_strfreev(envp);
	g_strfreev(argv);
	g_free(line);
	return WEXITSTATUS(status);
}

static unsigned count_lines(const char *text)
{
	unsigned count = 0;

	for (; *text; text++)
		count += *text == '\n';
	return count;
}

/*
 * Run a command and check its exit code and that it prints one line with part,
 * to stdout if the code is 0, else to stderr.
 */
static void expect_output(const group_t *group, const char *words, int code,
			  const char *part)
{
	char *out;
	char *err;

	ck_assert_msg(run_command(group, words, &out, &err) == code,
		      "\"%s\" printed \"%s\" and \"%s\"", words, out, err);
	ck_assert_msg(!!strstr(code ? err : out, part), "\"%s\" printed \"%s\"",
		      words, code ? err : out);
	ck_assert_uint_eq(count_lines(code ? err : out), 1);
	ck_assert_str_eq(code ? out : err, "");
	g_free(out);
	g_free(err);
}

static unsigned count_matches(const char *text, const char *part)
{
	unsigned count = 0;

	for (; (text = strstr(text, part)); text++)
		count++;
	return count;
}

/*
 * One control bootstraps the group and adds the others one by one. Wait until
 * all vote: with two voters, the loss of one leaves no majority.
 */
static void await_voters(const group_t *group)
{
	unsigned voters = 0;
	unsigned i;
	char *out;

	for (i = 0; i < STATUS_ATTEMPTS && voters < CONTROLS; i++) {
		ck_assert_int_eq(run_command(group, "status", &out, NULL), 0);
		voters = count_matches(out, " role=voter ");
		g_free(out);
		if (voters < CONTROLS)
			g_usleep(STATUS_PAUSE_US);
	}
	ck_assert_uint_eq(voters, CONTROLS);
}

/*
 * Two operators submit change 1 at the same time: one is accepted, the other is
 * told who won. The document of trial is promoted while the leader stops. A
 * second promotion changes nothing.
 */
START_TEST(promotes_trial_document_to_production)
{
	group_t *group = create_group();
	char *doc = write_file(group, "doc", DOCUMENT);
	char *other = write_file(group, "other", DOCUMENT "slots = 9\n");
	char *submit =
		g_strdup_printf("submit %s --number 1 --operator ann", doc);
	char *rival =
		g_strdup_printf("submit %s --number 1 --operator bob", other);
	char *wrong = write_file(group, "wrong", "[document]\nwiegh = 1\n");
	char *submit_wrong = g_strdup_printf("submit %s", wrong);
	char *out;

	expect_output(group, "promote", 1, "status=not_found");
	expect_output(group, submit, 0,
		      "result=accepted environment=trial number=1 digest=");
	expect_output(group, rival, 1, "status=conflict");
	expect_output(group, rival, 1, "winner_operator=ann");
	expect_output(group, submit_wrong, 1, "status=malformed");
	await_voters(group);
	fake_process_signal(group->controls[0], SIGTERM);
	ck_assert_int_eq(fake_process_join(group->controls[0], STOP_TIMEOUT_MS),
			 0);
	expect_output(
		group, "promote", 0,
		"result=accepted environment=production number=1 digest=");
	expect_output(group, "promote", 0, "in force already");
	expect_output(group, "promote --number 1", 0, "in force already");
	ck_assert_int_eq(run_command(group, "status", &out, NULL), 0);
	ck_assert_ptr_nonnull(
		strstr(out, "document environment=production number=1 "));
	/* No target has announced itself yet, and the status shows it. */
	ck_assert_ptr_nonnull(strstr(
		out, "service environment=production name=readings address="));
	ck_assert_ptr_nonnull(strstr(out, " targets=0\n"));
	ck_assert_ptr_nonnull(strstr(out, "control id=3 address=127.0.0.1:"));
	g_free(out);
	g_free(doc);
	g_free(other);
	g_free(wrong);
	g_free(submit);
	g_free(rival);
	g_free(submit_wrong);
	destroy_group(group);
}
END_TEST

START_TEST(changes_members_and_keys_by_name)
{
	group_t *group = create_group();
	char *words;
	char *out;

	expect_output(group, "rotate", 0, "result=accepted key=2");
	expect_output(group, "rotate", 0, "result=accepted key=2 message=");
	expect_output(group, "drain nobody", 1, "status=not_found");
	expect_output(group, "remove nobody --environment trial", 1,
		      "status=not_found");
	expect_output(group, "evacuate nowhere", 1, "status=not_found");
	expect_output(group, "readmit nowhere", 1, "status=not_found");
	words = g_strdup_printf("status --process %s",
				strrchr(group->addresses, ',') + 1);
	ck_assert_int_eq(run_command(group, words, &out, NULL), 0);
	ck_assert_ptr_nonnull(strstr(out, "counter name=control_polls value="));
	ck_assert_uint_gt(count_lines(out), 60);
	g_free(out);
	g_free(words);
	destroy_group(group);
}
END_TEST

/* A rendered settings file can be checked before a process starts with it. */
START_TEST(checks_flow_settings)
{
	group_t *group = create_group();
	char *path = g_build_filename(group->folder, "flow.ini", NULL);
	char *words = g_strdup_printf("check --settings %s --role agent", path);
	char *out = NULL;
	char *err = NULL;

	ck_assert(g_file_set_contents(
		path,
		"[process]\nname=n\nfailure-domain=d\n[listen]\n"
		"packets=10.0.0.1:1\ncontrol=10.0.0.1:2\n"
		"outbound=10.0.0.1:3\ninner-port=7000\n"
		"[target]\naddress=10.0.0.1:4\nservice=a\n"
		"[group]\nseeds=10.0.0.2:2\n",
		-1, NULL));
	ck_assert_int_eq(run_command(group, words, &out, &err), 0);
	ck_assert_ptr_nonnull(strstr(out, "result=valid role=agent name=n"));
	g_free(out);
	g_free(err);
	ck_assert(g_file_set_contents(path, "[process]\nname=n\n", -1, NULL));
	ck_assert_int_eq(run_command(group, words, &out, &err), 1);
	ck_assert_ptr_nonnull(strstr(err, "failure-domain: \"\""));
	g_free(out);
	g_free(err);
	g_free(words);
	g_free(path);
	destroy_group(group);
}
END_TEST

/* A command that fails prints one line and does not hang. */
START_TEST(reports_usage_errors_and_missing_leader)
{
	group_t *group = create_group();
	int i;

	expect_output(group, "submit", 2, "operand is missing");
	expect_output(group, "submit /nowhere/doc", 2, "/nowhere/doc");
	expect_output(group, "drain a b", 2, "\"b\" is not expected here");
	expect_output(group, "promote x", 2, "\"x\" is not expected here");
	expect_output(group, "status --timeout-ms 5", 2, "timeout-ms");
	expect_output(group, "status --controls nonsense", 2, "nonsense");
	expect_output(group, "status --key-file /nowhere", 2, "/nowhere");
	expect_output(group,
		      "control --id 4 --data x --listen 127.0.0.1:0 "
		      "--peers 1=127.0.0.1:9",
		      2, "--peers");
	for (i = 0; i < CONTROLS; i++) {
		fake_process_signal(group->controls[i], SIGKILL);
		fake_process_join(group->controls[i], STOP_TIMEOUT_MS);
	}
	expect_output(group, "status --timeout-ms 300", 1,
		      "no leader of the control group answered within 300 ms");
	destroy_group(group);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		promotes_trial_document_to_production,
		changes_members_and_keys_by_name,
		checks_flow_settings,
		reports_usage_errors_and_missing_leader,
		NULL,
	};

	return fake_suite_run("commands", tests);
}
