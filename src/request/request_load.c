#include "damaskyard/request_load.h"

#include <math.h>

/* Weight of the newest sample in a mean: the last 16 or so count. */
#define NEWEST_WEIGHT (1 / 16.0)

static void update_mean(double *mean, uint64_t sample)
{
	if (*mean < 0)
		*mean = (double)sample;
	else
		*mean += ((double)sample - *mean) * NEWEST_WEIGHT;
}

void dy_request_load_init(dy_request_load_t *load)
{
	load->receiving = 0;
	load->running = 0;
	load->open_ms = -1;
	load->receive_ms = -1;
	load->run_ms = -1;
}

void dy_request_load_begin(dy_request_load_t *load)
{
	load->receiving++;
}

void dy_request_load_complete(dy_request_load_t *load)
{
	load->receiving--;
	load->running++;
}

void dy_request_load_end(dy_request_load_t *load, int complete)
{
	if (complete)
		load->running--;
	else
		load->receiving--;
}

void dy_request_load_add_times(dy_request_load_t *load, uint64_t receive_ms,
			       uint64_t run_ms)
{
	update_mean(&load->receive_ms, receive_ms);
	update_mean(&load->run_ms, run_ms);
}

void dy_request_load_add_opening(dy_request_load_t *load, uint64_t open_ms)
{
	update_mean(&load->open_ms, open_ms);
}

/*
 * Returns the part that running has of a request's time, with before_ms until
 * its first packet; 1 if that is unknown.
 */
static double running_part(const dy_request_load_t *load, double before_ms)
{
	double whole_ms = before_ms + load->receive_ms + load->run_ms;

	if (load->run_ms < 0 || before_ms < 0 || whole_ms <= 0)
		return 1;
	return load->run_ms / whole_ms;
}

unsigned dy_request_load_slots(const dy_request_load_t *load, unsigned openings)
{
	return load->running +
	       (unsigned)lround(load->receiving * running_part(load, 0) +
				openings * running_part(load, load->open_ms));
}
