#ifndef DAMASKYARD_REGISTRY_H
#define DAMASKYARD_REGISTRY_H

/*
 * The control group's replicated state machine: documents, members, token
 * keys and operators' requests. Pure: commands of the log go in, in order,
 * and the same commands give the same state on every control.
 *
 *	registry = dy_registry_create(&callbacks);
 *	each committed command:	dy_registry_apply(registry, data, size, index);
 *	each answer:		dy_registry_evaluate_poll(), _fill_poll(), ...
 *
 * Every object carries the index of its last change, and members stand in
 * lists ordered by it, so that what changed since a version is one walk.
 *
 * Leases are the leader's alone. They are no part of the state: the registry
 * keeps the time at which each member was last heard beside its record, but
 * neither writes it to a snapshot nor lets it decide anything in apply.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "damaskyard/list.h"
#include "damaskyard/token.h"
#include "dy_control.h"
#include "dy_registry.h"

/* The environments; a document is tried in one and promoted to the other. */
typedef enum dy_environment {
	DY_TRIAL,
	DY_PRODUCTION,
	DY_ENVIRONMENTS
} dy_environment_t;

/* Returns the name, or the environment of a name, or -1 if there is none. */
const char *dy_environment_name(dy_environment_t environment);
int dy_environment_find(const char *name);

/*
 * Records of members that are gone, kept in one environment at most. A day
 * of rolling upgrades of today's sizes leaves some hundreds; 32,768 records
 * of 240 bytes are 8 MB. Beyond it the oldest is dropped early.
 */
#define DY_REGISTRY_ENDED_MAX 32768

/*
 * Operators' requests whose first answer is kept. A person makes some tens
 * a day, so the answer outlives every resending by months.
 */
#define DY_REGISTRY_ANSWERS_MAX 4096

/*
 * Contents that no environment has in force, as those being paged in; the
 * oldest is dropped for a fifth.
 */
#define DY_REGISTRY_STAGED_MAX 4

/* Digests remembered as tried; one a promotion is enough. */
#define DY_REGISTRY_TRIED_MAX 64

/*
 * Failure domains that were ever evacuated; a record is kept after its domain
 * was readmitted, for members that have not heard of it yet.
 */
#define DY_REGISTRY_DOMAINS_MAX 64

/* Retired keys still announced, beside the DY_TOKEN_KEYS_MAX in use. */
#define DY_REGISTRY_RETIRED_MAX 8

typedef struct dy_registry dy_registry_t;

/* What happened, for a log line and a counter. */
typedef enum dy_registry_event {
	DY_EVENT_MEMBER_JOINED,
	DY_EVENT_MEMBER_CHANGED,
	DY_EVENT_MEMBER_DRAINING,
	DY_EVENT_MEMBER_LEFT,
	DY_EVENT_MEMBER_SUSPECT,
	DY_EVENT_MEMBER_BACK, /* suspect, and heard again */
	DY_EVENT_MEMBER_DEAD,
	DY_EVENT_MEMBER_FORGOTTEN,
	DY_EVENT_MEMBER_REFUSED, /* a join of a name that is taken */
	DY_EVENT_DRAIN_WISHED,
	DY_EVENT_DOMAIN_EVACUATED,
	DY_EVENT_DOMAIN_READMITTED,
	DY_EVENT_DOCUMENT_ACCEPTED,
	DY_EVENT_DOCUMENT_TRIED,
	DY_EVENT_CONTENT_DAMAGED, /* bytes do not have their digest */
	DY_EVENT_CHANGE_REFUSED,
	DY_EVENT_CHANGE_RESENT, /* the first answer stands */
	DY_EVENT_KEY_ADDED,
	DY_EVENT_KEY_ACTIVE,
	DY_EVENT_KEY_RETIRED,
	DY_EVENT_COMMAND_MALFORMED,
	DY_EVENTS
} dy_registry_event_t;

/* Returns the event's stable name, which is its counter's too. */
const char *dy_registry_event_name(dy_registry_event_t event);

typedef struct dy_registry_callbacks {
	void *context;
	/*
	 * One event of the command being applied. environment and name may
	 * be empty; number is an incarnation, a document's number, a key's
	 * id, or the status of a refused change.
	 */
	void (*event)(void *context, dy_registry_event_t event,
		      const char *environment, const char *name,
		      uint64_t number);
	/*
	 * Whether bytes are a document that every process would take; writes
	 * the reason into message if not. May be NULL: then all are. Must
	 * depend on nothing but the bytes.
	 */
	int (*validate)(void *context, const uint8_t *bytes, size_t size,
			char *message, size_t message_size);
} dy_registry_callbacks_t;

