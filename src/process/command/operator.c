#include "operator.h"

#include <stdio.h>
#include <string.h>

#include "command.h"
#include "damaskyard/document.h"
#include "damaskyard/log.h"
#include "damaskyard/loop.h"
#include "damaskyard/seal.h"

/*
 * Timeout of one attempt, after which the next control is tried: 100 round
 * trips between failure domains, with a synced write in each.
 */
#define ATTEMPT_TIMEOUT_MS 500

/* Pause before the next attempt while no leader serves. */
#define RETRY_INTERVAL_MS 50

#define TICK_INTERVAL_MS 10

/* Largest call: a page of a document with its headers. */
#define CALL_MAX_BYTES (DY_PAGE_BYTES + 2048)

operator_values_t operator_values;

struct operator
{
	const char *command;
	dy_metrics_t *metrics;
	dy_loop_t *loop;
	dy_endpoint_t *endpoint;
	dy_seal_t *seal;
	uint64_t deadline_ms;
	int calls_process; /* the call goes to one process, not to the group */
	uint64_t wake_ms;
	dy_address_t current_control;
	int control_index;
	/* The call in progress, or NULL. */
	const operator_call_t *call;
	uint32_t xid;
	void *result;
	int answered;
};

static uint64_t now_ms(const operator_t *op)
{
	return dy_loop_now_ms(op->loop);
}

static void on_datagram(void *context, uint8_t *bytes, size_t len,
			const struct sockaddr *from, int truncated)
{
	operator_t *op = context;
	dy_sealed_t message;

	(void)from;
	if (truncated ||
	    dy_seal_open(op->seal, bytes, len, &message) != DY_SEAL_OK)
		return;
	if (!message.is_reply || !op->call || op->answered ||
	    message.xid != op->xid)
		return;
	if (!dy_sealed_load(&message, op->call->result_proc, op->result,
			    op->call->result_size))
		return;
	op->answered = 1;
	dy_loop_end(op->loop);
}

static void on_tick(void *context)
{
	operator_t *op = context;

	if (now_ms(op) >= op->wake_ms)
		dy_loop_end(op->loop);
}

static void run_loop_until(operator_t *op, uint64_t wake_ms)
{
	op->wake_ms = MIN(wake_ms, op->deadline_ms);
	dy_loop_run(op->loop);
}

/* Binds to any port, in the address family of peer. */
static int open_endpoint(operator_t *op, const dy_address_t *peer,
			 GError **error)
{
	char text[DY_ADDRESS_TEXT_BYTES];
	dy_address_t any;

	dy_address_format(peer, text);
	dy_address_parse(*text == '[' ? "[::]:0" : "0.0.0.0:0", &any);
	op->endpoint =
		dy_endpoint_create(op->loop, &any, on_datagram, op, error);
	return op->endpoint ? 0 : -1;
}

operator_t *operator_create(const char *command, GError **error)
{
	const dy_address_list_t *controls = &operator_values.controls;
	operator_t *op = NULL;
	dy_secrets_t secrets;

	if (!dy_secrets_load(&secrets, operator_values.key_file, error))
		return NULL;
	dy_log_configure(DY_LOG_ERROR, command);
	op = g_new0(operator_t, 1);
	op->command = command;
	op->metrics = dy_metrics_create();
	op->loop = dy_loop_create(op->metrics);
	op->seal = dy_seal_create(&secrets, op->metrics);
	op->deadline_ms = now_ms(op) + operator_values.timeout_ms;
	dy_loop_every(op->loop, TICK_INTERVAL_MS, on_tick, op);
	if (controls->count)
		op->current_control = controls->items[0];
	return op;
}

void operator_destroy(operator_t *op)
{
	if (!op)
		return;
	dy_endpoint_destroy(op->endpoint);
	dy_loop_destroy(op->loop);
	dy_seal_destroy(op->seal);
	dy_metrics_destroy(op->metrics);
	g_free(op);
}

/* Sends a call once and waits for the answer. Returns 0 if it arrives. */
static int try_call(operator_t *op, const dy_address_t *to,
		    const operator_call_t *call, void *result)
{
	dy_seal_header_t header = { dy_seal_next_xid(op->seal), call->program,
				    call->procedure };
	uint8_t out[CALL_MAX_BYTES];
	size_t len;

	if (!op->endpoint && open_endpoint(op, to, NULL))
		return -1;
	len = dy_seal_write_call(op->seal, &header, call->args_proc, call->args,
				 out, sizeof(out));
	if (!len)
		return -1;
	op->call = call;
	op->xid = header.xid;
	op->result = result;
	op->answered = 0;
	dy_endpoint_send_to(op->endpoint, out, len, to);
	run_loop_until(op, now_ms(op) + ATTEMPT_TIMEOUT_MS);
	op->call = NULL;
	return op->answered ? 0 : -1;
}

