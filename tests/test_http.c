#include "damaskyard/http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fake_suite.h"

#define BODY_MAX 64

/* A server on a loop, and the requests that it received. */
static struct {
	dy_loop_t *loop;
	dy_metrics_t *metrics;
	dy_http_server_t *server;
	GString *requests; /* "METHOD PATH BODY;" of each request */
	dy_http_exchange_t *pending;
	int defer_answers; /* keep requests in pending */
	unsigned ticks;
	size_t first_frame; /* address in the stack, of the first request */
	size_t deepest;	    /* bytes of stack below it */
} fixture;

static void on_request(void *context, dy_http_exchange_t *exchange,
		       const dy_http_request_t *request)
{
	size_t frame = (size_t)__builtin_frame_address(0);

	(void)context;
	if (!fixture.first_frame)
		fixture.first_frame = frame;
	if (frame < fixture.first_frame)
		fixture.deepest =
			MAX(fixture.deepest, fixture.first_frame - frame);
	g_string_append_printf(fixture.requests, "%s %s %.*s;", request->method,
			       request->path, (int)request->body_len,
			       request->body_len ? (const char *)request->body
						 : "");
	if (fixture.defer_answers)
		fixture.pending = exchange;
	else
		dy_http_answer_status(exchange, 200);
}

static void on_tick(void *context)
{
	(void)context;
	if (++fixture.ticks >= 4)
		dy_loop_end(fixture.loop);
}

/* Run the loop for some 20 ms, enough to handle what is in the sockets. */
static void run_loop(void)
{
	fixture.ticks = 0;
	dy_loop_run(fixture.loop);
}

static void setup(void)
{
	dy_http_config_t config = { 0 };
	GError *error = NULL;

	memset(&fixture, 0, sizeof(fixture));
	fixture.requests = g_string_new(NULL);
	fixture.metrics = dy_metrics_create();
	fixture.loop = dy_loop_create(fixture.metrics);
	dy_loop_every(fixture.loop, 5, on_tick, NULL);
	dy_address_parse("127.0.0.1:0", &config.listen);
	config.body_max_bytes = BODY_MAX;
	config.handle = on_request;
	fixture.server = dy_http_server_create(fixture.loop, fixture.metrics,
					       &config, &error);
	ck_assert_ptr_nonnull(fixture.server);
}

static void teardown(void)
{
	dy_http_server_destroy(fixture.server);
	dy_loop_destroy(fixture.loop);
	dy_metrics_destroy(fixture.metrics);
	g_string_free(fixture.requests, TRUE);
}

static int connect_to_server(void)
{
	struct sockaddr_storage to;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	dy_address_write(dy_http_server_address(fixture.server), &to);
	ck_assert(!connect(fd, (struct sockaddr *)&to,
			   sizeof(struct sockaddr_in)));
	return fd;
}

static void send_text(int fd, const char *text)
{
	ck_assert_int_eq(send(fd, text, strlen(text), MSG_NOSIGNAL),
			 (ssize_t)strlen(text));
	run_loop();
}

