/*
 * The control path: a group of three in one process, over loopback and three
 * folders, polled by as many members as asked for, each again as soon as it
 * was answered. All of it shares one thread, the members too.
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
#define RETRY_MS 200

typedef struct member {
	dy_poll_t poll;
	char name[24];
	char service[24];
	uint32_t xid;
	uint64_t sent_ms;
} member_t;

typedef struct world {
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
} world_t;

static void send_poll(world_t *world, member_t *member)
{
	dy_seal_header_t head = { 0, DY_CONTROL_PROGRAM, DY_CONTROL_POLL };
	uint8_t out[2048];
	size_t len;

	/* The xid finds the member again. */
	head.xid = (uint32_t)(member - world->members);
	member->sent_ms = dy_loop_now_ms(world->loop);
	len = dy_seal_write_call(world->seal, &head, (xdrproc_t)xdr_dy_poll_t,
				 &member->poll, out, sizeof(out));
	world->bytes_out += len;
	dy_endpoint_send_to(world->endpoint, out, len, &world->leader);
}

static void take_result(world_t *world, member_t *member,
			const dy_poll_result_t *result)
{
	if (result->status == DY_STATUS_NOT_LEADER && result->leader.port)
		world->leader = result->leader;
	if (result->status != DY_STATUS_OK)
		return;
	world->joined += !member->poll.incarnation;
	member->poll.incarnation = result->incarnation;
	member->poll.state_version = result->state_version;
	world->answers++;
	send_poll(world, member);
}

static void receive(void *context, uint8_t *bytes, size_t len,
		    const struct sockaddr *from, int truncated)
{
	world_t *world = context;
	dy_poll_result_t result;
	dy_sealed_t message;

	(void)from;
	if (truncated ||
	    dy_seal_open(world->seal, bytes, len, &message) != DY_SEAL_OK ||
	    !message.is_reply || message.xid >= world->count)
		return;
	if (!dy_sealed_load(&message, (xdrproc_t)xdr_dy_poll_result_t, &result,
			    sizeof(result)))
		return;
	world->bytes_in += len;
	take_result(world, &world->members[message.xid], &result);
	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&result);
}

static void tick(void *context)
{
	world_t *world = context;
	uint64_t now_ms = dy_loop_now_ms(world->loop);
	unsigned i;

	for (i = 0; i < world->count; i++)
		if (now_ms - world->members[i].sent_ms >= RETRY_MS)
			send_poll(world, &world->members[i]);
	if (world->end_ms ? now_ms >= world->end_ms
			  : world->joined == world->count)
		dy_loop_end(world->loop);
}

static dy_address_t find_port(world_t *world)
{
	dy_endpoint_t *probe;
	dy_address_t address;

	dy_address_parse("127.0.0.1:0", &address);
	probe = dy_endpoint_create(world->loop, &address, receive, world, NULL);
	address = *dy_endpoint_address(probe);
	dy_endpoint_destroy(probe);
	return address;
}

static void start_controls(world_t *world)
{
	dy_control_options_t *options = &world->options;
	GError *error = NULL;
	unsigned i;

	options->group = 1;
	options->secrets.count = 1;
	options->peers.count = CONTROLS;
	options->leases = (dy_lease_times_t){ 60000, 600000 };
	options->keys = (dy_key_times_t){ 600000, 600000, 600000 };
	for (i = 0; i < CONTROLS; i++)
		options->peers.slots[i + 1] = find_port(world);
	uv_run(dy_loop_uv(world->loop), UV_RUN_NOWAIT);
	world->leader = options->peers.slots[1];
	for (i = 0; i < CONTROLS; i++) {
		world->folders[i] = g_dir_make_tmp("dy-bench-XXXXXX", NULL);
		options->slot = i + 1;
		options->folder = world->folders[i];
		options->listen = options->peers.slots[i + 1];
		world->controls[i] = dy_control_create(
			world->loop, world->metrics, options, &error);
		if (!world->controls[i]) {
			fprintf(stderr, "%s\n", error->message);
			exit(1);
		}
	}
}

static void start_members(world_t *world)
{
	dy_member_info_t *info;
	dy_address_t any;
	unsigned i;

	dy_address_parse("127.0.0.1:0", &any);
	world->endpoint =
		dy_endpoint_create(world->loop, &any, receive, world, NULL);
	world->seal = dy_seal_create(&world->options.secrets, world->metrics);
	world->members = g_new0(member_t, world->count);
	for (i = 0; i < world->count; i++) {
		info = &world->members[i].poll.info;
		snprintf(world->members[i].name, sizeof(world->members[i].name),
			 "agent-%u", i);
		snprintf(world->members[i].service,
			 sizeof(world->members[i].service), "service-%u",
			 i / 10);
		info->kind = DY_MEMBER_AGENT;
		info->name = world->members[i].name;
		info->environment = "production";
		info->domain = "d1";
		info->service = world->members[i].service;
		info->labels = "";
		world->members[i].poll.boot = i + 1;
		world->members[i].poll.state = DY_MEMBER_SERVING;
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

static void clean_up(world_t *world)
{
	unsigned i;

	for (i = 0; i < CONTROLS; i++)
		dy_control_destroy(world->controls[i]);
	dy_endpoint_destroy(world->endpoint);
	dy_loop_destroy(world->loop);
	dy_seal_destroy(world->seal);
	dy_metrics_destroy(world->metrics);
	for (i = 0; i < CONTROLS; i++)
		remove_folder(world->folders[i]);
	g_free(world->members);
}

static void report(const world_t *world, unsigned seconds)
{
	uint64_t answers = MAX(world->answers, 1);

	printf("bench=control_polls members=%u controls=%d answers=%lu "
	       "answers_a_second=%lu bytes_a_poll=%lu bytes_an_answer=%lu\n",
	       world->count, CONTROLS, (unsigned long)world->answers,
	       (unsigned long)(world->answers / seconds),
	       (unsigned long)(world->bytes_out / answers),
	       (unsigned long)(world->bytes_in / answers));
}

int main(int argc, char **argv)
{
	unsigned seconds = argc > 2 ? MAX(atoi(argv[2]), 1) : SECONDS;
	world_t world = { 0 };

	dy_log_configure(DY_LOG_ERROR, NULL);
	world.count = argc > 1 ? (unsigned)atoi(argv[1]) : MEMBERS;
	world.metrics = dy_metrics_create();
	world.loop = dy_loop_create(world.metrics);
	start_controls(&world);
	start_members(&world);
	dy_loop_every(world.loop, 20, tick, &world);
	dy_loop_run(world.loop);
	world.answers = 0;
	world.bytes_in = 0;
	world.bytes_out = 0;
	world.end_ms = dy_loop_now_ms(world.loop) + seconds * 1000;
	dy_loop_run(world.loop);
	report(&world, seconds);
	clean_up(&world);
	return 0;
}
