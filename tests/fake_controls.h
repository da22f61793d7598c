#ifndef TESTS_FAKE_CONTROLS_H
#define TESTS_FAKE_CONTROLS_H

/*
 * Real flow-control processes on loopback, each at an address of its own, and
 * an operator that sends them a configuration. Numbers are 1 to
 * FAKE_CONTROLS_MAX; the lowest address is that of 1.
 */

#include <glib.h>

#define FAKE_CONTROLS_MAX 4

typedef struct fake_controls fake_controls_t;

fake_controls_t *fake_controls_create(void);
/* Kills the processes that still run and deletes their folders. */
void fake_controls_destroy(fake_controls_t *controls);

/* Writes the settings of a control; seeds are numbers, as in "1,2,3". */
void fake_controls_configure(fake_controls_t *controls, int number,
			     const char *seeds, gboolean first_start);
/* Starts a control with its present settings. */
void fake_controls_start(fake_controls_t *controls, int number);
/* Kills a control at once; its data folder stays. */
void fake_controls_kill(fake_controls_t *controls, int number);
void fake_controls_signal(fake_controls_t *controls, int number, int signal);
/* Waits until a control has ended. Returns its wait status. */
int fake_controls_join(fake_controls_t *controls, int number,
		       unsigned timeout_ms);

/* Returns the path of a control's data folder; the caller frees it. */
char *fake_controls_data(const fake_controls_t *controls, int number);
/* Deletes the data folder of a control, which must not run. */
void fake_controls_wipe(fake_controls_t *controls, int number);

/* Waits until a control has logged text in its present run. */
void fake_controls_await(const fake_controls_t *controls, int number,
			 const char *text, unsigned timeout_ms);
/* Returns what a control has logged in its present run; to be freed. */
char *fake_controls_log(const fake_controls_t *controls, int number);

/*
 * Sends a configuration to the running controls, and where they redirect to,
 * until it is acknowledged. Returns whether it was within timeout_ms.
 */
gboolean fake_controls_put(fake_controls_t *controls, unsigned version,
			   unsigned timeout_ms);

#endif
