#ifndef DAMASKYARD_HTTP_H
#define DAMASKYARD_HTTP_H

/*
 * A small HTTP/1.1 server on the loop, for the few calls that the outside
 * makes to a process itself: readiness, heartbeats, an operator's documents.
 *
 * A connection handles one request at a time; a request may be answered later
 * than its handler returns. What cannot be parsed is answered 400 and closed,
 * a body over the limit 413. Callers that are silent are closed after
 * DY_HTTP_IDLE_MS. Counters: http_requests, http_malformed, http_refused.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "damaskyard/loop.h"

/*
 * A connection without a whole request, or one that does not read its answer,
 * is closed after this time, in ms: callers time out after one second, more
 * for large bodies, so nobody is waiting any more.
 */
#define DY_HTTP_IDLE_MS 20000

/*
 * Connections at once. A process has some 4,000 descriptors, and its callers
 * are one target, one platform or a few operators; more are closed at once.
 */
#define DY_HTTP_CONNECTIONS_MAX 256

typedef struct dy_http_server dy_http_server_t;

/* One request that waits for its answer. Not the caller's to free. */
typedef struct dy_http_exchange dy_http_exchange_t;

typedef struct dy_http_request {
	const char *method;
	const char *path; /* with its query, as it came */
	const uint8_t *body;
	size_t body_len;
} dy_http_request_t;

/*
 * Handle a request, valid during the call. dy_http_answer() is to be called
 * once for exchange, now or later.
 */
typedef void dy_http_handle_cb_t(void *context, dy_http_exchange_t *exchange,
				 const dy_http_request_t *request);

typedef struct dy_http_config {
	dy_address_t listen;
	size_t body_max_bytes; /* bytes */
	dy_http_handle_cb_t *handle;
	void *context;
} dy_http_config_t;

/* Returns NULL with error set if the address cannot be bound. */
dy_http_server_t *dy_http_server_create(dy_loop_t *loop, dy_metrics_t *metrics,
					const dy_http_config_t *config,
					GError **error);

/*
 * Close all connections. An exchange that was not answered yet stays valid;
 * answering it does nothing more.
 */
void dy_http_server_destroy(dy_http_server_t *server);

/* The address it is bound to, with the true port. */
const dy_address_t *dy_http_server_address(const dy_http_server_t *server);

typedef struct dy_http_answer {
	int status;
	const char *type;     /* of body; NULL: application/json */
	const char *location; /* of a redirect, or NULL */
	const void *body;     /* copied */
	size_t body_len;
} dy_http_answer_t;

/* Answer an exchange; a caller that has gone is not told. Frees exchange. */
void dy_http_answer(dy_http_exchange_t *exchange,
		    const dy_http_answer_t *answer);

/*
 * Whether the caller of an exchange has closed its connection, as after its own
 * time-out: it will not read the answer, and may have asked elsewhere since.
 */
int dy_http_is_abandoned(const dy_http_exchange_t *exchange);

/* Answer with a status and an empty JSON object. */
void dy_http_answer_status(dy_http_exchange_t *exchange, int status);

#endif
