#ifndef DAMASKYARD_PORT_CHECK_H
#define DAMASKYARD_PORT_CHECK_H

/*
 * Whether any process listens at a TCP address: one connection, closed at
 * once, on which nothing is sent.
 *
 * A process that crashed says nothing, and on datagrams its silence looks like
 * that of a busy one. The kernel of its machine knows better: it refuses a
 * connection to a port that nobody listens at.
 */

#include <glib.h>

#include "damaskyard/address.h"
#include "damaskyard/loop.h"

/*
 * A connection that is neither accepted nor refused by then tells nothing, in
 * ms. Within one machine both take well under one.
 */
#define DY_PORT_CHECK_MS 250

typedef enum dy_port_state {
	DY_PORT_UNKNOWN, /* no answer in time, or another error */
	DY_PORT_LISTENING,
	DY_PORT_REFUSED /* nobody listens there */
} dy_port_state_t;

typedef struct dy_port_check dy_port_check_t;

typedef void dy_port_check_cb_t(void *context, dy_port_state_t state);

/* address is copied. done(context, state) is called once for each check. */
dy_port_check_t *dy_port_check_create(dy_loop_t *loop,
				      const dy_address_t *address,
				      dy_port_check_cb_t *done, void *context);

/* A check that is under way is given up: done is not called for it. */
void dy_port_check_destroy(dy_port_check_t *check);

/* Begin a check. One that is under way goes on instead. */
void dy_port_check_begin(dy_port_check_t *check);

#endif
