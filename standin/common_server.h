#ifndef STANDIN_COMMON_SERVER_H
#define STANDIN_COMMON_SERVER_H

/*
 * An ordinary ONC RPC server of libtirpc over record-marked TCP. It serves
 * several connections at once and can delay replies.
 */

#include "common_rpc.h"

/*
 * Handle one call: answer it with standin_server_reply() or a function of the
 * svcerr_ family, or leave it without an answer.
 */
typedef void (*standin_call_cb_t)(void *context, struct svc_req *request,
				  SVCXPRT *transport);

/*
 * Serve a program and version on listen_text ("IP:PORT", port 0 for any free
 * port) without registering them with a port mapper. Prints "address=IP:PORT"
 * once the socket listens. Runs until the process ends; exits with status 2 if
 * the address is invalid or cannot be bound. Calls go to call with context.
 */
void standin_server_run(const char *listen_text, rpcprog_t program,
			rpcvers_t version, standin_call_cb_t call,
			void *context);

/*
 * Answer the present call of transport after delay_ms. The server takes
 * ownership of result, one block from g_malloc() that holds all data which
 * encode reads. result may be NULL if encode is STANDIN_XDR_VOID. The reply is
 * discarded if the connection closes before it is due.
 */
void standin_server_reply(SVCXPRT *transport, xdrproc_t encode, void *result,
			  unsigned delay_ms);

#endif
