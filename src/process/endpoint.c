#include "damaskyard/loop.h"

#include <string.h>

#include "loop_private.h"

/*
 * Size of the kernel's socket buffers: 2 MB hold about 20 ms of 100,000
 * datagrams of 1 KB per second, longer than any iteration of the loop. The
 * kernel reduces it to its own limit.
 */
#define SOCKET_BUFFER_BYTES (2 * 1024 * 1024)

struct dy_endpoint {
	uv_udp_t udp;
	dy_loop_t *loop;
	dy_address_t address;
	dy_endpoint_cb_t *receive;
	void *context;
	uint64_t stall_generation;
	int dropping;
	uint64_t sent_bytes;
};

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	dy_endpoint_t *endpoint = handle->data;

	(void)suggested;
	buf->base = endpoint->loop->buffer;
	buf->len = DY_LOOP_BUFFER_BYTES;
}

/*
 * Guards against a process that was suspended and on its return handles
 * datagrams that have waited in its socket: everything up to the first empty
 * read is dropped. The stall is tested here as well as in the tick, because
 * the loop reads sockets before it runs the timer of the tick.
 */
static int is_stale(dy_endpoint_t *endpoint)
{
	dy_loop_t *loop = endpoint->loop;

	if (dy_loop_stalled(loop)) {
		endpoint->dropping = 1;
		endpoint->stall_generation = loop->stall_generation + 1;
	} else if (endpoint->stall_generation != loop->stall_generation) {
		endpoint->dropping = 1;
		endpoint->stall_generation = loop->stall_generation;
	}
	return endpoint->dropping;
}

static void on_receive(uv_udp_t *udp, ssize_t len, const uv_buf_t *buf,
		       const struct sockaddr *from, unsigned flags)
{
	dy_endpoint_t *endpoint = udp->data;
	int drained = !len && !from;

	if (flags & UV_UDP_MMSG_FREE)
		return;
	if (is_stale(endpoint)) {
		if (drained)
			endpoint->dropping = 0;
		else
			++*endpoint->loop->stalled_datagrams;
		return;
	}
	if (len < 0 || drained)
		return;
	endpoint->receive(endpoint->context, (uint8_t *)buf->base, (size_t)len,
			  from, !!(flags & UV_UDP_PARTIAL));
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static int bind_socket(dy_endpoint_t *endpoint, const dy_address_t *address)
{
	struct sockaddr_storage storage;
	int len = sizeof(storage);
	int bytes = SOCKET_BUFFER_BYTES;
	int error;

	dy_address_write(address, &storage);
	error = uv_udp_bind(&endpoint->udp, (struct sockaddr *)&storage, 0);
	if (error)
		return error;
	uv_recv_buffer_size((uv_handle_t *)&endpoint->udp, &bytes);
	bytes = SOCKET_BUFFER_BYTES;
	uv_send_buffer_size((uv_handle_t *)&endpoint->udp, &bytes);
	error = uv_udp_getsockname(&endpoint->udp, (struct sockaddr *)&storage,
				   &len);
	if (error)
		return error;
	dy_address_load(&endpoint->address, (struct sockaddr *)&storage);
	return uv_udp_recv_start(&endpoint->udp, on_alloc, on_receive);
}

dy_endpoint_t *dy_endpoint_create(dy_loop_t *loop, const dy_address_t *address,
				  dy_endpoint_cb_t *receive, void *context,
				  GError **error)
{
	dy_endpoint_t *endpoint = g_new0(dy_endpoint_t, 1);
	char text[DY_ADDRESS_TEXT_BYTES];
	int code;

	endpoint->loop = loop;
	endpoint->receive = receive;
	endpoint->context = context;
	endpoint->stall_generation = loop->stall_generation;
	uv_udp_init_ex(&loop->uv, &endpoint->udp, AF_UNSPEC | UV_UDP_RECVMMSG);
	endpoint->udp.data = endpoint;
	code = bind_socket(endpoint, address);
	if (!code)
		return endpoint;
	g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
		    "cannot listen on %s: %s", dy_address_format(address, text),
		    uv_strerror(code));
	dy_endpoint_destroy(endpoint);
	return NULL;
}

void dy_endpoint_destroy(dy_endpoint_t *endpoint)
{
	if (endpoint)
		uv_close((uv_handle_t *)&endpoint->udp, on_closed);
}

const dy_address_t *dy_endpoint_address(const dy_endpoint_t *endpoint)
{
	return &endpoint->address;
}

uint64_t dy_endpoint_sent_bytes(const dy_endpoint_t *endpoint)
{
	return endpoint->sent_bytes;
}

int dy_endpoint_send(dy_endpoint_t *endpoint, const uint8_t *bytes, size_t len,
		     const struct sockaddr *to)
{
	uv_buf_t buf = uv_buf_init((char *)bytes, (unsigned)len);
	int sent = uv_udp_try_send(&endpoint->udp, &buf, 1, to);

	if (sent >= 0)
		endpoint->sent_bytes += len + DY_ENDPOINT_HEADER_BYTES;
	return sent < 0 ? sent : 0;
}

int dy_endpoint_send_to(dy_endpoint_t *endpoint, const uint8_t *bytes,
			size_t len, const dy_address_t *to)
{
	struct sockaddr_storage storage;

	dy_address_write(to, &storage);
	return dy_endpoint_send(endpoint, bytes, len,
				(struct sockaddr *)&storage);
}
