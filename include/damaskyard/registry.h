#ifndef DAMASKYARD_REGISTRY_H
#define DAMASKYARD_REGISTRY_H

/*
 * Replicated state machine of the control group: documents, members, token
 * keys, evacuated failure domains and operators' requests. No I/O.
 * Committed commands are applied in log order, and the same commands give the
 * same state on every control.
 *
 *	registry = dy_registry_create(&callbacks);
 *	each committed command:
 *		dy_registry_apply(registry, data, size, index);
 *	each poll:
 *		dy_registry_evaluate_poll(), dy_registry_fill_poll_result()
 *
 * Each object stores the log index of its last change, and members are kept in
 * lists ordered by it, so the changes since a version are one list walk.
 *
 * Leases are local to the leader and not part of the replicated state. The
 * time of a member's last poll is kept in its record, but it is not written to
 * snapshots and dy_registry_apply() does not depend on it.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "damaskyard/list.h"
#include "damaskyard/token.h"
#include "dy_control.h"
#include "dy_registry.h"

/* The environments; a document runs in trial before it is promoted. */
typedef enum dy_environment {
	DY_TRIAL,
	DY_PRODUCTION,
	DY_ENVIRONMENTS
} dy_environment_t;

/* Returns the name of an environment, a static string. */
const char *dy_environment_name(dy_environment_t environment);

/* Returns the environment of a name, or -1 if there is none. */
int dy_environment_find(const char *name);

/*
 * Maximum records of ended members (LEFT or DEAD) per environment; beyond it
 * the oldest is dropped early. A day of rolling upgrades at current sizes
 * leaves a few hundred; 32,768 records of 240 bytes are 8 MB.
 */
#define DY_REGISTRY_ENDED_MAX 32768

/*
 * Operators' requests whose first answer is kept, so that a retransmission
 * gets the same one. A person makes some tens of requests a day, so answers
 * are kept for months.
 */
#define DY_REGISTRY_ANSWERS_MAX 4096

/*
 * Maximum contents that are not in force in any environment, such as those
 * being uploaded; beyond it the oldest is dropped.
 */
#define DY_REGISTRY_STAGED_MAX 4

/* Digests remembered as tried in trial; a promotion needs one. */
#define DY_REGISTRY_TRIED_MAX 64

/*
 * Maximum failure domains that were ever evacuated. The record of a readmitted
 * domain is kept for members that have not received the change yet.
 */
#define DY_REGISTRY_DOMAINS_MAX 64

/* Retired keys still announced, in addition to DY_TOKEN_KEYS_MAX in use. */
#define DY_REGISTRY_RETIRED_MAX 8

typedef struct dy_registry dy_registry_t;

/* Events of applied commands, for log lines and counters. */
typedef enum dy_registry_event {
	DY_EVENT_MEMBER_JOINED,
	DY_EVENT_MEMBER_CHANGED,
	DY_EVENT_MEMBER_DRAINING,
	DY_EVENT_MEMBER_LEFT,
	DY_EVENT_MEMBER_SUSPECT,
	DY_EVENT_MEMBER_BACK, /* a suspect member polled again */
	DY_EVENT_MEMBER_DEAD,
	DY_EVENT_MEMBER_FORGOTTEN,
	DY_EVENT_MEMBER_REFUSED, /* join under a name in use */
	DY_EVENT_DRAIN_WISHED,
	DY_EVENT_DOMAIN_EVACUATED,
	DY_EVENT_DOMAIN_READMITTED,
	DY_EVENT_DOCUMENT_ACCEPTED,
	DY_EVENT_DOCUMENT_TRIED,
	DY_EVENT_CONTENT_DAMAGED, /* bytes do not match their digest */
	DY_EVENT_CHANGE_REFUSED,
	DY_EVENT_CHANGE_RESENT, /* its first answer is kept */
	DY_EVENT_KEY_ADDED,
	DY_EVENT_KEY_ACTIVE,
	DY_EVENT_KEY_RETIRED,
	DY_EVENT_COMMAND_MALFORMED,
	DY_EVENTS
} dy_registry_event_t;

/* Returns the name of an event in the log and in metrics. */
const char *dy_registry_event_name(dy_registry_event_t event);

typedef struct dy_registry_callbacks {
	void *context;
	/*
	 * Reports an event of the command being applied. environment and name
	 * may be empty. number is an incarnation, a document number, a key
	 * id, a log index, or the status of a refused change.
	 */
	void (*event)(void *context, dy_registry_event_t event,
		      const char *environment, const char *name,
		      uint64_t number);
	/*
	 * Returns whether bytes are a document that every process accepts;
	 * writes the reason to message if not. Must depend on the bytes only.
	 * NULL: every document is valid.
	 */
	int (*validate)(void *context, const uint8_t *bytes, size_t size,
			char *message, size_t message_size);
} dy_registry_callbacks_t;

