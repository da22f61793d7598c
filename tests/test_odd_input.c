/*
 * The real agent process, to which another writer sends heartbeats that are
 * deeply nested, hold too large a number or name an impossible port: it goes
 * on, and what its target said holds.
 */

#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <check.h>
#include <glib.h>
#include <glib/gstdio.h>

#include "fake_process.h"
#include "fake_suite.h"

/* Packets, control, outbound, target and metrics; the inner port is apart. */
#define PORTS 5
#define START_ATTEMPTS 200
#define PAUSE_US 20000
#define STOP_TIMEOUT_MS 10000

typedef struct station {
	char *folder;
	unsigned ports[PORTS];
	unsigned inner_port;
	fake_process_t *agent;
	unsigned sequence;
} station_t;

/* Bind a free port for one protocol; it is closed again before use. */
static int bind_port(int type, unsigned *port)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t len = sizeof(at);
	int fd = socket(AF_INET, type, 0);

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert(!bind(fd, (struct sockaddr *)&at, len));
	getsockname(fd, (struct sockaddr *)&at, &len);
	*port = ntohs(at.sin_port);
	return fd;
}

static void choose_ports(station_t *station)
{
	int fds[PORTS + 1];
	int i;

	for (i = 0; i < PORTS; i++)
		fds[i] = bind_port(i % 2 ? SOCK_STREAM : SOCK_DGRAM,
				   &station->ports[i]);
	/* An agent uses the second port after the inner one. */
	fds[PORTS] = bind_port(SOCK_STREAM, &station->inner_port);
	station->inner_port -= 2;
	for (i = 0; i <= PORTS; i++)
		close(fds[i]);
}

static char *write_settings(const station_t *station)
{
	char *path = g_build_filename(station->folder, "agent.ini", NULL);
	char *text = g_strdup_printf(
		"[process]\nname=a1\nfailure-domain=d1\n[listen]\n"
		"packets=127.0.0.1:%u\ncontrol=127.0.0.1:%u\n"
		"outbound=127.0.0.1:%u\ninner-port=%u\nmetrics-port=%u\n"
		"[target]\naddress=127.0.0.1:%u\nservice=desk\n"
		"[group]\nseeds=127.0.0.1:1\n",
		station->ports[0], station->ports[1], station->ports[2],
		station->inner_port, station->ports[3], station->ports[4]);

	ck_assert(g_file_set_contents(path, text, -1, NULL));
	g_free(text);
	return path;
}

/* Returns a connection to a port of the agent, or -1. */
static int connect_to(unsigned port)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	struct timeval limit = { .tv_sec = 5 };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	to.sin_port = htons((uint16_t)port);
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	if (!connect(fd, (struct sockaddr *)&to, sizeof(to)))
		return fd;
	close(fd);
	return -1;
}

static void start_station(station_t *station)
{
	char *path;
	char *command;
	int attempts = 0;
	int fd;

	memset(station, 0, sizeof(*station));
	station->folder = g_dir_make_tmp("dy-odd-XXXXXX", NULL);
	ck_assert_ptr_nonnull(station->folder);
	choose_ports(station);
	path = write_settings(station);
	command = g_strdup_printf("%s/damaskyard flow-agent --settings %s",
				  g_getenv("DY_BUILD"), path);
	station->agent = fake_process_create(station->folder, "agent", command);
	fake_process_start(station->agent);
	while ((fd = connect_to(station->ports[1])) < 0 &&
	       attempts++ < START_ATTEMPTS)
		g_usleep(PAUSE_US);
	ck_assert_int_ge(fd, 0);
	close(fd);
	g_free(command);
	g_free(path);
}

static void remove_file(const station_t *station, const char *name)
{
	char *path = g_build_filename(station->folder, name, NULL);

	g_unlink(path);
	g_free(path);
}

static void end_station(station_t *station)
{
	fake_process_destroy(station->agent);
	remove_file(station, "agent.ini");
	remove_file(station, "agent.out");
	remove_file(station, "agent.log");
	g_rmdir(station->folder);
	g_free(station->folder);
}

/*
 * Sends a request, and returns the status of the answer, with the whole answer
 * in text if it is not NULL.
 */
