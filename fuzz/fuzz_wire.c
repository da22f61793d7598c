/*
 * Passes any bytes to every parser that receives network input: RPC headers,
 * tokens, and sealed messages with their bodies.
 */

#include <stdlib.h>
#include <string.h>

#include <rpc/rpc.h>

#include "damaskyard/rpc.h"
#include "damaskyard/seal.h"
#include "damaskyard/token.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const dy_secrets_t secrets = { { { 1 } }, 1 };
static dy_metrics_t *metrics;
static dy_keyring_t *ring;

static void check_inside(const uint8_t *part, size_t len, const uint8_t *bytes,
			 size_t size)
{
	if (len && (part < bytes || part + len > bytes + size))
		abort();
}

static void parse_call(const uint8_t *bytes, size_t size)
{
	uint8_t *out;
	dy_rpc_call_t call;
	dy_token_t token;
	size_t len;

	if (dy_rpc_parse_call(bytes, size, &call))
		return;
	check_inside(call.args, call.args_len, bytes, size);
	check_inside(call.credential.body, call.credential.len, bytes, size);
	if (dy_token_load(ring, &call.credential, &token) == DY_TOKEN_OK)
		abort();
	out = g_malloc(size + DY_RPC_MAX_HEADER_BYTES);
	len = dy_rpc_write_call(&call, out, size + DY_RPC_MAX_HEADER_BYTES);
	if (len != size)
		abort();
	g_free(out);
}

static void parse_reply(const uint8_t *bytes, size_t size)
{
	dy_rpc_reply_t reply;
	dy_refusal_t refusal;

	if (dy_rpc_parse_reply(bytes, size, &reply))
		return;
	check_inside(reply.results, reply.results_len, bytes, size);
	dy_rpc_load_refusal(&reply, &refusal);
}

typedef struct body {
	xdrproc_t proc;
	size_t size;
} body_t;

/* Bodies with wrong lengths, as a sender that has the key could send. */
static void load_bodies(const uint8_t *bytes, size_t size)
{
	static const body_t bodies[] = {
		{ (xdrproc_t)xdr_dy_forward_t, sizeof(dy_forward_t) },
		{ (xdrproc_t)xdr_dy_answer_t, sizeof(dy_answer_t) },
		{ (xdrproc_t)xdr_dy_bounce_t, sizeof(dy_bounce_t) },
		{ (xdrproc_t)xdr_dy_poll_t, sizeof(dy_poll_t) },
		{ (xdrproc_t)xdr_dy_poll_result_t, sizeof(dy_poll_result_t) },
		{ (xdrproc_t)xdr_dy_change_t, sizeof(dy_change_t) },
		{ (xdrproc_t)xdr_dy_put_t, sizeof(dy_put_t) },
	};
	union {
		dy_forward_t forward;
		dy_answer_t answer;
		dy_bounce_t bounce;
		dy_poll_t poll;
		dy_poll_result_t result;
		dy_change_t change;
		dy_put_t put;
	} value;
	dy_sealed_t message = { .body = bytes, .body_len = size };
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(bodies); i++)
		if (dy_sealed_load(&message, bodies[i].proc, &value,
				   bodies[i].size))
			xdr_free(bodies[i].proc, &value);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	uint8_t *bytes = g_memdup2(data, size);
	dy_sealed_t message;
	dy_seal_t *seal;

	if (!metrics) {
		metrics = dy_metrics_create();
		ring = dy_keyring_create(&secrets);
		dy_keyring_apply(ring,
				 &(dy_key_info_t){ .id = 0, .active = TRUE });
	}
	seal = dy_seal_create(&secrets, metrics);
	if (dy_seal_open(seal, bytes, size, &message) == DY_SEAL_OK)
		abort();
	dy_seal_destroy(seal);
	parse_call(bytes, size);
	parse_reply(bytes, size);
	load_bodies(bytes, size);
	g_free(bytes);
	return 0;
}
