#ifndef DAMASKYARD_RPC_H
#define DAMASKYARD_RPC_H

/*
 * ONC RPC version 2 messages (RFC 5531) in memory, by libtirpc's codec.
 *
 * A parsed message points into the buffer it was parsed from and allocates
 * nothing. Every parser accepts arbitrary input and never reads outside the
 * buffer.
 */

#include <stddef.h>
#include <stdint.h>

#include "dy_caller.h"

/* Maximum length of the body of a credential or verifier (RFC 5531, 8.2). */
#define DY_RPC_MAX_AUTH_BYTES 400

/* Maximum length of a message header: two bodies and the fixed fields. */
#define DY_RPC_MAX_HEADER_BYTES (2 * DY_RPC_MAX_AUTH_BYTES + 64)

typedef struct dy_rpc_auth {
	uint32_t flavor;
	uint32_t len;
	const uint8_t *body;
} dy_rpc_auth_t;

typedef struct dy_rpc_call {
	uint32_t xid;
	uint32_t program;
	uint32_t program_version;
	uint32_t procedure;
	dy_rpc_auth_t credential;
	dy_rpc_auth_t verifier;
	const uint8_t *args;
	size_t args_len;
} dy_rpc_call_t;

typedef struct dy_rpc_reply {
	uint32_t xid;
	int denied;
	uint32_t status;	/* accept_stat, or auth_stat if denied */
	dy_rpc_auth_t verifier; /* of an accepted reply */
	const uint8_t *results;
	size_t results_len;
} dy_rpc_reply_t;

/* Parse a message. Return 0, or -1 if the message is malformed. */
int dy_rpc_parse_call(const uint8_t *bytes, size_t len, dy_rpc_call_t *call);
int dy_rpc_parse_reply(const uint8_t *bytes, size_t len, dy_rpc_reply_t *reply);

/*
 * Writes a message into out, which has a capacity of cap bytes. Returns the
 * length of the message in bytes, or 0 if it does not fit. A body may be NULL
 * if its length is 0. args and results are copied behind the header.
 */
size_t dy_rpc_write_call(const dy_rpc_call_t *call, uint8_t *out, size_t cap);

/*
 * As dy_rpc_write_call(). reply->status is an accept_stat of <rpc/rpc_msg.h>,
 * or an auth_stat if denied.
 */
size_t dy_rpc_write_reply(const dy_rpc_reply_t *reply, uint8_t *out,
			  size_t cap);

/*
 * Writes the refusal of a call: PROG_UNAVAIL for DY_NOT_RUN, SYSTEM_ERR for
 * DY_MAY_HAVE_RUN, with the reason and the retry delay (in ms) in the verifier.
 * The stock RPC library does not retry on either. Returns the length, or 0 if
 * it does not fit.
 */
size_t dy_rpc_write_refusal(uint32_t xid, const dy_refusal_t *refusal,
			    uint8_t *out, size_t cap);

/*
 * Writes AUTH_TOOWEAK: the call did not run because it has no token. Use it
 * only for a call without a token: a stock RPC library that holds one would
 * send the call again under a new xid. Returns the length, or 0 if it does not
 * fit.
 */
size_t dy_rpc_write_too_weak(uint32_t xid, uint8_t *out, size_t cap);

/*
 * Reads the refusal from a reply. Returns 0, or -1 if the reply contains none.
 */
int dy_rpc_load_refusal(const dy_rpc_reply_t *reply, dy_refusal_t *refusal);

/* Return the name of a verdict or reason, as in logs and commands, or
 * "unknown". */
const char *dy_verdict_name(uint32_t verdict);
const char *dy_reason_name(uint32_t reason);

#endif
