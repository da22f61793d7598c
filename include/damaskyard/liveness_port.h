#ifndef DAMASKYARD_LIVENESS_PORT_H
#define DAMASKYARD_LIVENESS_PORT_H

/*
 * A TCP port that shows that this VM runs, even while this process is late.
 *
 * On datagrams, a process whose core is busy is as silent as a VM that is
 * suspended or has no power. The kernel tells them apart: it accepts
 * connections on behalf of a process that does not run at the moment
 * (port_check.h). Connections are closed as soon as the process runs; no byte
 * is read or sent.
 */

#include <glib.h>

#include "damaskyard/address.h"
#include "damaskyard/loop.h"

typedef struct dy_liveness_port dy_liveness_port_t;

/*
 * Listen at address (port 0: any free port). Returns the port, to free with
 * dy_liveness_port_destroy() before the loop, or NULL with error set if the
 * address cannot be bound.
 */
dy_liveness_port_t *dy_liveness_port_create(dy_loop_t *loop,
					    const dy_address_t *address,
					    GError **error);

/* Close the port. NULL is allowed. */
void dy_liveness_port_destroy(dy_liveness_port_t *port);

/* Returns the address that it listens at, with the actual port. */
const dy_address_t *dy_liveness_port_address(const dy_liveness_port_t *port);

#endif
