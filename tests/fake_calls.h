#ifndef FAKE_CALLS_H
#define FAKE_CALLS_H

/*
 * Callers and one target around an admission control, driven by a simulated
 * clock. It records the result of each call and its time.
 */

#include <stdint.h>

#include <glib.h>

#include "damaskyard/admission.h"

#define FAKE_MS 1000ULL
#define FAKE_S 1000000ULL
#define FAKE_NEVER (1000 * FAKE_S) /* service time of a stalled target */

typedef enum fake_call_state {
	FAKE_QUEUED,
	FAKE_RUNNING,
	FAKE_ANSWERED,
	FAKE_ABANDONED,
	FAKE_REFUSED
} fake_call_state_t;

typedef struct fake_call {
	dy_admission_item_t item;
	uint64_t service_us;
	uint64_t submitted_us;
	uint64_t started_us;
	uint64_t ended_us;
	uint64_t deadline_us;
	fake_call_state_t state;
	dy_admission_refusal_t refusal;
} fake_call_t;

typedef struct fake_target {
	dy_admission_t *admission;
	GRand *rand;
	GPtrArray *calls; /* all calls that were submitted */
	uint64_t now_us;
	unsigned running;
	unsigned max_running;
} fake_target_t;

/* Creates a target with an admission control and a fixed random seed. */
fake_target_t *fake_target_create(const dy_admission_config_t *config);
void fake_target_destroy(fake_target_t *target);

/*
 * Submits a call that the target needs service_us for and whose deadline is
 * budget_us from now. The other item fields come from template, which may be
 * NULL. The target owns the call.
 */
fake_call_t *fake_submit(fake_target_t *target,
			 const dy_admission_item_t *template,
			 uint64_t service_us, uint64_t budget_us);

/* Advances the clock in steps of 1 ms; calls end, start and expire. */
void fake_advance(fake_target_t *target, uint64_t us);

/*
 * Runs calls of a procedure, so that admission has samples of its service time.
 */
void fake_train(fake_target_t *target, uint32_t procedure, uint64_t service_us);

/*
 * Returns the number of calls from index `from` on that were answered before
 * their deadline.
 */
unsigned fake_count_in_time(const fake_target_t *target, unsigned from);

/* Returns the number of calls from index `from` on in a state. */
unsigned fake_count(const fake_target_t *target, unsigned from,
		    fake_call_state_t state);

/* Returns the longest time from submission to refusal, from index `from` on. */
uint64_t fake_longest_refusal_us(const fake_target_t *target, unsigned from);

#endif
