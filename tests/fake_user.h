#ifndef FAKE_USER_H
#define FAKE_USER_H

/* A registry as one operator and a few members use it. */

#include "damaskyard/registry.h"

typedef struct fake_user {
	dy_registry_t *registry;
	/* Of the last poll. */
	dy_poll_result_t result;
	dy_delta_t deltas[DY_DELTAS_MAX];
} fake_user_t;

/* Go on with what a new leader holds that came up from a snapshot. */
void fake_user_change_leader(fake_user_t *user);

/* Make a change; bytes, if not NULL, are put first. Returns its answer. */
const dy_change_result_t *fake_user_change(fake_user_t *user,
					   dy_change_kind_t kind,
					   const char *who, uint8_t request,
					   uint64_t number, const char *bytes);

/* Make a change of the member of that name. Returns its answer. */
const dy_change_result_t *fake_user_name(fake_user_t *user,
					 dy_change_kind_t kind, uint8_t request,
					 const char *name);

/* Log that trial's document was in force everywhere. */
void fake_user_try_trial(fake_user_t *user);

/* The first poll of a member of trial that serves. */
dy_poll_t fake_user_member(dy_member_kind_t kind, const char *name,
			   const char *service, uint64_t boot);

/* Poll, take the answer's incarnation and version, and return its status. */
dy_status_t fake_user_poll(fake_user_t *user, dy_poll_t *poll);

void fake_user_mark(fake_user_t *user, const dy_poll_t *poll,
		    dy_member_mark_kind_t kind);

/* Count the deltas of a kind in the last answer. */
unsigned fake_user_count(const fake_user_t *user, dy_delta_kind_t kind);

#endif
