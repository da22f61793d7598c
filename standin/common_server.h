#ifndef STANDIN_COMMON_SERVER_H
#define STANDIN_COMMON_SERVER_H

/*
 * An ordinary ONC RPC server over record-marked TCP, as libtirpc makes it,
 * that serves several connections at once and can answer late.
 */

#include "common_rpc.h"

/* One call: answers it by standin_server_reply() or an svcerr_ function. */
typedef void (*standin_call_cb_t)(void *context, struct svc_req *request,
				  SVCXPRT *transport);

/*
 * Serve program and version on listen_text ("IP:PORT", port 0 for any free one)
 * without registering them with a port mapper. Prints "address=IP:PORT" once
 * calls are taken and never returns.
 */
void standin_server_run(const char *listen_text, rpcprog_t program,
			rpcvers_t version, standin_call_cb_t call,
			void *context);

/*
 * Answer the call that transport handed over, after delay_ms. result comes
 * from g_malloc(), holds all that encode reads, and is taken over; it may be
 * NULL where encode is STANDIN_XDR_VOID. A connection closed meanwhile drops
 * it.
 */
void standin_server_reply(SVCXPRT *transport, xdrproc_t encode, void *result,
			  unsigned delay_ms);

#endif
