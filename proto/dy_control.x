/*
 * Between control and everyone else: internal, sealed, over UDP.
 */

#ifdef RPC_HDR
%#include "dy_wire.h"
#endif
#ifdef RPC_XDR
%#include "dy_wire.h"
#endif

const DY_DIGEST_BYTES = 32;		/* SHA-256 */
const DY_SALT_BYTES = 32;
const DY_DELTAS_MAX = 64;		/* in one answer to a poll */
const DY_SUCCESSORS_MAX = 16;
const DY_PAGE_BYTES = 4096;		/* of a document */
const DY_CONTROLS_MAX = 16;
const DY_DOCUMENT_BYTES = 16777216;

const DY_SKIP_MEMBERS = 1;
const DY_SKIP_DOCUMENT = 2;
const DY_SKIP_KEYS = 4;
const DY_SKIP_ENDED = 8;	/* members that ended before it heard of them */
const DY_SKIP_START = 16;	/* all, at version 0: it fetches an image */
const DY_FROM_IMAGE = 32;	/* skips nothing: state_version is an image's */
const DY_TAKES_DOMAINS = 64;	/* skips nothing: is told of evacuated domains */

enum dy_member_kind_t {
	DY_MEMBER_BALANCER = 1,
	DY_MEMBER_AGENT = 2
};

enum dy_member_state_t {
	DY_MEMBER_JOINING = 1,
	DY_MEMBER_SERVING = 2,
	DY_MEMBER_DRAINING = 3,	/* takes no new flow */
	DY_MEMBER_LEFT = 4,	/* handed its sessions to the successors */
	DY_MEMBER_SUSPECT = 5,	/* its lease ran out; it may be alive */
	DY_MEMBER_DEAD = 6	/* replaced by a newer incarnation, or removed */
};

/* What a member says of itself in every poll. */
struct dy_member_info_t {
	dy_member_kind_t kind;
	string name<DY_NAME_BYTES>;
	string environment<DY_NAME_BYTES>;
	string domain<DY_NAME_BYTES>;
	dy_address_t address;		/* where forwards or answers arrive */
	string service<DY_NAME_BYTES>;	/* agents: what its target announced */
	string labels<DY_LABELS_BYTES>;
	unsigned int slots;
	unsigned int connections;
};

struct dy_poll_t {
	dy_member_info_t info;
	unsigned hyper boot;		/* new at each start, greater than before */
	unsigned hyper incarnation;	/* 0: not granted yet */
	unsigned hyper state_version;		/* state applied up to here */
	unsigned hyper document;	/* number of the document in force here */
	dy_member_state_t state;	/* JOINING, SERVING, DRAINING, LEFT */
	unsigned hyper successors<DY_SUCCESSORS_MAX>;	/* with LEFT */
	unsigned int skips;	/* what it has no use for, DY_SKIP_ bits */
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
	unsigned hyper incarnation;	/* log index of its joining */
	dy_member_state_t state;
	dy_member_info_t info;
	unsigned hyper successors<DY_SUCCESSORS_MAX>;	/* incarnations */
};

/*
 * A token key is derived from the group's key file and this salt, so that
 * no key ever stands in a message.
 */
struct dy_key_info_t {
	unsigned int id;
	opaque salt[DY_SALT_BYTES];
	bool active;			/* tokens are made with it */
	bool retired;			/* no longer accepted */
};

/* A failure domain whose targets take new flows, or take none. */
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
	DY_STATUS_NOT_LEADER = 1,	/* ask `leader` */
	DY_STATUS_UNAVAILABLE = 2,	/* no majority just now */
	DY_STATUS_MALFORMED = 3,
	DY_STATUS_CONFLICT = 4,		/* another change has that number */
	DY_STATUS_NOT_TRIED = 5,	/* not yet in force in trial */
	DY_STATUS_NOT_FOUND = 6,
	DY_STATUS_SUPERSEDED = 7,	/* a newer incarnation has this name */
	DY_STATUS_NAME_TAKEN = 8	/* a live member elsewhere has this name */
};

