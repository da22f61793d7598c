/*
 * Measures the registry with 110,000 agents: memory per member, the whole
 * state for a balancer that starts, a poll without changes, and a snapshot.
 * Prints rows of key=value.
 *
 *	bench_registry [MEMBERS]
 */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>
#include <rpc/xdr.h>

#include "damaskyard/registry.h"

#define MEMBERS 110000
#define UNCHANGED_POLLS 100000

static dy_registry_t *registry;
static uint64_t next_index;

static double now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

static void apply(const dy_command_t *command)
{
	uint32_t size;
	void *data = dy_command_encode(command, &size);

	dy_registry_apply(registry, data, size, ++next_index);
	g_free(data);
}

static void join_agents(unsigned members)
{
	dy_command_t command = { .kind = DY_COMMAND_JOIN };
	dy_member_join_t *join = &command.dy_command_t_u.join;
	char service[24];
	char name[24];
	unsigned i;

	join->state = DY_MEMBER_SERVING;
	join->info.kind = DY_MEMBER_AGENT;
	join->info.name = name;
	join->info.environment = "production";
	join->info.domain = "d1";
	join->info.service = service;
	join->info.labels = "tier=gold";
	join->info.slots = 7;
	join->info.connections = 2000;
	for (i = 0; i < members; i++) {
		snprintf(name, sizeof(name), "agent-%06u", i);
		snprintf(service, sizeof(service), "service-%u", i % 1000);
		join->info.address.port = 1024 + i % 60000;
		join->boot = i + 1;
		apply(&command);
	}
}

static dy_poll_t balancer_poll(void)
{
	dy_poll_t poll = { 0 };

	poll.info.kind = DY_MEMBER_BALANCER;
	poll.info.name = "balancer-1";
	poll.info.environment = "production";
	poll.info.domain = "d1";
	poll.info.service = "";
	poll.info.labels = "";
	poll.boot = 1;
	poll.state = DY_MEMBER_SERVING;
	return poll;
}

static uint64_t encoded_bytes(dy_poll_result_t *result)
{
	static char out[65536];
	XDR xdrs;

	xdrmem_create(&xdrs, out, sizeof(out), XDR_ENCODE);
	if (!xdr_dy_poll_result_t(&xdrs, result))
		abort();
	return xdr_getpos(&xdrs);
}

static void measure_whole_state(dy_poll_t *poll)
{
	dy_delta_t deltas[DY_DELTAS_MAX];
	dy_poll_result_t result = { 0 };
	double begin_ms = now_ms();
	uint64_t bytes = 0;
	unsigned pages = 0;

	do {
		result.deltas.deltas_val = deltas;
		dy_registry_fill_poll_result(registry, poll, &result);
		poll->state_version = result.state_version;
		bytes += encoded_bytes(&result);
		pages++;
	} while (result.more);
	printf("bench=registry_whole_state pages=%u bytes=%lu ms=%.1f\n", pages,
	       (unsigned long)bytes, now_ms() - begin_ms);
}

static void measure_unchanged_poll(dy_poll_t *poll)
{
	dy_delta_t deltas[DY_DELTAS_MAX];
	dy_poll_result_t result = { 0 };
	double begin_ms = now_ms();
	unsigned i;

	for (i = 0; i < UNCHANGED_POLLS; i++) {
		result.deltas.deltas_val = deltas;
		dy_registry_fill_poll_result(registry, poll, &result);
	}
	printf("bench=registry_poll_unchanged us=%.3f bytes=%lu\n",
	       (now_ms() - begin_ms) * 1e3 / UNCHANGED_POLLS,
	       (unsigned long)encoded_bytes(&result));
}

static int count_bytes(void *context, const void *data, size_t size)
{
	(void)data;
	*(uint64_t *)context += size;
	return 0;
}

static void measure_snapshot(void)
{
	double begin_ms = now_ms();
	uint64_t bytes = 0;

	dy_registry_write(registry, count_bytes, &bytes);
	printf("bench=registry_snapshot bytes=%lu ms=%.1f\n",
	       (unsigned long)bytes, now_ms() - begin_ms);
}

int main(int argc, char **argv)
{
	unsigned members = argc > 1 ? (unsigned)atoi(argv[1]) : MEMBERS;
	dy_poll_t poll = balancer_poll();
	size_t before = mallinfo2().uordblks;
	double begin_ms;
	size_t used;

	registry = dy_registry_create(NULL);
	begin_ms = now_ms();
	join_agents(members);
	used = mallinfo2().uordblks - before;
	printf("bench=registry_members members=%u bytes=%zu bytes_a_member=%zu "
	       "record=%zu join_us=%.2f\n",
	       members, used, used / members, dy_registry_member_bytes(),
	       (now_ms() - begin_ms) * 1e3 / members);
	measure_whole_state(&poll);
	measure_unchanged_poll(&poll);
	measure_snapshot();
	dy_registry_destroy(registry);
	return 0;
}
