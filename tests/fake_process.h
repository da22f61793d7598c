#ifndef TESTS_FAKE_PROCESS_H
#define TESTS_FAKE_PROCESS_H

/*
 * One process that a test starts. It prints to FOLDER/NAME.out and logs to
 * FOLDER/NAME.log, and dies with the test.
 */

#include <glib.h>

typedef struct fake_process fake_process_t;

/* command is split at blanks; its first word is the path of the program. */
fake_process_t *fake_process_create(const char *folder, const char *name,
				    const char *command);

/* Kills and reaps it if it still runs. */
void fake_process_destroy(fake_process_t *process);

/* Files of an earlier run are set aside as .old. */
void fake_process_start(fake_process_t *process);
void fake_process_signal(fake_process_t *process, int number);

/* Wait for its end, or fail the test. Returns the wait status. */
int fake_process_join(fake_process_t *process, unsigned wait_ms);

/* What it printed, and what it logged, to be freed. */
char *fake_process_output(const fake_process_t *process);
char *fake_process_log(const fake_process_t *process);

/* The value of key in what it printed, to be freed, or NULL. */
char *fake_process_value(const fake_process_t *process, const char *key);

/* Where a balancer logged that it takes calls for service, or NULL. */
char *fake_process_listening(const fake_process_t *process,
			     const char *service);

#endif
