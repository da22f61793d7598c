/*
 * Between the controls of one group: internal, sealed, over UDP. Neither
 * call has a reply; an answer to HELLO is a HELLO of its own.
 */

#ifdef RPC_HDR
%#include "dy_raft.h"
#endif
#ifdef RPC_XDR
%#include "dy_raft.h"
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

program DY_GROUP_PROGRAM {
	version DY_GROUP_V1 {
		void DY_GROUP_NULL(void) = 0;
		void DY_GROUP_RAFT(dy_raft_message_t) = 1;
		void DY_GROUP_HELLO(dy_hello_t) = 2;
	} = 1;
} = 0x2A00D008;
