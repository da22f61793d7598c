#include "common_server.h"
#include "common_args.h"

#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Capacity of the accept queue: one connection per slot, with a reserve. */
#define LISTEN_BACKLOG 64

typedef struct pending_reply {
	SVCXPRT *transport;
	xdrproc_t encode;
	void *result;
	uint64_t due_ms;
} pending_reply_t;

static struct {
	standin_call_cb_t call;
	void *context;
	GPtrArray *pending_replies; /* of pending_reply_t */
} server;

static void dispatch(struct svc_req *request, SVCXPRT *transport)
{
	server.call(server.context, request, transport);
}

static void destroy_reply(void *item)
{
	pending_reply_t *reply = item;

	g_free(reply->result);
	g_free(reply);
}

void standin_server_reply(SVCXPRT *transport, xdrproc_t encode, void *result,
			  unsigned delay_ms)
{
	pending_reply_t *reply = g_new0(pending_reply_t, 1);

	reply->transport = transport;
	reply->encode = encode;
	reply->result = result;
	reply->due_ms = standin_now_ms() + delay_ms;
	g_ptr_array_add(server.pending_replies, reply);
}

static int is_closed(int fd)
{
	char byte;
	ssize_t count = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return !count || (count < 0 && errno != EAGAIN);
}

static void drop_replies_on(int fd)
{
	unsigned i = 0;

	while (i < server.pending_replies->len) {
		pending_reply_t *reply =
			g_ptr_array_index(server.pending_replies, i);

		if (reply->transport->xp_fd == fd)
			g_ptr_array_remove_index(server.pending_replies, i);
		else
			i++;
	}
}

/* libtirpc frees a closed transport; free its pending replies before that. */
static void drop_replies_on_closed(const struct pollfd *polled, int count)
{
	int i;

	for (i = 0; i < count; i++)
		if (polled[i].fd >= 0 && polled[i].revents &&
		    is_closed(polled[i].fd))
			drop_replies_on(polled[i].fd);
}

static void send_due_replies(void)
{
	uint64_t now_ms = standin_now_ms();
	unsigned i = 0;

	while (i < server.pending_replies->len) {
		pending_reply_t *reply =
			g_ptr_array_index(server.pending_replies, i);

		if (reply->due_ms > now_ms) {
			i++;
			continue;
		}
		svc_sendreply(reply->transport, reply->encode, reply->result);
		g_ptr_array_remove_index(server.pending_replies, i);
	}
}

static int poll_timeout_ms(void)
{
	uint64_t now_ms = standin_now_ms();
	int timeout_ms = -1;
	unsigned i;

	for (i = 0; i < server.pending_replies->len; i++) {
		pending_reply_t *reply =
			g_ptr_array_index(server.pending_replies, i);
		int left_ms = reply->due_ms > now_ms
				      ? (int)(reply->due_ms - now_ms)
				      : 0;

		if (timeout_ms < 0 || left_ms < timeout_ms)
			timeout_ms = left_ms;
	}
	return timeout_ms;
}

static void serve(void)
{
	for (;;) {
		int count = svc_max_pollfd;
		struct pollfd *polled = g_new0(struct pollfd, count);
		int ready;

		memcpy(polled, svc_pollfd, count * sizeof(*polled));
		ready = poll(polled, count, poll_timeout_ms());
		if (ready < 0 && errno != EINTR)
			standin_die("poll: %s", g_strerror(errno));
		if (ready > 0) {
			drop_replies_on_closed(polled, count);
			svc_getreq_poll(polled, ready);
		}
		send_due_replies();
		g_free(polled);
	}
}

static int listen_on(const char *text)
{
	struct sockaddr_in address = standin_parse_address(text);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int yes = 1;

	if (fd < 0 ||
	    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes)) ||
	    bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, LISTEN_BACKLOG))
		standin_die("%s: %s", text, g_strerror(errno));
	return fd;
}

void standin_server_run(const char *listen_text, rpcprog_t program,
			rpcvers_t version, standin_call_cb_t call,
			void *context)
{
	int fd = listen_on(listen_text);
	SVCXPRT *transport = svc_vc_create(fd, 0, 0);

	server.call = call;
	server.context = context;
	server.pending_replies = g_ptr_array_new_with_free_func(destroy_reply);
	signal(SIGPIPE, SIG_IGN);
	if (!transport || !svc_reg(transport, program, version, dispatch, NULL))
		standin_die("%s can't be served", listen_text);
	standin_print_bound_address(fd);
	serve();
}
