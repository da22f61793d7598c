#ifndef DAMASKYARD_STATE_SOURCE_H
#define DAMASKYARD_STATE_SOURCE_H

/*
 * Where a member gets contents from: documents, and the image of the state that
 * it starts from.
 *
 * Any control has them, and each has a small part of a core: a member asks the
 * one that it drew, so that a leader does not send the same pages to all
 * members just when they all wait for it. One that lags does not have the
 * newest document yet; then the leader is asked.
 */

#include "damaskyard/seal.h"
#include "damaskyard/settings.h"
#include "dy_control.h"

typedef struct state_source state_source_t;

typedef struct state_source_callbacks {
	/* Send a call to a control; returns its xid. */
	uint32_t (*send)(void *context, const dy_address_t *to,
			 uint32_t procedure, xdrproc_t proc, void *args);
	/* The whole document, its digest checked. */
	void (*document)(void *context, const dy_document_info_t *info,
			 const uint8_t *bytes, size_t len);
	/* The image, by reference for the length of the call. */
	void (*image)(void *context, const dy_image_t *image);
} state_source_callbacks_t;

/* The controls that a member knows; what is pointed to is read each time. */
typedef struct state_source_controls {
	const dy_address_list_t *told;	  /* by the settings */
	const dy_address_list_t *learned; /* the group now; may be empty */
	const dy_address_t *leader;	  /* the control that is polled */
} state_source_controls_t;

/* drawn chooses the control that is asked; it differs between members. */
state_source_t *state_source_create(const state_source_callbacks_t *callbacks,
				    void *context,
				    const state_source_controls_t *controls,
				    uint32_t drawn);
void state_source_destroy(state_source_t *source);

/* The member joins anew: all may be fetched once more, from another control. */
void state_source_reset(state_source_t *source);

void state_source_begin_document(state_source_t *source,
				 const dy_document_info_t *info,
				 uint64_t now_ms);

/*
 * Begin to fetch the image of an environment, which must outlive the fetch, if
 * that was not begun since the last reset: a control is known to be there.
 */
void state_source_begin_image(state_source_t *source, const char *environment,
			      uint64_t now_ms);

/* Whether an image may still come: not begun yet, or under way. */
int state_source_may_give_image(const state_source_t *source);

/* Take a reply. Returns 0 if it is not waited for. */
int state_source_receive(state_source_t *source, const dy_sealed_t *message,
			 uint64_t now_ms);

/* Ask again what had no answer. Returns 1 if the image is given up now. */
int state_source_tick(state_source_t *source, uint64_t now_ms);

/* Documents that came with another digest than theirs, so far. */
uint64_t state_source_wrong(const state_source_t *source);

#endif
