#ifndef DAMASKYARD_REGISTRY_PRIVATE_H
#define DAMASKYARD_REGISTRY_PRIVATE_H

#include <glib.h>

#include "damaskyard/registry.h"

#define REQUEST_ID_BYTES 16

/* A document's bytes, complete or partly uploaded. */
typedef struct content {
	dy_list_t link; /* oldest first */
	uint8_t digest[DY_DIGEST_BYTES];
	uint32_t size;
	uint32_t received_bytes;
	uint8_t *bytes;
	int validated; /* complete, and the digest matches */
	char *error;   /* why it is not a valid document, or NULL */
} content_t;

/* The agents of one service in one environment. */
typedef struct service {
	dy_list_t members; /* ordered by changed */
	char *name;	   /* interned; the key in the table */
} service_t;

typedef struct environment {
	dy_registry_document_t document;
	dy_list_t members; /* all records, ordered by changed */
	dy_list_t ended;   /* LEFT and DEAD, oldest first */
	unsigned ended_count;
	GHashTable *services; /* name to service_t */
} environment_t;

typedef struct answer {
	uint8_t request[REQUEST_ID_BYTES];
	dy_change_result_t result;
} answer_t;

#define KEYS_MAX (DY_TOKEN_KEYS_MAX + DY_REGISTRY_RETIRED_MAX)

struct dy_registry {
	dy_registry_callbacks_t callbacks;
	uint64_t index;
	uint64_t now_ms;
	/* Polls are no longer told of dropped records changed up to here. */
	uint64_t forgotten_index;
	environment_t environments[DY_ENVIRONMENTS];
	GHashTable *members; /* id to newest record */
	dy_list_t live;	     /* least recent poll first */
	dy_list_t suspect;   /* longest suspect first */
	dy_list_t contents;
	uint8_t tried[DY_REGISTRY_TRIED_MAX][DY_DIGEST_BYTES];
	unsigned tried_count;
	dy_registry_domain_t domains[DY_REGISTRY_DOMAINS_MAX];
	unsigned domain_count;
	dy_registry_key_t keys[KEYS_MAX];
	unsigned key_count;
	uint32_t last_key_id;
	GHashTable *answers_by_request;
	GQueue *answers; /* oldest first */
};

/* Calls the event callback, if there is one. */
void registry_emit_event(const dy_registry_t *registry,
			 dy_registry_event_t event, const char *environment,
			 const char *name, uint64_t number);

/* registry_members.c */
void registry_apply_join(dy_registry_t *registry, const dy_member_join_t *join);
void registry_apply_update(dy_registry_t *registry,
			   const dy_member_update_t *update);
void registry_apply_mark(dy_registry_t *registry, const dy_member_mark_t *mark);
/*
 * Returns whether info belongs to a restart of the member's process: it is
 * bound to the same address, which two running processes cannot be, and its
 * boot number, which begins with the start time, is greater. A restart need
 * not wait until the old lease expires.
 */
int registry_is_restart(const dy_registry_member_t *member,
			const dy_member_info_t *info, uint64_t boot);
/* Ends a live member as DEAD. */
void registry_declare_dead(dy_registry_t *registry,
			   dy_registry_member_t *member);
void registry_drop_members(dy_registry_t *registry);
/* Appends a record of a snapshot. */
void registry_restore_member(dy_registry_t *registry,
			     const dy_saved_member_t *saved);
/* Frees a record that is in no list. */
void registry_free_member(dy_registry_member_t *member);
/* Returns whether info is valid: kind, environment, name, port, service. */
int registry_info_is_valid(const dy_member_info_t *info);
/* Starts a new lease: moves the member to the end of its state's list. */
void registry_refresh_lease(dy_registry_t *registry,
			    dy_registry_member_t *member);
/* Fills the message form of a record; it points into the record. */
void registry_fill_member(const dy_registry_member_t *member, dy_member_t *out);
/*
 * Finds the live members with a name, in one environment or, if that is empty,
 * in all. Returns 1 with *found set, 0 if there is none, or -1 if there are
 * several.
 */
int registry_find_named(const dy_registry_t *registry, const char *environment,
			const char *name, dy_registry_member_t **found);

/* registry_contents.c */
/* Finds a content by digest, complete or not; NULL if there is none. */
content_t *registry_find_content(const dy_registry_t *registry,
				 const uint8_t *digest);
void registry_add_page(dy_registry_t *registry, const dy_content_page_t *page);
void registry_drop_contents(dy_registry_t *registry);
/* Drops the oldest staged contents beyond DY_REGISTRY_STAGED_MAX. */
void registry_trim_contents(dy_registry_t *registry);
void registry_mark_tried(dy_registry_t *registry, const uint8_t *digest);

/* registry_changes.c */
void registry_apply_change(dy_registry_t *registry,
			   const dy_operator_change_t *args);
void registry_keep_answer(dy_registry_t *registry, const char *request,
			  const dy_change_result_t *result);
void registry_drop_answers(dy_registry_t *registry);

/* registry_domains.c */
/* Evacuates or readmits a domain. Returns 0 if the table is full. */
int registry_change_domain(dy_registry_t *registry, const dy_change_t *change);
/* Fills the message form of a record; it points into the record. */
void registry_fill_domain(const dy_registry_domain_t *domain,
			  dy_delta_t *delta);
/* Appends a record of a snapshot. Returns 0, or -1 if the table is full. */
int registry_restore_domain(dy_registry_t *registry,
			    const dy_saved_domain_t *saved);

/* registry_keys.c */
/* Returns whether the newest key does not sign yet. */
int registry_has_pending_key(const dy_registry_t *registry);
/* Returns 0 if too many keys are in use or an earlier one is pending. */
int registry_add_key(dy_registry_t *registry, const char *salt);
void registry_apply_key_step(dy_registry_t *registry,
			     const dy_key_step_t *step);
/* Aborts unless exactly one key is active, or there is none. */
void registry_check_keys(const dy_registry_t *registry);

#endif
