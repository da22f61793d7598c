#ifndef FAKE_REGISTRY_RUN_H
#define FAKE_REGISTRY_RUN_H

/*
 * A run of the registry against a simple oracle: a table of what every
 * document, member, key and request must be, kept by rules that fit on a
 * page, and for each member the state that it built up from the answers to
 * its polls. A step is decoded from bytes, so that a fuzzer or a seeded
 * generator can choose it. Whatever differs aborts.
 */

#include <stdint.h>

typedef struct fake_run fake_run_t;

fake_run_t *fake_run_create(void);
void fake_run_destroy(fake_run_t *run);

/* Take one step, chosen by four bytes, and check everything after it. */
void fake_run_step(fake_run_t *run, const uint8_t choice[4]);

/* Times that each of the run's kinds of step had an effect, for a test. */
unsigned fake_run_effects(const fake_run_t *run);

#endif
