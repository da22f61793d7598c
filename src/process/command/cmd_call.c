#include <stdio.h>
#include <string.h>

#include <rpc/rpc.h>

#include "command.h"
#include "damaskyard/loop.h"
#include "damaskyard/rpc.h"
#include "damaskyard/settings.h"
#include "damaskyard/token.h"

/* The first retransmission interval of a stock client. */
#define RETRANSMIT_INTERVAL_MS 500

/* Interval at which retransmission and timeout are checked. */
#define TICK_INTERVAL_MS 10

static struct {
	dy_address_t address;
	uint64_t program;
	uint64_t program_version;
	uint64_t procedure;
	char *token;
	gboolean no_open;
	uint64_t timeout_ms;
} values;

static const dy_setting_t settings[] = {
	{ .flag = "address",
	  .kind = DY_SETTING_ADDRESS,
	  .value = &values.address,
	  .required = TRUE,
	  .argument = "IP:PORT",
	  .help = "address of the service, or of one balancer for it" },
	{ .flag = "program",
	  .kind = DY_SETTING_NUMBER,
	  .value = &values.program,
	  .required = TRUE,
	  .max = UINT32_MAX,
	  .argument = "N",
	  .help = "ONC RPC program number" },
	{ .flag = "version",
	  .kind = DY_SETTING_NUMBER,
	  .value = &values.program_version,
	  .default_text = "1",
	  .max = UINT32_MAX,
	  .argument = "N",
	  .help = "version of the program; default 1" },
	{ .flag = "procedure",
	  .kind = DY_SETTING_NUMBER,
	  .value = &values.procedure,
	  .default_text = "0",
	  .max = UINT32_MAX,
	  .argument = "N",
	  .help = "procedure number; default 0 (NULL)" },
	{ .flag = "token",
	  .kind = DY_SETTING_TEXT,
	  .value = &values.token,
	  .argument = "HEX",
	  .help = "token of the session to call in, as an earlier call printed it" },
	{ .flag = "no-open",
	  .kind = DY_SETTING_FLAG,
	  .value = &values.no_open,
	  .help = "do not open a flow first if there is no token" },
	{ .flag = "timeout-ms",
	  .kind = DY_SETTING_NUMBER,
	  .value = &values.timeout_ms,
	  .default_text = "5000",
	  .min = 1,
	  .max = 600000,
	  .argument = "MS",
	  .help = "timeout for an answer; default 5000" },
	{ 0 },
};

/*
 * One call, retransmitted until it is answered. Without a token, a call of
 * procedure 0 opens the flow first, unless --no-open is given.
 */
typedef struct exchange {
	dy_loop_t *loop;
	dy_endpoint_t *endpoint;
	uint32_t xid;
	uint32_t procedure; /* of the call in progress */
	uint8_t token[DY_RPC_MAX_AUTH_BYTES];
	size_t token_len;
	uint8_t args[DY_DATAGRAM_BYTES];
	size_t args_len;
	uint64_t started_ms;
	uint64_t sent_ms;
	int sent;
	int exit_code;
} exchange_t;

static int parse_hex(const char *text, uint8_t *out, size_t cap, size_t *len)
{
	size_t i;

	*len = strlen(text) / 2;
	if (strlen(text) % 2 || *len > cap)
		return -1;
	for (i = 0; i < *len; i++) {
		if (!g_ascii_isxdigit(text[2 * i]) ||
		    !g_ascii_isxdigit(text[2 * i + 1]))
			return -1;
		out[i] = (uint8_t)(g_ascii_xdigit_value(text[2 * i]) << 4 |
				   g_ascii_xdigit_value(text[2 * i + 1]));
	}
	return 0;
}

/* Encodes "string:S", "uint:N", "int:N" or "hex:DIGITS" as XDR. */
static gboolean encode_argument(XDR *xdrs, const char *text)
{
	uint8_t bytes[DY_DATAGRAM_BYTES];
	guint64 number;
	gint64 signed_number;
	u_int value;
	int signed_value;
	char *string;
	size_t len;

	if (g_str_has_prefix(text, "string:")) {
		string = (char *)text + strlen("string:");
		return xdr_string(xdrs, &string, DY_DATAGRAM_BYTES);
	}
	if (g_str_has_prefix(text, "hex:"))
		return !parse_hex(text + strlen("hex:"), bytes, sizeof(bytes),
				  &len) &&
		       xdr_opaque(xdrs, (char *)bytes, (u_int)len);
	if (g_str_has_prefix(text, "uint:")) {
		if (!g_ascii_string_to_unsigned(text + strlen("uint:"), 10, 0,
						UINT32_MAX, &number, NULL))
			return FALSE;
		value = (u_int)number;
		return xdr_u_int(xdrs, &value);
	}
	if (!g_str_has_prefix(text, "int:") ||
	    !g_ascii_string_to_signed(text + strlen("int:"), 10, INT32_MIN,
				      INT32_MAX, &signed_number, NULL))
		return FALSE;
	signed_value = (int)signed_number;
	return xdr_int(xdrs, &signed_value);
}

