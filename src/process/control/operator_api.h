#ifndef DAMASKYARD_OPERATOR_API_H
#define DAMASKYARD_OPERATOR_API_H

/*
 * The HTTP interface for the platform's operators at a control: it submits
 * configurations, reads the configuration in force, and evacuates and readmits
 * failure domains. Any control accepts calls; one that does not lead redirects
 * to the leader.
 */

#include "damaskyard/control.h"
#include "damaskyard/http.h"

typedef struct operator_api operator_api_t;

/*
 * Creates the interface, listening at listen. Returns NULL with error set if
 * the address cannot be bound. Destroy the control before the interface, so
 * that all pending calls are answered.
 */
operator_api_t *operator_api_create(dy_loop_t *loop, dy_metrics_t *metrics,
				    const dy_address_t *listen, GError **error);
/* Closes the interface; NULL is allowed. */
void operator_api_destroy(operator_api_t *api);

/* Sets the control, kept by reference; NULL: all calls get status 503. */
void operator_api_set_control(operator_api_t *api, dy_control_t *control);

/*
 * Validates a platform configuration; a `validate` of dy_control_options_t,
 * which describes the arguments and the result. context is the operator_api_t.
 */
int operator_api_check_document(void *context, const uint8_t *bytes,
				size_t size, char *message,
				size_t message_size);

#endif
