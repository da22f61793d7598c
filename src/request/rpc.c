#include "damaskyard/rpc.h"

#include <string.h>

#include <glib.h>
#include <rpc/rpc.h>

static bool_t parse_auth(XDR *xdrs, dy_rpc_auth_t *auth)
{
	u_int padded;

	if (!xdr_u_int32_t(xdrs, &auth->flavor) ||
	    !xdr_u_int32_t(xdrs, &auth->len))
		return FALSE;
	if (auth->len > DY_RPC_MAX_AUTH_BYTES)
		return FALSE;
	padded = RNDUP(auth->len);
	auth->body = (const uint8_t *)xdr_inline(xdrs, padded);
	return auth->body || !padded;
}

/* XDR memory streams take a 32-bit length and a pointer to writable bytes. */
static int open_stream(XDR *xdrs, const uint8_t *bytes, size_t len,
		       enum xdr_op op)
{
	if (len > UINT32_MAX / 2)
		return -1;
	xdrmem_create(xdrs, (char *)bytes, (u_int)len, op);
	return 0;
}

static bool_t parse_call_header(XDR *xdrs, dy_rpc_call_t *call)
{
	uint32_t direction;
	uint32_t rpc_version;

	return xdr_u_int32_t(xdrs, &call->xid) &&
	       xdr_u_int32_t(xdrs, &direction) && direction == CALL &&
	       xdr_u_int32_t(xdrs, &rpc_version) &&
	       rpc_version == RPC_MSG_VERSION &&
	       xdr_u_int32_t(xdrs, &call->program) &&
	       xdr_u_int32_t(xdrs, &call->program_version) &&
	       xdr_u_int32_t(xdrs, &call->procedure) &&
	       parse_auth(xdrs, &call->credential) &&
	       parse_auth(xdrs, &call->verifier);
}

int dy_rpc_parse_call(const uint8_t *bytes, size_t len, dy_rpc_call_t *call)
{
	XDR xdrs;

	if (open_stream(&xdrs, bytes, len, XDR_DECODE))
		return -1;
	if (!parse_call_header(&xdrs, call))
		return -1;
	call->args = bytes + xdr_getpos(&xdrs);
	call->args_len = len - xdr_getpos(&xdrs);
	return 0;
}

static bool_t parse_reply_header(XDR *xdrs, dy_rpc_reply_t *reply)
{
	uint32_t direction;
	uint32_t accepted;
	uint32_t reject_stat;

	if (!xdr_u_int32_t(xdrs, &reply->xid) ||
	    !xdr_u_int32_t(xdrs, &direction) || direction != REPLY ||
	    !xdr_u_int32_t(xdrs, &accepted))
		return FALSE;
	if (accepted == MSG_ACCEPTED)
		return parse_auth(xdrs, &reply->verifier) &&
		       xdr_u_int32_t(xdrs, &reply->status);
	reply->denied = 1;
	return accepted == MSG_DENIED && xdr_u_int32_t(xdrs, &reject_stat) &&
	       xdr_u_int32_t(xdrs, &reply->status);
}

int dy_rpc_parse_reply(const uint8_t *bytes, size_t len, dy_rpc_reply_t *reply)
{
	XDR xdrs;

	memset(reply, 0, sizeof(*reply));
	if (open_stream(&xdrs, bytes, len, XDR_DECODE))
		return -1;
	if (!parse_reply_header(&xdrs, reply))
		return -1;
	reply->results = bytes + xdr_getpos(&xdrs);
	reply->results_len = len - xdr_getpos(&xdrs);
	return 0;
}

static bool_t write_word(XDR *xdrs, uint32_t word)
{
	return xdr_u_int32_t(xdrs, &word);
}

static bool_t write_auth(XDR *xdrs, const dy_rpc_auth_t *auth)
{
	return write_word(xdrs, auth->flavor) && write_word(xdrs, auth->len) &&
	       xdr_opaque(xdrs, (char *)auth->body, auth->len);
}

static size_t append_body(XDR *xdrs, const uint8_t *body, size_t len,
			  uint8_t *out, size_t cap)
{
	size_t head = xdr_getpos(xdrs);

	if (len > cap - head)
		return 0;
	if (len)
		memcpy(out + head, body, len);
	return head + len;
}

