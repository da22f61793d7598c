/*
 * The ledger of open flows. Agents store at controls which flows their targets
 * hold. After a power loss they read the lists back to learn which flows ended
 * with an earlier start of the target. Internal. Every message is an ONC RPC
 * call with a sealed credential; none has a reply.
 */

#ifdef RPC_HDR
%#include "dy_flow.h"
#endif
#ifdef RPC_XDR
%#include "dy_flow.h"
#endif

/* Flows in one part of a list, for a message of about 1.1 KB. */
const DY_LEDGER_FLOWS = 48;

/* Largest id of a target, without a terminating NUL. */
const DY_LEDGER_TARGET_BYTES = 127;

struct dy_ledger_flow_t {
	dy_flow_id_t flow;
	unsigned int ack;	/* the caller's last acknowledgement */
};

/* One part of the list of flows that one start of a target holds. */
struct dy_ledger_part_t {
	string agent<DY_NAME_BYTES>;
	string target<DY_LEDGER_TARGET_BYTES>;
	unsigned hyper born_ms;	/* time of day of the target's start */
	unsigned hyper made_ms;	/* time of day of the list, at the agent */
	unsigned int good_ms;	/* time to live after made_ms */
	unsigned int list;	/* id of the list, not that of the one before */
	unsigned int part;	/* from 0 */
	unsigned int parts;
	dy_ledger_flow_t flows<DY_LEDGER_FLOWS>;
};

/* Requests the list of an agent. */
struct dy_ledger_ask_t {
	string agent<DY_NAME_BYTES>;
};

program DY_LEDGER_PROGRAM {
	version DY_LEDGER_V1 {
		void DY_LEDGER_NULL(void) = 0;
		void DY_LEDGER_KEEP(dy_ledger_part_t) = 1;
		void DY_LEDGER_ASK(dy_ledger_ask_t) = 2;
	} = 1;
} = 0x2A00D00B;

program DY_LEDGER_AGENT_PROGRAM {
	version DY_LEDGER_AGENT_V1 {
		void DY_LEDGER_AGENT_NULL(void) = 0;
		void DY_LEDGER_GIVE(dy_ledger_part_t) = 1;
	} = 1;
} = 0x2A00D00C;
