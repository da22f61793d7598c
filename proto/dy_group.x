/*
 * Between the controls of one group: internal, sealed, over UDP. Neither
 * call has a reply; an answer to HELLO is a HELLO of its own.
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
 * What a control says of itself before it is in the group. echo is the seal's
 * sender number of the one it answers, or 0: only an answer that was given
 * after this process started counts towards founding.
 */
struct dy_hello_t {
	unsigned hyper group;
	dy_voter_id_t id;
	bool empty;			/* its store holds nothing */
	bool answer;			/* the receiver is to answer */
	unsigned hyper echo;
};

/*
 * A control that knows no more than some addresses of the group asks for its
 * place in it. identity is 0 if its store is empty.
 */
struct dy_find_t {
	unsigned hyper group;
	dy_voter_id_t id;
	unsigned hyper echo;		/* returned, so that answers match */
};

enum dy_place_status_t {
	DY_PLACE_UNKNOWN = 0,	/* no leader is known here */
	DY_PLACE_ASK = 1,	/* ask the leader */
	DY_PLACE_GIVEN = 2,	/* take this slot */
	DY_PLACE_HELD = 3,	/* the identity is a member */
	DY_PLACE_LOST = 4	/* the identity is no member any more */
};

struct dy_seat_t {
	unsigned int slot;
	dy_address_t address;
};

const DY_SEATS_MAX = 16;

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