/* Create an empty registry. callbacks is copied; NULL: no callbacks. */
dy_registry_t *dy_registry_create(const dy_registry_callbacks_t *callbacks);

/* Free the registry. NULL is allowed. */
void dy_registry_destroy(dy_registry_t *registry);

/*
 * Apply the command at a log index; index must increase from call to call. A
 * malformed command changes nothing and is reported as an event. A refused
 * change is reported too and only stores its answer.
 */
void dy_registry_apply(dy_registry_t *registry, const void *data, uint32_t size,
		       uint64_t index);

/* Returns the index of the last applied command. */
uint64_t dy_registry_index(const dy_registry_t *registry);

/*
 * Encode a command for the log. Returns *size bytes to be freed with g_free(),
 * or NULL if the command does not fit into a log entry.
 */
void *dy_command_encode(const dy_command_t *command, uint32_t *size);

/*
 * Write a snapshot of the state by calling add() for each part; see raft.h.
 * Returns 0, or -1 if add() failed.
 */
int dy_registry_write(const dy_registry_t *registry,
		      int (*add)(void *context, const void *data, size_t size),
		      void *context);

/*
 * Replace the state by the snapshot that read() returns; see raft.h. Returns
 * 0, or -1 if the snapshot is not valid; the registry is then empty.
 */
int dy_registry_load(dy_registry_t *registry,
		     int (*read)(void *context, void *data, size_t size),
		     void *context);

/* A member's record. Read-only outside the registry. */
typedef struct dy_registry_member {
	uint64_t id;
	uint64_t incarnation;
	uint64_t boot;
	uint64_t changed;	    /* log index of the last change */
	dy_list_t environment_link; /* ordered by changed */
	dy_list_t service_link;	    /* ordered by changed; agents only */
	dy_list_t lease_link;	    /* live, suspect or ended */
	uint64_t heard_ms;	    /* last poll or state change; local clock */
	uint64_t document;	    /* number in force, from its last poll */
	/* Interned strings: members share all but their names. */
	char *domain;
	char *service;
	char *labels;
	uint64_t *successors;
	uint32_t slots;
	uint32_t connections;
	uint8_t ip[DY_IP_BYTES];
	uint16_t port;
	uint8_t kind;
	uint8_t state;
	uint8_t environment;
	uint8_t successor_count;
	uint8_t drain;
	uint8_t current;       /* newest record of its name */
	uint8_t mark_proposed; /* a mark is being committed */
	uint8_t polled;	       /* polled this leader since its election */
	char name[];
} dy_registry_member_t;

/* Find the newest record of a member. Returns NULL if there is none. */
dy_registry_member_t *dy_registry_find_member(const dy_registry_t *registry,
					      uint64_t id);

/* Returns whether a member has not ended: it is neither LEFT nor DEAD. */
int dy_member_is_live(const dy_registry_member_t *member);

/* Returns the name of a dy_member_state_t, a static string. */
const char *dy_member_state_name(uint32_t state);

/* Call each() for every record, per environment in order of change. */
typedef void dy_registry_each_cb_t(void *context,
				   const dy_registry_member_t *member);
void dy_registry_each_member(const dy_registry_t *registry,
			     dy_registry_each_cb_t *each, void *context);

/* How the leader handles a poll. */
typedef enum dy_poll_action {
	DY_POLL_ANSWER,	 /* no change: answer after a confirmed read */
	DY_POLL_PROPOSE, /* commit the command, then answer */
	DY_POLL_REFUSE	 /* answer with status after a confirmed read */
} dy_poll_action_t;

/*
 * Evaluate a poll against the current state. Sets *command for
 * DY_POLL_PROPOSE; it points into poll. Sets *status for DY_POLL_REFUSE.
 */
dy_poll_action_t dy_registry_evaluate_poll(const dy_registry_t *registry,
					   const dy_poll_t *poll,
					   dy_command_t *command,
					   dy_status_t *status);

/*
 * Fill the answer to a poll: incarnation, drain and the changes since
 * poll->state_version. result->deltas must have capacity for DY_DELTAS_MAX;
 * the strings and arrays it points to are valid until the next apply.
 *
 * All members get their environment's document and the keys, unless
 * poll->skips excludes them, and failure domains if it has DY_TAKES_DOMAINS. A
 * balancer gets all agents of its environment; an agent gets those of its own
 * service. An agent without a service stays at version 0, so that it gets all
 * of them once its target has announced a service. A poll at version 0 with
 * DY_SKIP_START gets no changes, as the member fetches an image instead.
 */
void dy_registry_fill_poll_result(const dy_registry_t *registry,
				  const dy_poll_t *poll,
				  dy_poll_result_t *result);

/*
 * Append the full state of an environment for a new member to deltas, an array
 * of dy_delta_t: its live agents, document, keys and failure domains. The
 * strings and arrays they point to are valid until the next apply.
 */
void dy_registry_fill_image(const dy_registry_t *registry,
			    dy_environment_t environment, GArray *deltas);

