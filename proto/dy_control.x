/*
 * Interface of the controls for members and operators. Internal, sealed, over
 * UDP.
 */

#ifdef RPC_HDR
%#include "dy_wire.h"
#endif
#ifdef RPC_XDR
%#include "dy_wire.h"
#endif

const DY_DIGEST_BYTES = 32;		/* SHA-256 */
const DY_SALT_BYTES = 32;
const DY_DELTAS_MAX = 64;		/* in one poll result */
const DY_SUCCESSORS_MAX = 16;
const DY_PAGE_BYTES = 4096;		/* of a document */
const DY_CONTROLS_MAX = 16;
const DY_DOCUMENT_BYTES = 16777216;

/*
 * Bits of dy_poll_t.skips. DY_SKIP_ bits name the deltas that the member does
 * not use; the other bits skip nothing.
 */
const DY_SKIP_MEMBERS = 1;
const DY_SKIP_DOCUMENT = 2;
const DY_SKIP_KEYS = 4;
const DY_SKIP_ENDED = 8;	/* ended members that joined after its state */
const DY_SKIP_START = 16;	/* all, at version 0: it fetches an image */
const DY_FROM_IMAGE = 32;	/* state_version is that of an image */
const DY_TAKES_DOMAINS = 64;	/* it uses deltas of evacuated domains */

enum dy_member_kind_t {
	DY_MEMBER_BALANCER = 1,
	DY_MEMBER_AGENT = 2
};

enum dy_member_state_t {
	DY_MEMBER_JOINING = 1,
	DY_MEMBER_SERVING = 2,
	DY_MEMBER_DRAINING = 3,	/* accepts no new flow */
	DY_MEMBER_LEFT = 4,	/* handed its sessions to its successors */
	DY_MEMBER_SUSPECT = 5,	/* its lease expired; it may be alive */
	DY_MEMBER_DEAD = 6	/* replaced by a new incarnation, or removed */
};

/* Description of a member, sent in each of its polls. */
struct dy_member_info_t {
	dy_member_kind_t kind;
	string name<DY_NAME_BYTES>;
	string environment<DY_NAME_BYTES>;
	string domain<DY_NAME_BYTES>;
	dy_address_t address;		/* receives forwards or answers */
	string service<DY_NAME_BYTES>;	/* agents: announced by the target */
	string labels<DY_LABELS_BYTES>;
	unsigned int slots;
	unsigned int connections;
};

struct dy_poll_t {
	dy_member_info_t info;
	unsigned hyper boot;		/* greater at each start */
	unsigned hyper incarnation;	/* 0: not granted yet */
	unsigned hyper state_version;		/* of the state it applied */
	unsigned hyper document;	/* number of its document in force */
	dy_member_state_t state;	/* JOINING, SERVING, DRAINING, LEFT */
	unsigned hyper successors<DY_SUCCESSORS_MAX>;	/* with LEFT */
	unsigned int skips;	/* DY_SKIP_ and other bits above */
};

enum dy_delta_kind_t {
	DY_DELTA_DOCUMENT = 1,
	DY_DELTA_MEMBER = 2,
	DY_DELTA_KEY = 3,
	DY_DELTA_DOMAIN = 4
};

struct dy_document_info_t {
	string environment<DY_NAME_BYTES>;
	unsigned hyper number;
	opaque digest[DY_DIGEST_BYTES];
	unsigned int size;		/* bytes; fetched by page */
};

struct dy_member_t {
	unsigned hyper id;		/* hash of environment, kind and name */
	unsigned hyper incarnation;	/* log index of its join */
	dy_member_state_t state;
	dy_member_info_t info;
	unsigned hyper successors<DY_SUCCESSORS_MAX>;	/* incarnations */
};

/*
 * A token key. It is derived from the group's key file and this salt, so that
 * no message contains a key.
 */
struct dy_key_info_t {
	unsigned int id;
	opaque salt[DY_SALT_BYTES];
	bool active;			/* new tokens are signed with it */
	bool retired;			/* tokens signed with it are rejected */
};

/* A failure domain. While evacuated, its targets get no new flow. */
struct dy_domain_info_t {
	string name<DY_NAME_BYTES>;
	bool evacuated;
};

union dy_delta_t switch (dy_delta_kind_t kind) {
case DY_DELTA_DOCUMENT:
	dy_document_info_t document;
case DY_DELTA_MEMBER:
	dy_member_t member;
case DY_DELTA_KEY:
	dy_key_info_t key;
case DY_DELTA_DOMAIN:
	dy_domain_info_t domain;
};

enum dy_status_t {
	DY_STATUS_OK = 0,
	DY_STATUS_NOT_LEADER = 1,	/* retry at `leader` */
	DY_STATUS_UNAVAILABLE = 2,	/* no majority now */
	DY_STATUS_MALFORMED = 3,
	DY_STATUS_CONFLICT = 4,		/* another change has that number */
	DY_STATUS_NOT_TRIED = 5,	/* not yet in force in trial */
	DY_STATUS_NOT_FOUND = 6,
	DY_STATUS_SUPERSEDED = 7,	/* a newer incarnation has this name */
	DY_STATUS_NAME_TAKEN = 8	/* another live member has this name */
};

/*
 * Result of a poll, a linearizable read: a majority confirms the leader for
 * each one. The member applies the deltas in order and then has the state of
 * `state_version`. While `more` is set it polls again at once.
 */
