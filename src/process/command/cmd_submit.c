#include <stdio.h>
#include <string.h>

#include "command.h"
#include "damaskyard/document.h"
#include "operator.h"

/*
 * Uploads before the command gives up. A change of leader during an upload
 * requires another one.
 */
#define UPLOADS_MAX 5

static struct {
	char *environment;
	uint64_t number;
} values;

static const dy_setting_t settings[] = {
	OPERATOR_SETTINGS(TRUE),
	OPERATOR_REQUEST_SETTING,
	{ .flag = "environment",
	  .kind = DY_SETTING_CHOICE,
	  .value = &values.environment,
	  .default_text = "trial",
	  .argument = DY_ENVIRONMENT_CHOICES,
	  .help = "environment; default trial" },
	{ .flag = "number",
	  .kind = DY_SETTING_NUMBER,
	  .value = &values.number,
	  .default_text = "0",
	  .argument = "N",
	  .help = "number of the document, one above the last; 0: the next" },
	{ 0 },
};

/* Returns the status of the last page sent, or UNAVAILABLE after a timeout. */
static dy_status_t upload_document(operator_t *op, const dy_change_t *change,
				   char *bytes, uint32_t size)
{
	dy_status_t status = DY_STATUS_OK;
	dy_put_t put = { .size = size };
	const operator_call_t call = {
		.program = DY_CONTROL_PROGRAM,
		.procedure = DY_CONTROL_PUT,
		.args_proc = (xdrproc_t)xdr_dy_put_t,
		.args = &put,
		.result_proc = (xdrproc_t)xdr_dy_status_t,
		.result_size = sizeof(status),
	};

	memcpy(put.digest, change->digest, DY_DIGEST_BYTES);
	for (put.offset = 0; put.offset < size && status == DY_STATUS_OK;
	     put.offset += put.page.page_len) {
		put.page.page_val = bytes + put.offset;
		put.page.page_len =
			MIN(size - put.offset, (uint32_t)DY_PAGE_BYTES);
		if (operator_call(op, &call, &status))
			return DY_STATUS_UNAVAILABLE;
	}
	return status;
}

/*
 * Uploads the document if the leader answers NOT_FOUND, which it does until it
 * holds the bytes; a new leader needs another upload. Every attempt has the
 * same request id.
 */
static int submit_document(operator_t *op, dy_change_t *change, char *bytes,
			   uint32_t size)
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
	int uploads = 0;
	int code;

	for (;;) {
		if (operator_call(op, &call, &result))
			return operator_fail_unanswered(op);
		if (result.status != DY_STATUS_NOT_FOUND ||
		    uploads++ == UPLOADS_MAX)
			break;
		xdr_free(call.result_proc, (char *)&result);
		if (upload_document(op, change, bytes, size) ==
		    DY_STATUS_UNAVAILABLE)
			return operator_fail_unanswered(op);
	}
	code = operator_print_change(op, change, &result);
	xdr_free(call.result_proc, (char *)&result);
	return code;
}

static int submit_file(operator_t *op, const char *path)
{
	dy_change_t change;
	GError *error = NULL;
	char *bytes;
	gsize len;
	int code;

	if (!g_file_get_contents(path, &bytes, &len, &error))
		return dy_command_fail_usage("submit", error);
	operator_init_change(&change, DY_CHANGE_SUBMIT);
	change.environment = values.environment;
	change.number = values.number;
	dy_document_digest(bytes, len, (uint8_t *)change.digest);
	if (len && len <= DY_DOCUMENT_BYTES) {
		code = submit_document(op, &change, bytes, (uint32_t)len);
	} else {
		fprintf(stderr,
			"damaskyard submit: %s: %lu bytes are not allowed: "
			"expected 1 to %d\n",
			path, (unsigned long)len, DY_DOCUMENT_BYTES);
		code = DY_EXIT_USAGE;
	}
	g_free(bytes);
	return code;
}

int dy_command_submit(int argc, char **argv)
{
	char *path = NULL;
	operator_t *op;
	int code;

	op = operator_load(argc, argv,
			   "Submit the file DOCUMENT to an environment.",
			   settings, &path);
	if (!op)
		return DY_EXIT_USAGE;
	code = submit_file(op, path);
	g_free(path);
	operator_destroy(op);
	dy_settings_clear(settings);
	return code;
}
