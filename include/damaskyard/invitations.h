#ifndef DAMASKYARD_INVITATIONS_H
#define DAMASKYARD_INVITATIONS_H

/*
 * The order in which a new leader invites the members to poll it.
 *
 * Load pattern: a leader is elected after all processes were lost. The log
 * contains every member and its address, but no member has found the leader
 * yet. Without invitations each member retries all controls at an interval of
 * its own: a short interval floods the controls, a long one keeps callers
 * waiting.
 *
 * With invitations the leader sets the rate: a few members at once, and the
 * next one as soon as one of these has polled or its invitation has timed out.
 * Balancers are invited first, because callers wait for them.
 *
 * No clock and no network: the owner passes the time in ms and sends.
 */

#include <stdint.h>

/*
 * Maximum number of invited members that have not polled yet: work for a few
 * loop iterations.
 */
#define DY_INVITATIONS_IN_FLIGHT_MAX 16

/*
 * An invitation times out after this time: the member is down or the invitation
 * was lost, and the member will poll on its own.
 */
#define DY_INVITATION_TIMEOUT_MS 150

typedef struct dy_invitations dy_invitations_t;

/* Creates an empty list; the caller destroys it. */
dy_invitations_t *dy_invitations_create(void);
/* Frees the list; NULL is allowed. */
void dy_invitations_destroy(dy_invitations_t *invitations);

/* Removes all members, as when leadership is lost. */
void dy_invitations_clear(dy_invitations_t *invitations);

/* Adds a member to invite; does nothing if it is present already. */
void dy_invitations_add(dy_invitations_t *invitations, uint64_t member,
			int is_balancer);

/* Removes a member that has polled or has departed, if it is present. */
void dy_invitations_remove(dy_invitations_t *invitations, uint64_t member);

/*
 * Returns 1 with member set to the one to invite now. Returns 0 if none is left
 * or if too many invitations are unanswered.
 */
int dy_invitations_next(dy_invitations_t *invitations, uint64_t now_ms,
			uint64_t *member);

/* Returns whether no member is left to invite or to wait for. */
int dy_invitations_is_empty(const dy_invitations_t *invitations);

#endif
