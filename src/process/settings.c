#include "damaskyard/settings.h"

#include <stdlib.h>
#include <string.h>

/* Size of an environment variable's name, with its NUL. */
#define VARIABLE_BYTES 64
#define SETTINGS_MAX 32
#define NAME_MAX_BYTES 63

GQuark dy_settings_error_quark(void)
{
	return g_quark_from_static_string("dy-settings-error");
}

static void variable_name(const char *flag, char out[VARIABLE_BYTES])
{
	char *p;

	g_snprintf(out, VARIABLE_BYTES, "DAMASKYARD_%s", flag);
	for (p = out; *p; p++)
		*p = *p == '-' ? '_' : g_ascii_toupper(*p);
}

static gboolean refuse_value(const dy_setting_t *setting, const char *text,
			     const char *allowed, GError **error)
{
	g_set_error(error, DY_SETTINGS_ERROR, DY_SETTINGS_ERROR_VALUE,
		    "--%s: \"%s\" is not allowed: expected %s", setting->flag,
		    text, allowed);
	return FALSE;
}

static gboolean store_name(const dy_setting_t *setting, const char *text,
			   GError **error)
{
	size_t len = strlen(text);

	if (!len || len > NAME_MAX_BYTES ||
	    strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789._-") != len)
		return refuse_value(setting, text,
				    "1 to 63 of a-z, 0-9, '.', '_', '-'",
				    error);
	*(char **)setting->value = g_strdup(text);
	return TRUE;
}

static gboolean store_choice(const dy_setting_t *setting, const char *text,
			     GError **error)
{
	char **choices = g_strsplit(setting->argument, "|", -1);
	gboolean ok = g_strv_contains((const char *const *)choices, text);

	g_strfreev(choices);
	if (!ok)
		return refuse_value(setting, text, setting->argument, error);
	*(char **)setting->value = g_strdup(text);
	return TRUE;
}

static gboolean store_number(const dy_setting_t *setting, const char *text,
			     GError **error)
{
	char allowed[96];
	guint64 max = setting->max ? setting->max : G_MAXUINT64;
	guint64 number = 0;
	gboolean hex = g_str_has_prefix(text, "0x");

	if (g_ascii_string_to_unsigned(hex ? text + 2 : text, hex ? 16 : 10,
				       setting->min, max, &number, NULL)) {
		*(uint64_t *)setting->value = number;
		return TRUE;
	}
	g_snprintf(allowed, sizeof(allowed),
		   "a whole number from %" G_GUINT64_FORMAT
		   " to %" G_GUINT64_FORMAT,
		   setting->min, max);
	return refuse_value(setting, text, allowed, error);
}

static gboolean store_flag(const dy_setting_t *setting, const char *text,
			   GError **error)
{
	if (strcmp(text, "0") && strcmp(text, "1"))
		return refuse_value(setting, text, "0 or 1", error);
	*(gboolean *)setting->value = *text == '1';
	return TRUE;
}

static gboolean store_addresses(const dy_setting_t *setting, const char *text,
				GError **error)
{
	dy_address_list_t *list = setting->value;

	list->count = dy_address_parse_list(text, list->items,
					    DY_SETTING_ADDRESSES_MAX);
	if (list->count > 0)
		return TRUE;
	return refuse_value(setting, text, "1 to 16 of IP:PORT, with commas",
			    error);
}

static gboolean store_value(const dy_setting_t *setting, const char *text,
			    GError **error)
{
	switch (setting->kind) {
	case DY_SETTING_TEXT:
		*(char **)setting->value = g_strdup(text);
		return TRUE;
	case DY_SETTING_NAME:
		return store_name(setting, text, error);
	case DY_SETTING_CHOICE:
		return store_choice(setting, text, error);
	case DY_SETTING_NUMBER:
		return store_number(setting, text, error);
	case DY_SETTING_FLAG:
		return store_flag(setting, text, error);
	case DY_SETTING_ADDRESS:
		if (!dy_address_parse(text, setting->value))
			return TRUE;
		return refuse_value(setting, text, "IP:PORT", error);
	case DY_SETTING_ADDRESSES_LIST:
		return store_addresses(setting, text, error);
	}
	return FALSE;
}

static gboolean store_setting(const dy_setting_t *setting, const char *flag,
			      GError **error)
{
	char variable[VARIABLE_BYTES];
	const char *text = flag;

	variable_name(setting->flag, variable);
	if (!text)
		text = getenv(variable);
	if (!text)
		text = setting->default_text;
	if (text)
		return store_value(setting, text, error);
	if (!setting->required)
		return TRUE;
	g_set_error(error, DY_SETTINGS_ERROR, DY_SETTINGS_ERROR_USAGE,
		    "--%s (or %s) is missing: expected %s", setting->flag,
		    variable, setting->argument);
	return FALSE;
}

static gboolean store_all(const dy_setting_t *settings, char **texts,
			  const gboolean *flags, GError **error)
{
	const char *text;
	int i;

	for (i = 0; settings[i].flag; i++) {
		text = texts[i];
		if (settings[i].kind == DY_SETTING_FLAG && flags[i])
			text = "1";
		if (!store_setting(&settings[i], text, error))
			return FALSE;
	}
	return TRUE;
}

static void fill_entry(GOptionEntry *entry, const dy_setting_t *setting,
		       char **text, gboolean *flag)
{
	entry->long_name = setting->flag;
	entry->description = setting->help;
	entry->arg_description = setting->argument;
	if (setting->kind == DY_SETTING_FLAG) {
		entry->arg = G_OPTION_ARG_NONE;
		entry->arg_data = flag;
	} else {
		entry->arg = G_OPTION_ARG_STRING;
		entry->arg_data = text;
	}
}

static gboolean parse_flags(int argc, char **argv, const char *summary,
			    GOptionEntry *entries, char ***operands,
			    GError **error)
{
	GOptionContext *context;
	char **copy = g_new0(char *, argc + 1);
	char program[VARIABLE_BYTES];
	char **strv = copy;
	gboolean ok;
	int i;

	for (i = 0; i < argc; i++)
		copy[i] = g_strdup(argv[i]);
	g_snprintf(program, sizeof(program), "damaskyard %s", argv[0]);
	g_set_prgname(program);
	context = g_option_context_new(operands ? "OPERAND..." : NULL);
	g_option_context_set_summary(context, summary);
	g_option_context_set_description(
		context, "Every flag is also read from the environment: "
			 "--key-file from DAMASKYARD_KEY_FILE.");
	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse_strv(context, &strv, error);
	if (ok && !operands && strv[1]) {
		g_set_error(error, DY_SETTINGS_ERROR, DY_SETTINGS_ERROR_USAGE,
			    "\"%s\" is not expected here", strv[1]);
		ok = FALSE;
	}
	if (ok && operands)
		*operands = g_strdupv(strv + 1);
	g_option_context_free(context);
	g_strfreev(strv);
	return ok;
}

gboolean dy_settings_load(int argc, char **argv, const char *summary,
			  const dy_setting_t *settings, char ***operands,
			  GError **error)
{
	GOptionEntry entries[SETTINGS_MAX + 1] = { 0 };
	char *texts[SETTINGS_MAX] = { 0 };
	gboolean flags[SETTINGS_MAX] = { 0 };
	gboolean ok;
	int i;

	for (i = 0; settings[i].flag; i++) {
		g_assert(i < SETTINGS_MAX);
		fill_entry(&entries[i], &settings[i], &texts[i], &flags[i]);
	}
	ok = parse_flags(argc, argv, summary, entries, operands, error) &&
	     store_all(settings, texts, flags, error);
	for (i = 0; i < SETTINGS_MAX; i++)
		g_free(texts[i]);
	return ok;
}

void dy_settings_clear(const dy_setting_t *settings)
{
	int i;

	for (i = 0; settings[i].flag; i++) {
		if (settings[i].kind != DY_SETTING_TEXT &&
		    settings[i].kind != DY_SETTING_NAME &&
		    settings[i].kind != DY_SETTING_CHOICE)
			continue;
		g_clear_pointer((char **)settings[i].value, g_free);
	}
}
