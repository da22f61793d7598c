/*
 * Interface between the controls of one group. Internal, sealed, over UDP. No
 * call has a reply; HELLO is answered by another HELLO.
 */

#ifdef RPC_HDR
%#include "dy_raft.h"
%#include "dy_wire.h"
#endif
#ifdef RPC_XDR
%#include "dy_raft.h"
%#include "dy_wire.h"
#endif

/*
 * Description of a control that is not in the group yet. echo is the seal's
 * sender number of the HELLO that it answers, or 0. The number is new at each
 * start, so bootstrap counts only answers sent after this process started.
 */
struct dy_hello_t {
	unsigned hyper group;
	dy_voter_id_t id;
	bool empty;			/* its store is empty */
	bool answer;			/* requests an answer */
	unsigned hyper echo;
};

/*
 * Slot claim of a control that has only some addresses of the group. identity
 * is 0 if its store is empty.
 */
struct dy_find_t {
	unsigned hyper group;
	dy_voter_id_t id;
	unsigned hyper echo;		/* echoed, to match the answer */
};

enum dy_place_status_t {
	DY_PLACE_UNKNOWN = 0,	/* not decided, as without a leader */
	DY_PLACE_ASK = 1,	/* retry at the leader */
	DY_PLACE_GIVEN = 2,	/* the slot is assigned */
	DY_PLACE_HELD = 3,	/* the identity is a member */
	DY_PLACE_LOST = 4,	/* the identity is no longer a member */
	DY_PLACE_LISTED = 5	/* the slot in a group that is being founded */
};

/* Slot and address of one control of the group. */
struct dy_seat_t {
	unsigned int slot;
	dy_address_t address;
};

const DY_SEATS_MAX = 16;

/* Answer to a slot claim. seats: the members, or with LISTED the founders. */
struct dy_place_t {
	unsigned hyper group;
	unsigned hyper echo;
	dy_place_status_t status;
	unsigned int slot;
	dy_address_t leader;
	dy_seat_t seats<DY_SEATS_MAX>;
};

program DY_GROUP_PROGRAM {
	version DY_GROUP_V1 {
		void DY_GROUP_NULL(void) = 0;
		void DY_GROUP_RAFT(dy_raft_message_t) = 1;
		void DY_GROUP_HELLO(dy_hello_t) = 2;
		void DY_GROUP_FIND(dy_find_t) = 3;
		void DY_GROUP_PLACE(dy_place_t) = 4;
	} = 1;
} = 0x2A00D008;
