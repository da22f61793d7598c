#ifndef DAMASKYARD_RPC_H
#define DAMASKYARD_RPC_H

/*
 * ONC RPC version 2 messages (RFC 5531) in memory, by libtirpc's codec.
 *
 * A parsed message points into the buffer it was parsed from and allocates
 * nothing. Every parser takes any bytes whatever and reads none outside of
 * them.
 */

#include <stddef.h>
#include <stdint.h>

#include "dy_caller.h"

/* Bytes of a credential's or verifier's body at most (RFC 5531, 8.2). */
#define DY_RPC_MAX_AUTH_BYTES 400

/* Bytes of a message's head at most: two bodies and the words around them. */
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
	uint32_t status;	/* accept_stat, or auth_stat when denied */
	dy_rpc_auth_t verifier; /* of an accepted reply */
	const uint8_t *results;
	size_t results_len;
} dy_rpc_reply_t;

/* Parse a message. Returns 0, or -1 if it is no well-formed one. */
int dy_rpc_parse_call(const uint8_t *bytes, size_t len, dy_rpc_call_t *call);
int dy_rpc_parse_reply(const uint8_t *bytes, size_t len, dy_rpc_reply_t *reply);

/*
 * Write a message into out, which has room for cap bytes. Each returns the
 * message's length in bytes, or 0 if it does not fit. A body may be NULL if
 * its length is 0; args and results are copied in behind the head.
 */
size_t dy_rpc_write_call(const dy_rpc_call_t *call, uint8_t *out, size_t cap);

/* status is an accept_stat of <rpc/rpc_msg.h>. */
size_t dy_rpc_write_reply(const dy_rpc_reply_t *reply, uint8_t *out,
			  size_t cap);

/*
 * Write the refusal of a call: PROG_UNAVAIL for DY_NOT_RUN, SYSTEM_ERR for
 * DY_MAY_HAVE_RUN, with the reason and the time to come back (milliseconds)
 * in the verifier. A stock client sends neither again by itself.
 */
size_t dy_rpc_write_refusal(uint32_t xid, const dy_refusal_t *refusal,
			    uint8_t *out, size_t cap);

/*
 * Write AUTH_TOOWEAK: the call did not run for want of a token. Only for a
 * call without one, since a stock client that holds a token would send the
 * call again under a new xid.
 */
size_t dy_rpc_write_too_weak(uint32_t xid, uint8_t *out, size_t cap);

/*
 * Read the refusal in a reply. Returns 0, or -1 if the reply holds none.
 */
int dy_rpc_load_refusal(const dy_rpc_reply_t *reply, dy_refusal_t *refusal);

/* Returns the name of a verdict or reason, as logs and commands print it. */
const char *dy_verdict_name(uint32_t verdict);
const char *dy_reason_name(uint32_t reason);

#endif
