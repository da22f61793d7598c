#ifndef TESTS_FAKE_CONTROL_H
#define TESTS_FAKE_CONTROL_H

/*
 * One control of a group with dynamic membership, with its loop, on the
 * loopback address and with a folder of its own.
 */

#include "damaskyard/control.h"

typedef struct fake_control {
	char *folder;
	dy_metrics_t *metrics;
	dy_loop_t *loop;
	dy_control_t *control;
	dy_control_options_t options; /* a group of this control alone */
	unsigned ticks;
	unsigned max_ticks;
	const int *stop_flag;
} fake_control_t;

/*
 * Prepares everything but the control; options may be changed before
 * fake_control_start().
 */
void fake_control_init(fake_control_t *fake);
/* Creates the control; creates a new loop after fake_control_stop(). */
void fake_control_start(fake_control_t *fake);

/* Destroys the control and its loop; the folder stays for another start. */
void fake_control_stop(fake_control_t *fake);
/* Removes the folder; call it after fake_control_stop(). */
void fake_control_clear(fake_control_t *fake);

/*
 * Runs the loop for a number of ticks of 5 ms, or until *stop_flag is set;
 * stop_flag may be NULL.
 */
void fake_control_run(fake_control_t *fake, unsigned max_ticks,
		      const int *stop_flag);

/* Returns a loopback address with an unused port. */
dy_address_t fake_control_unused_address(fake_control_t *fake);

/* Deletes the folder with its files and frees its name. */
void fake_control_remove_folder(char *folder);

#endif
