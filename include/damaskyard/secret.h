#ifndef DAMASKYARD_SECRET_H
#define DAMASKYARD_SECRET_H

/*
 * The group's shared secret, from the key file, and what is derived from it.
 *
 * A key file holds one secret of 64 hexadecimal digits on each line. The
 * first line signs; every line is accepted, so that a new secret is rolled
 * out in three steps: added last everywhere, moved first everywhere, the old
 * one removed.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#define DY_SECRET_BYTES 32
#define DY_SECRETS_MAX 4

/* Bytes of a truncated HMAC-SHA256; RFC 2104 asks for half or more. */
#define DY_MAC_BYTES 16

typedef struct dy_secrets {
	uint8_t secrets[DY_SECRETS_MAX][DY_SECRET_BYTES];
	int count;
} dy_secrets_t;

/*
 * Load a key file. Returns TRUE, or FALSE with error set, naming the file
 * and the line.
 */
gboolean dy_secrets_load(dy_secrets_t *secrets, const char *path,
			 GError **error);

/*
 * HMAC-SHA256 under a key that is used often: the key is taken in once, which
 * is a quarter of the work for a message of 300 bytes. A truncated MAC is a
 * prefix of the whole.
 */
typedef struct dy_hmac dy_hmac_t;

dy_hmac_t *dy_hmac_create(const uint8_t key[DY_SECRET_BYTES]);
void dy_hmac_destroy(dy_hmac_t *hmac);
void dy_hmac_digest(const dy_hmac_t *hmac, const void *data, size_t len,
		    uint8_t mac[DY_SECRET_BYTES]);

/* Compare two MACs in a time that does not depend on where they differ. */
int dy_mac_equal(const uint8_t *a, const uint8_t *b, size_t len);

/* Fill bytes from the kernel's random source; aborts if there is none. */
void dy_random_fill(void *bytes, size_t len);

#endif
