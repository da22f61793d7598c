/*
 * Measures a balancer's router at the size that the users require: 110,000
 * targets behind 34,000 addresses. Prints memory per target and the times to
 * apply a document, change a member, open a flow and route a call of an open
 * flow.
 *
 *	bench_table [TARGETS [SERVICES]]
 */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <rpc/rpc.h>

#include "damaskyard/log.h"
#include "damaskyard/router.h"

#define TARGETS 110000
#define SERVICES 34000
#define DOMAINS 14
#define OPERATIONS 20000

static uint64_t forwarded;

static void on_forward(void *context, const dy_address_t *to,
		       dy_forward_t *forward)
{
	(void)context;
	(void)to;
	(void)forward;
	forwarded++;
}

static void on_answer(void *context, uint64_t socket,
		      const dy_address_t *caller, const uint8_t *bytes,
		      size_t len)
{
	(void)context;
	(void)socket;
	(void)caller;
	(void)bytes;
	(void)len;
}

static double now_us(void)
{
	return (double)g_get_monotonic_time();
}

static size_t used_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static GString *write_document(unsigned services)
{
	GString *text = g_string_new("[document]\nweigh = broken_flows\n");
	unsigned i;

	for (i = 0; i < services; i++)
		g_string_append_printf(
			text,
			"[service s%u]\naddress = 10.%u.%u.%u:4000\n"
			"program = 0x2A000001\nversion = 1\nidempotent = 2\n",
			i, i >> 16 & 255, i >> 8 & 255, i & 255);
	return text;
}

static void set_member(dy_router_t *router, unsigned i, unsigned services,
		       dy_member_state_t state)
{
	dy_member_t member = { 0 };
	char service[32];
	char domain[16];

	g_snprintf(service, sizeof(service), "s%u", i % services);
	g_snprintf(domain, sizeof(domain), "d%u", i % DOMAINS);
	member.id = i + 1;
	member.incarnation = i + 1;
	member.state = state;
	member.info.kind = DY_MEMBER_AGENT;
	member.info.name = "a";
	member.info.environment = "production";
	member.info.domain = domain;
	member.info.service = service;
	member.info.labels = "";
	member.info.slots = 7;
	member.info.connections = 2000;
	dy_router_set_member(router, &member, 1000);
}

/* Writes a call of an open flow, with a token, or of a new flow if !ring. */
static size_t write_call(uint8_t *out, size_t cap, dy_keyring_t *ring,
			 unsigned target, unsigned services, uint32_t xid)
{
	uint8_t bytes[DY_TOKEN_BYTES];
	char name[32];
	dy_token_t token = { .agent = target + 1, .incarnation = target + 1 };
	dy_rpc_call_t call = { .xid = xid,
			       .program = 0x2A000001,
			       .program_version = 1 };

	if (ring) {
		g_snprintf(name, sizeof(name), "s%u", target % services);
		token.service = dy_service_id(name);
		call.procedure = 1;
		call.credential.flavor = AUTH_SHORT;
		call.credential.body = bytes;
		call.credential.len =
			(uint32_t)dy_token_write(ring, &token, bytes);
	}
	return dy_rpc_write_call(&call, out, cap);
}

static double time_calls(dy_router_t *router, dy_keyring_t *ring,
			 unsigned targets, unsigned services)
{
	static uint8_t calls[OPERATIONS][256];
	static dy_router_datagram_t datagrams[OPERATIONS];
	char name[32];
	double start;
	unsigned i;
	unsigned target;

	for (i = 0; i < OPERATIONS; i++) {
		target = i * 7919U % targets;
		g_snprintf(name, sizeof(name), "s%u", target % services);
		datagrams[i].service = dy_service_id(name);
		datagrams[i].bytes = calls[i];
		datagrams[i].len = write_call(calls[i], sizeof(calls[i]), ring,
					      target, services, i);
		datagrams[i].caller.port = i;
	}
	start = now_us();
	for (i = 0; i < OPERATIONS; i++)
		dy_router_receive(router, &datagrams[i], 1000000);
	return (now_us() - start) / OPERATIONS;
}

