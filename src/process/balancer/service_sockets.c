#include "service_sockets.h"

#include <string.h>

#include "damaskyard/list.h"
#include "damaskyard/log.h"

typedef struct service_socket {
	dy_list_t link;
	service_sockets_t *owner;
	uint64_t number; /* never reused */
	uint64_t service;
	dy_address_t configured; /* in the document; the bound one may differ */
	dy_endpoint_t *endpoint;
	uint64_t idle_ms; /* idle timeout of a retired socket */
	uint64_t received_ms;
	int retired;
	int address_reassigned;
} service_socket_t;

struct service_sockets {
	dy_loop_t *loop;
	dy_router_t *router;
	const char *host;
	dy_list_t sockets;
	GHashTable *by_number;
	uint64_t next_number;
};

service_sockets_t *service_sockets_create(dy_loop_t *loop, dy_router_t *router,
					  const char *host)
{
	service_sockets_t *sockets = g_new0(service_sockets_t, 1);

	sockets->loop = loop;
	sockets->router = router;
	sockets->host = host;
	dy_list_init(&sockets->sockets);
	sockets->by_number = g_hash_table_new(g_int64_hash, g_int64_equal);
	return sockets;
}

static void close_socket(service_socket_t *socket)
{
	dy_list_remove(&socket->link);
	g_hash_table_remove(socket->owner->by_number, &socket->number);
	dy_endpoint_destroy(socket->endpoint);
	g_free(socket);
}

void service_sockets_destroy(service_sockets_t *sockets)
{
	dy_list_t *pos;
	dy_list_t *tmp;

	if (!sockets)
		return;
	DY_LIST_EACH_SAFE(pos, tmp, &sockets->sockets)
	close_socket(DY_LIST_ITEM(pos, service_socket_t, link));
	g_hash_table_destroy(sockets->by_number);
	g_free(sockets);
}

static int can_close(const service_socket_t *socket, uint64_t now)
{
	return socket->address_reassigned ||
	       (socket->retired && now - socket->received_ms > socket->idle_ms);
}

static void close_unused(service_sockets_t *sockets)
{
	uint64_t now = dy_loop_now_ms(sockets->loop);
	service_socket_t *socket;
	dy_list_t *pos;
	dy_list_t *tmp;

	DY_LIST_EACH_SAFE(pos, tmp, &sockets->sockets)
	{
		socket = DY_LIST_ITEM(pos, service_socket_t, link);
		if (can_close(socket, now))
			close_socket(socket);
	}
}

static void on_datagram(void *context, uint8_t *bytes, size_t len,
			const struct sockaddr *from, int truncated)
{
	service_socket_t *socket = context;
	dy_router_datagram_t datagram = { 0 };
	uint64_t now = dy_loop_now_ms(socket->owner->loop);

	socket->received_ms = now;
	datagram.service = socket->service;
	datagram.socket = socket->number;
	dy_address_load(&datagram.caller, from);
	datagram.bytes = bytes;
	datagram.len = len;
	datagram.truncated = truncated;
	dy_router_receive(socket->owner->router, &datagram, now);
}

static int choose_address(const service_sockets_t *sockets,
			  const dy_service_t *service, dy_address_t *address)
{
	char text[DY_ADDRESS_TEXT_BYTES];

	*address = service->address;
	if (!sockets->host)
		return 0;
	g_snprintf(text, sizeof(text), "%s:0", sockets->host);
	return dy_address_parse(text, address);
}

static int open_socket(service_sockets_t *sockets, const dy_service_t *service)
{
	service_socket_t *socket = g_new0(service_socket_t, 1);
	char text[DY_ADDRESS_TEXT_BYTES];
	dy_address_t address;
	GError *error = NULL;

	socket->owner = sockets;
	if (!choose_address(sockets, service, &address))
		socket->endpoint = dy_endpoint_create(
			sockets->loop, &address, on_datagram, socket, &error);
	if (!socket->endpoint) {
		dy_log_event(DY_LOG_ERROR, "service_not_bound",
			     "service=%s error=%s", service->name,
			     dy_log_quote(error ? error->message
						: "invalid bind address"));
		g_clear_error(&error);
		g_free(socket);
		return -1;
	}
	socket->number = ++sockets->next_number;
	socket->service = service->id;
	socket->configured = service->address;
	socket->idle_ms = (uint64_t)service->session_idle_s * 1000;
	socket->received_ms = dy_loop_now_ms(sockets->loop);
	dy_list_append(&sockets->sockets, &socket->link);
	g_hash_table_insert(sockets->by_number, &socket->number, socket);
	dy_log_event(
		DY_LOG_INFO, "service_listening", "service=%s address=%s",
		service->name,
		dy_address_format(dy_endpoint_address(socket->endpoint), text));
	return 0;
}

static service_socket_t *find_socket(service_sockets_t *sockets,
				     const dy_service_t *service)
{
	service_socket_t *socket;
	dy_list_t *pos;

	DY_LIST_EACH(pos, &sockets->sockets)
	{
		socket = DY_LIST_ITEM(pos, service_socket_t, link);
		if (socket->service == service->id &&
		    dy_address_equal(&socket->configured, &service->address))
			return socket;
	}
	return NULL;
}

/*
 * Returns 1 if another service of the document has the address of this socket.
 */
static int is_address_reassigned(const service_socket_t *socket,
				 const dy_document_t *document)
{
	const dy_service_t *service;
	unsigned i;

	for (i = 0; i < dy_document_service_count(document); i++) {
		service = dy_document_service(document, i);
		if (service->id != socket->service &&
		    dy_address_equal(&service->address, &socket->configured))
			return 1;
	}
	return 0;
}

/*
 * Retires all sockets; service_sockets_apply() reactivates those that the
 * document still needs. A socket whose address now belongs to another service
 * is closed at once: it must not serve the old one.
 */
static void retire_sockets(service_sockets_t *sockets,
			   const dy_document_t *document)
{
	service_socket_t *socket;
	dy_list_t *pos;

	DY_LIST_EACH(pos, &sockets->sockets)
	{
		socket = DY_LIST_ITEM(pos, service_socket_t, link);
		socket->retired = 1;
		socket->address_reassigned =
			is_address_reassigned(socket, document);
	}
	close_unused(sockets);
}

unsigned service_sockets_apply(service_sockets_t *sockets,
			       const dy_document_t *document)
{
	const dy_service_t *service;
	service_socket_t *socket;
	unsigned failed = 0;
	unsigned i;

	retire_sockets(sockets, document);
	for (i = 0; i < dy_document_service_count(document); i++) {
		service = dy_document_service(document, i);
		socket = find_socket(sockets, service);
		if (socket)
			socket->retired = 0;
		else if (open_socket(sockets, service))
			failed++;
	}
	return failed;
}

void service_sockets_send(service_sockets_t *sockets, uint64_t number,
			  const dy_address_t *caller, const uint8_t *bytes,
			  size_t len)
{
	service_socket_t *socket;

	socket = g_hash_table_lookup(sockets->by_number, &number);
	if (socket)
		dy_endpoint_send_to(socket->endpoint, bytes, len, caller);
}

void service_sockets_expire(service_sockets_t *sockets)
{
	close_unused(sockets);
}
