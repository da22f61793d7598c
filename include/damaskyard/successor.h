#ifndef DAMASKYARD_SUCCESSOR_H
#define DAMASKYARD_SUCCESSOR_H

/*
 * Successors of an agent that leaves: which agent takes over each session.
 *
 * A leaving agent records its successors in control (dy_member_t). Agents and
 * balancers compute the successor of a session by rendezvous hashing, so no
 * session table is distributed, and the sessions of one agent are spread over
 * all its successors.
 */

#include <stdint.h>

#include "dy_control.h"

/*
 * Returns the one of count members that takes over a session, or 0 if count
 * is 0. Members are given by incarnation, since a name can be reused. Their
 * order does not matter.
 */
uint64_t dy_successor_pick(uint64_t session, const uint64_t *members,
			   unsigned count);

/*
 * Choose up to DY_SUCCESSORS_MAX of count candidates as the successors of the
 * agent self. Returns the number written to chosen. If there are more
 * candidates, agents that leave at the same time choose different ones.
 */
unsigned dy_successor_choose(uint64_t self, const uint64_t *candidates,
			     unsigned count,
			     uint64_t chosen[DY_SUCCESSORS_MAX]);

#endif