struct dy_poll_result_t {
	dy_status_t status;
	dy_address_t leader;
	unsigned hyper incarnation;
	unsigned int lease_ms;
	unsigned int poll_ms;		/* interval until the next poll */
	unsigned hyper state_version;
	bool more;
	bool drain;			/* an operator drains this member */
	dy_delta_t deltas<DY_DELTAS_MAX>;
	dy_address_t controls<DY_CONTROLS_MAX>;	/* current controls */
};

struct dy_fetch_t {
	string environment<DY_NAME_BYTES>;
	opaque digest[DY_DIGEST_BYTES];
	opaque base[DY_DIGEST_BYTES];	/* document it holds; zero: none */
	unsigned int offset;
};

/*
 * A page of a document, as a difference to the base. The document is the first
 * `prefix` bytes of the base, then `size` fetched bytes, then the last `suffix`
 * bytes of the base. `prefix` and `suffix` are 0 if this control no longer has
 * the base.
 */
struct dy_fetch_result_t {
	dy_status_t status;
	unsigned int prefix;
	unsigned int suffix;
	unsigned int size;
	opaque page<DY_PAGE_BYTES>;
};

/*
 * Initial state for a member that has none: the live members of an
 * environment, its document and the keys at `state_version`. Any control
 * serves it, compressed, in pages of dy_fetch_t. The poll results of the leader
 * continue from that version and confirm it.
 */
struct dy_image_t {
	unsigned hyper state_version;
	dy_delta_t deltas<>;
};

struct dy_image_ask_t {
	string environment<DY_NAME_BYTES>;
};

/*
 * UNAVAILABLE: this control cannot tell yet which state the group
 * acknowledged.
 */
struct dy_image_result_t {
	dy_status_t status;
	dy_document_info_t info;	/* number: the state version */
};

/*
 * A page of a document. An operator first uploads all pages to the memory of
 * the leader, then submits the document by its digest. Number 0 in the change
 * requests the next number.
 */
struct dy_put_t {
	opaque digest[DY_DIGEST_BYTES];
	unsigned int size;
	unsigned int offset;
	opaque page<DY_PAGE_BYTES>;
};

enum dy_change_kind_t {
	DY_CHANGE_SUBMIT = 1,	/* put digest into force in environment */
	DY_CHANGE_PROMOTE = 2,	/* document of trial to production */
	DY_CHANGE_DRAIN = 3,	/* the member `name` */
	DY_CHANGE_ROTATE = 4,	/* the token key */
	DY_CHANGE_REMOVE = 5,	/* the member `name`, lost for good */
	DY_CHANGE_RAISE = 6,	/* as SUBMIT; any higher number is valid */
	DY_CHANGE_EVACUATE = 7,	/* no new flow to targets of domain `name` */
	DY_CHANGE_READMIT = 8	/* end the evacuation of `name` */
};

struct dy_change_t {
	dy_change_kind_t kind;
	opaque request[16];		/* request id; the same in a retry */
	string operator_name<DY_NAME_BYTES>;
	string environment<DY_NAME_BYTES>;
	unsigned hyper number;
	opaque digest[DY_DIGEST_BYTES];
	string name<DY_NAME_BYTES>;
};

struct dy_change_result_t {
	dy_status_t status;
	dy_address_t leader;
	unsigned hyper number;
	opaque digest[DY_DIGEST_BYTES];	/* with CONFLICT: of the winner */
	string operator_name<DY_NAME_BYTES>;	/* with CONFLICT: the same */
	string message<256>;
};

/* State as lines of key=value pairs, one per item, from line number `from`. */
struct dy_inspect_t {
	unsigned int from;
};

struct dy_inspect_result_t {
	dy_status_t status;
	dy_address_t leader;
	bool more;
	string lines<4096>;		/* newline separated */
};

program DY_CONTROL_PROGRAM {
	version DY_CONTROL_V1 {
		void DY_CONTROL_NULL(void) = 0;
		dy_poll_result_t DY_CONTROL_POLL(dy_poll_t) = 1;
		dy_fetch_result_t DY_CONTROL_FETCH(dy_fetch_t) = 2;
		dy_status_t DY_CONTROL_PUT(dy_put_t) = 3;
		dy_change_result_t DY_CONTROL_CHANGE(dy_change_t) = 4;
		dy_inspect_result_t DY_CONTROL_INSPECT(dy_inspect_t) = 5;
		dy_image_result_t DY_CONTROL_IMAGE(dy_image_ask_t) = 6;
	} = 1;
} = 0x2A00D006;

/* Served by every process: its counters, one line of key=value pairs each. */
program DY_STATUS_PROGRAM {
	version DY_STATUS_V1 {
		void DY_STATUS_NULL(void) = 0;
		dy_inspect_result_t DY_STATUS_COUNTERS(dy_inspect_t) = 1;
	} = 1;
} = 0x2A00D007;

/* The sender is the leader and requests a poll from the member now. */
struct dy_invite_t {
	dy_address_t leader;
};

/* Served by every member; no reply. */
program DY_MEMBER_PROGRAM {
	version DY_MEMBER_V1 {
		void DY_MEMBER_INVITE(dy_invite_t) = 1;
	} = 1;
} = 0x2A00D00D;
