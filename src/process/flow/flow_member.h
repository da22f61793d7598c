#ifndef DAMASKYARD_FLOW_MEMBER_H
#define DAMASKYARD_FLOW_MEMBER_H

/*
 * The common base of the processes for packet flows: settings that are
 * reloaded, a loop, the inner endpoint with its seal, and the subscription to
 * the controls.
 */

#include "damaskyard/flow_settings.h"
#include "damaskyard/loop.h"
#include "damaskyard/seal.h"
#include "damaskyard/subscriber.h"
#include "metrics_page.h"
#include "platform/calls.h"

/* The environment of packet flows; see docs/PLATFORM.md. */
#define FLOW_ENVIRONMENT "trial"

/*
 * Interval in ms at which the settings file is read again, in addition to
 * SIGHUP.
 */
#define FLOW_SETTINGS_RELOAD_INTERVAL_MS 5000

typedef struct flow_member {
	dy_flow_settings_t settings;
	char *path; /* of the settings file */
	dy_metrics_t *metrics;
	dy_loop_t *loop;
	dy_seal_t *seal;
	dy_endpoint_t *inner;
	dy_subscriber_t *subscriber;
	metrics_page_t *page; /* NULL: counters are not served */
	dy_member_info_t info;
	dy_endpoint_cb_t *receive; /* for datagrams of inner */
	void *context;
	uint8_t send_buf[2048]; /* one encoded message */
} flow_member_t;

/*
 * Load the settings of a command and start its log. Returns DY_EXIT_OK, or the
 * exit code of invalid arguments or settings, after printing the error.
 */
int flow_member_load(flow_member_t *member, int argc, char **argv,
		     const char *command, const char *summary,
		     dy_flow_role_t role);

/*
 * Create loop, counters, seal and inner endpoint. Returns TRUE, or FALSE with
 * error set; flow_member_close() is needed in both cases.
 */
gboolean flow_member_open(flow_member_t *member, dy_endpoint_cb_t *receive,
			  void *context, GError **error);

/*
 * Create the subscription and announce this process as a member. Fills
 * member->info from the settings, except for its service, which the caller may
 * have set before.
 */
void flow_member_subscribe(flow_member_t *member, dy_member_kind_t kind,
			   const dy_subscriber_callbacks_t *callbacks);

/*
 * If status is DY_STATUS_SUPERSEDED, join as a new incarnation and fetch all
 * state again: the lease expired while this process was suspended, and another
 * incarnation has its name. Returns 1 then, 0 for any other status.
 */
int flow_member_rejoin(flow_member_t *member, dy_status_t status);

/*
 * Answer the readiness call with 200 or 503, and all other calls with 405 or
 * 404.
 */
void flow_member_answer(dy_http_exchange_t *exchange, platform_call_t call,
			int ready);

/*
 * Send a sealed call from the inner endpoint. A message that does not fit
 * send_buf is dropped.
 */
void flow_member_send(flow_member_t *member, const dy_address_t *to,
		      uint32_t program, uint32_t procedure, xdrproc_t proc,
		      void *args);

/* Return how long a planned stop may take, in ms, by the settings. */
uint64_t flow_member_stop_limit_ms(const flow_member_t *member);

/* Free everything that was created since flow_member_load(). */
void flow_member_close(flow_member_t *member);

/* Free the settings. */
void flow_member_clear(flow_member_t *member);

#endif
