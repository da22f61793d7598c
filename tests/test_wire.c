#include "damaskyard/address.h"
#include "damaskyard/rpc.h"
#include "damaskyard/seal.h"
#include "damaskyard/token.h"

#include <string.h>

#include <rpc/rpc.h>

#include "dy_agent.h"
#include "dy_control.h"
#include "dy_flow.h"
#include "dy_group.h"
#include "dy_handover.h"
#include "dy_ledger.h"
#include "dy_target.h"
#include "fake_suite.h"

static const dy_secrets_t secrets = { { { 1 } }, 1 };

START_TEST(parses_and_formats_addresses)
{
	static const char *const good[] = { "127.0.0.1:80", "[::1]:65535",
					    "10.0.0.1:0", NULL };
	static const char *const bad[] = { "",	       "127.0.0.1",
					   "::1:80",   "a:80",
					   "1.2.3.4:", "1.2.3.4:x",
					   "1.2.3:80", "1.2.3.4:65536",
					   NULL };
	char text[DY_ADDRESS_TEXT_BYTES];
	struct sockaddr_storage storage;
	dy_address_t address;
	dy_address_t back;
	int i;

	for (i = 0; good[i]; i++) {
		ck_assert_int_eq(dy_address_parse(good[i], &address), 0);
		ck_assert_str_eq(dy_address_format(&address, text), good[i]);
		dy_address_write(&address, &storage);
		dy_address_load(&back, (struct sockaddr *)&storage);
		ck_assert(dy_address_equal(&address, &back));
	}
	for (i = 0; bad[i]; i++)
		ck_assert_int_eq(dy_address_parse(bad[i], &address), -1);
}
END_TEST

START_TEST(decodes_written_refusal)
{
	dy_refusal_t refusal = { DY_NOT_RUN, DY_REASON_OVERLOAD, 750 };
	dy_refusal_t back;
	uint8_t out[DY_RPC_MAX_HEADER_BYTES];
	dy_rpc_reply_t reply;
	size_t len = dy_rpc_write_refusal(7, &refusal, out, sizeof(out));

	ck_assert_int_eq(dy_rpc_parse_reply(out, len, &reply), 0);
	ck_assert_uint_eq(reply.xid, 7);
	ck_assert_uint_eq(reply.status, PROG_UNAVAIL);
	ck_assert_int_eq(dy_rpc_load_refusal(&reply, &back), 0);
	ck_assert_uint_eq(back.retry_after_ms, 750);
	refusal.verdict = DY_MAY_HAVE_RUN;
	len = dy_rpc_write_refusal(7, &refusal, out, sizeof(out));
	ck_assert_int_eq(dy_rpc_parse_reply(out, len, &reply), 0);
	ck_assert_uint_eq(reply.status, SYSTEM_ERR);
}
END_TEST

/*
 * Guards against reads outside a datagram that was truncated or whose length
 * fields are wrong. Every prefix of a valid call must be rejected, and with
 * any byte changed it must be rejected or parsed within its bounds.
 */
START_TEST(rejects_truncated_call_and_parses_changed_one_in_bounds)
{
	uint8_t body[24] = { 9 };
	uint8_t out[DY_RPC_MAX_HEADER_BYTES];
	uint8_t *copy;
	dy_rpc_call_t call = { 0 };
	dy_rpc_call_t back;
	size_t len;
	size_t i;

	call.credential.flavor = AUTH_SHORT;
	call.credential.len = sizeof(body);
	call.credential.body = body;
	len = dy_rpc_write_call(&call, out, sizeof(out));
	for (i = 0; i <= len; i++) {
		copy = g_memdup2(out, i);
		ck_assert_int_eq(!dy_rpc_parse_call(copy, i, &back), i == len);
		g_free(copy);
	}
	for (i = 0; i < len; i++) {
		copy = g_memdup2(out, len);
		copy[i] ^= 0x80;
		if (!dy_rpc_parse_call(copy, len, &back))
			ck_assert(back.args + back.args_len == copy + len);
		g_free(copy);
	}
}
END_TEST

