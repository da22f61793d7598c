#ifndef DAMASKYARD_BOOTSTRAP_H
#define DAMASKYARD_BOOTSTRAP_H

/*
 * Who founds the group, and what the leader does for those that want in.
 * Decisions alone: what was heard goes in, the next step comes out.
 */

#include <stdint.h>

#include "damaskyard/control.h"
#include "dy_group.h"

/* A wish to join counts for so long after it was last heard, in ms. */
#define JOIN_REQUEST_TTL_MS 2000

/*
 * A member that did not answer for so long, in ms, may be replaced: ten
 * elections. A second process started by mistake with a slot that is in use
 * replaces nobody.
 */
#define MEMBER_TIMEOUT_MS 3000

/* Entries that a learner may lack and still count as caught up. */
#define CAUGHT_UP_ENTRIES 256

typedef struct bootstrap_peer {
	int answered;		/* to this very process */
	int empty;		/* at its last answer */
	uint64_t join_identity; /* identity that asked to join, or 0 */
	uint64_t join_requested_ms;
	int from_slot_address; /* asked from the slot's own address */
} bootstrap_peer_t;

typedef struct bootstrap {
	const dy_peers_t *peers;
	uint32_t slot;
	bootstrap_peer_t peer_states[DY_RAFT_MEMBERS_MAX + 1];
} bootstrap_t;

void bootstrap_init(bootstrap_t *founding, const dy_peers_t *peers,
		    uint32_t slot);

/* Note a HELLO; mine: it answers one of this process. */
void bootstrap_receive_hello(bootstrap_t *founding, const dy_hello_t *hello,
			     const dy_address_t *from, int mine,
			     uint64_t now_ms);

/* Whether somebody asked for that slot a short time ago. */
int bootstrap_is_slot_requested(const bootstrap_t *founding, uint32_t slot,
				uint64_t now_ms);

/*
 * Whether this control, whose store is empty, founds the group.
 *
 * Guards against a second group beside the first, as when the disk of the
 * lowest slot was lost: every other peer must have answered this very
 * process that it holds nothing, and one that is in a group does not.
 */
int bootstrap_is_due(const bootstrap_t *founding);

typedef enum join_step {
	JOIN_NONE,
	JOIN_ADD,     /* id as a learner */
	JOIN_PROMOTE, /* id, a learner */
	JOIN_REMOVE,  /* id, replaced or never up */
	JOIN_REFUSE   /* id: the slot's member is alive */
} join_step_t;

/* What the leader knows of a member of the configuration. */
typedef struct join_member {
	uint64_t identity; /* 0: there is none */
	uint64_t lag;	   /* entries that it lacks */
	uint64_t last_answer_age_ms;
} join_member_t;

/*
 * The leader's next step for one slot, given the voter and the learner that
 * stand in it. A learner first catches up, then the voter that it replaces
 * is removed, then it is promoted: in between the group votes with one less,
 * so that time is kept short.
 */
join_step_t bootstrap_next_join(const bootstrap_t *founding, uint32_t slot,
				const join_member_t *voter,
				const join_member_t *learner, uint64_t now_ms,
				uint64_t *identity);

#endif
