#include "damaskyard/http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fake_suite.h"

#define BODY_MAX 64

/* A server on a loop, and what it was asked. */
static struct {
	dy_loop_t *loop;
	dy_metrics_t *metrics;
	dy_http_server_t *server;
	GString *asked; /* "METHOD PATH BODY;" of each request */
	dy_http_exchange_t *held;
	int hold; /* answers wait */
	unsigned ticks;
} world;

static void on_request(void *context, dy_http_exchange_t *exchange,
		       const dy_http_request_t *request)
{
	(void)context;
	g_string_append_printf(world.asked, "%s %s %.*s;", request->method,
			       request->path, (int)request->body_len,
			       request->body_len ? (const char *)request->body
						 : "");
	if (world.hold)
		world.held = exchange;
	else
		dy_http_answer_status(exchange, 200);
}

static void on_tick(void *context)
{
	(void)context;
	if (++world.ticks >= 4)
		dy_loop_end(world.loop);
}

/* Let the loop run for some 20 ms: enough for what is in the sockets. */
static void settle(void)
{
	world.ticks = 0;
	dy_loop_run(world.loop);
}

static void begin(void)
{
	dy_http_config_t config = { 0 };
	GError *error = NULL;

	memset(&world, 0, sizeof(world));
	world.asked = g_string_new(NULL);
	world.metrics = dy_metrics_create();
	world.loop = dy_loop_create(world.metrics);
	dy_loop_every(world.loop, 5, on_tick, NULL);
	dy_address_parse("127.0.0.1:0", &config.listen);
	config.body_max_bytes = BODY_MAX;
	config.handle = on_request;
	world.server = dy_http_server_create(world.loop, world.metrics, &config,
					     &error);
	ck_assert_ptr_nonnull(world.server);
}

static void end(void)
{
	dy_http_server_destroy(world.server);
	dy_loop_destroy(world.loop);
	dy_metrics_destroy(world.metrics);
	g_string_free(world.asked, TRUE);
}

static int dial(void)
{
	struct sockaddr_storage to;
	int handle = socket(AF_INET, SOCK_STREAM, 0);

	dy_address_write(dy_http_server_address(world.server), &to);
	ck_assert(!connect(handle, (struct sockaddr *)&to,
			   sizeof(struct sockaddr_in)));
	return handle;
}

static void say(int handle, const char *text)
{
	ck_assert_int_eq(send(handle, text, strlen(text), MSG_NOSIGNAL),
			 (ssize_t)strlen(text));
	settle();
}

