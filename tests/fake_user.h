#ifndef FAKE_USER_H
#define FAKE_USER_H

/* A registry used by one operator and a few members. */

#include "damaskyard/registry.h"

typedef struct fake_user {
	dy_registry_t *registry;
	/* Answer to the last poll. */
	dy_poll_result_t result;
	dy_delta_t deltas[DY_DELTAS_MAX];
} fake_user_t;

/* Replace the registry by one loaded from its snapshot, as a new leader. */
void fake_user_change_leader(fake_user_t *user);

/*
 * Apply an operator's change; bytes, if not NULL, are uploaded first. Returns
 * the answer, which the registry owns.
 */
const dy_change_result_t *fake_user_change(fake_user_t *user,
					   dy_change_kind_t kind,
					   const char *who, uint8_t request,
					   uint64_t number, const char *bytes);

/*
 * Apply an operator's change of a member or failure domain by its name.
 * Returns the answer, which the registry owns.
 */
const dy_change_result_t *fake_user_change_named(fake_user_t *user,
						 dy_change_kind_t kind,
						 uint8_t request,
						 const char *name);

/* Apply the command that trial's document was in force on all members. */
void fake_user_mark_tried(fake_user_t *user);

/* Returns the first poll of a serving member in trial. */
dy_poll_t fake_user_member(dy_member_kind_t kind, const char *name,
			   const char *service, uint64_t boot);

/* Poll, and store the answer's incarnation and version in poll. */
dy_status_t fake_user_poll(fake_user_t *user, dy_poll_t *poll);

/* Apply a mark of the member that polled. */
void fake_user_mark(fake_user_t *user, const dy_poll_t *poll,
		    dy_member_mark_kind_t kind);

/* Returns the number of deltas of a kind in the last answer. */
unsigned fake_user_count_deltas(const fake_user_t *user, dy_delta_kind_t kind);

#endif
