#ifndef DAMASKYARD_HTTP_H
#define DAMASKYARD_HTTP_H

/*
 * A small HTTP/1.1 server on the loop, for the calls that are made to a
 * process itself: readiness, heartbeats, an operator's documents, counters.
 *
 * A connection handles one request at a time; a handler may return first and
 * answer later. Malformed requests get status 400, bodies over the limit 413;
 * both close the connection. Idle connections are closed after
 * DY_HTTP_IDLE_TIMEOUT_MS.
 * Counters: http_requests, http_malformed, http_refused.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "damaskyard/loop.h"

/*
 * Timeout, in ms, of a connection without a complete request, or whose caller
 * does not read the answer. Callers time out after one second, or later with
 * large bodies, so nobody waits for such a connection any more.
 */
#define DY_HTTP_IDLE_TIMEOUT_MS 20000

/*
 * Maximum number of open connections; further ones are closed at once. A
 * process has some 4,000 file descriptors, and its callers are one target, one
 * platform or a few operators.
 */
#define DY_HTTP_CONNECTIONS_MAX 256

typedef struct dy_http_server dy_http_server_t;

/* A request that is not answered yet. Freed by dy_http_answer(). */
typedef struct dy_http_exchange dy_http_exchange_t;

typedef struct dy_http_request {
	const char *method;
	const char *path; /* with the query, as received */
	const uint8_t *body;
	size_t body_len; /* bytes */
} dy_http_request_t;

/*
 * Handle a request, which is valid during the call. dy_http_answer() or
 * dy_http_answer_status() must be called once for exchange, during this call
 * or later.
 */
typedef void dy_http_handle_cb_t(void *context, dy_http_exchange_t *exchange,
				 const dy_http_request_t *request);

typedef struct dy_http_config {
	dy_address_t listen;
	size_t body_max_bytes;
	dy_http_handle_cb_t *handle;
	void *context;
} dy_http_config_t;

/*
 * Start a server; config is copied. Returns NULL with error set if the address
 * cannot be bound.
 */
dy_http_server_t *dy_http_server_create(dy_loop_t *loop, dy_metrics_t *metrics,
					const dy_http_config_t *config,
					GError **error);

/*
 * Close all connections and free the server. An unanswered exchange stays
 * valid; answering it frees it and does nothing else.
 */
void dy_http_server_destroy(dy_http_server_t *server);

/* The bound address, with the actual port. Owned by the server. */
const dy_address_t *dy_http_server_address(const dy_http_server_t *server);

typedef struct dy_http_answer {
	int status;
	const char *type;     /* of body; NULL: application/json */
	const char *location; /* of a redirect, or NULL */
	const void *body;     /* copied */
	size_t body_len;      /* bytes */
} dy_http_answer_t;

/*
 * Answer an exchange and free it. The answer is dropped if the connection has
 * been closed.
 */
void dy_http_answer(dy_http_exchange_t *exchange,
		    const dy_http_answer_t *answer);

/*
 * Returns 1 if the caller of an exchange has closed its connection, for
 * example after its own timeout, and 0 otherwise. Such a caller does not read
 * the answer, and may have sent the request elsewhere since.
 */
int dy_http_is_abandoned(const dy_http_exchange_t *exchange);

/* Answer with a status and an empty JSON object, and free exchange. */
void dy_http_answer_status(dy_http_exchange_t *exchange, int status);

#endif
