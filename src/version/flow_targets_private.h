#ifndef DAMASKYARD_FLOW_TARGETS_PRIVATE_H
#define DAMASKYARD_FLOW_TARGETS_PRIVATE_H

/*
 * Shared declarations of the files of flow targets. flow_targets.c keeps the
 * targets and what is known of each, flow_targets_lost.c finds out which
 * suspect ones are lost, flow_targets_select.c selects among them.
 */

#include <glib.h>

#include "damaskyard/flow_targets.h"
#include "damaskyard/list.h"
#include "damaskyard/target_pace.h"

typedef struct target {
	uint64_t id;
	uint64_t incarnation;
	uint64_t hash; /* of the address */
	dy_address_t address;
	char *service;
	char *domain; /* interned */
	int same_domain;
	int evacuated; /* its domain is evacuated */
	int serving;
	int suspect;
	int deliveries; /* the agent accepts DELIVERY */
	int refuses;	/* by its last report it admits no openings */
	dy_flow_load_t load;
	uint32_t opened; /* flows opened since its last report */
	uint64_t avoided_until_ms;
	uint64_t last_report_ms;
	uint64_t quiet_until_ms; /* it did not answer a search */
	/* First call of dy_flow_targets_is_lost() since it is suspect, or 0. */
	uint64_t lost_check_ms;
	/* Last finding of a witness by which it is not lost, or 0. */
	uint64_t excused_ms;
	/* First finding, while it is suspect, that its process ended; or 0. */
	uint64_t ended_since_ms;
	dy_list_t suspect_link; /* in the list of suspects, while checked */
	dy_flow_silence_t silence;
	dy_flow_path_t path;
	dy_target_pace_t pace;
} target_t;

struct dy_flow_targets {
	const char *domain;
	GHashTable *by_id;
	GHashTable *by_address; /* the newest member at each address */
	GHashTable *services;	/* name to GPtrArray of targets */
	GHashTable *evacuated;	/* names of domains, a set */
	dy_list_t suspects;	/* agents that may be lost, checked */
	uint64_t suspects_asked_ms;
	unsigned agent_count;	 /* agents that have a service */
	uint64_t last_report_ms; /* of any agent */
	/* Send time of the newest poll that was answered. */
	uint64_t confirmed_poll_ms;
	uint64_t compared_ms; /* when the targets were compared last */
	dy_flow_targets_pace_cb_t *pace_changed;
	void *pace_context;
};

/* Returns the newest target at an address, or NULL. */
target_t *flow_targets_find(const dy_flow_targets_t *targets,
			    const dy_address_t *agent);

/* Ends the check whether a suspect agent is lost; flow_targets_lost.c. */
void flow_targets_end_lost_check(target_t *target);

/* Takes a witness's finding about a suspect agent; flow_targets_lost.c. */
void flow_targets_excuse_suspect(target_t *target, dy_flow_answer_t answer,
				 uint64_t now_ms);

/*
 * As dy_flow_targets_begin_inquiry() for a known agent. hash names the place at
 * which to begin, so that witnesses differ.
 */
unsigned flow_targets_begin_inquiry(const dy_flow_targets_t *targets,
				    target_t *subject, uint64_t hash,
				    uint64_t now_ms,
				    dy_address_t witnesses[DY_FLOW_WITNESSES]);

int flow_targets_accepts_new_flows(const target_t *target);

#endif