/* What has been answered by now; "closed" stands behind it at the end. */
static const char *hear(int handle)
{
	static char text[4096];
	size_t used = 0;
	ssize_t n;

	do {
		n = recv(handle, text + used, sizeof(text) - used - 8,
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

START_TEST(requests_of_one_connection_are_answered_in_turn)
{
	int handle;

	begin();
	handle = dial();
	say(handle, "PUT /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"
		    "GET /b?c HTTP/1.1\r\n\r\n");
	ck_assert_str_eq(world.asked->str, "PUT /a hi;GET /b?c ;");
	ck_assert_uint_eq(count(hear(handle), "HTTP/1.1 200 OK"), 2);
	say(handle, "GET /d HTTP/1.1\r\nConnection: close\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(hear(handle), "closed"));
	close(handle);
	end();
}
END_TEST

/* A slow caller's request comes byte by byte. */
START_TEST(request_in_pieces_is_put_together)
{
	static const char text[] =
		"PUT /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi";
	char piece[2] = "";
	int handle;
	size_t i;

	begin();
	handle = dial();
	for (i = 0; text[i]; i++) {
		piece[0] = text[i];
		say(handle, piece);
	}
	ck_assert_str_eq(world.asked->str, "PUT /a hi;");
	close(handle);
	end();
}
END_TEST

/*
 * An operator's call waits for the log, and the operator gives up and goes.
 * The answer must find that out by itself.
 */
START_TEST(answer_after_the_caller_left_is_dropped)
{
	int handle;

	begin();
	world.hold = 1;
	handle = dial();
	say(handle, "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
	ck_assert_str_eq(world.asked->str, "GET /a ;");
	close(handle);
	settle();
	dy_http_answer_status(world.held, 200);
	settle();
	/* What it had sent before it went is handled, to nobody. */
	ck_assert_str_eq(world.asked->str, "GET /a ;GET /b ;");
	dy_http_answer_status(world.held, 200);
	settle();
	end();
}
END_TEST

/* An order whose sender gave it up, and sent it elsewhere, is made late. */
START_TEST(exchange_tells_that_its_caller_left)
{
	int handle;

	begin();
	world.hold = 1;
	handle = dial();
	say(handle, "POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
	ck_assert(!dy_http_is_abandoned(world.held));
	close(handle);
	settle();
	ck_assert(dy_http_is_abandoned(world.held));
	dy_http_answer_status(world.held, 503);
	settle();
	end();
}
END_TEST

/* The process stops while a call waits. */
START_TEST(answer_after_the_server_closed_is_dropped)
{
	dy_http_exchange_t *held;
	int handle;

	begin();
	world.hold = 1;
	handle = dial();
	say(handle, "GET /a HTTP/1.1\r\n\r\n");
	held = world.held;
	dy_http_server_destroy(world.server);
	world.server = NULL;
	dy_http_answer_status(held, 200);
	close(handle);
	end();
}
END_TEST

START_TEST(redirect_names_its_location)
{
	const dy_http_answer_t answer = { .status = 307,
					  .location = "http://1.2.3.4:5/a" };
	const char *heard;
	int handle;

	begin();
	world.hold = 1;
	handle = dial();
	say(handle, "GET /a HTTP/1.1\r\n\r\n");
	dy_http_answer(world.held, &answer);
	settle();
	heard = hear(handle);
	ck_assert_ptr_nonnull(strstr(heard, "307 Temporary Redirect"));
	ck_assert_ptr_nonnull(
		strstr(heard, "\r\nLocation: http://1.2.3.4:5/a\r\n"));
	close(handle);
	end();
}
END_TEST

/* Bytes that are no request get 400 and disturb no other connection. */
START_TEST(malformed_requests_are_refused)
{
	static const char *const texts[] = {
		"hello\r\n\r\n",
		"GET\r\n\r\n",
		"GET / HTTP/9.x\r\n\r\n",
		"PUT / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
		"\x16\x03\x01\x02",
		"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	};
	int other;
	int handle;
	size_t i;

	begin();
	other = dial();
	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		handle = dial();
		say(handle, texts[i]);
		ck_assert_ptr_nonnull(strstr(hear(handle), "400 Bad Request"));
		close(handle);
	}
	ck_assert_str_eq(world.asked->str, "");
	ck_assert_uint_eq(dy_metrics_value(world.metrics, "http_malformed"),
			  G_N_ELEMENTS(texts));
	say(other, "GET /ok HTTP/1.1\r\n\r\n");
	ck_assert_str_eq(world.asked->str, "GET /ok ;");
	close(other);
	end();
}
END_TEST

START_TEST(body_over_the_limit_is_refused)
{
	char body[BODY_MAX + 2];
	char *text;
	int handle;

	begin();
	memset(body, 'x', sizeof(body));
	body[BODY_MAX + 1] = '\0';
	handle = dial();
	text = g_strdup_printf("PUT / HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s",
			       BODY_MAX + 1, body);
	say(handle, text);
	ck_assert_ptr_nonnull(strstr(hear(handle), "413 Payload Too Large"));
	ck_assert_str_eq(world.asked->str, "");
	close(handle);
	g_free(text);
	end();
}
END_TEST

/* A path that never ends would fill the memory. */
START_TEST(path_over_the_limit_is_refused)
{
	GString *text = g_string_new("GET /");
	int handle;
	int i;

	begin();
	for (i = 0; i < 2000; i++)
		g_string_append_c(text, 'a');
	g_string_append(text, " HTTP/1.1\r\n\r\n");
	handle = dial();
	say(handle, text->str);
	ck_assert_ptr_nonnull(strstr(hear(handle), "400 Bad Request"));
	close(handle);
	g_string_free(text, TRUE);
	end();
}
END_TEST

/* A request that was cut is not handled, and the connection is let go. */
START_TEST(cut_request_is_not_handled)
{
	int handle;

	begin();
	handle = dial();
	say(handle, "PUT / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
	close(handle);
	settle();
	ck_assert_str_eq(world.asked->str, "");
	end();
}
END_TEST

/* Somebody opens connections without end. */
START_TEST(connections_are_bounded)
{
	int handles[DY_HTTP_CONNECTIONS_MAX + 4];
	int i;

	begin();
	for (i = 0; i < (int)G_N_ELEMENTS(handles); i++) {
		handles[i] = dial();
		if (i % 64 == 0)
			settle();
	}
	settle();
	settle();
	ck_assert_uint_eq(dy_metrics_value(world.metrics, "http_refused"), 4);
	ck_assert_ptr_nonnull(
		strstr(hear(handles[DY_HTTP_CONNECTIONS_MAX]), "closed"));
	for (i = 0; i < (int)G_N_ELEMENTS(handles); i++)
		close(handles[i]);
	end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		requests_of_one_connection_are_answered_in_turn,
		request_in_pieces_is_put_together,
		answer_after_the_caller_left_is_dropped,
		exchange_tells_that_its_caller_left,
		answer_after_the_server_closed_is_dropped,
		redirect_names_its_location,
		malformed_requests_are_refused,
		body_over_the_limit_is_refused,
		path_over_the_limit_is_refused,
		cut_request_is_not_handled,
		connections_are_bounded,
		NULL,
	};

	return fake_suite_run("http", tests);
}
