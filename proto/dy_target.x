/*
 * Interface between a target and the agent beside it. Public.
 */

/*
 * Flavor of the verifier in a call to a target; its body is a dy_call_info_t.
 * An ordinary ONC RPC server ignores it.
 */
const DY_AUTH_CALL_INFO = 0x64790002;

struct dy_call_info_t {
	unsigned hyper session;
	unsigned int xid;		/* as the caller sent it */
	unsigned int remaining_ms;	/* until the deadline */
};

/* A target announces itself to its agent with this message. */
struct dy_announcement_t {
	string service<64>;
	string labels<256>;		/* key=value,key=value */
	string address<64>;		/* IP:PORT, TCP */
	unsigned int slots;		/* concurrent calls */
	unsigned int connections;	/* concurrent sessions */
	unsigned hyper incarnation;	/* greater at each start */
	bool cold;
	bool draining;
	bool takes_cancel;		/* serves DY_TARGET_PROGRAM too */
};

enum dy_announce_status_t {
	DY_ANNOUNCE_OK = 0,
	DY_ANNOUNCE_MALFORMED = 1,
	DY_ANNOUNCE_OTHER_SERVICE = 2,	/* the agent serves another target */
	DY_ANNOUNCE_STALE = 3		/* an older incarnation */
};

struct dy_announce_result_t {
	dy_announce_status_t status;
	unsigned int lease_ms;		/* announce again well before it ends */
};

/* Served by the agent over UDP, without credentials, on its own VM only. */
program DY_ANNOUNCE_PROGRAM {
	version DY_ANNOUNCE_V1 {
		void DY_ANNOUNCE_NULL(void) = 0;
		dy_announce_result_t DY_ANNOUNCE(dy_announcement_t) = 1;
	} = 1;
} = 0x2A00D002;

struct dy_cancel_call_t {
	unsigned hyper session;
	unsigned int xid;
};

/* Served by a target that sets takes_cancel. TRUE: the call did not run. */
program DY_TARGET_PROGRAM {
	version DY_TARGET_V1 {
		void DY_TARGET_NULL(void) = 0;
		bool DY_TARGET_CANCEL(dy_cancel_call_t) = 1;
	} = 1;
} = 0x2A00D003;
