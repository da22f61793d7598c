#ifndef DAMASKYARD_TARGET_NOTICE_H
#define DAMASKYARD_TARGET_NOTICE_H

/*
 * What a target says of itself to the agent beside it, again and again.
 */

#include <stdint.h>

#include "damaskyard/address.h"

/* Bytes of a target's id with its terminating NUL. */
#define DY_TARGET_ID_BYTES 128

typedef enum dy_target_state {
	DY_TARGET_READY,
	DY_TARGET_DRAINING /* keeps its flows, takes no new ones */
} dy_target_state_t;

typedef struct dy_target_notice {
	char id[DY_TARGET_ID_BYTES]; /* mostly new with each start */
	char service[DY_NAME_BYTES + 1];
	dy_address_t address;
	uint32_t slots;	   /* requests at once */
	uint32_t cold_ms;  /* how much longer it is slow after its start */
	uint64_t sequence; /* grows with each notice of one start */
	uint64_t born_ms;  /* time of day of its start; 0: not told */
	dy_target_state_t state;
} dy_target_notice_t;

#endif