/*
 * Given only after a majority has confirmed the leader for this very read.
 * A member applies deltas in order and then stands at `state_version`; while
 * `more` is set it polls again at once.
 */
struct dy_poll_result_t {
	dy_status_t status;
	dy_address_t leader;
	unsigned hyper incarnation;
	unsigned int lease_ms;
	unsigned int poll_ms;		/* poll again after this */
	unsigned hyper state_version;
	bool more;
	bool drain;			/* an operator wants this member out */
	dy_delta_t deltas<DY_DELTAS_MAX>;
	dy_address_t controls<DY_CONTROLS_MAX>;	/* the group as it is now */
};

struct dy_fetch_t {
	string environment<DY_NAME_BYTES>;
	opaque digest[DY_DIGEST_BYTES];
	opaque base[DY_DIGEST_BYTES];	/* held already; zero: none */
	unsigned int offset;
};

/*
 * The document is the first `prefix` bytes of the base, then `size` bytes
 * that are fetched, then the last `suffix` bytes of the base. Both are 0 for
 * a base that this control does not hold any more.
 */
struct dy_fetch_result_t {
	dy_status_t status;
	unsigned int prefix;
	unsigned int suffix;
	unsigned int size;
	opaque page<DY_PAGE_BYTES>;
};

/*
 * What a member that knows nothing yet needs of an environment: its members
 * that are live, its document and the keys, as they stood at `state_version`. Any
 * control gives it, packed, by the pages of dy_fetch_t; the leader's answers to
 * polls go on from there and confirm it.
 */
struct dy_image_t {
	unsigned hyper state_version;
	dy_delta_t deltas<>;
};

struct dy_image_ask_t {
	string environment<DY_NAME_BYTES>;
};

/* UNAVAILABLE: this control does not know yet what was acknowledged. */
struct dy_image_result_t {
	dy_status_t status;
	dy_document_info_t info;	/* number is the state version */
};

/*
 * A document is first put, page by page, into the leader's memory, then
 * submitted by its digest; number 0 asks for the next one.
 */
struct dy_put_t {
	opaque digest[DY_DIGEST_BYTES];
	unsigned int size;
	unsigned int offset;
	opaque page<DY_PAGE_BYTES>;
};

enum dy_change_kind_t {
	DY_CHANGE_SUBMIT = 1,	/* digest into environment */
	DY_CHANGE_PROMOTE = 2,	/* what is in force in trial to production */
	DY_CHANGE_DRAIN = 3,	/* the member `name` */
	DY_CHANGE_ROTATE = 4,	/* token keys */
	DY_CHANGE_REMOVE = 5,	/* the member `name`, lost for good */
	DY_CHANGE_RAISE = 6,	/* as SUBMIT, under any higher number */
	DY_CHANGE_EVACUATE = 7,	/* no new flow to targets of the domain `name` */
	DY_CHANGE_READMIT = 8	/* the end of that */
};

struct dy_change_t {
	dy_change_kind_t kind;
	opaque request[16];		/* the same when resent */
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
	opaque digest[DY_DIGEST_BYTES];	/* with CONFLICT: the winner's */
	string operator_name<DY_NAME_BYTES>;	/* with CONFLICT: the winner's */
	string message<256>;
};

/* One line of key=value pairs an item; paged by line number. */
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

/* Served by every process: its counters, one key=value line each. */
program DY_STATUS_PROGRAM {
	version DY_STATUS_V1 {
		void DY_STATUS_NULL(void) = 0;
		dy_inspect_result_t DY_STATUS_COUNTERS(dy_inspect_t) = 1;
	} = 1;
} = 0x2A00D007;

/* The control that sends it leads, and asks the member for a poll now. */
struct dy_invite_t {
	dy_address_t leader;
};

/* Served by every member; no reply. */
program DY_MEMBER_PROGRAM {
	version DY_MEMBER_V1 {
		void DY_MEMBER_INVITE(dy_invite_t) = 1;
	} = 1;
} = 0x2A00D00D;