/* Returns all bytes received by now, plus "closed" if the server closed. */
static const char *received_text(int fd)
{
	static char text[4096];
	size_t used = 0;
	ssize_t n;

	do {
		n = recv(fd, text + used, sizeof(text) - used - 8,
			 MSG_DONTWAIT);
		if (n > 0)
			used += (size_t)n;
	} while (n > 0);
	text[used] = '\0';
	if (!n || (n < 0 && errno == ECONNRESET))
		g_strlcpy(text + used, "closed", sizeof(text) - used);
	return text;
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

START_TEST(answers_pipelined_requests_in_order)
{
	int fd;

	setup();
	fd = connect_to_server();
	send_text(fd, "PUT /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"
		      "GET /b?c HTTP/1.1\r\n\r\n");
	ck_assert_str_eq(fixture.requests->str, "PUT /a hi;GET /b?c ;");
	ck_assert_uint_eq(count(received_text(fd), "HTTP/1.1 200 OK"), 2);
	send_text(fd, "GET /d HTTP/1.1\r\nConnection: close\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(received_text(fd), "closed"));
	close(fd);
	teardown();
}
END_TEST

#define BURST_REQUESTS 3000

/* Requests whose answers exceed the buffers of a socket. */
#define UNREAD_REQUESTS 400000

/* Returns the bytes received until the server sends no more. */
static size_t drain_socket(int fd)
{
	char bytes[4096];
	size_t received = 0;
	int silent = 0;
	ssize_t n;

	while (silent < 3) {
		n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		if (n > 0) {
			received += (size_t)n;
			silent = 0;
		} else {
			run_loop();
			silent++;
		}
	}
	return received;
}

/*
 * Guards against a caller that sends thousands of requests in one write, each
 * of which took a stack frame and a copy of all that followed it.
 */
START_TEST(answers_burst_of_requests_in_bounded_room)
{
	static const char request[] = "GET / HTTP/1.1\r\n\r\n";
	GString *burst = g_string_new(NULL);
	size_t answers;
	int fd;
	int i;

	setup();
	fd = connect_to_server();
	send_text(fd, request);
	answers = drain_socket(fd);
	for (i = 0; i < BURST_REQUESTS; i++)
		g_string_append(burst, request);
	send_text(fd, burst->str);
	ck_assert_uint_eq(drain_socket(fd), BURST_REQUESTS * answers);
	ck_assert_uint_eq(count(fixture.requests->str, "GET / ;"),
			  BURST_REQUESTS + 1);
	ck_assert_uint_lt(fixture.deepest, 65536);
	g_string_free(burst, TRUE);
	close(fd);
	teardown();
}
END_TEST

/* Sends requests until the socket is full. */
static void fill_socket(int fd, const GString *burst, size_t *offset)
{
	ssize_t sent;

	do {
		sent = send(fd, burst->str + *offset, burst->len - *offset,
			    MSG_NOSIGNAL | MSG_DONTWAIT);
		if (sent > 0)
			*offset = (*offset + (size_t)sent) % burst->len;
	} while (sent > 0);
	ck_assert_int_eq(errno, EAGAIN);
}

/* Guards against answers that pile up for a caller that does not read them. */
START_TEST(handles_no_request_while_answers_are_not_read)
{
	GString *burst = g_string_new(NULL);
	uint64_t handled = 0;
	size_t offset = 0;
	uint64_t before;
	int fd;
	int i;

	setup();
	fd = connect_to_server();
	for (i = 0; i < BURST_REQUESTS; i++)
		g_string_append(burst, "GET / HTTP/1.1\r\n\r\n");
	do {
		before = handled;
		fill_socket(fd, burst, &offset);
		run_loop();
		handled = dy_metrics_value(fixture.metrics, "http_requests");
	} while (handled > before && handled < UNREAD_REQUESTS);
	ck_assert_uint_lt(handled, UNREAD_REQUESTS);
	ck_assert_uint_eq(dy_metrics_value(fixture.metrics, "http_malformed"),
			  0);
	g_string_free(burst, TRUE);
	close(fd);
	teardown();
}
END_TEST

/* A slow caller sends its request byte by byte. */
START_TEST(reassembles_request_from_fragments)
{
	static const char text[] =
		"PUT /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi";
	char piece[2] = "";
	int fd;
	size_t i;

	setup();
	fd = connect_to_server();
	for (i = 0; text[i]; i++) {
		piece[0] = text[i];
		send_text(fd, piece);
	}
	ck_assert_str_eq(fixture.requests->str, "PUT /a hi;");
	close(fd);
	teardown();
}
END_TEST

/*
 * An operator times out and closes while its call waits for the replicated log.
 * The late answer must not use the closed connection.
 */
START_TEST(drops_answer_after_caller_closed)
{
	int fd;

	setup();
	fixture.defer_answers = 1;
	fd = connect_to_server();
	send_text(fd, "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
	ck_assert_str_eq(fixture.requests->str, "GET /a ;");
	close(fd);
	run_loop();
	dy_http_answer_status(fixture.pending, 200);
	run_loop();
	/* A request that was sent before the close is still handled. */
	ck_assert_str_eq(fixture.requests->str, "GET /a ;GET /b ;");
	dy_http_answer_status(fixture.pending, 200);
	run_loop();
	teardown();
}
END_TEST

/*
 * A caller times out and sends its request elsewhere. Without this check the
 * first server would still apply the request, later.
 */
START_TEST(reports_exchange_as_abandoned_after_caller_closed)
{
	int fd;

	setup();
	fixture.defer_answers = 1;
	fd = connect_to_server();
	send_text(fd, "POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
	ck_assert(!dy_http_is_abandoned(fixture.pending));
	close(fd);
	run_loop();
	ck_assert(dy_http_is_abandoned(fixture.pending));
	dy_http_answer_status(fixture.pending, 503);
	run_loop();
	teardown();
}
END_TEST

/* The process stops while a request is unanswered. */
START_TEST(drops_answer_after_server_is_destroyed)
{
	dy_http_exchange_t *pending;
	int fd;

	setup();
	fixture.defer_answers = 1;
	fd = connect_to_server();
	send_text(fd, "GET /a HTTP/1.1\r\n\r\n");
	pending = fixture.pending;
	dy_http_server_destroy(fixture.server);
	fixture.server = NULL;
	dy_http_answer_status(pending, 200);
	close(fd);
	teardown();
}
END_TEST

START_TEST(sends_location_of_redirect)
{
	const dy_http_answer_t answer = { .status = 307,
					  .location = "http://1.2.3.4:5/a" };
	const char *received;
	int fd;

	setup();
	fixture.defer_answers = 1;
	fd = connect_to_server();
	send_text(fd, "GET /a HTTP/1.1\r\n\r\n");
	dy_http_answer(fixture.pending, &answer);
	run_loop();
	received = received_text(fd);
	ck_assert_ptr_nonnull(strstr(received, "307 Temporary Redirect"));
	ck_assert_ptr_nonnull(
		strstr(received, "\r\nLocation: http://1.2.3.4:5/a\r\n"));
	close(fd);
	teardown();
}
END_TEST

/* Malformed bytes get status 400 and do not affect other connections. */
START_TEST(refuses_malformed_requests)
{
	static const char *const texts[] = {
		"hello\r\n\r\n",
		"GET\r\n\r\n",
		"GET / HTTP/9.x\r\n\r\n",
		"PUT / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
		"\x16\x03\x01\x02",
		"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	};
	int other_fd;
	int fd;
	size_t i;

	setup();
	other_fd = connect_to_server();
	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		fd = connect_to_server();
		send_text(fd, texts[i]);
		ck_assert_ptr_nonnull(
			strstr(received_text(fd), "400 Bad Request"));
		close(fd);
	}
	ck_assert_str_eq(fixture.requests->str, "");
	ck_assert_uint_eq(dy_metrics_value(fixture.metrics, "http_malformed"),
			  G_N_ELEMENTS(texts));
	send_text(other_fd, "GET /ok HTTP/1.1\r\n\r\n");
	ck_assert_str_eq(fixture.requests->str, "GET /ok ;");
	close(other_fd);
	teardown();
}
END_TEST

START_TEST(refuses_body_over_limit)
{
	char body[BODY_MAX + 2];
	char *text;
	int fd;

	setup();
	memset(body, 'x', sizeof(body));
	body[BODY_MAX + 1] = '\0';
	fd = connect_to_server();
	text = g_strdup_printf("PUT / HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s",
			       BODY_MAX + 1, body);
	send_text(fd, text);
	ck_assert_ptr_nonnull(
		strstr(received_text(fd), "413 Payload Too Large"));
	ck_assert_str_eq(fixture.requests->str, "");
	close(fd);
	g_free(text);
	teardown();
}
END_TEST

/* An endless path would exhaust the memory. */
START_TEST(refuses_path_over_limit)
{
	GString *text = g_string_new("GET /");
	int fd;
	int i;

	setup();
	for (i = 0; i < 2000; i++)
		g_string_append_c(text, 'a');
	g_string_append(text, " HTTP/1.1\r\n\r\n");
	fd = connect_to_server();
	send_text(fd, text->str);
	ck_assert_ptr_nonnull(strstr(received_text(fd), "400 Bad Request"));
	close(fd);
	g_string_free(text, TRUE);
	teardown();
}
END_TEST

/* A caller closes in the middle of a request body. */
START_TEST(ignores_truncated_request)
{
	int fd;

	setup();
	fd = connect_to_server();
	send_text(fd, "PUT / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
	close(fd);
	run_loop();
	ck_assert_str_eq(fixture.requests->str, "");
	teardown();
}
END_TEST

/* A caller keeps opening connections. */
START_TEST(refuses_connections_over_limit)
{
	int fds[DY_HTTP_CONNECTIONS_MAX + 4];
	int i;

	setup();
	for (i = 0; i < (int)G_N_ELEMENTS(fds); i++) {
		fds[i] = connect_to_server();
		if (i % 64 == 0)
			run_loop();
	}
	run_loop();
	run_loop();
	ck_assert_uint_eq(dy_metrics_value(fixture.metrics, "http_refused"), 4);
	ck_assert_ptr_nonnull(
		strstr(received_text(fds[DY_HTTP_CONNECTIONS_MAX]), "closed"));
	for (i = 0; i < (int)G_N_ELEMENTS(fds); i++)
		close(fds[i]);
	teardown();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		answers_pipelined_requests_in_order,
		answers_burst_of_requests_in_bounded_room,
		handles_no_request_while_answers_are_not_read,
		reassembles_request_from_fragments,
		drops_answer_after_caller_closed,
		reports_exchange_as_abandoned_after_caller_closed,
		drops_answer_after_server_is_destroyed,
		sends_location_of_redirect,
		refuses_malformed_requests,
		refuses_body_over_limit,
		refuses_path_over_limit,
		ignores_truncated_request,
		refuses_connections_over_limit,
		NULL,
	};

	return fake_suite_run("http", tests);
}