static dy_status_t result_status(const operator_call_t *call,
				 const void *result, dy_address_t *leader)
{
	const dy_change_result_t *change = result;
	const dy_inspect_result_t *inspect = result;

	memset(leader, 0, sizeof(*leader));
	if (call->procedure == DY_CONTROL_CHANGE) {
		*leader = change->leader;
		return change->status;
	}
	if (call->procedure == DY_CONTROL_INSPECT) {
		*leader = inspect->leader;
		return inspect->status;
	}
	return *(const dy_status_t *)result;
}

static void choose_next_control(operator_t *op)
{
	const dy_address_list_t *controls = &operator_values.controls;

	op->control_index = (op->control_index + 1) % controls->count;
	op->current_control = controls->items[op->control_index];
}

int operator_call(operator_t *op, const operator_call_t *call, void *result)
{
	dy_address_t leader;
	dy_status_t status;

	while (now_ms(op) < op->deadline_ms) {
		if (try_call(op, &op->current_control, call, result)) {
			choose_next_control(op);
			continue;
		}
		status = result_status(call, result, &leader);
		if (status != DY_STATUS_NOT_LEADER &&
		    status != DY_STATUS_UNAVAILABLE)
			return 0;
		xdr_free(call->result_proc, result);
		if (leader.port && status == DY_STATUS_NOT_LEADER &&
		    !dy_address_equal(&leader, &op->current_control))
			op->current_control = leader;
		else
			choose_next_control(op);
		run_loop_until(op, now_ms(op) + RETRY_INTERVAL_MS);
	}
	return -1;
}

int operator_call_process(operator_t *op, const dy_address_t *address,
			  const operator_call_t *call, void *result)
{
	op->calls_process = 1;
	while (now_ms(op) < op->deadline_ms)
		if (!try_call(op, address, call, result))
			return 0;
	return -1;
}

/* Sets a random request id if --request-id is missing. */
static void ensure_request_id(void)
{
	uint8_t bytes[16];
	unsigned i;

	if (operator_values.request_id)
		return;
	operator_values.request_id = g_malloc0(2 * sizeof(bytes) + 1);
	dy_random_fill(bytes, sizeof(bytes));
	for (i = 0; i < sizeof(bytes); i++)
		g_snprintf(operator_values.request_id + (size_t)2 * i, 3,
			   "%02x", bytes[i]);
}

void operator_init_change(dy_change_t *change, dy_change_kind_t kind)
{
	uint8_t digest[DY_DIGEST_BYTES];

	memset(change, 0, sizeof(*change));
	change->kind = kind;
	change->operator_name = operator_values.name
					? operator_values.name
					: (char *)g_get_user_name();
	change->environment = "";
	change->name = "";
	ensure_request_id();
	dy_document_digest(operator_values.request_id,
			   strlen(operator_values.request_id), digest);
	memcpy(change->request, digest, sizeof(change->request));
}

const char *operator_status_name(dy_status_t status)
{
	static const char *const names[] = {
		"ok",	     "not_leader", "unavailable",
		"malformed", "conflict",   "not_tried",
		"not_found", "superseded", "name_taken",
	};

	return status <= DY_STATUS_NAME_TAKEN ? names[status] : "unknown";
}

int operator_fail_unanswered(const operator_t *op)
{
	fprintf(stderr, "damaskyard %s: %s within %lu ms", op->command,
		op->calls_process ? "the process did not answer"
				  : "no leader of the control group answered",
		(unsigned long)operator_values.timeout_ms);
	if (operator_values.request_id)
		fprintf(stderr,
			"; the change may have been made: send it again with "
			"--request-id %s",
			operator_values.request_id);
	fputc('\n', stderr);
	return DY_EXIT_FAILED;
}

static void print_refusal(const operator_t *op,
			  const dy_change_result_t *result)
{
	char digest[DY_DIGEST_TEXT_BYTES];

	fprintf(stderr, "damaskyard %s: refused: status=%s message=%s",
		op->command, operator_status_name(result->status),
		dy_log_quote(result->message));
	if (result->status == DY_STATUS_CONFLICT && *result->operator_name)
		fprintf(stderr,
			" winner_number=%lu winner_digest=%s winner_operator=%s",
			(unsigned long)result->number,
			dy_digest_format(result->digest, digest),
			dy_log_quote(result->operator_name));
	fputc('\n', stderr);
}