static dy_keyring_t *create_ring(uint32_t id)
{
	dy_keyring_t *ring = dy_keyring_create(&secrets);
	dy_key_info_t info = { .id = id, .active = TRUE };

	dy_keyring_apply(ring, &info);
	return ring;
}

static dy_token_status_t load_bytes(dy_keyring_t *ring, const uint8_t *bytes,
				    dy_token_t *token)
{
	dy_rpc_auth_t credential = { AUTH_SHORT, DY_TOKEN_BYTES, bytes };

	return dy_token_load(ring, &credential, token);
}

/*
 * Guards against an attacker on the network who changes a byte of a token to
 * reach another service or session. Each changed byte must be detected, also
 * if the valid token was checked just before and is cached.
 */
START_TEST(rejects_changed_token)
{
	dy_keyring_t *ring = create_ring(3);
	dy_token_t token = { .service = 1, .session = 2 };
	dy_token_t back;
	uint8_t bytes[DY_TOKEN_BYTES];
	int i;

	ck_assert_uint_eq(dy_token_write(ring, &token, bytes), DY_TOKEN_BYTES);
	ck_assert_int_eq(load_bytes(ring, bytes, &back), DY_TOKEN_OK);
	ck_assert_uint_eq(back.session, 2);
	for (i = 0; i < DY_TOKEN_BYTES; i++) {
		bytes[i] ^= 1;
		ck_assert_int_ne(load_bytes(ring, bytes, &back), DY_TOKEN_OK);
		bytes[i] ^= 1;
	}
	ck_assert_int_eq(load_bytes(ring, bytes, &back), DY_TOKEN_OK);
	dy_keyring_destroy(ring);
}
END_TEST

/*
 * Guards against a key rotation that breaks all flows at once: a token under
 * the previous key must stay valid until that key is retired.
 */
START_TEST(accepts_token_of_previous_key_until_retired)
{
	dy_keyring_t *ring = create_ring(1);
	dy_key_info_t next = { .id = 2, .active = TRUE };
	dy_token_t token = { .session = 5 };
	dy_token_t back;
	uint8_t bytes[DY_TOKEN_BYTES];

	dy_token_write(ring, &token, bytes);
	dy_keyring_apply(ring, &next);
	ck_assert_int_eq(load_bytes(ring, bytes, &back), DY_TOKEN_OK);
	ck_assert(dy_keyring_outdated(ring, back.key_id));
	next.id = 1;
	next.retired = TRUE;
	dy_keyring_apply(ring, &next);
	ck_assert_int_eq(load_bytes(ring, bytes, &back), DY_TOKEN_EXPIRED);
	dy_keyring_destroy(ring);
}
END_TEST

/*
 * Guards against broken flows during a change of the key file, which is made
 * process by process: the new secret is appended on all, then moved to the
 * first line on all. A token of an earlier step, or from an agent that was not
 * restarted yet, must stay valid.
 */
START_TEST(accepts_token_during_change_of_key_file)
{
	static const dy_secrets_t added = { { { 1 }, { 2 } }, 2 };
	static const dy_secrets_t moved = { { { 2 }, { 1 } }, 2 };
	static const dy_secrets_t removed = { { { 2 } }, 1 };
	const dy_secrets_t *const steps[] = { &secrets, &added, &moved,
					      &removed };
	dy_key_info_t key = { .id = 1, .active = TRUE };
	dy_keyring_t *rings[4];
	uint8_t bytes[DY_TOKEN_BYTES];
	dy_token_t token = { .session = 5 };
	dy_token_t back;
	int i;
	int k;

	for (i = 0; i < 4; i++) {
		rings[i] = dy_keyring_create(steps[i]);
		dy_keyring_apply(rings[i], &key);
	}
	for (i = 0; i < 4; i++) {
		dy_token_write(rings[i], &token, bytes);
		for (k = MAX(i - 1, 0); k <= MIN(i + 1, 3); k++)
			ck_assert_int_eq(load_bytes(rings[k], bytes, &back),
					 DY_TOKEN_OK);
	}
	dy_token_write(rings[0], &token, bytes);
	ck_assert_int_eq(load_bytes(rings[3], bytes, &back), DY_TOKEN_FORGED);
	for (i = 0; i < 4; i++)
		dy_keyring_destroy(rings[i]);
}
END_TEST

