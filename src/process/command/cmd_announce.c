#include <string.h>

#include <rpc/rpc.h>

#include "command.h"
#include "damaskyard/log.h"
#include "damaskyard/loop.h"
#include "damaskyard/rpc.h"
#include "damaskyard/settings.h"
#include "dy_target.h"

/* A third of the 3 s lease: two lost datagrams cause no outage. */
#define ANNOUNCE_INTERVAL_MS 1000

/* With --once, the command fails if the agent does not answer by then. */
#define ONCE_TIMEOUT_MS 2000

typedef struct announcer {
	char *service;
	char *labels;
	dy_address_t agent;
	dy_address_t target;
	uint64_t slots;
	uint64_t connections;
	uint64_t incarnation;
	gboolean cold;
	gboolean draining;
	gboolean takes_cancel;
	gboolean once;
	dy_metrics_t *metrics;
	dy_loop_t *loop;
	dy_endpoint_t *endpoint;
	uint32_t xid;
	int last_status; /* -1 before the first answer */
	uint64_t started_ms;
	int exit_code;
} announcer_t;

static const char *status_name(int status)
{
	static const char *const names[] = { "ok", "malformed", "other_service",
					     "stale" };

	return status >= 0 && status <= DY_ANNOUNCE_STALE ? names[status]
							  : "unknown";
}

static size_t encode_announcement(announcer_t *announcer, uint8_t *out,
				  size_t cap)
{
	char address[DY_ADDRESS_TEXT_BYTES];
	dy_announcement_t announcement = { 0 };
	XDR xdrs;

	announcement.service = announcer->service;
	announcement.labels = announcer->labels;
	announcement.address =
		(char *)dy_address_format(&announcer->target, address);
	announcement.slots = (u_int)announcer->slots;
	announcement.connections = (u_int)announcer->connections;
	announcement.incarnation = announcer->incarnation;
	announcement.cold = announcer->cold;
	announcement.draining = announcer->draining;
	announcement.takes_cancel = announcer->takes_cancel;
	xdrmem_create(&xdrs, (char *)out, (u_int)cap, XDR_ENCODE);
	return xdr_dy_announcement_t(&xdrs, &announcement) ? xdr_getpos(&xdrs)
							   : 0;
}

static void announce(void *context)
{
	announcer_t *announcer = context;
	dy_rpc_call_t call = { 0 };
	uint8_t args[512];
	uint8_t out[1024];
	size_t len;

	call.xid = ++announcer->xid;
	call.program = DY_ANNOUNCE_PROGRAM;
	call.program_version = DY_ANNOUNCE_V1;
	call.procedure = DY_ANNOUNCE;
	call.args = args;
	call.args_len = encode_announcement(announcer, args, sizeof(args));
	len = dy_rpc_write_call(&call, out, sizeof(out));
	dy_endpoint_send_to(announcer->endpoint, out, len, &announcer->agent);
	if (announcer->once &&
	    dy_loop_now_ms(announcer->loop) - announcer->started_ms >=
		    ONCE_TIMEOUT_MS) {
		dy_log_event(DY_LOG_ERROR, "announcement_unanswered",
			     "service=%s", announcer->service);
		announcer->exit_code = DY_EXIT_FAILED;
		dy_loop_end(announcer->loop);
	}
}

static void handle_status(announcer_t *announcer, int status)
{
	if (status != announcer->last_status)
		dy_log_event(status == DY_ANNOUNCE_OK ? DY_LOG_INFO
						      : DY_LOG_ERROR,
			     "announcement_answered", "service=%s status=%s",
			     announcer->service, status_name(status));
	announcer->last_status = status;
	if (!announcer->once)
		return;
	announcer->exit_code =
		status == DY_ANNOUNCE_OK ? DY_EXIT_OK : DY_EXIT_FAILED;
	dy_loop_end(announcer->loop);
}

static void on_receive(void *context, uint8_t *bytes, size_t len,
		       const struct sockaddr *from, int truncated)
{
	announcer_t *announcer = context;
	dy_announce_result_t result;
	dy_rpc_reply_t reply;
	dy_address_t address;
	XDR xdrs;

	dy_address_load(&address, from);
	if (truncated || !dy_address_equal(&address, &announcer->agent) ||
	    dy_rpc_parse_reply(bytes, len, &reply) || reply.denied ||
	    reply.status != SUCCESS || reply.xid != announcer->xid)
		return;
	xdrmem_create(&xdrs, (char *)reply.results, (u_int)reply.results_len,
		      XDR_DECODE);
	if (xdr_dy_announce_result_t(&xdrs, &result))
		handle_status(announcer, result.status);
}