int operator_print_change(const operator_t *op, const dy_change_t *change,
			  const dy_change_result_t *result)
{
	char digest[DY_DIGEST_TEXT_BYTES];

	if (result->status != DY_STATUS_OK) {
		print_refusal(op, result);
		return DY_EXIT_FAILED;
	}
	printf("result=accepted");
	if (change->kind == DY_CHANGE_EVACUATE ||
	    change->kind == DY_CHANGE_READMIT)
		printf(" domain=%s version=%lu", dy_log_quote(change->name),
		       (unsigned long)result->number);
	else if (*change->name)
		printf(" name=%s incarnation=%lu", dy_log_quote(change->name),
		       (unsigned long)result->number);
	else if (change->kind == DY_CHANGE_ROTATE)
		printf(" key=%lu", (unsigned long)result->number);
	else
		printf(" environment=%s number=%lu digest=%s operator=%s",
		       *change->environment ? change->environment
					    : "production",
		       (unsigned long)result->number,
		       dy_digest_format(result->digest, digest),
		       dy_log_quote(result->operator_name));
	if (*result->message)
		printf(" message=%s", dy_log_quote(result->message));
	putchar('\n');
	return DY_EXIT_OK;
}

int operator_make_change(operator_t *op, dy_change_t *change)
{
	const operator_call_t call = {
		.program = DY_CONTROL_PROGRAM,
		.procedure = DY_CONTROL_CHANGE,
		.args_proc = (xdrproc_t)xdr_dy_change_t,
		.args = change,
		.result_proc = (xdrproc_t)xdr_dy_change_result_t,
		.result_size = sizeof(dy_change_result_t),
	};
	dy_change_result_t result;
	int code;

	if (operator_call(op, &call, &result))
		return operator_fail_unanswered(op);
	code = operator_print_change(op, change, &result);
	xdr_free(call.result_proc, (char *)&result);
	return code;
}

static gboolean check_operands(char **operands, char **operand, GError **error)
{
	if (operand && !operands[0]) {
		g_set_error(error, DY_SETTINGS_ERROR, DY_SETTINGS_ERROR_USAGE,
			    "an operand is missing; see --help");
		return FALSE;
	}
	if (operands[0] && (!operand || operands[1])) {
		g_set_error(error, DY_SETTINGS_ERROR, DY_SETTINGS_ERROR_USAGE,
			    "\"%s\" is not expected here",
			    operands[operand ? 1 : 0]);
		return FALSE;
	}
	if (operand)
		*operand = g_strdup(operands[0]);
	return TRUE;
}

operator_t *operator_load(int argc, char **argv, const char *summary,
			  const dy_setting_t *settings, char **operand)
{
	operator_t *op = NULL;
	char **operands = NULL;
	GError *error = NULL;

	if (dy_settings_load(argc, argv, summary, settings, &operands,
			     &error) &&
	    check_operands(operands, operand, &error))
		op = operator_create(argv[0], &error);
	g_strfreev(operands);
	if (!op)
		dy_command_fail_usage(argv[0], error);
	return op;
}

int operator_run_change(operator_t *op, const dy_setting_t *settings,
			dy_change_t *change)
{
	int code = operator_make_change(op, change);

	operator_destroy(op);
	dy_settings_clear(settings);
	return code;
}

void operator_set_timeout(operator_t *op, uint64_t timeout_ms)
{
	op->deadline_ms = now_ms(op) + timeout_ms;
}

static char *member_environment;

static const dy_setting_t member_settings[] = {
	OPERATOR_SETTINGS(TRUE),
	OPERATOR_REQUEST_SETTING,
	{ .flag = "environment",
	  .kind = DY_SETTING_CHOICE,
	  .value = &member_environment,
	  .argument = DY_ENVIRONMENT_CHOICES,
	  .help = "required if the name is in both environments" },
	{ 0 },
};

/* Runs a command that makes one change to the member or domain it names. */
static int change_by_name(int argc, char **argv, const char *summary,
			  const dy_setting_t *settings, dy_change_kind_t kind)
{
	char *name = NULL;
	dy_change_t change;
	operator_t *op;
	int code;

	op = operator_load(argc, argv, summary, settings, &name);
	if (!op)
		return DY_EXIT_USAGE;
	operator_init_change(&change, kind);
	if (settings == member_settings && member_environment)
		change.environment = member_environment;
	change.name = name;
	code = operator_run_change(op, settings, &change);
	g_free(name);
	return code;
}

int operator_change_member(int argc, char **argv, const char *summary,
			   dy_change_kind_t kind)
{
	return change_by_name(argc, argv, summary, member_settings, kind);
}

static const dy_setting_t domain_settings[] = {
	OPERATOR_SETTINGS(TRUE),
	OPERATOR_REQUEST_SETTING,
	{ 0 },
};

int operator_change_domain(int argc, char **argv, const char *summary,
			   dy_change_kind_t kind)
{
	return change_by_name(argc, argv, summary, domain_settings, kind);
}
