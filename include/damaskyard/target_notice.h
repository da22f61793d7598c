#ifndef DAMASKYARD_TARGET_NOTICE_H
#define DAMASKYARD_TARGET_NOTICE_H

/* A notice: the heartbeat that a target sends to the agent beside it. */

#include <stdint.h>

#include "damaskyard/address.h"

/* Size of a target's id with its terminating NUL. */
#define DY_TARGET_ID_BYTES 128

/* Limit of a target's slots: percentages of them fit in 32 bits. */
#define DY_TARGET_SLOTS_MAX 1000000

/* Limit in ms of the time for which a target is slow after its start. */
#define DY_TARGET_COLD_MAX_MS 86400000

typedef enum dy_target_state {
	DY_TARGET_READY,
	DY_TARGET_DRAINING /* keeps its flows, admits no new ones */
} dy_target_state_t;

typedef struct dy_target_notice {
	char id[DY_TARGET_ID_BYTES]; /* usually new for each instance */
	char service[DY_NAME_BYTES + 1];
	dy_address_t address;
	uint32_t slots;	     /* concurrent requests; 1..DY_TARGET_SLOTS_MAX */
	uint32_t cold_ms;    /* remaining time of slowness after its start */
	uint64_t sequence;   /* increases with each notice of one instance */
	uint64_t started_ms; /* time of day of its start, in ms */
	dy_target_state_t state;
} dy_target_notice_t;

#endif
