#ifndef TESTS_FAKE_PROCESS_H
#define TESTS_FAKE_PROCESS_H

/*
 * A process that a test starts. Its stdout goes to FOLDER/NAME.out and its
 * stderr to FOLDER/NAME.log. It is killed if the test dies.
 */

#include <glib.h>

typedef struct fake_process fake_process_t;

/*
 * Create a process without starting it. command is split at spaces; its first
 * word is the path of the program.
 */
fake_process_t *fake_process_create(const char *folder, const char *name,
				    const char *command);

/* Kill and reap the process if it still runs, and free it. */
void fake_process_destroy(fake_process_t *process);

/* Start the process. Output files of an earlier run are renamed to .old. */
void fake_process_start(fake_process_t *process);
/* Send a signal to the process, which must run. */
void fake_process_signal(fake_process_t *process, int number);

/*
 * Wait for the process to end; fails the test after timeout_ms. Returns the
 * wait status.
 */
int fake_process_join(fake_process_t *process, unsigned timeout_ms);

/* Returns what it has printed, or logged; the caller frees it. */
char *fake_process_output(const fake_process_t *process);
char *fake_process_log(const fake_process_t *process);

/* Returns the value of key in what it printed, or NULL; the caller frees it. */
char *fake_process_value(const fake_process_t *process, const char *key);

/*
 * Returns the address at which a balancer has logged to listen for service, or
 * NULL. The caller frees it.
 */
char *fake_process_service_address(const fake_process_t *process,
				   const char *service);

#endif
