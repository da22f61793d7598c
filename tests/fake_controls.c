#include "fake_controls.h"

#include <arpa/inet.h>
#include <check.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "fake_control.h"
#include "fake_process.h"

#define POLL_US 10000
#define REDIRECTS_MAX 3

/* Offset of the inner port from that of the operator's interface. */
#define INNER_OFFSET 10

struct fake_controls {
	char *folder;
	char *net; /* the first three bytes of all addresses */
	int port;
	fake_process_t *processes[FAKE_CONTROLS_MAX + 1];
	int running[FAKE_CONTROLS_MAX + 1];
};

static const char settings_format[] =
	"[process]\nname=c%d\nfailure-domain=z%d\ndata=%s\nfirst-start=%s\n"
	"stop-s=2\n[listen]\ncontrol=%s.%d:%d\ninner-port=%d\n"
	"[group]\nseeds=%s\nlosses=1\nfailure-domains=z0,z1,z2\n"
	"[platform]\ncontracts=base,drain,config,cost,recover,flows\n";

static const char body_format[] =
	"{\"version\":%u,\"routes\":[{\"name\":\"r-1\",\"host\":\"127.1.0.1\","
	"\"pathPrefix\":\"/443/\",\"routeType\":\"safe\",\"timeoutMs\":1000,"
	"\"targetLatencyMs\":150,\"priority\":2,\"service\":\"s-1\","
	"\"maxAttempts\":2}],\"services\":[{\"name\":\"s-1\",\"healthPath\":"
	"\"/healthz\",\"maxFlows\":2000,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static char *path_of(const fake_controls_t *controls, int number,
		     const char *suffix)
{
	return g_strdup_printf("%s/c%d%s", controls->folder, number, suffix);
}

/*
 * In memory if possible: a sync on a busy disk takes seconds, and the moments
 * of a test would then fall into other steps of a start.
 */
static char *make_folder(void)
{
	char *folder = g_strdup("/dev/shm/dy-controls-XXXXXX");

	if (g_mkdtemp(folder))
		return folder;
	g_free(folder);
	return g_dir_make_tmp("dy-controls-XXXXXX", NULL);
}

fake_controls_t *fake_controls_create(void)
{
	fake_controls_t *controls = g_new0(fake_controls_t, 1);
	const char *build = g_getenv("DY_BUILD");
	char name[8];
	char *settings;
	char *command;
	int i;

	controls->folder = make_folder();
	controls->net =
		g_strdup_printf("127.%d.%d", g_random_int_range(20, 120),
				g_random_int_range(10, 210));
	controls->port = g_random_int_range(15000, 25000);
	for (i = 1; i <= FAKE_CONTROLS_MAX; i++) {
		settings = path_of(controls, i, ".ini");
		command = g_strdup_printf(
			"%s/damaskyard flow-control --settings %s",
			build ? build : "build", settings);
		snprintf(name, sizeof(name), "c%d", i);
		controls->processes[i] =
			fake_process_create(controls->folder, name, command);
		g_free(command);
		g_free(settings);
	}
	return controls;
}

void fake_controls_destroy(fake_controls_t *controls)
{
	int i;

	for (i = 1; i <= FAKE_CONTROLS_MAX; i++) {
		fake_process_destroy(controls->processes[i]);
		fake_controls_wipe(controls, i);
	}
	fake_control_remove_folder(controls->folder);
	g_free(controls->net);
	g_free(controls);
}

static char *format_seeds(const fake_controls_t *controls, const char *numbers)
{
	char **words = g_strsplit(numbers, ",", -1);
	GString *seeds = g_string_new(NULL);
	int i;

	for (i = 0; words[i]; i++)
		g_string_append_printf(seeds, "%s%s.%s:%d", i ? "," : "",
				       controls->net, words[i], controls->port);
	g_strfreev(words);
	return g_string_free(seeds, FALSE);
}

void fake_controls_configure(fake_controls_t *controls, int number,
			     const char *seeds, gboolean first_start)
{
	char *path = path_of(controls, number, ".ini");
	char *data = fake_controls_data(controls, number);
	char *list = format_seeds(controls, seeds);
	char *text = g_strdup_printf(settings_format, number, (number - 1) % 3,
				     data, first_start ? "true" : "false",
				     controls->net, number, controls->port,
				     controls->port + INNER_OFFSET, list);

	ck_assert(g_file_set_contents(path, text, -1, NULL));
	g_free(text);
	g_free(list);
	g_free(data);
	g_free(path);
}

