#ifndef DAMASKYARD_COMMAND_H
#define DAMASKYARD_COMMAND_H

/*
 * The subcommands, one file each. Each takes the arguments from its own name
 * on and returns the exit code of the process.
 */

#include <glib.h>

/* Values of --environment and --log-level. */
#define DY_ENVIRONMENT_CHOICES "trial|production"
#define DY_LOG_CHOICES "debug|info|warn|error"

#define DY_EXIT_OK 0
#define DY_EXIT_FAILED 1 /* refused, not found, not answered */
#define DY_EXIT_USAGE 2	 /* a wrong flag, setting or file */

int dy_command_agent(int argc, char **argv);
int dy_command_announce(int argc, char **argv);
int dy_command_balancer(int argc, char **argv);
int dy_command_call(int argc, char **argv);
int dy_command_check(int argc, char **argv);
int dy_command_control(int argc, char **argv);
int dy_command_drain(int argc, char **argv);
int dy_command_evacuate(int argc, char **argv);
int dy_command_flow_agent(int argc, char **argv);
int dy_command_flow_balancer(int argc, char **argv);
int dy_command_flow_control(int argc, char **argv);
int dy_command_promote(int argc, char **argv);
int dy_command_readmit(int argc, char **argv);
int dy_command_remove(int argc, char **argv);
int dy_command_report(int argc, char **argv);
int dy_command_rotate(int argc, char **argv);
int dy_command_status(int argc, char **argv);
int dy_command_submit(int argc, char **argv);

/*
 * Print "damaskyard NAME: message" to stderr, free error, and return
 * DY_EXIT_USAGE.
 */
int dy_command_fail_usage(const char *name, GError *error);

/* Log from now on at a level of DY_LOG_CHOICES, under the name of a role. */
void dy_command_start_log(const char *level, const char *role);

#endif
