/*
 * Load generator for the data path: sends calls of many sessions from one
 * socket, with a fixed number of calls in flight.
 *
 *	--mode calls	NULL calls with a token, answered by the agent
 *	--mode flows	NULL calls without a token; each opens a session
 *	--mode echo	the datagrams of --mode calls, sent to a plain relay
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <rpc/rpc.h>

#include "damaskyard/loop.h"
#include "damaskyard/rpc.h"

#include "common_args.h"

#define WINDOW_MAX 4096
#define LATENCIES_MAX 4000000

#define TICK_INTERVAL_MS 10

/* Time without an answer after which a call counts as lost. */
#define LOST_TIMEOUT_US 1000000

/* Delay before a refused call is replaced by a new one. */
#define REFUSED_RETRY_DELAY_US 20000

/* Length of the token in --mode echo, the same as that of a real token. */
#define TOKEN_BYTES 72

typedef struct call {
	uint32_t xid;
	uint64_t sent_us;
} call_t;

typedef struct load {
	dy_loop_t *loop;
	dy_endpoint_t *endpoint;
	dy_address_t address;
	call_t calls[WINDOW_MAX];
	uint8_t token[DY_RPC_MAX_AUTH_BYTES];
	uint32_t token_len;
	uint32_t next_xid;
	int awaiting_token;
	int flows_mode;
	int echo_mode;
	uint64_t started_us;
	uint64_t answered;
	uint64_t refused;
	uint64_t lost;
	uint32_t *latencies;
} load_t;

static int window = 32;
static int limit;
static int seconds = 3;
static int program = 0x2A000001;

static uint64_t now_us(void)
{
	return (uint64_t)g_get_monotonic_time();
}

static void send_call(load_t *load, int slot)
{
	uint8_t out[1024];
	dy_rpc_call_t call = { 0 };

	load->calls[slot].xid = load->next_xid;
	load->next_xid += WINDOW_MAX;
	load->calls[slot].xid =
		load->calls[slot].xid / WINDOW_MAX * WINDOW_MAX + slot;
	load->calls[slot].sent_us = now_us();
	call.xid = load->calls[slot].xid;
	call.program = program;
	call.program_version = 1;
	if (!load->flows_mode && !load->awaiting_token) {
		call.credential.flavor = AUTH_SHORT;
		call.credential.len = load->token_len;
		call.credential.body = load->token;
	}
	dy_endpoint_send_to(load->endpoint, out,
			    dy_rpc_write_call(&call, out, sizeof(out)),
			    &load->address);
}

static void start_window(load_t *load)
{
	int i;

	load->awaiting_token = 0;
	load->started_us = now_us();
	for (i = 0; i < window; i++)
		send_call(load, i);
}

static void store_token(load_t *load, const dy_rpc_auth_t *verifier)
{
	if (verifier->flavor != AUTH_SHORT || verifier->len < 8)
		standin_die("the first answer holds no token");
	load->token_len = verifier->len - 8;
	memcpy(load->token, verifier->body + 8, load->token_len);
	start_window(load);
}

static int compare_latencies(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static void print_result_and_exit(load_t *load)
{
	double elapsed_s = (now_us() - load->started_us) / 1e6;
	uint64_t n = MIN(load->answered, LATENCIES_MAX);

	qsort(load->latencies, n, sizeof(*load->latencies), compare_latencies);
	printf("answered=%lu refused=%lu lost=%lu per_s=%.0f p50_us=%u "
	       "p99_us=%u\n",
	       (unsigned long)load->answered, (unsigned long)load->refused,
	       (unsigned long)load->lost, load->answered / elapsed_s,
	       n ? load->latencies[n / 2] : 0,
	       n ? load->latencies[n * 99 / 100] : 0);
	exit(load->answered ? 0 : 1);
}

static void count_answer(load_t *load, const call_t *call)
{
	if (load->answered < LATENCIES_MAX)
		load->latencies[load->answered] =
			(uint32_t)(now_us() - call->sent_us);
	load->answered++;
	if (limit && load->answered >= (uint64_t)limit)
		print_result_and_exit(load);
}

static void on_answer(void *context, uint8_t *bytes, size_t len,
		      const struct sockaddr *from, int truncated)
{
	load_t *load = context;
	dy_rpc_reply_t reply = { 0 };
	uint32_t xid;
	int slot;

	memcpy(&xid, bytes, sizeof(xid));
	slot = (int)(ntohl(xid) % WINDOW_MAX);
	if (slot >= window || load->calls[slot].xid != ntohl(xid))
		return;
	if (!load->echo_mode && dy_rpc_parse_reply(bytes, len, &reply))
		return;
	if (reply.denied || reply.status) {
		load->refused++;
		load->calls[slot].xid = 0;
		load->calls[slot].sent_us =
			now_us() - LOST_TIMEOUT_US + REFUSED_RETRY_DELAY_US;
	} else if (load->awaiting_token) {
		store_token(load, &reply.verifier);
	} else {
		count_answer(load, &load->calls[slot]);
		send_call(load, slot);
	}
}

static void on_tick(void *context)
{
	load_t *load = context;
	uint64_t now = now_us();
	int i;

	for (i = 0; i < (load->awaiting_token ? 1 : window); i++)
		if (now - load->calls[i].sent_us > LOST_TIMEOUT_US) {
			load->lost += load->calls[i].xid != 0;
			send_call(load, i);
		}
	if (!load->awaiting_token &&
	    now - load->started_us > seconds * 1000000ULL)
		print_result_and_exit(load);
}

static void start(load_t *load)
{
	load->next_xid = g_random_int();
	load->echo_mode = !load->awaiting_token && !load->flows_mode;
	if (load->awaiting_token) {
		send_call(load, 0);
		return;
	}
	load->token_len = TOKEN_BYTES;
	start_window(load);
}

int main(int argc, char **argv)
{
	char *address = "";
	char *mode = "calls";
	static load_t load;
	dy_address_t any;
	GError *error = NULL;
	const GOptionEntry entries[] = {
		{ "address", 0, 0, G_OPTION_ARG_STRING, &address,
		  "Where to send", "IP:PORT" },
		{ "mode", 0, 0, G_OPTION_ARG_STRING, &mode,
		  "calls, flows or echo", "MODE" },
		{ "window", 0, 0, G_OPTION_ARG_INT, &window,
		  "Calls on their way at once", "N" },
		{ "limit", 0, 0, G_OPTION_ARG_INT, &limit,
		  "End after so many answers", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
		  "End after so long", "S" },
		{ "program", 0, 0, G_OPTION_ARG_INT, &program,
		  "ONC RPC program", "N" },
		{ NULL }
	};

	standin_parse_options(argc, argv, "Load on the data path.", entries);
	if (dy_address_parse(address, &load.address))
		standin_die("--address %s is no IP:PORT", address);
	if (window < 1 || window > WINDOW_MAX)
		standin_die("--window %d is not 1 to %d", window, WINDOW_MAX);
	load.latencies = g_new(uint32_t, LATENCIES_MAX);
	load.awaiting_token = !strcmp(mode, "calls");
	load.flows_mode = !strcmp(mode, "flows");
	load.loop = dy_loop_create(dy_metrics_create());
	dy_address_parse("127.0.0.1:0", &any);
	load.endpoint =
		dy_endpoint_create(load.loop, &any, on_answer, &load, &error);
	if (!load.endpoint)
		standin_die("%s", error->message);
	dy_loop_every(load.loop, TICK_INTERVAL_MS, on_tick, &load);
	start(&load);
	dy_loop_run(load.loop);
	return 0;
}
