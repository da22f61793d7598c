#ifndef DAMASKYARD_PORT_CHECK_H
#define DAMASKYARD_PORT_CHECK_H

/*
 * Checks whether a process listens at a TCP address: opens one connection and
 * closes it at once, without sending anything.
 *
 * On datagrams, a crashed process is as silent as a busy one. The kernel of
 * its VM tells them apart: it refuses a connection to a port without a
 * listener.
 */

#include <glib.h>

#include "damaskyard/address.h"
#include "damaskyard/loop.h"

/*
 * Timeout of a check, in ms; its result is then DY_PORT_UNKNOWN. Within one VM
 * a connection is accepted or refused in well under 1 ms.
 */
#define DY_PORT_CHECK_TIMEOUT_MS 250

typedef enum dy_port_state {
	DY_PORT_UNKNOWN, /* timeout, or another error */
	DY_PORT_LISTENING,
	DY_PORT_REFUSED /* no process listens there */
} dy_port_state_t;

typedef struct dy_port_check dy_port_check_t;

typedef void dy_port_check_cb_t(void *context, dy_port_state_t state);

/*
 * Create a checker of one address; address is copied. Each check calls
 * done(context, state) once, possibly before dy_port_check_begin() returns.
 */
dy_port_check_t *dy_port_check_create(dy_loop_t *loop,
				      const dy_address_t *address,
				      dy_port_check_cb_t *done, void *context);

/* Cancel a check in progress, without calling done, and free the checker. */
void dy_port_check_destroy(dy_port_check_t *check);

/* Begin a check. Does nothing while one is in progress. */
void dy_port_check_begin(dy_port_check_t *check);

#endif
