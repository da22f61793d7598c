/*
 * A readings server. It appends each submission to a file, which records the
 * calls that ran. Options make it delay answers, omit them or refuse calls.
 */

#include "common_args.h"
#include "common_server.h"
#include "dy_caller.h"
#include "standin_readings.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

/* Retry delay that a shed caller is told. */
#define SHED_RETRY_MS 50

typedef struct target {
	int stored_fd;
	GHashTable *counts;
	unsigned submitted;
	unsigned delay_ms;
	int stall_after;
	int shed_every;
	unsigned calls;
} target_t;

static unsigned stored_count(const target_t *target, const char *station)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(target->counts, station));
}

static void add_count(target_t *target, const char *station)
{
	g_hash_table_insert(
		target->counts, g_strdup(station),
		GUINT_TO_POINTER(stored_count(target, station) + 1));
}

/* A restarted target continues the counts from its file. */
static void load_counts(target_t *target, const char *path)
{
	char *text = NULL;
	char **lines;
	unsigned i;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return;
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i]; i++) {
		char **words = g_strsplit(lines[i], " ", 3);

		if (g_strv_length(words) == 3)
			add_count(target, words[0]);
		g_strfreev(words);
	}
	g_strfreev(lines);
	g_free(text);
}

/* A station is one word of the file, so it must hold no white space. */
static int valid_station(const char *station)
{
	return *station && !strpbrk(station, " \t\r\n");
}

static void store_reading(target_t *target, const standin_reading_t *reading)
{
	char *line = g_strdup_printf("%s %u %d\n", reading->station,
				     reading->sequence, reading->millimag);
	size_t length = strlen(line);

	if (write(target->stored_fd, line, length) != (ssize_t)length)
		standin_die("the file can't be written: %s", g_strerror(errno));
	add_count(target, reading->station);
	target->submitted++;
	g_free(line);
}

static void reply_unsigned(SVCXPRT *transport, unsigned value,
			   unsigned delay_ms)
{
	unsigned *result = g_new(unsigned, 1);

	*result = value;
	standin_server_reply(transport, (xdrproc_t)xdr_u_int, result, delay_ms);
}

/* Refuse the call; the verifier states that it did not run. */
static void refuse_as_shed(SVCXPRT *transport)
{
	struct opaque_auth *verifier = &transport->xp_verf;
	dy_refusal_t refusal = { DY_NOT_RUN, DY_REASON_SHED, SHED_RETRY_MS };
	XDR xdrs;

	xdrmem_create(&xdrs, verifier->oa_base, MAX_AUTH_BYTES, XDR_ENCODE);
	if (!xdr_dy_refusal_t(&xdrs, &refusal))
		standin_die("a refusal can't be encoded");
	verifier->oa_flavor = DY_AUTH_VERDICT;
	verifier->oa_length = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	svcerr_systemerr(transport);
}

static int should_shed(target_t *target)
{
	target->calls++;
	return target->shed_every > 0 &&
	       target->calls % (unsigned)target->shed_every == 0;
}

static void answer_submit(target_t *target, SVCXPRT *transport)
{
	standin_reading_t reading = { 0 };

	if (!svc_getargs(transport, (xdrproc_t)xdr_standin_reading_t,
			 &reading) ||
	    !valid_station(reading.station)) {
		svcerr_decode(transport);
	} else if (should_shed(target)) {
		refuse_as_shed(transport);
	} else {
		store_reading(target, &reading);
		if (target->stall_after < 0 ||
		    target->submitted <= (unsigned)target->stall_after)
			reply_unsigned(transport, reading.sequence,
				       target->delay_ms);
	}
	svc_freeargs(transport, (xdrproc_t)xdr_standin_reading_t, &reading);
}

static void answer_count(const target_t *target, SVCXPRT *transport)
{
	standin_station_t station = NULL;

	if (svc_getargs(transport, (xdrproc_t)xdr_standin_station_t, &station))
		reply_unsigned(transport, stored_count(target, station), 0);
	else
		svcerr_decode(transport);
	svc_freeargs(transport, (xdrproc_t)xdr_standin_station_t, &station);
}

static void handle_call(void *context, struct svc_req *request,
			SVCXPRT *transport)
{
	target_t *target = context;

	switch (request->rq_proc) {
	case STANDIN_READINGS_NULL:
		standin_server_reply(transport, STANDIN_XDR_VOID, NULL, 0);
		break;
	case STANDIN_SUBMIT:
		answer_submit(target, transport);
		break;
	case STANDIN_COUNT:
		answer_count(target, transport);
		break;
	default:
		svcerr_noproc(transport);
	}
}

int main(int argc, char **argv)
{
	target_t target = { .stall_after = -1 };
	char *listen_text = "127.0.0.1:0";
	char *path = NULL;
	int delay_ms = 0;
	const GOptionEntry entries[] = {
		{ "listen", 0, 0, G_OPTION_ARG_STRING, &listen_text,
		  "Where calls are taken", "IP:PORT" },
		{ "file", 0, 0, G_OPTION_ARG_FILENAME, &path,
		  "File of the submissions", "FILE" },
		{ "delay-ms", 0, 0, G_OPTION_ARG_INT, &delay_ms,
		  "Time between storing and answering", "MS" },
		{ "stall-after", 0, 0, G_OPTION_ARG_INT, &target.stall_after,
		  "Answer this many submissions, and store the rest in silence",
		  "N" },
		{ "shed-every", 0, 0, G_OPTION_ARG_INT, &target.shed_every,
		  "Refuse every Nth submission as not run", "N" },
		{ NULL }
	};

	standin_parse_options(argc, argv, "A stand-in readings server.",
			      entries);
	if (!path)
		standin_die("--file is missing");
	target.delay_ms = delay_ms;
	target.counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	load_counts(&target, path);
	target.stored_fd =
		open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	if (target.stored_fd < 0)
		standin_die("%s: %s", path, g_strerror(errno));
	standin_server_run(listen_text, STANDIN_READINGS_PROG,
			   STANDIN_READINGS_VERS, handle_call, &target);
	return 0;
}
