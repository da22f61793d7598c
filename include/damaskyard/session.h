#ifndef DAMASKYARD_SESSION_H
#define DAMASKYARD_SESSION_H

/*
 * The agent's table of sessions: one session for each flow that a caller keeps
 * open, possibly for hours.
 *
 * A session takes 191 bytes with an AUTH_SYS credential of 40 bytes, its entry
 * in the table included (tests/test_session.c). From its first non-idempotent
 * call on it also has a duplicate request cache, about 200 bytes for an
 * ordinary caller.
 *
 * The functions have no side effects outside the table. The clock is passed in,
 * in ms, and is monotonic.
 */

#include <stddef.h>
#include <stdint.h>

#include "damaskyard/address.h"
#include "damaskyard/drc.h"
#include "damaskyard/list.h"
#include "damaskyard/rpc.h"

/* State of a session in its handover to a successor. */
typedef enum dy_session_state {
	DY_SESSION_LOCAL,    /* served by this agent */
	DY_SESSION_CLOSING,  /* its last calls complete; new ones are dropped */
	DY_SESSION_MOVED,    /* sent to the successor; never run here again */
	DY_SESSION_ACCEPTED, /* the successor acknowledged it */
	DY_SESSION_LOST	     /* moved, but the successor died first */
} dy_session_state_t;

typedef struct dy_session {
	uint64_t id;
	uint64_t caller; /* hash of the caller */
	uint64_t last_use_ms;
	uint64_t handover_sent_ms; /* of the last handover message */
	uint64_t successor;	   /* member id, once moved */
	uint64_t successor_incarnation;
	dy_list_t lru_link; /* in the table's LRU list */
	dy_list_t calls;    /* in progress, managed by the user of the table */
	dy_drc_t *drc;	    /* NULL before the first non-idempotent call */
	uint8_t *credential;
	uint16_t credential_len;
	uint16_t call_count; /* length of calls */
	uint32_t flavor;     /* of the caller's own credential */
	uint32_t key_id;     /* of the last token sent */
	uint8_t state;	     /* a dy_session_state_t */
	uint8_t received;    /* through a handover */
	uint8_t transient;   /* for one call only; another agent owns it */
	uint8_t refused; /* the successor has not accepted it and never will */
	uint8_t handover_attempts; /* handover messages sent, at most 255 */
} dy_session_t;

typedef struct dy_sessions dy_sessions_t;

/*
 * Creates a table of at most cap sessions; only sessions that are received by
 * handover may exceed cap. A session expires after idle_ms without a call.
 * idle_ms is raised to DY_RETRANSMIT_WINDOW_MS, because a session must outlive
 * the retransmissions of its calls. seed must be random and new at each start:
 * session ids derive from it.
 */
dy_sessions_t *dy_sessions_create(unsigned cap, uint64_t idle_ms,
				  uint64_t seed);
/* Frees the table and all its sessions; NULL is allowed. */
void dy_sessions_destroy(dy_sessions_t *sessions);

/*
 * Changes the limits of dy_sessions_create(). Sessions above a lower cap stay.
 */
void dy_sessions_set_limits(dy_sessions_t *sessions, unsigned cap,
			    uint64_t idle_ms);

/* Returns the session with this id, or NULL. It belongs to the table. */
dy_session_t *dy_sessions_find(const dy_sessions_t *sessions, uint64_t id);

/*
 * Returns the id of the session that a call without a token opens: a hash of
 * the caller's address and the xid, seeded per table. A retransmission of the
 * opening call thus finds the session that the first transmission opened.
 */
uint64_t dy_sessions_opening_id(const dy_sessions_t *sessions,
				const dy_address_t *caller, uint32_t xid);

/*
 * Returns the hash that identifies a caller as the owner of its sessions: of
 * its IP address and, for AUTH_SYS, its credential without the stamp.
 */
uint64_t dy_sessions_caller_hash(const dy_sessions_t *sessions,
				 const dy_address_t *address,
				 const dy_rpc_auth_t *credential);

/*
 * Opens a session with the given id, which must not exist yet. caller is the
 * hash of dy_sessions_caller_hash(); credential is copied. Returns NULL if the
 * table is full.
 */
dy_session_t *dy_sessions_open(dy_sessions_t *sessions, uint64_t id,
			       uint64_t caller, const dy_rpc_auth_t *credential,
			       uint64_t now_ms);

/*
 * Adds a session that another agent handed over; body is copied. It is added
 * even above the cap, because a planned change must not break a flow. Returns
 * NULL if body is malformed.
 */
dy_session_t *dy_sessions_receive(dy_sessions_t *sessions, uint64_t id,
				  const dy_moved_body_t *body, uint64_t now_ms);

/* Fills body with the handover data of session. Free it with xdr_free(). */
void dy_session_write(const dy_session_t *session, dy_moved_body_t *body,
		      uint64_t now_ms);

/* Records that session is used at now_ms. */
void dy_sessions_touch(dy_sessions_t *sessions, dy_session_t *session,
		       uint64_t now_ms);

/* Removes and frees session, which must have no calls in progress. */
void dy_sessions_remove(dy_sessions_t *sessions, dy_session_t *session);

/*
 * Removes expired sessions, at most max of them, and returns their number.
 * Sessions in a handover and sessions with calls in progress stay.
 */
unsigned dy_sessions_expire(dy_sessions_t *sessions, uint64_t now_ms,
			    unsigned max);

/* Returns the number of sessions. */
unsigned dy_sessions_count(const dy_sessions_t *sessions);
/* Returns the current cap. */
unsigned dy_sessions_cap(const dy_sessions_t *sessions);

/*
 * Calls each() for every session. each() may change a session but not remove
 * it.
 */
typedef void dy_sessions_each_cb_t(void *context, dy_session_t *session);
void dy_sessions_each(dy_sessions_t *sessions, dy_sessions_each_cb_t *each,
		      void *context);

#endif
