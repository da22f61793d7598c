#ifndef DAMASKYARD_DRC_H
#define DAMASKYARD_DRC_H

/*
 * Duplicate request cache: the state of the non-idempotent calls of one
 * session, by xid. It distinguishes a duplicate of a call from a new call.
 *
 * Failure guarded against: a reading or an edit is stored twice because the
 * caller retransmitted its datagram or the network duplicated it. Three rules
 * prevent this: each non-idempotent call is entered before it is queued; it is
 * kept for DY_RETRANSMIT_WINDOW_MS after its end, whatever the outcome; and a
 * refused call is kept like one that ran.
 *
 * Only the latest few answers are kept in full; of an older call only the
 * verdict is kept. Calls with consecutive xids and the same outcome, as an
 * ordinary caller makes them, share one entry of 24 bytes, so a session that
 * streams all night takes some hundred bytes.
 *
 * The caller passes in the clock, in milliseconds, monotonic.
 */

#include <stddef.h>
#include <stdint.h>

#include "dy_caller.h"
#include "dy_handover.h"

/*
 * Number of entries from which on new calls are refused. Only a caller with
 * random xids needs more than a few: 1,024 allow it 8 calls per second.
 */
#define DY_DRC_ENTRIES 1024

/*
 * Maximum number of entries. Refusals of calls beyond DY_DRC_ENTRIES are
 * recorded up to this number, so that a late duplicate of one does not run.
 * Beyond it a call is dropped without an answer: its caller was never told "not
 * run".
 */
#define DY_DRC_ENTRIES_MAX 2048

/*
 * Maximum number of full answers, and of their bytes. The latest answer is kept
 * even if it is larger.
 */
#define DY_DRC_ANSWERS 4
#define DY_DRC_ANSWER_BYTES 12288

typedef struct dy_drc dy_drc_t;

typedef enum dy_drc_state {
	DY_DRC_NEW,	    /* never seen */
	DY_DRC_IN_PROGRESS, /* queued or sent to the target */
	DY_DRC_ANSWERED,    /* ran; the full answer is available */
	DY_DRC_ENDED	    /* refused, or ran and its answer was evicted */
} dy_drc_state_t;

typedef struct dy_drc_found {
	dy_drc_state_t state;
	uint32_t status; /* DY_DRC_ANSWERED: accept_stat */
	const uint8_t *results;
	size_t results_len;
	dy_refusal_t refusal; /* DY_DRC_ENDED: reply to a duplicate */
} dy_drc_found_t;

typedef enum dy_drc_begin_result {
	DY_DRC_OK,
	DY_DRC_FULL,	/* entered, but refuse it by dy_drc_refuse() */
	DY_DRC_OVERFLOW /* not entered: drop the call, no answer */
} dy_drc_begin_result_t;

/* Creates an empty cache. Never fails. */
dy_drc_t *dy_drc_create(void);

/* Frees a cache. NULL is allowed. */
void dy_drc_destroy(dy_drc_t *drc);

/*
 * Looks up a call and returns its state. Fills *found; its results stay valid
 * until drc changes. drc may be NULL, which is an empty cache.
 */
dy_drc_state_t dy_drc_find(const dy_drc_t *drc, uint32_t xid,
			   dy_drc_found_t *found);

/*
 * Enters a new call, before anything else is done with it. On DY_DRC_FULL,
 * *retry_after_ms is the time in ms until the oldest entry expires.
 */
dy_drc_begin_result_t dy_drc_begin(dy_drc_t *drc, uint32_t xid, uint64_t now_ms,
				   uint32_t *retry_after_ms);

/*
 * Marks the call as sent to the target. Aborts the process if it was sent
 * before: each (session, xid) runs at most once.
 */
void dy_drc_start(dy_drc_t *drc, uint32_t xid);

/*
 * Ends a call that is in progress: with its answer, or as refused. Duplicates
 * get the same reply from then on. The results are copied.
 */
void dy_drc_answer(dy_drc_t *drc, uint32_t xid, uint32_t status,
		   const uint8_t *results, size_t len, uint64_t now_ms);
void dy_drc_refuse(dy_drc_t *drc, uint32_t xid, const dy_refusal_t *refusal,
		   uint64_t now_ms);

/* Drops entries that ended DY_RETRANSMIT_WINDOW_MS ago or earlier. */
void dy_drc_expire(dy_drc_t *drc, uint64_t now_ms);

/* Returns the number of entries; drc may be NULL. */
unsigned dy_drc_count(const dy_drc_t *drc);

/*
 * Writes the cache into a handover's body. Its arrays are allocated with
 * g_new() and owned by the caller. No call may be in progress. drc may be NULL.
 */
void dy_drc_write(const dy_drc_t *drc, dy_moved_body_t *body, uint64_t now_ms);

/*
 * Creates a cache from a handover's body. Returns NULL if the body is
 * malformed: entries out of order or out of bounds.
 */
dy_drc_t *dy_drc_load(const dy_moved_body_t *body, uint64_t now_ms);

#endif
