#ifndef DAMASKYARD_AGENT_PROCESS_H
#define DAMASKYARD_AGENT_PROCESS_H

/*
 * The agent process: sockets, loop and codec around the core of
 * include/damaskyard/agent.h, and the subscription to control.
 */

#include <glib.h>

#include "member_settings.h"

typedef struct dy_agent_settings {
	member_settings_t member;
	dy_address_t announce_address;
} dy_agent_settings_t;

/*
 * Run until stopped by a signal or an operator's drain. Returns TRUE with
 * the process's exit code, or FALSE with error set if it cannot start.
 */
gboolean dy_agent_process_run(const dy_agent_settings_t *settings,
			      int *exit_code, GError **error);

#endif
