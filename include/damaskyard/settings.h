#ifndef DAMASKYARD_SETTINGS_H
#define DAMASKYARD_SETTINGS_H

/*
 * Settings from flags and environment variables, checked at the start.
 *
 * The flag --key-file is also read from DAMASKYARD_KEY_FILE; a flag goes
 * before its variable. A wrong setting is refused with one line that names
 * the setting, its value and what is allowed.
 */

#include <glib.h>

#include "damaskyard/address.h"

/* Addresses in one setting at most, as --controls. */
#define DY_SETTING_ADDRESSES_MAX 16

typedef struct dy_address_list {
	dy_address_t items[DY_SETTING_ADDRESSES_MAX];
	int count;
} dy_address_list_t;

typedef enum dy_setting_kind {
	DY_SETTING_TEXT,    /* char **, freed by dy_settings_clear() */
	DY_SETTING_NAME,    /* char **: 1 to 63 of a-z 0-9 . _ - */
	DY_SETTING_CHOICE,  /* char **: one of those in argument, "a|b|c" */
	DY_SETTING_NUMBER,  /* uint64_t *, decimal or 0x hexadecimal */
	DY_SETTING_FLAG,    /* gboolean * */
	DY_SETTING_ADDRESS, /* dy_address_t * */
	DY_SETTING_ADDRESSES_LIST /* dy_address_list_t * */
} dy_setting_kind_t;

typedef struct dy_setting {
	const char *flag; /* without the dashes */
	dy_setting_kind_t kind;
	void *value;
	gboolean required;
	const char *default_text; /* value if neither is given, or NULL */
	uint64_t min;		  /* numbers only */
	uint64_t max;		  /* numbers only; 0: no limit */
	const char *argument;	  /* in the help: FILE, IP:PORT, ... */
	const char *help;
} dy_setting_t;

typedef enum dy_settings_error {
	DY_SETTINGS_ERROR_USAGE,
	DY_SETTINGS_ERROR_VALUE
} dy_settings_error_t;

#define DY_SETTINGS_ERROR (dy_settings_error_quark())
GQuark dy_settings_error_quark(void);

/*
 * Load settings (ended by one whose flag is NULL) from argv and the
 * environment. operands takes what is no flag, a NULL-ended vector to free
 * with g_strfreev(); with operands NULL there may be none. --help prints the
 * help and exits 0. Returns FALSE with error set on a wrong setting.
 */
gboolean dy_settings_load(int argc, char **argv, const char *summary,
			  const dy_setting_t *settings, char ***operands,
			  GError **error);

/* Free what dy_settings_load() allocated. */
void dy_settings_clear(const dy_setting_t *settings);

#endif
