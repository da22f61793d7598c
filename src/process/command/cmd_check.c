#include <stdio.h>
#include <string.h>

#include "command.h"
#include "damaskyard/document.h"
#include "damaskyard/flow_settings.h"
#include "damaskyard/settings.h"

static void print_document(const dy_document_t *document, const char *path,
			   const uint8_t digest[DY_DIGEST_BYTES])
{
	char address[DY_ADDRESS_TEXT_BYTES];
	char text[DY_DIGEST_TEXT_BYTES];
	const dy_service_t *service;
	unsigned i;

	printf("document=%s result=valid services=%u digest=%s\n", path,
	       dy_document_service_count(document),
	       dy_digest_format(digest, text));
	for (i = 0; i < dy_document_service_count(document); i++) {
		service = dy_document_service(document, i);
		printf("service=%s address=%s program=0x%08x version=%u "
		       "idempotent=%u deadline_ms=%u objective=%g\n",
		       service->name,
		       dy_address_format(&service->address, address),
		       service->program, service->program_version,
		       service->idempotent_count, service->deadline_ms,
		       service->objective);
	}
}

static int check_document(const char *path)
{
	uint8_t digest[DY_DIGEST_BYTES];
	dy_document_t *document;
	GError *error = NULL;
	char *bytes = NULL;
	gsize len = 0;

	if (!g_file_get_contents(path, &bytes, &len, &error))
		return dy_command_fail_usage("check", error);
	document = dy_document_parse(bytes, len, &error);
	if (!document) {
		fprintf(stderr, "damaskyard check: %s: %s\n", path,
			error->message);
		g_error_free(error);
		g_free(bytes);
		return DY_EXIT_FAILED;
	}
	dy_document_digest(bytes, len, digest);
	print_document(document, path, digest);
	dy_document_destroy(document);
	g_free(bytes);
	return DY_EXIT_OK;
}

static int check_settings(const char *path, const char *role)
{
	dy_flow_settings_t settings;
	GError *error = NULL;
	dy_flow_role_t flow_role = DY_FLOW_BALANCER;

	if (!strcmp(role, "agent"))
		flow_role = DY_FLOW_AGENT;
	else if (!strcmp(role, "control"))
		flow_role = DY_FLOW_CONTROL;
	if (!dy_flow_settings_load(&settings, path, flow_role, &error)) {
		fprintf(stderr, "damaskyard check: %s: %s\n", path,
			error->message);
		g_error_free(error);
		return DY_EXIT_FAILED;
	}
	printf("settings=%s result=valid role=%s name=%s seeds=%d losses=%u\n",
	       path, role, settings.name, settings.seeds.count,
	       settings.losses);
	dy_flow_settings_clear(&settings);
	return DY_EXIT_OK;
}

int dy_command_check(int argc, char **argv)
{
	char *settings_path = NULL;
	char *role = NULL;
	const dy_setting_t settings[] = {
		{ .flag = "settings",
		  .kind = DY_SETTING_TEXT,
		  .value = &settings_path,
		  .argument = "FILE",
		  .help = "check a settings file of packet flows instead" },
		{ .flag = "role",
		  .kind = DY_SETTING_CHOICE,
		  .value = &role,
		  .default_text = "balancer",
		  .argument = "balancer|agent|control",
		  .help = "role of the process that loads --settings; default balancer" },
		{ 0 },
	};
	GError *error = NULL;
	char **operands = NULL;
	int code;

	if (!dy_settings_load(argc, argv,
			      "Check the file DOCUMENT without submitting it, "
			      "or a settings file.",
			      settings, &operands, &error))
		return dy_command_fail_usage("check", error);
	if (settings_path && !g_strv_length(operands)) {
		code = check_settings(settings_path, role);
	} else if (!settings_path && g_strv_length(operands) == 1) {
		code = check_document(operands[0]);
	} else {
		fputs("damaskyard check: expected one DOCUMENT, or --settings\n",
		      stderr);
		code = DY_EXIT_USAGE;
	}
	dy_settings_clear(settings);
	g_strfreev(operands);
	return code;
}
