/*
 * What a caller may read and ask: public.
 *
 * A caller needs none of this: an ordinary ONC RPC client gets PROG_UNAVAIL
 * for a call that did not run and SYSTEM_ERR for one that may have run.
 * A caller that reads the verifier of such a reply learns why, and when to
 * come back.
 */

/* Flavor of the verifier of a refusal; its body is a dy_refusal_t. */
const DY_AUTH_VERDICT = 0x64790001;

enum dy_verdict_t {
	DY_RAN = 0,
	DY_NOT_RUN = 1,
	DY_MAY_HAVE_RUN = 2
};

enum dy_reason_t {
	DY_REASON_NONE = 0,
	DY_REASON_NOT_READY = 1,	/* balancer without a current document */
	DY_REASON_NO_TARGET = 2,	/* no target may take the call now */
	DY_REASON_OVERLOAD = 3,		/* the queue is full */
	DY_REASON_DEADLINE = 4,		/* cannot finish, or did not, in time */
	DY_REASON_SHED = 5,		/* the target said that it did not run */
	DY_REASON_CANCELLED = 6,
	DY_REASON_TARGET_LOST = 7,	/* the target or its agent is gone */
	DY_REASON_TOO_LARGE = 8,
	DY_REASON_SESSION_LIMIT = 9,	/* too many calls or sessions */
	DY_REASON_BAD_ANSWER = 10,	/* the target's answer was malformed */
	DY_REASON_DRAINING = 11,
	DY_REASON_UNKNOWN_SESSION = 12,
	DY_REASON_DUPLICATE = 13,	/* a copy whose answer is gone */
	DY_REASON_UNKNOWN_PROGRAM = 14	/* not what the service offers */
};

struct dy_refusal_t {
	dy_verdict_t verdict;
	dy_reason_t reason;
	unsigned int retry_after_ms;
};

/*
 * Served at every service address; the credential must hold the token of
 * the session whose call is meant.
 */
program DY_CALLER_PROGRAM {
	version DY_CALLER_V1 {
		void DY_CALLER_NULL(void) = 0;
		/* Cancel the call of that xid; says what became of it. */
		dy_refusal_t DY_CALLER_CANCEL(unsigned int) = 1;
	} = 1;
} = 0x2A00D001;
