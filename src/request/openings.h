#ifndef DAMASKYARD_OPENINGS_H
#define DAMASKYARD_OPENINGS_H

/*
 * Openings of flows that a balancer has sent to an agent and that have no
 * answer yet, so that a copy goes to the same agent (which knows it again)
 * and silence counts against the target.
 */

#include <stdint.h>

#include "damaskyard/address.h"

/*
 * Openings held at once. 64 balancers before 50,000 callers that all come
 * back within a second see 800 a second each; 4,096 hold five seconds of
 * them. A full table forgets the oldest, which then counts as unanswered.
 */
#define OPENINGS_MAX 4096

/*
 * An opening without an answer for this long has failed, in ms, and a copy of
 * it goes elsewhere: before a stock client sends its second copy, and a
 * hundred times the way there and back between failure domains.
 */
#define OPENING_TIMEOUT_MS 400

typedef struct openings openings_t;

typedef struct opening {
	uint64_t key;
	uint64_t service;
	uint64_t incarnation; /* of the agent it went to */
	uint64_t sent_ms;
} opening_t;

openings_t *openings_create(void);
void openings_destroy(openings_t *openings);

/* The key of a call: its caller and xid. */
uint64_t openings_key(const dy_address_t *caller, uint32_t xid);

/* Find the opening of that key. Returns NULL if there is none. */
const opening_t *openings_find(const openings_t *openings, uint64_t key);

/* Add one, or replace the one with its key. */
void openings_add(openings_t *openings, const opening_t *opening);

/* Remove one. Returns 1 and copies it to *opening if it was there. */
int openings_take(openings_t *openings, uint64_t key, opening_t *opening);

/*
 * Take one that has had no answer for OPENING_TIMEOUT_MS. Returns 0 if there
 * is none.
 */
int openings_expire(openings_t *openings, uint64_t now_ms, opening_t *opening);

#endif
