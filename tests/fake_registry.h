#ifndef FAKE_REGISTRY_H
#define FAKE_REGISTRY_H

/* The registry driven as a leader would. Whatever differs aborts. */

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "damaskyard/registry.h"

#define FAKE_REGISTRY_CHECK(condition)                                     \
	do {                                                               \
		if (!(condition)) {                                        \
			fprintf(stderr, "%s:%d: %s\n", __FILE__, __LINE__, \
				#condition);                               \
			abort();                                           \
		}                                                          \
	} while (0)

/* Encode command and apply it at the next index. */
void fake_registry_apply(dy_registry_t *registry, const dy_command_t *command);

/* SHA-256 of bytes. */
void fake_registry_digest(const char *bytes, size_t size,
			  uint8_t digest[DY_DIGEST_BYTES]);

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

#endif
