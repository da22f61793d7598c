#ifndef DAMASKYARD_STATE_SOURCE_H
#define DAMASKYARD_STATE_SOURCE_H

/*
 * The controls from which a member fetches documents, and the image of the
 * group's state that it starts from.
 *
 * Load pattern: all members fetch the same pages at the same moment, and each
 * control has a small share of a core. Without this the leader would send all
 * of them while the members wait for its answers to polls.
 *
 * Every control has documents and images, so each member requests them from a
 * control that it selects at random. A control that lags behind does not have
 * the newest document yet; the member then requests it from the leader.
 */

#include "damaskyard/seal.h"
#include "damaskyard/settings.h"
#include "dy_control.h"

typedef struct state_source state_source_t;

typedef struct state_source_callbacks {
	/* Send a call to control `to`; returns its xid. */
	uint32_t (*send)(void *context, const dy_address_t *to,
			 uint32_t procedure, xdrproc_t proc, void *args);
	/* A document is complete and its digest verified. */
	void (*document)(void *context, const dy_document_info_t *info,
			 const uint8_t *bytes, size_t len);
	/* The image is complete. It is valid during the call only. */
	void (*image)(void *context, const dy_image_t *image);
} state_source_callbacks_t;

/*
 * The controls that a member can reach. The lists are read at each request
 * and must outlive the source.
 */
typedef struct state_source_controls {
	const dy_address_list_t *configured; /* in the settings */
	const dy_address_list_t *learned;    /* current group; may be empty */
	const dy_address_t *leader;	     /* the control that is polled */
} state_source_controls_t;

/*
 * Create a source, to free with state_source_destroy(). control_index is a
 * random number that selects the control. callbacks and context must outlive
 * the source; controls is copied.
 */
state_source_t *state_source_create(const state_source_callbacks_t *callbacks,
				    void *context,
				    const state_source_controls_t *controls,
				    uint32_t control_index);
void state_source_destroy(state_source_t *source);

/*
 * Allow the newest document and the image to be fetched again, from another
 * control, after the member has joined again.
 */
void state_source_reset(state_source_t *source);

/* Start to fetch a document; see document_fetch_begin(). */
void state_source_begin_document(state_source_t *source,
				 const dy_document_info_t *info,
				 uint64_t now_ms);

/*
 * Start to fetch the image of an environment, unless that was done since the
 * last reset. Call it when a control is reachable. environment is kept by
 * reference and must outlive the transfer.
 */
void state_source_begin_image(state_source_t *source, const char *environment,
			      uint64_t now_ms);

/* Returns whether the image fetch is not started yet or in progress. */
int state_source_is_image_possible(const state_source_t *source);

/* Process a reply. Returns 1, or 0 if its request is not pending. */
int state_source_receive(state_source_t *source, const dy_sealed_t *message,
			 uint64_t now_ms);

/* Handle timeouts. Returns 1 if the image fetch has failed in this call. */
int state_source_tick(state_source_t *source, uint64_t now_ms);

/* Returns how many documents so far arrived with a wrong digest. */
uint64_t state_source_digest_mismatches(const state_source_t *source);

#endif
