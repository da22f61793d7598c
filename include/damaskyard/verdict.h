#ifndef DAMASKYARD_VERDICT_H
#define DAMASKYARD_VERDICT_H

/*
 * What a caller is told of its call, by how far the call had come and what
 * happened to it. The one place where that is decided.
 *
 * The rule behind the table: DY_NOT_RUN is said only while no byte of the
 * call has been handed to the target's socket, or when the target itself
 * says that it did not and will not run it. A byte that was handed over may
 * arrive whatever becomes of the connection.
 */

#include "dy_caller.h"

/* How far a call has come. */
typedef enum dy_call_stage {
	DY_STAGE_RECEIVED, /* read, not yet admitted */
	DY_STAGE_QUEUED,   /* waits for a slot */
	DY_STAGE_ADMITTED, /* has a slot; no byte is handed to the socket */
	DY_STAGE_SENT,	   /* handed to the socket, in part or whole */
	DY_STAGE_DONE,	   /* its outcome stands */
	DY_STAGES
} dy_call_stage_t;

/* What happened to it. */
typedef enum dy_call_event {
	DY_EVENT_ANSWERED,	 /* SUCCESS: the target's own answer */
	DY_EVENT_ANSWERED_ERROR, /* GARBAGE_ARGS, PROC_UNAVAIL, PROG_MISMATCH */
	DY_EVENT_ANSWERED_FAULT, /* SYSTEM_ERR, or PROG_UNAVAIL by itself */
	DY_EVENT_DENIED,	 /* the target refused the credential */
	DY_EVENT_SHED_NOT_RUN,	 /* the target's verifier says: not run */
	DY_EVENT_SHED_MAY_HAVE_RUN, /* the target's verifier says: may have run
				     */
	DY_EVENT_BAD_ANSWER,	    /* malformed, or to another call */
	DY_EVENT_ANSWER_TOO_LARGE,
	DY_EVENT_TARGET_LOST,	 /* connection, target or its lease is gone */
	DY_EVENT_DEADLINE,	 /* too late to be of use */
	DY_EVENT_OVERLOAD,	 /* admission refused it */
	DY_EVENT_CANCEL,	 /* the caller asks for it */
	DY_EVENT_CANCEL_GRANTED, /* the target says that it did not run */
	DY_EVENT_STOPPING,	 /* the agent ends and can wait no longer */
	DY_EVENTS
} dy_call_event_t;

typedef struct dy_decision {
	/* The call has its outcome now; else it goes on as it was. */
	int final;
	/* The target's own answer is passed on. */
	int forward_answer;
	dy_verdict_t verdict;
	dy_reason_t reason;
} dy_decision_t;

/*
 * Decide. An event that ends nothing (any at DY_STAGE_DONE; a cancellation
 * of a call that the target has) is not final; its verdict and reason are
 * then what the one who asked for the cancellation is told.
 *
 * An answer to a call that was never sent is no answer to it, and the call
 * goes on.
 */
dy_decision_t dy_verdict_decide(dy_call_stage_t stage, dy_call_event_t event);

#endif
