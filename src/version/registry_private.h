#ifndef DAMASKYARD_REGISTRY_PRIVATE_H
#define DAMASKYARD_REGISTRY_PRIVATE_H

#include <glib.h>

#include "damaskyard/registry.h"

#define REQUEST_BYTES 16

/* Bytes of a document, whole or as far as its pages have come. */
typedef struct content {
	dy_list_t link; /* oldest first */
	uint8_t digest[DY_DIGEST_BYTES];
	uint32_t size;
	uint32_t have;
	uint8_t *bytes;
	int checked; /* its digest is right and it is a document */
	char *fault; /* why it is not one */
} content_t;

/* The agents of one service in one environment. */
typedef struct service {
	dy_list_t members; /* ordered by changed */
	char *name;	   /* shared string; key of the table */
} service_t;

typedef struct environment {
	dy_registry_document_t document;
	dy_list_t members; /* all records, ordered by changed */
	dy_list_t gone;	   /* LEFT and DEAD, oldest first */
	unsigned gone_count;
	GHashTable *services; /* name to service_t */
} environment_t;

typedef struct answer {
	uint8_t request[REQUEST_BYTES];
	dy_change_result_t result;
} answer_t;

#define KEYS_MAX (DY_TOKEN_KEYS_MAX + DY_REGISTRY_RETIRED_MAX)

struct dy_registry {
	dy_registry_callbacks_t callbacks;
	uint64_t index;
	uint64_t now_ms;
	/* Changes of forgotten records up to here are no longer told. */
	uint64_t forgotten;
	environment_t environments[DY_ENVIRONMENTS];
	GHashTable *members; /* id to newest record, a set */
	dy_list_t live;	     /* longest unheard first */
	dy_list_t suspect;   /* longest suspect first */
	dy_list_t contents;
	uint8_t tried[DY_REGISTRY_TRIED_MAX][DY_DIGEST_BYTES];
	unsigned tried_count;
	dy_registry_domain_t domains[DY_REGISTRY_DOMAINS_MAX];
	unsigned domain_count;
	dy_registry_key_t keys[KEYS_MAX];
	unsigned key_count;
	uint32_t last_key;
	GHashTable *answers_by_request;
	GQueue *answers; /* oldest first */
};

void registry_tell(const dy_registry_t *registry, dy_registry_event_t event,
		   const char *environment, const char *name, uint64_t number);

/* registry_members.c */
void registry_join(dy_registry_t *registry, const dy_member_join_t *join);
void registry_update(dy_registry_t *registry, const dy_member_update_t *update);
void registry_mark(dy_registry_t *registry, const dy_member_mark_t *mark);
/*
 * Whether info is of a process that was started in place of member's: it is
 * bound to the same address, which two that run at once cannot be, and its
 * boot, which begins with the time of its start, is greater. Such a one need
 * not wait for the lease to run out.
 */
int registry_is_successor(const dy_registry_member_t *member,
			  const dy_member_info_t *info, uint64_t boot);
void registry_kill(dy_registry_t *registry, dy_registry_member_t *member);
void registry_drop_members(dy_registry_t *registry);
/* Put a record that a snapshot held behind all others. */
void registry_append_member(dy_registry_t *registry,
			    const dy_saved_member_t *saved);
/* Free a record that stands in no list. */
void registry_free_member(dy_registry_member_t *member);
/* Whether info may stand in the state: a known kind, names and all. */
int registry_info_is_valid(const dy_member_info_t *info);
/* Move a member to the list that its state asks for, stamped now. */
void registry_stamp(dy_registry_t *registry, dy_registry_member_t *member);
/* The message form of a record; points into it. */
void registry_show_member(const dy_registry_member_t *member,
			  dy_member_t *shown);
/* A record of an environment and name, of either kind; -1 if two have it. */
int registry_find_named(const dy_registry_t *registry, const char *environment,
			const char *name, dy_registry_member_t **found);

/* registry_contents.c */
content_t *registry_find_content(const dy_registry_t *registry,
				 const uint8_t *digest);
void registry_add_page(dy_registry_t *registry, const dy_content_page_t *page);
void registry_drop_contents(dy_registry_t *registry);
void registry_trim_contents(dy_registry_t *registry);
void registry_try_content(dy_registry_t *registry, const uint8_t *digest);

/* registry_changes.c */
void registry_change(dy_registry_t *registry, const dy_operator_change_t *args);
void registry_keep_answer(dy_registry_t *registry, const char *request,
			  const dy_change_result_t *result);
void registry_drop_answers(dy_registry_t *registry);

/* registry_domains.c */
/* Evacuate or readmit. Returns 0 if there is no room for another record. */
int registry_change_domain(dy_registry_t *registry, const dy_change_t *change);
/* The message form of a record; points into it. */
void registry_show_domain(const dy_registry_domain_t *domain,
			  dy_delta_t *delta);
/* Put a record that a snapshot held; -1 if there is no room. */
int registry_append_domain(dy_registry_t *registry,
			   const dy_saved_domain_t *saved);

/* registry_keys.c */
/* Whether the newest key does not sign yet. */
int registry_key_waits(const dy_registry_t *registry);
/* Whether it was taken; else there is no room or an earlier one waits. */
int registry_add_key(dy_registry_t *registry, const char *salt);
void registry_step_key(dy_registry_t *registry, const dy_key_step_t *step);
void registry_check_keys(const dy_registry_t *registry);

#endif
