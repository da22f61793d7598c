#ifndef DAMASKYARD_VERDICT_H
#define DAMASKYARD_VERDICT_H

/*
 * The verdict that a caller receives for its call, by the stage of the call and
 * the event that ended it. All verdicts are decided here.
 *
 * The table follows one rule: the verdict is DY_NOT_RUN only if no byte of the
 * call has been handed to the target's socket, or if the target itself reports
 * that it did not and will not run the call. A byte that was handed over may
 * arrive even if the connection fails.
 */

#include "dy_caller.h"

/* Stage of a call. */
typedef enum dy_call_stage {
	DY_STAGE_RECEIVED, /* received, not yet admitted */
	DY_STAGE_QUEUED,   /* waits for a slot */
	DY_STAGE_ADMITTED, /* has a slot; nothing handed to the socket */
	DY_STAGE_SENT,	   /* handed to the socket, in part or whole */
	DY_STAGE_DONE,	   /* its outcome is final */
	DY_STAGES
} dy_call_stage_t;

/* Event that affects a call. */
typedef enum dy_call_event {
	DY_EVENT_ANSWERED,	 /* SUCCESS: the target's own answer */
	DY_EVENT_ANSWERED_ERROR, /* GARBAGE_ARGS, PROC_UNAVAIL, PROG_MISMATCH */
	DY_EVENT_ANSWERED_FAULT, /* SYSTEM_ERR, or PROG_UNAVAIL by itself */
	DY_EVENT_DENIED,	 /* the target refused the credential */
	DY_EVENT_SHED_NOT_RUN,	 /* the target's verifier: not run */
	DY_EVENT_SHED_MAY_HAVE_RUN, /* the target's verifier: may have run */
	DY_EVENT_BAD_ANSWER,	    /* malformed, or for another call */
	DY_EVENT_ANSWER_TOO_LARGE,
	DY_EVENT_TARGET_LOST,	 /* connection, target or lease lost */
	DY_EVENT_DEADLINE,	 /* deadline passed or cannot be met */
	DY_EVENT_OVERLOAD,	 /* refused by admission */
	DY_EVENT_CANCEL,	 /* cancelled by the caller */
	DY_EVENT_CANCEL_GRANTED, /* the target confirms: not run */
	DY_EVENT_STOPPING,	 /* the agent stops and can wait no longer */
	DY_EVENTS
} dy_call_event_t;

typedef struct dy_decision {
	/* 1: the call ends now; 0: it continues as before. */
	int final;
	/* 1: the target's own answer is forwarded to the caller. */
	int forward_answer;
	dy_verdict_t verdict;
	dy_reason_t reason;
} dy_decision_t;

/*
 * Decides the outcome of a call. An event that does not end the call (any event
 * at DY_STAGE_DONE, a cancellation of a call that was sent to the target) is
 * not final; its verdict and reason are then the reply to the request for the
 * cancellation.
 *
 * An answer to a call that was never sent is not an answer to it, and the call
 * continues.
 */
dy_decision_t dy_verdict_decide(dy_call_stage_t stage, dy_call_event_t event);

#endif
