#include "damaskyard/request_load.h"

#include <math.h>

/* Weight of the sums so far when an answer is added: the last 16 or so count.
 */
#define DECAY (1 - 1 / 16.0)

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
	load->run_ms = load->run_ms * DECAY + (double)run_ms;
	load->whole_ms =
		load->whole_ms * DECAY + (double)receive_ms + (double)run_ms;
}

unsigned dy_request_load_slots(const dy_request_load_t *load)
{
	double part = load->whole_ms > 0 ? load->run_ms / load->whole_ms : 1;

	return load->running + (unsigned)lround(load->receiving * part);
}
