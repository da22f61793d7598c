#ifndef STANDIN_COMMON_CALLER_H
#define STANDIN_COMMON_CALLER_H

/*
 * A flow of an ordinary caller: the unmodified UDP client of libtirpc with
 * AUTH_SYS credentials. A call of the NULL procedure opens the flow.
 *
 * When the client of libtirpc 1.3.2 receives an answer to an earlier call, it
 * retransmits the present call at once and counts a whole retry interval as
 * elapsed. Every second copy of an answer thus causes another copy. After
 * timeout_ms / retry_interval_ms of them the call ends as timed out, possibly
 * within one millisecond. A process that answers calls must therefore answer
 * only once when copies of one call arrive together.
 */

#include <netinet/in.h>

#include "common_rpc.h"

/* Result of a call as the caller sees it. */
typedef enum standin_outcome {
	STANDIN_ANSWERED,
	STANDIN_NOT_RUN,  /* PROG_UNAVAIL */
	STANDIN_NO_TOKEN, /* AUTH_ERROR: not run; the flow must be reopened */
	STANDIN_MAY_HAVE_RUN, /* SYSTEM_ERR */
	STANDIN_TIMED_OUT,    /* no answer; the call may have run */
	STANDIN_BAD_ANSWER    /* the answer does not match the call */
} standin_outcome_t;

typedef struct standin_flow {
	struct sockaddr_in address;
	rpcprog_t program;
	rpcvers_t version;
	unsigned retry_interval_ms; /* retransmission interval of a call */
	unsigned timeout_ms;	    /* timeout of a call */
	CLIENT *client;
} standin_flow_t;

/*
 * Open the flow by calling the NULL procedure until an answer arrives. Closes
 * the previous client of the flow, if any. The address, program, version and
 * times of flow must be set. Returns 0, or -1 if no call was answered within
 * open_timeout_ms. standin_flow_close() frees the client in both cases.
 */
int standin_flow_open(standin_flow_t *flow, unsigned open_timeout_ms);

/*
 * Make one call on an open flow and block until it is answered or timed out.
 * arguments and result belong to the caller, who frees a decoded result with
 * xdr_free().
 */
standin_outcome_t standin_flow_call(standin_flow_t *flow, rpcproc_t procedure,
				    xdrproc_t encode, void *arguments,
				    xdrproc_t decode, void *result);

/* Free the client of the flow. Does nothing if the flow has none. */
void standin_flow_close(standin_flow_t *flow);

#endif
