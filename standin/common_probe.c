#include "common_probe.h"
#include "common_rpc.h"
#include "dy_caller.h"

size_t standin_probe_encode(uint32_t xid, char bytes[STANDIN_PROBE_BYTES])
{
	struct rpc_msg message = { .rm_xid = xid, .rm_direction = CALL };
	size_t length;
	XDR xdrs;

	message.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	message.rm_call.cb_prog = DY_CALLER_PROGRAM;
	message.rm_call.cb_vers = DY_CALLER_V1;
	message.rm_call.cb_proc = DY_CALLER_NULL;
	xdrmem_create(&xdrs, bytes, STANDIN_PROBE_BYTES, XDR_ENCODE);
	length = xdr_callmsg(&xdrs, &message) ? xdr_getpos(&xdrs) : 0;
	xdr_destroy(&xdrs);
	return length;
}

int standin_probe_is_ready(char *bytes, size_t length)
{
	char verifier[MAX_AUTH_BYTES];
	struct rpc_msg message = { 0 };
	int ready;
	XDR xdrs;

	message.acpted_rply.ar_verf.oa_base = verifier;
	message.acpted_rply.ar_results.proc = STANDIN_XDR_VOID;
	xdrmem_create(&xdrs, bytes, length, XDR_DECODE);
	ready = xdr_replymsg(&xdrs, &message) &&
		message.rm_reply.rp_stat == MSG_ACCEPTED &&
		message.acpted_rply.ar_stat == SUCCESS;
	xdr_destroy(&xdrs);
	return ready;
}
