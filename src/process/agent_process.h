#ifndef DAMASKYARD_AGENT_PROCESS_H
#define DAMASKYARD_AGENT_PROCESS_H

/*
 * The agent process: sockets, loop and codec around the core of
 * include/damaskyard/agent.h, and the subscription to control.
 */

#include <glib.h>

#include "damaskyard/address.h"
#include "damaskyard/settings.h"

typedef struct dy_agent_settings {
	char *name;
	char *environment;
	char *domain;
	char *key_file;
	char *log_level;
	dy_address_list_t controls;
	dy_address_t listen;
	dy_address_t announce;
} dy_agent_settings_t;

/*
 * Run until stopped by a signal or an operator's drain. Returns TRUE with
 * the process's exit code, or FALSE with error set if it cannot start.
 */
gboolean dy_agent_process_run(const dy_agent_settings_t *settings,
			      int *exit_code, GError **error);

#endif
