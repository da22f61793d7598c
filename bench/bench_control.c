/*
 * Measures the control path: a group of three controls in one process, over
 * loopback and three data folders. Each member polls again as soon as it is
 * answered. Controls and members share one thread.
 *
 *	bench_control [MEMBERS [SECONDS]]
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib/gstdio.h>

#include "damaskyard/control.h"
#include "damaskyard/log.h"
#include "damaskyard/seal.h"

#define CONTROLS 3
#define MEMBERS 200
#define SECONDS 3
#define RETRY_INTERVAL_MS 200

typedef struct member {
	dy_poll_t poll;
	char name[24];
	char service[24];
	uint32_t xid;
	uint64_t last_sent_ms;
} member_t;

typedef struct bench {
	dy_metrics_t *metrics;
	dy_loop_t *loop;
	dy_control_options_t options;
	dy_control_t *controls[CONTROLS];
	char *folders[CONTROLS];
	dy_endpoint_t *endpoint;
	dy_seal_t *seal;
	dy_address_t leader;
	member_t *members;
	unsigned count;
	unsigned joined;
	uint64_t answers;
	uint64_t bytes_out;
	uint64_t bytes_in;
	uint64_t end_ms;
} bench_t;

static void send_poll(bench_t *bench, member_t *member)
{
	dy_seal_header_t head = { 0, DY_CONTROL_PROGRAM, DY_CONTROL_POLL };
	uint8_t out[2048];
	size_t len;

	/* The xid identifies the member when the answer arrives. */
	head.xid = (uint32_t)(member - bench->members);
	member->last_sent_ms = dy_loop_now_ms(bench->loop);
	len = dy_seal_write_call(bench->seal, &head, (xdrproc_t)xdr_dy_poll_t,
				 &member->poll, out, sizeof(out));
	bench->bytes_out += len;
	dy_endpoint_send_to(bench->endpoint, out, len, &bench->leader);
}

static void handle_result(bench_t *bench, member_t *member,
			  const dy_poll_result_t *result)
{
	if (result->status == DY_STATUS_NOT_LEADER && result->leader.port)
		bench->leader = result->leader;
	if (result->status != DY_STATUS_OK)
		return;
	bench->joined += !member->poll.incarnation;
	member->poll.incarnation = result->incarnation;
	member->poll.state_version = result->state_version;
	bench->answers++;
	send_poll(bench, member);
}

static void receive(void *context, uint8_t *bytes, size_t len,
		    const struct sockaddr *from, int truncated)
{
	bench_t *bench = context;
	dy_poll_result_t result;
	dy_sealed_t message;

	(void)from;
	if (truncated ||
	    dy_seal_open(bench->seal, bytes, len, &message) != DY_SEAL_OK ||
	    !message.is_reply || message.xid >= bench->count)
		return;
	if (!dy_sealed_load(&message, (xdrproc_t)xdr_dy_poll_result_t, &result,
			    sizeof(result)))
		return;
	bench->bytes_in += len;
	handle_result(bench, &bench->members[message.xid], &result);
	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&result);
}

static void tick(void *context)
{
	bench_t *bench = context;
	uint64_t now_ms = dy_loop_now_ms(bench->loop);
	unsigned i;

	for (i = 0; i < bench->count; i++)
		if (now_ms - bench->members[i].last_sent_ms >=
		    RETRY_INTERVAL_MS)
			send_poll(bench, &bench->members[i]);
	if (bench->end_ms ? now_ms >= bench->end_ms
			  : bench->joined == bench->count)
		dy_loop_end(bench->loop);
}

static dy_address_t find_free_port(bench_t *bench)
{
	dy_endpoint_t *probe;
	dy_address_t address;

	dy_address_parse("127.0.0.1:0", &address);
	probe = dy_endpoint_create(bench->loop, &address, receive, bench, NULL);
	address = *dy_endpoint_address(probe);
	dy_endpoint_destroy(probe);
	return address;
}

