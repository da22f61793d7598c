#include "soak.h"

#include <stdlib.h>
#include <string.h>

/* Call timeout, the same as that of the platform's HTTP callers. */
#define CALL_TIMEOUT_MS 1000

typedef struct call {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_connect_t connect;
	uv_write_t write;
	GString *request;
	GString *answer;
	http_done_cb_t *done;
	void *context;
	int closing_handles; /* handles to be closed; 0 while the call runs */
} call_t;

static void on_closed(uv_handle_t *handle)
{
	call_t *call = handle->data;

	if (--call->closing_handles)
		return;
	g_string_free(call->request, TRUE);
	g_string_free(call->answer, TRUE);
	g_free(call);
}

static void finish(call_t *call, int status, const char *body,
		   const char *location)
{
	if (call->closing_handles)
		return;
	call->closing_handles = 2;
	call->done(call->context, status, body, location);
	uv_close((uv_handle_t *)&call->tcp, on_closed);
	uv_close((uv_handle_t *)&call->timer, on_closed);
}

/* Finishes the call once the answer is complete. */
static void parse_answer(call_t *call)
{
	char *text = call->answer->str;
	char *body = strstr(text, "\r\n\r\n");
	char *length = strstr(text, "Content-Length: ");
	char *location = strstr(text, "Location: http://");
	char *end;

	if (!body || !length || strlen(text) < 12)
		return;
	body += 4;
	if (call->answer->len - (size_t)(body - text) <
	    strtoul(length + strlen("Content-Length: "), NULL, 10))
		return;
	if (location && location < body) {
		location += strlen("Location: http://");
		end = strpbrk(location, "/\r");
		if (end)
			*end = '\0';
	} else {
		location = NULL;
	}
	finish(call, atoi(text + 9), body, location);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char read_buf[65536];

	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(read_buf, sizeof(read_buf));
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	call_t *call = stream->data;

	if (len < 0) {
		finish(call, 0, "", NULL);
		return;
	}
	g_string_append_len(call->answer, buf->base, len);
	parse_answer(call);
}

static void on_written(uv_write_t *write, int status)
{
	(void)write;
	(void)status;
}

static void on_connected(uv_connect_t *connect, int status)
{
	call_t *call = connect->handle->data;
	uv_buf_t buf =
		uv_buf_init(call->request->str, (unsigned)call->request->len);

	if (call->closing_handles)
		return;
	if (status) {
		finish(call, 0, "", NULL);
		return;
	}
	uv_read_start((uv_stream_t *)&call->tcp, on_alloc, on_read);
	uv_write(&call->write, (uv_stream_t *)&call->tcp, &buf, 1, on_written);
}

static void on_timer(uv_timer_t *timer)
{
	finish(timer->data, 0, "", NULL);
}

void http_call(const struct sockaddr_in *to, const char *method,
	       const char *path, const char *body, http_done_cb_t *done,
	       void *context)
{
	call_t *call = g_new0(call_t, 1);

	call->request = g_string_new(NULL);
	call->answer = g_string_new(NULL);
	call->done = done;
	call->context = context;
	g_string_printf(call->request,
			"%s %s HTTP/1.1\r\nConnection: close\r\n"
			"Content-Length: %zu\r\n\r\n%s",
			method, path, body ? strlen(body) : 0,
			body ? body : "");
	uv_tcp_init(soak.loop, &call->tcp);
	uv_timer_init(soak.loop, &call->timer);
	call->tcp.data = call;
	call->timer.data = call;
	uv_timer_start(&call->timer, on_timer, CALL_TIMEOUT_MS, 0);
	if (uv_tcp_connect(&call->connect, &call->tcp,
			   (const struct sockaddr *)to, on_connected))
		finish(call, 0, "", NULL);
}
