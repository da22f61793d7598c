#ifndef DAMASKYARD_OPERATOR_H
#define DAMASKYARD_OPERATOR_H

/*
 * Client of the control group for the operator commands (submit, promote,
 * drain, remove, rotate, evacuate, readmit, status, report).
 *
 * It finds the leader among --controls and retries a call that gets no answer.
 * A change keeps its request id across retries, so the group makes it once
 * however often it is sent.
 */

#include <stdint.h>

#include <glib.h>
#include <rpc/xdr.h>

#include "damaskyard/settings.h"
#include "dy_control.h"

typedef struct operator_values {
	dy_address_list_t controls;
	char *key_file;
	uint64_t timeout_ms;
	char *name;
	char *request_id;
} operator_values_t;

/* Values of the flags below, filled in by operator_load(). */
extern operator_values_t operator_values;

/*
 * Flags of every operator command: rows of its dy_setting_t table.
 * needs_controls is TRUE if --controls is required.
 */
#define OPERATOR_SETTINGS(needs_controls)                                      \
	{ .flag = "controls",                                                  \
	  .kind = DY_SETTING_ADDRESSES_LIST,                                   \
	  .value = &operator_values.controls,                                  \
	  .required = (needs_controls),                                        \
	  .argument = "IP:PORT,...",                                           \
	  .help = "addresses of the control group" },                          \
		{ .flag = "key-file",                                          \
		  .kind = DY_SETTING_TEXT,                                     \
		  .value = &operator_values.key_file,                          \
		  .required = TRUE,                                            \
		  .argument = "FILE",                                          \
		  .help = "file with the key of the group" },                  \
		{ .flag = "operator",                                          \
		  .kind = DY_SETTING_NAME,                                     \
		  .value = &operator_values.name,                              \
		  .argument = "NAME",                                          \
		  .help = "name of the operator; default the user's name" },   \
	{                                                                      \
		.flag = "timeout-ms", .kind = DY_SETTING_NUMBER,               \
		.value = &operator_values.timeout_ms, .default_text = "10000", \
		.min = 100, .max = 600000, .argument = "MS",                   \
		.help = "timeout for an answer; default 10000"                 \
	}

/* Flag that every command that makes a change has in addition. */
#define OPERATOR_REQUEST_SETTING                                           \
	{                                                                  \
		.flag = "request-id", .kind = DY_SETTING_NAME,             \
		.value = &operator_values.request_id, .argument = "ID",    \
		.help = "id of this change: sent again with the same id, " \
			"it is made once and gets the first answer"        \
	}

typedef struct operator operator_t;

/*
 * Creates an operator from operator_values. command is the name of the
 * subcommand for messages; it is not copied and must outlive the operator.
 * The timeout starts now; the log is limited to errors. Returns NULL with error
 * set if the key file cannot be loaded.
 */
operator_t *operator_create(const char *command, GError **error);

/* Frees op, which may be NULL. */
void operator_destroy(operator_t *op);

/* One ONC RPC call and the XDR functions of its arguments and result. */
typedef struct operator_call {
	uint32_t program;
	uint32_t procedure;
	xdrproc_t args_proc;
	void *args;
	xdrproc_t result_proc;
	size_t result_size; /* of the decoded result, in bytes */
} operator_call_t;

/*
 * Sends a call to the leader of the control group and waits for the answer.
 * Retries at another control while a control does not answer, or answers
 * NOT_LEADER or UNAVAILABLE. Returns 0 with result decoded, which the caller
 * frees with xdr_free(), or -1 after the timeout.
 */
int operator_call(operator_t *op, const operator_call_t *call, void *result);

/* Restarts the timeout with timeout_ms in place of --timeout-ms. */
void operator_set_timeout(operator_t *op, uint64_t timeout_ms);

/*
 * Sends a call to the process at address and retries until it answers.
 * Returns 0 with result decoded, which the caller frees with xdr_free(), or -1
 * after the timeout.
 */
int operator_call_process(operator_t *op, const dy_address_t *address,
			  const operator_call_t *call, void *result);

/*
 * Clears change and sets its kind, its operator and its request id. The
 * request id is derived from --request-id, or from a random id if the flag is
 * missing. The strings of change are not copied; they live as long as
 * operator_values.
 */
void operator_init_change(dy_change_t *change, dy_change_kind_t kind);

/*
 * Sends a change to the leader and prints the result: "result=accepted
 * key=value..." to stdout, or one line that starts with "damaskyard COMMAND: "
 * to stderr. Returns the exit code.
 */
int operator_make_change(operator_t *op, dy_change_t *change);

/* Prints the result of a change as above. Returns the exit code. */
int operator_print_change(const operator_t *op, const dy_change_t *change,
			  const dy_change_result_t *result);

/*
 * Prints to stderr that the call timed out, with the request id to retry a
 * change with. Returns the exit code.
 */
int operator_fail_unanswered(const operator_t *op);

/*
 * Loads settings from the flags and creates an operator. If operand is not
 * NULL, exactly one operand is required and a copy of it, to free with
 * g_free(), is stored there; else none is allowed. argv[0] is not copied.
 * Returns NULL after an error, which was printed; the exit code is then
 * DY_EXIT_USAGE.
 */
operator_t *operator_load(int argc, char **argv, const char *summary,
			  const dy_setting_t *settings, char **operand);

/*
 * Runs a command whose operand is the name of a member and that makes one
 * change of that kind to it. Returns the exit code.
 */
int operator_change_member(int argc, char **argv, const char *summary,
			   dy_change_kind_t kind);

/*
 * Runs a command whose operand is a failure domain and that makes one change
 * of that kind to it. Returns the exit code.
 */
int operator_change_domain(int argc, char **argv, const char *summary,
			   dy_change_kind_t kind);

/*
 * Makes a change with operator_make_change(), then destroys op and clears
 * settings. Returns the exit code.
 */
int operator_run_change(operator_t *op, const dy_setting_t *settings,
			dy_change_t *change);

/* Returns the printed name of a status, a static string. */
const char *operator_status_name(dy_status_t status);

#endif
