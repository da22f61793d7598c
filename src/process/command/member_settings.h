#ifndef DAMASKYARD_MEMBER_SETTINGS_H
#define DAMASKYARD_MEMBER_SETTINGS_H

/* Settings that balancers and agents have in common, and their flags. */

#include "command.h"
#include "damaskyard/settings.h"

typedef struct member_settings {
	char *name;
	char *environment;
	char *domain;
	char *key_file;
	char *log_level;
	dy_address_list_t controls;
	dy_address_t listen;
} member_settings_t;

/*
 * Rows of a dy_setting_t table that load the member_settings_t member, an
 * lvalue with static storage. dy_settings_clear() frees its strings.
 */
#define MEMBER_SETTINGS(member)                                         \
	{ .flag = "name",                                               \
	  .kind = DY_SETTING_NAME,                                      \
	  .value = &(member).name,                                      \
	  .required = TRUE,                                             \
	  .argument = "NAME",                                           \
	  .help = "name of this member, unique in the environment" },   \
		{ .flag = "environment",                                \
		  .kind = DY_SETTING_CHOICE,                            \
		  .value = &(member).environment,                       \
		  .default_text = "production",                         \
		  .argument = DY_ENVIRONMENT_CHOICES,                   \
		  .help = "environment; default production" },          \
		{ .flag = "domain",                                     \
		  .kind = DY_SETTING_NAME,                              \
		  .value = &(member).domain,                            \
		  .required = TRUE,                                     \
		  .argument = "NAME",                                   \
		  .help = "failure domain of this member" },            \
		{ .flag = "controls",                                   \
		  .kind = DY_SETTING_ADDRESSES_LIST,                    \
		  .value = &(member).controls,                          \
		  .required = TRUE,                                     \
		  .argument = "IP:PORT,...",                            \
		  .help = "addresses of the control group" },           \
		{ .flag = "listen",                                     \
		  .kind = DY_SETTING_ADDRESS,                           \
		  .value = &(member).listen,                            \
		  .required = TRUE,                                     \
		  .argument = "IP:PORT",                                \
		  .help = "address for the system's other processes" }, \
		{ .flag = "key-file",                                   \
		  .kind = DY_SETTING_TEXT,                              \
		  .value = &(member).key_file,                          \
		  .required = TRUE,                                     \
		  .argument = "FILE",                                   \
		  .help = "file with the key of the group" },           \
	{                                                               \
		.flag = "log-level", .kind = DY_SETTING_CHOICE,         \
		.value = &(member).log_level, .default_text = "info",   \
		.argument = DY_LOG_CHOICES,                             \
		.help = "lowest level that is logged; default info"     \
	}

#endif