void fake_controls_start(fake_controls_t *controls, int number)
{
	fake_process_start(controls->processes[number]);
	controls->running[number] = 1;
}

void fake_controls_signal(fake_controls_t *controls, int number, int signal)
{
	fake_process_signal(controls->processes[number], signal);
}

int fake_controls_join(fake_controls_t *controls, int number,
		       unsigned timeout_ms)
{
	controls->running[number] = 0;
	return fake_process_join(controls->processes[number], timeout_ms);
}

void fake_controls_kill(fake_controls_t *controls, int number)
{
	fake_controls_signal(controls, number, SIGKILL);
	fake_controls_join(controls, number, 5000);
}

char *fake_controls_data(const fake_controls_t *controls, int number)
{
	return path_of(controls, number, ".data");
}

void fake_controls_wipe(fake_controls_t *controls, int number)
{
	char *data = fake_controls_data(controls, number);

	if (g_file_test(data, G_FILE_TEST_IS_DIR))
		fake_control_remove_folder(data);
	else
		g_free(data);
}

char *fake_controls_log(const fake_controls_t *controls, int number)
{
	return fake_process_output(controls->processes[number]);
}

void fake_controls_await(const fake_controls_t *controls, int number,
			 const char *text, unsigned timeout_ms)
{
	gint64 end_us = g_get_monotonic_time() + timeout_ms * 1000LL;
	int found = 0;
	char *log;

	while (!found) {
		log = fake_controls_log(controls, number);
		found = strstr(log, text) != NULL;
		ck_assert_msg(found || g_get_monotonic_time() < end_us,
			      "c%d has not logged \"%s\" within %u ms: %s",
			      number, text, timeout_ms, log);
		g_free(log);
		if (!found)
			g_usleep(POLL_US);
	}
}

static int connect_to(const char *ip, int port)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	struct timeval limit = { .tv_sec = 1 };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	to.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip, &to.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	if (!connect(fd, (struct sockaddr *)&to, sizeof(to)))
		return fd;
	close(fd);
	return -1;
}

/* Sends one request; returns the answer, to be freed, or NULL. */
static char *call(const char *ip, int port, const char *body)
{
	char *request = g_strdup_printf(
		"PUT /-/config HTTP/1.1\r\nHost: %s\r\n"
		"Content-Type: application/json\r\nConnection: close\r\n"
		"Content-Length: %zu\r\n\r\n%s",
		ip, strlen(body), body);
	size_t size = strlen(request);
	char answer[4096];
	ssize_t got = -1;
	int fd = connect_to(ip, port);

	if (fd >= 0) {
		if (send(fd, request, size, MSG_NOSIGNAL) == (ssize_t)size)
			got = recv(fd, answer, sizeof(answer) - 1, 0);
		close(fd);
	}
	g_free(request);
	return got > 0 ? g_strndup(answer, (gsize)got) : NULL;
}

/* Returns the IP address of the Location header, to be freed, or NULL. */
static char *find_location(const char *answer)
{
	static const char header[] = "Location: http://";
	const char *start = strstr(answer, header);

	if (!start)
		return NULL;
	start += strlen(header);
	return g_strndup(start, strcspn(start, ":/\r"));
}

static gboolean put_at(const fake_controls_t *controls, int number,
		       const char *body)
{
	char *ip = g_strdup_printf("%s.%d", controls->net, number);
	gboolean done = FALSE;
	char *answer;
	char *next;
	int i;

	for (i = 0; i < REDIRECTS_MAX && ip && !done; i++) {
		answer = call(ip, controls->port, body);
		done = answer && strstr(answer, "HTTP/1.1 200") == answer;
		next = answer ? find_location(answer) : NULL;
		g_free(answer);
		g_free(ip);
		ip = next;
	}
	g_free(ip);
	return done;
}

gboolean fake_controls_put(fake_controls_t *controls, unsigned version,
			   unsigned timeout_ms)
{
	gint64 end_us = g_get_monotonic_time() + timeout_ms * 1000LL;
	char *body = g_strdup_printf(body_format, version);
	gboolean done = FALSE;
	int i;

	while (!done && g_get_monotonic_time() < end_us) {
		for (i = 1; i <= FAKE_CONTROLS_MAX && !done; i++)
			done = controls->running[i] &&
			       put_at(controls, i, body);
		if (!done)
			g_usleep(50000);
	}
	g_free(body);
	return done;
}
