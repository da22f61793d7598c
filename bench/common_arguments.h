#ifndef COMMON_ARGUMENTS_H
#define COMMON_ARGUMENTS_H

/* The command lines of the measuring programs. */

#include <glib.h>

/*
 * Parse the options of a program. Returns 1 if that succeeds and no argument is
 * left, or 0 after a message with the name of the program.
 */
int arguments_parse(const char *program, const GOptionEntry *entries, int argc,
		    char **argv);

/* Print that a value is out of range. Returns 0. */
int arguments_refuse(const char *program);

#endif
