#ifndef DAMASKYARD_STORED_FORWARD_H
#define DAMASKYARD_STORED_FORWARD_H

/*
 * A copy of a forward that outlives the call in which it was received.
 */

#include <stdint.h>

#include "damaskyard/packet.h"

/* forward points into the other members; copy with dy_stored_forward_set(). */
typedef struct dy_stored_forward {
	dy_flow_forward_t forward;
	char service[DY_NAME_BYTES + 1];
	dy_address_t tries[DY_FLOW_TRIES];
	uint8_t bytes[DY_PACKET_BYTES];
} dy_stored_forward_t;

/* Copy a forward, and what it points to, into stored. */
void dy_stored_forward_set(dy_stored_forward_t *stored,
			   const dy_flow_forward_t *forward);

#endif