START_TEST(names_reasons_and_verdicts)
{
	ck_assert_str_eq(dy_reason_name(DY_REASON_DUPLICATE), "duplicate");
	ck_assert_str_eq(dy_reason_name(DY_REASON_UNKNOWN_PROGRAM),
			 "unknown_program");
	ck_assert_str_eq(dy_reason_name(99), "unknown");
	ck_assert_str_eq(dy_verdict_name(99), "unknown");
}
END_TEST

static size_t write_sealed(dy_seal_t *seal, uint8_t *out, size_t cap)
{
	dy_seal_header_t head = { 4, DY_AGENT_PROGRAM, DY_AGENT_FORWARD };
	dy_forward_t forward = { 0 };

	forward.datagram.datagram_val = "abc";
	forward.datagram.datagram_len = 3;
	return dy_seal_write_call(seal, &head, (xdrproc_t)xdr_dy_forward_t,
				  &forward, out, cap);
}

/*
 * Guards against a message between two processes that is recorded and sent
 * again, or modified on its way. Each replayed or modified message must be
 * dropped and counted; messages that were only reordered must not.
 */
START_TEST(drops_replayed_and_forged_messages)
{
	dy_metrics_t *metrics = dy_metrics_create();
	dy_seal_t *from = dy_seal_create(&secrets, metrics);
	dy_seal_t *to = dy_seal_create(&secrets, metrics);
	uint8_t first[512];
	uint8_t second[512];
	dy_sealed_t message;
	size_t len = write_sealed(from, first, sizeof(first));
	size_t i;

	write_sealed(from, second, sizeof(second));
	ck_assert_int_eq(dy_seal_open(to, second, len, &message), DY_SEAL_OK);
	for (i = 0; i < len; i++) {
		first[i] ^= 4;
		ck_assert_int_ne(dy_seal_open(to, first, len, &message),
				 DY_SEAL_OK);
		first[i] ^= 4;
	}
	ck_assert_int_eq(dy_seal_open(to, first, len, &message), DY_SEAL_OK);
	ck_assert_int_eq(dy_seal_open(to, first, len, &message),
			 DY_SEAL_REPLAYED);
	ck_assert_int_eq(dy_seal_open(to, second, len, &message),
			 DY_SEAL_REPLAYED);
	ck_assert_uint_eq(dy_metrics_value(metrics, "seal_replayed"), 2);
	ck_assert_uint_gt(dy_metrics_value(metrics, "seal_forged"), 0);
	dy_seal_destroy(from);
	dy_seal_destroy(to);
	dy_metrics_destroy(metrics);
}
END_TEST

/*
 * Guards against lost leases during an upgrade, which is made process by
 * process. A newer control answers an older balancer with an additional field.
 * If the balancer rejected the answer as malformed, it would lose its lease,
 * and so would every other one.
 */
START_TEST(decodes_messages_of_other_builds)
{
	uint8_t bytes[64] = { 0 };
	dy_sealed_t message = { .body = bytes };
	dy_address_t address = { .port = 5 };
	dy_poll_result_t result;
	XDR xdrs;

	xdrmem_create(&xdrs, (char *)bytes, sizeof(bytes), XDR_ENCODE);
	ck_assert(xdr_dy_address_t(&xdrs, &address));
	message.body_len = xdr_getpos(&xdrs) + 8;
	ck_assert(dy_sealed_load(&message, (xdrproc_t)xdr_dy_address_t,
				 &address, sizeof(address)));
	ck_assert_uint_eq(address.port, 5);
	message.body_len = xdr_getpos(&xdrs) - 4;
	ck_assert(dy_sealed_load(&message, (xdrproc_t)xdr_dy_address_t,
				 &address, sizeof(address)));
	ck_assert_uint_eq(address.port, 0);
	memset(bytes, 0xff, sizeof(bytes));
	message.body_len = sizeof(bytes);
	ck_assert(!dy_sealed_load(&message, (xdrproc_t)xdr_dy_poll_result_t,
				  &result, sizeof(result)));
}
END_TEST