size_t dy_rpc_write_call(const dy_rpc_call_t *call, uint8_t *out, size_t cap)
{
	XDR xdrs;

	if (open_stream(&xdrs, out, cap, XDR_ENCODE))
		return 0;
	if (!write_word(&xdrs, call->xid) || !write_word(&xdrs, CALL) ||
	    !write_word(&xdrs, RPC_MSG_VERSION) ||
	    !write_word(&xdrs, call->program) ||
	    !write_word(&xdrs, call->program_version) ||
	    !write_word(&xdrs, call->procedure) ||
	    !write_auth(&xdrs, &call->credential) ||
	    !write_auth(&xdrs, &call->verifier))
		return 0;
	return append_body(&xdrs, call->args, call->args_len, out, cap);
}

static bool_t write_reply_header(XDR *xdrs, const dy_rpc_reply_t *reply)
{
	if (!write_word(xdrs, reply->xid) || !write_word(xdrs, REPLY))
		return FALSE;
	if (reply->denied)
		return write_word(xdrs, MSG_DENIED) &&
		       write_word(xdrs, AUTH_ERROR) &&
		       write_word(xdrs, reply->status);
	return write_word(xdrs, MSG_ACCEPTED) &&
	       write_auth(xdrs, &reply->verifier) &&
	       write_word(xdrs, reply->status);
}

size_t dy_rpc_write_reply(const dy_rpc_reply_t *reply, uint8_t *out, size_t cap)
{
	XDR xdrs;

	if (open_stream(&xdrs, out, cap, XDR_ENCODE))
		return 0;
	if (!write_reply_header(&xdrs, reply))
		return 0;
	return append_body(&xdrs, reply->results, reply->results_len, out, cap);
}

size_t dy_rpc_write_refusal(uint32_t xid, const dy_refusal_t *refusal,
			    uint8_t *out, size_t cap)
{
	uint8_t body[3 * BYTES_PER_XDR_UNIT];
	dy_rpc_reply_t reply = { 0 };
	XDR xdrs;

	xdrmem_create(&xdrs, (char *)body, sizeof(body), XDR_ENCODE);
	if (!xdr_dy_refusal_t(&xdrs, (dy_refusal_t *)refusal))
		return 0;
	reply.xid = xid;
	reply.status =
		refusal->verdict == DY_NOT_RUN ? PROG_UNAVAIL : SYSTEM_ERR;
	reply.verifier.flavor = DY_AUTH_VERDICT;
	reply.verifier.len = sizeof(body);
	reply.verifier.body = body;
	return dy_rpc_write_reply(&reply, out, cap);
}

size_t dy_rpc_write_too_weak(uint32_t xid, uint8_t *out, size_t cap)
{
	dy_rpc_reply_t reply = { 0 };

	reply.xid = xid;
	reply.denied = 1;
	reply.status = AUTH_TOOWEAK;
	return dy_rpc_write_reply(&reply, out, cap);
}

int dy_rpc_load_refusal(const dy_rpc_reply_t *reply, dy_refusal_t *refusal)
{
	XDR xdrs;

	if (reply->denied || reply->verifier.flavor != DY_AUTH_VERDICT)
		return -1;
	if (open_stream(&xdrs, reply->verifier.body, reply->verifier.len,
			XDR_DECODE))
		return -1;
	return xdr_dy_refusal_t(&xdrs, refusal) ? 0 : -1;
}

const char *dy_verdict_name(uint32_t verdict)
{
	static const char *const names[] = { "ran", "not_run", "may_have_run" };

	return verdict < G_N_ELEMENTS(names) ? names[verdict] : "unknown";
}

const char *dy_reason_name(uint32_t reason)
{
	static const char *const names[] = {
		"none",
		"not_ready",
		"no_target",
		"overload",
		"deadline",
		"shed",
		"cancelled",
		"target_lost",
		"too_large",
		"session_limit",
		"bad_answer",
		"draining",
		"unknown_session",
		"duplicate",
		"unknown_program",
	};

	return reason < G_N_ELEMENTS(names) ? names[reason] : "unknown";
}
