#ifndef DAMASKYARD_FLOW_MEMBER_H
#define DAMASKYARD_FLOW_MEMBER_H

/*
 * What the processes of packet flows have in common: settings that may change,
 * a loop, the inner endpoint with its seal, and the subscription to control.
 */

#include "damaskyard/flow_settings.h"
#include "damaskyard/loop.h"
#include "damaskyard/seal.h"
#include "damaskyard/subscriber.h"
#include "metrics_page.h"
#include "platform/calls.h"

/* The environment that packet flows are served in; see docs/PLATFORM.md. */
#define FLOW_ENVIRONMENT "trial"

/* The settings file is looked at this often, in ms, with or without SIGHUP. */
#define FLOW_SETTINGS_MS 5000

typedef struct flow_member {
	dy_flow_settings_t settings;
	char *path; /* of the settings */
	dy_metrics_t *metrics;
	dy_loop_t *loop;
	dy_seal_t *seal;
	dy_endpoint_t *inner;
	dy_subscriber_t *subscriber;
	metrics_page_t *page; /* NULL: no counters over HTTP */
	dy_member_info_t info;
	dy_endpoint_cb_t *receive; /* of the inner endpoint */
	void *context;
	uint8_t out[2048]; /* room for one message */
} flow_member_t;

/*
 * Load the settings for a command and start its log. Returns 0, or the exit
 * code of a wrong setting.
 */
int flow_member_load(flow_member_t *member, int argc, char **argv,
		     const char *command, const char *summary,
		     dy_flow_role_t role);

/* Create loop, counters, seal and inner endpoint. FALSE with error set. */
gboolean flow_member_open(flow_member_t *member, dy_endpoint_cb_t *receive,
			  void *context, GError **error);

/*
 * Create the subscription. info's strings are the settings', but for its
 * service, which the caller may have set.
 */
void flow_member_subscribe(flow_member_t *member, dy_member_kind_t kind,
			   const dy_subscriber_callbacks_t *callbacks);

/*
 * Join as a new incarnation and learn all state again, if status says that
 * another one has this member's name: its lease ran out while it was stopped.
 * Returns whether it did.
 */
int flow_member_rejoin(flow_member_t *member, dy_status_t status);

/* Answer the readiness call, or one that the role does not serve. */
void flow_member_answer(dy_http_exchange_t *exchange, platform_call_t call,
			int ready);

/* Send a sealed call from the inner endpoint. */
void flow_member_send(flow_member_t *member, const dy_address_t *to,
		      uint32_t program, uint32_t procedure, xdrproc_t proc,
		      void *args);

void flow_member_close(flow_member_t *member);

/* End the command: clears the settings. */
void flow_member_clear(flow_member_t *member);

#endif
