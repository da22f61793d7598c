#ifndef FAKE_REGISTRY_ACTORS_H
#define FAKE_REGISTRY_ACTORS_H

/* The simulated members of a run (fake_registry_run.h), and its oracle. */

#include <glib.h>

#include "damaskyard/registry.h"
#include "fake_registry_run.h"

#define NAMES 6
#define ACTORS (2 * NAMES)
#define SERVICES 3 /* with 0, which is none */
#define REQUESTS 8
#define DOCUMENTS 4
#define INCARNATIONS_MAX 4096 /* per run */

/* State of one process; two processes may compete for one name. */
typedef struct actor {
	unsigned name;
	int running;
	uint64_t boot;
	unsigned port; /* bound to it; unique per actor */
	uint64_t incarnation;
	uint64_t version;
	uint64_t document;
	dy_member_state_t state;
	unsigned service;
	uint64_t document_seen; /* last number received */
	GHashTable *view;	/* incarnation to state */
} actor_t;

/* Expected state of an incarnation. */
typedef struct expected_member {
	unsigned name;
	uint64_t boot;
	unsigned port;
	uint64_t incarnation;
	dy_member_state_t state;
	unsigned service;
	int forgotten;
} expected_member_t;

/* Expected answer to an operator's request. */
typedef struct expected_answer {
	int known;
	dy_status_t status;
	uint64_t number;
	uint8_t digest[DY_DIGEST_BYTES];
} expected_answer_t;

struct fake_run {
	dy_registry_t *registry;
	uint64_t now_ms;
	uint64_t next_boot;
	actor_t actors[ACTORS];
	expected_member_t members[INCARNATIONS_MAX];
	unsigned member_count;
	uint64_t forgotten_index;
	uint64_t numbers[DY_ENVIRONMENTS];
	unsigned contents[DY_ENVIRONMENTS];
	uint8_t digests[DOCUMENTS][DY_DIGEST_BYTES];
	int tried[DOCUMENTS];
	expected_answer_t answers[REQUESTS];
	uint32_t request_salt[REQUESTS];
	unsigned effects;
};

/* Environment and member name of a name's index. */
dy_environment_t fake_actor_environment(unsigned name);
char *fake_actor_name(unsigned name);

/* Returns the newest expected record of a name, or NULL. */
expected_member_t *fake_actor_expected(fake_run_t *run, unsigned name);
int fake_actor_is_ended(dy_member_state_t state);

/* Steps of an actor: start or restart it, change its state, let it poll. */
void fake_actor_start(fake_run_t *run, actor_t *actor, unsigned service);
void fake_actor_change_state(actor_t *actor, unsigned choice);
void fake_actor_poll(fake_run_t *run, actor_t *actor);

/* Advance the clock, applying due marks at least every second. */
void fake_actor_advance_time(fake_run_t *run, unsigned ms);

#endif
