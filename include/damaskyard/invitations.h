#ifndef DAMASKYARD_INVITATIONS_H
#define DAMASKYARD_INVITATIONS_H

/*
 * The order in which a new leader calls the members to itself.
 *
 * Load pattern: a leader is elected after a loss of all processes. The log
 * names every member and its address, and none has found the leader yet.
 * Without this they ask around, each again after a time of its own: a short
 * one floods controls, and a long one keeps callers waiting.
 *
 * A leader invites members at its own pace: a few at once, and the next one as
 * soon as one of these was answered, or has not come for a while. Balancers are
 * invited first, since callers wait for them.
 *
 * No clock and no network: the owner gives the time, in ms, and sends.
 */

#include <stdint.h>

/* Members invited and not heard yet, at most: a few turns of the loop. */
#define DY_INVITATIONS_IN_FLIGHT_MAX 16

/*
 * After so long, in ms, an invited member is no longer waited for: it is down,
 * or the invitation was lost, and it will ask by itself.
 */
#define DY_INVITATION_TIMEOUT_MS 150

typedef struct dy_invitations dy_invitations_t;

dy_invitations_t *dy_invitations_create(void);
void dy_invitations_destroy(dy_invitations_t *invitations);

/* Forget all, as one that leads no more. */
void dy_invitations_clear(dy_invitations_t *invitations);

/* Add a member that is to be invited. */
void dy_invitations_add(dy_invitations_t *invitations, uint64_t member,
			int is_balancer);

/* A member polled, or is gone: it needs no invitation. */
void dy_invitations_remove(dy_invitations_t *invitations, uint64_t member);

/* Returns 1 with the member that is to be invited now, or 0. */
int dy_invitations_next(dy_invitations_t *invitations, uint64_t now_ms,
			uint64_t *member);

/* Whether none is left to be invited or waited for. */
int dy_invitations_is_empty(const dy_invitations_t *invitations);

#endif
