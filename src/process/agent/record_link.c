#include "record_link.h"

#include <string.h>

#include <glib.h>

#define RECORD_MARK_BYTES 4
#define LAST_FRAGMENT 0x80000000U
#define READ_BUFFER_BYTES 65536

/* A local connection is established within a millisecond, or not at all. */
#define CONNECT_TIMEOUT_MS 2000

typedef struct connection {
	uv_tcp_t tcp;
	uv_connect_t connect;
	record_links_t *links;
	unsigned index;
	int closed;
	int up;
	int failed;
	uint64_t opened_ms;
	uint8_t mark[RECORD_MARK_BYTES];
	size_t mark_len;
	uint32_t fragment_left;
	int is_last;
	int too_large;
	uint8_t record[RECORD_MAX_BYTES];
	size_t record_len;
} connection_t;

struct record_links {
	uv_loop_t *loop;
	const record_link_callbacks_t *callbacks;
	void *context;
	unsigned count;
	connection_t **connections;
	char buffer[READ_BUFFER_BYTES];
};

record_links_t *record_links_create(uv_loop_t *loop, unsigned count,
				    const record_link_callbacks_t *callbacks,
				    void *context)
{
	record_links_t *links = g_new0(record_links_t, 1);

	links->loop = loop;
	links->callbacks = callbacks;
	links->context = context;
	links->count = count;
	links->connections = g_new0(connection_t *, count);
	return links;
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void record_link_close(record_links_t *links, unsigned link)
{
	connection_t *connection = links->connections[link];

	if (!connection)
		return;
	links->connections[link] = NULL;
	connection->closed = 1;
	uv_close((uv_handle_t *)&connection->tcp, on_closed);
}

void record_links_destroy(record_links_t *links)
{
	unsigned i;

	if (!links)
		return;
	for (i = 0; i < links->count; i++)
		record_link_close(links, i);
	g_free(links->connections);
	g_free(links);
}

static void report_down(connection_t *connection)
{
	record_links_t *links = connection->links;
	unsigned index = connection->index;

	record_link_close(links, index);
	links->callbacks->down(links->context, index);
}

static void finish_record(connection_t *connection)
{
	record_links_t *links = connection->links;
	const uint8_t *bytes = connection->record;
	size_t len = connection->record_len;

	if (connection->too_large) {
		bytes = NULL;
		len = 0;
	}
	connection->record_len = 0;
	connection->too_large = 0;
	links->callbacks->receive(links->context, connection->index, bytes,
				  len);
}

static size_t read_mark(connection_t *connection, const uint8_t *bytes,
			size_t len)
{
	size_t n = MIN(len, RECORD_MARK_BYTES - connection->mark_len);
	uint32_t mark;

	memcpy(connection->mark + connection->mark_len, bytes, n);
	connection->mark_len += n;
	if (connection->mark_len < RECORD_MARK_BYTES)
		return n;
	memcpy(&mark, connection->mark, RECORD_MARK_BYTES);
	mark = ntohl(mark);
	connection->is_last = !!(mark & LAST_FRAGMENT);
	connection->fragment_left = mark & ~LAST_FRAGMENT;
	return n;
}

/* Discards a record beyond RECORD_MAX_BYTES, so that memory is bounded. */
static size_t read_fragment(connection_t *connection, const uint8_t *bytes,
			    size_t len)
{
	size_t n = MIN(len, connection->fragment_left);
	size_t space = RECORD_MAX_BYTES - connection->record_len;

	if (n > space)
		connection->too_large = 1;
	if (!connection->too_large) {
		memcpy(connection->record + connection->record_len, bytes, n);
		connection->record_len += n;
	}
	connection->fragment_left -= (uint32_t)n;
	return n;
}

static void receive_bytes(connection_t *connection, const uint8_t *bytes,
			  size_t len)
{
	size_t n;

	while (len && !connection->closed) {
		if (connection->mark_len < RECORD_MARK_BYTES)
			n = read_mark(connection, bytes, len);
		else
			n = read_fragment(connection, bytes, len);
		bytes += n;
		len -= n;
		if (connection->mark_len < RECORD_MARK_BYTES ||
		    connection->fragment_left)
			continue;
		connection->mark_len = 0;
		if (connection->is_last)
			finish_record(connection);
	}
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	connection_t *connection = handle->data;

	(void)suggested;
	buf->base = connection->links->buffer;
	buf->len = READ_BUFFER_BYTES;
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	connection_t *connection = stream->data;

	if (connection->closed || !len)
		return;
	if (len < 0)
		report_down(connection);
	else
		receive_bytes(connection, (const uint8_t *)buf->base,
			      (size_t)len);
}

static void on_connected(uv_connect_t *request, int status)
{
	connection_t *connection = request->handle->data;
	record_links_t *links = connection->links;

	if (connection->closed)
		return;
	if (status || uv_read_start(request->handle, on_alloc, on_read)) {
		report_down(connection);
		return;
	}
	connection->up = 1;
	uv_tcp_nodelay(&connection->tcp, 1);
	links->callbacks->up(links->context, connection->index);
}

void record_link_open(record_links_t *links, unsigned link,
		      const dy_address_t *to)
{
	connection_t *connection = g_new0(connection_t, 1);
	struct sockaddr_storage address;

	record_link_close(links, link);
	links->connections[link] = connection;
	connection->links = links;
	connection->index = link;
	connection->opened_ms = uv_now(links->loop);
	uv_tcp_init(links->loop, &connection->tcp);
	connection->tcp.data = connection;
	dy_address_write(to, &address);
	if (uv_tcp_connect(&connection->connect, &connection->tcp,
			   (struct sockaddr *)&address, on_connected))
		connection->failed = 1;
}

static void on_written(uv_write_t *request, int status)
{
	connection_t *connection = request->handle->data;

	g_free(request);
	if (status && !connection->closed)
		report_down(connection);
}

static int queue_rest(connection_t *connection, const uint8_t *bytes,
		      size_t len)
{
	uv_write_t *request = g_malloc(sizeof(*request) + len);
	uv_buf_t buf = uv_buf_init((char *)(request + 1), (unsigned)len);

	memcpy(buf.base, bytes, len);
	if (!uv_write(request, (uv_stream_t *)&connection->tcp, &buf, 1,
		      on_written))
		return 0;
	g_free(request);
	connection->failed = 1;
	return 0;
}

int record_link_send(record_links_t *links, unsigned link, const uint8_t *bytes,
		     size_t len)
{
	connection_t *connection = links->connections[link];
	static uint8_t out[RECORD_MARK_BYTES + RECORD_MAX_BYTES];
	uint32_t mark = htonl((uint32_t)len | LAST_FRAGMENT);
	size_t total = RECORD_MARK_BYTES + len;
	uv_buf_t buf = uv_buf_init((char *)out, (unsigned)total);
	int sent;

	if (!connection || !connection->up || len > RECORD_MAX_BYTES)
		return -1;
	memcpy(out, &mark, RECORD_MARK_BYTES);
	memcpy(out + RECORD_MARK_BYTES, bytes, len);
	sent = uv_try_write((uv_stream_t *)&connection->tcp, &buf, 1);
	if (sent <= 0)
		return -1;
	if ((size_t)sent == total)
		return 0;
	return queue_rest(connection, out + sent, total - (size_t)sent);
}

void record_links_tick(record_links_t *links)
{
	uint64_t now_ms = uv_now(links->loop);
	connection_t *connection;
	unsigned i;

	for (i = 0; i < links->count; i++) {
		connection = links->connections[i];
		if (!connection)
			continue;
		if (connection->failed ||
		    (!connection->up &&
		     now_ms - connection->opened_ms >= CONNECT_TIMEOUT_MS))
			report_down(connection);
	}
}
