/*
 * Sessions that a leaving agent hands to its successors: internal, sealed.
 *
 * Tolerant of versions: a session stands in an opaque body whose fields are
 * only ever appended to. A reader passes over the bytes that it does not
 * know, and takes a field that an older sender left out for zero.
 */

const DY_HANDOVER_FORMAT = 1;
const DY_HANDOVER_SESSIONS = 32;	/* in one message */
const DY_HANDOVER_BODY_BYTES = 57344;	/* of one session */
const DY_HANDOVER_CALLS = 2048;
const DY_HANDOVER_ANSWERS = 8;
const DY_HANDOVER_RESULT_BYTES = 8800;
const DY_HANDOVER_CREDENTIAL_BYTES = 400;

/* Calls of consecutive xids with the same end. */
struct dy_moved_calls_t {
	unsigned int first;
	unsigned int last;
	unsigned int age_ms;	/* of the latest */
	unsigned int verdict;	/* a dy_verdict_t */
	unsigned int reason;	/* a dy_reason_t */
};

struct dy_moved_answer_t {
	unsigned int xid;
	unsigned int status;
	opaque results<DY_HANDOVER_RESULT_BYTES>;
};

struct dy_moved_body_t {
	unsigned int flavor;	/* of the caller's own credential */
	opaque credential<DY_HANDOVER_CREDENTIAL_BYTES>;
	unsigned hyper caller;	/* hash, for fairness */
	unsigned int idle_ms;
	dy_moved_calls_t calls<DY_HANDOVER_CALLS>;
	dy_moved_answer_t answers<DY_HANDOVER_ANSWERS>;
};

struct dy_moved_session_t {
	unsigned hyper id;
	opaque body<DY_HANDOVER_BODY_BYTES>;
};

struct dy_handover_t {
	unsigned int format;
	unsigned hyper service;
	unsigned hyper agent;		/* who hands over */
	unsigned hyper incarnation;
	unsigned hyper to_agent;
	unsigned hyper to_incarnation;
	dy_moved_session_t sessions<DY_HANDOVER_SESSIONS>;
};

enum dy_handover_status_t {
	DY_HANDOVER_OK = 0,
	DY_HANDOVER_STALE = 1,		/* not this agent and incarnation */
	DY_HANDOVER_LEFT = 2		/* it left; ask control for whom */
};

/*
 * Names the sessions that the successor has taken, be it now, by an earlier
 * message, or that it has handed on since; and those that it has not taken
 * and never will.
 */
struct dy_handover_result_t {
	dy_handover_status_t status;
	unsigned hyper agent;		/* to whom the message was sent */
	unsigned hyper incarnation;
	unsigned hyper sessions<DY_HANDOVER_SESSIONS>;
	unsigned hyper refused<DY_HANDOVER_SESSIONS>;	/* with LEFT */
};

/* Neither has a reply: TAKEN goes back to where MOVE came from. */
program DY_HANDOVER_PROGRAM {
	version DY_HANDOVER_V1 {
		void DY_HANDOVER_NULL(void) = 0;
		void DY_HANDOVER_MOVE(dy_handover_t) = 1;
		void DY_HANDOVER_TAKEN(dy_handover_result_t) = 2;
	} = 1;
} = 0x2A00D008;
