/*
 * Handover of sessions from a leaving agent to its successors. Internal,
 * sealed.
 *
 * Versions can be mixed: a session is an opaque body to which fields are only
 * appended. A reader ignores trailing bytes that it does not know, and reads a
 * field that an older sender left out as zero.
 */

const DY_HANDOVER_FORMAT = 1;
const DY_HANDOVER_SESSIONS = 32;	/* in one message */
const DY_HANDOVER_BODY_BYTES = 57344;	/* of one session */
const DY_HANDOVER_CALLS = 2048;
const DY_HANDOVER_ANSWERS = 8;
const DY_HANDOVER_RESULT_BYTES = 8800;
const DY_HANDOVER_CREDENTIAL_BYTES = 400;

/* Calls with consecutive xids and the same outcome. */
struct dy_moved_calls_t {
	unsigned int first;
	unsigned int last;
	unsigned int age_ms;	/* of the latest call */
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
	unsigned hyper caller;	/* hash of the caller, for fairness */
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
	unsigned hyper agent;		/* the sender */
	unsigned hyper incarnation;
	unsigned hyper to_agent;
	unsigned hyper to_incarnation;
	dy_moved_session_t sessions<DY_HANDOVER_SESSIONS>;
};

enum dy_handover_status_t {
	DY_HANDOVER_OK = 0,
	DY_HANDOVER_STALE = 1,		/* another agent or incarnation */
	DY_HANDOVER_LEFT = 2		/* it left; ask control for successors */
};

/*
 * Acknowledgement of a handover. `sessions` are those that the successor
 * accepted, by this or an earlier message, also if it handed them on since.
 * `refused` are those that it did not accept and never will.
 */
struct dy_handover_result_t {
	dy_handover_status_t status;
	unsigned hyper agent;		/* to which the message was sent */
	unsigned hyper incarnation;
	unsigned hyper sessions<DY_HANDOVER_SESSIONS>;
	unsigned hyper refused<DY_HANDOVER_SESSIONS>;	/* with LEFT */
};

/* Neither call has a reply. TAKEN is sent to the sender of MOVE. */
program DY_HANDOVER_PROGRAM {
	version DY_HANDOVER_V1 {
		void DY_HANDOVER_NULL(void) = 0;
		void DY_HANDOVER_MOVE(dy_handover_t) = 1;
		void DY_HANDOVER_TAKEN(dy_handover_result_t) = 2;
	} = 1;
} = 0x2A00D008;