static gboolean encode_arguments(exchange_t *exchange, char **operands,
				 GError **error)
{
	XDR xdrs;
	int i;

	xdrmem_create(&xdrs, (char *)exchange->args, sizeof(exchange->args),
		      XDR_ENCODE);
	for (i = 0; operands[i]; i++) {
		if (encode_argument(&xdrs, operands[i]))
			continue;
		g_set_error(error, DY_SETTINGS_ERROR, DY_SETTINGS_ERROR_VALUE,
			    "argument \"%s\" is not allowed: expected "
			    "string:TEXT, uint:N, int:N or hex:DIGITS",
			    operands[i]);
		return FALSE;
	}
	exchange->args_len = xdr_getpos(&xdrs);
	return TRUE;
}

static void send_call(exchange_t *exchange)
{
	uint8_t out[DY_DATAGRAM_BYTES + DY_RPC_MAX_HEADER_BYTES];
	dy_rpc_call_t call = { 0 };
	size_t len;

	call.xid = exchange->xid;
	call.program = (uint32_t)values.program;
	call.program_version = (uint32_t)values.program_version;
	call.procedure = exchange->procedure;
	if (exchange->token_len) {
		call.credential.flavor = AUTH_SHORT;
		call.credential.len = (uint32_t)exchange->token_len;
		call.credential.body = exchange->token;
	}
	if (exchange->procedure) {
		call.args = exchange->args;
		call.args_len = exchange->args_len;
	}
	len = dy_rpc_write_call(&call, out, sizeof(out));
	exchange->sent = 1;
	exchange->sent_ms = dy_loop_now_ms(exchange->loop);
	dy_endpoint_send_to(exchange->endpoint, out, len, &values.address);
}

static void print_hex(const char *key, const uint8_t *bytes, size_t len)
{
	size_t i;

	printf(" %s=", key);
	for (i = 0; i < len; i++)
		printf("%02x", bytes[i]);
}

/* Prints the fields of the token, which is opaque to callers. */
static void print_token(const exchange_t *exchange)
{
	char address[DY_ADDRESS_TEXT_BYTES];
	dy_token_t token = { 0 };
	XDR xdrs;

	if (exchange->token_len != DY_TOKEN_BYTES)
		return;
	xdrmem_create(&xdrs, (char *)exchange->token, DY_TOKEN_BYTES,
		      XDR_DECODE);
	if (!xdr_dy_token_t(&xdrs, &token))
		return;
	printf(" agent=%s agent_id=%016lx incarnation=%lu session=%016lx "
	       "key_id=%u",
	       dy_address_format(&token.address, address),
	       (unsigned long)token.agent, (unsigned long)token.incarnation,
	       (unsigned long)token.session, token.key_id);
	print_hex("token", exchange->token, exchange->token_len);
}

static void finish(exchange_t *exchange, const dy_refusal_t *refusal,
		   const char *status, const dy_rpc_reply_t *reply)
{
	printf("verdict=%s reason=%s status=%s retry_after_ms=%u elapsed_ms=%lu",
	       dy_verdict_name(refusal->verdict),
	       dy_reason_name(refusal->reason), status, refusal->retry_after_ms,
	       (unsigned long)(dy_loop_now_ms(exchange->loop) -
			       exchange->started_ms));
	print_token(exchange);
	if (reply && reply->results_len)
		print_hex("result", reply->results, reply->results_len);
	putchar('\n');
	exchange->exit_code =
		refusal->verdict == DY_RAN ? DY_EXIT_OK : DY_EXIT_FAILED;
	dy_loop_end(exchange->loop);
}

/* The body of the verifier is an encoded opaque_auth that holds the token. */
static void store_token(exchange_t *exchange, const dy_rpc_auth_t *verifier)
{
	struct opaque_auth inner = { 0 };
	XDR xdrs;

	if (verifier->flavor != AUTH_SHORT)
		return;
	xdrmem_create(&xdrs, (char *)verifier->body, verifier->len, XDR_DECODE);
	if (!xdr_opaque_auth(&xdrs, &inner))
		return;
	exchange->token_len = inner.oa_length;
	memcpy(exchange->token, inner.oa_base, inner.oa_length);
	xdr_free((xdrproc_t)xdr_opaque_auth, (char *)&inner);
}

