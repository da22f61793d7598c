#include "common_server.h"
#include "common_args.h"

#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Connections that wait to be accepted: one a slot, and some to spare. */
#define BACKLOG 64

typedef struct late_reply {
	SVCXPRT *transport;
	xdrproc_t encode;
	void *result;
	uint64_t due_ms;
} late_reply_t;

static struct {
	standin_call_cb_t call;
	void *context;
	GPtrArray *late; /* of late_reply_t */
} server;

static void dispatch(struct svc_req *request, SVCXPRT *transport)
{
	server.call(server.context, request, transport);
}

static void destroy_reply(void *item)
{
	late_reply_t *reply = item;

	g_free(reply->result);
	g_free(reply);
}

void standin_server_reply(SVCXPRT *transport, xdrproc_t encode, void *result,
			  unsigned delay_ms)
{
	late_reply_t *reply = g_new0(late_reply_t, 1);

	reply->transport = transport;
	reply->encode = encode;
	reply->result = result;
	reply->due_ms = standin_now_ms() + delay_ms;
	g_ptr_array_add(server.late, reply);
}

static int is_closed(int fd)
{
	char byte;
	ssize_t count = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return !count || (count < 0 && errno != EAGAIN);
}

static void drop_replies_of(int fd)
{
	unsigned i = 0;

	while (i < server.late->len) {
		late_reply_t *reply = g_ptr_array_index(server.late, i);

		if (reply->transport->xp_fd == fd)
			g_ptr_array_remove_index(server.late, i);
		else
			i++;
	}
}

/* The library frees a closed transport, so its replies must go first. */
static void drop_replies_of_closed(const struct pollfd *polled, int count)
{
	int i;

	for (i = 0; i < count; i++)
		if (polled[i].fd >= 0 && polled[i].revents &&
		    is_closed(polled[i].fd))
			drop_replies_of(polled[i].fd);
}

static void send_due_replies(void)
{
	uint64_t now_ms = standin_now_ms();
	unsigned i = 0;

	while (i < server.late->len) {
		late_reply_t *reply = g_ptr_array_index(server.late, i);

		if (reply->due_ms > now_ms) {
			i++;
			continue;
		}
		svc_sendreply(reply->transport, reply->encode, reply->result);
		g_ptr_array_remove_index(server.late, i);
	}
}

static int next_timeout_ms(void)
{
	uint64_t now_ms = standin_now_ms();
	int timeout_ms = -1;
	unsigned i;

	for (i = 0; i < server.late->len; i++) {
		late_reply_t *reply = g_ptr_array_index(server.late, i);
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
		ready = poll(polled, count, next_timeout_ms());
		if (ready < 0 && errno != EINTR)
			standin_die("poll: %s", g_strerror(errno));
		if (ready > 0) {
			drop_replies_of_closed(polled, count);
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
	    listen(fd, BACKLOG))
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
	server.late = g_ptr_array_new_with_free_func(destroy_reply);
	signal(SIGPIPE, SIG_IGN);
	if (!transport || !svc_reg(transport, program, version, dispatch, NULL))
		standin_die("%s can't be served", listen_text);
	standin_print_bound(fd);
	serve();
}
