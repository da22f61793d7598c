#ifndef DAMASKYARD_SETTINGS_H
#define DAMASKYARD_SETTINGS_H

/*
 * Settings from flags and environment variables, checked at the start.
 *
 * Each flag has a variable: --key-file is also read from DAMASKYARD_KEY_FILE.
 * A flag takes precedence over its variable. A wrong setting ends in an error
 * of one line with the setting, its value and what is allowed.
 */

#include <glib.h>

#include "damaskyard/address.h"

/* Maximum number of addresses in one setting, such as --controls. */
#define DY_SETTING_ADDRESSES_MAX 16

typedef struct dy_address_list {
	dy_address_t items[DY_SETTING_ADDRESSES_MAX];
	int count;
} dy_address_list_t;

typedef enum dy_setting_kind {
	DY_SETTING_TEXT,    /* char **, freed by dy_settings_clear() */
	DY_SETTING_NAME,    /* char **: 1 to 63 of a-z 0-9 . _ - */
	DY_SETTING_CHOICE,  /* char **: one of the words of argument, "a|b" */
	DY_SETTING_NUMBER,  /* uint64_t *, decimal or 0x hexadecimal */
	DY_SETTING_FLAG,    /* gboolean * */
	DY_SETTING_ADDRESS, /* dy_address_t * */
	DY_SETTING_ADDRESSES_LIST /* dy_address_list_t * */
} dy_setting_kind_t;

typedef struct dy_setting {
	const char *flag; /* without the leading dashes */
	dy_setting_kind_t kind;
	void *value; /* result, of the type that kind says */
	gboolean required;
	const char *default_text; /* default, as text; NULL: none */
	uint64_t min;		  /* numbers only */
	uint64_t max;		  /* numbers only; 0: no limit */
	const char *argument;	  /* placeholder in the help: FILE, IP:PORT */
	const char *help;
} dy_setting_t;

typedef enum dy_settings_error {
	DY_SETTINGS_ERROR_USAGE,
	DY_SETTINGS_ERROR_VALUE
} dy_settings_error_t;

#define DY_SETTINGS_ERROR (dy_settings_error_quark())
GQuark dy_settings_error_quark(void);

/*
 * Load settings from argv and the environment. The last entry of settings has
 * a NULL flag. summary is text of the help. operands receives the arguments
 * that are not flags, a NULL-terminated vector to free with g_strfreev(); if
 * operands is NULL, operands are an error. --help prints the help and exits
 * with 0. Returns TRUE, or FALSE with error set on a wrong setting. Call
 * dy_settings_clear() in both cases.
 */
gboolean dy_settings_load(int argc, char **argv, const char *summary,
			  const dy_setting_t *settings, char ***operands,
			  GError **error);

/* Free the texts that dy_settings_load() stored. */
void dy_settings_clear(const dy_setting_t *settings);

#endif
