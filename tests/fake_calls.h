#ifndef FAKE_CALLS_H
#define FAKE_CALLS_H

/*
 * Callers and one target around an admission control, stepped by a clock of
 * its own: what each caller receives, and when.
 */

#include <stdint.h>

#include <glib.h>

#include "damaskyard/admission.h"

#define FAKE_MS 1000ULL
#define FAKE_S 1000000ULL
#define FAKE_NEVER (1000 * FAKE_S) /* service time of a stalled target */

typedef enum fake_end {
	FAKE_WAITS,
	FAKE_RUNS,
	FAKE_ANSWERED,
	FAKE_ABANDONED,
	FAKE_REFUSED
} fake_end_t;

typedef struct fake_call {
	dy_admission_item_t item;
	uint64_t service_us;
	uint64_t issued_us;
	uint64_t started_us;
	uint64_t ended_us;
	uint64_t until_us;
	fake_end_t end;
	dy_admission_refusal_t refusal;
} fake_call_t;

typedef struct fake_target {
	dy_admission_t *admission;
	GRand *rand;
	GPtrArray *calls; /* all that were issued */
	uint64_t now_us;
	unsigned running;
	unsigned most_running;
} fake_target_t;

fake_target_t *fake_target_create(const dy_admission_config_t *config);
void fake_target_destroy(fake_target_t *target);

/*
 * Issue a call that the target needs service_us for and whose caller goes
 * after budget_us. item fields not given here may be set by template, or
 * template is NULL.
 */
fake_call_t *fake_issue(fake_target_t *target,
			const dy_admission_item_t *template,
			uint64_t service_us, uint64_t budget_us);

/* Let time pass, 1 ms a step. */
void fake_calls_pass(fake_target_t *target, uint64_t us);

/* Let calls of a procedure run, so that its service time is learned. */
void fake_teach(fake_target_t *target, uint32_t procedure, uint64_t service_us);

/* Calls issued from index `from` on that were answered in time. */
unsigned fake_count_good(const fake_target_t *target, unsigned from);

unsigned fake_count(const fake_target_t *target, unsigned from, fake_end_t end);

/* The longest time from issue to refusal, from index `from` on. */
uint64_t fake_longest_refusal_us(const fake_target_t *target, unsigned from);

#endif