/* Create an empty registry. callbacks is copied. */
dy_registry_t *dy_registry_create(const dy_registry_callbacks_t *callbacks);
void dy_registry_destroy(dy_registry_t *registry);

/*
 * Apply the command at index, which must grow. A command that is malformed
 * or breaks a rule changes nothing and is told as an event.
 */
void dy_registry_apply(dy_registry_t *registry, const void *data, uint32_t size,
		       uint64_t index);

/* Index of the last command applied. */
uint64_t dy_registry_index(const dy_registry_t *registry);

/*
 * Encode a command as it stands in the log. Returns bytes to g_free(), or
 * NULL if it is larger than an entry.
 */
void *dy_command_encode(const dy_command_t *command, uint32_t *size);

/*
 * Write the state by calling add() with pieces, or replace it by what read()
 * gives (see raft.h for both). Returns 0, or -1; after a failed load the
 * registry is empty.
 */
int dy_registry_write(const dy_registry_t *registry,
		      int (*add)(void *context, const void *data, size_t size),
		      void *context);
int dy_registry_load(dy_registry_t *registry,
		     int (*read)(void *context, void *data, size_t size),
		     void *context);

/* A member's record. Read-only outside of the registry. */
typedef struct dy_registry_member {
	uint64_t id;
	uint64_t incarnation;
	uint64_t boot;
	uint64_t changed;
	dy_list_t environment_link; /* ordered by changed */
	dy_list_t service_link;	    /* ordered by changed; agents only */
	dy_list_t lease_link;	    /* live, suspect or gone */
	uint64_t heard_ms;	    /* the leader's clock */
	uint64_t document;	    /* number in force there, as heard */
	/* Shared strings: members repeat all but their names. */
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
	uint8_t current;       /* the newest record of its name */
	uint8_t mark_proposed; /* a mark of it is under way */
	char name[];
} dy_registry_member_t;

/* Find the newest record of a member, or NULL. */
dy_registry_member_t *dy_registry_find_member(const dy_registry_t *registry,
					      uint64_t id);

/* Whether it may serve or come back: neither LEFT nor DEAD. */
int dy_member_is_live(const dy_registry_member_t *member);

const char *dy_member_state_name(uint32_t state);

/* Call each() for every record, in order of change in each environment. */
typedef void dy_registry_each_cb_t(void *context,
				   const dy_registry_member_t *member);
void dy_registry_each_member(const dy_registry_t *registry,
			     dy_registry_each_cb_t *each, void *context);

/* What a poll asks for. */
typedef enum dy_poll_action {
	DY_POLL_ANSWER,	 /* nothing changes: confirm by a read, answer */
	DY_POLL_PROPOSE, /* command is to be committed first */
	DY_POLL_REFUSE	 /* confirm by a read, answer with status */
} dy_poll_action_t;

/*
 * Judge a poll against the state as it stands. command is set for
 * DY_POLL_PROPOSE and points into poll; status for DY_POLL_REFUSE.
 */
dy_poll_action_t dy_registry_evaluate_poll(const dy_registry_t *registry,
					   const dy_poll_t *poll,
					   dy_command_t *command,
					   dy_status_t *status);

/*
 * Fill in incarnation, drain and what changed since poll->state_version for
 * the member that polled. result->deltas must have room for DY_DELTAS_MAX;
 * what it points to holds until the next apply.
 *
 * A balancer gets its environment's document and agents and the keys; an
 * agent the agents of its own service only. An agent without a service is
 * kept at version 0, so that it gets them all once its target announced.
 */
void dy_registry_fill_poll_result(const dy_registry_t *registry,
				  const dy_poll_t *poll,
				  dy_poll_result_t *result);

/*
 * Append to deltas (of dy_delta_t) what a member that knows nothing needs of an
 * environment: its live agents, document and keys. What they point to holds
 * until the next apply.
 */
void dy_registry_fill_image(const dy_registry_t *registry,
			    dy_environment_t environment, GArray *deltas);

