#ifndef FAKE_REGISTRY_RUN_H
#define FAKE_REGISTRY_RUN_H

/*
 * A random run of the registry, compared with a simple oracle: a table of the
 * expected state of every document, member, key and request, and for each
 * member the state that it built from the answers to its polls. Each step is
 * decoded from bytes, so that a fuzzer or a seeded generator can choose it. A
 * difference aborts.
 */

#include <stdint.h>

typedef struct fake_run fake_run_t;

/* Create a run with an empty registry. */
fake_run_t *fake_run_create(void);

/* Free a run. */
void fake_run_destroy(fake_run_t *run);

/* Run the step that four bytes select, and check the whole state after it. */
void fake_run_step(fake_run_t *run, const uint8_t choice[4]);

/* Returns the number of steps that had an effect. */
unsigned fake_run_effects(const fake_run_t *run);

#endif