static dy_router_t *create_router(dy_keyring_t *ring, dy_metrics_t *metrics,
				  GRand *rand)
{
	static const dy_router_callbacks_t callbacks = { on_forward,
							 on_answer };
	dy_router_config_t config = { 0 };

	config.keyring = ring;
	config.metrics = metrics;
	config.rand = rand;
	config.domain = "d1";
	config.callbacks = &callbacks;
	return dy_router_create(&config);
}

static double time_set_document(dy_router_t *router, const GString *text)
{
	double start = now_us();

	dy_router_set_document(
		router, dy_document_parse(text->str, text->len, NULL), 1000);
	return now_us() - start;
}

static void measure(dy_router_t *router, dy_keyring_t *ring, unsigned targets,
		    unsigned services)
{
	GString *text = write_document(services);
	size_t empty_bytes = used_bytes();
	size_t document_table_bytes;
	double document_us;
	double change_us;
	double new_us;
	double open_us;
	double start;
	unsigned i;

	document_us = time_set_document(router, text);
	document_table_bytes = used_bytes();
	for (i = 0; i < targets; i++)
		set_member(router, i, services, DY_MEMBER_SERVING);
	printf("bench=table targets=%u services=%u document_bytes=%zu "
	       "bytes_a_service=%zu bytes_a_target=%zu total_mb=%.1f\n",
	       targets, services, (size_t)text->len,
	       (document_table_bytes - empty_bytes) / services,
	       (used_bytes() - document_table_bytes) / targets,
	       (double)(used_bytes() - empty_bytes) / 1e6);
	start = now_us();
	for (i = 0; i < OPERATIONS; i++)
		set_member(router, i * 7919U % targets, services,
			   i % 2 ? DY_MEMBER_SERVING : DY_MEMBER_DRAINING);
	change_us = (now_us() - start) / OPERATIONS;
	printf("bench=table_change first_document_ms=%.1f "
	       "next_document_ms=%.1f member_change_us=%.2f\n",
	       document_us / 1000, time_set_document(router, text) / 1000,
	       change_us);
	for (i = 0; i < targets; i++)
		set_member(router, i, services, DY_MEMBER_SERVING);
	new_us = time_calls(router, NULL, targets, services);
	open_us = time_calls(router, ring, targets, services);
	printf("bench=table_route new_flow_us=%.2f open_flow_us=%.2f "
	       "forwarded=%lu\n",
	       new_us, open_us, (unsigned long)forwarded);
	g_string_free(text, TRUE);
}

int main(int argc, char **argv)
{
	static const dy_secrets_t secrets = { { { 1 } }, 1 };
	unsigned targets = argc > 1 ? (unsigned)atoi(argv[1]) : TARGETS;
	unsigned services = argc > 2 ? (unsigned)atoi(argv[2]) : SERVICES;
	dy_key_info_t key = { .id = 1, .active = TRUE };
	dy_keyring_t *ring = dy_keyring_create(&secrets);
	dy_metrics_t *metrics = dy_metrics_create();
	GRand *rand = g_rand_new_with_seed(1);
	dy_router_t *router;

	if (!targets || !services) {
		fputs("bench_table: TARGETS and SERVICES must be > 0\n",
		      stderr);
		return 2;
	}
	dy_log_configure(DY_LOG_ERROR, NULL);
	dy_keyring_apply(ring, &key);
	router = create_router(ring, metrics, rand);
	dy_router_set_confirmed(router, 1);
	measure(router, ring, targets, services);
	dy_router_destroy(router);
	dy_keyring_destroy(ring);
	dy_metrics_destroy(metrics);
	g_rand_free(rand);
	return forwarded ? 0 : 1;
}
