#ifndef DAMASKYARD_SERVICE_SOCKETS_H
#define DAMASKYARD_SERVICE_SOCKETS_H

/*
 * Sockets of a balancer for callers, one per service address.
 *
 * If a document moves a service to another address, the old socket stays open
 * until it has received nothing for the service's session_idle_s, so that flows
 * opened before the change survive it.
 */

#include <stdint.h>

#include "damaskyard/document.h"
#include "damaskyard/loop.h"
#include "damaskyard/router.h"

typedef struct service_sockets service_sockets_t;

/*
 * Creates an empty set of sockets. Datagrams are passed to the router. host is
 * the IP address to bind, with a free port, instead of each service's own
 * address, or NULL. loop, router and host are borrowed.
 */
service_sockets_t *service_sockets_create(dy_loop_t *loop, dy_router_t *router,
					  const char *host);

/* Closes all sockets. NULL is allowed. */
void service_sockets_destroy(service_sockets_t *sockets);

/*
 * Opens a socket for each service of the document and retires the others.
 * Returns the number of services that could not be bound; each failure is
 * logged.
 */
unsigned service_sockets_apply(service_sockets_t *sockets,
			       const dy_document_t *document);

/*
 * Sends a datagram to a caller from the socket with that number. Does nothing
 * if the socket is closed.
 */
void service_sockets_send(service_sockets_t *sockets, uint64_t socket,
			  const dy_address_t *caller, const uint8_t *bytes,
			  size_t len);

/*
 * Closes retired sockets that have been idle for session_idle_s. Call it
 * periodically.
 */
void service_sockets_expire(service_sockets_t *sockets);

#endif