static int call(unsigned port, const char *method, const char *path,
		const char *body, char *text, size_t size)
{
	char *head = g_strdup_printf("%s %s HTTP/1.1\r\nConnection: close\r\n"
				     "Content-Length: %zu\r\n\r\n",
				     method, path, strlen(body));
	char *all = g_strconcat(head, body, NULL);
	char answer[16384] = "";
	size_t used = 0;
	size_t sent = 0;
	int status = 0;
	ssize_t n = 1;
	int fd = connect_to(port);

	ck_assert_int_ge(fd, 0);
	while (sent < strlen(all) && n > 0) {
		n = send(fd, all + sent, strlen(all) - sent, MSG_NOSIGNAL);
		sent += n > 0 ? (size_t)n : 0;
	}
	do {
		n = recv(fd, answer + used, sizeof(answer) - 1 - used, 0);
		used += n > 0 ? (size_t)n : 0;
	} while (n > 0 && used < sizeof(answer) - 1);
	close(fd);
	sscanf(answer, "HTTP/1.1 %d", &status);
	if (text)
		g_strlcpy(text, answer, size);
	g_free(all);
	g_free(head);
	return status;
}

/* The heartbeat of the agent's target, with more members at its beginning. */
static char *write_heartbeat(station_t *station, const char *more,
			     unsigned born)
{
	return g_strdup_printf(
		"{%s\"service\":\"desk\",\"address\":\"127.0.0.1:%u\","
		"\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,\"state\":"
		"\"ready\",\"warmupLeftMs\":0,\"seq\":%u,\"born\":%u}",
		more, station->ports[4], ++station->sequence, born);
}

static void expect_heartbeat_accepted(station_t *station)
{
	char *body = write_heartbeat(station, "", 5000);

	ck_assert_int_eq(call(station->ports[1], "PUT", "/-/instances/i-1",
			      body, NULL, 0),
			 200);
	g_free(body);
}

static void expect_odd_refused(station_t *station, const char *body)
{
	int status = call(station->ports[1], "PUT", "/-/instances/i-other",
			  body, NULL, 0);

	/* A connection may be reset while a body over the limit is sent. */
	ck_assert_msg(status == 400 || status == 413 ||
			      (!status && strlen(body) > 16384),
		      "status %d for %.80s", status, body);
	expect_heartbeat_accepted(station);
}

static uint64_t read_counter(const station_t *station, const char *name)
{
	char text[16384];
	char *line = g_strdup_printf("\n%s ", name);
	const char *at;
	uint64_t value;

	ck_assert_int_eq(call(station->ports[3], "GET", "/metrics", "", text,
			      sizeof(text)),
			 200);
	at = strstr(text, line);
	ck_assert_ptr_nonnull(at);
	value = g_ascii_strtoull(at + strlen(line), NULL, 10);
	g_free(line);
	return value;
}

static unsigned count(const char *text, const char *part)
{
	unsigned n = 0;

	while ((text = strstr(text, part))) {
		text += strlen(part);
		n++;
	}
	return n;
}

/* The agent runs, follows its target alone, and has logged a bounded amount. */
static void expect_target_held(station_t *station, unsigned instances)
{
	char *log;

	expect_heartbeat_accepted(station);
	log = fake_process_output(station->agent);
	ck_assert_uint_eq(count(log, "event=target_started"), instances);
	ck_assert_uint_eq(count(log, "event=target_started id=i-1"), 1);
	ck_assert_uint_eq(count(log, "event=target_not_ready"), 0);
	ck_assert_uint_le(count(log, "event=notice_"), 10);
	g_free(log);
	fake_process_signal(station->agent, 0);
}

static char *repeat(const char *part, unsigned times)
{
	GString *text = g_string_new(NULL);

	while (times--)
		g_string_append(text, part);
	return g_string_free(text, FALSE);
}

/* Guards against an agent that a deeply nested heartbeat ends. */
START_TEST(survives_deeply_nested_heartbeats)
{
	static const unsigned depths[] = { 10, 1000, 2000, 2100, 8000, 100000 };
	static const char *const opens[] = { "[", "{\"a\":" };
	station_t station;
	char *tail;
	char *deep;
	char *body;
	char *head;
	char *more;
	size_t i;

	start_station(&station);
	expect_heartbeat_accepted(&station);
	for (i = 0; i < 2 * G_N_ELEMENTS(depths); i++) {
		deep = repeat(opens[i % 2], depths[i / 2]);
		expect_odd_refused(&station, deep);
		body = g_strdup_printf("{\"state\":%s", deep);
		expect_odd_refused(&station, body);
		g_free(body);
		g_free(deep);
	}
	expect_target_held(&station, 1);
	/* A member of another name may hold anything that can be read. */
	deep = repeat("{\"a\":[", 500);
	head = g_strdup_printf("\"x\":%s0", deep);
	tail = repeat("]}", 500);
	more = g_strconcat(head, tail, ",", NULL);
	body = write_heartbeat(&station, more, 5000);
	ck_assert_int_eq(call(station.ports[1], "PUT", "/-/instances/i-1", body,
			      NULL, 0),
			 200);
	g_free(more);
	g_free(tail);
	g_free(head);
	g_free(body);
	g_free(deep);
	end_station(&station);
}
END_TEST

