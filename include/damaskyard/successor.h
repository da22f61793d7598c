#ifndef DAMASKYARD_SUCCESSOR_H
#define DAMASKYARD_SUCCESSOR_H

/*
 * Which successor holds a session of an agent that has left.
 *
 * The leaving agent records its successors in control (dy_member_t); agents
 * and balancers then compute the same successor of a session by rendezvous
 * hashing, so that no table of sessions is sent about, and the sessions of
 * one agent spread over all of its successors.
 */

#include <stdint.h>

#include "dy_control.h"

/*
 * Returns which of `members` holds `session`, or 0 if count is 0. Control's
 * record names them by incarnation, since a name may be in use again. The order
 * of the members does not matter.
 */
uint64_t dy_successor_pick(uint64_t session, const uint64_t *members,
			   unsigned count);

/*
 * Choose at most DY_SUCCESSORS_MAX of the candidates for the agent `self`
 * into chosen. Returns their number. Agents that leave at the same time
 * choose differently where there are more candidates than that.
 */
unsigned dy_successor_choose(uint64_t self, const uint64_t *candidates,
			     unsigned count,
			     uint64_t chosen[DY_SUCCESSORS_MAX]);

#endif
