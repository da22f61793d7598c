#ifndef DAMASKYARD_OPERATOR_H
#define DAMASKYARD_OPERATOR_H

/*
 * An operator's side of control: what submit, promote, drain, remove, rotate
 * and status share. Finds the leader among --controls and sends a call again
 * while its answer is lost; a change keeps its request id, so that it is made
 * once however often it is sent.
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

/* What the settings below are loaded into. */
extern operator_values_t operator_values;

/*
 * Flags of every operator's command; a part of its table of settings.
 * needs_controls: whether --controls must be given.
 */
#define OPERATOR_SETTINGS(needs_controls)                                      \
	{ .flag = "controls",                                                  \
	  .kind = DY_SETTING_ADDRESSES_LIST,                                   \
	  .value = &operator_values.controls,                                  \
	  .required = (needs_controls),                                        \
	  .argument = "IP:PORT,...",                                           \
	  .help = "the control group" },                                       \
		{ .flag = "key-file",                                          \
		  .kind = DY_SETTING_TEXT,                                     \
		  .value = &operator_values.key_file,                          \
		  .required = TRUE,                                            \
		  .argument = "FILE",                                          \
		  .help = "the group's key" },                                 \
		{ .flag = "operator",                                          \
		  .kind = DY_SETTING_NAME,                                     \
		  .value = &operator_values.name,                              \
		  .argument = "NAME",                                          \
		  .help = "who does it; else the user's name" },               \
	{                                                                      \
		.flag = "timeout-ms", .kind = DY_SETTING_NUMBER,               \
		.value = &operator_values.timeout_ms, .default_text = "10000", \
		.min = 100, .max = 600000, .argument = "MS",                   \
		.help = "give up after so long without an answer"              \
	}

/* The flag of every command that makes a change, beside those above. */
#define OPERATOR_REQUEST_SETTING                                            \
	{                                                                   \
		.flag = "request-id", .kind = DY_SETTING_NAME,              \
		.value = &operator_values.request_id, .argument = "ID",     \
		.help = "name of this change: sent again, it is made once " \
			"and gets the first answer"                         \
	}

typedef struct operator operator_t;

/*
 * Create from operator_values, for a command of that name, which is kept by
 * reference. The time to give up starts now. Returns NULL with error set.
 */
operator_t *operator_create(const char *command, GError **error);
void operator_destroy(operator_t *op);

typedef struct operator_call {
	uint32_t program;
	uint32_t procedure;
	xdrproc_t args_proc;
	void *args;
	xdrproc_t result_proc;
	size_t result_size;
} operator_call_t;

/*
 * Make a call of the leader. Returns 0 with result decoded, its status not
 * NOT_LEADER or UNAVAILABLE, to be freed with xdr_free(); or -1 after the
 * timeout.
 */
int operator_call(operator_t *op, const operator_call_t *call, void *result);

/* Give up this many milliseconds from now, whatever --timeout-ms says. */
void operator_set_timeout(operator_t *op, uint64_t timeout_ms);

/* Make a call of one process. Returns 0, or -1 after the timeout. */
int operator_call_process(operator_t *op, const dy_address_t *address,
			  const operator_call_t *call, void *result);

/*
 * Fill in a change's operator and its request id: of --request-id, or a
 * fresh one.
 */
void operator_begin_change(dy_change_t *change, dy_change_kind_t kind);

/*
 * Make a change and print what came of it: "result=accepted key=value..." to
 * stdout, or one line that begins with the command to stderr. Returns the
 * exit code.
 */
int operator_make_change(operator_t *op, dy_change_t *change);

/* As above, for a change that was made already. */
int operator_print_change(const operator_t *op, const dy_change_t *change,
			  const dy_change_result_t *result);

/* Print that nobody answered; returns the exit code. */
int operator_fail_unanswered(const operator_t *op);

/*
 * Load settings with at most one operand, which is required if operand is
 * not NULL. Returns an operator, or NULL after the error was printed.
 */
operator_t *operator_load(int argc, char **argv, const char *summary,
			  const dy_setting_t *settings, char **operand);

/* The whole of a command that makes one change to the member NAME. */
int operator_change_member(int argc, char **argv, const char *summary,
			   dy_change_kind_t kind);

/* The whole of a command that makes one change to the failure domain DOMAIN. */
int operator_change_domain(int argc, char **argv, const char *summary,
			   dy_change_kind_t kind);

/* The whole of a command that makes one change and has no other flags. */
int operator_run_change(operator_t *op, const dy_setting_t *settings,
			dy_change_t *change);

/* Returns the name of a status, as commands print it. */
const char *operator_status_name(dy_status_t status);

#endif
