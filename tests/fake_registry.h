#ifndef FAKE_REGISTRY_H
#define FAKE_REGISTRY_H

/*
 * The registry driven as a leader would, against a simple oracle: a table of
 * what every document, member, key and request must be, kept by rules that
 * fit on a page, and for each member the state that it built up from the
 * answers to its polls. A step is decoded from bytes, so that a fuzzer or a
 * seeded generator can choose it. Whatever differs aborts.
 */

#include <stddef.h>
#include <stdint.h>

#include "damaskyard/registry.h"

/* Encode command and apply it at the next index. */
void fake_registry_apply(dy_registry_t *registry, const dy_command_t *command);

/* Apply content of size bytes, whole, and set its digest. */
void fake_registry_put(dy_registry_t *registry, const char *bytes, size_t size,
		       uint8_t digest[DY_DIGEST_BYTES]);

/*
 * Judge poll and, if it asks for it, apply what it proposes; then renew its
 * lease and fill result, whose deltas need DY_DELTAS_MAX. Returns the status
 * of the answer; *proposed counts applied commands, may be NULL.
 */
dy_status_t fake_registry_poll(dy_registry_t *registry, const dy_poll_t *poll,
			       dy_poll_result_t *result, unsigned *proposed);

/* The state's bytes; free with g_byte_array_unref(). */
GByteArray *fake_registry_save(const dy_registry_t *registry);
/* A registry loaded from them, or NULL if they are refused. */
dy_registry_t *fake_registry_load(const dy_registry_callbacks_t *callbacks,
				  const GByteArray *saved);

typedef struct fake_run fake_run_t;

fake_run_t *fake_run_create(void);
void fake_run_destroy(fake_run_t *run);

/* Take one step, chosen by four bytes, and check everything after it. */
void fake_run_step(fake_run_t *run, const uint8_t choice[4]);

/* Times that each of the run's kinds of step had an effect, for a test. */
unsigned fake_run_effects(const fake_run_t *run);

#endif