static void handle_refusal(exchange_t *exchange, const dy_rpc_reply_t *reply)
{
	dy_refusal_t refusal = { DY_MAY_HAVE_RUN, DY_REASON_NONE, 0 };
	char status[32];

	if (reply->denied) {
		refusal.verdict = DY_NOT_RUN;
		g_snprintf(status, sizeof(status), "auth_error_%u",
			   reply->status);
	} else {
		g_snprintf(status, sizeof(status), "accept_stat_%u",
			   reply->status);
		if (dy_rpc_load_refusal(reply, &refusal) &&
		    reply->status != SYSTEM_ERR)
			refusal.verdict = DY_NOT_RUN;
	}
	finish(exchange, &refusal, status, reply);
}

static void on_reply(void *context, uint8_t *bytes, size_t len,
		     const struct sockaddr *from, int truncated)
{
	static const dy_refusal_t none = { DY_RAN, DY_REASON_NONE, 0 };
	exchange_t *exchange = context;
	dy_rpc_reply_t reply;

	(void)from;
	if (truncated || dy_rpc_parse_reply(bytes, len, &reply) ||
	    reply.xid != exchange->xid)
		return;
	if (reply.denied || reply.status != SUCCESS) {
		handle_refusal(exchange, &reply);
		return;
	}
	store_token(exchange, &reply.verifier);
	if (exchange->procedure == values.procedure) {
		finish(exchange, &none, "success", &reply);
		return;
	}
	exchange->procedure = (uint32_t)values.procedure;
	exchange->xid++;
	send_call(exchange);
}

static void on_tick(void *context)
{
	dy_refusal_t refusal = { DY_MAY_HAVE_RUN, DY_REASON_DEADLINE, 0 };
	exchange_t *exchange = context;
	uint64_t now = dy_loop_now_ms(exchange->loop);

	if (now - exchange->started_ms >= values.timeout_ms) {
		if (exchange->procedure != values.procedure)
			refusal.verdict = DY_NOT_RUN;
		finish(exchange, &refusal, "no_answer", NULL);
	} else if (!exchange->sent ||
		   now - exchange->sent_ms >= RETRANSMIT_INTERVAL_MS) {
		send_call(exchange);
	}
}

static gboolean prepare(exchange_t *exchange, char **operands, GError **error)
{
	if (!encode_arguments(exchange, operands, error))
		return FALSE;
	if (values.token &&
	    parse_hex(values.token, exchange->token, sizeof(exchange->token),
		      &exchange->token_len)) {
		g_set_error(error, DY_SETTINGS_ERROR, DY_SETTINGS_ERROR_VALUE,
			    "--token: \"%s\" is not allowed: expected at most "
			    "%d bytes in hexadecimal",
			    values.token, DY_RPC_MAX_AUTH_BYTES);
		return FALSE;
	}
	dy_random_fill(&exchange->xid, sizeof(exchange->xid));
	if (values.token || values.no_open)
		exchange->procedure = (uint32_t)values.procedure;
	return TRUE;
}

static gboolean run(exchange_t *exchange, GError **error)
{
	dy_metrics_t *metrics = dy_metrics_create();
	dy_address_t any;
	gboolean ok = FALSE;

	dy_address_parse(values.address.ip[0] ? "[::]:0" : "0.0.0.0:0", &any);
	exchange->loop = dy_loop_create(metrics);
	exchange->started_ms = dy_loop_now_ms(exchange->loop);
	exchange->endpoint = dy_endpoint_create(exchange->loop, &any, on_reply,
						exchange, error);
	if (exchange->endpoint) {
		dy_loop_every(exchange->loop, TICK_INTERVAL_MS, on_tick,
			      exchange);
		dy_loop_run(exchange->loop);
		dy_endpoint_destroy(exchange->endpoint);
		ok = TRUE;
	}
	dy_loop_destroy(exchange->loop);
	dy_metrics_destroy(metrics);
	return ok;
}

int dy_command_call(int argc, char **argv)
{
	static exchange_t exchange;
	char **operands = NULL;
	GError *error = NULL;

	if (!dy_settings_load(
		    argc, argv,
		    "Make one call as a caller and print its outcome. "
		    "The arguments are string:TEXT,\nuint:N, int:N "
		    "or hex:DIGITS.",
		    settings, &operands, &error) ||
	    !prepare(&exchange, operands, &error) || !run(&exchange, &error))
		exchange.exit_code = dy_command_fail_usage("call", error);
	g_strfreev(operands);
	dy_settings_clear(settings);
	return exchange.exit_code;
}
