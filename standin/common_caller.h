#ifndef STANDIN_COMMON_CALLER_H
#define STANDIN_COMMON_CALLER_H

/*
 * A flow of an ordinary caller: libtirpc's own datagram client, unmodified,
 * with AUTH_SYS. The flow opens with the NULL procedure.
 *
 * This client (1.3.2) takes an answer to an earlier call as a sign that the
 * present one was lost: it sends it again at once and counts a whole retry
 * interval as passed. Every second copy of an answer thus begets another,
 * and timeout_ms / retry_ms of them end a call as timed out within one
 * millisecond. Whoever answers must not answer copies of one call that
 * arrive together more than once.
 */

#include <netinet/in.h>

#include "common_rpc.h"

/* What the caller knows of a call once it is over. */
typedef enum standin_outcome {
	STANDIN_ANSWERED,
	STANDIN_NOT_RUN,      /* PROG_UNAVAIL */
	STANDIN_NO_TOKEN,     /* not run, and the flow must be opened anew */
	STANDIN_MAY_HAVE_RUN, /* SYSTEM_ERR */
	STANDIN_TIMED_OUT,    /* may have run */
	STANDIN_BAD_ANSWER    /* an answer that is not one to this call */
} standin_outcome_t;

typedef struct standin_flow {
	struct sockaddr_in address;
	rpcprog_t program;
	rpcvers_t version;
	unsigned retry_ms;   /* the same call is sent again this often */
	unsigned timeout_ms; /* and given up on after this */
	CLIENT *client;
} standin_flow_t;

/*
 * Open the flow, closing what it had before: NULL until it is answered, for
 * at most give_up_ms. Returns 0, or -1 if it was not.
 */
int standin_flow_open(standin_flow_t *flow, unsigned give_up_ms);

/* Make one call. */
standin_outcome_t standin_flow_call(standin_flow_t *flow, rpcproc_t procedure,
				    xdrproc_t encode, void *arguments,
				    xdrproc_t decode, void *result);

void standin_flow_close(standin_flow_t *flow);

#endif
