#ifndef DAMASKYARD_MEMBER_SETTINGS_H
#define DAMASKYARD_MEMBER_SETTINGS_H

/* What a balancer and an agent both are told at their start. */

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

/* The rows of a table of settings that load a member_settings_t. */
#define MEMBER_SETTINGS(member)                                            \
	{ .flag = "name",                                                  \
	  .kind = DY_SETTING_NAME,                                         \
	  .value = &(member).name,                                         \
	  .required = TRUE,                                                \
	  .argument = "NAME",                                              \
	  .help = "its name, its own in the environment" },                \
		{ .flag = "environment",                                   \
		  .kind = DY_SETTING_CHOICE,                               \
		  .value = &(member).environment,                          \
		  .default_text = "production",                            \
		  .argument = DY_ENVIRONMENT_CHOICES,                      \
		  .help = "where it serves; production if not given" },    \
		{ .flag = "domain",                                        \
		  .kind = DY_SETTING_NAME,                                 \
		  .value = &(member).domain,                               \
		  .required = TRUE,                                        \
		  .argument = "NAME",                                      \
		  .help = "failure domain it stands in" },                 \
		{ .flag = "controls",                                      \
		  .kind = DY_SETTING_ADDRESSES_LIST,                       \
		  .value = &(member).controls,                             \
		  .required = TRUE,                                        \
		  .argument = "IP:PORT,...",                               \
		  .help = "the control group" },                           \
		{ .flag = "listen",                                        \
		  .kind = DY_SETTING_ADDRESS,                              \
		  .value = &(member).listen,                               \
		  .required = TRUE,                                        \
		  .argument = "IP:PORT",                                   \
		  .help = "where the system's other processes reach it" }, \
		{ .flag = "key-file",                                      \
		  .kind = DY_SETTING_TEXT,                                 \
		  .value = &(member).key_file,                             \
		  .required = TRUE,                                        \
		  .argument = "FILE",                                      \
		  .help = "the group's key" },                             \
	{                                                                  \
		.flag = "log-level", .kind = DY_SETTING_CHOICE,            \
		.value = &(member).log_level, .default_text = "info",      \
		.argument = DY_LOG_CHOICES,                                \
		.help = "least level that is logged"                       \
	}

#endif
