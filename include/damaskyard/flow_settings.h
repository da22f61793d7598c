#ifndef DAMASKYARD_FLOW_SETTINGS_H
#define DAMASKYARD_FLOW_SETTINGS_H

/*
 * Settings of the processes for packet flows: a GLib key file, whose path
 * is given by --settings, or by the variable that platform/calls.h names.
 *
 *	[process]  name, failure-domain, data, first-start, log-level, stop-s
 *	[listen]   packets, ready, control, outbound, inner-port, metrics-port
 *	[target]   address, service, cold-overshoot, cold-slack
 *	[group]    seeds, key-file, losses, failure-domains
 *
 * A key that is not known is logged and passed over: a platform may tell more
 * than this build asks for. An empty value is none.
 */

#include <glib.h>

#include "damaskyard/secret.h"
#include "damaskyard/settings.h"

typedef enum dy_flow_role {
	DY_FLOW_BALANCER,
	DY_FLOW_AGENT,
	DY_FLOW_CONTROL
} dy_flow_role_t;

typedef struct dy_flow_settings {
	char *name;
	char *domain;	      /* failure domain */
	char *data;	      /* controls: the data folder */
	gboolean first_start; /* controls: the group is being founded */
	char *log_level;
	uint64_t stop_ms;      /* a planned stop is to end within this time */
	dy_address_t packets;  /* packets of callers, or answers to them */
	dy_address_t ready;    /* HTTP: may packets be sent here? */
	dy_address_t control;  /* HTTP: operators; targets' notices */
	dy_address_t outbound; /* agents: packets of the target */
	dy_address_t metrics;  /* HTTP: counters, at /metrics */
	dy_address_t inner;    /* the system's own messages */
	uint16_t control_port; /* of controls' own messages */
	dy_address_t target;   /* agents */
	char *service;	       /* agents */
	/* Of what a cold target bears in a second: times this, and so many. */
	double cold_overshoot;
	double cold_slack;
	dy_address_list_t seeds; /* controls' inner addresses */
	dy_secrets_t secrets;
	unsigned losses; /* of controls at once, to be borne */
	char **domains;	 /* all failure domains, ended by NULL; or NULL */
} dy_flow_settings_t;

/*
 * Load the settings of a role. Returns TRUE, or FALSE with error set to one
 * line that names key, value and what is allowed. Free with
 * dy_flow_settings_clear().
 */
gboolean dy_flow_settings_load(dy_flow_settings_t *settings, const char *path,
			       dy_flow_role_t role, GError **error);
void dy_flow_settings_clear(dy_flow_settings_t *settings);

/*
 * Read the seeds again, as after a change of the file. Returns TRUE if they
 * changed. A file that cannot be read leaves them and is logged.
 */
gboolean dy_flow_settings_refresh(dy_flow_settings_t *settings,
				  const char *path);

#endif