static void start_controls(bench_t *bench)
{
	dy_control_options_t *options = &bench->options;
	GError *error = NULL;
	unsigned i;

	options->group = 1;
	options->secrets.count = 1;
	options->peers.count = CONTROLS;
	options->leases = (dy_lease_times_t){ 60000, 600000 };
	options->keys = (dy_key_times_t){ 600000, 600000, 600000 };
	for (i = 0; i < CONTROLS; i++)
		options->peers.slots[i + 1] = find_free_port(bench);
	uv_run(dy_loop_uv(bench->loop), UV_RUN_NOWAIT);
	bench->leader = options->peers.slots[1];
	for (i = 0; i < CONTROLS; i++) {
		bench->folders[i] = g_dir_make_tmp("dy-bench-XXXXXX", NULL);
		options->slot = i + 1;
		options->folder = bench->folders[i];
		options->listen = options->peers.slots[i + 1];
		bench->controls[i] = dy_control_create(
			bench->loop, bench->metrics, options, &error);
		if (!bench->controls[i]) {
			fprintf(stderr, "%s\n", error->message);
			exit(1);
		}
	}
}

static void start_members(bench_t *bench)
{
	dy_member_info_t *info;
	dy_address_t any;
	unsigned i;

	dy_address_parse("127.0.0.1:0", &any);
	bench->endpoint =
		dy_endpoint_create(bench->loop, &any, receive, bench, NULL);
	bench->seal = dy_seal_create(&bench->options.secrets, bench->metrics);
	bench->members = g_new0(member_t, bench->count);
	for (i = 0; i < bench->count; i++) {
		info = &bench->members[i].poll.info;
		snprintf(bench->members[i].name, sizeof(bench->members[i].name),
			 "agent-%u", i);
		snprintf(bench->members[i].service,
			 sizeof(bench->members[i].service), "service-%u",
			 i / 10);
		info->kind = DY_MEMBER_AGENT;
		info->name = bench->members[i].name;
		info->environment = "production";
		info->domain = "d1";
		info->service = bench->members[i].service;
		info->labels = "";
		bench->members[i].poll.boot = i + 1;
		bench->members[i].poll.state = DY_MEMBER_SERVING;
	}
}

static void remove_folder(char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;
	char *path;

	while (dir && (name = g_dir_read_name(dir))) {
		path = g_build_filename(folder, name, NULL);
		g_unlink(path);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(folder);
	g_free(folder);
}

static void clean_up(bench_t *bench)
{
	unsigned i;

	for (i = 0; i < CONTROLS; i++)
		dy_control_destroy(bench->controls[i]);
	dy_endpoint_destroy(bench->endpoint);
	dy_loop_destroy(bench->loop);
	dy_seal_destroy(bench->seal);
	dy_metrics_destroy(bench->metrics);
	for (i = 0; i < CONTROLS; i++)
		remove_folder(bench->folders[i]);
	g_free(bench->members);
}

static void report(const bench_t *bench, unsigned seconds)
{
	uint64_t answers = MAX(bench->answers, 1);

	printf("bench=control_polls members=%u controls=%d answers=%lu "
	       "answers_a_second=%lu bytes_a_poll=%lu bytes_an_answer=%lu\n",
	       bench->count, CONTROLS, (unsigned long)bench->answers,
	       (unsigned long)(bench->answers / seconds),
	       (unsigned long)(bench->bytes_out / answers),
	       (unsigned long)(bench->bytes_in / answers));
}

int main(int argc, char **argv)
{
	unsigned seconds = argc > 2 ? MAX(atoi(argv[2]), 1) : SECONDS;
	bench_t bench = { 0 };

	dy_log_configure(DY_LOG_ERROR, NULL);
	bench.count = argc > 1 ? (unsigned)atoi(argv[1]) : MEMBERS;
	bench.metrics = dy_metrics_create();
	bench.loop = dy_loop_create(bench.metrics);
	start_controls(&bench);
	start_members(&bench);
	dy_loop_every(bench.loop, 20, tick, &bench);
	dy_loop_run(bench.loop);
	bench.answers = 0;
	bench.bytes_in = 0;
	bench.bytes_out = 0;
	bench.end_ms = dy_loop_now_ms(bench.loop) + seconds * 1000;
	dy_loop_run(bench.loop);
	report(&bench, seconds);
	clean_up(&bench);
	return 0;
}