/* The document in force in an environment. The registry owns it. */
typedef struct dy_registry_document {
	uint64_t number; /* 0: none yet */
	uint8_t digest[DY_DIGEST_BYTES];
	uint32_t size;
	uint64_t changed;
	char operator_name[DY_NAME_BYTES + 1];
} dy_registry_document_t;

/* Returns the document of an environment; its number is 0 if there is none. */
const dy_registry_document_t *dy_registry_document(
	const dy_registry_t *registry, dy_environment_t environment);

/* Returns whether a content was in force on every live trial member. */
int dy_registry_is_tried(const dy_registry_t *registry, const uint8_t *digest);

/*
 * Find a complete content by its digest. Returns *size bytes that the registry
 * owns, valid until the next apply, or NULL.
 */
const uint8_t *dy_registry_find_content(const dy_registry_t *registry,
					const uint8_t *digest, uint32_t *size);

/*
 * Count the live members of an environment that are not suspect, and those of
 * them that reported its document or a newer one in a poll to this leader.
 */
void dy_registry_count_in_force(const dy_registry_t *registry,
				dy_environment_t environment, unsigned *live,
				unsigned *in_force);

/*
 * Find the first answer to an operator's request by its id. Returns an answer
 * that the registry owns, or NULL.
 */
const dy_change_result_t *dy_registry_find_answer(const dy_registry_t *registry,
						  const char *request);

/* A token key. */
typedef struct dy_registry_key {
	dy_key_info_t info;
	uint64_t changed;
	uint64_t since_ms; /* local time at which the change was applied */
} dy_registry_key_t;

/* Returns the keys, oldest first. The registry owns them. */
const dy_registry_key_t *dy_registry_keys(const dy_registry_t *registry,
					  unsigned *count);

/* A failure domain that is or was evacuated by an operator. */
typedef struct dy_registry_domain {
	char name[DY_NAME_BYTES + 1];
	int evacuated;
	uint64_t changed;
	char operator_name[DY_NAME_BYTES + 1];
} dy_registry_domain_t;

/*
 * Returns the records of failure domains in the order of their first
 * evacuation. The registry owns them.
 */
const dy_registry_domain_t *dy_registry_domains(const dy_registry_t *registry,
						unsigned *count);

/* Returns whether the targets of a domain must get no new flow. */
int dy_registry_is_evacuated(const dy_registry_t *registry, const char *domain);

/* Returns whether any member or evacuation record names the domain. */
int dy_registry_has_domain(const dy_registry_t *registry, const char *domain);

/*
 * Times of key rotation. A new key is distributed distribute_ms before it
 * signs; every member polls many times in between, so no token is signed that
 * another process cannot verify. The previous key is accepted for another
 * renew_ms. Tokens are renewed with each answer of a session, so renew_ms is
 * the longest pause of a caller.
 */
typedef struct dy_key_times {
	uint64_t rotate_ms;
	uint64_t distribute_ms;
	uint64_t renew_ms;
} dy_key_times_t;

/*
 * Find the rotation step that is due at the registry's clock. Returns 1 with
 * *step set except for its salt, or 0.
 */
int dy_registry_next_key_step(const dy_registry_t *registry,
			      const dy_key_times_t *times, dy_key_step_t *step);

/*
 * Set the local monotonic clock, in ms. Call it on every control before each
 * loop iteration: the leases of changed members start at this time.
 */
void dy_registry_set_clock(dy_registry_t *registry, uint64_t now_ms);

/*
 * Start a full lease for every member, and clear the document that it
 * reported. A new leader calls this, since it has received no poll yet.
 */
void dy_registry_restart_leases(dy_registry_t *registry);

/* Returns the number of members in any state, one per name. */
unsigned dy_registry_member_count(const dy_registry_t *registry);

/* Renew the lease of a member that polled with a document in force. */
void dy_registry_renew_lease(dy_registry_t *registry, uint64_t id,
			     uint64_t document);

/* Timeouts after which a member is marked. */
typedef struct dy_lease_times {
	uint64_t lease_ms; /* without a poll: marked SUSPECT */
	uint64_t keep_ms;  /* SUSPECT: marked DEAD; ended: dropped after 2x */
} dy_lease_times_t;

/*
 * Find the next mark that is due. Returns 1 with *mark set, or 0. A mark is
 * returned once until the next dy_registry_restart_leases(), unless
 * dy_registry_retry_mark() is called for it.
 */
int dy_registry_next_mark(dy_registry_t *registry,
			  const dy_lease_times_t *times,
			  dy_member_mark_t *mark);

/* Let dy_registry_next_mark() return a mark again that was not committed. */
void dy_registry_retry_mark(dy_registry_t *registry,
			    const dy_member_mark_t *mark);

/* Returns the size of a member record in bytes, for the memory budget. */
size_t dy_registry_member_bytes(void);

#endif