static void on_stop(void *context)
{
	announcer_t *announcer = context;

	dy_loop_end(announcer->loop);
}

/* Binds to any port, in the address family of the agent. */
static gboolean open_endpoint(announcer_t *announcer, GError **error)
{
	static const uint8_t mapped[12] = { [10] = 0xff, [11] = 0xff };
	dy_address_t any = { 0 };

	if (!memcmp(announcer->agent.ip, mapped, sizeof(mapped)))
		memcpy(any.ip, mapped, sizeof(mapped));
	announcer->endpoint = dy_endpoint_create(announcer->loop, &any,
						 on_receive, announcer, error);
	return !!announcer->endpoint;
}

static int run(announcer_t *announcer)
{
	GError *error = NULL;
	gboolean ok;

	dy_log_configure(DY_LOG_INFO, "announce");
	announcer->last_status = -1;
	if (!announcer->incarnation)
		announcer->incarnation = (uint64_t)g_get_real_time();
	announcer->metrics = dy_metrics_create();
	announcer->loop = dy_loop_create(announcer->metrics);
	announcer->started_ms = dy_loop_now_ms(announcer->loop);
	ok = open_endpoint(announcer, &error);
	if (ok) {
		dy_loop_on_stop(announcer->loop, on_stop, announcer);
		dy_loop_every(announcer->loop, ANNOUNCE_INTERVAL_MS, announce,
			      announcer);
		announce(announcer);
		dy_loop_run(announcer->loop);
		dy_endpoint_destroy(announcer->endpoint);
	}
	dy_loop_destroy(announcer->loop);
	dy_metrics_destroy(announcer->metrics);
	return ok ? announcer->exit_code
		  : dy_command_fail_usage("announce", error);
}

int dy_command_announce(int argc, char **argv)
{
	announcer_t announcer = { 0 };
	const dy_setting_t settings[] = {
		{ "agent", DY_SETTING_ADDRESS, &announcer.agent, TRUE, NULL, 0,
		  0, "IP:PORT", "the --announce address of the agent" },
		{ "service", DY_SETTING_NAME, &announcer.service, TRUE, NULL, 0,
		  0, "NAME", "service that the target offers" },
		{ "target", DY_SETTING_ADDRESS, &announcer.target, TRUE, NULL,
		  0, 0, "IP:PORT",
		  "TCP address at which the target accepts calls" },
		{ "slots", DY_SETTING_NUMBER, &announcer.slots, TRUE, NULL, 1,
		  64, "N", "concurrent calls that the target runs" },
		{ "connections", DY_SETTING_NUMBER, &announcer.connections,
		  TRUE, NULL, 1, 100000, "N",
		  "concurrent sessions that the target holds" },
		{ "labels", DY_SETTING_TEXT, &announcer.labels, FALSE, "", 0, 0,
		  "K=V,..", "labels that a document may require" },
		{ "incarnation", DY_SETTING_NUMBER, &announcer.incarnation,
		  FALSE, NULL, 1, 0, "N",
		  "greater at each start of the target; default the time of day" },
		{ "cold", DY_SETTING_FLAG, &announcer.cold, FALSE, NULL, 0, 0,
		  NULL, "the target has just started" },
		{ "draining", DY_SETTING_FLAG, &announcer.draining, FALSE, NULL,
		  0, 0, NULL, "the target is about to stop" },
		{ "takes-cancel", DY_SETTING_FLAG, &announcer.takes_cancel,
		  FALSE, NULL, 0, 0, NULL,
		  "the target serves cancellation calls too" },
		{ "once", DY_SETTING_FLAG, &announcer.once, FALSE, NULL, 0, 0,
		  NULL, "exit after the first answer, or after 2 s" },
		{ 0 },
	};
	GError *error = NULL;
	int code;

	if (dy_settings_load(argc, argv,
			     "Announce a target to the agent beside it every "
			     "second.",
			     settings, NULL, &error))
		code = run(&announcer);
	else
		code = dy_command_fail_usage("announce", error);
	dy_settings_clear(settings);
	return code;
}
