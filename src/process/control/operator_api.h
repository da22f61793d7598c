#ifndef DAMASKYARD_OPERATOR_API_H
#define DAMASKYARD_OPERATOR_API_H

/*
 * The platform's operator at a control: submits configurations and reads the
 * one in force, over HTTP. Any control may be called; one that does not lead
 * names the leader.
 */

#include "damaskyard/control.h"
#include "damaskyard/http.h"

typedef struct operator_api operator_api_t;

/*
 * Open the door at listen. The control is asked by reference and must be
 * destroyed before the door, so that all that waits is answered. Returns NULL
 * with error set if the address cannot be bound.
 */
operator_api_t *operator_api_create(dy_loop_t *loop, dy_metrics_t *metrics,
				    const dy_address_t *listen, GError **error);
void operator_api_destroy(operator_api_t *door);

/* Serve from now on, or answer 503 to all with NULL. */
void operator_api_set_control(operator_api_t *door, dy_control_t *control);

/* A dy_control_options_t's check: the platform's configuration. */
int operator_api_check_document(void *context, const uint8_t *bytes,
				size_t size, char *message,
				size_t message_size);

#endif