/* Guards against a number too large that ends an agent, or wraps. */
START_TEST(survives_heartbeats_with_too_large_numbers)
{
	static const char *const fields[] = { "slots", "warmupLeftMs", "seq",
					      "born" };
	static const char *const numbers[] = {
		"4294967296",
		"9223372036854775807",
		"9223372036854775808",
		"18446744073709551617",
		"-9223372036854775809",
		"1e400",
		"-1e400",
		"1e3",
		"99999999999999999999999999999999999999999999",
	};
	station_t station;
	char *body;
	char *name;
	GString *text;
	size_t i;
	size_t j;

	start_station(&station);
	expect_heartbeat_accepted(&station);
	for (i = 0; i < G_N_ELEMENTS(fields); i++) {
		for (j = 0; j < G_N_ELEMENTS(numbers); j++) {
			/* Any number of 13 digits is a time of birth. */
			if (i >= 2 && !j)
				continue;
			body = write_heartbeat(&station, "", 6000);
			name = g_strdup_printf("\"%s\":", fields[i]);
			text = g_string_new(body);
			g_string_replace(text, name, "\"x\":", 1);
			g_string_truncate(text, text->len - 1);
			g_string_append_printf(text, ",%s%s}", name,
					       numbers[j]);
			expect_odd_refused(&station, text->str);
			g_string_free(text, TRUE);
			g_free(name);
			g_free(body);
		}
	}
	expect_target_held(&station, 1);
	end_station(&station);
}
END_TEST

/* Guards against a port out of range that ends an agent, or wraps. */
START_TEST(survives_heartbeats_with_port_out_of_range)
{
	station_t station;
	char *addresses[7];
	char *body;
	char *own;
	GString *text;
	size_t i;

	start_station(&station);
	expect_heartbeat_accepted(&station);
	own = g_strdup_printf("127.0.0.1:%u", station.ports[4]);
	addresses[0] =
		g_strdup_printf("127.0.0.1:%u", station.ports[4] + 65536);
	addresses[1] = g_strdup("127.0.0.1:0");
	addresses[2] = g_strdup("127.0.0.1:65536");
	addresses[3] = g_strdup("127.0.0.1:99999999999999999999999");
	addresses[4] = g_strdup("127.0.0.1:");
	addresses[5] = g_strdup("127.0.0.1:-1");
	addresses[6] = repeat("127.0.0.1:", 1500);
	for (i = 0; i < G_N_ELEMENTS(addresses); i++) {
		body = write_heartbeat(&station, "", 6000);
		text = g_string_new(body);
		g_string_replace(text, own, addresses[i], 1);
		expect_odd_refused(&station, text->str);
		g_string_free(text, TRUE);
		g_free(body);
		g_free(addresses[i]);
	}
	expect_target_held(&station, 1);
	ck_assert_uint_eq(read_counter(&station, "notices_invalid"),
			  G_N_ELEMENTS(addresses));
	g_free(own);
	end_station(&station);
}
END_TEST

/* Guards against ids that are too long, empty or not text. */
START_TEST(survives_odd_ids)
{
	static const char *const ids[] = { "",	    "%00", "a%2fb", "\xff\xfe",
					   "i-1?x", "..",  "\x7f" };
	station_t station;
	char *path;
	char *body;
	char *id;
	size_t i;

	start_station(&station);
	expect_heartbeat_accepted(&station);
	body = write_heartbeat(&station, "", 6000);
	for (i = 0; i <= G_N_ELEMENTS(ids); i++) {
		id = i < G_N_ELEMENTS(ids) ? g_strdup(ids[i])
					   : repeat("i", 400);
		path = g_strdup_printf("/-/instances/%s", id);
		call(station.ports[1], "DELETE", path, "", NULL, 0);
		expect_heartbeat_accepted(&station);
		g_free(path);
		g_free(id);
	}
	path = g_strdup_printf("/-/instances/%s", (id = repeat("i", 400)));
	ck_assert_int_eq(call(station.ports[1], "PUT", path, body, NULL, 0),
			 400);
	expect_target_held(&station, 1);
	g_free(path);
	g_free(id);
	g_free(body);
	end_station(&station);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		survives_deeply_nested_heartbeats,
		survives_heartbeats_with_too_large_numbers,
		survives_heartbeats_with_port_out_of_range,
		survives_odd_ids,
		NULL,
	};

	return fake_suite_run_for("odd_input", tests, 30);
}
