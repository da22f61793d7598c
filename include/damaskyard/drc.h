#ifndef DAMASKYARD_DRC_H
#define DAMASKYARD_DRC_H

/*
 * Duplicate request cache: what became of the non-idempotent calls of one
 * session, by xid, so that a copy of a call is told apart from a new call.
 *
 * Failure guarded against: a reading or an edit is stored twice, because its
 * datagram was sent again by the caller or doubled by the network. It holds
 * because each non-idempotent call is entered before it is queued, is kept
 * for DY_RETRANSMIT_WINDOW_MS after its end, whatever that was, and a refused
 * call is kept like one that ran.
 *
 * Only the answers of the latest few calls are kept whole; an older one is
 * kept as its verdict. Calls of consecutive xids with the same end, as an
 * ordinary client makes them, share one entry of 24 bytes: a session that
 * streams all night takes some hundred bytes.
 *
 * Pure: the clock is passed in, in milliseconds, monotonic.
 */

#include <stddef.h>
#include <stdint.h>

#include "dy_caller.h"
#include "dy_handover.h"

/*
 * Entries from which on new calls are refused. Only a caller that takes its
 * xids at random needs more than a few: 1,024 let it make 8 calls a second.
 */
#define DY_DRC_ENTRIES 1024

/*
 * Entries in all. Refusals of calls beyond DY_DRC_ENTRIES are recorded up to
 * here, so that a late copy of one does not run. Beyond, a call is dropped
 * without an answer: it was never told that it did not run.
 */
#define DY_DRC_ENTRIES_MAX 2048

/* Whole answers kept, and their bytes at most (always at least one). */
#define DY_DRC_ANSWERS 4
#define DY_DRC_ANSWER_BYTES 12288

typedef struct dy_drc dy_drc_t;

typedef enum dy_drc_state {
	DY_DRC_NEW,	    /* never seen */
	DY_DRC_IN_PROGRESS, /* queued or with the target */
	DY_DRC_ANSWERED,    /* ran; its whole answer is here */
	DY_DRC_ENDED	    /* refused, or ran and its answer is gone */
} dy_drc_state_t;

typedef struct dy_drc_found {
	dy_drc_state_t state;
	uint32_t status; /* ANSWERED: accept_stat */
	const uint8_t *results;
	size_t results_len;
	dy_refusal_t refusal; /* ENDED: what a copy is told */
} dy_drc_found_t;

typedef enum dy_drc_begin_result {
	DY_DRC_OK,
	DY_DRC_FULL,	/* entered, and to be refused: see dy_drc_refuse() */
	DY_DRC_OVERFLOW /* not entered: drop the call without an answer */
} dy_drc_begin_result_t;

dy_drc_t *dy_drc_create(void);
void dy_drc_destroy(dy_drc_t *drc);

/*
 * Find a call. found is filled; its results stay valid until the next change
 * of drc. drc may be NULL: nothing is in it.
 */
dy_drc_state_t dy_drc_find(const dy_drc_t *drc, uint32_t xid,
			   dy_drc_found_t *found);

/*
 * Enter a call that was never seen, before anything is done with it. On
 * DY_DRC_FULL, *retry_after_ms is when the oldest entry ends.
 */
dy_drc_begin_result_t dy_drc_begin(dy_drc_t *drc, uint32_t xid, uint64_t now_ms,
				   uint32_t *retry_after_ms);

/*
 * Note that the call is handed to the target. Aborts the process if it was
 * before: at most one run of each (session, xid).
 */
void dy_drc_start(dy_drc_t *drc, uint32_t xid);

/*
 * End a call that is in progress: with its answer, or as refused. A copy of
 * it gets the same from then on.
 */
void dy_drc_answer(dy_drc_t *drc, uint32_t xid, uint32_t status,
		   const uint8_t *results, size_t len, uint64_t now_ms);
void dy_drc_refuse(dy_drc_t *drc, uint32_t xid, const dy_refusal_t *refusal,
		   uint64_t now_ms);

/* Drop entries that ended DY_RETRANSMIT_WINDOW_MS ago or earlier. */
void dy_drc_expire(dy_drc_t *drc, uint64_t now_ms);

/* Returns the number of entries; drc may be NULL. */
unsigned dy_drc_count(const dy_drc_t *drc);

/*
 * Write the cache into a handover's body: its arrays are allocated with
 * g_new() and owned by the caller. No call may be in progress.
 */
void dy_drc_write(const dy_drc_t *drc, dy_moved_body_t *body, uint64_t now_ms);

/*
 * Create a cache from a handover's body. Returns NULL if that is malformed:
 * entries out of order or over their bounds.
 */
dy_drc_t *dy_drc_load(const dy_moved_body_t *body, uint64_t now_ms);

#endif
