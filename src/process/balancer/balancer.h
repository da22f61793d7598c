#ifndef DAMASKYARD_BALANCER_H
#define DAMASKYARD_BALANCER_H

/*
 * The balancer process: sockets for the services of the document in force, the
 * router, and the subscription to control.
 */

#include <glib.h>

#include "member_settings.h"

typedef struct dy_balancer_settings {
	member_settings_t member;
	char *bind_host; /* NULL: bind each service's own address */
} dy_balancer_settings_t;

/*
 * Runs a balancer until a signal, a drain or a superseding instance stops it.
 * Returns FALSE with error set if it cannot start.
 */
gboolean dy_balancer_run(const dy_balancer_settings_t *settings,
			 GError **error);

#endif
