#ifndef DAMASKYARD_AGENT_PROCESS_H
#define DAMASKYARD_AGENT_PROCESS_H

/*
 * The agent process: the core of include/damaskyard/agent.h with its sockets,
 * event loop, message codec and subscription to control.
 */

#include <glib.h>

#include "member_settings.h"

typedef struct dy_agent_settings {
	member_settings_t member;
	dy_address_t announce_address;
} dy_agent_settings_t;

/*
 * Run until a signal or an operator's drain stops the process. Returns TRUE and
 * writes the exit code to *exit_code, or returns FALSE and sets error if the
 * process cannot start. settings must stay valid during the call.
 */
gboolean dy_agent_process_run(const dy_agent_settings_t *settings,
			      int *exit_code, GError **error);

#endif