/* The document in force in an environment. */
typedef struct dy_registry_document {
	uint64_t number; /* 0: none yet */
	uint8_t digest[DY_DIGEST_BYTES];
	uint32_t size;
	uint64_t changed;
	char operator_name[DY_NAME_BYTES + 1];
} dy_registry_document_t;

const dy_registry_document_t *dy_registry_document(
	const dy_registry_t *registry, dy_environment_t environment);

/* Whether that content was in force on every live trial member. */
int dy_registry_is_tried(const dy_registry_t *registry, const uint8_t *digest);

/* Find whole content by digest, or NULL. */
const uint8_t *dy_registry_find_content(const dy_registry_t *registry,
					const uint8_t *digest, uint32_t *size);

/*
 * Count the live members of an environment and those that told of its
 * document, or a newer one, in their polls to this leader.
 */
void dy_registry_count_in_force(const dy_registry_t *registry,
				dy_environment_t environment, unsigned *live,
				unsigned *in_force);

/* Find the first answer to a request, or NULL. */
const dy_change_result_t *dy_registry_find_answer(const dy_registry_t *registry,
						  const char *request);

/* The keys, oldest first. */
typedef struct dy_registry_key {
	dy_key_info_t info;
	uint64_t changed;
	uint64_t since_ms; /* this control's clock when it applied that */
} dy_registry_key_t;

const dy_registry_key_t *dy_registry_keys(const dy_registry_t *registry,
					  unsigned *count);

/* A failure domain that is, or was, evacuated by an operator. */
typedef struct dy_registry_domain {
	char name[DY_NAME_BYTES + 1];
	int evacuated;
	uint64_t changed;
	char operator_name[DY_NAME_BYTES + 1];
} dy_registry_domain_t;

/* Returns the records of domains, in the order of their first evacuation. */
const dy_registry_domain_t *dy_registry_domains(const dy_registry_t *registry,
						unsigned *count);

/* Whether the targets of a domain are to take no new flow. */
int dy_registry_is_evacuated(const dy_registry_t *registry, const char *domain);

/* Whether a record of any member, or an evacuation, names the domain. */
int dy_registry_has_domain(const dy_registry_t *registry, const char *domain);

/*
 * Times of key rotation, in ms. A new key is distributed `distribute_ms`
 * before it signs: every member polls many times in between, so no token is
 * made that another process cannot check. The one before is accepted for
 * `renew_ms` more: tokens are renewed with the next answer of a session, so
 * this is the longest pause of a caller.
 */
typedef struct dy_key_times {
	uint64_t rotate_ms;
	uint64_t distribute_ms;
	uint64_t renew_ms;
} dy_key_times_t;

/*
 * The next step of rotation that is due at the registry's clock. Returns 1
 * with step set (but for its salt), or 0.
 */
int dy_registry_next_key_step(const dy_registry_t *registry,
			      const dy_key_times_t *times, dy_key_step_t *step);

/*
 * The leader's clock, monotonic, in ms. Set it on every control before each
 * turn: members that join or leave are stamped with it.
 */
void dy_registry_set_clock(dy_registry_t *registry, uint64_t now_ms);

/*
 * Give every member a full lease, and forget what it reported: what a new
 * leader does, since it has not heard anyone yet.
 */
void dy_registry_restart_leases(dy_registry_t *registry);

/* Number of members that are known, whatever their state. */
unsigned dy_registry_member_count(const dy_registry_t *registry);

/* Note that a member was heard, and the number of its document. */
void dy_registry_renew_lease(dy_registry_t *registry, uint64_t id,
			     uint64_t document);

/* Times after which a member is marked, in ms. */
typedef struct dy_lease_times {
	uint64_t lease_ms; /* unheard: SUSPECT */
	uint64_t keep_ms;  /* SUSPECT: DEAD; over for twice that: forgotten */
} dy_lease_times_t;

/*
 * Find the next mark that is due. Returns 1 with mark set, or 0. The same
 * mark is not returned again before the next dy_registry_restart_leases(),
 * unless dy_registry_retry_mark() is called on it.
 */
int dy_registry_next_mark(dy_registry_t *registry,
			  const dy_lease_times_t *times,
			  dy_member_mark_t *mark);
void dy_registry_retry_mark(dy_registry_t *registry,
			    const dy_member_mark_t *mark);

/* Bytes that a record takes, for the memory budget. */
size_t dy_registry_member_bytes(void);

#endif
