#ifndef DAMASKYARD_SESSION_H
#define DAMASKYARD_SESSION_H

/*
 * The sessions of an agent: one for each flow that a caller holds open, for
 * hours where it likes.
 *
 * A session takes 191 bytes with an AUTH_SYS credential of 40 bytes, its place
 * in the table included (tests/test_session.c),
 * and a duplicate request cache from its first non-idempotent call on: about
 * 200 bytes for an ordinary client.
 *
 * Pure: the clock is passed in, in milliseconds, monotonic.
 */

#include <stddef.h>
#include <stdint.h>

#include "damaskyard/address.h"
#include "damaskyard/drc.h"
#include "damaskyard/list.h"
#include "damaskyard/rpc.h"

/* Where a session stands in its handover to a successor. */
typedef enum dy_session_state {
	DY_SESSION_LOCAL,    /* served here */
	DY_SESSION_CLOSING,  /* its last calls end; new ones are dropped */
	DY_SESSION_MOVED,    /* the successor may have it: never run here */
	DY_SESSION_ACCEPTED, /* the successor has said that it has it */
	DY_SESSION_LOST /* moved, and the successor died before it said so */
} dy_session_state_t;

typedef struct dy_session {
	uint64_t id;
	uint64_t caller; /* hash of who calls */
	uint64_t last_use_ms;
	uint64_t handover_sent_ms; /* of its handover, last */
	uint64_t successor;	   /* member id, once moved */
	uint64_t successor_incarnation;
	dy_list_t lru_link; /* in the table, by last use */
	dy_list_t calls;    /* in progress, the owner's */
	dy_drc_t *drc;	    /* NULL before the first non-idempotent call */
	uint8_t *credential;
	uint16_t credential_len;
	uint16_t call_count; /* in calls */
	uint32_t flavor;     /* of the caller's own credential */
	uint32_t key_id;     /* of the token given last */
	uint8_t state;	     /* a dy_session_state_t */
	uint8_t received;    /* by handover */
	uint8_t transient;   /* for one call only; its owner is elsewhere */
	uint8_t refused;     /* its successor never took it nor will */
	uint8_t handover_attempts; /* messages of its handover, up to 255 */
} dy_session_t;

typedef struct dy_sessions dy_sessions_t;

/*
 * Create a table of at most `cap` opened sessions, which end after idle_ms
 * without a call. idle_ms is raised to DY_RETRANSMIT_WINDOW_MS: a session must
 * outlive the copies of its calls. seed is random, and new at each start:
 * session ids follow from it.
 */
dy_sessions_t *dy_sessions_create(unsigned cap, uint64_t idle_ms,
				  uint64_t seed);
void dy_sessions_destroy(dy_sessions_t *sessions);

/* Change the limits. Sessions beyond a lower cap stay. */
void dy_sessions_set_limits(dy_sessions_t *sessions, unsigned cap,
			    uint64_t idle_ms);

dy_session_t *dy_sessions_find(const dy_sessions_t *sessions, uint64_t id);

/*
 * Returns the id of the session that a call without a token opens: a hash,
 * under a seed of this table's own, of the caller's address and the xid, so
 * that a copy of the opening call finds the session that the first one made.
 */
uint64_t dy_sessions_opening_id(const dy_sessions_t *sessions,
				const dy_address_t *caller, uint32_t xid);

/* Returns the hash by which a caller's sessions are told to be its own. */
uint64_t dy_sessions_caller_hash(const dy_sessions_t *sessions,
				 const dy_address_t *address,
				 const dy_rpc_auth_t *credential);

/*
 * Open a session for a caller with that credential. Returns NULL if the
 * table is full.
 */
dy_session_t *dy_sessions_open(dy_sessions_t *sessions, uint64_t id,
			       uint64_t caller, const dy_rpc_auth_t *credential,
			       uint64_t now_ms);

/*
 * Take over a session that was handed to this agent, also beyond the cap: a
 * planned change must not break a flow. Returns NULL if body is malformed.
 */
dy_session_t *dy_sessions_receive(dy_sessions_t *sessions, uint64_t id,
				  const dy_moved_body_t *body, uint64_t now_ms);

/* Write what a handover says of session; free it by xdr_free(). */
void dy_session_write(const dy_session_t *session, dy_moved_body_t *body,
		      uint64_t now_ms);

/* Note that session was used now. */
void dy_sessions_touch(dy_sessions_t *sessions, dy_session_t *session,
		       uint64_t now_ms);

/* Remove and free it. It may have no calls in progress. */
void dy_sessions_remove(dy_sessions_t *sessions, dy_session_t *session);

/*
 * Remove sessions that were idle for too long, at most `most` of them.
 * Returns their number. Those that were moved stay.
 */
unsigned dy_sessions_expire(dy_sessions_t *sessions, uint64_t now_ms,
			    unsigned most);

unsigned dy_sessions_count(const dy_sessions_t *sessions);
unsigned dy_sessions_cap(const dy_sessions_t *sessions);

/* Call each() for every session; it may change but not remove them. */
typedef void dy_sessions_each_cb_t(void *context, dy_session_t *session);
void dy_sessions_each(dy_sessions_t *sessions, dy_sessions_each_cb_t *each,
		      void *context);

#endif
