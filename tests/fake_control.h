#ifndef TESTS_FAKE_CONTROL_H
#define TESTS_FAKE_CONTROL_H

/*
 * One control of an open group, with its loop, on loopback and in a folder of
 * its own.
 */

#include "damaskyard/control.h"

typedef struct fake_control {
	char *folder;
	dy_metrics_t *metrics;
	dy_loop_t *loop;
	dy_control_t *control;
	dy_control_options_t options; /* of a group of its own alone */
	unsigned ticks;
	unsigned max_ticks;
	const int *stop_flag;
} fake_control_t;

/* Prepare all but the control; options may be changed before the start. */
void fake_control_init(fake_control_t *fake);
void fake_control_start(fake_control_t *fake);

/* End the control and its loop; the folder stays for another start. */
void fake_control_stop(fake_control_t *fake);
/* After the stop. */
void fake_control_clear(fake_control_t *fake);

/* Run the loop for a number of ticks of 5 ms, or until *until, if not NULL. */
void fake_control_run(fake_control_t *fake, unsigned ticks, const int *until);

/* A loopback address that nobody is bound to. */
dy_address_t fake_control_unused_address(fake_control_t *fake);

void fake_control_remove_folder(char *folder);

#endif
