#ifndef FAKE_REGISTRY_H
#define FAKE_REGISTRY_H

/* Drives a registry as a leader does. A failed check aborts. */

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

/* Encode a command and apply it at the next index. */
void fake_registry_apply(dy_registry_t *registry, const dy_command_t *command);

/* Compute the SHA-256 digest of bytes. */
void fake_registry_digest(const char *bytes, size_t size,
			  uint8_t digest[DY_DIGEST_BYTES]);

/* Apply all pages of a content of size bytes, and set digest. */
void fake_registry_put(dy_registry_t *registry, const char *bytes, size_t size,
		       uint8_t digest[DY_DIGEST_BYTES]);

/*
 * Evaluate a poll and apply the command that it proposes, if any. Then renew
 * the lease and fill result, whose deltas need capacity for DY_DELTAS_MAX.
 * Returns the status of the answer. Adds applied commands to *proposed, which
 * may be NULL.
 */
dy_status_t fake_registry_poll(dy_registry_t *registry, const dy_poll_t *poll,
			       dy_poll_result_t *result, unsigned *proposed);

/* Returns a snapshot, to be freed with g_byte_array_unref(). */
GByteArray *fake_registry_save(const dy_registry_t *registry);

/* Create a registry from a snapshot. Returns NULL if it is not valid. */
dy_registry_t *fake_registry_load(const dy_registry_callbacks_t *callbacks,
				  const GByteArray *saved);

#endif
