#ifndef DAMASKYARD_BOOTSTRAP_H
#define DAMASKYARD_BOOTSTRAP_H

/*
 * Bootstrap of a control group, and the leader's decisions on controls that
 * ask to join it. The module decides only: the caller passes in the HELLO
 * messages and carries out the next step.
 */

#include <stdint.h>

#include "damaskyard/control.h"
#include "dy_group.h"

/* Time to live of a join request, in ms. */
#define JOIN_REQUEST_TTL_MS 2000

/*
 * A member without a reply for this time, in ms, may be replaced. It covers
 * ten election timeouts. Guards against a second process that was started by
 * mistake with a slot in use: it must not replace the member.
 */
#define MEMBER_TIMEOUT_MS 3000

/*
 * A learner without a reply for this time, in ms, is removed: it holds a slot
 * and does not vote. If it returns, it learns that and joins anew.
 */
#define LEARNER_TIMEOUT_MS 8000

/* Entries that a learner may lack and still count as caught up. */
#define LEARNER_MAX_LAG_ENTRIES 256

/* What the HELLO messages from one slot said. */
typedef struct bootstrap_peer {
	int answered;		    /* a HELLO of this very process */
	int empty;		    /* its store, at its last answer */
	uint64_t join_identity;	    /* identity that asked to join, or 0 */
	uint64_t join_requested_ms; /* when it last asked */
	dy_address_t join_address;  /* where it asked from */
	int from_slot_address;	    /* it asked from the slot's own address */
} bootstrap_peer_t;

typedef struct bootstrap {
	const dy_peers_t *peers;
	uint32_t slot;
	int group_exists; /* a control that is not listed is not empty */
	bootstrap_peer_t peer_states[DY_RAFT_MEMBERS_MAX + 1]; /* by slot */
} bootstrap_t;

/*
 * Initialise for the control in slot. peers is kept by reference. There is
 * nothing to free.
 */
void bootstrap_init(bootstrap_t *bootstrap, const dy_peers_t *peers,
		    uint32_t slot);

/*
 * Record a HELLO message that came from address from. answers_us: it answers
 * a HELLO of this process. A HELLO with an empty store is a join request.
 * A message from an unknown slot is no request; if its store is not empty,
 * there is a group already.
 */
void bootstrap_receive_hello(bootstrap_t *bootstrap, const dy_hello_t *hello,
			     const dy_address_t *from, int answers_us,
			     uint64_t now_ms);

/*
 * Forget a join request of id, which was a member meanwhile and is removed: it
 * has entries now and asks in another way.
 */
void bootstrap_forget_request(bootstrap_t *bootstrap, dy_voter_id_t id);

/* Whether there is an unexpired join request for the slot. */
int bootstrap_is_slot_requested(const bootstrap_t *bootstrap, uint32_t slot,
				uint64_t now_ms);

/*
 * Whether this control, whose store is empty, must bootstrap the group. It has
 * the lowest slot, and every other peer has answered this very process that
 * its store is empty.
 *
 * Guards against a second group beside the first, as when the lowest slot
 * lost its disk: a peer that is a member of a group does not answer so.
 */
int bootstrap_is_due(const bootstrap_t *bootstrap);

typedef enum join_step {
	JOIN_NONE,
	JOIN_ADD,     /* add id as a learner */
	JOIN_PROMOTE, /* promote id, a learner */
	JOIN_REMOVE,  /* remove id, which is replaced or did not come up */
	JOIN_REFUSE   /* refuse id: the slot's member is alive */
} join_step_t;

/* What the leader has on a member of the configuration. */
typedef struct join_member {
	uint64_t identity; /* 0: there is none */
	uint64_t lag;	   /* entries that it lacks */
	uint64_t last_answer_age_ms;
	/*
	 * Time since its last answer, or since it was added. 0 in a group of
	 * static membership: a control that was removed is not told so there.
	 */
	uint64_t silent_ms;
} join_member_t;

/*
 * The leader's next step for one slot, given its voter and its learner. Sets
 * identity to the member that the step is about.
 *
 * A learner catches up first, then the voter that it replaces is removed, then
 * it is promoted. Between the last two steps the group has one voter less, so
 * this order keeps that time short.
 */
join_step_t bootstrap_next_join(const bootstrap_t *bootstrap, uint32_t slot,
				const join_member_t *voter,
				const join_member_t *learner, uint64_t now_ms,
				uint64_t *identity);

#endif