START_TEST(accepts_message_of_second_secret)
{
	static const dy_secrets_t both = { { { 2 }, { 1 } }, 2 };
	dy_metrics_t *metrics = dy_metrics_create();
	dy_seal_t *from = dy_seal_create(&secrets, metrics);
	dy_seal_t *to = dy_seal_create(&both, metrics);
	dy_sealed_t message;
	dy_forward_t forward;
	uint8_t out[512];
	size_t len = write_sealed(from, out, sizeof(out));

	ck_assert_int_eq(dy_seal_open(to, out, len, &message), DY_SEAL_OK);
	ck_assert_uint_eq(message.sender, dy_seal_sender(from));
	ck_assert(dy_sealed_load(&message, (xdrproc_t)xdr_dy_forward_t,
				 &forward, sizeof(forward)));
	ck_assert_uint_eq(forward.datagram.datagram_len, 3);
	xdr_free((xdrproc_t)xdr_dy_forward_t, (char *)&forward);
	len = write_sealed(to, out, sizeof(out));
	ck_assert_int_eq(dy_seal_open(from, out, len, &message),
			 DY_SEAL_FORGED);
	dy_seal_destroy(from);
	dy_seal_destroy(to);
	dy_metrics_destroy(metrics);
}
END_TEST

static void check_distinct(const uint32_t *programs, unsigned count)
{
	unsigned i;
	unsigned k;

	for (i = 0; i < count; i++)
		for (k = 0; k < i; k++)
			ck_assert_uint_ne(programs[i], programs[k]);
}

/*
 * Guards against two programs on one socket with the same number. This
 * happened with a new message: balancers mistook the flow reports of agents
 * for it and dropped them, so that the next packet of each flow started a
 * search, and some percent of the requests failed all day.
 */
START_TEST(programs_of_one_socket_have_distinct_numbers)
{
	const uint32_t control[] = { DY_CONTROL_PROGRAM, DY_STATUS_PROGRAM,
				     DY_GROUP_PROGRAM, DY_LEDGER_PROGRAM };
	const uint32_t balancer[] = { DY_MEMBER_PROGRAM, DY_STATUS_PROGRAM,
				      DY_BALANCER_PROGRAM };
	const uint32_t agent[] = { DY_MEMBER_PROGRAM,	DY_STATUS_PROGRAM,
				   DY_AGENT_PROGRAM,	DY_HANDOVER_PROGRAM,
				   DY_ANNOUNCE_PROGRAM, DY_TARGET_PROGRAM };
	const uint32_t flow_balancer[] = { DY_MEMBER_PROGRAM,
					   DY_FLOW_BALANCER_PROGRAM };
	const uint32_t flow_agent[] = { DY_MEMBER_PROGRAM,
					DY_FLOW_AGENT_PROGRAM,
					DY_LEDGER_AGENT_PROGRAM };

	check_distinct(control, G_N_ELEMENTS(control));
	check_distinct(balancer, G_N_ELEMENTS(balancer));
	check_distinct(agent, G_N_ELEMENTS(agent));
	check_distinct(flow_balancer, G_N_ELEMENTS(flow_balancer));
	check_distinct(flow_agent, G_N_ELEMENTS(flow_agent));
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		parses_and_formats_addresses,
		decodes_written_refusal,
		rejects_truncated_call_and_parses_changed_one_in_bounds,
		rejects_changed_token,
		accepts_token_of_previous_key_until_retired,
		accepts_token_during_change_of_key_file,
		names_reasons_and_verdicts,
		drops_replayed_and_forged_messages,
		accepts_message_of_second_secret,
		decodes_messages_of_other_builds,
		programs_of_one_socket_have_distinct_numbers,
		NULL,
	};

	return fake_suite_run("wire", tests);
}
