#ifndef DAMASKYARD_OPENINGS_H
#define DAMASKYARD_OPENINGS_H

/*
 * Flow openings that a balancer has forwarded to an agent and that are not yet
 * answered. A retransmission is forwarded to the same agent, which recognizes
 * it as a duplicate, and an opening without an answer counts as a failure of
 * the target.
 */

#include <stdint.h>

#include "damaskyard/address.h"

/*
 * Capacity of the table. With 64 balancers and 50,000 callers that reconnect
 * within a second, each balancer gets 800 openings per second; 4,096 entries
 * hold five seconds of them. A full table drops the oldest entry.
 */
#define OPENINGS_MAX 4096

/* Openings that a new one can displace: its own key's, and the oldest. */
#define OPENINGS_DISPLACED_MAX 2

/*
 * An opening fails after this time without an answer, in ms, and a
 * retransmission goes to another target. It is shorter than the retransmission
 * timeout of a stock RPC library and a hundred times the round trip between
 * failure domains.
 */
#define OPENING_TIMEOUT_MS 400

typedef struct openings openings_t;

typedef struct opening {
	uint64_t key;
	uint64_t service;
	uint64_t incarnation; /* of the agent that received it */
	uint64_t sent_ms;
} opening_t;

/* Creates an empty table. Never fails. */
openings_t *openings_create(void);

/* Frees a table. NULL is allowed. */
void openings_destroy(openings_t *openings);

/* Returns the key of a call, a hash of its caller and xid; never 0. */
uint64_t openings_key(const dy_address_t *caller, uint32_t xid);

/*
 * Returns the opening with that key, or NULL. It stays valid until the next
 * change of the table.
 */
const opening_t *openings_find(const openings_t *openings, uint64_t key);

/*
 * Adds an opening. It is copied. Writes the openings that had to go, which get
 * no answer or expiry any more: the one with the same key, and the oldest of a
 * full table. Returns their number.
 */
unsigned openings_add(openings_t *openings, const opening_t *opening,
		      opening_t displaced[OPENINGS_DISPLACED_MAX]);

/*
 * Removes an opening. Returns 1 and copies it to *opening if it was present,
 * else 0.
 */
int openings_remove(openings_t *openings, uint64_t key, opening_t *opening);

/*
 * Removes an opening that has had no answer for OPENING_TIMEOUT_MS and copies
 * it to *opening. Returns 1, or 0 if there is none.
 */
int openings_expire(openings_t *openings, uint64_t now_ms, opening_t *opening);

#endif
