#ifndef DAMASKYARD_SUBSCRIBER_H
#define DAMASKYARD_SUBSCRIBER_H

/*
 * A member's subscription to the control group: it holds the member's lease
 * and follows the group's state.
 *
 * The subscriber polls the control group, finds the new leader after a change
 * of leader, and passes changes of the state to callbacks. A majority
 * confirmed each accepted answer after the poll arrived, and the state that
 * is passed on never goes back to an older version. poll_pace.h sets the
 * times of polls.
 */

#include <stdint.h>

#include "damaskyard/loop.h"
#include "damaskyard/poll_pace.h"
#include "damaskyard/seal.h"
#include "damaskyard/settings.h"
#include "dy_control.h"

typedef struct dy_subscriber dy_subscriber_t;

/*
 * Pointer arguments are valid during the call only. Callbacks that a member
 * does not need may be NULL, except refused.
 */
typedef struct dy_subscriber_callbacks {
	/*
	 * A newer document, complete and with a verified digest. If NULL, no
	 * documents are fetched.
	 */
	void (*document)(void *context, const dy_document_info_t *info,
			 const uint8_t *bytes, size_t len);
	/* A member joined or changed its state. */
	void (*member)(void *context, const dy_member_t *member);
	/* A token key was added, activated or retired. */
	void (*key)(void *context, const dy_key_info_t *key);
	/* A failure domain was evacuated or readmitted. */
	void (*domain)(void *context, const dy_domain_info_t *domain);
	/* The group granted an incarnation to this start of the member. */
	void (*granted)(void *context, uint64_t incarnation);
	/* All of the group's state as of one poll has been passed on. */
	void (*caught_up)(void *context);
	/* An operator requested the drain of this member. Called once. */
	void (*drain)(void *context);
	/*
	 * The group refused the poll for the reason in status, for example
	 * because another process now holds this member's name.
	 */
	void (*refused)(void *context, dy_status_t status);
} dy_subscriber_callbacks_t;

typedef struct dy_subscriber_config {
	dy_loop_t *loop;
	dy_endpoint_t *endpoint; /* sends the polls */
	dy_seal_t *seal;
	dy_metrics_t *metrics;
	const dy_address_list_t *controls;
	const dy_subscriber_callbacks_t *callbacks;
	void *context;
	/* Omit members that ended before this one learned of them. */
	int skip_ended;
} dy_subscriber_config_t;

/*
 * Create a subscriber, to free with dy_subscriber_destroy(). config is
 * copied; what it points to must outlive the subscriber. Registers its
 * counters in the metrics.
 */
dy_subscriber_t *dy_subscriber_create(const dy_subscriber_config_t *config);
void dy_subscriber_destroy(dy_subscriber_t *subscriber);

/*
 * Set the description of this member that polls carry. The strings of info
 * are not copied and must outlive the subscriber. The first call starts
 * polling.
 */
void dy_subscriber_set_info(dy_subscriber_t *subscriber,
			    const dy_member_info_t *info);

/*
 * Set this member's state, and the incarnations of its count successors if it
 * has left; count is at most DY_SUCCESSORS_MAX. Polls at once.
 */
void dy_subscriber_set_state(dy_subscriber_t *subscriber,
			     dy_member_state_t state,
			     const uint64_t *successors, unsigned count);

/*
 * Poll before the interval ends, for a caller that waits for a confirmation.
 * The rate is limited to one poll in DY_POLL_EARLY_INTERVAL_MS.
 */
void dy_subscriber_poll_early(dy_subscriber_t *subscriber);

/* Report that the document of this number is in effect. Polls at once. */
void dy_subscriber_set_document(dy_subscriber_t *subscriber, uint64_t number);

/*
 * Join again as a new start of this member, after it has left and while its
 * process goes on. The group grants a new incarnation, and all state is
 * passed on again. Call dy_subscriber_set_info() next.
 */
void dy_subscriber_rejoin(dy_subscriber_t *subscriber);

/*
 * Process a reply or an invitation of a control. Returns 1, or 0 if message
 * is a call of another program than DY_MEMBER_PROGRAM. A reply to no request
 * of this subscriber is ignored.
 */
int dy_subscriber_receive(dy_subscriber_t *subscriber,
			  const dy_sealed_t *message);

/*
 * Returns the time in ms since the start of the last poll that a majority
 * confirmed, or UINT64_MAX if there was none.
 */
uint64_t dy_subscriber_confirmation_age_ms(const dy_subscriber_t *subscriber);

/* Returns whether the group has confirmed the state set last. */
int dy_subscriber_is_state_confirmed(const dy_subscriber_t *subscriber);

/* Returns the version of the group's state that has been passed on. */
uint64_t dy_subscriber_version(const dy_subscriber_t *subscriber);

/* Returns the granted incarnation, or 0 if there is none yet. */
uint64_t dy_subscriber_incarnation(const dy_subscriber_t *subscriber);

#endif
