#ifndef DAMASKYARD_COMMAND_H
#define DAMASKYARD_COMMAND_H

/*
 * The subcommands of the damaskyard program, one per file.
 *
 * Each function runs one subcommand. argv[0] is the name of the subcommand,
 * argv[1] to argv[argc - 1] are its flags and operands. Returns the exit code
 * of the process, one of DY_EXIT_*.
 */

#include <glib.h>

/* Allowed values of --environment and of --log-level. */
#define DY_ENVIRONMENT_CHOICES "trial|production"
#define DY_LOG_CHOICES "debug|info|warn|error"

#define DY_EXIT_OK 0
#define DY_EXIT_FAILED 1 /* refused, not found or no answer */
#define DY_EXIT_USAGE 2	 /* invalid flag, setting or file */

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
 * Prints "damaskyard NAME: " and the message of error to stderr and frees
 * error. name is the subcommand. Returns DY_EXIT_USAGE.
 */
int dy_command_fail_usage(const char *name, GError *error);

/*
 * Configures the log. level is one of DY_LOG_CHOICES, the lowest level that is
 * logged; any other text selects info. role is the name of this process in the
 * log; it is not copied.
 */
void dy_command_start_log(const char *level, const char *role);

#endif
