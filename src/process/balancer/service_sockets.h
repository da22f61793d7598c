#ifndef DAMASKYARD_SERVICE_SOCKETS_H
#define DAMASKYARD_SERVICE_SOCKETS_H

/*
 * A balancer's sockets towards callers, one for each service address.
 *
 * When a document moves a service to another address, the old socket stays
 * until its flows have been quiet for the service's session_idle_s, so that
 * a flow that was open before outlives the change.
 */

#include <stdint.h>

#include "damaskyard/document.h"
#include "damaskyard/loop.h"
#include "damaskyard/router.h"

typedef struct service_sockets service_sockets_t;

/*
 * Datagrams are given to the router. host is the IP number to bind in place
 * of each service's own, with a free port, or NULL; kept by reference.
 */
service_sockets_t *service_sockets_create(dy_loop_t *loop, dy_router_t *router,
					  const char *host);
void service_sockets_destroy(service_sockets_t *sockets);

/*
 * Open what the document needs. Returns the number of services that could
 * not be bound; each was logged.
 */
unsigned service_sockets_apply(service_sockets_t *sockets,
			       const dy_document_t *document);

/* Send from the socket of that number; nothing if it is gone. */
void service_sockets_send(service_sockets_t *sockets, uint64_t socket,
			  const dy_address_t *caller, const uint8_t *bytes,
			  size_t len);

/* Close sockets that no document needs and that have been quiet. */
void service_sockets_expire(service_sockets_t *sockets);

#endif
