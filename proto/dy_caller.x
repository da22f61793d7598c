/*
 * Interface for callers. Public and optional.
 *
 * An ordinary ONC RPC client does not need it: it gets PROG_UNAVAIL for a call
 * that did not run and SYSTEM_ERR for a call that may have run. The verifier
 * of such a reply holds the reason and the time after which to retry.
 */

/* Flavor of the verifier in a refusal; its body is a dy_refusal_t. */
const DY_AUTH_VERDICT = 0x64790001;

enum dy_verdict_t {
	DY_RAN = 0,
	DY_NOT_RUN = 1,
	DY_MAY_HAVE_RUN = 2
};

enum dy_reason_t {
	DY_REASON_NONE = 0,
	DY_REASON_NOT_READY = 1,	/* balancer has no current document */
	DY_REASON_NO_TARGET = 2,	/* no target can take the call now */
	DY_REASON_OVERLOAD = 3,		/* the queue is full */
	DY_REASON_DEADLINE = 4,		/* cannot or did not finish in time */
	DY_REASON_SHED = 5,		/* the target reported it as not run */
	DY_REASON_CANCELLED = 6,
	DY_REASON_TARGET_LOST = 7,	/* the target or its agent was lost */
	DY_REASON_TOO_LARGE = 8,
	DY_REASON_SESSION_LIMIT = 9,	/* too many calls or sessions */
	DY_REASON_BAD_ANSWER = 10,	/* the target's answer was malformed */
	DY_REASON_DRAINING = 11,
	DY_REASON_UNKNOWN_SESSION = 12,
	DY_REASON_DUPLICATE = 13,	/* a retransmission; answer not kept */
	DY_REASON_UNKNOWN_PROGRAM = 14	/* not a program of the service */
};

struct dy_refusal_t {
	dy_verdict_t verdict;
	dy_reason_t reason;
	unsigned int retry_after_ms;
};

/*
 * Served at every service address. The credential must hold the token of the
 * session that made the call.
 */
program DY_CALLER_PROGRAM {
	version DY_CALLER_V1 {
		void DY_CALLER_NULL(void) = 0;
		/* Cancels the call with that xid; returns its outcome. */
		dy_refusal_t DY_CALLER_CANCEL(unsigned int) = 1;
	} = 1;
} = 0x2A00D001;
