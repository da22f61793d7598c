#ifndef DAMASKYARD_SUBSCRIBER_H
#define DAMASKYARD_SUBSCRIBER_H

/*
 * A member's side of control: its lease, and the state that it follows.
 *
 * The subscriber polls the control group, finds the leader again after each
 * change of it, and hands what changed to callbacks. Every answer that it
 * takes was confirmed by a majority after the poll arrived, and what it hands
 * on never goes back to an older version. When it polls is poll_pace.h's.
 */

#include <stdint.h>

#include "damaskyard/loop.h"
#include "damaskyard/poll_pace.h"
#include "damaskyard/seal.h"
#include "damaskyard/settings.h"
#include "dy_control.h"

typedef struct dy_subscriber dy_subscriber_t;

/*
 * Each takes what it is given by reference, for the length of the call. Those
 * of which a member has no use may be NULL, all but refused.
 */
typedef struct dy_subscriber_callbacks {
	/*
	 * A newer document, whole; its digest has been checked. NULL: this
	 * member needs none, and none is fetched.
	 */
	void (*document)(void *context, const dy_document_info_t *info,
			 const uint8_t *bytes, size_t len);
	void (*member)(void *context, const dy_member_t *member);
	void (*key)(void *context, const dy_key_info_t *key);
	/* A failure domain was evacuated, or readmitted. */
	void (*domain)(void *context, const dy_domain_info_t *domain);
	/* The incarnation that the group granted to this start. */
	void (*granted)(void *context, uint64_t incarnation);
	/* All that stood in the group's state at one poll has been given. */
	void (*caught_up)(void *context);
	/* An operator asked for this member's drain. Called once. */
	void (*drain)(void *context);
	/* Another process holds this name now, or status says why not. */
	void (*refused)(void *context, dy_status_t status);
} dy_subscriber_callbacks_t;

typedef struct dy_subscriber_config {
	dy_loop_t *loop;
	dy_endpoint_t *endpoint; /* polls are sent from here */
	dy_seal_t *seal;
	dy_metrics_t *metrics;
	const dy_address_list_t *controls;
	const dy_subscriber_callbacks_t *callbacks;
	void *context;
	/* Members that ended before this one heard of them are not told. */
	int skip_ended;
} dy_subscriber_config_t;

/* config is copied; what it points to must outlive the subscriber. */
dy_subscriber_t *dy_subscriber_create(const dy_subscriber_config_t *config);
void dy_subscriber_destroy(dy_subscriber_t *subscriber);

/*
 * Say what this member is, from now on. info is copied by reference to its
 * strings, which must outlive the subscriber. Polling starts with the first.
 */
void dy_subscriber_set_info(dy_subscriber_t *subscriber,
			    const dy_member_info_t *info);

/*
 * Say in what state this member is, with its successors if it has left.
 * Polls at once.
 */
void dy_subscriber_set_state(dy_subscriber_t *subscriber,
			     dy_member_state_t state,
			     const uint64_t *successors, unsigned count);

/*
 * Poll now rather than at the next time, for one that waits for a confirmation.
 * At most once in DY_POLL_EARLY_INTERVAL_MS.
 */
void dy_subscriber_poll_early(dy_subscriber_t *subscriber);

/* Say that the document of that number is in force here. Polls at once. */
void dy_subscriber_set_document(dy_subscriber_t *subscriber, uint64_t number);

/*
 * Join anew, as another start of this member would: for one that has left and
 * whose process goes on. A new incarnation is granted, and all state is given
 * again. Call dy_subscriber_set_info() next.
 */
void dy_subscriber_rejoin(dy_subscriber_t *subscriber);

/*
 * Take a control's answer or invitation. Returns whether it was one; an answer
 * to no poll of this subscriber is ignored.
 */
int dy_subscriber_receive(dy_subscriber_t *subscriber,
			  const dy_sealed_t *message);

/* Milliseconds since a majority last confirmed; UINT64_MAX if never. */
uint64_t dy_subscriber_confirmation_age_ms(const dy_subscriber_t *subscriber);

/* Whether the group has taken up the state set last. */
int dy_subscriber_is_state_confirmed(const dy_subscriber_t *subscriber);

uint64_t dy_subscriber_version(const dy_subscriber_t *subscriber);
uint64_t dy_subscriber_incarnation(const dy_subscriber_t *subscriber);

#endif
