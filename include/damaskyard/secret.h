#ifndef DAMASKYARD_SECRET_H
#define DAMASKYARD_SECRET_H

/*
 * The shared secrets of an environment, read from the key file; HMAC and
 * random bytes.
 *
 * A key file holds one secret of 64 hexadecimal digits per line. The first
 * one signs messages; each of them verifies messages. A new secret is
 * therefore rolled out in three steps: append it on all processes, move it to
 * the first line on all processes, remove the old one.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#define DY_SECRET_BYTES 32
#define DY_SECRETS_MAX 4

/* Bytes of a truncated HMAC-SHA256; RFC 2104 requires at least half. */
#define DY_MAC_BYTES 16

typedef struct dy_secrets {
	uint8_t secrets[DY_SECRETS_MAX][DY_SECRET_BYTES];
	int count;
} dy_secrets_t;

/*
 * Load a key file. Returns TRUE, or FALSE with error set; the error names the
 * file, and the line if one is malformed. Empty lines are ignored.
 */
gboolean dy_secrets_load(dy_secrets_t *secrets, const char *path,
			 GError **error);

/*
 * HMAC-SHA256 under a key that is used often. The key is hashed only once,
 * which saves a quarter of the work for a message of 300 bytes.
 */
typedef struct dy_hmac dy_hmac_t;

dy_hmac_t *dy_hmac_create(const uint8_t key[DY_SECRET_BYTES]);
void dy_hmac_destroy(dy_hmac_t *hmac);

/*
 * Compute the MAC of len bytes of data. A truncated MAC is a prefix of the
 * result.
 */
void dy_hmac_digest(const dy_hmac_t *hmac, const void *data, size_t len,
		    uint8_t mac[DY_SECRET_BYTES]);

/* Returns whether two MACs are equal, in a time that is independent of them. */
int dy_mac_equal(const uint8_t *a, const uint8_t *b, size_t len);

/* Fill bytes from the kernel's random source; aborts if that fails. */
void dy_random_fill(void *bytes, size_t len);

#endif
