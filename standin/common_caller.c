#include "common_caller.h"
#include "common_args.h"

/* Delay between two attempts to open a flow. */
#define OPEN_RETRY_DELAY_MS 100

static struct timeval ms_to_timeval(unsigned ms)
{
	struct timeval value = { .tv_sec = ms / 1000,
				 .tv_usec = ms % 1000 * 1000 };

	return value;
}

void standin_flow_close(standin_flow_t *flow)
{
	if (!flow->client)
		return;
	auth_destroy(flow->client->cl_auth);
	clnt_destroy(flow->client);
	flow->client = NULL;
}

static void create_client(standin_flow_t *flow)
{
	int fd = RPC_ANYSOCK;

	flow->client =
		clntudp_create(&flow->address, flow->program, flow->version,
			       ms_to_timeval(flow->retry_interval_ms), &fd);
	if (!flow->client)
		standin_die("%s", clnt_spcreateerror("clntudp_create"));
	auth_destroy(flow->client->cl_auth);
	flow->client->cl_auth = authunix_create_default();
}

int standin_flow_open(standin_flow_t *flow, unsigned open_timeout_ms)
{
	uint64_t end_ms = standin_now_ms() + open_timeout_ms;

	do {
		standin_flow_close(flow);
		create_client(flow);
		if (clnt_call(flow->client, NULLPROC, STANDIN_XDR_VOID, NULL,
			      STANDIN_XDR_VOID, NULL,
			      ms_to_timeval(flow->timeout_ms)) == RPC_SUCCESS)
			return 0;
		g_usleep(OPEN_RETRY_DELAY_MS * 1000);
	} while (standin_now_ms() < end_ms);
	return -1;
}

standin_outcome_t standin_flow_call(standin_flow_t *flow, rpcproc_t procedure,
				    xdrproc_t encode, void *arguments,
				    xdrproc_t decode, void *result)
{
	switch (clnt_call(flow->client, procedure, encode, arguments, decode,
			  result, ms_to_timeval(flow->timeout_ms))) {
	case RPC_SUCCESS:
		return STANDIN_ANSWERED;
	case RPC_PROGUNAVAIL:
		return STANDIN_NOT_RUN;
	case RPC_AUTHERROR:
		return STANDIN_NO_TOKEN;
	case RPC_SYSTEMERROR:
		return STANDIN_MAY_HAVE_RUN;
	case RPC_TIMEDOUT:
	case RPC_CANTSEND:
	case RPC_CANTRECV:
		return STANDIN_TIMED_OUT;
	default:
		return STANDIN_BAD_ANSWER;
	}
}
