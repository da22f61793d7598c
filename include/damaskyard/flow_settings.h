#ifndef DAMASKYARD_FLOW_SETTINGS_H
#define DAMASKYARD_FLOW_SETTINGS_H

/*
 * Settings of the processes for packet flows: a GLib key file. Its path is
 * given by --settings, or by the environment variable that platform/calls.h
 * names.
 *
 *	[process]  name, failure-domain, data, first-start, log-level, stop-s,
 *		   link-mbps
 *	[listen]   packets, ready, control, outbound, inner-port, metrics-port
 *	[target]   address, service, cold-overshoot, cold-slack
 *	[openings] wait-at: agent or balancer
 *	[platform] contracts
 *	[group]    seeds, key-file, losses, failure-domains
 *
 * An unknown key is logged and ignored, because a platform may write more keys
 * than this build reads. An empty value counts as missing.
 */

#include <glib.h>

#include "damaskyard/secret.h"
#include "damaskyard/settings.h"

typedef enum dy_flow_role {
	DY_FLOW_BALANCER,
	DY_FLOW_AGENT,
	DY_FLOW_CONTROL
} dy_flow_role_t;

/* Strings are NULL and addresses have port 0 where the key is missing. */
typedef struct dy_flow_settings {
	char *name;
	char *domain;	      /* failure domain */
	char *data;	      /* controls: the data folder */
	gboolean first_start; /* the group starts for the first time */
	char *log_level;
	uint64_t stop_ms;	   /* time limit of a planned stop */
	uint64_t link_bytes_per_s; /* rate of the VM's link; 0: unlimited */
	gboolean wait_at_balancer; /* openings; see waiting_openings.h */
	dy_address_t packets;  /* packets: from callers, or answers to them */
	dy_address_t ready;    /* HTTP: the readiness call */
	dy_address_t control;  /* HTTP: operators, or heartbeats of targets */
	dy_address_t outbound; /* agents: packets to and from the target */
	dy_address_t metrics;  /* HTTP: counters, at /metrics */
	dy_address_t inner;    /* messages between the system's processes */
	uint16_t control_port; /* inner port of all controls */
	dy_address_t target;   /* agents */
	char *service;	       /* agents */
	/*
	 * A cold target is sent its rate * cold_overshoot + cold_slack new
	 * flows per second at most.
	 */
	double cold_overshoot;
	double cold_slack;
	/* Inner addresses of controls; damaged entries are left out. */
	dy_address_list_t seeds;
	dy_secrets_t secrets;
	unsigned losses; /* tolerated simultaneous losses of controls */
	char **domains;	 /* all failure domains, NULL-terminated; or NULL */
} dy_flow_settings_t;

/*
 * Load the settings of a role. Returns TRUE, or FALSE with error set to one
 * line that names the key, its value and what is allowed. Call
 * dy_flow_settings_clear() in both cases.
 */
gboolean dy_flow_settings_load(dy_flow_settings_t *settings, const char *path,
			       dy_flow_role_t role, GError **error);

/* Free the contents of settings, not settings itself. */
void dy_flow_settings_clear(dy_flow_settings_t *settings);

/*
 * Read the seeds again, in case the file has changed. Returns TRUE if they
 * differ. If the file cannot be read, logs that, keeps the seeds and returns
 * FALSE.
 */
gboolean dy_flow_settings_reload_seeds(dy_flow_settings_t *settings,
				       const char *path);

#endif
